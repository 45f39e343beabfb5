//! Places at plain upstreams that many hosts share, in played fleets and one by one.

mod common;
#[path = "common/shared_fleet.rs"]
mod shared_fleet;

use currantcove::core::ids::{HostId, UpstreamId};
use currantcove::core::shared_account::{
    KeeperCandidate, SharedAccounts, SharedReport, shared_keeper_of,
};
use currantcove::core::shared_places::{SharedPlaces, SharedUpstream};
use shared_fleet::{Arrangement, Figures, Fleet};

const FLEETS: [usize; 4] = [66, 90, 195, 390];
/// Requests beyond the slots that hide the passing of a place: four ways of 1.7 ms, in
/// which 0.6 of six requests of 60 ms end on average.
const MAX_QUEUE: usize = 2;
/// Share of the slots that may be idle while requests wait at hosts.
const MAX_IDLE_SHARE: f64 = 0.02;
const SLOTS: u32 = 4;
const NOW_MS: u64 = 10_000;

fn arrangement(hosts: usize, is_shared: bool) -> Arrangement {
    Arrangement {
        hosts,
        older: 0,
        is_shared,
        work_ms: 60,
        objective_ms: 300,
        load_percent: 95,
        lost_percent: 0,
        frozen_ms: None,
        duration_ms: 15_000,
        seed: 1,
    }
}

fn play(name: &str, arrangement: Arrangement) -> Figures {
    let figures = Fleet::new(arrangement).run();
    println!(
        "{name} {} hosts: {} arrived, {:.3} in time (short {:.3}, long {:.3}), {} refused, {} \
         rejected, idle {:.4}, queue {:.2} at most {}, p50 {} p99 {} ms, {} messages {} bytes",
        arrangement.hosts,
        figures.arrived,
        figures.share(),
        figures.share_of(1),
        figures.share_of(0),
        figures.refused,
        figures.rejected,
        figures.idle_share,
        figures.mean_queue,
        figures.max_queue,
        figures.latency_ms(50),
        figures.latency_ms(99),
        figures.messages,
        figures.bytes,
    );
    figures
}

/// Guards against hosts that overfill an upstream, or leave it idle while requests wait.
#[test]
fn fleets_fill_shared_upstreams_without_a_queue_there() {
    for hosts in FLEETS {
        let present = play("present", arrangement(hosts, false));
        let shared = play("shared", arrangement(hosts, true));

        assert_eq!(shared.rejected, 0, "{hosts} hosts");
        assert!(shared.max_queue <= MAX_QUEUE, "{hosts} hosts");
        assert!(shared.idle_share <= MAX_IDLE_SHARE, "{hosts} hosts");
        assert!(shared.share() > present.share(), "{hosts} hosts");
    }
}

/// Guards against messages that cost more than short requests gain.
#[test]
fn short_requests_are_served_in_time() {
    let short = Arrangement {
        work_ms: 15,
        objective_ms: 100,
        load_percent: 60,
        ..arrangement(90, true)
    };

    let shared = play("shared, 15 ms", short);

    assert_eq!(shared.rejected, 0);
    assert!(shared.share() >= 0.97, "{}", shared.share());
}

/// Guards against requests that wait for an answer that does not come.
#[test]
fn hosts_send_within_their_share_while_a_keeper_is_frozen() {
    let frozen = Arrangement {
        frozen_ms: Some(5_000),
        load_percent: 70,
        ..arrangement(66, true)
    };

    let with_fault = play("shared, frozen keeper", frozen);

    let calm = Arrangement {
        frozen_ms: None,
        ..frozen
    };
    let without = play("shared, no fault", calm);
    assert_eq!(with_fault.rejected, 0);
    assert!(with_fault.share() >= without.share() - 0.05);
}

/// Guards against places that stay taken after a message was lost.
#[test]
fn lost_messages_cost_little() {
    let lossy = Arrangement {
        lost_percent: 2,
        ..arrangement(66, true)
    };

    let shared = play("shared, 2 % lost", lossy);

    assert_eq!(shared.rejected, 0);
    assert!(shared.share() >= 0.85, "{}", shared.share());
}

/// Guards against an upgrade during which hosts do worse than before it.
#[test]
fn fleet_of_two_releases_does_better_than_before_the_upgrade() {
    let present = play("present", arrangement(66, false));
    for older in [60, 33, 6] {
        let mixed = Arrangement {
            older,
            ..arrangement(66, true)
        };

        let mixed = play(&format!("{older} older"), mixed);

        assert!(mixed.rejected < present.rejected);
        assert!(mixed.share() > present.share());
    }
}

fn upstream(id: &UpstreamId) -> SharedUpstream<'_> {
    SharedUpstream {
        id,
        started_ms: 1,
        slots: SLOTS,
        response_ms: 50.0,
    }
}

fn report(host: &str, sequence: u64, held: u32, waiting: &[i64]) -> SharedReport {
    SharedReport {
        host: HostId::new(host),
        host_started_ms: 1,
        upstream: UpstreamId::new("u1"),
        started_ms: 1,
        slots: SLOTS,
        sequence,
        held,
        seen_grant: u64::MAX,
        waiting: waiting.to_vec(),
        rejections: 0,
        answer_ms: None,
        response_ms: 50,
    }
}

/// Account of which a host holds all places but one, so that it grants one more.
fn account_with_one_place() -> SharedAccounts {
    let mut accounts = SharedAccounts::default();
    accounts.on_report(1, &report("h1", 1, 0, &[]), 0);
    accounts.on_report(NOW_MS, &report("h1", 2, SLOTS, &[]), 0);
    accounts
}

#[test]
fn free_place_is_granted_to_the_most_urgent_request_at_once() {
    let mut accounts = account_with_one_place();
    accounts.on_report(NOW_MS, &report("h1", 3, SLOTS + 1, &[]), 0);
    accounts.on_report(NOW_MS, &report("h2", 1, 0, &[900]), 0);
    accounts.on_report(NOW_MS, &report("h3", 1, 0, &[40]), 0);

    let outcome = accounts.on_report(NOW_MS + 1, &report("h1", 4, SLOTS, &[]), 0);

    let hosts: Vec<&str> = outcome.grants.iter().map(|g| g.host.as_str()).collect();
    assert_eq!(hosts, ["h3"]);
}

#[test]
fn requests_of_an_older_release_take_places() {
    let mut accounts = account_with_one_place();

    let outcome = accounts.on_report(NOW_MS, &report("h2", 1, 0, &[40]), 1);

    assert!(outcome.grants.is_empty());
}

#[test]
fn rejection_withdraws_places_for_a_while() {
    let mut accounts = account_with_one_place();
    let rejected = SharedReport {
        rejections: 1,
        ..report("h1", 3, SLOTS, &[])
    };

    let outcome = accounts.on_report(NOW_MS, &rejected, 0);

    let cut = outcome.cut.expect("withdrawn");
    assert!(cut.to < cut.from, "{cut:?}");
    accounts.grant_free(NOW_MS + 5_000);
    let (_, places) = accounts
        .places(NOW_MS + 5_000, &UpstreamId::new("u1"))
        .expect("kept");
    assert!(places > cut.to);
}

#[test]
fn repeated_grant_is_one_place() {
    let (id, keeper) = (UpstreamId::new("u1"), HostId::new("h9"));
    let mut places = SharedPlaces::new(HostId::new("h1"), 1);
    places.report(NOW_MS, upstream(&id), &keeper, &[40]);

    let granted = [7, 7].map(|number| places.on_grant(NOW_MS, &id, &keeper, number));

    assert_eq!(granted, [true, false]);
    assert_eq!(places.held(&id), (0, 1));
}

/// Guards against hosts that each send as if they were alone while no keeper answers.
#[test]
fn hosts_without_a_keeper_send_no_more_than_the_upstream_serves() {
    const HOSTS: usize = 66;
    const SECONDS: u64 = 10;
    let id = UpstreamId::new("u1");
    let mut sent = 0;
    for host in 0..HOSTS {
        let mut places = SharedPlaces::new(HostId::new(&format!("h{host}")), 1);
        for now_ms in (0..SECONDS * 1_000).step_by(5) {
            let wait_ms = places.on_unanswered(NOW_MS + now_ms, upstream(&id), HOSTS);
            sent += u64::from(wait_ms.is_none());
        }
    }

    let served = u64::from(SLOTS) * 1_000 / 50 * SECONDS;
    assert!(sent <= served + HOSTS as u64, "{sent} of {served}");
    assert!(sent >= served * 9 / 10, "{sent} of {served}");
}

#[test]
fn keeper_is_a_strong_host_in_the_zone_of_the_upstream() {
    let hosts: Vec<HostId> = (0..12).map(|i| HostId::new(&format!("h{i}"))).collect();
    let candidates: Vec<KeeperCandidate<'_>> = hosts
        .iter()
        .enumerate()
        .map(|(i, host)| KeeperCandidate {
            host,
            cpu_milli: if i < 6 { 500 } else { 120 },
            is_near: i % 2 == 0,
        })
        .collect();

    for upstream in (0..20).map(|i| UpstreamId::new(&format!("u{i}"))) {
        let keeper = shared_keeper_of(&upstream, &candidates).expect("a keeper");

        assert!(["h0", "h2", "h4"].contains(&keeper.as_str()), "{keeper}");
    }
}
