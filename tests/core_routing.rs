//! Tests of routing, admission, retries and health.

mod common;

use common::{artifact, fleet, listed};
use currantcove::core::admission::{TeamLoads, check_target, predicted_wait_ms};
use currantcove::core::fleet::{EJECT_AFTER_FAILURES, INITIAL_EJECTION_MS, ListedState};
use currantcove::core::ids::{TeamId, ZoneId};
use currantcove::core::outcome::{Outcome, Reason};
use currantcove::core::retry::{
    AttemptProgress, MAX_AVAILABLE_RETRIES, RetryBudget, is_retry_allowed,
};
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
fn the_own_zone_is_preferred_until_it_is_more_loaded() {
    let even = fleet(&[("a", "z1", 2), ("b", "z2", 2)]);
    let loaded = fleet(&[("a", "z1", 8), ("b", "z2", 2)]);

    let own_zone_count = (0..50)
        .filter(|&s| route_once(&even, 5, "z1", &[], s) == Ok(0))
        .count();
    let other_zone_count = (0..50)
        .filter(|&s| route_once(&loaded, 5, "z1", &[], s) == Ok(1))
        .count();

    assert_eq!(own_zone_count, 50);
    assert_eq!(other_zone_count, 50);
}

#[test]
fn an_upstream_is_tried_once_and_unlisted_or_leaving_ones_never() {
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
    let second_attempt = route_once(&fleet, 5, "z", &[0], 1);

    assert!(chosen.iter().all(|c| *c == Ok(0)));
    assert_eq!(second_attempt, Err(NoRoute::AllTried));
}

#[test]
fn failing_upstreams_are_ejected_unless_that_exceeds_the_ejection_limit() {
    let mut fleet = fleet(&[("a", "z", 0), ("b", "z", 0), ("c", "z", 0)]);
    let eject = |fleet: &mut currantcove::core::fleet::Fleet, ix| {
        (0..EJECT_AFTER_FAILURES).for_each(|_| fleet.on_failure(10, ix));
    };

    eject(&mut fleet, 0);
    let without_a = (0..50).all(|s| route_once(&fleet, 11, "z", &[], s) != Ok(0));
    let ejection_end_ms = 10 + INITIAL_EJECTION_MS;
    let after_ejection_with_a =
        (0..50).any(|s| route_once(&fleet, ejection_end_ms, "z", &[], s) == Ok(0));
    eject(&mut fleet, 0);
    eject(&mut fleet, 1);
    let both_failing_with_a = (0..50).any(|s| route_once(&fleet, 11, "z", &[], s) == Ok(0));

    assert!(without_a);
    assert!(after_ejection_with_a, "the ejection ends");
    assert!(
        both_failing_with_a,
        "two of three exceed the ejection limit"
    );
}

#[test]
fn a_slow_upstream_is_ejected_and_a_full_one_is_not() {
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
fn load_is_estimated_from_the_last_report_and_own_requests() {
    let mut fleet = fleet(&[("a", "z", 6)]);
    fleet.on_sent(0);
    fleet.on_sent(0);

    let before_report = fleet.get(0).estimated_in_flight();
    fleet.observe(0, common::observation(2, &["m"], 8));
    let after_report = fleet.get(0).estimated_in_flight();
    fleet.on_done(0);
    let after_end = fleet.get(0).estimated_in_flight();

    assert_eq!((before_report, after_report, after_end), (8, 8, 7));
}

#[test]
fn a_request_that_would_miss_its_target_is_rejected_with_a_retry_delay() {
    let fleet = fleet(&[("a", "z", 30)]);
    let team = TeamId::new("t");

    let wait_ms = predicted_wait_ms(fleet.get(0));
    let rejected = check_target(&TeamLoads::default(), &team, fleet.get(0), 600);
    let admitted = check_target(&TeamLoads::default(), &team, fleet.get(0), 60_000);

    assert_eq!(
        wait_ms, 2_100,
        "21 requests beyond a batch of 10, at 1 s each"
    );
    let refusal = rejected.expect_err("refusal");
    assert_eq!(
        (refusal.reason, refusal.outcome),
        (Reason::Overloaded, Outcome::NotRun)
    );
    assert_eq!(refusal.retry_after_ms, Some(2_100));
    assert!(admitted.is_ok());
}

#[test]
fn a_burst_of_one_team_is_rejected_before_another_team() {
    let mut loads = TeamLoads::default();
    let (burst, calm) = (TeamId::new("burst"), TeamId::new("calm"));
    let permits: Vec<_> = (0..9)
        .map(|_| loads.admit(&burst, 1, 100).expect("room"))
        .collect();
    let _calm = loads.admit(&calm, 1, 100).expect("room");
    let fleet = fleet(&[("a", "z", 8)]);

    let burst_result = check_target(&loads, &burst, fleet.get(0), 600);
    let calm_result = check_target(&loads, &calm, fleet.get(0), 600);
    for permit in &permits {
        loads.release(permit);
    }

    assert!(burst_result.is_err());
    assert!(calm_result.is_ok());
    assert_eq!(loads.in_flight(&burst), 0);
}

#[test]
fn retries_stay_a_small_share_of_first_attempts() {
    let mut budget = RetryBudget::default();
    let available_retries = (0..100).filter(|_| budget.try_retry()).count();

    let mut retried = 0;
    for _ in 0..1_000 {
        budget.on_first_attempt();
        retried += usize::from(budget.try_retry());
    }

    assert_eq!(available_retries, MAX_AVAILABLE_RETRIES as usize);
    assert_eq!(retried, 100);
}

#[test]
fn only_idempotent_requests_are_retried_after_a_byte_was_sent() {
    assert!(is_retry_allowed(AttemptProgress::NotSent, false, false));
    assert!(!is_retry_allowed(AttemptProgress::Sent, false, true));
    assert!(is_retry_allowed(AttemptProgress::Sent, true, false));
    assert!(!is_retry_allowed(AttemptProgress::Responding, true, false));
    assert!(is_retry_allowed(AttemptProgress::Responding, true, true));
}
