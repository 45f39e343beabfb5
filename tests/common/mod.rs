//! Fixtures for the tests of `core`.
#![allow(dead_code)]

use std::collections::BTreeSet;
use std::net::SocketAddr;

use currantcove::core::fleet::{
    Fleet, ListedState, ListedUpstream, LoadReport, Observation, UpstreamKind,
};
use currantcove::core::ids::{ArtifactId, ServiceId, UpstreamId, ZoneId};
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
