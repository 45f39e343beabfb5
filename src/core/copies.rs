//! Placement of model copies on engines.
//!
//! Load patterns, and what the placement does about them:
//!
//! - Demand shifts between models within seconds: a model with little traffic
//!   receives a share of all requests. Copies are planned for all prompts that
//!   arrive, not only for the ones that the existing copies can serve, and are
//!   placed on engines with spare prefill time.
//! - Rare models are requested without warning. A model without a copy counts
//!   for more than its requests alone.
//! - Engines are lost. Their models are loaded elsewhere, in order of demand.
//!
//! The last ready copy of a model is never evicted. This file defines the
//! inputs and the steps of a plan; `copy_planner` computes it.

use std::collections::{BTreeMap, BTreeSet};

use super::catalog::EngineSpec;
use super::copy_planner::Planner;
use super::ids::{ModelId, UpstreamId, ZoneId};
use super::registry::Holdings;

/// Offered load of one model over all hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelDemand {
    /// Prefill time that all requests take, as a multiple of one engine's time;
    /// 1 is one whole engine.
    pub utilisation: f64,
    /// Time of the newest request.
    pub last_requested_ms: u64,
}

/// Engine as input of the planner.
#[derive(Clone, Debug)]
pub struct PlannedEngine {
    /// ID.
    pub id: UpstreamId,
    /// True if it accepts orders now: in service, healthy, and without an order
    /// in progress.
    pub accepts_orders: bool,
    /// Availability zone.
    pub zone: ZoneId,
    /// Estimated time until the order in progress is done, in milliseconds.
    pub remaining_order_ms: Option<u64>,
    /// True if its copies count: in service and not failing.
    pub is_serving: bool,
    /// Resident models and adapters, including models that are being loaded.
    pub resident: Holdings,
    /// Model among them that is still being loaded.
    pub loading: Option<ModelId>,
    /// Models that must not be evicted: loaded recently, or of unknown demand.
    pub protected: BTreeSet<ModelId>,
    /// Models in host memory.
    pub in_memory: BTreeSet<ModelId>,
    /// Models on disk.
    pub on_disk: BTreeSet<ModelId>,
}

/// One step of a plan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Load a model.
    Load {
        /// Engine.
        upstream: UpstreamId,
        /// Model.
        model: ModelId,
        /// True if the weights are read from the weight store.
        is_from_store: bool,
    },
    /// Unload a model to make room for another.
    Unload {
        /// Engine.
        upstream: UpstreamId,
        /// Model.
        model: ModelId,
    },
}

/// Plans the next steps for the engines of one service.
///
/// `store_load_budget` is the number of loads from the weight store that may
/// start now.
pub fn plan(
    now_ms: u64,
    spec: &EngineSpec,
    engines: &[PlannedEngine],
    demand: &BTreeMap<ModelId, ModelDemand>,
    store_load_budget: u32,
) -> Vec<Step> {
    Planner::new(now_ms, spec, engines, demand, store_load_budget).into_steps()
}
