//! Fixtures for the tests of `core`.
#![allow(dead_code)]

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use currantcove::core::catalog::{EngineSpec, ModelSpec};
use currantcove::core::fleet::{
    Fleet, ListedState, ListedUpstream, LoadReport, Observation, UpstreamKind,
};
use currantcove::core::ids::{
    AdapterId, ArtifactId, ModelId, ServiceId, SoftwareVersion, UpstreamId, ZoneId,
};
use currantcove::core::placement::{PlannedModel, PlannedUpstream};
use currantcove::core::registry::{Entry, Holdings};

/// Artifact with the id `t/<name>@v1`.
pub fn artifact(name: &str) -> ArtifactId {
    ArtifactId::from_parts("t", name, "v1")
}

/// Engine as listed by the platform, in a zone.
pub fn listed(id: &str, zone: &str) -> ListedUpstream {
    ListedUpstream {
        id: UpstreamId::new(id),
        addr: SocketAddr::from(([127, 0, 0, 1], 1)),
        zone: ZoneId::new(zone),
        kind: UpstreamKind::Engine,
        state: ListedState::Live,
        accelerators: 1,
        memory_mib: 100,
        max_batch: 10,
        checks_fencing: true,
    }
}

/// Observation of an upstream with these models ready and a number of requests
/// in flight.
pub fn observation(observed_ms: u64, ready: &[&str], in_flight: u32) -> Observation {
    let ready: BTreeSet<ArtifactId> = ready.iter().map(|n| artifact(n)).collect();
    Observation {
        observed_ms,
        charged: ready.clone(),
        ready,
        load: LoadReport {
            in_flight,
            mean_request_ms: 1_000,
        },
        accepts_work: true,
        ..Observation::default()
    }
}

/// Fleet of upstreams given by id, zone and requests in flight, each with model
/// `m` ready.
pub fn fleet(upstreams: &[(&str, &str, u32)]) -> Fleet {
    let mut fleet = Fleet::default();
    let list: Vec<ListedUpstream> = upstreams
        .iter()
        .map(|(id, zone, _)| listed(id, zone))
        .collect();
    fleet.set_listed(&list);
    for (ix, (_, _, in_flight)) in upstreams.iter().enumerate() {
        fleet.observe(ix, observation(1, &["m"], *in_flight));
    }
    fleet
}

/// Planner input for a model.
pub fn model(name: &str, copy_mib: u64, demand_in_flight: u32) -> PlannedModel {
    PlannedModel {
        artifact: artifact(name),
        copy_mib,
        min_copies: 1,
        is_relied_upon: true,
        demand_in_flight,
    }
}

/// Planner input for an upstream of 100 MiB, with these models of 40 MiB ready.
pub fn planned(id: &str, zone: &str, ready: &[&str], in_flight: u32) -> PlannedUpstream {
    let ready: BTreeSet<ArtifactId> = ready.iter().map(|n| artifact(n)).collect();
    PlannedUpstream {
        id: UpstreamId::new(id),
        zone: ZoneId::new(zone),
        free_mib: 100 - 40 * ready.len() as u64,
        unloading_mib: 0,
        max_batch: 10,
        in_flight,
        charged: ready.clone(),
        ready,
    }
}

/// Upstream as listed on the users' platform, without models.
pub fn entry(id: &str, service: &str, slots: u32) -> Entry {
    Entry {
        id: UpstreamId::new(id),
        service: ServiceId::new(service),
        addr: SocketAddr::from(([10, 0, 0, 1], 8000)),
        zone: ZoneId::new("a"),
        software: Some(SoftwareVersion::new("v1")),
        slots,
        is_draining: false,
        started_ms: 1,
        sequence: 1,
        read_ms: 0,
        resident: Holdings::new(),
        in_memory: BTreeSet::new(),
        on_disk: BTreeSet::new(),
    }
}

/// Models with their adapters.
pub fn holdings(models: &[(&str, &[&str])]) -> Holdings {
    let adapters = |names: &[&str]| names.iter().map(|a| AdapterId::new(a)).collect();
    models
        .iter()
        .map(|(m, names)| (ModelId::new(m), adapters(names)))
        .collect()
}

/// Engine as listed on the users' platform, started at 100 ms.
pub fn engine_entry(id: &str, sequence: u64, models: &[(&str, &[&str])]) -> Entry {
    Entry {
        started_ms: 100,
        sequence,
        resident: holdings(models),
        ..entry(id, "drafts", 8)
    }
}

/// Engine with memory for three of its four models.
pub fn engine_spec(adapter_slots: u32) -> EngineSpec {
    let model = ModelSpec {
        weights_mb: 70,
        adapters: 9,
        adapter_mb: 1,
        store_load: Duration::from_secs(9),
        disk_load: Duration::from_secs(2),
        memory_load: Duration::from_millis(800),
    };
    let models = ["m0", "m1", "m2", "m3"].map(|m| (ModelId::new(m), model.clone()));
    EngineSpec {
        batch: 8,
        cache_tokens: 10_000,
        weights_mb: 220,
        adapter_slots,
        store_loads_per_s: 2.0,
        models: models.into(),
    }
}
