//! Execution of one caller's request: attempts, retries and the response.
//!
//! A request is sent to one upstream after another until one responds, within
//! the limits of its route, its deadline and the retry budget. A request that
//! may have run and must not run twice is not sent again; a request that is
//! rejected here has not run.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::FutureExt;
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Method, StatusCode};

use super::exchange::{AttemptFailure, BufferedResponse};
use super::front::Caller;
use super::hedging::{Exchange, Opening};
use super::metrics::OutcomeLabels;
use super::peer_server::Received;
use super::place::{InFlightAttempt, Rejection};
use super::platform::{Platform, RequestHead};
use super::quarantine::QUARANTINED;
use super::quotas::{QuotaCharge, QuotaRefusal};
use super::relay;
use super::state::Gateway;
use super::stream_origins::{MAX_GAP_MS, UNKNOWN_SOFTWARE};
use crate::core::balance::{Requirements, UpstreamFilter};
use crate::core::catalog::{Catalog, ModelSpec, RequestKind, Route};
use crate::core::execution::{Execution, LocalStatus, NotRunPromise};
use crate::core::ids::{ServiceId, SoftwareVersion, UpstreamId};
use crate::core::load::AttemptOutcome;
use crate::core::organisations::Organisation;
use crate::core::peer_selection::NotAccepted;
use crate::core::request_traits::{RequestContent, RequestTraits};
use crate::edge::body::{self, ServerResponse};
use crate::edge::resources::Hold;

/// Largest number of times that a request is resent after upstreams refused it
/// without running it.
const MAX_RESENDS: u32 = 3;
/// Largest number of attempts of one request that fail before a byte is sent.
const MAX_UNSENT_ATTEMPTS: u32 = 4;
/// Delay before a refused request is resent; about the time that an adapter
/// takes to load.
const RESEND_DELAY: Duration = Duration::from_millis(25);
/// Retry delay of a request that upstreams refused or that could not be
/// sent, in milliseconds.
const REFUSED_RETRY_AFTER_MS: u64 = 300;
/// Share of the remaining time that an attempt may take if a retry can follow.
const ATTEMPT_TIME_SHARE: f64 = 0.5;
/// Shortest timeout of an attempt that a retry can follow.
const MIN_ATTEMPT_TIMEOUT: Duration = Duration::from_millis(100);

/// Share of the caller's timeout for which a stream that goes on waits for evidence.
const EVIDENCE_TIME_SHARE: f64 = 0.5;

/// Share of the longest gap between the events of a stream that prefill may
/// take; the rest covers the decoding of the next event and requests of other
/// hosts that this host has not observed yet.
const PREFILL_SHARE: f64 = 0.6;

/// Request with its route and limits, ready to be sent.
#[derive(Clone, Debug)]
pub struct RoutedRequest {
    /// ID.
    pub request_id: String,
    /// Name of the route, for logs.
    pub route: String,
    /// Whether it may run more than once and whether the response is a stream.
    pub kind: RequestKind,
    /// Requirements on an upstream.
    pub requirements: Requirements,
    /// What it has in common with other requests.
    pub traits: RequestTraits,
    /// Specification of the requested model, if the service has it.
    pub model_spec: Option<ModelSpec>,
    /// Organisation of the caller, if requests need a key.
    pub organisation: Option<Rc<Organisation>>,
    /// Units that it counts as against the organisation's quota.
    pub quota_cost: u64,
    /// Credit that it has taken from the quota; given back unless an upstream may run it.
    pub quota_charge: Option<Rc<QuotaCharge>>,
    /// Priority; 0 is the highest.
    pub priority: u8,
    /// Largest number of upstreams that it is sent to.
    pub max_attempts: u32,
    /// Latency objective, from arrival to the response or the first event.
    pub objective: Duration,
    /// Time from arrival after which the caller disconnects if it has received
    /// nothing.
    pub caller_timeout: Duration,
    /// Arrival, in milliseconds since the epoch.
    pub arrived_ms: u64,
    /// Time at which its caller first sent it, if it returns after a refusal, or its arrival.
    pub first_arrived_ms: u64,
    /// End of the route's timeout or the caller's deadline, whichever is
    /// earlier, in milliseconds since the epoch.
    pub deadline_ms: u64,
    /// ID of the last event that the caller received, if it resumes a stream.
    pub last_event_id: Option<String>,
    /// ID of the caller's request that began the stream that it resumes.
    pub resumes: Option<String>,
    /// The only software version at which it may go on, if it takes up a stream.
    pub software: Option<SoftwareVersion>,
    /// Timeout of its route.
    pub route_timeout: Duration,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers as received from the caller.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Memory of its body.
    pub body_memory: Rc<Hold>,
    /// Version of the configuration that supplied the route.
    pub config_version: u64,
    /// True if it is in quarantine and is sent once to try it.
    pub is_trial: bool,
    /// Present if another host has received it from the caller.
    pub received: Option<Rc<Received>>,
    /// Whether an attempt may have run it.
    pub execution: Rc<Execution>,
}

impl RoutedRequest {
    /// True if it takes up a stream that an earlier request began.
    pub fn takes_up_stream(&self) -> bool {
        self.kind.is_stream() && self.last_event_id.is_some()
    }

    /// Records whether it may run, for its organisation's quota.
    pub(super) fn set_charged(&self, may_run: bool) {
        if let Some(charge) = &self.quota_charge {
            charge.set_sent(may_run);
        }
    }

    /// True if its caller has sent it before and returns after a refusal.
    pub fn is_return(&self) -> bool {
        self.first_arrived_ms < self.arrived_ms
    }

    /// Restriction of its first attempt.
    fn filter(&self, now_ms: u64) -> UpstreamFilter {
        let go_on_by_ms = now_ms + MAX_GAP_MS;
        UpstreamFilter {
            go_on_by_ms: self.software.as_ref().map(|_| go_on_by_ms),
            software: self.software.clone(),
            is_resumable: self.kind.is_stream() && self.kind.is_repeatable(),
            end_by_ms: self.kind.is_stream().then_some(self.deadline_ms),
            ..UpstreamFilter::default()
        }
    }

    /// Replaces the service by another one of its route.
    pub fn set_service(&mut self, catalog: &Catalog, service: &ServiceId) {
        let spec = catalog.services.get(service);
        let engine = spec.and_then(|s| s.engine.as_ref());
        let requirements = &mut self.requirements;
        requirements.service = service.clone();
        requirements.cache_tokens = engine.map_or(u64::MAX, |e| e.cache_tokens);
        requirements.max_prefill_ms = max_prefill_ms(catalog, service);
        let model = requirements.weights.as_ref().map(|w| &w.model);
        self.model_spec = model.and_then(|m| engine?.models.get(m).cloned());
    }

    /// Time until which a stream that broke off, or is taken up, at `from_ms` waits for
    /// evidence of software versions.
    pub fn evidence_by_ms(&self, from_ms: u64) -> u64 {
        let longest_ms = self.caller_timeout.mul_f64(EVIDENCE_TIME_SHARE).as_millis() as u64;
        (from_ms + longest_ms).min(self.deadline_ms)
    }

    /// Time from `now_ms` to the deadline.
    pub fn time_left(&self, now_ms: u64) -> Duration {
        Duration::from_millis(self.deadline_ms.saturating_sub(now_ms))
    }
}

/// Name of the caller for comparisons with other requests.
fn caller_name(headers: &HeaderMap, organisation: Option<&Organisation>) -> Vec<u8> {
    let host = headers.get(HOST).map_or(&[][..], |h| h.as_bytes());
    let mut name = host.to_vec();
    if let Some(organisation) = organisation {
        // Not part of a host's name.
        name.push(b'/');
        name.extend_from_slice(organisation.id.as_str().as_bytes());
    }
    name
}

/// Copies headers, which would keep the whole buffer that they were read into.
fn compacted(headers: &HeaderMap) -> HeaderMap {
    let mut compacted = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        let copy = HeaderValue::from_bytes(value.as_bytes()).unwrap_or_else(|_| value.clone());
        compacted.append(name, copy);
    }
    compacted
}

/// Longest uninterrupted prefill that the streams of a service bear.
fn max_prefill_ms(catalog: &Catalog, service: &ServiceId) -> f64 {
    let gap = catalog.min_event_gap(service);
    gap.map_or(f64::MAX, |gap| gap.as_millis() as f64 * PREFILL_SHARE)
}

/// Attempts made so far for one request.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    pub(super) filter: UpstreamFilter,
    /// Upstreams that the request was sent to.
    pub sent_to: Vec<UpstreamId>,
    /// Number of attempts that failed before a byte was sent.
    unsent: u32,
    /// Number of attempts that an upstream refused to run.
    refusals: u32,
    /// True once the request has earned credit for second attempts.
    pub(super) is_counted_for_hedges: bool,
    /// True if other hosts were asked to serve the request.
    pub(super) has_asked_peers: bool,
    /// Failure response of an upstream, forwarded if no retry follows.
    failure_response: Option<BufferedResponse>,
}

/// Outcome of a request for which no attempt succeeded.
#[derive(Clone, Debug)]
pub(super) enum FailureOutcome {
    /// No upstream has run the request.
    NotRun {
        promise: NotRunPromise,
        reason: &'static str,
        retry_after_ms: u64,
    },
    /// An upstream may have run the request.
    Unknown(&'static str),
    /// An attempt timed out, and an upstream may have run the request.
    TimedOut,
    /// The failure response of an upstream is forwarded.
    UpstreamFailure(BufferedResponse),
}

/// Decision after a failed attempt.
enum RetryDecision {
    Retry,
    Stop(FailureOutcome),
}

impl<P: Platform> Gateway<P> {
    /// Builds a request for a backend of the route, drawn by weight; `None` if
    /// the route has no backend.
    pub fn prepare_request(
        &self,
        catalog: &Catalog,
        route: &Route,
        head: RequestHead,
        parts: hyper::http::request::Parts,
        (body, body_memory): (Bytes, Hold),
        caller: Caller,
    ) -> Option<RoutedRequest> {
        let Caller {
            arrival,
            organisation,
        } = caller;
        let arrived_ms = arrival.at_ms;
        let first_arrived_ms = self.first_arrival_ms(route, &head, arrived_ms);
        let draw = self.rng.borrow_mut().next_u64();
        let service = route.backend(draw)?;
        let service_spec = catalog.services.get(service);
        let engine = service_spec.and_then(|s| s.engine.as_ref());
        let weights = head.weights.filter(|_| engine.is_some());
        let model_spec = weights
            .as_ref()
            .and_then(|w| engine?.models.get(&w.model).cloned());
        let timeout = head
            .deadline
            .map_or(route.timeout, |d| d.min(route.timeout));
        let caller = caller_name(&parts.headers, organisation.as_deref());
        let target = parts.uri.path_and_query().map_or("/", |t| t.as_str());
        let content = RequestContent {
            method: parts.method.as_str(),
            target,
            body: &body,
        };
        let traits = RequestTraits::new(&caller, content, &head.prompt_parts);
        Some(RoutedRequest {
            request_id: head.request_id,
            route: route.name.clone(),
            kind: route.kind,
            requirements: Requirements {
                service: service.clone(),
                weights,
                size: head.size,
                cache_tokens: engine.map_or(u64::MAX, |e| e.cache_tokens),
                max_prefill_ms: max_prefill_ms(catalog, service),
            },
            traits,
            model_spec,
            priority: organisation
                .as_ref()
                .and_then(|o| o.priority)
                .unwrap_or(route.priority),
            quota_cost: organisation
                .as_ref()
                .and_then(|o| o.quota)
                .map_or(0, |quota| quota.cost(head.tokens.count())),
            organisation,
            quota_charge: None,
            max_attempts: arrival
                .attempts_left
                .map_or(route.max_attempts, |left| left.min(route.max_attempts))
                .max(1),
            objective: route.objective,
            caller_timeout: route.caller_timeout,
            arrived_ms,
            first_arrived_ms,
            deadline_ms: arrived_ms + timeout.as_millis() as u64,
            last_event_id: head.last_event_id,
            resumes: head.resumes,
            software: None,
            route_timeout: route.timeout,
            target: target.to_owned(),
            method: parts.method,
            headers: compacted(&parts.headers),
            body,
            body_memory: Rc::new(body_memory),
            config_version: catalog.version,
            is_trial: false,
            received: arrival.received,
            execution: Rc::default(),
        })
    }

    /// Time at which the caller of a request first sent it, by the time that it states.
    fn first_arrival_ms(&self, route: &Route, head: &RequestHead, arrived_ms: u64) -> u64 {
        if !self.settings().waiting.returning_first {
            return arrived_ms;
        }
        let mut admission = self.admission_queue.borrow_mut();
        let ago_ms = admission.record_stated_time(arrived_ms, route, head.deadline);
        drop(admission);
        if ago_ms > 0 {
            self.metrics.requests_returned.inc();
            tracing::info!(
                event = "returned",
                request = head.request_id,
                route = route.name,
                stated_ms = head.deadline.map(|d| d.as_millis() as u64),
                first_arrived_ago_ms = ago_ms,
            );
        }
        arrived_ms.saturating_sub(ago_ms)
    }

    /// Sends a request to upstreams until one responds or no retry is allowed.
    pub async fn serve(self: &Rc<Self>, mut request: RoutedRequest) -> ServerResponse {
        let mut attempts = Attempts::default();
        match self.charge_quota(&request).await {
            Ok(charge) => request.quota_charge = charge.map(Rc::new),
            Err(refusal) => return self.respond_to_overuse(&request, &attempts, refusal),
        }
        if self.is_cut_off()
            && let Some(response) = self.serve_through_peer(&mut request, &mut attempts).await
        {
            return response;
        }
        if request.takes_up_stream() && !self.bind_to_origin(&mut request).await {
            let outcome = Self::outcome_without_response(&request, UNKNOWN_SOFTWARE);
            return self.respond_with_failure(&request, &attempts, outcome);
        }
        attempts.filter = request.filter(self.now_ms());
        if let Some(rejection) = self.check_quarantine(&mut request).await {
            let outcome = Self::outcome_without_upstream(&request, &attempts, rejection);
            return self.respond_with_failure(&request, &attempts, outcome);
        }
        self.record_first_attempt(&request.requirements.service);
        if let Some(weights) = &request.requirements.weights {
            let now_ms = self.now_ms();
            let mut demand = self.demand.borrow_mut();
            let size = request.requirements.size;
            demand.record_request(now_ms, &request.requirements.service, weights, size);
        }
        let outcome = loop {
            if self.is_cut_off()
                && let Some(response) = self.serve_through_peer(&mut request, &mut attempts).await
            {
                return response;
            }
            let acquired = futures_util::select_biased! {
                acquired = self.acquire_upstream(&request, &attempts.filter).fuse() => acquired,
                () = self.until_cut_off().fuse() => continue,
            };
            let in_flight = match acquired {
                Ok(in_flight) => in_flight,
                Err(rejection) => {
                    break Self::outcome_without_upstream(&request, &attempts, rejection);
                }
            };
            request.set_charged(true);
            let (in_flight, failure) = if request.kind.is_stream() {
                let opening = self.send_hedged(&request, &mut attempts, in_flight, &Opening);
                match opening.await {
                    (in_flight, Ok(opened)) => {
                        attempts.sent_to.push(in_flight.sent.upstream.clone());
                        return relay::start(self, request, attempts, in_flight, opened);
                    }
                    (in_flight, Err(failure)) => (in_flight, failure),
                }
            } else {
                let exchange = self.send_hedged(&request, &mut attempts, in_flight, &Exchange);
                match exchange.await {
                    (in_flight, Ok(response))
                        if response.is_failure() && self.may_repeat(&request, &attempts) =>
                    {
                        (in_flight, AttemptFailure::FailureResponse(response))
                    }
                    (in_flight, Ok(response)) => {
                        return self.forward_response(&request, &attempts, in_flight, response);
                    }
                    (in_flight, Err(failure)) => (in_flight, failure),
                }
            };
            let upstream = in_flight.sent.upstream.clone();
            self.log_failed_attempt(&request, &upstream, &failure);
            self.on_failed_attempt(&request, &in_flight.sent, &failure);
            in_flight.finish(failure.attempt_outcome());
            request.set_charged(request.execution.may_have_run());
            match self
                .handle_failure(&request, &mut attempts, &upstream, failure)
                .await
            {
                RetryDecision::Retry => {}
                RetryDecision::Stop(outcome) => break outcome,
            }
        };
        self.respond_without_upstream(request, attempts, outcome)
            .await
    }

    /// Responds to a request that no upstream has answered. If upstreams were not reached,
    /// it is left to another host, or back to the one that has sent it here.
    async fn respond_without_upstream(
        self: &Rc<Self>,
        mut request: RoutedRequest,
        mut attempts: Attempts,
        outcome: FailureOutcome,
    ) -> ServerResponse {
        let is_unreached = matches!(outcome, FailureOutcome::NotRun { .. })
            && attempts.unsent > 0
            && self.is_cut_suspected();
        if is_unreached
            && let Some(response) = self.serve_through_peer(&mut request, &mut attempts).await
        {
            return response;
        }
        let mut response = self.respond_with_failure(&request, &attempts, outcome);
        if is_unreached && request.received.is_some() {
            response.extensions_mut().insert(NotAccepted::CutOff);
        }
        response
    }

    /// Binds a request that takes up a stream to the software version that began it; false
    /// if that is unknown.
    async fn bind_to_origin(&self, request: &mut RoutedRequest) -> bool {
        let place = self.resume_place(request).await;
        match (place, self.catalog()) {
            (Some(place), Some(catalog)) => self.bind_to_place(&catalog, request, place),
            _ => false,
        }
    }

    fn outcome_without_upstream(
        request: &RoutedRequest,
        attempts: &Attempts,
        rejection: Rejection,
    ) -> FailureOutcome {
        if let Some(response) = &attempts.failure_response {
            return FailureOutcome::UpstreamFailure(response.clone());
        }
        match request.execution.promise() {
            Some(promise) => FailureOutcome::NotRun {
                promise,
                reason: rejection.reason,
                retry_after_ms: rejection.retry_after_ms,
            },
            None => FailureOutcome::Unknown("upstream_failed"),
        }
    }

    /// True if the request may be sent again although it may have run.
    pub(super) fn may_repeat(&self, request: &RoutedRequest, attempts: &Attempts) -> bool {
        let sent = attempts.sent_to.len() as u32 + 1;
        request.kind.is_repeatable()
            && !request.is_trial
            && sent < request.max_attempts
            && request.deadline_ms > self.now_ms()
    }

    pub(super) fn attempt_timeout(&self, request: &RoutedRequest, attempts: &Attempts) -> Duration {
        let time_left = request.time_left(self.now_ms());
        if !self.may_repeat(request, attempts) {
            return time_left;
        }
        time_left
            .mul_f64(ATTEMPT_TIME_SHARE)
            .max(MIN_ATTEMPT_TIMEOUT)
            .min(time_left)
    }

    async fn handle_failure(
        &self,
        request: &RoutedRequest,
        attempts: &mut Attempts,
        upstream: &UpstreamId,
        failure: AttemptFailure,
    ) -> RetryDecision {
        match failure {
            AttemptFailure::NotConnected
            | AttemptFailure::NotSent
            | AttemptFailure::NotSentInTime
            | AttemptFailure::NotConfirmed => {
                attempts.unsent += 1;
                attempts.filter.excluded.push(upstream.clone());
                if attempts.unsent < MAX_UNSENT_ATTEMPTS {
                    return RetryDecision::Retry;
                }
                RetryDecision::Stop(Self::final_outcome(request, attempts, "not_reached"))
            }
            AttemptFailure::NotRun { is_misdirected } => {
                self.handle_refusal(request, attempts, upstream, is_misdirected)
                    .await
            }
            AttemptFailure::Unknown
            | AttemptFailure::Unproven
            | AttemptFailure::Unverified
            | AttemptFailure::NoMemory
            | AttemptFailure::TimedOut
            | AttemptFailure::FailureResponse(_) => {
                let is_timeout = matches!(failure, AttemptFailure::TimedOut);
                let may_repeat = self.may_repeat(request, attempts);
                attempts.sent_to.push(upstream.clone());
                if let AttemptFailure::FailureResponse(response) = failure {
                    attempts.failure_response = Some(response);
                }
                if may_repeat && self.try_retry(&request.requirements.service) {
                    attempts.filter.excluded.push(upstream.clone());
                    attempts.filter.only.clear();
                    return RetryDecision::Retry;
                }
                RetryDecision::Stop(match attempts.failure_response.take() {
                    Some(response) => FailureOutcome::UpstreamFailure(response),
                    None if is_timeout => FailureOutcome::TimedOut,
                    None => FailureOutcome::Unknown("upstream_failed"),
                })
            }
        }
    }

    /// Enters an attempt that failed while another one for the same request goes on.
    pub(super) fn end_failed_attempt(
        self: &Rc<Self>,
        request: &RoutedRequest,
        attempts: &mut Attempts,
        in_flight: InFlightAttempt<P>,
        failure: &AttemptFailure,
    ) {
        let upstream = in_flight.sent.upstream.clone();
        self.log_failed_attempt(request, &upstream, failure);
        self.on_failed_attempt(request, &in_flight.sent, failure);
        in_flight.finish(failure.attempt_outcome());
        match failure {
            AttemptFailure::NotConnected
            | AttemptFailure::NotSent
            | AttemptFailure::NotSentInTime
            | AttemptFailure::NotConfirmed => attempts.unsent += 1,
            AttemptFailure::NotRun { .. } => {
                if let Some(weights) = &request.requirements.weights {
                    let mut loads = self.loads.borrow_mut();
                    loads.on_refused(self.now_ms(), &upstream, weights);
                }
                attempts.refusals += 1;
                attempts.sent_to.push(upstream.clone());
            }
            AttemptFailure::Unknown
            | AttemptFailure::Unproven
            | AttemptFailure::Unverified
            | AttemptFailure::NoMemory
            | AttemptFailure::TimedOut
            | AttemptFailure::FailureResponse(_) => {
                attempts.sent_to.push(upstream.clone());
            }
        }
        if let AttemptFailure::FailureResponse(response) = failure {
            attempts.failure_response = Some(response.clone());
        }
        attempts.filter.excluded.push(upstream);
    }

    /// Handles an upstream's refusal to run the request.
    async fn handle_refusal(
        &self,
        request: &RoutedRequest,
        attempts: &mut Attempts,
        upstream: &UpstreamId,
        is_misdirected: bool,
    ) -> RetryDecision {
        if !attempts.sent_to.contains(upstream) {
            attempts.sent_to.push(upstream.clone());
        }
        if let Some(weights) = &request.requirements.weights {
            let now_ms = self.now_ms();
            let mut loads = self.loads.borrow_mut();
            loads.on_refused(now_ms, upstream, weights);
        }
        attempts.refusals += 1;
        let is_exhausted = attempts.sent_to.len() as u32 >= request.max_attempts;
        if is_misdirected && !is_exhausted {
            attempts.filter.excluded.push(upstream.clone());
        }
        if is_exhausted {
            attempts.filter.only.clone_from(&attempts.sent_to);
        }
        let time_left = request.time_left(self.now_ms());
        let may_resend =
            attempts.refusals <= MAX_RESENDS && time_left > RESEND_DELAY * 2 && !request.is_trial;
        if !may_resend || !self.try_retry(&request.requirements.service) {
            let outcome = Self::final_outcome(request, attempts, "refused_by_upstream");
            return RetryDecision::Stop(outcome);
        }
        compio::time::sleep(RESEND_DELAY).await;
        RetryDecision::Retry
    }

    pub(super) fn final_outcome(
        request: &RoutedRequest,
        attempts: &mut Attempts,
        reason: &'static str,
    ) -> FailureOutcome {
        match attempts.failure_response.take() {
            Some(response) => FailureOutcome::UpstreamFailure(response),
            None => Self::outcome_without_response(request, reason),
        }
    }

    /// Outcome of a request to which no upstream has responded.
    fn outcome_without_response(request: &RoutedRequest, reason: &'static str) -> FailureOutcome {
        match request.execution.promise() {
            Some(promise) => FailureOutcome::NotRun {
                promise,
                reason,
                retry_after_ms: REFUSED_RETRY_AFTER_MS,
            },
            None => FailureOutcome::Unknown(reason),
        }
    }

    fn log_failed_attempt(
        &self,
        request: &RoutedRequest,
        upstream: &UpstreamId,
        failure: &AttemptFailure,
    ) {
        tracing::info!(
            event = "attempt",
            request = request.request_id,
            upstream = %upstream,
            failure = failure.as_str(),
            after_ms = self.now_ms().saturating_sub(request.arrived_ms),
            retries_left = self.retries_left(&request.requirements.service),
        );
    }

    pub(super) fn retries_left(&self, service: &ServiceId) -> u32 {
        let budgets = self.retry_budgets.borrow();
        budgets
            .get(service)
            .map_or(0, crate::core::retry::RetryBudget::available_retries)
    }

    /// Forwards a complete response to the caller.
    fn forward_response(
        &self,
        request: &RoutedRequest,
        attempts: &Attempts,
        in_flight: InFlightAttempt<P>,
        response: BufferedResponse,
    ) -> ServerResponse {
        let upstream = in_flight.sent.upstream.clone();
        // A single valid 5xx response says little about the upstream's health, but
        // a share of failures well above that of its peers does.
        let attempt_outcome = if response.status >= 500 {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Succeeded
        };
        in_flight.finish(attempt_outcome);
        let outcome = if response.is_failure() {
            "failed"
        } else {
            self.record_sound(&request.traits, self.now_ms());
            "served"
        };
        self.log_outcome(
            request,
            attempts,
            outcome,
            "answered",
            response.status,
            Some(&upstream),
        );
        response.into_response()
    }

    pub(super) fn respond_with_failure(
        &self,
        request: &RoutedRequest,
        attempts: &Attempts,
        failure: FailureOutcome,
    ) -> ServerResponse {
        let (status, outcome, reason, retry_after_ms) = match failure {
            FailureOutcome::UpstreamFailure(response) => {
                self.log_outcome(
                    request,
                    attempts,
                    "failed",
                    "answered",
                    response.status,
                    None,
                );
                return response.into_response();
            }
            FailureOutcome::NotRun {
                promise,
                reason,
                retry_after_ms,
            } => {
                let status = LocalStatus::refused(503, promise);
                (status, "not_run", reason, Some(retry_after_ms))
            }
            FailureOutcome::Unknown(reason) => (LocalStatus::other(502), "unknown", reason, None),
            FailureOutcome::TimedOut => (LocalStatus::other(504), "unknown", "timed_out", None),
        };
        if outcome == "not_run" && reason != QUARANTINED && reason != UNKNOWN_SOFTWARE {
            self.request_weights_after_rejection(request);
        }
        self.log_outcome(request, attempts, outcome, reason, status.code(), None);
        self.local_response(status, reason, Some(&request.request_id), retry_after_ms)
    }

    /// Refuses a request beyond its organisation's quota, or whose quota is unknown now.
    fn respond_to_overuse(
        &self,
        request: &RoutedRequest,
        attempts: &Attempts,
        refusal: QuotaRefusal,
    ) -> ServerResponse {
        let QuotaRefusal {
            retry_after_ms,
            reason,
        } = refusal;
        let status = match request.execution.promise() {
            Some(promise) => LocalStatus::refused(refusal.status(), promise),
            None => LocalStatus::other(refusal.status()),
        };
        self.log_outcome(request, attempts, "not_run", reason, status.code(), None);
        let request_id = Some(request.request_id.as_str());
        self.local_response(status, reason, request_id, Some(retry_after_ms))
    }

    fn request_weights_after_rejection(&self, request: &RoutedRequest) {
        if let Some(weights) = &request.requirements.weights {
            self.request_weights(&request.requirements.service, weights);
        }
    }

    /// Response generated by this host, with the reason as its body.
    pub fn local_response(
        &self,
        status: LocalStatus,
        reason: &str,
        request_id: Option<&str>,
        retry_after_ms: Option<u64>,
    ) -> ServerResponse {
        let mut response = body::text(status.code(), format!("{reason}\n"));
        if StatusCode::from_u16(status.code()).is_err() {
            tracing::error!(
                event = "bug",
                status = status.code(),
                "invalid HTTP status code"
            );
        }
        if let Some(promise) = status.promise() {
            response.extensions_mut().insert(promise);
        }
        let headers = response.headers_mut();
        if let Some(request_id) = request_id {
            self.platform.set_request_id(headers, request_id);
        }
        if let Some(after_ms) = retry_after_ms {
            let after = Duration::from_millis(after_ms);
            self.platform.set_retry_after(headers, after);
        }
        response
    }

    /// Counts the outcome of a request and logs it in one line.
    pub fn log_outcome(
        &self,
        request: &RoutedRequest,
        attempts: &Attempts,
        outcome: &'static str,
        reason: &'static str,
        status: u16,
        upstream: Option<&UpstreamId>,
    ) {
        self.metrics
            .requests_ended
            .get_or_create(&OutcomeLabels { outcome, reason })
            .inc();
        let weights = request.requirements.weights.as_ref();
        tracing::info!(
            event = "request",
            request = request.request_id,
            route = request.route,
            organisation = request.organisation.as_ref().map_or("", |o| o.id.as_str()),
            service = %request.requirements.service,
            model = weights.map_or("", |w| w.model.as_str()),
            adapter = weights.and_then(|w| w.adapter.as_ref()).map_or("", |a| a.as_str()),
            outcome,
            reason,
            status,
            upstream = upstream.map_or("", UpstreamId::as_str),
            software = upstream.map_or_else(String::new, |u| self.software_of(u)),
            after = request.last_event_id.as_deref().unwrap_or(""),
            resumes = request.resumes.as_deref().unwrap_or(""),
            tried = attempts.sent_to.len(),
            total_ms = self.now_ms().saturating_sub(request.arrived_ms),
            objective_ms = request.objective.as_millis() as u64,
            config = request.config_version,
            waiting = self.admission_queue.borrow().queued_count(),
            hosts = self.host_count(),
        );
    }
}
