//! Passing changes of the store on between the hosts of a large fleet.
//!
//! Load pattern: hundreds of hosts mirror the same store. If each of them watches
//! it, the calls grow with the hosts times the changes. In a large fleet only a few
//! hosts of each zone watch the store and pass the changes on; the others follow.
//!
//! Fault: watching hosts die, freeze, lose the store or lose datagrams at any
//! moment. A watching host sends its position even if nothing has changed, and only
//! after the store has confirmed it. A follower that hears nothing for a part of
//! the time within which changes must apply, or misses a change, reads the store
//! itself.

use std::time::Duration;

use super::ids::HostId;
use super::peer_list::rank_by_cpu;
use super::store_era::Era;

/// Hosts of each zone that watch the store in a larger fleet.
pub const WATCHERS_PER_ZONE: u64 = 2;
/// Time for which a follower waits for a change that it has missed, in
/// milliseconds; another watching host of the zone passes it on as well.
const GAP_PATIENCE_MS: u64 = 250;

/// Time limits that follow from the time within which changes must apply.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RelayTimes {
    /// Longest wait of a watch without changes.
    pub watch_wait: Duration,
    /// Time for which a watching host collects changes after it has read some.
    pub batch_pause: Duration,
    /// Silence after which a follower reads the store itself.
    pub max_silence: Duration,
}

impl RelayTimes {
    /// Times for changes that must apply within `bound`.
    pub fn within(bound: Duration) -> Self {
        Self {
            watch_wait: bound / 6,
            batch_pause: bound / 8,
            max_silence: bound * 3 / 8,
        }
    }
}

/// True if a host is one of those of its zone that watch the store.
pub fn is_watcher<'a>(
    zone_hosts: impl Iterator<Item = (&'a HostId, u32)>,
    own: &HostId,
    own_cpu_milli: u32,
) -> bool {
    rank_by_cpu(zone_hosts, own, own_cpu_milli) < WATCHERS_PER_ZONE
}

/// State of the store up to which a host knows all changes.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Position {
    /// Era of the store.
    pub era: Era,
    /// Revision within the era.
    pub revision: u64,
}

/// Relation of passed-on changes to a host's position.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Fit {
    /// They continue from the position.
    Continues,
    /// They are known.
    Known,
    /// Changes before them are missing, or they are of a later era.
    Gap,
}

impl Position {
    /// Relation of the changes after revision `after`, up to `until`.
    pub fn fit(self, after: u64, until: Self) -> Fit {
        if until.era < self.era {
            Fit::Known
        } else if until.era > self.era || after > self.revision {
            Fit::Gap
        } else if until.revision <= self.revision {
            Fit::Known
        } else {
            Fit::Continues
        }
    }
}

/// What a follower has heard from the watching hosts of its zone.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Follower {
    heard_ms: u64,
    gap_since_ms: Option<u64>,
}

impl Follower {
    /// Records a position that is confirmed by the store and known here.
    pub fn on_confirmed(&mut self, now_ms: u64) {
        self.heard_ms = now_ms;
        self.gap_since_ms = None;
    }

    /// Records that changes are missing.
    pub fn on_gap(&mut self, now_ms: u64) {
        self.gap_since_ms.get_or_insert(now_ms);
    }

    /// Records that a change must be read from the store, after a delay that
    /// differs between the hosts.
    pub fn on_change_to_read(&mut self, now_ms: u64, delay_ms: u64) {
        let gap_ms = (now_ms + delay_ms).saturating_sub(GAP_PATIENCE_MS);
        let earliest_ms = self.gap_since_ms.map_or(gap_ms, |at| at.min(gap_ms));
        self.gap_since_ms = Some(earliest_ms);
    }

    /// True if the host must read the store itself.
    pub fn must_read(&self, now_ms: u64, max_silence: Duration) -> bool {
        let is_silent = now_ms >= self.heard_ms + max_silence.as_millis() as u64;
        let is_behind = |since_ms: u64| now_ms >= since_ms + GAP_PATIENCE_MS;
        is_silent || self.gap_since_ms.is_some_and(is_behind)
    }
}
