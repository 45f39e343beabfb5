//! Operator configuration: one subtree per team, and one for the fleet.
//!
//! A subtree is validated as a whole, and all its findings are reported
//! together, each with the path of the faulty value. A subtree with findings
//! never takes effect; the last valid one stays in force.

use std::collections::BTreeMap;
use std::fmt;

use serde::{Deserialize, Serialize};
use serde_with::{hex::Hex, serde_as};

use super::ids::is_valid_name;

/// Settings of one team.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct TeamConfig {
    /// SHA-256 hashes of the accepted bearer tokens.
    #[serde_as(as = "Vec<Hex>")]
    pub credentials_sha256: Vec<[u8; 32]>,
    /// Weight of the team in fair sharing.
    #[serde(default = "default_share_weight")]
    pub share_weight: u32,
    /// Maximum number of the team's requests in flight at one entry host.
    #[serde(default = "default_max_in_flight")]
    pub max_in_flight: u32,
    /// Models by name.
    #[serde(default)]
    pub models: BTreeMap<String, ModelConfig>,
    /// Plain services by name.
    #[serde(default)]
    pub services: BTreeMap<String, ServiceConfig>,
    /// Models that must always be reachable.
    #[serde(default)]
    pub relies_on: Vec<String>,
}

/// Settings of one model.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ModelConfig {
    /// Version to serve.
    pub version: String,
    /// Size of the weights in MiB.
    pub weights_mib: u64,
    /// Memory reserved for the KV cache in MiB.
    pub kv_cache_mib: u64,
    /// Adapters by name.
    #[serde(default)]
    pub adapters: BTreeMap<String, AdapterConfig>,
    /// Target for the time to first token in milliseconds.
    #[serde(default = "default_first_token_target_ms")]
    pub first_token_target_ms: u64,
    /// Target for the time between tokens in milliseconds.
    #[serde(default = "default_token_gap_target_ms")]
    pub token_gap_target_ms: u64,
    /// Minimum number of copies.
    #[serde(default = "default_min_copies")]
    pub min_copies: u32,
}

impl ModelConfig {
    /// Memory of one copy with its KV cache and adapters, in MiB.
    pub fn copy_mib(&self) -> u64 {
        let adapters_mib: u64 = self.adapters.values().map(|a| a.memory_mib).sum();
        self.weights_mib + self.kv_cache_mib + adapters_mib
    }
}

/// Settings of one adapter.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct AdapterConfig {
    /// Memory in MiB.
    pub memory_mib: u64,
}

/// Settings of one plain service.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceConfig {
    /// IDs of the upstreams that run the service.
    pub upstreams: Vec<String>,
    /// Paths whose requests may be retried; all others are executed at most
    /// once.
    #[serde(default)]
    pub idempotent_paths: Vec<String>,
    /// Target for the response time in milliseconds.
    #[serde(default = "default_service_target_ms")]
    pub target_ms: u64,
}

/// Settings of the fleet, shared by all teams.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct FleetConfig {
    /// Maximum number of loads started from the weight store per second.
    pub store_loads_per_s: u32,
    /// Maximum number of concurrent loads from the weight store.
    pub store_slots: u32,
    /// Number of adapters in flight that run at full speed, over all upstreams.
    pub adapters_in_flight: u32,
}

impl Default for FleetConfig {
    fn default() -> Self {
        Self {
            store_loads_per_s: 1,
            store_slots: 8,
            adapters_in_flight: 64,
        }
    }
}

fn default_share_weight() -> u32 {
    1
}
fn default_max_in_flight() -> u32 {
    1024
}
fn default_first_token_target_ms() -> u64 {
    600
}
fn default_token_gap_target_ms() -> u64 {
    56
}
fn default_min_copies() -> u32 {
    1
}
fn default_service_target_ms() -> u64 {
    500
}

/// Validation error of one value.
#[derive(Clone, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Finding {
    /// Path of the value, as in `teams/tennis/models/draft-1/weights_mib`.
    pub path: String,
    /// Description of the fault and of the expected value.
    pub problem: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.path, self.problem)
    }
}

/// Collects the findings of one validation.
#[derive(Debug, Default)]
pub struct Findings(Vec<Finding>);

impl Findings {
    /// Adds a finding.
    pub fn add(&mut self, path: impl Into<String>, problem: impl Into<String>) {
        self.0.push(Finding {
            path: path.into(),
            problem: problem.into(),
        });
    }

    /// Adds a finding unless `is_valid`.
    pub fn expect(&mut self, is_valid: bool, path: impl Into<String>, problem: &str) {
        if !is_valid {
            self.add(path, problem);
        }
    }

    /// All findings.
    pub fn into_list(self) -> Vec<Finding> {
        self.0
    }

    /// Returns the value, or all findings if there are any.
    pub fn into_result<T>(self, value: T) -> Result<T, Vec<Finding>> {
        if self.0.is_empty() {
            Ok(value)
        } else {
            Err(self.0)
        }
    }
}

/// Parses and validates a team's subtree.
pub fn parse_team(team: &str, json: &[u8]) -> Result<TeamConfig, Vec<Finding>> {
    let root = format!("teams/{team}");
    let config: TeamConfig = serde_json::from_slice(json).map_err(|e| {
        vec![Finding {
            path: root.clone(),
            problem: e.to_string(),
        }]
    })?;
    let mut findings = Findings::default();
    check_name(&mut findings, &root, team);
    check_team(&mut findings, &root, &config);
    findings.into_result(config)
}

/// Parses and validates the fleet's subtree.
pub fn parse_fleet(json: &[u8]) -> Result<FleetConfig, Vec<Finding>> {
    let config: FleetConfig = serde_json::from_slice(json).map_err(|e| {
        vec![Finding {
            path: "fleet".into(),
            problem: e.to_string(),
        }]
    })?;
    let mut findings = Findings::default();
    findings.expect(
        config.store_loads_per_s > 0,
        "fleet/store_loads_per_s",
        MUST_BE_POSITIVE,
    );
    findings.expect(
        config.store_slots > 0,
        "fleet/store_slots",
        MUST_BE_POSITIVE,
    );
    findings.expect(
        config.adapters_in_flight > 0,
        "fleet/adapters_in_flight",
        MUST_BE_POSITIVE,
    );
    findings.into_result(config)
}

const MUST_BE_POSITIVE: &str = "must be at least 1";

fn check_name(findings: &mut Findings, path: &str, name: &str) {
    findings.expect(
        is_valid_name(name),
        path,
        "a name has 1 to 64 of the characters a-z, 0-9, '-' and '.'",
    );
}

fn check_team(findings: &mut Findings, root: &str, config: &TeamConfig) {
    findings.expect(
        !config.credentials_sha256.is_empty(),
        format!("{root}/credentials_sha256"),
        "needs at least one credential",
    );
    findings.expect(
        config.share_weight > 0,
        format!("{root}/share_weight"),
        MUST_BE_POSITIVE,
    );
    findings.expect(
        config.max_in_flight > 0,
        format!("{root}/max_in_flight"),
        MUST_BE_POSITIVE,
    );
    for (name, model) in &config.models {
        check_model(findings, &format!("{root}/models/{name}"), name, model);
    }
    for (name, service) in &config.services {
        check_service(findings, &format!("{root}/services/{name}"), name, service);
    }
    for (i, name) in config.relies_on.iter().enumerate() {
        findings.expect(
            config.models.contains_key(name),
            format!("{root}/relies_on/{i}"),
            "names a model that the team does not have",
        );
    }
}

fn check_model(findings: &mut Findings, path: &str, name: &str, model: &ModelConfig) {
    check_name(findings, path, name);
    check_name(findings, &format!("{path}/version"), &model.version);
    findings.expect(
        model.weights_mib > 0,
        format!("{path}/weights_mib"),
        MUST_BE_POSITIVE,
    );
    findings.expect(
        model.kv_cache_mib > 0,
        format!("{path}/kv_cache_mib"),
        MUST_BE_POSITIVE,
    );
    findings.expect(
        model.min_copies > 0,
        format!("{path}/min_copies"),
        MUST_BE_POSITIVE,
    );
    for adapter in model.adapters.keys() {
        check_name(findings, &format!("{path}/adapters/{adapter}"), adapter);
    }
}

fn check_service(findings: &mut Findings, path: &str, name: &str, service: &ServiceConfig) {
    check_name(findings, path, name);
    findings.expect(
        !service.upstreams.is_empty(),
        format!("{path}/upstreams"),
        "needs at least one upstream",
    );
    for (i, idempotent_path) in service.idempotent_paths.iter().enumerate() {
        findings.expect(
            idempotent_path.starts_with('/'),
            format!("{path}/idempotent_paths/{i}"),
            "a path starts with '/'",
        );
    }
}
