//! Executes orders that load and unload adapters.

use std::rc::Rc;
use std::time::Duration;

use super::acting::ActingHostService;
use super::orders::MAX_ORDER_POLLS;
use super::platform::{Order, OrderReply, Platform};
use crate::core::ids::{AdapterId, ModelId, UpstreamId};

/// Assumed load time of an adapter per MB of its size.
const ADAPTER_LOAD_US_PER_MB: u64 = 300;
/// Limit of the adapters that are evicted to load one.
const MAX_EVICTIONS_PER_LOAD: u32 = 3;
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
        let is_needed = self.with_ledger(upstream, |ledger| {
            let adapters = ledger.resident.get(model);
            adapters.is_some_and(|adapters| !adapters.contains(adapter))
        });
        if is_needed != Some(true) {
            return;
        }
        let mut evictions = 0;
        while self.with_ledger(upstream, |l| l.fits_adapter(&spec, model)) == Some(false) {
            if evictions >= MAX_EVICTIONS_PER_LOAD {
                return;
            }
            let victim = {
                let state = self.state.borrow();
                let ledger = state.engines.get(upstream);
                ledger.and_then(|l| l.adapter_to_evict(|m, a| state.last_requested_ms(m, a)))
            };
            let Some((m, a)) = victim else {
                return;
            };
            evictions += 1;
            if !self.unload_adapter(upstream, &m, &a).await {
                return;
            }
        }
        let key = (model.clone(), adapter.clone());
        let now_ms = self.gateway.now_ms();
        self.with_ledger(upstream, |l| l.loading_adapters.insert(key.clone(), now_ms));
        let order = Order::LoadAdapter(model.clone(), adapter.clone());
        let reply = self.send_order(upstream, &order).await;
        let now_ms = self.gateway.now_ms();
        match reply {
            OrderReply::Accepted => {
                self.with_ledger(upstream, |l| l.on_adapter_accepted(&key, now_ms));
                let size_mb = spec.models.get(model).map_or(0, |s| s.adapter_mb);
                let load =
                    ADAPTER_LOAD_BASE + Duration::from_micros(size_mb * ADAPTER_LOAD_US_PER_MB);
                let acting = Rc::clone(self);
                let upstream = upstream.clone();
                compio::runtime::spawn(async move {
                    compio::time::sleep(load).await;
                    acting.finish_adapter_load(&upstream, &key);
                })
                .detach();
            }
            OrderReply::Holds => {
                self.with_ledger(upstream, |l| l.on_adapter_accepted(&key, now_ms));
                self.finish_adapter_load(upstream, &key);
            }
            // The adapter may still be loaded; its slot and memory stay charged
            // until the next order is accepted.
            OrderReply::Unknown => {
                self.with_ledger(upstream, |l| l.on_adapter_unanswered(&key, now_ms));
            }
            _ => {
                self.with_ledger(upstream, |l| l.loading_adapters.remove(&key));
            }
        }
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
        let is_resident = self.with_ledger(upstream, |ledger| {
            let is_resident = ledger
                .resident
                .get_mut(model)
                .is_some_and(|a| a.remove(adapter));
            if is_resident {
                ledger.unloading_adapters.insert(key.clone());
            }
            is_resident
        });
        if is_resident != Some(true) {
            return false;
        }
        self.publish_holdings_now(upstream);
        let order = Order::UnloadAdapter(model.clone(), adapter.clone());
        let reply = self.send_order(upstream, &order).await;
        match reply {
            OrderReply::Holds => self.finish_adapter_unload(upstream, &key, true),
            OrderReply::Accepted => {
                let acting = Rc::clone(self);
                let upstream = upstream.clone();
                compio::runtime::spawn(async move {
                    acting.await_adapter_unload(&upstream, &key).await;
                })
                .detach();
            }
            // The adapter may still be loaded; its slot stays charged until
            // another host becomes the acting host.
            OrderReply::Unknown => return false,
            _ => {
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
    ) {
        let started_ms = self.with_ledger(upstream, |l| l.started_ms);
        for _ in 0..MAX_ORDER_POLLS {
            compio::time::sleep(UNLOAD_POLL_INTERVAL).await;
            let Some(addr) = self.addr_of(upstream) else {
                return;
            };
            let Some(report) = self.request_report(upstream, addr).await else {
                continue;
            };
            if Some(report.started_ms) != started_ms {
                return;
            }
            let adapters = report.resident.get(&key.0);
            if !adapters.is_some_and(|a| a.contains(&key.1)) {
                return self.finish_adapter_unload(upstream, key, true);
            }
        }
        self.finish_adapter_unload(upstream, key, false);
    }
}
