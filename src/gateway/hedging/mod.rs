//! Second attempts for requests whose first response is late (`core::hedge`).
//!
//! Off unless the settings name routes. Requests of these routes that may be repeated are
//! watched: the time to their first response is measured, and once it exceeds that of most
//! requests of their class a second attempt may be sent to another upstream (`race`). A
//! stream is watched until its first event. `sending` is what differs between streams
//! and other requests.

mod race;
mod sending;

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::rc::Rc;
use std::time::{Duration, Instant};

pub(super) use self::sending::{Exchange, Opening};
use super::call::{Attempts, RoutedRequest};
use super::place::InFlightAttempt;
use super::platform::Platform;
use super::state::Gateway;
use crate::core::first_responses::{FirstResponses, ResponseClass};
use crate::core::hedge::{
    HedgeCredit, LateAttempt, LateRequest, LateRequests, NoHedge, hedge_targets, late_quantile,
    requests_in_flight, silent_zones,
};
use crate::core::ids::{ServiceId, UpstreamId, ZoneId};
use crate::core::load::{AttemptOutcome, UNRESPONSIVE_AFTER_MS};
use crate::core::registry::Entry;

/// Share of the requests of a class whose response time is taken as the usual one.
const MEDIAN: f64 = 0.5;

/// What is known of the requests to one service.
#[derive(Debug, Default)]
struct ServiceState {
    credit: HedgeCredit,
    recent: LateRequests,
}

/// Measured response times, limits and late requests of this host.
#[derive(Debug, Default)]
pub struct HedgeDesk {
    times: RefCell<FirstResponses>,
    services: RefCell<HashMap<ServiceId, ServiceState>>,
    /// Since when upstreams whose requests were served elsewhere have sent nothing, and
    /// when the last of these requests was.
    silent_since: RefCell<HashMap<UpstreamId, (Instant, Instant)>>,
    /// Attempts that are late now.
    late: RefCell<HashMap<u64, LateAttempt<Instant>>>,
    last_number: Cell<u64>,
}

impl HedgeDesk {
    fn with_service<T>(
        &self,
        service: &ServiceId,
        operation: impl FnOnce(&mut ServiceState) -> T,
    ) -> T {
        let mut services = self.services.borrow_mut();
        operation(services.entry(service.clone()).or_default())
    }
}

/// Attempt that is watched until its first response or its end.
struct WatchedAttempt<P: Platform> {
    gateway: Rc<Gateway<P>>,
    number: u64,
    service: ServiceId,
    upstream: UpstreamId,
    zone: ZoneId,
    class: ResponseClass,
    max_share: f64,
    sent_at: Instant,
    sent_ms: u64,
    /// Time after which it is late; none if that is not known.
    delay_ms: Option<u64>,
    median_ms: u64,
    is_late: Cell<bool>,
    has_responded: Cell<bool>,
}

impl<P: Platform> WatchedAttempt<P> {
    fn record(&self, is_late: bool) {
        let now_ms = self.gateway.now_ms();
        self.gateway.hedges.with_service(&self.service, |state| {
            state.recent.record(now_ms, &self.upstream, is_late);
        });
    }

    /// Records that it has waited for longer than is usual.
    fn mark_late(&self) {
        self.is_late.set(true);
        self.record(true);
        let attempt = LateAttempt {
            zone: self.zone.clone(),
            sent_at: self.sent_at,
        };
        let mut late = self.gateway.hedges.late.borrow_mut();
        late.insert(self.number, attempt);
    }
}

impl<P: Platform> Drop for WatchedAttempt<P> {
    fn drop(&mut self) {
        let now_ms = self.gateway.now_ms();
        if self.is_late.get() {
            self.gateway.hedges.late.borrow_mut().remove(&self.number);
        } else if self.has_responded.get() {
            self.record(false);
        }
        let took_ms = now_ms.saturating_sub(self.sent_ms);
        // The response of a late attempt that was given up would have taken longer still.
        // Its time so far counts, since the quantile would sink otherwise.
        let is_beyond_delay = self.is_late.get() && self.delay_ms.is_none_or(|d| took_ms >= d);
        if self.has_responded.get() || is_beyond_delay {
            let mut times = self.gateway.hedges.times.borrow_mut();
            times.record(now_ms, &self.class, took_ms);
        }
    }
}

impl<P: Platform> Gateway<P> {
    /// Largest share of second attempts for a request, if there may be any.
    fn hedged_share(&self, request: &RoutedRequest) -> Option<f64> {
        let settings = self.settings();
        let hedging = settings.hedging.as_ref()?;
        let is_hedged = hedging.max_share > 0.0 && hedging.routes.contains(&request.route);
        let may_repeat = request.kind.is_repeatable() && !request.is_trial;
        (is_hedged && may_repeat).then_some(hedging.max_share)
    }

    /// Watches an attempt if there may be a second one for its request.
    fn watch_attempt(
        self: &Rc<Self>,
        request: &RoutedRequest,
        attempts: &mut Attempts,
        in_flight: &InFlightAttempt<P>,
    ) -> Option<WatchedAttempt<P>> {
        let max_share = self.hedged_share(request)?;
        let service = &request.requirements.service;
        if !std::mem::replace(&mut attempts.is_counted_for_hedges, true) {
            self.hedges
                .with_service(service, |state| state.credit.on_request(max_share));
        }
        let now_ms = self.now_ms();
        let upstream = &in_flight.sent.upstream;
        let (zone, class) = {
            let (registry, loads) = (self.registry.borrow(), self.loads.borrow());
            let entry = registry.get(upstream.as_str())?;
            let requirements = &request.requirements;
            let load = loads.get(upstream.as_str());
            let requests = load.map_or(1, |l| requests_in_flight(now_ms, l, requirements));
            // Without the request itself.
            let others = requests.saturating_sub(1);
            let tokens = requirements.size.prompt_tokens;
            let class = ResponseClass::of(service, tokens, others, entry.slots);
            (entry.zone.clone(), class)
        };
        let times = self.hedges.times.borrow();
        let delay_ms = times.quantile_ms(now_ms, &class, late_quantile(max_share));
        let median_ms = times.quantile_ms(now_ms, &class, MEDIAN);
        drop(times);
        let number = self.hedges.last_number.get() + 1;
        self.hedges.last_number.set(number);
        Some(WatchedAttempt {
            gateway: Rc::clone(self),
            number,
            service: service.clone(),
            upstream: upstream.clone(),
            zone,
            class,
            max_share,
            sent_at: Instant::now(),
            sent_ms: now_ms,
            delay_ms,
            median_ms: median_ms.unwrap_or(0),
            is_late: Cell::new(false),
            has_responded: Cell::new(false),
        })
    }

    /// What a first attempt whose request was served by the second says of its upstream. One
    /// that sends nothing for a time would never be ejected if all its requests were served
    /// elsewhere; one that was slow for half a second has not failed.
    fn overtaken_outcome(&self, watched: &WatchedAttempt<P>) -> AttemptOutcome {
        let registry = self.registry.borrow();
        let Some(entry) = registry.get(watched.upstream.as_str()) else {
            return AttemptOutcome::Neutral;
        };
        let mut silent_since = self.hedges.silent_since.borrow_mut();
        silent_since.retain(|id, _| registry.get(id.as_str()).is_some());
        let limit = Duration::from_millis(UNRESPONSIVE_AFTER_MS);
        let now = Instant::now();
        let (since, last) = silent_since
            .entry(watched.upstream.clone())
            .or_insert((watched.sent_at, now));
        // Without requests in between, silence says nothing.
        let has_gap = watched.sent_at.saturating_duration_since(*last) > limit;
        if has_gap || self.pool.has_heard_from(entry.addr, *since) {
            *since = watched.sent_at;
        }
        *last = now;
        if now.saturating_duration_since(*since) > limit {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Neutral
        }
    }

    /// Upstreams to which a second attempt for a late request may be sent.
    fn find_hedge_targets(
        &self,
        request: &RoutedRequest,
        attempts: &Attempts,
        watched: &WatchedAttempt<P>,
    ) -> Result<Vec<UpstreamId>, NoHedge> {
        // A request that is resent where it was refused has used up its attempts.
        if !self.may_repeat(request, attempts) || !attempts.filter.only.is_empty() {
            return Err(NoHedge::NoAttempt);
        }
        if self.is_cut_off() || self.is_cut_suspected() {
            return Err(NoHedge::SharedFault);
        }
        let service = &watched.service;
        let has_waiting = self.admission_queue.borrow().has_queued_for(service);
        let has_retries = self.retries_left(service) > 0;
        let now_ms = self.now_ms();
        let (registry, loads) = (self.registry.borrow(), self.loads.borrow());
        let late: Vec<LateAttempt<Instant>> = {
            let late = self.hedges.late.borrow();
            late.values().cloned().collect()
        };
        let is_heard =
            |entry: &Entry, since: &Instant| self.pool.has_heard_from(entry.addr, *since);
        let silent_zones = silent_zones(&self.settings().zone, &late, &registry, is_heard);
        self.hedges.with_service(service, |state| {
            state
                .recent
                .retain(|id| registry.get(id.as_str()).is_some());
            let late = LateRequest {
                upstream: &watched.upstream,
                requirements: &request.requirements,
                filter: &attempts.filter,
                time_left_ms: request.time_left(now_ms).as_millis() as u64,
                median_ms: watched.median_ms,
                has_credit: state.credit.is_available(),
                has_retries,
                has_waiting,
                recent: &state.recent,
                silent_zones: &silent_zones,
            };
            hedge_targets(now_ms, &registry, &loads, &late)
        })
    }

    /// Counts a second attempt against the limit and the retry budget; an error if it would
    /// exceed either.
    fn take_hedge(&self, service: &ServiceId) -> Result<(), NoHedge> {
        let has_credit = self
            .hedges
            .with_service(service, |state| state.credit.is_available());
        if !has_credit {
            return Err(NoHedge::Limit);
        }
        if !self.try_retry(service) {
            return Err(NoHedge::RetryBudget);
        }
        self.hedges
            .with_service(service, |state| state.credit.try_take());
        Ok(())
    }
}
