//! What one entry host knows of the upstreams.
//!
//! Load is estimated from this host's own requests in flight, corrected by
//! the upstream's lagging report: the report's total less what this host had
//! in flight when it was made, plus what this host has in flight now.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::ids::{ArtifactId, UpstreamId, ZoneId};

/// Position of an upstream in the fleet's table.
pub type UpstreamIx = usize;

/// Kind of upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum UpstreamKind {
    /// Model engine.
    Engine,
    /// Plain service.
    Service,
}

/// What the platform's list says of a machine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum ListedState {
    /// In service.
    Live,
    /// Takes no new work.
    Leaving,
}

/// Upstream as the platform lists it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ListedUpstream {
    /// Name.
    pub id: UpstreamId,
    /// Address for requests and orders.
    pub addr: SocketAddr,
    /// Availability zone.
    pub zone: ZoneId,
    /// Kind.
    pub kind: UpstreamKind,
    /// Whether it takes new work.
    pub state: ListedState,
    /// Accelerators.
    #[serde(default)]
    pub accelerators: u32,
    /// Memory for models in MiB.
    #[serde(default)]
    pub memory_mib: u64,
    /// Requests that meet the targets when run together.
    pub max_batch: u32,
    /// True if the engine refuses an order with an old fencing number.
    #[serde(default)]
    pub checks_fencing: bool,
}

/// Lagging load report of an upstream.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct LoadReport {
    /// Requests running and waiting.
    #[serde(rename = "n")]
    pub in_flight: u32,
    /// Mean time of a request, in milliseconds.
    #[serde(rename = "ms")]
    pub mean_request_ms: u32,
}

/// Consecutive failures after which an upstream is ejected.
pub const EJECT_AFTER_FAILURES: u32 = 5;
/// First time an ejected upstream is left out, in milliseconds; doubles.
pub const FIRST_EJECTION_MS: u64 = 2_000;
/// Longest time an ejected upstream is left out, in milliseconds.
pub const MAX_EJECTION_MS: u64 = 60_000;
/// Largest share of a model's copies that may be ejected, in percent.
pub const MAX_EJECTED_PERCENT: usize = 34;
/// Time to first byte, as a multiple of the median, that counts as slow.
pub const SLOW_FACTOR: u64 = 3;
/// Part of its batch with which an ejected upstream is planned.
const EJECTED_BATCH_DIVISOR: u32 = 4;
/// Samples before an upstream can count as slow.
const MIN_SAMPLES: u32 = 16;

/// Recent outcomes of one upstream.
#[derive(Clone, Debug, Default)]
pub struct Health {
    consecutive_failures: u32,
    ejections: u32,
    ejected_until_ms: u64,
    samples: u32,
    first_byte_us: u64,
}

impl Health {
    /// Smoothed time to the first byte in microseconds.
    pub fn first_byte_us(&self) -> u64 {
        self.first_byte_us
    }

    /// True while the upstream is left out.
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
        let backoff_ms = FIRST_EJECTION_MS << self.ejections.min(5);
        self.ejected_until_ms = now_ms + backoff_ms.min(MAX_EJECTION_MS);
        self.ejections += 1;
        self.consecutive_failures = 0;
        self.samples = 0;
    }
}

/// Load of an upstream, as its acting host tells its peers with each heartbeat.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct LoadUpdate {
    /// Upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamId,
    /// When, in milliseconds of the acting host's wall time.
    #[serde(rename = "t")]
    pub observed_ms: u64,
    /// Load.
    #[serde(rename = "l")]
    pub load: LoadReport,
    /// Requests in flight per model, by position among the ready ones.
    #[serde(rename = "d", default, skip_serializing_if = "Vec::is_empty")]
    pub demand: Vec<u32>,
}

impl Observation {
    /// What changes often, apart from the rest.
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

    /// True if peers must be told at once, and not with the next heartbeat.
    pub fn is_moved_from(&self, old: &Self) -> bool {
        let same = self.ready == old.ready
            && self.holds == old.holds
            && self.free_mib == old.free_mib
            && self.leaving_mib == old.leaving_mib
            && self.accepts_work == old.accepts_work;
        !same
    }
}

/// What the acting host of an upstream last saw, as it tells its peers.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Observation {
    /// When, in milliseconds of the acting host's wall time.
    pub observed_ms: u64,
    /// Models ready for new requests.
    pub ready: BTreeSet<ArtifactId>,
    /// Models charged and not being unloaded.
    pub holds: BTreeSet<ArtifactId>,
    /// Memory that is not charged, in MiB.
    pub free_mib: u64,
    /// Memory of models that are being unloaded, in MiB.
    #[serde(default)]
    pub leaving_mib: u64,
    /// Load.
    pub load: LoadReport,
    /// Requests in flight per model, smoothed.
    pub demand: BTreeMap<ArtifactId, u32>,
    /// False once the upstream takes no new work.
    pub accepts_work: bool,
}

/// One upstream and its estimated load.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// What the platform lists.
    pub listed: ListedUpstream,
    /// False once the platform's list has dropped it.
    pub is_listed: bool,
    /// This host's requests in flight.
    pub local_in_flight: u32,
    local_at_report: u32,
    /// Newest observation of its acting host.
    pub seen: Observation,
    /// Recent outcomes.
    pub health: Health,
}

impl Upstream {
    /// Estimated requests in flight from all hosts.
    pub fn estimated_in_flight(&self) -> u32 {
        self.seen
            .load
            .in_flight
            .saturating_sub(self.local_at_report)
            + self.local_in_flight
    }

    /// Estimated load in per mille of the batch that meets the targets.
    pub fn load_permille(&self) -> u32 {
        self.estimated_in_flight() * 1000 / self.listed.max_batch.max(1)
    }

    /// Batch to plan with: an upstream that is left out for its outcomes counts
    /// for little, so that its models get copies elsewhere.
    pub fn planned_batch(&self, now_ms: u64) -> u32 {
        if self.health.is_ejected(now_ms) {
            (self.listed.max_batch / EJECTED_BATCH_DIVISOR).max(1)
        } else {
            self.listed.max_batch
        }
    }

    /// True if new work may be sent here.
    pub fn takes_work(&self) -> bool {
        self.is_listed && self.seen.accepts_work && self.listed.state == ListedState::Live
    }
}

/// All upstreams and where models are ready.
#[derive(Clone, Debug, Default)]
pub struct Fleet {
    upstreams: Vec<Upstream>,
    by_id: BTreeMap<UpstreamId, UpstreamIx>,
    ready: HashMap<ArtifactId, Vec<UpstreamIx>>,
}

impl Fleet {
    /// Takes in the platform's list.
    pub fn set_listed(&mut self, listed: &[ListedUpstream]) {
        for upstream in &mut self.upstreams {
            upstream.is_listed = false;
        }
        for entry in listed {
            let ix = self.ensure(entry);
            let upstream = &mut self.upstreams[ix];
            upstream.is_listed = true;
            upstream.listed.clone_from(entry);
        }
    }

    fn ensure(&mut self, entry: &ListedUpstream) -> UpstreamIx {
        if let Some(&ix) = self.by_id.get(&entry.id) {
            return ix;
        }
        let ix = self.upstreams.len();
        self.by_id.insert(entry.id.clone(), ix);
        self.upstreams.push(Upstream {
            listed: entry.clone(),
            is_listed: true,
            local_in_flight: 0,
            local_at_report: 0,
            seen: Observation {
                accepts_work: true,
                ..Observation::default()
            },
            health: Health::default(),
        });
        ix
    }

    /// All upstreams, by position.
    pub fn upstreams(&self) -> &[Upstream] {
        &self.upstreams
    }

    /// Upstream at a position.
    pub fn get(&self, ix: UpstreamIx) -> &Upstream {
        &self.upstreams[ix]
    }

    /// Position of an upstream.
    pub fn position(&self, id: &str) -> Option<UpstreamIx> {
        self.by_id.get(id).copied()
    }

    /// Upstreams where a model is ready.
    pub fn copies(&self, artifact: &ArtifactId) -> &[UpstreamIx] {
        self.ready.get(artifact).map_or(&[], Vec::as_slice)
    }

    /// Takes in an observation; false if a newer one is known.
    pub fn observe(&mut self, ix: UpstreamIx, seen: Observation) -> bool {
        let upstream = &mut self.upstreams[ix];
        if seen.observed_ms <= upstream.seen.observed_ms {
            return false;
        }
        let is_moved = seen.ready != upstream.seen.ready;
        upstream.local_at_report = upstream.local_in_flight;
        upstream.seen = seen;
        if is_moved {
            self.index_ready(ix);
        }
        true
    }

    /// Takes in a load; false if a newer observation is known.
    pub fn observe_load(&mut self, ix: UpstreamIx, update: &LoadUpdate) -> bool {
        let upstream = &mut self.upstreams[ix];
        let seen = &mut upstream.seen;
        if update.observed_ms <= seen.observed_ms {
            return false;
        }
        seen.observed_ms = update.observed_ms;
        seen.load = update.load;
        let told = seen
            .ready
            .iter()
            .zip(&update.demand)
            .filter(|(_, d)| **d > 0);
        seen.demand = told.map(|(a, d)| (a.clone(), *d)).collect();
        upstream.local_at_report = upstream.local_in_flight;
        true
    }

    fn index_ready(&mut self, ix: UpstreamIx) {
        for copies in self.ready.values_mut() {
            copies.retain(|&c| c != ix);
        }
        for artifact in &self.upstreams[ix].seen.ready {
            self.ready.entry(artifact.clone()).or_default().push(ix);
        }
        self.ready.retain(|_, copies| !copies.is_empty());
    }

    /// Requests in flight for a model. For one that is ready nowhere it is what
    /// was last known before its upstreams went.
    pub fn demand(&self, artifact: &ArtifactId) -> u32 {
        let of = |u: &Upstream| u.seen.demand.get(artifact).copied().unwrap_or(0);
        let working = self.upstreams.iter().filter(|u| u.takes_work());
        let is_ready = |u: &Upstream| u.seen.ready.contains(artifact);
        let known: Option<u32> = working
            .filter(|u| is_ready(u))
            .map(&of)
            .fold(None, |sum, d| Some(sum.unwrap_or(0) + d));
        known.unwrap_or_else(|| self.upstreams.iter().map(of).sum())
    }

    /// Another version of the same model that is ready somewhere.
    pub fn other_version(&self, artifact: &ArtifactId) -> Option<&ArtifactId> {
        let same_model = |a: &&ArtifactId| a.model() == artifact.model();
        self.ready.keys().filter(same_model).max()
    }

    /// Counts a request sent to an upstream.
    pub fn on_sent(&mut self, ix: UpstreamIx) {
        self.upstreams[ix].local_in_flight += 1;
    }

    /// Counts the end of a request.
    pub fn on_done(&mut self, ix: UpstreamIx) {
        let upstream = &mut self.upstreams[ix];
        upstream.local_in_flight = upstream.local_in_flight.saturating_sub(1);
    }

    /// Records the first byte of an answer. What a full batch explains does
    /// not count as slow.
    pub fn on_first_byte(&mut self, now_ms: u64, ix: UpstreamIx, first_byte_us: u64) {
        let load_permille = u64::from(self.upstreams[ix].load_permille());
        let first_byte_us = first_byte_us * 1000 / load_permille.max(1000);
        self.upstreams[ix].health.on_success(first_byte_us);
        if self.is_slow(ix) {
            self.upstreams[ix].health.eject(now_ms);
        }
    }

    /// Records a failure; ejects the upstream after several in a row.
    pub fn on_failure(&mut self, now_ms: u64, ix: UpstreamIx) {
        let health = &mut self.upstreams[ix].health;
        health.consecutive_failures += 1;
        if health.consecutive_failures >= EJECT_AFTER_FAILURES {
            health.eject(now_ms);
        }
    }

    fn is_slow(&self, ix: UpstreamIx) -> bool {
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
