//! What a stand-in process is to host.

use currantcove::core::ids::{UpstreamId, ZoneId};
use serde::{Deserialize, Serialize};

/// All stand-ins of one process.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Plan {
    /// Key-value service.
    #[serde(default)]
    pub kv: KvPlan,
    /// Lag of the list of hosts in milliseconds.
    #[serde(default)]
    pub host_list_lag_ms: u64,
    /// Weight store.
    pub store: StorePlan,
    /// Model engines.
    pub engines: Vec<EnginePlan>,
    /// Plain services.
    pub services: Vec<ServicePlan>,
}

/// Key-value service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct KvPlan {
    /// Writes accepted a second.
    pub writes_per_s: u32,
    /// Reads accepted a second.
    pub reads_per_s: u32,
    /// Time of one call in milliseconds.
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

/// Weight store.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct StorePlan {
    /// Loads started a second.
    pub loads_per_s: u32,
    /// Loads at full speed at once.
    pub slots: u32,
    /// Time of one load at full speed in milliseconds.
    pub load_ms: u64,
    /// Adapters in flight at full speed.
    pub adapters_in_flight: u32,
    /// Time of one adapter at full speed in milliseconds.
    pub adapter_ms: u64,
}

/// Model engine.
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
    /// Requests that meet the targets when run together.
    pub max_batch: u32,
    /// True if an order with an old fencing number is refused.
    pub checks_fencing: bool,
    /// Time to the first token in milliseconds.
    pub first_token_ms: u64,
    /// Time between tokens with one request, in microseconds.
    pub token_gap_us: u64,
    /// More time between tokens for each request, in microseconds.
    pub token_gap_per_request_us: u64,
    /// Lag of the load report in milliseconds.
    pub report_lag_ms: u64,
}

/// Plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServicePlan {
    /// Name.
    pub id: UpstreamId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Calls that meet the target when run together.
    pub max_batch: u32,
    /// Time of one call in milliseconds.
    pub work_ms: u64,
}
