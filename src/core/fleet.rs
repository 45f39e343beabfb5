//! Upstreams as seen by one entry host: listing, load and health.
//!
//! The load of an upstream is estimated from its latest report, which lags,
//! and from this host's own requests: the reported total, less what this host
//! had in flight at the time of the report, plus what it has in flight now.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::ids::{ArtifactId, UpstreamId, ZoneId};

/// Index of an upstream in the fleet's table.
pub type UpstreamIndex = usize;

/// Kind of upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// Model engine.
    Engine,
    /// Plain service.
    Service,
}

/// State of an upstream in the platform's list.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// In service.
    Live,
    /// Accepts no new work.
    Leaving,
}

/// Upstream as the platform lists it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListedUpstream {
    /// Name.
    pub id: UpstreamId,
    /// Address that receives requests and orders.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Kind.
    pub kind: UpstreamKind,
    /// Whether it accepts new work.
    pub state: ListedState,
    /// Number of accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Memory for models in MiB.
    #[serde(default)]
    pub memory_mib: u64,
    /// Largest number of concurrent requests that meets the targets.
    pub max_batch: u32,
    /// True if the engine refuses orders with an old fencing token.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// Load reported by an upstream; it lags behind the actual load.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Number of requests running and queued.
    #[serde(rename = "n")]
    pub in_flight: u32,
    /// Mean time of a request, in milliseconds.
    #[serde(rename = "ms")]
    pub mean_request_ms: u32,
}

/// Consecutive failures after which an upstream is ejected.
pub const EJECT_AFTER_FAILURES: u32 = 5;
/// Duration of the first ejection, in milliseconds; doubles with each further
/// one.
pub const INITIAL_EJECTION_MS: u64 = 2_000;
/// Longest duration of an ejection, in milliseconds.
pub const MAX_EJECTION_MS: u64 = 60_000;
/// Largest share of a model's copies that may be ejected, in percent; above
/// it, ejections are ignored so that the remaining copies are not overloaded.
pub const MAX_EJECTED_PERCENT: usize = 34;
/// Multiple of the median time to first byte above which an upstream is slow.
pub const SLOW_FACTOR: u64 = 3;
/// Divisor of the batch size with which an ejected upstream is planned.
const EJECTED_BATCH_DIVISOR: u32 = 4;
/// Number of samples before an upstream can count as slow.
const MIN_SAMPLES: u32 = 16;

/// Health of one upstream, from the outcomes of recent requests.
#[derive(Clone, Debug, Default)]
pub struct Health {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until_ms: u64,
    samples: u32,
    first_byte_us: u64,
}

impl Health {
    /// Smoothed time to first byte, in microseconds.
    pub fn first_byte_us(&self) -> u64 {
        self.first_byte_us
    }

    /// True while the upstream is ejected.
    pub fn is_ejected(&self, now_ms: u64) -> bool {
        now_ms < self.ejected_until_ms
    }

    fn on_success(&mut self, first_byte_us: u64) {
        self.consecutive_failures = 0;
        self.samples = self.samples.saturating_add(1);
        let smoothed_us = (self.first_byte_us * 7 + first_byte_us) / 8;
        self.first_byte_us = if self.samples == 1 {
            first_byte_us
        } else {
            smoothed_us
        };
        if self.samples >= MIN_SAMPLES
            && self.ejections > 0
            && self.samples.is_multiple_of(MIN_SAMPLES)
        {
            self.ejections -= 1;
        }
    }

    fn eject(&mut self, now_ms: u64) {
        let backoff_ms = INITIAL_EJECTION_MS << self.ejections.min(5);
        self.ejected_until_ms = now_ms + backoff_ms.min(MAX_EJECTION_MS);
        self.ejections += 1;
        self.consecutive_failures = 0;
        self.samples = 0;
    }
}

/// Load of an upstream, published by its acting host with each heartbeat.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadUpdate {
    /// Upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamId,
    /// Time of the observation, in milliseconds of the acting host's wall clock.
    #[serde(rename = "t")]
    pub observed_ms: u64,
    /// Load.
    #[serde(rename = "l")]
    pub load: LoadReport,
    /// Requests in flight per model, in the order of the ready models.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub demand: Vec<u32>,
}

impl Observation {
    /// Frequently changing part of the observation, for the heartbeat.
    pub fn load_update(&self, upstream: &UpstreamId) -> LoadUpdate {
        let demand = |a: &ArtifactId| self.demand.get(a).copied().unwrap_or(0);
        let mut demand: Vec<u32> = self.ready.iter().map(demand).collect();
        if demand.iter().all(|d| *d == 0) {
            demand.clear();
        }
        let (observed_ms, load) = (self.observed_ms, self.load);
        LoadUpdate {
            upstream: upstream.clone(),
            observed_ms,
            load,
            demand,
        }
    }

    /// True if anything but the load and the demand differs from `old`. Such a
    /// change is published immediately, not with the next heartbeat.
    pub fn has_changed_beyond_load(&self, old: &Self) -> bool {
        let is_same = self.ready == old.ready
            && self.charged == old.charged
            && self.free_mib == old.free_mib
            && self.unloading_mib == old.unloading_mib
            && self.accepts_work == old.accepts_work;
        !is_same
    }
}

/// Latest state of an upstream, as observed and published by its acting host.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Observation {
    /// Time of the observation, in milliseconds of the acting host's wall clock.
    pub observed_ms: u64,
    /// Models ready for new requests.
    pub ready: BTreeSet<ArtifactId>,
    /// Models that are charged and not being unloaded.
    #[serde(rename = "holds")]
    pub charged: BTreeSet<ArtifactId>,
    /// Memory that is not charged, in MiB.
    pub free_mib: u64,
    /// Memory of models that are being unloaded, in MiB.
    #[serde(default, rename = "leaving_mib")]
    pub unloading_mib: u64,
    /// Load.
    pub load: LoadReport,
    /// Smoothed number of requests in flight per model.
    pub demand: BTreeMap<ArtifactId, u32>,
    /// False once the upstream accepts no new work.
    pub accepts_work: bool,
}

/// One upstream and its estimated load.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// Entry in the platform's list.
    pub listed: ListedUpstream,
    /// False once the platform's list no longer contains it.
    pub is_listed: bool,
    /// Number of this host's requests in flight.
    pub local_in_flight: u32,
    local_in_flight_at_report: u32,
    /// Newest observation by its acting host.
    pub observation: Observation,
    /// Health from recent outcomes.
    pub health: Health,
}

impl Upstream {
    /// Estimated number of requests in flight from all hosts.
    pub fn estimated_in_flight(&self) -> u32 {
        self.observation
            .load
            .in_flight
            .saturating_sub(self.local_in_flight_at_report)
            + self.local_in_flight
    }

    /// Estimated load in per mille of the batch that meets the targets.
    pub fn load_permille(&self) -> u32 {
        self.estimated_in_flight() * 1000 / self.listed.max_batch.max(1)
    }

    /// Batch size for the planner; it is reduced for an ejected upstream, so
    /// that its models get copies elsewhere.
    pub fn planned_batch(&self, now_ms: u64) -> u32 {
        if self.health.is_ejected(now_ms) {
            (self.listed.max_batch / EJECTED_BATCH_DIVISOR).max(1)
        } else {
            self.listed.max_batch
        }
    }

    /// True if the upstream accepts new work.
    pub fn is_accepting_work(&self) -> bool {
        self.is_listed && self.observation.accepts_work && self.listed.state == ListedState::Live
    }
}

/// All upstreams, with an index of the models that are ready.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    upstreams: Vec<Upstream>,
    by_id: BTreeMap<UpstreamId, UpstreamIndex>,
    ready: HashMap<ArtifactId, Vec<UpstreamIndex>>,
}

impl Fleet {
    /// Updates the upstreams from the platform's list; those that it no longer
    /// contains are marked as not listed.
    pub fn set_listed(&mut self, listed: &[ListedUpstream]) {
        for upstream in &mut self.upstreams {
            upstream.is_listed = false;
        }
        for entry in listed {
            let ix = self.index_or_insert(entry);
            let upstream = &mut self.upstreams[ix];
            upstream.is_listed = true;
            upstream.listed.clone_from(entry);
        }
    }

    fn index_or_insert(&mut self, entry: &ListedUpstream) -> UpstreamIndex {
        if let Some(&ix) = self.by_id.get(&entry.id) {
            return ix;
        }
        let ix = self.upstreams.len();
        self.by_id.insert(entry.id.clone(), ix);
        self.upstreams.push(Upstream {
            listed: entry.clone(),
            is_listed: true,
            local_in_flight: 0,
            local_in_flight_at_report: 0,
            observation: Observation {
                accepts_work: true,
                ..Observation::default()
            },
            health: Health::default(),
        });
        ix
    }

    /// All upstreams, by index.
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    /// Upstream at an index.
    pub fn get(&self, ix: UpstreamIndex) -> &Upstream {
        &self.upstreams[ix]
    }

    /// Index of an upstream.
    pub fn position(&self, id: &str) -> Option<UpstreamIndex> {
        self.by_id.get(id).copied()
    }

    /// Upstreams where a model is ready.
    pub fn copies(&self, artifact: &ArtifactId) -> &[UpstreamIndex] {
        self.ready.get(artifact).map_or(&[], Vec::as_slice)
    }

    /// Stores an observation; false if it is not newer than the stored one.
    pub fn observe(&mut self, ix: UpstreamIndex, observation: Observation) -> bool {
        let upstream = &mut self.upstreams[ix];
        if observation.observed_ms <= upstream.observation.observed_ms {
            return false;
        }
        let has_ready_changed = observation.ready != upstream.observation.ready;
        upstream.local_in_flight_at_report = upstream.local_in_flight;
        upstream.observation = observation;
        if has_ready_changed {
            self.index_ready(ix);
        }
        true
    }

    /// Updates the load; false if it is not newer than the stored observation.
    pub fn observe_load(&mut self, ix: UpstreamIndex, update: &LoadUpdate) -> bool {
        let upstream = &mut self.upstreams[ix];
        let observation = &mut upstream.observation;
        if update.observed_ms <= observation.observed_ms {
            return false;
        }
        observation.observed_ms = update.observed_ms;
        observation.load = update.load;
        let reported_demand = observation
            .ready
            .iter()
            .zip(&update.demand)
            .filter(|(_, d)| **d > 0);
        observation.demand = reported_demand.map(|(a, d)| (a.clone(), *d)).collect();
        upstream.local_in_flight_at_report = upstream.local_in_flight;
        true
    }

    fn index_ready(&mut self, ix: UpstreamIndex) {
        for copies in self.ready.values_mut() {
            copies.retain(|&c| c != ix);
        }
        for artifact in &self.upstreams[ix].observation.ready {
            self.ready.entry(artifact.clone()).or_default().push(ix);
        }
        self.ready.retain(|_, copies| !copies.is_empty());
    }

    /// Number of requests in flight for a model. If no available upstream has it
    /// ready, this is the last known number at upstreams that are gone.
    pub fn demand(&self, artifact: &ArtifactId) -> u32 {
        let demand_at = |u: &Upstream| u.observation.demand.get(artifact).copied().unwrap_or(0);
        let available = self.upstreams.iter().filter(|u| u.is_accepting_work());
        let is_ready = |u: &Upstream| u.observation.ready.contains(artifact);
        let known: Option<u32> = available
            .filter(|u| is_ready(u))
            .map(&demand_at)
            .fold(None, |sum, d| Some(sum.unwrap_or(0) + d));
        known.unwrap_or_else(|| self.upstreams.iter().map(demand_at).sum())
    }

    /// Highest version of the same model that is ready at any upstream.
    pub fn other_version(&self, artifact: &ArtifactId) -> Option<&ArtifactId> {
        let same_model = |a: &&ArtifactId| a.model() == artifact.model();
        self.ready.keys().filter(same_model).max()
    }

    /// Records that a request was sent to an upstream.
    pub fn on_sent(&mut self, ix: UpstreamIndex) {
        self.upstreams[ix].local_in_flight += 1;
    }

    /// Records the end of a request.
    pub fn on_done(&mut self, ix: UpstreamIndex) {
        let upstream = &mut self.upstreams[ix];
        upstream.local_in_flight = upstream.local_in_flight.saturating_sub(1);
    }

    /// Records the time to first byte. It is scaled down by the load beyond a
    /// full batch, so that queueing does not count as slowness.
    pub fn on_first_byte(&mut self, now_ms: u64, ix: UpstreamIndex, first_byte_us: u64) {
        let load_permille = u64::from(self.upstreams[ix].load_permille());
        let first_byte_us = first_byte_us * 1000 / load_permille.max(1000);
        self.upstreams[ix].health.on_success(first_byte_us);
        if self.is_slow(ix) {
            self.upstreams[ix].health.eject(now_ms);
        }
    }

    /// Records a failure; ejects the upstream after
    /// [`EJECT_AFTER_FAILURES`] consecutive ones.
    pub fn on_failure(&mut self, now_ms: u64, ix: UpstreamIndex) {
        let health = &mut self.upstreams[ix].health;
        health.consecutive_failures += 1;
        if health.consecutive_failures >= EJECT_AFTER_FAILURES {
            health.eject(now_ms);
        }
    }

    fn is_slow(&self, ix: UpstreamIndex) -> bool {
        let upstream = &self.upstreams[ix];
        if upstream.health.samples < MIN_SAMPLES
            || !upstream.health.samples.is_multiple_of(MIN_SAMPLES)
        {
            return false;
        }
        let mut peers_us: Vec<u64> = self
            .upstreams
            .iter()
            .filter(|u| u.listed.kind == upstream.listed.kind && u.health.samples >= MIN_SAMPLES)
            .map(|u| u.health.first_byte_us)
            .collect();
        if peers_us.len() < 3 {
            return false;
        }
        let middle = peers_us.len() / 2;
        let (_, median_us, _) = peers_us.select_nth_unstable(middle);
        upstream.health.first_byte_us > *median_us * SLOW_FACTOR
    }
}
