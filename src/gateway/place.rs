//! Admission of requests: reserves an upstream at once or after a wait in this
//! host's queue.
//!
//! Bursts exceed the capacity of the upstreams for seconds, on some models only.
//! A request that finds no free upstream is queued here if its predicted wait is
//! short enough for the response to be of use to the caller. Otherwise it is
//! rejected at once with a retry delay.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};

use super::brittle::Place;
use super::call::RoutedRequest;
use super::platform::Platform;
use super::shared_places::SharedPlace;
use super::state::Gateway;
use crate::core::balance::{
    CapacityForecast, NoUpstream, Requirements, UpstreamFilter, Weights, forecast_capacity,
    select_upstream,
};
use crate::core::catalog::{ModelSpec, Route, WeightSource};
use crate::core::first_arrival::StatedTimes;
use crate::core::ids::ServiceId;
use crate::core::load::{AttemptOutcome, Load, SentRequest};
use crate::core::rate_account::Purpose;
use crate::core::registry::{Entry, Registry};
use crate::core::shared_places::urgency;
use crate::core::waiting::{
    MIN_RETRY_AFTER_MS, OrderInput, PRIORITY_PENALTY_MS, QueueDecision, QueueKey, QueuedRequest,
    RETURNING_INTERVAL_FACTOR, RetryInput, RetrySchedule, WaitForecast, WaitQueue, admit,
};

/// Predicted wait for an adapter that is loaded on demand, in milliseconds: a
/// round trip to the acting host, and the load.
const ADAPTER_WAIT_MS: u64 = 80;
/// Time until the load order for a model without a copy reaches its engine,
/// in milliseconds.
const ORDER_WAIT_MS: u64 = 300;
/// Predicted wait when no upstream is listed, in milliseconds.
const NONE_LISTED_WAIT_MS: u64 = 1_000;
/// Time without a served request after which weights count as starved, in
/// milliseconds; callers that send requests throughout a day do so at about this
/// interval.
const STARVED_AFTER_MS: u64 = 6_000;
/// Reservations of one request that are checked against the engine's account.
const MAX_ROOM_CHECKS: u32 = 4;
/// Share of a caller's timeout that its request may spend in the queue; the rest
/// is left for the upstream.
const QUEUE_TIME_SHARE: f64 = 0.7;
/// Longest retry delay as a share of the request's remaining time; the rest
/// is left for the second try, and callers do not wait longer in any case.
const MAX_RETRY_AFTER_SHARE: f64 = 1.0 / 3.0;

/// Reason of the rejection of a request whose deadline has passed before it was sent.
const PAST_DEADLINE: &str = "past_deadline";

/// Queued requests and the channels to the tasks that wait for an upstream.
#[derive(Debug, Default)]
pub struct AdmissionQueue {
    queue: WaitQueue,
    assignment_senders: HashMap<u64, AssignmentSender>,
    last_ticket: u64,
    wake: Rc<Notify>,
    /// Time at which a request for weights was last served.
    last_served_ms: HashMap<Weights, u64>,
    /// Retry delays assigned to rejected requests.
    retry_schedule: RetrySchedule,
    /// Times that callers state.
    stated_times: StatedTimes,
    /// Expected time at which a model that is being loaded becomes ready, in
    /// milliseconds since the epoch.
    pub ready_at_ms: HashMap<QueueKey, u64>,
}

/// Upstream reserved for a queued request, or the reason why there is none.
type Assignment = Result<SentRequest, NoUpstream>;

#[derive(Debug)]
struct AssignmentSender(oneshot::Sender<Assignment>);

impl AdmissionQueue {
    /// Records that a request for weights was served.
    pub fn record_served(&mut self, weights: &Weights, now_ms: u64) {
        match self.last_served_ms.get_mut(weights) {
            Some(at_ms) => *at_ms = now_ms,
            None => {
                self.last_served_ms.insert(weights.clone(), now_ms);
            }
        }
    }

    /// True if no request for weights was served within the starvation threshold.
    fn is_starved(&self, weights: &Weights, now_ms: u64) -> bool {
        let last_served_ms = self.last_served_ms.get(weights).copied().unwrap_or(0);
        now_ms.saturating_sub(last_served_ms) > STARVED_AFTER_MS
    }

    /// Urgency of the queued requests of a service.
    pub(super) fn urgencies(&self, now_ms: u64, service: &ServiceId) -> Vec<i64> {
        let urgency = |r: &QueuedRequest| {
            let penalty_ms = u64::from(r.priority) * PRIORITY_PENALTY_MS;
            urgency(now_ms, r.is_starved, r.due_ms, penalty_ms, r.arrived_ms)
        };
        self.queue.of_service(service).map(urgency).collect()
    }

    /// Counts the time that a caller states for a request of a route, and returns how long
    /// ago it first sent the request.
    pub(super) fn record_stated_time(
        &mut self,
        now_ms: u64,
        route: &Route,
        stated: Option<Duration>,
    ) -> u64 {
        let stated_ms = stated.map(|time| time.as_millis() as u64);
        let timeout_ms = route.timeout.as_millis() as u64;
        self.stated_times
            .record(now_ms, &route.name, stated_ms, timeout_ms)
    }

    /// Number of queued requests.
    pub fn queued_count(&self) -> usize {
        self.queue.len()
    }

    /// True if a request for a service is queued.
    pub fn has_queued_for(&self, service: &ServiceId) -> bool {
        self.queue.has_queued_for(service)
    }

    /// Lets all queued requests expire at a time at the latest, since this host stops.
    pub fn close_at(&mut self, at_ms: u64) {
        self.queue.close_at(at_ms);
        self.wake();
    }

    /// Notification that queued requests may find capacity.
    pub(super) fn wake_signal(&self) -> Rc<Notify> {
        Rc::clone(&self.wake)
    }

    /// Earliest time at which a queued request expires.
    pub(super) fn next_expiry_ms(&self) -> Option<u64> {
        self.queue.next_expiry_ms()
    }

    /// Wakes the dispatcher of the queue if a request is queued.
    pub fn wake(&self) {
        if !self.queue.is_empty() {
            self.wake.notify_one();
        }
    }
}

/// Attempt in flight at an upstream; counted in its load until dropped.
#[derive(Debug)]
pub struct InFlightAttempt<P: Platform> {
    gateway: Rc<Gateway<P>>,
    /// Record of the attempt in the upstream's load.
    pub sent: SentRequest,
    outcome: AttemptOutcome,
    /// Place at a brittle upstream.
    pub(super) place: Option<Place<P>>,
    /// Place at a plain upstream that the fleet shares.
    pub(super) shared_place: Option<SharedPlace<P>>,
}

impl<P: Platform> InFlightAttempt<P> {
    fn new(gateway: &Rc<Gateway<P>>, sent: SentRequest) -> Self {
        gateway.metrics.requests_in_flight.inc();
        Self {
            gateway: Rc::clone(gateway),
            sent,
            outcome: AttemptOutcome::Neutral,
            place: None,
            shared_place: None,
        }
    }

    /// Records the head of the response, or the first event of a stream.
    pub fn record_first_response(&mut self) {
        let now_ms = self.gateway.now_ms();
        let mut loads = self.gateway.loads.borrow_mut();
        loads.on_first_response(now_ms, &mut self.sent);
        drop(loads);
        // The end of this prefill frees capacity for the next prompt.
        self.gateway.admission_queue.borrow().wake();
    }

    /// Records that the upstream sent further data.
    pub fn record_activity(&self) {
        let now_ms = self.gateway.now_ms();
        let mut loads = self.gateway.loads.borrow_mut();
        loads.on_activity(now_ms, self.sent.upstream.as_str());
    }

    /// Ends the attempt and counts its result in the upstream's health.
    pub fn finish(mut self, outcome: AttemptOutcome) {
        self.outcome = outcome;
    }
}

impl<P: Platform> Drop for InFlightAttempt<P> {
    fn drop(&mut self) {
        let now_ms = self.gateway.now_ms();
        let mut loads = self.gateway.loads.borrow_mut();
        loads.on_end(now_ms, &self.sent, self.outcome);
        drop(loads);
        self.gateway.metrics.requests_in_flight.dec();
        self.gateway.admission_queue.borrow().wake();
    }
}

/// Rejection of a request for which no upstream was available.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Rejection {
    /// Reason.
    pub reason: &'static str,
    /// Time after which the caller may retry.
    pub retry_after_ms: u64,
}

/// Removes a queued request whose task ends early and releases its reservation.
struct QueueGuard<P: Platform> {
    gateway: Rc<Gateway<P>>,
    ticket: u64,
    assignment: Option<oneshot::Receiver<Assignment>>,
}

impl<P: Platform> Drop for QueueGuard<P> {
    fn drop(&mut self) {
        let Some(mut assignment) = self.assignment.take() else {
            return;
        };
        let mut admission = self.gateway.admission_queue.borrow_mut();
        if admission.assignment_senders.remove(&self.ticket).is_some() {
            admission.queue.remove(self.ticket);
        }
        drop(admission);
        if let Ok(Ok(sent)) = assignment.try_recv() {
            let now_ms = self.gateway.now_ms();
            let mut loads = self.gateway.loads.borrow_mut();
            loads.on_end(now_ms, &sent, AttemptOutcome::Neutral);
        }
    }
}

impl<P: Platform> Gateway<P> {
    /// Reserves an upstream for a request, at once or after a wait in the queue. In a
    /// large fleet the account of the engine is asked whether there is room, and every
    /// request to an upstream that states a rate needs a permit, to a brittle one or a shared
    /// one a place.
    pub async fn acquire_upstream(
        self: &Rc<Self>,
        request: &RoutedRequest,
        filter: &UpstreamFilter,
    ) -> Result<InFlightAttempt<P>, Rejection> {
        self.prepare_shared_places(&request.requirements);
        let mut check = 0;
        while check <= MAX_ROOM_CHECKS {
            let mut in_flight = self.reserve_or_wait(request, filter).await?;
            let upstream = &in_flight.sent.upstream;
            if request.time_left(self.now_ms()).is_zero() {
                return Err(self.reject_late(request));
            }
            // The account is advice: the last choice is sent by what this host knows.
            let has_room = check == MAX_ROOM_CHECKS || self.has_room(request, upstream).await;
            let may_send = has_room
                && self.take_permit(upstream, Purpose::Caller).await
                && self.take_place(&mut in_flight).await;
            if may_send && request.time_left(self.now_ms()).is_zero() {
                return Err(self.reject_late(request));
            }
            if !may_send {
                check += 1;
            } else if self.take_shared_place(request, &mut in_flight).await {
                // The request may have been put into quarantine while it waited.
                return self.hold_back(request).map_or(Ok(in_flight), Err);
            }
        }
        let queue_key = QueueKey::of(&request.requirements);
        Err(self.reject_expired(request, filter, &queue_key, NoUpstream::Closed))
    }

    /// Reserves an upstream for a second attempt if one can take it now.
    pub(super) async fn acquire_without_wait(
        self: &Rc<Self>,
        request: &RoutedRequest,
        filter: &UpstreamFilter,
    ) -> Option<InFlightAttempt<P>> {
        let reserved = self.reserve(self.now_ms(), &request.requirements, filter);
        let mut in_flight = InFlightAttempt::new(self, reserved.ok()?);
        let upstream = &in_flight.sent.upstream;
        let may_send = self.has_room(request, upstream).await
            && self.take_permit(upstream, Purpose::Caller).await
            && self.take_place(&mut in_flight).await
            && self.hold_back(request).is_none();
        may_send.then_some(in_flight)
    }

    /// Reserves an upstream by what this host knows, at once or after a wait in the
    /// queue.
    async fn reserve_or_wait(
        self: &Rc<Self>,
        request: &RoutedRequest,
        filter: &UpstreamFilter,
    ) -> Result<InFlightAttempt<P>, Rejection> {
        let now_ms = self.now_ms();
        let queue_key = QueueKey::of(&request.requirements);
        let due_ms = self.due_ms(request);
        let weights = request.requirements.weights.as_ref();
        let goes_on = filter.software.is_some();
        let mut order = order_input(request, due_ms);
        let ahead = {
            let admission = self.admission_queue.borrow();
            order.is_starved = goes_on || weights.is_some_and(|w| admission.is_starved(w, now_ms));
            if order.is_starved {
                0
            } else {
                admission.queue.count_ahead(now_ms, order)
            }
        };
        let is_starved = order.is_starved;
        let found = if ahead > 0 {
            Err(NoUpstream::Full)
        } else {
            self.reserve(now_ms, &request.requirements, filter)
        };
        let reason = match found {
            Ok(sent) => {
                let mut admission = self.admission_queue.borrow_mut();
                admission.queue.record_dispatch(now_ms, &queue_key);
                admission
                    .queue
                    .record_if_late_return(now_ms, &queue_key, order);
                return Ok(InFlightAttempt::new(self, sent));
            }
            Err(reason) => reason,
        };
        let capacity = self.forecast_capacity(request, filter);
        let forecast = WaitForecast {
            reason,
            wait_ms: self.predicted_wait_ms(request, &queue_key, reason, capacity, ahead),
        };
        let expires_ms = match filter.go_on_by_ms {
            Some(by_ms) => by_ms.min(request.deadline_ms),
            None => Self::expiry_ms(request, reason, due_ms, is_starved),
        };
        let (queued, expires_ms) = {
            let admission = self.admission_queue.borrow();
            (admission.queue.len(), admission.queue.expiry_ms(expires_ms))
        };
        let useful_ms = expires_ms.saturating_sub(now_ms);
        if admit(queued, forecast, useful_ms) == QueueDecision::Reject {
            let rejection = self.reject(request, &queue_key, forecast, capacity);
            tracing::info!(
                event = "turned_away",
                request = request.request_id,
                reason = reason.as_str(),
                outlook_ms = forecast.wait_ms,
                useful_ms,
                ahead,
                returned = request.is_return(),
                waiting = queued,
                copies = self.copy_count(request),
                retry_after_ms = rejection.retry_after_ms,
            );
            return Err(rejection);
        }
        let queued_request = QueuedRequest {
            ticket: 0,
            requirements: request.requirements.clone(),
            filter: filter.clone(),
            organisation: request.organisation.as_ref().map(|o| o.id.clone()),
            priority: request.priority,
            arrived_ms: request.arrived_ms,
            first_arrived_ms: request.first_arrived_ms,
            due_ms,
            expires_ms,
            is_starved,
            reason,
        };
        self.wait_in_queue(request, &queue_key, queued_request)
            .await
    }

    /// Number of upstreams on which the requested model is resident.
    fn copy_count(&self, request: &RoutedRequest) -> usize {
        let registry = self.registry.borrow();
        let entries = registry.of_service(&request.requirements.service);
        let weights = request.requirements.weights.as_ref();
        let has_copy =
            |e: &&Entry| !e.is_draining && weights.is_none_or(|w| e.has_ready(&w.model, None));
        entries.filter(has_copy).count()
    }

    /// Latest dispatch time with which the response is likely to meet the latency
    /// objective.
    pub(super) fn due_ms(&self, request: &RoutedRequest) -> u64 {
        let response_ms = self.expected_first_response_ms(request);
        let objective_ms = request.objective.as_millis() as u64;
        request.first_arrived_ms + objective_ms.saturating_sub(response_ms)
    }

    /// Mean time from dispatch to the first response at the service's upstreams; 0
    /// before the first sample.
    fn expected_first_response_ms(&self, request: &RoutedRequest) -> u64 {
        let loads = self.loads.borrow();
        let registry = self.registry.borrow();
        let entries = registry.of_service(&request.requirements.service);
        let first_response_times = entries
            .filter_map(|e| loads.get(e.id.as_str()))
            .map(Load::first_response_ms)
            .filter(|ms| *ms > 0.0);
        let (sum_ms, count) =
            first_response_times.fold((0.0, 0_u32), |(sum, n), ms| (sum + ms, n + 1));
        if count == 0 {
            0
        } else {
            (sum_ms / f64::from(count)) as u64
        }
    }

    fn expiry_ms(
        request: &RoutedRequest,
        reason: NoUpstream,
        due_ms: u64,
        is_starved: bool,
    ) -> u64 {
        let max_queue_ms = request.caller_timeout.as_millis() as f64 * QUEUE_TIME_SHARE;
        let latest_ms = (request.arrived_ms + max_queue_ms as u64).min(request.deadline_ms);
        match reason {
            NoUpstream::NoModel | NoUpstream::NoAdapter => latest_ms,
            // A caller that returns is not refused again while its response is of use.
            _ if is_starved || request.is_return() => latest_ms,
            _ => due_ms.max(request.arrived_ms + 1).min(latest_ms),
        }
    }

    fn predicted_wait_ms(
        &self,
        request: &RoutedRequest,
        queue_key: &QueueKey,
        reason: NoUpstream,
        capacity: Option<CapacityForecast>,
        ahead: usize,
    ) -> u64 {
        match reason {
            NoUpstream::NoModel => self.load_wait_ms(request, queue_key),
            NoUpstream::NoAdapter => ADAPTER_WAIT_MS,
            NoUpstream::NoneListed | NoUpstream::NoSoftware | NoUpstream::AllTried => {
                NONE_LISTED_WAIT_MS
            }
            NoUpstream::Full | NoUpstream::Failing | NoUpstream::Closed => {
                let Some(capacity) = capacity else {
                    return NONE_LISTED_WAIT_MS;
                };
                let admission = self.admission_queue.borrow();
                let now_ms = self.now_ms();
                // The requests of all hosts in front of shared upstreams form one queue.
                let hosts = if self.shares_places(&request.requirements) {
                    1
                } else {
                    self.host_count()
                };
                admission
                    .queue
                    .predicted_wait_ms(now_ms, queue_key, ahead, capacity, hosts)
            }
        }
    }

    fn forecast_capacity(
        &self,
        request: &RoutedRequest,
        filter: &UpstreamFilter,
    ) -> Option<CapacityForecast> {
        let (registry, loads) = (self.registry.borrow(), self.loads.borrow());
        forecast_capacity(
            self.now_ms(),
            &registry,
            &loads,
            &request.requirements,
            filter,
        )
    }

    /// Predicted time until the first copy of a model is ready.
    fn load_wait_ms(&self, request: &RoutedRequest, queue_key: &QueueKey) -> u64 {
        let now_ms = self.now_ms();
        let ready_at_ms = self
            .admission_queue
            .borrow()
            .ready_at_ms
            .get(queue_key)
            .copied();
        if let Some(ready_at_ms) = ready_at_ms.filter(|at| *at > now_ms) {
            return ready_at_ms - now_ms;
        }
        let Some(weights) = &request.requirements.weights else {
            return NONE_LISTED_WAIT_MS;
        };
        let registry = self.registry.borrow();
        let load_time = request
            .model_spec
            .as_ref()
            .map(|spec| fastest_load_time(&registry, request, weights, spec));
        ORDER_WAIT_MS + load_time.map_or(NONE_LISTED_WAIT_MS, |l| l.as_millis() as u64)
    }

    /// Chooses an upstream and counts the request in its load.
    fn reserve(
        &self,
        now_ms: u64,
        requirements: &Requirements,
        filter: &UpstreamFilter,
    ) -> Result<SentRequest, NoUpstream> {
        let settings = self.settings();
        let mut loads = self.loads.borrow_mut();
        let upstream = select_upstream(
            now_ms,
            &self.registry.borrow(),
            &loads,
            &settings.zone,
            requirements,
            filter,
            &mut self.rng.borrow_mut(),
        )?;
        Ok(loads.on_sent(now_ms, &upstream, requirements.size))
    }

    async fn wait_in_queue(
        self: &Rc<Self>,
        request: &RoutedRequest,
        queue_key: &QueueKey,
        mut queued_request: QueuedRequest,
    ) -> Result<InFlightAttempt<P>, Rejection> {
        let (sender, receiver) = oneshot::channel();
        let filter = queued_request.filter.clone();
        let started_ms = self.now_ms();
        let ticket = {
            let mut admission = self.admission_queue.borrow_mut();
            admission.last_ticket += 1;
            queued_request.ticket = admission.last_ticket;
            let ticket = queued_request.ticket;
            admission
                .assignment_senders
                .insert(ticket, AssignmentSender(sender));
            admission.queue.push(queued_request);
            admission.wake.notify_one();
            ticket
        };
        if let Some(weights) = &request.requirements.weights {
            self.request_weights(&request.requirements.service, weights);
        } else {
            self.report_waiting(&request.requirements.service);
        }
        let mut guard = QueueGuard {
            gateway: Rc::clone(self),
            ticket,
            assignment: Some(receiver),
        };
        let assignment = match guard.assignment.as_mut() {
            Some(receiver) => receiver.await,
            None => return Err(self.reject_expired(request, &filter, queue_key, NoUpstream::Full)),
        };
        guard.assignment = None;
        let waited_ms = self.now_ms().saturating_sub(started_ms);
        self.metrics.queue_time_s.observe(waited_ms as f64 / 1000.0);
        match assignment {
            Ok(Ok(sent)) => Ok(InFlightAttempt::new(self, sent)),
            Ok(Err(reason)) => Err(self.reject_expired(request, &filter, queue_key, reason)),
            // The dispatcher never drops a sender without an assignment.
            Err(_) => Err(self.reject_expired(request, &filter, queue_key, NoUpstream::Full)),
        }
    }

    fn reject_expired(
        &self,
        request: &RoutedRequest,
        filter: &UpstreamFilter,
        queue_key: &QueueKey,
        reason: NoUpstream,
    ) -> Rejection {
        let ahead = {
            let order = order_input(request, self.due_ms(request));
            let admission = self.admission_queue.borrow();
            admission.queue.count_ahead(self.now_ms(), order)
        };
        let capacity = self.forecast_capacity(request, filter);
        let wait_ms = self.predicted_wait_ms(request, queue_key, reason, capacity, ahead);
        self.reject(
            request,
            queue_key,
            WaitForecast { reason, wait_ms },
            capacity,
        )
    }

    /// Rejects a request whose deadline has passed while it waited here. An attempt would
    /// end without a response, and with it the certainty that the request has not run.
    fn reject_late(&self, request: &RoutedRequest) -> Rejection {
        self.metrics.requests_past_deadline.inc();
        tracing::info!(
            event = "turned_away",
            request = request.request_id,
            reason = PAST_DEADLINE,
            late_ms = self.now_ms().saturating_sub(request.deadline_ms),
            retry_after_ms = MIN_RETRY_AFTER_MS,
        );
        Rejection {
            reason: PAST_DEADLINE,
            retry_after_ms: MIN_RETRY_AFTER_MS,
        }
    }

    /// Rejects a request and assigns its retry delay.
    fn reject(
        &self,
        request: &RoutedRequest,
        queue_key: &QueueKey,
        forecast: WaitForecast,
        capacity: Option<CapacityForecast>,
    ) -> Rejection {
        let now_ms = self.now_ms();
        let capacity = capacity.unwrap_or_default();
        if request.is_return() {
            self.metrics.returns_refused.inc();
        }
        let retry_interval_factor = if self.settings().waiting.returning_first {
            RETURNING_INTERVAL_FACTOR
        } else {
            1.0
        };
        let mut admission = self.admission_queue.borrow_mut();
        let ready_at_ms = admission.ready_at_ms.get(queue_key).copied().unwrap_or(0);
        let input = RetryInput {
            wait_ms: forecast.wait_ms,
            copy_ready_in_ms: ready_at_ms.saturating_sub(now_ms),
            dispatch_interval_ms: capacity.dispatch_interval_ms
                * self.host_count() as f64
                * retry_interval_factor,
            max_delay_ms: (request.time_left(now_ms).as_millis() as f64 * MAX_RETRY_AFTER_SHARE)
                as u64,
        };
        let mut rng = self.rng.borrow_mut();
        Rejection {
            reason: forecast.reason.as_str(),
            retry_after_ms: admission
                .retry_schedule
                .assign(now_ms, queue_key, input, &mut rng),
        }
    }

    /// Dispatches the queued requests that find capacity and rejects the expired
    /// ones.
    pub(super) fn dispatch_queued(&self) {
        let now_ms = self.now_ms();
        let mut admission = self.admission_queue.borrow_mut();
        let round = admission
            .queue
            .dispatch(now_ms, |r| self.reserve(now_ms, &r.requirements, &r.filter));
        let sent = round
            .dispatched
            .into_iter()
            .map(|(ticket, sent)| (ticket, Ok(sent)));
        let removed = round
            .removed
            .into_iter()
            .map(|(ticket, e)| (ticket, Err(e)));
        let mut assignments = Vec::new();
        for (ticket, assignment) in sent.chain(removed) {
            if let Some(AssignmentSender(sender)) = admission.assignment_senders.remove(&ticket) {
                assignments.push((sender, assignment));
            }
        }
        let queued = admission.queue.len().cast_signed() as i64;
        self.metrics.requests_waiting.set(queued);
        // Repeated, since the datagram may have been lost or the engine may not have
        // accepted orders at the time.
        for requirements in admission.queue.awaiting_weights() {
            if let Some(weights) = &requirements.weights {
                self.request_weights(&requirements.service, weights);
            }
        }
        drop(admission);
        for (sender, assignment) in assignments {
            // A task that ends early removes its sender from the map first, so that
            // this send does not fail.
            if let Err(Ok(sent)) = sender.send(assignment) {
                let mut loads = self.loads.borrow_mut();
                loads.on_end(now_ms, &sent, AttemptOutcome::Neutral);
            }
        }
    }
}

fn order_input(request: &RoutedRequest, due_ms: u64) -> OrderInput<'_> {
    OrderInput {
        requirements: &request.requirements,
        priority: request.priority,
        arrived_ms: request.arrived_ms,
        first_arrived_ms: request.first_arrived_ms,
        due_ms,
        is_starved: false,
    }
}

/// Shortest time in which an upstream of the service can load a model.
fn fastest_load_time(
    registry: &Registry,
    request: &RoutedRequest,
    weights: &Weights,
    spec: &ModelSpec,
) -> Duration {
    let entries = registry.of_service(&request.requirements.service);
    let sources = entries
        .filter(|e| !e.is_draining)
        .map(|e| e.source_of(&weights.model));
    spec.load_time(sources.min().unwrap_or(WeightSource::Store))
}
