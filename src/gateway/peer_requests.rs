//! Sends callers' requests to another host while this one reaches no upstream.
//!
//! The other host serves the request as if its own caller had sent it, and its response is
//! passed on unchanged. A request that may have reached a host which then gave no response
//! may have run: it is repeated only if its route allows that.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use http_body_util::{BodyExt, Either, Full};
use hyper::header::{HOST, HeaderValue};
use hyper::{Request, Response};
use tokio_util::sync::CancellationToken;

use super::call::{Attempts, FailureOutcome, RoutedRequest};
use super::exchange::{BufferedResponse, MAX_BUFFERED_BYTES};
use super::metrics::PeerReplyLabels;
use super::peer_protocol::{self, Envelope};
use super::platform::Platform;
use super::state::Gateway;
use super::stream_queue::StreamQueue;
use crate::core::execution::{NotRunEvidence, is_promise};
use crate::core::features::Feature;
use crate::core::ids::HostId;
use crate::core::peer_selection::{Candidate, MAX_HOSTS, NotAccepted, PeerSelector};
use crate::edge::body::{ReadError, ServerResponse};
use crate::edge::pool::{Pool, PooledBody};
use crate::edge::resources::Resources;

/// Time after a request's deadline within which the other host responds to it.
const REPLY_MARGIN: Duration = Duration::from_millis(150);
/// Reason of the outcomes of requests that another host has served.
const THROUGH_PEER: &str = "through_peer";

/// Connections to other hosts, and what is known of them.
#[derive(Debug)]
pub struct PeerDesk {
    selector: RefCell<PeerSelector>,
    pool: Pool,
}

impl PeerDesk {
    /// Nothing is known yet; connections are charged to an account.
    pub fn new(resources: Resources) -> Self {
        Self {
            selector: RefCell::default(),
            pool: Pool::charged_to(resources),
        }
    }
}

/// Host that a request is sent to.
struct SelectedPeer {
    candidate: Candidate,
    addr: SocketAddr,
}

/// Counts a request as in flight at another host until it is dropped.
struct InFlightAtPeer<P: Platform> {
    gateway: Rc<Gateway<P>>,
    host: HostId,
}

impl<P: Platform> InFlightAtPeer<P> {
    fn new(gateway: &Rc<Gateway<P>>, host: &HostId) -> Self {
        gateway.peer_requests.selector.borrow_mut().on_sent(host);
        Self {
            gateway: Rc::clone(gateway),
            host: host.clone(),
        }
    }
}

impl<P: Platform> Drop for InFlightAtPeer<P> {
    fn drop(&mut self) {
        let mut selector = self.gateway.peer_requests.selector.borrow_mut();
        selector.on_end(&self.host);
    }
}

/// Outcome of sending a request to another host.
enum PeerReply<P: Platform> {
    /// The host has not run it and never will.
    NotAccepted(NotAccepted),
    /// The host may have run it, and its response is lost.
    Lost { is_timeout: bool },
    /// Complete response.
    Complete(BufferedResponse),
    /// Event stream whose head has arrived.
    Stream(Box<Response<PooledBody>>, InFlightAtPeer<P>),
}

impl<P: Platform> PeerReply<P> {
    fn as_str(&self) -> &'static str {
        match self {
            Self::NotAccepted(reason) => reason.as_str(),
            Self::Lost { is_timeout: true } => "timed_out",
            Self::Lost { is_timeout: false } => "unknown",
            Self::Complete(_) | Self::Stream(..) => "accepted",
        }
    }
}

impl<P: Platform> Gateway<P> {
    /// Has another host serve a request; `None` if none accepts it.
    pub(super) async fn serve_through_peer(
        self: &Rc<Self>,
        request: &mut RoutedRequest,
        attempts: &mut Attempts,
    ) -> Option<ServerResponse> {
        if !Self::may_use_peers(request, attempts) {
            return None;
        }
        attempts.has_asked_peers = true;
        let mut tried: Vec<HostId> = Vec::new();
        while tried.len() < MAX_HOSTS {
            let peer = self.select_peer(request, &tried)?;
            tried.push(peer.candidate.host.clone());
            let reply = self.send_to_peer(&peer, request, attempts).await;
            self.record_peer_reply(request, &peer, &reply);
            match reply {
                PeerReply::NotAccepted(_) => {
                    request.set_charged(request.execution.may_have_run());
                }
                PeerReply::Lost { is_timeout } => {
                    let may_repeat = self.may_repeat(request, attempts);
                    request.max_attempts = request.max_attempts.saturating_sub(1);
                    if may_repeat && self.try_retry(&request.requirements.service) {
                        continue;
                    }
                    let failure = if is_timeout {
                        FailureOutcome::TimedOut
                    } else {
                        FailureOutcome::Unknown("peer_failed")
                    };
                    return Some(self.respond_with_failure(request, attempts, failure));
                }
                PeerReply::Complete(response) => {
                    return Some(self.pass_on_response(request, attempts, response));
                }
                PeerReply::Stream(response, in_flight) => {
                    return Some(self.pass_on_stream(request, attempts, *response, in_flight));
                }
            }
        }
        None
    }

    fn may_use_peers(request: &RoutedRequest, attempts: &Attempts) -> bool {
        !attempts.has_asked_peers
            && request.received.is_none()
            && !request.is_trial
            && attempts.sent_to.len() < request.max_attempts as usize
            && request.headers.contains_key(HOST)
    }

    fn select_peer(&self, request: &RoutedRequest, tried: &[HostId]) -> Option<SelectedPeer> {
        let now_ms = self.now_ms();
        let settings = self.settings();
        let peers = self.peers.borrow();
        let candidates: Vec<Candidate> = peers
            .listed()
            .filter(|(host, _)| **host != settings.host)
            // A host of an older release would not tell upstreams the organisation.
            .filter(|(_, p)| request.organisation.is_none() || p.has(Feature::Organisations))
            .map(|(host, peer)| Candidate {
                host: host.clone(),
                zone: peer.zone().map(str::to_owned),
            })
            .collect();
        let selector = self.peer_requests.selector.borrow();
        let mut rng = self.rng.borrow_mut();
        let zone = settings.zone.as_str();
        let candidate = selector.select(now_ms, zone, &candidates, tried, &mut rng)?;
        let addr = peers.get_listed(&candidate.host)?.addr;
        Some(SelectedPeer {
            candidate: candidate.clone(),
            addr,
        })
    }

    async fn send_to_peer(
        self: &Rc<Self>,
        peer: &SelectedPeer,
        request: &RoutedRequest,
        attempts: &Attempts,
    ) -> PeerReply<P> {
        let in_flight = InFlightAtPeer::new(self, &peer.candidate.host);
        let now_ms = self.now_ms();
        let envelope = Envelope {
            config_version: request.config_version,
            spent_ms: now_ms.saturating_sub(request.arrived_ms),
            attempts_left: request.max_attempts - attempts.sent_to.len() as u32,
            organisation: request.organisation.as_ref().map(|o| o.id.clone()),
            request_id: HeaderValue::from_str(&request.request_id).ok(),
        };
        let Ok(target) = request.target.parse() else {
            return PeerReply::NotAccepted(NotAccepted::Unreachable);
        };
        let mut message = Request::new(Full::new(request.body.clone()));
        *message.method_mut() = request.method.clone();
        *message.uri_mut() = target;
        *message.headers_mut() = peer_protocol::request_headers(&request.headers, &envelope);
        let timeout = request.time_left(now_ms) + REPLY_MARGIN;
        let attempt = request.execution.begin_attempt();
        request.set_charged(true);
        // The pool asks before it writes the first byte.
        let may_be_sent = Cell::new(false);
        let on_sending = || {
            may_be_sent.set(true);
            true
        };
        let pool = &self.peer_requests.pool;
        let sending = pool.send_if(peer.addr, message, on_sending);
        let response = match compio::time::timeout(timeout, sending).await {
            Err(_) if may_be_sent.get() => {
                // Its other idle connections may have fallen silent as well.
                pool.close_idle(peer.addr);
                return PeerReply::Lost { is_timeout: true };
            }
            Err(_) => {
                attempt.settle(NotRunEvidence::nothing_sent());
                return PeerReply::NotAccepted(NotAccepted::Unreachable);
            }
            Ok(Err(error)) => {
                let Some(evidence) = error.not_run_evidence() else {
                    return PeerReply::Lost { is_timeout: false };
                };
                attempt.settle(evidence);
                return PeerReply::NotAccepted(NotAccepted::Unreachable);
            }
            Ok(Ok(response)) => response,
        };
        if let Some(reason) = peer_protocol::not_accepted(response.headers()) {
            attempt.settle(NotRunEvidence::not_accepted());
            return PeerReply::NotAccepted(reason);
        }
        let stated = peer_protocol::stated_not_run(response.headers());
        if let Some(evidence) = NotRunEvidence::stated(stated, &request.request_id) {
            attempt.settle(evidence);
        }
        if request.kind.is_stream() && response.status().is_success() {
            return PeerReply::Stream(Box::new(response), in_flight);
        }
        let (parts, body) = response.into_parts();
        let timeout = request.time_left(self.now_ms()) + REPLY_MARGIN;
        let reading = self.response_reader.read(body, MAX_BUFFERED_BYTES, timeout);
        match reading.await {
            Ok(body) => PeerReply::Complete(BufferedResponse {
                status: parts.status.as_u16(),
                headers: self.peer_response_headers(&parts.headers),
                body,
            }),
            Err(error) => PeerReply::Lost {
                is_timeout: error == ReadError::Timeout,
            },
        }
    }

    fn peer_response_headers(&self, from: &hyper::HeaderMap) -> hyper::HeaderMap {
        let mut headers = self.platform.response_headers(from);
        peer_protocol::strip(&mut headers);
        headers
    }

    fn record_peer_reply(
        &self,
        request: &RoutedRequest,
        peer: &SelectedPeer,
        reply: &PeerReply<P>,
    ) {
        let now_ms = self.now_ms();
        let mut selector = self.peer_requests.selector.borrow_mut();
        match reply {
            PeerReply::NotAccepted(reason) => {
                selector.on_not_accepted(now_ms, &peer.candidate, *reason);
            }
            PeerReply::Lost { .. } => {
                let reason = NotAccepted::Unreachable;
                selector.on_not_accepted(now_ms, &peer.candidate, reason);
            }
            PeerReply::Complete(response) if response.is_failure() => {
                selector.on_accepted(now_ms, &peer.candidate);
            }
            PeerReply::Complete(_) | PeerReply::Stream(..) => {
                selector.on_accepted(now_ms, &peer.candidate);
                self.on_reached_elsewhere();
            }
        }
        drop(selector);
        let labels = PeerReplyLabels {
            reply: reply.as_str(),
        };
        self.metrics.peer_requests.get_or_create(&labels).inc();
        tracing::info!(
            event = "peer_request",
            request = request.request_id,
            host = %peer.candidate.host,
            reply = reply.as_str(),
            after_ms = now_ms.saturating_sub(request.arrived_ms),
        );
    }

    fn pass_on_response(
        &self,
        request: &RoutedRequest,
        attempts: &mut Attempts,
        response: BufferedResponse,
    ) -> ServerResponse {
        let status = response.status;
        if is_promise(status) {
            let Some(promise) = request.execution.promise() else {
                let failure = Self::final_outcome(request, attempts, "upstream_failed");
                return self.respond_with_failure(request, attempts, failure);
            };
            self.log_outcome(request, attempts, "not_run", THROUGH_PEER, status, None);
            return response.into_refusal(promise);
        }
        let outcome = match status {
            200..300 => "served",
            502 | 504 => "unknown",
            _ => "failed",
        };
        self.log_outcome(request, attempts, outcome, THROUGH_PEER, status, None);
        response.into_response()
    }

    fn pass_on_stream(
        self: &Rc<Self>,
        request: &RoutedRequest,
        attempts: &Attempts,
        response: Response<PooledBody>,
        in_flight: InFlightAtPeer<P>,
    ) -> ServerResponse {
        let disconnected = CancellationToken::new();
        let (parts, body) = response.into_parts();
        let (queue, streamed) = StreamQueue::open(&self.resources, disconnected.clone());
        let mut response = Response::new(Either::Right(streamed));
        *response.status_mut() = parts.status;
        *response.headers_mut() = self.peer_response_headers(&parts.headers);
        let (gateway, request) = (Rc::clone(self), request.clone());
        let attempts = attempts.clone();
        compio::runtime::spawn(async move {
            let outcome = gateway
                .copy_stream(&request, body, queue, disconnected)
                .await;
            drop(in_flight);
            let status = parts.status.as_u16();
            gateway.log_outcome(&request, &attempts, outcome, THROUGH_PEER, status, None);
        })
        .detach();
        response
    }

    /// Copies a stream to the caller as it arrives; returns the outcome.
    async fn copy_stream(
        &self,
        request: &RoutedRequest,
        mut body: PooledBody,
        mut queue: StreamQueue,
        disconnected: CancellationToken,
    ) -> &'static str {
        loop {
            let timeout = request.time_left(self.now_ms()) + REPLY_MARGIN;
            let frame = futures_util::select_biased! {
                () = disconnected.cancelled().fuse() => return "caller_gone",
                frame = compio::time::timeout(timeout, body.frame()).fuse() => frame,
            };
            let data = match frame {
                Ok(None) => return "served",
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
                Ok(Some(Err(_))) | Err(_) => {
                    queue.abort();
                    return "broken";
                }
            };
            if queue.send(data).await.is_err() {
                return "caller_gone";
            }
        }
    }
}
