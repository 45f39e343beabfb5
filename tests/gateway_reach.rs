//! Recognition that a host reaches no upstream.

use currantcove::core::ids::UpstreamId;
use currantcove::core::reach::{PROBE_INTERVAL_MS, Reach, ReachChange, sample};
use currantcove::core::routing::Rng;

const LISTED: usize = 9;

fn upstream(number: usize) -> UpstreamId {
    UpstreamId::new(&format!("u{number}"))
}

/// Evidence of a host whose attempts at some upstreams have failed at 1,000 ms.
fn failed_at(upstreams: usize) -> Reach {
    let mut reach = Reach::default();
    for number in 0..upstreams {
        reach.on_failure(1_000, &upstream(number));
    }
    reach
}

#[test]
fn failure_at_one_upstream_is_its_own_unless_others_are_not_reached() {
    let mut reach = failed_at(1);

    let is_suspected = reach.is_suspected();
    let is_due = reach.take_due_probe(1_000, LISTED);
    reach.on_probe_failed(1_300);

    assert!(!is_suspected);
    assert!(is_due);
    assert!(reach.is_lost());
}

#[test]
fn failures_at_one_upstream_lead_to_few_probes() {
    let mut reach = Reach::default();

    let probes = (1_000..2_000).filter(|now_ms| {
        reach.on_failure(*now_ms, &upstream(0));
        reach.take_due_probe(*now_ms, LISTED)
    });

    assert_eq!(probes.count() as u64, 1_000 / PROBE_INTERVAL_MS);
}

#[test]
fn failures_at_two_upstreams_are_confirmed_by_a_probe() {
    let mut reach = failed_at(2);

    let is_due = reach.take_due_probe(1_000, LISTED);
    let change = reach.on_probe_failed(1_300);

    assert!(is_due);
    assert_eq!(change, Some(ReachChange::Lost { failed: 2 }));
    assert!(reach.is_lost());
}

#[test]
fn connection_between_two_failures_refutes_the_suspicion() {
    let mut reach = failed_at(1);

    reach.on_connected(1_100);
    reach.on_failure(1_200, &upstream(1));

    assert!(!reach.is_suspected());
    assert!(!reach.has_failed(&upstream(0)));
}

#[test]
fn connection_during_the_probe_refutes_the_suspicion() {
    let mut reach = failed_at(2);
    reach.take_due_probe(1_000, LISTED);

    reach.on_connected(1_200);
    let change = reach.on_probe_failed(1_300);

    assert_eq!(change, None);
    assert!(!reach.is_lost());
}

#[test]
fn old_failures_are_no_suspicion() {
    let mut reach = failed_at(2);

    assert!(!reach.take_due_probe(9_000, LISTED));
}

#[test]
fn probes_are_rare_while_no_upstream_is_reached_and_the_first_connection_ends_that() {
    let mut reach = failed_at(2);
    reach.take_due_probe(1_000, LISTED);
    reach.on_probe_failed(1_300);

    let due = (1_301..11_301).filter(|now_ms| reach.take_due_probe(*now_ms, LISTED));
    let probes = due.count() as u64;
    let change = reach.on_connected(11_301);

    assert!(probes <= 10_000 / PROBE_INTERVAL_MS, "{probes}");
    let lost_for_ms = 10_001;
    assert_eq!(change, Some(ReachChange::Regained { lost_for_ms }));
    assert!(!reach.is_lost());
}

#[test]
fn host_is_outdone_only_while_it_reaches_no_upstream_and_another_host_does() {
    let mut reach = failed_at(2);
    reach.on_reached_elsewhere();
    let before = reach.is_outdone();
    reach.on_probe_failed(1_300);
    let lost = reach.is_outdone();
    reach.on_reached_elsewhere();
    let outdone = reach.is_outdone();

    reach.on_connected(2_000);

    assert_eq!((before, lost, outdone), (false, false, true));
    assert!(!reach.is_outdone());
}

#[test]
fn sample_holds_distinct_upstreams() {
    let mut rng = Rng::new(7);

    for _ in 0..100 {
        let drawn = sample((0..LISTED).collect(), 2, &mut rng);
        assert_eq!(drawn.len(), 2);
        assert_ne!(drawn[0], drawn[1]);
    }
    assert_eq!(sample(vec![1], 2, &mut rng), vec![1]);
}
