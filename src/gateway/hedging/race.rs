//! Two attempts for one request: the first goes on while the second runs, and the first
//! response is delivered. Dropping the other attempt closes its connection, which cancels
//! the request at its upstream, and returns its place.

use std::cell::{Cell, RefCell};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;

use super::WatchedAttempt;
use super::sending::Sending;
use crate::core::balance::UpstreamFilter;
use crate::core::hedge::{NoHedge, late_after_ms};
use crate::core::ids::UpstreamId;
use crate::gateway::call::{Attempts, RoutedRequest};
use crate::gateway::exchange::AttemptFailure;
use crate::gateway::metrics::{HedgeLabels, NoHedgeLabels};
use crate::gateway::place::InFlightAttempt;
use crate::gateway::platform::Platform;
use crate::gateway::state::Gateway;

/// Attempt and its result.
pub(in crate::gateway) type Answer<P, T> = (InFlightAttempt<P>, Result<T, AttemptFailure>);

/// Second attempt that was sent. Writes its log line when it ends, also if the caller
/// disconnects.
struct Hedge<P: Platform> {
    gateway: Rc<Gateway<P>>,
    request_id: String,
    route: String,
    first: UpstreamId,
    second: UpstreamId,
    delay_ms: u64,
    sent_ms: u64,
    outcome: Cell<&'static str>,
}

impl<P: Platform> Drop for Hedge<P> {
    fn drop(&mut self) {
        let outcome = self.outcome.get();
        let hedges = &self.gateway.metrics.hedges;
        hedges.get_or_create(&HedgeLabels { outcome }).inc();
        tracing::info!(
            event = "hedge",
            request = self.request_id,
            route = self.route,
            first = %self.first,
            second = %self.second,
            delay_ms = self.delay_ms,
            outcome,
            after_ms = self.gateway.now_ms().saturating_sub(self.sent_ms),
        );
    }
}

/// Failure of an attempt, or that its response states.
fn failure_of<P: Platform, S: Sending<P>>(
    result: &Result<S::Response, AttemptFailure>,
) -> Option<AttemptFailure> {
    match result {
        Ok(response) => S::failure(response),
        Err(failure) => Some(failure.clone()),
    }
}

/// End of the race.
enum End<P: Platform, T> {
    /// The result of the first attempt counts.
    First {
        result: Result<T, AttemptFailure>,
        failed: Option<(InFlightAttempt<P>, AttemptFailure)>,
    },
    /// The result of the second attempt counts.
    Second {
        answer: Answer<P, T>,
        first_failure: Option<AttemptFailure>,
    },
}

impl<P: Platform> Gateway<P> {
    /// Sends a request to the upstream of an attempt, and to a second one if the first
    /// response is late and `core::hedge` allows it. An attempt that ends without being
    /// returned is entered in `attempts`.
    pub(in crate::gateway) async fn send_hedged<S: Sending<P>>(
        self: &Rc<Self>,
        request: &RoutedRequest,
        attempts: &mut Attempts,
        mut in_flight: InFlightAttempt<P>,
        sending: &S,
    ) -> Answer<P, S::Response> {
        if let Some(watched) = self.watch_attempt(request, attempts, &in_flight) {
            // Requests without a second attempt need no memory for one.
            let sent = self.send_watched(request, attempts, in_flight, sending, watched);
            return Box::pin(sent).await;
        }
        let timeout = self.attempt_timeout(request, attempts);
        let sent = sending.send(self, request, &mut in_flight, timeout, false);
        let result = sent.await;
        (in_flight, result)
    }

    async fn send_watched<S: Sending<P>>(
        self: &Rc<Self>,
        request: &RoutedRequest,
        attempts: &mut Attempts,
        mut in_flight: InFlightAttempt<P>,
        sending: &S,
        watched: WatchedAttempt<P>,
    ) -> Answer<P, S::Response> {
        let timeout = self.attempt_timeout(request, attempts);
        let hedge = RefCell::new(None);
        let end = {
            let first = sending.send(self, request, &mut in_flight, timeout, true);
            let second = self.hedge(request, attempts, &watched, &hedge, sending);
            Self::race::<S>(first, second, &watched, &hedge).await
        };
        let first = &in_flight.sent.upstream;
        let set_outcome = |outcome| {
            if let Some(hedge) = &*hedge.borrow() {
                hedge.outcome.set(outcome);
            }
        };
        match end {
            End::First { result, failed } => {
                set_outcome(if result.is_ok() { "first" } else { "failed" });
                if let Some((second, failure)) = failed {
                    self.end_failed_attempt(request, attempts, second, &failure);
                } else if let Some(hedge) = &*hedge.borrow() {
                    attempts.sent_to.push(hedge.second.clone());
                }
                (in_flight, result)
            }
            End::Second {
                answer,
                first_failure,
            } => {
                set_outcome(if answer.1.is_ok() { "second" } else { "failed" });
                if let Some(failure) = first_failure {
                    self.end_failed_attempt(request, attempts, in_flight, &failure);
                } else {
                    attempts.sent_to.push(first.clone());
                    let outcome = self.overtaken_outcome(&watched);
                    in_flight.finish(outcome);
                }
                answer
            }
        }
    }

    async fn race<S: Sending<P>>(
        first: impl Future<Output = Result<S::Response, AttemptFailure>>,
        second: impl Future<Output = Option<Answer<P, S::Response>>>,
        watched: &WatchedAttempt<P>,
        hedge: &RefCell<Option<Hedge<P>>>,
    ) -> End<P, S::Response> {
        let (mut first, mut second) = (pin!(first.fuse()), pin!(second.fuse()));
        let mut first_failure = None;
        let mut failed = None;
        loop {
            futures_util::select_biased! {
                result = first => {
                    let failure = failure_of::<P, S>(&result);
                    watched.has_responded.set(failure.is_none());
                    let is_racing = hedge.borrow().is_some() && failed.is_none();
                    if failure.is_none() || !is_racing {
                        return End::First { result, failed };
                    }
                    first_failure = failure;
                }
                answer = second => {
                    // Without a second attempt, the first one goes on alone.
                    let Some((in_flight, result)) = answer else { continue };
                    match failure_of::<P, S>(&result) {
                        Some(failure) if first_failure.is_none() => {
                            failed = Some((in_flight, failure));
                        }
                        _ => {
                            let answer = (in_flight, result);
                            return End::Second { answer, first_failure };
                        }
                    }
                }
            }
        }
    }

    /// Sends the second attempt once the first is late; `None` if there is none.
    async fn hedge<S: Sending<P>>(
        self: &Rc<Self>,
        request: &RoutedRequest,
        attempts: &Attempts,
        watched: &WatchedAttempt<P>,
        hedge: &RefCell<Option<Hedge<P>>>,
        sending: &S,
    ) -> Option<Answer<P, S::Response>> {
        let objective_ms = request.objective.as_millis() as u64;
        let late_after_ms = late_after_ms(watched.delay_ms, objective_ms);
        compio::time::sleep(Duration::from_millis(late_after_ms)).await;
        watched.mark_late();
        let delay_ms = watched.delay_ms?;
        compio::time::sleep(Duration::from_millis(delay_ms - late_after_ms)).await;
        let reserved = self.reserve_hedge(request, attempts, watched).await;
        let mut in_flight = match reserved {
            Ok(in_flight) => in_flight,
            Err(reason) => {
                self.log_no_hedge(request, watched, reason);
                return None;
            }
        };
        hedge.replace(Some(Hedge {
            gateway: Rc::clone(self),
            request_id: request.request_id.clone(),
            route: request.route.clone(),
            first: watched.upstream.clone(),
            second: in_flight.sent.upstream.clone(),
            delay_ms,
            sent_ms: watched.sent_ms,
            outcome: Cell::new("caller_gone"),
        }));
        let mut with_first = attempts.clone();
        with_first.sent_to.push(watched.upstream.clone());
        let timeout = self.attempt_timeout(request, &with_first);
        let sent = sending.send(self, request, &mut in_flight, timeout, true);
        let result = Box::pin(sent).await;
        Some((in_flight, result))
    }

    async fn reserve_hedge(
        self: &Rc<Self>,
        request: &RoutedRequest,
        attempts: &Attempts,
        watched: &WatchedAttempt<P>,
    ) -> Result<InFlightAttempt<P>, NoHedge> {
        let filter = UpstreamFilter {
            only: self.find_hedge_targets(request, attempts, watched)?,
            ..attempts.filter.clone()
        };
        let reserved = self.acquire_without_wait(request, &filter).await;
        let in_flight = reserved.ok_or(NoHedge::Denied)?;
        self.take_hedge(&watched.service)?;
        Ok(in_flight)
    }

    fn log_no_hedge(&self, request: &RoutedRequest, watched: &WatchedAttempt<P>, reason: NoHedge) {
        let reason = reason.as_str();
        let withheld = &self.metrics.hedges_withheld;
        withheld.get_or_create(&NoHedgeLabels { reason }).inc();
        tracing::info!(
            event = "no_hedge",
            request = request.request_id,
            route = request.route,
            first = %watched.upstream,
            delay_ms = watched.delay_ms.unwrap_or(0),
            max_share = watched.max_share,
            reason,
        );
    }
}
