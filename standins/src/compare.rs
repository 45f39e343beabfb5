//! Comparison of policies in virtual time, over loads fixed in a file.

use currantcove::core::routing::Rng;
use serde::{Deserialize, Serialize};

use super::fake_engines::{
    EngineIndex, FakeEngine, LatencyTargets, Request, STEP_MS, SimulationTotals,
};
use super::load::Phase;
use super::policy::{Core, Move, Policy, Sight, StaticRoundRobin, SwapLeastRecentlyUsed};
use super::shapes::{self, Shape, Sizes};

/// Time between two looks of a policy at what to move, in milliseconds.
const CONTROL_MS: u64 = 250;
/// Time for placement before the first request, in milliseconds.
pub const WARM_UP_MS: u64 = 60_000;
/// Runs of each row, with different arrivals.
const SEEDS_PER_ROW: u64 = 5;
/// Time after the last request for answers to end, in milliseconds.
const COOL_DOWN_MS: u64 = 30_000;

/// Deployment of a row.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Which {
    /// Tennis association.
    Tennis,
    /// Consortium.
    Consortium,
}

impl Which {
    fn sizes(self) -> &'static Sizes {
        match self {
            Self::Tennis => &shapes::TENNIS,
            Self::Consortium => &shapes::CONSORTIUM,
        }
    }
}

/// What happens to the fleet during a row.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// A third of the engines is lost at this time.
    LoseThird(u64),
    /// The platform's service is down between these times.
    PlatformDown(u64, u64),
    /// A third of the engines is this many times slower between these times.
    SlowThird(u64, u64, f64),
}

/// One row of the comparison.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Name.
    pub name: String,
    /// Deployment.
    pub deployment: Which,
    /// Seed of arrivals.
    pub seed: u64,
    /// Length in milliseconds.
    pub duration_ms: u64,
    /// Requests a second over all models.
    pub phases: Vec<Phase>,
    /// Exponent of the models' popularity.
    pub skew: f64,
    /// Model whose share of the requests grows, how often, and from when.
    pub hot: Option<(usize, f64, u64)>,
    /// Rank by which popularity turns in the middle of the row.
    pub turn: usize,
    /// Tokens of an answer.
    pub tokens: u32,
    /// Fault.
    pub fault: Option<Fault>,
}

/// Result of one policy in one row.
#[derive(Clone, Debug, Serialize)]
pub struct Scored {
    /// Row.
    pub row: String,
    /// Policy.
    pub policy: &'static str,
    /// Share of requests within their targets, per accelerator.
    pub attainment_per_accelerator: f64,
    /// Share of requests within their targets.
    pub attainment: f64,
    /// Requests.
    pub offered: u64,
    /// Requests refused at once.
    pub refused: u64,
    /// Loads and unloads after the first request.
    pub moves: u64,
    /// Loads beyond an engine's memory.
    pub overcommits: u64,
    /// Seconds of models without a ready copy.
    pub unreachable_model_s: f64,
}

/// Weight of each model at a time of a row.
fn weights(row: &Row, models: usize, at_ms: u64) -> Vec<f64> {
    let turned = if at_ms >= row.duration_ms / 2 {
        row.turn
    } else {
        0
    };
    let rank = |m: usize| ((m + turned) % models + 1) as f64;
    let mut weights: Vec<f64> = (0..models).map(|m| rank(m).powf(-row.skew)).collect();
    if let Some((model, factor, from_ms)) = row.hot
        && at_ms >= from_ms
    {
        weights[model] *= factor;
    }
    weights
}

/// Requests of a row, the first one after the time for placement.
pub fn arrivals(row: &Row, models: usize) -> Vec<Request> {
    let mut rng = Rng::new(row.seed);
    let uniform = |rng: &mut Rng| (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
    let mut requests = Vec::new();
    let mut at_ms = 0.0;
    loop {
        let phase = row.phases.iter().rev().find(|p| p.from_ms as f64 <= at_ms);
        let base = phase.map_or(0.0, |p| p.rate_per_s);
        let before: f64 = weights(row, models, 0).iter().sum();
        let now = weights(row, models, at_ms as u64);
        let total: f64 = now.iter().sum();
        // A model that grows adds to the load and takes nothing from others.
        let rate = if row.hot.is_some() {
            base * total / before
        } else {
            base
        };
        at_ms += -(1.0 - uniform(&mut rng)).ln() * 1000.0 / rate.max(1e-3);
        if at_ms >= row.duration_ms as f64 {
            return requests;
        }
        let mut point = uniform(&mut rng) * total;
        let model = now.iter().position(|w| {
            point -= w;
            point < 0.0
        });
        let spread = 0.5 + uniform(&mut rng);
        let tokens = (f64::from(row.tokens) * spread) as u32;
        let model = model.unwrap_or(models - 1);
        requests.push(Request {
            at_ms: WARM_UP_MS + at_ms as u64,
            model,
            tokens,
        });
    }
}

/// Fleet of fake engines in virtual time.
#[derive(Debug)]
pub struct World {
    shape: Shape,
    fault: Option<Fault>,
    /// True while the platform's service answers.
    pub is_platform_up: bool,
    copy_mib: Vec<u64>,
    /// Engines.
    pub engines: Vec<FakeEngine>,
    /// What came of the requests so far.
    pub tally: SimulationTotals,
    starts_ms: Vec<u64>,
    /// Virtual time in milliseconds.
    pub now_ms: u64,
}

impl World {
    /// Empty fleet of a shape.
    pub fn new(shape: &Shape, fault: Option<Fault>) -> Self {
        let models = shape.teams.iter().flat_map(|(_, t)| t.models.values());
        Self {
            shape: shape.clone(),
            fault,
            is_platform_up: true,
            copy_mib: models
                .map(currantcove::core::config::ModelConfig::copy_mib)
                .collect(),
            engines: shape
                .plan
                .engines
                .iter()
                .cloned()
                .map(FakeEngine::new)
                .collect(),
            tally: SimulationTotals::default(),
            starts_ms: Vec::new(),
            now_ms: 0,
        }
    }

    fn loads_in_progress(&self) -> usize {
        let loading = self.engines.iter().flat_map(|e| e.resident.values());
        loading.filter(|r| r.ready_ms > self.now_ms).count()
    }

    fn store_has_room(&self) -> bool {
        let fleet = &self.shape.fleet;
        let second_ago = self.now_ms.saturating_sub(1000);
        let recent = self
            .starts_ms
            .iter()
            .rev()
            .take_while(|t| **t > second_ago)
            .count();
        self.loads_in_progress() < fleet.store_slots as usize
            && recent < fleet.store_loads_per_s as usize
    }

    fn sight(&self) -> Sight<'_> {
        Sight {
            now_ms: self.now_ms,
            engines: &self.engines,
            copy_mib: &self.copy_mib,
            loads_in_progress: self.loads_in_progress(),
            is_platform_up: self.is_platform_up,
            store_has_room: self.store_has_room(),
        }
    }

    /// Copies of all models, then more copies of the popular ones.
    fn place_static(&mut self) {
        let order: Vec<usize> = (0..self.copy_mib.len()).collect();
        for m in order.iter().chain(&order) {
            let size = self.copy_mib[*m];
            let free = |e: &FakeEngine| e.plan.memory_mib - e.used_mib();
            let fits = |e: &EngineIndex| {
                let engine = &self.engines[*e];
                !engine.resident.contains_key(m) && free(engine) >= size
            };
            let best = (0..self.engines.len())
                .filter(fits)
                .max_by_key(|&e| free(&self.engines[e]));
            if let Some(e) = best {
                self.engines[e].load(*m, size, 0, 0);
            }
        }
    }

    fn carry_out(&mut self, moved: Move) {
        let counts = u64::from(self.now_ms >= WARM_UP_MS);
        match moved {
            Move::Load(e, m) => {
                let ready_ms = self.now_ms + self.shape.plan.store.load_ms;
                if self.engines[e].load(m, self.copy_mib[m], self.now_ms, ready_ms) {
                    self.starts_ms.push(self.now_ms);
                    self.tally.moves += counts;
                } else {
                    self.tally.overcommits += 1;
                }
            }
            Move::Unload(e, m) => {
                self.engines[e].unload(m);
                self.tally.moves += counts;
            }
        }
    }

    fn apply_fault(&mut self) {
        let since_ms = self.now_ms.saturating_sub(WARM_UP_MS);
        match self.fault {
            Some(Fault::PlatformDown(from, to)) => {
                self.is_platform_up = !(from..to).contains(&since_ms);
            }
            Some(Fault::LoseThird(at)) if since_ms == at && self.now_ms > WARM_UP_MS => {
                for e in (0..self.engines.len()).step_by(3) {
                    self.tally.lost += self.engines[e].fail();
                }
            }
            Some(Fault::SlowThird(from, to, factor)) => {
                let is_slow = (from..to).contains(&since_ms);
                for e in (0..self.engines.len()).step_by(3) {
                    self.engines[e].slow_factor = if is_slow { factor } else { 1.0 };
                }
            }
            _ => {}
        }
    }

    /// Models that are ready nowhere.
    pub fn unreachable_models(&self) -> usize {
        let is_ready = |m: usize| self.engines.iter().any(|e| e.is_ready(self.now_ms, m));
        (0..self.copy_mib.len()).filter(|&m| !is_ready(m)).count()
    }

    fn count_unreachable(&mut self) {
        let missing = self.unreachable_models();
        self.tally.unreachable_model_s += missing as f64 * STEP_MS as f64 / 1000.0;
    }

    /// Offers requests and advances to a time.
    pub fn advance<P: Policy>(
        &mut self,
        policy: &mut P,
        requests: &[Request],
        targets: &LatencyTargets,
        until_ms: u64,
    ) {
        let mut next = 0;
        while self.now_ms < until_ms {
            self.apply_fault();
            if self.now_ms.is_multiple_of(CONTROL_MS) {
                for moved in policy.moves(&self.sight()) {
                    self.carry_out(moved);
                }
            }
            while next < requests.len() && requests[next].at_ms <= self.now_ms {
                self.offer(policy, requests[next]);
                next += 1;
            }
            self.step(policy, targets);
        }
    }

    fn step<P: Policy>(&mut self, policy: &mut P, targets: &LatencyTargets) {
        for e in 0..self.engines.len() {
            for first_ms in self.engines[e].first_token_times(self.now_ms) {
                policy.on_first_token(self.now_ms, e, first_ms);
            }
            let before = self.engines[e].in_flight();
            self.engines[e].step(self.now_ms, targets, &mut self.tally);
            for _ in self.engines[e].in_flight()..before {
                policy.on_done(e);
            }
        }
        if self.now_ms >= WARM_UP_MS {
            self.count_unreachable();
        }
        self.now_ms += STEP_MS;
    }

    fn offer<P: Policy>(&mut self, policy: &mut P, request: Request) {
        self.tally.offered += 1;
        match policy.route(&self.sight(), &request) {
            Some(e) if !self.engines[e].is_down => self.engines[e].enqueue(self.now_ms, request),
            Some(_) => self.tally.lost += 1,
            None => self.tally.refused += 1,
        }
    }
}

/// Runs all policies over one row, with several seeds, and takes the means.
pub fn run_row(row: &Row) -> Vec<Scored> {
    let runs: Vec<Vec<Scored>> = (0..SEEDS_PER_ROW)
        .map(|i| {
            run_seed(&Row {
                seed: row.seed + 100 * i,
                ..row.clone()
            })
        })
        .collect();
    let policies = runs[0].len();
    (0..policies).map(|p| mean(&runs, p)).collect()
}

/// Mean of one policy over all runs of a row.
fn mean(runs: &[Vec<Scored>], policy: usize) -> Scored {
    let of_policy = || runs.iter().map(|run| &run[policy]);
    let mean = |of: fn(&Scored) -> f64| of_policy().map(of).sum::<f64>() / runs.len() as f64;
    let whole = |of: fn(&Scored) -> f64| mean(of).round() as u64;
    Scored {
        attainment_per_accelerator: mean(|s| s.attainment_per_accelerator),
        attainment: mean(|s| s.attainment),
        offered: whole(|s| s.offered as f64),
        refused: whole(|s| s.refused as f64),
        moves: whole(|s| s.moves as f64),
        overcommits: of_policy().map(|s| s.overcommits).sum(),
        unreachable_model_s: mean(|s| s.unreachable_model_s),
        ..runs[0][policy].clone()
    }
}

fn run_seed(row: &Row) -> Vec<Scored> {
    let shape = shapes::shape(row.deployment.sizes(), 1);
    let models = shape.models().len();
    let requests = arrivals(row, models);
    let targets = LatencyTargets {
        first_token_ms: 600,
        token_gap_ms: 56.0,
    };
    let end_ms = WARM_UP_MS + row.duration_ms + COOL_DOWN_MS;
    let mut scored = Vec::new();

    let mut world = World::new(&shape, row.fault);
    let mut core = Core::new(
        &shape.host_zones,
        &world.engines,
        models,
        shape.fleet.clone(),
        targets.first_token_ms,
        row.seed,
    );
    world.advance(&mut core, &requests, &targets, end_ms);
    scored.push(score(row, "currantcove", &shape, &world.tally));

    let mut world = World::new(&shape, row.fault);
    world.place_static();
    world.advance(
        &mut StaticRoundRobin::default(),
        &requests,
        &targets,
        end_ms,
    );
    scored.push(score(row, "static, round-robin", &shape, &world.tally));

    let mut world = World::new(&shape, row.fault);
    world.place_static();
    world.advance(
        &mut SwapLeastRecentlyUsed::default(),
        &requests,
        &targets,
        end_ms,
    );
    scored.push(score(
        row,
        "LRU swap, least connections",
        &shape,
        &world.tally,
    ));
    scored
}

fn score(row: &Row, policy: &'static str, shape: &Shape, tally: &SimulationTotals) -> Scored {
    let attainment = tally.within_target as f64 / tally.offered.max(1) as f64;
    Scored {
        row: row.name.clone(),
        policy,
        attainment_per_accelerator: attainment / f64::from(shape.accelerators()),
        attainment,
        offered: tally.offered,
        refused: tally.refused,
        moves: tally.moves,
        overcommits: tally.overcommits,
        unreachable_model_s: tally.unreachable_model_s,
    }
}
