//! Whether a host reaches upstreams at all.
//!
//! Fault: a host loses its links to all upstreams for seconds, while callers, the store
//! and the other hosts still reach it. Seen one by one, its upstreams just fail, and each
//! of them is tried again and again.
//!
//! An attempt without a response leads to connections to a few other upstreams; if they fail
//! too, no upstream is reached. Only connections count: those that exist may live on
//! while new ones fail, and the other way round. While no upstream is reached, connections
//! are tried at a low rate, and the first one that is established ends the state.

use std::collections::HashMap;

use super::ids::UpstreamId;
use super::routing::Rng;

/// Upstreams whose failures may have one cause.
const MIN_FAILED_UPSTREAMS: usize = 2;
/// Time for which a failed attempt counts, in milliseconds.
const FAILURE_AGE_MS: u64 = 4_000;
/// Upstreams that are tried after a failure.
const SUSPICION_PROBES: usize = 4;
/// Upstreams that are tried each time while none is reached.
const LOST_PROBES: usize = 2;
/// Time between two probes, in milliseconds.
pub const PROBE_INTERVAL_MS: u64 = 500;

/// Change of the state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReachChange {
    /// No upstream is reached any more.
    Lost {
        /// Upstreams at which attempts have failed.
        failed: usize,
    },
    /// An upstream is reached again.
    Regained {
        /// Time without a reachable upstream, in milliseconds.
        lost_for_ms: u64,
    },
}

/// Evidence of one host.
#[derive(Clone, Debug, Default)]
pub struct Reach {
    /// Time of the last failure at each upstream since a connection was established.
    failures: HashMap<UpstreamId, u64>,
    lost_since_ms: Option<u64>,
    last_probe_ms: u64,
    /// True if an upstream has served another host meanwhile.
    is_reached_elsewhere: bool,
}

impl Reach {
    /// True while no upstream is reached.
    pub fn is_lost(&self) -> bool {
        self.lost_since_ms.is_some()
    }

    /// True while no upstream is reached from here, but one is from another host.
    pub fn is_outdone(&self) -> bool {
        self.is_lost() && self.is_reached_elsewhere
    }

    /// True if the failures may have one cause: nothing was reached between them.
    pub fn is_suspected(&self) -> bool {
        self.is_lost() || self.failures.len() >= MIN_FAILED_UPSTREAMS
    }

    /// Records that an upstream has served another host.
    pub fn on_reached_elsewhere(&mut self) {
        self.is_reached_elsewhere = self.is_lost();
    }

    /// Records that an attempt at an upstream received no response.
    pub fn on_failure(&mut self, now_ms: u64, upstream: &UpstreamId) {
        self.failures.insert(upstream.clone(), now_ms);
    }

    /// True if an attempt at an upstream has failed since a connection was established.
    pub fn has_failed(&self, upstream: &UpstreamId) -> bool {
        self.failures.contains_key(upstream)
    }

    /// Records that a connection to an upstream was established.
    pub fn on_connected(&mut self, now_ms: u64) -> Option<ReachChange> {
        self.failures.clear();
        self.is_reached_elsewhere = false;
        let since_ms = self.lost_since_ms.take()?;
        Some(ReachChange::Regained {
            lost_for_ms: now_ms.saturating_sub(since_ms),
        })
    }

    /// Number of upstreams to try.
    pub fn probe_count(&self) -> usize {
        if self.is_lost() {
            LOST_PROBES
        } else {
            SUSPICION_PROBES
        }
    }

    /// True if connections to other upstreams are to be tried now.
    pub fn take_due_probe(&mut self, now_ms: u64, listed: usize) -> bool {
        self.failures
            .retain(|_, at_ms| now_ms < *at_ms + FAILURE_AGE_MS);
        let has_evidence = self.is_lost() || !self.failures.is_empty();
        let is_due = listed > 0 && has_evidence && now_ms >= self.last_probe_ms + PROBE_INTERVAL_MS;
        if is_due {
            self.last_probe_ms = now_ms;
        }
        is_due
    }

    /// Records that none of the tried upstreams accepted a connection.
    pub fn on_probe_failed(&mut self, now_ms: u64) -> Option<ReachChange> {
        if self.is_lost() || self.failures.is_empty() {
            return None;
        }
        self.lost_since_ms = Some(now_ms);
        Some(ReachChange::Lost {
            failed: self.failures.len(),
        })
    }
}

/// Draws some of the listed upstreams.
pub fn sample<T>(mut listed: Vec<T>, count: usize, rng: &mut Rng) -> Vec<T> {
    for index in 0..count.min(listed.len()) {
        let other = index + rng.below(listed.len() - index);
        listed.swap(index, other);
    }
    listed.truncate(count);
    listed
}
