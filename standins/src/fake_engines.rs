//! Simulated engines in virtual time for the comparison of policies. Token times
//! follow the model of the stand-in engine; the caller passes the time, and no
//! sockets are used.

use std::collections::BTreeMap;

use super::plan::EnginePlan;

/// Length of one simulation step in milliseconds.
pub const STEP_MS: u64 = 25;

/// Index of a model in the deployment.
pub type ModelIndex = usize;
/// Index of an engine in the deployment.
pub type EngineIndex = usize;

/// Request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// Arrival time in milliseconds.
    pub at_ms: u64,
    /// Requested model.
    pub model: ModelIndex,
    /// Tokens of the response.
    pub tokens: u32,
}

/// Request that occupies a batch slot.
#[derive(Clone, Copy, Debug)]
struct RunningRequest {
    request: Request,
    started_ms: u64,
    first_token_at_ms: u64,
    tokens_done: f64,
}

/// Model that occupies engine memory.
#[derive(Clone, Copy, Debug)]
pub struct ResidentModel {
    /// Time at which its load ends, in milliseconds.
    pub ready_ms: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// True while its last requests run before it is unloaded.
    pub is_unloading: bool,
    /// Time of its newest request or of its load order, in milliseconds.
    pub last_used_ms: u64,
}

/// Engine whose time advances in steps.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    /// Configured capacity and timing.
    pub plan: EnginePlan,
    /// Models in memory, including those that are loading or unloading.
    pub resident: BTreeMap<ModelIndex, ResidentModel>,
    /// Factor on the token times.
    pub slow_factor: f64,
    /// True once the engine has failed.
    pub is_down: bool,
    running: Vec<RunningRequest>,
    waiting: Vec<Request>,
}

/// Totals of a simulation run.
#[derive(Clone, Copy, Debug, Default)]
pub struct SimulationTotals {
    /// Requests that arrived.
    pub offered: u64,
    /// Complete responses within their latency targets.
    pub within_target: u64,
    /// Complete responses.
    pub answered: u64,
    /// Requests refused on arrival.
    pub refused: u64,
    /// Requests lost because their engine failed.
    pub lost: u64,
    /// Loads and unloads of models.
    pub moves: u64,
    /// Loads that exceeded the free memory of an engine.
    pub overcommits: u64,
    /// Time without a ready copy in seconds, summed over models, without the warm-up.
    pub unreachable_model_s: f64,
}

/// Latency targets of all requests.
#[derive(Clone, Copy, Debug)]
pub struct LatencyTargets {
    /// Time to the first token in milliseconds.
    pub first_token_ms: u64,
    /// Mean time between tokens in milliseconds.
    pub token_gap_ms: f64,
}

impl FakeEngine {
    /// Engine without resident models.
    pub fn new(plan: EnginePlan) -> Self {
        Self {
            plan,
            resident: BTreeMap::new(),
            slow_factor: 1.0,
            is_down: false,
            running: Vec::new(),
            waiting: Vec::new(),
        }
    }

    /// Running and waiting requests.
    pub fn in_flight(&self) -> u32 {
        (self.running.len() + self.waiting.len()) as u32
    }

    /// Running and waiting requests of one model.
    pub fn in_flight_of(&self, model: ModelIndex) -> u32 {
        let running_count = self
            .running
            .iter()
            .filter(|r| r.request.model == model)
            .count();
        let waiting_count = self.waiting.iter().filter(|r| r.model == model).count();
        (running_count + waiting_count) as u32
    }

    /// True if a request for the model can start without waiting for a load.
    pub fn is_ready(&self, now_ms: u64, model: ModelIndex) -> bool {
        let resident = self.resident.get(&model);
        !self.is_down && resident.is_some_and(|r| r.ready_ms <= now_ms && !r.is_unloading)
    }

    /// Memory of all resident models in MiB.
    pub fn used_mib(&self) -> u64 {
        self.resident.values().map(|r| r.memory_mib).sum()
    }

    /// Memory of unloading models in MiB.
    pub fn unloading_mib(&self) -> u64 {
        self.resident
            .values()
            .filter(|r| r.is_unloading)
            .map(|r| r.memory_mib)
            .sum()
    }

    /// Starts to load a model; false if it exceeds the free memory.
    pub fn load(&mut self, model: ModelIndex, memory_mib: u64, now_ms: u64, ready_ms: u64) -> bool {
        if self.resident.contains_key(&model) {
            return true;
        }
        if self.used_mib() + memory_mib > self.plan.memory_mib {
            return false;
        }
        let resident = ResidentModel {
            ready_ms,
            memory_mib,
            is_unloading: false,
            last_used_ms: now_ms,
        };
        self.resident.insert(model, resident);
        true
    }

    /// Starts to unload a model, which is removed after its running requests.
    pub fn unload(&mut self, model: ModelIndex) {
        if let Some(resident) = self.resident.get_mut(&model) {
            resident.is_unloading = true;
        }
    }

    /// Queues a request until its model is ready.
    pub fn enqueue(&mut self, now_ms: u64, request: Request) {
        if let Some(resident) = self.resident.get_mut(&request.model) {
            resident.last_used_ms = now_ms;
        }
        self.waiting.push(request);
    }

    /// Marks the engine as failed and returns the number of its lost requests.
    pub fn fail(&mut self) -> u64 {
        self.is_down = true;
        self.resident.clear();
        let lost = u64::from(self.in_flight());
        self.running.clear();
        self.waiting.clear();
        lost
    }

    /// Times to first token of the requests that produce it in this step, in milliseconds.
    pub fn first_token_times(&self, now_ms: u64) -> Vec<u64> {
        let is_in_step =
            |r: &&RunningRequest| (now_ms..now_ms + STEP_MS).contains(&r.first_token_at_ms);
        self.running
            .iter()
            .filter(is_in_step)
            .map(|r| r.first_token_at_ms - r.started_ms)
            .collect()
    }

    /// Advances the engine by [`STEP_MS`] and adds completed requests to the totals.
    pub fn step(&mut self, now_ms: u64, targets: &LatencyTargets, totals: &mut SimulationTotals) {
        self.start_waiting(now_ms);
        let batch_size = self.running.len() as f64;
        let gap_us =
            self.plan.token_gap_us as f64 + batch_size * self.plan.token_gap_per_request_us as f64;
        let tokens = STEP_MS as f64 * 1000.0 / (gap_us * self.slow_factor);
        self.running.retain_mut(|running| {
            if now_ms >= running.first_token_at_ms {
                running.tokens_done += tokens;
            }
            let is_done = running.tokens_done >= f64::from(running.request.tokens);
            if is_done {
                record_completion(now_ms, running, targets, totals);
            }
            !is_done
        });
        let still_running = &self.running;
        self.resident.retain(|model, resident| {
            !resident.is_unloading || still_running.iter().any(|r| r.request.model == *model)
        });
    }

    fn start_waiting(&mut self, now_ms: u64) {
        for request in std::mem::take(&mut self.waiting) {
            if self
                .resident
                .get(&request.model)
                .is_some_and(|r| r.ready_ms <= now_ms)
            {
                let batch_fill = self.running.len() as f64 / f64::from(self.plan.max_batch);
                let prefill_ms =
                    self.plan.first_token_ms as f64 * batch_fill.max(1.0) * self.slow_factor;
                let first_token_at_ms = now_ms + prefill_ms as u64;
                self.running.push(RunningRequest {
                    request,
                    started_ms: now_ms,
                    first_token_at_ms,
                    tokens_done: 0.0,
                });
            } else {
                self.waiting.push(request);
            }
        }
    }
}

fn record_completion(
    now_ms: u64,
    done: &RunningRequest,
    targets: &LatencyTargets,
    totals: &mut SimulationTotals,
) {
    let first_token_ms = done.first_token_at_ms - done.request.at_ms;
    let gap_ms =
        (now_ms - done.first_token_at_ms) as f64 / f64::from(done.request.tokens.max(2) - 1);
    let is_within = first_token_ms <= targets.first_token_ms && gap_ms <= targets.token_gap_ms;
    totals.answered += 1;
    totals.within_target += u64::from(is_within);
}
