//! Loads and unloads of adapters.

use std::rc::Rc;
use std::time::Duration;

use super::acting::Acting;
use super::orders::MAX_POLLS;
use super::platform::{Order, OrderReply, Platform};
use crate::core::ids::{AdapterId, ModelId, UpstreamId};

/// Time of an adapter's load assumed for each MB, in microseconds.
const ADAPTER_US_PER_MB: u64 = 300;
/// Adapters that are unloaded to make room for one.
const MAX_EVICTIONS: u32 = 3;
/// Pause between two looks at an engine whose adapter is still in use.
const GONE_POLL: Duration = Duration::from_millis(500);
/// Time of an adapter's load beside its size.
const ADAPTER_BASE: Duration = Duration::from_millis(4);

impl<P: Platform> Acting<P> {
    pub(super) async fn load_adapter(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        model: &ModelId,
        adapter: &AdapterId,
    ) {
        let Some(spec) = self.spec_of(upstream) else {
            return;
        };
        let is_needed = self.with_book(upstream, |book| {
            let held = book.resident.get(model);
            held.is_some_and(|adapters| !adapters.contains(adapter))
        });
        if is_needed != Some(true) {
            return;
        }
        let mut evictions = 0;
        while self.with_book(upstream, |b| b.fits_adapter(&spec, model)) == Some(false) {
            if evictions >= MAX_EVICTIONS {
                return;
            }
            let victim = {
                let state = self.state.borrow();
                let book = state.engines.get(upstream);
                book.and_then(|b| b.adapter_to_evict(|m, a| state.asked_ms(m, a)))
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
        self.with_book(upstream, |b| b.loading_adapters.insert(key.clone(), now_ms));
        let order = Order::LoadAdapter(model.clone(), adapter.clone());
        let reply = self.send_order(upstream, &order).await;
        let now_ms = self.gateway.now_ms();
        match reply {
            OrderReply::Accepted => {
                self.with_book(upstream, |b| b.on_adapter_accepted(&key, now_ms));
                let size_mb = spec.models.get(model).map_or(0, |s| s.adapter_mb);
                let load = ADAPTER_BASE + Duration::from_micros(size_mb * ADAPTER_US_PER_MB);
                let acting = Rc::clone(self);
                let upstream = upstream.clone();
                compio::runtime::spawn(async move {
                    compio::time::sleep(load).await;
                    acting.adapter_ready(&upstream, &key);
                })
                .detach();
            }
            OrderReply::Holds => {
                self.with_book(upstream, |b| b.on_adapter_accepted(&key, now_ms));
                self.adapter_ready(upstream, &key);
            }
            // It stays charged until the next order is accepted.
            OrderReply::Unknown => {
                self.with_book(upstream, |b| b.on_adapter_unanswered(&key, now_ms));
            }
            _ => {
                self.with_book(upstream, |b| b.loading_adapters.remove(&key));
            }
        }
    }

    fn adapter_ready(&self, upstream: &UpstreamId, key: &(ModelId, AdapterId)) {
        self.with_book(upstream, |book| {
            if book.loading_adapters.remove(key).is_some()
                && let Some(adapters) = book.resident.get_mut(&key.0)
            {
                adapters.insert(key.1.clone());
            }
        });
        self.broadcast_holdings(upstream);
    }

    /// Unloads an adapter; false if that failed. One that is in use goes once
    /// its requests have ended, which is not waited for.
    pub(super) async fn unload_adapter(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        model: &ModelId,
        adapter: &AdapterId,
    ) -> bool {
        let key = (model.clone(), adapter.clone());
        let is_held = self.with_book(upstream, |book| {
            let is_held = book
                .resident
                .get_mut(model)
                .is_some_and(|a| a.remove(adapter));
            if is_held {
                book.unloading_adapters.insert(key.clone());
            }
            is_held
        });
        if is_held != Some(true) {
            return false;
        }
        self.broadcast_holdings(upstream);
        let order = Order::UnloadAdapter(model.clone(), adapter.clone());
        let reply = self.send_order(upstream, &order).await;
        match reply {
            OrderReply::Holds => self.adapter_left(upstream, &key, true),
            OrderReply::Accepted => {
                let acting = Rc::clone(self);
                let upstream = upstream.clone();
                compio::runtime::spawn(async move {
                    acting.await_adapter_gone(&upstream, &key).await;
                })
                .detach();
            }
            // It occupies its slot until another host acts.
            OrderReply::Unknown => return false,
            _ => {
                self.adapter_left(upstream, &key, false);
                return false;
            }
        }
        true
    }

    /// Notes whether an adapter that was to leave has left.
    fn adapter_left(&self, upstream: &UpstreamId, key: &(ModelId, AdapterId), is_gone: bool) {
        self.with_book(upstream, |book| {
            let was_leaving = book.unloading_adapters.remove(key);
            if was_leaving
                && !is_gone
                && let Some(adapters) = book.resident.get_mut(&key.0)
            {
                adapters.insert(key.1.clone());
            }
        });
        if !is_gone {
            self.broadcast_holdings(upstream);
        }
    }

    async fn await_adapter_gone(&self, upstream: &UpstreamId, key: &(ModelId, AdapterId)) {
        let started_ms = self.with_book(upstream, |b| b.started_ms);
        for _ in 0..MAX_POLLS {
            compio::time::sleep(GONE_POLL).await;
            let Some(addr) = self.addr_of(upstream) else {
                return;
            };
            let Some(report) = self.gateway.platform.report(addr).await else {
                continue;
            };
            if Some(report.started_ms) != started_ms {
                return;
            }
            let held = report.holds.get(&key.0);
            if !held.is_some_and(|a| a.contains(&key.1)) {
                return self.adapter_left(upstream, key, true);
            }
        }
        self.adapter_left(upstream, key, false);
    }
}
