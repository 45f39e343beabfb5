//! Loads and unloads of models.

use std::rc::Rc;
use std::time::Duration;

use super::acting::Acting;
use super::orders::{BUSY_POLL, MAX_POLLS, reported};
use super::platform::{EngineReport, Order, OrderReply, Platform};
use crate::core::catalog::WeightSource;
use crate::core::ids::{ModelId, UpstreamId};

impl<P: Platform> Acting<P> {
    pub(super) async fn load_model(self: &Rc<Self>, upstream: &UpstreamId, model: &ModelId) {
        let Some(spec) = self.spec_of(upstream) else {
            return;
        };
        let fits = self.with_book(upstream, |b| b.fits_model(&spec, model));
        if fits != Some(true) {
            tracing::info!(event = "order", upstream = %upstream, order = %model, reply = "no_room");
            return;
        }
        let is_from_store = self.source_of(upstream, model) == WeightSource::Store;
        if is_from_store && !self.state.borrow_mut().take_store_load() {
            return;
        }
        let load_ms = self.load_time(&spec, upstream, model).as_millis() as u64;
        let ready_ms = self.gateway.now_ms() + load_ms;
        self.with_book(upstream, |book| {
            book.loading = Some((model.clone(), ready_ms));
            book.load_ordered_ms
                .insert(model.clone(), ready_ms - load_ms);
        });
        let order = Order::LoadModel(model.clone());
        let reply = self.send_order(upstream, &order).await;
        match reply {
            OrderReply::Accepted | OrderReply::Holds => {
                let acting = Rc::clone(self);
                let upstream = upstream.clone();
                let model = model.clone();
                let wait = Duration::from_millis(load_ms);
                compio::runtime::spawn(async move {
                    acting.await_model(&upstream, &model, wait).await;
                })
                .detach();
            }
            // It stays charged until another host acts or the engine ends.
            OrderReply::Unknown => {}
            _ => {
                self.with_book(upstream, |b| b.loading = None);
                self.block(upstream);
            }
        }
    }

    /// Waits until a model that is being loaded serves.
    async fn await_model(self: &Rc<Self>, upstream: &UpstreamId, model: &ModelId, wait: Duration) {
        compio::time::sleep(wait).await;
        for _ in 0..MAX_POLLS {
            let Some(addr) = self.addr_of(upstream) else {
                return;
            };
            if let Some(report) = self.gateway.platform.report(addr).await {
                let is_same = self.with_book(upstream, |b| b.started_ms == report.started_ms);
                if is_same != Some(true) {
                    return;
                }
                if report.holds.contains_key(model) || !report.is_busy {
                    self.adopt(upstream, &report);
                    return;
                }
            }
            compio::time::sleep(BUSY_POLL).await;
        }
        self.with_book(upstream, |b| b.loading = None);
        self.block(upstream);
    }

    /// Takes in a report once no order for a model is under way.
    fn adopt(&self, upstream: &UpstreamId, report: &EngineReport) {
        let now_ms = self.gateway.now_ms();
        self.with_book(upstream, |book| {
            book.loading = None;
            book.unloading = None;
            book.apply_report(&reported(report), now_ms);
        });
        self.broadcast_holdings(upstream);
    }

    pub(super) async fn unload_model(self: &Rc<Self>, upstream: &UpstreamId, model: &ModelId) {
        let is_held = self.with_book(upstream, |book| {
            let adapters = book.resident.remove(model);
            let is_held = adapters.is_some();
            if let Some(adapters) = adapters {
                book.unloading = Some((model.clone(), adapters));
            }
            is_held
        });
        if is_held != Some(true) {
            return;
        }
        // Hosts stop to send requests for it before it goes.
        self.broadcast_holdings(upstream);
        let order = Order::UnloadModel(model.clone());
        match self.send_order(upstream, &order).await {
            OrderReply::Accepted | OrderReply::Holds => self.await_idle(upstream).await,
            OrderReply::Unknown => {}
            _ => {
                self.with_book(upstream, |book| {
                    if let Some((model, adapters)) = book.unloading.take() {
                        book.resident.entry(model).or_insert(adapters);
                    }
                });
                self.broadcast_holdings(upstream);
                self.block(upstream);
            }
        }
    }

    /// Waits until an engine is not busy, and takes in what it holds.
    async fn await_idle(self: &Rc<Self>, upstream: &UpstreamId) {
        for _ in 0..MAX_POLLS {
            compio::time::sleep(BUSY_POLL).await;
            let Some(addr) = self.addr_of(upstream) else {
                return;
            };
            if let Some(report) = self.gateway.platform.report(addr).await {
                let accepted = self.with_book(upstream, |b| b.orders_accepted);
                let is_recent = accepted.flatten() == Some(report.orders_accepted);
                if is_recent && !report.is_busy {
                    self.adopt(upstream, &report);
                    return;
                }
            }
        }
        self.block(upstream);
    }
}
