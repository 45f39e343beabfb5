//! HTTP interface for callers.
//!
//! A request passes authentication, admission, reading and parsing, the claim
//! of its idempotency key, dispatch and the response. Each step either
//! continues or ends the request with a typed refusal.

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

use super::claims::{ClaimOutcome, ClaimService, HeldClaim, fingerprint};
use super::dispatch::{
    Attempts, Destination, Dispatcher, REQUEST_ID_HEADER, UpstreamCall, UpstreamResponse,
};
use super::host::Host;
use super::metrics::RequestLabels;
use super::stream::{self, OnEnd, StreamEnd};
use crate::core::admission::AdmissionPermit;
use crate::core::ids::{TeamId, UpstreamId};
use crate::core::outcome::{Outcome, Reason, Refusal};
use crate::core::resource_account::ResourceAccount;
use crate::core::timeline::{EventKind, Subject};
use crate::edge::body::{self, ReadError, ServerResponse};
use crate::edge::body_reader::{BodyLimits, BodyReader};
use crate::edge::caller::{
    BufferedResponse, bearer_token, deadline, idempotency_key, refusal_response, set_outcome,
    sha256, unauthorized,
};
use crate::edge::chat::ChatRequest;
use crate::edge::resources::Resources;
use crate::edge::server::{Handler, serve};
use crate::kernel::Service;

/// Largest buffered response of an upstream in bytes.
pub const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Memory for the bodies of all callers' requests, and for the program itself.
const CALLER_MEMORY_BYTES: usize = 640 * 1024 * 1024;
const DRAINING_RETRY_AFTER_MS: u64 = 200;

/// Service that handles the requests of callers.
#[derive(Debug)]
pub struct CallerService {
    host: Rc<Host>,
    dispatcher: Rc<Dispatcher>,
    claims: Rc<ClaimService>,
    listener: RefCell<Option<TcpListener>>,
    last_request_number: Cell<u64>,
    body_reader: BodyReader,
}

/// Admitted request, as known before its body is read.
#[derive(Debug)]
struct RequestContext {
    request_id: String,
    team: TeamId,
    started: Instant,
    deadline: Instant,
    _admission: AdmissionGuard,
}

/// Releases the admission of a request when the request ends.
#[derive(Debug)]
struct AdmissionGuard {
    host: Rc<Host>,
    permit: AdmissionPermit,
}

impl Drop for AdmissionGuard {
    fn drop(&mut self) {
        self.host.team_loads.borrow_mut().release(&self.permit);
        self.host.metrics.in_flight.dec();
    }
}

impl CallerService {
    /// Creates the service on a bound listener.
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
            last_request_number: Cell::new(0),
            body_reader: BodyReader::new(Resources::new(ResourceAccount::of_process(
                CALLER_MEMORY_BYTES,
                usize::MAX,
            ))),
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
        let number = self.last_request_number.get() + 1;
        self.last_request_number.set(number);
        format!(
            "{}-{:x}-{number:x}",
            self.host.settings.host,
            self.host.clock.started_ms()
        )
    }

    async fn handle(&self, request: Request<Incoming>) -> ServerResponse {
        let request_id = self.next_request_id();
        let started = Instant::now();
        let mut response = match self.admit_request(&request, &request_id, started) {
            Err(refusal) => {
                body::discard(request.into_body());
                refusal_response(&refusal)
            }
            Ok(context) => self.handle_admitted(context, request).await,
        };
        if let Ok(id) = HeaderValue::from_str(&request_id) {
            response.headers_mut().insert(REQUEST_ID_HEADER, id);
        }
        response
    }

    fn admit_request(
        &self,
        request: &Request<Incoming>,
        request_id: &str,
        started: Instant,
    ) -> Result<RequestContext, Refusal> {
        let active_config = self.host.active_config.borrow();
        let token = bearer_token(request).ok_or_else(unauthorized)?;
        let (team, config) = active_config
            .team_by_credential(&sha256(token))
            .ok_or_else(unauthorized)?;
        if self.host.draining.is_cancelled() {
            return Err(Refusal::not_run(Reason::Draining, "this host is stopping")
                .retry_after_ms(DRAINING_RETRY_AFTER_MS));
        }
        let timeout = deadline(request)?.unwrap_or(self.host.settings.default_deadline);
        let mut team_loads = self.host.team_loads.borrow_mut();
        let permit = team_loads.admit(team, config.share_weight, config.max_in_flight)?;
        self.host.metrics.in_flight.inc();
        let guard = AdmissionGuard {
            host: Rc::clone(&self.host),
            permit,
        };
        Ok(RequestContext {
            request_id: request_id.to_owned(),
            team: team.clone(),
            started,
            deadline: started + timeout,
            _admission: guard,
        })
    }

    async fn handle_admitted(
        &self,
        context: RequestContext,
        request: Request<Incoming>,
    ) -> ServerResponse {
        let path = request.uri().path();
        let result = match (request.method(), path) {
            (&Method::POST, "/v1/chat/completions") => self.handle_chat(context, request).await,
            (&Method::GET, "/v1/models") => Ok(self.list_models(&context)),
            (_, p) if p.starts_with("/services/") => self.handle_service(context, request).await,
            _ => {
                body::discard(request.into_body());
                let refusal = Refusal::not_run(Reason::UnknownPath, "no such path");
                Err(Box::new((context, refusal)))
            }
        };
        result.unwrap_or_else(|failure| {
            let (context, refusal) = *failure;
            self.record_end(
                &context,
                refusal.outcome,
                refusal.reason.status(),
                Some(refusal.reason),
            );
            refusal_response(&refusal)
        })
    }

    async fn handle_chat(
        &self,
        context: RequestContext,
        request: Request<Incoming>,
    ) -> Result<ServerResponse, Box<(RequestContext, Refusal)>> {
        let (head, incoming) = request.into_parts();
        let read = self.body_reader.read(&head, incoming, self.body_limits());
        let (bytes, _reservation) = match read.await {
            Ok(body) => body,
            Err(refusal) => return Err(Box::new((context, refusal))),
        };
        let chat_call = match self.build_chat_call(&context, &bytes) {
            Ok(chat_call) => chat_call,
            Err(refusal) => return Err(Box::new((context, refusal))),
        };
        let ChatCall { call, is_streamed } = chat_call;
        self.dispatcher.count_first_attempt(&context.team);
        let mut attempts = Attempts::default();
        if is_streamed {
            return match self.dispatcher.dispatch(&call, &mut attempts, None).await {
                Ok(upstream_response) => Ok(self.relay(context, call, attempts, upstream_response)),
                Err(refusal) => Err(Box::new((context, refusal))),
            };
        }
        match self.fetch_response(&call, &mut attempts).await {
            Ok(response) => Ok(self.complete(&context, response)),
            Err(refusal) => Err(Box::new((context, refusal))),
        }
    }

    fn build_chat_call(
        &self,
        context: &RequestContext,
        bytes: &Bytes,
    ) -> Result<ChatCall, Refusal> {
        let chat = ChatRequest::parse(bytes)
            .map_err(|e| Refusal::not_run(Reason::BadRequest, e.to_string()))?;
        let active_config = self.host.active_config.borrow();
        let unknown = || {
            let message = format!("the team has no model or adapter {:?}", chat.model);
            Refusal::not_run(Reason::UnknownModel, message)
        };
        let team = active_config
            .teams()
            .get(&context.team)
            .ok_or_else(unauthorized)?;
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
            context.team.as_str(),
            chat.base_model(),
            &model.version,
        );
        let call = UpstreamCall {
            request_id: context.request_id.clone(),
            team: context.team.clone(),
            is_idempotent: true,
            target: Duration::from_millis(model.first_token_target_ms),
            deadline: context.deadline,
            prefix_hash: Some(chat.prefix_hash(&artifact)),
            method: Method::POST,
            path: "/v1/chat/completions".to_owned(),
            content_type: Some(HeaderValue::from_static("application/json")),
            idempotency_key: None,
            body: bytes.clone(),
            execution: Rc::default(),
            destination: Destination::Model(artifact),
        };
        Ok(ChatCall {
            call,
            is_streamed: chat.is_streamed,
        })
    }

    fn relay(
        &self,
        context: RequestContext,
        call: UpstreamCall,
        attempts: Attempts,
        upstream_response: UpstreamResponse,
    ) -> ServerResponse {
        let first_byte_s = context.started.elapsed().as_secs_f64();
        self.host.metrics.first_byte_s.observe(first_byte_s);
        let on_end = StreamEndRecorder {
            host: Rc::clone(&self.host),
            context,
        };
        let mut response = stream::relay(
            Rc::clone(&self.host),
            Rc::clone(&self.dispatcher),
            call,
            attempts,
            upstream_response,
            on_end,
        );
        set_outcome(&mut response, Outcome::Run);
        response
    }

    async fn handle_service(
        &self,
        context: RequestContext,
        request: Request<Incoming>,
    ) -> Result<ServerResponse, Box<(RequestContext, Refusal)>> {
        match self.execute_service(&context, request).await {
            Ok(response) => Ok(self.complete(&context, response)),
            Err(refusal) => Err(Box::new((context, refusal))),
        }
    }

    async fn execute_service(
        &self,
        context: &RequestContext,
        request: Request<Incoming>,
    ) -> Result<BufferedResponse, Refusal> {
        let parsed = idempotency_key(&request).and_then(|key| {
            let call = self.build_service_call(context, &request)?;
            Ok((key, call))
        });
        let (key, mut call) = match parsed {
            Ok(parsed) => parsed,
            Err(refusal) => {
                body::discard(request.into_body());
                return Err(refusal);
            }
        };
        let (head, incoming) = request.into_parts();
        let read = self.body_reader.read(&head, incoming, self.body_limits());
        let (bytes, _reservation) = read.await?;
        call.body = bytes;
        let Some(key) = key.filter(|_| !call.is_idempotent) else {
            return self.dispatch_service(&call).await;
        };
        let request_fingerprint = fingerprint(call.method.as_str(), &call.path, &call.body);
        call.idempotency_key = Some(key.clone());
        match self
            .claims
            .claim(&context.team, key.as_bytes(), request_fingerprint)
            .await
        {
            ClaimOutcome::Held(held) => self.dispatch_claimed(&call, held).await,
            ClaimOutcome::Replay(recorded) => Ok(BufferedResponse::replayed(recorded)),
            ClaimOutcome::Refuse(refusal) => Err(refusal),
        }
    }

    fn build_service_call(
        &self,
        context: &RequestContext,
        request: &Request<Incoming>,
    ) -> Result<UpstreamCall, Refusal> {
        let active_config = self.host.active_config.borrow();
        let rest = request.uri().path().trim_start_matches("/services/");
        let (name, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        let path = if path.is_empty() { "/" } else { path };
        let team = active_config
            .teams()
            .get(&context.team)
            .ok_or_else(unauthorized)?;
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
        Ok(UpstreamCall {
            request_id: context.request_id.clone(),
            team: context.team.clone(),
            destination: Destination::Service(
                service
                    .upstreams
                    .iter()
                    .map(|id| UpstreamId::new(id))
                    .collect(),
            ),
            is_idempotent,
            target: Duration::from_millis(service.target_ms),
            deadline: context.deadline,
            prefix_hash: None,
            method: request.method().clone(),
            path: format!("{path}{query}"),
            content_type: request.headers().get(CONTENT_TYPE).cloned(),
            idempotency_key: None,
            body: Bytes::new(),
            execution: Rc::default(),
        })
    }

    async fn dispatch_service(&self, call: &UpstreamCall) -> Result<BufferedResponse, Refusal> {
        self.dispatcher.count_first_attempt(&call.team);
        let mut attempts = Attempts::default();
        self.fetch_response(call, &mut attempts).await
    }

    async fn dispatch_claimed(
        &self,
        call: &UpstreamCall,
        held: HeldClaim,
    ) -> Result<BufferedResponse, Refusal> {
        let result = self.dispatch_service(call).await;
        match &result {
            Ok(response) => self.claims.record(held, response.to_recorded()),
            Err(refusal) if refusal.outcome == Outcome::NotRun => self.claims.withdraw(held),
            Err(_) => {}
        }
        result
    }

    /// Dispatches a call until one response has been read to its end.
    async fn fetch_response(
        &self,
        call: &UpstreamCall,
        attempts: &mut Attempts,
    ) -> Result<BufferedResponse, Refusal> {
        loop {
            let started = Instant::now();
            let upstream_response = self.dispatcher.dispatch(call, attempts, None).await?;
            self.host
                .metrics
                .first_byte_s
                .observe(started.elapsed().as_secs_f64());
            let (head, incoming) = upstream_response.response.into_parts();
            let remaining = call.deadline.saturating_duration_since(Instant::now());
            match body::read(incoming, MAX_RESPONSE_BYTES, remaining).await {
                Ok(bytes) => return Ok(BufferedResponse::new(&head, bytes)),
                Err(ReadError::TooLarge) => {
                    let message = "the upstream's answer is larger than the limit";
                    return Err(Refusal::unknown(Reason::UpstreamFailed, message));
                }
                Err(ReadError::Incomplete | ReadError::NoMemory | ReadError::Timeout) => {
                    upstream_response.in_flight.record_failure();
                }
            }
            drop(upstream_response.in_flight);
            let is_past_deadline = Instant::now() >= call.deadline;
            if is_past_deadline || !call.is_idempotent || !self.dispatcher.spend_retry(&call.team) {
                let reason = if is_past_deadline {
                    Reason::DeadlineExceeded
                } else {
                    Reason::UpstreamFailed
                };
                return Err(Refusal::unknown(reason, "the upstream's answer broke off"));
            }
        }
    }

    fn complete(&self, context: &RequestContext, response: BufferedResponse) -> ServerResponse {
        self.record_end(context, Outcome::Run, response.status, None);
        response.into_response()
    }

    fn list_models(&self, context: &RequestContext) -> ServerResponse {
        let active_config = self.host.active_config.borrow();
        let fleet = self.host.fleet.borrow();
        let data = active_config.teams().get(&context.team).map(|team| {
            let models = team.config.models.iter();
            models
                .map(|(name, model)| {
                    let artifact = crate::core::ids::ArtifactId::from_parts(
                        context.team.as_str(),
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
        self.record_end(context, Outcome::Run, 200, None);
        let mut response = body::json(
            200,
            &ModelList {
                object: "list",
                data: data.unwrap_or_default(),
            },
        );
        set_outcome(&mut response, Outcome::Run);
        response
    }

    fn record_end(
        &self,
        context: &RequestContext,
        outcome: Outcome,
        status: u16,
        reason: Option<Reason>,
    ) {
        record_request_end(&self.host, context, outcome, status, reason);
    }
}

struct ChatCall {
    call: UpstreamCall,
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

struct StreamEndRecorder {
    host: Rc<Host>,
    context: RequestContext,
}

impl OnEnd for StreamEndRecorder {
    fn on_end(self, stream_end: &StreamEnd) {
        let (outcome, reason) = match stream_end {
            StreamEnd::Complete => (Outcome::Run, None),
            StreamEnd::CallerDisconnected => (Outcome::Unknown, None),
            StreamEnd::Aborted(refusal) => (Outcome::Unknown, Some(refusal.reason)),
        };
        record_request_end(&self.host, &self.context, outcome, 200, reason);
    }
}

fn record_request_end(
    host: &Host,
    context: &RequestContext,
    outcome: Outcome,
    status: u16,
    reason: Option<Reason>,
) {
    let labels = RequestLabels {
        team: context.team.to_string(),
        outcome: outcome.as_str(),
        status,
    };
    host.metrics.requests_ended.get_or_create(&labels).inc();
    let subject = Subject {
        request: Some(&context.request_id),
        team: Some(&context.team),
        ..Subject::default()
    };
    let took_ms = context.started.elapsed().as_millis() as u64;
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
        self.0.handle(request).await
    }
}

impl Service for CallerService {
    const NAME: &'static str = "callers";

    /// Serves until the host drains, then until the last connection has ended.
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
