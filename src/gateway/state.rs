//! State of one host on a platform, shared by its services.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio_util::sync::CancellationToken;

use super::demand::DemandBook;
use super::logs::LogBuffer;
use super::metrics::GatewayMetrics;
use super::peers::PeerSender;
use super::place::Places;
use super::platform::Platform;
use super::settings::GatewaySettings;
use crate::core::catalog::Catalog;
use crate::core::ids::{HostId, ServiceId};
use crate::core::load::LoadTable;
use crate::core::peer_list::PeerList;
use crate::core::peer_loads::PeerLoads;
use crate::core::registry::{Registry, RegistryChange};
use crate::core::retry::RetryBudget;
use crate::core::routing::Rng;
use crate::edge::pool::Pool;
use crate::kernel::Service;
use crate::services::clock::Clock;

/// Share of its part of the fleet's retries that a host uses; the rest covers
/// what hosts do not know of each other.
const RETRY_SAFETY: f64 = 0.7;
/// Hosts assumed before the others are known.
const ASSUMED_HOSTS: usize = 8;

/// Host that gives orders to engines.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ActingHost {
    /// Name.
    pub host: HostId,
    /// Address for traffic between hosts.
    pub addr: SocketAddr,
    /// Revision at which it became so; its fencing number.
    pub term: u64,
}

/// Shared state.
#[derive(Debug)]
pub struct Gateway<P: Platform> {
    /// Settings in force.
    pub settings: RefCell<Rc<GatewaySettings>>,
    /// Platform.
    pub platform: P,
    /// Clock.
    pub clock: Clock,
    /// Connections to upstreams.
    pub pool: Pool,
    /// Operators' configuration in force.
    pub catalog: RefCell<Option<Rc<Catalog>>>,
    /// Listed upstreams.
    pub registry: RefCell<Registry>,
    /// Load and health of upstreams.
    pub loads: RefCell<LoadTable>,
    /// Requests that wait for an upstream.
    pub places: RefCell<Places>,
    /// Retry budget of each service.
    pub budgets: RefCell<HashMap<ServiceId, RetryBudget>>,
    /// What callers asked for.
    pub demand: RefCell<DemandBook>,
    /// All hosts of the fleet.
    pub peers: RefCell<PeerList>,
    /// Host that gives orders.
    pub acting: RefCell<Option<ActingHost>>,
    /// What other hosts state to have in flight.
    pub peer_loads: RefCell<PeerLoads>,
    /// Sends messages to other hosts.
    pub peer_sender: PeerSender,
    /// Noise.
    pub rng: RefCell<Rng>,
    /// Metrics.
    pub metrics: GatewayMetrics,
    /// Log lines on their way out.
    pub logs: LogBuffer,
    /// True while the store answers.
    pub is_store_up: Cell<bool>,
    /// True once the listings were read.
    pub is_listed: Cell<bool>,
    /// Fires when the process is asked to stop.
    pub stopping: CancellationToken,
}

impl<P: Platform> Gateway<P> {
    /// State at the start of a process.
    pub fn new(settings: GatewaySettings, platform: P, logs: LogBuffer) -> Self {
        let clock = Clock::default();
        let seed = crate::core::rendezvous::hash(settings.host.as_str()) ^ clock.started_ms();
        Self {
            settings: RefCell::new(Rc::new(settings)),
            platform,
            pool: Pool::default(),
            catalog: RefCell::default(),
            registry: RefCell::default(),
            loads: RefCell::default(),
            places: RefCell::default(),
            budgets: RefCell::default(),
            demand: RefCell::default(),
            peers: RefCell::default(),
            acting: RefCell::default(),
            peer_loads: RefCell::default(),
            peer_sender: PeerSender::default(),
            rng: RefCell::new(Rng::new(seed)),
            metrics: GatewayMetrics::default(),
            logs,
            is_store_up: Cell::new(false),
            is_listed: Cell::new(false),
            stopping: CancellationToken::new(),
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

    /// Milliseconds since the epoch, never backwards.
    pub fn now_ms(&self) -> u64 {
        self.clock.now_ms()
    }

    /// True once requests can be served, until the process is to stop.
    pub fn is_ready(&self) -> bool {
        self.catalog.borrow().is_some() && self.is_listed.get() && !self.stopping.is_cancelled()
    }

    /// Number of hosts, this one included.
    pub fn host_count(&self) -> usize {
        let known = self.peers.borrow().recipients(self.now_ms()).count();
        if known == 0 {
            ASSUMED_HOSTS
        } else {
            known.max(1)
        }
    }

    /// Puts a configuration in force unless a newer one is.
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
        *self.catalog.borrow_mut() = Some(Rc::new(catalog));
        self.metrics.config_version.set(version.cast_signed());
    }

    /// Logs a change of the registry and acts on it.
    pub fn on_registry_change(&self, change: &RegistryChange, revision: u64) {
        let (what, id) = match change {
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
                change = what,
                revision,
                service = entry.map_or("", |e| e.service.as_str()),
                models = entry.map_or(0, |e| e.resident.len()),
                in_memory = entry.map_or(0, |e| e.in_memory.len()),
                on_disk = entry.map_or(0, |e| e.on_disk.len()),
            );
        }
        if let RegistryChange::Removed(id) = change {
            self.loads.borrow_mut().remove_if_idle(id);
        }
    }

    /// Notes whether the store answers; true if that is new.
    pub fn note_store(&self, is_up: bool, reason: &'static str) -> bool {
        let is_new = self.is_store_up.replace(is_up) != is_up;
        if is_new {
            tracing::info!(event = "dependency", dependency = "store", is_up, reason);
        }
        is_new
    }

    /// Counts a first attempt against a service's retry budget.
    pub fn count_first_attempt(&self, service: &ServiceId) {
        self.with_budget(service, RetryBudget::on_first_attempt);
    }

    /// Takes a retry from a service's budget; false if it is spent.
    pub fn try_retry(&self, service: &ServiceId) -> bool {
        let is_allowed = self.with_budget(service, RetryBudget::try_retry);
        if is_allowed {
            self.metrics.retries.inc();
        }
        is_allowed
    }

    fn with_budget<T>(&self, service: &ServiceId, act: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let settings = self.settings();
        let hosts = self.host_count() as f64;
        let slack = f64::from(settings.retry_slack) * 1000.0 * RETRY_SAFETY / hosts;
        let mut budgets = self.budgets.borrow_mut();
        let budget = budgets.entry(service.clone()).or_insert_with(|| {
            let share = settings.retry_share * 1000.0 * RETRY_SAFETY;
            RetryBudget::new(share as u32, slack as u32)
        });
        budget.set_max(slack as u32);
        act(budget)
    }
}

impl<P: Platform> Service for Gateway<P> {
    const NAME: &'static str = "gateway";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        cancel.cancelled().await;
    }
}
