//! Follows the platform's store: configuration, upstreams, hosts.
//!
//! One watch over everything costs one call each time something changes.
//! After an error or a loss of history everything is read again.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use super::platform::{Changes, FleetStore, Platform};
use super::state::{ActingHost, Gateway};
use crate::core::ids::HostId;
use crate::core::peer_list::Peer;
use crate::core::registry::{Entry, LAPSE_GRACE_MS};
use crate::edge::kv::{Change, KeyValue, KvError};
use crate::kernel::Service;

/// Longest time that the store holds a watch without changes; short enough to
/// notice a lost answer before a leaving upstream must be left alone.
const WATCH_WAIT: Duration = Duration::from_millis(2_500);
/// Part of the shortest bound on changes for which they are gathered, so that
/// several come with one call; the rest is for the calls and a slow loop.
const BATCH_DIVISOR: u32 = 3;
/// First pause after an error; doubles.
const FIRST_RETRY: Duration = Duration::from_millis(100);
/// Longest pause after errors.
const MAX_RETRY: Duration = Duration::from_millis(800);

/// Key of a host, after the prefix of the system's own keys.
pub const HOSTS_KEY: &str = "hosts/";
/// Key of the acting host, after the prefix of the system's own keys.
pub const ACTING_KEY: &str = "acting";

/// Value of a host's key and of the acting host's key.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostValue {
    /// Name.
    pub host: HostId,
    /// Address for traffic between hosts.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: String,
    /// Thousandths of a core that its machine has; 0 if it does not say.
    #[serde(default)]
    pub cpu_milli: u32,
}

/// Service that follows the store.
#[derive(Debug)]
pub struct StoreSync<P: Platform> {
    gateway: Rc<Gateway<P>>,
    outage_ended_ms: Cell<u64>,
}

impl<P: Platform> StoreSync<P> {
    /// Service over the shared state.
    pub fn new(gateway: Rc<Gateway<P>>) -> Self {
        Self {
            gateway,
            outage_ended_ms: Cell::new(0),
        }
    }

    async fn follow(&self) -> Result<(), KvError> {
        let store = self.gateway.platform.store();
        let snapshot = store.list(P::WATCH_PREFIX).await?;
        // Before the first listing nothing is known that could have lapsed.
        if self.gateway.note_store(true, "read") && self.gateway.is_listed.get() {
            self.outage_ended_ms.set(self.gateway.now_ms());
        }
        let mut after = snapshot.revision;
        self.take_snapshot(snapshot.kvs);
        loop {
            let changes = store.changes(P::WATCH_PREFIX, after, WATCH_WAIT).await?;
            let Changes::Since { changes, revision } = changes else {
                tracing::info!(event = "store", what = "history_lost", after);
                return Ok(());
            };
            after = revision.max(after);
            let is_quiet = changes.is_empty();
            for change in changes {
                self.take_change(change);
            }
            self.gateway.places.borrow().wake();
            if !is_quiet {
                let settings = self.gateway.settings();
                let bound = settings.drain_within.min(settings.config_within);
                compio::time::sleep(bound / BATCH_DIVISOR).await;
            }
        }
    }

    /// True if what is missing may have lapsed in an outage that just ended.
    fn is_after_outage(&self) -> bool {
        self.gateway.now_ms() < self.outage_ended_ms.get() + LAPSE_GRACE_MS
    }

    fn take_snapshot(&self, kvs: Vec<KeyValue>) {
        let gateway = &self.gateway;
        let mut entries = Vec::new();
        let mut peers = std::collections::HashMap::new();
        let mut acting = None;
        for kv in kvs {
            if kv.key == P::CATALOG_KEY {
                self.take_catalog(&kv);
            } else if let Some(id) = kv.key.strip_prefix(P::UPSTREAM_PREFIX) {
                entries.extend(self.decode_upstream(id, &kv));
            } else if let Some(own) = kv.key.strip_prefix(P::OWN_PREFIX) {
                let value = decode_host(&kv);
                if own == ACTING_KEY {
                    acting = value.map(|v| acting_host(v, kv.mod_revision));
                } else if let Some(value) = value.filter(|_| own.starts_with(HOSTS_KEY)) {
                    peers.insert(value.host.clone(), peer(&value));
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
        gateway.set_acting(acting);
        gateway.is_listed.set(true);
    }

    fn take_change(&self, change: Change) {
        match change {
            Change::Put(kv) => self.take_put(&kv),
            Change::Delete { key, mod_revision } => self.take_delete(&key, mod_revision),
        }
    }

    fn take_put(&self, kv: &KeyValue) {
        let gateway = &self.gateway;
        if kv.key == P::CATALOG_KEY {
            self.take_catalog(kv);
        } else if let Some(id) = kv.key.strip_prefix(P::UPSTREAM_PREFIX) {
            let Some(entry) = self.decode_upstream(id, kv) else {
                return self.remove_upstream(id, kv.mod_revision, false);
            };
            let now_ms = gateway.now_ms();
            let change = gateway.registry.borrow_mut().upsert(entry, now_ms);
            if let Some(change) = change {
                gateway.on_registry_change(&change, kv.mod_revision);
            }
        } else if let Some(own) = kv.key.strip_prefix(P::OWN_PREFIX) {
            let Some(value) = decode_host(kv) else {
                return;
            };
            if own == ACTING_KEY {
                gateway.set_acting(Some(acting_host(value, kv.mod_revision)));
            } else if own.starts_with(HOSTS_KEY) {
                let mut peers = gateway.peers.borrow_mut();
                peers.insert(value.host.clone(), peer(&value));
            }
        }
    }

    fn take_delete(&self, key: &str, revision: u64) {
        let gateway = &self.gateway;
        if let Some(id) = key.strip_prefix(P::UPSTREAM_PREFIX) {
            self.remove_upstream(id, revision, self.is_after_outage());
        } else if let Some(own) = key.strip_prefix(P::OWN_PREFIX) {
            if own == ACTING_KEY {
                gateway.set_acting(None);
            } else if let Some(host) = own.strip_prefix(HOSTS_KEY) {
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

    fn take_catalog(&self, kv: &KeyValue) {
        match self.gateway.platform.catalog(&kv.value) {
            Ok(catalog) => self.gateway.apply_catalog(catalog),
            Err(error) => tracing::error!(
                event = "configuration",
                revision = kv.mod_revision,
                %error,
                "configuration cannot be decoded; the last one stays in force"
            ),
        }
    }

    fn decode_upstream(&self, id: &str, kv: &KeyValue) -> Option<Entry> {
        match self.gateway.platform.upstream(id, &kv.value) {
            Ok(entry) => Some(entry),
            Err(error) => {
                let revision = kv.mod_revision;
                tracing::warn!(event = "upstream", upstream = id, revision, %error, "not usable");
                None
            }
        }
    }
}

fn decode_host(kv: &KeyValue) -> Option<HostValue> {
    match serde_json::from_slice(&kv.value) {
        Ok(value) => Some(value),
        Err(error) => {
            tracing::warn!(event = "store", key = kv.key, %error, "not usable");
            None
        }
    }
}

fn peer(value: &HostValue) -> Peer {
    Peer::new(value.addr, value.cpu_milli)
}

fn acting_host(value: HostValue, term: u64) -> ActingHost {
    ActingHost {
        host: value.host,
        addr: value.addr,
        term,
    }
}

impl<P: Platform> Gateway<P> {
    /// Takes in which host acts.
    pub fn set_acting(&self, acting: Option<ActingHost>) {
        let mut current = self.acting.borrow_mut();
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
        let mut pause = FIRST_RETRY;
        loop {
            let followed = futures_util::select_biased! {
                () = cancel.cancelled().fuse() => return,
                followed = self.follow().fuse() => followed,
            };
            pause = match followed {
                Ok(()) => FIRST_RETRY,
                Err(error) => {
                    let was_up = self.gateway.is_store_up.get();
                    self.gateway.note_store(false, error.as_str());
                    if was_up {
                        FIRST_RETRY
                    } else {
                        (pause * 2).min(MAX_RETRY)
                    }
                }
            };
            // Hosts that lost the store together do not come back together.
            let jitter = self.gateway.rng.borrow_mut().below(100) as u64;
            compio::time::sleep(pause + Duration::from_millis(jitter)).await;
        }
    }
}
