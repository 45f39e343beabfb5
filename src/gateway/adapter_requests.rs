//! Places the adapters that hosts request from the acting host.
//!
//! Load pattern: many hosts request the same few adapters at once, and repeat the
//! request until one is ready. Requests are collected for one turn of the acting
//! host; each adapter is placed once a turn.

use std::collections::HashMap;
use std::rc::Rc;

use super::acting::ActingHostService;
use super::orders::OrderQueue;
use super::platform::{Order, Platform};
use crate::core::adapters::{CandidateEngine, select_engine};
use crate::core::catalog::EngineSpec;
use crate::core::ids::{AdapterId, ModelId, ServiceId, UpstreamId};
use crate::core::load::InFlight;

/// Limit of the adapters that are placed in one turn; hosts repeat their requests.
const MAX_ADAPTERS_PER_TURN: usize = 64;

impl<P: Platform> ActingHostService<P> {
    /// Places the adapters requested since the last call.
    pub(super) fn place_requested_adapters(self: &Rc<Self>) {
        let requested = std::mem::take(&mut self.state.borrow_mut().requested_adapters);
        if requested.is_empty() {
            return;
        }
        let totals = {
            let peer_loads = self.gateway.peer_loads.borrow();
            peer_loads.totals(self.gateway.now_ms())
        };
        for (service, model, adapter) in requested.iter().take(MAX_ADAPTERS_PER_TURN) {
            self.place_adapter(&totals, service, model, adapter);
        }
    }

    /// Orders an engine that holds the model to load an adapter, if no copy can
    /// serve it yet.
    fn place_adapter(
        self: &Rc<Self>,
        totals: &HashMap<UpstreamId, InFlight>,
        service: &ServiceId,
        model: &ModelId,
        adapter: &AdapterId,
    ) {
        let Some(catalog) = self.gateway.catalog() else {
            return;
        };
        let engine = catalog
            .services
            .get(service)
            .and_then(|s| s.engine.as_ref());
        let Some(spec) = engine else {
            return;
        };
        let (ids, candidates) = self.adapter_candidates(totals, service, spec, model, adapter);
        if let Some(index) = select_engine(&candidates) {
            let order = Order::LoadAdapter(model.clone(), adapter.clone());
            self.enqueue(ids[index].clone(), order);
        }
    }

    fn adapter_candidates(
        &self,
        totals: &HashMap<UpstreamId, InFlight>,
        service: &ServiceId,
        spec: &EngineSpec,
        model: &ModelId,
        adapter: &AdapterId,
    ) -> (Vec<UpstreamId>, Vec<CandidateEngine>) {
        let now_ms = self.gateway.now_ms();
        let registry = self.gateway.registry.borrow();
        let loads = self.gateway.loads.borrow();
        let state = self.state.borrow();
        let orders = self.orders.borrow();
        let order = Order::LoadAdapter(model.clone(), adapter.clone());
        let key = (model.clone(), adapter.clone());
        let mut ids = Vec::new();
        let mut candidates = Vec::new();
        for entry in registry.of_service(service).filter(|e| !e.is_draining) {
            let Some(ledger) = state.engines.get(&entry.id) else {
                continue;
            };
            let Some(adapters) = ledger.resident.get(model) else {
                continue;
            };
            let load = loads.get(entry.id.as_str());
            if ledger.is_lost()
                || load.is_some_and(|l| l.is_ejected(now_ms) || l.is_unresponsive(now_ms))
            {
                continue;
            }
            let requests = totals.get(&entry.id).map_or(0, |t| t.requests);
            let slots = spec.adapter_slots as usize;
            let queue = orders.get(&entry.id);
            let queued_loads = queue.map_or(0, OrderQueue::adapter_load_count);
            let is_ordered = queue.is_some_and(|q| q.contains(&order));
            let victim = ledger.adapter_to_evict(|m, a| state.last_requested_ms(m, a));
            let victim_ms = victim.map_or(0, |(m, a)| state.last_requested_ms(&m, &a));
            ids.push(entry.id.clone());
            candidates.push(CandidateEngine {
                batch_fill: f64::from(requests) / f64::from(entry.slots.max(1)),
                free_slots: slots.saturating_sub(ledger.charged_adapter_slots() + queued_loads),
                victim_idle_ms: now_ms.saturating_sub(victim_ms),
                is_blocked: !ledger.accepts_orders(now_ms)
                    || load.is_some_and(|l| l.closed_for_ms(now_ms) > 0)
                    || ledger.unloading_adapters.contains(&key),
                has_adapter: adapters.contains(adapter),
                is_loading: is_ordered || ledger.is_adapter_loading(&key),
            });
        }
        (ids, candidates)
    }
}
