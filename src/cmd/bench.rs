//! `currantcove bench`: the cost of decisions.

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

use crate::util::{self, CliResult, Common};

const USAGE: &str = "\
Measures decisions on this machine, with the models and upstreams of the size
that docs/CAPACITY.md is written for. The last line is one JSON object.

Usage:
    currantcove bench [options]

Options:
    -h, --help   Show this text.
";

const MODELS: usize = 880;
const UPSTREAMS: usize = 830;
const ZONES: usize = 5;
const COPIES: usize = 3;
const MEMORY_MIB: u64 = 640 * 1024;
const COPY_MIB: u64 = 60 * 1024;
const ROUTES: u32 = 2_000_000;
const PLANS: u32 = 50;
/// Models whose demand exceeds their copies.
const CROWDED: usize = 40;

pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    Common::parse_only(argv, USAGE)?;
    let before_kib = resident_kib();
    let fleet = fleet();
    let fleet_kib = resident_kib() - before_kib;
    let route_ns = time_routes(&fleet);
    let (settled_us, cold_us) = (time_plan(true), time_plan(false));
    util::print(&format!("routing with admission: {route_ns} ns\n"));
    util::print(&format!(
        "placement round, settled: {settled_us} us, cold: {cold_us} us\n"
    ));
    let (quiet_us, crowded_us) = (time_copies(0), time_copies(CROWDED));
    util::print(&format!(
        "plan of copies on a platform, quiet: {quiet_us} us, {CROWDED} models crowded: {crowded_us} us\n"
    ));
    let line = serde_json::json!({
        "models": MODELS,
        "upstreams": UPSTREAMS,
        "fleet_kib": fleet_kib,
        "route_ns": route_ns,
        "plan_settled_us": settled_us,
        "plan_cold_us": cold_us,
        "copies_quiet_us": quiet_us,
        "copies_crowded_us": crowded_us,
    });
    util::print(&format!("{line}\n"));
    Ok(())
}

/// Resident memory of this process in KiB.
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
    ZoneId::new(&format!("zone-{}", i % ZONES))
}

fn holds(upstream: usize) -> std::collections::BTreeSet<ArtifactId> {
    let held = (0..MODELS * COPIES).filter(|k| k % UPSTREAMS == upstream);
    held.map(|k| artifact(k % MODELS)).collect()
}

fn fleet() -> Fleet {
    let listed: Vec<ListedUpstream> = (0..UPSTREAMS)
        .map(|i| ListedUpstream {
            id: UpstreamId::new(&format!("upstream-{i}")),
            addr: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
            zone: zone(i),
            kind: UpstreamKind::Engine,
            state: ListedState::Live,
            accelerators: 8,
            memory_mib: MEMORY_MIB,
            max_batch: 256,
            checks_fencing: true,
        })
        .collect();
    let mut fleet = Fleet::default();
    fleet.set_listed(&listed);
    for i in 0..UPSTREAMS {
        let seen = Observation {
            observed_ms: 1,
            ready: holds(i),
            accepts_work: true,
            ..Observation::default()
        };
        fleet.observe(i, seen);
    }
    fleet
}

fn time_routes(fleet: &Fleet) -> u64 {
    let artifacts: Vec<ArtifactId> = (0..MODELS).map(artifact).collect();
    let zone = zone(0);
    let team = TeamId::new("team");
    let loads = TeamLoads::default();
    let mut rng = Rng::new(1);
    let started = Instant::now();
    for i in 0..ROUTES {
        let artifact = &artifacts[i as usize % MODELS];
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
    started.elapsed().as_nanos() as u64 / u64::from(ROUTES)
}

/// Time of a plan of copies, with some models that find no room.
fn time_copies(crowded: usize) -> u64 {
    let size = ModelSpec {
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
        weights_mb: COPY_MIB * COPIES as u64,
        adapter_slots: 0,
        store_loads_per_s: 100.0,
        models: (0..MODELS).map(|i| (model(i), size.clone())).collect(),
    };
    let engines: Vec<PlannedEngine> = (0..UPSTREAMS)
        .map(|e| PlannedEngine {
            id: UpstreamId::new(&format!("upstream-{e}")),
            accepts_orders: true,
            zone: zone(e),
            remaining_order_ms: None,
            is_serving: true,
            resident: (0..MODELS * COPIES)
                .filter(|k| k % UPSTREAMS == e)
                .take(COPIES)
                .map(|k| (model(k % MODELS), std::collections::BTreeSet::new()))
                .collect(),
            loading: None,
            recently_loaded: std::collections::BTreeSet::new(),
            in_memory: std::collections::BTreeSet::new(),
            on_disk: std::collections::BTreeSet::new(),
        })
        .collect();
    let demand = |i: usize| ModelDemand {
        utilisation: if i < crowded { 3.0 } else { 0.1 },
        last_requested_ms: 1_000,
    };
    let demand = (0..MODELS).map(|i| (model(i), demand(i))).collect();
    let started = Instant::now();
    for _ in 0..PLANS {
        black_box(copies::plan(1_000, &spec, &engines, &demand, 3));
    }
    started.elapsed().as_micros() as u64 / u64::from(PLANS)
}

fn time_plan(is_settled: bool) -> u64 {
    let models: Vec<PlannedModel> = (0..MODELS)
        .map(|i| PlannedModel {
            artifact: artifact(i),
            copy_mib: COPY_MIB,
            min_copies: 1,
            is_relied_upon: true,
            demand_in_flight: 8,
        })
        .collect();
    let upstreams: Vec<PlannedUpstream> = (0..UPSTREAMS)
        .map(|i| {
            let held = if is_settled {
                holds(i)
            } else {
                std::collections::BTreeSet::new()
            };
            PlannedUpstream {
                id: UpstreamId::new(&format!("upstream-{i}")),
                zone: zone(i),
                free_mib: MEMORY_MIB - COPY_MIB * held.len() as u64,
                unloading_mib: 0,
                max_batch: 256,
                in_flight: 24,
                ready: held.clone(),
                charged: held,
            }
        })
        .collect();
    let started = Instant::now();
    for _ in 0..PLANS {
        black_box(plan(&models, &upstreams));
    }
    started.elapsed().as_micros() as u64 / u64::from(PLANS)
}
