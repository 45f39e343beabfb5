//! Work of the acting host of a large fleet, as pure decisions.

use std::collections::BTreeSet;
use std::time::Duration;

use currantcove::core::ids::{AdapterId, ModelId, UpstreamId};
use currantcove::core::pacing::{MAX_PLAN_INTERVAL_MS, PLAN_INTERVAL_MS, PlanPacer};
use currantcove::core::registry::Holdings;
use currantcove::gateway::announce::pack_holdings;
use currantcove::gateway::peer_messages::EngineHoldings;

/// Replays requests for plans that arrive every `request_interval_ms`, where one
/// plan takes `plan_ms`; returns the number of plans and the longest time from a
/// request to the end of a plan that covers it.
fn replay(request_interval_ms: u64, plan_ms: u64, duration_ms: u64) -> (u64, u64) {
    let mut pacer = PlanPacer::default();
    let (mut now_ms, mut plans, mut longest_ms) = (0, 0, 0);
    let mut oldest_request_ms = None;
    while now_ms < duration_ms {
        if now_ms % request_interval_ms == 0 {
            pacer.request();
            oldest_request_ms.get_or_insert(now_ms);
        }
        if pacer.due_in_ms(now_ms) > 0 {
            now_ms += 1;
            continue;
        }
        now_ms += plan_ms;
        pacer.finish(now_ms, Duration::from_millis(plan_ms));
        plans += 1;
        if let Some(requested_ms) = oldest_request_ms.take() {
            longest_ms = longest_ms.max(now_ms - requested_ms);
        }
    }
    (plans, longest_ms)
}

#[test]
fn storm_of_requests_leaves_most_of_the_time_to_other_work() {
    // 89 hosts that each request a missing model ten times a second, at an acting
    // host on which a plan takes 30 ms.
    let (plans, longest_ms) = replay(1, 30, 20_000);

    let share = plans as f64 * 30.0 / 20_000.0;
    assert!(share < 0.1, "{plans} plans take {share} of the time");
    assert!(longest_ms < 1_000, "{longest_ms}");
}

#[test]
fn single_request_is_planned_at_once_where_plans_are_short() {
    let (_, longest_ms) = replay(1_000, 1, 10_000);

    assert!(longest_ms <= 60, "{longest_ms}");
}

#[test]
fn plans_go_on_without_requests() {
    let mut pacer = PlanPacer::default();

    pacer.finish(1_000, Duration::from_millis(2));

    assert_eq!(pacer.due_in_ms(1_000), PLAN_INTERVAL_MS);
}

#[test]
fn very_long_plan_does_not_stop_planning() {
    let mut pacer = PlanPacer::default();

    pacer.finish(1_000, Duration::from_secs(9));

    assert_eq!(pacer.due_in_ms(1_000), MAX_PLAN_INTERVAL_MS);
}

fn holdings(engine: usize, models: usize, adapters: usize) -> EngineHoldings {
    let names: BTreeSet<AdapterId> = (0..adapters)
        .map(|a| AdapterId::new(&format!("a{a}")))
        .collect();
    let model = |m: usize| (ModelId::new(&format!("model{engine}{m}")), names.clone());
    EngineHoldings {
        upstream: UpstreamId::new(&format!("i-{engine}")),
        started_ms: 1_700_000_000_000,
        number: engine as u64,
        holds: (0..models).map(model).collect::<Holdings>(),
    }
}

#[test]
fn changes_of_many_engines_are_packed_into_few_datagrams() {
    let changed: Vec<EngineHoldings> = (0..60).map(|e| holdings(e, 3, 2)).collect();

    let groups = pack_holdings(changed.clone());

    let sent: Vec<EngineHoldings> = groups.iter().flatten().cloned().collect();
    assert_eq!(sent, changed);
    assert!(groups.len() <= 15, "{}", groups.len());
}

#[test]
fn packed_holdings_fit_into_a_packet() {
    const MAX_PACKET_BYTES: usize = 1_400;
    let changed: Vec<EngineHoldings> = (0..20).map(|e| holdings(e, 3, 4)).collect();

    for group in pack_holdings(changed) {
        let mut bytes = Vec::new();
        ciborium::into_writer(&group, &mut bytes).expect("encode");
        assert!(bytes.len() <= MAX_PACKET_BYTES, "{}", bytes.len());
    }
}
