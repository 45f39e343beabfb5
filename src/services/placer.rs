//! Acts for upstreams: keeps their ledgers, sends orders to their engines and
//! publishes their observations.
//!
//! Each round requests the status of every such upstream, reconciles its
//! ledger with it, and executes the steps of the plan for this upstream. The
//! ledger and the weight store's slot are written in one transaction, and the
//! order is sent only after that. A write that conflicts with another change
//! of the ledger, or that has no response, evicts the cached ledger, so that
//! the next round reads it first.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::host::Host;
use super::observation_publisher::ObservationPublisher;
use super::peers::PeerService;
use super::store_slots::{StoreSlots, decode_slot, slot_cas};
use crate::core::fleet::{ListedUpstream, Observation, Upstream, UpstreamKind};
use crate::core::ids::{ArtifactId, UpstreamId};
use crate::core::ledger::{EntryState, Ledger, LedgerSnapshot, Order};
use crate::core::placement::{PlannedModel, PlannedUpstream, Step, plan};
use crate::core::slots::{Slot, VersionedSlot};
use crate::core::timeline::{EventKind, Subject};
use crate::edge::engine::{EngineClient, EngineStatus, LoadOrder, OrderOutcome, UnloadOrder};
use crate::edge::kv::{Cas, CasAllOutcome, KeyValue, KvError, KvStore};
use crate::kernel::Service;

/// Prefix of the keys of the ledgers.
pub const LEDGERS_PREFIX: &str = "/currantcove/ledgers/";
/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two plans per upstream of the fleet, in milliseconds.
const PLAN_INTERVAL_PER_UPSTREAM_MS: u64 = 2;
/// Age of an observation from the zone of this host, in milliseconds, from
/// which the planner omits the upstream.
const OWN_ZONE_STALE_AFTER_MS: u64 = 5_000;
/// The same for observations from other availability zones.
const OTHER_ZONE_STALE_AFTER_MS: u64 = 90_000;
/// Time without an observation, in milliseconds, after which this host takes
/// over an upstream of another availability zone.
const TAKEOVER_AFTER_MS: u64 = 4_000;
/// Time after which an order without effect is sent again, in milliseconds.
const ORDER_RETRY_MS: u64 = 3_000;
/// Margin, in milliseconds, by which another host's observation must be newer
/// than the claim of a slot to release the slot; covers clock skew.
const SLOT_CLOCK_SKEW_MS: u64 = 2_000;
/// Longest load, in milliseconds; an older claim of a slot is abandoned.
const MAX_LOAD_MS: u64 = 10 * 60 * 1000;
/// Weight of the newest sample in the smoothed demand, in percent.
const DEMAND_SMOOTHING_PERCENT: u32 = 20;

/// State of an upstream this host acts for.
#[derive(Clone, Debug, Default)]
struct ActingState {
    ledger: Option<(u64, Ledger)>,
    demand_permille: BTreeMap<ArtifactId, u32>,
    ordered_ms: BTreeMap<ArtifactId, u64>,
}

/// Service that acts for upstreams.
#[derive(Debug)]
pub struct PlacerService {
    host: Rc<Host>,
    publisher: ObservationPublisher,
    engines: EngineClient,
    acting_states: RefCell<BTreeMap<UpstreamId, ActingState>>,
    slots: StoreSlots,
    last_plan_ms: Cell<u64>,
}

impl PlacerService {
    /// Creates the service on the shared state.
    pub fn new(host: Rc<Host>, peers: Rc<PeerService>) -> Self {
        let engines = EngineClient::new(host.pool.clone());
        Self {
            publisher: ObservationPublisher::new(Rc::clone(&host), peers),
            engines,
            acting_states: RefCell::default(),
            slots: StoreSlots::new(Rc::clone(&host)),
            last_plan_ms: Cell::new(0),
            host,
        }
    }

    /// Returns the upstreams this host acts for now.
    ///
    /// Hosts may disagree about the membership of other availability zones.
    /// Therefore an upstream of another zone is taken over only once its
    /// observations have stopped.
    fn acting_upstreams(&self) -> Vec<ListedUpstream> {
        let now_ms = self.host.clock.now_ms();
        let membership = self.host.membership.borrow();
        let fleet = self.host.fleet.borrow();
        let settings = &self.host.settings;
        let is_acting = |u: &Upstream| {
            let id = &u.listed.id;
            let is_acting_host =
                membership.acting_host(now_ms, id.as_str(), &u.listed.zone) == Some(&settings.host);
            let is_own_zone = u.listed.zone == settings.zone;
            let is_silent = now_ms >= u.observation.observed_ms + TAKEOVER_AFTER_MS;
            is_acting_host && (is_own_zone || is_silent || self.cached_ledger(id).is_some())
        };
        let acting = fleet
            .upstreams()
            .iter()
            .filter(|u| u.is_listed && is_acting(u));
        acting.map(|u| u.listed.clone()).collect()
    }

    async fn run_round(&self) {
        let acting_upstreams = self.acting_upstreams();
        let ids: BTreeSet<&UpstreamId> = acting_upstreams.iter().map(|u| &u.id).collect();
        self.acting_states
            .borrow_mut()
            .retain(|id, _| ids.contains(id));
        self.publisher.retain_acting(&ids);
        let polls = acting_upstreams
            .iter()
            .map(|upstream| self.poll_upstream(upstream));
        let observations: Vec<_> = futures_util::future::join_all(polls).await;
        let items: Vec<_> = observations.into_iter().flatten().collect();
        self.publisher.publish(items);
        let Some(steps) = self.plan_if_due() else {
            return;
        };
        if self.slots.refresh().await.is_ok() {
            self.execute_steps(&acting_upstreams, &steps).await;
        }
    }

    /// Plans, unless the last plan is too recent for the size of the fleet.
    fn plan_if_due(&self) -> Option<Vec<Step>> {
        let now_ms = self.host.clock.now_ms();
        let upstreams = self.host.fleet.borrow().upstreams().len() as u64;
        if now_ms < self.last_plan_ms.get() + upstreams * PLAN_INTERVAL_PER_UPSTREAM_MS {
            return None;
        }
        self.last_plan_ms.set(now_ms);
        Some(self.plan())
    }

    /// Requests the status of an upstream and reconciles its ledger with it.
    async fn poll_upstream(&self, upstream: &ListedUpstream) -> Option<(UpstreamId, Observation)> {
        if upstream.kind == UpstreamKind::Engine {
            self.acquire_ledger(upstream).await;
        }
        let snapshot = self
            .cached_ledger(&upstream.id)
            .map(|(_, ledger)| ledger.snapshot());
        let status = self.engines.status(upstream.addr).await?;
        let observed_ms = self.host.clock.now_ms();
        if let Some(snapshot) = snapshot {
            self.reconcile(upstream, &snapshot, &status).await;
        }
        let observed = self.build_observation(upstream, status, observed_ms);
        Some((upstream.id.clone(), observed))
    }

    fn cached_ledger(&self, id: &UpstreamId) -> Option<(u64, Ledger)> {
        self.acting_states
            .borrow()
            .get(id)
            .and_then(|a| a.ledger.clone())
    }

    fn cache_ledger(&self, id: &UpstreamId, revision: u64, ledger: Ledger) {
        let mut acting_states = self.acting_states.borrow_mut();
        acting_states.entry(id.clone()).or_default().ledger = Some((revision, ledger));
    }

    fn evict_ledger(&self, id: &UpstreamId) {
        if let Some(state) = self.acting_states.borrow_mut().get_mut(id) {
            state.ledger = None;
        }
    }

    /// Reads the ledger and makes this host its holder, unless it is cached.
    async fn acquire_ledger(&self, upstream: &ListedUpstream) {
        if self.cached_ledger(&upstream.id).is_some() {
            return;
        }
        let key = format!("{LEDGERS_PREFIX}{}", upstream.id);
        let Ok(stored) = self.host.kv.get(&key).await else {
            return;
        };
        let (revision, mut ledger) = match stored {
            None => (0, Ledger::new(upstream.memory_mib)),
            Some(kv) => match serde_json::from_slice(&kv.value) {
                Ok(ledger) => (kv.mod_revision, ledger),
                Err(error) => {
                    tracing::error!(%key, %error, "ledger cannot be decoded");
                    return;
                }
            },
        };
        ledger.acquire(&self.host.settings.host);
        let number = ledger.fence;
        if self.write_ledger(upstream, revision, ledger, None).await {
            let subject = Subject {
                upstream: Some(&upstream.id),
                ..Subject::default()
            };
            self.host.record(subject, EventKind::Acquired { number });
        }
    }

    /// Writes a ledger, with a slot in the same transaction if there is one.
    async fn write_ledger(
        &self,
        upstream: &ListedUpstream,
        revision: u64,
        ledger: Ledger,
        slot: Option<(usize, VersionedSlot)>,
    ) -> bool {
        let value = serde_json::to_vec(&ledger).unwrap_or_default();
        let key = format!("{LEDGERS_PREFIX}{}", upstream.id);
        let mut writes = vec![Cas {
            key,
            expected_revision: revision,
            value: Some(value),
            lease: 0,
        }];
        if let Some((i, versioned)) = &slot {
            writes.push(slot_cas(*i, versioned));
        }
        match self.host.kv.cas_all(&writes).await {
            Ok(CasAllOutcome::Written(revision)) => {
                self.host.record_platform_state(true);
                self.cache_ledger(&upstream.id, revision, ledger);
                if let Some((i, versioned)) = slot {
                    self.slots.set(
                        i,
                        VersionedSlot {
                            revision,
                            ..versioned
                        },
                    );
                }
                return true;
            }
            Ok(CasAllOutcome::Conflict(stored)) => {
                let revision_of =
                    |kv: &Option<KeyValue>| kv.as_ref().map_or(0, |kv| kv.mod_revision);
                if stored.first().map_or(0, revision_of) != revision {
                    self.evict_ledger(&upstream.id);
                }
                if let (Some((i, _)), Some(stored)) = (slot, stored.get(1)) {
                    self.slots.set(i, decode_slot(stored.as_ref()));
                }
            }
            // The write may have taken effect, so the next round reads first.
            Err(KvError::Unknown) => {
                self.evict_ledger(&upstream.id);
                self.slots.clear();
            }
            Err(KvError::NotSent | KvError::Refused) => {}
        }
        false
    }

    /// Applies a status to the ledger, and writes the ledger if it changed.
    async fn reconcile(
        &self,
        upstream: &ListedUpstream,
        snapshot: &LedgerSnapshot,
        status: &EngineStatus,
    ) {
        let Some((revision, mut ledger)) = self.cached_ledger(&upstream.id) else {
            return;
        };
        if ledger.apply_inventory(snapshot, &status.inventory(), upstream.checks_fencing) {
            self.write_ledger(upstream, revision, ledger, None).await;
        }
    }

    /// Builds the observation to publish; models being unloaded are not ready.
    fn build_observation(
        &self,
        upstream: &ListedUpstream,
        status: EngineStatus,
        observed_ms: u64,
    ) -> Observation {
        let ledger = self
            .cached_ledger(&upstream.id)
            .map(|(_, ledger)| ledger)
            .unwrap_or_default();
        let is_unloading = |a: &ArtifactId| {
            ledger
                .entries
                .get(a)
                .is_some_and(|e| e.state == EntryState::Unloading)
        };
        let charged = ledger
            .entries
            .iter()
            .filter(|(_, e)| e.state != EntryState::Unloading);
        Observation {
            observed_ms,
            charged: charged.map(|(a, _)| a.clone()).collect(),
            free_mib: ledger.free_mib(),
            unloading_mib: ledger.unloading_mib(),
            demand: self.smooth_demand(&upstream.id, &status.in_flight),
            load: status.load,
            accepts_work: status.accepts_work,
            ready: status
                .ready
                .into_iter()
                .filter(|a| !is_unloading(a))
                .collect(),
        }
    }

    fn smooth_demand(
        &self,
        id: &UpstreamId,
        in_flight: &BTreeMap<ArtifactId, u32>,
    ) -> BTreeMap<ArtifactId, u32> {
        let mut acting_states = self.acting_states.borrow_mut();
        let smoothed = &mut acting_states.entry(id.clone()).or_default().demand_permille;
        for artifact in in_flight.keys() {
            smoothed.entry(artifact.clone()).or_default();
        }
        for (artifact, demand) in smoothed.iter_mut() {
            let sample = in_flight.get(artifact).copied().unwrap_or(0) * 1000;
            let old = *demand * (100 - DEMAND_SMOOTHING_PERCENT);
            *demand = (old + sample * DEMAND_SMOOTHING_PERCENT) / 100;
        }
        smoothed.retain(|_, demand| *demand > 0);
        let rounded = smoothed.iter().map(|(a, d)| (a.clone(), d.div_ceil(1000)));
        rounded.collect()
    }

    /// Plans for the whole fleet from the observations of all acting hosts.
    fn plan(&self) -> Vec<Step> {
        let now_ms = self.host.clock.now_ms();
        let fleet = self.host.fleet.borrow();
        let active_config = self.host.active_config.borrow();
        let own_zone = &self.host.settings.zone;
        let is_fresh = |u: &Upstream| {
            let is_own_zone = u.listed.zone == *own_zone;
            let limit_ms = if is_own_zone {
                OWN_ZONE_STALE_AFTER_MS
            } else {
                OTHER_ZONE_STALE_AFTER_MS
            };
            u.observation.observed_ms > 0 && now_ms < u.observation.observed_ms + limit_ms
        };
        let candidates = fleet.upstreams().iter().filter(|u| {
            u.listed.kind == UpstreamKind::Engine && u.is_accepting_work() && is_fresh(u)
        });
        let upstreams: Vec<PlannedUpstream> = candidates
            .map(|u| PlannedUpstream::from_upstream(u, now_ms))
            .collect();
        let models: Vec<PlannedModel> = active_config
            .artifacts()
            .map(|d| PlannedModel {
                demand_in_flight: fleet.demand(&d.artifact),
                artifact: d.artifact,
                copy_mib: d.copy_mib,
                min_copies: d.min_copies,
                is_relied_upon: d.is_relied_upon,
            })
            .collect();
        if models.is_empty() {
            Vec::new()
        } else {
            plan(&models, &upstreams)
        }
    }

    async fn execute_steps(&self, acting_upstreams: &[ListedUpstream], steps: &[Step]) {
        for upstream in acting_upstreams
            .iter()
            .filter(|u| u.kind == UpstreamKind::Engine)
        {
            for step in steps {
                match step {
                    Step::Load {
                        upstream: id,
                        artifact,
                        copy_mib,
                    } if *id == upstream.id => {
                        self.load(upstream, artifact, *copy_mib).await;
                    }
                    Step::Unload {
                        upstream: id,
                        artifact,
                    } if *id == upstream.id => {
                        self.unload(upstream, artifact).await;
                    }
                    _ => {}
                }
            }
            self.retry_orders(upstream).await;
        }
    }

    /// Repeats the unload orders of models that are still charged, and the load
    /// orders of charged models that are not ready.
    async fn retry_orders(&self, upstream: &ListedUpstream) {
        let Some((_, ledger)) = self.cached_ledger(&upstream.id) else {
            return;
        };
        for (artifact, entry) in &ledger.entries {
            if !self.is_retry_due(upstream, artifact) {
                continue;
            }
            match entry.state {
                EntryState::Unloading => self.unload(upstream, artifact).await,
                EntryState::Resident if self.is_model_ready(upstream, artifact) => {}
                EntryState::Loading | EntryState::Resident => {
                    self.load(upstream, artifact, entry.charge_mib).await;
                }
            }
        }
    }

    /// True unless an order for the model was sent recently.
    fn is_retry_due(&self, upstream: &ListedUpstream, artifact: &ArtifactId) -> bool {
        let now_ms = self.host.clock.now_ms();
        let acting_states = self.acting_states.borrow();
        let ordered_ms = acting_states
            .get(&upstream.id)
            .and_then(|a| a.ordered_ms.get(artifact));
        ordered_ms.is_none_or(|&t| now_ms >= t + ORDER_RETRY_MS)
    }

    fn is_model_ready(&self, upstream: &ListedUpstream, artifact: &ArtifactId) -> bool {
        let fleet = self.host.fleet.borrow();
        let index = fleet.position(upstream.id.as_str());
        index.is_some_and(|index| fleet.get(index).observation.ready.contains(artifact))
    }

    async fn load(&self, upstream: &ListedUpstream, artifact: &ArtifactId, copy_mib: u64) {
        let Some((revision, mut ledger)) = self.cached_ledger(&upstream.id) else {
            return;
        };
        let Some(slot) = self.slots.claim(upstream, artifact) else {
            return;
        };
        let host = &self.host.settings.host;
        let Ok(order) = ledger.order_load(host, artifact, copy_mib) else {
            return;
        };
        if !self
            .write_ledger(upstream, revision, ledger, Some(slot))
            .await
        {
            return;
        }
        self.record_order(upstream, &order);
        self.host.metrics.load_orders.inc();
        let body = LoadOrder {
            artifact: artifact.clone(),
            number: order.number,
            memory_mib: copy_mib,
            adapters: self.declared_adapters(artifact),
        };
        let outcome = self.engines.load(upstream.addr, &body).await;
        self.settle_order(upstream, &order, outcome);
    }

    async fn unload(&self, upstream: &ListedUpstream, artifact: &ArtifactId) {
        let Some((revision, mut ledger)) = self.cached_ledger(&upstream.id) else {
            return;
        };
        let host = &self.host.settings.host;
        let Ok(order) = ledger.order_unload(host, artifact) else {
            return;
        };
        if !self.write_ledger(upstream, revision, ledger, None).await {
            return;
        }
        self.record_order(upstream, &order);
        self.host.metrics.unload_orders.inc();
        let body = UnloadOrder {
            artifact: artifact.clone(),
            number: order.number,
        };
        let outcome = self.engines.unload(upstream.addr, &body).await;
        self.settle_order(upstream, &order, outcome);
    }

    fn record_order(&self, upstream: &ListedUpstream, order: &Order) {
        let now_ms = self.host.clock.now_ms();
        let mut acting_states = self.acting_states.borrow_mut();
        let ordered_ms = &mut acting_states
            .entry(upstream.id.clone())
            .or_default()
            .ordered_ms;
        ordered_ms.insert(order.artifact.clone(), now_ms);
        let subject = Subject {
            upstream: Some(&upstream.id),
            ..Subject::default()
        };
        let kind = EventKind::Ordered {
            order: order.kind,
            number: order.number,
            artifact: order.artifact.clone(),
        };
        self.host.record(subject, kind);
    }

    /// Settles an order in the cached ledger by the engine's response; the
    /// next write of the ledger persists it.
    fn settle_order(&self, upstream: &ListedUpstream, order: &Order, outcome: OrderOutcome) {
        let number = order.number;
        if outcome == OrderOutcome::Unknown {
            tracing::warn!(upstream = %upstream.id, number, "no response to the order");
            return;
        }
        if let Some((revision, mut ledger)) = self.cached_ledger(&upstream.id) {
            ledger.settle(&order.artifact, number);
            self.cache_ledger(&upstream.id, revision, ledger);
        }
        let accepted = outcome == OrderOutcome::Accepted;
        let subject = Subject {
            upstream: Some(&upstream.id),
            ..Subject::default()
        };
        self.host
            .record(subject, EventKind::OrderAnswered { number, accepted });
    }

    fn declared_adapters(&self, artifact: &ArtifactId) -> Vec<String> {
        let active_config = self.host.active_config.borrow();
        let declared = active_config.artifacts().find(|d| d.artifact == *artifact);
        declared.map_or_else(Vec::new, |d| d.adapters.cloned().collect())
    }

    /// True if the load of a slot has ended, according to the ledger of this
    /// host or to a later observation by another acting host.
    fn has_load_ended(&self, slot: &Slot) -> bool {
        let Some(used_by) = &slot.used_by else {
            return false;
        };
        if let Some((_, ledger)) = self.cached_ledger(&used_by.upstream) {
            let entry = ledger.entries.get(&used_by.artifact);
            return entry.is_none_or(|e| e.state != EntryState::Loading);
        }
        let fleet = self.host.fleet.borrow();
        let Some(index) = fleet.position(used_by.upstream.as_str()) else {
            return true;
        };
        let upstream = fleet.get(index);
        let age_ms = self.host.clock.now_ms().saturating_sub(slot.started_ms);
        if !upstream.is_listed || age_ms > MAX_LOAD_MS {
            return true;
        }
        let newest = &upstream.observation;
        let is_later = newest.observed_ms > slot.started_ms + SLOT_CLOCK_SKEW_MS;
        let is_loading =
            newest.charged.contains(&used_by.artifact) && !newest.ready.contains(&used_by.artifact);
        is_later && !is_loading
    }
}

impl Service for PlacerService {
    const NAME: &'static str = "placer";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        let round_loop = async {
            loop {
                if !self.host.draining.is_cancelled() {
                    self.run_round().await;
                    self.slots
                        .release_ended(|slot| self.has_load_ended(slot))
                        .await;
                }
                compio::time::sleep(ROUND_INTERVAL).await;
            }
        };
        let _ = cancel.run_until_cancelled(round_loop).await;
    }
}
