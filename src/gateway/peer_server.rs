//! HTTP server for requests that other hosts have received from their callers and cannot
//! send to an upstream.
//!
//! Such a request is served like one of this host's own callers, but never sent to another
//! host again. It is either accepted, or certainly not run.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use compio::net::TcpListener;
use hyper::Request;
use hyper::body::Incoming;
use tokio_util::sync::CancellationToken;

use super::front::{Arrival, CallerServer};
use super::peer_protocol::{self, Envelope};
use super::platform::Platform;
use super::state::Gateway;
use crate::core::catalog::Catalog;
use crate::core::execution::NotRunPromise;
use crate::core::peer_selection::{MAX_RECEIVED, NotAccepted};
use crate::edge::body::{self, ServerResponse};
use crate::edge::resources::{Hold, NoRoom};
use crate::edge::server::{ConnectionLimits, Handler, serve};
use crate::kernel::Service;

/// Connections of all other hosts; more than the requests that are accepted, so that
/// refusals can be sent.
pub const MAX_PEER_CONNECTIONS: usize = 2 * MAX_RECEIVED as usize;
/// Time for which a connection may be idle; its client closes it earlier.
const IDLE_TIMEOUT: Duration = Duration::from_mins(1);
/// Size of the headers that hosts add to those of a caller.
const ENVELOPE_BYTES: usize = 1024;
/// Largest head of a request before a configuration is loaded.
const UNCONFIGURED_HEADER_BYTES: usize = 64 * 1024;

/// Request of another host that is in progress here.
#[derive(Debug)]
pub struct Received(Rc<Cell<u32>>);

impl Received {
    fn new(count: &Rc<Cell<u32>>) -> Self {
        count.set(count.get() + 1);
        Self(Rc::clone(count))
    }
}

impl Drop for Received {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// HTTP server for other hosts.
#[derive(Debug)]
pub struct PeerServer<P: Platform> {
    gateway: Rc<Gateway<P>>,
    callers: Rc<CallerServer<P>>,
    received: Rc<Cell<u32>>,
    listener: RefCell<Option<TcpListener>>,
}

impl<P: Platform> PeerServer<P> {
    /// Server on a bound listener, which handles requests as the one for callers does.
    pub fn new(
        gateway: Rc<Gateway<P>>,
        callers: Rc<CallerServer<P>>,
        listener: TcpListener,
    ) -> Self {
        Self {
            gateway,
            callers,
            received: Rc::default(),
            listener: RefCell::new(Some(listener)),
        }
    }

    fn check(&self, envelope: &Envelope) -> Result<(), NotAccepted> {
        let gateway = &self.gateway;
        let catalog = gateway.catalog();
        let is_current = catalog.as_ref().is_some_and(|c| {
            c.version >= envelope.config_version && knows_organisation(c, envelope)
        });
        if gateway.stopping.is_cancelled() {
            Err(NotAccepted::Stopping)
        } else if !is_current || !gateway.is_synced.get() {
            Err(NotAccepted::NotConfigured)
        } else if gateway.is_cut_off() {
            Err(NotAccepted::CutOff)
        } else if self.received.get() >= MAX_RECEIVED {
            Err(NotAccepted::Busy)
        } else {
            Ok(())
        }
    }

    async fn respond(&self, mut request: Request<Incoming>) -> ServerResponse {
        let Some(envelope) = peer_protocol::take_envelope(request.headers_mut()) else {
            body::discard(request.into_body());
            return body::text(400, "not a request of a host\n");
        };
        if let Err(reason) = self.check(&envelope) {
            body::discard(request.into_body());
            return peer_protocol::not_accepted_response(reason);
        }
        self.gateway.metrics.peer_requests_received.inc();
        let arrival = Arrival {
            at_ms: self.gateway.now_ms().saturating_sub(envelope.spent_ms),
            attempts_left: Some(envelope.attempts_left),
            received: Some(Rc::new(Received::new(&self.received))),
            organisation: envelope.organisation,
        };
        let mut response = self.callers.respond(request, arrival).await;
        if let Some(reason) = response.extensions_mut().remove::<NotAccepted>() {
            return peer_protocol::not_accepted_response(reason);
        }
        peer_protocol::strip(response.headers_mut());
        let promise = response.extensions_mut().remove::<NotRunPromise>();
        if let Some(request_id) = envelope.request_id.filter(|_| promise.is_some()) {
            peer_protocol::state_not_run(response.headers_mut(), &request_id);
        }
        response
    }
}

/// True if the configuration has the organisation that another host states, if it states
/// one.
fn knows_organisation(catalog: &Catalog, envelope: &Envelope) -> bool {
    envelope.organisation.as_ref().is_none_or(|id| {
        let organisations = catalog.organisations.as_ref();
        organisations.is_some_and(|o| o.get(id.as_str()).is_some())
    })
}

struct PeerHandler<P: Platform>(Rc<PeerServer<P>>);

impl<P: Platform> Handler for PeerHandler<P> {
    fn limits(&self) -> ConnectionLimits {
        let catalog = self.0.gateway.catalog();
        let max_header_bytes = catalog.map_or(UNCONFIGURED_HEADER_BYTES, |c| {
            c.limits.max_header_bytes + ENVELOPE_BYTES
        });
        ConnectionLimits {
            header_timeout: IDLE_TIMEOUT,
            max_header_bytes,
        }
    }

    fn hold_connection(&self) -> Result<Option<Hold>, NoRoom> {
        self.0.gateway.hold_connection().map(Some)
    }

    fn refuse(&self, request: Request<Incoming>) -> ServerResponse {
        body::discard(request.into_body());
        peer_protocol::not_accepted_response(NotAccepted::Busy)
    }

    async fn handle(&self, request: Request<Incoming>) -> ServerResponse {
        self.0.respond(request).await
    }
}

impl<P: Platform> Service for PeerServer<P> {
    const NAME: &'static str = "gateway-peer-server";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        let Some(listener) = self.listener.take() else {
            return;
        };
        let handler = Rc::new(PeerHandler(Rc::clone(&self)));
        serve(listener, MAX_PEER_CONNECTIONS, handler, cancel).await;
    }
}
