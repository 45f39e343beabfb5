//! Tests of placement, slots, membership, configuration and timeline.

mod common;

use std::collections::BTreeSet;

use common::{artifact, model, planned};
use currantcove::core::config::FleetConfig;
use currantcove::core::ids::{HostId, TeamId, UpstreamId, ZoneId};
use currantcove::core::membership::{HEARTBEAT_TIMEOUT_MS, Heartbeat, ListedHost, Membership};
use currantcove::core::placement::{PlannedModel, Step, plan};
use currantcove::core::slots::{Slot, SlotChoice, SlotUse, VersionedSlot, choose_slot};
use currantcove::core::timeline::{EventKind, Hlc, Subject, Timeline, merge};
use currantcove::core::view::{ActiveConfig, Adoption};
use expect_test::expect;

fn format_steps(steps: &[Step]) -> String {
    let line = |step: &Step| match step {
        Step::Load {
            upstream, artifact, ..
        } => format!("load {artifact} at {upstream}\n"),
        Step::Unload { upstream, artifact } => format!("unload {artifact} at {upstream}\n"),
    };
    steps.iter().map(line).collect()
}

#[test]
fn a_model_without_a_copy_has_priority() {
    let models = [model("a", 40, 0), model("b", 40, 0)];
    let upstreams = [planned("u1", "z1", &["a"], 0), planned("u2", "z2", &[], 0)];

    let steps = plan(&models, &upstreams);

    expect![[r"
        load t/b@v1 at u2
        load t/a@v1 at u2
    "]]
    .assert_eq(&format_steps(&steps));
}

#[test]
fn a_new_version_is_loaded_before_the_old_one_is_unloaded() {
    let new = PlannedModel {
        artifact: currantcove::core::ids::ArtifactId::from_parts("t", "a", "v2"),
        ..model("a", 40, 0)
    };
    let mut upstream = planned("u1", "z1", &["a"], 0);
    let before_ready = plan(std::slice::from_ref(&new), std::slice::from_ref(&upstream));
    upstream.ready.insert(new.artifact.clone());
    upstream.charged.insert(new.artifact.clone());
    upstream.free_mib = 20;

    let after_ready = plan(&[new], &[upstream]);

    assert_eq!(format_steps(&before_ready), "load t/a@v2 at u1\n");
    assert_eq!(format_steps(&after_ready), "unload t/a@v1 at u1\n");
}

#[test]
fn a_loaded_model_displaces_a_surplus_copy_but_not_a_last_copy() {
    let models = [
        model("hot", 40, 9),
        model("spare", 40, 0),
        model("last", 40, 0),
    ];
    let upstreams = [
        planned("u1", "z1", &["hot", "spare"], 9),
        planned("u2", "z2", &["spare", "last"], 0),
    ];

    let steps = plan(&models, &upstreams);

    assert_eq!(format_steps(&steps), "unload t/spare@v1 at u2\n");
}

#[test]
fn no_copy_is_evicted_while_enough_memory_is_being_freed() {
    let models = [
        model("hot", 40, 9),
        model("spare", 40, 0),
        model("last", 40, 0),
    ];
    let mut unloading = planned("u2", "z2", &["spare", "last"], 0);
    unloading.unloading_mib = 40;
    let upstreams = [planned("u1", "z1", &["hot", "spare"], 9), unloading];

    let steps = plan(&models, &upstreams);

    assert_eq!(format_steps(&steps), "");
}

#[test]
fn no_copy_moves_between_the_load_thresholds() {
    let models = [model("a", 40, 5), model("b", 40, 3)];
    let upstreams = [
        planned("u1", "z1", &["a", "b"], 4),
        planned("u2", "z2", &["a", "b"], 4),
    ];

    assert_eq!(format_steps(&plan(&models, &upstreams)), "");
}

#[test]
fn a_relied_upon_model_displaces_one_that_no_team_relies_on() {
    let optional = PlannedModel {
        is_relied_upon: false,
        ..model("optional", 40, 0)
    };
    let models = [model("missing", 40, 0), optional, model("other", 40, 0)];

    let steps = plan(&models, &[planned("u1", "z1", &["optional", "other"], 0)]);

    assert_eq!(format_steps(&steps), "unload t/optional@v1 at u1\n");
}

fn slot(started_ms: u64, used_by: Option<(&str, &str)>) -> VersionedSlot {
    let used_by = used_by.map(|(upstream, name)| SlotUse {
        upstream: UpstreamId::new(upstream),
        artifact: artifact(name),
    });
    VersionedSlot {
        revision: 1,
        slot: Slot {
            started_ms,
            used_by,
        },
    }
}

#[test]
fn slots_limit_the_load_rate_and_allow_one_load_per_model() {
    let fleet = FleetConfig {
        store_loads_per_s: 1,
        store_slots: 2,
        adapters_in_flight: 8,
    };
    let wanted = SlotUse {
        upstream: UpstreamId::new("u1"),
        artifact: artifact("a"),
    };
    let too_recent = [slot(9_000, None), slot(9_500, None)];
    let one_available = [slot(7_000, None), slot(9_500, None)];
    let elsewhere = [slot(1, Some(("u2", "a"))), slot(1, None)];
    let own = [slot(1, Some(("u2", "b"))), slot(1, Some(("u1", "a")))];

    let choice = |slots: &[VersionedSlot]| choose_slot(10_000, &fleet, slots, &wanted);

    assert_eq!(choice(&too_recent), SlotChoice::NoneFree);
    assert_eq!(choice(&one_available), SlotChoice::Take(0));
    assert_eq!(choice(&elsewhere), SlotChoice::LoadingElsewhere);
    assert_eq!(choice(&own), SlotChoice::Take(1));
}

fn heartbeat(host: &str, zone: &str, incarnation: u64, is_draining: bool) -> Heartbeat {
    Heartbeat {
        host: HostId::new(host),
        zone: ZoneId::new(zone),
        incarnation,
        is_draining,
        config_digest: 0,
    }
}

#[test]
fn acting_hosts_are_in_the_zone_and_exclude_down_and_draining_hosts() {
    let mut membership = Membership::new(&HostId::new("h1"), &ZoneId::new("z1"));
    membership.on_heartbeat(0, &heartbeat("h2", "z1", 1, false));
    membership.on_heartbeat(0, &heartbeat("h3", "z2", 1, false));
    let zone = ZoneId::new("z1");
    let acting_hosts = |membership: &Membership, now_ms: u64| -> BTreeSet<String> {
        let upstreams = (0..40).map(|i| format!("u{i}"));
        upstreams
            .filter_map(|u| {
                membership
                    .acting_host(now_ms, &u, &zone)
                    .map(ToString::to_string)
            })
            .collect()
    };

    let both = acting_hosts(&membership, 1);
    membership.on_heartbeat(2, &heartbeat("h2", "z1", 1, true));
    let draining = acting_hosts(&membership, 3);
    let down = acting_hosts(&membership, 3 + HEARTBEAT_TIMEOUT_MS);

    assert_eq!(both, BTreeSet::from(["h1".into(), "h2".into()]));
    assert_eq!(draining, BTreeSet::from(["h1".into()]));
    assert_eq!(down, BTreeSet::from(["h1".into()]));
}

#[test]
fn a_heartbeat_of_an_earlier_incarnation_is_ignored() {
    let mut membership = Membership::new(&HostId::new("h1"), &ZoneId::new("z1"));
    membership.on_heartbeat(0, &heartbeat("h2", "z1", 7, false));

    membership.on_heartbeat(HEARTBEAT_TIMEOUT_MS, &heartbeat("h2", "z1", 6, false));

    assert!(!membership.is_up(HEARTBEAT_TIMEOUT_MS, &HostId::new("h2")));
}

#[test]
fn a_host_keeps_few_links_to_other_zones_in_a_large_fleet() {
    let mut membership = Membership::new(&HostId::new("h0"), &ZoneId::new("z0"));
    let listed: Vec<ListedHost> = (0..390)
        .map(|i| ListedHost {
            id: HostId::new(&format!("h{i}")),
            zone: ZoneId::new(&format!("z{}", i % 5)),
            peer_addr: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        })
        .collect();
    membership.set_listed(&listed);

    assert_eq!(membership.neighbours().len(), 77 + 4 * 2);
}

const VALID_TEAM: &str = r#"{"credentials_sha256":
    ["0000000000000000000000000000000000000000000000000000000000000000"]}"#;

#[test]
fn only_a_greater_valid_revision_is_adopted_and_other_teams_are_unaffected() {
    let mut config = ActiveConfig::default();
    let (a, b) = (TeamId::new("a"), TeamId::new("b"));
    config.adopt_team(&a, 5, VALID_TEAM.as_bytes());
    config.adopt_team(&b, 6, VALID_TEAM.as_bytes());

    let older = config.adopt_team(&a, 4, VALID_TEAM.as_bytes());
    let invalid = config.adopt_team(&a, 9, b"{}");
    let stale_removal = config.remove_team(&a, 5);
    let removed = config.remove_team(&a, 8);
    let stale_after_removal = config.adopt_team(&a, 7, VALID_TEAM.as_bytes());

    assert_eq!(older, Adoption::Stale);
    assert!(matches!(invalid, Adoption::Invalid(findings) if findings.len() == 1));
    assert_eq!(stale_removal, Adoption::Stale);
    assert_eq!(removed, Adoption::Adopted);
    assert_eq!(
        stale_after_removal,
        Adoption::Stale,
        "an older revision does not undo a removal"
    );
    assert_eq!(config.revision(&b), 6);
}

#[test]
fn a_stale_peer_cannot_restore_a_removed_team() {
    let mut config = ActiveConfig::default();
    let (kept, removed) = (TeamId::new("kept"), TeamId::new("removed"));
    config.adopt_team(&kept, 5, VALID_TEAM.as_bytes());
    config.record_full_read(9);

    let from_old_peer = config.adopt_team(&removed, 7, VALID_TEAM.as_bytes());
    let created_later = config.adopt_team(&removed, 10, VALID_TEAM.as_bytes());

    assert_eq!(from_old_peer, Adoption::Stale);
    assert_eq!(created_later, Adoption::Adopted);
}

#[test]
fn events_of_two_processes_are_merged_in_causal_order() {
    let mut sender = Timeline::new(&HostId::new("sender"));
    let mut receiver = Timeline::new(&HostId::new("receiver"));
    sender.record(1_000, Subject::default(), EventKind::Started);
    // The receiver's clock is behind the sender's.
    receiver.merge_clock(400, sender.clock());
    receiver.record(401, Subject::default(), EventKind::Draining);

    let events = merge(receiver.events().chain(sender.events()).cloned().collect());

    let hosts: Vec<&str> = events.iter().map(|e| e.host.as_str()).collect();
    assert_eq!(hosts, ["sender", "receiver"]);
    assert!(events[0].at < events[1].at);
    assert!(
        events[0].at
            >= Hlc {
                wall_ms: 1_000,
                logical: 0
            }
    );
}

/// Guards against a plan that loads a model into memory that is reserved for another
/// one: the reservation underflowed, so that the plan panicked, or wrapped and let
/// everything fit.
#[test]
fn memory_reserved_for_a_model_is_not_given_to_another() {
    let models = [model("large", 60, 0), model("small", 20, 0)];
    let mut upstream = planned("u1", "z1", &[], 0);
    upstream.free_mib = 40;
    upstream.unloading_mib = 30;

    let steps = plan(&models, &[upstream]);

    assert_eq!(format_steps(&steps), "", "large waits for 60 of 70 MiB");
}
