//! Figures of a run.

use serde::{Deserialize, Serialize};

/// Times in microseconds, sorted on demand.
#[derive(Clone, Debug, Default)]
pub struct Times(Vec<u64>);

impl Times {
    /// Adds a time.
    pub fn add(&mut self, us: u64) {
        self.0.push(us);
    }

    /// Joins other times.
    pub fn extend(&mut self, other: &Self) {
        self.0.extend_from_slice(&other.0);
    }

    /// Time that this share of all does not exceed.
    pub fn percentile_us(&mut self, percent: f64) -> u64 {
        if self.0.is_empty() {
            return 0;
        }
        self.0.sort_unstable();
        let i = (percent / 100.0 * (self.0.len() - 1) as f64).round() as usize;
        self.0[i.min(self.0.len() - 1)]
    }

    /// Number of times.
    pub fn len(&self) -> usize {
        self.0.len()
    }

    /// True if there are none.
    pub fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

/// Result of a load, as counted by the callers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Counts {
    /// Requests sent.
    pub offered: u64,
    /// Whole answers.
    pub answered: u64,
    /// Whole answers within their targets.
    pub within_target: u64,
    /// Requests refused as not run.
    pub not_run: u64,
    /// Requests whose outcome stayed unknown.
    pub unknown: u64,
    /// Answers that were foreign, short or garbled.
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
