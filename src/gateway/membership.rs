//! Registers this host in the store and elects the acting host of the fleet.
//!
//! A host's entry and, on the acting host, the acting-host entry are attached to
//! one lease. The revision of the acting-host entry is the term, which is the
//! fencing token of all orders. A host acts only until its lease expires by a
//! clock that also advances during suspension, counted from before the renewal
//! was sent.
//!
//! When the store is restored from an older copy, its leases and the role of the
//! acting host may be gone or belong to another host. Whatever was granted before
//! is dropped as soon as a response shows the new era, and the host registers
//! again.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use rustix::time::{ClockId, clock_gettime};
use tokio_util::sync::CancellationToken;

use super::platform::{FleetStore, LeaseState, Platform};
use super::state::{ActingHost, Gateway};
use super::sync::{ACTING_KEY, HOSTS_KEY, HostRecord};
use crate::core::ids::HostId;
use crate::core::store_era::{Era, term_number};
use crate::edge::kv::{Cas, CasAllOutcome, KvError};
use crate::kernel::Service;

/// Time to live of a host's lease.
const LEASE_TTL: Duration = Duration::from_secs(3);
/// Time between two renewals; two can fail before the lease expires.
const RENEW_INTERVAL: Duration = Duration::from_millis(900);
/// Time before the lease expires at which a host stops sending orders, to allow
/// for clock drift and the network delay of an order.
const LEASE_MARGIN_MS: u64 = 400;
/// Time between two checks of the acting-host entry.
const TICK_INTERVAL: Duration = Duration::from_millis(150);
/// Delay between the election attempts of consecutive candidates, so that they
/// do not all write at once.
const ELECTION_STAGGER_MS: u64 = 120;
/// Time over which the hosts of a fleet spread their registrations after the store
/// was restored, in milliseconds.
const RESTORE_SPREAD_MS: usize = 500;

/// Lease that this host holds, as of its last renewal.
#[derive(Clone, Copy, Debug, Default)]
struct HeldLease {
    lease: u64,
    /// Era of the store that granted it.
    era: Era,
    ttl_ms: u64,
    /// Expiry by `boottime_ms`.
    expires_ms: u64,
    renewed_ms: u64,
    /// Number of a term that would start with this host's entry under the lease.
    listed_term: u64,
}

/// Service that keeps this host registered and takes part in the election.
#[derive(Debug)]
pub struct Membership<P: Platform> {
    gateway: Rc<Gateway<P>>,
    held: Cell<Option<HeldLease>>,
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

/// Milliseconds since boot, including the time in which the machine was
/// suspended.
pub fn boottime_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec.unsigned_abs() * 1000 + now.tv_nsec.unsigned_abs() / 1_000_000
}

/// Position of a host in the order of election attempts, from 0. Hosts with a
/// larger CPU share are first, because the acting host's work takes most of a
/// small machine's time.
pub fn candidate_rank<'a>(
    hosts: impl Iterator<Item = (&'a HostId, u32)>,
    own: &HostId,
    own_cpu_milli: u32,
) -> u64 {
    let own_key = (Reverse(own_cpu_milli), own);
    hosts
        .filter(|(host, cpu_milli)| (Reverse(*cpu_milli), *host) < own_key)
        .count() as u64
}

impl<P: Platform> Membership<P> {
    /// Creates the service on the shared state.
    pub fn new(gateway: Rc<Gateway<P>>) -> Self {
        Self {
            gateway,
            held: Cell::new(None),
            term: Cell::new(None),
            orders_from_ms: Cell::new(0),
            restored_until_ms: Cell::new(0),
            register_from_ms: Cell::new(0),
            vacant_since_ms: Cell::new(None),
            last_other_acting: RefCell::default(),
        }
    }

    /// Term under which this host may send orders now.
    pub fn acting_term(&self) -> Option<u64> {
        let now_ms = boottime_ms();
        let held = self.held.get()?;
        let is_valid = now_ms + LEASE_MARGIN_MS < held.expires_ms
            && held.era == self.gateway.platform.store().era();
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
            cpu_milli: (settings.cpu_share * 1000.0) as u32,
        }
    }

    fn host_key(&self) -> String {
        let settings = self.gateway.settings();
        format!("{}{HOSTS_KEY}{}", P::GATEWAY_PREFIX, settings.host)
    }

    async fn tick(&self) -> Result<(), KvError> {
        self.drop_grants_of_earlier_era();
        let now_ms = boottime_ms();
        match self.held.get() {
            None if now_ms < self.register_from_ms.get() => return Ok(()),
            None => self.register().await?,
            Some(held) if now_ms >= held.renewed_ms + RENEW_INTERVAL.as_millis() as u64 => {
                self.renew(held).await?;
            }
            Some(_) => {}
        }
        if self
            .held
            .get()
            .is_some_and(|h| boottime_ms() >= h.expires_ms)
        {
            self.step_down("lease_ended");
        }
        self.check_acting_host().await
    }

    /// Drops the lease and the term if the store was restored since they were
    /// granted. The lease is neither renewed nor ended, as its number may have been
    /// granted to another host.
    fn drop_grants_of_earlier_era(&self) {
        let era = self.gateway.platform.store().era();
        let Some(held) = self.held.get().filter(|h| h.era != era) else {
            return;
        };
        self.held.set(None);
        self.step_down("store_restored");
        self.vacant_since_ms.set(None);
        let delay_ms = self.gateway.rng.borrow_mut().below(RESTORE_SPREAD_MS) as u64;
        self.register_from_ms.set(boottime_ms() + delay_ms);
        // Engines may still receive an order of the holder before the restore.
        self.restored_until_ms
            .set(boottime_ms() + self.gateway.settings().order_lease.as_millis() as u64);
        tracing::info!(
            event = "membership",
            lease = held.lease,
            era = era.0,
            granted_in = held.era.0,
            delay_ms,
            "store restored; registering again"
        );
    }

    async fn register(&self) -> Result<(), KvError> {
        let store = self.gateway.platform.store();
        let settings = self.gateway.settings();
        let ttl = LEASE_TTL.max(settings.min_lease);
        let sent_ms = boottime_ms();
        let lease = store.grant_lease(ttl).await?;
        let era = store.era();
        let ttl_ms = lease.ttl.as_millis() as u64;
        let value = serde_json::to_vec(&self.own_record()).map_err(|_| KvError::NotSent)?;
        let revision = store.put(&self.host_key(), &value, lease.id).await?;
        if store.era() != era {
            return Err(KvError::Unknown);
        }
        self.held.set(Some(HeldLease {
            lease: lease.id,
            era,
            ttl_ms,
            expires_ms: sent_ms + ttl_ms,
            renewed_ms: sent_ms,
            listed_term: term_number(era, revision),
        }));
        tracing::info!(event = "membership", lease = lease.id, "listed");
        Ok(())
    }

    async fn renew(&self, held: HeldLease) -> Result<(), KvError> {
        let sent_ms = boottime_ms();
        let state = self
            .gateway
            .platform
            .store()
            .renew_lease(held.lease)
            .await?;
        if self.gateway.platform.store().era() != held.era {
            self.drop_grants_of_earlier_era();
            return Ok(());
        }
        if state == LeaseState::Ended {
            tracing::info!(event = "membership", lease = held.lease, "lease ended");
            self.held.set(None);
            self.step_down("lease_ended");
            return Ok(());
        }
        self.held.set(Some(HeldLease {
            expires_ms: sent_ms + held.ttl_ms,
            renewed_ms: sent_ms,
            ..held
        }));
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
            } else if self.has_orphaned_entry(acting.term) {
                // Renewing the lease would keep the entry alive and block the
                // election of another host.
                self.deregister("entry_without_term").await;
            }
            return Ok(());
        }
        let is_candidate = gateway.is_ready() && gateway.is_store_up.get();
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

    /// True if the acting-host entry, which names this host, is attached to its
    /// current lease although the host has no term: the response to its election
    /// was lost, or it has stepped down since.
    fn has_orphaned_entry(&self, term: u64) -> bool {
        let is_on_lease = self.held.get().is_some_and(|h| term > h.listed_term);
        is_on_lease && self.term.get().is_none()
    }

    /// Rank of this host among the listed hosts.
    fn own_rank(&self) -> u64 {
        let own = self.own_record();
        let peers = self.gateway.peers.borrow();
        let hosts = peers.listed().map(|(host, peer)| (host, peer.cpu_milli));
        candidate_rank(hosts, &own.host, own.cpu_milli)
    }

    async fn try_become_acting(&self) -> Result<(), KvError> {
        let Some(held) = self.held.get() else {
            return Ok(());
        };
        let gateway = &self.gateway;
        let value = self.own_record();
        let write = Cas {
            key: format!("{}{ACTING_KEY}", P::GATEWAY_PREFIX),
            expected_revision: 0,
            value: serde_json::to_vec(&value).ok(),
            lease: held.lease.cast_signed(),
        };
        let store = gateway.platform.store();
        match store.commit(&[write]).await? {
            // The lease belongs to an earlier era, so that the entry is not kept alive
            // by this host.
            CasAllOutcome::Written(_) if store.era() != held.era => {}
            CasAllOutcome::Written(revision) => {
                let term = term_number(held.era, revision);
                self.term.set(Some(term));
                let settings = gateway.settings();
                let is_takeover = self.last_other_acting.borrow().is_some();
                let wait_ms = if is_takeover && !settings.engines_check_fences {
                    settings.order_lease.as_millis() as u64
                } else {
                    0
                };
                let restored_ms = if is_takeover {
                    self.restored_until_ms.get()
                } else {
                    0
                };
                self.orders_from_ms
                    .set(restored_ms.max(boottime_ms() + wait_ms));
                gateway.set_acting_host(Some(ActingHost {
                    host: value.host,
                    addr: value.addr,
                    term,
                }));
            }
            CasAllOutcome::Conflict(_) => self.vacant_since_ms.set(None),
        }
        Ok(())
    }

    /// Ends the lease, so that another host can be elected at once.
    pub async fn deregister(&self, reason: &'static str) {
        self.step_down(reason);
        if let Some(held) = self.held.take() {
            let ended = self.gateway.platform.store().end_lease(held.lease).await;
            tracing::info!(
                event = "membership",
                lease = held.lease,
                ended = ended.is_ok(),
                reason,
                "left"
            );
        }
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
                RENEW_INTERVAL / 3
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
