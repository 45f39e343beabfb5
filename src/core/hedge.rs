//! Whether a second attempt is made for a request whose first response is late.
//!
//! Load pattern: one upstream of a service is slow for half a second, is about to fail, or
//! is cut off, while the others have room. Requests that it has already received wait for
//! it, although another upstream would respond sooner.
//!
//! A request is late once it has waited for longer than most requests of its class
//! (`first_responses`). The share of requests that are late without any fault is half of
//! the share of second attempts that the operator allows; the other half is left for
//! faults. With the whole share, requests that were about to be served used up the limit
//! while one upstream in ten was slow, and the 99th percentile stayed as it was.
//!
//! Load pattern: the service as a whole is slow or full, or a burst of requests arrives.
//! Then all requests are late, and second attempts would add load and help none. There
//! is no second attempt while requests at the other upstreams are late as well, while the
//! slots are mostly taken, while any caller waits for the service, or beyond the limit.
//! The credit of the limit starts at zero and is earned by requests, so that at any time
//! the second attempts of a host are at most that share of its requests, and those of all
//! hosts at most that share of all requests, whether the hosts hear each other or not.
//!
//! Fault: a partition cuts a zone off. Upstreams there respond neither to the first nor to
//! a second attempt.

use std::collections::{BTreeSet, HashMap};

use super::balance::{Requirements, UpstreamFilter};
use super::ids::{UpstreamId, ZoneId};
use super::load::{Load, LoadTable};
use super::rate::DecayingRate;
use super::registry::{Entry, Registry};

/// Largest share of second attempts among requests that can be set.
pub const MAX_SHARE: f64 = 0.2;
/// Second attempts that can be saved up. Limits a burst of them after a quiet time to
/// what one slow upstream of a busy host makes late at once.
const MAX_CREDIT: f64 = 10.0;
/// Time constant for the share of late requests, in milliseconds. Upstreams are slow for
/// half a second at least, and a host sends them a few requests a second.
const LATE_SHARE_TIME_CONSTANT_MS: f64 = 2_000.0;
/// Share of late requests at the other upstreams from which the service as a whole is
/// slow: a second attempt is then nearly as likely to be late as the first.
const SLOW_SERVICE_SHARE: f64 = 0.3;
/// Requests at the other upstreams within the time constant that are needed to call the
/// service slow.
const MIN_EVIDENCE: f64 = 2.0;
/// Share of the slots in use from which the service is full. The rest is left to requests
/// that arrive while the second attempt runs.
const MAX_FILL: f64 = 0.75;

/// Share of requests that respond within the time after which a request is late, given
/// the largest share of second attempts.
pub fn late_quantile(max_share: f64) -> f64 {
    1.0 - max_share.clamp(0.0, MAX_SHARE) / 2.0
}

/// Time after which a request counts as late when the service is judged, in milliseconds:
/// that of most requests or the objective, whichever is earlier. A service that is slow for
/// minutes makes long times usual, but not good enough for callers.
pub fn late_after_ms(delay_ms: Option<u64>, objective_ms: u64) -> u64 {
    delay_ms.map_or(objective_ms, |ms| ms.min(objective_ms))
}

/// Reason for which there is no second attempt for a late request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoHedge {
    /// The route allows no further attempt.
    NoAttempt,
    /// The limit on second attempts is reached.
    Limit,
    /// The retry budget of the service is exhausted.
    RetryBudget,
    /// Requests at the other upstreams are late as well.
    ServiceSlow,
    /// Most slots of the service are taken.
    ServiceFull,
    /// Callers wait for the service.
    CallersWait,
    /// Too little time is left for a response.
    NoTime,
    /// No other upstream can take the request now.
    NoUpstream,
    /// The other upstreams may be cut off as well.
    SharedFault,
    /// The upstream's account, permits or places, or the quarantine, do not allow it.
    Denied,
}

impl NoHedge {
    /// Label in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoAttempt => "max_attempts",
            Self::Limit => "limit",
            Self::RetryBudget => "retry_budget",
            Self::ServiceSlow => "service_slow",
            Self::ServiceFull => "service_full",
            Self::CallersWait => "callers_wait",
            Self::NoTime => "no_time",
            Self::NoUpstream => "no_upstream",
            Self::SharedFault => "shared_fault",
            Self::Denied => "denied",
        }
    }
}

/// Credit for second attempts at one service.
#[derive(Clone, Copy, Debug, Default)]
pub struct HedgeCredit {
    available: f64,
}

impl HedgeCredit {
    /// Earns the share of one request.
    pub fn on_request(&mut self, max_share: f64) {
        let earned = max_share.clamp(0.0, MAX_SHARE);
        self.available = (self.available + earned).min(MAX_CREDIT);
    }

    /// True if there is credit for a second attempt.
    pub fn is_available(&self) -> bool {
        self.available >= 1.0
    }

    /// Uses the credit of a second attempt; false if there is none.
    pub fn try_take(&mut self) -> bool {
        let is_available = self.is_available();
        if is_available {
            self.available -= 1.0;
        }
        is_available
    }
}

/// Recent requests, and those among them that were late.
#[derive(Clone, Copy, Debug, Default)]
struct Lateness {
    all: DecayingRate,
    late: DecayingRate,
}

impl Lateness {
    fn add(&mut self, now_ms: u64, is_late: bool) {
        let late = f64::from(u8::from(is_late));
        self.all.add(now_ms, 1.0, LATE_SHARE_TIME_CONSTANT_MS);
        self.late.add(now_ms, late, LATE_SHARE_TIME_CONSTANT_MS);
    }

    /// Numbers of all and of late requests, decayed by age.
    fn counts(&self, now_ms: u64) -> (f64, f64) {
        let count = |rate: &DecayingRate| {
            let per_s = rate.per_second(now_ms, LATE_SHARE_TIME_CONSTANT_MS);
            per_s * LATE_SHARE_TIME_CONSTANT_MS / 1000.0
        };
        (count(&self.all), count(&self.late))
    }
}

/// Where the recent requests to one service were late.
#[derive(Clone, Debug, Default)]
pub struct LateRequests {
    total: Lateness,
    by_upstream: HashMap<UpstreamId, Lateness>,
}

impl LateRequests {
    /// Counts a request that has become late, or has had its first response before.
    pub fn record(&mut self, now_ms: u64, upstream: &UpstreamId, is_late: bool) {
        self.total.add(now_ms, is_late);
        match self.by_upstream.get_mut(upstream) {
            Some(lateness) => lateness.add(now_ms, is_late),
            None => {
                let mut lateness = Lateness::default();
                lateness.add(now_ms, is_late);
                self.by_upstream.insert(upstream.clone(), lateness);
            }
        }
    }

    /// Forgets the upstreams that are no longer listed.
    pub fn retain(&mut self, is_listed: impl Fn(&UpstreamId) -> bool) {
        self.by_upstream.retain(|id, _| is_listed(id));
    }

    /// True if requests at the upstreams other than this one are late as well.
    pub fn is_service_slow(&self, now_ms: u64, upstream: &UpstreamId) -> bool {
        let (all, late) = self.total.counts(now_ms);
        let here = self.by_upstream.get(upstream);
        let (all_here, late_here) = here.map_or((0.0, 0.0), |l| l.counts(now_ms));
        let others = all - all_here;
        others >= MIN_EVIDENCE && late - late_here > others * SLOW_SERVICE_SHARE
    }
}

/// Late attempt at an upstream that may be cut off.
#[derive(Clone, Debug)]
pub struct LateAttempt<T> {
    /// Zone of the upstream.
    pub zone: ZoneId,
    /// Time at which it was sent.
    pub sent_at: T,
}

/// Zones other than the own one from which nothing was heard since a late attempt was
/// sent there.
pub fn silent_zones<T>(
    own_zone: &ZoneId,
    late: &[LateAttempt<T>],
    registry: &Registry,
    is_heard_since: impl Fn(&Entry, &T) -> bool,
) -> BTreeSet<ZoneId> {
    let is_silent = |attempt: &&LateAttempt<T>| {
        let mut in_zone = registry.entries().filter(|e| e.zone == attempt.zone);
        attempt.zone != *own_zone && !in_zone.any(|e| is_heard_since(e, &attempt.sent_at))
    };
    let silent = late.iter().filter(is_silent);
    silent.map(|attempt| attempt.zone.clone()).collect()
}

/// Late request and what is known of its service.
#[derive(Clone, Copy, Debug)]
pub struct LateRequest<'a> {
    /// Upstream of the first attempt.
    pub upstream: &'a UpstreamId,
    /// Requirements on an upstream.
    pub requirements: &'a Requirements,
    /// Restriction of the attempts.
    pub filter: &'a UpstreamFilter,
    /// Time to the deadline, in milliseconds.
    pub time_left_ms: u64,
    /// Median time to the first response of its class, in milliseconds.
    pub median_ms: u64,
    /// True if there is credit for a second attempt.
    pub has_credit: bool,
    /// True if the retry budget allows a retry.
    pub has_retries: bool,
    /// True if a caller waits for the service.
    pub has_waiting: bool,
    /// Recent requests to the service.
    pub recent: &'a LateRequests,
    /// Zones that may be cut off.
    pub silent_zones: &'a BTreeSet<ZoneId>,
}

/// Upstreams to which a second attempt may be sent now.
pub fn hedge_targets(
    now_ms: u64,
    registry: &Registry,
    loads: &LoadTable,
    late: &LateRequest<'_>,
) -> Result<Vec<UpstreamId>, NoHedge> {
    if late.time_left_ms <= late.median_ms {
        return Err(NoHedge::NoTime);
    }
    if late.has_waiting {
        return Err(NoHedge::CallersWait);
    }
    if late.recent.is_service_slow(now_ms, late.upstream) {
        return Err(NoHedge::ServiceSlow);
    }
    if !late.has_credit {
        return Err(NoHedge::Limit);
    }
    if !late.has_retries {
        return Err(NoHedge::RetryBudget);
    }
    let requirements = late.requirements;
    let candidates: Vec<&Entry> = registry
        .of_service(&requirements.service)
        .filter(|e| registry.takes_requests(e, now_ms) && has_weights(e, requirements))
        .collect();
    if is_full(now_ms, loads, &candidates, requirements) {
        return Err(NoHedge::ServiceFull);
    }
    let is_free = |entry: &Entry| {
        entry.id != *late.upstream
            && late.filter.allows(&entry.id)
            && late.filter.allows_software(entry)
            && loads
                .get(entry.id.as_str())
                .is_none_or(|load| has_free_slot(now_ms, load, entry, requirements))
    };
    let (silent, free): (Vec<&Entry>, Vec<&Entry>) = candidates
        .into_iter()
        .filter(|e| is_free(e))
        .partition(|e| late.silent_zones.contains(&e.zone));
    if !free.is_empty() {
        return Ok(free.into_iter().map(|e| e.id.clone()).collect());
    }
    Err(if silent.is_empty() {
        NoHedge::NoUpstream
    } else {
        NoHedge::SharedFault
    })
}

fn has_weights(entry: &Entry, requirements: &Requirements) -> bool {
    let weights = requirements.weights.as_ref();
    weights.is_none_or(|w| entry.has_ready(&w.model, w.adapter.as_ref()))
}

/// Requests in flight at an upstream from all hosts.
pub fn requests_in_flight(now_ms: u64, load: &Load, requirements: &Requirements) -> u32 {
    if requirements.weights.is_some() {
        load.total(now_ms).requests
    } else {
        load.total_still_running(now_ms).requests
    }
}

/// True if most slots of the service are taken.
fn is_full(
    now_ms: u64,
    loads: &LoadTable,
    candidates: &[&Entry],
    requirements: &Requirements,
) -> bool {
    let slots: u32 = candidates.iter().map(|e| e.slots).sum();
    let known = candidates.iter().filter_map(|e| loads.get(e.id.as_str()));
    let requests: u32 = known
        .map(|load| requests_in_flight(now_ms, load, requirements))
        .sum();
    f64::from(requests) >= f64::from(slots) * MAX_FILL
}

fn has_free_slot(now_ms: u64, load: &Load, entry: &Entry, requirements: &Requirements) -> bool {
    let weights = requirements.weights.as_ref();
    let is_refusing = weights.is_some_and(|w| load.refusal_backoff_ms(now_ms, w) > 0);
    !load.is_ejected(now_ms)
        && !load.is_unresponsive(now_ms)
        && !is_refusing
        && load.unavailable_for_ms(now_ms) == 0
        && requests_in_flight(now_ms, load, requirements) < entry.slots
}
