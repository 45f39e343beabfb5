//! Policies for the comparison: the decision core, and two baselines.

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

/// Load or unload at an engine.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Move {
    /// Load a model.
    Load(EngineIndex, ModelIndex),
    /// Unload a model.
    Unload(EngineIndex, ModelIndex),
}

/// What a policy sees.
#[derive(Debug)]
pub struct Sight<'a> {
    /// Virtual time in milliseconds.
    pub now_ms: u64,
    /// Engines.
    pub engines: &'a [FakeEngine],
    /// Memory of each model in MiB.
    pub copy_mib: &'a [u64],
    /// Loads in progress.
    pub loads_in_progress: usize,
    /// True while the platform's service answers.
    pub is_platform_up: bool,
    /// True if the weight store takes one more load.
    pub store_has_room: bool,
}

/// Decides where requests go and what is moved.
pub trait Policy {
    /// Engine for a request; `None` refuses it.
    fn route(&mut self, sight: &Sight<'_>, request: &Request) -> Option<EngineIndex>;
    /// Moves to begin now.
    fn moves(&mut self, sight: &Sight<'_>) -> Vec<Move>;
    /// Request at an engine got its first token.
    fn on_first_token(&mut self, _now_ms: u64, _engine: EngineIndex, _first_ms: u64) {}
    /// Request at an engine has ended.
    fn on_done(&mut self, engine: EngineIndex);
}

/// Static placement with round-robin.
#[derive(Debug, Default)]
pub struct StaticRoundRobin {
    next: usize,
}

impl Policy for StaticRoundRobin {
    fn route(&mut self, sight: &Sight<'_>, request: &Request) -> Option<EngineIndex> {
        let copies: Vec<EngineIndex> = ready_at(sight, request.model);
        self.next += 1;
        (!copies.is_empty()).then(|| copies[self.next % copies.len()])
    }

    fn moves(&mut self, _sight: &Sight<'_>) -> Vec<Move> {
        Vec::new()
    }

    fn on_done(&mut self, _engine: EngineIndex) {}
}

/// Swapping of the least recently used model, with least-connections.
///
/// A model without a ready copy, or whose copies are all full, is loaded at
/// the engine with the fewest connections, in place of what was used least
/// recently there.
#[derive(Debug, Default)]
pub struct SwapLeastRecentlyUsed {
    wanted: BTreeSet<ModelIndex>,
}

impl Policy for SwapLeastRecentlyUsed {
    fn route(&mut self, sight: &Sight<'_>, request: &Request) -> Option<EngineIndex> {
        let copies = ready_at(sight, request.model);
        let least = copies
            .into_iter()
            .min_by_key(|&e| sight.engines[e].in_flight());
        let is_full =
            |e: EngineIndex| sight.engines[e].in_flight() >= sight.engines[e].plan.max_batch;
        if least.is_none_or(is_full) {
            self.wanted.insert(request.model);
        }
        least.or_else(|| {
            let holds = |e: &EngineIndex| sight.engines[*e].resident.contains_key(&request.model);
            (0..sight.engines.len()).find(holds)
        })
    }

    fn moves(&mut self, sight: &Sight<'_>) -> Vec<Move> {
        let mut moves = Vec::new();
        if !sight.store_has_room {
            return moves;
        }
        let Some(model) = self.wanted.pop_first() else {
            return moves;
        };
        let is_loading = |e: &FakeEngine| {
            e.resident
                .get(&model)
                .is_some_and(|r| r.ready_ms > sight.now_ms)
        };
        if sight.engines.iter().any(is_loading) {
            return moves;
        }
        let fits = |e: &EngineIndex| {
            !sight.engines[*e].is_down && !sight.engines[*e].resident.contains_key(&model)
        };
        let target = (0..sight.engines.len())
            .filter(fits)
            .min_by_key(|&e| sight.engines[e].in_flight());
        let Some(e) = target else { return moves };
        let engine = &sight.engines[e];
        let mut free_mib = engine.plan.memory_mib - engine.used_mib();
        let mut by_use: Vec<_> = engine
            .resident
            .iter()
            .filter(|(_, r)| !r.is_unloading)
            .collect();
        by_use.sort_by_key(|(_, r)| r.last_used_ms);
        for (other, resident) in by_use {
            if free_mib >= sight.copy_mib[model] {
                break;
            }
            free_mib += resident.memory_mib;
            moves.push(Move::Unload(e, *other));
        }
        let has_room = engine.used_mib() + sight.copy_mib[model] <= engine.plan.memory_mib;
        if has_room {
            moves = vec![Move::Load(e, model)];
        } else {
            // What is unloaded now makes room for the next look.
            self.wanted.insert(model);
        }
        moves
    }

    fn on_done(&mut self, _engine: EngineIndex) {}
}

fn ready_at(sight: &Sight<'_>, model: ModelIndex) -> Vec<EngineIndex> {
    let is_ready = |e: &EngineIndex| sight.engines[*e].is_ready(sight.now_ms, model);
    (0..sight.engines.len()).filter(is_ready).collect()
}

/// The decision core, as the entry hosts run it.
#[derive(Debug)]
pub struct Core {
    hosts: Vec<(ZoneId, Fleet)>,
    sent: Vec<Vec<usize>>,
    rng: Rng,
    artifacts: Vec<ArtifactId>,
    team: TeamId,
    loads: TeamLoads,
    fleet_config: FleetConfig,
    slots: Vec<VersionedSlot>,
    demand: Vec<Vec<f64>>,
    target_ms: u64,
}

impl Core {
    /// Core with one view of the fleet per entry host.
    pub fn new(
        host_zones: &[String],
        engines: &[FakeEngine],
        models: usize,
        fleet_config: FleetConfig,
        target_ms: u64,
        seed: u64,
    ) -> Self {
        let listed: Vec<ListedUpstream> = engines.iter().map(listed).collect();
        let host = |zone: &String| {
            let mut fleet = Fleet::default();
            fleet.set_listed(&listed);
            (ZoneId::new(zone), fleet)
        };
        Self {
            hosts: host_zones.iter().map(host).collect(),
            sent: vec![Vec::new(); engines.len()],
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

    fn observe(&mut self, sight: &Sight<'_>) {
        let up = sight.engines.iter().enumerate().filter(|(_, e)| !e.is_down);
        for (e, engine) in up {
            for (m, demand) in self.demand[e].iter_mut().enumerate() {
                *demand = *demand * 0.8 + f64::from(engine.in_flight_of(m)) * 0.2;
            }
            let seen = self.observation(sight, e);
            for (_, fleet) in &mut self.hosts {
                fleet.observe(e, seen.clone());
            }
        }
        let listed: Vec<ListedUpstream> = sight
            .engines
            .iter()
            .filter(|e| !e.is_down)
            .map(listed)
            .collect();
        for (_, fleet) in &mut self.hosts {
            fleet.set_listed(&listed);
        }
    }

    fn observation(&self, sight: &Sight<'_>, e: EngineIndex) -> Observation {
        let engine = &sight.engines[e];
        let staying = engine.resident.iter().filter(|(_, r)| !r.is_unloading);
        let demand = self.demand[e]
            .iter()
            .enumerate()
            .filter(|(_, d)| **d >= 0.5);
        Observation {
            observed_ms: sight.now_ms + 1,
            ready: staying
                .clone()
                .filter(|(_, r)| r.ready_ms <= sight.now_ms)
                .map(|(m, _)| self.artifacts[*m].clone())
                .collect(),
            charged: staying.map(|(m, _)| self.artifacts[*m].clone()).collect(),
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

    fn planned(&self, sight: &Sight<'_>) -> (Vec<PlannedModel>, Vec<PlannedUpstream>) {
        let fleet = &self.hosts[0].1;
        let upstreams = fleet.upstreams().iter().filter(|u| u.is_accepting_work());
        let upstreams: Vec<PlannedUpstream> = upstreams
            .map(|u| PlannedUpstream::from_upstream(u, sight.now_ms))
            .collect();
        let models = self
            .artifacts
            .iter()
            .enumerate()
            .map(|(m, artifact)| PlannedModel {
                artifact: artifact.clone(),
                copy_mib: sight.copy_mib[m],
                min_copies: 1,
                is_relied_upon: true,
                demand_in_flight: fleet.demand(artifact),
            });
        (models.collect(), upstreams)
    }

    fn claim_slot(&mut self, now_ms: u64, upstream: &UpstreamId, artifact: &ArtifactId) -> bool {
        let wanted = SlotUse {
            upstream: upstream.clone(),
            artifact: artifact.clone(),
        };
        match choose_slot(now_ms, &self.fleet_config, &self.slots, &wanted) {
            SlotChoice::Take(i) => {
                self.slots[i].slot = Slot {
                    started_ms: now_ms,
                    used_by: Some(wanted),
                };
                true
            }
            SlotChoice::LoadingElsewhere | SlotChoice::NoneFree => false,
        }
    }

    fn free_slots(&mut self, sight: &Sight<'_>) {
        let artifacts = &self.artifacts;
        for read in &mut self.slots {
            let Some(used) = &read.slot.used_by else {
                continue;
            };
            let m = artifacts.iter().position(|a| *a == used.artifact);
            let engine = sight.engines.iter().find(|e| e.plan.id == used.upstream);
            let is_loading = m.zip(engine).is_some_and(|(m, e)| {
                e.resident
                    .get(&m)
                    .is_some_and(|r| r.ready_ms > sight.now_ms)
            });
            if !is_loading {
                read.slot.used_by = None;
            }
        }
    }
}

fn listed(engine: &FakeEngine) -> ListedUpstream {
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

impl Policy for Core {
    fn route(&mut self, sight: &Sight<'_>, request: &Request) -> Option<EngineIndex> {
        let h = self.rng.below(self.hosts.len());
        let (zone, fleet) = &mut self.hosts[h];
        let artifact = &self.artifacts[request.model];
        let input = RouteInput {
            zone,
            copies: fleet.copies(artifact),
            tried: &[],
            prefix_hash: None,
        };
        let ix = route(sight.now_ms, fleet, &input, &mut self.rng).ok()?;
        check_target(&self.loads, &self.team, fleet.get(ix), self.target_ms).ok()?;
        fleet.on_sent(ix);
        self.sent[ix].push(h);
        Some(ix)
    }

    fn moves(&mut self, sight: &Sight<'_>) -> Vec<Move> {
        self.observe(sight);
        self.free_slots(sight);
        if !sight.is_platform_up {
            return Vec::new();
        }
        let (models, upstreams) = self.planned(sight);
        let mut moves = Vec::new();
        for step in plan(&models, &upstreams) {
            let position = |id: &UpstreamId| sight.engines.iter().position(|e| e.plan.id == *id);
            let model = |a: &ArtifactId| self.artifacts.iter().position(|x| x == a);
            match step {
                Step::Load {
                    upstream, artifact, ..
                } => {
                    let at = position(&upstream).zip(model(&artifact));
                    if let Some((e, m)) = at
                        && self.claim_slot(sight.now_ms, &upstream, &artifact)
                    {
                        moves.push(Move::Load(e, m));
                    }
                }
                Step::Unload { upstream, artifact } => {
                    let at = position(&upstream).zip(model(&artifact));
                    moves.extend(at.map(|(e, m)| Move::Unload(e, m)));
                }
            }
        }
        moves
    }

    fn on_first_token(&mut self, now_ms: u64, engine: EngineIndex, first_ms: u64) {
        let h = self.rng.below(self.hosts.len());
        self.hosts[h]
            .1
            .on_first_byte(now_ms, engine, first_ms * 1000);
    }

    fn on_done(&mut self, engine: EngineIndex) {
        // Which host's request ended makes no difference to the total.
        if !self.sent[engine].is_empty() {
            let h = self.sent[engine].remove(0);
            self.hosts[h].1.on_done(engine);
        }
    }
}
