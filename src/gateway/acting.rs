//! Control loop of the acting host: aggregates the reports of all hosts, plans
//! which engines hold copies of which models, and places requested adapters.
//!
//! The loop works in turns. Whatever happens between two turns is only recorded:
//! a message of another host never causes a plan or a broadcast by itself.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::FutureExt;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::demand::{ModelCounts, ServiceModel};
use super::membership::Membership;
use super::orders::OrderQueue;
use super::peers::{ActingHostInbox, report_interval};
use super::platform::{Order, Platform};
use super::state::Gateway;
use crate::core::balance::Weights;
use crate::core::catalog::{EngineSpec, WeightSource};
use crate::core::copies::{ModelDemand, PlannedEngine, Step, plan};
use crate::core::demand_rate::DemandRate;
use crate::core::engine_ledger::EngineLedger;
use crate::core::engine_work::EngineSpeed;
use crate::core::ids::{AdapterId, HostId, ModelId, ServiceId, UpstreamId};
use crate::core::load::{min_decode_us_per_token, min_prefill_us_per_token};
use crate::core::pacing::PlanPacer;
use crate::core::registry::Entry;
use crate::kernel::Service;

/// Shortest time between two turns.
const MIN_TURN_INTERVAL: Duration = Duration::from_millis(15);
/// Time from the start of a term until hosts have reported the demand for models in
/// use, in milliseconds; nothing is evicted before.
const DEMAND_WARM_UP_MS: u64 = 2_000;
/// Turn that is logged because it delays everything else on the host.
const SLOW_TURN: Duration = Duration::from_millis(20);
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
    /// Speed of the engines of each service.
    speeds: HashMap<ServiceId, EngineSpeed>,
    adapter_requested_ms: HashMap<(ModelId, AdapterId), u64>,
    /// Engines by ID.
    pub engines: BTreeMap<UpstreamId, EngineLedger>,
    store_load_tokens: f64,
    store_loads_refilled_ms: u64,
    /// Term for which this state was built.
    pub(super) term: u64,
    term_started_ms: u64,
    /// Number of the last published holdings within the term.
    pub(super) holdings_number: u64,
    /// Engines whose holdings have changed since they were published.
    pub(super) unpublished: BTreeSet<UpstreamId>,
    /// Adapters that hosts have requested since the last turn.
    pub(super) requested_adapters: BTreeSet<(ServiceId, ModelId, AdapterId)>,
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
    /// Spacing of the plans.
    pacer: RefCell<PlanPacer>,
    /// Time of the next digests of all hosts' loads.
    next_digest_ms: Cell<u64>,
    /// Starts a turn before the next plan is due.
    pub(super) wake: Notify,
}

impl<P: Platform> ActingHostService<P> {
    /// Creates the service on the shared state.
    pub fn new(gateway: Rc<Gateway<P>>, membership: Rc<Membership<P>>) -> Self {
        Self {
            gateway,
            membership,
            state: RefCell::default(),
            orders: RefCell::default(),
            pacer: RefCell::default(),
            next_digest_ms: Cell::new(0),
            wake: Notify::new(),
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
            state.term_started_ms = now_ms;
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
        let is_demand_known = now_ms >= state.term_started_ms + DEMAND_WARM_UP_MS;
        let service_loads = || {
            let entries = registry.of_service(service);
            entries.filter_map(|e| loads.get(e.id.as_str()))
        };
        let prefill_us_per_token = min_prefill_us_per_token(service_loads());
        let speed = EngineSpeed {
            prefill_us_per_token,
            decode_us_per_token: min_decode_us_per_token(service_loads()),
            batch: spec.batch,
        };
        state.speeds.insert(service.clone(), speed);
        let demand = state.demand(now_ms, service, prefill_us_per_token);
        let mut engines = Vec::new();
        for entry in registry.of_service(service) {
            let Some(ledger) = state.engines.get(&entry.id) else {
                continue;
            };
            let load = loads.get(entry.id.as_str());
            let is_lost = ledger.is_lost() || load.is_some_and(|l| l.is_presumed_lost(now_ms));
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
                protected: ledger.protected_models(now_ms, is_demand_known),
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
}

impl<P: Platform> ActingHostService<P> {
    /// Plans if a plan is due, places requested adapters and publishes changes.
    fn take_turn(self: &Rc<Self>) {
        let gateway = &self.gateway;
        let now_ms = gateway.now_ms();
        let is_plan_due = self.pacer.borrow().due_in_ms(now_ms) == 0;
        if is_plan_due {
            gateway.pool.close_expired();
            gateway.attestations.borrow_mut().forget_old(now_ms);
            let expired = gateway.registry.borrow_mut().expire_lapsed(now_ms);
            for change in &expired {
                gateway.on_registry_change(change, 0);
            }
        }
        let Some(term) = self.membership.acting_term() else {
            self.state.borrow_mut().requested_adapters.clear();
            self.pacer.borrow_mut().finish(now_ms, Duration::ZERO);
            return;
        };
        if is_plan_due {
            let started = Instant::now();
            self.plan_fleet(term);
            let now_ms = gateway.now_ms();
            self.pacer.borrow_mut().finish(now_ms, started.elapsed());
            self.send_due_digests(term, now_ms);
        }
        // Ledgers of an earlier term are outdated until the first plan of this one.
        if self.state.borrow().term == term {
            self.place_requested_adapters();
        }
        self.flush_holdings();
    }

    fn send_due_digests(&self, term: u64, now_ms: u64) {
        if now_ms >= self.next_digest_ms.get() && self.gateway.is_large_fleet() {
            let interval = report_interval(self.gateway.host_count());
            self.next_digest_ms
                .set(now_ms + interval.as_millis() as u64);
            self.send_digests(term);
        }
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
                let speed = state.speeds.get(service).copied().unwrap_or_default();
                let tokens = speed.work_tokens(
                    counts.prompt_tokens.saturating_sub(old.prompt_tokens),
                    counts.output_tokens.saturating_sub(old.output_tokens),
                );
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
        if self.membership.acting_term().is_none() {
            return;
        }
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
            self.pacer.borrow_mut().request();
        } else if let Some(adapter) = &weights.adapter {
            let key = (service.clone(), weights.model.clone(), adapter.clone());
            self.state.borrow_mut().requested_adapters.insert(key);
        }
        self.wake.notify_one();
    }
}

impl<P: Platform> Service for ActingHostService<P> {
    const NAME: &'static str = "gateway-acting";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        loop {
            let due_in_ms = self.pacer.borrow().due_in_ms(self.gateway.now_ms());
            let due = compio::time::sleep(Duration::from_millis(due_in_ms));
            futures_util::select_biased! {
                () = cancel.cancelled().fuse() => return,
                () = due.fuse() => {}
                () = self.wake.notified().fuse() => {}
            }
            let started = Instant::now();
            self.take_turn();
            let took = started.elapsed();
            self.gateway.metrics.turn_time_s.observe(took.as_secs_f64());
            if took > SLOW_TURN {
                let took_ms = took.as_millis() as u64;
                tracing::info!(event = "turn", took_ms, hosts = self.gateway.host_count());
            }
            compio::time::sleep(MIN_TURN_INTERVAL).await;
        }
    }
}
