//! Placement, slots, membership, configuration, time line.

mod common;

use std::collections::BTreeSet;

use common::{artifact, model, planned};
use currantcove::core::config::FleetConfig;
use currantcove::core::ids::{HostId, TeamId, UpstreamId, ZoneId};
use currantcove::core::membership::{DOWN_AFTER_MS, Heartbeat, ListedHost, Members};
use currantcove::core::placement::{PlannedModel, Step, plan};
use currantcove::core::slots::{ReadSlot, Slot, SlotChoice, SlotUse, choose};
use currantcove::core::timeline::{EventKind, Hlc, Subject, Timeline, merge};
use currantcove::core::view::{Adoption, View};
use expect_test::expect;

fn show(steps: &[Step]) -> String {
    let line = |step: &Step| match step {
        Step::Load {
            upstream, artifact, ..
        } => format!("load {artifact} at {upstream}\n"),
        Step::Unload { upstream, artifact } => format!("unload {artifact} at {upstream}\n"),
    };
    steps.iter().map(line).collect()
}

#[test]
fn a_missing_model_goes_before_everything_else() {
    let models = [model("a", 40, 0), model("b", 40, 0)];
    let upstreams = [planned("u1", "z1", &["a"], 0), planned("u2", "z2", &[], 0)];

    let steps = plan(&models, &upstreams);

    expect![[r"
        load t/b@v1 at u2
        load t/a@v1 at u2
    "]]
    .assert_eq(&show(&steps));
}

#[test]
fn a_new_version_is_loaded_before_the_old_one_is_unloaded() {
    let new = PlannedModel {
        artifact: currantcove::core::ids::ArtifactId::from_parts("t", "a", "v2"),
        ..model("a", 40, 0)
    };
    let mut before = planned("u1", "z1", &["a"], 0);
    let loading = plan(std::slice::from_ref(&new), std::slice::from_ref(&before));
    before.ready.insert(new.artifact.clone());
    before.holds.insert(new.artifact.clone());
    before.free_mib = 20;

    let replaced = plan(&[new], &[before]);

    assert_eq!(show(&loading), "load t/a@v2 at u1\n");
    assert_eq!(show(&replaced), "unload t/a@v1 at u1\n");
}

#[test]
fn a_hot_model_gets_a_copy_in_place_of_a_spare_and_never_of_a_last_copy() {
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

    assert_eq!(show(&steps), "unload t/spare@v1 at u2\n");
}

#[test]
fn room_that_is_being_made_is_waited_for() {
    let models = [
        model("hot", 40, 9),
        model("spare", 40, 0),
        model("last", 40, 0),
    ];
    let mut making = planned("u2", "z2", &["spare", "last"], 0);
    making.leaving_mib = 40;
    let upstreams = [planned("u1", "z1", &["hot", "spare"], 9), making];

    let steps = plan(&models, &upstreams);

    assert_eq!(show(&steps), "");
}

#[test]
fn nothing_moves_within_the_band() {
    let models = [model("a", 40, 5), model("b", 40, 3)];
    let upstreams = [
        planned("u1", "z1", &["a", "b"], 4),
        planned("u2", "z2", &["a", "b"], 4),
    ];

    assert_eq!(show(&plan(&models, &upstreams)), "");
}

#[test]
fn a_relied_upon_model_takes_the_place_of_one_nobody_relies_on() {
    let optional = PlannedModel {
        is_relied_upon: false,
        ..model("optional", 40, 0)
    };
    let models = [model("missing", 40, 0), optional, model("other", 40, 0)];

    let steps = plan(&models, &[planned("u1", "z1", &["optional", "other"], 0)]);

    assert_eq!(show(&steps), "unload t/optional@v1 at u1\n");
}

fn slot(started_ms: u64, used_by: Option<(&str, &str)>) -> ReadSlot {
    let used_by = used_by.map(|(upstream, name)| SlotUse {
        upstream: UpstreamId::new(upstream),
        artifact: artifact(name),
    });
    ReadSlot {
        revision: 1,
        slot: Slot {
            started_ms,
            used_by,
        },
    }
}

#[test]
fn slots_hold_the_rate_and_one_load_per_model() {
    let fleet = FleetConfig {
        store_loads_per_s: 1,
        store_slots: 2,
        adapters_in_flight: 8,
    };
    let wanted = SlotUse {
        upstream: UpstreamId::new("u1"),
        artifact: artifact("a"),
    };
    let fresh = [slot(9_000, None), slot(9_500, None)];
    let rested = [slot(7_000, None), slot(9_500, None)];
    let elsewhere = [slot(1, Some(("u2", "a"))), slot(1, None)];
    let own = [slot(1, Some(("u2", "b"))), slot(1, Some(("u1", "a")))];

    let choice = |slots: &[ReadSlot]| choose(10_000, &fleet, slots, &wanted);

    assert_eq!(choice(&fresh), SlotChoice::NoneFree);
    assert_eq!(choice(&rested), SlotChoice::Take(0));
    assert_eq!(choice(&elsewhere), SlotChoice::LoadedElsewhere);
    assert_eq!(choice(&own), SlotChoice::Take(1));
}

fn beat(host: &str, zone: &str, incarnation: u64, is_draining: bool) -> Heartbeat {
    Heartbeat {
        host: HostId::new(host),
        zone: ZoneId::new(zone),
        incarnation,
        is_draining,
        config_digest: 0,
    }
}

#[test]
fn duties_stay_in_the_zone_and_move_when_a_host_goes_or_drains() {
    let mut members = Members::new(&HostId::new("h1"), &ZoneId::new("z1"));
    members.on_heartbeat(0, &beat("h2", "z1", 1, false));
    members.on_heartbeat(0, &beat("h3", "z2", 1, false));
    let zone = ZoneId::new("z1");
    let acting = |members: &Members, now_ms: u64| -> BTreeSet<String> {
        let upstreams = (0..40).map(|i| format!("u{i}"));
        upstreams
            .filter_map(|u| {
                members
                    .acting_host(now_ms, &u, &zone)
                    .map(ToString::to_string)
            })
            .collect()
    };

    let both = acting(&members, 1);
    members.on_heartbeat(2, &beat("h2", "z1", 1, true));
    let draining = acting(&members, 3);
    let down = acting(&members, 3 + DOWN_AFTER_MS);

    assert_eq!(both, BTreeSet::from(["h1".into(), "h2".into()]));
    assert_eq!(draining, BTreeSet::from(["h1".into()]));
    assert_eq!(down, BTreeSet::from(["h1".into()]));
}

#[test]
fn a_heartbeat_of_an_earlier_start_is_ignored() {
    let mut members = Members::new(&HostId::new("h1"), &ZoneId::new("z1"));
    members.on_heartbeat(0, &beat("h2", "z1", 7, false));

    members.on_heartbeat(DOWN_AFTER_MS, &beat("h2", "z1", 6, false));

    assert!(!members.is_up(DOWN_AFTER_MS, &HostId::new("h2")));
}

#[test]
fn links_stay_few_in_a_large_fleet() {
    let mut members = Members::new(&HostId::new("h0"), &ZoneId::new("z0"));
    let listed: Vec<ListedHost> = (0..390)
        .map(|i| ListedHost {
            id: HostId::new(&format!("h{i}")),
            zone: ZoneId::new(&format!("z{}", i % 5)),
            peer_addr: std::net::SocketAddr::from(([127, 0, 0, 1], 1)),
        })
        .collect();
    members.set_listed(&listed);

    assert_eq!(members.neighbours().len(), 77 + 4 * 2);
}

const GOOD: &str = r#"{"credentials_sha256":
    ["0000000000000000000000000000000000000000000000000000000000000000"]}"#;

#[test]
fn only_a_greater_revision_is_adopted_and_a_bad_one_touches_nobody() {
    let mut view = View::default();
    let (a, b) = (TeamId::new("a"), TeamId::new("b"));
    view.offer_team(&a, 5, GOOD.as_bytes());
    view.offer_team(&b, 6, GOOD.as_bytes());

    let old = view.offer_team(&a, 4, GOOD.as_bytes());
    let bad = view.offer_team(&a, 9, b"{}");
    let removed_late = view.remove_team(&a, 5);
    let removed = view.remove_team(&a, 8);
    let revived = view.offer_team(&a, 7, GOOD.as_bytes());

    assert_eq!(old, Adoption::Stale);
    assert!(matches!(bad, Adoption::Invalid(findings) if findings.len() == 1));
    assert_eq!(removed_late, Adoption::Stale);
    assert_eq!(removed, Adoption::Adopted);
    assert_eq!(revived, Adoption::Stale, "a removal does not revert");
    assert_eq!(view.revision(&b), 6);
}

#[test]
fn a_peer_with_old_state_cannot_bring_a_removed_team_back() {
    let mut view = View::default();
    let (kept, removed) = (TeamId::new("kept"), TeamId::new("removed"));
    view.offer_team(&kept, 5, GOOD.as_bytes());
    view.note_whole_read(9);

    let from_old_peer = view.offer_team(&removed, 7, GOOD.as_bytes());
    let created_later = view.offer_team(&removed, 10, GOOD.as_bytes());

    assert_eq!(from_old_peer, Adoption::Stale);
    assert_eq!(created_later, Adoption::Adopted);
}

#[test]
fn events_of_two_processes_merge_in_causal_order() {
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
