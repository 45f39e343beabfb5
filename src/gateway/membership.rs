//! Keeps this host listed in the store and one host of the fleet acting.
//!
//! A host's entry and, if it acts, the acting host's entry hang on one lease.
//! The revision of the acting host's entry is its term, the fencing number of
//! its orders. A host acts only while its lease has time left by a clock that
//! also counts suspension, reckoned from before the renewal was sent.

use std::cell::{Cell, RefCell};
use std::cmp::Reverse;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use rustix::time::{ClockId, clock_gettime};
use tokio_util::sync::CancellationToken;

use super::platform::{FleetStore, LeaseState, Platform};
use super::state::{ActingHost, Gateway};
use super::sync::{ACTING_KEY, HOSTS_KEY, HostValue};
use crate::core::ids::HostId;
use crate::edge::kv::{Cas, CasAllOutcome, KvError};
use crate::kernel::Service;

/// Time to live of a host's lease.
const LEASE_TTL: Duration = Duration::from_secs(3);
/// Time between two renewals; two may fail before the lease ends.
const RENEW_EVERY: Duration = Duration::from_millis(900);
/// Time before its lease ends at which a host stops to act: clocks differ and
/// an order is on its way for a while.
const LEASE_MARGIN_MS: u64 = 400;
/// Time between two looks at who acts.
const TICK: Duration = Duration::from_millis(150);
/// Time between the first hosts in line to act, so that they do not all write.
const RANK_STEP_MS: u64 = 120;

/// Lease as this host believes to hold it.
#[derive(Clone, Copy, Debug, Default)]
struct Held {
    lease: u64,
    ttl_ms: u64,
    /// By the clock that counts suspension.
    until_ms: u64,
    renewed_ms: u64,
    /// Revision at which this host was listed under it.
    listed_at: u64,
}

/// Service that keeps this host listed.
#[derive(Debug)]
pub struct Membership<P: Platform> {
    gateway: Rc<Gateway<P>>,
    held: Cell<Option<Held>>,
    /// Term under which this host acts.
    term: Cell<Option<u64>>,
    /// Time from which this host may give orders.
    orders_from_ms: Cell<u64>,
    vacant_since_ms: Cell<Option<u64>>,
    last_other: RefCell<Option<HostId>>,
}

/// Milliseconds of a clock that goes on while the machine is suspended.
pub fn boot_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec.unsigned_abs() * 1000 + now.tv_nsec.unsigned_abs() / 1_000_000
}

/// Place of a host among all that would act, from 0. Acting takes most of a
/// small machine's time, so that those with more of a core go first.
pub fn place_in_line<'a>(
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
    /// Service over the shared state.
    pub fn new(gateway: Rc<Gateway<P>>) -> Self {
        Self {
            gateway,
            held: Cell::new(None),
            term: Cell::new(None),
            orders_from_ms: Cell::new(0),
            vacant_since_ms: Cell::new(None),
            last_other: RefCell::default(),
        }
    }

    /// Term under which this host may give orders now.
    pub fn acting_term(&self) -> Option<u64> {
        let now_ms = boot_ms();
        let held = self.held.get()?;
        let is_valid = now_ms + LEASE_MARGIN_MS < held.until_ms;
        let may_order = now_ms >= self.orders_from_ms.get();
        self.term.get().filter(|_| is_valid && may_order)
    }

    /// Stops to act, since a higher term was seen.
    pub fn step_down(&self, reason: &'static str) {
        if let Some(term) = self.term.take() {
            tracing::info!(event = "acting_host", term, reason, "steps down");
        }
    }

    fn own_value(&self) -> HostValue {
        let settings = self.gateway.settings();
        HostValue {
            host: settings.host.clone(),
            addr: (settings.ip, settings.peer_port).into(),
            zone: settings.zone.as_str().to_owned(),
            cpu_milli: (settings.cpu_share * 1000.0) as u32,
        }
    }

    fn host_key(&self) -> String {
        let settings = self.gateway.settings();
        format!("{}{HOSTS_KEY}{}", P::OWN_PREFIX, settings.host)
    }

    async fn tick(&self) -> Result<(), KvError> {
        let now_ms = boot_ms();
        match self.held.get() {
            None => self.register().await?,
            Some(held) if now_ms >= held.renewed_ms + RENEW_EVERY.as_millis() as u64 => {
                self.renew(held).await?;
            }
            Some(_) => {}
        }
        if self.held.get().is_some_and(|h| boot_ms() >= h.until_ms) {
            self.step_down("lease_ended");
        }
        self.consider_acting().await
    }

    async fn register(&self) -> Result<(), KvError> {
        let store = self.gateway.platform.store();
        let settings = self.gateway.settings();
        let ttl = LEASE_TTL.max(Duration::from_millis(settings.min_lease_ms));
        let sent_ms = boot_ms();
        let lease = store.grant(ttl).await?;
        let ttl_ms = lease.ttl.as_millis() as u64;
        let value = serde_json::to_vec(&self.own_value()).map_err(|_| KvError::NotSent)?;
        let listed_at = store.put(&self.host_key(), &value, lease.id).await?;
        self.held.set(Some(Held {
            lease: lease.id,
            ttl_ms,
            until_ms: sent_ms + ttl_ms,
            renewed_ms: sent_ms,
            listed_at,
        }));
        tracing::info!(event = "membership", lease = lease.id, "listed");
        Ok(())
    }

    async fn renew(&self, held: Held) -> Result<(), KvError> {
        let sent_ms = boot_ms();
        let state = self.gateway.platform.store().renew(held.lease).await?;
        if state == LeaseState::Ended {
            tracing::info!(event = "membership", lease = held.lease, "lease ended");
            self.held.set(None);
            self.step_down("lease_ended");
            return Ok(());
        }
        self.held.set(Some(Held {
            until_ms: sent_ms + held.ttl_ms,
            renewed_ms: sent_ms,
            ..held
        }));
        Ok(())
    }

    async fn consider_acting(&self) -> Result<(), KvError> {
        let gateway = &self.gateway;
        let acting = gateway.acting_host.borrow().clone();
        let own = gateway.settings().host.clone();
        if let Some(acting) = acting {
            self.vacant_since_ms.set(None);
            if acting.host != own {
                self.step_down("another_acts");
                *self.last_other.borrow_mut() = Some(acting.host);
            } else if self.is_unowned(acting.term) {
                // Its own renewals would keep others from acting.
                self.leave("entry_without_term").await;
            }
            return Ok(());
        }
        let is_candidate = gateway.is_ready() && gateway.is_store_up.get();
        if self.term.get().is_some() || !is_candidate {
            return Ok(());
        }
        let now_ms = boot_ms();
        let since_ms = self.vacant_since_ms.get().unwrap_or(now_ms);
        self.vacant_since_ms.set(Some(since_ms));
        if now_ms < since_ms + self.rank() * RANK_STEP_MS {
            return Ok(());
        }
        self.try_to_act().await
    }

    /// True if the acting host's entry is this host's, hangs on its lease, and
    /// it does not act by it: the answer to its election was lost, or it has
    /// stepped down since.
    fn is_unowned(&self, term: u64) -> bool {
        let is_on_lease = self.held.get().is_some_and(|h| term > h.listed_at);
        is_on_lease && self.term.get().is_none()
    }

    /// Place of this host in the line of those that would act.
    fn rank(&self) -> u64 {
        let own = self.own_value();
        let peers = self.gateway.peers.borrow();
        let hosts = peers.listed().map(|(host, peer)| (host, peer.cpu_milli));
        place_in_line(hosts, &own.host, own.cpu_milli)
    }

    async fn try_to_act(&self) -> Result<(), KvError> {
        let Some(held) = self.held.get() else {
            return Ok(());
        };
        let gateway = &self.gateway;
        let value = self.own_value();
        let write = Cas {
            key: format!("{}{ACTING_KEY}", P::OWN_PREFIX),
            expected_revision: 0,
            value: serde_json::to_vec(&value).ok(),
            lease: held.lease.cast_signed(),
        };
        match gateway.platform.store().commit(&[write]).await? {
            CasAllOutcome::Written(term) => {
                self.term.set(Some(term));
                let settings = gateway.settings();
                let is_takeover = self.last_other.borrow().is_some();
                let wait_ms = if is_takeover && !settings.engines_check_fences {
                    settings.order_lease.as_millis() as u64
                } else {
                    0
                };
                self.orders_from_ms.set(boot_ms() + wait_ms);
                gateway.set_acting(Some(ActingHost {
                    host: value.host,
                    addr: value.addr,
                    term,
                }));
            }
            CasAllOutcome::Conflict(_) => self.vacant_since_ms.set(None),
        }
        Ok(())
    }

    /// Gives up the lease, so that another host acts at once.
    pub async fn leave(&self, reason: &'static str) {
        self.step_down(reason);
        if let Some(held) = self.held.take() {
            let ended = self.gateway.platform.store().end(held.lease).await;
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
                self.leave("stopping").await;
                return;
            } else if let Err(error) = self.tick().await {
                tracing::debug!(event = "membership", error = error.as_str());
                RENEW_EVERY / 3
            } else {
                TICK
            };
            futures_util::select_biased! {
                () = cancel.cancelled().fuse() => return,
                () = self.gateway.stopping.cancelled().fuse() => {}
                () = compio::time::sleep(pause).fuse() => {}
            }
        }
    }
}
