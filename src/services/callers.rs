//! The callers' HTTP interface.
//!
//! A request goes one way: credential, body, meaning, admission, claim,
//! dispatch, answer. Each step either hands on or refuses with a typed error.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpListener;
use hyper::body::Incoming;
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Method, Request};
use serde::Serialize;
use tokio_util::sync::CancellationToken;

use super::claims::{ClaimService, Claimed, Held, fingerprint};
use super::dispatch::{Answered, Attempts, Destination, Dispatcher, Job, REQUEST_ID_HEADER};
use super::host::Host;
use super::metrics::EndLabels;
use super::stream::{self, OnEnd, StreamEnd};
use crate::core::admission::Admitted;
use crate::core::ids::{TeamId, UpstreamId};
use crate::core::outcome::{Outcome, Reason, Refusal};
use crate::core::timeline::{EventKind, Subject};
use crate::edge::body::{self, ReadError, ServerResponse};
use crate::edge::body_reader::{BODY_BUDGET_BYTES, BodyLimits, BodyReader};
use crate::edge::caller::{
    BufferedResponse, bearer_token, deadline, idempotency_key, refusal_response, set_outcome,
    sha256, unauthorized,
};
use crate::edge::chat::ChatRequest;
use crate::edge::server::{Handler, serve};
use crate::kernel::Service;

/// Largest whole answer of an upstream in bytes.
pub const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
const DRAINING_RETRY_MS: u64 = 200;

/// Service that answers callers.
#[derive(Debug)]
pub struct CallerService {
    host: Rc<Host>,
    dispatcher: Rc<Dispatcher>,
    claims: Rc<ClaimService>,
    listener: RefCell<Option<TcpListener>>,
    numbers: Cell<u64>,
    bodies: BodyReader,
}

/// Who calls, and what is known of the call before its body is read.
#[derive(Debug)]
struct Caller {
    request_id: String,
    team: TeamId,
    started: Instant,
    deadline: Instant,
    _admitted: AdmissionGuard,
}

/// Admission that is given back when the request ends.
#[derive(Debug)]
struct AdmissionGuard {
    host: Rc<Host>,
    admitted: Admitted,
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.host.loads.borrow_mut().release(&self.admitted);
        self.host.metrics.in_flight.dec();
    }
}

impl CallerService {
    /// Service on a bound listener.
    pub fn new(
        host: Rc<Host>,
        dispatcher: Rc<Dispatcher>,
        claims: Rc<ClaimService>,
        listener: TcpListener,
    ) -> Self {
        Self {
            dispatcher,
            claims,
            listener: RefCell::new(Some(listener)),
            numbers: Cell::new(0),
            bodies: BodyReader::new(BODY_BUDGET_BYTES),
            host,
        }
    }

    fn body_limits(&self) -> BodyLimits {
        BodyLimits {
            max_bytes: self.host.settings.max_body_bytes,
            timeout: self.host.settings.body_timeout,
        }
    }

    fn next_request_id(&self) -> String {
        let number = self.numbers.get() + 1;
        self.numbers.set(number);
        format!(
            "{}-{:x}-{number:x}",
            self.host.settings.host,
            self.host.clock.started_ms()
        )
    }

    async fn answer(&self, request: Request<Incoming>) -> ServerResponse {
        let request_id = self.next_request_id();
        let started = Instant::now();
        let mut answer = match self.identify(&request, &request_id, started) {
            Err(refusal) => {
                body::discard(request.into_body());
                refusal_response(&refusal)
            }
            Ok(caller) => self.answer_caller(caller, request).await,
        };
        if let Ok(id) = HeaderValue::from_str(&request_id) {
            answer.headers_mut().insert(REQUEST_ID_HEADER, id);
        }
        answer
    }

    fn identify(
        &self,
        request: &Request<Incoming>,
        request_id: &str,
        started: Instant,
    ) -> Result<Caller, Refusal> {
        let view = self.host.view.borrow();
        let token = bearer_token(request).ok_or_else(unauthorized)?;
        let (team, config) = view.team_of(&sha256(token)).ok_or_else(unauthorized)?;
        if self.host.draining.is_cancelled() {
            return Err(Refusal::not_run(Reason::Draining, "this host is stopping")
                .retry_after_ms(DRAINING_RETRY_MS));
        }
        let allowed = deadline(request)?.unwrap_or(self.host.settings.default_deadline);
        let mut loads = self.host.loads.borrow_mut();
        let admitted = loads.admit(team, config.share_weight, config.max_in_flight)?;
        self.host.metrics.in_flight.inc();
        let guard = AdmissionGuard {
            host: Rc::clone(&self.host),
            admitted,
        };
        Ok(Caller {
            request_id: request_id.to_owned(),
            team: team.clone(),
            started,
            deadline: started + allowed,
            _admitted: guard,
        })
    }

    async fn answer_caller(&self, caller: Caller, request: Request<Incoming>) -> ServerResponse {
        let path = request.uri().path();
        let result = match (request.method(), path) {
            (&Method::POST, "/v1/chat/completions") => self.chat(caller, request).await,
            (&Method::GET, "/v1/models") => Ok(self.models(&caller)),
            (_, p) if p.starts_with("/services/") => self.service(caller, request).await,
            _ => {
                body::discard(request.into_body());
                let refusal = Refusal::not_run(Reason::UnknownPath, "no such path");
                Err(Box::new((caller, refusal)))
            }
        };
        result.unwrap_or_else(|failed| {
            let (caller, refusal) = *failed;
            self.end(
                &caller,
                refusal.outcome,
                refusal.reason.status(),
                Some(refusal.reason),
            );
            refusal_response(&refusal)
        })
    }

    async fn chat(
        &self,
        caller: Caller,
        request: Request<Incoming>,
    ) -> Result<ServerResponse, Box<(Caller, Refusal)>> {
        let (head, incoming) = request.into_parts();
        let read = self
            .bodies
            .read(&head.headers, incoming, self.body_limits());
        let (bytes, _share) = match read.await {
            Ok(body) => body,
            Err(refusal) => return Err(Box::new((caller, refusal))),
        };
        let job = match self.chat_job(&caller, &bytes) {
            Ok(job) => job,
            Err(refusal) => return Err(Box::new((caller, refusal))),
        };
        let ChatJob { job, is_streamed } = job;
        self.dispatcher.count_first_attempt(&caller.team);
        let mut attempts = Attempts::default();
        if is_streamed {
            return match self.dispatcher.dispatch(&job, &mut attempts, None).await {
                Ok(answered) => Ok(self.relay(caller, job, attempts, answered)),
                Err(refusal) => Err(Box::new((caller, refusal))),
            };
        }
        match self.whole_answer(&job, &mut attempts).await {
            Ok(whole) => Ok(self.give(&caller, whole)),
            Err(refusal) => Err(Box::new((caller, refusal))),
        }
    }

    fn chat_job(&self, caller: &Caller, bytes: &Bytes) -> Result<ChatJob, Refusal> {
        let chat = ChatRequest::parse(bytes)
            .map_err(|e| Refusal::not_run(Reason::BadRequest, e.to_string()))?;
        let view = self.host.view.borrow();
        let unknown = || {
            let message = format!("the team has no model or adapter {:?}", chat.model);
            Refusal::not_run(Reason::UnknownModel, message)
        };
        let team = view.teams().get(&caller.team).ok_or_else(unauthorized)?;
        let model = team
            .config
            .models
            .get(chat.base_model())
            .ok_or_else(unknown)?;
        if chat
            .adapter()
            .is_some_and(|a| !model.adapters.contains_key(a))
        {
            return Err(unknown());
        }
        let artifact = crate::core::ids::ArtifactId::from_parts(
            caller.team.as_str(),
            chat.base_model(),
            &model.version,
        );
        let job = Job {
            request_id: caller.request_id.clone(),
            team: caller.team.clone(),
            is_idempotent: true,
            target: Duration::from_millis(model.first_token_target_ms),
            deadline: caller.deadline,
            prefix_hash: Some(chat.prefix_hash(&artifact)),
            method: Method::POST,
            path: "/v1/chat/completions".to_owned(),
            content_type: Some(HeaderValue::from_static("application/json")),
            idempotency_key: None,
            body: bytes.clone(),
            destination: Destination::Model(artifact),
        };
        Ok(ChatJob {
            job,
            is_streamed: chat.is_streamed,
        })
    }

    fn relay(
        &self,
        caller: Caller,
        job: Job,
        attempts: Attempts,
        answered: Answered,
    ) -> ServerResponse {
        let first_byte_s = caller.started.elapsed().as_secs_f64();
        self.host.metrics.first_byte_s.observe(first_byte_s);
        let on_end = EndOfStream {
            host: Rc::clone(&self.host),
            caller,
        };
        let mut answer = stream::relay(
            Rc::clone(&self.host),
            Rc::clone(&self.dispatcher),
            job,
            attempts,
            answered,
            on_end,
        );
        set_outcome(&mut answer, Outcome::Run);
        answer
    }

    async fn service(
        &self,
        caller: Caller,
        request: Request<Incoming>,
    ) -> Result<ServerResponse, Box<(Caller, Refusal)>> {
        match self.service_answer(&caller, request).await {
            Ok(whole) => Ok(self.give(&caller, whole)),
            Err(refusal) => Err(Box::new((caller, refusal))),
        }
    }

    async fn service_answer(
        &self,
        caller: &Caller,
        request: Request<Incoming>,
    ) -> Result<BufferedResponse, Refusal> {
        let parsed = idempotency_key(&request).and_then(|key| {
            let job = self.service_job(caller, &request)?;
            Ok((key, job))
        });
        let (key, mut job) = match parsed {
            Ok(parsed) => parsed,
            Err(refusal) => {
                body::discard(request.into_body());
                return Err(refusal);
            }
        };
        let (head, incoming) = request.into_parts();
        let read = self
            .bodies
            .read(&head.headers, incoming, self.body_limits());
        let (bytes, _share) = read.await?;
        job.body = bytes;
        let Some(key) = key.filter(|_| !job.is_idempotent) else {
            return self.run_service(&job).await;
        };
        let print = fingerprint(job.method.as_str(), &job.path, &job.body);
        job.idempotency_key = Some(key.clone());
        match self.claims.claim(&caller.team, key.as_bytes(), print).await {
            Claimed::Held(held) => self.run_claimed(&job, held).await,
            Claimed::Replay(recorded) => Ok(BufferedResponse::replayed(recorded)),
            Claimed::Refuse(refusal) => Err(refusal),
        }
    }

    fn service_job(&self, caller: &Caller, request: &Request<Incoming>) -> Result<Job, Refusal> {
        let view = self.host.view.borrow();
        let rest = request.uri().path().trim_start_matches("/services/");
        let (name, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        let path = if path.is_empty() { "/" } else { path };
        let team = view.teams().get(&caller.team).ok_or_else(unauthorized)?;
        let service = team.config.services.get(name).ok_or_else(|| {
            Refusal::not_run(
                Reason::UnknownModel,
                format!("the team has no service {name:?}"),
            )
        })?;
        let is_safe = request.method().is_safe();
        let is_idempotent = is_safe || service.idempotent_paths.iter().any(|p| p == path);
        let query = request
            .uri()
            .query()
            .map_or_else(String::new, |q| format!("?{q}"));
        Ok(Job {
            request_id: caller.request_id.clone(),
            team: caller.team.clone(),
            destination: Destination::Service(
                service
                    .upstreams
                    .iter()
                    .map(|id| UpstreamId::new(id))
                    .collect(),
            ),
            is_idempotent,
            target: Duration::from_millis(service.target_ms),
            deadline: caller.deadline,
            prefix_hash: None,
            method: request.method().clone(),
            path: format!("{path}{query}"),
            content_type: request.headers().get(CONTENT_TYPE).cloned(),
            idempotency_key: None,
            body: Bytes::new(),
        })
    }

    async fn run_service(&self, job: &Job) -> Result<BufferedResponse, Refusal> {
        self.dispatcher.count_first_attempt(&job.team);
        let mut attempts = Attempts::default();
        self.whole_answer(job, &mut attempts).await
    }

    async fn run_claimed(&self, job: &Job, held: Held) -> Result<BufferedResponse, Refusal> {
        let result = self.run_service(job).await;
        match &result {
            Ok(whole) => self.claims.record(held, whole.to_recorded()),
            Err(refusal) if refusal.outcome == Outcome::NotRun => self.claims.withdraw(held),
            Err(_) => {}
        }
        result
    }

    /// Dispatches until one answer was read whole.
    async fn whole_answer(
        &self,
        job: &Job,
        attempts: &mut Attempts,
    ) -> Result<BufferedResponse, Refusal> {
        loop {
            let started = Instant::now();
            let answered = self.dispatcher.dispatch(job, attempts, None).await?;
            self.host
                .metrics
                .first_byte_s
                .observe(started.elapsed().as_secs_f64());
            let (head, incoming) = answered.response.into_parts();
            let left = job.deadline.saturating_duration_since(Instant::now());
            match body::read(incoming, MAX_ANSWER_BYTES, left).await {
                Ok(bytes) => return Ok(BufferedResponse::new(&head, bytes)),
                Err(ReadError::TooLarge) => {
                    let message = "the upstream's answer is larger than the limit";
                    return Err(Refusal::unknown(Reason::UpstreamFailed, message));
                }
                Err(ReadError::Incomplete | ReadError::Timeout) => answered.in_flight.fail(),
            }
            drop(answered.in_flight);
            let is_late = Instant::now() >= job.deadline;
            if is_late || !job.is_idempotent || !self.dispatcher.spend_retry(&job.team) {
                let reason = if is_late {
                    Reason::DeadlineExceeded
                } else {
                    Reason::UpstreamFailed
                };
                return Err(Refusal::unknown(reason, "the upstream's answer broke off"));
            }
        }
    }

    fn give(&self, caller: &Caller, whole: BufferedResponse) -> ServerResponse {
        self.end(caller, Outcome::Run, whole.status, None);
        whole.into_response()
    }

    fn models(&self, caller: &Caller) -> ServerResponse {
        let view = self.host.view.borrow();
        let fleet = self.host.fleet.borrow();
        let data = view.teams().get(&caller.team).map(|team| {
            let models = team.config.models.iter();
            models
                .map(|(name, model)| {
                    let artifact = crate::core::ids::ArtifactId::from_parts(
                        caller.team.as_str(),
                        name,
                        &model.version,
                    );
                    ListedModel {
                        id: name.clone(),
                        object: "model",
                        version: model.version.clone(),
                        copies: fleet.copies(&artifact).len(),
                    }
                })
                .collect()
        });
        self.end(caller, Outcome::Run, 200, None);
        let mut answer = body::json(
            200,
            &ModelList {
                object: "list",
                data: data.unwrap_or_default(),
            },
        );
        set_outcome(&mut answer, Outcome::Run);
        answer
    }

    fn end(&self, caller: &Caller, outcome: Outcome, status: u16, reason: Option<Reason>) {
        note_end(&self.host, caller, outcome, status, reason);
    }
}

struct ChatJob {
    job: Job,
    is_streamed: bool,
}

#[derive(Serialize)]
struct ModelList {
    object: &'static str,
    data: Vec<ListedModel>,
}

#[derive(Serialize)]
struct ListedModel {
    id: String,
    object: &'static str,
    version: String,
    copies: usize,
}

struct EndOfStream {
    host: Rc<Host>,
    caller: Caller,
}

impl OnEnd for EndOfStream {
    fn on_end(self, end: &StreamEnd) {
        let (outcome, reason) = match end {
            StreamEnd::Whole => (Outcome::Run, None),
            StreamEnd::CallerGone => (Outcome::Unknown, None),
            StreamEnd::Broken(refusal) => (Outcome::Unknown, Some(refusal.reason)),
        };
        note_end(&self.host, &self.caller, outcome, 200, reason);
    }
}

fn note_end(host: &Host, caller: &Caller, outcome: Outcome, status: u16, reason: Option<Reason>) {
    let labels = EndLabels {
        team: caller.team.to_string(),
        outcome: outcome.as_str(),
        status,
    };
    host.metrics.ended.get_or_create(&labels).inc();
    let subject = Subject {
        request: Some(&caller.request_id),
        team: Some(&caller.team),
        ..Subject::default()
    };
    let took_ms = caller.started.elapsed().as_millis() as u64;
    host.record(
        subject,
        EventKind::Ended {
            outcome,
            status,
            reason,
            took_ms,
        },
    );
}

struct CallerHandler(Rc<CallerService>);

impl Handler for CallerHandler {
    async fn handle(&self, request: Request<Incoming>) -> ServerResponse {
        self.0.answer(request).await
    }
}

impl Service for CallerService {
    const NAME: &'static str = "callers";

    /// Serves until the host drains, then until the last request has ended.
    async fn run(self: Rc<Self>, _cancel: CancellationToken) {
        let Some(listener) = self.listener.take() else {
            return;
        };
        let max_connections = self.host.settings.max_connections;
        let draining = self.host.draining.clone();
        let handler = Rc::new(CallerHandler(Rc::clone(&self)));
        serve(listener, max_connections, handler, draining).await;
    }
}
