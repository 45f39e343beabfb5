//! Latency percentiles and result counts of a load run.

use serde::{Deserialize, Serialize};

/// Latency samples in microseconds, sorted on demand.
#[derive(Clone, Debug, Default)]
pub struct Latencies(Vec<u64>);

impl Latencies {
    /// Adds a sample.
    pub fn add(&mut self, us: u64) {
        self.0.push(us);
    }

    /// Adds all samples of another set.
    pub fn extend(&mut self, other: &Self) {
        self.0.extend_from_slice(&other.0);
    }

    /// Sample nearest to the rank of the percentile; 0 without samples.
    pub fn percentile_us(&mut self, percent: f64) -> u64 {
        if self.0.is_empty() {
            return 0;
        }
        self.0.sort_unstable();
        let i = (percent / 100.0 * (self.0.len() - 1) as f64).round() as usize;
        self.0[i.min(self.0.len() - 1)]
    }

    /// Number of samples.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// Returns true if there are no samples.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Request counts of a load by result, as the callers observe it.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Counts {
    /// Requests sent.
    pub offered: u64,
    /// Complete responses.
    pub answered: u64,
    /// Complete responses within their latency targets.
    pub within_target: u64,
    /// Requests that were refused and not executed, or that no entry host accepted.
    pub not_run: u64,
    /// Requests without a result, which may have been executed.
    pub unknown: u64,
    /// Responses that belong to another request, lack tokens or are malformed.
    pub wrong: u64,
}

impl Counts {
    /// Adds other counts.
    pub fn add(&mut self, other: &Self) {
        self.offered += other.offered;
        self.answered += other.answered;
        self.within_target += other.within_target;
        self.not_run += other.not_run;
        self.unknown += other.unknown;
        self.wrong += other.wrong;
    }
}
