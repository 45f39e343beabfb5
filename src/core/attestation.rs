//! Times at which incarnations of upstreams are known to have run.
//!
//! A listing may be out of date: an upstream starts again under its ID, with another software
//! version, while it or this host is cut off from the store. An incarnation that was listed
//! before a time and is attested after it has run all the while, and no other one under its
//! ID. It is attested by an announcement that was written after the time, or by a report that
//! was requested after it.

use std::collections::{BTreeMap, HashMap};

use super::ids::UpstreamId;

/// Time for which an attestation is remembered, in milliseconds; longer than callers wait
/// for a stream.
const MEMORY_MS: u64 = 60_000;

/// Latest attestation of an incarnation.
#[derive(Clone, Copy, Debug)]
struct Attestation {
    /// Time after which it has run.
    after_ms: u64,
    recorded_ms: u64,
}

impl Attestation {
    fn is_recent(&self, now_ms: u64) -> bool {
        now_ms < self.recorded_ms + MEMORY_MS
    }
}

/// Attestations of recent incarnations, by upstream and the start of the incarnation in
/// milliseconds since the epoch.
#[derive(Clone, Debug, Default)]
pub struct Attestations {
    by_upstream: HashMap<UpstreamId, BTreeMap<u64, Attestation>>,
}

impl Attestations {
    /// Records that the incarnation that started at `started_ms` has run after a time.
    pub fn record(&mut self, now_ms: u64, upstream: &UpstreamId, started_ms: u64, after_ms: u64) {
        let attestation = Attestation {
            after_ms,
            recorded_ms: now_ms,
        };
        let Some(incarnations) = self.by_upstream.get_mut(upstream) else {
            let incarnations = BTreeMap::from([(started_ms, attestation)]);
            self.by_upstream.insert(upstream.clone(), incarnations);
            return;
        };
        incarnations.retain(|_, known| known.is_recent(now_ms));
        let known = incarnations.entry(started_ms).or_insert(attestation);
        if known.after_ms < after_ms {
            *known = attestation;
        }
    }

    /// True if an incarnation is known to have run after a time.
    pub fn has_run_after(&self, upstream: &UpstreamId, started_ms: u64, time_ms: u64) -> bool {
        let incarnations = self.by_upstream.get(upstream);
        let known = incarnations.and_then(|i| i.get(&started_ms));
        known.is_some_and(|known| known.after_ms > time_ms)
    }

    /// Forgets what was recorded long ago.
    pub fn forget_old(&mut self, now_ms: u64) {
        self.by_upstream.retain(|_, incarnations| {
            incarnations.retain(|_, known| known.is_recent(now_ms));
            !incarnations.is_empty()
        });
    }
}
