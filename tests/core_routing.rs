//! Routing, admission, retries and health.

mod common;

use common::{artifact, fleet, listed};
use currantcove::core::admission::{TeamLoads, check_target, predicted_wait_ms};
use currantcove::core::fleet::{EJECT_AFTER_FAILURES, FIRST_EJECTION_MS, ListedState};
use currantcove::core::ids::{TeamId, ZoneId};
use currantcove::core::outcome::{Outcome, Reason};
use currantcove::core::retry::{MAX_SAVED_RETRIES, Progress, RetryBudget, may_retry};
use currantcove::core::routing::{NoRoute, Rng, RouteInput, route};

fn route_once(
    fleet: &currantcove::core::fleet::Fleet,
    now_ms: u64,
    zone: &str,
    tried: &[usize],
    seed: u64,
) -> Result<usize, NoRoute> {
    let zone = ZoneId::new(zone);
    let copies = fleet.copies(&artifact("m")).to_vec();
    let input = RouteInput {
        zone: &zone,
        copies: &copies,
        tried,
        prefix_hash: None,
    };
    route(now_ms, fleet, &input, &mut Rng::new(seed))
}

#[test]
fn the_own_zone_goes_first_until_it_is_more_loaded() {
    let even = fleet(&[("a", "z1", 2), ("b", "z2", 2)]);
    let loaded = fleet(&[("a", "z1", 8), ("b", "z2", 2)]);

    let near = (0..50)
        .filter(|&s| route_once(&even, 5, "z1", &[], s) == Ok(0))
        .count();
    let far = (0..50)
        .filter(|&s| route_once(&loaded, 5, "z1", &[], s) == Ok(1))
        .count();

    assert_eq!(near, 50);
    assert_eq!(far, 50);
}

#[test]
fn an_upstream_is_tried_once_and_leaving_ones_not_at_all() {
    let mut fleet = fleet(&[("a", "z", 0), ("b", "z", 0), ("c", "z", 0)]);
    let leaving = [
        listed("a", "z"),
        currantcove::core::fleet::ListedUpstream {
            state: ListedState::Leaving,
            ..listed("b", "z")
        },
    ];
    fleet.set_listed(&leaving);

    let chosen: Vec<_> = (0..50)
        .map(|s| route_once(&fleet, 5, "z", &[], s))
        .collect();
    let again = route_once(&fleet, 5, "z", &[0], 1);

    assert!(chosen.iter().all(|c| *c == Ok(0)));
    assert_eq!(again, Err(NoRoute::AllTried));
}

#[test]
fn failing_upstreams_are_left_out_but_never_so_many_that_the_rest_drown() {
    let mut fleet = fleet(&[("a", "z", 0), ("b", "z", 0), ("c", "z", 0)]);
    let fail = |fleet: &mut currantcove::core::fleet::Fleet, ix| {
        (0..EJECT_AFTER_FAILURES).for_each(|_| fleet.on_failure(10, ix));
    };

    fail(&mut fleet, 0);
    let without_a = (0..50).all(|s| route_once(&fleet, 11, "z", &[], s) != Ok(0));
    let after = 10 + FIRST_EJECTION_MS;
    let with_a = (0..50).any(|s| route_once(&fleet, after, "z", &[], s) == Ok(0));
    fail(&mut fleet, 0);
    fail(&mut fleet, 1);
    let with_both = (0..50).any(|s| route_once(&fleet, 11, "z", &[], s) == Ok(0));

    assert!(without_a);
    assert!(with_a, "it is tried again later");
    assert!(with_both, "two of three are too many to leave out");
}

#[test]
fn a_slow_upstream_is_left_out_and_a_full_one_is_not() {
    let mut slow = fleet(&[("a", "z", 0), ("b", "z", 0), ("c", "z", 0)]);
    let mut full = fleet(&[("a", "z", 50), ("b", "z", 0), ("c", "z", 0)]);

    for fleet in [&mut slow, &mut full] {
        for _ in 0..16 {
            fleet.on_first_byte(10, 1, 100_000);
            fleet.on_first_byte(10, 2, 100_000);
            fleet.on_first_byte(10, 0, 500_000);
        }
    }

    assert!(slow.get(0).health.is_ejected(11));
    assert!(!full.get(0).health.is_ejected(11));
}

#[test]
fn the_load_is_estimated_from_old_reports_and_own_requests() {
    let mut fleet = fleet(&[("a", "z", 6)]);
    fleet.on_sent(0);
    fleet.on_sent(0);

    let before_report = fleet.get(0).estimated_in_flight();
    fleet.observe(0, common::seen(2, &["m"], 8));
    let after_report = fleet.get(0).estimated_in_flight();
    fleet.on_done(0);
    let after_end = fleet.get(0).estimated_in_flight();

    assert_eq!((before_report, after_report, after_end), (8, 8, 7));
}

#[test]
fn what_would_miss_its_target_is_refused_with_a_time_to_come_back() {
    let fleet = fleet(&[("a", "z", 30)]);
    let team = TeamId::new("t");

    let wait_ms = predicted_wait_ms(fleet.get(0));
    let refused = check_target(&TeamLoads::default(), &team, fleet.get(0), 600);
    let admitted = check_target(&TeamLoads::default(), &team, fleet.get(0), 60_000);

    assert_eq!(wait_ms, 2_100, "21 more than a batch of 10, at 1 s each");
    let refusal = refused.expect_err("refusal");
    assert_eq!(
        (refusal.reason, refusal.outcome),
        (Reason::Overloaded, Outcome::NotRun)
    );
    assert_eq!(refusal.retry_after_ms, Some(2_100));
    assert!(admitted.is_ok());
}

#[test]
fn a_burst_of_one_team_is_refused_before_the_other_team_is() {
    let mut loads = TeamLoads::default();
    let (burst, calm) = (TeamId::new("burst"), TeamId::new("calm"));
    let held: Vec<_> = (0..9)
        .map(|_| loads.admit(&burst, 1, 100).expect("room"))
        .collect();
    let _calm = loads.admit(&calm, 1, 100).expect("room");
    let fleet = fleet(&[("a", "z", 8)]);

    let of_burst = check_target(&loads, &burst, fleet.get(0), 600);
    let of_calm = check_target(&loads, &calm, fleet.get(0), 600);
    for admitted in &held {
        loads.release(admitted);
    }

    assert!(of_burst.is_err());
    assert!(of_calm.is_ok());
    assert_eq!(loads.in_flight(&burst), 0);
}

#[test]
fn retries_stay_a_small_share_of_first_attempts() {
    let mut budget = RetryBudget::default();
    let saved = (0..100).filter(|_| budget.try_retry()).count();

    let mut retried = 0;
    for _ in 0..1_000 {
        budget.on_first_attempt();
        retried += usize::from(budget.try_retry());
    }

    assert_eq!(saved, MAX_SAVED_RETRIES as usize);
    assert_eq!(retried, 100);
}

#[test]
fn only_idempotent_requests_are_repeated_after_a_byte_has_left() {
    assert!(may_retry(Progress::NotSent, false, false));
    assert!(!may_retry(Progress::Sent, false, true));
    assert!(may_retry(Progress::Sent, true, false));
    assert!(!may_retry(Progress::Answering, true, false));
    assert!(may_retry(Progress::Answering, true, true));
}
