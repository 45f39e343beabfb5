//! Weighs copies of models against each other.
//!
//! A copy is worth the use that it serves of what finds no room, within the time
//! for which demand lasts, less what the copies that go for it leave unserved.
//! The copy that gains most is planned first.

use std::cmp::Ordering;
use std::collections::{BTreeMap, HashMap};

use super::catalog::{EngineSpec, ModelSpec, WeightSource};
use super::copies::{ModelDemand, PlannedEngine, Step};
use super::ids::ModelId;

/// Share of an engine's time for reading prompts up to which nothing moves;
/// above it, streams pause and bursts find no room.
const TARGET_USE: f64 = 0.35;
/// Share of an engine's time for reading prompts that copies may be planned to
/// take; beyond it the streams that run miss their deadlines.
const FULL_USE: f64 = 0.65;
/// Time without a request after which a model's extra copies may go, in
/// milliseconds.
const IDLE_AFTER_MS: u64 = 3_000;
/// Time after a request for which a model without a copy is wanted, in
/// milliseconds; callers come back within it.
const WANTED_FOR_MS: u64 = 12_000;
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
/// Copies of one plan at most; the next plan follows within tenths of a second,
/// and each takes time at a small machine.
const MAX_COPIES: usize = 10;

/// Number of a model in the order of the specification.
type ModelNo = usize;
/// Number of an engine in the order given.
type EngineNo = usize;

/// Engine with its models numbered; names are compared once a plan only.
struct Site {
    /// Models held, loading or planned, with the memory that each takes.
    holds: Vec<(ModelNo, u64)>,
    loading: Option<ModelNo>,
    fresh: Vec<ModelNo>,
    in_memory: Vec<ModelNo>,
    on_disk: Vec<ModelNo>,
    free_mb: u64,
    /// False if the engine takes no step of this plan.
    is_open: bool,
}

impl Site {
    fn holds(&self, model: ModelNo) -> bool {
        self.holds.iter().any(|(m, _)| *m == model)
    }

    /// True if a model can serve here now.
    fn has_ready(&self, model: ModelNo) -> bool {
        self.holds(model) && self.loading != Some(model)
    }

    fn source_of(&self, model: ModelNo) -> WeightSource {
        WeightSource::of(
            self.in_memory.contains(&model),
            self.on_disk.contains(&model),
        )
    }
}

/// Plan in the making.
pub(super) struct Planner<'a> {
    now_ms: u64,
    spec: &'a EngineSpec,
    engines: &'a [PlannedEngine],
    models: Vec<(&'a ModelId, &'a ModelSpec)>,
    demand: Vec<ModelDemand>,
    sites: Vec<Site>,
    /// Engines that hold, load or are to load each model, with the use that
    /// settles there.
    holders: Vec<Vec<(EngineNo, f64)>>,
    /// Use of each engine once demand has settled.
    engine_use: Vec<f64>,
    /// Copies at each open engine that may go then, the least loss first.
    spare: Vec<Vec<Spare>>,
    /// Memory kept free for a full set of adapters.
    adapter_reserve_mb: u64,
    store_loads: u32,
    steps: Vec<Step>,
}

/// Way to add a copy of a model.
struct Candidate {
    model: ModelNo,
    engine: EngineNo,
    gain: f64,
}

/// Copy that may go for another.
#[derive(Clone, Copy)]
struct Spare {
    model: ModelNo,
    size_mb: u64,
    is_busy: bool,
    /// Use by it.
    share: f64,
    /// Use that is lost with it.
    loss: f64,
}

impl<'a> Planner<'a> {
    /// Planner over the present state, with demand settled on the copies.
    pub(super) fn new(
        now_ms: u64,
        spec: &'a EngineSpec,
        engines: &'a [PlannedEngine],
        demand: &BTreeMap<ModelId, ModelDemand>,
        store_loads: u32,
    ) -> Self {
        let models: Vec<(&ModelId, &ModelSpec)> = spec.models.iter().collect();
        let numbers: HashMap<&ModelId, ModelNo> = models
            .iter()
            .enumerate()
            .map(|(no, (m, _))| (*m, no))
            .collect();
        let sites: Vec<Site> = engines
            .iter()
            .map(|engine| site(engine, spec, &numbers))
            .collect();
        let mut holders = vec![Vec::new(); models.len()];
        for (e, site) in sites.iter().enumerate().filter(|(_, s)| s.is_open) {
            for (model, _) in &site.holds {
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
            sites,
            holders,
            engine_use: vec![0.0; engines.len()],
            spare: Vec::new(),
            adapter_reserve_mb: adapter_reserve_mb(spec),
            store_loads,
            steps: Vec::new(),
        };
        planner.settle();
        planner
    }

    /// Steps of the plan.
    pub(super) fn into_steps(mut self) -> Vec<Step> {
        self.add_copies();
        self.steps
    }

    fn is_idle(&self, model: ModelNo) -> bool {
        let asked_ms = self.demand[model].last_asked_ms;
        asked_ms == 0 || self.now_ms.saturating_sub(asked_ms) > IDLE_AFTER_MS
    }

    fn has_copy(&self, model: ModelNo) -> bool {
        !self.holders[model].is_empty()
    }

    /// Spreads each model's demand over its copies as routing does: where it
    /// meets less of the others'.
    fn settle(&mut self) {
        let total = &mut self.engine_use;
        for (holders, demand) in self.holders.iter_mut().zip(&self.demand) {
            let share = demand.engine_use / holders.len().max(1) as f64;
            for (_, copy_share) in holders {
                *copy_share = share;
            }
        }
        for _ in 0..SETTLE_ROUNDS {
            total.fill(0.0);
            for (e, share) in self.holders.iter().flatten() {
                total[*e] += share;
            }
            for (holders, demand) in self.holders.iter_mut().zip(&self.demand) {
                if demand.engine_use <= 0.0 || holders.len() < 2 {
                    continue;
                }
                // What each engine would have left without this model.
                let room = |(e, own): &(EngineNo, f64)| (1.5 - (total[*e] - own)).max(0.05).powi(2);
                let sum: f64 = holders.iter().map(room).sum();
                for holder in holders {
                    holder.1 = demand.engine_use * room(holder) / sum;
                }
            }
        }
        let spare = (0..self.sites.len()).map(|e| self.spare_at(e));
        self.spare = spare.collect();
    }

    /// Use that finds no room, by a model that is declared.
    fn unmet_use(&self, model: ModelNo) -> f64 {
        let demand = self.demand[model];
        if !self.has_copy(model) {
            let is_wanted = demand.last_asked_ms > 0
                && self.now_ms.saturating_sub(demand.last_asked_ms) < WANTED_FOR_MS;
            return if is_wanted {
                demand.engine_use + MISSING_USE
            } else {
                UNASKED_USE
            };
        }
        // Use of the engine where its requests fare best.
        let uses = self.holders[model].iter().map(|(e, _)| self.engine_use[*e]);
        let best_use = uses.fold(f64::MAX, f64::min);
        if best_use <= TARGET_USE {
            return 0.0;
        }
        demand.engine_use * (best_use - TARGET_USE) / best_use
    }

    /// Adds copies of models whose requests find no room, or fare badly
    /// wherever they go; those that gain most first. What a copy gains only
    /// falls as others are planned, so that only the best is looked at again.
    fn add_copies(&mut self) {
        let mut open: Vec<Candidate> = (0..self.models.len())
            .filter_map(|model| self.best_candidate(model))
            .collect();
        open.sort_by(Candidate::by_gain);
        let mut copies = 0;
        while copies < MAX_COPIES {
            let Some(best) = open.pop() else {
                return;
            };
            let Some(now) = self.best_candidate(best.model) else {
                continue;
            };
            let is_still_best = open.last().is_none_or(|next| now.gain >= next.gain);
            let model = now.model;
            if is_still_best {
                self.adopt(&now);
                copies += 1;
            }
            let next = if is_still_best {
                self.best_candidate(model)
            } else {
                Some(now)
            };
            if let Some(next) = next {
                let at = open.partition_point(|c| Candidate::by_gain(c, &next).is_lt());
                open.insert(at, next);
            }
        }
    }

    /// Where a further copy of a model gains most; `None` if nowhere enough.
    fn best_candidate(&self, model: ModelNo) -> Option<Candidate> {
        let unmet = self.unmet_use(model);
        if unmet <= LEAST_GAIN {
            return None;
        }
        let worth = |c: &Candidate| c.gain + self.zone_use(c.engine, model);
        (0..self.sites.len())
            .filter(|&e| self.sites[e].is_open && !self.sites[e].holds(model))
            .filter_map(|e| self.candidate(e, model, unmet))
            .filter(|c| c.gain > LEAST_GAIN)
            .max_by(|a, b| {
                let order = worth(a).total_cmp(&worth(b));
                order.then_with(|| b.engine.cmp(&a.engine))
            })
    }

    /// What a copy counts for more in a zone that has none.
    fn zone_use(&self, e: EngineNo, model: ModelNo) -> f64 {
        let zone = &self.engines[e].zone;
        let holders = self.holders[model].iter();
        let mut zones = holders.map(|(h, _)| &self.engines[*h].zone);
        if zones.any(|z| z == zone) {
            0.0
        } else {
            OTHER_ZONE_USE
        }
    }

    /// What a copy of a model at an engine gains, with those that go for it.
    fn candidate(&self, e: EngineNo, model: ModelNo, unmet: f64) -> Option<Candidate> {
        let is_missing = !self.has_copy(model);
        let victims = self.victims(e, model)?;
        let loss: f64 = victims.iter().map(|v| v.loss).sum();
        let freed: f64 = victims.iter().map(|v| v.share).sum();
        let room = FULL_USE - (self.engine_use[e] - freed);
        let delay_s = self.delay_s(e, model, victims);
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
            gain: gain - loss,
        })
    }

    /// Time until a copy that is begun now serves.
    fn delay_s(&self, e: EngineNo, model: ModelNo, victims: &[Spare]) -> f64 {
        let engine = &self.engines[e];
        let busy_s = match (engine.takes_orders, engine.busy_ms) {
            (true, _) => 0.0,
            (false, Some(ms)) => ms as f64 / 1000.0,
            (false, None) => UNKNOWN_ORDER_S,
        };
        let unload_s: f64 = victims
            .iter()
            .map(|v| {
                if v.share > BUSY_COPY_USE {
                    BUSY_UNLOAD_S
                } else {
                    IDLE_UNLOAD_S
                }
            })
            .sum();
        let source = self.sites[e].source_of(model);
        let load_s = self.models[model].1.load_time(source).as_secs_f64();
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
    fn adopt(&mut self, candidate: &Candidate) {
        let (e, model) = (candidate.engine, candidate.model);
        let engine = &self.engines[e];
        let victims: Vec<ModelNo> = self
            .victims(e, model)
            .map_or_else(Vec::new, |v| v.iter().map(|s| s.model).collect());
        let is_from_store = self.sites[e].source_of(model) == WeightSource::Store;
        let is_load = victims.is_empty();
        let is_rationed = is_from_store && self.store_loads == 0 && is_load;
        if engine.takes_orders && !is_rationed {
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
                self.store_loads -= 1;
            }
        }
        self.sites[e].is_open = false;
        for victim in victims {
            self.holders[victim].retain(|(h, _)| *h != e);
        }
        self.holders[model].push((e, 0.0));
        self.settle();
    }

    /// Use by the copy of a model at an engine.
    fn share(&self, e: EngineNo, model: ModelNo) -> f64 {
        let copy = self.holders[model].iter().find(|(h, _)| *h == e);
        copy.map_or(0.0, |(_, share)| *share)
    }

    /// Use that is lost if a copy goes: what the others cannot take over.
    fn loss(&self, e: EngineNo, model: ModelNo) -> f64 {
        let share = self.share(e, model);
        let room: f64 = self.holders[model]
            .iter()
            .filter(|(h, _)| *h != e && self.sites[*h].has_ready(model))
            .map(|(h, _)| (FULL_USE - self.engine_use[*h]).max(0.0))
            .sum();
        (share - room).max(0.0) + share.min(room) * MOVED_LOSS
    }

    /// Copies to unload so that a model fits, those with the least loss;
    /// `None` if too few may go.
    fn victims(&self, e: EngineNo, wanted: ModelNo) -> Option<&[Spare]> {
        let needed_mb = self.models[wanted].1.weights_mb + self.adapter_reserve_mb;
        let mut free_mb = self.sites[e].free_mb;
        for (count, spare) in self.spare[e].iter().enumerate() {
            if free_mb >= needed_mb {
                return Some(&self.spare[e][..count]);
            }
            free_mb += spare.size_mb;
        }
        (free_mb >= needed_mb).then_some(&self.spare[e])
    }

    /// Copies at an engine that may go, those with the least loss first.
    fn spare_at(&self, e: EngineNo) -> Vec<Spare> {
        let site = &self.sites[e];
        if !site.is_open {
            return Vec::new();
        }
        let mut spare: Vec<Spare> = site
            .holds
            .iter()
            .filter(|(m, _)| !site.fresh.contains(m) && self.can_spare(e, *m))
            .map(|&(model, size_mb)| Spare {
                model,
                size_mb,
                is_busy: !self.is_idle(model),
                share: self.share(e, model),
                loss: self.loss(e, model),
            })
            .collect();
        spare.sort_by(|a, b| {
            let order = a.is_busy.cmp(&b.is_busy);
            order.then_with(|| a.loss.total_cmp(&b.loss))
        });
        spare
    }

    /// True if another copy of a model serves, so that the one at an engine may
    /// go. One that is still being loaded may never come.
    fn can_spare(&self, e: EngineNo, model: ModelNo) -> bool {
        let mut others = self.holders[model].iter().filter(|(h, _)| *h != e);
        others.any(|(h, _)| self.sites[*h].has_ready(model))
    }
}

impl Candidate {
    /// Order by gain, the earlier model last among equals.
    fn by_gain(a: &Self, b: &Self) -> Ordering {
        let order = a.gain.total_cmp(&b.gain);
        order.then_with(|| b.model.cmp(&a.model))
    }
}

fn site(engine: &PlannedEngine, spec: &EngineSpec, numbers: &HashMap<&ModelId, ModelNo>) -> Site {
    let number = |model: &ModelId| numbers.get(model).copied();
    let mut free_mb = spec.weights_mb;
    let mut holds = Vec::with_capacity(engine.holds.len());
    for (model, adapters) in &engine.holds {
        let size = spec.models.get(model);
        let mb = size.map_or(0, |s| s.weights_mb + adapters.len() as u64 * s.adapter_mb);
        free_mb = free_mb.saturating_sub(mb);
        holds.extend(number(model).map(|no| (no, mb)));
    }
    Site {
        holds,
        loading: engine.loading.as_ref().and_then(number),
        fresh: engine.fresh.iter().filter_map(number).collect(),
        in_memory: engine.in_memory.iter().filter_map(number).collect(),
        on_disk: engine.on_disk.iter().filter_map(number).collect(),
        free_mb,
        is_open: engine.is_serving,
    }
}

/// Memory for a full set of adapters, as far as models of the largest size
/// leave any.
fn adapter_reserve_mb(spec: &EngineSpec) -> u64 {
    let largest = spec.models.values().map(|m| m.weights_mb).max();
    let adapter = spec.models.values().map(|m| m.adapter_mb).max();
    let left_mb = spec.weights_mb % largest.unwrap_or(1).max(1);
    let all_mb = adapter.unwrap_or(0) * u64::from(spec.adapter_slots);
    all_mb.min(left_mb)
}
