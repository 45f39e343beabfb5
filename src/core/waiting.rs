//! Queue of requests that wait at a host for a free upstream.
//!
//! Load pattern: bursts exceed the capacity of the upstreams for some seconds,
//! for some models and not for others.
//!
//! Requests wait here instead of in an engine's queue, because only here can
//! they be reordered or rejected. Requests that can still meet their objective
//! are dispatched first, the most urgent ahead; late ones follow in order of
//! arrival. Requests for starved weights, which have not been served for a long
//! time, precede all others, so that rare adapters of an overloaded model are
//! not rejected forever. A caller that returns after a refusal is ordered by its first
//! arrival, and so precedes newcomers of its rank; if it can no longer meet its objective, it
//! does so for a limited share of the dispatches, since newcomers have more to lose.
//! A request whose predicted wait is too long is rejected
//! on arrival, with a retry delay after which the backlog will have drained.

use std::collections::{HashMap, HashSet};

use serde::Deserialize;

use super::balance::{CapacityForecast, NoUpstream, Requirements, UpstreamFilter};
use super::ids::{AdapterId, ModelId, OrganisationId, ServiceId};
use super::rate::DecayingRate;
use super::routing::Rng;

/// Limit on queued requests at one host; bounds memory and the time of one
/// dispatch round.
pub const MAX_QUEUED_REQUESTS: usize = 512;
/// Time added to the due time per priority level when requests are ordered, in
/// milliseconds.
pub const PRIORITY_PENALTY_MS: u64 = 250;
/// Shortest retry delay of rejected callers, in milliseconds.
pub const MIN_RETRY_AFTER_MS: u64 = 200;
/// Share of a queue's dispatch rate that is allotted to retries; the rest is
/// for new requests, which can still be served in time.
const RETRY_RATE_SHARE: f64 = 0.5;
/// Share of a queue's dispatches in which callers that return precede newcomers although
/// they can no longer meet their objective. A late response is worth about a third of one in
/// time or less; at a quarter, newcomers lose no more than without any precedence in an
/// overload of one half.
const LATE_RETURN_SHARE: f64 = 0.25;
/// Lengthening of the intervals between retries if callers that return have precedence, so
/// that no more of them are told to return than precede newcomers.
pub const RETURNING_INTERVAL_FACTOR: f64 = RETRY_RATE_SHARE / LATE_RETURN_SHARE;
/// The longest retry delay is shortened by a random jitter of at most the delay
/// over this divisor.
const RETRY_JITTER_DIVISOR: u64 = 4;
/// Longest retry delay of rejected callers, in milliseconds.
pub const MAX_RETRY_AFTER_MS: u64 = 10_000;
/// Time constant of the dispatch rate, in milliseconds; matches the objective
/// of most requests, within which the prediction must hold.
const DISPATCH_RATE_TIME_CONSTANT_MS: f64 = 1_000.0;

/// Rules of waiting that a deployment may turn on.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq)]
#[serde(default)]
pub struct WaitingRules {
    /// Callers that return after a refusal precede newcomers.
    pub returning_first: bool,
    /// Keepers of engines tell the host with the most urgent request first.
    pub urgent_hosts_first: bool,
}

/// Identifies the requests that compete for the same model copies.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct QueueKey {
    /// Service.
    pub service: ServiceId,
    /// Model; absent for plain services.
    pub model: Option<ModelId>,
}

impl QueueKey {
    /// Key of a request.
    pub fn of(requirements: &Requirements) -> Self {
        Self {
            service: requirements.service.clone(),
            model: requirements.weights.as_ref().map(|w| w.model.clone()),
        }
    }
}

/// Request in the queue.
#[derive(Clone, Debug)]
pub struct QueuedRequest {
    /// Identifier within the queue.
    pub ticket: u64,
    /// Requirements on the upstream.
    pub requirements: Requirements,
    /// Upstreams that are eligible.
    pub filter: UpstreamFilter,
    /// Organisation of the caller.
    pub organisation: Option<OrganisationId>,
    /// Priority level; 0 is dispatched first.
    pub priority: u8,
    /// Time of arrival.
    pub arrived_ms: u64,
    /// Time at which the caller first sent the request; earlier than its arrival if it
    /// returns after a refusal.
    pub first_arrived_ms: u64,
    /// Latest dispatch that can meet the objective.
    pub due_ms: u64,
    /// Latest dispatch whose response is still of use to the caller.
    pub expires_ms: u64,
    /// True if its weights have not been served for a long time, or if it is a stream
    /// that goes on; it precedes all others.
    pub is_starved: bool,
    /// Why the last dispatch round found no upstream.
    pub reason: NoUpstream,
}

/// What decides the place of a request in the order.
#[derive(Clone, Copy, Debug)]
pub struct OrderInput<'a> {
    /// Requirements on the upstream.
    pub requirements: &'a Requirements,
    /// Priority level; 0 is dispatched first.
    pub priority: u8,
    /// Time of arrival.
    pub arrived_ms: u64,
    /// Time at which the caller first sent the request.
    pub first_arrived_ms: u64,
    /// Latest dispatch that can meet the objective.
    pub due_ms: u64,
    /// True if it precedes all others.
    pub is_starved: bool,
}

impl OrderInput<'_> {
    /// True if its caller returns after a refusal, and can no longer be served in time.
    fn is_late_return(&self, now_ms: u64) -> bool {
        self.first_arrived_ms < self.arrived_ms && now_ms > self.due_ms
    }
}

impl QueuedRequest {
    fn order_input(&self) -> OrderInput<'_> {
        OrderInput {
            requirements: &self.requirements,
            priority: self.priority,
            arrived_ms: self.arrived_ms,
            first_arrived_ms: self.first_arrived_ms,
            due_ms: self.due_ms,
            is_starved: self.is_starved,
        }
    }

    /// True if a new request for the same copies must wait until this one is
    /// dispatched.
    fn blocks(&self, queue_key: &QueueKey, requirements: &Requirements) -> bool {
        let adapter = self.requirements.adapter();
        let has_same_copies = adapter.is_none() || adapter == requirements.adapter();
        let is_restricted = self.filter.software.is_some();
        self.reason == NoUpstream::Full
            && !is_restricted
            && has_same_copies
            && QueueKey::of(&self.requirements) == *queue_key
    }
}

/// Queued requests and their dispatch rates.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    requests: Vec<QueuedRequest>,
    /// Time at which all requests expire, if this host stops.
    closes_ms: Option<u64>,
    dispatch_rates: HashMap<QueueKey, DecayingRate>,
    /// Part of them that late returning callers took.
    late_return_rates: HashMap<QueueKey, DecayingRate>,
}

/// Result of one dispatch round.
#[derive(Clone, Debug)]
pub struct DispatchRound<T> {
    /// Tickets of dispatched requests, with their upstreams.
    pub dispatched: Vec<(u64, T)>,
    /// Tickets of requests that were removed because they expired or because no
    /// upstream can become available, with the reason.
    pub removed: Vec<(u64, NoUpstream)>,
}

impl WaitQueue {
    /// Number of queued requests.
    pub fn len(&self) -> usize {
        self.requests.len()
    }

    /// True if the queue is empty.
    pub fn is_empty(&self) -> bool {
        self.requests.is_empty()
    }

    /// Adds a request.
    pub fn push(&mut self, request: QueuedRequest) {
        self.requests.push(request);
    }

    /// Lets all requests expire at a time at the latest.
    pub fn close_at(&mut self, at_ms: u64) {
        self.closes_ms = Some(at_ms);
    }

    /// Time at which a request that may wait until `expires_ms` expires.
    pub fn expiry_ms(&self, expires_ms: u64) -> u64 {
        self.closes_ms.map_or(expires_ms, |at| at.min(expires_ms))
    }

    /// Removes a request whose caller has disconnected.
    pub fn remove(&mut self, ticket: u64) {
        self.requests.retain(|r| r.ticket != ticket);
    }

    /// Counts the queued requests that precede a new one and compete for the
    /// same copies.
    pub fn count_ahead(&self, now_ms: u64, newcomer: OrderInput) -> usize {
        if self.requests.is_empty() {
            return 0;
        }
        let key = self.sort_key(now_ms, newcomer);
        let queue_key = QueueKey::of(newcomer.requirements);
        let is_ahead = |r: &&QueuedRequest| {
            r.blocks(&queue_key, newcomer.requirements)
                && self.sort_key(now_ms, r.order_input()) <= key
        };
        self.requests.iter().filter(is_ahead).count()
    }

    /// Sort key of a request; the lowest is dispatched first.
    fn sort_key(&self, now_ms: u64, request: OrderInput) -> (DispatchClass, u64) {
        if request.is_starved {
            return (DispatchClass::Starved, request.arrived_ms);
        }
        let urgency_ms = request.due_ms + u64::from(request.priority) * PRIORITY_PENALTY_MS;
        if now_ms <= request.due_ms {
            return (DispatchClass::InTime, urgency_ms);
        }
        let queue_key = || QueueKey::of(request.requirements);
        if request.is_late_return(now_ms) && self.may_precede_newcomers(now_ms, &queue_key()) {
            return (DispatchClass::InTime, urgency_ms);
        }
        (DispatchClass::Late, request.first_arrived_ms)
    }

    /// True if late returning callers have not had their share of the dispatches.
    fn may_precede_newcomers(&self, now_ms: u64, queue_key: &QueueKey) -> bool {
        let per_s = |rates: &HashMap<QueueKey, DecayingRate>| {
            let rate = rates.get(queue_key);
            rate.map_or(0.0, |r| {
                r.per_second(now_ms, DISPATCH_RATE_TIME_CONSTANT_MS)
            })
        };
        per_s(&self.late_return_rates) <= per_s(&self.dispatch_rates) * LATE_RETURN_SHARE
    }

    /// Predicted wait behind `ahead` requests with the same key, when `hosts`
    /// hosts dispatch to the same upstreams. The queue drains at this host's
    /// equal share of the upstreams' throughput, or at its recent dispatch rate
    /// if that is higher.
    pub fn predicted_wait_ms(
        &self,
        now_ms: u64,
        queue_key: &QueueKey,
        ahead: usize,
        capacity: CapacityForecast,
        hosts: usize,
    ) -> u64 {
        let rate = self.dispatch_rates.get(queue_key);
        let per_s = rate.map_or(0.0, |r| {
            r.per_second(now_ms, DISPATCH_RATE_TIME_CONSTANT_MS)
        });
        let fair_interval_ms = capacity.dispatch_interval_ms * hosts as f64;
        let interval_ms = fair_interval_ms.min(1000.0 / per_s.max(f64::MIN_POSITIVE));
        (capacity.available_in_ms + ahead as f64 * interval_ms) as u64
    }

    /// Dispatches all requests that find an upstream, in order, and removes the
    /// expired ones.
    pub fn dispatch<T>(
        &mut self,
        now_ms: u64,
        mut select: impl FnMut(&QueuedRequest) -> Result<T, NoUpstream>,
    ) -> DispatchRound<T> {
        let mut round = DispatchRound {
            dispatched: Vec::new(),
            removed: Vec::new(),
        };
        if self.requests.is_empty() {
            return round;
        }
        let mut requests = std::mem::take(&mut self.requests);
        requests.sort_by_cached_key(|r| self.sort_key(now_ms, r.order_input()));
        let mut full: HashSet<(QueueKey, Option<AdapterId>)> = HashSet::new();
        for mut request in requests {
            let queue_key = QueueKey::of(&request.requirements);
            let adapter = request.requirements.adapter().cloned();
            // A request without capacity blocks the following ones that compete
            // for the same copies, so that smaller requests do not starve
            // larger ones.
            let is_blocked = full.contains(&(queue_key.clone(), adapter.clone()))
                || full.contains(&(queue_key.clone(), None));
            let result = if is_blocked {
                Err(NoUpstream::Full)
            } else {
                select(&request)
            };
            match result {
                Ok(upstream) => {
                    self.record_dispatch(now_ms, &queue_key);
                    self.record_if_late_return(now_ms, &queue_key, request.order_input());
                    round.dispatched.push((request.ticket, upstream));
                }
                Err(reason)
                    if now_ms >= self.expiry_ms(request.expires_ms) || is_terminal(reason) =>
                {
                    round.removed.push((request.ticket, reason));
                }
                Err(reason) => {
                    // A stream that goes on at a software version does not hold up requests
                    // that may be sent to any.
                    if reason == NoUpstream::Full && request.filter.software.is_none() {
                        full.insert((queue_key, adapter));
                    }
                    request.reason = reason;
                    self.requests.push(request);
                }
            }
        }
        round
    }

    /// Queued requests of a service.
    pub fn of_service<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = &'a QueuedRequest> {
        let is_of_service = |r: &&QueuedRequest| r.requirements.service == *service;
        self.requests.iter().filter(is_of_service)
    }

    /// Counts a dispatched request, whether or not it was queued.
    pub fn record_dispatch(&mut self, now_ms: u64, queue_key: &QueueKey) {
        add_one(&mut self.dispatch_rates, now_ms, queue_key);
    }

    /// Counts a dispatched request if it was of a late returning caller.
    pub fn record_if_late_return(
        &mut self,
        now_ms: u64,
        queue_key: &QueueKey,
        request: OrderInput,
    ) {
        if request.is_late_return(now_ms) {
            add_one(&mut self.late_return_rates, now_ms, queue_key);
        }
    }

    /// Requirements of queued requests whose weights are not loaded.
    pub fn awaiting_weights(&self) -> impl Iterator<Item = &Requirements> {
        let is_missing =
            |r: &&QueuedRequest| matches!(r.reason, NoUpstream::NoModel | NoUpstream::NoAdapter);
        self.requests
            .iter()
            .filter(is_missing)
            .map(|r| &r.requirements)
    }

    /// True if a request for a service is queued.
    pub fn has_queued_for(&self, service: &ServiceId) -> bool {
        self.requests
            .iter()
            .any(|r| r.requirements.service == *service)
    }

    /// Earliest time at which a queued request expires.
    pub fn next_expiry_ms(&self) -> Option<u64> {
        let expiries_ms = self.requests.iter().map(|r| self.expiry_ms(r.expires_ms));
        expiries_ms.min()
    }
}

fn add_one(rates: &mut HashMap<QueueKey, DecayingRate>, now_ms: u64, queue_key: &QueueKey) {
    match rates.get_mut(queue_key) {
        Some(rate) => rate.add(now_ms, 1.0, DISPATCH_RATE_TIME_CONSTANT_MS),
        None => {
            let mut rate = DecayingRate::default();
            rate.add(now_ms, 1.0, DISPATCH_RATE_TIME_CONSTANT_MS);
            rates.insert(queue_key.clone(), rate);
        }
    }
}

/// Dispatch classes, in order.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum DispatchClass {
    /// Its weights have not been served for a long time.
    Starved,
    /// Can still meet its objective, or returns after a refusal.
    InTime,
    /// Can no longer meet its objective.
    Late,
}

/// True if waiting cannot resolve the reason.
fn is_terminal(reason: NoUpstream) -> bool {
    matches!(
        reason,
        NoUpstream::NoneListed | NoUpstream::NoSoftware | NoUpstream::AllTried
    )
}

/// Forecast for a request that finds no upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct WaitForecast {
    /// Why no upstream is available now.
    pub reason: NoUpstream,
    /// Predicted time until one is available.
    pub wait_ms: u64,
}

/// Admission decision for a request that finds no upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum QueueDecision {
    /// Wait in this host's queue.
    Enqueue,
    /// Reject now, with a retry delay.
    Reject,
}

/// Decides whether a request is queued.
///
/// It is queued if it is likely to be dispatched within `useful_ms`, after
/// which the response is of no use to the caller.
pub fn admit(queued: usize, forecast: WaitForecast, useful_ms: u64) -> QueueDecision {
    let is_eligible = queued < MAX_QUEUED_REQUESTS && !is_terminal(forecast.reason);
    if is_eligible && forecast.wait_ms <= useful_ms {
        QueueDecision::Enqueue
    } else {
        QueueDecision::Reject
    }
}

/// Retry schedule of rejected callers.
///
/// Load pattern: a queue stays full for seconds, callers that retry at once are
/// rejected again, and most of them retry only once.
///
/// Each rejected caller is assigned a slot after those rejected before it. Slots
/// are spaced at the share of the dispatch rate that is allotted to retries,
/// and none is earlier than the time at which a copy that is being loaded
/// becomes ready.
#[derive(Clone, Debug, Default)]
pub struct RetrySchedule {
    reserved_until_ms: HashMap<QueueKey, u64>,
}

/// Inputs of a retry delay.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct RetryInput {
    /// Predicted wait, in milliseconds.
    pub wait_ms: u64,
    /// Time until another copy is ready, in milliseconds; 0 if none is being
    /// loaded.
    pub copy_ready_in_ms: u64,
    /// Interval between dispatches of this host for the same key, in
    /// milliseconds.
    pub dispatch_interval_ms: f64,
    /// Delay after which the response would be too late, in milliseconds.
    pub max_delay_ms: u64,
}

impl RetrySchedule {
    /// Assigns the retry delay of a rejected caller, in milliseconds.
    pub fn assign(
        &mut self,
        now_ms: u64,
        queue_key: &QueueKey,
        input: RetryInput,
        rng: &mut Rng,
    ) -> u64 {
        let max_delay_ms = input
            .max_delay_ms
            .clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        let retry_interval_ms =
            (input.dispatch_interval_ms / RETRY_RATE_SHARE).min(max_delay_ms as f64) as u64;
        let reserved_ms = self.reserved_until_ms.entry(queue_key.clone()).or_default();
        let earliest_ms = now_ms + input.wait_ms.max(input.copy_ready_in_ms).min(max_delay_ms);
        let slot_ms = earliest_ms.max(*reserved_ms).min(now_ms + max_delay_ms);
        *reserved_ms = slot_ms + retry_interval_ms;
        let jitter_ms = rng.below((retry_interval_ms + MIN_RETRY_AFTER_MS) as usize) as u64;
        let delay_ms = slot_ms - now_ms + jitter_ms;
        if delay_ms <= max_delay_ms {
            return delay_ms.max(MIN_RETRY_AFTER_MS);
        }
        // Callers that reach the longest delay must not retry at the same time.
        max_delay_ms - rng.below((max_delay_ms / RETRY_JITTER_DIVISOR + 1) as usize) as u64
    }
}
