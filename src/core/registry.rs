//! Registry of upstreams as listed by the platform.
//!
//! An entry that is deleted while the store is available is removed at once. An
//! entry that is missing after an outage of the store may only have lapsed
//! during the outage. It stays in use for a grace period, within which its
//! upstream registers again.
//!
//! Fault: a host that is cut off from the store cannot tell that from an outage, and
//! upstreams leave for good meanwhile and afterwards. The grace period begins once, when
//! the host reaches the store again, whenever an entry is found missing, and ends before
//! the time limit for requests to upstreams that have left.
//!
//! Fault: another writer leaves an announcement under an upstream's name that counts as
//! later than all of its own. An upstream that goes on announcing itself is followed
//! nevertheless.
//!
//! Fault: the store is restored from an older copy, which lists upstreams as they
//! were. An upstream that this host knows to be gone or leaving stays out of
//! service until it announces itself anew.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use super::catalog::WeightSource;
use super::ids::{AdapterId, ModelId, ServiceId, SoftwareVersion, UpstreamId, ZoneId};
use super::store_era::Era;

/// Time for which an entry that lapsed during an outage stays in use, in
/// milliseconds; running upstreams are listed again about two seconds after the
/// store recovers.
pub const LAPSE_GRACE_MS: u64 = 2_300;
/// Time before the limit for requests to upstreams that have left at which the grace
/// period ends, in milliseconds; requests are on their way, and plans that expire
/// entries are up to this far apart.
pub const DRAIN_MARGIN_MS: u64 = 250;

/// Time from the end of an outage within which missing entries may only have lapsed,
/// where upstreams that have left may receive requests for `drain_within_ms`.
pub fn lapse_grace_ms(drain_within_ms: u64) -> u64 {
    LAPSE_GRACE_MS.min(drain_within_ms.saturating_sub(DRAIN_MARGIN_MS))
}

/// Models and adapters in an engine's accelerator memory.
pub type Holdings = BTreeMap<ModelId, BTreeSet<AdapterId>>;

/// One listed upstream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Entry {
    /// Name of this incarnation.
    pub id: UpstreamId,
    /// Service.
    pub service: ServiceId,
    /// Address for requests and orders.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Version of its software, if stated.
    pub software: Option<SoftwareVersion>,
    /// Requests that run concurrently.
    pub slots: u32,
    /// True once it accepts no new requests.
    pub is_draining: bool,
    /// Start of the incarnation, in milliseconds since the epoch.
    pub started_ms: u64,
    /// Sequence number of this announcement of the upstream.
    pub sequence: u64,
    /// Time at which this host first read the announcement.
    pub read_ms: u64,
    /// Models and adapters that are ready.
    pub resident: Holdings,
    /// Models whose weights are in host memory.
    pub in_memory: BTreeSet<ModelId>,
    /// Models whose weights are on disk.
    pub on_disk: BTreeSet<ModelId>,
}

impl Entry {
    /// Source from which the engine loads a model.
    pub fn source_of(&self, model: &ModelId) -> WeightSource {
        WeightSource::of(self.in_memory.contains(model), self.on_disk.contains(model))
    }

    /// Order of this announcement among all of the upstream.
    pub fn order(&self) -> AnnouncementOrder {
        (self.started_ms, self.sequence)
    }

    /// Name of the version of its software; empty if unknown.
    pub fn software_name(&self) -> &str {
        self.software.as_ref().map_or("", SoftwareVersion::as_str)
    }

    /// True if the model, and the adapter if one is named, are ready.
    pub fn has_ready(&self, model: &ModelId, adapter: Option<&AdapterId>) -> bool {
        self.resident
            .get(model)
            .is_some_and(|adapters| adapter.is_none_or(|a| adapters.contains(a)))
    }
}

/// Change of the registry.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RegistryChange {
    /// Listed for the first time, or by a new incarnation.
    Added(UpstreamId),
    /// Accepts no new requests from now on.
    Draining(UpstreamId),
    /// No longer listed.
    Removed(UpstreamId),
    /// Missing after an outage; in use until the grace period of the outage ends.
    Lapsed(UpstreamId),
    /// Its holdings have changed.
    Holdings(UpstreamId),
}

/// Time for which the acting host's observation takes precedence over listings,
/// in milliseconds; upstreams announce themselves about once a second, and
/// listings are read with some delay.
const OBSERVATION_PRECEDENCE_MS: u64 = 2_500;

/// Order of an observation by acting hosts: term and number within it.
pub type ObservationNumber = (u64, u64);

/// Time for which a removed or leaving upstream is remembered, in milliseconds;
/// copies of the store are some seconds old.
const DEPARTURE_MEMORY_MS: u64 = 120_000;

/// Time for which an upstream must go on announcing itself before announcements that
/// count as outdated are taken for its present ones, in milliseconds; late writes of
/// announcements that are outdated come within less.
const CONTRADICTION_MS: u64 = 5_000;

/// Start and sequence number of an announcement, by which the announcements of an upstream
/// are ordered.
pub type AnnouncementOrder = (u64, u64);

/// Announcements of one upstream that count as outdated, without any other since.
#[derive(Clone, Copy, Debug)]
struct Contradiction {
    since_ms: u64,
    latest: AnnouncementOrder,
}

/// Upstream that was deleted from the list.
#[derive(Clone, Copy, Debug)]
struct Removal {
    started_ms: u64,
    sequence: u64,
    era: Era,
    removed_ms: u64,
}

/// Upstream that has stated that it is about to stop.
#[derive(Clone, Copy, Debug)]
struct Leaving {
    started_ms: u64,
    noticed_ms: u64,
}

/// Entry that may only have lapsed during an outage of the store.
#[derive(Clone, Copy, Debug)]
struct Lapse {
    until_ms: u64,
    /// Time at which this host learned that it was deleted after the outage, if it was.
    deleted_ms: Option<u64>,
}

/// All listed upstreams.
#[derive(Clone, Debug, Default)]
pub struct Registry {
    /// Era of the listings that are being applied.
    era: Era,
    removals: BTreeMap<UpstreamId, Removal>,
    leaving: BTreeMap<UpstreamId, Leaving>,
    entries: BTreeMap<UpstreamId, Entry>,
    observations: BTreeMap<UpstreamId, (ObservationNumber, u64)>,
    lapsed: BTreeMap<UpstreamId, Lapse>,
    contradictions: BTreeMap<UpstreamId, Contradiction>,
}

impl Registry {
    /// Entry of an upstream.
    pub fn get(&self, id: &str) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// True if an entry takes requests: it is listed and not about to leave, and has not
    /// lapsed for longer than its grace period, whether it has been removed yet or not.
    pub fn takes_requests(&self, entry: &Entry, now_ms: u64) -> bool {
        let lapse = self.lapsed.get(&entry.id);
        !entry.is_draining && lapse.is_none_or(|l| now_ms < l.until_ms)
    }

    /// All entries, by name.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Entries of a service.
    pub fn of_service<'a>(&'a self, service: &'a ServiceId) -> impl Iterator<Item = &'a Entry> {
        self.entries.values().filter(|e| e.service == *service)
    }

    /// Number of entries.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// True if nothing is listed.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Starts to apply listings of an era of the store.
    pub fn start_era(&mut self, era: Era) {
        if self.era != era {
            self.contradictions.clear();
        }
        self.era = era;
    }

    /// Takes an incarnation out of service that has stated that it is about to
    /// stop; `None` if that was known or another incarnation is listed.
    pub fn mark_leaving(
        &mut self,
        id: &UpstreamId,
        started_ms: u64,
        now_ms: u64,
    ) -> Option<RegistryChange> {
        let known = self.leaving.get(id);
        if known.is_some_and(|l| l.started_ms > started_ms) {
            return None;
        }
        let leaving = Leaving {
            started_ms,
            noticed_ms: now_ms,
        };
        self.leaving.insert(id.clone(), leaving);
        let entry = self.entries.get_mut(id)?;
        if entry.started_ms != started_ms || entry.is_draining {
            return None;
        }
        entry.is_draining = true;
        Some(RegistryChange::Draining(id.clone()))
    }

    /// True if an announcement was written before this host learned that the
    /// upstream is gone; only a restored store still lists it.
    fn predates_removal(&self, entry: &Entry) -> bool {
        self.removals.get(&entry.id).is_some_and(|removal| {
            let removed = (removal.started_ms, removal.sequence);
            removal.era < self.era && entry.order() <= removed
        })
    }

    /// True if an announcement that counts as outdated is the upstream's present one: it
    /// has announced itself in this order for some time, and in no other.
    fn contradicts_known(&mut self, entry: &Entry, now_ms: u64) -> bool {
        let contradiction = self
            .contradictions
            .entry(entry.id.clone())
            .or_insert(Contradiction {
                since_ms: now_ms,
                latest: entry.order(),
            });
        if entry.order() <= contradiction.latest {
            return false;
        }
        contradiction.latest = entry.order();
        now_ms >= contradiction.since_ms + CONTRADICTION_MS
    }

    /// Inserts or updates an entry.
    pub fn upsert(&mut self, mut entry: Entry, now_ms: u64) -> Option<RegistryChange> {
        if self.predates_removal(&entry) {
            return None;
        }
        self.lapsed.remove(&entry.id);
        entry.read_ms = now_ms;
        if let Some(leaving) = self.leaving.get(&entry.id) {
            entry.is_draining |= leaving.started_ms >= entry.started_ms;
        }
        let id = entry.id.clone();
        let Some(old) = self.entries.get(&entry.id) else {
            self.entries.insert(entry.id.clone(), entry);
            return Some(RegistryChange::Added(id));
        };
        let (order, known_order) = (entry.order(), old.order());
        if order < known_order && !self.contradicts_known(&entry, now_ms) {
            // An outdated announcement, perhaps of an earlier incarnation.
            return None;
        }
        self.contradictions.remove(&entry.id);
        let old = self.entries.get(&entry.id)?;
        if order == known_order {
            // The same announcement, listed again.
            entry.read_ms = old.read_ms;
        }
        let is_restarted = entry.started_ms != old.started_ms;
        let is_newly_draining = entry.is_draining && !old.is_draining;
        let observed_ms = self
            .observations
            .get(&entry.id)
            .map_or(0, |(_, at_ms)| *at_ms);
        if is_restarted {
            self.observations.remove(&entry.id);
        } else if now_ms < observed_ms + OBSERVATION_PRECEDENCE_MS {
            // The acting host's observation is newer than the listing.
            entry.resident.clone_from(&old.resident);
        }
        let is_changed = entry.resident != old.resident;
        self.entries.insert(entry.id.clone(), entry);
        if is_restarted {
            Some(RegistryChange::Added(id))
        } else if is_newly_draining {
            Some(RegistryChange::Draining(id))
        } else {
            is_changed.then_some(RegistryChange::Holdings(id))
        }
    }

    /// Applies the holdings that the acting host observed after an order; true
    /// if they differ from the entry.
    pub fn apply_holdings(
        &mut self,
        now_ms: u64,
        id: &str,
        started_ms: u64,
        number: ObservationNumber,
        resident: &Holdings,
    ) -> bool {
        let Some(entry) = self.entries.get_mut(id) else {
            return false;
        };
        let last = self.observations.get(id).map(|(number, _)| *number);
        if entry.started_ms != started_ms || last.is_some_and(|last| last >= number) {
            return false;
        }
        self.observations.insert(entry.id.clone(), (number, now_ms));
        let is_changed = entry.resident != *resident;
        if is_changed {
            entry.resident.clone_from(resident);
        }
        is_changed
    }

    /// Removes an entry that was deleted in the store, or keeps it until the end of
    /// the grace period if one is given.
    pub fn remove(
        &mut self,
        id: &str,
        lapse_until_ms: Option<u64>,
        now_ms: u64,
    ) -> Option<RegistryChange> {
        self.lapse_or_remove(id, lapse_until_ms, Some(now_ms), now_ms)
    }

    fn lapse_or_remove(
        &mut self,
        id: &str,
        lapse_until_ms: Option<u64>,
        deleted_ms: Option<u64>,
        now_ms: u64,
    ) -> Option<RegistryChange> {
        let (id, _) = self.entries.get_key_value(id)?;
        let id = id.clone();
        if let Some(until_ms) = lapse_until_ms.filter(|until_ms| now_ms < *until_ms) {
            let lapse = Lapse {
                until_ms,
                deleted_ms,
            };
            self.lapsed.entry(id.clone()).or_insert(lapse);
            return Some(RegistryChange::Lapsed(id));
        }
        let entry = self.drop_entry(&id)?;
        let removal = Removal {
            started_ms: entry.started_ms,
            sequence: entry.sequence,
            era: self.era,
            removed_ms: now_ms,
        };
        self.removals.insert(id.clone(), removal);
        Some(RegistryChange::Removed(id))
    }

    fn drop_entry(&mut self, id: &UpstreamId) -> Option<Entry> {
        self.observations.remove(id);
        self.lapsed.remove(id);
        self.contradictions.remove(id);
        self.entries.remove(id)
    }

    /// Drops what is remembered of upstreams that left long ago.
    fn forget_departed(&mut self, now_ms: u64) {
        let is_recent = |at_ms: u64| now_ms < at_ms + DEPARTURE_MEMORY_MS;
        self.removals.retain(|_, r| is_recent(r.removed_ms));
        let entries = &self.entries;
        self.leaving
            .retain(|id, l| is_recent(l.noticed_ms) || entries.contains_key(id));
    }

    /// Replaces all entries by a complete listing.
    pub fn replace(
        &mut self,
        listed: Vec<Entry>,
        lapse_until_ms: Option<u64>,
        now_ms: u64,
    ) -> Vec<RegistryChange> {
        let listed_ids: BTreeSet<UpstreamId> = listed.iter().map(|e| e.id.clone()).collect();
        let mut changes: Vec<RegistryChange> = listed
            .into_iter()
            .filter_map(|e| self.upsert(e, now_ms))
            .collect();
        let missing: Vec<UpstreamId> = self
            .entries
            .keys()
            .filter(|id| !listed_ids.contains(*id))
            .cloned()
            .collect();
        changes.extend(
            missing
                .iter()
                .filter(|id| !self.lapsed.contains_key(*id))
                .map(UpstreamId::as_str)
                .collect::<Vec<_>>()
                .into_iter()
                .filter_map(|id| self.lapse_or_remove(id, lapse_until_ms, None, now_ms)),
        );
        changes
    }

    /// Sets the ends of the grace periods of lapsed entries, given the time at which each
    /// was deleted if that was after the outage.
    pub fn limit_lapsed(&mut self, until_ms: impl Fn(&Entry, Option<u64>) -> u64) {
        for (id, lapse) in &mut self.lapsed {
            if let Some(entry) = self.entries.get(id) {
                lapse.until_ms = until_ms(entry, lapse.deleted_ms);
            }
        }
    }

    /// Removes lapsed entries whose grace period has ended. They were only not listed,
    /// so that any later announcement counts.
    pub fn expire_lapsed(&mut self, now_ms: u64) -> Vec<RegistryChange> {
        self.forget_departed(now_ms);
        let expired: Vec<UpstreamId> = self
            .lapsed
            .iter()
            .filter(|(_, lapse)| now_ms >= lapse.until_ms)
            .map(|(id, _)| id.clone())
            .collect();
        expired
            .into_iter()
            .filter_map(|id| {
                self.drop_entry(&id)
                    .map(|entry| RegistryChange::Removed(entry.id))
            })
            .collect()
    }
}
