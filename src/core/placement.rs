//! Placement of models on upstreams.
//!
//! Every acting host computes the same plan from the same inputs and carries
//! out only the part that concerns its own upstreams. Hosts with different
//! inputs may disagree; the ledger's compare-and-swap keeps that safe. A
//! model gets copies in step with its demand, with a band in which nothing
//! moves. The last copy is never evicted, and a model without a copy goes
//! before everything else.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, HashMap};

use super::fleet::Upstream;
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
    /// Memory of models that are being unloaded, in MiB.
    pub leaving_mib: u64,
    /// Requests that meet the targets when run together; fewer while the
    /// upstream is slow.
    pub max_batch: u32,
    /// Requests in flight.
    pub in_flight: u32,
    /// Models charged here that are not being unloaded.
    pub holds: BTreeSet<ArtifactId>,
    /// Models ready for requests.
    pub ready: BTreeSet<ArtifactId>,
}

impl PlannedUpstream {
    /// What is known of an upstream, for the planner.
    pub fn of(upstream: &Upstream, now_ms: u64) -> Self {
        let seen = &upstream.seen;
        Self {
            id: upstream.listed.id.clone(),
            zone: upstream.listed.zone.clone(),
            free_mib: seen.free_mib,
            leaving_mib: seen.leaving_mib,
            max_batch: upstream.planned_batch(now_ms),
            in_flight: seen.load.in_flight,
            holds: seen.holds.clone(),
            ready: seen.ready.clone(),
        }
    }
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

/// Steps after which a plan is cut off; the weight store takes longer for
/// these than the time to the next plan.
pub const MAX_STEPS: usize = 128;

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
    planner.add_spares();
    planner.steps
}

/// Models and upstreams by position.
struct Planner<'a> {
    models: &'a [PlannedModel],
    upstreams: &'a [PlannedUpstream],
    id_hashes: Vec<u64>,
    /// Requests in flight, with those that planned copies will draw.
    in_flight: Vec<u32>,
    free_mib: Vec<u64>,
    /// Free memory once all that is being unloaded has gone.
    coming_mib: Vec<u64>,
    /// Models held by each upstream.
    held: Vec<Vec<usize>>,
    /// Upstreams that hold each model.
    holders: Vec<Vec<usize>>,
    ready_copies: Vec<usize>,
    /// Upstreams that hold each artifact which no team declares.
    undeclared: BTreeMap<&'a ArtifactId, Vec<usize>>,
    steps: Vec<Step>,
}

impl<'a> Planner<'a> {
    fn new(models: &'a [PlannedModel], upstreams: &'a [PlannedUpstream]) -> Self {
        let mut planner = Self {
            models,
            upstreams,
            id_hashes: upstreams.iter().map(|u| hash(u.id.as_str())).collect(),
            coming_mib: upstreams
                .iter()
                .map(|u| u.free_mib + u.leaving_mib)
                .collect(),
            in_flight: upstreams.iter().map(|u| u.in_flight).collect(),
            free_mib: upstreams.iter().map(|u| u.free_mib).collect(),
            held: vec![Vec::new(); upstreams.len()],
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
            for artifact in &upstream.holds {
                if let Some(&m) = by_artifact.get(artifact.as_str()) {
                    self.holders[m].push(u);
                    self.held[u].push(m);
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

    fn is_settled(&self, m: usize) -> bool {
        self.holders[m].len() == self.ready_copies[m]
    }

    /// Unloads versions that no team declares, once the declared one answers.
    fn retire_undeclared(&mut self) {
        let current: HashMap<&str, usize> = self
            .models
            .iter()
            .enumerate()
            .map(|(m, model)| (model.artifact.model(), m))
            .collect();
        for (artifact, holders) in std::mem::take(&mut self.undeclared) {
            let is_needed = current
                .get(artifact.model())
                .is_some_and(|&m| self.ready_copies[m] == 0);
            if !is_needed {
                for u in holders {
                    self.push_unload(u, artifact);
                }
            }
        }
    }

    /// Brings each model to its least number of copies, relied-upon ones first.
    fn add_missing(&mut self) {
        let mut missing: Vec<usize> = (0..self.models.len())
            .filter(|&m| self.holders[m].len() < self.models[m].min_copies as usize)
            .collect();
        missing.sort_by_key(|&m| {
            let model = &self.models[m];
            let has_copy = !self.holders[m].is_empty();
            (
                has_copy,
                !model.is_relied_upon,
                Reverse((model.demand_in_flight, model.copy_mib)),
                &model.artifact,
            )
        });
        for m in missing {
            if self.steps.len() >= MAX_STEPS {
                return;
            }
            for _ in self.holders[m].len()..self.models[m].min_copies as usize {
                self.add_copy(m);
            }
        }
    }

    fn add_for_demand(&mut self) {
        for m in 0..self.models.len() {
            let load_permille = self.load_permille(m, self.holders[m].len());
            if self.is_settled(m) && load_permille > ADD_COPY_FROM_PERMILLE {
                self.add_copy(m);
            }
        }
    }

    /// Uses memory that nobody needs for second copies, most wanted ones first.
    ///
    /// They are ready when demand moves, an upstream is lost or the platform
    /// does not answer, and they go first when the room is needed.
    fn add_spares(&mut self) {
        let mut single: Vec<usize> = (0..self.models.len())
            .filter(|&m| self.holders[m].len() == 1 && self.is_settled(m))
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
            if self.steps.len() >= MAX_STEPS {
                return;
            }
            if let Some(u) = self.best_target(m) {
                self.push_load(u, m);
            }
        }
    }

    /// Load of a model's copies: its own demand over its share of each batch.
    fn load_permille(&self, m: usize, copies: usize) -> u64 {
        let holders = &self.holders[m];
        if copies == 0 || holders.is_empty() {
            return 0;
        }
        let sum = |of: fn(&PlannedUpstream) -> u32| -> u64 {
            holders
                .iter()
                .map(|&u| u64::from(of(&self.upstreams[u])))
                .sum()
        };
        let mine = u64::from(self.models[m].demand_in_flight);
        let others = sum(|u| u.in_flight).saturating_sub(mine);
        let room = sum(|u| u.max_batch).saturating_sub(others);
        let room = room * copies as u64 / holders.len() as u64;
        mine * 1000 / room.max(1)
    }

    /// Load of an upstream in tenths of its batch; less does not count.
    fn load_step(&self, u: usize) -> u32 {
        self.in_flight[u] * 10 / self.upstreams[u].max_batch.max(1)
    }

    fn add_copy(&mut self, m: usize) {
        match self.best_target(m) {
            Some(u) => self.push_load(u, m),
            None => self.make_room(m),
        }
    }

    /// Upstream with room: a new zone first, then the least loaded.
    fn best_target(&self, m: usize) -> Option<usize> {
        let model = &self.models[m];
        let holders = &self.holders[m];
        let key = hash(model.artifact.as_str());
        let fits = |u: &usize| self.free_mib[*u] >= model.copy_mib && !holders.contains(u);
        (0..self.upstreams.len()).filter(fits).min_by_key(|&u| {
            let upstream = &self.upstreams[u];
            let has_zone = holders
                .iter()
                .any(|&h| self.upstreams[h].zone == upstream.zone);
            let tie = Reverse(weight(key, self.id_hashes[u]));
            (has_zone, self.load_step(u), self.held[u].len(), tie)
        })
    }

    /// Unloads what others can spare at the upstream where that is least,
    /// unless room is coming already.
    fn make_room(&mut self, m: usize) {
        if self.wait_for_room(m) {
            return;
        }
        let model = &self.models[m];
        let spare = |u: usize| {
            let mut spare: Vec<usize> = self.held[u]
                .iter()
                .copied()
                .filter(|&other| self.can_spare(other, m))
                .collect();
            spare.sort_by_key(|&other| Reverse(self.models[other].copy_mib));
            let mut free_mib = self.free_mib[u];
            let wanted = spare.iter().take_while(|&&other| {
                let is_short = free_mib < model.copy_mib;
                free_mib += self.models[other].copy_mib;
                is_short
            });
            let chosen: Vec<usize> = wanted.copied().collect();
            let freed_mib: u64 = chosen
                .iter()
                .map(|&other| self.models[other].copy_mib)
                .sum();
            (self.free_mib[u] + freed_mib >= model.copy_mib).then_some((u, chosen))
        };
        let holders = &self.holders[m];
        let candidates = (0..self.upstreams.len())
            .filter(|u| !holders.contains(u))
            .filter_map(spare);
        let least = candidates.min_by_key(|(u, chosen)| {
            (
                chosen.len(),
                self.upstreams[*u].in_flight,
                &self.upstreams[*u].id,
            )
        });
        let Some((u, chosen)) = least else {
            return;
        };
        for other in chosen {
            self.coming_mib[u] += self.models[other].copy_mib;
            self.holders[other].retain(|&h| h != u);
            self.held[u].retain(|&held| held != other);
            self.push_unload(u, &self.models[other].artifact);
        }
        self.coming_mib[u] -= self.models[m].copy_mib;
    }

    /// Counts on room that is being made; false if there is not enough.
    fn wait_for_room(&mut self, m: usize) -> bool {
        let copy_mib = self.models[m].copy_mib;
        let has_room = |u: &usize| self.coming_mib[*u] >= copy_mib && !self.holders[m].contains(u);
        let with_room = (0..self.upstreams.len()).filter(has_room);
        let Some(u) = with_room.min_by_key(|&u| self.in_flight[u]) else {
            return false;
        };
        self.coming_mib[u] -= copy_mib;
        self.in_flight[u] += self.models[m].demand_in_flight;
        true
    }

    /// True if a copy of `other` may go for a copy of `wanted`.
    fn can_spare(&self, other: usize, wanted: usize) -> bool {
        let model = &self.models[other];
        let keeps = self.holders[other].len().saturating_sub(1);
        let is_surplus = keeps >= model.min_copies.max(1) as usize
            && self.load_permille(other, keeps) < REMOVE_COPY_BELOW_PERMILLE;
        let is_relief = self.holders[wanted].is_empty()
            && self.models[wanted].is_relied_upon
            && !model.is_relied_upon;
        self.is_settled(other) && (is_surplus || is_relief)
    }

    fn push_load(&mut self, u: usize, m: usize) {
        let model = &self.models[m];
        self.free_mib[u] -= model.copy_mib;
        self.coming_mib[u] -= model.copy_mib;
        self.held[u].push(m);
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
