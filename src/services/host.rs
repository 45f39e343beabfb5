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

/// State shared by the services.
#[derive(Debug)]
pub struct Host {
    /// Settings of the process.
    pub settings: Settings,
    /// Wall clock of the process.
    pub clock: Clock,
    /// Active configuration.
    pub active_config: RefCell<ActiveConfig>,
    /// Upstreams with their newest observations.
    pub fleet: RefCell<Fleet>,
    /// Entry hosts known to this one.
    pub membership: RefCell<Membership>,
    /// Requests in flight per team.
    pub team_loads: RefCell<TeamLoads>,
    /// Retry budget per team.
    pub retry_budgets: RefCell<HashMap<TeamId, RetryBudget>>,
    /// Random numbers for tie-breaking, jitter and claim nonces.
    pub rng: RefCell<Rng>,
    /// Recorded events.
    pub timeline: RefCell<Timeline>,
    /// Metrics.
    pub metrics: Metrics,
    /// Pool of outgoing connections.
    pub pool: Pool,
    /// Client of the platform's key-value service.
    pub kv: EtcdClient,
    /// True while the key-value service responds.
    pub is_platform_up: Cell<bool>,
    /// True once a configuration from the platform or a peer is active.
    pub is_configured: Cell<bool>,
    /// Cancelled when the host starts to drain.
    pub draining: CancellationToken,
}

impl Host {
    /// Creates the state of a process that starts.
    pub fn new(settings: Settings) -> Self {
        let clock = Clock::default();
        let pool = Pool::default();
        let seed = settings.seed.unwrap_or_else(|| clock.started_ms());
        Self {
            clock,
            active_config: RefCell::default(),
            fleet: RefCell::default(),
            membership: RefCell::new(Membership::new(&settings.host, &settings.zone)),
            team_loads: RefCell::default(),
            retry_budgets: RefCell::default(),
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

    /// Records an event in the timeline.
    pub fn record(&self, subject: Subject<'_>, kind: EventKind) {
        self.timeline
            .borrow_mut()
            .record(self.clock.now_ms(), subject, kind);
    }

    /// Records whether the key-value service responds; logs each change.
    pub fn record_platform_state(&self, is_up: bool) {
        if self.is_platform_up.replace(is_up) != is_up {
            tracing::info!(
                is_up,
                "availability of the platform's key-value service changed"
            );
            self.record(Subject::default(), EventKind::Platform { is_up });
        }
    }

    /// Starts to drain: the host becomes unready and announces it with its
    /// heartbeats, and other hosts take over its upstreams.
    pub fn drain(&self) {
        if !self.draining.is_cancelled() {
            self.record(Subject::default(), EventKind::Draining);
            self.membership.borrow_mut().start_draining();
            self.draining.cancel();
        }
    }

    /// True while requests are accepted.
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
