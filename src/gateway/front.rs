//! The callers' side: connections, heads, bodies, routes.
//!
//! A request is refused here if it is not proper, if no route leads on, or if
//! this host knows no configuration yet; everything else goes to `call`.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HOST, HeaderValue};
use tokio_util::sync::CancellationToken;

use super::metrics::EndLabels;
use super::platform::{CallHead, Platform};
use super::state::Gateway;
use crate::core::catalog::Catalog;
use crate::edge::body::{self, ServerResponse};
use crate::edge::body_reader::{BodyLimits, BodyReader};
use crate::edge::server::{ConnectionLimits, Handler, serve};
use crate::kernel::Service;

/// Time to come back to a host that does not know the configuration yet, in
/// milliseconds.
const NOT_CONFIGURED_RETRY_MS: u64 = 500;
/// Part of the process's memory that bodies of requests may take.
const BODY_MEMORY_DIVISOR: usize = 4;
/// Limits of a connection before the configuration is known.
const EARLY_HEADER_BYTES: usize = 16 * 1024;
/// Time for which a connection may be idle before the configuration is known.
const EARLY_IDLE: Duration = Duration::from_mins(1);
/// Time beyond the stated idle time for which a connection is kept, so that
/// no request crosses its end.
const IDLE_MARGIN: Duration = Duration::from_secs(2);
/// Shortest time for a body to arrive.
const MIN_BODY_TIMEOUT: Duration = Duration::from_secs(5);
/// Descriptors that are not for callers' connections: files, listeners and
/// connections to upstreams.
const RESERVED_DESCRIPTORS: usize = 600;

/// Service that answers callers.
#[derive(Debug)]
pub struct CallFront<P: Platform> {
    gateway: Rc<Gateway<P>>,
    bodies: BodyReader,
    listener: RefCell<Option<TcpListener>>,
}

impl<P: Platform> CallFront<P> {
    /// Service on a bound listener.
    pub fn new(gateway: Rc<Gateway<P>>, listener: TcpListener) -> Self {
        let memory_bytes = gateway.settings().memory_mb as usize * 1024 * 1024;
        Self {
            gateway,
            bodies: BodyReader::new(memory_bytes / BODY_MEMORY_DIVISOR),
            listener: RefCell::new(Some(listener)),
        }
    }

    async fn answer(&self, request: Request<Incoming>) -> ServerResponse {
        let gateway = &self.gateway;
        let arrived_ms = gateway.now_ms();
        let (parts, incoming) = request.into_parts();
        let call = match gateway.platform.call_head(&parts) {
            Ok(call) => call,
            Err(error) => {
                body::discard(incoming);
                return self.refuse(400, "bad_request", None, &error.to_string());
            }
        };
        let Some(catalog) = gateway.catalog() else {
            body::discard(incoming);
            return self.refuse(503, "not_configured", Some(&call), "no configuration yet");
        };
        let host = parts.headers.get(HOST).and_then(|h| h.to_str().ok());
        let host = host.or_else(|| parts.uri.host()).unwrap_or_default();
        let Some(route) = catalog.route(host, parts.uri.path()) else {
            body::discard(incoming);
            return self.refuse(404, "no_route", Some(&call), host);
        };
        let limits = body_limits(&catalog);
        let read = match self.bodies.read(&parts.headers, incoming, limits).await {
            Ok(read) => read,
            Err(refusal) => {
                let status = refusal.reason.status();
                return self.refuse(status, "bad_body", Some(&call), &refusal.message);
            }
        };
        let request_id = call.request_id.clone();
        match gateway.job(&catalog, route, call, parts, read, arrived_ms) {
            Some(job) => gateway.serve(job).await,
            None => {
                let retry_after_ms = Some(NOT_CONFIGURED_RETRY_MS);
                gateway.own_answer(503, "no_backend", Some(&request_id), retry_after_ms)
            }
        }
    }

    fn refuse(
        &self,
        status: u16,
        reason: &'static str,
        call: Option<&CallHead>,
        detail: &str,
    ) -> ServerResponse {
        let request_id = call.map(|c| c.request_id.as_str());
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
        let labels = EndLabels {
            outcome: "not_run",
            reason,
        };
        self.gateway.metrics.ended.get_or_create(&labels).inc();
        let retry_after_ms = (status == 503).then_some(NOT_CONFIGURED_RETRY_MS);
        self.gateway
            .own_answer(status, reason, request_id, retry_after_ms)
    }
}

fn body_limits(catalog: &Catalog) -> BodyLimits {
    BodyLimits {
        max_bytes: catalog.limits.body_bytes,
        timeout: catalog.limits.header_timeout.max(MIN_BODY_TIMEOUT),
    }
}

/// Handles the requests of all connections.
struct FrontHandler<P: Platform>(Rc<CallFront<P>>);

impl<P: Platform> Handler for FrontHandler<P> {
    fn limits(&self) -> ConnectionLimits {
        match self.0.gateway.catalog() {
            Some(catalog) => ConnectionLimits {
                header_timeout: catalog
                    .limits
                    .header_timeout
                    .max(catalog.limits.idle_timeout + IDLE_MARGIN),
                max_header_bytes: catalog.limits.header_bytes,
            },
            None => ConnectionLimits {
                header_timeout: EARLY_IDLE,
                max_header_bytes: EARLY_HEADER_BYTES,
            },
        }
    }

    async fn handle(&self, request: Request<Incoming>) -> ServerResponse {
        let mut answer = self.0.answer(request).await;
        if self.0.gateway.stopping.is_cancelled() {
            let headers = answer.headers_mut();
            headers.insert(CONNECTION, HeaderValue::from_static("close"));
        }
        answer
    }
}

impl<P: Platform> Service for CallFront<P> {
    const NAME: &'static str = "gateway-front";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        let Some(listener) = self.listener.take() else {
            return;
        };
        let descriptors = self.gateway.settings().max_descriptors;
        let max_connections = descriptors.saturating_sub(RESERVED_DESCRIPTORS).max(64);
        let handler = Rc::new(FrontHandler(Rc::clone(&self)));
        serve(listener, max_connections, handler, cancel).await;
    }
}

/// Service that answers the readiness probe and serves metrics.
#[derive(Debug)]
pub struct ProbeFront<P: Platform> {
    gateway: Rc<Gateway<P>>,
    listener: RefCell<Option<TcpListener>>,
}

impl<P: Platform> ProbeFront<P> {
    /// Service on a bound listener.
    pub fn new(gateway: Rc<Gateway<P>>, listener: TcpListener) -> Self {
        Self {
            gateway,
            listener: RefCell::new(Some(listener)),
        }
    }

    fn answer(&self, request: &Request<Incoming>) -> ServerResponse {
        let path = request.uri().path();
        let gateway = &self.gateway;
        if path == P::READY_PATH && gateway.is_ready() {
            body::text(200, "ready\n")
        } else if path == P::READY_PATH {
            body::text(503, "not ready\n")
        } else if path == P::METRICS_PATH {
            let metrics = &gateway.metrics;
            let calls = super::platform::FleetStore::calls(gateway.platform.store());
            metrics.store_calls.set(calls.cast_signed());
            let upstreams = gateway.registry.borrow().len().cast_signed() as i64;
            metrics.upstreams.set(upstreams);
            let dropped = gateway.logs.dropped_lines().cast_signed();
            metrics.dropped_log_lines.set(dropped);
            body::text(200, metrics.encode())
        } else {
            body::text(404, "no such path\n")
        }
    }
}

const MAX_PROBE_CONNECTIONS: usize = 64;

struct ProbeHandler<P: Platform>(Rc<ProbeFront<P>>);

impl<P: Platform> Handler for ProbeHandler<P> {
    async fn handle(&self, request: Request<Incoming>) -> ServerResponse {
        self.0.answer(&request)
    }
}

impl<P: Platform> Service for ProbeFront<P> {
    const NAME: &'static str = "gateway-probe";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        let Some(listener) = self.listener.take() else {
            return;
        };
        let handler = Rc::new(ProbeHandler(Rc::clone(&self)));
        serve(listener, MAX_PROBE_CONNECTIONS, handler, cancel).await;
    }
}
