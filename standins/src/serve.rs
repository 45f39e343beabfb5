//! Starts the servers of all stand-ins of a plan on loopback.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write as _};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use currantcove::core::fleet::{ListedState, ListedUpstream, UpstreamKind};
use currantcove::core::ids::{UpstreamId, ZoneId};
use currantcove::edge::server::{Handler, listen, serve};
use currantcove::services::host_list::HostList;
use serde::{Deserialize, Serialize};
use tokio_util::sync::CancellationToken;

use super::control::{ControlHandler, StandIns};
use super::engine::{Engine, EngineHandler};
use super::host_list::{DelayedHostList, HostListHandler};
use super::kv::{Kv, KvHandler};
use super::plan::Plan;
use super::relay::{Endpoint, Network};
use super::service::{Bookings, PlainService, ServiceHandler};
use super::store::WeightStore;

const MAX_CONNECTIONS: usize = 65_536;

/// Addresses of the stand-ins. The process prints them once all servers listen.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StandInAddrs {
    /// Control address of the stand-ins.
    pub control: SocketAddr,
    /// Key-value service, without a relay.
    pub kv: SocketAddr,
    /// Relay addresses of the platform per availability zone.
    pub platform: BTreeMap<ZoneId, PlatformAddrs>,
    /// Engines and plain services, without a relay.
    pub upstreams: BTreeMap<UpstreamId, SocketAddr>,
}

/// Relay addresses of the platform for one availability zone.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct PlatformAddrs {
    /// Key-value service.
    pub kv: SocketAddr,
    /// Host list.
    pub host_list: SocketAddr,
}

async fn start_server<H: Handler>(handler: H) -> io::Result<SocketAddr> {
    let listener = listen(SocketAddr::from(([127, 0, 0, 1], 0))).await?;
    let addr = listener.local_addr()?;
    let task = serve(
        listener,
        MAX_CONNECTIONS,
        Rc::new(handler),
        CancellationToken::new(),
    );
    compio::runtime::spawn(task).detach();
    Ok(addr)
}

/// Starts all stand-ins of a plan.
pub async fn start(plan: Plan) -> io::Result<StandInAddrs> {
    let store = Rc::new(WeightStore::new(plan.store.clone()));
    let bookings = Rc::new(Bookings::default());
    let kv = Rc::new(Kv::new(plan.kv.clone()));
    let zones: BTreeSet<ZoneId> = plan.engines.iter().map(|e| e.zone.clone()).collect();
    let mut upstreams = BTreeMap::new();
    let mut host_list = HostList::default();
    let mut engines = Vec::new();
    for engine_plan in plan.engines {
        let engine = Rc::new(Engine::new(engine_plan.clone(), Rc::clone(&store)));
        let addr = start_server(EngineHandler(Rc::clone(&engine))).await?;
        compio::runtime::spawn(Rc::clone(&engine).refresh_load_report()).detach();
        upstreams.insert(engine_plan.id.clone(), addr);
        host_list.upstreams.push(ListedUpstream {
            id: engine_plan.id,
            addr,
            zone: engine_plan.zone,
            kind: UpstreamKind::Engine,
            state: ListedState::Live,
            accelerators: engine_plan.accelerators,
            memory_mib: engine_plan.memory_mib,
            max_batch: engine_plan.max_batch,
            checks_fencing: engine_plan.checks_fencing,
        });
        engines.push(engine);
    }
    let mut services = Vec::new();
    for service_plan in plan.services {
        let service = Rc::new(PlainService::new(
            service_plan.clone(),
            Rc::clone(&bookings),
        ));
        let addr = start_server(ServiceHandler(Rc::clone(&service))).await?;
        upstreams.insert(service_plan.id.clone(), addr);
        host_list.upstreams.push(ListedUpstream {
            id: service_plan.id,
            addr,
            zone: service_plan.zone,
            kind: UpstreamKind::Service,
            state: ListedState::Live,
            accelerators: 0,
            memory_mib: 0,
            max_batch: service_plan.max_batch,
            checks_fencing: false,
        });
        services.push(service);
    }
    let hosts = Rc::new(DelayedHostList::new(
        host_list,
        Duration::from_millis(plan.host_list_lag_ms),
    ));
    let kv_addr = start_server(KvHandler(Rc::clone(&kv))).await?;
    let network = Rc::new(Network::default());
    let mut platform = BTreeMap::new();
    for zone in zones {
        let handler = HostListHandler {
            hosts: Rc::clone(&hosts),
            network: Rc::clone(&network),
            zone: zone.clone(),
        };
        let list_addr = start_server(handler).await?;
        let addrs = PlatformAddrs {
            kv: network
                .relay_addr(&zone, Endpoint::Platform, kv_addr)
                .await?,
            host_list: network
                .relay_addr(&zone, Endpoint::Platform, list_addr)
                .await?,
        };
        platform.insert(zone, addrs);
    }
    let controlled = StandIns {
        kv,
        hosts,
        network,
        store,
        engines,
        services,
        bookings,
    };
    let control = start_server(ControlHandler(Rc::new(controlled))).await?;
    Ok(StandInAddrs {
        control,
        kv: kv_addr,
        platform,
        upstreams,
    })
}

/// Serves the stand-ins of a plan until the process is terminated. Prints
/// [`StandInAddrs`] as one line of JSON to stdout.
pub fn run(plan: Plan) -> io::Result<()> {
    let runtime = compio::runtime::Runtime::new()?;
    runtime.block_on(async {
        let addrs = start(plan).await?;
        println!("{}", serde_json::to_string(&addrs)?);
        io::stdout().flush()?;
        std::future::pending().await
    })
}
