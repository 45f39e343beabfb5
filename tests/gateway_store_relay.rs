//! Passing changes of the store on between hosts, as pure decisions.

use std::time::Duration;

use currantcove::core::ids::{HostId, UpstreamId};
use currantcove::core::store_era::Era;
use currantcove::core::store_relay::{Fit, Follower, Position, RelayTimes, is_watcher};
use currantcove::gateway::store_relay::{RelayedFact, StoreChanges, split_changes};

fn position(era: u64, revision: u64) -> Position {
    Position {
        era: Era(era),
        revision,
    }
}

#[test]
fn two_hosts_of_a_zone_watch_the_store_whatever_the_size_of_the_fleet() {
    for size in [3, 39, 400] {
        let hosts: Vec<(HostId, u32)> = (0..size)
            .map(|i| (HostId::new(&format!("h{i}")), 120 + 10 * (i % 7)))
            .collect();

        let watchers = hosts
            .iter()
            .filter(|(own, cpu)| is_watcher(hosts.iter().map(|(h, c)| (h, *c)), own, *cpu));

        assert_eq!(watchers.count(), 2, "{size} hosts");
    }
}

#[test]
fn changes_fit_only_where_they_continue_within_the_era() {
    let known = position(3, 100);

    assert_eq!(known.fit(100, position(3, 104)), Fit::Continues);
    assert_eq!(known.fit(98, position(3, 104)), Fit::Continues);
    assert_eq!(known.fit(96, position(3, 100)), Fit::Known);
    assert_eq!(known.fit(101, position(3, 104)), Fit::Gap);
    assert_eq!(known.fit(100, position(4, 104)), Fit::Gap);
    assert_eq!(known.fit(200, position(2, 204)), Fit::Known);
}

/// Time from the last confirmed position to the follower's own read, checked every
/// 50 ms as the follower does.
fn time_to_read(mut follower: Follower, from_ms: u64, max_silence: Duration) -> u64 {
    follower.on_confirmed(from_ms);
    let mut now_ms = from_ms;
    while !follower.must_read(now_ms, max_silence) {
        now_ms += 50;
    }
    now_ms - from_ms
}

#[test]
fn follower_reads_in_time_when_all_watching_hosts_die_at_the_worst_moment() {
    const CALL_TIMEOUT_MS: u64 = 1_000;
    for bound_ms in [2_000, 3_000, 4_000] {
        let times = RelayTimes::within(Duration::from_millis(bound_ms));

        let silent_ms = time_to_read(Follower::default(), 10_000, times.max_silence);

        // A change right after the last confirmed position, and one lost call.
        assert!(silent_ms + CALL_TIMEOUT_MS < bound_ms, "{bound_ms}");
    }
}

#[test]
fn follower_is_not_silent_while_one_of_two_watching_hosts_loses_a_message() {
    let times = RelayTimes::within(Duration::from_secs(3));

    let longest_ms = (times.watch_wait * 2).as_millis();

    assert!(longest_ms < times.max_silence.as_millis());
}

#[test]
fn missed_change_is_read_unless_it_arrives_from_another_host() {
    let silence = Duration::from_secs(1);
    let mut missed = Follower::default();
    missed.on_confirmed(1_000);
    let mut repaired = missed;

    missed.on_gap(1_100);
    repaired.on_gap(1_100);
    repaired.on_confirmed(1_200);

    assert!(!missed.must_read(1_200, silence));
    assert!(missed.must_read(1_400, silence));
    assert!(!repaired.must_read(1_400, silence));
}

#[test]
fn configuration_is_read_after_a_delay_that_differs_between_hosts() {
    let silence = Duration::from_secs(1);
    let mut early = Follower::default();
    early.on_confirmed(1_000);
    let mut late = early;

    early.on_change_to_read(1_000, 0);
    late.on_change_to_read(1_000, 400);

    assert!(early.must_read(1_000, silence));
    assert!(!late.must_read(1_300, silence));
    assert!(late.must_read(1_400, silence));
}

#[test]
fn parts_of_many_changes_continue_each_other_and_keep_transactions_whole() {
    let gone = |revision| {
        let id = UpstreamId::new(&format!("i-{revision}"));
        (revision, RelayedFact::NoUpstream(id))
    };
    let facts = [10, 11, 12, 13, 13, 13, 14, 20, 21, 22, 23, 23].map(gone);
    let changes = StoreChanges {
        era: 1,
        after: 9,
        until: 30,
        lapse_left_ms: 0,
        read_ago_ms: None,
        facts: facts.to_vec(),
    };

    let parts = split_changes(&changes);

    let joined: Vec<_> = parts.iter().flat_map(|p| p.facts.clone()).collect();
    assert_eq!(joined, facts);
    assert_eq!((parts[0].after, parts[parts.len() - 1].until), (9, 30));
    for pair in parts.windows(2) {
        assert_eq!(pair[0].until, pair[1].after);
        assert!(pair[1].facts.iter().all(|(r, _)| *r > pair[0].until));
    }
    assert!(parts.len() >= 3);
}
