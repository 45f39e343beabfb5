//! Load and health of upstreams, as one entry host sees them.
//!
//! A host counts what it has in flight itself and learns what all others have
//! from the acting host's digests. An upstream that fails in a row, or falls
//! silent while it owes answers, is left out for a while and comes back on
//! trial, so that no health checks are needed.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};

use super::balance::Weights;
use super::ids::UpstreamId;

/// Failures in a row after which an upstream is left out.
pub const EJECT_AFTER_FAILURES: u32 = 3;
/// First time an upstream is left out, in milliseconds; doubles each time.
pub const FIRST_EJECTION_MS: u64 = 600;
/// Longest time an upstream is left out, in milliseconds.
pub const MAX_EJECTION_MS: u64 = 5_000;
/// Silence of an engine that owes events after which it gets nothing new, in
/// milliseconds; events of a running stream are at most tenths of a second
/// apart.
pub const SILENT_AFTER_MS: u64 = 900;
/// Silence after which an engine's models are loaded elsewhere, in
/// milliseconds; about three heartbeats, after which it is not listed either.
pub const LOST_AFTER_MS: u64 = 3_000;
/// Age at which what other hosts have in flight is not known any more, in
/// milliseconds; several digests were lost by then.
pub const OTHERS_EXPIRE_MS: u64 = 2_500;
/// Time per prompt token assumed before the first answer, in microseconds.
const INITIAL_TOKEN_US: f64 = 80.0;
/// Time for which an upstream that refused a request is sent no others for the
/// same weights, in milliseconds; an adapter is loaded within it.
const FIRST_REFUSAL_MS: u64 = 25;
/// Longest such time, in milliseconds; each refusal soon after another one
/// doubles it, as models take seconds to come and go.
const LONGEST_REFUSAL_MS: u64 = 400;
/// Time after which a refusal is not taken to belong to the one before, in
/// milliseconds.
const REFUSALS_APART_MS: u64 = 1_000;
/// Weight of a new sample in smoothed values.
const SMOOTHING: f64 = 0.15;
/// Prompt tokens of a sample of the time per token with full weight; in smaller
/// ones the wait for the running step counts more than the reading.
const FULL_SAMPLE_TOKENS: f64 = 1_500.0;

/// Requests in flight at one upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InFlight {
    /// Requests.
    #[serde(rename = "n")]
    pub requests: u32,
    /// Tokens of their prompts and likely answers.
    #[serde(rename = "t")]
    pub tokens: u32,
    /// Prompt tokens of those that have no first event yet.
    #[serde(rename = "u")]
    pub unread_tokens: u32,
}

impl InFlight {
    /// Sum of both.
    pub fn plus(self, other: Self) -> Self {
        Self {
            requests: self.requests + other.requests,
            tokens: self.tokens + other.tokens,
            unread_tokens: self.unread_tokens + other.unread_tokens,
        }
    }

    /// Difference, not below zero.
    pub fn minus(self, other: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(other.requests),
            tokens: self.tokens.saturating_sub(other.tokens),
            unread_tokens: self.unread_tokens.saturating_sub(other.unread_tokens),
        }
    }

    /// True if nothing is in flight.
    pub fn is_empty(self) -> bool {
        self == Self::default()
    }
}

/// Weights that an upstream refused.
#[derive(Clone, Debug)]
struct Refusal {
    weights: Weights,
    pause_ms: u64,
    /// Time until which they are not asked for there.
    until_ms: u64,
}

/// Load and health of one upstream.
#[derive(Clone, Debug)]
pub struct Load {
    /// In flight from this host.
    pub local: InFlight,
    others: InFlight,
    others_at_ms: u64,
    last_heard_ms: u64,
    owing_since_ms: u64,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until_ms: u64,
    /// Weights that it refused lately.
    refused: Vec<Refusal>,
    /// Smoothed share of failed answers.
    failure_share: f64,
    /// Smoothed time from request to answer or first event.
    first_answer_ms: f64,
    /// Smoothed time from request to the end of the answer.
    answer_ms: f64,
    /// Smoothed time to the first event per prompt token ahead.
    token_us: f64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            local: InFlight::default(),
            others: InFlight::default(),
            others_at_ms: 0,
            last_heard_ms: 0,
            owing_since_ms: 0,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until_ms: 0,
            refused: Vec::new(),
            failure_share: 0.0,
            first_answer_ms: 0.0,
            answer_ms: 0.0,
            token_us: INITIAL_TOKEN_US,
        }
    }
}

fn smooth(value: &mut f64, sample: f64) {
    if *value == 0.0 {
        *value = sample;
    } else {
        *value += (sample - *value) * SMOOTHING;
    }
}

impl Load {
    /// In flight from all hosts, as far as known.
    pub fn total(&self, now_ms: u64) -> InFlight {
        if now_ms.saturating_sub(self.others_at_ms) > OTHERS_EXPIRE_MS {
            return self.local;
        }
        self.local.plus(self.others)
    }

    /// True while the upstream gets nothing new.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }

    /// Time until requests for some weights are sent here again after it refused
    /// one; 0 if they are now.
    pub fn refused_for_ms(&self, now_ms: u64, weights: &Weights) -> u64 {
        let refusal = self.refused.iter().find(|r| r.weights == *weights);
        refusal.map_or(0, |r| r.until_ms.saturating_sub(now_ms))
    }

    /// True if the upstream owes events and has sent nothing for long.
    pub fn is_silent(&self, now_ms: u64) -> bool {
        let heard_ms = self.last_heard_ms.max(self.owing_since_ms);
        self.local.requests > 0 && now_ms.saturating_sub(heard_ms) > SILENT_AFTER_MS
    }

    /// True if the upstream has sent nothing for so long that its models are
    /// better loaded elsewhere.
    pub fn seems_lost(&self, now_ms: u64) -> bool {
        let heard_ms = self.last_heard_ms.max(self.owing_since_ms);
        self.local.requests > 0 && now_ms.saturating_sub(heard_ms) > LOST_AFTER_MS
    }

    /// Smoothed share of failed answers, from 0 to 1.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Smoothed time to the answer or the first event; 0 before the first.
    pub fn first_answer_ms(&self) -> f64 {
        self.first_answer_ms
    }

    /// Smoothed time to the end of the answer; 0 before the first.
    pub fn answer_ms(&self) -> f64 {
        self.answer_ms
    }

    /// Time to read prompt tokens.
    pub fn read_ms(&self, prompt_tokens: u32) -> f64 {
        f64::from(prompt_tokens) * self.token_us / 1000.0
    }

    /// Predicted time until a prompt of some tokens is read.
    pub fn predicted_read_ms(&self, now_ms: u64, prompt_tokens: u32) -> f64 {
        self.read_ms(self.total(now_ms).unread_tokens + prompt_tokens)
    }

    fn fail(&mut self, now_ms: u64) {
        smooth_share(&mut self.failure_share, 1.0);
        self.consecutive_failures += 1;
        if self.consecutive_failures >= EJECT_AFTER_FAILURES {
            let backoff_ms = FIRST_EJECTION_MS << self.ejections.min(4);
            self.ejected_until_ms = now_ms + backoff_ms.min(MAX_EJECTION_MS);
            self.ejections += 1;
            // The next failure after the pause ejects again.
            self.consecutive_failures = EJECT_AFTER_FAILURES - 1;
        }
    }

    fn succeed(&mut self) {
        smooth_share(&mut self.failure_share, 0.0);
        self.consecutive_failures = 0;
        self.ejections = self.ejections.saturating_sub(1);
    }
}

/// Smooths a share; unlike a time, zero is a sample like any other.
fn smooth_share(value: &mut f64, sample: f64) {
    *value += (sample - *value) * SMOOTHING;
}

/// Time to read one prompt token at an upstream that does little else, in
/// microseconds.
pub fn fastest_token_us<'a>(loads: impl Iterator<Item = &'a Load>) -> f64 {
    loads.map(|l| l.token_us).fold(INITIAL_TOKEN_US, f64::min)
}

/// What one request adds to the load of its upstream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Demand {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Tokens that the answer is likely to have.
    pub output_tokens: u32,
}

/// Request that is counted at its upstream until it ends.
#[derive(Clone, Debug)]
pub struct Sent {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Size.
    pub demand: Demand,
    at_ms: u64,
    unread_ahead: u32,
    is_unread: bool,
}

/// Loads of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct LoadBook {
    loads: HashMap<UpstreamId, Load>,
    changed: HashSet<UpstreamId>,
}

impl LoadBook {
    /// Load of an upstream, if anything is known of it.
    pub fn get(&self, id: &str) -> Option<&Load> {
        self.loads.get(id)
    }

    fn entry(&mut self, id: &UpstreamId) -> &mut Load {
        self.loads.entry(id.clone()).or_default()
    }

    /// Forgets an upstream that is gone, unless requests are still counted.
    pub fn forget(&mut self, id: &UpstreamId) {
        if self.loads.get(id).is_some_and(|l| l.local.is_empty()) {
            self.loads.remove(id);
        }
    }

    /// Counts a request that is being sent.
    pub fn on_sent(&mut self, now_ms: u64, id: &UpstreamId, demand: Demand) -> Sent {
        let load = self.entry(id);
        if load.local.requests == 0 {
            load.owing_since_ms = now_ms;
        }
        let unread_ahead = load.total(now_ms).unread_tokens;
        load.local = load.local.plus(in_flight(demand, true));
        self.changed.insert(id.clone());
        Sent {
            upstream: id.clone(),
            demand,
            at_ms: now_ms,
            unread_ahead,
            is_unread: true,
        }
    }

    /// Counts the answer's head, or the first event of a stream.
    pub fn on_first_answer(&mut self, now_ms: u64, sent: &mut Sent) {
        if !std::mem::take(&mut sent.is_unread) {
            return;
        }
        let load = self.entry(&sent.upstream);
        let unread = sent.demand.prompt_tokens;
        load.local.unread_tokens = load.local.unread_tokens.saturating_sub(unread);
        if unread > 0 {
            self.changed.insert(sent.upstream.clone());
        }
        let load = self.entry(&sent.upstream);
        let took_ms = now_ms.saturating_sub(sent.at_ms) as f64;
        smooth(&mut load.first_answer_ms, took_ms.max(0.5));
        let ahead = sent.unread_ahead + unread;
        if unread > 0 {
            let weight = SMOOTHING * (f64::from(ahead) / FULL_SAMPLE_TOKENS).min(1.0);
            load.token_us += (took_ms * 1000.0 / f64::from(ahead) - load.token_us) * weight;
        }
        load.last_heard_ms = now_ms;
    }

    /// Notes that an upstream refused a request without running it: its weights
    /// are being loaded or unloaded there, or its queue is full.
    pub fn on_refused(&mut self, now_ms: u64, id: &UpstreamId, weights: &Weights) {
        let load = self.entry(id);
        let is_recent = |r: &Refusal| now_ms < r.until_ms + REFUSALS_APART_MS;
        load.refused.retain(is_recent);
        match load.refused.iter_mut().find(|r| r.weights == *weights) {
            // Requests that were under way together count once.
            Some(refusal) if now_ms < refusal.until_ms => {}
            Some(refusal) => {
                refusal.pause_ms = (refusal.pause_ms * 2).min(LONGEST_REFUSAL_MS);
                refusal.until_ms = now_ms + refusal.pause_ms;
            }
            None => load.refused.push(Refusal {
                weights: weights.clone(),
                pause_ms: FIRST_REFUSAL_MS,
                until_ms: now_ms + FIRST_REFUSAL_MS,
            }),
        }
    }

    /// Notes that an upstream sent something.
    pub fn on_heard(&mut self, now_ms: u64, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.last_heard_ms = now_ms;
        }
    }

    /// Counts the end of a request.
    pub fn on_end(&mut self, now_ms: u64, sent: &Sent, end: AttemptEnd) {
        let load = self.entry(&sent.upstream);
        load.local = load.local.minus(in_flight(sent.demand, sent.is_unread));
        self.changed.insert(sent.upstream.clone());
        let load = self.entry(&sent.upstream);
        match end {
            AttemptEnd::Answered => {
                let took_ms = now_ms.saturating_sub(sent.at_ms) as f64;
                smooth(&mut load.answer_ms, took_ms.max(1.0));
                load.succeed();
                load.last_heard_ms = now_ms;
            }
            AttemptEnd::Failed => load.fail(now_ms),
            AttemptEnd::Neutral => {}
        }
    }

    /// Takes in what all other hosts have in flight at an upstream.
    pub fn set_others(&mut self, now_ms: u64, id: &UpstreamId, others: InFlight) {
        let load = self.entry(id);
        load.others = others;
        load.others_at_ms = now_ms;
    }

    /// Takes the upstreams whose local load changed since the last call.
    pub fn take_changed(&mut self) -> Vec<(UpstreamId, InFlight)> {
        let changed = std::mem::take(&mut self.changed);
        let local = |id: UpstreamId| {
            let load = self.loads.get(&id).map(|l| l.local);
            (id, load.unwrap_or_default())
        };
        changed.into_iter().map(local).collect()
    }

    /// Upstreams with requests of this host in flight.
    pub fn local(&self) -> impl Iterator<Item = (&UpstreamId, InFlight)> {
        self.loads
            .iter()
            .filter(|(_, l)| !l.local.is_empty())
            .map(|(id, l)| (id, l.local))
    }
}

fn in_flight(demand: Demand, is_unread: bool) -> InFlight {
    InFlight {
        requests: 1,
        tokens: demand.prompt_tokens + demand.output_tokens,
        unread_tokens: if is_unread { demand.prompt_tokens } else { 0 },
    }
}

/// How an attempt ended, as far as it tells of the upstream's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptEnd {
    /// The upstream answered well.
    Answered,
    /// The upstream failed.
    Failed,
    /// Nothing was learnt: the caller left, or the upstream was full.
    Neutral,
}
