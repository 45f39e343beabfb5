//! State of one host that its services share.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio_util::sync::CancellationToken;

use super::brittle::BrittleDesk;
use super::crashes::CrashDesk;
use super::demand::DemandCounters;
use super::departures::DepartureDesk;
use super::hedging::HedgeDesk;
use super::logs::LogBuffer;
use super::metrics::GatewayMetrics;
use super::peer_requests::PeerDesk;
use super::peers::PeerSender;
use super::permits::PermitDesk;
use super::place::AdmissionQueue;
use super::platform::Platform;
use super::quotas::QuotaDesk;
use super::reach::ReachDesk;
use super::room::RoomDesk;
use super::settings::GatewaySettings;
use super::shared_places::SharedPlaceDesk;
use super::stream_origins::OriginDesk;
use crate::core::attestation::Attestations;
use crate::core::catalog::Catalog;
use crate::core::ids::{HostId, ServiceId, UpstreamId};
use crate::core::load::LoadTable;
use crate::core::peer_list::{MAX_SMALL_FLEET, Peer, PeerList};
use crate::core::peer_loads::PeerLoads;
use crate::core::registry::{Entry, Registry, RegistryChange};
use crate::core::resource_account::{Purpose, ResourceAccount};
use crate::core::retry::RetryBudget;
use crate::core::routing::Rng;
use crate::core::software::SoftwareHistory;
use crate::core::store_relay::{Follower, Position};
use crate::core::upstream_rate::KnownRates;
use crate::core::write_times::WriteTimes;
use crate::edge::pool::Pool;
use crate::edge::resources::{Hold, NoRoom, Resources};
use crate::edge::response_reader::ResponseReader;
use crate::kernel::Service;
use crate::services::clock::Clock;

/// Share of a host's part of the fleet-wide retry budget that it uses; the rest
/// is a margin for differences between the hosts' views of the fleet.
const RETRY_SAFETY_FACTOR: f64 = 0.7;
/// Findings of one configuration that are logged.
const MAX_LOGGED_FINDINGS: usize = 20;
/// Memory of a connection of a caller or of another host.
const CONNECTION_BYTES: usize = 16 * 1024;
/// Number of hosts assumed before any is known.
const ASSUMED_HOST_COUNT: usize = 8;

/// Host that sends orders to engines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ActingHost {
    /// ID.
    pub host: HostId,
    /// Address for traffic between hosts.
    pub addr: SocketAddr,
    /// Revision at which it became the acting host; fencing token of its orders.
    pub term: u64,
}

/// State of one host.
#[derive(Debug)]
pub struct Gateway<P: Platform> {
    /// Settings in force.
    pub settings: RefCell<Rc<GatewaySettings>>,
    /// Adapter of the platform.
    pub platform: P,
    /// Clock.
    pub clock: Clock,
    /// Memory and descriptors of the process.
    pub resources: Resources,
    /// Connection pool for upstreams.
    pub pool: Pool,
    /// Reader of upstreams' responses.
    pub response_reader: ResponseReader,
    /// Operators' configuration in force.
    pub catalog: RefCell<Option<Rc<Catalog>>>,
    /// Time from which that configuration is in force.
    pub catalog_since_ms: Cell<u64>,
    /// Registered upstreams.
    pub registry: RefCell<Registry>,
    /// Load and health of upstreams.
    pub loads: RefCell<LoadTable>,
    /// Requests queued for an upstream.
    pub admission_queue: RefCell<AdmissionQueue>,
    /// Retry budget of each service.
    pub retry_budgets: RefCell<HashMap<ServiceId, RetryBudget>>,
    /// Requests received, by model and adapter.
    pub demand: RefCell<DemandCounters>,
    /// All hosts of the fleet.
    pub peers: RefCell<PeerList>,
    /// Acting host, if there is one.
    pub acting_host: RefCell<Option<ActingHost>>,
    /// Requests in flight as reported by the hosts.
    pub peer_loads: RefCell<PeerLoads>,
    /// Rates that upstreams have stated.
    pub known_rates: RefCell<KnownRates>,
    /// Questions and accounts of requests to upstreams that state a rate.
    pub permits: PermitDesk,
    /// Share, delegation and accounts of quotas.
    pub quotas: QuotaDesk,
    /// Statements, places and accounts of brittle upstreams.
    pub brittle: BrittleDesk,
    /// Places and accounts of plain upstreams that the fleet shares.
    pub shared_places: SharedPlaceDesk,
    /// Requests that broke off when their upstreams ended.
    pub crashes: CrashDesk,
    /// Response times and second attempts of late requests.
    pub hedges: HedgeDesk,
    /// Where recent streams began.
    pub origins: OriginDesk,
    /// Incarnations of upstreams that are known to have run.
    pub attestations: RefCell<Attestations>,
    /// Software versions that were listed.
    pub software: RefCell<SoftwareHistory>,
    /// Requests that other hosts serve for this one.
    pub peer_requests: PeerDesk,
    /// Links to upstreams.
    pub reach: ReachDesk,
    /// Questions and accounts of room at engines.
    pub room: RoomDesk,
    /// Sends messages to other hosts.
    pub peer_sender: PeerSender,
    /// Random number generator.
    pub rng: RefCell<Rng>,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// Buffer of log lines.
    pub logs: LogBuffer,
    /// True while the store responds.
    pub is_store_up: Cell<bool>,
    /// State of the store up to which this host knows all changes.
    pub position: Cell<Position>,
    /// Times after which changes of the store were written.
    pub write_times: RefCell<WriteTimes>,
    /// Time of the last request for the store's present revision.
    pub revision_requested_ms: Cell<u64>,
    /// What watching hosts have passed on.
    pub follower: Cell<Follower>,
    /// What is known of the last outage of the store.
    pub departures: DepartureDesk,
    /// True once a snapshot of the store was read.
    pub is_synced: Cell<bool>,
    /// Cancelled when the process receives a stop signal.
    pub stopping: CancellationToken,
    /// Time at which requests in progress are answered as the process stops.
    pub stop_ends_ms: Cell<Option<u64>>,
    /// Cancelled at that time.
    pub stop_ended: CancellationToken,
}

fn loads_at_start(settings: &GatewaySettings) -> LoadTable {
    let mut loads = LoadTable::default();
    if settings.learned_speed {
        loads.learn_speeds();
    }
    loads
}

impl<P: Platform> Gateway<P> {
    /// State at the start of a process.
    pub fn new(settings: GatewaySettings, platform: P, logs: LogBuffer) -> Self {
        let clock = Clock::default();
        let account =
            ResourceAccount::of_process(settings.memory_bytes(), settings.max_descriptors as usize);
        let resources = Resources::new(account);
        let seed = crate::core::rendezvous::hash(settings.host.as_str()) ^ clock.started_ms();
        Self {
            platform,
            pool: Pool::charged_to(resources.clone()),
            response_reader: ResponseReader::new(resources.clone()),
            catalog: RefCell::default(),
            catalog_since_ms: Cell::new(0),
            registry: RefCell::default(),
            loads: RefCell::new(loads_at_start(&settings)),
            admission_queue: RefCell::default(),
            retry_budgets: RefCell::default(),
            demand: RefCell::default(),
            peers: RefCell::default(),
            acting_host: RefCell::default(),
            peer_loads: RefCell::default(),
            known_rates: RefCell::default(),
            permits: PermitDesk::default(),
            quotas: QuotaDesk::new(
                settings.host.clone(),
                settings.zone.clone(),
                clock.started_ms(),
                settings.quota_bounds(),
            ),
            brittle: BrittleDesk::new(settings.host.clone(), clock.started_ms()),
            shared_places: SharedPlaceDesk::new(settings.host.clone(), clock.started_ms()),
            settings: RefCell::new(Rc::new(settings)),
            crashes: CrashDesk::default(),
            hedges: HedgeDesk::default(),
            origins: OriginDesk::default(),
            attestations: RefCell::default(),
            software: RefCell::default(),
            peer_requests: PeerDesk::new(resources.clone()),
            resources,
            reach: ReachDesk::default(),
            room: RoomDesk::default(),
            peer_sender: PeerSender::default(),
            rng: RefCell::new(Rng::new(seed)),
            metrics: GatewayMetrics::default(),
            logs,
            is_store_up: Cell::new(false),
            position: Cell::default(),
            write_times: RefCell::default(),
            revision_requested_ms: Cell::new(0),
            follower: Cell::default(),
            departures: DepartureDesk::default(),
            is_synced: Cell::new(false),
            stopping: CancellationToken::new(),
            stop_ends_ms: Cell::new(None),
            stop_ended: CancellationToken::new(),
            clock,
        }
    }

    /// Settings in force.
    pub fn settings(&self) -> Rc<GatewaySettings> {
        Rc::clone(&self.settings.borrow())
    }

    /// Configuration in force.
    pub fn catalog(&self) -> Option<Rc<Catalog>> {
        self.catalog.borrow().clone()
    }

    /// Milliseconds since the epoch; never decreases.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// True once requests can be served, until the process receives a stop signal.
    pub fn is_ready(&self) -> bool {
        self.catalog.borrow().is_some() && self.is_synced.get() && !self.stopping.is_cancelled()
    }

    /// Number of hosts that are or were recently listed, or the assumed number while
    /// none is known.
    pub fn host_count(&self) -> usize {
        let known = self.peers.borrow().recipients(self.now_ms()).count();
        if known == 0 {
            ASSUMED_HOST_COUNT
        } else {
            known.max(1)
        }
    }

    /// Takes what a connection of a caller or of another host needs.
    pub fn hold_connection(&self) -> Result<Hold, NoRoom> {
        self.resources.hold(Purpose::Connection, CONNECTION_BYTES)
    }

    /// True if the fleet is too large for every host to watch the store and to send its
    /// loads to all others.
    pub fn is_large_fleet(&self) -> bool {
        self.host_count() > MAX_SMALL_FLEET
    }

    /// True if this host is listed as the acting host.
    pub fn is_acting_host(&self) -> bool {
        let acting = self.acting_host.borrow();
        acting
            .as_ref()
            .is_some_and(|a| a.host == self.settings().host)
    }

    /// Addresses of the other hosts that satisfy a condition.
    pub fn other_hosts(&self, is_included: impl Fn(&Peer) -> bool) -> Vec<SocketAddr> {
        let own = self.settings().host.clone();
        let peers = self.peers.borrow();
        peers
            .recipients(self.now_ms())
            .filter(|(host, peer)| **host != own && is_included(peer))
            .map(|(_, peer)| peer.addr)
            .collect()
    }

    /// Puts a configuration in force unless the current one is as new or newer.
    pub fn apply_catalog(&self, catalog: Catalog) {
        let version = catalog.version;
        let current = self.catalog.borrow().as_ref().map(|c| c.version);
        if current.is_some_and(|c| c >= version) {
            return;
        }
        tracing::info!(
            event = "configuration",
            version,
            replaces = current,
            routes = catalog.routes().len(),
            "configuration in force"
        );
        for finding in catalog.findings.iter().take(MAX_LOGGED_FINDINGS) {
            tracing::warn!(
                event = "configuration",
                version,
                path = finding.path,
                problem = finding.problem,
                findings = catalog.findings.len(),
                "part of the configuration is invalid and not in force"
            );
        }
        *self.catalog.borrow_mut() = Some(Rc::new(catalog));
        self.catalog_since_ms.set(self.now_ms());
        self.metrics.config_version.set(version.cast_signed());
    }

    /// Name of the version of an upstream's software; empty if unknown.
    pub fn software_of(&self, upstream: &UpstreamId) -> String {
        let registry = self.registry.borrow();
        let entry = registry.get(upstream.as_str());
        entry.map_or("", Entry::software_name).to_owned()
    }

    /// Logs a change of the registry and drops the load of a removed upstream.
    pub fn on_registry_change(&self, change: &RegistryChange, revision: u64) {
        let (change_kind, id) = match change {
            RegistryChange::Added(id) => ("added", id),
            RegistryChange::Draining(id) => ("draining", id),
            RegistryChange::Removed(id) => ("removed", id),
            RegistryChange::Lapsed(id) => ("lapsed", id),
            RegistryChange::Holdings(id) => ("holdings", id),
        };
        if !matches!(change, RegistryChange::Holdings(_)) {
            let registry = self.registry.borrow();
            let entry = registry.get(id.as_str());
            tracing::info!(
                event = "upstream",
                upstream = %id,
                change = change_kind,
                revision,
                service = entry.map_or("", |e| e.service.as_str()),
                software = entry.map_or("", Entry::software_name),
                models = entry.map_or(0, |e| e.resident.len()),
                in_memory = entry.map_or(0, |e| e.in_memory.len()),
                on_disk = entry.map_or(0, |e| e.on_disk.len()),
            );
        }
        if matches!(
            change,
            RegistryChange::Added(_) | RegistryChange::Removed(_)
        ) {
            self.forget_rate(id);
            if let Some(speeds) = self.loads.borrow_mut().speeds_mut() {
                speeds.forget(id);
            }
        }
        if let RegistryChange::Removed(id) = change {
            let now_ms = self.now_ms();
            self.brittle.known.borrow_mut().on_removed(now_ms, id);
            self.shared_places.remove(id);
            self.loads.borrow_mut().remove_if_idle(id);
        }
    }

    /// Records whether the store responds; true if that has changed.
    pub fn record_store_state(&self, is_up: bool, reason: &'static str) -> bool {
        let has_changed = self.is_store_up.replace(is_up) != is_up;
        if has_changed {
            tracing::info!(event = "dependency", dependency = "store", is_up, reason);
        }
        has_changed
    }

    /// Credits a first attempt to the retry budget of its service.
    pub fn record_first_attempt(&self, service: &ServiceId) {
        self.with_retry_budget(service, RetryBudget::on_first_attempt);
    }

    /// Withdraws a retry from the budget of a service; false if it is exhausted.
    pub fn try_retry(&self, service: &ServiceId) -> bool {
        let is_allowed = self.with_retry_budget(service, RetryBudget::try_retry);
        if is_allowed {
            self.metrics.retries.inc();
        }
        is_allowed
    }

    fn with_retry_budget<T>(
        &self,
        service: &ServiceId,
        operation: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let settings = self.settings();
        let hosts = self.host_count() as f64;
        let max_permille = settings.retry_slack * 1000.0 * RETRY_SAFETY_FACTOR / hosts;
        let mut budgets = self.retry_budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let share_permille = settings.retry_share * 1000.0 * RETRY_SAFETY_FACTOR;
            RetryBudget::new(share_permille as u32, max_permille as u32)
        });
        budget.set_capacity(max_permille as u32);
        operation(budget)
    }
}

impl<P: Platform> Service for Gateway<P> {
    const NAME: &'static str = "gateway";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        cancel.cancelled().await;
    }
}
