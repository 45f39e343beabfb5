//! Placement of models on upstreams.
//!
//! Load pattern: demand moves between models, and memory is too small for a
//! copy of every model on every upstream. The number of copies of a model
//! follows its demand, with hysteresis: between two load thresholds no copy is
//! added or evicted. A model without a copy has priority over everything else.
//! The last copy of a model is evicted only if no team relies on the model and
//! a relied-upon model has no copy.
//!
//! Every acting host computes the same plan from the same inputs and executes
//! only the steps for its own upstreams. Hosts with different inputs may
//! disagree; the compare-and-swap of the ledger keeps that safe.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::fleet::Upstream;
use super::ids::{ArtifactId, UpstreamId, ZoneId};
use super::rendezvous::{hash, weight};

/// Load of a model's copies above which a copy is added, in per mille.
pub const ADD_COPY_ABOVE_PERMILLE: u64 = 700;
/// Load of the remaining copies below which a copy may be evicted, in per mille.
pub const EVICT_COPY_BELOW_PERMILLE: u64 = 350;

/// Upstream, as input of the planner.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedUpstream {
    /// Name.
    pub id: UpstreamId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Memory that is not charged in the ledger, in MiB.
    pub free_mib: u64,
    /// Memory of models that are being unloaded, in MiB.
    pub unloading_mib: u64,
    /// Largest number of concurrent requests that meets the targets; reduced
    /// while the upstream is ejected.
    pub max_batch: u32,
    /// Number of requests in flight.
    pub in_flight: u32,
    /// Models that are charged and not being unloaded.
    pub charged: BTreeSet<ArtifactId>,
    /// Models ready for requests.
    pub ready: BTreeSet<ArtifactId>,
}

impl PlannedUpstream {
    /// Planner input from the state of an upstream.
    pub fn from_upstream(upstream: &Upstream, now_ms: u64) -> Self {
        let observation = &upstream.observation;
        Self {
            id: upstream.listed.id.clone(),
            zone: upstream.listed.zone.clone(),
            free_mib: observation.free_mib,
            unloading_mib: observation.unloading_mib,
            max_batch: upstream.planned_batch(now_ms),
            in_flight: observation.load.in_flight,
            charged: observation.charged.clone(),
            ready: observation.ready.clone(),
        }
    }
}

/// Model, as input of the planner.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedModel {
    /// Version to serve.
    pub artifact: ArtifactId,
    /// Memory of one copy in MiB.
    pub copy_mib: u64,
    /// Minimum number of copies.
    pub min_copies: u32,
    /// True if a team relies on the model.
    pub is_relied_upon: bool,
    /// Number of requests in flight over all copies.
    pub demand_in_flight: u32,
}

/// Number of steps at which a plan is truncated; the weight store takes longer
/// to serve them than the time until the next plan.
pub const MAX_PLAN_STEPS: usize = 128;

/// One step of the plan.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Step {
    /// Load a model.
    Load {
        /// Upstream that loads the model.
        upstream: UpstreamId,
        /// Version to load.
        artifact: ArtifactId,
        /// Memory of the copy in MiB.
        copy_mib: u64,
    },
    /// Unload a model.
    Unload {
        /// Upstream that unloads the model.
        upstream: UpstreamId,
        /// Version to unload.
        artifact: ArtifactId,
    },
}

/// Plans the next steps for the whole fleet.
pub fn plan(models: &[PlannedModel], upstreams: &[PlannedUpstream]) -> Vec<Step> {
    let mut planner = Planner::new(models, upstreams);
    planner.unload_undeclared();
    planner.add_missing_copies();
    planner.add_copies_for_demand();
    planner.add_spare_copies();
    planner.steps
}

/// Planner state; models and upstreams are referenced by index.
struct Planner<'a> {
    models: &'a [PlannedModel],
    upstreams: &'a [PlannedUpstream],
    id_hashes: Vec<u64>,
    /// Requests in flight, including those expected at planned copies.
    in_flight: Vec<u32>,
    free_mib: Vec<u64>,
    /// Free memory after all current unloads, less reservations.
    expected_free_mib: Vec<u64>,
    /// Models charged at each upstream.
    charged_models: Vec<Vec<usize>>,
    /// Upstreams where each model is charged.
    holders: Vec<Vec<usize>>,
    ready_copies: Vec<usize>,
    /// Upstreams of each charged artifact that no team declares.
    undeclared: BTreeMap<&'a ArtifactId, Vec<usize>>,
    steps: Vec<Step>,
}

impl<'a> Planner<'a> {
    fn new(models: &'a [PlannedModel], upstreams: &'a [PlannedUpstream]) -> Self {
        let mut planner = Self {
            models,
            upstreams,
            id_hashes: upstreams.iter().map(|u| hash(u.id.as_str())).collect(),
            expected_free_mib: upstreams
                .iter()
                .map(|u| u.free_mib + u.unloading_mib)
                .collect(),
            in_flight: upstreams.iter().map(|u| u.in_flight).collect(),
            free_mib: upstreams.iter().map(|u| u.free_mib).collect(),
            charged_models: vec![Vec::new(); upstreams.len()],
            holders: vec![Vec::new(); models.len()],
            ready_copies: vec![0; models.len()],
            undeclared: BTreeMap::new(),
            steps: Vec::new(),
        };
        planner.index();
        planner
    }

    fn index(&mut self) {
        let by_artifact: HashMap<&str, usize> = self
            .models
            .iter()
            .enumerate()
            .map(|(m, model)| (model.artifact.as_str(), m))
            .collect();
        for (u, upstream) in self.upstreams.iter().enumerate() {
            for artifact in &upstream.charged {
                if let Some(&m) = by_artifact.get(artifact.as_str()) {
                    self.holders[m].push(u);
                    self.charged_models[u].push(m);
                } else {
                    self.undeclared.entry(artifact).or_default().push(u);
                }
            }
            for artifact in &upstream.ready {
                if let Some(&m) = by_artifact.get(artifact.as_str()) {
                    self.ready_copies[m] += 1;
                }
            }
        }
    }

    fn has_all_copies_ready(&self, m: usize) -> bool {
        self.holders[m].len() == self.ready_copies[m]
    }

    /// Unloads versions that no team declares, once the declared version is
    /// ready.
    fn unload_undeclared(&mut self) {
        let declared: HashMap<&str, usize> = self
            .models
            .iter()
            .enumerate()
            .map(|(m, model)| (model.artifact.model(), m))
            .collect();
        for (artifact, holders) in std::mem::take(&mut self.undeclared) {
            let is_fallback = declared
                .get(artifact.model())
                .is_some_and(|&m| self.ready_copies[m] == 0);
            if !is_fallback {
                for u in holders {
                    self.push_unload(u, artifact);
                }
            }
        }
    }

    /// Raises each model to its minimum number of copies: models without a copy
    /// first, then relied-upon ones.
    fn add_missing_copies(&mut self) {
        let mut below_minimum: Vec<usize> = (0..self.models.len())
            .filter(|&m| self.holders[m].len() < self.models[m].min_copies as usize)
            .collect();
        below_minimum.sort_by_key(|&m| {
            let model = &self.models[m];
            let has_copy = !self.holders[m].is_empty();
            (
                has_copy,
                !model.is_relied_upon,
                Reverse((model.demand_in_flight, model.copy_mib)),
                &model.artifact,
            )
        });
        for m in below_minimum {
            if self.steps.len() >= MAX_PLAN_STEPS {
                return;
            }
            for _ in self.holders[m].len()..self.models[m].min_copies as usize {
                self.add_copy(m);
            }
        }
    }

    fn add_copies_for_demand(&mut self) {
        for m in 0..self.models.len() {
            let load_permille = self.load_permille(m, self.holders[m].len());
            if self.has_all_copies_ready(m) && load_permille > ADD_COPY_ABOVE_PERMILLE {
                self.add_copy(m);
            }
        }
    }

    /// Fills free memory with second copies, by descending demand.
    ///
    /// They are ready when demand moves, an upstream is lost or the platform is
    /// unavailable, and are evicted first when the memory is needed.
    fn add_spare_copies(&mut self) {
        let mut single: Vec<usize> = (0..self.models.len())
            .filter(|&m| self.holders[m].len() == 1 && self.has_all_copies_ready(m))
            .collect();
        single.sort_by_key(|&m| {
            let model = &self.models[m];
            (
                Reverse(model.demand_in_flight),
                !model.is_relied_upon,
                &model.artifact,
            )
        });
        for m in single {
            if self.steps.len() >= MAX_PLAN_STEPS {
                return;
            }
            if let Some(u) = self.best_upstream(m) {
                self.push_load(u, m);
            }
        }
    }

    /// Load of a model if it has `copies` copies, in per mille: its demand over
    /// the batch slots that other models leave to it.
    fn load_permille(&self, m: usize, copies: usize) -> u64 {
        let holders = &self.holders[m];
        if copies == 0 || holders.is_empty() {
            return 0;
        }
        let sum_over_holders = |field: fn(&PlannedUpstream) -> u32| -> u64 {
            holders
                .iter()
                .map(|&u| u64::from(field(&self.upstreams[u])))
                .sum()
        };
        let own_demand = u64::from(self.models[m].demand_in_flight);
        let others = sum_over_holders(|u| u.in_flight).saturating_sub(own_demand);
        let available_slots = sum_over_holders(|u| u.max_batch).saturating_sub(others);
        let available_slots = available_slots * copies as u64 / holders.len() as u64;
        own_demand * 1000 / available_slots.max(1)
    }

    /// Load of an upstream in tenths of its batch, so that placement ignores
    /// smaller differences.
    fn load_in_tenths(&self, u: usize) -> u32 {
        self.in_flight[u] * 10 / self.upstreams[u].max_batch.max(1)
    }

    fn add_copy(&mut self, m: usize) {
        match self.best_upstream(m) {
            Some(u) => self.push_load(u, m),
            None => self.evict_for(m),
        }
    }

    /// Free memory that no model waits for.
    fn unreserved_mib(&self, u: usize) -> u64 {
        self.free_mib[u].min(self.expected_free_mib[u])
    }

    /// Best upstream with enough free memory that is not reserved: prefers a zone
    /// without a copy of the model, then the lowest load.
    fn best_upstream(&self, m: usize) -> Option<usize> {
        let model = &self.models[m];
        let holders = &self.holders[m];
        let key = hash(model.artifact.as_str());
        let fits = |u: &usize| self.unreserved_mib(*u) >= model.copy_mib && !holders.contains(u);
        (0..self.upstreams.len()).filter(fits).min_by_key(|&u| {
            let upstream = &self.upstreams[u];
            let is_zone_covered = holders
                .iter()
                .any(|&h| self.upstreams[h].zone == upstream.zone);
            let tie_breaker = Reverse(weight(key, self.id_hashes[u]));
            (
                is_zone_covered,
                self.load_in_tenths(u),
                self.charged_models[u].len(),
                tie_breaker,
            )
        })
    }

    /// Evicts copies of other models at the upstream where the fewest must go,
    /// unless enough memory is already being freed.
    fn evict_for(&mut self, m: usize) {
        if self.reserve_expected_memory(m) {
            return;
        }
        let model = &self.models[m];
        let evictions = |u: usize| {
            let mut evictable: Vec<usize> = self.charged_models[u]
                .iter()
                .copied()
                .filter(|&other| self.is_evictable(other, m))
                .collect();
            evictable.sort_by_key(|&other| Reverse(self.models[other].copy_mib));
            let unreserved_mib = self.unreserved_mib(u);
            let mut free_mib = unreserved_mib;
            let victims = evictable.iter().take_while(|&&other| {
                let is_short = free_mib < model.copy_mib;
                free_mib += self.models[other].copy_mib;
                is_short
            });
            let chosen: Vec<usize> = victims.copied().collect();
            let freed_mib: u64 = chosen
                .iter()
                .map(|&other| self.models[other].copy_mib)
                .sum();
            (unreserved_mib + freed_mib >= model.copy_mib).then_some((u, chosen))
        };
        let holders = &self.holders[m];
        let eviction_options = (0..self.upstreams.len())
            .filter(|u| !holders.contains(u))
            .filter_map(evictions);
        let fewest_evictions = eviction_options.min_by_key(|(u, chosen)| {
            (
                chosen.len(),
                self.upstreams[*u].in_flight,
                &self.upstreams[*u].id,
            )
        });
        let Some((u, chosen)) = fewest_evictions else {
            return;
        };
        for other in chosen {
            self.expected_free_mib[u] += self.models[other].copy_mib;
            self.holders[other].retain(|&h| h != u);
            self.charged_models[u].retain(|&model| model != other);
            self.push_unload(u, &self.models[other].artifact);
        }
        self.expected_free_mib[u] -= self.models[m].copy_mib;
    }

    /// Reserves memory that is being freed; false if no upstream has enough.
    fn reserve_expected_memory(&mut self, m: usize) -> bool {
        let copy_mib = self.models[m].copy_mib;
        let has_expected_memory =
            |u: &usize| self.expected_free_mib[*u] >= copy_mib && !self.holders[m].contains(u);
        let candidates = (0..self.upstreams.len()).filter(has_expected_memory);
        let Some(u) = candidates.min_by_key(|&u| self.in_flight[u]) else {
            return false;
        };
        self.expected_free_mib[u] -= copy_mib;
        self.in_flight[u] += self.models[m].demand_in_flight;
        true
    }

    /// True if a copy of `other` may be evicted for a copy of `wanted`: it is
    /// surplus, or `wanted` is relied upon and without a copy and `other` is not
    /// relied upon.
    fn is_evictable(&self, other: usize, wanted: usize) -> bool {
        let model = &self.models[other];
        let remaining_copies = self.holders[other].len().saturating_sub(1);
        let is_surplus = remaining_copies >= model.min_copies.max(1) as usize
            && self.load_permille(other, remaining_copies) < EVICT_COPY_BELOW_PERMILLE;
        let is_displaceable = self.holders[wanted].is_empty()
            && self.models[wanted].is_relied_upon
            && !model.is_relied_upon;
        self.has_all_copies_ready(other) && (is_surplus || is_displaceable)
    }

    fn push_load(&mut self, u: usize, m: usize) {
        let model = &self.models[m];
        self.free_mib[u] -= model.copy_mib;
        self.expected_free_mib[u] -= model.copy_mib;
        self.charged_models[u].push(m);
        self.holders[m].push(u);
        self.in_flight[u] += model.demand_in_flight / self.holders[m].len() as u32;
        self.steps.push(Step::Load {
            upstream: self.upstreams[u].id.clone(),
            artifact: model.artifact.clone(),
            copy_mib: model.copy_mib,
        });
    }

    fn push_unload(&mut self, u: usize, artifact: &ArtifactId) {
        let upstream = self.upstreams[u].id.clone();
        self.steps.push(Step::Unload {
            upstream,
            artifact: artifact.clone(),
        });
    }
}
