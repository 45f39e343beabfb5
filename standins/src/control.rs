//! Control interface of a running stand-in process: injects faults, changes
//! the host list, and reports the counters of the stand-ins.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;

use currantcove::core::fleet::ListedState;
use currantcove::core::ids::{ArtifactId, UpstreamId, ZoneId};
use currantcove::core::membership::ListedHost;
use currantcove::edge::body::{self, ServerResponse};
use currantcove::edge::pool::Pool;
use currantcove::edge::server::Handler;
use hyper::Request;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};

use super::engine::{Engine, EngineCounts, EngineFaults};
use super::host_list::DelayedHostList;
use super::http::{call_json, read_json};
use super::kv::{Kv, KvCallCounts, KvFaults};
use super::relay::{Endpoint, Network};
use super::service::{Bookings, PlainService, ServiceFaults};
use super::store::WeightStore;

/// Request that changes the behaviour of stand-ins.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ControlRequest {
    /// Sets the faults of the key-value service.
    Kv(KvFaults),
    /// Sets the faults of an engine.
    Engine(UpstreamId, EngineFaults),
    /// Restarts an engine with empty memory.
    RestartEngine(UpstreamId),
    /// Sets the faults of a plain service.
    Service(UpstreamId, ServiceFaults),
    /// Adds an entry host to the host list, or replaces it.
    EntryHost(ListedHost),
    /// Starts (true) or ends (false) a network partition between two availability
    /// zones.
    CutZones(ZoneId, ZoneId, bool),
    /// Starts (true) or ends (false) a network partition between a zone and the
    /// platform.
    CutPlatform(ZoneId, bool),
    /// Sets the listed state of an upstream; `None` removes it from the list.
    ListUpstream(UpstreamId, Option<ListedState>),
}

/// Counters and state of the stand-ins.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct StandInStats {
    /// Calls of the key-value service.
    pub kv: KvCallCounts,
    /// Counters of each engine.
    pub engines: BTreeMap<UpstreamId, EngineCounts>,
    /// Ready models of each engine.
    pub ready: BTreeMap<UpstreamId, Vec<ArtifactId>>,
    /// Loads that exceeded the budget of the weight store.
    pub store_over_budget: u64,
    /// Bookings that were executed.
    pub bookings: usize,
    /// Bookings that were executed more than once.
    pub doubled_bookings: usize,
}

impl StandInStats {
    /// Load and unload orders that engines executed.
    pub fn moves(&self) -> u64 {
        self.engines.values().map(|e| e.loads + e.unloads).sum()
    }

    /// Loads that exceeded the memory of an engine, and bookings that were executed
    /// more than once.
    pub fn violations(&self) -> u64 {
        let overcommits: u64 = self.engines.values().map(|e| e.overcommits).sum();
        overcommits + self.doubled_bookings as u64
    }
}

/// The stand-ins of a process that the control interface acts on.
#[derive(Debug)]
pub struct StandIns {
    /// Key-value service.
    pub kv: Rc<Kv>,
    /// Host list.
    pub hosts: Rc<DelayedHostList>,
    /// Network between the availability zones.
    pub network: Rc<Network>,
    /// Weight store.
    pub store: Rc<WeightStore>,
    /// Engines.
    pub engines: Vec<Rc<Engine>>,
    /// Plain services.
    pub services: Vec<Rc<PlainService>>,
    /// Execution counts of the bookings of all services.
    pub bookings: Rc<Bookings>,
}

impl StandIns {
    fn apply(&self, control: ControlRequest) -> bool {
        match control {
            ControlRequest::Kv(faults) => self.kv.set_faults(faults),
            ControlRequest::Engine(id, faults) => {
                return self.with_engine(&id, |e| e.set_faults(faults));
            }
            ControlRequest::RestartEngine(id) => return self.with_engine(&id, Engine::restart),
            ControlRequest::Service(id, faults) => {
                let found = self.services.iter().find(|s| s.plan().id == id);
                return found.map(|s| s.set_faults(faults)).is_some();
            }
            ControlRequest::CutZones(a, b, is_cut) => {
                self.network
                    .set_cut(&Endpoint::Zone(a), &Endpoint::Zone(b), is_cut);
            }
            ControlRequest::CutPlatform(zone, is_cut) => {
                self.network
                    .set_cut(&Endpoint::Zone(zone), &Endpoint::Platform, is_cut);
            }
            ControlRequest::EntryHost(host) => self.hosts.set_entry_host(host),
            ControlRequest::ListUpstream(id, state) => self.hosts.set_upstream(id.as_str(), state),
        }
        true
    }

    fn with_engine(&self, id: &UpstreamId, change: impl Fn(&Engine)) -> bool {
        let found = self.engines.iter().find(|e| e.plan().id == *id);
        found.map(|e| change(e)).is_some()
    }

    fn stats(&self) -> StandInStats {
        let engines = self.engines.iter();
        StandInStats {
            kv: self.kv.call_counts(),
            engines: engines
                .clone()
                .map(|e| (e.plan().id.clone(), e.counts()))
                .collect(),
            ready: engines
                .map(|e| (e.plan().id.clone(), e.ready_models().into_iter().collect()))
                .collect(),
            store_over_budget: self.store.over_budget_loads(),
            bookings: self.bookings.count(),
            doubled_bookings: self.bookings.duplicate_count(),
        }
    }
}

/// HTTP handler of the control address.
#[derive(Debug)]
pub struct ControlHandler(pub Rc<StandIns>);

impl Handler for ControlHandler {
    async fn handle(&self, request: Request<Incoming>) -> ServerResponse {
        match request.uri().path() {
            "/control" => match read_json(request).await {
                Ok(control) => {
                    if self.0.apply(control) {
                        body::json(200, &true)
                    } else {
                        body::text(404, "no such stand-in\n")
                    }
                }
                Err(response) => response,
            },
            "/seen" => body::json(200, &self.0.stats()),
            _ => body::text(404, "no such path\n"),
        }
    }
}

/// Client of the control address.
#[derive(Clone, Debug)]
pub struct ControlClient {
    addr: SocketAddr,
    pool: Pool,
}

impl ControlClient {
    /// Client of the given address.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            pool: Pool::default(),
        }
    }

    /// Sends a control request; false if the call or the change failed.
    pub async fn apply(&self, control: &ControlRequest) -> bool {
        call_json(&self.pool, self.addr, "POST", "/control", control)
            .await
            .unwrap_or(false)
    }

    /// Fetches the counters; `None` if the call failed.
    pub async fn fetch_stats(&self) -> Option<StandInStats> {
        call_json(&self.pool, self.addr, "GET", "/seen", &()).await
    }
}
