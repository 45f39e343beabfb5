//! Sends one request to upstreams until one of them responds.
//!
//! `core::retry` decides whether another attempt is allowed; this service
//! makes the attempts and counts the requests in flight.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, Response};
use tokio_util::sync::CancellationToken;

use super::host::Host;
use crate::core::admission::check_target;
use crate::core::execution::{Execution, NotRunEvidence};
use crate::core::fleet::{Fleet, UpstreamIndex};
use crate::core::ids::{ArtifactId, TeamId, UpstreamId};
use crate::core::outcome::{Reason, Refusal};
use crate::core::retry::{AttemptProgress, is_retry_allowed};
use crate::core::routing::{NoRoute, RouteInput, route};
use crate::core::timeline::{EventKind, Subject};
use crate::edge::chat::ChatRequest;
use crate::edge::pool::PooledBody;
use crate::kernel::Service;

/// Header with the id of a request, towards callers and upstreams.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header of the event-stream standard that resumes a stream after an event.
pub const LAST_EVENT_ID_HEADER: &str = "last-event-id";
/// Limit of attempts for one request.
pub const MAX_ATTEMPTS: usize = 3;
/// Time after which a caller may retry a request that no upstream answered, in
/// milliseconds.
const UPSTREAM_RETRY_AFTER_MS: u64 = 1_000;
/// Time to the first byte after which an idempotent request is tried at
/// another upstream, as a multiple of its target.
const FIRST_BYTE_TIMEOUT_FACTOR: u32 = 2;

/// Upstreams that may run a request.
#[derive(Clone, Debug)]
pub enum Destination {
    /// Any upstream with the model ready.
    Model(ArtifactId),
    /// One of the upstreams of a plain service.
    Service(Vec<UpstreamId>),
}

/// Request to dispatch.
#[derive(Clone, Debug)]
pub struct UpstreamCall {
    /// Unique id, the same for all attempts.
    pub request_id: String,
    /// Team of the caller.
    pub team: TeamId,
    /// Upstreams that may run it.
    pub destination: Destination,
    /// True if it may run more than once.
    pub is_idempotent: bool,
    /// Target of the time to the first byte.
    pub target: Duration,
    /// Deadline of the caller.
    pub deadline: Instant,
    /// Hash of the prompt's prefix.
    pub prefix_hash: Option<u64>,
    /// Method towards the upstream.
    pub method: Method,
    /// Path and query towards the upstream.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<HeaderValue>,
    /// Idempotency key for the upstream.
    pub idempotency_key: Option<HeaderValue>,
    /// Body; each attempt replaces the model name of a chat request.
    pub body: Bytes,
    /// Whether an attempt may have run it.
    pub execution: Rc<Execution>,
}

/// Upstream selected for an attempt, and the model version to request.
#[derive(Clone, Debug)]
struct SelectedUpstream {
    index: UpstreamIndex,
    artifact: Option<ArtifactId>,
}

impl UpstreamCall {
    fn build_request(
        &self,
        upstream: &str,
        artifact: Option<&ArtifactId>,
        last_event_id: Option<u64>,
    ) -> Option<Request<Full<Bytes>>> {
        let body = match artifact {
            Some(artifact) => ChatRequest::parse(&self.body).ok()?.rewrite_model(artifact),
            None => self.body.clone(),
        };
        let mut request = Request::builder()
            .method(self.method.clone())
            .uri(&self.path)
            .header(HOST, upstream)
            .header(REQUEST_ID_HEADER, &self.request_id);
        if let Some(content_type) = &self.content_type {
            request = request.header(CONTENT_TYPE, content_type);
        }
        if let Some(key) = &self.idempotency_key {
            request = request.header("idempotency-key", key);
        }
        if let Some(id) = last_event_id {
            request = request.header(LAST_EVENT_ID_HEADER, id);
        }
        request.body(Full::new(body)).ok()
    }
}

/// Counts a request as in flight at an upstream until dropped.
#[derive(Debug)]
pub struct InFlightGuard {
    host: Rc<Host>,
    /// Index of the upstream.
    pub index: UpstreamIndex,
    started: Instant,
}

impl InFlightGuard {
    fn new(host: &Rc<Host>, index: UpstreamIndex) -> Self {
        host.fleet.borrow_mut().on_sent(index);
        Self {
            host: Rc::clone(host),
            index,
            started: Instant::now(),
        }
    }

    /// Records a failure of the upstream.
    pub fn record_failure(&self) {
        self.host
            .fleet
            .borrow_mut()
            .on_failure(self.host.clock.now_ms(), self.index);
    }

    /// Records the first byte of the response.
    pub fn record_first_byte(&self) {
        let took_us = self.started.elapsed().as_micros() as u64;
        self.host
            .fleet
            .borrow_mut()
            .on_first_byte(self.host.clock.now_ms(), self.index, took_us);
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.host.fleet.borrow_mut().on_done(self.index);
    }
}

/// Response of an upstream whose head has arrived.
#[derive(Debug)]
pub struct UpstreamResponse {
    /// Keeps the request counted as in flight.
    pub in_flight: InFlightGuard,
    /// Response with its unread body.
    pub response: Response<PooledBody>,
}

/// Attempts made for one request.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Upstreams in the order of their attempts.
    pub tried: Vec<UpstreamIndex>,
    /// Model version that responded; a stream is resumed only with this one.
    serving_version: Option<ArtifactId>,
    last_refusal: Option<Refusal>,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug)]
struct AttemptFailure {
    progress: AttemptProgress,
    is_upstream_fault: bool,
}

/// Service that dispatches requests.
#[derive(Debug)]
pub struct Dispatcher {
    host: Rc<Host>,
}

impl Dispatcher {
    /// Creates the service on the shared state.
    pub fn new(host: Rc<Host>) -> Self {
        Self { host }
    }

    /// Sends a request until an upstream responds or no attempt is allowed.
    pub async fn dispatch(
        &self,
        call: &UpstreamCall,
        attempts: &mut Attempts,
        last_event_id: Option<u64>,
    ) -> Result<UpstreamResponse, Refusal> {
        loop {
            let selected = self.select_upstream(call, attempts)?;
            let index = selected.index;
            attempts.tried.push(index);
            self.record_attempt(call, attempts, index);
            let in_flight = InFlightGuard::new(&self.host, index);
            let failure = match self
                .send_attempt(call, attempts, &selected, last_event_id)
                .await
            {
                Ok(response) => {
                    attempts.serving_version = selected.artifact;
                    in_flight.record_first_byte();
                    return Ok(UpstreamResponse {
                        in_flight,
                        response,
                    });
                }
                Err(failure) => failure,
            };
            if failure.is_upstream_fault {
                in_flight.record_failure();
            }
            drop(in_flight);
            attempts.last_refusal = Some(failure_refusal(call));
            self.check_retry(call, attempts, failure.progress)?;
        }
    }

    fn select_upstream(
        &self,
        call: &UpstreamCall,
        attempts: &Attempts,
    ) -> Result<SelectedUpstream, Refusal> {
        let fleet = self.host.fleet.borrow();
        let upstreams: Vec<UpstreamIndex>;
        let (copies, artifact) = match &call.destination {
            Destination::Model(declared) => {
                let artifact = match &attempts.serving_version {
                    Some(serving_version) => serving_version,
                    None => select_version(&fleet, declared),
                };
                (fleet.copies(artifact), Some(artifact.clone()))
            }
            Destination::Service(ids) => {
                upstreams = ids
                    .iter()
                    .filter_map(|id| fleet.position(id.as_str()))
                    .collect();
                (upstreams.as_slice(), None)
            }
        };
        let input = RouteInput {
            zone: &self.host.settings.zone,
            copies,
            tried: &attempts.tried,
            prefix_hash: call.prefix_hash,
        };
        let now_ms = self.host.clock.now_ms();
        let routed = route(now_ms, &fleet, &input, &mut self.host.rng.borrow_mut());
        let index = routed.map_err(|e| route_refusal(e, call, attempts))?;
        let team_loads = self.host.team_loads.borrow();
        let target_ms = call.target.as_millis() as u64;
        match check_target(&team_loads, &call.team, fleet.get(index), target_ms) {
            Ok(()) => Ok(SelectedUpstream { index, artifact }),
            Err(_) if call.execution.may_have_run() => Err(failure_refusal(call)),
            Err(refusal) => Err(attempts.last_refusal.clone().unwrap_or(refusal)),
        }
    }

    async fn send_attempt(
        &self,
        call: &UpstreamCall,
        attempts: &Attempts,
        selected: &SelectedUpstream,
        last_event_id: Option<u64>,
    ) -> Result<Response<PooledBody>, AttemptFailure> {
        let addr = self.host.fleet.borrow().get(selected.index).listed.addr;
        let not_sent = AttemptFailure {
            progress: AttemptProgress::NotSent,
            is_upstream_fault: false,
        };
        let request =
            call.build_request(&addr.to_string(), selected.artifact.as_ref(), last_event_id);
        let request = request.ok_or(not_sent)?;
        let expires_at = first_byte_deadline(call, attempts);
        let attempt = call.execution.begin_attempt();
        let sending = self.host.pool.send(addr, request);
        let (evidence, is_refusal) = match compio::time::timeout_at(expires_at, sending).await {
            Ok(Ok(response)) => match check_response(call, response) {
                Ok(response) => return Ok(response),
                Err(evidence) => (evidence, evidence.is_some()),
            },
            Ok(Err(error)) => (error.not_run_evidence(), false),
            Err(_) => (None, false),
        };
        let progress = match evidence {
            Some(evidence) => {
                attempt.settle(evidence);
                AttemptProgress::NotSent
            }
            None => AttemptProgress::Sent,
        };
        Err(AttemptFailure {
            progress,
            is_upstream_fault: !is_refusal,
        })
    }

    fn check_retry(
        &self,
        call: &UpstreamCall,
        attempts: &Attempts,
        progress: AttemptProgress,
    ) -> Result<(), Refusal> {
        let refusal = || {
            attempts
                .last_refusal
                .clone()
                .unwrap_or_else(|| failure_refusal(call))
        };
        let is_past_deadline = Instant::now() >= call.deadline;
        let is_allowed = is_retry_allowed(progress, call.is_idempotent, true);
        if is_past_deadline || !is_allowed || attempts.tried.len() >= MAX_ATTEMPTS {
            return Err(refusal());
        }
        if !self.spend_retry(&call.team) {
            return Err(refusal());
        }
        self.host.metrics.retries.inc();
        Ok(())
    }

    /// Credits the team's retry budget with the first attempt of a request.
    pub fn count_first_attempt(&self, team: &TeamId) {
        self.host
            .retry_budgets
            .borrow_mut()
            .entry(team.clone())
            .or_default()
            .on_first_attempt();
    }

    /// Takes one retry from the team's budget; false if the budget is spent.
    pub fn spend_retry(&self, team: &TeamId) -> bool {
        self.host
            .retry_budgets
            .borrow_mut()
            .entry(team.clone())
            .or_default()
            .try_retry()
    }

    fn record_attempt(&self, call: &UpstreamCall, attempts: &Attempts, index: UpstreamIndex) {
        let fleet = self.host.fleet.borrow();
        let upstream = fleet.get(index);
        let copies = match &call.destination {
            Destination::Model(artifact) => fleet.copies(artifact).len(),
            Destination::Service(ids) => ids.len(),
        };
        let subject = Subject {
            request: Some(&call.request_id),
            team: Some(&call.team),
            upstream: Some(&upstream.listed.id),
        };
        let kind = EventKind::Attempt {
            attempt: attempts.tried.len() as u32,
            load_permille: upstream.load_permille(),
            copies,
        };
        self.host.record(subject, kind);
    }
}

impl Service for Dispatcher {
    const NAME: &'static str = "dispatcher";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        cancel.cancelled().await;
    }
}

/// Time by which the head of this attempt's response must arrive.
fn first_byte_deadline(call: &UpstreamCall, attempts: &Attempts) -> Instant {
    let is_last = attempts.tried.len() >= MAX_ATTEMPTS;
    if !call.is_idempotent || is_last {
        return call.deadline;
    }
    call.deadline
        .min(Instant::now() + call.target * FIRST_BYTE_TIMEOUT_FACTOR)
}

/// Returns the declared version, or another one while no upstream has the
/// declared one ready.
fn select_version<'a>(fleet: &'a Fleet, declared: &'a ArtifactId) -> &'a ArtifactId {
    match fleet.copies(declared) {
        [] => fleet.other_version(declared).unwrap_or(declared),
        _ => declared,
    }
}

/// Separates responses from refusals, with evidence that the request has not run, and from
/// failures and responses to other requests, without.
fn check_response(
    call: &UpstreamCall,
    response: Response<PooledBody>,
) -> Result<Response<PooledBody>, Option<NotRunEvidence>> {
    let status = response.status().as_u16();
    let echoed = response.headers().get(REQUEST_ID_HEADER);
    let is_engine = matches!(call.destination, Destination::Model(_));
    if echoed.is_some_and(|id| id.as_bytes() != call.request_id.as_bytes()) {
        response.into_body().close();
        return Err(None);
    }
    // An engine that responds with one of these statuses has not started the request that
    // it names.
    if is_engine && matches!(status, 404 | 409 | 429 | 503) {
        let stated = echoed.and_then(|id| id.to_str().ok());
        let evidence = NotRunEvidence::stated(stated, &call.request_id);
        if evidence.is_none() {
            response.into_body().close();
        }
        return Err(evidence);
    }
    let is_failure = if is_engine {
        status >= 500
    } else {
        call.is_idempotent && status >= 502
    };
    if is_failure { Err(None) } else { Ok(response) }
}

/// Refusal of a call to which no upstream has responded; says that it has not run only if
/// there is evidence for each attempt.
fn failure_refusal(call: &UpstreamCall) -> Refusal {
    let refusal = if call.execution.promise().is_some() {
        Refusal::not_run(
            Reason::UpstreamUnavailable,
            "no upstream can take the request now",
        )
    } else if Instant::now() >= call.deadline {
        Refusal::unknown(
            Reason::DeadlineExceeded,
            "no upstream answered before the deadline",
        )
    } else {
        Refusal::unknown(
            Reason::UpstreamFailed,
            "the upstream broke off before it answered",
        )
    };
    refusal.retry_after_ms(UPSTREAM_RETRY_AFTER_MS)
}

fn route_refusal(reason: NoRoute, call: &UpstreamCall, attempts: &Attempts) -> Refusal {
    match reason {
        NoRoute::NoCopy | NoRoute::AllTried => attempts
            .last_refusal
            .clone()
            .filter(|_| !call.execution.may_have_run())
            .unwrap_or_else(|| failure_refusal(call)),
    }
}
