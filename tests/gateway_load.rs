//! Selection, queueing and rejection of requests under load.

mod common;

use std::collections::BTreeSet;

use common::entry;
use currantcove::core::balance::{
    CapacityForecast, NoUpstream, Requirements, UpstreamFilter, Weights, forecast_capacity,
    select_upstream,
};
use currantcove::core::ids::{AdapterId, ModelId, ServiceId, UpstreamId, ZoneId};
use currantcove::core::load::{AttemptOutcome, EJECT_AFTER_FAILURES, LoadTable, RequestSize};
use currantcove::core::registry::{Entry, Registry};
use currantcove::core::routing::Rng;
use currantcove::core::waiting::{
    OrderInput, QueueDecision, QueueKey, QueuedRequest, RetryInput, RetrySchedule, WaitForecast,
    WaitQueue, admit,
};

const SLOTS: u32 = 4;

fn engine(id: &str, adapters: &[&str]) -> Entry {
    let adapters = adapters.iter().map(|a| AdapterId::new(a)).collect();
    Entry {
        resident: [(ModelId::new("m0"), adapters)].into(),
        ..entry(id, "drafts", SLOTS)
    }
}

fn requirements(prompt_tokens: u32, adapter: Option<&str>) -> Requirements {
    Requirements {
        service: ServiceId::new("drafts"),
        weights: Some(Weights {
            model: ModelId::new("m0"),
            adapter: adapter.map(AdapterId::new),
        }),
        size: RequestSize {
            prompt_tokens,
            output_tokens: 100,
        },
        cache_tokens: 100_000,
        max_prefill_ms: 180.0,
    }
}

struct Fleet {
    registry: Registry,
    loads: LoadTable,
    rng: Rng,
}

fn fleet(entries: Vec<Entry>) -> Fleet {
    let mut registry = Registry::default();
    registry.replace(entries, None, 0);
    Fleet {
        registry,
        loads: LoadTable::default(),
        rng: Rng::new(7),
    }
}

impl Fleet {
    fn select(
        &mut self,
        now_ms: u64,
        requirements: &Requirements,
        filter: &UpstreamFilter,
    ) -> Result<String, NoUpstream> {
        let zone = ZoneId::new("a");
        let (registry, loads) = (&self.registry, &self.loads);
        let chosen = select_upstream(
            now_ms,
            registry,
            loads,
            &zone,
            requirements,
            filter,
            &mut self.rng,
        )?;
        Ok(chosen.as_str().to_owned())
    }

    fn send(
        &mut self,
        now_ms: u64,
        id: &str,
        requirements: &Requirements,
    ) -> currantcove::core::load::SentRequest {
        self.loads
            .on_sent(now_ms, &UpstreamId::new(id), requirements.size)
    }
}

#[test]
fn full_engine_is_not_selected_even_if_it_is_the_only_one() {
    let mut fleet = fleet(vec![engine("e1", &[])]);
    let requirements = requirements(10, None);
    for _ in 0..SLOTS {
        fleet.send(0, "e1", &requirements);
    }

    let chosen = fleet.select(1, &requirements, &UpstreamFilter::default());

    assert_eq!(chosen, Err(NoUpstream::Full));
}

/// Guards against a prefill backlog: several hosts sent prompts to one engine
/// within a tenth of a second. Without the limit, all eight were sent at once,
/// and the running streams stalled for longer than callers accept.
#[test]
fn prefill_backlog_is_bounded_by_the_event_gap_of_streams() {
    let mut fleet = fleet(vec![engine("e1", &[])]);
    let requirements = requirements(1_500, None);
    let mut sent = 0;

    for at_ms in 0..8 {
        if fleet
            .select(at_ms, &requirements, &UpstreamFilter::default())
            .is_ok()
        {
            fleet.send(at_ms, "e1", &requirements);
            sent += 1;
        }
    }

    assert_eq!(sent, 1, "at 80 us per token, two prompts take 240 ms");
}

#[test]
fn prompt_whose_prefill_exceeds_the_limit_is_still_served() {
    let mut fleet = fleet(vec![engine("e1", &[])]);

    let chosen = fleet.select(0, &requirements(9_000, None), &UpstreamFilter::default());

    assert_eq!(chosen, Ok("e1".to_owned()));
}

#[test]
fn burst_is_spread_over_the_copies() {
    let mut fleet = fleet(vec![
        engine("e1", &[]),
        engine("e2", &[]),
        engine("e3", &[]),
    ]);
    let requirements = requirements(300, None);
    let mut counts = std::collections::BTreeMap::<String, u32>::new();

    for _ in 0..9 {
        let id = fleet
            .select(0, &requirements, &UpstreamFilter::default())
            .expect("capacity");
        fleet.send(0, &id, &requirements);
        *counts.entry(id).or_default() += 1;
    }

    assert!(counts.values().all(|&n| (2..=4).contains(&n)), "{counts:?}");
}

#[test]
fn only_copies_with_the_adapter_are_selected() {
    let mut fleet = fleet(vec![engine("e1", &[]), engine("e2", &["a1"])]);

    let chosen = fleet.select(0, &requirements(10, Some("a1")), &UpstreamFilter::default());
    let missing = fleet.select(0, &requirements(10, Some("a9")), &UpstreamFilter::default());

    assert_eq!(chosen, Ok("e2".to_owned()));
    assert_eq!(missing, Err(NoUpstream::NoAdapter));
}

#[test]
fn draining_upstream_is_not_selected() {
    let draining = Entry {
        is_draining: true,
        ..engine("e1", &[])
    };
    let mut fleet = fleet(vec![draining]);

    let chosen = fleet.select(0, &requirements(10, None), &UpstreamFilter::default());

    assert_eq!(chosen, Err(NoUpstream::NoneListed));
}

#[test]
fn failing_upstream_is_ejected_and_used_only_as_a_last_resort() {
    let mut fleet = fleet(vec![engine("e1", &[]), engine("e2", &[])]);
    let requirements = requirements(10, None);
    for _ in 0..EJECT_AFTER_FAILURES {
        let sent = fleet.send(0, "e1", &requirements);
        fleet.loads.on_end(0, &sent, AttemptOutcome::Failed);
    }

    for _ in 0..20 {
        assert_eq!(
            fleet.select(1, &requirements, &UpstreamFilter::default()),
            Ok("e2".into())
        );
    }
    let only = UpstreamFilter {
        only: vec![UpstreamId::new("e1")],
        ..UpstreamFilter::default()
    };
    assert_eq!(
        fleet.select(1, &requirements, &only),
        Ok("e1".into()),
        "last resort"
    );
}

#[test]
fn unresponsive_engine_is_avoided() {
    let mut fleet = fleet(vec![engine("e1", &[]), engine("e2", &[])]);
    let requirements = requirements(10, None);
    fleet.send(0, "e1", &requirements);

    for _ in 0..20 {
        let chosen = fleet.select(2_000, &requirements, &UpstreamFilter::default());
        assert_eq!(chosen, Ok("e2".into()));
    }
}

#[test]
fn selection_is_restricted_to_the_named_upstreams() {
    let mut fleet = fleet(vec![engine("e1", &[]), engine("e2", &[])]);
    let only = UpstreamFilter {
        only: vec![UpstreamId::new("e2")],
        ..UpstreamFilter::default()
    };

    for _ in 0..20 {
        assert_eq!(
            fleet.select(0, &requirements(10, None), &only),
            Ok("e2".into())
        );
    }
}

fn request(ticket: u64, priority: u8, arrived_ms: u64, due_ms: u64) -> QueuedRequest {
    QueuedRequest {
        ticket,
        requirements: requirements(10, None),
        filter: UpstreamFilter::default(),
        organisation: None,
        priority,
        arrived_ms,
        first_arrived_ms: arrived_ms,
        due_ms,
        expires_ms: due_ms + 1_000,
        is_starved: false,
        reason: NoUpstream::Full,
    }
}

/// Requests ahead of a newcomer with an objective of a second.
fn count_ahead(queue: &WaitQueue, now_ms: u64, adapter: Option<&str>) -> usize {
    let newcomer = OrderInput {
        requirements: &requirements(10, adapter),
        priority: 0,
        arrived_ms: now_ms,
        first_arrived_ms: now_ms,
        due_ms: 1_000,
        is_starved: false,
    };
    queue.count_ahead(now_ms, newcomer)
}

fn order(queue: &mut WaitQueue, now_ms: u64) -> Vec<u64> {
    let round = queue.dispatch(now_ms, |_| Ok(UpstreamId::new("e1")));
    round
        .dispatched
        .into_iter()
        .map(|(ticket, _)| ticket)
        .collect()
}

#[test]
fn requests_in_time_precede_late_ones_in_order_of_arrival() {
    let mut queue = WaitQueue::default();
    queue.push(request(1, 0, 10, 500));
    queue.push(request(2, 0, 0, 600));
    queue.push(request(3, 0, 900, 2_000));
    queue.push(request(4, 0, 950, 1_800));

    assert_eq!(order(&mut queue, 1_000), [4, 3, 2, 1]);
}

#[test]
fn request_with_the_earlier_due_time_is_dispatched_first() {
    let mut queue = WaitQueue::default();
    queue.push(request(1, 1, 0, 8_000));
    queue.push(request(2, 1, 100, 1_100));

    assert_eq!(order(&mut queue, 200), [2, 1]);
}

/// Guards against starvation of a rare adapter: a few of an overloaded model's
/// many adapters used all capacity, and in order of urgency the rare one always
/// expired first.
#[test]
fn requests_for_starved_weights_are_dispatched_first() {
    let mut queue = WaitQueue::default();
    queue.push(request(1, 0, 0, 300));
    queue.push(request(2, 0, 10, 310));
    queue.push(QueuedRequest {
        is_starved: true,
        ..request(3, 2, 20, 900)
    });

    assert_eq!(order(&mut queue, 100), [3, 1, 2]);
}

#[test]
fn request_without_capacity_blocks_those_behind_it() {
    let mut queue = WaitQueue::default();
    queue.push(request(1, 0, 0, 1_000));
    queue.push(request(2, 0, 10, 1_010));

    let round = queue.dispatch(20, |r| {
        if r.ticket == 1 {
            Err(NoUpstream::Full)
        } else {
            Ok(UpstreamId::new("e1"))
        }
    });

    assert!(round.dispatched.is_empty());
    assert_eq!(queue.len(), 2);
}

/// Guards against head-of-line blocking: the only copy with some adapter is
/// full, and requests for the model's other adapters, which other copies hold,
/// waited behind it.
#[test]
fn full_copy_of_one_adapter_does_not_block_the_others() {
    let mut queue = WaitQueue::default();
    let with_adapter = |ticket, adapter| QueuedRequest {
        requirements: requirements(10, Some(adapter)),
        ..request(ticket, 0, ticket, 1_000)
    };
    queue.push(with_adapter(1, "a1"));
    queue.push(with_adapter(2, "a2"));

    let round = queue.dispatch(20, |r| {
        let weights = r.requirements.weights.as_ref().expect("weights");
        match weights.adapter.as_ref().map(AdapterId::as_str) {
            Some("a1") => Err(NoUpstream::Full),
            _ => Ok(UpstreamId::new("e2")),
        }
    });

    assert_eq!(round.dispatched, [(2, UpstreamId::new("e2"))]);
}

#[test]
fn expired_request_is_removed_with_its_reason() {
    let mut queue = WaitQueue::default();
    queue.push(request(1, 0, 0, 1_000));

    let round = queue.dispatch::<UpstreamId>(2_000, |_| Err(NoUpstream::NoModel));

    assert_eq!(round.removed, [(1, NoUpstream::NoModel)]);
    assert!(queue.is_empty());
}

#[test]
fn request_is_rejected_if_it_cannot_be_served_in_time() {
    let forecast = WaitForecast {
        reason: NoUpstream::Full,
        wait_ms: 1_200,
    };

    assert_eq!(admit(0, forecast, 800), QueueDecision::Reject);
}

#[test]
fn request_is_queued_if_it_can_be_served_in_time() {
    let forecast = WaitForecast {
        reason: NoUpstream::Full,
        wait_ms: 300,
    };

    assert_eq!(admit(3, forecast, 800), QueueDecision::Enqueue);
}

fn full_queue() -> RetryInput {
    RetryInput {
        wait_ms: 1_200,
        copy_ready_in_ms: 0,
        dispatch_interval_ms: 50.0,
        max_delay_ms: 5_000,
    }
}

fn retry_delays_ms(count: usize, input: RetryInput) -> Vec<u64> {
    let queue_key = QueueKey::of(&requirements(10, None));
    let (mut schedule, mut rng) = (RetrySchedule::default(), Rng::new(1));
    (0..count)
        .map(|_| schedule.assign(1_000, &queue_key, input, &mut rng))
        .collect()
}

#[test]
fn retry_delays_are_not_shorter_than_the_predicted_wait() {
    let delays_ms = retry_delays_ms(10, full_queue());

    assert!(delays_ms.iter().all(|t| *t >= 1_200), "{delays_ms:?}");
}

/// Guards against synchronised retries: many callers were rejected within a
/// moment with the same delay, retried together, and nearly all were rejected
/// again.
#[test]
fn retries_are_spaced_at_their_share_of_the_dispatch_rate() {
    let delays_ms = retry_delays_ms(30, full_queue());

    let retry_count = |from: u64| {
        delays_ms
            .iter()
            .filter(|t| (from..from + 1_000).contains(t))
            .count()
    };
    assert!((8..=12).contains(&retry_count(2_000)), "{delays_ms:?}");
    assert!((8..=12).contains(&retry_count(3_000)), "{delays_ms:?}");
}

#[test]
fn retry_delays_stay_within_the_limit_and_differ() {
    let delays_ms = retry_delays_ms(200, full_queue());

    assert!(delays_ms.iter().all(|t| *t <= 5_000), "{delays_ms:?}");
    let distinct: BTreeSet<&u64> = delays_ms.iter().collect();
    assert!(distinct.len() > 100, "the delays are spread");
}

#[test]
fn retry_delays_include_the_load_time_of_a_copy() {
    let loading_copy = RetryInput {
        copy_ready_in_ms: 3_500,
        ..full_queue()
    };
    let late_copy = RetryInput {
        copy_ready_in_ms: 60_000,
        ..full_queue()
    };

    assert!(retry_delays_ms(5, loading_copy).iter().all(|t| *t >= 3_500));
    let last = retry_delays_ms(5, late_copy);
    assert!(last.iter().all(|t| (3_750..=5_000).contains(t)), "{last:?}");
}

/// Guards against an outdated dispatch rate: a slow engine dispatched one
/// request in two seconds, and after it had recovered, the next burst was still
/// rejected at the old rate.
#[test]
fn dispatch_rate_of_an_earlier_overload_does_not_lengthen_the_wait() {
    let mut queue = WaitQueue::default();
    let queue_key = QueueKey::of(&requirements(10, None));
    for at_ms in [0, 2_000, 4_000, 6_000] {
        queue.record_dispatch(at_ms, &queue_key);
    }
    let capacity = CapacityForecast {
        available_in_ms: 40.0,
        dispatch_interval_ms: 20.0,
    };

    let first_ms = queue.predicted_wait_ms(9_000, &queue_key, 0, capacity, 7);
    let third_ms = queue.predicted_wait_ms(9_000, &queue_key, 2, capacity, 7);

    assert_eq!(first_ms, 40, "waits only for capacity at the upstream");
    assert_eq!(
        third_ms,
        40 + 2 * 7 * 20,
        "and for the queue at this host's share"
    );
}

#[test]
fn dispatch_rate_above_the_equal_share_shortens_the_wait() {
    let mut queue = WaitQueue::default();
    let queue_key = QueueKey::of(&requirements(10, None));
    for at_ms in 0..1_000 {
        if at_ms % 20 == 0 {
            queue.record_dispatch(at_ms, &queue_key);
        }
    }
    let capacity = CapacityForecast {
        available_in_ms: 0.0,
        dispatch_interval_ms: 20.0,
    };

    let wait_ms = queue.predicted_wait_ms(1_000, &queue_key, 4, capacity, 7);

    assert!((80..=200).contains(&wait_ms), "{wait_ms}");
}

/// Guards against counting requests for adapters that are being loaded as
/// ahead: requests for the base model, which had capacity, were rejected because
/// of them.
#[test]
fn requests_awaiting_an_adapter_do_not_count_as_ahead() {
    let mut queue = WaitQueue::default();
    queue.push(QueuedRequest {
        requirements: requirements(10, Some("a1")),
        reason: NoUpstream::NoAdapter,
        ..request(1, 0, 0, 500)
    });

    assert_eq!(count_ahead(&queue, 10, None), 0);
}

#[test]
fn only_requests_for_the_same_copies_count_as_ahead() {
    let mut queue = WaitQueue::default();
    queue.push(QueuedRequest {
        requirements: requirements(10, Some("a1")),
        ..request(1, 0, 0, 500)
    });

    assert_eq!(count_ahead(&queue, 10, Some("a1")), 1);
    assert_eq!(count_ahead(&queue, 10, Some("a2")), 0);
    assert_eq!(count_ahead(&queue, 10, None), 0);
}

#[test]
fn capacity_forecast_uses_the_first_available_copy() {
    let mut fleet = fleet(vec![engine("e1", &[]), engine("e2", &[])]);
    let requirements = requirements(1_500, None);
    fleet.send(0, "e1", &requirements);
    fleet.send(0, "e1", &requirements);
    fleet.send(0, "e2", &requirements);
    let (registry, loads) = (&fleet.registry, &fleet.loads);

    let capacity = forecast_capacity(
        1,
        registry,
        loads,
        &requirements,
        &UpstreamFilter::default(),
    )
    .expect("copies");

    // Two prompts of 120 ms each, of which 180 ms may be in the backlog.
    assert!(
        (capacity.available_in_ms - 60.0).abs() < 1.0,
        "{capacity:?}"
    );
    assert!(
        (capacity.dispatch_interval_ms - 60.0).abs() < 1.0,
        "{capacity:?}"
    );
}

#[test]
fn ejected_upstream_is_not_in_the_capacity_forecast() {
    let mut fleet = fleet(vec![engine("e1", &[])]);
    let requirements = requirements(10, None);
    for _ in 0..EJECT_AFTER_FAILURES {
        let sent = fleet.send(0, "e1", &requirements);
        fleet.loads.on_end(0, &sent, AttemptOutcome::Failed);
    }

    let capacity = forecast_capacity(
        1,
        &fleet.registry,
        &fleet.loads,
        &requirements,
        &UpstreamFilter::default(),
    );

    assert_eq!(capacity, None);
}

/// Guards against repeated requests to an engine that refuses them: all hosts
/// had restarted and did not know which models were being unloaded. Each
/// request was sent four times to the refusing engine, which used up the retry
/// budget of all services.
#[test]
fn refused_weights_are_not_requested_again_during_the_backoff() {
    let mut fleet = fleet(vec![engine("e1", &["a1"]), engine("e2", &[])]);
    let (plain, with_a1) = (requirements(10, None), requirements(10, Some("a1")));
    let weights = plain.weights.clone().expect("weights");
    let id = UpstreamId::new("e1");
    // Twice, the first time together with a concurrent request.
    for at_ms in [0, 5, 30] {
        fleet.loads.on_refused(at_ms, &id, &weights);
    }

    for _ in 0..20 {
        let chosen = fleet.select(40, &plain, &UpstreamFilter::default());
        assert_eq!(chosen, Ok("e2".into()));
    }
    let other_weights = fleet.select(40, &with_a1, &UpstreamFilter::default());
    let (registry, loads) = (&fleet.registry, &fleet.loads);
    let only = UpstreamFilter {
        only: vec![UpstreamId::new("e1")],
        ..UpstreamFilter::default()
    };
    let capacity = forecast_capacity(40, registry, loads, &plain, &only).expect("a copy");
    let later = fleet.select(1_000, &plain, &only);

    assert_eq!(other_weights, Ok("e1".into()));
    assert!(
        (capacity.available_in_ms - 40.0).abs() < 1.0,
        "{capacity:?}"
    );
    assert_eq!(later, Ok("e1".into()));
}

/// Guards against streams that pause for longer than their objective allows: a
/// prompt several times as long as the others went to either copy at random, although
/// six streams ran at one of them and two at the other.
#[test]
fn long_prompt_goes_to_the_copy_with_fewer_running_streams() {
    let mut busy = engine("e1", &[]);
    let mut quiet = engine("e2", &[]);
    (busy.slots, quiet.slots) = (24, 24);
    let mut fleet = fleet(vec![busy, quiet]);
    let running = requirements(10, None);
    for (id, count) in [("e1", 6), ("e2", 2)] {
        for _ in 0..count {
            let mut sent = fleet.send(0, id, &running);
            fleet.loads.on_first_response(5, &mut sent);
        }
    }

    let long: Vec<_> = (0..40)
        .map(|_| fleet.select(7, &requirements(6_000, None), &UpstreamFilter::default()))
        .collect();
    let short: Vec<_> = (0..40)
        .map(|_| fleet.select(7, &requirements(900, None), &UpstreamFilter::default()))
        .collect();

    assert!(long.iter().all(|id| *id == Ok("e2".to_owned())), "{long:?}");
    assert!(
        short.contains(&Ok("e1".to_owned())),
        "short prompts use both"
    );
}

/// Guards against requests to an upstream that has left: its lapsed entry was used until
/// the next plan removed it, later than requests may be sent there.
#[test]
fn upstream_that_has_lapsed_for_longer_than_its_grace_period_takes_no_request() {
    let mut fleet = fleet(vec![engine("e1", &[])]);
    fleet.registry.remove("e1", Some(2_750), 1_000);
    let (requirements, filter) = (requirements(100, None), UpstreamFilter::default());

    let in_period = fleet.select(2_749, &requirements, &filter);
    let after = fleet.select(2_750, &requirements, &filter);

    assert_eq!(in_period, Ok("e1".to_owned()));
    assert_eq!(after, Err(NoUpstream::NoneListed));
}
