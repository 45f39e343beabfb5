//! Control loop of the acting host: aggregates the reports of all hosts, plans
//! which engines hold copies of which models, and places requested adapters.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use tokio_util::sync::CancellationToken;

use super::demand::{ModelCounts, ServiceModel};
use super::membership::Membership;
use super::orders::OrderQueue;
use super::peer_messages::PeerMessage;
use super::peers::{ActingHostInbox, MAX_FULL_MESH_HOSTS, datagram_chunk};
use super::platform::{Order, Platform};
use super::state::Gateway;
use crate::core::adapters::{CandidateEngine, select_engine};
use crate::core::balance::Weights;
use crate::core::catalog::{EngineSpec, WeightSource};
use crate::core::copies::{ModelDemand, PlannedEngine, Step, plan};
use crate::core::demand_rate::DemandRate;
use crate::core::engine_ledger::EngineLedger;
use crate::core::ids::{AdapterId, HostId, ModelId, ServiceId, UpstreamId};
use crate::core::load::{InFlight, min_prefill_us_per_token};
use crate::core::registry::Entry;
use crate::kernel::Service;

/// Time between two planning cycles.
const PLAN_INTERVAL: Duration = Duration::from_millis(200);
/// Time until the next report is requested from an engine that did not respond
/// or is busy with another host's order.
const REPORT_RETRY_MS: u64 = 400;
/// Capacity of the token bucket that limits loads from the weight store.
const STORE_LOAD_BURST: f64 = 3.0;

/// Latest demand counters reported by one host.
#[derive(Debug, Default)]
struct HostReport {
    started_ms: u64,
    models: HashMap<ServiceModel, ModelCounts>,
}

/// State of the acting host.
#[derive(Debug, Default)]
pub struct ActingHostState {
    hosts: HashMap<HostId, HostReport>,
    demand_rates: HashMap<ServiceModel, DemandRate>,
    adapter_requested_ms: HashMap<(ModelId, AdapterId), u64>,
    /// Engines by ID.
    pub engines: BTreeMap<UpstreamId, EngineLedger>,
    store_load_tokens: f64,
    store_loads_refilled_ms: u64,
    term: u64,
    holdings_number: u64,
}

impl ActingHostState {
    /// Time of the last request for an adapter; 0 if there was none.
    pub fn last_requested_ms(&self, model: &ModelId, adapter: &AdapterId) -> u64 {
        let key = (model.clone(), adapter.clone());
        self.adapter_requested_ms.get(&key).copied().unwrap_or(0)
    }

    /// Demand for the models of a service; `prefill_us_per_token` is the time to
    /// prefill one prompt token.
    fn demand(
        &self,
        now_ms: u64,
        service: &ServiceId,
        prefill_us_per_token: f64,
    ) -> BTreeMap<ModelId, ModelDemand> {
        let demand_rates = self
            .demand_rates
            .iter()
            .filter(|((of, _), _)| of == service);
        let demand = demand_rates.map(|((_, model), rate)| {
            let demand = ModelDemand {
                utilisation: rate.tokens_per_s(now_ms) * prefill_us_per_token / 1e6,
                last_requested_ms: rate.last_requested_ms,
            };
            (model.clone(), demand)
        });
        demand.collect()
    }

    fn refill_store_loads(&mut self, now_ms: u64, per_s: f64) {
        let elapsed_s = now_ms.saturating_sub(self.store_loads_refilled_ms) as f64 / 1000.0;
        self.store_loads_refilled_ms = now_ms;
        self.store_load_tokens = (self.store_load_tokens + elapsed_s * per_s).min(STORE_LOAD_BURST);
    }

    /// Takes one token for a load from the weight store; false if the bucket is
    /// empty.
    pub fn try_take_store_load(&mut self) -> bool {
        let is_allowed = self.store_load_tokens >= 1.0;
        if is_allowed {
            self.store_load_tokens -= 1.0;
        }
        is_allowed
    }
}

/// Service that plans and sends orders to engines while this host's term lasts.
#[derive(Debug)]
pub struct ActingHostService<P: Platform> {
    /// Shared state of the host.
    pub gateway: Rc<Gateway<P>>,
    /// Term of this host, if it is the acting host.
    pub membership: Rc<Membership<P>>,
    /// Reported demand and expected state of the engines.
    pub state: RefCell<ActingHostState>,
    /// Queued orders by engine.
    pub orders: RefCell<HashMap<UpstreamId, OrderQueue>>,
}

impl<P: Platform> ActingHostService<P> {
    /// Creates the service on the shared state.
    pub fn new(gateway: Rc<Gateway<P>>, membership: Rc<Membership<P>>) -> Self {
        Self {
            gateway,
            membership,
            state: RefCell::default(),
            orders: RefCell::default(),
        }
    }

    /// Engine specification of an upstream's service, if it has one.
    pub fn engine_spec(&self, id: &UpstreamId) -> Option<Rc<EngineSpec>> {
        let catalog = self.gateway.catalog()?;
        let registry = self.gateway.registry.borrow();
        let entry = registry.get(id.as_str())?;
        catalog.services.get(&entry.service)?.engine.clone()
    }

    /// Adds and removes engine ledgers to match the listings, and requests the
    /// reports of engines whose ledger may be out of date.
    fn reconcile(self: &Rc<Self>, term: u64) {
        let now_ms = self.gateway.now_ms();
        let registry = self.gateway.registry.borrow();
        let mut state = self.state.borrow_mut();
        if state.term != term {
            // Recent orders of the previous acting host are unknown, so the
            // ledgers are rebuilt and the bucket of store loads starts empty.
            state.term = term;
            state.engines.clear();
            state.store_load_tokens = 0.0;
            state.store_loads_refilled_ms = now_ms;
        }
        state
            .engines
            .retain(|id, _| registry.get(id.as_str()).is_some());
        let catalog = self.gateway.catalog();
        let is_active_engine = |entry: &Entry| {
            let spec = catalog
                .as_ref()
                .and_then(|c| c.services.get(&entry.service));
            spec.is_some_and(|s| s.engine.is_some()) && !entry.is_draining
        };
        let mut stale = Vec::new();
        for entry in registry.entries() {
            match state.engines.get_mut(&entry.id) {
                Some(ledger) => {
                    if ledger.needs_report(now_ms) {
                        ledger.blocked_until_ms = now_ms + REPORT_RETRY_MS;
                        stale.push(entry.id.clone());
                    } else if ledger.check_listing(entry) {
                        // One report per listing is enough.
                        ledger.updated_ms = now_ms;
                        stale.push(entry.id.clone());
                    }
                }
                None if is_active_engine(entry) => {
                    let mut ledger = EngineLedger::new(entry);
                    ledger.blocked_until_ms = now_ms + REPORT_RETRY_MS;
                    state.engines.insert(entry.id.clone(), ledger);
                    stale.push(entry.id.clone());
                }
                None => {}
            }
        }
        drop(state);
        drop(registry);
        for upstream in stale {
            let acting = Rc::clone(self);
            compio::runtime::spawn(async move { acting.refresh_holdings(&upstream).await })
                .detach();
        }
    }

    fn plan_fleet(self: &Rc<Self>, term: u64) {
        self.reconcile(term);
        let Some(catalog) = self.gateway.catalog() else {
            return;
        };
        for (service, spec) in catalog.engines() {
            let steps = self.plan_service(service, spec);
            for step in steps {
                self.schedule_step(service, spec, step);
            }
        }
    }

    fn plan_service(&self, service: &ServiceId, spec: &EngineSpec) -> Vec<Step> {
        let now_ms = self.gateway.now_ms();
        let mut state = self.state.borrow_mut();
        state.refill_store_loads(now_ms, spec.store_loads_per_s);
        let registry = self.gateway.registry.borrow();
        let loads = self.gateway.loads.borrow();
        let orders = self.orders.borrow();
        let service_loads = registry
            .of_service(service)
            .filter_map(|e| loads.get(e.id.as_str()));
        let prefill_us_per_token = min_prefill_us_per_token(service_loads);
        let demand = state.demand(now_ms, service, prefill_us_per_token);
        let mut engines = Vec::new();
        for entry in registry.of_service(service) {
            let Some(ledger) = state.engines.get(&entry.id) else {
                continue;
            };
            let load = loads.get(entry.id.as_str());
            let is_lost = load.is_some_and(|l| l.is_presumed_lost(now_ms));
            let has_orders = orders
                .get(&entry.id)
                .is_some_and(OrderQueue::has_model_orders);
            let accepts_orders = !entry.is_draining
                && !is_lost
                && !has_orders
                && ledger.accepts_orders(now_ms)
                && load.is_none_or(|l| l.closed_for_ms(now_ms) == 0);
            engines.push(PlannedEngine {
                id: entry.id.clone(),
                accepts_orders,
                zone: entry.zone.clone(),
                remaining_order_ms: ledger.remaining_load_ms(now_ms),
                is_serving: !entry.is_draining && !is_lost,
                resident: ledger.planned_holdings(),
                loading: ledger.loading.as_ref().map(|(model, _)| model.clone()),
                recently_loaded: ledger.recently_loaded(now_ms),
                in_memory: entry.in_memory.clone(),
                on_disk: entry.on_disk.clone(),
            });
        }
        let store_load_tokens = state.store_load_tokens.max(0.0) as u32;
        plan(now_ms, spec, &engines, &demand, store_load_tokens)
    }

    fn schedule_step(self: &Rc<Self>, service: &ServiceId, spec: &EngineSpec, step: Step) {
        match step {
            Step::Load {
                upstream,
                model,
                is_from_store,
            } => {
                tracing::info!(event = "plan", step = "load", upstream = %upstream, model = %model, is_from_store);
                self.announce_loading(service, spec, &upstream, &model);
                self.enqueue(upstream, Order::LoadModel(model));
            }
            Step::Unload { upstream, model } => {
                tracing::info!(event = "plan", step = "unload", upstream = %upstream, model = %model);
                self.enqueue(upstream, Order::UnloadModel(model));
            }
        }
    }

    fn announce_loading(
        &self,
        service: &ServiceId,
        spec: &EngineSpec,
        upstream: &UpstreamId,
        model: &ModelId,
    ) {
        let ready_in_ms = self.load_time(spec, upstream, model).as_millis() as u64;
        let term = self.state.borrow().term;
        let message = PeerMessage::Loading {
            term,
            service: service.clone(),
            model: model.clone(),
            ready_in_ms,
        };
        self.broadcast(&message);
        let gateway = &self.gateway;
        gateway.apply_loading(service.clone(), model.clone(), ready_in_ms);
    }

    /// Fastest source from which an engine can load the weights of a model.
    pub fn weight_source(&self, upstream: &UpstreamId, model: &ModelId) -> WeightSource {
        let registry = self.gateway.registry.borrow();
        let entry = registry.get(upstream.as_str());
        entry.map_or(WeightSource::Store, |e| e.source_of(model))
    }

    /// Expected time for an engine to load a model from its weight source.
    pub fn load_time(&self, spec: &EngineSpec, upstream: &UpstreamId, model: &ModelId) -> Duration {
        let size = spec.models.get(model);
        size.map_or(Duration::ZERO, |s| {
            s.load_time(self.weight_source(upstream, model))
        })
    }

    /// Sends a message to all other hosts.
    pub fn broadcast(&self, message: &PeerMessage) {
        let gateway = &self.gateway;
        let own = gateway.settings().host.clone();
        let peers = gateway.peers.borrow();
        for (host, peer) in peers.recipients(gateway.now_ms()) {
            if *host != own {
                gateway.send_peer(peer.addr, message);
            }
        }
    }

    /// Publishes the models and adapters that an engine holds to all hosts.
    pub fn broadcast_holdings(&self, upstream: &UpstreamId) {
        let mut state = self.state.borrow_mut();
        state.holdings_number += 1;
        let (term, number) = (state.term, state.holdings_number);
        let Some(ledger) = state.engines.get(upstream) else {
            return;
        };
        let message = PeerMessage::Holdings {
            term,
            upstream: upstream.clone(),
            started_ms: ledger.started_ms,
            number,
            holds: ledger.resident.clone(),
        };
        self.broadcast(&message);
        let started_ms = ledger.started_ms;
        self.gateway
            .apply_holdings(upstream, started_ms, (term, number), &ledger.resident);
    }

    /// Sends each host the sum of what all other hosts have in flight.
    fn send_digests(&self, term: u64) {
        let gateway = &self.gateway;
        let now_ms = gateway.now_ms();
        let own = gateway.settings().host.clone();
        let peer_loads = gateway.peer_loads.borrow();
        let totals = peer_loads.totals(now_ms);
        let peers = gateway.peers.borrow();
        for (host, peer) in peers.recipients(now_ms) {
            let others: Vec<(UpstreamId, InFlight)> = totals
                .iter()
                .map(|(id, total)| (id.clone(), total.minus(peer_loads.from_host(host, id))))
                .collect();
            if *host == own {
                let mut loads = gateway.loads.borrow_mut();
                for (id, others) in &others {
                    loads.set_remote(now_ms, id, *others);
                }
                continue;
            }
            for index in 0..others.len().div_ceil(super::peers::MAX_ITEMS_PER_DATAGRAM) {
                let others = datagram_chunk(&others, index);
                gateway.send_peer(peer.addr, &PeerMessage::Digest { term, others });
            }
        }
    }

    /// Orders an engine that holds the model to load an adapter, if no copy can
    /// serve it yet.
    fn place_adapter(self: &Rc<Self>, service: &ServiceId, model: &ModelId, adapter: &AdapterId) {
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
        let (ids, candidates) = self.adapter_candidates(service, spec, model, adapter);
        if let Some(index) = select_engine(&candidates) {
            let order = Order::LoadAdapter(model.clone(), adapter.clone());
            self.enqueue(ids[index].clone(), order);
        }
    }

    fn adapter_candidates(
        &self,
        service: &ServiceId,
        spec: &EngineSpec,
        model: &ModelId,
        adapter: &AdapterId,
    ) -> (Vec<UpstreamId>, Vec<CandidateEngine>) {
        let now_ms = self.gateway.now_ms();
        let registry = self.gateway.registry.borrow();
        let loads = self.gateway.loads.borrow();
        let state = self.state.borrow();
        let totals = self.gateway.peer_loads.borrow().totals(now_ms);
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
            if load.is_some_and(|l| l.is_ejected(now_ms) || l.is_unresponsive(now_ms)) {
                continue;
            }
            let requests = totals.get(&entry.id).map_or(0, |t| t.requests);
            let slots = spec.adapter_slots as usize;
            let victim = ledger.adapter_to_evict(|m, a| state.last_requested_ms(m, a));
            let victim_ms = victim.map_or(0, |(m, a)| state.last_requested_ms(&m, &a));
            ids.push(entry.id.clone());
            candidates.push(CandidateEngine {
                batch_fill: f64::from(requests) / f64::from(entry.slots.max(1)),
                free_slots: slots.saturating_sub(ledger.charged_adapter_slots()),
                victim_idle_ms: now_ms.saturating_sub(victim_ms),
                is_blocked: !ledger.accepts_orders(now_ms)
                    || load.is_some_and(|l| l.closed_for_ms(now_ms) > 0)
                    || ledger.unloading_adapters.contains(&key),
                has_adapter: adapters.contains(adapter),
                is_loading: ledger.is_adapter_loading(&key),
            });
        }
        (ids, candidates)
    }
}

impl<P: Platform> ActingHostInbox for Rc<ActingHostService<P>> {
    fn on_report(
        &self,
        host: &HostId,
        started_ms: u64,
        models: &[(ServiceId, ModelId, ModelCounts)],
        adapters: &[(ServiceId, ModelId, AdapterId)],
    ) {
        let now_ms = self.gateway.now_ms();
        let mut guard = self.state.borrow_mut();
        let state = &mut *guard;
        let report = state.hosts.entry(host.clone()).or_default();
        if report.started_ms != started_ms {
            *report = HostReport {
                started_ms,
                ..HostReport::default()
            };
        }
        for (service, model, counts) in models {
            let key = (service.clone(), model.clone());
            let old = report.models.insert(key.clone(), *counts);
            let old = old.unwrap_or_default();
            if counts.requests > old.requests {
                let tokens = counts.prompt_tokens.saturating_sub(old.prompt_tokens);
                let rate = state.demand_rates.entry(key).or_default();
                rate.record(now_ms, tokens);
            }
        }
        for (_, model, adapter) in adapters {
            state
                .adapter_requested_ms
                .insert((model.clone(), adapter.clone()), now_ms);
        }
    }

    fn on_weights_request(&self, service: &ServiceId, weights: &Weights) {
        let now_ms = self.gateway.now_ms();
        let Some(term) = self.membership.acting_term() else {
            return;
        };
        {
            let mut state = self.state.borrow_mut();
            let key = (service.clone(), weights.model.clone());
            state.demand_rates.entry(key).or_default().last_requested_ms = now_ms;
            if let Some(adapter) = &weights.adapter {
                let key = (weights.model.clone(), adapter.clone());
                state.adapter_requested_ms.insert(key, now_ms);
            }
        }
        let has_copy = {
            let state = self.state.borrow();
            let mut ledgers = state.engines.values();
            ledgers.any(|l| l.resident.contains_key(&weights.model))
        };
        if !has_copy {
            self.plan_fleet(term);
        } else if let Some(adapter) = &weights.adapter {
            self.place_adapter(service, &weights.model, adapter);
        }
    }
}

impl<P: Platform> Service for ActingHostService<P> {
    const NAME: &'static str = "gateway-acting";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        let mut next_digest_ms = 0;
        loop {
            futures_util::select_biased! {
                () = cancel.cancelled().fuse() => return,
                () = compio::time::sleep(PLAN_INTERVAL).fuse() => {}
            }
            self.gateway.pool.close_expired();
            let now_ms = self.gateway.now_ms();
            let expired = self.gateway.registry.borrow_mut().expire_lapsed(now_ms);
            for change in &expired {
                self.gateway.on_registry_change(change, 0);
            }
            let Some(term) = self.membership.acting_term() else {
                continue;
            };
            self.plan_fleet(term);
            let hosts = self.gateway.host_count();
            let every_ms = super::peers::report_interval(hosts).as_millis() as u64;
            if now_ms >= next_digest_ms && hosts > MAX_FULL_MESH_HOSTS {
                next_digest_ms = now_ms + every_ms;
                self.send_digests(term);
            }
        }
    }
}
