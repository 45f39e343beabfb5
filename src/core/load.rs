//! Load and health of upstreams, as seen by one entry host.
//!
//! A host counts its own requests in flight and receives the load of all other
//! hosts from peers or from the acting host's digests. Health checks are
//! passive: an upstream with consecutive failures, or without any data while
//! requests are in flight, is ejected and readmitted on probation after a
//! backoff. No active health checks are needed.

use std::collections::{HashMap, HashSet};

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::balance::Weights;
use super::ids::UpstreamId;
use super::speed::{PaceKind, PaceSum, SpeedTable, load_class};
use super::stated::{MAX_TOTAL, StatedTotal};

/// Consecutive failures after which an upstream is ejected.
pub const EJECT_AFTER_FAILURES: u32 = 3;
/// Duration of the first ejection, in milliseconds; doubles with each further
/// one.
pub const INITIAL_EJECTION_MS: u64 = 600;
/// Longest ejection, in milliseconds.
pub const MAX_EJECTION_MS: u64 = 5_000;
/// Time without data after which an engine with requests in flight receives no
/// new ones, in milliseconds; events of a running stream are at most tenths of
/// a second apart.
pub const UNRESPONSIVE_AFTER_MS: u64 = 900;
/// Time without data after which an engine's models are loaded elsewhere, in
/// milliseconds; about three heartbeats, after which it is no longer listed
/// either.
pub const PRESUMED_LOST_AFTER_MS: u64 = 3_000;
/// Age at which the reported load of other hosts expires, in milliseconds;
/// several digests were lost by then.
pub const REMOTE_LOAD_EXPIRES_MS: u64 = 2_500;
/// Prefill time per prompt token assumed before the first response, in
/// microseconds.
const INITIAL_PREFILL_US_PER_TOKEN: f64 = 80.0;
/// Backoff after an upstream refused a request, during which it is sent no
/// requests for the same weights, in milliseconds; an adapter is loaded within
/// it.
const INITIAL_REFUSAL_BACKOFF_MS: u64 = 25;
/// Longest refusal backoff, in milliseconds. The backoff doubles with each
/// further refusal, as loading and unloading a model takes seconds.
const MAX_REFUSAL_BACKOFF_MS: u64 = 400;
/// Time after the end of a backoff at which it is reset, in milliseconds.
const REFUSAL_RESET_MS: u64 = 1_000;
/// Weight of a new sample in moving averages.
const EWMA_WEIGHT: f64 = 0.15;
/// Prompt tokens from which a sample of the prefill time per token has full
/// weight; in smaller samples the wait for the running step outweighs the
/// prefill.
const FULL_WEIGHT_TOKENS: f64 = 1_500.0;

/// Requests in flight at one upstream.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct InFlight {
    /// Number of requests.
    #[serde_as(as = "StatedTotal")]
    #[serde(rename = "n")]
    pub requests: u32,
    /// Tokens of their prompts and expected outputs.
    #[serde_as(as = "StatedTotal")]
    #[serde(rename = "t")]
    pub tokens: u32,
    /// Prompt tokens of requests that have no first event yet, as their prefill
    /// is still pending.
    #[serde_as(as = "StatedTotal")]
    #[serde(rename = "u")]
    pub unread_tokens: u32,
}

impl InFlight {
    /// Sum of both, up to the largest total.
    pub fn plus(self, other: Self) -> Self {
        let sum = |a: u32, b: u32| (a + b).min(MAX_TOTAL);
        Self {
            requests: sum(self.requests, other.requests),
            tokens: sum(self.tokens, other.tokens),
            unread_tokens: sum(self.unread_tokens, other.unread_tokens),
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

/// What a host knows of the account of an upstream's places.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlaceView {
    /// Requests that this host may have there now; none if it may ask for any number.
    pub limit: Option<u32>,
    /// Waiting requests of other hosts that precede those of this one.
    pub ahead: u32,
}

/// Refusal of requests for some weights.
#[derive(Clone, Debug)]
struct Refusal {
    weights: Weights,
    backoff_ms: u64,
    /// End of the backoff.
    until_ms: u64,
}

/// Load and health of one upstream.
#[derive(Clone, Debug)]
pub struct Load {
    /// Requests in flight from this host.
    pub local: InFlight,
    remote: InFlight,
    remote_at_ms: u64,
    last_activity_ms: u64,
    busy_since_ms: u64,
    consecutive_failures: u32,
    ejections: u32,
    ejected_until_ms: u64,
    /// Time until which the upstream wants no requests from this host.
    closed_until_ms: u64,
    /// Time until which this host has no permit for a request.
    paced_until_ms: u64,
    /// True while the upstream states how many requests a second it takes.
    is_limited: bool,
    /// What the account of its places allows, if it has one.
    places: Option<PlaceView>,
    /// Recent refusals by weights.
    refused: Vec<Refusal>,
    /// Moving average of the share of failed responses.
    failure_share: f64,
    /// Moving average of the time to the response head or the first event.
    first_response_ms: f64,
    /// Moving average of the time to the end of the response.
    completion_ms: f64,
    /// Moving average of the time to the first event per prompt token,
    /// including the backlog.
    prefill_us_per_token: f64,
    /// Moving average of the time of a stream per output token; 0 before the first
    /// sample.
    decode_us_per_token: f64,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            local: InFlight::default(),
            remote: InFlight::default(),
            remote_at_ms: 0,
            last_activity_ms: 0,
            busy_since_ms: 0,
            consecutive_failures: 0,
            ejections: 0,
            ejected_until_ms: 0,
            closed_until_ms: 0,
            paced_until_ms: 0,
            is_limited: false,
            places: None,
            refused: Vec::new(),
            failure_share: 0.0,
            first_response_ms: 0.0,
            completion_ms: 0.0,
            prefill_us_per_token: INITIAL_PREFILL_US_PER_TOKEN,
            decode_us_per_token: 0.0,
        }
    }
}

fn update_average(value: &mut f64, sample: f64) {
    if *value == 0.0 {
        *value = sample;
    } else {
        *value += (sample - *value) * EWMA_WEIGHT;
    }
}

impl Load {
    /// Requests in flight from all hosts; the others' share is left out once
    /// their reports have expired.
    pub fn total(&self, now_ms: u64) -> InFlight {
        if now_ms.saturating_sub(self.remote_at_ms) > REMOTE_LOAD_EXPIRES_MS {
            return self.local;
        }
        self.local.plus(self.remote)
    }

    /// Requests in flight from all hosts, less those of the others that have
    /// probably ended since they were reported. Requests of a plain service take
    /// less time than reports of a large fleet take to arrive.
    pub fn total_still_running(&self, now_ms: u64) -> InFlight {
        let age_ms = now_ms.saturating_sub(self.remote_at_ms) as f64;
        let share = if self.completion_ms > 0.0 {
            (-age_ms / self.completion_ms).exp()
        } else {
            1.0
        };
        let requests =
            (f64::from(self.total(now_ms).requests - self.local.requests) * share) as u32;
        InFlight {
            requests: self.local.requests + requests,
            ..self.local
        }
    }

    /// The same load without one request of this host that is not yet sent.
    #[must_use]
    pub fn without(&self, size: RequestSize) -> Self {
        Self {
            local: self.local.minus(in_flight(size, true)),
            ..self.clone()
        }
    }

    /// True while the upstream receives no new requests.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }

    /// Remaining time for which the upstream wants no requests from this host.
    pub fn closed_for_ms(&self, now_ms: u64) -> u64 {
        self.closed_until_ms.saturating_sub(now_ms)
    }

    /// Remaining time for which no request of this host may be sent.
    pub fn unavailable_for_ms(&self, now_ms: u64) -> u64 {
        let paced_for_ms = self.paced_until_ms.saturating_sub(now_ms);
        paced_for_ms.max(self.closed_for_ms(now_ms))
    }

    /// True while the upstream states how many requests a second it takes.
    pub fn is_limited(&self) -> bool {
        self.is_limited
    }

    /// What the account of its places allows, if it has one.
    pub fn places(&self) -> Option<PlaceView> {
        self.places
    }

    /// Remaining backoff after a refusal of some weights; 0 if there is none.
    pub fn refusal_backoff_ms(&self, now_ms: u64, weights: &Weights) -> u64 {
        let refusal = self.refused.iter().find(|r| r.weights == *weights);
        refusal.map_or(0, |r| r.until_ms.saturating_sub(now_ms))
    }

    /// True if requests are in flight and the upstream has sent nothing for too
    /// long.
    pub fn is_unresponsive(&self, now_ms: u64) -> bool {
        let idle_since_ms = self.last_activity_ms.max(self.busy_since_ms);
        self.local.requests > 0 && now_ms.saturating_sub(idle_since_ms) > UNRESPONSIVE_AFTER_MS
    }

    /// True if the upstream has sent nothing for so long that its models should
    /// be loaded elsewhere.
    pub fn is_presumed_lost(&self, now_ms: u64) -> bool {
        let idle_since_ms = self.last_activity_ms.max(self.busy_since_ms);
        self.local.requests > 0 && now_ms.saturating_sub(idle_since_ms) > PRESUMED_LOST_AFTER_MS
    }

    /// Moving average of the share of failed responses, from 0 to 1.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Moving average of the time to the response head or the first event; 0
    /// before the first sample.
    pub fn first_response_ms(&self) -> f64 {
        self.first_response_ms
    }

    /// Moving average of the time to the end of the response; 0 before the
    /// first sample.
    pub fn completion_ms(&self) -> f64 {
        self.completion_ms
    }

    /// Prefill time of some prompt tokens.
    pub fn prefill_ms(&self, prompt_tokens: u32) -> f64 {
        f64::from(prompt_tokens) * self.prefill_us_per_token / 1000.0
    }

    /// Predicted time to the end of the prefill of a new prompt, including the
    /// backlog.
    pub fn predicted_prefill_ms(&self, now_ms: u64, prompt_tokens: u32) -> f64 {
        self.prefill_ms(self.total(now_ms).unread_tokens + prompt_tokens)
    }

    fn record_failure(&mut self, now_ms: u64) {
        update_share(&mut self.failure_share, 1.0);
        self.consecutive_failures += 1;
        if self.consecutive_failures >= EJECT_AFTER_FAILURES {
            let backoff_ms = INITIAL_EJECTION_MS << self.ejections.min(4);
            self.ejected_until_ms = now_ms + backoff_ms.min(MAX_EJECTION_MS);
            self.ejections += 1;
            // The next failure after the backoff ejects again.
            self.consecutive_failures = EJECT_AFTER_FAILURES - 1;
        }
    }

    fn record_success(&mut self) {
        update_share(&mut self.failure_share, 0.0);
        self.consecutive_failures = 0;
        self.ejections = self.ejections.saturating_sub(1);
    }
}

/// Updates the moving average of a share; unlike a time, it starts at a valid
/// zero.
fn update_share(value: &mut f64, sample: f64) {
    *value += (sample - *value) * EWMA_WEIGHT;
}

/// Lowest prefill time per prompt token of all upstreams, which is about that
/// of an upstream without other work, in microseconds.
pub fn min_prefill_us_per_token<'a>(loads: impl Iterator<Item = &'a Load>) -> f64 {
    loads
        .map(|l| l.prefill_us_per_token)
        .fold(INITIAL_PREFILL_US_PER_TOKEN, f64::min)
}

/// Lowest time of a stream per output token of all upstreams, in microseconds; 0 if
/// none is known.
pub fn min_decode_us_per_token<'a>(loads: impl Iterator<Item = &'a Load>) -> f64 {
    let known = loads.map(|l| l.decode_us_per_token).filter(|us| *us > 0.0);
    known.reduce(f64::min).unwrap_or(0.0)
}

/// Size of one request in tokens.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RequestSize {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Expected tokens of the output.
    pub output_tokens: u32,
}

/// Request that counts as in flight at its upstream until it ends.
#[derive(Clone, Debug)]
pub struct SentRequest {
    /// Upstream.
    pub upstream: UpstreamId,
    /// Size in tokens.
    pub size: RequestSize,
    sent_ms: u64,
    backlog_tokens: u32,
    is_prefill_pending: bool,
    first_response_ms: u64,
}

impl SentRequest {
    /// Time at which it was sent, in milliseconds since the epoch.
    pub fn sent_ms(&self) -> u64 {
        self.sent_ms
    }
}

/// Loads of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct LoadTable {
    loads: HashMap<UpstreamId, Load>,
    changed: HashSet<UpstreamId>,
    /// Upstreams whose local load has changed since their keepers were told.
    untold: HashSet<UpstreamId>,
    /// Speeds of upstreams, if they are learned.
    speeds: Option<SpeedTable>,
}

impl LoadTable {
    /// Load of an upstream, if known.
    pub fn get(&self, id: &str) -> Option<&Load> {
        self.loads.get(id)
    }

    /// Learns the speeds of upstreams from now on.
    pub fn learn_speeds(&mut self) {
        self.speeds.get_or_insert_default();
    }

    /// Speeds of upstreams, if they are learned.
    pub fn speeds(&self) -> Option<&SpeedTable> {
        self.speeds.as_ref()
    }

    /// Speeds of upstreams, for changes.
    pub fn speeds_mut(&mut self) -> Option<&mut SpeedTable> {
        self.speeds.as_mut()
    }

    fn record_pace(
        &mut self,
        now_ms: u64,
        id: &UpstreamId,
        kind: PaceKind,
        took_ms: f64,
        units: u32,
    ) {
        if let Some(speeds) = self.speeds.as_mut().filter(|_| units > 0) {
            let sum = PaceSum {
                time_us: took_ms * 1_000.0,
                units: f64::from(units),
            };
            speeds.record(now_ms, id, kind, sum);
        }
    }

    fn entry(&mut self, id: &UpstreamId) -> &mut Load {
        self.loads.entry(id.clone()).or_default()
    }

    /// Removes an upstream, unless it still has requests of this host in
    /// flight.
    pub fn remove_if_idle(&mut self, id: &UpstreamId) {
        if self.loads.get(id).is_some_and(|l| l.local.is_empty()) {
            self.loads.remove(id);
        }
    }

    /// Counts a request that is being sent.
    pub fn on_sent(&mut self, now_ms: u64, id: &UpstreamId, size: RequestSize) -> SentRequest {
        let load = self.entry(id);
        if load.local.requests == 0 {
            load.busy_since_ms = now_ms;
        }
        let backlog_tokens = load.total(now_ms).unread_tokens;
        load.local = load.local.plus(in_flight(size, true));
        self.mark_changed(id);
        SentRequest {
            upstream: id.clone(),
            size,
            sent_ms: now_ms,
            backlog_tokens,
            is_prefill_pending: true,
            first_response_ms: now_ms,
        }
    }

    /// Counts the response head, or the first event of a stream.
    pub fn on_first_response(&mut self, now_ms: u64, sent: &mut SentRequest) {
        if !std::mem::take(&mut sent.is_prefill_pending) {
            return;
        }
        sent.first_response_ms = now_ms;
        let load = self.entry(&sent.upstream);
        let own_tokens = sent.size.prompt_tokens;
        load.local.unread_tokens = load.local.unread_tokens.saturating_sub(own_tokens);
        if own_tokens > 0 {
            self.mark_changed(&sent.upstream);
        }
        let load = self.entry(&sent.upstream);
        let took_ms = now_ms.saturating_sub(sent.sent_ms) as f64;
        update_average(&mut load.first_response_ms, took_ms.max(0.5));
        let prefilled_tokens = sent.backlog_tokens + own_tokens;
        if own_tokens > 0 {
            let weight = EWMA_WEIGHT * (f64::from(prefilled_tokens) / FULL_WEIGHT_TOKENS).min(1.0);
            load.prefill_us_per_token += (took_ms * 1000.0 / f64::from(prefilled_tokens)
                - load.prefill_us_per_token)
                * weight;
        }
        load.last_activity_ms = now_ms;
        if own_tokens > 0 {
            let upstream = sent.upstream.clone();
            self.record_pace(
                now_ms,
                &upstream,
                PaceKind::Prefill,
                took_ms,
                prefilled_tokens,
            );
        }
    }

    /// Records that an upstream refused a request without executing it, because
    /// its weights are being loaded or unloaded there or its queue is full.
    pub fn on_refused(&mut self, now_ms: u64, id: &UpstreamId, weights: &Weights) {
        let load = self.entry(id);
        let is_recent = |r: &Refusal| now_ms < r.until_ms + REFUSAL_RESET_MS;
        load.refused.retain(is_recent);
        match load.refused.iter_mut().find(|r| r.weights == *weights) {
            // Refusals of concurrent requests count once.
            Some(refusal) if now_ms < refusal.until_ms => {}
            Some(refusal) => {
                refusal.backoff_ms = (refusal.backoff_ms * 2).min(MAX_REFUSAL_BACKOFF_MS);
                refusal.until_ms = now_ms + refusal.backoff_ms;
            }
            None => load.refused.push(Refusal {
                weights: weights.clone(),
                backoff_ms: INITIAL_REFUSAL_BACKOFF_MS,
                until_ms: now_ms + INITIAL_REFUSAL_BACKOFF_MS,
            }),
        }
    }

    /// Records until when an upstream wants no requests from this host.
    pub fn close(&mut self, id: &UpstreamId, until_ms: u64) {
        let load = self.entry(id);
        load.closed_until_ms = load.closed_until_ms.max(until_ms);
    }

    /// Records until when this host has no permit for a request.
    pub fn pace(&mut self, id: &UpstreamId, until_ms: u64) {
        self.entry(id).paced_until_ms = until_ms;
    }

    /// Records whether an upstream states how many requests a second it takes.
    pub fn set_limited(&mut self, id: &UpstreamId, is_limited: bool) {
        let load = self.entry(id);
        load.is_limited = is_limited;
        if !is_limited {
            load.paced_until_ms = 0;
        }
    }

    /// Records what the account of an upstream's places allows.
    pub fn set_places(&mut self, id: &UpstreamId, places: Option<PlaceView>) {
        self.entry(id).places = places;
    }

    /// Records that an upstream has sent data.
    pub fn on_activity(&mut self, now_ms: u64, id: &str) {
        if let Some(load) = self.loads.get_mut(id) {
            load.last_activity_ms = now_ms;
        }
    }

    /// Counts the end of a request.
    pub fn on_end(&mut self, now_ms: u64, sent: &SentRequest, outcome: AttemptOutcome) {
        let load = self.entry(&sent.upstream);
        load.local = load
            .local
            .minus(in_flight(sent.size, sent.is_prefill_pending));
        self.mark_changed(&sent.upstream);
        if outcome == AttemptOutcome::Succeeded {
            self.record_end_pace(now_ms, sent);
        }
        let load = self.entry(&sent.upstream);
        match outcome {
            AttemptOutcome::Succeeded => {
                let took_ms = now_ms.saturating_sub(sent.sent_ms) as f64;
                update_average(&mut load.completion_ms, took_ms.max(1.0));
                if sent.size.output_tokens > 0 {
                    let streamed_ms = now_ms.saturating_sub(sent.first_response_ms) as f64;
                    let tokens = f64::from(sent.size.output_tokens);
                    update_average(&mut load.decode_us_per_token, streamed_ms * 1000.0 / tokens);
                }
                load.record_success();
                load.last_activity_ms = now_ms;
            }
            AttemptOutcome::Failed => load.record_failure(now_ms),
            AttemptOutcome::Unreachable => {
                // Nothing listens there, so that further attempts would fail as well.
                load.consecutive_failures = load.consecutive_failures.max(EJECT_AFTER_FAILURES - 1);
                load.record_failure(now_ms);
            }
            AttemptOutcome::Neutral => {}
        }
    }

    fn record_end_pace(&mut self, now_ms: u64, sent: &SentRequest) {
        let load = self.entry(&sent.upstream);
        let class = load_class(load.total(now_ms).requests + 1);
        let (kind, since_ms, units) = if sent.size.output_tokens > 0 {
            let kind = PaceKind::Decode(class);
            (kind, sent.first_response_ms, sent.size.output_tokens)
        } else {
            (PaceKind::Plain(class), sent.sent_ms, 1)
        };
        let took_ms = now_ms.saturating_sub(since_ms) as f64;
        self.record_pace(now_ms, &sent.upstream, kind, took_ms, units);
    }

    /// Counts a fault of an upstream apart from the end of a request.
    pub fn on_fault(&mut self, now_ms: u64, id: &UpstreamId) {
        self.entry(id).record_failure(now_ms);
    }

    /// Forgets that upstreams have failed.
    pub fn forget_failures(&mut self) {
        for load in self.loads.values_mut() {
            load.failure_share = 0.0;
            load.consecutive_failures = 0;
            load.ejections = 0;
            load.ejected_until_ms = 0;
        }
    }

    /// Stores the load of all other hosts at an upstream.
    pub fn set_remote(&mut self, now_ms: u64, id: &UpstreamId, remote: InFlight) {
        let load = self.entry(id);
        load.remote = remote;
        load.remote_at_ms = now_ms;
    }

    /// Returns the upstreams whose local load has changed since the last call.
    pub fn take_changed(&mut self) -> Vec<(UpstreamId, InFlight)> {
        let changed = std::mem::take(&mut self.changed);
        self.local_loads(changed)
    }

    /// Returns the upstreams whose local load has changed since the last call of this
    /// function.
    pub fn take_untold(&mut self) -> Vec<(UpstreamId, InFlight)> {
        let untold = std::mem::take(&mut self.untold);
        self.local_loads(untold)
    }

    fn local_loads(&self, ids: HashSet<UpstreamId>) -> Vec<(UpstreamId, InFlight)> {
        let local = |id: UpstreamId| {
            let load = self.loads.get(&id).map(|l| l.local);
            (id, load.unwrap_or_default())
        };
        ids.into_iter().map(local).collect()
    }

    fn mark_changed(&mut self, id: &UpstreamId) {
        self.changed.insert(id.clone());
        self.untold.insert(id.clone());
    }

    /// Upstreams with requests of this host in flight.
    pub fn local(&self) -> impl Iterator<Item = (&UpstreamId, InFlight)> {
        self.loads
            .iter()
            .filter(|(_, l)| !l.local.is_empty())
            .map(|(id, l)| (id, l.local))
    }
}

fn in_flight(size: RequestSize, is_prefill_pending: bool) -> InFlight {
    InFlight {
        requests: 1,
        tokens: size.prompt_tokens + size.output_tokens,
        unread_tokens: if is_prefill_pending {
            size.prompt_tokens
        } else {
            0
        },
    }
}

/// Outcome of an attempt with regard to the upstream's health.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptOutcome {
    /// The upstream responded without a fault.
    Succeeded,
    /// The upstream failed.
    Failed,
    /// No connection could be established.
    Unreachable,
    /// Says nothing about health: the caller disconnected, or the upstream was
    /// full.
    Neutral,
}
