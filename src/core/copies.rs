//! Which models each engine should hold.
//!
//! Answers three load patterns. Demand moves on within seconds: a model that
//! was quiet gets a share of all traffic, so copies follow the prompts that
//! arrive, not what the present copies let through, and go where engines have
//! time to read them. Rare models are asked for at once: a model without a copy
//! counts for more than its requests. Engines are lost: their models are loaded
//! elsewhere, by demand. The last copy of a model is never given up.
//!
//! This file says what a plan is made of and what it leads to; `copy_planner`
//! makes it.

use std::collections::{BTreeMap, BTreeSet};

use super::catalog::EngineSpec;
use super::copy_planner::Planner;
use super::ids::{ModelId, UpstreamId, ZoneId};
use super::registry::Holdings;

/// Offered load of one model over the whole fleet.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ModelDemand {
    /// Use of one engine's time for reading prompts that would serve all
    /// requests; 1 is all of it.
    pub engine_use: f64,
    /// Time of the newest request.
    pub last_asked_ms: u64,
}

/// Engine as the planner sees it.
#[derive(Clone, Debug)]
pub struct PlannedEngine {
    /// Name.
    pub id: UpstreamId,
    /// True if it takes orders now: in service, healthy, no order under way.
    pub takes_orders: bool,
    /// Availability zone.
    pub zone: ZoneId,
    /// Time until an order under way is likely done, in milliseconds.
    pub busy_ms: Option<u64>,
    /// True if its copies count: in service and not failing.
    pub is_serving: bool,
    /// Models and adapters held, and those being loaded.
    pub holds: Holdings,
    /// Model among them that is still being loaded.
    pub loading: Option<ModelId>,
    /// Models whose copies here are too new to go.
    pub fresh: BTreeSet<ModelId>,
    /// Models in host memory.
    pub in_memory: BTreeSet<ModelId>,
    /// Models on disk.
    pub on_disk: BTreeSet<ModelId>,
}

/// One step of the plan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Load a model.
    Load {
        /// Where.
        upstream: UpstreamId,
        /// Model.
        model: ModelId,
        /// True if the weights come from the weight store.
        is_from_store: bool,
    },
    /// Unload a model to make room for another.
    Unload {
        /// Where.
        upstream: UpstreamId,
        /// Model.
        model: ModelId,
    },
}

/// Plans the next steps for the engines of one service.
///
/// `store_loads` is how many loads from the weight store may begin now.
pub fn plan(
    now_ms: u64,
    spec: &EngineSpec,
    engines: &[PlannedEngine],
    demand: &BTreeMap<ModelId, ModelDemand>,
    store_loads: u32,
) -> Vec<Step> {
    Planner::new(now_ms, spec, engines, demand, store_loads).into_steps()
}
