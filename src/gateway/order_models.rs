//! Executes orders that load and unload models.

use std::rc::Rc;
use std::time::Duration;

use super::acting::ActingHostService;
use super::orders::{BUSY_POLL_INTERVAL, MAX_ORDER_POLLS, OrderResult, report_view};
use super::platform::{EngineReport, Order, Platform};
use crate::core::catalog::{EngineSpec, WeightSource};
use crate::core::engine_ledger::{EngineLedger, OrderBasis};
use crate::core::ids::{ModelId, UpstreamId};

impl<P: Platform> ActingHostService<P> {
    pub(super) async fn load_model(self: &Rc<Self>, upstream: &UpstreamId, model: &ModelId) {
        let Some(spec) = self.engine_spec(upstream) else {
            return;
        };
        let fits = self.with_ledger(upstream, |l| l.fits_model(&spec, model));
        if fits != Some(true) {
            tracing::info!(event = "order", upstream = %upstream, order = %model, reply = "no_room");
            return;
        }
        if !self.confirm_room(upstream, &spec, model).await {
            tracing::info!(event = "order", upstream = %upstream, order = %model, reply = "not_confirmed");
            return self.block_engine(upstream);
        }
        let is_from_store = self.weight_source(upstream, model) == WeightSource::Store;
        if is_from_store && !self.state.borrow_mut().try_take_store_load() {
            return;
        }
        let load_ms = self.load_time(&spec, upstream, model).as_millis() as u64;
        let ready_ms = self.gateway.now_ms() + load_ms;
        let charge = |l: &mut EngineLedger| l.charge_model_load(&spec, model, ready_ms);
        let Some(decision) = self.decide(upstream, charge) else {
            return;
        };
        let order = Order::LoadModel(model.clone());
        match self.send_order(upstream, &order, decision).await {
            OrderResult::Accepted | OrderResult::Holds => {
                self.with_ledger(upstream, |l| l.on_model_load_accepted(model, ready_ms));
                let acting = Rc::clone(self);
                let upstream = upstream.clone();
                let model = model.clone();
                let wait = Duration::from_millis(load_ms);
                let basis = decision.basis;
                compio::runtime::spawn(async move {
                    acting
                        .await_model_load(&upstream, &model, basis, wait)
                        .await;
                })
                .detach();
            }
            // The model may still be loaded; its memory stays charged until
            // another host becomes the acting host or the engine restarts.
            OrderResult::Unknown => {}
            OrderResult::Superseded => {
                self.with_ledger(upstream, |l| l.cancel_model_load(model));
            }
            OrderResult::Refused => {
                self.with_ledger(upstream, |l| l.cancel_model_load(model));
                self.block_engine(upstream);
            }
        }
    }

    /// True if a report that shows all accepted orders confirms that a model fits. An
    /// engine crashes if it is ordered to load more than it has memory for.
    async fn confirm_room(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        spec: &EngineSpec,
        model: &ModelId,
    ) -> bool {
        let now_ms = self.gateway.now_ms();
        let lag_ms = self.with_ledger(upstream, |l| l.report_lag_left_ms(now_ms));
        compio::time::sleep(Duration::from_millis(lag_ms.unwrap_or(0))).await;
        let Some(addr) = self.addr_of(upstream) else {
            return false;
        };
        let Some(report) = self.request_report(upstream, addr).await else {
            return false;
        };
        let now_ms = self.gateway.now_ms();
        let is_confirmed = self.with_ledger(upstream, |ledger| {
            let is_current = report.started_ms == ledger.started_ms
                && !report.is_busy
                && ledger.orders_accepted == Some(report.orders_accepted);
            if is_current {
                ledger.apply_report(&report_view(&report), now_ms);
            }
            is_current && ledger.fits_model(spec, model)
        });
        is_confirmed == Some(true)
    }

    /// Waits until a model that is being loaded is ready for requests.
    async fn await_model_load(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        model: &ModelId,
        basis: OrderBasis,
        wait: Duration,
    ) {
        compio::time::sleep(wait).await;
        for _ in 0..MAX_ORDER_POLLS {
            let Some(addr) = self.addr_of(upstream) else {
                return;
            };
            if let Some(report) = self.request_report(upstream, addr).await {
                if report.started_ms != basis.started_ms {
                    return;
                }
                let has_model = report.resident.contains_key(model);
                let is_ended = has_model || has_ended_order(&report, basis);
                if is_ended && self.record_load_end(upstream, model, &report) {
                    return;
                }
            }
            compio::time::sleep(BUSY_POLL_INTERVAL).await;
        }
        self.with_ledger(upstream, |l| l.loading = None);
        self.block_engine(upstream);
    }

    /// Applies a report after a load; false if it may predate the last order.
    fn record_load_end(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        model: &ModelId,
        report: &EngineReport,
    ) -> bool {
        let now_ms = self.gateway.now_ms();
        let is_applied = self.with_ledger(upstream, |ledger| {
            ledger.on_load_ended(model, &report_view(report), now_ms)
        });
        self.publish_holdings(upstream);
        is_applied != Some(false)
    }

    pub(super) async fn unload_model(self: &Rc<Self>, upstream: &UpstreamId, model: &ModelId) {
        let charge = |l: &mut EngineLedger| l.charge_model_unload(model);
        let Some(decision) = self.decide(upstream, charge) else {
            return;
        };
        // Hosts must stop sending requests for the model before it is unloaded.
        self.publish_holdings_now(upstream);
        let order = Order::UnloadModel(model.clone());
        match self.send_order(upstream, &order, decision).await {
            OrderResult::Accepted => self.await_model_unload(upstream, decision.basis).await,
            // A report has to show what else the engine does not hold.
            OrderResult::Holds => {
                self.with_ledger(upstream, EngineLedger::on_unload_rejected);
            }
            OrderResult::Unknown => {}
            OrderResult::Superseded | OrderResult::Refused => {
                self.with_ledger(upstream, EngineLedger::on_unload_rejected);
                self.publish_holdings(upstream);
                self.block_engine(upstream);
            }
        }
    }

    /// Waits until an engine has unloaded a model, then applies its report.
    async fn await_model_unload(self: &Rc<Self>, upstream: &UpstreamId, basis: OrderBasis) {
        for _ in 0..MAX_ORDER_POLLS {
            compio::time::sleep(BUSY_POLL_INTERVAL).await;
            let Some(addr) = self.addr_of(upstream) else {
                return;
            };
            if let Some(report) = self.request_report(upstream, addr).await
                && has_ended_order(&report, basis)
            {
                let now_ms = self.gateway.now_ms();
                let is_applied = self.with_ledger(upstream, |ledger| {
                    ledger.on_unload_ended(&report_view(&report), now_ms)
                });
                if is_applied == Some(true) {
                    self.publish_holdings(upstream);
                    return;
                }
            }
        }
        self.block_engine(upstream);
    }
}

/// True if a report shows that an engine has executed an order for a model that it
/// accepted in a state.
fn has_ended_order(report: &EngineReport, basis: OrderBasis) -> bool {
    report.started_ms == basis.started_ms
        && report.orders_accepted > basis.orders_accepted
        && !report.is_busy
}
