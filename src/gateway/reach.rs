//! Recognises that this host has lost its links to all upstreams, and that one of them is
//! reached again.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::join_all;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::platform::Platform;
use super::state::Gateway;
use crate::core::ids::UpstreamId;
use crate::core::reach::{PROBE_INTERVAL_MS, Reach, ReachChange, sample};
use crate::edge::pool::{self, PortState};
use crate::kernel::Service;

/// What this host knows of its links to upstreams.
#[derive(Debug, Default)]
pub struct ReachDesk {
    state: RefCell<Reach>,
    /// Connections to upstreams that were established up to the last check.
    known_connections: Cell<u64>,
    suspicion: Notify,
    /// Notifies the requests that wait for an upstream.
    cut_off: Notify,
}

impl<P: Platform> Gateway<P> {
    /// True while this host reaches no upstream.
    pub fn is_cut_off(&self) -> bool {
        self.reach.state.borrow().is_lost()
    }

    /// True while other hosts reach upstreams and this one does not.
    pub fn is_outdone(&self) -> bool {
        self.reach.state.borrow().is_outdone()
    }

    pub(super) fn on_reached_elsewhere(&self) {
        self.reach.state.borrow_mut().on_reached_elsewhere();
    }

    /// True if the upstreams that fail may have lost this host rather than ended.
    pub(super) fn is_cut_suspected(&self) -> bool {
        self.check_connections();
        self.reach.state.borrow().is_suspected()
    }

    /// Waits until this host loses its links to upstreams.
    pub(super) async fn until_cut_off(&self) {
        self.reach.cut_off.notified().await;
    }

    /// True if an upstream other than one that has just failed accepts connections, or no
    /// other one is listed.
    pub(super) async fn reaches_others(&self, failed: &UpstreamId) -> bool {
        let others: Vec<_> = {
            let registry = self.registry.borrow();
            let others = registry.entries().filter(|e| e.id != *failed);
            others.map(|e| e.addr).collect()
        };
        others.is_empty() || self.probe_some(others).await
    }

    /// Records an attempt that received no response.
    pub(super) fn record_unreached(&self, upstream: &UpstreamId) {
        self.check_connections();
        let now_ms = self.now_ms();
        self.reach.state.borrow_mut().on_failure(now_ms, upstream);
        self.reach.suspicion.notify_one();
    }

    /// Takes the connections into account that were established since the last check.
    fn check_connections(&self) {
        let connections = self.pool.connection_count();
        if self.reach.known_connections.replace(connections) != connections {
            self.on_upstream_reached();
        }
    }

    fn on_upstream_reached(&self) {
        let change = self.reach.state.borrow_mut().on_connected(self.now_ms());
        self.apply_reach_change(change);
    }

    /// Records the upstreams that have sent nothing for too long.
    fn record_silent_upstreams(&self) {
        let now_ms = self.now_ms();
        let loads = self.loads.borrow();
        let mut state = self.reach.state.borrow_mut();
        for (upstream, _) in loads.local() {
            let load = loads.get(upstream.as_str());
            if load.is_some_and(|l| l.is_unresponsive(now_ms)) {
                state.on_failure(now_ms, upstream);
            }
        }
    }

    /// Tries to connect to some upstreams; true if one of them accepts.
    async fn probe_some(&self, addrs: Vec<SocketAddr>) -> bool {
        let count = self.reach.state.borrow().probe_count();
        let tried = sample(addrs, count, &mut self.rng.borrow_mut());
        let ports = join_all(tried.into_iter().map(pool::probe)).await;
        let is_reached = ports.contains(&PortState::Accepts);
        if is_reached {
            self.on_upstream_reached();
        }
        is_reached
    }

    /// Upstreams at which no attempt has failed, or all if there is none.
    fn addrs_to_probe(&self) -> Vec<SocketAddr> {
        let (registry, state) = (self.registry.borrow(), self.reach.state.borrow());
        let others: Vec<_> = registry
            .entries()
            .filter(|e| !state.has_failed(&e.id))
            .map(|e| e.addr)
            .collect();
        if others.is_empty() {
            registry.entries().map(|e| e.addr).collect()
        } else {
            others
        }
    }

    async fn check_reach(&self) {
        self.check_connections();
        self.record_silent_upstreams();
        let listed = self.addrs_to_probe();
        let now_ms = self.now_ms();
        let is_due = {
            let mut state = self.reach.state.borrow_mut();
            state.take_due_probe(now_ms, listed.len())
        };
        if !is_due {
            return;
        }
        if self.probe_some(listed).await {
            return;
        }
        self.check_connections();
        let change = self.reach.state.borrow_mut().on_probe_failed(self.now_ms());
        self.apply_reach_change(change);
    }

    fn apply_reach_change(&self, change: Option<ReachChange>) {
        match change {
            None => {}
            Some(ReachChange::Lost { failed }) => {
                tracing::warn!(event = "reach", is_cut_off = true, failed);
                self.metrics.is_cut_off.set(1);
                self.pool.close_all_idle();
                self.reach.cut_off.notify_waiters();
            }
            Some(ReachChange::Regained { lost_for_ms }) => {
                tracing::info!(event = "reach", is_cut_off = false, lost_for_ms);
                self.metrics.is_cut_off.set(0);
                // They were failures of this host's links.
                self.loads.borrow_mut().forget_failures();
                self.admission_queue.borrow().wake();
            }
        }
    }
}

/// Service that probes upstreams while there is a suspicion.
#[derive(Debug)]
pub struct ReachService<P: Platform> {
    gateway: Rc<Gateway<P>>,
}

impl<P: Platform> ReachService<P> {
    /// Creates the service on the shared state.
    pub fn new(gateway: Rc<Gateway<P>>) -> Self {
        Self { gateway }
    }
}

impl<P: Platform> Service for ReachService<P> {
    const NAME: &'static str = "gateway-reach";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        loop {
            let interval = Duration::from_millis(PROBE_INTERVAL_MS);
            futures_util::select_biased! {
                () = cancel.cancelled().fuse() => return,
                () = self.gateway.reach.suspicion.notified().fuse() => {}
                () = compio::time::sleep(interval).fuse() => {}
            }
            self.gateway.check_reach().await;
        }
    }
}
