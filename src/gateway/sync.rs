//! Mirrors the platform's store: configuration, upstreams and hosts.
//!
//! A single watch over all keys costs one call per batch of changes. After an
//! error or a compaction, and when the store was restored from an older copy, all
//! keys are read again. Revisions are never compared across a restore.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use super::platform::{FleetStore, Platform, WatchResponse};
use super::state::{ActingHost, Gateway};
use crate::core::ids::HostId;
use crate::core::peer_list::Peer;
use crate::core::registry::{Entry, LAPSE_GRACE_MS};
use crate::core::store_era::{Era, term_number};
use crate::edge::kv::{Change, KeyValue, KvError};
use crate::kernel::Service;

/// Longest time for which the store holds a watch without changes; short enough
/// to detect a lost response before requests to a draining upstream must stop.
const WATCH_TIMEOUT: Duration = Duration::from_millis(2_500);
/// Changes are batched for the shortest time within which they must apply,
/// divided by this, so that one call returns several. The rest of that time is
/// left for the calls and for a slow event loop.
const BATCH_DIVISOR: u32 = 3;
/// Delay after the first error; doubles with each further one.
const MIN_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Limit of the delay after errors.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(800);

/// Prefix of a host's key, after the prefix of the gateway's keys.
pub const HOSTS_KEY: &str = "hosts/";
/// Key of the acting host, after the prefix of the gateway's keys.
pub const ACTING_KEY: &str = "acting";

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
}

/// Service that mirrors the store.
#[derive(Debug)]
pub struct StoreSync<P: Platform> {
    gateway: Rc<Gateway<P>>,
    outage_ended_ms: Cell<u64>,
    /// Era of the last complete listing.
    era: Cell<Option<Era>>,
}

impl<P: Platform> StoreSync<P> {
    /// Creates the service on the shared state.
    pub fn new(gateway: Rc<Gateway<P>>) -> Self {
        Self {
            gateway,
            outage_ended_ms: Cell::new(0),
            era: Cell::new(None),
        }
    }

    async fn watch_store(&self) -> Result<(), KvError> {
        let store = self.gateway.platform.store();
        let snapshot = store.list(P::WATCH_PREFIX).await?;
        // Before the first listing there are no entries that could have lapsed.
        if self.gateway.record_store_state(true, "read") && self.gateway.is_synced.get() {
            self.outage_ended_ms.set(self.gateway.now_ms());
        }
        let era = store.era();
        if self.era.replace(Some(era)).is_some_and(|last| last != era) {
            // The copy lacks the upstreams that registered after it was made; they
            // register again as they do after an outage.
            self.outage_ended_ms.set(self.gateway.now_ms());
        }
        self.gateway.registry.borrow_mut().start_era(era);
        let mut after = snapshot.revision;
        self.apply_snapshot(snapshot.kvs, era);
        loop {
            let response = futures_util::select_biased! {
                () = store.until_era_after(era).fuse() => return Ok(()),
                response = store
                    .poll_changes(P::WATCH_PREFIX, after, WATCH_TIMEOUT)
                    .fuse() => response?,
            };
            if store.era() != era {
                return Ok(());
            }
            let WatchResponse::Changes { changes, revision } = response else {
                tracing::info!(event = "store", what = "history_lost", after);
                return Ok(());
            };
            after = revision.max(after);
            let is_idle = changes.is_empty();
            for change in changes {
                self.apply_change(change, era);
            }
            self.gateway.admission_queue.borrow().wake();
            if !is_idle {
                let settings = self.gateway.settings();
                let bound = settings.drain_within.min(settings.config_within);
                compio::time::sleep(bound / BATCH_DIVISOR).await;
            }
        }
    }

    /// True if missing entries may have lapsed during an outage of the store that
    /// has just ended, or are missing in the copy from which it was restored.
    fn is_after_outage(&self) -> bool {
        self.gateway.now_ms() < self.outage_ended_ms.get() + LAPSE_GRACE_MS
    }

    fn apply_snapshot(&self, kvs: Vec<KeyValue>, era: Era) {
        let gateway = &self.gateway;
        let mut entries = Vec::new();
        let mut peers = std::collections::HashMap::new();
        let mut acting = None;
        for kv in kvs {
            if kv.key == P::CATALOG_KEY {
                self.update_catalog(&kv);
            } else if let Some(id) = kv.key.strip_prefix(P::UPSTREAM_PREFIX) {
                entries.extend(self.decode_upstream(id, &kv));
            } else if let Some(suffix) = kv.key.strip_prefix(P::GATEWAY_PREFIX) {
                let value = decode_host(&kv);
                if suffix == ACTING_KEY {
                    acting = value.map(|v| acting_host(v, term_number(era, kv.mod_revision)));
                } else if let Some(value) = value.filter(|_| suffix.starts_with(HOSTS_KEY)) {
                    peers.insert(value.host.clone(), peer_from(&value));
                }
            }
        }
        let now_ms = gateway.now_ms();
        let is_after_outage = self.is_after_outage();
        let changes = {
            let mut registry = gateway.registry.borrow_mut();
            registry.replace(entries, is_after_outage, now_ms)
        };
        for change in &changes {
            gateway.on_registry_change(change, 0);
        }
        gateway.peers.borrow_mut().replace(now_ms, peers);
        gateway.set_acting_host(acting);
        gateway.is_synced.set(true);
    }

    fn apply_change(&self, change: Change, era: Era) {
        match change {
            Change::Put(kv) => self.apply_put(&kv, era),
            Change::Delete { key, mod_revision } => self.apply_delete(&key, mod_revision),
        }
    }

    fn apply_put(&self, kv: &KeyValue, era: Era) {
        let gateway = &self.gateway;
        if kv.key == P::CATALOG_KEY {
            self.update_catalog(kv);
        } else if let Some(id) = kv.key.strip_prefix(P::UPSTREAM_PREFIX) {
            let Some(entry) = self.decode_upstream(id, kv) else {
                return self.remove_upstream(id, kv.mod_revision, false);
            };
            let now_ms = gateway.now_ms();
            let change = gateway.registry.borrow_mut().upsert(entry, now_ms);
            if let Some(change) = change {
                gateway.on_registry_change(&change, kv.mod_revision);
            }
        } else if let Some(suffix) = kv.key.strip_prefix(P::GATEWAY_PREFIX) {
            let Some(value) = decode_host(kv) else {
                return;
            };
            if suffix == ACTING_KEY {
                let term = term_number(era, kv.mod_revision);
                gateway.set_acting_host(Some(acting_host(value, term)));
            } else if suffix.starts_with(HOSTS_KEY) {
                let mut peers = gateway.peers.borrow_mut();
                peers.insert(value.host.clone(), peer_from(&value));
            }
        }
    }

    fn apply_delete(&self, key: &str, revision: u64) {
        let gateway = &self.gateway;
        if let Some(id) = key.strip_prefix(P::UPSTREAM_PREFIX) {
            self.remove_upstream(id, revision, self.is_after_outage());
        } else if let Some(suffix) = key.strip_prefix(P::GATEWAY_PREFIX) {
            if suffix == ACTING_KEY {
                gateway.set_acting_host(None);
            } else if let Some(host) = suffix.strip_prefix(HOSTS_KEY) {
                let now_ms = gateway.now_ms();
                gateway.peers.borrow_mut().mark_unlisted(now_ms, host);
            }
        }
    }

    fn remove_upstream(&self, id: &str, revision: u64, is_after_outage: bool) {
        let now_ms = self.gateway.now_ms();
        let change = {
            let mut registry = self.gateway.registry.borrow_mut();
            registry.remove(id, is_after_outage, now_ms)
        };
        if let Some(change) = change {
            self.gateway.on_registry_change(&change, revision);
        }
    }

    fn update_catalog(&self, kv: &KeyValue) {
        match self.gateway.platform.catalog(&kv.value) {
            Ok(catalog) => self.gateway.apply_catalog(catalog),
            Err(error) => tracing::error!(
                event = "configuration",
                revision = kv.mod_revision,
                %error,
                "cannot decode configuration; the previous one stays in force"
            ),
        }
    }

    fn decode_upstream(&self, id: &str, kv: &KeyValue) -> Option<Entry> {
        match self.gateway.platform.upstream(id, &kv.value) {
            Ok(entry) => Some(entry),
            Err(error) => {
                let revision = kv.mod_revision;
                tracing::warn!(event = "upstream", upstream = id, revision, %error, "cannot decode entry");
                None
            }
        }
    }
}

fn decode_host(kv: &KeyValue) -> Option<HostRecord> {
    match serde_json::from_slice(&kv.value) {
        Ok(value) => Some(value),
        Err(error) => {
            tracing::warn!(event = "store", key = kv.key, %error, "cannot decode entry");
            None
        }
    }
}

fn peer_from(value: &HostRecord) -> Peer {
    Peer::new(value.addr, value.cpu_milli)
}

fn acting_host(value: HostRecord, term: u64) -> ActingHost {
    ActingHost {
        host: value.host,
        addr: value.addr,
        term,
    }
}

impl<P: Platform> Gateway<P> {
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

impl<P: Platform> Service for StoreSync<P> {
    const NAME: &'static str = "gateway-sync";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        let mut pause = MIN_RETRY_DELAY;
        loop {
            let result = futures_util::select_biased! {
                () = cancel.cancelled().fuse() => return,
                result = self.watch_store().fuse() => result,
            };
            pause = match result {
                Ok(()) => MIN_RETRY_DELAY,
                Err(error) => {
                    let was_up = self.gateway.is_store_up.get();
                    self.gateway.record_store_state(false, error.as_str());
                    if was_up {
                        MIN_RETRY_DELAY
                    } else {
                        (pause * 2).min(MAX_RETRY_DELAY)
                    }
                }
            };
            // Jitter spreads the retries of hosts that lost the store at the
            // same time.
            let jitter = self.gateway.rng.borrow_mut().below(100) as u64;
            compio::time::sleep(pause + Duration::from_millis(jitter)).await;
        }
    }
}
