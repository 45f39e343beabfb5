//! Placement of models on upstreams.
//!
//! Every acting host computes the same plan from the same inputs and carries
//! out only the part that concerns its own upstreams. Hosts with different
//! inputs may disagree; the ledger's compare-and-swap keeps that safe. A
//! model gets copies in step with its demand, with a band in which nothing
//! moves. The last copy is never evicted, and a model without a copy goes
//! before everything else.

use std::collections::{BTreeMap, BTreeSet};

use super::ids::{ArtifactId, UpstreamId, ZoneId};
use super::rendezvous::{hash, weight};

/// Load of a model's copies above which a copy is added, in per mille.
pub const ADD_COPY_FROM_PERMILLE: u64 = 700;
/// Load that the remaining copies may reach when one is removed, in per mille.
pub const REMOVE_COPY_BELOW_PERMILLE: u64 = 350;

/// Upstream as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedUpstream {
    /// Name.
    pub id: UpstreamId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Memory not charged in the ledger, in MiB.
    pub free_mib: u64,
    /// Requests that meet the targets when run together.
    pub max_batch: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Models charged here that are not being unloaded.
    pub holds: BTreeSet<ArtifactId>,
    /// Models ready for requests.
    pub ready: BTreeSet<ArtifactId>,
}

/// Model as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct PlannedModel {
    /// Version to serve.
    pub artifact: ArtifactId,
    /// Memory of one copy in MiB.
    pub copy_mib: u64,
    /// Least number of copies.
    pub min_copies: u32,
    /// True if a team relies on it.
    pub is_relied_upon: bool,
    /// Requests in flight over all copies.
    pub demand_in_flight: u32,
}

/// One step of the plan.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Step {
    /// Load a model.
    Load {
        /// Where.
        upstream: UpstreamId,
        /// What.
        artifact: ArtifactId,
        /// Memory of the copy in MiB.
        copy_mib: u64,
    },
    /// Unload a model.
    Unload {
        /// Where.
        upstream: UpstreamId,
        /// What.
        artifact: ArtifactId,
    },
}

/// Plans the next steps for the whole fleet.
pub fn plan(models: &[PlannedModel], upstreams: &[PlannedUpstream]) -> Vec<Step> {
    let mut planner = Planner::new(models, upstreams);
    planner.retire_undeclared();
    planner.add_missing();
    planner.add_for_demand();
    planner.remove_surplus();
    planner.steps
}

struct Planner<'a> {
    models: &'a [PlannedModel],
    upstreams: Vec<PlannedUpstream>,
    holders: BTreeMap<ArtifactId, Vec<usize>>,
    steps: Vec<Step>,
}

impl<'a> Planner<'a> {
    fn new(models: &'a [PlannedModel], upstreams: &[PlannedUpstream]) -> Self {
        let mut holders: BTreeMap<ArtifactId, Vec<usize>> = BTreeMap::new();
        for (i, upstream) in upstreams.iter().enumerate() {
            for artifact in &upstream.holds {
                holders.entry(artifact.clone()).or_default().push(i);
            }
        }
        Self {
            models,
            upstreams: upstreams.to_vec(),
            holders,
            steps: Vec::new(),
        }
    }

    fn copies(&self, artifact: &ArtifactId) -> usize {
        self.holders.get(artifact).map_or(0, Vec::len)
    }

    fn ready_copies(&self, artifact: &ArtifactId) -> usize {
        self.upstreams
            .iter()
            .filter(|u| u.ready.contains(artifact))
            .count()
    }

    /// Unloads versions that no team declares, once the declared one answers.
    fn retire_undeclared(&mut self) {
        let declared: BTreeMap<&str, &ArtifactId> = self
            .models
            .iter()
            .map(|m| (m.artifact.model(), &m.artifact))
            .collect();
        let held: Vec<ArtifactId> = self.holders.keys().cloned().collect();
        for artifact in held {
            let current = declared.get(artifact.model()).copied();
            let is_replaced = match current {
                Some(current) if *current == artifact => false,
                Some(current) => self.ready_copies(current) > 0,
                None => true,
            };
            if is_replaced {
                for i in self.holders.remove(&artifact).unwrap_or_default() {
                    self.push_unload(i, &artifact);
                }
            }
        }
    }

    /// Brings each model to its least number of copies, relied-upon ones first.
    fn add_missing(&mut self) {
        let mut missing: Vec<&PlannedModel> = self
            .models
            .iter()
            .filter(|m| self.copies(&m.artifact) < m.min_copies as usize)
            .collect();
        missing.sort_by_key(|m| {
            let has_copy = self.copies(&m.artifact) > 0;
            (
                has_copy,
                !m.is_relied_upon,
                std::cmp::Reverse(m.copy_mib),
                m.artifact.clone(),
            )
        });
        for model in missing {
            for _ in self.copies(&model.artifact)..model.min_copies as usize {
                self.add_copy(model);
            }
        }
    }

    fn add_for_demand(&mut self) {
        for model in self.models {
            let load_permille = self.load_permille(model, self.copies(&model.artifact));
            let is_settled = self.copies(&model.artifact) == self.ready_copies(&model.artifact);
            if is_settled && load_permille > ADD_COPY_FROM_PERMILLE {
                self.add_copy(model);
            }
        }
    }

    fn remove_surplus(&mut self) {
        for model in self.models {
            let copies = self.copies(&model.artifact);
            let keeps = copies.saturating_sub(1);
            let is_settled = copies == self.ready_copies(&model.artifact);
            let is_surplus = keeps >= model.min_copies as usize
                && self.load_permille(model, keeps) < REMOVE_COPY_BELOW_PERMILLE;
            if is_settled && is_surplus && self.is_room_wanted() {
                self.remove_copy(&model.artifact);
            }
        }
    }

    /// True if some upstream has no room left for the smallest model.
    fn is_room_wanted(&self) -> bool {
        let Some(smallest_mib) = self.models.iter().map(|m| m.copy_mib).min() else {
            return false;
        };
        !self.upstreams.iter().any(|u| u.free_mib >= smallest_mib)
    }

    /// Load of a model's copies: its own demand over its share of each batch.
    fn load_permille(&self, model: &PlannedModel, copies: usize) -> u64 {
        if copies == 0 {
            return u64::MAX;
        }
        let held = self
            .holders
            .get(&model.artifact)
            .map_or(&[][..], Vec::as_slice);
        let batch: u64 = held
            .iter()
            .map(|&i| u64::from(self.upstreams[i].max_batch))
            .sum();
        let other: u64 = held
            .iter()
            .map(|&i| u64::from(self.upstreams[i].in_flight))
            .sum();
        let mine = u64::from(model.demand_in_flight);
        let room = batch.saturating_sub(other.saturating_sub(mine)).max(1);
        let room = room * copies as u64 / held.len().max(1) as u64;
        mine * 1000 / room.max(1)
    }

    fn add_copy(&mut self, model: &PlannedModel) {
        let Some(i) = self.best_target(model) else {
            return;
        };
        let upstream = &mut self.upstreams[i];
        upstream.free_mib -= model.copy_mib;
        upstream.holds.insert(model.artifact.clone());
        self.steps.push(Step::Load {
            upstream: upstream.id.clone(),
            artifact: model.artifact.clone(),
            copy_mib: model.copy_mib,
        });
        self.holders
            .entry(model.artifact.clone())
            .or_default()
            .push(i);
    }

    /// Upstream with room: a new zone first, then the least loaded.
    fn best_target(&self, model: &PlannedModel) -> Option<usize> {
        let held = self
            .holders
            .get(&model.artifact)
            .map_or(&[][..], Vec::as_slice);
        let zones: BTreeSet<&ZoneId> = held.iter().map(|&i| &self.upstreams[i].zone).collect();
        let key = hash(model.artifact.as_str());
        (0..self.upstreams.len())
            .filter(|i| !held.contains(i) && self.upstreams[*i].free_mib >= model.copy_mib)
            .min_by_key(|&i| {
                let u = &self.upstreams[i];
                let load_permille = u.in_flight * 1000 / u.max_batch.max(1);
                let tie = std::cmp::Reverse(weight(key, hash(u.id.as_str())));
                (
                    zones.contains(&u.zone),
                    load_permille / 100,
                    u.holds.len(),
                    tie,
                )
            })
    }

    fn remove_copy(&mut self, artifact: &ArtifactId) {
        let Some(held) = self.holders.get_mut(artifact) else {
            return;
        };
        let upstreams = &self.upstreams;
        let Some(k) = (0..held.len()).max_by_key(|&k| {
            let u = &upstreams[held[k]];
            (u.in_flight, u.holds.len(), &u.id)
        }) else {
            return;
        };
        let i = held.swap_remove(k);
        self.push_unload(i, artifact);
    }

    fn push_unload(&mut self, i: usize, artifact: &ArtifactId) {
        let upstream = &mut self.upstreams[i];
        upstream.holds.remove(artifact);
        let step = Step::Unload {
            upstream: upstream.id.clone(),
            artifact: artifact.clone(),
        };
        self.steps.push(step);
    }
}
