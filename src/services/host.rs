//! State of one entry host, shared by its services.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;

use tokio_util::sync::CancellationToken;

use super::clock::Clock;
use super::metrics::Metrics;
use crate::core::admission::TeamLoads;
use crate::core::fleet::Fleet;
use crate::core::ids::TeamId;
use crate::core::membership::Membership;
use crate::core::retry::RetryBudget;
use crate::core::routing::Rng;
use crate::core::timeline::{EventKind, Subject, Timeline};
use crate::core::view::ActiveConfig;
use crate::edge::kv::EtcdClient;
use crate::edge::pool::Pool;
use crate::kernel::Service;
use crate::settings::Settings;

/// Shared state.
#[derive(Debug)]
pub struct Host {
    /// Settings of the process.
    pub settings: Settings,
    /// Clock.
    pub clock: Clock,
    /// Configuration in force.
    pub view: RefCell<ActiveConfig>,
    /// Upstreams.
    pub fleet: RefCell<Fleet>,
    /// Entry hosts.
    pub members: RefCell<Membership>,
    /// Requests of each team in flight.
    pub loads: RefCell<TeamLoads>,
    /// Retry budget of each team.
    pub budgets: RefCell<HashMap<TeamId, RetryBudget>>,
    /// Tie-breaking.
    pub rng: RefCell<Rng>,
    /// Events.
    pub timeline: RefCell<Timeline>,
    /// Metrics.
    pub metrics: Metrics,
    /// Connections.
    pub pool: Pool,
    /// Platform's key-value service.
    pub kv: EtcdClient,
    /// True while the platform's service answers.
    pub is_platform_up: Cell<bool>,
    /// True once the configuration was read from the platform or a peer.
    pub is_configured: Cell<bool>,
    /// Fires when the process is asked to stop.
    pub draining: CancellationToken,
}

impl Host {
    /// State at the start of a process.
    pub fn new(settings: Settings) -> Self {
        let clock = Clock::default();
        let pool = Pool::default();
        let seed = settings.seed.unwrap_or_else(|| clock.started_ms());
        Self {
            clock,
            view: RefCell::default(),
            fleet: RefCell::default(),
            members: RefCell::new(Membership::new(&settings.host, &settings.zone)),
            loads: RefCell::default(),
            budgets: RefCell::default(),
            rng: RefCell::new(Rng::new(seed)),
            timeline: RefCell::new(Timeline::new(&settings.host)),
            metrics: Metrics::default(),
            kv: EtcdClient::new(settings.kv_addr, pool.clone()),
            pool,
            is_platform_up: Cell::new(false),
            is_configured: Cell::new(false),
            draining: CancellationToken::new(),
            settings,
        }
    }

    /// Records an event.
    pub fn record(&self, subject: Subject<'_>, kind: EventKind) {
        self.timeline
            .borrow_mut()
            .record(self.clock.now_ms(), subject, kind);
    }

    /// Records whether the platform's service answers.
    pub fn note_platform(&self, is_up: bool) {
        if self.is_platform_up.replace(is_up) != is_up {
            tracing::info!(is_up, "platform's key-value service");
            self.record(Subject::default(), EventKind::Platform { is_up });
        }
    }

    /// Starts to stop: readiness goes off, peers are told, duties move.
    pub fn drain(&self) {
        if !self.draining.is_cancelled() {
            self.record(Subject::default(), EventKind::Draining);
            self.members.borrow_mut().start_draining();
            self.draining.cancel();
        }
    }

    /// True once requests can be answered.
    pub fn is_ready(&self) -> bool {
        self.is_configured.get() && !self.draining.is_cancelled()
    }
}

impl Service for Host {
    const NAME: &'static str = "host";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        cancel.cancelled().await;
    }
}
