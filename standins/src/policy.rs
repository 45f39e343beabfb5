//! Routing and placement policies for the comparison in virtual time: the
//! decision core, and two baselines.

use std::collections::BTreeSet;

use currantcove::core::admission::{TeamLoads, check_target};
use currantcove::core::config::FleetConfig;
use currantcove::core::fleet::{
    Fleet, ListedState, ListedUpstream, LoadReport, Observation, UpstreamKind,
};
use currantcove::core::ids::{ArtifactId, TeamId, UpstreamId, ZoneId};
use currantcove::core::placement::{PlannedModel, PlannedUpstream, Step, plan};
use currantcove::core::routing::{Rng, RouteInput, route};
use currantcove::core::slots::{Slot, SlotChoice, SlotUse, VersionedSlot, choose_slot};

use super::fake_engines::{EngineIndex, FakeEngine, ModelIndex, Request};

/// Order to load or unload a model at an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlacementOrder {
    /// Load a model.
    Load(EngineIndex, ModelIndex),
    /// Unload a model.
    Unload(EngineIndex, ModelIndex),
}

/// State of the fleet that a policy decides on.
#[derive(Debug)]
pub struct FleetView<'a> {
    /// Virtual time in milliseconds.
    pub now_ms: u64,
    /// Engines.
    pub engines: &'a [FakeEngine],
    /// Memory of one copy of each model in MiB.
    pub copy_mib: &'a [u64],
    /// Model loads in progress.
    pub loads_in_progress: usize,
    /// True while the platform's key-value service is available.
    pub is_platform_up: bool,
    /// True if the weight store has capacity for another load.
    pub has_store_capacity: bool,
}

/// Routes requests and places models.
pub trait Policy {
    /// Selects an engine for a request; `None` refuses it.
    fn route(&mut self, view: &FleetView<'_>, request: &Request) -> Option<EngineIndex>;
    /// Returns the load and unload orders to issue now.
    fn placement_orders(&mut self, view: &FleetView<'_>) -> Vec<PlacementOrder>;
    /// Records the time to first token of a request.
    fn on_first_token(&mut self, _now_ms: u64, _engine: EngineIndex, _first_ms: u64) {}
    /// Records the end of a request.
    fn on_request_end(&mut self, engine: EngineIndex);
}

/// Static placement with round-robin routing.
#[derive(Debug, Default)]
pub struct StaticRoundRobin {
    next: usize,
}

impl Policy for StaticRoundRobin {
    fn route(&mut self, view: &FleetView<'_>, request: &Request) -> Option<EngineIndex> {
        let copies: Vec<EngineIndex> = ready_engines(view, request.model);
        self.next += 1;
        (!copies.is_empty()).then(|| copies[self.next % copies.len()])
    }

    fn placement_orders(&mut self, _view: &FleetView<'_>) -> Vec<PlacementOrder> {
        Vec::new()
    }

    fn on_request_end(&mut self, _engine: EngineIndex) {}
}

/// Eviction of the least recently used model, with least-connections routing.
///
/// A model without a ready copy, or whose copies all have a full batch, is
/// loaded at the engine with the fewest requests in flight. The engine's least
/// recently used models are evicted to make room for it.
#[derive(Debug, Default)]
pub struct SwapLeastRecentlyUsed {
    pending_models: BTreeSet<ModelIndex>,
}

impl Policy for SwapLeastRecentlyUsed {
    fn route(&mut self, view: &FleetView<'_>, request: &Request) -> Option<EngineIndex> {
        let copies = ready_engines(view, request.model);
        let least = copies
            .into_iter()
            .min_by_key(|&e| view.engines[e].in_flight());
        let has_full_batch =
            |e: EngineIndex| view.engines[e].in_flight() >= view.engines[e].plan.max_batch;
        if least.is_none_or(has_full_batch) {
            self.pending_models.insert(request.model);
        }
        least.or_else(|| {
            let is_resident =
                |e: &EngineIndex| view.engines[*e].resident.contains_key(&request.model);
            (0..view.engines.len()).find(is_resident)
        })
    }

    fn placement_orders(&mut self, view: &FleetView<'_>) -> Vec<PlacementOrder> {
        let mut orders = Vec::new();
        if !view.has_store_capacity {
            return orders;
        }
        let Some(model) = self.pending_models.pop_first() else {
            return orders;
        };
        let is_loading = |e: &FakeEngine| {
            e.resident
                .get(&model)
                .is_some_and(|r| r.ready_ms > view.now_ms)
        };
        if view.engines.iter().any(is_loading) {
            return orders;
        }
        let is_candidate = |e: &EngineIndex| {
            !view.engines[*e].is_down && !view.engines[*e].resident.contains_key(&model)
        };
        let target = (0..view.engines.len())
            .filter(is_candidate)
            .min_by_key(|&e| view.engines[e].in_flight());
        let Some(e) = target else { return orders };
        let engine = &view.engines[e];
        let mut free_mib = engine.plan.memory_mib - engine.used_mib();
        let mut least_recently_used: Vec<_> = engine
            .resident
            .iter()
            .filter(|(_, r)| !r.is_unloading)
            .collect();
        least_recently_used.sort_by_key(|(_, r)| r.last_used_ms);
        for (other, resident) in least_recently_used {
            if free_mib >= view.copy_mib[model] {
                break;
            }
            free_mib += resident.memory_mib;
            orders.push(PlacementOrder::Unload(e, *other));
        }
        let has_free_memory = engine.used_mib() + view.copy_mib[model] <= engine.plan.memory_mib;
        if has_free_memory {
            orders = vec![PlacementOrder::Load(e, model)];
        } else {
            // Retries the load at a later call, when the unloads have freed memory.
            self.pending_models.insert(model);
        }
        orders
    }

    fn on_request_end(&mut self, _engine: EngineIndex) {}
}

fn ready_engines(view: &FleetView<'_>, model: ModelIndex) -> Vec<EngineIndex> {
    let is_ready = |e: &EngineIndex| view.engines[*e].is_ready(view.now_ms, model);
    (0..view.engines.len()).filter(is_ready).collect()
}

/// The decision core with the same functions that entry hosts call.
#[derive(Debug)]
pub struct CorePolicy {
    hosts: Vec<(ZoneId, Fleet)>,
    /// Positions of the hosts that dispatched the requests in flight, per engine.
    dispatched_from: Vec<Vec<usize>>,
    rng: Rng,
    artifacts: Vec<ArtifactId>,
    team: TeamId,
    loads: TeamLoads,
    fleet_config: FleetConfig,
    slots: Vec<VersionedSlot>,
    demand: Vec<Vec<f64>>,
    target_ms: u64,
}

impl CorePolicy {
    /// Policy with one fleet state per entry host.
    pub fn new(
        host_zones: &[String],
        engines: &[FakeEngine],
        models: usize,
        fleet_config: FleetConfig,
        target_ms: u64,
        seed: u64,
    ) -> Self {
        let listed: Vec<ListedUpstream> = engines.iter().map(listed_upstream).collect();
        let host = |zone: &String| {
            let mut fleet = Fleet::default();
            fleet.set_listed(&listed);
            (ZoneId::new(zone), fleet)
        };
        Self {
            hosts: host_zones.iter().map(host).collect(),
            dispatched_from: vec![Vec::new(); engines.len()],
            rng: Rng::new(seed),
            artifacts: (0..models)
                .map(|m| ArtifactId::new(&format!("t/m{m}@v1")))
                .collect(),
            team: TeamId::new("t"),
            loads: TeamLoads::default(),
            slots: vec![VersionedSlot::default(); fleet_config.store_slots as usize],
            fleet_config,
            demand: vec![vec![0.0; models]; engines.len()],
            target_ms,
        }
    }

    fn update_fleets(&mut self, view: &FleetView<'_>) {
        let available = view.engines.iter().enumerate().filter(|(_, e)| !e.is_down);
        for (e, engine) in available {
            for (m, demand) in self.demand[e].iter_mut().enumerate() {
                *demand = *demand * 0.8 + f64::from(engine.in_flight_of(m)) * 0.2;
            }
            let observation = self.observation(view, e);
            for (_, fleet) in &mut self.hosts {
                fleet.observe(e, observation.clone());
            }
        }
        let listed: Vec<ListedUpstream> = view
            .engines
            .iter()
            .filter(|e| !e.is_down)
            .map(listed_upstream)
            .collect();
        for (_, fleet) in &mut self.hosts {
            fleet.set_listed(&listed);
        }
    }

    fn observation(&self, view: &FleetView<'_>, e: EngineIndex) -> Observation {
        let engine = &view.engines[e];
        let retained = engine.resident.iter().filter(|(_, r)| !r.is_unloading);
        let demand = self.demand[e]
            .iter()
            .enumerate()
            .filter(|(_, d)| **d >= 0.5);
        Observation {
            observed_ms: view.now_ms + 1,
            ready: retained
                .clone()
                .filter(|(_, r)| r.ready_ms <= view.now_ms)
                .map(|(m, _)| self.artifacts[*m].clone())
                .collect(),
            charged: retained.map(|(m, _)| self.artifacts[*m].clone()).collect(),
            free_mib: engine.plan.memory_mib - engine.used_mib(),
            unloading_mib: engine.unloading_mib(),
            load: LoadReport {
                in_flight: engine.in_flight(),
                mean_request_ms: 4_000,
            },
            demand: demand
                .map(|(m, d)| (self.artifacts[m].clone(), d.round() as u32))
                .collect(),
            accepts_work: !engine.is_down,
        }
    }

    fn plan_input(&self, view: &FleetView<'_>) -> (Vec<PlannedModel>, Vec<PlannedUpstream>) {
        let fleet = &self.hosts[0].1;
        let upstreams = fleet.upstreams().iter().filter(|u| u.is_accepting_work());
        let upstreams: Vec<PlannedUpstream> = upstreams
            .map(|u| PlannedUpstream::from_upstream(u, view.now_ms))
            .collect();
        let models = self
            .artifacts
            .iter()
            .enumerate()
            .map(|(m, artifact)| PlannedModel {
                artifact: artifact.clone(),
                copy_mib: view.copy_mib[m],
                min_copies: 1,
                is_relied_upon: true,
                demand_in_flight: fleet.demand(artifact),
            });
        (models.collect(), upstreams)
    }

    fn claim_slot(&mut self, now_ms: u64, upstream: &UpstreamId, artifact: &ArtifactId) -> bool {
        let slot_use = SlotUse {
            upstream: upstream.clone(),
            artifact: artifact.clone(),
        };
        match choose_slot(now_ms, &self.fleet_config, &self.slots, &slot_use) {
            SlotChoice::Take(i) => {
                self.slots[i].slot = Slot {
                    started_ms: now_ms,
                    used_by: Some(slot_use),
                };
                true
            }
            SlotChoice::LoadingElsewhere | SlotChoice::NoneFree => false,
        }
    }

    fn release_finished_slots(&mut self, view: &FleetView<'_>) {
        let artifacts = &self.artifacts;
        for read in &mut self.slots {
            let Some(used) = &read.slot.used_by else {
                continue;
            };
            let m = artifacts.iter().position(|a| *a == used.artifact);
            let engine = view.engines.iter().find(|e| e.plan.id == used.upstream);
            let is_loading = m
                .zip(engine)
                .is_some_and(|(m, e)| e.resident.get(&m).is_some_and(|r| r.ready_ms > view.now_ms));
            if !is_loading {
                read.slot.used_by = None;
            }
        }
    }
}

fn listed_upstream(engine: &FakeEngine) -> ListedUpstream {
    ListedUpstream {
        id: engine.plan.id.clone(),
        addr: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: engine.plan.zone.clone(),
        kind: UpstreamKind::Engine,
        state: ListedState::Live,
        accelerators: engine.plan.accelerators,
        memory_mib: engine.plan.memory_mib,
        max_batch: engine.plan.max_batch,
        checks_fencing: engine.plan.checks_fencing,
    }
}

impl Policy for CorePolicy {
    fn route(&mut self, view: &FleetView<'_>, request: &Request) -> Option<EngineIndex> {
        let h = self.rng.below(self.hosts.len());
        let (zone, fleet) = &mut self.hosts[h];
        let artifact = &self.artifacts[request.model];
        let input = RouteInput {
            zone,
            copies: fleet.copies(artifact),
            tried: &[],
            prefix_hash: None,
        };
        let ix = route(view.now_ms, fleet, &input, &mut self.rng).ok()?;
        check_target(&self.loads, &self.team, fleet.get(ix), self.target_ms).ok()?;
        fleet.on_sent(ix);
        self.dispatched_from[ix].push(h);
        Some(ix)
    }

    fn placement_orders(&mut self, view: &FleetView<'_>) -> Vec<PlacementOrder> {
        self.update_fleets(view);
        self.release_finished_slots(view);
        if !view.is_platform_up {
            return Vec::new();
        }
        let (models, upstreams) = self.plan_input(view);
        let mut orders = Vec::new();
        for step in plan(&models, &upstreams) {
            let position = |id: &UpstreamId| view.engines.iter().position(|e| e.plan.id == *id);
            let model = |a: &ArtifactId| self.artifacts.iter().position(|x| x == a);
            match step {
                Step::Load {
                    upstream, artifact, ..
                } => {
                    let target = position(&upstream).zip(model(&artifact));
                    if let Some((e, m)) = target
                        && self.claim_slot(view.now_ms, &upstream, &artifact)
                    {
                        orders.push(PlacementOrder::Load(e, m));
                    }
                }
                Step::Unload { upstream, artifact } => {
                    let target = position(&upstream).zip(model(&artifact));
                    orders.extend(target.map(|(e, m)| PlacementOrder::Unload(e, m)));
                }
            }
        }
        orders
    }

    fn on_first_token(&mut self, now_ms: u64, engine: EngineIndex, first_ms: u64) {
        let h = self.rng.below(self.hosts.len());
        self.hosts[h]
            .1
            .on_first_byte(now_ms, engine, first_ms * 1000);
    }

    fn on_request_end(&mut self, engine: EngineIndex) {
        // Removes the oldest entry: the total in flight is the same for any host.
        if !self.dispatched_from[engine].is_empty() {
            let h = self.dispatched_from[engine].remove(0);
            self.hosts[h].1.on_done(engine);
        }
    }
}
