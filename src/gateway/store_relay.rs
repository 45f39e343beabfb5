//! Passes changes of the store on to the followers of this host's zone, and applies
//! those that watching hosts pass on.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::peer_messages::PeerMessage;
use super::platform::Platform;
use super::state::Gateway;
use super::store_facts::{HostRecord, RevisedFact, StoreFact};
use crate::core::ids::{HostId, ServiceId, SoftwareVersion, UpstreamId, ZoneId};
use crate::core::registry::{Entry, Holdings};
use crate::core::stated::{StatedCount, StatedMillis, StatedNumber};
use crate::core::store_era::Era;
use crate::core::store_relay::{Fit, Follower, Position, is_watcher};

/// Limit of the changes in one datagram; keeps it within a packet of the usual
/// size.
const MAX_FACTS_PER_DATAGRAM: usize = 4;
/// Time after which a datagram has been read at the latest, in milliseconds.
const MAX_DATAGRAM_AGE_MS: u64 = 500;

/// Entry of an upstream as passed on; leaves out what only the acting host uses.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RelayedEntry {
    #[serde(rename = "i")]
    id: UpstreamId,
    #[serde(rename = "s")]
    service: ServiceId,
    #[serde(rename = "a")]
    addr: SocketAddr,
    #[serde(rename = "z")]
    zone: ZoneId,
    #[serde(rename = "w", default)]
    software: Option<SoftwareVersion>,
    #[serde_as(as = "StatedCount")]
    #[serde(rename = "n")]
    slots: u32,
    #[serde(rename = "d")]
    is_draining: bool,
    #[serde_as(as = "StatedNumber")]
    #[serde(rename = "b")]
    started_ms: u64,
    #[serde_as(as = "StatedNumber")]
    #[serde(rename = "q")]
    sequence: u64,
    #[serde(rename = "m")]
    resident: Holdings,
}

/// Change of one key as passed on.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum RelayedFact {
    /// Entry of an upstream.
    #[serde(rename = "u")]
    Upstream(RelayedEntry),
    /// An upstream is not listed.
    #[serde(rename = "v")]
    NoUpstream(UpstreamId),
    /// Entry of a host.
    #[serde(rename = "h")]
    Host(HostRecord),
    /// A host is not listed.
    #[serde(rename = "i")]
    NoHost(HostId),
    /// Entry of the acting host.
    #[serde(rename = "a")]
    Acting(HostRecord),
    /// There is no acting host.
    #[serde(rename = "b")]
    NoActing,
    /// The configuration has changed; it is read from the store.
    #[serde(rename = "c")]
    Catalog,
    /// The quarantine has changed; it is read from the store.
    #[serde(rename = "q")]
    Quarantine,
    /// The crashes have changed; only hosts that watch the store need them.
    #[serde(rename = "x")]
    Crashes,
}

/// Consecutive changes of the store.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoreChanges {
    /// Era of the store.
    #[serde_as(as = "StatedNumber")]
    #[serde(rename = "e")]
    pub era: u64,
    /// Revision before the changes.
    #[serde_as(as = "StatedNumber")]
    #[serde(rename = "f")]
    pub after: u64,
    /// Revision up to which these are all changes.
    #[serde_as(as = "StatedNumber")]
    #[serde(rename = "r")]
    pub until: u64,
    /// Time for which missing upstreams may only have lapsed, in milliseconds.
    #[serde_as(as = "StatedMillis")]
    #[serde(rename = "g", default)]
    pub lapse_left_ms: u64,
    /// Time since the read was requested that has shown `until`, in milliseconds; absent if
    /// other changes follow that it has shown, and from hosts of older releases.
    #[serde_as(as = "Option<StatedMillis>")]
    #[serde(rename = "t", default, skip_serializing_if = "Option::is_none")]
    pub read_ago_ms: Option<u64>,
    /// Changes with their revisions, oldest first.
    #[serde(rename = "c")]
    pub facts: Vec<(u64, RelayedFact)>,
}

impl RelayedFact {
    fn from_fact(fact: &StoreFact) -> Self {
        match fact {
            StoreFact::Catalog(_) => Self::Catalog,
            StoreFact::Upstream(entry) => Self::Upstream(RelayedEntry {
                id: entry.id.clone(),
                service: entry.service.clone(),
                addr: entry.addr,
                zone: entry.zone.clone(),
                software: entry.software.clone(),
                slots: entry.slots,
                is_draining: entry.is_draining,
                started_ms: entry.started_ms,
                sequence: entry.sequence,
                resident: entry.resident.clone(),
            }),
            StoreFact::NoUpstream(id) => Self::NoUpstream(id.clone()),
            StoreFact::Host(record) => Self::Host(record.clone()),
            StoreFact::NoHost(host) => Self::NoHost(host.clone()),
            StoreFact::Acting(record) => Self::Acting(record.clone()),
            StoreFact::NoActing => Self::NoActing,
            StoreFact::Quarantine(_) => Self::Quarantine,
            StoreFact::Crashes(_) => Self::Crashes,
        }
    }
}

/// Splits changes so that each part fits into one datagram and continues from the
/// one before.
pub fn split_changes(changes: &StoreChanges) -> Vec<StoreChanges> {
    let mut parts = Vec::new();
    let mut after = changes.after;
    let mut rest = changes.facts.as_slice();
    while rest.len() > MAX_FACTS_PER_DATAGRAM {
        // Changes of one transaction have the same revision and stay together.
        let last = rest[MAX_FACTS_PER_DATAGRAM - 1].0;
        let count = rest.partition_point(|(revision, _)| *revision <= last);
        let (facts, following) = rest.split_at(count);
        if following.is_empty() {
            break;
        }
        parts.push(StoreChanges {
            after,
            until: last,
            read_ago_ms: None,
            facts: facts.to_vec(),
            ..*changes
        });
        after = last;
        rest = following;
    }
    parts.push(StoreChanges {
        after,
        facts: rest.to_vec(),
        ..*changes
    });
    parts
}

impl<P: Platform> Gateway<P> {
    /// True if this host watches the store itself.
    pub fn is_store_watcher(&self) -> bool {
        if !self.is_large_fleet() || self.is_acting_host() {
            return true;
        }
        let settings = self.settings();
        let peers = self.peers.borrow();
        let zone_hosts = peers
            .listed()
            .filter(|(_, peer)| peer.zone() == Some(settings.zone.as_str()))
            .map(|(host, peer)| (host, peer.cpu_milli));
        is_watcher(zone_hosts, &settings.host, settings.cpu_milli())
    }

    /// Records that all changes up to a position are known, as the store has
    /// confirmed to a read that was requested at a time, if that is known.
    pub fn confirm_position(&self, position: Position, requested_ms: Option<u64>) {
        self.position.set(position);
        if let Some(requested_ms) = requested_ms {
            let mut write_times = self.write_times.borrow_mut();
            write_times.record_read(position, requested_ms);
        }
        self.software.borrow_mut().confirm(self.now_ms());
        self.update_follower(|follower| follower.on_confirmed(self.now_ms()));
    }

    fn update_follower(&self, update: impl FnOnce(&mut Follower)) {
        let mut follower = self.follower.get();
        update(&mut follower);
        self.follower.set(follower);
    }

    /// Passes changes on to the other hosts of the zone; without changes, only the
    /// position.
    pub fn relay_changes(
        &self,
        from: Position,
        until: Position,
        requested_ms: u64,
        facts: &[RevisedFact],
    ) {
        let settings = self.settings();
        let mut relayed: Vec<(u64, RelayedFact)> = facts
            .iter()
            .map(|f| (f.revision, RelayedFact::from_fact(&f.fact)))
            .collect();
        relayed.sort_by_key(|(revision, _)| *revision);
        let changes = StoreChanges {
            era: until.era.0,
            after: from.revision,
            until: until.revision,
            lapse_left_ms: self
                .lapse_until_ms()
                .map_or(0, |until_ms| until_ms - self.now_ms()),
            read_ago_ms: Some(self.now_ms() - requested_ms),
            facts: relayed,
        };
        let addrs = self.other_hosts(|peer| peer.zone() == Some(settings.zone.as_str()));
        for part in split_changes(&changes) {
            self.send_peers(addrs.clone(), &PeerMessage::StoreChanges(part));
        }
    }

    /// Applies changes that a watching host passes on.
    pub fn apply_relayed(&self, changes: StoreChanges) {
        if !self.is_synced.get() || self.is_store_watcher() {
            return;
        }
        let now_ms = self.now_ms();
        let position = self.position.get();
        let must_read = || {
            let mut facts = changes.facts.iter();
            facts.any(|(_, fact)| matches!(fact, RelayedFact::Catalog | RelayedFact::Quarantine))
        };
        let until = Position {
            era: Era(changes.era),
            revision: changes.until,
        };
        let requested_ms = changes
            .read_ago_ms
            .and_then(|ago_ms| now_ms.checked_sub(ago_ms + MAX_DATAGRAM_AGE_MS));
        match position.fit(changes.after, until) {
            Fit::Known if until == position => self.confirm_position(position, requested_ms),
            // This host has confirmed a later position than the watching host.
            Fit::Known => {}
            Fit::Gap => self.update_follower(|follower| follower.on_gap(now_ms)),
            Fit::Continues if must_read() => {
                let spread_ms = self.relay_times().batch_pause.as_millis() as usize;
                let delay_ms = self.rng.borrow_mut().below(spread_ms) as u64;
                self.update_follower(|follower| follower.on_change_to_read(now_ms, delay_ms));
            }
            Fit::Continues => {
                let relayed_ms = now_ms + changes.lapse_left_ms;
                let relayed_until_ms = (now_ms < relayed_ms).then_some(relayed_ms);
                for (revision, fact) in changes.facts {
                    if revision > position.revision {
                        self.apply_relayed_fact(revision, fact, until.era, relayed_until_ms);
                    }
                }
                self.confirm_position(until, requested_ms);
                self.admission_queue.borrow().wake();
            }
        }
    }

    fn apply_relayed_fact(
        &self,
        revision: u64,
        fact: RelayedFact,
        era: Era,
        relayed_until_ms: Option<u64>,
    ) {
        let fact = match fact {
            RelayedFact::Upstream(entry) => StoreFact::Upstream(Box::new(self.entry_from(entry))),
            RelayedFact::NoUpstream(id) => StoreFact::NoUpstream(id),
            RelayedFact::Host(record) => StoreFact::Host(record),
            RelayedFact::NoHost(host) => StoreFact::NoHost(host),
            RelayedFact::Acting(record) => StoreFact::Acting(record),
            RelayedFact::NoActing => StoreFact::NoActing,
            RelayedFact::Catalog | RelayedFact::Quarantine | RelayedFact::Crashes => return,
        };
        self.apply_fact(RevisedFact { revision, fact }, era, relayed_until_ms);
    }

    /// Entry of an upstream; the copies of weights are those known of the same
    /// incarnation.
    fn entry_from(&self, relayed: RelayedEntry) -> Entry {
        let registry = self.registry.borrow();
        let known = registry
            .get(relayed.id.as_str())
            .filter(|e| e.started_ms == relayed.started_ms);
        Entry {
            in_memory: known.map(|e| e.in_memory.clone()).unwrap_or_default(),
            on_disk: known.map(|e| e.on_disk.clone()).unwrap_or_default(),
            id: relayed.id,
            service: relayed.service,
            addr: relayed.addr,
            zone: relayed.zone,
            software: relayed.software,
            slots: relayed.slots,
            is_draining: relayed.is_draining,
            started_ms: relayed.started_ms,
            sequence: relayed.sequence,
            read_ms: 0,
            resident: relayed.resident,
        }
    }
}
