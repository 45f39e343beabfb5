//! `currantcove bench`: measures the time of routing and placement decisions.

use std::ffi::OsString;
use std::hint::black_box;
use std::time::{Duration, Instant};

use currantcove::core::admission::{TeamLoads, check_target};
use currantcove::core::catalog::{EngineSpec, ModelSpec};
use currantcove::core::copies::{self, ModelDemand, PlannedEngine};
use currantcove::core::fleet::{Fleet, ListedState, ListedUpstream, Observation, UpstreamKind};
use currantcove::core::ids::{ArtifactId, ModelId, TeamId, UpstreamId, ZoneId};
use currantcove::core::placement::{PlannedModel, PlannedUpstream, plan};
use currantcove::core::routing::{Rng, RouteInput, route};

use crate::util::{self, CliResult, CommonOptions};

const USAGE: &str = "\
Measures routing and placement decisions on this machine, with as many models
and upstreams as docs/CAPACITY.md assumes. The last line of the output is one
JSON object.

Usage:
    currantcove bench [options]

Options:
    -h, --help   Show this text.
";

const MODEL_COUNT: usize = 880;
const UPSTREAM_COUNT: usize = 830;
const ZONE_COUNT: usize = 5;
const COPIES_PER_MODEL: usize = 3;
const UPSTREAM_MEMORY_MIB: u64 = 640 * 1024;
const COPY_MIB: u64 = 60 * 1024;
const ROUTE_ITERATIONS: u32 = 2_000_000;
const PLAN_ITERATIONS: u32 = 50;
/// Models whose demand exceeds the capacity of their copies.
const OVERLOADED_MODEL_COUNT: usize = 40;

pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    CommonOptions::parse_only(argv, USAGE)?;
    let before_kib = resident_kib();
    let fleet = build_fleet();
    let fleet_kib = resident_kib() - before_kib;
    let route_ns = time_routing(&fleet);
    let (settled_us, cold_us) = (time_placement(true), time_placement(false));
    util::print(&format!("routing with admission: {route_ns} ns\n"));
    util::print(&format!(
        "placement round, settled: {settled_us} us, cold: {cold_us} us\n"
    ));
    let (idle_us, overloaded_us) = (time_copy_plan(0), time_copy_plan(OVERLOADED_MODEL_COUNT));
    util::print(&format!(
        "copy planning, no model overloaded: {idle_us} us, {OVERLOADED_MODEL_COUNT} overloaded: {overloaded_us} us\n"
    ));
    let summary = serde_json::json!({
        "models": MODEL_COUNT,
        "upstreams": UPSTREAM_COUNT,
        "fleet_kib": fleet_kib,
        "route_ns": route_ns,
        "plan_settled_us": settled_us,
        "plan_cold_us": cold_us,
        "copies_quiet_us": idle_us,
        "copies_crowded_us": overloaded_us,
    });
    util::print(&format!("{summary}\n"));
    Ok(())
}

/// Resident memory of this process in KiB; 0 if it cannot be read.
fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

fn artifact(i: usize) -> ArtifactId {
    ArtifactId::from_parts("team", &format!("model-{i}"), "v1")
}

fn zone(i: usize) -> ZoneId {
    ZoneId::new(&format!("zone-{}", i % ZONE_COUNT))
}

fn ready_artifacts(upstream: usize) -> std::collections::BTreeSet<ArtifactId> {
    let placed = (0..MODEL_COUNT * COPIES_PER_MODEL).filter(|k| k % UPSTREAM_COUNT == upstream);
    placed.map(|k| artifact(k % MODEL_COUNT)).collect()
}

fn build_fleet() -> Fleet {
    let listed: Vec<ListedUpstream> = (0..UPSTREAM_COUNT)
        .map(|i| ListedUpstream {
            id: UpstreamId::new(&format!("upstream-{i}")),
            addr: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: zone(i),
            kind: UpstreamKind::Engine,
            state: ListedState::Live,
            accelerators: 8,
            memory_mib: UPSTREAM_MEMORY_MIB,
            max_batch: 256,
            checks_fencing: true,
        })
        .collect();
    let mut fleet = Fleet::default();
    fleet.set_listed(&listed);
    for i in 0..UPSTREAM_COUNT {
        let observation = Observation {
            observed_ms: 1,
            ready: ready_artifacts(i),
            accepts_work: true,
            ..Observation::default()
        };
        fleet.observe(i, observation);
    }
    fleet
}

/// Time of one routing decision with its admission check, in nanoseconds.
fn time_routing(fleet: &Fleet) -> u64 {
    let artifacts: Vec<ArtifactId> = (0..MODEL_COUNT).map(artifact).collect();
    let zone = zone(0);
    let team = TeamId::new("team");
    let loads = TeamLoads::default();
    let mut rng = Rng::new(1);
    let started = Instant::now();
    for i in 0..ROUTE_ITERATIONS {
        let artifact = &artifacts[i as usize % MODEL_COUNT];
        let input = RouteInput {
            zone: &zone,
            copies: fleet.copies(artifact),
            tried: &[],
            prefix_hash: Some(u64::from(i)),
        };
        if let Ok(ix) = route(u64::from(i), fleet, &input, &mut rng) {
            let _ = black_box(check_target(&loads, &team, fleet.get(ix), 600));
        }
    }
    started.elapsed().as_nanos() as u64 / u64::from(ROUTE_ITERATIONS)
}

/// Time of one copy planning round in microseconds. The engines have no
/// memory left for more copies of the overloaded models.
fn time_copy_plan(overloaded_models: usize) -> u64 {
    let model_spec = ModelSpec {
        weights_mb: COPY_MIB,
        adapters: 0,
        adapter_mb: 0,
        store_load: Duration::from_secs(9),
        disk_load: Duration::from_secs(2),
        memory_load: Duration::from_secs(1),
    };
    let model = |i: usize| ModelId::new(&format!("model-{i}"));
    let spec = EngineSpec {
        batch: 64,
        cache_tokens: 100_000,
        weights_mb: COPY_MIB * COPIES_PER_MODEL as u64,
        adapter_slots: 0,
        store_loads_per_s: 100.0,
        models: (0..MODEL_COUNT)
            .map(|i| (model(i), model_spec.clone()))
            .collect(),
    };
    let engines: Vec<PlannedEngine> = (0..UPSTREAM_COUNT)
        .map(|e| PlannedEngine {
            id: UpstreamId::new(&format!("upstream-{e}")),
            accepts_orders: true,
            zone: zone(e),
            remaining_order_ms: None,
            is_serving: true,
            resident: (0..MODEL_COUNT * COPIES_PER_MODEL)
                .filter(|k| k % UPSTREAM_COUNT == e)
                .take(COPIES_PER_MODEL)
                .map(|k| (model(k % MODEL_COUNT), std::collections::BTreeSet::new()))
                .collect(),
            loading: None,
            protected: std::collections::BTreeSet::new(),
            in_memory: std::collections::BTreeSet::new(),
            on_disk: std::collections::BTreeSet::new(),
        })
        .collect();
    let demand = |i: usize| ModelDemand {
        utilisation: if i < overloaded_models { 3.0 } else { 0.1 },
        last_requested_ms: 1_000,
    };
    let demand_by_model = (0..MODEL_COUNT).map(|i| (model(i), demand(i))).collect();
    let started = Instant::now();
    for _ in 0..PLAN_ITERATIONS {
        black_box(copies::plan(1_000, &spec, &engines, &demand_by_model, 3));
    }
    started.elapsed().as_micros() as u64 / u64::from(PLAN_ITERATIONS)
}

/// Time of one placement round in microseconds. If `is_settled`, every copy is
/// in place already; otherwise all upstreams are empty.
fn time_placement(is_settled: bool) -> u64 {
    let models: Vec<PlannedModel> = (0..MODEL_COUNT)
        .map(|i| PlannedModel {
            artifact: artifact(i),
            copy_mib: COPY_MIB,
            min_copies: 1,
            is_relied_upon: true,
            demand_in_flight: 8,
        })
        .collect();
    let upstreams: Vec<PlannedUpstream> = (0..UPSTREAM_COUNT)
        .map(|i| {
            let ready = if is_settled {
                ready_artifacts(i)
            } else {
                std::collections::BTreeSet::new()
            };
            PlannedUpstream {
                id: UpstreamId::new(&format!("upstream-{i}")),
                zone: zone(i),
                free_mib: UPSTREAM_MEMORY_MIB - COPY_MIB * ready.len() as u64,
                unloading_mib: 0,
                max_batch: 256,
                in_flight: 24,
                ready: ready.clone(),
                charged: ready,
            }
        })
        .collect();
    let started = Instant::now();
    for _ in 0..PLAN_ITERATIONS {
        black_box(plan(&models, &upstreams));
    }
    started.elapsed().as_micros() as u64 / u64::from(PLAN_ITERATIONS)
}
