//! HTTP servers of a host: one for callers, one for the readiness probe and
//! the metrics.
//!
//! A caller's request is rejected here if its head or body is invalid, if no
//! route matches it, or if this host has no configuration yet. Every other
//! request is passed to `call`.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use futures_util::FutureExt;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use tokio_util::sync::CancellationToken;

use super::call::RoutedRequest;
use super::metrics::OutcomeLabels;
use super::peer_protocol;
use super::peer_server::Received;
use super::platform::{Platform, RequestHead, StatedTokens};
use super::state::Gateway;
use crate::core::catalog::{Catalog, Route};
use crate::core::execution::{Execution, LocalStatus, is_promise};
use crate::core::ids::OrganisationId;
use crate::core::organisations::{Organisation, QuotaUnit};
use crate::core::peer_selection::NotAccepted;
use crate::core::resource_account::Purpose;
use crate::edge::body::{self, ServerResponse, hold_until_sent};
use crate::edge::body_reader::{BodyLimits, BodyReader};
use crate::edge::resources::{Hold, NoRoom};
use crate::edge::server::{ConnectionLimits, Handler, serve};
use crate::kernel::Service;

/// Retry delay of the 503 responses sent here, mainly by a host that has no
/// configuration yet, in milliseconds.
const UNAVAILABLE_RETRY_AFTER_MS: u64 = 500;
/// Memory of a request in progress, with its connection to an upstream and a usual response.
const REQUEST_BYTES: usize = 56 * 1024;
/// Retry delay of a request that is refused for want of memory; streams take seconds to end.
const NO_ROOM_RETRY_AFTER_MS: u64 = 1_000;
/// Largest request head before a configuration is loaded.
const UNCONFIGURED_HEADER_BYTES: usize = 16 * 1024;
/// Idle timeout of a connection before a configuration is loaded.
const UNCONFIGURED_IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Margin on the configured idle timeout, so that a connection is not closed
/// while a request sent just within the timeout is on its way.
const IDLE_TIMEOUT_MARGIN: Duration = Duration::from_secs(2);
/// Shortest timeout for the arrival of a body.
const MIN_BODY_TIMEOUT: Duration = Duration::from_secs(5);

/// Time that a request must have before this process ends, as a multiple of its latency
/// objective.
const OBJECTIVES_TO_STOP: u32 = 2;

/// How a request has reached this host.
#[derive(Debug)]
pub struct Arrival {
    /// Time at which it arrived from the caller, in milliseconds since the epoch.
    pub at_ms: u64,
    /// Number of upstreams that it may be sent to, if fewer than its route allows.
    pub attempts_left: Option<u32>,
    /// Present if another host has received it from the caller.
    pub received: Option<Rc<Received>>,
    /// Organisation of the caller, as that host has found it.
    pub organisation: Option<OrganisationId>,
}

/// Who has sent a request, and how it has reached this host.
#[derive(Debug)]
pub struct Caller {
    /// How it has reached this host.
    pub arrival: Arrival,
    /// Organisation, if requests need a key.
    pub organisation: Option<Rc<Organisation>>,
}

/// Rejection of a request by its key or by what it states of its use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Unauthorized {
    status: u16,
    reason: &'static str,
}

/// Organisation of a request, if the configuration has organisations.
fn find_organisation(
    catalog: &Catalog,
    route: &Route,
    head: &RequestHead,
    arrival: &Arrival,
) -> Result<Option<Rc<Organisation>>, Unauthorized> {
    let Some(organisations) = &catalog.organisations else {
        return Ok(None);
    };
    let organisation = match (&arrival.organisation, &head.key) {
        (Some(id), _) => organisations.get(id.as_str()),
        (None, Some(key)) => organisations.by_key(key),
        (None, None) => None,
    };
    let is_known = organisation.is_some() || arrival.received.is_some();
    if !is_known && !route.is_public {
        return Err(Unauthorized {
            status: 401,
            reason: "unknown_key",
        });
    }
    let quota = organisation.and_then(|o| o.quota.as_ref());
    let counts_tokens = quota.is_some_and(|q| q.unit == QuotaUnit::Tokens);
    if counts_tokens && head.tokens == StatedTokens::Invalid {
        return Err(Unauthorized {
            status: 400,
            reason: "invalid_token_usage",
        });
    }
    Ok(organisation.cloned())
}

/// HTTP server for callers.
#[derive(Debug)]
pub struct CallerServer<P: Platform> {
    gateway: Rc<Gateway<P>>,
    body_reader: BodyReader,
    listener: RefCell<Option<TcpListener>>,
}

impl<P: Platform> CallerServer<P> {
    /// Server on a bound listener.
    pub fn new(gateway: Rc<Gateway<P>>, listener: TcpListener) -> Self {
        Self {
            body_reader: BodyReader::new(gateway.resources.clone()),
            gateway,
            listener: RefCell::new(Some(listener)),
        }
    }

    /// Responds to a request of a caller.
    pub(super) async fn respond(
        &self,
        request: Request<Incoming>,
        arrival: Arrival,
    ) -> ServerResponse {
        let gateway = &self.gateway;
        let (mut parts, incoming) = request.into_parts();
        let head = match gateway.platform.parse_request_head(&parts) {
            Ok(head) => head,
            Err(error) => {
                body::discard(incoming);
                return self.reject(400, "bad_request", None, &error.to_string(), None);
            }
        };
        let Some(catalog) = gateway.catalog() else {
            body::discard(incoming);
            let detail = "no configuration yet";
            let retry_after_ms = Some(UNAVAILABLE_RETRY_AFTER_MS);
            return self.reject(503, "not_configured", Some(&head), detail, retry_after_ms);
        };
        let host = parts.headers.get(HOST).and_then(|h| h.to_str().ok());
        let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
        let Some(route) = catalog.route(host, parts.uri.path()) else {
            body::discard(incoming);
            return self.reject(404, "no_route", Some(&head), host, None);
        };
        let organisation = match find_organisation(&catalog, route, &head, &arrival) {
            Ok(organisation) => organisation,
            Err(rejection) => {
                body::discard(incoming);
                let Unauthorized { status, reason } = rejection;
                return self.reject(status, reason, Some(&head), &route.name, None);
            }
        };
        if self.may_outlast_stop(route, &arrival) {
            body::discard(incoming);
            let retry_after_ms = Some(UNAVAILABLE_RETRY_AFTER_MS);
            return self.reject(503, "stopping", Some(&head), &route.name, retry_after_ms);
        }
        let Ok(memory) = gateway.resources.hold(Purpose::Request, REQUEST_BYTES) else {
            body::discard(incoming);
            let retry_after_ms = Some(NO_ROOM_RETRY_AFTER_MS);
            let mut response =
                self.reject(503, "no_room", Some(&head), &route.name, retry_after_ms);
            if arrival.received.is_some() {
                response.extensions_mut().insert(NotAccepted::Busy);
            }
            return response;
        };
        let memory = Rc::new(memory);
        if catalog.organisations.is_some() {
            gateway.platform.remove_credentials(&mut parts.headers);
        }
        let limits = body_limits(&catalog);
        let body = match self.body_reader.read(&parts, incoming, limits).await {
            Ok(body) => body,
            Err(refusal) => {
                let status = refusal.reason.status();
                let retry_after_ms = refusal.retry_after_ms;
                let detail = &refusal.message;
                return self.reject(status, "bad_body", Some(&head), detail, retry_after_ms);
            }
        };
        let request_id = head.request_id.clone();
        let caller = Caller {
            arrival,
            organisation,
        };
        match gateway.prepare_request(&catalog, route, head, parts, body, caller) {
            Some(request) => hold_until_sent(self.serve(request).await, memory),
            None => {
                let retry_after_ms = Some(UNAVAILABLE_RETRY_AFTER_MS);
                let status = unsent_status(503);
                gateway.local_response(status, "no_backend", Some(&request_id), retry_after_ms)
            }
        }
    }

    /// True if a request that must not run twice is likely to run still when this process
    /// ends: it may take some times its latency objective.
    fn may_outlast_stop(&self, route: &Route, arrival: &Arrival) -> bool {
        let may_be_cut = route.kind.is_repeatable() || route.kind.is_stream();
        let run_time = route.objective * OBJECTIVES_TO_STOP;
        let ends_ms = arrival.at_ms + run_time.as_millis() as u64;
        let stop_ends_ms = self.gateway.stop_ends_ms.get();
        !may_be_cut && stop_ends_ms.is_some_and(|at_ms| ends_ms > at_ms)
    }

    /// Serves a request until this process stops; then it is answered, as an answer that
    /// leaves open whether it ran is better than none.
    async fn serve(&self, request: RoutedRequest) -> ServerResponse {
        let gateway = &self.gateway;
        let request_id = request.request_id.clone();
        let execution = Rc::clone(&request.execution);
        let response = futures_util::select_biased! {
            response = gateway.serve(request).fuse() => Some(response),
            () = gateway.stop_ended.cancelled().fuse() => None,
        };
        response.unwrap_or_else(|| {
            let (outcome, status, retry_after_ms) = match execution.promise() {
                Some(promise) => {
                    let status = LocalStatus::refused(503, promise);
                    ("not_run", status, Some(UNAVAILABLE_RETRY_AFTER_MS))
                }
                None => ("unknown", LocalStatus::other(502), None),
            };
            let (status_code, reason) = (status.code(), "stopped");
            tracing::info!(
                event = "request",
                request = request_id,
                outcome,
                reason,
                status = status_code
            );
            let labels = OutcomeLabels { outcome, reason };
            gateway.metrics.requests_ended.get_or_create(&labels).inc();
            gateway.local_response(status, reason, Some(&request_id), retry_after_ms)
        })
    }

    fn reject(
        &self,
        status: u16,
        reason: &'static str,
        head: Option<&RequestHead>,
        detail: &str,
        retry_after_ms: Option<u64>,
    ) -> ServerResponse {
        let request_id = head.map(|h| h.request_id.as_str());
        let catalog = self.gateway.catalog();
        tracing::info!(
            event = "request",
            request = request_id.unwrap_or(""),
            outcome = "not_run",
            reason,
            status,
            detail,
            config = catalog.map_or(0, |c| c.version),
        );
        let labels = OutcomeLabels {
            outcome: "not_run",
            reason,
        };
        self.gateway
            .metrics
            .requests_ended
            .get_or_create(&labels)
            .inc();
        self.gateway
            .local_response(unsent_status(status), reason, request_id, retry_after_ms)
    }
}

/// Status of a response to a request that was rejected before it was routed, and that no
/// attempt has been made for.
fn unsent_status(status: u16) -> LocalStatus {
    match Execution::default().promise() {
        Some(promise) if is_promise(status) => LocalStatus::refused(status, promise),
        _ => LocalStatus::other(status),
    }
}

fn body_limits(catalog: &Catalog) -> BodyLimits {
    BodyLimits {
        max_bytes: catalog.limits.max_body_bytes,
        timeout: catalog.limits.header_timeout.max(MIN_BODY_TIMEOUT),
    }
}

/// Handles the requests of all callers' connections.
struct CallerHandler<P: Platform>(Rc<CallerServer<P>>);

impl<P: Platform> Handler for CallerHandler<P> {
    fn limits(&self) -> ConnectionLimits {
        match self.0.gateway.catalog() {
            Some(catalog) => ConnectionLimits {
                header_timeout: catalog
                    .limits
                    .header_timeout
                    .max(catalog.limits.idle_timeout + IDLE_TIMEOUT_MARGIN),
                max_header_bytes: catalog.limits.max_header_bytes,
            },
            None => ConnectionLimits {
                header_timeout: UNCONFIGURED_IDLE_TIMEOUT,
                max_header_bytes: UNCONFIGURED_HEADER_BYTES,
            },
        }
    }

    fn hold_connection(&self) -> Result<Option<Hold>, NoRoom> {
        self.0.gateway.hold_connection().map(Some)
    }

    fn refuse(&self, request: Request<Incoming>) -> ServerResponse {
        let (parts, incoming) = request.into_parts();
        body::discard(incoming);
        let head = self.0.gateway.platform.parse_request_head(&parts).ok();
        let detail = "no room for the connection";
        let retry_after_ms = Some(NO_ROOM_RETRY_AFTER_MS);
        self.0
            .reject(503, "no_room", head.as_ref(), detail, retry_after_ms)
    }

    async fn handle(&self, mut request: Request<Incoming>) -> ServerResponse {
        peer_protocol::strip(request.headers_mut());
        let arrival = Arrival {
            at_ms: self.0.gateway.now_ms(),
            attempts_left: None,
            received: None,
            organisation: None,
        };
        let mut response = self.0.respond(request, arrival).await;
        if self.0.gateway.stopping.is_cancelled() {
            let headers = response.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        response
    }
}

impl<P: Platform> Service for CallerServer<P> {
    const NAME: &'static str = "gateway-front";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        let Some(listener) = self.listener.take() else {
            return;
        };
        let handler = Rc::new(CallerHandler(Rc::clone(&self)));
        serve(listener, usize::MAX, handler, cancel).await;
    }
}

/// HTTP server for the readiness probe and the metrics.
#[derive(Debug)]
pub struct ProbeServer<P: Platform> {
    gateway: Rc<Gateway<P>>,
    listener: RefCell<Option<TcpListener>>,
}

impl<P: Platform> ProbeServer<P> {
    /// Server on a bound listener.
    pub fn new(gateway: Rc<Gateway<P>>, listener: TcpListener) -> Self {
        Self {
            gateway,
            listener: RefCell::new(Some(listener)),
        }
    }

    fn respond(&self, request: &Request<Incoming>) -> ServerResponse {
        let path = request.uri().path();
        let gateway = &self.gateway;
        if path == P::READY_PATH && gateway.is_ready() {
            body::text(200, "ready\n")
        } else if path == P::READY_PATH {
            body::text(503, "not ready\n")
        } else if path == P::METRICS_PATH {
            let metrics = &gateway.metrics;
            let calls = super::platform::FleetStore::call_count(gateway.platform.store());
            metrics.store_calls.set(calls.cast_signed());
            let era = super::platform::FleetStore::era(gateway.platform.store());
            metrics.store_era.set(era.0.cast_signed());
            let upstreams = gateway.registry.borrow().len().cast_signed() as i64;
            metrics.upstreams.set(upstreams);
            metrics.resources.record(&gateway.resources);
            let dropped_lines = gateway.logs.dropped_lines().cast_signed();
            metrics.dropped_log_lines.set(dropped_lines);
            body::text(200, metrics.encode())
        } else {
            body::text(404, "no such path\n")
        }
    }
}

const MAX_PROBE_CONNECTIONS: usize = 64;

struct ProbeHandler<P: Platform>(Rc<ProbeServer<P>>);

impl<P: Platform> Handler for ProbeHandler<P> {
    async fn handle(&self, request: Request<Incoming>) -> ServerResponse {
        self.0.respond(&request)
    }
}

impl<P: Platform> Service for ProbeServer<P> {
    const NAME: &'static str = "gateway-probe";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        let Some(listener) = self.listener.take() else {
            return;
        };
        let handler = Rc::new(ProbeHandler(Rc::clone(&self)));
        serve(listener, MAX_PROBE_CONNECTIONS, handler, cancel).await;
    }
}
