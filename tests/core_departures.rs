//! Upstreams that are missing when a host reaches the store again.

use currantcove::core::departures::{
    DepartureBounds, Evidence, Outage, StoreContact, deleted_until_ms, missing_until_ms,
};
use currantcove::core::ids::ZoneId;

const DRAIN_BOUNDS_MS: [u64; 3] = [1_000, 2_000, 3_000];
/// Time after an outage at which the last running upstream is listed again.
const LISTED_AGAIN_AFTER_MS: u64 = 2_000;
/// Time from an acknowledged deletion until a host that watches the store learns of it.
const WATCH_DELAY_SHARE: f64 = 0.4;

const OUTAGE: Outage = Outage {
    lost_ms: 10_000,
    unreached_ms: 15_900,
    returned_ms: 16_000,
};

fn bounds(drain_within_ms: u64) -> DepartureBounds {
    DepartureBounds {
        drain_within_ms,
        contact_within_ms: 3_000,
    }
}

fn contact(since_ms: u64, last_ms: u64) -> StoreContact {
    let now_ms = 16_000;
    StoreContact::from_ages(now_ms, now_ms - since_ms, now_ms - last_ms)
}

fn evidence(zone: &str, contacts: &[(&str, StoreContact)]) -> Evidence {
    let contacts: Vec<(ZoneId, StoreContact)> = contacts
        .iter()
        .map(|(zone, contact)| (ZoneId::new(zone), *contact))
        .collect();
    Evidence::for_zone(&ZoneId::new(zone), &OUTAGE, contacts.iter())
}

/// Guards against requests to upstreams that left during a host's own cut: they stayed in
/// use as if they had lapsed in an outage.
#[test]
fn upstream_missing_after_an_own_cut_is_out_of_use_at_once() {
    let seen = evidence("a", &[("a", contact(0, 15_000))]);

    for drain_ms in DRAIN_BOUNDS_MS {
        assert_eq!(missing_until_ms(&OUTAGE, seen, bounds(drain_ms)), 16_000);
    }
}

/// Guards against a mass removal after an outage where upstreams that have left must
/// receive nothing after a second: the grace period ended with that.
#[test]
fn upstream_that_lapsed_in_an_outage_of_the_store_stays_until_it_is_listed_again() {
    let seen = evidence("a", &[("a", contact(15_950, 15_950))]);

    for drain_ms in DRAIN_BOUNDS_MS {
        let until_ms = missing_until_ms(&OUTAGE, seen, bounds(drain_ms));

        assert!(until_ms >= 16_000 + LISTED_AGAIN_AFTER_MS, "{drain_ms}");
    }
}

/// The settings state from when on a host must keep its limits after a disruption.
#[test]
fn grace_ends_before_the_host_must_keep_its_limits() {
    let late = Outage {
        unreached_ms: 15_000,
        ..OUTAGE
    };

    for drain_ms in DRAIN_BOUNDS_MS {
        let until_ms = missing_until_ms(&late, Evidence::StoreWasLost, bounds(drain_ms));

        let must_keep_ms = (late.unreached_ms + 3_000).max(late.returned_ms + drain_ms);
        assert!(until_ms < must_keep_ms, "{drain_ms}: {until_ms}");
    }
}

#[test]
fn without_other_hosts_the_limit_for_upstreams_that_have_left_bounds_the_grace() {
    for drain_ms in DRAIN_BOUNDS_MS {
        let until_ms = missing_until_ms(&OUTAGE, Evidence::None, bounds(drain_ms));

        assert!(until_ms < OUTAGE.returned_ms + drain_ms, "{drain_ms}");
    }
}

/// Guards against an upstream that leaves after the store is back, which the host learns
/// by an event.
#[test]
fn deletion_within_the_grace_keeps_the_limit_for_upstreams_that_have_left() {
    for drain_ms in DRAIN_BOUNDS_MS {
        for deleted_ms in (16_000..18_400).step_by(100) {
            for seen in [Evidence::None, Evidence::StoreWasLost, Evidence::StoreWasUp] {
                let delay_ms = (drain_ms as f64 * WATCH_DELAY_SHARE) as u64;
                let learnt_ms = deleted_ms + delay_ms;

                let until_ms = deleted_until_ms(&OUTAGE, seen, bounds(drain_ms), learnt_ms);

                let is_late = until_ms >= deleted_ms + drain_ms;
                assert!(!is_late || until_ms <= learnt_ms, "{drain_ms} {deleted_ms}");
            }
        }
    }
}

#[test]
fn detection_late_in_the_grace_does_not_extend_it() {
    for drain_ms in DRAIN_BOUNDS_MS {
        let missing_ms = missing_until_ms(&OUTAGE, Evidence::StoreWasLost, bounds(drain_ms));

        let deleted_ms =
            deleted_until_ms(&OUTAGE, Evidence::StoreWasLost, bounds(drain_ms), 18_200);

        assert!(deleted_ms <= missing_ms);
    }
}

/// A partition of a zone keeps its upstreams from the store, which other zones have.
#[test]
fn hosts_of_other_zones_say_nothing_about_an_upstream() {
    let has_store = ("b", contact(0, 15_990));

    assert_eq!(evidence("a", &[has_store]), Evidence::None);
    let cut_off = ("a", contact(15_900, 15_950));
    assert_eq!(evidence("a", &[has_store, cut_off]), Evidence::StoreWasLost);
}

#[test]
fn host_whose_watch_outlasted_the_outage_is_no_witness() {
    let mut contact = StoreContact::default();
    contact.on_response(100);
    contact.on_response(10_000);
    contact.on_response(15_500);

    let seen = evidence("a", &[("a", contact)]);

    assert_eq!(seen, Evidence::StoreWasLost);
}

#[test]
fn host_that_has_not_heard_the_store_lately_is_no_witness() {
    let seen = evidence("a", &[("a", contact(0, 11_000))]);

    assert_eq!(seen, Evidence::StoreWasLost);
}

#[test]
fn frozen_host_is_no_witness() {
    let mut contact = StoreContact::default();
    for at_ms in (1_000..=9_000).step_by(2_000) {
        contact.on_response(at_ms);
    }
    contact.on_response(15_800);

    assert_eq!(evidence("a", &[("a", contact)]), Evidence::StoreWasLost);
}

#[test]
fn host_that_lost_the_store_for_a_moment_is_no_witness() {
    let mut contact = StoreContact::default();
    for at_ms in (1_000..=13_000).step_by(1_000) {
        contact.on_response(at_ms);
    }
    contact.on_lost();
    for at_ms in (13_500..=15_500).step_by(1_000) {
        contact.on_response(at_ms);
    }

    assert_eq!(evidence("a", &[("a", contact)]), Evidence::StoreWasLost);
}
