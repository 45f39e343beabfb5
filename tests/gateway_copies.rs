//! Replays of demand against the placement of model copies.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use currantcove::core::catalog::{EngineSpec, ModelSpec};
use currantcove::core::copies::{ModelDemand, PlannedEngine, Step, plan};
use currantcove::core::ids::{ModelId, UpstreamId, ZoneId};
use currantcove::core::registry::Holdings;

/// Interval between plans, in milliseconds.
const TICK_MS: u64 = 200;
const STORE_LOAD_MS: u64 = 9_000;
const DISK_LOAD_MS: u64 = 2_000;

fn model(at: usize) -> ModelId {
    ModelId::new(&format!("m{at}"))
}

fn spec(models: usize) -> EngineSpec {
    let size = ModelSpec {
        weights_mb: 70,
        adapters: 0,
        adapter_mb: 1,
        store_load: Duration::from_millis(STORE_LOAD_MS),
        disk_load: Duration::from_millis(DISK_LOAD_MS),
        memory_load: Duration::from_millis(800),
    };
    EngineSpec {
        batch: 48,
        cache_tokens: 100_000,
        weights_mb: 220,
        adapter_slots: 8,
        store_loads_per_s: 2.0,
        models: (0..models).map(|m| (model(m), size.clone())).collect(),
    }
}

fn engine(at: usize, resident: &[usize]) -> PlannedEngine {
    PlannedEngine {
        id: UpstreamId::new(&format!("e{at}")),
        accepts_orders: true,
        zone: ZoneId::new(["a", "b", "c"][at % 3]),
        remaining_order_ms: None,
        is_serving: true,
        loading: None,
        resident: resident
            .iter()
            .map(|&m| (model(m), BTreeSet::new()))
            .collect(),
        protected: BTreeSet::new(),
        in_memory: BTreeSet::new(),
        on_disk: BTreeSet::new(),
    }
}

fn demand(now_ms: u64, model_loads: &[(usize, f64)]) -> BTreeMap<ModelId, ModelDemand> {
    let entry = |&(m, utilisation): &(usize, f64)| {
        let demand = ModelDemand {
            utilisation,
            last_requested_ms: now_ms,
        };
        (model(m), demand)
    };
    model_loads.iter().map(entry).collect()
}

/// Fleet in virtual time: loads and unloads take time, and each engine serves
/// at most all of its time.
struct Fleet {
    spec: EngineSpec,
    engines: Vec<PlannedEngine>,
    in_progress: BTreeMap<UpstreamId, (u64, Step)>,
    now_ms: u64,
}

impl Fleet {
    fn new(models: usize, engines: Vec<PlannedEngine>) -> Self {
        Self {
            spec: spec(models),
            engines,
            in_progress: BTreeMap::new(),
            now_ms: 100_000,
        }
    }

    /// Share of the demand that is served over some time.
    fn replay(&mut self, duration_ms: u64, model_loads: &[(usize, f64)], is_planned: bool) -> f64 {
        let (mut served, mut offered) = (0.0, 0.0);
        for _ in 0..duration_ms / TICK_MS {
            self.now_ms += TICK_MS;
            self.finish();
            if is_planned {
                self.plan(model_loads);
            }
            served += self.served(model_loads);
            offered += model_loads.iter().map(|(_, u)| u).sum::<f64>();
        }
        served / offered
    }

    fn finish(&mut self) {
        let now_ms = self.now_ms;
        let done: Vec<UpstreamId> = self
            .in_progress
            .iter()
            .filter(|(_, (at_ms, _))| now_ms >= *at_ms)
            .map(|(id, _)| id.clone())
            .collect();
        for id in done {
            let step = self.in_progress.remove(&id).map(|(_, step)| step);
            let engine = self
                .engines
                .iter_mut()
                .find(|e| e.id == id)
                .expect("engine");
            engine.accepts_orders = true;
            engine.loading = None;
            if let Some(Step::Load { model, .. }) = step {
                engine.on_disk.insert(model);
            }
        }
    }

    fn plan(&mut self, model_loads: &[(usize, f64)]) {
        let demand = demand(self.now_ms, model_loads);
        for step in plan(self.now_ms, &self.spec, &self.engines, &demand, 3) {
            let (Step::Load { upstream, .. } | Step::Unload { upstream, .. }) = &step;
            let engine = self.engines.iter_mut().find(|e| e.id == *upstream);
            let engine = engine.expect("planned engine");
            engine.accepts_orders = false;
            let order_ms = match &step {
                Step::Load { model, .. } => {
                    engine.resident.insert(model.clone(), BTreeSet::new());
                    engine.protected.insert(model.clone());
                    engine.loading = Some(model.clone());
                    if engine.on_disk.contains(model) {
                        DISK_LOAD_MS
                    } else {
                        STORE_LOAD_MS
                    }
                }
                Step::Unload { model, .. } => {
                    engine.resident.remove(model);
                    TICK_MS
                }
            };
            assert!(engine.resident.len() <= 3, "memory exceeded: {step:?}");
            self.in_progress
                .insert(upstream.clone(), (self.now_ms + order_ms, step));
        }
    }

    fn served(&self, model_loads: &[(usize, f64)]) -> f64 {
        let mut left: Vec<f64> = vec![1.0; self.engines.len()];
        let mut served = 0.0;
        for (m, utilisation) in model_loads {
            let mut remaining = *utilisation;
            for (e, engine) in self.engines.iter().enumerate() {
                if remaining > 0.0 && self.is_ready(engine, &model(*m)) {
                    let taken = remaining.min(left[e]);
                    left[e] -= taken;
                    remaining -= taken;
                    served += taken;
                }
            }
        }
        served
    }

    fn is_ready(&self, engine: &PlannedEngine, model: &ModelId) -> bool {
        let loading = self.in_progress.get(&engine.id);
        let is_loading = matches!(loading, Some((_, Step::Load { model: m, .. })) if m == model);
        engine.resident.contains_key(model) && !is_loading
    }
}

/// Nine engines with 18 models; three popular models have three copies each.
fn nine_engines() -> Vec<PlannedEngine> {
    let rare = |e: usize| [3 + e, 3 + (e + 9) % 15];
    (0..9)
        .map(|e| {
            let [a, b] = rare(e);
            engine(e, &[e % 3, a, b])
        })
        .collect()
}

#[test]
fn plan_follows_demand_that_shifts_to_idle_models() {
    let moved = [(3, 2.4), (4, 2.4), (5, 2.4)];

    let before = Fleet::new(18, nine_engines()).replay(40_000, &moved, false);
    let after = Fleet::new(18, nine_engines()).replay(40_000, &moved, true);

    assert!(before < 0.95, "served without a plan: {before}");
    assert!(
        after > before + 0.03,
        "{before} without, {after} with a plan"
    );
}

#[test]
fn overloaded_single_copy_is_replicated() {
    let engines = vec![
        engine(0, &[0]),
        engine(1, &[1]),
        engine(2, &[2]),
        engine(3, &[3]),
    ];
    let hot = [(0, 3.0)];

    let before = Fleet::new(4, engines.clone()).replay(30_000, &hot, false);
    let after = Fleet::new(4, engines).replay(30_000, &hot, true);

    assert!(before < 0.34, "{before}");
    assert!(after > 0.7, "{after}");
}

#[test]
fn models_of_lost_engines_are_reloaded_busiest_first() {
    let mut engines = vec![engine(0, &[0, 1, 2]), engine(1, &[])];
    engines[0].is_serving = false;
    engines[0].accepts_orders = false;

    let steps = plan(
        1_000,
        &spec(3),
        &engines,
        &demand(1_000, &[(0, 0.1), (1, 0.9), (2, 0.2)]),
        3,
    );

    assert_eq!(
        steps,
        [Step::Load {
            upstream: UpstreamId::new("e1"),
            model: model(1),
            is_from_store: true
        }]
    );
}

#[test]
fn missing_model_is_loaded_where_its_weights_are_on_disk() {
    let mut engines = vec![engine(0, &[0]), engine(1, &[0])];
    engines[1].on_disk.insert(model(1));

    let steps = plan(1_000, &spec(2), &engines, &demand(1_000, &[(1, 0.01)]), 0);

    assert_eq!(
        steps,
        [Step::Load {
            upstream: UpstreamId::new("e1"),
            model: model(1),
            is_from_store: false
        }]
    );
}

#[test]
fn last_copy_of_a_model_is_never_evicted() {
    let engines = vec![engine(0, &[0, 1, 2]), engine(1, &[3, 4, 5])];

    let steps = plan(
        1_000,
        &spec(7),
        &engines,
        &demand(1_000, &[(0, 5.0), (6, 1.0)]),
        3,
    );

    assert!(steps.is_empty(), "{steps:?}");
}

#[test]
fn recently_loaded_copy_is_not_evicted() {
    let mut engines = vec![engine(0, &[0, 1, 2]), engine(1, &[0, 1, 2])];
    let models: Holdings = engines[0].resident.clone();
    for engine in &mut engines {
        engine.protected = models.keys().cloned().collect();
    }

    let steps = plan(1_000, &spec(4), &engines, &demand(1_000, &[(3, 0.5)]), 3);

    assert!(steps.is_empty(), "{steps:?}");
}

#[test]
fn store_loads_stay_within_the_budget() {
    let engines = vec![engine(0, &[]), engine(1, &[]), engine(2, &[])];

    let steps = plan(
        1_000,
        &spec(3),
        &engines,
        &demand(1_000, &[(0, 0.5), (1, 0.5), (2, 0.5)]),
        2,
    );

    assert_eq!(steps.len(), 2);
}

#[test]
fn no_steps_are_planned_while_engines_have_headroom() {
    let model_loads: Vec<(usize, f64)> = (0..18).map(|m| (m, 0.1)).collect();
    let demand = demand(1_000, &model_loads);

    let steps = plan(1_000, &spec(18), &nine_engines(), &demand, 3);

    assert!(steps.is_empty(), "{steps:?}");
}

/// Guards against rare models displacing a busy one. Engines with the only
/// copies of rare models were lost, the rare models evicted the copies of the
/// busiest model one after another, and most of all requests found no capacity
/// for ten seconds.
#[test]
fn missing_rare_models_do_not_displace_a_busy_one() {
    let mut engines = vec![
        engine(0, &[0, 1, 2]),
        engine(1, &[0, 3, 4]),
        engine(2, &[0, 5, 6]),
    ];
    engines.push(engine(3, &[7, 8, 9]));
    engines[3].is_serving = false;
    engines[3].accepts_orders = false;
    let busy = [(0, 1.6), (7, 0.02), (8, 0.02), (9, 0.02)];

    let steps = plan(1_000, &spec(10), &engines, &demand(1_000, &busy), 3);

    assert!(steps.is_empty(), "{steps:?}");
}

/// Guards against eviction of the only ready copy: a model's second copy was
/// still being loaded when the first was evicted for another model, and no
/// engine served it for nine seconds.
#[test]
fn loading_copy_does_not_make_the_only_ready_one_evictable() {
    let mut engines = vec![engine(0, &[0, 1, 2]), engine(1, &[0, 3, 4])];
    engines[1].loading = Some(model(0));
    engines[1].accepts_orders = false;

    let steps = plan(1_000, &spec(6), &engines, &demand(1_000, &[(5, 0.5)]), 3);

    assert!(steps.is_empty(), "{steps:?}");
}

/// Guards against an unneeded eviction: of two missing models, one fits on an
/// engine that becomes free shortly, but a busy model was evicted for the
/// other.
#[test]
fn engine_that_is_free_soon_is_reserved() {
    let mut engines = vec![engine(0, &[0, 1, 2]), engine(1, &[0])];
    engines[1].accepts_orders = false;
    engines[1].remaining_order_ms = Some(500);
    let demand = demand(1_000, &[(0, 1.0), (3, 0.1)]);

    let steps = plan(1_000, &spec(4), &engines, &demand, 3);

    assert!(steps.is_empty(), "{steps:?}");
}

#[test]
fn second_copy_prefers_another_zone() {
    let engines = vec![
        engine(0, &[0]),
        engine(3, &[1]),
        engine(1, &[2]),
        engine(6, &[3]),
    ];

    let steps = plan(1_000, &spec(4), &engines, &demand(1_000, &[(0, 1.0)]), 3);

    let first = Step::Load {
        upstream: UpstreamId::new("e1"),
        model: model(0),
        is_from_store: true,
    };
    assert_eq!(
        steps.first(),
        Some(&first),
        "the only engine outside zone a"
    );
}

/// Guards against an overloaded model that claimed every engine and every load
/// of the weight store for further copies, while another model had no copy for
/// twenty seconds.
#[test]
fn copy_with_the_highest_gain_is_planned_first() {
    let mut engines = vec![engine(0, &[0]), engine(1, &[])];
    engines[1].on_disk.insert(model(5));
    let demand = demand(1_000, &[(0, 3.0), (5, 0.1)]);

    let steps = plan(1_000, &spec(6), &engines, &demand, 1);

    let first = Step::Load {
        upstream: UpstreamId::new("e1"),
        model: model(5),
        is_from_store: false,
    };
    assert_eq!(
        steps.first(),
        Some(&first),
        "a load of two seconds is preferred to one of nine"
    );
}
