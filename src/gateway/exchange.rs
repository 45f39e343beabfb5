//! Sends one attempt to one upstream and receives the response.
//!
//! A response is valid only if it is complete and is this upstream's response to
//! this request. A connection whose response was not read to its end is closed.

use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::Full;
use hyper::header::HeaderMap;
use hyper::{Request, Response, StatusCode};

use super::call::RoutedRequest;
use super::place::InFlightAttempt;
use super::platform::{ForwardingHeaders, Platform, ResponseKind};
use super::state::Gateway;
use crate::core::execution::{Attempt, LocalStatus, NotRunEvidence, NotRunPromise, is_promise};
use crate::core::load::AttemptOutcome;
use crate::core::stream_origin::StreamOrigin;
use crate::edge::body::{ReadError, ServerResponse, hold_until_sent};
use crate::edge::pool::{PooledBody, ProcessTrace, RequestTag, SendError};
use crate::edge::response_reader::HeldBytes;

/// Largest response that is read completely before it is forwarded, in bytes.
pub(super) const MAX_BUFFERED_BYTES: usize = 1024 * 1024;

/// Why an attempt failed.
#[derive(Clone, Debug)]
pub enum AttemptFailure {
    /// No connection was established.
    NotConnected,
    /// No byte was sent.
    NotSent,
    /// The time for the attempt passed before a byte was sent.
    NotSentInTime,
    /// No byte was sent, as the upstream may no longer have the software version at which
    /// the stream goes on.
    NotConfirmed,
    /// The upstream states that it did not run the request.
    NotRun {
        /// True if the address belongs to another upstream, or the weights are not
        /// resident there.
        is_misdirected: bool,
    },
    /// The request may have run; its response is lost or invalid.
    Unknown,
    /// The request may have run: the upstream refused it without stating that it did not
    /// run this request.
    Unproven,
    /// The request may have run, perhaps at another software version than the one at which
    /// the stream goes on.
    Unverified,
    /// The request may have run; this host had no memory for its response.
    NoMemory,
    /// No response in time; the request may have run.
    TimedOut,
    /// The upstream sent a failure response.
    FailureResponse(BufferedResponse),
}

impl AttemptFailure {
    /// Name in logs.
    pub fn as_str(&self) -> &'static str {
        match self {
            Self::NotConnected => "not_connected",
            Self::NotSent => "not_sent",
            Self::NotSentInTime => "not_sent_in_time",
            Self::NotConfirmed => "not_confirmed",
            Self::NotRun {
                is_misdirected: true,
            } => "misdirected",
            Self::NotRun {
                is_misdirected: false,
            } => "refused",
            Self::Unknown => "unknown",
            Self::Unproven => "unproven",
            Self::Unverified => "unverified",
            Self::NoMemory => "no_memory",
            Self::TimedOut => "timed_out",
            Self::FailureResponse(_) => "answered",
        }
    }

    /// True if the upstream has received no byte of the request.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::NotConnected | Self::NotSent | Self::NotSentInTime | Self::NotConfirmed
        )
    }

    /// True if the upstream may have run the request.
    pub fn may_have_run(&self) -> bool {
        !self.is_unsent() && !matches!(self, Self::NotRun { .. })
    }

    /// Effect on the upstream's health.
    pub fn attempt_outcome(&self) -> AttemptOutcome {
        match self {
            Self::NotRun { .. } | Self::NotConfirmed | Self::Unverified | Self::NoMemory => {
                AttemptOutcome::Neutral
            }
            Self::NotConnected => AttemptOutcome::Unreachable,
            Self::NotSent
            | Self::NotSentInTime
            | Self::Unknown
            | Self::Unproven
            | Self::TimedOut
            | Self::FailureResponse(_) => AttemptOutcome::Failed,
        }
    }
}

/// Response that was read completely.
#[derive(Clone, Debug)]
pub struct BufferedResponse {
    /// Status.
    pub status: u16,
    pub(super) headers: HeaderMap,
    pub(super) body: HeldBytes,
}

impl BufferedResponse {
    /// True unless the status is 2xx.
    pub fn is_failure(&self) -> bool {
        !(200..300).contains(&self.status)
    }

    /// Response for the caller; without the upstream's headers if its status promises that
    /// the request was not run.
    pub fn into_response(mut self) -> ServerResponse {
        if is_promise(self.status) {
            tracing::error!(
                event = "bug",
                status = self.status,
                "promise of an upstream"
            );
            self.status = LocalStatus::other(self.status).code();
            self.headers.clear();
        }
        self.build()
    }

    /// Response for the caller whose status promises that the request was not run.
    pub fn into_refusal(self, _promise: NotRunPromise) -> ServerResponse {
        self.build()
    }

    fn build(self) -> ServerResponse {
        let HeldBytes { bytes, hold } = self.body;
        let mut response = Response::new(http_body_util::Either::Left(Full::new(bytes)));
        *response.status_mut() = StatusCode::from_u16(self.status).unwrap_or_default();
        *response.headers_mut() = self.headers;
        hold_until_sent(response, hold)
    }
}

/// Event stream whose head has arrived.
#[derive(Debug)]
pub struct OpenStream {
    /// Status.
    pub status: StatusCode,
    /// Headers for the caller.
    pub headers: HeaderMap,
    /// Beginning of the body, if it was read already.
    pub read_ahead: Bytes,
    /// Body with the events, or what follows of it.
    pub body: PooledBody,
    /// Listed incarnation of the upstream, if its software version is known; it may have
    /// restarted without this host knowing.
    pub origin: Option<StreamOrigin>,
    /// What the response shows of the process that sends it.
    pub trace: ProcessTrace,
}

impl<P: Platform> Gateway<P> {
    /// Sends a request and reads the complete response.
    pub async fn exchange(
        self: &Rc<Self>,
        request: &RoutedRequest,
        in_flight: &mut InFlightAttempt<P>,
        timeout: Duration,
    ) -> Result<BufferedResponse, AttemptFailure> {
        let started_ms = self.now_ms();
        let response = self.send(request, in_flight, timeout, None).await?;
        in_flight.record_first_response();
        let spent = Duration::from_millis(self.now_ms() - started_ms);
        let time_left = timeout.saturating_sub(spent);
        let (parts, incoming) = response.into_parts();
        let reading = self
            .response_reader
            .read(incoming, MAX_BUFFERED_BYTES, time_left);
        match reading.await {
            Ok(body) => Ok(BufferedResponse {
                status: parts.status.as_u16(),
                headers: self.platform.response_headers(&parts.headers),
                body,
            }),
            Err(ReadError::Timeout) => Err(AttemptFailure::TimedOut),
            Err(ReadError::TooLarge) => {
                self.record_over_limit(&in_flight.sent.upstream, "body");
                Err(AttemptFailure::Unknown)
            }
            Err(ReadError::NoMemory) => {
                self.record_over_limit(&in_flight.sent.upstream, "memory");
                Err(AttemptFailure::NoMemory)
            }
            Err(ReadError::Incomplete) => Err(AttemptFailure::Unknown),
        }
    }

    /// Sends a request for a stream and waits for the head of the response.
    pub async fn open_stream(
        self: &Rc<Self>,
        request: &RoutedRequest,
        in_flight: &mut InFlightAttempt<P>,
        resume_after: Option<&str>,
    ) -> Result<OpenStream, AttemptFailure> {
        let timeout = request.time_left(self.now_ms());
        let origin = self.listed_origin(&in_flight.sent.upstream);
        let response = self.send(request, in_flight, timeout, resume_after).await?;
        let (parts, body) = response.into_parts();
        let headers = self.platform.response_headers(&parts.headers);
        if !parts.status.is_success() {
            let time_left = request.time_left(self.now_ms());
            let reading = self
                .response_reader
                .read(body, MAX_BUFFERED_BYTES, time_left);
            let read = reading.await;
            return Err(read.map_or(AttemptFailure::Unknown, |body| {
                AttemptFailure::FailureResponse(BufferedResponse {
                    status: parts.status.as_u16(),
                    headers,
                    body,
                })
            }));
        }
        Ok(OpenStream {
            status: parts.status,
            headers,
            read_ahead: Bytes::new(),
            trace: body.trace(),
            body,
            origin: origin.filter(|o| self.is_listed(o)),
        })
    }

    /// Sends a request and waits for the head of the response, for `timeout` at most.
    async fn send(
        self: &Rc<Self>,
        request: &RoutedRequest,
        in_flight: &InFlightAttempt<P>,
        timeout: Duration,
        resume_after: Option<&str>,
    ) -> Result<Response<PooledBody>, AttemptFailure> {
        let upstream = &in_flight.sent.upstream;
        let addr = {
            let registry = self.registry.borrow();
            registry.get(upstream.as_str()).map(|e| e.addr)
        };
        let Some(addr) = addr else {
            return Err(AttemptFailure::NotSent);
        };
        let forwarding = ForwardingHeaders {
            upstream,
            time_left: timeout,
            priority: request
                .requirements
                .weights
                .as_ref()
                .map(|_| request.priority),
            last_event_id: resume_after.or(request.last_event_id.as_deref()),
            organisation: request.organisation.as_ref().map(|o| &o.id),
        };
        let mut forwarded = Request::new(Full::new(request.body.clone()));
        *forwarded.method_mut() = request.method.clone();
        *forwarded.uri_mut() = request
            .target
            .parse()
            .map_err(|_| AttemptFailure::NotSent)?;
        *forwarded.headers_mut() = self.platform.forward_headers(&request.headers, &forwarding);
        let is_in_service = || {
            let registry = self.registry.borrow();
            let entry = registry.get(upstream.as_str());
            entry.is_some_and(|e| registry.takes_requests(e, self.now_ms()))
        };
        // The pool asks before it writes the first byte.
        let may_be_sent = Cell::new(false);
        let is_accepting_requests = || {
            let is_accepting = is_in_service() && !self.is_closed(upstream);
            may_be_sent.set(is_accepting);
            if let Some(place) = in_flight.place.as_ref().filter(|_| is_accepting) {
                place.on_sent();
            }
            is_accepting
        };
        let (sent_ms, sent) = (self.now_ms(), Instant::now());
        let tag = RequestTag::of(&request.request_id);
        let attempt = request.execution.begin_attempt();
        let sending =
            self.pool
                .send_watched(addr, forwarded, tag, is_accepting_requests, is_in_service);
        let result = match compio::time::timeout(timeout, sending).await {
            Ok(result) => result,
            Err(_) if may_be_sent.get() => {
                // The connection may have fallen silent, and others with it.
                if !self.pool.has_heard_from(addr, sent) {
                    self.pool.close_idle(addr);
                }
                return Err(AttemptFailure::TimedOut);
            }
            Err(_) => {
                attempt.settle(NotRunEvidence::nothing_sent());
                return Err(AttemptFailure::NotSentInTime);
            }
        };
        if matches!(result, Err(SendError::HeldUp)) {
            self.record_held_up(request, upstream, sent_ms);
        }
        let response = match result {
            Ok(response) => response,
            Err(error) => {
                // Other idle connections to this address have probably failed as well.
                self.pool.close_idle(addr);
                if let Some(evidence) = error.not_run_evidence() {
                    attempt.settle(evidence);
                }
                return Err(match error {
                    SendError::NotConnected => AttemptFailure::NotConnected,
                    SendError::NotSent => AttemptFailure::NotSent,
                    SendError::MaybeSent | SendError::HeldUp => AttemptFailure::Unknown,
                });
            }
        };
        self.check_response(request, in_flight, attempt, (response, sent_ms))
    }

    /// Separates the upstream's response to a request from refusals and from responses to
    /// other requests.
    fn check_response(
        self: &Rc<Self>,
        request: &RoutedRequest,
        in_flight: &InFlightAttempt<P>,
        attempt: Attempt<'_>,
        (response, sent_ms): (Response<PooledBody>, u64),
    ) -> Result<Response<PooledBody>, AttemptFailure> {
        let upstream = &in_flight.sent.upstream;
        let status = response.status().as_u16();
        let id = &request.request_id;
        let kind = self
            .platform
            .classify_response(status, response.headers(), id);
        // With 421, another upstream has the address.
        let is_from_another = kind == ResponseKind::Invalid || status == 421;
        if !is_from_another {
            let notice = self.platform.notice(status, response.headers());
            self.apply_notice(upstream, sent_ms, notice);
        }
        match kind {
            ResponseKind::Valid => {
                self.pool.running_since(&response.body().trace());
                Ok(response)
            }
            ResponseKind::NotRun {
                is_misdirected,
                evidence,
            } => {
                attempt.settle(evidence);
                if !is_misdirected {
                    self.on_rejected_for_room(in_flight);
                    self.on_shared_rejection(in_flight);
                }
                let body = response.into_body();
                body.record_refusal(RequestTag::of(id));
                self.finish_refusal(upstream, body);
                Err(AttemptFailure::NotRun { is_misdirected })
            }
            ResponseKind::Unproven { is_named: true } => {
                self.finish_refusal(upstream, response.into_body());
                Err(AttemptFailure::Unproven)
            }
            ResponseKind::Unproven { is_named: false } => {
                response.into_body().close();
                Err(AttemptFailure::Unproven)
            }
            ResponseKind::Invalid => {
                response.into_body().close();
                Err(AttemptFailure::Unknown)
            }
        }
    }
}
