//! Registers this host in the store and elects the acting host of the fleet.
//!
//! A host's entry is attached to a lease of some seconds; a lapse only delays the
//! news that the host is gone. The entry of the acting host is attached to a short
//! lease of its own, so that another host takes over soon. The revision of that
//! entry gives the term, which is the fencing token of all orders. A host acts only
//! until that lease expires by a clock that also advances during suspension,
//! counted from before the renewal was sent.
//!
//! When the store is restored from an older copy, its leases and the role of the
//! acting host may be gone or belong to another host. Whatever was granted before
//! is dropped as soon as a response shows the new era, and the host registers
//! again.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use tokio_util::sync::CancellationToken;

use super::lease::{LeaseKeeper, Renewal, boottime_ms};
use super::platform::{FleetStore, Platform};
use super::state::{ActingHost, Gateway};
use super::store_facts::{ACTING_KEY, HOSTS_KEY, HostRecord};
use crate::core::features::Features;
use crate::core::ids::HostId;
use crate::core::peer_list::rank_by_cpu;
use crate::core::store_era::term_number;
use crate::edge::kv::{Cas, CasAllOutcome, KvError};
use crate::kernel::Service;

/// Time to live of a host's entry.
const ENTRY_TTL: Duration = Duration::from_secs(10);
/// Time between two renewals of it; two can fail before it expires.
const ENTRY_RENEW_INTERVAL: Duration = Duration::from_secs(3);
/// Time to live of the acting host's entry.
const ACTING_TTL: Duration = Duration::from_secs(3);
/// Time between two renewals of it; two can fail before it expires.
const ACTING_RENEW_INTERVAL: Duration = Duration::from_millis(900);
/// Time before the acting host's lease expires at which it stops sending orders, to
/// allow for clock drift and the network delay of an order.
const LEASE_MARGIN_MS: u64 = 400;
/// Time between two checks of the acting-host entry.
const TICK_INTERVAL: Duration = Duration::from_millis(150);
/// Time until the next check after an error.
const ERROR_PAUSE: Duration = Duration::from_millis(300);
/// Delay between the election attempts of consecutive candidates, so that they
/// do not all write at once.
const ELECTION_STAGGER_MS: u64 = 120;
/// Time over which the hosts of a fleet spread their registrations after the store
/// was restored, in milliseconds.
const RESTORE_SPREAD_MS: usize = 500;

/// Service that keeps this host registered and takes part in the election.
#[derive(Debug)]
pub struct Membership<P: Platform> {
    gateway: Rc<Gateway<P>>,
    entry_lease: LeaseKeeper,
    acting_lease: LeaseKeeper,
    /// Term of this host while it is the acting host.
    term: Cell<Option<u64>>,
    /// Time from which this host may send orders, by `boottime_ms`.
    orders_from_ms: Cell<u64>,
    /// Time until which the holder before a restore of the store may still send
    /// orders, by `boottime_ms`.
    restored_until_ms: Cell<u64>,
    /// Time from which this host registers, by `boottime_ms`.
    register_from_ms: Cell<u64>,
    vacant_since_ms: Cell<Option<u64>>,
    last_other_acting: RefCell<Option<HostId>>,
}

impl<P: Platform> Membership<P> {
    /// Creates the service on the shared state.
    pub fn new(gateway: Rc<Gateway<P>>) -> Self {
        Self {
            gateway,
            entry_lease: LeaseKeeper::new(ENTRY_TTL, ENTRY_RENEW_INTERVAL),
            acting_lease: LeaseKeeper::new(ACTING_TTL, ACTING_RENEW_INTERVAL),
            term: Cell::new(None),
            orders_from_ms: Cell::new(0),
            restored_until_ms: Cell::new(0),
            register_from_ms: Cell::new(0),
            vacant_since_ms: Cell::new(None),
            last_other_acting: RefCell::default(),
        }
    }

    fn store(&self) -> &P::Store {
        self.gateway.platform.store()
    }

    /// Term under which this host may send orders now.
    pub fn acting_term(&self) -> Option<u64> {
        let now_ms = boottime_ms();
        let held = self.acting_lease.held()?;
        let is_valid = now_ms + LEASE_MARGIN_MS < held.expires_ms && held.era == self.store().era();
        let may_order = now_ms >= self.orders_from_ms.get();
        self.term.get().filter(|_| is_valid && may_order)
    }

    /// Gives up the term, after which no further orders are sent under it.
    pub fn step_down(&self, reason: &'static str) {
        if let Some(term) = self.term.take() {
            tracing::info!(event = "acting_host", term, reason, "stepped down");
        }
    }

    fn own_record(&self) -> HostRecord {
        let settings = self.gateway.settings();
        HostRecord {
            host: settings.host.clone(),
            addr: (settings.ip, settings.peer_port).into(),
            zone: settings.zone.as_str().to_owned(),
            cpu_milli: settings.cpu_milli(),
            features: Features::own(),
        }
    }

    fn host_key(&self) -> String {
        let settings = self.gateway.settings();
        format!("{}{HOSTS_KEY}{}", P::GATEWAY_PREFIX, settings.host)
    }

    async fn tick(&self) -> Result<(), KvError> {
        self.keep_term().await?;
        match self.entry_lease.keep(self.store()).await? {
            Renewal::Held => self.gateway.quotas.on_store_contact(self.gateway.now_ms()),
            Renewal::Ended if boottime_ms() < self.register_from_ms.get() => {}
            Renewal::Ended => self.register().await?,
            Renewal::Superseded => self.prepare_registration(),
        }
        self.check_acting_host().await
    }

    /// Renews the lease of the acting host, and steps down without it.
    async fn keep_term(&self) -> Result<(), KvError> {
        let renewal = self.acting_lease.keep(self.store()).await;
        let held = self.acting_lease.held();
        if held.is_none_or(|h| boottime_ms() >= h.expires_ms) {
            let is_superseded = renewal == Ok(Renewal::Superseded);
            self.step_down(if is_superseded {
                "store_restored"
            } else {
                "lease_ended"
            });
        }
        renewal.map(|_| ())
    }

    /// Schedules the next registration after the store was restored.
    fn prepare_registration(&self) {
        self.vacant_since_ms.set(None);
        let delay_ms = self.gateway.rng.borrow_mut().below(RESTORE_SPREAD_MS) as u64;
        self.register_from_ms.set(boottime_ms() + delay_ms);
        let order_lease_ms = self.gateway.settings().order_lease.as_millis() as u64;
        self.restored_until_ms.set(boottime_ms() + order_lease_ms);
        tracing::info!(
            event = "membership",
            era = self.store().era().0,
            delay_ms,
            "store restored; registering again"
        );
    }

    async fn register(&self) -> Result<(), KvError> {
        let store = self.store();
        let min_ttl = self.gateway.settings().min_lease;
        let lease = self.entry_lease.grant(store, min_ttl).await?;
        let value = serde_json::to_vec(&self.own_record()).map_err(|_| KvError::NotSent)?;
        store.put(&self.host_key(), &value, lease.id).await?;
        if store.era() != lease.era {
            return Err(KvError::Unknown);
        }
        self.entry_lease.hold(lease);
        tracing::info!(event = "membership", lease = lease.id, "listed");
        Ok(())
    }

    async fn check_acting_host(&self) -> Result<(), KvError> {
        let gateway = &self.gateway;
        let acting = gateway.acting_host.borrow().clone();
        let own = gateway.settings().host.clone();
        if let Some(acting) = acting {
            self.vacant_since_ms.set(None);
            if acting.host != own {
                self.step_down("another_acts");
                *self.last_other_acting.borrow_mut() = Some(acting.host);
            } else if gateway.is_outdone() {
                self.step_down("reaches_no_upstream");
            }
            if self.term.get().is_none() && self.acting_lease.held().is_some() {
                // The response to the election was lost, or the host has stepped
                // down. Renewing the lease would keep the entry alive and block the
                // election of another host.
                self.acting_lease.end(self.store()).await;
            }
            return Ok(());
        }
        let is_candidate = gateway.is_ready()
            && gateway.is_store_up.get()
            && !gateway.is_outdone()
            && self.entry_lease.held().is_some();
        if self.term.get().is_some() || !is_candidate {
            return Ok(());
        }
        let now_ms = boottime_ms();
        let since_ms = self.vacant_since_ms.get().unwrap_or(now_ms);
        self.vacant_since_ms.set(Some(since_ms));
        if now_ms < since_ms + self.own_rank() * ELECTION_STAGGER_MS {
            return Ok(());
        }
        self.try_become_acting().await
    }

    /// Rank of this host among the listed hosts.
    fn own_rank(&self) -> u64 {
        let own = self.own_record();
        let peers = self.gateway.peers.borrow();
        let hosts = peers.listed().map(|(host, peer)| (host, peer.cpu_milli));
        rank_by_cpu(hosts, &own.host, own.cpu_milli)
    }

    async fn try_become_acting(&self) -> Result<(), KvError> {
        let gateway = &self.gateway;
        let store = self.store();
        if self.acting_lease.held().is_none() {
            let min_ttl = gateway.settings().min_lease;
            let lease = self.acting_lease.grant(store, min_ttl).await?;
            self.acting_lease.hold(lease);
        }
        let Some(lease) = self.acting_lease.held() else {
            return Ok(());
        };
        let value = self.own_record();
        let write = Cas {
            key: format!("{}{ACTING_KEY}", P::GATEWAY_PREFIX),
            expected_revision: 0,
            value: serde_json::to_vec(&value).ok(),
            lease: lease.id.cast_signed(),
        };
        let outcome = match store.commit(&[write]).await {
            // An entry that was written under this lease must not be kept alive.
            Err(error) => {
                self.acting_lease.end(store).await;
                return Err(error);
            }
            Ok(outcome) => outcome,
        };
        match outcome {
            CasAllOutcome::Written(_) if store.era() != lease.era => {}
            CasAllOutcome::Written(revision) => {
                let term = term_number(lease.era, revision);
                self.term.set(Some(term));
                let settings = gateway.settings();
                let now_ms = boottime_ms();
                let order_lease_ms = settings.order_lease.as_millis() as u64;
                let is_takeover = self.last_other_acting.borrow().is_some();
                let orders_from_ms = match (is_takeover, settings.engines_check_fences) {
                    (false, _) => now_ms,
                    (true, true) => self.restored_until_ms.get(),
                    (true, false) => self.restored_until_ms.get().max(now_ms + order_lease_ms),
                };
                self.orders_from_ms.set(orders_from_ms);
                gateway.set_acting_host(Some(ActingHost {
                    host: value.host,
                    addr: value.addr,
                    term,
                }));
            }
            CasAllOutcome::Conflict(_) => {
                self.vacant_since_ms.set(None);
                self.acting_lease.end(store).await;
            }
        }
        Ok(())
    }

    /// Ends both leases, so that another host can be elected at once.
    pub async fn deregister(&self, reason: &'static str) {
        self.step_down(reason);
        self.acting_lease.end(self.store()).await;
        self.entry_lease.end(self.store()).await;
    }
}

impl<P: Platform> Service for Membership<P> {
    const NAME: &'static str = "gateway-membership";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        loop {
            let pause = if self.gateway.stopping.is_cancelled() {
                self.deregister("stopping").await;
                return;
            } else if let Err(error) = self.tick().await {
                tracing::debug!(event = "membership", error = error.as_str());
                ERROR_PAUSE
            } else {
                TICK_INTERVAL
            };
            futures_util::select_biased! {
                () = cancel.cancelled().fuse() => return,
                () = self.gateway.stopping.cancelled().fuse() => {}
                () = compio::time::sleep(pause).fuse() => {}
            }
        }
    }
}
