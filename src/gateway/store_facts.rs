//! What the store's keys say, and how this host applies it.

use std::collections::HashMap;
use std::net::SocketAddr;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};

use super::crashes::StoredVersion;
use super::platform::Platform;
use super::state::{ActingHost, Gateway};
use crate::core::catalog::Catalog;
use crate::core::crash_ledger::StoredLedger;
use crate::core::features::Features;
use crate::core::ids::{HostId, UpstreamId};
use crate::core::peer_list::Peer;
use crate::core::quarantine::Quarantine;
use crate::core::registry::Entry;
use crate::core::store_era::{Era, term_number};
use crate::core::store_relay::Position;
use crate::edge::kv::{Change, KeyValue};

/// Prefix of a host's key, after the prefix of the gateway's keys.
pub const HOSTS_KEY: &str = "hosts/";
/// Key of the acting host, after the prefix of the gateway's keys.
pub const ACTING_KEY: &str = "acting";
/// Key of the quarantine, after the prefix of the gateway's keys.
pub const QUARANTINE_KEY: &str = "quarantine";
/// Key of the crashes that count against suspects, after the prefix of the gateway's keys.
pub const CRASHES_KEY: &str = "crashes";

/// Host as stored under its own key and under the acting host's key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostRecord {
    /// ID of the host.
    pub host: HostId,
    /// Address for peer messages.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// CPU share of its machine, in thousandths of a core; 0 if unknown.
    #[serde(default)]
    pub cpu_milli: u32,
    /// Features that it states; none in entries of older releases.
    #[serde(default)]
    pub features: Features,
}

/// Decoded content or deletion of one key.
#[derive(Clone, Debug, PartialEq)]
pub enum StoreFact {
    /// Operators' configuration.
    Catalog(Box<Catalog>),
    /// Entry of an upstream.
    Upstream(Box<Entry>),
    /// An upstream is not listed, or its entry names none to use.
    NoUpstream(UpstreamId),
    /// Entry of a host.
    Host(HostRecord),
    /// A host is not listed.
    NoHost(HostId),
    /// Entry of the acting host.
    Acting(HostRecord),
    /// There is no acting host.
    NoActing,
    /// Requests that are not sent.
    Quarantine(Quarantine),
    /// Crashes that count against suspects.
    Crashes(StoredLedger),
}

/// Fact with the revision of its key.
#[derive(Clone, Debug, PartialEq)]
pub struct RevisedFact {
    /// Revision of the last modification of the key.
    pub revision: u64,
    /// Content or deletion.
    pub fact: StoreFact,
}

impl<P: Platform> Gateway<P> {
    /// Decodes a change; `None` if its key or value has no meaning here.
    pub fn decode_change(&self, change: Change) -> Option<RevisedFact> {
        let (revision, fact) = match change {
            Change::Put(kv) => (kv.mod_revision, self.decode_item(&kv)),
            Change::Delete { key, mod_revision } => (mod_revision, Self::decode_deletion(&key)),
        };
        fact.map(|fact| RevisedFact { revision, fact })
    }

    /// Decodes the content of a key.
    fn decode_item(&self, kv: &KeyValue) -> Option<StoreFact> {
        if kv.key == P::CATALOG_KEY {
            return self.decode_catalog(kv);
        }
        if let Some(id) = kv.key.strip_prefix(P::UPSTREAM_PREFIX) {
            return Some(self.decode_upstream(id, kv));
        }
        let suffix = kv.key.strip_prefix(P::GATEWAY_PREFIX)?;
        if suffix == QUARANTINE_KEY {
            return decode(kv).map(StoreFact::Quarantine);
        }
        if suffix == CRASHES_KEY {
            return decode(kv).map(StoreFact::Crashes);
        }
        let record = decode(kv)?;
        if suffix == ACTING_KEY {
            Some(StoreFact::Acting(record))
        } else {
            suffix
                .starts_with(HOSTS_KEY)
                .then_some(StoreFact::Host(record))
        }
    }

    fn decode_deletion(key: &str) -> Option<StoreFact> {
        if let Some(id) = key.strip_prefix(P::UPSTREAM_PREFIX) {
            return Some(StoreFact::NoUpstream(UpstreamId::new(id)));
        }
        let suffix = key.strip_prefix(P::GATEWAY_PREFIX)?;
        if suffix == ACTING_KEY {
            return Some(StoreFact::NoActing);
        }
        let host = suffix.strip_prefix(HOSTS_KEY)?;
        Some(StoreFact::NoHost(HostId::new(host)))
    }

    fn decode_catalog(&self, kv: &KeyValue) -> Option<StoreFact> {
        match self.platform.catalog(&kv.value) {
            Ok(catalog) => Some(StoreFact::Catalog(Box::new(catalog))),
            Err(error) => {
                tracing::error!(
                    event = "configuration",
                    revision = kv.mod_revision,
                    %error,
                    "cannot decode configuration; the previous one stays in force"
                );
                None
            }
        }
    }

    fn decode_upstream(&self, id: &str, kv: &KeyValue) -> StoreFact {
        match self.platform.upstream(id, &kv.value) {
            Ok(entry) => StoreFact::Upstream(Box::new(entry)),
            Err(error) => {
                let revision = kv.mod_revision;
                tracing::warn!(event = "upstream", upstream = id, revision, %error, "cannot decode entry");
                StoreFact::NoUpstream(UpstreamId::new(id))
            }
        }
    }

    /// Applies a complete listing.
    pub fn apply_snapshot(&self, kvs: &[KeyValue], era: Era, lapse_until_ms: Option<u64>) {
        let mut entries = Vec::new();
        let mut peers = HashMap::new();
        let mut acting = None;
        self.crashes.stored.set(StoredVersion::default());
        for kv in kvs {
            match self.decode_item(kv) {
                Some(StoreFact::Catalog(catalog)) => self.apply_catalog(*catalog),
                Some(StoreFact::Upstream(entry)) => entries.push(*entry),
                Some(StoreFact::Host(record)) => {
                    peers.insert(record.host.clone(), peer_from(&record));
                }
                Some(StoreFact::Acting(record)) => {
                    acting = Some(acting_host(record, term_number(era, kv.mod_revision)));
                }
                Some(StoreFact::Quarantine(quarantine)) => {
                    self.apply_stored_quarantine(quarantine, kv.mod_revision);
                }
                Some(StoreFact::Crashes(stored)) => self.restore_crashes(stored),
                Some(StoreFact::NoUpstream(_) | StoreFact::NoHost(_) | StoreFact::NoActing)
                | None => {}
            }
        }
        let now_ms = self.now_ms();
        {
            let mut software = self.software.borrow_mut();
            software.restart(now_ms);
            for entry in &entries {
                software.record(now_ms, entry);
            }
        }
        let changes = {
            let mut registry = self.registry.borrow_mut();
            registry.start_era(era);
            registry.replace(entries, lapse_until_ms, now_ms)
        };
        for change in &changes {
            self.on_registry_change(change, 0);
        }
        self.peers.borrow_mut().replace(now_ms, peers);
        self.set_acting_host(acting);
        self.is_synced.set(true);
    }

    /// Applies a change of one key. Until `relayed_until_ms`, if the change was passed on,
    /// an upstream that is not listed may only have lapsed.
    pub fn apply_fact(&self, revised: RevisedFact, era: Era, relayed_until_ms: Option<u64>) {
        let now_ms = self.now_ms();
        let revision = revised.revision;
        match revised.fact {
            StoreFact::Catalog(catalog) => self.apply_catalog(*catalog),
            StoreFact::Upstream(entry) => {
                self.software.borrow_mut().record(now_ms, &entry);
                let (id, announced) = (entry.id.clone(), entry.order());
                let change = self.registry.borrow_mut().upsert(*entry, now_ms);
                self.attest_announced(&id, announced, Position { era, revision });
                if let Some(change) = change {
                    self.on_registry_change(&change, revision);
                }
            }
            StoreFact::NoUpstream(id) => {
                let lapse_until_ms = self.deleted_until_ms(id.as_str()).max(relayed_until_ms);
                let change = {
                    let mut registry = self.registry.borrow_mut();
                    if let Some(entry) = registry.get(id.as_str()) {
                        self.software.borrow_mut().record(now_ms, entry);
                    }
                    registry.remove(id.as_str(), lapse_until_ms, now_ms)
                };
                if let Some(change) = change {
                    self.on_registry_change(&change, revision);
                }
            }
            StoreFact::Host(record) => {
                let mut peers = self.peers.borrow_mut();
                peers.insert(record.host.clone(), peer_from(&record));
            }
            StoreFact::NoHost(host) => {
                self.peers.borrow_mut().mark_unlisted(now_ms, host.as_str());
            }
            StoreFact::Acting(record) => {
                let term = term_number(era, revision);
                self.set_acting_host(Some(acting_host(record, term)));
            }
            StoreFact::NoActing => self.set_acting_host(None),
            StoreFact::Crashes(stored) => self.restore_crashes(stored),
            StoreFact::Quarantine(quarantine) => self.apply_stored_quarantine(quarantine, revision),
        }
    }

    /// Updates the acting host; `None` while there is none.
    pub fn set_acting_host(&self, acting: Option<ActingHost>) {
        let mut current = self.acting_host.borrow_mut();
        if *current == acting {
            return;
        }
        let host = acting.as_ref().map_or("", |a| a.host.as_str());
        let term = acting.as_ref().map_or(0, |a| a.term);
        tracing::info!(event = "acting_host", host, term);
        *current = acting;
    }
}

/// Decodes a value of this system; `None` if it is invalid, which is logged.
pub(super) fn decode<T: DeserializeOwned>(kv: &KeyValue) -> Option<T> {
    match serde_json::from_slice(&kv.value) {
        Ok(value) => Some(value),
        Err(error) => {
            tracing::warn!(event = "store", key = kv.key, %error, "cannot decode entry");
            None
        }
    }
}

fn peer_from(record: &HostRecord) -> Peer {
    let peer = Peer::new(record.addr, record.cpu_milli).in_zone(&record.zone);
    peer.with_features(record.features.clone())
}

fn acting_host(record: HostRecord, term: u64) -> ActingHost {
    ActingHost {
        host: record.host,
        addr: record.addr,
        term,
    }
}
