//! Rates of requests that upstreams in need state.

use currantcove::core::ids::UpstreamId;
use currantcove::core::upstream_notice::StatedRate;
use currantcove::core::upstream_rate::{KnownRates, RateChange};

fn upstream() -> UpstreamId {
    UpstreamId::new("e1")
}

/// Rates of a host that has received a statement of two requests a second at 1 s, in a
/// response of the incarnation that started at 100 ms.
fn rates() -> KnownRates {
    let mut rates = KnownRates::default();
    let stated = StatedRate::from_per_s("2.0");
    rates.on_response(1_000, &upstream(), 100, 900, stated);
    rates
}

#[test]
fn stated_rate_is_known_for_its_incarnation_only() {
    let rates = rates();

    let known = rates.get(&upstream(), 100).map(|k| k.per_mille_s);

    assert_eq!(known, Some(2_000));
    assert_eq!(rates.get(&upstream(), 200), None);
}

#[test]
fn same_rate_is_no_news() {
    let mut rates = rates();

    let again = rates.on_response(2_000, &upstream(), 100, 1_900, StatedRate::PerMilleS(2_000));
    let lower = rates.on_response(2_100, &upstream(), 100, 1_950, StatedRate::PerMilleS(1_400));

    assert_eq!(again, None);
    assert_eq!(lower, Some(RateChange::Changed(1_400)));
}

/// Guards against a response that is older than the statement and ends it.
#[test]
fn only_a_response_to_a_later_request_lifts_a_rate() {
    let mut rates = rates();

    let to_earlier = rates.on_response(1_200, &upstream(), 100, 950, StatedRate::Unlimited);
    let without_response = rates.on_response(1_300, &upstream(), 100, 1_250, StatedRate::Unknown);
    let to_later = rates.on_response(1_400, &upstream(), 100, 1_300, StatedRate::Unlimited);

    assert_eq!((to_earlier, without_response), (None, None));
    assert_eq!(to_later, Some(RateChange::Lifted));
    assert!(rates.is_empty());
}

#[test]
fn rate_that_is_no_number_changes_nothing() {
    let mut rates = rates();

    for text in ["", "-1", "many", "NaN"] {
        let stated = StatedRate::from_per_s(text);
        assert_eq!(stated, StatedRate::Invalid, "{text}");
        assert_eq!(
            rates.on_response(2_000, &upstream(), 100, 1_900, stated),
            None
        );
    }

    assert_eq!(
        rates.get(&upstream(), 100).map(|k| k.per_mille_s),
        Some(2_000)
    );
}
