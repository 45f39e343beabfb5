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
use super::ids::{ModelId, UpstreamId, ZoneId};
use super::registry::Holdings;

/// Share of an engine's time for reading prompts up to which nothing moves;
/// above it, streams pause and bursts find no room.
pub const TARGET_USE: f64 = 0.35;
/// Share of an engine's time for reading prompts that copies may be planned to
/// take; beyond it the streams that run miss their deadlines.
const FULL_USE: f64 = 0.65;
/// Time without a request after which a model's extra copies may go, in
/// milliseconds.
pub const IDLE_AFTER_MS: u64 = 3_000;
/// Time after a request for which a model without a copy is wanted, in
/// milliseconds; callers come back within it.
pub const WANTED_FOR_MS: u64 = 12_000;
/// Time for which demand is taken to last, in seconds; a copy is worth what it
/// serves of it after its load.
const HORIZON_S: f64 = 14.0;
/// Delay that halves what the first copy of a model is worth, in seconds.
const HALVED_AFTER_S: f64 = 5.0;
/// Use that a model without a copy counts for beside its own while it is asked
/// for; its requests can go nowhere.
const MISSING_USE: f64 = 0.3;
/// Use that a model without a copy counts for that nobody has asked for lately;
/// all models are to be reachable.
const UNASKED_USE: f64 = 0.07;
/// Use that a step must gain; orders and the memory they move are not free.
const LEAST_GAIN: f64 = 0.06;
/// Use by which a copy in a zone without one counts for more; a zone that is
/// cut off must not take all copies of a model along.
const OTHER_ZONE_USE: f64 = 0.03;
/// Part of a copy's use that is lost with it though other copies have room; they
/// become slower.
const MOVED_LOSS: f64 = 0.4;
/// Time until the streams of a busy copy that is unloaded have ended, in seconds.
const BUSY_UNLOAD_S: f64 = 2.0;
/// Time of the unload of an idle copy, in seconds.
const IDLE_UNLOAD_S: f64 = 0.3;
/// Use by a copy above which its unload waits for streams.
const BUSY_COPY_USE: f64 = 0.02;
/// Time that an order under way takes if nothing is known of it, in seconds.
const UNKNOWN_ORDER_S: f64 = 3.0;
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
    /// Availability zone.
    pub zone: ZoneId,
    /// Time until an order under way is likely done, in milliseconds.
    pub busy_ms: Option<u64>,
    /// True if its copies count: in service and not failing.
    pub is_serving: bool,
    /// Models and adapters held, and those being loaded.
    pub holds: Holdings,
    /// Model among them that is still being loaded.
    pub loading: Option<ModelId>,
    /// Models whose copies here are too new to go.
    pub fresh: BTreeSet<ModelId>,
    /// Models in host memory.
    pub in_memory: BTreeSet<ModelId>,
    /// Models on disk.
    pub on_disk: BTreeSet<ModelId>,
}

impl PlannedEngine {
    /// True if a model can serve here now.
    fn has_ready(&self, model: &ModelId) -> bool {
        self.holds.contains_key(model) && self.loading.as_ref() != Some(model)
    }
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
    /// Engines that hold, load or are to load each model, with the use that
    /// settles there.
    holders: BTreeMap<&'a ModelId, Vec<(usize, f64)>>,
    /// Use of each engine once demand has settled.
    engine_use: Vec<f64>,
    is_free: Vec<bool>,
    store_loads: u32,
    steps: Vec<Step>,
}

/// Way to add a copy of a model.
struct Candidate<'a> {
    model: &'a ModelId,
    engine: usize,
    victims: Vec<&'a ModelId>,
    gain: f64,
}

impl<'a> Planner<'a> {
    fn new(
        now_ms: u64,
        spec: &'a EngineSpec,
        engines: &'a [PlannedEngine],
        demand: &'a BTreeMap<ModelId, ModelDemand>,
        store_loads: u32,
    ) -> Self {
        let mut holders: BTreeMap<&ModelId, Vec<(usize, f64)>> = BTreeMap::new();
        for (e, engine) in engines.iter().enumerate() {
            if engine.is_serving {
                for model in engine.holds.keys() {
                    holders.entry(model).or_default().push((e, 0.0));
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
            is_free: engines.iter().map(|e| e.is_serving).collect(),
            store_loads,
            steps: Vec::new(),
        };
        planner.settle();
        planner
    }

    fn demand_of(&self, model: &ModelId) -> ModelDemand {
        self.demand.get(model).copied().unwrap_or_default()
    }

    fn is_idle(&self, model: &ModelId) -> bool {
        let asked_ms = self.demand_of(model).last_asked_ms;
        asked_ms == 0 || self.now_ms.saturating_sub(asked_ms) > IDLE_AFTER_MS
    }

    fn has_copy(&self, model: &ModelId) -> bool {
        self.holders.get(model).is_some_and(|h| !h.is_empty())
    }

    /// Spreads each model's demand over its copies as routing does: where it
    /// meets less of the others'.
    fn settle(&mut self) {
        let mut total = vec![0.0; self.engines.len()];
        for (model, holders) in &mut self.holders {
            let engine_use = self.demand.get(*model).map_or(0.0, |d| d.engine_use);
            let share = engine_use / holders.len().max(1) as f64;
            for (_, copy_share) in holders {
                *copy_share = share;
            }
        }
        for _ in 0..SETTLE_ROUNDS {
            total.fill(0.0);
            for (e, share) in self.holders.values().flatten() {
                total[*e] += share;
            }
            for (model, holders) in &mut self.holders {
                let engine_use = self.demand.get(*model).map_or(0.0, |d| d.engine_use);
                if engine_use <= 0.0 || holders.len() < 2 {
                    continue;
                }
                // What each engine would have left without this model.
                let room = |(e, own): &(usize, f64)| (1.5 - (total[*e] - own)).max(0.05).powi(2);
                let sum: f64 = holders.iter().map(room).sum();
                for holder in holders {
                    holder.1 = engine_use * room(holder) / sum;
                }
            }
        }
        self.engine_use = total;
    }

    /// Use that finds no room, by a model that is declared.
    fn unmet_use(&self, model: &ModelId) -> f64 {
        let demand = self.demand_of(model);
        if !self.has_copy(model) {
            let is_wanted = demand.last_asked_ms > 0
                && self.now_ms.saturating_sub(demand.last_asked_ms) < WANTED_FOR_MS;
            return if is_wanted {
                demand.engine_use + MISSING_USE
            } else {
                UNASKED_USE
            };
        }
        let best_use = self.best_use(model);
        if best_use <= TARGET_USE {
            return 0.0;
        }
        demand.engine_use * (best_use - TARGET_USE) / best_use
    }

    /// Use of the engine where a model's requests fare best.
    fn best_use(&self, model: &ModelId) -> f64 {
        let holders = self.holders.get(model).into_iter().flatten();
        let uses = holders.map(|(e, _)| self.engine_use[*e]);
        uses.fold(f64::MAX, f64::min)
    }

    /// Adds copies of models whose requests find no room, or fare badly
    /// wherever they go; those that gain most first. What a copy gains only
    /// falls as others are planned, so that only the best is looked at again.
    fn add_copies(&mut self) {
        let mut open: Vec<Candidate<'a>> = self
            .spec
            .models
            .keys()
            .filter_map(|model| self.best_candidate(model))
            .collect();
        while self.steps.len() < MAX_STEPS && !open.is_empty() {
            open.sort_by(|a, b| {
                let order = a.gain.total_cmp(&b.gain);
                order.then_with(|| b.model.cmp(a.model))
            });
            let Some(best) = open.pop() else {
                return;
            };
            let Some(now) = self.best_candidate(best.model) else {
                continue;
            };
            let is_still_best = open.last().is_none_or(|next| now.gain >= next.gain);
            if !is_still_best {
                open.push(now);
                continue;
            }
            self.adopt(&now);
            open.extend(self.best_candidate(now.model));
        }
    }

    /// Where a further copy of a model gains most; `None` if nowhere enough.
    fn best_candidate(&self, model: &'a ModelId) -> Option<Candidate<'a>> {
        let unmet = self.unmet_use(model);
        if unmet <= LEAST_GAIN {
            return None;
        }
        (0..self.engines.len())
            .filter(|&e| self.is_free[e] && !self.engines[e].holds.contains_key(model))
            .filter_map(|e| self.candidate(e, model, unmet))
            .filter(|c| c.gain > LEAST_GAIN)
            .max_by(|a, b| {
                let worth = |c: &Candidate<'_>| c.gain + self.zone_use(c.engine, model);
                let order = worth(a).total_cmp(&worth(b));
                order.then_with(|| b.engine.cmp(&a.engine))
            })
    }

    /// What a copy counts for more in a zone that has none.
    fn zone_use(&self, e: usize, model: &ModelId) -> f64 {
        let zone = &self.engines[e].zone;
        let holders = self.holders.get(model).into_iter().flatten();
        let mut zones = holders.map(|(h, _)| &self.engines[*h].zone);
        if zones.any(|z| z == zone) {
            0.0
        } else {
            OTHER_ZONE_USE
        }
    }

    /// What a copy of a model at an engine gains, with those that go for it.
    fn candidate(&self, e: usize, model: &'a ModelId, unmet: f64) -> Option<Candidate<'a>> {
        let victims = self.victims(e, model)?;
        let loss: f64 = victims.iter().map(|v| self.loss(e, v)).sum();
        let freed: f64 = victims.iter().map(|v| self.share(e, v)).sum();
        let room = FULL_USE - (self.engine_use[e] - freed);
        let is_missing = !self.has_copy(model);
        let delay_s = self.delay_s(e, model, &victims);
        let gain = if !is_missing {
            unmet.min(room) * (1.0 - delay_s / HORIZON_S).max(0.0)
        } else if unmet > UNASKED_USE {
            // Even where there is no room it serves some. It is asked for
            // until it comes, however long that takes.
            unmet.min(room.max(MISSING_USE)) * HALVED_AFTER_S / (HALVED_AFTER_S + delay_s)
        } else if victims.is_empty() {
            unmet
        } else {
            0.0
        };
        Some(Candidate {
            model,
            engine: e,
            victims,
            gain: gain - loss,
        })
    }

    /// Time until a copy that is begun now serves.
    fn delay_s(&self, e: usize, model: &ModelId, victims: &[&ModelId]) -> f64 {
        let engine = &self.engines[e];
        let busy_s = match (engine.takes_orders, engine.busy_ms) {
            (true, _) => 0.0,
            (false, Some(ms)) => ms as f64 / 1000.0,
            (false, None) => UNKNOWN_ORDER_S,
        };
        let unload_s: f64 = victims
            .iter()
            .map(|v| match self.share(e, v) {
                share if share > BUSY_COPY_USE => BUSY_UNLOAD_S,
                _ => IDLE_UNLOAD_S,
            })
            .sum();
        let source = self.source_of(e, model);
        let spec = self.spec.models.get(model);
        let load_s = spec.map_or(0.0, |s| s.load_time(source).as_secs_f64());
        let is_rationed = source == WeightSource::Store && self.store_loads == 0;
        let turn_s = if is_rationed {
            1.0 / self.spec.store_loads_per_s.max(0.1)
        } else {
            0.0
        };
        busy_s + unload_s + load_s + turn_s
    }

    /// Takes a copy into the plan. An engine that cannot begin with it yet is
    /// kept for it, so that no other has to give up a copy meanwhile.
    fn adopt(&mut self, candidate: &Candidate<'a>) {
        let (e, model) = (candidate.engine, candidate.model);
        let engine = &self.engines[e];
        let is_from_store = self.source_of(e, model) == WeightSource::Store;
        let upstream = engine.id.clone();
        let is_rationed = is_from_store && self.store_loads == 0 && candidate.victims.is_empty();
        if engine.takes_orders && !is_rationed {
            self.steps.push(match candidate.victims.first() {
                Some(&victim) => Step::Unload {
                    upstream,
                    model: victim.clone(),
                },
                None => Step::Load {
                    upstream,
                    model: model.clone(),
                    is_from_store,
                },
            });
            if is_from_store && candidate.victims.is_empty() {
                self.store_loads -= 1;
            }
        }
        self.is_free[e] = false;
        for victim in &candidate.victims {
            if let Some(holders) = self.holders.get_mut(victim) {
                holders.retain(|(h, _)| *h != e);
            }
        }
        self.holders.entry(model).or_default().push((e, 0.0));
        self.settle();
    }

    fn source_of(&self, e: usize, model: &ModelId) -> WeightSource {
        let engine = &self.engines[e];
        WeightSource::of(model, &engine.in_memory, &engine.on_disk)
    }

    /// Use by the copy of a model at an engine.
    fn share(&self, e: usize, model: &ModelId) -> f64 {
        let holders = self.holders.get(model).into_iter().flatten();
        let copy = holders.into_iter().find(|(h, _)| *h == e);
        copy.map_or(0.0, |(_, share)| *share)
    }

    /// Use that is lost if a copy goes: what the others cannot take over.
    fn loss(&self, e: usize, model: &ModelId) -> f64 {
        let share = self.share(e, model);
        let others = self.holders.get(model).into_iter().flatten();
        let room: f64 = others
            .filter(|(h, _)| *h != e && self.engines[*h].has_ready(model))
            .map(|(h, _)| (FULL_USE - self.engine_use[*h]).max(0.0))
            .sum();
        (share - room).max(0.0) + share.min(room) * MOVED_LOSS
    }

    /// Models to unload so that another fits, those with the least loss;
    /// `None` if too few may go.
    fn victims(&self, e: usize, wanted: &ModelId) -> Option<Vec<&'a ModelId>> {
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
        if free_mb >= needed_mb {
            return Some(Vec::new());
        }
        let mut spare: Vec<(bool, f64, &ModelId)> = engine
            .holds
            .keys()
            .filter(|m| !engine.fresh.contains(*m) && self.can_spare(e, m))
            .map(|m| (!self.is_idle(m), self.loss(e, m), m))
            .collect();
        spare.sort_by(|a, b| a.0.cmp(&b.0).then_with(|| a.1.total_cmp(&b.1)));
        let mut victims = Vec::new();
        for (_, _, model) in spare {
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

    /// True if another copy of a model serves, so that the one at an engine may
    /// go. One that is still being loaded may never come.
    fn can_spare(&self, e: usize, model: &ModelId) -> bool {
        let holders = self.holders.get(model).into_iter().flatten();
        let mut others = holders.filter(|(h, _)| *h != e);
        others.any(|(h, _)| self.engines[*h].has_ready(model))
    }
}
