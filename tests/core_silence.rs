//! Connections that fall silent, within the bounds of the settings.

use std::time::Duration;

use currantcove::core::departures::{
    DepartureBounds, Evidence, Outage, deleted_until_ms, missing_until_ms,
};
use currantcove::core::silence::SilenceBounds;
use currantcove::core::store_relay::RelayTimes;

/// Bounds of settings in milliseconds: contact, then the shortest time within which changes
/// must apply.
const SETTINGS_MS: [(u64, u64); 6] = [
    (1_000, 500),
    (2_000, 2_000),
    (3_000, 2_000),
    (4_000, 3_000),
    (5_000, 4_000),
    (10_000, 1_000),
];
/// A listing over a new connection.
const LISTING: Duration = Duration::from_millis(150);

fn milliseconds((contact_ms, change_ms): (u64, u64)) -> (Duration, Duration) {
    (
        Duration::from_millis(contact_ms),
        Duration::from_millis(change_ms),
    )
}

/// Guards against times of a watch that add up to more than the contact bound.
#[test]
fn silence_of_the_store_is_found_and_made_good_within_the_contact_bound() {
    for (contact, change) in SETTINGS_MS.map(milliseconds) {
        let bounds = SilenceBounds::within(contact, change);

        let known_again = bounds.found_within() + bounds.min_retry_delay() * 2 + LISTING;

        assert!(known_again < contact, "{contact:?}: {known_again:?}");
    }
}

/// A follower hears nothing from watching hosts whose connections fell silent, and its own
/// first call may use such a connection too.
#[test]
fn follower_knows_what_is_in_force_within_the_contact_bound() {
    for (contact, change) in SETTINGS_MS.map(milliseconds) {
        if change > contact {
            continue;
        }
        let bounds = SilenceBounds::within(contact, change);
        let relay = RelayTimes::within(change);

        let own_call = relay.watch_wait + bounds.response_timeout();
        let known_again = relay.max_silence + own_call + bounds.min_retry_delay() * 2;

        assert!(known_again < contact, "{contact:?}: {known_again:?}");
    }
}

/// Guards against a grace period for lapsed entries that begins when the store is read
/// again, and not with the last evidence of an outage.
#[test]
fn entries_stay_no_longer_than_the_contact_bound_after_the_last_evidence() {
    for (contact_ms, drain_ms) in SETTINGS_MS {
        for found_after_ms in (100..contact_ms).step_by(100) {
            let outage = Outage {
                lost_ms: 50_000,
                unreached_ms: 50_000,
                returned_ms: 50_000 + found_after_ms,
            };
            let bounds = DepartureBounds {
                drain_within_ms: drain_ms,
                contact_within_ms: contact_ms,
            };
            for seen in [Evidence::None, Evidence::StoreWasLost, Evidence::StoreWasUp] {
                let missing_ms = missing_until_ms(&outage, seen, bounds);
                let deleted_ms = deleted_until_ms(&outage, seen, bounds, outage.returned_ms);

                let due_ms = outage.unreached_ms + contact_ms;
                assert!(missing_ms.min(deleted_ms) < due_ms || missing_ms <= outage.returned_ms);
                assert!(missing_ms < due_ms || missing_ms <= outage.returned_ms);
            }
        }
    }
}
