//! Compares routing and placement policies in virtual time, over the
//! deployments, loads and faults of a file.

use currantcove::core::routing::Rng;
use serde::{Deserialize, Serialize};

use super::fake_engines::{
    EngineIndex, FakeEngine, LatencyTargets, Request, STEP_MS, SimulationTotals,
};
use super::load::Phase;
use super::policy::{
    CorePolicy, FleetView, PlacementOrder, Policy, StaticRoundRobin, SwapLeastRecentlyUsed,
};
use super::shapes::{self, Shape, Sizes};

/// Interval between the placement decisions of a policy.
const PLACEMENT_INTERVAL_MS: u64 = 250;
/// Time for the initial placement before the first request, in milliseconds.
pub const WARM_UP_MS: u64 = 60_000;
/// Runs of each row, each with its own seed of arrivals.
const SEEDS_PER_ROW: u64 = 5;
/// Time after the last arrival in which responses in flight complete.
const COOL_DOWN_MS: u64 = 30_000;

/// Deployment of a row.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum DeploymentName {
    /// Tennis association.
    Tennis,
    /// Consortium.
    Consortium,
}

impl DeploymentName {
    fn sizes(self) -> &'static Sizes {
        match self {
            Self::Tennis => &shapes::TENNIS,
            Self::Consortium => &shapes::CONSORTIUM,
        }
    }
}

/// Fault during a row; times are in milliseconds after the warm-up.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// Every third engine fails at this time.
    LoseThird(u64),
    /// The platform's key-value service is unavailable between these times.
    PlatformDown(u64, u64),
    /// Every third engine is slower by this factor between these times.
    SlowThird(u64, u64, f64),
}

/// Row of the comparison: a deployment, a load and a fault.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Row {
    /// Name.
    pub name: String,
    /// Deployment.
    pub deployment: DeploymentName,
    /// Seed of arrivals.
    pub seed: u64,
    /// Duration in milliseconds.
    pub duration_ms: u64,
    /// Requests per second over all models.
    pub phases: Vec<Phase>,
    /// Exponent of the Zipf distribution of requests over models.
    pub skew: f64,
    /// Model whose request rate is multiplied, by which factor, and from which
    /// time in milliseconds.
    pub hot: Option<(usize, f64, u64)>,
    /// Ranks by which the popularity order is rotated after half of the duration.
    #[serde(rename = "turn")]
    pub rank_rotation: usize,
    /// Mean tokens per response.
    pub tokens: u32,
    /// Injected fault.
    pub fault: Option<Fault>,
}

/// Result of a policy in a row.
#[derive(Clone, Debug, Serialize)]
pub struct PolicyResult {
    /// Name of the row.
    pub row: String,
    /// Name of the policy.
    pub policy: &'static str,
    /// Fraction of requests within their latency targets, per accelerator.
    pub attainment_per_accelerator: f64,
    /// Fraction of requests within their latency targets.
    pub attainment: f64,
    /// Offered requests.
    pub offered: u64,
    /// Requests that the policy refused.
    pub refused: u64,
    /// Loads and unloads after the warm-up.
    pub moves: u64,
    /// Loads that exceeded the memory of an engine.
    pub overcommits: u64,
    /// Seconds without a ready copy, summed over all models.
    pub unreachable_model_s: f64,
}

/// Relative request rate of each model at a time of a row.
fn weights(row: &Row, models: usize, at_ms: u64) -> Vec<f64> {
    let rank_rotation = if at_ms >= row.duration_ms / 2 {
        row.rank_rotation
    } else {
        0
    };
    let rank = |m: usize| ((m + rank_rotation) % models + 1) as f64;
    let mut weights: Vec<f64> = (0..models).map(|m| rank(m).powf(-row.skew)).collect();
    if let Some((model, factor, from_ms)) = row.hot
        && at_ms >= from_ms
    {
        weights[model] *= factor;
    }
    weights
}

/// Generates the requests of a row, which arrive after the warm-up.
pub fn arrivals(row: &Row, models: usize) -> Vec<Request> {
    let mut rng = Rng::new(row.seed);
    let uniform = |rng: &mut Rng| (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
    let mut requests = Vec::new();
    let mut at_ms = 0.0;
    loop {
        let phase = row.phases.iter().rev().find(|p| p.from_ms as f64 <= at_ms);
        let base_rate = phase.map_or(0.0, |p| p.rate_per_s);
        let initial_total: f64 = weights(row, models, 0).iter().sum();
        let current = weights(row, models, at_ms as u64);
        let total: f64 = current.iter().sum();
        // A hot model adds to the total rate; the rates of the others stay.
        let rate = if row.hot.is_some() {
            base_rate * total / initial_total
        } else {
            base_rate
        };
        at_ms += -(1.0 - uniform(&mut rng)).ln() * 1000.0 / rate.max(1e-3);
        if at_ms >= row.duration_ms as f64 {
            return requests;
        }
        let mut threshold = uniform(&mut rng) * total;
        let model = current.iter().position(|w| {
            threshold -= w;
            threshold < 0.0
        });
        let length_factor = 0.5 + uniform(&mut rng);
        let tokens = (f64::from(row.tokens) * length_factor) as u32;
        let model = model.unwrap_or(models - 1);
        requests.push(Request {
            at_ms: WARM_UP_MS + at_ms as u64,
            model,
            tokens,
        });
    }
}

/// Fleet of simulated engines in virtual time.
#[derive(Debug)]
pub struct VirtualFleet {
    shape: Shape,
    fault: Option<Fault>,
    /// True while the platform's key-value service is available.
    pub is_platform_up: bool,
    copy_mib: Vec<u64>,
    /// Engines.
    pub engines: Vec<FakeEngine>,
    /// Request results and counters so far.
    pub tally: SimulationTotals,
    load_starts_ms: Vec<u64>,
    /// Virtual time in milliseconds.
    pub now_ms: u64,
}

impl VirtualFleet {
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
            load_starts_ms: Vec::new(),
            now_ms: 0,
        }
    }

    fn loads_in_progress(&self) -> usize {
        let loading = self.engines.iter().flat_map(|e| e.resident.values());
        loading.filter(|r| r.ready_ms > self.now_ms).count()
    }

    fn has_store_capacity(&self) -> bool {
        let fleet_config = &self.shape.fleet;
        let second_ago = self.now_ms.saturating_sub(1000);
        let recent_loads = self
            .load_starts_ms
            .iter()
            .rev()
            .take_while(|t| **t > second_ago)
            .count();
        self.loads_in_progress() < fleet_config.store_slots as usize
            && recent_loads < fleet_config.store_loads_per_s as usize
    }

    fn view(&self) -> FleetView<'_> {
        FleetView {
            now_ms: self.now_ms,
            engines: &self.engines,
            copy_mib: &self.copy_mib,
            loads_in_progress: self.loads_in_progress(),
            is_platform_up: self.is_platform_up,
            has_store_capacity: self.has_store_capacity(),
        }
    }

    /// Loads one copy of each model in order of popularity, then second copies
    /// in the same order while memory is free.
    fn load_static_placement(&mut self) {
        let order: Vec<usize> = (0..self.copy_mib.len()).collect();
        for m in order.iter().chain(&order) {
            let copy_mib = self.copy_mib[*m];
            let free = |e: &FakeEngine| e.plan.memory_mib - e.used_mib();
            let is_candidate = |e: &EngineIndex| {
                let engine = &self.engines[*e];
                !engine.resident.contains_key(m) && free(engine) >= copy_mib
            };
            let target = (0..self.engines.len())
                .filter(is_candidate)
                .max_by_key(|&e| free(&self.engines[e]));
            if let Some(e) = target {
                self.engines[e].load(*m, copy_mib, 0, 0);
            }
        }
    }

    fn apply_order(&mut self, placement_order: PlacementOrder) {
        let increment = u64::from(self.now_ms >= WARM_UP_MS);
        match placement_order {
            PlacementOrder::Load(e, m) => {
                let ready_ms = self.now_ms + self.shape.plan.store.load_ms;
                if self.engines[e].load(m, self.copy_mib[m], self.now_ms, ready_ms) {
                    self.load_starts_ms.push(self.now_ms);
                    self.tally.moves += increment;
                } else {
                    self.tally.overcommits += 1;
                }
            }
            PlacementOrder::Unload(e, m) => {
                self.engines[e].unload(m);
                self.tally.moves += increment;
            }
        }
    }

    fn apply_fault(&mut self) {
        let elapsed_ms = self.now_ms.saturating_sub(WARM_UP_MS);
        match self.fault {
            Some(Fault::PlatformDown(from, to)) => {
                self.is_platform_up = !(from..to).contains(&elapsed_ms);
            }
            Some(Fault::LoseThird(at)) if elapsed_ms == at && self.now_ms > WARM_UP_MS => {
                for e in (0..self.engines.len()).step_by(3) {
                    self.tally.lost += self.engines[e].fail();
                }
            }
            Some(Fault::SlowThird(from, to, factor)) => {
                let is_slow = (from..to).contains(&elapsed_ms);
                for e in (0..self.engines.len()).step_by(3) {
                    self.engines[e].slow_factor = if is_slow { factor } else { 1.0 };
                }
            }
            _ => {}
        }
    }

    /// Number of models without a ready copy.
    pub fn unreachable_models(&self) -> usize {
        let is_ready = |m: usize| self.engines.iter().any(|e| e.is_ready(self.now_ms, m));
        (0..self.copy_mib.len()).filter(|&m| !is_ready(m)).count()
    }

    fn record_unreachable_models(&mut self) {
        let unreachable = self.unreachable_models();
        self.tally.unreachable_model_s += unreachable as f64 * STEP_MS as f64 / 1000.0;
    }

    /// Routes the requests as they arrive, and advances virtual time.
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
            if self.now_ms.is_multiple_of(PLACEMENT_INTERVAL_MS) {
                for placement_order in policy.placement_orders(&self.view()) {
                    self.apply_order(placement_order);
                }
            }
            while next < requests.len() && requests[next].at_ms <= self.now_ms {
                self.route_request(policy, requests[next]);
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
                policy.on_request_end(e);
            }
        }
        if self.now_ms >= WARM_UP_MS {
            self.record_unreachable_models();
        }
        self.now_ms += STEP_MS;
    }

    fn route_request<P: Policy>(&mut self, policy: &mut P, request: Request) {
        self.tally.offered += 1;
        match policy.route(&self.view(), &request) {
            Some(e) if !self.engines[e].is_down => self.engines[e].enqueue(self.now_ms, request),
            Some(_) => self.tally.lost += 1,
            None => self.tally.refused += 1,
        }
    }
}

/// Runs all policies over a row with several seeds, and returns the mean
/// results.
pub fn run_row(row: &Row) -> Vec<PolicyResult> {
    let runs: Vec<Vec<PolicyResult>> = (0..SEEDS_PER_ROW)
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

/// Mean result of a policy over all runs of a row; overcommits are summed.
fn mean(runs: &[Vec<PolicyResult>], policy: usize) -> PolicyResult {
    let of_policy = || runs.iter().map(|run| &run[policy]);
    let mean = |of: fn(&PolicyResult) -> f64| of_policy().map(of).sum::<f64>() / runs.len() as f64;
    let rounded_mean = |of: fn(&PolicyResult) -> f64| mean(of).round() as u64;
    PolicyResult {
        attainment_per_accelerator: mean(|s| s.attainment_per_accelerator),
        attainment: mean(|s| s.attainment),
        offered: rounded_mean(|s| s.offered as f64),
        refused: rounded_mean(|s| s.refused as f64),
        moves: rounded_mean(|s| s.moves as f64),
        overcommits: of_policy().map(|s| s.overcommits).sum(),
        unreachable_model_s: mean(|s| s.unreachable_model_s),
        ..runs[0][policy].clone()
    }
}

fn run_seed(row: &Row) -> Vec<PolicyResult> {
    let shape = shapes::build_shape(row.deployment.sizes(), 1);
    let models = shape.models().len();
    let requests = arrivals(row, models);
    let targets = LatencyTargets {
        first_token_ms: 600,
        token_gap_ms: 56.0,
    };
    let end_ms = WARM_UP_MS + row.duration_ms + COOL_DOWN_MS;
    let mut results = Vec::new();

    let mut virtual_fleet = VirtualFleet::new(&shape, row.fault);
    let mut core_policy = CorePolicy::new(
        &shape.host_zones,
        &virtual_fleet.engines,
        models,
        shape.fleet.clone(),
        targets.first_token_ms,
        row.seed,
    );
    virtual_fleet.advance(&mut core_policy, &requests, &targets, end_ms);
    results.push(policy_result(
        row,
        "currantcove",
        &shape,
        &virtual_fleet.tally,
    ));

    let mut virtual_fleet = VirtualFleet::new(&shape, row.fault);
    virtual_fleet.load_static_placement();
    virtual_fleet.advance(
        &mut StaticRoundRobin::default(),
        &requests,
        &targets,
        end_ms,
    );
    results.push(policy_result(
        row,
        "static, round-robin",
        &shape,
        &virtual_fleet.tally,
    ));

    let mut virtual_fleet = VirtualFleet::new(&shape, row.fault);
    virtual_fleet.load_static_placement();
    virtual_fleet.advance(
        &mut SwapLeastRecentlyUsed::default(),
        &requests,
        &targets,
        end_ms,
    );
    results.push(policy_result(
        row,
        "LRU swap, least connections",
        &shape,
        &virtual_fleet.tally,
    ));
    results
}

fn policy_result(
    row: &Row,
    policy: &'static str,
    shape: &Shape,
    tally: &SimulationTotals,
) -> PolicyResult {
    let attainment = tally.within_target as f64 / tally.offered.max(1) as f64;
    PolicyResult {
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
