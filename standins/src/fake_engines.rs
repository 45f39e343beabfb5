//! Engines in virtual time, for comparing policies: the same token times as
//! the stand-in engine, without sockets and without a clock of their own.

use std::collections::BTreeMap;

use super::plan::EnginePlan;

/// Length of one step of virtual time in milliseconds.
pub const STEP_MS: u64 = 25;

/// Position of a model.
pub type ModelIx = usize;
/// Position of an engine.
pub type EngineIx = usize;

/// Request of a caller.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    /// When it arrives, in milliseconds.
    pub at_ms: u64,
    /// Model.
    pub model: ModelIx,
    /// Tokens of the answer.
    pub tokens: u32,
}

/// Request that runs at an engine.
#[derive(Clone, Copy, Debug)]
struct Run {
    request: Request,
    begun_ms: u64,
    first_ms: u64,
    tokens_done: f64,
}

/// Model in an engine's memory.
#[derive(Clone, Copy, Debug)]
pub struct Resident {
    /// When it is ready, in milliseconds.
    pub ready_ms: u64,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// True if it is being unloaded.
    pub is_leaving: bool,
    /// Newest request, in milliseconds.
    pub used_ms: u64,
}

/// One engine.
#[derive(Clone, Debug)]
pub struct FakeEngine {
    /// What it was set up as.
    pub plan: EnginePlan,
    /// Models in memory.
    pub resident: BTreeMap<ModelIx, Resident>,
    /// Token times are this many times longer.
    pub slow_factor: f64,
    /// True once it is lost.
    pub is_down: bool,
    runs: Vec<Run>,
    waiting: Vec<Request>,
}

/// What a run of the fleet came to.
#[derive(Clone, Copy, Debug, Default)]
pub struct Tally {
    /// Requests.
    pub offered: u64,
    /// Whole answers within their targets.
    pub within_target: u64,
    /// Whole answers.
    pub answered: u64,
    /// Requests refused at once.
    pub refused: u64,
    /// Requests lost with their engine.
    pub lost: u64,
    /// Loads and unloads.
    pub moves: u64,
    /// Loads beyond an engine's memory.
    pub overcommits: u64,
    /// Seconds that models spent without a ready copy, after the start.
    pub unreachable_model_s: f64,
}

/// Targets of all requests.
#[derive(Clone, Copy, Debug)]
pub struct Targets {
    /// First token in milliseconds.
    pub first_token_ms: u64,
    /// Between tokens in milliseconds.
    pub token_gap_ms: f64,
}

impl FakeEngine {
    /// Empty engine.
    pub fn new(plan: EnginePlan) -> Self {
        Self {
            plan,
            resident: BTreeMap::new(),
            slow_factor: 1.0,
            is_down: false,
            runs: Vec::new(),
            waiting: Vec::new(),
        }
    }

    /// Requests running and waiting.
    pub fn in_flight(&self) -> u32 {
        (self.runs.len() + self.waiting.len()) as u32
    }

    /// Requests running and waiting for one model.
    pub fn in_flight_of(&self, model: ModelIx) -> u32 {
        let running = self
            .runs
            .iter()
            .filter(|r| r.request.model == model)
            .count();
        let waiting = self.waiting.iter().filter(|r| r.model == model).count();
        (running + waiting) as u32
    }

    /// True if requests for the model run at once.
    pub fn is_ready(&self, now_ms: u64, model: ModelIx) -> bool {
        let resident = self.resident.get(&model);
        !self.is_down && resident.is_some_and(|r| r.ready_ms <= now_ms && !r.is_leaving)
    }

    /// Memory in use in MiB.
    pub fn used_mib(&self) -> u64 {
        self.resident.values().map(|r| r.memory_mib).sum()
    }

    /// Memory of models that are being unloaded in MiB.
    pub fn leaving_mib(&self) -> u64 {
        self.resident
            .values()
            .filter(|r| r.is_leaving)
            .map(|r| r.memory_mib)
            .sum()
    }

    /// Begins to load a model; false if it does not fit.
    pub fn load(&mut self, model: ModelIx, memory_mib: u64, now_ms: u64, ready_ms: u64) -> bool {
        if self.resident.contains_key(&model) {
            return true;
        }
        if self.used_mib() + memory_mib > self.plan.memory_mib {
            return false;
        }
        let resident = Resident {
            ready_ms,
            memory_mib,
            is_leaving: false,
            used_ms: now_ms,
        };
        self.resident.insert(model, resident);
        true
    }

    /// Begins to unload a model; its requests run to their end.
    pub fn unload(&mut self, model: ModelIx) {
        if let Some(resident) = self.resident.get_mut(&model) {
            resident.is_leaving = true;
        }
    }

    /// Takes a request; it waits until its model is ready.
    pub fn take(&mut self, now_ms: u64, request: Request) {
        if let Some(resident) = self.resident.get_mut(&request.model) {
            resident.used_ms = now_ms;
        }
        self.waiting.push(request);
    }

    /// Requests that are lost when the engine goes.
    pub fn lose(&mut self) -> u64 {
        self.is_down = true;
        self.resident.clear();
        let lost = u64::from(self.in_flight());
        self.runs.clear();
        self.waiting.clear();
        lost
    }

    /// Times to the first tokens that came in this step, in milliseconds.
    pub fn first_tokens(&self, now_ms: u64) -> Vec<u64> {
        let is_now = |r: &&Run| (now_ms..now_ms + STEP_MS).contains(&r.first_ms);
        self.runs
            .iter()
            .filter(is_now)
            .map(|r| r.first_ms - r.begun_ms)
            .collect()
    }

    /// Advances by one step.
    pub fn step(&mut self, now_ms: u64, targets: &Targets, tally: &mut Tally) {
        self.begin_waiting(now_ms);
        let running = self.runs.len() as f64;
        let gap_us =
            self.plan.token_gap_us as f64 + running * self.plan.token_gap_per_request_us as f64;
        let tokens = STEP_MS as f64 * 1000.0 / (gap_us * self.slow_factor);
        self.runs.retain_mut(|run| {
            if now_ms >= run.first_ms {
                run.tokens_done += tokens;
            }
            let is_done = run.tokens_done >= f64::from(run.request.tokens);
            if is_done {
                count_done(now_ms, run, targets, tally);
            }
            !is_done
        });
        let runs = &self.runs;
        self.resident.retain(|model, resident| {
            !resident.is_leaving || runs.iter().any(|r| r.request.model == *model)
        });
    }

    fn begin_waiting(&mut self, now_ms: u64) {
        for request in std::mem::take(&mut self.waiting) {
            if self
                .resident
                .get(&request.model)
                .is_some_and(|r| r.ready_ms <= now_ms)
            {
                let over = self.runs.len() as f64 / f64::from(self.plan.max_batch);
                let first = self.plan.first_token_ms as f64 * over.max(1.0) * self.slow_factor;
                let first_ms = now_ms + first as u64;
                self.runs.push(Run {
                    request,
                    begun_ms: now_ms,
                    first_ms,
                    tokens_done: 0.0,
                });
            } else {
                self.waiting.push(request);
            }
        }
    }
}

fn count_done(now_ms: u64, run: &Run, targets: &Targets, tally: &mut Tally) {
    let first_ms = run.first_ms - run.request.at_ms;
    let gap_ms = (now_ms - run.first_ms) as f64 / f64::from(run.request.tokens.max(2) - 1);
    let is_within = first_ms <= targets.first_token_ms && gap_ms <= targets.token_gap_ms;
    tally.answered += 1;
    tally.within_target += u64::from(is_within);
}
