//! Acts for upstreams: keeps their ledgers, gives orders, tells the peers.
//!
//! One round per upstream: ask the engine for its status, let the ledger
//! observe it, carry out the steps of the plan that concern this upstream.
//! The ledger and the weight store's slot are written in one transaction,
//! and only then does the order leave. A failed write drops the cached
//! ledger, so that the next round begins by reading.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;

use tokio_util::sync::CancellationToken;

use super::host::Host;
use super::peers::PeerService;
use super::store_slots::{StoreSlots, read_slot, slot_write};
use super::teller::Teller;
use crate::core::fleet::{ListedUpstream, Observation, Upstream, UpstreamKind};
use crate::core::ids::{ArtifactId, UpstreamId};
use crate::core::ledger::{Asked, EntryState, Ledger, Order};
use crate::core::placement::{PlannedModel, PlannedUpstream, Step, plan};
use crate::core::slots::{ReadSlot, Slot};
use crate::core::timeline::{EventKind, Subject};
use crate::edge::engine::{EngineClient, EngineStatus, LoadOrder, OrderOutcome, UnloadOrder};
use crate::edge::kv::{Cas, CasAllOutcome, KeyValue, KvError, KvStore};
use crate::kernel::Service;

/// Prefix of the ledgers.
pub const LEDGERS_PREFIX: &str = "/currantcove/ledgers/";
/// Time between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two plans, for each upstream of the fleet, in milliseconds.
const PLAN_PER_UPSTREAM_MS: u64 = 2;
/// Age of an observation of the own zone after which the planner leaves the
/// upstream out.
const STALE_AFTER_MS: u64 = 5_000;
/// The same for other availability zones.
const FOREIGN_STALE_AFTER_MS: u64 = 90_000;
/// Silence about an upstream elsewhere after which it is taken over.
const TAKE_OVER_AFTER_MS: u64 = 4_000;
/// Time between two tries of an order that was lost, in milliseconds.
const REORDER_MS: u64 = 3_000;
/// Age of a claim on a slot before what others tell can end it; covers the
/// difference between clocks.
const SLOT_GRACE_MS: u64 = 2_000;
/// Longest load; a claim on a slot that is older has been left behind.
const MAX_LOAD_MS: u64 = 10 * 60 * 1000;
/// Weight of the newest sample in the smoothed demand, in percent.
const DEMAND_SMOOTHING_PERCENT: u32 = 20;

/// Upstream this host acts for.
#[derive(Clone, Debug, Default)]
struct Acting {
    ledger: Option<(u64, Ledger)>,
    demand_permille: BTreeMap<ArtifactId, u32>,
    ordered_ms: BTreeMap<ArtifactId, u64>,
}

/// Service that acts for upstreams.
#[derive(Debug)]
pub struct PlacerService {
    host: Rc<Host>,
    teller: Teller,
    engines: EngineClient,
    acting: RefCell<BTreeMap<UpstreamId, Acting>>,
    slots: StoreSlots,
    planned_ms: Cell<u64>,
}

impl PlacerService {
    /// Service over the shared state.
    pub fn new(host: Rc<Host>, peers: Rc<PeerService>) -> Self {
        let engines = EngineClient::new(host.pool.clone());
        Self {
            teller: Teller::new(Rc::clone(&host), peers),
            engines,
            acting: RefCell::default(),
            slots: StoreSlots::new(Rc::clone(&host)),
            planned_ms: Cell::new(0),
            host,
        }
    }

    /// Upstreams this host acts for now.
    ///
    /// Hosts see different members of other availability zones, so an
    /// upstream elsewhere is taken over only once nobody tells of it.
    fn duties(&self) -> Vec<ListedUpstream> {
        let now_ms = self.host.clock.now_ms();
        let members = self.host.members.borrow();
        let fleet = self.host.fleet.borrow();
        let settings = &self.host.settings;
        let acts = |u: &Upstream| {
            let id = &u.listed.id;
            let is_chosen =
                members.acting_host(now_ms, id.as_str(), &u.listed.zone) == Some(&settings.host);
            let is_near = u.listed.zone == settings.zone;
            let is_untold = now_ms >= u.seen.observed_ms + TAKE_OVER_AFTER_MS;
            is_chosen && (is_near || is_untold || self.cached(id).is_some())
        };
        let mine = fleet.upstreams().iter().filter(|u| u.is_listed && acts(u));
        mine.map(|u| u.listed.clone()).collect()
    }

    async fn round(&self) {
        let duties = self.duties();
        let ids: BTreeSet<&UpstreamId> = duties.iter().map(|u| &u.id).collect();
        self.acting.borrow_mut().retain(|id, _| ids.contains(id));
        self.teller.forget_others(&ids);
        let observing = duties.iter().map(|upstream| self.observe(upstream));
        let seen: Vec<_> = futures_util::future::join_all(observing).await;
        let items: Vec<_> = seen.into_iter().flatten().collect();
        self.teller.tell(items);
        let Some(steps) = self.plan_if_due() else {
            return;
        };
        if self.slots.refresh().await.is_ok() {
            self.carry_out(&duties, &steps).await;
        }
    }

    /// Plans, unless the last plan is too recent for the size of the fleet.
    fn plan_if_due(&self) -> Option<Vec<Step>> {
        let now_ms = self.host.clock.now_ms();
        let upstreams = self.host.fleet.borrow().upstreams().len() as u64;
        if now_ms < self.planned_ms.get() + upstreams * PLAN_PER_UPSTREAM_MS {
            return None;
        }
        self.planned_ms.set(now_ms);
        Some(self.plan())
    }

    /// Asks an upstream for its status and brings its ledger up to date.
    async fn observe(&self, upstream: &ListedUpstream) -> Option<(UpstreamId, Observation)> {
        if upstream.kind == UpstreamKind::Engine {
            self.ensure_ledger(upstream).await;
        }
        let asked = self.cached(&upstream.id).map(|(_, ledger)| ledger.ask());
        let status = self.engines.status(upstream.addr).await?;
        let observed_ms = self.host.clock.now_ms();
        if let Some(asked) = asked {
            self.reconcile(upstream, &asked, &status).await;
        }
        let seen = self.observation(upstream, status, observed_ms);
        Some((upstream.id.clone(), seen))
    }

    fn cached(&self, id: &UpstreamId) -> Option<(u64, Ledger)> {
        self.acting.borrow().get(id).and_then(|a| a.ledger.clone())
    }

    fn cache(&self, id: &UpstreamId, revision: u64, ledger: Ledger) {
        let mut acting = self.acting.borrow_mut();
        acting.entry(id.clone()).or_default().ledger = Some((revision, ledger));
    }

    fn drop_cached(&self, id: &UpstreamId) {
        if let Some(acting) = self.acting.borrow_mut().get_mut(id) {
            acting.ledger = None;
        }
    }

    /// Reads the ledger and makes this host its holder, unless it is already.
    async fn ensure_ledger(&self, upstream: &ListedUpstream) {
        if self.cached(&upstream.id).is_some() {
            return;
        }
        let key = format!("{LEDGERS_PREFIX}{}", upstream.id);
        let Ok(found) = self.host.kv.get(&key).await else {
            return;
        };
        let (revision, mut ledger) = match found {
            None => (0, Ledger::new(upstream.memory_mib)),
            Some(kv) => match serde_json::from_slice(&kv.value) {
                Ok(ledger) => (kv.mod_revision, ledger),
                Err(error) => {
                    tracing::error!(%key, %error, "ledger cannot be read");
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
        slot: Option<(usize, ReadSlot)>,
    ) -> bool {
        let value = serde_json::to_vec(&ledger).unwrap_or_default();
        let key = format!("{LEDGERS_PREFIX}{}", upstream.id);
        let mut writes = vec![Cas {
            key,
            expected_revision: revision,
            value: Some(value),
            lease: 0,
        }];
        if let Some((i, read)) = &slot {
            writes.push(slot_write(*i, read));
        }
        match self.host.kv.cas_all(&writes).await {
            Ok(CasAllOutcome::Written(revision)) => {
                self.host.note_platform(true);
                self.cache(&upstream.id, revision, ledger);
                if let Some((i, read)) = slot {
                    self.slots.set(i, ReadSlot { revision, ..read });
                }
                return true;
            }
            Ok(CasAllOutcome::Conflict(found)) => {
                let stands = |kv: &Option<KeyValue>| kv.as_ref().map_or(0, |kv| kv.mod_revision);
                if found.first().map_or(0, stands) != revision {
                    self.drop_cached(&upstream.id);
                }
                if let (Some((i, _)), Some(found)) = (slot, found.get(1)) {
                    self.slots.set(i, read_slot(found.as_ref()));
                }
            }
            // The write may have taken effect: begin by reading.
            Err(KvError::Unknown) => {
                self.drop_cached(&upstream.id);
                self.slots.clear();
            }
            Err(KvError::NotSent | KvError::Refused) => {}
        }
        false
    }

    /// Lets the ledger observe a status.
    async fn reconcile(&self, upstream: &ListedUpstream, asked: &Asked, status: &EngineStatus) {
        let Some((revision, mut ledger)) = self.cached(&upstream.id) else {
            return;
        };
        if ledger.observe(asked, &status.inventory(), upstream.checks_fencing) {
            self.write_ledger(upstream, revision, ledger, None).await;
        }
    }

    /// What to tell the peers; models being unloaded are not ready any more.
    fn observation(
        &self,
        upstream: &ListedUpstream,
        status: EngineStatus,
        observed_ms: u64,
    ) -> Observation {
        let ledger = self
            .cached(&upstream.id)
            .map(|(_, ledger)| ledger)
            .unwrap_or_default();
        let is_leaving = |a: &ArtifactId| {
            ledger
                .entries
                .get(a)
                .is_some_and(|e| e.state == EntryState::Unloading)
        };
        let holds = ledger
            .entries
            .iter()
            .filter(|(_, e)| e.state != EntryState::Unloading);
        Observation {
            observed_ms,
            holds: holds.map(|(a, _)| a.clone()).collect(),
            free_mib: ledger.free_mib(),
            leaving_mib: ledger.leaving_mib(),
            demand: self.smooth_demand(&upstream.id, &status.in_flight),
            load: status.load,
            accepts_work: status.accepts_work,
            ready: status
                .ready
                .into_iter()
                .filter(|a| !is_leaving(a))
                .collect(),
        }
    }

    fn smooth_demand(
        &self,
        id: &UpstreamId,
        in_flight: &BTreeMap<ArtifactId, u32>,
    ) -> BTreeMap<ArtifactId, u32> {
        let mut acting = self.acting.borrow_mut();
        let smoothed = &mut acting.entry(id.clone()).or_default().demand_permille;
        for artifact in in_flight.keys() {
            smoothed.entry(artifact.clone()).or_default();
        }
        for (artifact, demand) in smoothed.iter_mut() {
            let sample = in_flight.get(artifact).copied().unwrap_or(0) * 1000;
            let old = *demand * (100 - DEMAND_SMOOTHING_PERCENT);
            *demand = (old + sample * DEMAND_SMOOTHING_PERCENT) / 100;
        }
        smoothed.retain(|_, demand| *demand > 0);
        let whole = smoothed.iter().map(|(a, d)| (a.clone(), d.div_ceil(1000)));
        whole.collect()
    }

    /// Plans for the whole fleet from what all acting hosts have told.
    fn plan(&self) -> Vec<Step> {
        let now_ms = self.host.clock.now_ms();
        let fleet = self.host.fleet.borrow();
        let view = self.host.view.borrow();
        let own = &self.host.settings.zone;
        let is_known = |u: &Upstream| {
            let is_near = u.listed.zone == *own;
            let limit_ms = if is_near {
                STALE_AFTER_MS
            } else {
                FOREIGN_STALE_AFTER_MS
            };
            u.seen.observed_ms > 0 && now_ms < u.seen.observed_ms + limit_ms
        };
        let known = fleet
            .upstreams()
            .iter()
            .filter(|u| u.listed.kind == UpstreamKind::Engine && u.takes_work() && is_known(u));
        let upstreams: Vec<PlannedUpstream> =
            known.map(|u| PlannedUpstream::of(u, now_ms)).collect();
        let models: Vec<PlannedModel> = view
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

    async fn carry_out(&self, duties: &[ListedUpstream], steps: &[Step]) {
        for upstream in duties.iter().filter(|u| u.kind == UpstreamKind::Engine) {
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
            self.reorder(upstream).await;
        }
    }

    /// Orders again what was reserved or held and has not shown up.
    async fn reorder(&self, upstream: &ListedUpstream) {
        let Some((_, ledger)) = self.cached(&upstream.id) else {
            return;
        };
        for (artifact, entry) in &ledger.entries {
            if !self.is_due(upstream, artifact) {
                continue;
            }
            match entry.state {
                EntryState::Unloading => self.unload(upstream, artifact).await,
                EntryState::Resident if self.is_ready(upstream, artifact) => {}
                EntryState::Loading | EntryState::Resident => {
                    self.load(upstream, artifact, entry.charge_mib).await;
                }
            }
        }
    }

    /// True unless an order about the model was sent lately.
    fn is_due(&self, upstream: &ListedUpstream, artifact: &ArtifactId) -> bool {
        let now_ms = self.host.clock.now_ms();
        let acting = self.acting.borrow();
        let ordered_ms = acting
            .get(&upstream.id)
            .and_then(|a| a.ordered_ms.get(artifact));
        ordered_ms.is_none_or(|&t| now_ms >= t + REORDER_MS)
    }

    fn is_ready(&self, upstream: &ListedUpstream, artifact: &ArtifactId) -> bool {
        let fleet = self.host.fleet.borrow();
        let ix = fleet.position(upstream.id.as_str());
        ix.is_some_and(|ix| fleet.get(ix).seen.ready.contains(artifact))
    }

    async fn load(&self, upstream: &ListedUpstream, artifact: &ArtifactId, copy_mib: u64) {
        let Some((revision, mut ledger)) = self.cached(&upstream.id) else {
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
        self.note_ordered(upstream, &order);
        self.host.metrics.loads.inc();
        let body = LoadOrder {
            artifact: artifact.clone(),
            number: order.number,
            memory_mib: copy_mib,
            adapters: self.adapters(artifact),
        };
        let outcome = self.engines.load(upstream.addr, &body).await;
        self.settle(upstream, &order, outcome);
    }

    async fn unload(&self, upstream: &ListedUpstream, artifact: &ArtifactId) {
        let Some((revision, mut ledger)) = self.cached(&upstream.id) else {
            return;
        };
        let host = &self.host.settings.host;
        let Ok(order) = ledger.order_unload(host, artifact) else {
            return;
        };
        if !self.write_ledger(upstream, revision, ledger, None).await {
            return;
        }
        self.note_ordered(upstream, &order);
        self.host.metrics.unloads.inc();
        let body = UnloadOrder {
            artifact: artifact.clone(),
            number: order.number,
        };
        let outcome = self.engines.unload(upstream.addr, &body).await;
        self.settle(upstream, &order, outcome);
    }

    fn note_ordered(&self, upstream: &ListedUpstream, order: &Order) {
        let now_ms = self.host.clock.now_ms();
        let mut acting = self.acting.borrow_mut();
        let ordered_ms = &mut acting.entry(upstream.id.clone()).or_default().ordered_ms;
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

    /// Takes in the engine's answer; it is written with the next change.
    fn settle(&self, upstream: &ListedUpstream, order: &Order, outcome: OrderOutcome) {
        let number = order.number;
        if outcome == OrderOutcome::Unknown {
            tracing::warn!(upstream = %upstream.id, number, "order has no answer");
            return;
        }
        if let Some((revision, mut ledger)) = self.cached(&upstream.id) {
            ledger.settle(&order.artifact, number);
            self.cache(&upstream.id, revision, ledger);
        }
        let accepted = outcome == OrderOutcome::Accepted;
        let subject = Subject {
            upstream: Some(&upstream.id),
            ..Subject::default()
        };
        self.host
            .record(subject, EventKind::OrderAnswered { number, accepted });
    }

    fn adapters(&self, artifact: &ArtifactId) -> Vec<String> {
        let view = self.host.view.borrow();
        let declared = view.artifacts().find(|d| d.artifact == *artifact);
        declared.map_or_else(Vec::new, |d| d.adapters.cloned().collect())
    }

    /// True if the load of a slot has ended, by this host's ledger or by what
    /// another acting host has told since.
    fn has_ended(&self, slot: &Slot) -> bool {
        let Some(used_by) = &slot.used_by else {
            return false;
        };
        if let Some((_, ledger)) = self.cached(&used_by.upstream) {
            let entry = ledger.entries.get(&used_by.artifact);
            return entry.is_none_or(|e| e.state != EntryState::Loading);
        }
        let fleet = self.host.fleet.borrow();
        let Some(ix) = fleet.position(used_by.upstream.as_str()) else {
            return true;
        };
        let upstream = fleet.get(ix);
        let age_ms = self.host.clock.now_ms().saturating_sub(slot.started_ms);
        if !upstream.is_listed || age_ms > MAX_LOAD_MS {
            return true;
        }
        let seen = &upstream.seen;
        let is_told = seen.observed_ms > slot.started_ms + SLOT_GRACE_MS;
        let is_loading =
            seen.holds.contains(&used_by.artifact) && !seen.ready.contains(&used_by.artifact);
        is_told && !is_loading
    }
}

impl Service for PlacerService {
    const NAME: &'static str = "placer";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        let rounds = async {
            loop {
                if !self.host.draining.is_cancelled() {
                    self.round().await;
                    self.slots.free_ended(|slot| self.has_ended(slot)).await;
                }
                compio::time::sleep(ROUND_INTERVAL).await;
            }
        };
        let _ = cancel.run_until_cancelled(rounds).await;
    }
}
