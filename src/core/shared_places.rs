//! Places of one host at plain upstreams that it shares with the whole fleet.
//!
//! Load pattern: see `core::shared_account`, by which another host grants places. A request
//! is sent when its host has a place for it. Denied requests wait in the host's queue, and
//! the host has no further requests there until a place is granted.
//!
//! Fault: the keeper does not answer, because it has ended, is frozen or is cut off. The
//! host then sends within its equal share: no more requests a second than the upstream's
//! throughput over the number of hosts. Hosts take their first turns at different times.

use std::collections::BTreeMap;

use super::ids::{HostId, UpstreamId};
use super::rendezvous;
use super::shared_account::SharedReport;

/// Time without news after which a host that was denied a place asks again, in
/// milliseconds; the report that it waits, or a grant, was lost.
pub const DENIED_MS: u64 = 150;
/// Time in which a keeper that has not answered is asked nothing, in milliseconds.
pub const SILENT_MS: u64 = 200;
/// Time after which a granted place without a request is given back, in milliseconds; the
/// queue gives it to a request in its next round.
const MAX_SPARE_MS: u64 = 10;
/// Longest time between two reports while places are in use, in milliseconds.
const MAX_REPORT_INTERVAL_MS: u64 = 250;
/// Time between two reports while requests wait, in milliseconds.
const WAITING_REPORT_INTERVAL_MS: u64 = 150;
/// Limit of the waiting requests in a report.
pub const MAX_LISTED_WAITING: usize = 8;
/// Time of a request at an upstream assumed before the first sample, in milliseconds.
const INITIAL_RESPONSE_MS: f64 = 50.0;
/// Weight of a new sample in moving averages.
const EWMA_WEIGHT: f64 = 0.15;
/// Requests that one host may send at once after a pause without its keeper.
const MAX_BALANCE: f64 = 1.0;

/// Urgency of requests for weights or streams that precede all others.
const STARVED: i64 = -3_600_000;
/// Added to the urgency of requests that can no longer meet their objective.
const LATE: i64 = 3_600_000;

/// Urgency of a waiting request, in milliseconds from now; the lowest is served first.
/// The order is that of a host's queue (`core::waiting`).
pub fn urgency(
    now_ms: u64,
    is_starved: bool,
    due_ms: u64,
    penalty_ms: u64,
    arrived_ms: u64,
) -> i64 {
    let from_now = |at_ms: u64| at_ms.cast_signed() - now_ms.cast_signed();
    if is_starved {
        STARVED + from_now(arrived_ms)
    } else if now_ms > due_ms {
        LATE + from_now(arrived_ms)
    } else {
        from_now(due_ms + penalty_ms)
    }
}

/// Upstream as known to its host.
#[derive(Clone, Copy, Debug)]
pub struct SharedUpstream<'a> {
    /// ID.
    pub id: &'a UpstreamId,
    /// Start of its incarnation, in milliseconds since the epoch.
    pub started_ms: u64,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Moving average of the time that a request takes there, in milliseconds; 0 if
    /// unknown.
    pub response_ms: f64,
}

/// Requests a second without a keeper.
#[derive(Clone, Copy, Debug)]
struct EqualShare {
    balance: f64,
    refilled_ms: u64,
}

#[derive(Clone, Debug, Default)]
struct Places {
    started_ms: u64,
    slots: u32,
    response_ms: f64,
    keeper: Option<HostId>,
    seen_grant: u64,
    in_use: u32,
    /// Granted places without a request.
    spare: u32,
    granted_ms: u64,
    /// Time until which no request is sent without a grant.
    denied_until_ms: Option<u64>,
    /// True after the time of a denial has passed, until the next answer.
    is_probing: bool,
    silent_until_ms: u64,
    share: Option<EqualShare>,
    rejections: u32,
    answer_ms: Option<f64>,
    reported_ms: u64,
    /// True if the last report differs from the one before, which may have been lost.
    is_repeat_due: bool,
    /// Waiting requests in the last report.
    reported_waiting: Vec<i64>,
}

/// Places of one host.
#[derive(Clone, Debug)]
pub struct SharedPlaces {
    host: HostId,
    host_started_ms: u64,
    last_sequence: u64,
    places: BTreeMap<UpstreamId, Places>,
}

impl SharedPlaces {
    /// Places of a process that has none.
    pub fn new(host: HostId, host_started_ms: u64) -> Self {
        Self {
            host,
            host_started_ms,
            last_sequence: 0,
            places: BTreeMap::new(),
        }
    }

    fn at(&mut self, upstream: SharedUpstream<'_>) -> &mut Places {
        let places = self.places.entry(upstream.id.clone()).or_default();
        if places.started_ms != upstream.started_ms {
            *places = Places {
                started_ms: upstream.started_ms,
                ..Places::default()
            };
        }
        places.slots = upstream.slots;
        places.response_ms = upstream.response_ms;
        places
    }

    /// Takes a granted place for a request, if there is one.
    pub fn take_spare(&mut self, upstream: SharedUpstream<'_>) -> bool {
        let places = self.at(upstream);
        if places.spare == 0 {
            return false;
        }
        places.spare -= 1;
        places.in_use += 1;
        true
    }

    /// True while the keeper of an upstream is asked nothing.
    pub fn is_silent(&self, now_ms: u64, upstream: &UpstreamId) -> bool {
        let places = self.places.get(upstream);
        places.is_some_and(|p| now_ms < p.silent_until_ms)
    }

    /// Takes over a grant of a keeper; false if it is known already.
    pub fn on_grant(
        &mut self,
        now_ms: u64,
        upstream: &UpstreamId,
        keeper: &HostId,
        number: u64,
    ) -> bool {
        let Some(places) = self.places.get_mut(upstream) else {
            return false;
        };
        places.set_keeper(keeper);
        if number <= places.seen_grant {
            return false;
        }
        places.seen_grant = number;
        places.spare += 1;
        places.granted_ms = now_ms;
        places.silent_until_ms = 0;
        true
    }

    /// Records that the keeper has answered a question after a time. If it has granted no
    /// place, this host sends only with grants for a while.
    pub fn on_answer(
        &mut self,
        now_ms: u64,
        upstream: &UpstreamId,
        took_ms: u64,
        is_granted: bool,
    ) {
        let Some(places) = self.places.get_mut(upstream) else {
            return;
        };
        let took_ms = took_ms as f64;
        let average = places.answer_ms.get_or_insert(took_ms);
        *average += (took_ms - *average) * EWMA_WEIGHT;
        places.silent_until_ms = 0;
        places.share = None;
        places.is_probing = false;
        places.denied_until_ms = (!is_granted).then_some(now_ms + DENIED_MS);
    }

    /// Records that the keeper has not answered: `None` if a request may be sent within the
    /// host's equal share, otherwise the time after which it may.
    pub fn on_unanswered(
        &mut self,
        now_ms: u64,
        upstream: SharedUpstream<'_>,
        hosts: usize,
    ) -> Option<u64> {
        let phase = rendezvous::weight(
            rendezvous::hash(upstream.id.as_str()),
            rendezvous::hash(self.host.as_str()),
        );
        let places = self.at(upstream);
        if now_ms >= places.silent_until_ms {
            places.silent_until_ms = now_ms + SILENT_MS;
        }
        let response_ms = if places.response_ms > 0.0 {
            places.response_ms
        } else {
            INITIAL_RESPONSE_MS
        };
        let per_ms = f64::from(places.slots.max(1)) / response_ms / hosts.max(1) as f64;
        let share = places.share.get_or_insert(EqualShare {
            balance: (phase % 1_000) as f64 / 1_000.0,
            refilled_ms: now_ms,
        });
        let gained = now_ms.saturating_sub(share.refilled_ms) as f64 * per_ms;
        share.balance = (share.balance + gained).min(MAX_BALANCE);
        share.refilled_ms = now_ms;
        // The tolerance covers the rounding of sums.
        if share.balance >= MAX_BALANCE - 1e-6 {
            share.balance -= 1.0;
            places.in_use += 1;
            places.denied_until_ms = None;
            return None;
        }
        let wait_ms = (((1.0 - share.balance) / per_ms).ceil() as u64).max(1);
        places.denied_until_ms = Some(now_ms + wait_ms);
        places.is_probing = false;
        Some(wait_ms)
    }

    /// Requests that this host may have there now; `None` if it may ask for any number.
    pub fn limit(&mut self, now_ms: u64, upstream: &UpstreamId) -> Option<u32> {
        let places = self.places.get_mut(upstream)?;
        if places
            .denied_until_ms
            .take_if(|until_ms| now_ms >= *until_ms)
            .is_some()
        {
            places.is_probing = true;
        }
        let held = places.in_use + places.spare;
        match (places.denied_until_ms, places.is_probing) {
            (Some(_), _) => Some(held),
            (None, true) => Some(held + 1),
            (None, false) => None,
        }
    }

    /// Gives a place back.
    pub fn release(&mut self, upstream: &UpstreamId, started_ms: u64) {
        let places = self.places.get_mut(upstream);
        if let Some(places) = places.filter(|p| p.started_ms == started_ms) {
            places.in_use = places.in_use.saturating_sub(1);
        }
    }

    /// Upstreams with granted places that no request has taken for a while.
    pub fn unused(&self, now_ms: u64) -> Vec<UpstreamId> {
        let is_unused = |p: &Places| p.spare > 0 && now_ms >= p.granted_ms + MAX_SPARE_MS;
        let unused = self.places.iter().filter(|(_, p)| is_unused(p));
        unused.map(|(id, _)| id.clone()).collect()
    }

    /// Gives back granted places that no request needs; true if there were any.
    pub fn return_spare(&mut self, upstream: &UpstreamId) -> bool {
        let places = self.places.get_mut(upstream);
        places.is_some_and(|p| std::mem::take(&mut p.spare) > 0)
    }

    /// Counts a request that the upstream rejected for want of room.
    pub fn on_rejected(&mut self, upstream: SharedUpstream<'_>) {
        self.at(upstream).rejections += 1;
    }

    /// Report to a keeper, with the urgency of the most urgent waiting requests.
    pub fn report(
        &mut self,
        now_ms: u64,
        upstream: SharedUpstream<'_>,
        keeper: &HostId,
        waiting: &[i64],
    ) -> SharedReport {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let (host, host_started_ms) = (self.host.clone(), self.host_started_ms);
        let places = self.at(upstream);
        places.set_keeper(keeper);
        places.is_repeat_due = true;
        places.reported_ms = now_ms;
        let mut waiting = waiting.to_vec();
        waiting.sort_unstable();
        waiting.truncate(MAX_LISTED_WAITING);
        places.reported_waiting.clone_from(&waiting);
        SharedReport {
            host,
            host_started_ms,
            upstream: upstream.id.clone(),
            started_ms: upstream.started_ms,
            slots: upstream.slots,
            sequence,
            held: places.in_use + places.spare,
            seen_grant: places.seen_grant,
            waiting,
            rejections: places.rejections,
            answer_ms: places.answer_ms.map(|ms| ms.round() as u32),
            response_ms: places.response_ms.round() as u32,
        }
    }

    /// True if the keeper of an upstream has to know of the waiting requests at once: there
    /// are some for the first time or none any more, or one is more urgent than all before.
    pub fn is_report_needed(&self, now_ms: u64, upstream: &UpstreamId, waiting: &[i64]) -> bool {
        let Some(places) = self.places.get(upstream) else {
            return false;
        };
        let age_ms = now_ms.saturating_sub(places.reported_ms).cast_signed();
        let reported = places.reported_waiting.first().map(|w| w - age_ms);
        match (reported, waiting.iter().min()) {
            (None, None) => false,
            (Some(reported), Some(first)) => *first < reported,
            _ => true,
        }
    }

    /// Upstreams of which the keepers are to be told without a change: places are in use,
    /// requests wait, the last report may have been lost (true), or there is another keeper.
    pub fn due(
        &mut self,
        now_ms: u64,
        keeper_of: impl Fn(&UpstreamId) -> Option<HostId>,
    ) -> Vec<(UpstreamId, bool)> {
        let mut due = Vec::new();
        for (upstream, places) in &mut self.places {
            let held = places.in_use + places.spare;
            let is_waiting = !places.reported_waiting.is_empty();
            let interval_ms = if is_waiting {
                WAITING_REPORT_INTERVAL_MS
            } else {
                MAX_REPORT_INTERVAL_MS
            };
            let is_old = now_ms >= places.reported_ms + interval_ms;
            let is_used = held > 0 || is_waiting;
            let is_moved = is_used && keeper_of(upstream) != places.keeper;
            let is_repeated = !is_used && is_old && std::mem::take(&mut places.is_repeat_due);
            if is_moved || (is_old && is_used) || is_repeated {
                due.push((upstream.clone(), is_repeated));
            }
        }
        due
    }

    /// Records that the last report on an upstream was a repetition.
    pub fn on_repeated(&mut self, upstream: &UpstreamId) {
        if let Some(places) = self.places.get_mut(upstream) {
            places.is_repeat_due = false;
        }
    }

    /// True if nothing is to be reported.
    pub fn is_idle(&self) -> bool {
        let is_idle = |p: &Places| {
            p.in_use + p.spare == 0 && !p.is_repeat_due && p.reported_waiting.is_empty()
        };
        self.places.values().all(is_idle)
    }

    /// Requests with a place, and places without a request.
    pub fn held(&self, upstream: &UpstreamId) -> (u32, u32) {
        let places = self.places.get(upstream);
        places.map_or((0, 0), |p| (p.in_use, p.spare))
    }

    /// Forgets an upstream that is gone.
    pub fn remove(&mut self, upstream: &UpstreamId) {
        self.places.remove(upstream);
    }
}

impl Places {
    fn set_keeper(&mut self, keeper: &HostId) {
        if self.keeper.as_ref() != Some(keeper) {
            self.keeper = Some(keeper.clone());
            // Grants are numbered by each keeper.
            self.seen_grant = 0;
            self.silent_until_ms = 0;
        }
    }
}
