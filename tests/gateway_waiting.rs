//! Order of waiting, replayed with the load that each rule answers.

use std::collections::BTreeMap;

use currantcove::core::balance::{CapacityForecast, NoUpstream, Requirements, UpstreamFilter};
use currantcove::core::first_arrival::StatedTimes;
use currantcove::core::ids::ServiceId;
use currantcove::core::load::RequestSize;
use currantcove::core::routing::Rng;
use currantcove::core::waiting::{
    OrderInput, QueueDecision, QueueKey, QueuedRequest, RETURNING_INTERVAL_FACTOR, RetryInput,
    RetrySchedule, WaitForecast, WaitQueue, admit,
};

fn requirements() -> Requirements {
    Requirements {
        service: ServiceId::new("charges"),
        weights: None,
        size: RequestSize::default(),
        cache_tokens: u64::MAX,
        max_prefill_ms: f64::MAX,
    }
}

/// Load of one kind of request at a host whose upstreams take one each `INTERVAL_MS`.
const INTERVAL_MS: u64 = 100;
const OBJECTIVE_MS: u64 = 1_000;
const DEADLINE_MS: u64 = 8_000;
/// Ten seconds with half as many requests again as upstreams take, then ten with fewer.
const PHASE_MS: u64 = 10_000;
const MEAN_ARRIVAL_MS: [usize; 2] = [67, 167];
const LENGTH_MS: u64 = 240_000;

/// What became of the callers.
#[derive(Debug, Default)]
struct Served {
    newcomers: u32,
    /// Served within the objective from their first arrival.
    in_time: u32,
    late: u32,
    returned: u32,
    refused_again: u32,
}

struct Caller {
    first_ms: u64,
    is_return: bool,
}

/// Replays minutes of bursts with callers who return once after the delay that they are told, but wait
/// at most a third of their time.
struct Replay {
    returning_first: bool,
    queue: WaitQueue,
    callers: BTreeMap<u64, Caller>,
    schedule: RetrySchedule,
    stated: StatedTimes,
    returns: BTreeMap<(u64, u64), u64>,
    next_room_ms: u64,
    served: Served,
    rng: Rng,
}

impl Replay {
    fn new(returning_first: bool) -> Self {
        Self {
            returning_first,
            queue: WaitQueue::default(),
            callers: BTreeMap::new(),
            schedule: RetrySchedule::default(),
            stated: StatedTimes::default(),
            returns: BTreeMap::new(),
            next_room_ms: 0,
            served: Served::default(),
            rng: Rng::new(5),
        }
    }

    fn run(mut self) -> Served {
        let mut next_arrival_ms = 0;
        let mut ticket = 0;
        for now_ms in 0..LENGTH_MS {
            let is_due = |(at_ms, _): &(&(u64, u64), &u64)| at_ms.0 <= now_ms;
            while let Some((key, first_ms)) = self.returns.iter().next().filter(is_due) {
                let (key, first_ms) = (*key, *first_ms);
                self.returns.remove(&key);
                ticket += 1;
                self.served.returned += 1;
                self.arrive(now_ms, ticket, first_ms, true);
            }
            if now_ms >= next_arrival_ms {
                let phase = (now_ms / PHASE_MS % 2) as usize;
                let interval_ms = self.rng.below(2 * MEAN_ARRIVAL_MS[phase]) as u64;
                next_arrival_ms = now_ms + 1 + interval_ms;
                ticket += 1;
                self.served.newcomers += 1;
                self.arrive(now_ms, ticket, now_ms, false);
            }
            self.dispatch(now_ms);
        }
        self.served
    }

    fn capacity(&self, now_ms: u64) -> CapacityForecast {
        CapacityForecast {
            available_in_ms: self.next_room_ms.saturating_sub(now_ms) as f64,
            dispatch_interval_ms: INTERVAL_MS as f64,
        }
    }

    fn arrive(&mut self, now_ms: u64, ticket: u64, first_ms: u64, is_return: bool) {
        let deadline_ms = first_ms + DEADLINE_MS;
        let stated_ms = deadline_ms - now_ms;
        let ago_ms = self
            .stated
            .record(now_ms, "r", Some(stated_ms), DEADLINE_MS);
        let inferred_ms = if self.returning_first {
            now_ms - ago_ms
        } else {
            now_ms
        };
        let due_ms = inferred_ms + OBJECTIVE_MS;
        let expires_ms = if inferred_ms < now_ms {
            deadline_ms
        } else {
            due_ms
        };
        let requirements = requirements();
        let queue_key = QueueKey::of(&requirements);
        let order = OrderInput {
            requirements: &requirements,
            priority: 0,
            arrived_ms: now_ms,
            first_arrived_ms: inferred_ms,
            due_ms,
            is_starved: false,
        };
        let ahead = self.queue.count_ahead(now_ms, order);
        let capacity = self.capacity(now_ms);
        let forecast = WaitForecast {
            reason: NoUpstream::Full,
            wait_ms: self
                .queue
                .predicted_wait_ms(now_ms, &queue_key, ahead, capacity, 1),
        };
        let caller = Caller {
            first_ms,
            is_return,
        };
        if admit(self.queue.len(), forecast, expires_ms - now_ms) == QueueDecision::Reject {
            self.refuse(now_ms, ticket, &caller, forecast.wait_ms);
            return;
        }
        self.callers.insert(ticket, caller);
        self.queue.push(QueuedRequest {
            ticket,
            requirements,
            filter: UpstreamFilter::default(),
            organisation: None,
            priority: 0,
            arrived_ms: now_ms,
            first_arrived_ms: inferred_ms,
            due_ms,
            expires_ms,
            is_starved: false,
            reason: NoUpstream::Full,
        });
    }

    fn refuse(&mut self, now_ms: u64, ticket: u64, caller: &Caller, wait_ms: u64) {
        if caller.is_return {
            self.served.refused_again += 1;
            return;
        }
        let factor = if self.returning_first {
            RETURNING_INTERVAL_FACTOR
        } else {
            1.0
        };
        let max_delay_ms = (caller.first_ms + DEADLINE_MS - now_ms) / 3;
        let input = RetryInput {
            wait_ms,
            copy_ready_in_ms: 0,
            dispatch_interval_ms: INTERVAL_MS as f64 * factor,
            max_delay_ms,
        };
        let queue_key = QueueKey::of(&requirements());
        let delay_ms = self
            .schedule
            .assign(now_ms, &queue_key, input, &mut self.rng);
        let delay_ms = delay_ms.min(max_delay_ms);
        self.returns
            .insert((now_ms + delay_ms, ticket), caller.first_ms);
    }

    fn dispatch(&mut self, now_ms: u64) {
        let mut has_room = now_ms >= self.next_room_ms;
        let round = self.queue.dispatch(now_ms, |_| {
            if std::mem::take(&mut has_room) {
                Ok(())
            } else {
                Err(NoUpstream::Full)
            }
        });
        for (ticket, ()) in round.dispatched {
            self.next_room_ms = now_ms + INTERVAL_MS;
            let caller = self.callers.remove(&ticket).expect("caller");
            if now_ms <= caller.first_ms + OBJECTIVE_MS {
                self.served.in_time += 1;
            } else {
                self.served.late += 1;
            }
        }
        for (ticket, _) in round.removed {
            let caller = self.callers.remove(&ticket).expect("caller");
            self.refuse(now_ms, ticket, &caller, INTERVAL_MS);
        }
    }
}

/// Guards against callers that return when they are told to and are refused again: they were
/// ordered like newcomers, so that nearly all of them met the same full queue a second time.
/// `Retry-After` is the time at which a caller is likely to be served.
#[test]
fn most_callers_that_return_in_bursts_are_served() {
    let before = Replay::new(false).run();
    let after = Replay::new(true).run();

    let refused = |s: &Served| f64::from(s.refused_again) / f64::from(s.returned);
    assert!(refused(&after) < 0.5, "{before:?} {after:?}");
    assert!(
        refused(&after) * 2.0 < refused(&before),
        "{before:?} {after:?}"
    );
    // Deployments may not fall by more than 0.03.
    assert!(
        value(&after) > value(&before) - 0.03,
        "{before:?} {after:?}"
    );
}

/// Mean value of a caller, with the values of the plan's unlock-charge.
fn value(served: &Served) -> f64 {
    (f64::from(served.in_time) + 0.3 * f64::from(served.late)) / f64::from(served.newcomers)
}

/// Guards against newcomers that are taken for callers that return, since some callers of the
/// route state less time than others from the start.
#[test]
fn callers_that_state_less_from_the_start_are_newcomers() {
    let mut stated = StatedTimes::default();
    let mut rng = Rng::new(3);
    let mut ago_ms = |now_ms, ms| stated.record(now_ms, "r", Some(ms), 30_000);
    for number in 0..60 {
        ago_ms(number * 100, 15_000);
        ago_ms(number * 100 + 30, 8_000 - rng.below(3) as u64);
        ago_ms(number * 100 + 60, 5_500 + 40 * number);
    }

    assert_eq!(ago_ms(7_000, 15_000), 0);
    assert_eq!(ago_ms(7_000, 7_999), 0);
    assert_eq!(ago_ms(7_000, 30_000), 0, "more than is common");
    assert_eq!(ago_ms(7_000, 7_000), 1_000);
    assert_eq!(ago_ms(7_000, 12_000), 3_000);
}

/// Guards against callers of a route without any statement so far, all of whom would count as
/// returning if the timeout of the route were what callers state at first.
#[test]
fn nobody_returns_while_too_little_is_known_of_a_route() {
    let mut stated = StatedTimes::default();

    let ago_ms: Vec<u64> = (0..10)
        .map(|number| stated.record(number * 100, "r", Some(1_500), 3_000))
        .collect();

    assert!(ago_ms.iter().all(|ms| *ms == 0), "{ago_ms:?}");
}
