//! HTTP interface for operators: health, metrics, status, timeline and drain.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use compio::net::TcpListener;
use hyper::body::Incoming;
use hyper::{Method, Request};
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use super::claims::ClaimService;
use super::host::Host;
use crate::core::config::Finding;
use crate::core::fleet::{ListedState, Observation};
use crate::core::ids::{HostId, TeamId, UpstreamId, ZoneId};
use crate::core::timeline::Event;
use crate::edge::body::{self, ServerResponse};
use crate::edge::server::{Handler, serve};
use crate::kernel::Service;

/// Limit of open operator connections.
const MAX_CONNECTIONS: usize = 256;

/// Status of one entry host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostStatus {
    /// Name of the host.
    pub host: HostId,
    /// Availability zone.
    pub zone: ZoneId,
    /// True while requests are accepted.
    pub is_ready: bool,
    /// True while the platform's key-value service responds.
    pub is_platform_up: bool,
    /// Hosts with a recent heartbeat, and this one.
    pub hosts_up: Vec<HostId>,
    /// Active configuration revision of each team.
    pub revisions: BTreeMap<TeamId, u64>,
    /// Findings of each team whose newest configuration was refused.
    pub refused: BTreeMap<TeamId, Vec<Finding>>,
    /// Upstreams.
    pub upstreams: Vec<UpstreamStatus>,
    /// Calls to the key-value service since the start.
    pub kv_calls: u64,
    /// Claims with a pending write.
    pub unfinished_claims: usize,
    /// Requests in flight.
    pub in_flight: u32,
}

/// Status of one upstream, as known to this host.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct UpstreamStatus {
    /// Name of the upstream.
    pub id: UpstreamId,
    /// Availability zone.
    pub zone: ZoneId,
    /// State on the platform's list.
    pub state: ListedState,
    /// True if it is on the platform's list.
    pub is_listed: bool,
    /// Acting host.
    pub acting_host: Option<HostId>,
    /// True while failures or slow responses exclude it from routing.
    pub is_ejected: bool,
    /// Estimated load in per mille.
    pub load_permille: u32,
    /// Newest observation.
    pub seen: Observation,
}

/// Service that responds to operators.
#[derive(Debug)]
pub struct OperatorService {
    host: Rc<Host>,
    claims: Rc<ClaimService>,
    listener: RefCell<Option<TcpListener>>,
}

impl OperatorService {
    /// Creates the service on a bound listener.
    pub fn new(host: Rc<Host>, claims: Rc<ClaimService>, listener: TcpListener) -> Self {
        Self {
            host,
            claims,
            listener: RefCell::new(Some(listener)),
        }
    }

    /// Status of this host.
    pub fn status(&self) -> HostStatus {
        let host = &self.host;
        let now_ms = host.clock.now_ms();
        let active_config = host.active_config.borrow();
        let membership = host.membership.borrow();
        let refused = active_config
            .rejected()
            .iter()
            .map(|(t, (_, f))| (t.clone(), f.clone()));
        HostStatus {
            host: host.settings.host.clone(),
            zone: host.settings.zone.clone(),
            is_ready: host.is_ready(),
            is_platform_up: host.is_platform_up.get(),
            hosts_up: membership
                .hosts_up(now_ms)
                .map(|(id, _)| id.clone())
                .collect(),
            revisions: active_config
                .teams()
                .iter()
                .map(|(t, e)| (t.clone(), e.revision))
                .collect(),
            refused: refused.collect(),
            upstreams: self.upstream_statuses(now_ms),
            kv_calls: host.kv.calls(),
            unfinished_claims: self.claims.pending_write_count(),
            in_flight: host.team_loads.borrow().total_in_flight(),
        }
    }

    fn upstream_statuses(&self, now_ms: u64) -> Vec<UpstreamStatus> {
        let membership = self.host.membership.borrow();
        let fleet = self.host.fleet.borrow();
        let statuses = fleet.upstreams().iter().map(|u| UpstreamStatus {
            id: u.listed.id.clone(),
            zone: u.listed.zone.clone(),
            state: u.listed.state,
            is_listed: u.is_listed,
            acting_host: membership
                .acting_host(now_ms, u.listed.id.as_str(), &u.listed.zone)
                .cloned(),
            is_ejected: u.health.is_ejected(now_ms),
            load_permille: u.load_permille(),
            seen: u.observation.clone(),
        });
        statuses.collect()
    }

    fn respond(&self, request: &Request<Incoming>) -> ServerResponse {
        match (request.method(), request.uri().path()) {
            (&Method::GET, "/livez") => body::text(200, "ok\n"),
            (&Method::GET, "/readyz") if self.host.is_ready() => body::text(200, "ok\n"),
            (&Method::GET, "/readyz") => body::text(503, "not ready\n"),
            (&Method::GET, "/metrics") => {
                self.host
                    .metrics
                    .kv_calls
                    .set(self.host.kv.calls().cast_signed());
                body::text(200, self.host.metrics.encode())
            }
            (&Method::GET, "/status") => body::json(200, &self.status()),
            (&Method::GET, "/timeline") => {
                let timeline = self.host.timeline.borrow();
                let events: Vec<&Event> = timeline.events().collect();
                body::json(200, &events)
            }
            (&Method::POST, "/drain") => {
                self.host.drain();
                body::text(202, "draining\n")
            }
            _ => body::text(404, "no such path\n"),
        }
    }
}

struct OperatorHandler(Rc<OperatorService>);

impl Handler for OperatorHandler {
    async fn handle(&self, request: Request<Incoming>) -> ServerResponse {
        self.0.respond(&request)
    }
}

impl Service for OperatorService {
    const NAME: &'static str = "operators";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        let Some(listener) = self.listener.take() else {
            return;
        };
        let handler = Rc::new(OperatorHandler(Rc::clone(&self)));
        serve(listener, MAX_CONNECTIONS, handler, cancel).await;
    }
}
