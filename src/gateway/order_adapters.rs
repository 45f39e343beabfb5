//! Executes orders that load and unload adapters.

use std::rc::Rc;
use std::time::Duration;

use super::acting::ActingHostService;
use super::orders::{MAX_ORDER_POLLS, OrderResult};
use super::platform::{Order, Platform};
use crate::core::catalog::EngineSpec;
use crate::core::engine_ledger::{EngineLedger, OrderBasis};
use crate::core::ids::{AdapterId, ModelId, UpstreamId};

/// Assumed load time of an adapter per MB of its size.
const ADAPTER_LOAD_US_PER_MB: u64 = 300;
/// Limit of the adapters that are evicted to load one.
const MAX_EVICTIONS_PER_LOAD: u32 = 3;
/// Limit of the decisions to load an adapter while its engine executes orders of other
/// hosts; hosts repeat their requests.
const MAX_DECISIONS_PER_LOAD: u32 = 3;
/// Time between two reports that are requested while an adapter still in use is
/// being unloaded.
const UNLOAD_POLL_INTERVAL: Duration = Duration::from_millis(500);
/// Assumed load time of an adapter irrespective of its size.
const ADAPTER_LOAD_BASE: Duration = Duration::from_millis(4);

impl<P: Platform> ActingHostService<P> {
    pub(super) async fn load_adapter(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        model: &ModelId,
        adapter: &AdapterId,
    ) {
        let Some(spec) = self.engine_spec(upstream) else {
            return;
        };
        let key = (model.clone(), adapter.clone());
        for _ in 0..MAX_DECISIONS_PER_LOAD {
            if !self.make_adapter_room(upstream, &spec, &key).await {
                return;
            }
            let now_ms = self.gateway.now_ms();
            let charge = |l: &mut EngineLedger| l.charge_adapter_load(&spec, &key, now_ms);
            let Some(decision) = self.decide(upstream, charge) else {
                return;
            };
            let order = Order::LoadAdapter(model.clone(), adapter.clone());
            let result = self.send_order(upstream, &order, decision).await;
            let now_ms = self.gateway.now_ms();
            match result {
                OrderResult::Accepted => {
                    self.with_ledger(upstream, |l| l.on_adapter_accepted(&key, now_ms));
                    return self.await_adapter_load(upstream, &spec, key);
                }
                OrderResult::Holds => {
                    self.with_ledger(upstream, |l| l.on_adapter_accepted(&key, now_ms));
                    return self.finish_adapter_load(upstream, &key);
                }
                // The adapter may still be loaded; its slot and memory stay charged.
                OrderResult::Unknown => return,
                OrderResult::Superseded => {
                    self.with_ledger(upstream, |l| l.cancel_adapter_load(&key));
                }
                OrderResult::Refused => {
                    self.with_ledger(upstream, |l| l.cancel_adapter_load(&key));
                    return;
                }
            }
        }
    }

    /// Evicts adapters until another one fits; false if it is not to be loaded.
    async fn make_adapter_room(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        spec: &EngineSpec,
        key: &(ModelId, AdapterId),
    ) -> bool {
        let (model, adapter) = key;
        let is_needed = self.with_ledger(upstream, |ledger| {
            let adapters = ledger.resident.get(model);
            adapters.is_some_and(|adapters| !adapters.contains(adapter))
        });
        if is_needed != Some(true) {
            return false;
        }
        let mut evictions = 0;
        while self.with_ledger(upstream, |l| l.has_room_for_adapter(spec, key)) == Some(false) {
            if evictions >= MAX_EVICTIONS_PER_LOAD {
                return false;
            }
            let victim = {
                let state = self.state.borrow();
                let ledger = state.engines.get(upstream);
                ledger.and_then(|l| l.adapter_to_evict(|m, a| state.last_requested_ms(m, a)))
            };
            let Some((m, a)) = victim else {
                return false;
            };
            evictions += 1;
            if !self.unload_adapter(upstream, &m, &a).await {
                return false;
            }
        }
        true
    }

    fn await_adapter_load(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        spec: &EngineSpec,
        key: (ModelId, AdapterId),
    ) {
        let size_mb = spec.models.get(&key.0).map_or(0, |s| s.adapter_mb);
        let load = ADAPTER_LOAD_BASE + Duration::from_micros(size_mb * ADAPTER_LOAD_US_PER_MB);
        let acting = Rc::clone(self);
        let upstream = upstream.clone();
        compio::runtime::spawn(async move {
            compio::time::sleep(load).await;
            acting.finish_adapter_load(&upstream, &key);
        })
        .detach();
    }

    fn finish_adapter_load(self: &Rc<Self>, upstream: &UpstreamId, key: &(ModelId, AdapterId)) {
        self.with_ledger(upstream, |ledger| ledger.on_adapter_loaded(key));
        self.publish_holdings(upstream);
    }

    /// Unloads an adapter; false if that failed. An adapter in use is unloaded
    /// after its last request ends, without waiting for that here.
    pub(super) async fn unload_adapter(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        model: &ModelId,
        adapter: &AdapterId,
    ) -> bool {
        let key = (model.clone(), adapter.clone());
        let charge = |l: &mut EngineLedger| l.charge_adapter_unload(&key);
        let Some(decision) = self.decide(upstream, charge) else {
            return false;
        };
        self.publish_holdings_now(upstream);
        let order = Order::UnloadAdapter(model.clone(), adapter.clone());
        match self.send_order(upstream, &order, decision).await {
            OrderResult::Holds => self.finish_adapter_unload(upstream, &key, true),
            OrderResult::Accepted => {
                let acting = Rc::clone(self);
                let upstream = upstream.clone();
                let basis = decision.basis;
                compio::runtime::spawn(async move {
                    acting.await_adapter_unload(&upstream, &key, basis).await;
                })
                .detach();
            }
            // The adapter may still be loaded; its slot stays charged until
            // another host becomes the acting host.
            OrderResult::Unknown => return false,
            OrderResult::Superseded | OrderResult::Refused => {
                self.finish_adapter_unload(upstream, &key, false);
                return false;
            }
        }
        true
    }

    /// Records the end of an unload; an adapter that is still loaded is returned
    /// to the ledger's holdings.
    fn finish_adapter_unload(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        key: &(ModelId, AdapterId),
        is_unloaded: bool,
    ) {
        self.with_ledger(upstream, |ledger| {
            let was_unloading = ledger.unloading_adapters.remove(key);
            if was_unloading
                && !is_unloaded
                && let Some(adapters) = ledger.resident.get_mut(&key.0)
            {
                adapters.insert(key.1.clone());
            }
        });
        if !is_unloaded {
            self.publish_holdings(upstream);
        }
    }

    async fn await_adapter_unload(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        key: &(ModelId, AdapterId),
        basis: OrderBasis,
    ) {
        for _ in 0..MAX_ORDER_POLLS {
            compio::time::sleep(UNLOAD_POLL_INTERVAL).await;
            let Some(addr) = self.addr_of(upstream) else {
                return;
            };
            let Some(report) = self.request_report(upstream, addr).await else {
                continue;
            };
            if report.started_ms != basis.started_ms {
                return;
            }
            // An earlier report may stand in place of this one.
            let is_later = report.orders_accepted > basis.orders_accepted;
            let adapters = report.resident.get(&key.0);
            if is_later && !adapters.is_some_and(|a| a.contains(&key.1)) {
                return self.finish_adapter_unload(upstream, key, true);
            }
        }
        self.finish_adapter_unload(upstream, key, false);
    }
}
