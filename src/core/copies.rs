//! Which models and adapters each engine should hold.
//!
//! Answers three load patterns. Demand moves on within seconds: a model that
//! was quiet gets a share of all traffic, so copies follow the prompts that
//! arrive, not what the present copies let through, and go where engines have
//! time to read them. Rare models are asked for at
//! once: a model without a copy counts for more than its requests. Engines are
//! lost: their models are loaded elsewhere, by demand. The last copy of a
//! model is never given up.

use std::collections::{BTreeMap, BTreeSet};

use super::catalog::{EngineSpec, WeightSource};
use super::ids::{ModelId, UpstreamId};
use super::registry::Holdings;

/// Share of an engine's time for reading prompts up to which nothing moves;
/// above it, streams pause and bursts find no room.
pub const TARGET_USE: f64 = 0.35;
/// Difference of use between engines that is worth a load.
pub const WORTHWHILE_USE: f64 = 0.12;
/// Use by a model below which it gets no further copy; a request now and then
/// finds room anywhere.
const LEAST_USE: f64 = 0.03;
/// Time without a request after which a model's extra copies may go, in
/// milliseconds.
pub const IDLE_AFTER_MS: u64 = 3_000;
/// Time after a request for which a model without a copy is wanted, in
/// milliseconds; callers come back within it.
pub const WANTED_FOR_MS: u64 = 12_000;
/// Use that a model without a copy counts for beside its own; its requests can
/// go nowhere.
const MISSING_USE: f64 = 0.15;
/// Use that a second of loading must save to be worth it; a load from the
/// weight store takes most of the time for which demand stays.
const USE_PER_LOAD_S: f64 = 0.05;
/// Use that the unload of a model which is in use must save.
const USE_PER_BUSY_VICTIM: f64 = 0.10;
/// Rounds in which demand settles on the copies; more change little.
const SETTLE_ROUNDS: usize = 6;
/// Steps of one plan at most.
const MAX_STEPS: usize = 32;

/// Offered load of one model over the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelDemand {
    /// Use of one engine's time for reading prompts that would serve all
    /// requests; 1 is all of it.
    pub engine_use: f64,
    /// Time of the newest request.
    pub last_asked_ms: u64,
}

/// Engine as the planner sees it.
#[derive(Clone, Debug)]
pub struct PlannedEngine {
    /// Name.
    pub id: UpstreamId,
    /// True if it takes orders now: in service, healthy, no order under way.
    pub takes_orders: bool,
    /// True if its copies count: in service and not failing.
    pub is_serving: bool,
    /// Models and adapters held, and those being loaded.
    pub holds: Holdings,
    /// Models whose copies here are too new to go.
    pub fresh: BTreeSet<ModelId>,
    /// Models in host memory.
    pub in_memory: BTreeSet<ModelId>,
    /// Models on disk.
    pub on_disk: BTreeSet<ModelId>,
}

/// One step of the plan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Load a model.
    Load {
        /// Where.
        upstream: UpstreamId,
        /// Model.
        model: ModelId,
        /// True if the weights come from the weight store.
        is_from_store: bool,
    },
    /// Unload a model to make room for another.
    Unload {
        /// Where.
        upstream: UpstreamId,
        /// Model.
        model: ModelId,
    },
}

/// Plans the next steps for the engines of one service.
///
/// `store_loads` is how many loads from the weight store may begin now.
pub fn plan(
    now_ms: u64,
    spec: &EngineSpec,
    engines: &[PlannedEngine],
    demand: &BTreeMap<ModelId, ModelDemand>,
    store_loads: u32,
) -> Vec<Step> {
    let mut planner = Planner::new(now_ms, spec, engines, demand, store_loads);
    planner.add_copies();
    planner.steps
}

struct Planner<'a> {
    now_ms: u64,
    spec: &'a EngineSpec,
    engines: &'a [PlannedEngine],
    demand: &'a BTreeMap<ModelId, ModelDemand>,
    /// Engines that hold or load each model.
    holders: BTreeMap<&'a ModelId, Vec<usize>>,
    /// Use of each engine once demand has settled.
    engine_use: Vec<f64>,
    is_free: Vec<bool>,
    store_loads: u32,
    steps: Vec<Step>,
}

impl<'a> Planner<'a> {
    fn new(
        now_ms: u64,
        spec: &'a EngineSpec,
        engines: &'a [PlannedEngine],
        demand: &'a BTreeMap<ModelId, ModelDemand>,
        store_loads: u32,
    ) -> Self {
        let mut holders: BTreeMap<&ModelId, Vec<usize>> = BTreeMap::new();
        for (e, engine) in engines.iter().enumerate() {
            if engine.is_serving {
                for model in engine.holds.keys() {
                    holders.entry(model).or_default().push(e);
                }
            }
        }
        let mut planner = Self {
            now_ms,
            spec,
            engines,
            demand,
            holders,
            engine_use: Vec::new(),
            is_free: engines.iter().map(|e| e.takes_orders).collect(),
            store_loads,
            steps: Vec::new(),
        };
        planner.settle();
        planner
    }

    fn copies(&self, model: &ModelId) -> usize {
        self.holders.get(model).map_or(0, Vec::len)
    }

    fn demand_of(&self, model: &ModelId) -> ModelDemand {
        self.demand.get(model).copied().unwrap_or_default()
    }

    fn is_idle(&self, model: &ModelId) -> bool {
        let asked_ms = self.demand_of(model).last_asked_ms;
        asked_ms == 0 || self.now_ms.saturating_sub(asked_ms) > IDLE_AFTER_MS
    }

    /// Spreads each model's demand over its copies as routing does: where it
    /// meets less of the others'.
    fn settle(&mut self) {
        let active: Vec<(f64, &Vec<usize>)> = self
            .holders
            .iter()
            .map(|(m, holders)| (self.demand_of(m).engine_use, holders))
            .filter(|(engine_use, holders)| *engine_use > 0.0 && !holders.is_empty())
            .collect();
        let mut shares: Vec<Vec<f64>> = active
            .iter()
            .map(|(u, holders)| vec![u / holders.len() as f64; holders.len()])
            .collect();
        let mut total = vec![0.0; self.engines.len()];
        for _ in 0..SETTLE_ROUNDS {
            total.fill(0.0);
            for ((_, holders), shares) in active.iter().zip(&shares) {
                for (&e, share) in holders.iter().zip(shares) {
                    total[e] += share;
                }
            }
            for ((u, holders), shares) in active.iter().zip(&mut shares) {
                // What each engine would have left without this model.
                let room = |e: usize, own: f64| (1.5 - (total[e] - own)).max(0.05);
                let rooms: Vec<f64> = holders
                    .iter()
                    .zip(shares.iter())
                    .map(|(&e, own)| room(e, *own).powi(2))
                    .collect();
                let sum: f64 = rooms.iter().sum();
                for (share, room) in shares.iter_mut().zip(rooms) {
                    *share = u * room / sum;
                }
            }
        }
        self.engine_use = total;
    }

    /// Use of the engine where a model's requests fare best.
    fn best_use(&self, model: &ModelId) -> f64 {
        let holders = self.holders.get(model).into_iter().flatten();
        let uses = holders.map(|&e| self.engine_use[e]);
        uses.fold(f64::MAX, f64::min)
    }

    /// Use that finds no room, by models that are asked for.
    fn unmet_use(&self, model: &ModelId, demand: &ModelDemand) -> f64 {
        if self.copies(model) == 0 {
            let is_wanted = self.now_ms.saturating_sub(demand.last_asked_ms) < WANTED_FOR_MS;
            return if is_wanted {
                demand.engine_use + MISSING_USE
            } else {
                0.0
            };
        }
        let best_use = self.best_use(model);
        if demand.engine_use <= LEAST_USE || best_use <= TARGET_USE {
            return 0.0;
        }
        demand.engine_use * (best_use - TARGET_USE) / best_use
    }

    /// Adds copies of models whose requests find no room, or fare badly
    /// wherever they go; those with most such requests first.
    fn add_copies(&mut self) {
        let mut tried: BTreeSet<&ModelId> = BTreeSet::new();
        while self.steps.len() < MAX_STEPS {
            let worst = self
                .demand
                .iter()
                .filter(|(m, _)| self.spec.models.contains_key(*m) && !tried.contains(m))
                .map(|(m, d)| (self.unmet_use(m, d), m))
                .filter(|(unmet, _)| *unmet > 0.0)
                .max_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(b.1)));
            let Some((_, model)) = worst else {
                return;
            };
            let is_missing = self.copies(model) == 0;
            if !self.add_copy(model, is_missing) {
                tried.insert(model);
            }
        }
    }

    /// Loads a model where that helps most; false if nowhere.
    fn add_copy(&mut self, model: &'a ModelId, is_missing: bool) -> bool {
        let best = (0..self.engines.len())
            .filter(|&e| self.is_free[e] && !self.engines[e].holds.contains_key(model))
            .filter(|&e| is_missing || !self.is_from_store(e, model) || self.store_loads > 0)
            .filter_map(|e| Some((e, self.victims(e, model, is_missing)?)))
            .map(|(e, victims)| (self.cost(e, model, &victims), e, victims))
            .min_by(|a, b| a.0.total_cmp(&b.0).then_with(|| a.1.cmp(&b.1)));
        let Some((cost, e, victims)) = best else {
            return false;
        };
        if !is_missing && cost + WORTHWHILE_USE > self.best_use(model) {
            return false;
        }
        let engine = &self.engines[e];
        let is_from_store = self.is_from_store(e, model);
        if victims.is_empty() && is_from_store {
            if self.store_loads == 0 {
                return false;
            }
            self.store_loads -= 1;
        }
        self.is_free[e] = false;
        let upstream = engine.id.clone();
        let step = match victims.first() {
            Some(&victim) => Step::Unload {
                upstream,
                model: victim.clone(),
            },
            None => Step::Load {
                upstream,
                model: model.clone(),
                is_from_store,
            },
        };
        for victim in victims {
            if let Some(holders) = self.holders.get_mut(victim) {
                holders.retain(|&h| h != e);
            }
        }
        self.holders.entry(model).or_default().push(e);
        self.steps.push(step);
        self.settle();
        true
    }

    fn source_of(&self, e: usize, model: &ModelId) -> WeightSource {
        let engine = &self.engines[e];
        WeightSource::of(model, &engine.in_memory, &engine.on_disk)
    }

    fn is_from_store(&self, e: usize, model: &ModelId) -> bool {
        self.source_of(e, model) == WeightSource::Store
    }

    /// Use that a new copy meets, with what its load costs.
    fn cost(&self, e: usize, model: &ModelId, victims: &[&ModelId]) -> f64 {
        let spec = self.spec.models.get(model);
        let load = spec.map(|s| s.load_time(self.source_of(e, model)));
        let load_s = load.unwrap_or_default().as_secs_f64();
        let busy = victims.iter().filter(|m| !self.is_idle(m)).count();
        self.engine_use[e] + load_s * USE_PER_LOAD_S + busy as f64 * USE_PER_BUSY_VICTIM
    }

    /// Models to unload so that another fits; `None` if too few may go.
    fn victims(&self, e: usize, wanted: &ModelId, is_missing: bool) -> Option<Vec<&'a ModelId>> {
        let engine = &self.engines[e];
        let size_mb = |m: &ModelId| self.spec.models.get(m).map_or(0, |s| s.weights_mb);
        let adapter_mb = |m: &ModelId| self.spec.models.get(m).map_or(0, |s| s.adapter_mb);
        let used_mb: u64 = engine
            .holds
            .iter()
            .map(|(m, adapters)| size_mb(m) + adapters.len() as u64 * adapter_mb(m))
            .sum();
        let mut free_mb = self.spec.weights_mb.saturating_sub(used_mb);
        let needed_mb = size_mb(wanted) + self.adapter_reserve_mb();
        let mut spare: Vec<&ModelId> = engine
            .holds
            .keys()
            .filter(|m| !engine.fresh.contains(*m) && self.can_spare(e, m, is_missing))
            .collect();
        spare.sort_by(|a, b| {
            let key = |m: &ModelId| (!self.is_idle(m), self.share(m));
            let (a, b) = (key(a), key(b));
            a.0.cmp(&b.0).then_with(|| a.1.total_cmp(&b.1))
        });
        let mut victims = Vec::new();
        for model in spare {
            if free_mb >= needed_mb {
                break;
            }
            free_mb += size_mb(model) + engine.holds[model].len() as u64 * adapter_mb(model);
            victims.push(model);
        }
        (free_mb >= needed_mb).then_some(victims)
    }

    /// Memory kept free for a full set of adapters, as far as three models of
    /// the largest size leave any.
    fn adapter_reserve_mb(&self) -> u64 {
        let largest = self.spec.models.values().map(|m| m.weights_mb).max();
        let adapter = self.spec.models.values().map(|m| m.adapter_mb).max();
        let left_mb = self.spec.weights_mb % largest.unwrap_or(1).max(1);
        let all_mb = adapter.unwrap_or(0) * u64::from(self.spec.adapter_slots);
        all_mb.min(left_mb)
    }

    /// True if the copy of a model at an engine may go for another's.
    fn can_spare(&self, e: usize, model: &ModelId, is_for_missing: bool) -> bool {
        if self.copies(model) < 2 {
            return false;
        }
        if self.is_idle(model) || is_for_missing {
            return true;
        }
        // The other copies must be able to take over what this one serves.
        let others = self.holders[model].iter().filter(|&&h| h != e);
        let room: f64 = others
            .map(|&h| (TARGET_USE - self.engine_use[h]).max(0.0))
            .sum();
        self.share(model) < room
    }

    /// Use by one copy of a model.
    fn share(&self, model: &ModelId) -> f64 {
        self.demand_of(model).engine_use / self.copies(model).max(1) as f64
    }
}
