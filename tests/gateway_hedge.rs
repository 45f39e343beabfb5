//! Second attempts for late requests, under the loads that they answer.

mod common;

use std::collections::BTreeSet;

use common::entry;
use currantcove::core::balance::{Requirements, UpstreamFilter};
use currantcove::core::first_responses::{FirstResponses, ResponseClass};
use currantcove::core::hedge::{
    HedgeCredit, LateAttempt, LateRequest, LateRequests, NoHedge, hedge_targets, late_after_ms,
    late_quantile, silent_zones,
};
use currantcove::core::ids::{ServiceId, SoftwareVersion, UpstreamId, ZoneId};
use currantcove::core::load::{AttemptOutcome, LoadTable, RequestSize};
use currantcove::core::registry::{Entry, Registry};
use currantcove::core::routing::Rng;

const UPSTREAMS: usize = 10;
const SLOTS: u32 = 4;
/// Response times of an upstream without a fault, in milliseconds.
const USUAL_MS: std::ops::Range<u64> = 20..40;
/// Objective of callers, in milliseconds.
const OBJECTIVE_MS: u64 = 300;
/// Time that a slow upstream adds, in milliseconds.
const SLOW_MS: u64 = 400;

fn requirements() -> Requirements {
    Requirements {
        service: ServiceId::new("s"),
        weights: None,
        size: RequestSize::default(),
        cache_tokens: u64::MAX,
        max_prefill_ms: f64::MAX,
    }
}

/// One service and what a host knows of it.
struct Fixture {
    registry: Registry,
    loads: LoadTable,
    recent: LateRequests,
    credit: HedgeCredit,
    times: FirstResponses,
    filter: UpstreamFilter,
    silent_zones: BTreeSet<ZoneId>,
    has_waiting: bool,
    rng: Rng,
    now_ms: u64,
    requests: u32,
    hedges: u32,
}

fn fixture(entries: Vec<Entry>) -> Fixture {
    let mut registry = Registry::default();
    registry.replace(entries, None, 0);
    Fixture {
        registry,
        loads: LoadTable::default(),
        recent: LateRequests::default(),
        credit: HedgeCredit::default(),
        times: FirstResponses::default(),
        filter: UpstreamFilter::default(),
        silent_zones: BTreeSet::new(),
        has_waiting: false,
        rng: Rng::new(7),
        now_ms: 0,
        requests: 0,
        hedges: 0,
    }
}

fn upstreams() -> Vec<Entry> {
    let id = |number| format!("u{number}");
    (0..UPSTREAMS).map(|n| entry(&id(n), "s", SLOTS)).collect()
}

impl Fixture {
    fn targets(&self, late: &str) -> Result<Vec<UpstreamId>, NoHedge> {
        let requirements = requirements();
        let late = LateRequest {
            upstream: &UpstreamId::new(late),
            requirements: &requirements,
            filter: &self.filter,
            time_left_ms: 1_000,
            median_ms: 30,
            has_credit: self.credit.is_available(),
            has_retries: true,
            has_waiting: self.has_waiting,
            recent: &self.recent,
            silent_zones: &self.silent_zones,
        };
        hedge_targets(self.now_ms, &self.registry, &self.loads, &late)
    }

    /// Earns the credit of one second attempt.
    fn earn_credit(&mut self) {
        while !self.credit.is_available() {
            self.credit.on_request(0.1);
        }
    }

    fn response_ms(&mut self, upstream: usize, is_slow: impl Fn(usize) -> bool) -> u64 {
        let spread = (USUAL_MS.end - USUAL_MS.start) as usize;
        let usual_ms = USUAL_MS.start + self.rng.below(spread) as u64;
        usual_ms + if is_slow(upstream) { SLOW_MS } else { 0 }
    }

    /// Sends requests to all upstreams in turn; returns the time that each took. The limit
    /// is checked after each of them.
    fn offer(
        &mut self,
        count: usize,
        interval_ms: u64,
        max_share: f64,
        is_slow: impl Fn(usize) -> bool,
    ) -> Vec<u64> {
        let mut took_ms = Vec::new();
        for number in 0..count {
            self.now_ms += interval_ms;
            let first = number % UPSTREAMS;
            let upstream = UpstreamId::new(&format!("u{first}"));
            self.requests += 1;
            self.credit.on_request(max_share);
            let class = ResponseClass::of(&ServiceId::new("s"), 0, 0, SLOTS);
            let quantile = late_quantile(max_share);
            let delay_ms = self.times.quantile_ms(self.now_ms, &class, quantile);
            let mut response_ms = self.response_ms(first, &is_slow);
            let is_late = delay_ms.is_some_and(|delay_ms| response_ms > delay_ms);
            let late_after_ms = late_after_ms(delay_ms, OBJECTIVE_MS);
            self.recent
                .record(self.now_ms, &upstream, response_ms > late_after_ms);
            if let Some(delay_ms) = delay_ms.filter(|_| is_late)
                && let Ok(targets) = self.targets(upstream.as_str())
                && self.credit.try_take()
            {
                self.hedges += 1;
                let target = self.rng.below(targets.len());
                let second: usize = targets[target].as_str()[1..].parse().expect("a number");
                let second_ms = delay_ms + self.response_ms(second, &is_slow);
                response_ms = response_ms.min(second_ms);
            }
            self.times.record(self.now_ms, &class, response_ms);
            took_ms.push(response_ms);
            let limit = f64::from(self.requests) * max_share;
            assert!(f64::from(self.hedges) <= limit, "{} > {limit}", self.hedges);
        }
        took_ms
    }
}

fn percentile(mut times_ms: Vec<u64>, share: f64) -> u64 {
    times_ms.sort_unstable();
    times_ms[(times_ms.len() as f64 * share) as usize]
}

/// Guards against a tail that second attempts do not cut.
#[test]
fn one_slow_upstream_does_not_make_the_tail() {
    let tail_ms = |max_share: f64| {
        let mut fixture = fixture(upstreams());
        fixture.offer(1_000, 10, max_share, |_| false);
        percentile(fixture.offer(1_000, 10, max_share, |u| u == 3), 0.99)
    };

    let (before_ms, after_ms) = (tail_ms(0.0), tail_ms(0.2));

    assert!(before_ms >= SLOW_MS, "{before_ms} ms");
    assert!(after_ms <= 2 * USUAL_MS.end, "{after_ms} ms");
}

/// Guards against extra load on a service all of whose upstreams are slow.
#[test]
fn a_service_that_is_slow_as_a_whole_gets_no_second_attempts() {
    let mut fixture = fixture(upstreams());
    fixture.offer(1_000, 10, 0.1, |_| false);
    fixture.offer(100, 10, 0.1, |_| true);
    let hedges = fixture.hedges;

    fixture.offer(300, 10, 0.1, |_| true);

    assert_eq!(fixture.hedges, hedges);
}

/// Guards against a burst in which requests use up more than the limit (checked by `offer`
/// after each request), although each of them is late.
#[test]
fn a_burst_of_late_requests_keeps_the_limit() {
    for max_share in [0.01, 0.05, 0.2] {
        let mut fixture = fixture(upstreams());
        fixture.offer(2_000, 10, max_share, |_| false);
        let hedges = fixture.hedges;

        fixture.offer(500, 0, max_share, |u| u < 3);

        assert!(fixture.hedges > hedges, "{max_share}");
    }
}

/// Guards against second attempts that take the room that callers wait for in a storm of
/// retries, or that is left of a full service.
#[test]
fn waiting_callers_and_full_services_come_first() {
    let mut fixture = fixture(upstreams());
    fixture.earn_credit();
    assert!(fixture.targets("u0").is_ok());

    fixture.has_waiting = true;
    let waiting = fixture.targets("u0");
    fixture.has_waiting = false;
    // Three quarters of the slots.
    for number in 0..UPSTREAMS as u32 * 3 {
        let upstream = UpstreamId::new(&format!("u{}", number % UPSTREAMS as u32));
        fixture.loads.on_sent(0, &upstream, RequestSize::default());
    }
    let full = fixture.targets("u0");

    assert_eq!(waiting, Err(NoHedge::CallersWait));
    assert_eq!(full, Err(NoHedge::ServiceFull));
}

/// Guards against a second attempt at an upstream that is no candidate for the request,
/// has failed, wants no requests, or has no free slot.
#[test]
fn second_attempts_go_to_upstreams_that_can_take_them() {
    let other_version = Entry {
        software: Some(SoftwareVersion::new("v2")),
        ..entry("version", "s", SLOTS)
    };
    let draining = Entry {
        is_draining: true,
        ..entry("draining", "s", SLOTS)
    };
    let others = ["late", "tried", "failed", "closed", "taken", "good"];
    let others = others.map(|id| entry(id, "s", SLOTS));
    let mut fixture = fixture([&[other_version, draining][..], &others[..]].concat());
    fixture.earn_credit();
    fixture.filter.software = Some(SoftwareVersion::new("v1"));
    fixture.filter.excluded = vec![UpstreamId::new("tried")];
    fixture.loads.close(&UpstreamId::new("closed"), 500);
    let size = RequestSize::default();
    for _ in 0..SLOTS {
        fixture.loads.on_sent(0, &UpstreamId::new("taken"), size);
        let sent = fixture.loads.on_sent(0, &UpstreamId::new("failed"), size);
        fixture.loads.on_end(0, &sent, AttemptOutcome::Unreachable);
    }

    let targets = fixture.targets("late");

    assert_eq!(targets, Ok(vec![UpstreamId::new("good")]));
}

/// Guards against a second attempt in the zone that a partition has cut off, and against
/// taking every late attempt for a partition.
#[test]
fn second_attempts_avoid_zones_that_are_silent() {
    let in_zone = |id: &str, zone: &str| Entry {
        zone: ZoneId::new(zone),
        ..entry(id, "s", SLOTS)
    };
    let mut fixture = fixture(vec![in_zone("b1", "b"), in_zone("b2", "b")]);
    fixture.earn_credit();
    let late = [LateAttempt {
        zone: ZoneId::new("b"),
        sent_at: 100,
    }];
    let silent_if = |own: &str, heard_ms: u64| {
        let is_heard = |entry: &Entry, since: &u64| entry.id.as_str() == "b2" && heard_ms > *since;
        silent_zones(&ZoneId::new(own), &late, &fixture.registry, is_heard)
    };

    let (silent, heard, own) = (silent_if("a", 90), silent_if("a", 110), silent_if("b", 90));
    fixture.silent_zones = silent;
    let targets = fixture.targets("b1");

    assert_eq!(targets, Err(NoHedge::SharedFault));
    assert!(heard.is_empty(), "the zone still responds");
    assert!(
        own.is_empty(),
        "a partition cuts no host off from its own zone"
    );
}

/// Guards against one time for all: a long prompt or a busy upstream is not late where a
/// short prompt at an idle one is, and few or old samples tell nothing.
#[test]
fn the_usual_time_depends_on_size_and_load() {
    let mut times = FirstResponses::default();
    let class = |tokens, in_flight| ResponseClass::of(&ServiceId::new("s"), tokens, in_flight, 4);
    let samples = [
        (class(100, 0), 10),
        (class(100, 3), 50),
        (class(4_000, 0), 250),
    ];
    for (class, took_ms) in &samples {
        for number in 0..100 {
            times.record(number, class, *took_ms);
        }
    }
    times.record(0, &class(900, 0), 1);

    let usual_ms = |now_ms, class| times.quantile_ms(now_ms, &class, 0.9);

    for (class, took_ms) in samples {
        assert_eq!(usual_ms(100, class.clone()), Some(took_ms));
        assert_eq!(usual_ms(1_000_000, class), None, "outdated");
    }
    assert_eq!(usual_ms(100, class(900, 0)), None, "one sample");
    let at_unknown_load = usual_ms(100, class(100, 2));
    assert_eq!(at_unknown_load, Some(50), "of the same size at any load");
}
