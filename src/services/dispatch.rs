//! Sends one request to upstreams until one answers.
//!
//! Whether another attempt is allowed is decided by `core::retry`; this
//! service only carries the attempts out and keeps count of what is in
//! flight.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HOST, HeaderValue};
use hyper::{Method, Request, Response};
use tokio_util::sync::CancellationToken;

use super::host::Host;
use crate::core::admission::check_target;
use crate::core::fleet::{Fleet, UpstreamIx};
use crate::core::ids::{ArtifactId, TeamId, UpstreamId};
use crate::core::outcome::{Reason, Refusal};
use crate::core::retry::{Progress, may_retry};
use crate::core::routing::{NoRoute, RouteInput, route};
use crate::core::timeline::{EventKind, Subject};
use crate::edge::chat::ChatRequest;
use crate::edge::pool::{PooledBody, SendError};
use crate::kernel::Service;

/// Header that names a request at callers and upstreams.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// Header of the event-stream standard that resumes after an event.
pub const LAST_EVENT_ID_HEADER: &str = "last-event-id";
/// Most attempts for one request.
pub const MAX_ATTEMPTS: usize = 3;
/// When to come back if no upstream can take a request, in milliseconds.
const NO_ROUTE_RETRY_MS: u64 = 1_000;
/// Silence before the first byte after which an idempotent request is tried
/// elsewhere, as a multiple of its target.
const FIRST_BYTE_PATIENCE: u32 = 2;

/// Where a request may run.
#[derive(Clone, Debug)]
pub enum Destination {
    /// Any upstream with the model ready.
    Model(ArtifactId),
    /// One of the upstreams of a plain service.
    Service(Vec<UpstreamId>),
}

/// One request to dispatch.
#[derive(Clone, Debug)]
pub struct Job {
    /// Unique name.
    pub request_id: String,
    /// Team that calls.
    pub team: TeamId,
    /// Where it may run.
    pub destination: Destination,
    /// True if it may run more than once.
    pub is_idempotent: bool,
    /// Target for the first byte.
    pub target: Duration,
    /// When the caller gives up.
    pub deadline: Instant,
    /// Hash of the prompt's prefix.
    pub prefix_hash: Option<u64>,
    /// Method towards the upstream.
    pub method: Method,
    /// Path and query towards the upstream.
    pub path: String,
    /// Content type of the body.
    pub content_type: Option<HeaderValue>,
    /// Idempotency key to pass on.
    pub idempotency_key: Option<HeaderValue>,
    /// Body; a chat request names the artifact only once it is chosen.
    pub body: Bytes,
}

/// Upstream chosen for an attempt, and the version to ask it for.
#[derive(Clone, Debug)]
struct Choice {
    ix: UpstreamIx,
    artifact: Option<ArtifactId>,
}

impl Job {
    fn request(
        &self,
        upstream: &str,
        artifact: Option<&ArtifactId>,
        resume_after: Option<u64>,
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
        if let Some(id) = resume_after {
            request = request.header(LAST_EVENT_ID_HEADER, id);
        }
        request.body(Full::new(body)).ok()
    }
}

/// Request in flight at an upstream; counted until dropped.
#[derive(Debug)]
pub struct InFlight {
    host: Rc<Host>,
    /// Upstream.
    pub ix: UpstreamIx,
    started: Instant,
}

impl InFlight {
    fn new(host: &Rc<Host>, ix: UpstreamIx) -> Self {
        host.fleet.borrow_mut().on_sent(ix);
        Self {
            host: Rc::clone(host),
            ix,
            started: Instant::now(),
        }
    }

    /// Counts a failure of the upstream.
    pub fn fail(&self) {
        self.host
            .fleet
            .borrow_mut()
            .on_failure(self.host.clock.now_ms(), self.ix);
    }

    /// Counts the first byte of the answer.
    pub fn first_byte(&self) {
        let took_us = self.started.elapsed().as_micros() as u64;
        self.host
            .fleet
            .borrow_mut()
            .on_first_byte(self.host.clock.now_ms(), self.ix, took_us);
    }
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.host.fleet.borrow_mut().on_done(self.ix);
    }
}

/// Head of an upstream's answer.
#[derive(Debug)]
pub struct Answered {
    /// Keeps the upstream's count.
    pub in_flight: InFlight,
    /// Answer.
    pub response: Response<PooledBody>,
}

/// Upstreams that were tried, and how the last attempt failed.
#[derive(Debug, Default)]
pub struct Attempts {
    /// Upstreams, in order.
    pub tried: Vec<UpstreamIx>,
    /// Version that answered; a stream is resumed with no other.
    answering: Option<ArtifactId>,
    last: Option<Refusal>,
}

/// How an attempt failed.
#[derive(Clone, Copy, Debug)]
struct Failed {
    progress: Progress,
    is_fault: bool,
}

/// Service that dispatches requests.
#[derive(Debug)]
pub struct Dispatcher {
    host: Rc<Host>,
}

impl Dispatcher {
    /// Service over the shared state.
    pub fn new(host: Rc<Host>) -> Self {
        Self { host }
    }

    /// Sends a request until an upstream answers or no attempt is left.
    pub async fn dispatch(
        &self,
        job: &Job,
        attempts: &mut Attempts,
        resume_after: Option<u64>,
    ) -> Result<Answered, Refusal> {
        loop {
            let choice = self.choose(job, attempts)?;
            let ix = choice.ix;
            attempts.tried.push(ix);
            self.note_attempt(job, attempts, ix);
            let in_flight = InFlight::new(&self.host, ix);
            let failed = match self.attempt(job, attempts, &choice, resume_after).await {
                Ok(response) => {
                    attempts.answering = choice.artifact;
                    in_flight.first_byte();
                    return Ok(Answered {
                        in_flight,
                        response,
                    });
                }
                Err(failed) => failed,
            };
            if failed.is_fault {
                in_flight.fail();
            }
            drop(in_flight);
            attempts.last = Some(refusal_after(job, failed));
            self.allow_retry(job, attempts, failed.progress)?;
        }
    }

    fn choose(&self, job: &Job, attempts: &Attempts) -> Result<Choice, Refusal> {
        let fleet = self.host.fleet.borrow();
        let listed: Vec<UpstreamIx>;
        let (copies, artifact) = match &job.destination {
            Destination::Model(declared) => {
                let artifact = match &attempts.answering {
                    Some(answering) => answering,
                    None => version_to_ask(&fleet, declared),
                };
                (fleet.copies(artifact), Some(artifact.clone()))
            }
            Destination::Service(ids) => {
                listed = ids
                    .iter()
                    .filter_map(|id| fleet.position(id.as_str()))
                    .collect();
                (listed.as_slice(), None)
            }
        };
        let input = RouteInput {
            zone: &self.host.settings.zone,
            copies,
            tried: &attempts.tried,
            prefix_hash: job.prefix_hash,
        };
        let now_ms = self.host.clock.now_ms();
        let chosen = route(now_ms, &fleet, &input, &mut self.host.rng.borrow_mut());
        let ix = chosen.map_err(|e| no_route(e, attempts))?;
        let loads = self.host.loads.borrow();
        let target_ms = job.target.as_millis() as u64;
        match check_target(&loads, &job.team, fleet.get(ix), target_ms) {
            Ok(()) => Ok(Choice { ix, artifact }),
            Err(refusal) => Err(attempts.last.clone().unwrap_or(refusal)),
        }
    }

    async fn attempt(
        &self,
        job: &Job,
        attempts: &Attempts,
        choice: &Choice,
        resume_after: Option<u64>,
    ) -> Result<Response<PooledBody>, Failed> {
        let addr = self.host.fleet.borrow().get(choice.ix).listed.addr;
        let not_sent = Failed {
            progress: Progress::NotSent,
            is_fault: false,
        };
        let request = job.request(&addr.to_string(), choice.artifact.as_ref(), resume_after);
        let request = request.ok_or(not_sent)?;
        let until = patience(job, attempts);
        match compio::time::timeout_at(until, self.host.pool.send(addr, request)).await {
            Err(_) | Ok(Err(SendError::MaybeSent)) => Err(Failed {
                progress: Progress::Sent,
                is_fault: true,
            }),
            Ok(Err(SendError::NotSent)) => Err(Failed {
                progress: Progress::NotSent,
                is_fault: true,
            }),
            Ok(Ok(response)) => check_answer(job, response),
        }
    }

    fn allow_retry(
        &self,
        job: &Job,
        attempts: &Attempts,
        progress: Progress,
    ) -> Result<(), Refusal> {
        let refusal = || attempts.last.clone().unwrap_or_else(unavailable);
        let is_late = Instant::now() >= job.deadline;
        let is_allowed = may_retry(progress, job.is_idempotent, true);
        if is_late || !is_allowed || attempts.tried.len() >= MAX_ATTEMPTS {
            return Err(refusal());
        }
        if !self.spend_retry(&job.team) {
            return Err(refusal());
        }
        self.host.metrics.retries.inc();
        Ok(())
    }

    /// Counts the first attempt of a request for its team's retry budget.
    pub fn count_first_attempt(&self, team: &TeamId) {
        self.host
            .budgets
            .borrow_mut()
            .entry(team.clone())
            .or_default()
            .on_first_attempt();
    }

    /// Takes one retry from the team's budget.
    pub fn spend_retry(&self, team: &TeamId) -> bool {
        self.host
            .budgets
            .borrow_mut()
            .entry(team.clone())
            .or_default()
            .try_retry()
    }

    fn note_attempt(&self, job: &Job, attempts: &Attempts, ix: UpstreamIx) {
        let fleet = self.host.fleet.borrow();
        let upstream = fleet.get(ix);
        let copies = match &job.destination {
            Destination::Model(artifact) => fleet.copies(artifact).len(),
            Destination::Service(ids) => ids.len(),
        };
        let subject = Subject {
            request: Some(&job.request_id),
            team: Some(&job.team),
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

/// How long to wait for the first byte of this attempt.
fn patience(job: &Job, attempts: &Attempts) -> Instant {
    let is_last = attempts.tried.len() >= MAX_ATTEMPTS;
    if !job.is_idempotent || is_last {
        return job.deadline;
    }
    job.deadline
        .min(Instant::now() + job.target * FIRST_BYTE_PATIENCE)
}

/// The declared version, or another one while the declared is ready nowhere.
fn version_to_ask<'a>(fleet: &'a Fleet, declared: &'a ArtifactId) -> &'a ArtifactId {
    match fleet.copies(declared) {
        [] => fleet.other_version(declared).unwrap_or(declared),
        _ => declared,
    }
}

/// Tells an upstream's answer from its refusal to run the request.
fn check_answer(job: &Job, response: Response<PooledBody>) -> Result<Response<PooledBody>, Failed> {
    let status = response.status().as_u16();
    match job.destination {
        // An engine that answers with one of these has not begun.
        Destination::Model(_) if matches!(status, 404 | 409 | 429 | 503) => {
            return Err(Failed {
                progress: Progress::NotSent,
                is_fault: false,
            });
        }
        Destination::Model(_) if status >= 500 => {
            return Err(Failed {
                progress: Progress::Sent,
                is_fault: true,
            });
        }
        Destination::Service(_) if job.is_idempotent && status >= 502 => {
            return Err(Failed {
                progress: Progress::Sent,
                is_fault: true,
            });
        }
        _ => {}
    }
    let echoed = response.headers().get(REQUEST_ID_HEADER);
    if echoed.is_some_and(|id| id.as_bytes() != job.request_id.as_bytes()) {
        return Err(Failed {
            progress: Progress::Sent,
            is_fault: true,
        });
    }
    Ok(response)
}

fn refusal_after(job: &Job, failed: Failed) -> Refusal {
    if failed.progress == Progress::NotSent {
        return unavailable();
    }
    let refusal = if Instant::now() >= job.deadline {
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
    refusal.retry_after_ms(NO_ROUTE_RETRY_MS)
}

fn unavailable() -> Refusal {
    Refusal::not_run(
        Reason::UpstreamUnavailable,
        "no upstream can take the request now",
    )
    .retry_after_ms(NO_ROUTE_RETRY_MS)
}

fn no_route(reason: NoRoute, attempts: &Attempts) -> Refusal {
    match reason {
        NoRoute::NoCopy | NoRoute::AllTried => attempts.last.clone().unwrap_or_else(unavailable),
    }
}
