//! Eras of the store and notices of upstreams, as pure decisions.

use currantcove::core::routing::Rng;
use currantcove::core::store_era::{Era, EraChange, EraTracker, term_number};
use currantcove::core::upstream_notice::{Closure, MAX_CLOSURE_MS};

#[test]
fn terms_are_ordered_by_era_before_revision() {
    let before = term_number(Era(3), 9_000);
    let after = term_number(Era(4), 12);

    assert!(after > before);
    assert!(term_number(Era(4), 13) > after);
}

#[test]
fn terms_are_exact_as_json_numbers() {
    let largest = term_number(Era(u64::MAX), u64::MAX);

    assert!(largest < 1 << 53);
}

#[test]
fn response_of_an_earlier_era_is_outdated() {
    let mut tracker = EraTracker::default();
    tracker.observe(Era(5));

    let advanced = tracker.observe(Era(6));
    let late = tracker.observe(Era(5));

    assert_eq!(advanced, EraChange::Advanced { from: Era(5) });
    assert_eq!(late, EraChange::Outdated);
    assert_eq!(tracker.current(), Era(6));
}

#[test]
fn first_response_starts_no_new_era() {
    let mut tracker = EraTracker::default();

    let first = tracker.observe(Era(41));

    assert_eq!(first, EraChange::Current);
}

#[test]
fn closure_times_without_meaning_are_invalid_and_long_ones_are_shortened() {
    let closures = ["-1", "soon", "NaN", "", "0.25", " 3 ", "1e12", "inf"];

    let parsed = closures.map(Closure::from_seconds);

    let longest = Closure::Millis(MAX_CLOSURE_MS);
    assert_eq!(parsed[..4], [Closure::Invalid; 4]);
    assert_eq!(parsed[4], Closure::Millis(250));
    assert_eq!(parsed[5], Closure::Millis(3_000));
    assert_eq!(parsed[6..], [longest; 2]);
}

#[test]
fn closed_upstream_reopens_no_earlier_than_stated_and_hosts_are_spread() {
    let mut times: Vec<u64> = (0..64)
        .filter_map(|seed| Closure::Millis(500).reopens_ms(1_000, &mut Rng::new(seed)))
        .collect();
    times.sort_unstable();
    times.dedup();

    assert!(times[0] >= 1_500);
    assert!(times.len() > 16, "{times:?}");
}
