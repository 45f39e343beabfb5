//! Deployment shapes for tests, benchmarks and scenarios: stand-ins, zones, teams
//! and configuration.

use currantcove::core::config::{
    AdapterConfig, FleetConfig, ModelConfig, ServiceConfig, TeamConfig,
};
use currantcove::core::ids::{UpstreamId, ZoneId};
use serde_json::{Value, json};
use sha2::{Digest, Sha256};

use super::plan::{EnginePlan, KvPlan, Plan, ServicePlan, StorePlan};

/// Deployment with its stand-ins, zones and configuration.
#[derive(Clone, Debug)]
pub struct Shape {
    /// Availability zone of each entry host.
    pub host_zones: Vec<String>,
    /// Plan of the stand-in process.
    pub plan: Plan,
    /// Fleet-wide configuration.
    pub fleet: FleetConfig,
    /// Names and configurations of the teams.
    pub teams: Vec<(String, TeamConfig)>,
}

impl Shape {
    /// Contents of the configuration file for `currantcove config apply`.
    pub fn config(&self) -> Value {
        let teams: serde_json::Map<String, Value> = self
            .teams
            .iter()
            .map(|(name, team)| (name.clone(), serde_json::to_value(team).unwrap_or_default()))
            .collect();
        json!({ "fleet": self.fleet, "teams": teams })
    }

    /// Number of accelerators of all engines.
    pub fn accelerators(&self) -> u32 {
        self.plan.engines.iter().map(|e| e.accelerators).sum()
    }

    /// Team and name of each model.
    pub fn models(&self) -> Vec<(String, String)> {
        let team_models = |(team, config): &(String, TeamConfig)| {
            let team = team.clone();
            config
                .models
                .keys()
                .map(|m| (team.clone(), m.clone()))
                .collect::<Vec<_>>()
        };
        self.teams.iter().flat_map(team_models).collect()
    }
}

/// Bearer token of a team of a shape.
pub fn bearer_token(team: &str) -> String {
    format!("token-of-{team}")
}

/// Parameters of a shape.
#[derive(Clone, Copy, Debug)]
pub struct Sizes {
    /// Names of the availability zones.
    pub zones: &'static [&'static str],
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of service instances.
    pub services: usize,
    /// Names of the teams.
    pub teams: &'static [&'static str],
    /// Number of models of all teams.
    pub models: usize,
    /// Number of adapters of all models.
    pub adapters: usize,
    /// Loads that the weight store starts per second.
    pub store_loads_per_s: u32,
    /// Concurrent loads that the weight store serves at full speed.
    pub store_slots: u32,
    /// Concurrent adapter loads that the weight store serves at full speed.
    pub adapters_in_flight: u32,
}

/// Deployment of the tennis association.
pub const TENNIS: Sizes = Sizes {
    zones: &["kl-a", "kl-b", "kl-c"],
    hosts: 7,
    engines: 18,
    services: 3,
    teams: &["association", "clubs", "coaches", "players"],
    models: 40,
    adapters: 100,
    store_loads_per_s: 2,
    store_slots: 17,
    adapters_in_flight: 140,
};

/// Deployment of the consortium.
pub const CONSORTIUM: Sizes = Sizes {
    zones: &["milano-a", "milano-b", "verona-c"],
    hosts: 7,
    engines: 9,
    services: 3,
    teams: &["lombarda", "serenissima", "adige"],
    models: 18,
    adapters: 40,
    store_loads_per_s: 1,
    store_slots: 11,
    adapters_in_flight: 90,
};

/// Small deployment for tests that start processes.
pub const SMALL: Sizes = Sizes {
    zones: &["a", "b", "c"],
    hosts: 3,
    engines: 3,
    services: 2,
    teams: &["red", "blue"],
    models: 4,
    adapters: 4,
    store_loads_per_s: 20,
    store_slots: 4,
    adapters_in_flight: 16,
};

/// One zone with many hosts and engines, to measure the cost per peer link and
/// upstream.
pub const WIDE: Sizes = Sizes {
    zones: &["wide"],
    hosts: 40,
    engines: 40,
    ..TENNIS
};

/// Sizes of a deployment by its name in a scenario script.
pub fn sizes_by_name(name: &str) -> Option<&'static Sizes> {
    match name {
        "tennis" => Some(&TENNIS),
        "consortium" => Some(&CONSORTIUM),
        "small" => Some(&SMALL),
        _ => None,
    }
}

const ENGINE_MEMORY_MIB: u64 = 80 * 1024;
const MAX_BATCH: u32 = 48;

/// Builds a shape whose weight store loads models `load_speedup` times faster
/// than in a real deployment.
pub fn build_shape(sizes: &Sizes, load_speedup: u32) -> Shape {
    let zone = |i: usize| sizes.zones[i % sizes.zones.len()].to_owned();
    let engines = (0..sizes.engines).map(|i| engine(i, &zone(i))).collect();
    let services: Vec<ServicePlan> = (0..sizes.services)
        .map(|i| ServicePlan {
            id: UpstreamId::new(&format!("booking-{i}")),
            zone: ZoneId::new(&zone(i)),
            max_batch: 64,
            work_ms: 10,
        })
        .collect();
    let upstreams: Vec<String> = services.iter().map(|s| s.id.to_string()).collect();
    let fleet = FleetConfig {
        store_loads_per_s: sizes.store_loads_per_s * load_speedup,
        store_slots: sizes.store_slots,
        adapters_in_flight: sizes.adapters_in_flight,
    };
    let store = StorePlan {
        loads_per_s: fleet.store_loads_per_s,
        slots: fleet.store_slots,
        load_ms: u64::from(6_000 / load_speedup),
        adapters_in_flight: fleet.adapters_in_flight,
        adapter_ms: 10,
    };
    Shape {
        host_zones: (0..sizes.hosts).map(zone).collect(),
        plan: Plan {
            kv: KvPlan::default(),
            host_list_lag_ms: 300,
            store,
            engines,
            services,
        },
        fleet,
        teams: teams(sizes, &upstreams),
    }
}

fn engine(i: usize, zone: &str) -> EnginePlan {
    EnginePlan {
        id: UpstreamId::new(&format!("assistant-{i}")),
        zone: ZoneId::new(zone),
        accelerators: 1,
        memory_mib: ENGINE_MEMORY_MIB,
        max_batch: MAX_BATCH,
        checks_fencing: i.is_multiple_of(2),
        first_token_ms: 120,
        token_gap_us: 20_000,
        token_gap_per_request_us: 700,
        report_lag_ms: 300,
    }
}

fn teams(sizes: &Sizes, upstreams: &[String]) -> Vec<(String, TeamConfig)> {
    let mut teams: Vec<(String, TeamConfig)> = sizes
        .teams
        .iter()
        .map(|name| {
            let service = ServiceConfig {
                upstreams: upstreams.to_vec(),
                idempotent_paths: vec!["/free".to_owned(), "/echo".to_owned()],
                target_ms: 500,
            };
            let config = TeamConfig {
                credentials_sha256: vec![Sha256::digest(bearer_token(name)).into()],
                share_weight: 1,
                max_in_flight: 4096,
                services: [("bookings".to_owned(), service)].into(),
                ..TeamConfig::default()
            };
            ((*name).to_owned(), config)
        })
        .collect();
    let count = teams.len();
    for i in 0..sizes.models {
        let (_, team) = &mut teams[i % count];
        let name = format!("draft-{i}");
        team.relies_on.push(name.clone());
        team.models.insert(name, model(i, sizes));
    }
    teams
}

fn model(i: usize, sizes: &Sizes) -> ModelConfig {
    let adapters = (0..sizes.adapters).filter(|a| a % sizes.models == i);
    ModelConfig {
        version: "v1".to_owned(),
        weights_mib: (14 + 4 * (i as u64 % 3)) * 1024,
        kv_cache_mib: 6 * 1024,
        adapters: adapters
            .map(|a| (format!("style-{a}"), AdapterConfig { memory_mib: 128 }))
            .collect(),
        first_token_target_ms: 600,
        token_gap_target_ms: 56,
        min_copies: 1,
    }
}
