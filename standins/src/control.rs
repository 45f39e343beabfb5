//! Control of a running stand-in process: faults, the list of hosts, and a
//! report of what the stand-ins have seen.

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
use super::host_list::Hosts;
use super::http::{call_json, read_json};
use super::kv::{Kv, KvCalls, KvFaults};
use super::relay::{End, Network};
use super::service::{Bookings, PlainService, ServiceFaults};
use super::store::Store;

/// Change of what the stand-ins do.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Control {
    /// Faults of the key-value service.
    Kv(KvFaults),
    /// Faults of an engine.
    Engine(UpstreamId, EngineFaults),
    /// Restart of an engine with empty memory.
    RestartEngine(UpstreamId),
    /// Faults of a plain service.
    Service(UpstreamId, ServiceFaults),
    /// Entry host for the list.
    EntryHost(ListedHost),
    /// Cuts or heals the network between two availability zones.
    CutZones(ZoneId, ZoneId, bool),
    /// Cuts or heals the network between a zone and the platform.
    CutPlatform(ZoneId, bool),
    /// State of an upstream on the list; absent takes it off.
    ListUpstream(UpstreamId, Option<ListedState>),
}

/// What the stand-ins have seen.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Seen {
    /// Calls to the key-value service.
    pub kv: KvCalls,
    /// Engines.
    pub engines: BTreeMap<UpstreamId, EngineCounts>,
    /// Models ready per engine.
    pub ready: BTreeMap<UpstreamId, Vec<ArtifactId>>,
    /// Loads over the weight store's budget.
    pub store_over_budget: u64,
    /// Bookings that ran.
    pub bookings: usize,
    /// Bookings that ran more than once.
    pub doubled_bookings: usize,
}

impl Seen {
    /// Load and unload orders carried out.
    pub fn moves(&self) -> u64 {
        self.engines.values().map(|e| e.loads + e.unloads).sum()
    }

    /// Orders beyond an engine's memory, and bookings that ran twice.
    pub fn violations(&self) -> u64 {
        let overcommits: u64 = self.engines.values().map(|e| e.overcommits).sum();
        overcommits + self.doubled_bookings as u64
    }
}

/// All stand-ins of a process.
#[derive(Debug)]
pub struct Controlled {
    /// Key-value service.
    pub kv: Rc<Kv>,
    /// List of hosts.
    pub hosts: Rc<Hosts>,
    /// Network between the zones.
    pub network: Rc<Network>,
    /// Weight store.
    pub store: Rc<Store>,
    /// Engines.
    pub engines: Vec<Rc<Engine>>,
    /// Plain services.
    pub services: Vec<Rc<PlainService>>,
    /// Bookings of all services.
    pub bookings: Rc<Bookings>,
}

impl Controlled {
    fn apply(&self, control: Control) -> bool {
        match control {
            Control::Kv(faults) => self.kv.set_faults(faults),
            Control::Engine(id, faults) => return self.with_engine(&id, |e| e.set_faults(faults)),
            Control::RestartEngine(id) => return self.with_engine(&id, Engine::restart),
            Control::Service(id, faults) => {
                let found = self.services.iter().find(|s| s.plan().id == id);
                return found.map(|s| s.set_faults(faults)).is_some();
            }
            Control::CutZones(a, b, is_cut) => {
                self.network.set_cut(&End::Zone(a), &End::Zone(b), is_cut);
            }
            Control::CutPlatform(zone, is_cut) => {
                self.network
                    .set_cut(&End::Zone(zone), &End::Platform, is_cut);
            }
            Control::EntryHost(host) => self.hosts.set_entry_host(host),
            Control::ListUpstream(id, state) => self.hosts.set_upstream(id.as_str(), state),
        }
        true
    }

    fn with_engine(&self, id: &UpstreamId, change: impl Fn(&Engine)) -> bool {
        let found = self.engines.iter().find(|e| e.plan().id == *id);
        found.map(|e| change(e)).is_some()
    }

    fn seen(&self) -> Seen {
        let engines = self.engines.iter();
        Seen {
            kv: self.kv.calls(),
            engines: engines
                .clone()
                .map(|e| (e.plan().id.clone(), e.counts()))
                .collect(),
            ready: engines
                .map(|e| (e.plan().id.clone(), e.ready().into_iter().collect()))
                .collect(),
            store_over_budget: self.store.over_budget(),
            bookings: self.bookings.total(),
            doubled_bookings: self.bookings.doubled(),
        }
    }
}

/// Serves the control address.
#[derive(Debug)]
pub struct ControlHandler(pub Rc<Controlled>);

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
                Err(answer) => answer,
            },
            "/seen" => body::json(200, &self.0.seen()),
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
    /// Client of an address.
    pub fn new(addr: SocketAddr) -> Self {
        Self {
            addr,
            pool: Pool::default(),
        }
    }

    /// Changes what a stand-in does; false if that failed.
    pub async fn apply(&self, control: &Control) -> bool {
        call_json(&self.pool, self.addr, "POST", "/control", control)
            .await
            .unwrap_or(false)
    }

    /// Asks what the stand-ins have seen.
    pub async fn seen(&self) -> Option<Seen> {
        call_json(&self.pool, self.addr, "GET", "/seen", &()).await
    }
}
