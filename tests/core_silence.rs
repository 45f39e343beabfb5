//! Connections that fall silent, within the bounds of the settings.

use std::time::Duration;

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
