//! Replays of demand against the plan of copies.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use currantcove::core::catalog::{EngineSpec, ModelSpec};
use currantcove::core::copies::{ModelDemand, PlannedEngine, Step, plan};
use currantcove::core::ids::{ModelId, UpstreamId, ZoneId};
use currantcove::core::registry::Holdings;

/// Time between two plans, in milliseconds.
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

fn engine(at: usize, holds: &[usize]) -> PlannedEngine {
    PlannedEngine {
        id: UpstreamId::new(&format!("e{at}")),
        takes_orders: true,
        zone: ZoneId::new(["a", "b", "c"][at % 3]),
        busy_ms: None,
        is_serving: true,
        loading: None,
        holds: holds.iter().map(|&m| (model(m), BTreeSet::new())).collect(),
        fresh: BTreeSet::new(),
        in_memory: BTreeSet::new(),
        on_disk: BTreeSet::new(),
    }
}

fn demand(now_ms: u64, uses: &[(usize, f64)]) -> BTreeMap<ModelId, ModelDemand> {
    let entry = |&(m, engine_use): &(usize, f64)| {
        let demand = ModelDemand {
            engine_use,
            last_asked_ms: now_ms,
        };
        (model(m), demand)
    };
    uses.iter().map(entry).collect()
}

/// Fleet in virtual time: loads and unloads take their time, and an engine
/// serves at most all of its time.
struct Fleet {
    spec: EngineSpec,
    engines: Vec<PlannedEngine>,
    under_way: BTreeMap<UpstreamId, (u64, Step)>,
    now_ms: u64,
}

impl Fleet {
    fn new(models: usize, engines: Vec<PlannedEngine>) -> Self {
        Self {
            spec: spec(models),
            engines,
            under_way: BTreeMap::new(),
            now_ms: 100_000,
        }
    }

    /// Share of the demand that finds an engine with time, over some time.
    fn replay(&mut self, duration_ms: u64, uses: &[(usize, f64)], is_planned: bool) -> f64 {
        let (mut served, mut asked) = (0.0, 0.0);
        for _ in 0..duration_ms / TICK_MS {
            self.now_ms += TICK_MS;
            self.finish();
            if is_planned {
                self.plan(uses);
            }
            served += self.served(uses);
            asked += uses.iter().map(|(_, u)| u).sum::<f64>();
        }
        served / asked
    }

    fn finish(&mut self) {
        let now_ms = self.now_ms;
        let done: Vec<UpstreamId> = self
            .under_way
            .iter()
            .filter(|(_, (at_ms, _))| now_ms >= *at_ms)
            .map(|(id, _)| id.clone())
            .collect();
        for id in done {
            let step = self.under_way.remove(&id).map(|(_, step)| step);
            let engine = self
                .engines
                .iter_mut()
                .find(|e| e.id == id)
                .expect("engine");
            engine.takes_orders = true;
            engine.loading = None;
            if let Some(Step::Load { model, .. }) = step {
                engine.on_disk.insert(model);
            }
        }
    }

    fn plan(&mut self, uses: &[(usize, f64)]) {
        let demand = demand(self.now_ms, uses);
        for step in plan(self.now_ms, &self.spec, &self.engines, &demand, 3) {
            let (Step::Load { upstream, .. } | Step::Unload { upstream, .. }) = &step;
            let engine = self.engines.iter_mut().find(|e| e.id == *upstream);
            let engine = engine.expect("planned engine");
            engine.takes_orders = false;
            let takes_ms = match &step {
                Step::Load { model, .. } => {
                    engine.holds.insert(model.clone(), BTreeSet::new());
                    engine.fresh.insert(model.clone());
                    engine.loading = Some(model.clone());
                    if engine.on_disk.contains(model) {
                        DISK_LOAD_MS
                    } else {
                        STORE_LOAD_MS
                    }
                }
                Step::Unload { model, .. } => {
                    engine.holds.remove(model);
                    TICK_MS
                }
            };
            assert!(engine.holds.len() <= 3, "memory is exceeded: {step:?}");
            self.under_way
                .insert(upstream.clone(), (self.now_ms + takes_ms, step));
        }
    }

    fn served(&self, uses: &[(usize, f64)]) -> f64 {
        let mut left: Vec<f64> = vec![1.0; self.engines.len()];
        let mut served = 0.0;
        for (m, engine_use) in uses {
            let mut wanted = *engine_use;
            for (e, engine) in self.engines.iter().enumerate() {
                if wanted > 0.0 && self.is_ready(engine, &model(*m)) {
                    let taken = wanted.min(left[e]);
                    left[e] -= taken;
                    wanted -= taken;
                    served += taken;
                }
            }
        }
        served
    }

    fn is_ready(&self, engine: &PlannedEngine, model: &ModelId) -> bool {
        let loading = self.under_way.get(&engine.id);
        let is_loading = matches!(loading, Some((_, Step::Load { model: m, .. })) if m == model);
        engine.holds.contains_key(model) && !is_loading
    }
}

/// Nine engines with 18 models: three popular ones have four copies each.
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
fn demand_that_moves_to_quiet_models_is_followed() {
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
fn a_single_copy_under_three_times_its_load_gets_help() {
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
fn models_of_lost_engines_are_loaded_again_the_busy_ones_first() {
    let mut engines = vec![engine(0, &[0, 1, 2]), engine(1, &[])];
    engines[0].is_serving = false;
    engines[0].takes_orders = false;

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
fn a_rare_model_without_a_copy_goes_to_where_its_weights_lie() {
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
fn the_last_copy_of_a_model_never_goes() {
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
fn a_copy_that_has_just_come_does_not_go() {
    let mut engines = vec![engine(0, &[0, 1, 2]), engine(1, &[0, 1, 2])];
    let models: Holdings = engines[0].holds.clone();
    for engine in &mut engines {
        engine.fresh = models.keys().cloned().collect();
    }

    let steps = plan(1_000, &spec(4), &engines, &demand(1_000, &[(3, 0.5)]), 3);

    assert!(steps.is_empty(), "{steps:?}");
}

#[test]
fn nothing_is_loaded_from_the_store_beyond_its_rate() {
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
fn nothing_moves_while_engines_have_time() {
    let uses: Vec<(usize, f64)> = (0..18).map(|m| (m, 0.1)).collect();
    let demand = demand(1_000, &uses);

    let steps = plan(1_000, &spec(18), &nine_engines(), &demand, 3);

    assert!(steps.is_empty(), "{steps:?}");
}

/// Replays engines that were lost with the only copies of rare models: the
/// rare ones took the places of the busiest model's copies, one after another,
/// and most of all requests found no room for ten seconds.
#[test]
fn missing_rare_models_do_not_take_the_places_of_a_busy_one() {
    let mut engines = vec![
        engine(0, &[0, 1, 2]),
        engine(1, &[0, 3, 4]),
        engine(2, &[0, 5, 6]),
    ];
    engines.push(engine(3, &[7, 8, 9]));
    engines[3].is_serving = false;
    engines[3].takes_orders = false;
    let busy = [(0, 1.6), (7, 0.02), (8, 0.02), (9, 0.02)];

    let steps = plan(1_000, &spec(10), &engines, &demand(1_000, &busy), 3);

    assert!(steps.is_empty(), "{steps:?}");
}

/// Replays a model whose second copy was on its way when the first one was
/// unloaded for another model: nobody served it for nine seconds.
#[test]
fn a_copy_that_is_being_loaded_does_not_free_the_only_one_that_serves() {
    let mut engines = vec![engine(0, &[0, 1, 2]), engine(1, &[0, 3, 4])];
    engines[1].loading = Some(model(0));
    engines[1].takes_orders = false;

    let steps = plan(1_000, &spec(6), &engines, &demand(1_000, &[(5, 0.5)]), 3);

    assert!(steps.is_empty(), "{steps:?}");
}

/// Replays two missing models of which one fits on an engine that is about to
/// be free: the other one had its place taken from a busy model.
#[test]
fn an_engine_that_is_free_soon_is_waited_for() {
    let mut engines = vec![engine(0, &[0, 1, 2]), engine(1, &[0])];
    engines[1].takes_orders = false;
    engines[1].busy_ms = Some(500);
    let demand = demand(1_000, &[(0, 1.0), (3, 0.1)]);

    let steps = plan(1_000, &spec(4), &engines, &demand, 3);

    assert!(steps.is_empty(), "{steps:?}");
}

#[test]
fn a_second_copy_goes_to_another_zone_if_all_else_is_equal() {
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
    assert_eq!(steps.first(), Some(&first), "the only one outside zone a");
}

/// Replays a crowded model that took every engine and load of the weight store
/// for its further copies, while another one had no copy for twenty seconds.
#[test]
fn the_copy_that_gains_most_goes_first() {
    let mut engines = vec![engine(0, &[0]), engine(1, &[])];
    engines[1].on_disk.insert(model(5));
    let demand = demand(1_000, &[(0, 3.0), (5, 0.1)]);

    let steps = plan(1_000, &spec(6), &engines, &demand, 1);

    let first = Step::Load {
        upstream: UpstreamId::new("e1"),
        model: model(5),
        is_from_store: false,
    };
    assert_eq!(steps.first(), Some(&first), "two seconds instead of nine");
}
