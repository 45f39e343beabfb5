//! Configuration of the stand-ins that one process serves.

use currantcove::core::ids::{UpstreamId, ZoneId};
use serde::{Deserialize, Serialize};

/// All stand-ins of one process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Key-value service.
    #[serde(default)]
    pub kv: KvPlan,
    /// Delay until a change of the host list is published, in milliseconds.
    #[serde(default)]
    pub host_list_lag_ms: u64,
    /// Weight store.
    pub store: StorePlan,
    /// Model engines.
    pub engines: Vec<EnginePlan>,
    /// Plain services.
    pub services: Vec<ServicePlan>,
}

/// Limits and latency of the key-value service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KvPlan {
    /// Writes accepted per second.
    pub writes_per_s: u32,
    /// Reads accepted per second.
    pub reads_per_s: u32,
    /// Latency of one call in milliseconds.
    pub latency_ms: u64,
}

impl Default for KvPlan {
    fn default() -> Self {
        Self {
            writes_per_s: 300,
            reads_per_s: 2_000,
            latency_ms: 2,
        }
    }
}

/// Capacity and timing of the weight store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StorePlan {
    /// Loads that may start per second.
    pub loads_per_s: u32,
    /// Concurrent loads at full speed.
    pub slots: u32,
    /// Duration of one load at full speed in milliseconds.
    pub load_ms: u64,
    /// Concurrent adapter loads at full speed.
    pub adapters_in_flight: u32,
    /// Duration of one adapter load at full speed in milliseconds.
    pub adapter_ms: u64,
}

/// Capacity and timing of a model engine.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct EnginePlan {
    /// Name.
    pub id: UpstreamId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Accelerators.
    pub accelerators: u32,
    /// Memory in MiB.
    pub memory_mib: u64,
    /// Largest batch that meets the latency targets.
    pub max_batch: u32,
    /// True if the engine rejects orders with an outdated fencing token.
    pub checks_fencing: bool,
    /// Time to the first token in milliseconds.
    pub first_token_ms: u64,
    /// Time between tokens at an empty batch in microseconds, to which
    /// `token_gap_per_request_us` is added.
    pub token_gap_us: u64,
    /// Additional time between tokens for each running request, in microseconds.
    pub token_gap_per_request_us: u64,
    /// Interval between updates of the load report in milliseconds.
    pub report_lag_ms: u64,
}

/// Capacity and timing of a plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePlan {
    /// Name.
    pub id: UpstreamId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Concurrent calls that meet the latency target.
    pub max_batch: u32,
    /// Service time of one call in milliseconds.
    pub work_ms: u64,
}
