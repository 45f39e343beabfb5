//! Which models and adapters each engine should hold.
//!
//! Answers three load patterns. Demand moves on within seconds: a model that
//! was quiet gets a share of all traffic, so copies follow the offered load,
//! not what the present copies let through. Rare models are asked for at
//! once: a model without a copy goes before everything else. Engines are
//! lost: their models are loaded elsewhere, by demand. The last copy of a
//! model is never given up.

use std::collections::{BTreeMap, BTreeSet};

use super::catalog::EngineSpec;
use super::ids::{ModelId, UpstreamId};
use super::registry::Holdings;

/// Share of an engine's batch that planned load may fill; above it, answers
/// slow down and bursts find no room.
pub const TARGET_FILL: f64 = 0.5;
/// Time without a request after which a model's extra copies may go, in
/// milliseconds.
pub const IDLE_AFTER_MS: u64 = 3_000;
/// Time after a request for which a model without a copy is wanted, in
/// milliseconds; callers come back within it.
pub const WANTED_FOR_MS: u64 = 12_000;

/// Offered load of one model over the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelDemand {
    /// Requests that run, wait or were refused a moment ago: the batch places
    /// that would serve all of them.
    pub offered: f64,
    /// Time of the newest request.
    pub last_asked_ms: u64,
}

/// Engine as the planner sees it.
#[derive(Clone, Debug)]
pub struct PlannedEngine {
    /// Name.
    pub id: UpstreamId,
    /// Requests that run together.
    pub batch: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// True if it takes orders now: in service, healthy, no order under way.
    pub takes_orders: bool,
    /// True if its copies count: in service and not failing.
    pub is_serving: bool,
    /// Models and adapters held, and those being loaded.
    pub holds: Holdings,
    /// Model that is being loaded.
    pub loading: Option<ModelId>,
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
    planner.add_missing();
    planner.add_for_load();
    planner.steps
}

struct Planner<'a> {
    now_ms: u64,
    spec: &'a EngineSpec,
    engines: &'a [PlannedEngine],
    demand: &'a BTreeMap<ModelId, ModelDemand>,
    /// Engines that hold or load each model.
    holders: BTreeMap<&'a ModelId, Vec<usize>>,
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
        Self {
            now_ms,
            spec,
            engines,
            demand,
            holders,
            is_free: engines.iter().map(|e| e.takes_orders).collect(),
            store_loads,
            steps: Vec::new(),
        }
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

    /// Copies that carry a model's offered load with room to spare.
    fn wanted_copies(&self, model: &ModelId) -> usize {
        let offered = self.demand_of(model).offered;
        let per_copy = f64::from(self.spec.batch) * TARGET_FILL;
        ((offered / per_copy).ceil() as usize).max(1)
    }

    /// Loads models that are asked for and have no copy.
    fn add_missing(&mut self) {
        let mut missing: Vec<&ModelId> = self
            .demand
            .iter()
            .filter(|(m, d)| {
                self.spec.models.contains_key(*m)
                    && self.copies(m) == 0
                    && self.now_ms.saturating_sub(d.last_asked_ms) < WANTED_FOR_MS
            })
            .map(|(m, _)| m)
            .collect();
        missing.sort_by(|a, b| {
            let offered = |m: &ModelId| self.demand_of(m).offered;
            offered(b).total_cmp(&offered(a)).then_with(|| a.cmp(b))
        });
        for model in missing {
            self.add_copy(model, true);
        }
    }

    /// Adds copies of models whose offered load exceeds what theirs carry,
    /// the most overloaded first.
    fn add_for_load(&mut self) {
        let mut short: Vec<(f64, &ModelId)> = self
            .demand
            .keys()
            .filter(|m| self.spec.models.contains_key(*m) && self.copies(m) > 0)
            .filter(|m| self.copies(m) < self.wanted_copies(m))
            .map(|m| (self.demand_of(m).offered / self.copies(m) as f64, m))
            .collect();
        short.sort_by(|a, b| b.0.total_cmp(&a.0).then_with(|| a.1.cmp(b.1)));
        for (_, model) in short {
            let lacking = self.wanted_copies(model) - self.copies(model);
            for _ in 0..lacking {
                if !self.add_copy(model, false) {
                    break;
                }
            }
        }
    }

    /// Loads a model where that is fastest and costs least; false if nowhere.
    fn add_copy(&mut self, model: &'a ModelId, is_missing: bool) -> bool {
        let best = (0..self.engines.len())
            .filter(|&e| self.is_free[e] && !self.engines[e].holds.contains_key(model))
            .filter_map(|e| Some((e, self.victims(e, model, is_missing)?)))
            .min_by_key(|(e, victims)| self.cost_ms(*e, model, victims));
        let Some((e, victims)) = best else {
            return false;
        };
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
        true
    }

    fn is_from_store(&self, e: usize, model: &ModelId) -> bool {
        let engine = &self.engines[e];
        !engine.in_memory.contains(model) && !engine.on_disk.contains(model)
    }

    /// Time until the copy serves, with the load that it competes with.
    fn cost_ms(&self, e: usize, model: &ModelId, victims: &[&ModelId]) -> u64 {
        let engine = &self.engines[e];
        let load = self.spec.models.get(model).map_or(0, |spec| {
            let time = if engine.in_memory.contains(model) {
                spec.memory_load
            } else if engine.on_disk.contains(model) {
                spec.disk_load
            } else {
                spec.store_load
            };
            time.as_millis() as u64
        });
        let fill_ms = 4_000 * u64::from(engine.in_flight) / u64::from(engine.batch.max(1));
        let unload_ms = 300 * victims.len() as u64;
        load + fill_ms + unload_ms
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
            .filter(|m| self.can_spare(m, is_missing))
            .collect();
        spare.sort_by_key(|m| (!self.is_idle(m), self.demand_of(m).offered as u64));
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

    /// True if one copy of a model may go for another.
    fn can_spare(&self, model: &ModelId, is_for_missing: bool) -> bool {
        let copies = self.copies(model);
        if copies < 2 {
            return false;
        }
        if self.is_idle(model) {
            return true;
        }
        let keeps = copies - 1;
        is_for_missing || keeps >= self.wanted_copies(model)
    }
}
