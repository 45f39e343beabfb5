//! Computes a placement plan by comparing the gain of possible model copies.
//!
//! The gain of a copy is the unmet demand that it serves within the period for
//! which demand is expected to last, less the demand that the evicted copies
//! leave unserved. The planner greedily adds the copy with the highest gain.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};

use super::catalog::{EngineSpec, ModelSpec, WeightSource};
use super::copies::{ModelDemand, PlannedEngine, Step};
use super::ids::ModelId;

/// Share of an engine's time spent on prefill up to which no copies are added;
/// above it, streams stall and bursts find no capacity.
const TARGET_UTILISATION: f64 = 0.35;
/// Share of an engine's time that the planner may fill with prefill; above it,
/// running streams miss their deadlines.
const MAX_UTILISATION: f64 = 0.65;
/// Time without a request after which the extra copies of a model are evicted
/// first, in milliseconds.
const MODEL_IDLE_AFTER_MS: u64 = 3_000;
/// Time after a request during which a model without a copy counts as in
/// demand, in milliseconds; callers retry within it.
const MISSING_MODEL_DEMAND_MS: u64 = 12_000;
/// Time for which demand is expected to last, in seconds; a copy gains only
/// what it serves between the end of its load and then.
const DEMAND_HORIZON_S: f64 = 14.0;
/// Delay that halves the gain of the first copy of a model, in seconds.
const GAIN_HALVING_DELAY_S: f64 = 5.0;
/// Demand added to that of a requested model without a copy, as its requests
/// cannot be served at all.
const MISSING_MODEL_BONUS: f64 = 0.3;
/// Demand assumed for a model without a copy and without recent requests, as
/// all models should be reachable.
const UNREQUESTED_MODEL_DEMAND: f64 = 0.07;
/// Smallest gain that justifies a step; orders and the memory transfers that
/// they cause have a cost.
const MIN_GAIN: f64 = 0.06;
/// Gain added for the first copy in a zone, so that the loss of a zone does not
/// remove all copies of a model.
const NEW_ZONE_BONUS: f64 = 0.03;
/// Share of an evicted copy's load that counts as lost even if other copies can
/// serve it, as those become slower.
const REDISTRIBUTION_LOSS: f64 = 0.4;
/// Time until the streams of a busy copy have ended and it is unloaded, in
/// seconds.
const BUSY_COPY_UNLOAD_S: f64 = 2.0;
/// Time to unload an idle copy, in seconds.
const IDLE_COPY_UNLOAD_S: f64 = 0.3;
/// Utilisation by a copy above which its unload waits for streams.
const BUSY_COPY_UTILISATION: f64 = 0.02;
/// Assumed time of an order in progress whose duration is unknown, in seconds.
const DEFAULT_ORDER_S: f64 = 3.0;
/// Iterations that distribute demand over the copies; further ones change
/// little.
const DISTRIBUTION_ROUNDS: usize = 6;
/// Limit on the copies added by one plan. The next plan follows within tenths
/// of a second, and each copy costs CPU time on a small machine.
const MAX_COPIES_PER_PLAN: usize = 10;

/// Index of a model in the order of the specification.
type ModelIndex = usize;
/// Index of an engine in the input.
type EngineIndex = usize;

/// Engine with models replaced by their indices, so that names are compared
/// only once per plan.
struct EngineState {
    /// Models resident, loading or planned, with their memory.
    resident: Vec<(ModelIndex, u64)>,
    loading: Option<ModelIndex>,
    protected: Vec<ModelIndex>,
    in_memory: Vec<ModelIndex>,
    on_disk: Vec<ModelIndex>,
    free_mb: u64,
    /// True if this plan may still change the copies here: the engine is
    /// serving and no copy is planned for it yet.
    is_eligible: bool,
}

impl EngineState {
    fn holds(&self, model: ModelIndex) -> bool {
        self.resident.iter().any(|(m, _)| *m == model)
    }

    /// True if a model is loaded and can serve requests.
    fn has_ready(&self, model: ModelIndex) -> bool {
        self.holds(model) && self.loading != Some(model)
    }

    fn source_of(&self, model: ModelIndex) -> WeightSource {
        WeightSource::of(
            self.in_memory.contains(&model),
            self.on_disk.contains(&model),
        )
    }
}

/// State of a plan while it is computed.
pub(super) struct Planner<'a> {
    now_ms: u64,
    spec: &'a EngineSpec,
    engines: &'a [PlannedEngine],
    models: Vec<(&'a ModelId, &'a ModelSpec)>,
    demand: Vec<ModelDemand>,
    states: Vec<EngineState>,
    /// For each model the engines where it is resident, loading or planned, with
    /// the utilisation that it causes there.
    holders: Vec<Vec<(EngineIndex, f64)>>,
    /// Utilisation of each engine by all models.
    engine_utilisation: Vec<f64>,
    /// Evictable copies at each eligible engine: idle models first, then in
    /// order of loss.
    evictable: Vec<Vec<EvictableCopy>>,
    /// Memory kept free for a full set of adapters.
    adapter_reserve_mb: u64,
    store_load_budget: u32,
    steps: Vec<Step>,
}

/// Possible new copy of a model.
struct Candidate {
    model: ModelIndex,
    engine: EngineIndex,
    gain: f64,
}

/// Copy that may be evicted for another.
#[derive(Clone, Copy)]
struct EvictableCopy {
    model: ModelIndex,
    size_mb: u64,
    is_busy: bool,
    /// Utilisation by the copy.
    utilisation: f64,
    /// Demand that its eviction leaves unserved.
    loss: f64,
}

impl<'a> Planner<'a> {
    /// Planner for the current state, with demand distributed over the copies.
    pub(super) fn new(
        now_ms: u64,
        spec: &'a EngineSpec,
        engines: &'a [PlannedEngine],
        demand: &BTreeMap<ModelId, ModelDemand>,
        store_load_budget: u32,
    ) -> Self {
        let models: Vec<(&ModelId, &ModelSpec)> = spec.models.iter().collect();
        let indices: HashMap<&ModelId, ModelIndex> = models
            .iter()
            .enumerate()
            .map(|(index, (m, _))| (*m, index))
            .collect();
        let states: Vec<EngineState> = engines
            .iter()
            .map(|engine| engine_state(engine, spec, &indices))
            .collect();
        let mut holders = vec![Vec::new(); models.len()];
        for (e, state) in states.iter().enumerate().filter(|(_, s)| s.is_eligible) {
            for (model, _) in &state.resident {
                holders[*model].push((e, 0.0));
            }
        }
        let demand = models
            .iter()
            .map(|(m, _)| demand.get(*m).copied().unwrap_or_default())
            .collect();
        let mut planner = Self {
            now_ms,
            spec,
            engines,
            models,
            demand,
            states,
            holders,
            engine_utilisation: vec![0.0; engines.len()],
            evictable: Vec::new(),
            adapter_reserve_mb: adapter_reserve_mb(spec),
            store_load_budget,
            steps: Vec::new(),
        };
        planner.distribute_demand();
        planner
    }

    /// Computes the steps of the plan.
    pub(super) fn into_steps(mut self) -> Vec<Step> {
        self.add_copies();
        self.steps
    }

    fn is_idle(&self, model: ModelIndex) -> bool {
        let requested_ms = self.demand[model].last_requested_ms;
        requested_ms == 0 || self.now_ms.saturating_sub(requested_ms) > MODEL_IDLE_AFTER_MS
    }

    fn has_copy(&self, model: ModelIndex) -> bool {
        !self.holders[model].is_empty()
    }

    /// Distributes each model's demand over its copies as routing does: more to
    /// engines with less load from other models.
    fn distribute_demand(&mut self) {
        let total = &mut self.engine_utilisation;
        for (holders, demand) in self.holders.iter_mut().zip(&self.demand) {
            let utilisation = demand.utilisation / holders.len().max(1) as f64;
            for (_, copy_utilisation) in holders {
                *copy_utilisation = utilisation;
            }
        }
        for _ in 0..DISTRIBUTION_ROUNDS {
            total.fill(0.0);
            for (e, utilisation) in self.holders.iter().flatten() {
                total[*e] += utilisation;
            }
            for (holders, demand) in self.holders.iter_mut().zip(&self.demand) {
                if demand.utilisation <= 0.0 || holders.len() < 2 {
                    continue;
                }
                // Headroom that each engine has without this model.
                let headroom =
                    |(e, own): &(EngineIndex, f64)| (1.5 - (total[*e] - own)).max(0.05).powi(2);
                let sum: f64 = holders.iter().map(headroom).sum();
                for holder in holders {
                    holder.1 = demand.utilisation * headroom(holder) / sum;
                }
            }
        }
        let evictable = (0..self.states.len()).map(|e| self.evictable_at(e));
        self.evictable = evictable.collect();
    }

    /// Demand for a model that its copies cannot serve.
    fn unmet_demand(&self, model: ModelIndex) -> f64 {
        let demand = self.demand[model];
        if !self.has_copy(model) {
            let is_in_demand = demand.last_requested_ms > 0
                && self.now_ms.saturating_sub(demand.last_requested_ms) < MISSING_MODEL_DEMAND_MS;
            return if is_in_demand {
                demand.utilisation + MISSING_MODEL_BONUS
            } else {
                UNREQUESTED_MODEL_DEMAND
            };
        }
        // Utilisation of its least loaded engine.
        let utilisations = self.holders[model]
            .iter()
            .map(|(e, _)| self.engine_utilisation[*e]);
        let lowest_utilisation = utilisations.fold(f64::MAX, f64::min);
        if lowest_utilisation <= TARGET_UTILISATION {
            return 0.0;
        }
        demand.utilisation * (lowest_utilisation - TARGET_UTILISATION) / lowest_utilisation
    }

    /// Adds copies of models whose requests find no capacity or only overloaded
    /// engines, in order of gain. Adding a copy never raises the gain of
    /// others, so that only the best candidate is evaluated again.
    fn add_copies(&mut self) {
        let mut candidates: Vec<Candidate> = (0..self.models.len())
            .filter_map(|model| self.best_candidate(model))
            .collect();
        candidates.sort_by(Candidate::compare_gain);
        let mut copies = 0;
        while copies < MAX_COPIES_PER_PLAN {
            let Some(best) = candidates.pop() else {
                return;
            };
            let Some(current) = self.best_candidate(best.model) else {
                continue;
            };
            let is_still_best = candidates
                .last()
                .is_none_or(|next| current.gain >= next.gain);
            let model = current.model;
            if is_still_best {
                self.add_copy(&current);
                copies += 1;
            }
            let next = if is_still_best {
                self.best_candidate(model)
            } else {
                Some(current)
            };
            if let Some(next) = next {
                let position =
                    candidates.partition_point(|c| Candidate::compare_gain(c, &next).is_lt());
                candidates.insert(position, next);
            }
        }
    }

    /// Engine where another copy of a model has the highest gain; `None` if no
    /// gain is large enough.
    fn best_candidate(&self, model: ModelIndex) -> Option<Candidate> {
        let unmet = self.unmet_demand(model);
        if unmet <= MIN_GAIN {
            return None;
        }
        let score = |c: &Candidate| c.gain + self.zone_bonus(c.engine, model);
        (0..self.states.len())
            .filter(|&e| self.states[e].is_eligible && !self.states[e].holds(model))
            .filter_map(|e| self.candidate(e, model, unmet))
            .filter(|c| c.gain > MIN_GAIN)
            .max_by(|a, b| {
                let order = score(a).total_cmp(&score(b));
                order.then_with(|| b.engine.cmp(&a.engine))
            })
    }

    /// Gain added for a copy in a zone that has none.
    fn zone_bonus(&self, e: EngineIndex, model: ModelIndex) -> f64 {
        let zone = &self.engines[e].zone;
        let holders = self.holders[model].iter();
        let mut zones = holders.map(|(h, _)| &self.engines[*h].zone);
        if zones.any(|z| z == zone) {
            0.0
        } else {
            NEW_ZONE_BONUS
        }
    }

    /// Gain of a copy of a model at an engine, with its evictions; `None` if it
    /// does not fit.
    fn candidate(&self, e: EngineIndex, model: ModelIndex, unmet: f64) -> Option<Candidate> {
        let is_missing = !self.has_copy(model);
        let victims = self.victims(e, model)?;
        let loss: f64 = victims.iter().map(|v| v.loss).sum();
        let freed: f64 = victims.iter().map(|v| v.utilisation).sum();
        let headroom = MAX_UTILISATION - (self.engine_utilisation[e] - freed);
        let delay_s = self.delay_s(e, model, victims);
        let gain = if !is_missing {
            unmet.min(headroom) * (1.0 - delay_s / DEMAND_HORIZON_S).max(0.0)
        } else if unmet > UNREQUESTED_MODEL_DEMAND {
            // Even an overloaded engine serves some of its requests. Its demand
            // persists until a copy is ready, however long that takes.
            unmet.min(headroom.max(MISSING_MODEL_BONUS)) * GAIN_HALVING_DELAY_S
                / (GAIN_HALVING_DELAY_S + delay_s)
        } else if victims.is_empty() {
            unmet
        } else {
            0.0
        };
        Some(Candidate {
            model,
            engine: e,
            gain: gain - loss,
        })
    }

    /// Time until a copy that is planned now is ready.
    fn delay_s(&self, e: EngineIndex, model: ModelIndex, victims: &[EvictableCopy]) -> f64 {
        let engine = &self.engines[e];
        let busy_s = match (engine.accepts_orders, engine.remaining_order_ms) {
            (true, _) => 0.0,
            (false, Some(ms)) => ms as f64 / 1000.0,
            (false, None) => DEFAULT_ORDER_S,
        };
        let unload_s: f64 = victims
            .iter()
            .map(|v| {
                if v.utilisation > BUSY_COPY_UTILISATION {
                    BUSY_COPY_UNLOAD_S
                } else {
                    IDLE_COPY_UNLOAD_S
                }
            })
            .sum();
        let source = self.states[e].source_of(model);
        let load_s = self.models[model].1.load_time(source).as_secs_f64();
        let is_rate_limited = source == WeightSource::Store && self.store_load_budget == 0;
        let store_wait_s = if is_rate_limited {
            1.0 / self.spec.store_loads_per_s.max(0.1)
        } else {
            0.0
        };
        busy_s + unload_s + load_s + store_wait_s
    }

    /// Adds a copy to the plan. An engine that cannot start with it yet is
    /// reserved for it, so that no copy elsewhere is evicted in the meantime.
    fn add_copy(&mut self, candidate: &Candidate) {
        let (e, model) = (candidate.engine, candidate.model);
        let engine = &self.engines[e];
        let victims: Vec<ModelIndex> = self
            .victims(e, model)
            .map_or_else(Vec::new, |v| v.iter().map(|s| s.model).collect());
        let is_from_store = self.states[e].source_of(model) == WeightSource::Store;
        let is_load = victims.is_empty();
        let is_rate_limited = is_from_store && self.store_load_budget == 0 && is_load;
        if engine.accepts_orders && !is_rate_limited {
            let upstream = engine.id.clone();
            self.steps.push(match victims.first() {
                Some(&victim) => Step::Unload {
                    upstream,
                    model: self.models[victim].0.clone(),
                },
                None => Step::Load {
                    upstream,
                    model: self.models[model].0.clone(),
                    is_from_store,
                },
            });
            if is_from_store && is_load {
                self.store_load_budget -= 1;
            }
        }
        self.states[e].is_eligible = false;
        for victim in victims {
            self.holders[victim].retain(|(h, _)| *h != e);
        }
        self.holders[model].push((e, 0.0));
        self.distribute_demand();
    }

    /// Utilisation by the copy of a model at an engine.
    fn utilisation(&self, e: EngineIndex, model: ModelIndex) -> f64 {
        let copy = self.holders[model].iter().find(|(h, _)| *h == e);
        copy.map_or(0.0, |(_, utilisation)| *utilisation)
    }

    /// Demand that the eviction of a copy leaves unserved: what the other
    /// copies cannot serve, and a share of what they can.
    fn loss(&self, e: EngineIndex, model: ModelIndex) -> f64 {
        let utilisation = self.utilisation(e, model);
        let headroom: f64 = self.holders[model]
            .iter()
            .filter(|(h, _)| *h != e && self.states[*h].has_ready(model))
            .map(|(h, _)| (MAX_UTILISATION - self.engine_utilisation[*h]).max(0.0))
            .sum();
        (utilisation - headroom).max(0.0) + utilisation.min(headroom) * REDISTRIBUTION_LOSS
    }

    /// Copies to evict so that a model fits, in order of loss; `None` if too
    /// few are evictable.
    fn victims(&self, e: EngineIndex, new_model: ModelIndex) -> Option<&[EvictableCopy]> {
        let needed_mb = self.models[new_model].1.weights_mb + self.adapter_reserve_mb;
        let mut free_mb = self.states[e].free_mb;
        for (count, evictable) in self.evictable[e].iter().enumerate() {
            if free_mb >= needed_mb {
                return Some(&self.evictable[e][..count]);
            }
            free_mb += evictable.size_mb;
        }
        (free_mb >= needed_mb).then_some(&self.evictable[e])
    }

    /// Evictable copies at an engine: idle models first, then in order of loss.
    fn evictable_at(&self, e: EngineIndex) -> Vec<EvictableCopy> {
        let state = &self.states[e];
        if !state.is_eligible {
            return Vec::new();
        }
        let mut evictable: Vec<EvictableCopy> = state
            .resident
            .iter()
            .filter(|(m, _)| !state.protected.contains(m) && self.is_evictable(e, *m))
            .map(|&(model, size_mb)| EvictableCopy {
                model,
                size_mb,
                is_busy: !self.is_idle(model),
                utilisation: self.utilisation(e, model),
                loss: self.loss(e, model),
            })
            .collect();
        evictable.sort_by(|a, b| {
            let order = a.is_busy.cmp(&b.is_busy);
            order.then_with(|| a.loss.total_cmp(&b.loss))
        });
        evictable
    }

    /// True if another copy of the model is ready. One that is still being
    /// loaded does not count, as its load may fail.
    fn is_evictable(&self, e: EngineIndex, model: ModelIndex) -> bool {
        let mut others = self.holders[model].iter().filter(|(h, _)| *h != e);
        others.any(|(h, _)| self.states[*h].has_ready(model))
    }
}

impl Candidate {
    /// Compares by gain; among equals the model with the lower index is
    /// greater.
    fn compare_gain(a: &Self, b: &Self) -> Ordering {
        let order = a.gain.total_cmp(&b.gain);
        order.then_with(|| b.model.cmp(&a.model))
    }
}

fn engine_state(
    engine: &PlannedEngine,
    spec: &EngineSpec,
    indices: &HashMap<&ModelId, ModelIndex>,
) -> EngineState {
    let index_of = |model: &ModelId| indices.get(model).copied();
    let mut free_mb = spec.weights_mb;
    let mut resident = Vec::with_capacity(engine.resident.len());
    for (model, adapters) in &engine.resident {
        let size = spec.models.get(model);
        let memory_mb = size.map_or(0, |s| s.weights_mb + adapters.len() as u64 * s.adapter_mb);
        free_mb = free_mb.saturating_sub(memory_mb);
        resident.extend(index_of(model).map(|index| (index, memory_mb)));
    }
    EngineState {
        resident,
        loading: engine.loading.as_ref().and_then(index_of),
        protected: engine.protected.iter().filter_map(index_of).collect(),
        in_memory: engine.in_memory.iter().filter_map(index_of).collect(),
        on_disk: engine.on_disk.iter().filter_map(index_of).collect(),
        free_mb,
        is_eligible: engine.is_serving,
    }
}

/// Memory reserved for a full set of adapters, limited to what models of the
/// largest size leave free.
fn adapter_reserve_mb(spec: &EngineSpec) -> u64 {
    let largest = spec.models.values().map(|m| m.weights_mb).max();
    let adapter = spec.models.values().map(|m| m.adapter_mb).max();
    let remainder_mb = spec.weights_mb % largest.unwrap_or(1).max(1);
    let full_set_mb = adapter.unwrap_or(0) * u64::from(spec.adapter_slots);
    full_set_mb.min(remainder_mb)
}
