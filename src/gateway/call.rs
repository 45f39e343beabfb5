//! What becomes of one caller's request.
//!
//! A request is sent to one upstream after another until one answers, as far
//! as its route, its time and the retry budget allow. What may have run and
//! must not run twice is not sent again; what is refused here has not run.

use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::header::HeaderMap;
use hyper::{Method, StatusCode};

use super::exchange::{Failure, WholeAnswer};
use super::metrics::EndLabels;
use super::place::{InFlight, NoPlace};
use super::platform::{CallHead, Platform};
use super::relay;
use super::state::Gateway;
use crate::core::balance::{Requirements, UpstreamFilter};
use crate::core::catalog::{Catalog, ModelSpec, RequestKind, Route};
use crate::core::ids::UpstreamId;
use crate::core::load::AttemptOutcome;
use crate::edge::body::{self, Answer};
use crate::edge::body_reader::BodyShare;

/// Times that a request is sent again to upstreams that had refused it.
const MAX_RESENDS: u32 = 3;
/// Connections that are tried for one request.
const MAX_CONNECTS: u32 = 4;
/// Pause before a request goes back to an upstream that refused it, in
/// milliseconds; about the time that an adapter takes to load.
const RESEND_PAUSE: Duration = Duration::from_millis(25);
/// Time to come back after an upstream refused a request, in milliseconds.
const REFUSED_RETRY_MS: u64 = 300;
/// Share of the time left that one attempt may take if another could follow.
const ATTEMPT_SHARE: f64 = 0.5;
/// Shortest time for an attempt.
const MIN_ATTEMPT: Duration = Duration::from_millis(100);

/// Share of the longest pause that reading prompts may take up; the rest is
/// for the tokens of one event and what other hosts send unseen.
const READ_SHARE: f64 = 0.6;

/// One request, ready to be sent.
#[derive(Clone, Debug)]
pub struct Job {
    /// Name.
    pub request_id: String,
    /// Route, for logs.
    pub route: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// What it needs of an upstream.
    pub need: Requirements,
    /// Model that it needs.
    pub model: Option<ModelSpec>,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Most upstreams that it is sent to.
    pub max_attempts: u32,
    /// Time to the first answer that the caller aims for.
    pub objective: Duration,
    /// Time after which the caller leaves if it has seen nothing.
    pub patience: Duration,
    /// Arrival.
    pub arrived_ms: u64,
    /// End of the route's timeout or of the caller's deadline.
    pub ends_ms: u64,
    /// Last event that the caller has.
    pub resumes_after: Option<String>,
    /// Method.
    pub method: Method,
    /// Path and query.
    pub target: String,
    /// Headers as the caller sent them.
    pub headers: HeaderMap,
    /// Body.
    pub body: Bytes,
    /// Share of the memory for bodies.
    pub body_share: Rc<BodyShare>,
    /// Version of the configuration that it was routed by.
    pub config_version: u64,
}

impl Job {
    /// Time that is left at some time.
    pub fn time_left(&self, now_ms: u64) -> Duration {
        Duration::from_millis(self.ends_ms.saturating_sub(now_ms))
    }
}

/// Attempts at one request so far.
#[derive(Clone, Debug, Default)]
pub struct Attempts {
    allowed: UpstreamFilter,
    /// Upstreams it was sent to.
    pub sent_to: Vec<UpstreamId>,
    connects: u32,
    resends: u32,
    /// True if an upstream may have run it.
    may_have_run: bool,
    /// Failure that an upstream answered with.
    answered: Option<WholeAnswer>,
}

/// Why a request ends without an upstream's answer.
#[derive(Clone, Debug)]
enum End {
    /// It has not run.
    NotRun {
        reason: &'static str,
        retry_after_ms: u64,
    },
    /// It may have run.
    Unknown(&'static str),
    /// Its time has passed, and it may have run.
    TimedOut,
    /// An upstream's failure is passed on.
    Answered(WholeAnswer),
}

/// What to do after an attempt failed.
enum Next {
    Again,
    End(End),
}

impl<P: Platform> Gateway<P> {
    /// Makes a request ready to be sent.
    pub fn job(
        &self,
        catalog: &Catalog,
        route: &Route,
        call: CallHead,
        parts: hyper::http::request::Parts,
        (body, body_share): (Bytes, BodyShare),
        arrived_ms: u64,
    ) -> Option<Job> {
        let draw = self.rng.borrow_mut().next_u64();
        let service = route.backend(draw)?;
        let spec = catalog.services.get(service);
        let engine = spec.and_then(|s| s.engine.as_ref());
        let weights = call.weights.filter(|_| engine.is_some());
        let model = weights
            .as_ref()
            .and_then(|w| engine?.models.get(&w.model).cloned());
        let time = call
            .deadline
            .map_or(route.timeout, |d| d.min(route.timeout));
        let target = parts.uri.path_and_query().map_or("/", |t| t.as_str());
        Some(Job {
            request_id: call.request_id,
            route: route.name.clone(),
            kind: route.kind,
            need: Requirements {
                service: service.clone(),
                weights,
                size: call.demand,
                cache_tokens: engine.map_or(u64::MAX, |e| e.cache_tokens),
                max_prefill_ms: catalog
                    .min_event_gap(service)
                    .map_or(f64::MAX, |p| p.as_millis() as f64 * READ_SHARE),
            },
            model,
            priority: route.priority,
            max_attempts: route.max_attempts.max(1),
            objective: route.objective,
            patience: route.caller_timeout,
            arrived_ms,
            ends_ms: arrived_ms + time.as_millis() as u64,
            resumes_after: call.resumes_after,
            target: target.to_owned(),
            method: parts.method,
            headers: parts.headers,
            body,
            body_share: Rc::new(body_share),
            config_version: catalog.version,
        })
    }

    /// Serves a request.
    pub async fn serve(self: &Rc<Self>, job: Job) -> Answer {
        self.count_first_attempt(&job.need.service);
        if let Some(weights) = &job.need.weights {
            let now_ms = self.now_ms();
            let mut demand = self.demand.borrow_mut();
            let tokens = job.need.size.prompt_tokens;
            demand.on_asked(now_ms, &job.need.service, weights, tokens);
        }
        let mut attempts = Attempts::default();
        let end = loop {
            let mut in_flight = match self.place(&job, &attempts.allowed).await {
                Ok(in_flight) => in_flight,
                Err(no_place) => break Self::without_place(&attempts, no_place),
            };
            let upstream = in_flight.sent.upstream.clone();
            let failure = if job.kind.is_stream() {
                match self.open_stream(&job, &mut in_flight, None).await {
                    Ok(opened) => {
                        attempts.sent_to.push(upstream);
                        return relay::start(self, job, attempts, in_flight, opened);
                    }
                    Err(failure) => failure,
                }
            } else {
                let within = self.attempt_time(&job, &attempts);
                match self.exchange(&job, &mut in_flight, within).await {
                    Ok(answer) if answer.is_failure() && self.may_repeat(&job, &attempts) => {
                        Failure::Answered(answer)
                    }
                    Ok(answer) => return self.give(&job, &attempts, in_flight, answer),
                    Err(failure) => failure,
                }
            };
            self.log_failed_attempt(&job, &upstream, &failure);
            in_flight.end(failure.attempt_end());
            match self
                .after_failure(&job, &mut attempts, &upstream, failure)
                .await
            {
                Next::Again => {}
                Next::End(end) => break end,
            }
        };
        self.answer_end(&job, &attempts, end)
    }

    fn without_place(attempts: &Attempts, no_place: NoPlace) -> End {
        if let Some(answer) = &attempts.answered {
            return End::Answered(answer.clone());
        }
        if attempts.may_have_run {
            return End::Unknown("upstream_failed");
        }
        End::NotRun {
            reason: no_place.reason.as_str(),
            retry_after_ms: no_place.retry_after_ms,
        }
    }

    /// True if a request may be sent once more after it may have run.
    fn may_repeat(&self, job: &Job, attempts: &Attempts) -> bool {
        let sent = attempts.sent_to.len() as u32 + 1;
        job.kind.is_repeatable() && sent < job.max_attempts && job.ends_ms > self.now_ms()
    }

    fn attempt_time(&self, job: &Job, attempts: &Attempts) -> Duration {
        let left = job.time_left(self.now_ms());
        if !self.may_repeat(job, attempts) {
            return left;
        }
        left.mul_f64(ATTEMPT_SHARE).max(MIN_ATTEMPT).min(left)
    }

    async fn after_failure(
        &self,
        job: &Job,
        attempts: &mut Attempts,
        upstream: &UpstreamId,
        failure: Failure,
    ) -> Next {
        match failure {
            Failure::NotSent => {
                attempts.connects += 1;
                attempts.allowed.excluded.push(upstream.clone());
                if attempts.connects < MAX_CONNECTS {
                    return Next::Again;
                }
                Next::End(Self::ended(attempts, "not_reached"))
            }
            Failure::NotRun { is_misdirected } => {
                self.after_refusal(job, attempts, upstream, is_misdirected)
                    .await
            }
            Failure::Unknown | Failure::TimedOut | Failure::Answered(_) => {
                let is_timeout = matches!(failure, Failure::TimedOut);
                let may_repeat = self.may_repeat(job, attempts);
                attempts.sent_to.push(upstream.clone());
                attempts.may_have_run = true;
                if let Failure::Answered(answer) = failure {
                    attempts.answered = Some(answer);
                }
                if may_repeat && self.try_retry(&job.need.service) {
                    attempts.allowed.excluded.push(upstream.clone());
                    attempts.allowed.only.clear();
                    return Next::Again;
                }
                Next::End(match attempts.answered.take() {
                    Some(answer) => End::Answered(answer),
                    None if is_timeout => End::TimedOut,
                    None => End::Unknown("upstream_failed"),
                })
            }
        }
    }

    /// An upstream refused the request without running it.
    async fn after_refusal(
        &self,
        job: &Job,
        attempts: &mut Attempts,
        upstream: &UpstreamId,
        is_misdirected: bool,
    ) -> Next {
        if !attempts.sent_to.contains(upstream) {
            attempts.sent_to.push(upstream.clone());
        }
        if let Some(weights) = &job.need.weights {
            let now_ms = self.now_ms();
            let mut loads = self.loads.borrow_mut();
            loads.on_refused(now_ms, upstream, weights);
        }
        attempts.resends += 1;
        let is_spent = attempts.sent_to.len() as u32 >= job.max_attempts;
        if is_misdirected && !is_spent {
            attempts.allowed.excluded.push(upstream.clone());
        }
        if is_spent {
            attempts.allowed.only.clone_from(&attempts.sent_to);
        }
        let left = job.time_left(self.now_ms());
        let may_resend = attempts.resends <= MAX_RESENDS && left > RESEND_PAUSE * 2;
        if !may_resend || !self.try_retry(&job.need.service) {
            return Next::End(Self::ended(attempts, "refused_by_upstream"));
        }
        compio::time::sleep(RESEND_PAUSE).await;
        Next::Again
    }

    fn ended(attempts: &mut Attempts, reason: &'static str) -> End {
        match attempts.answered.take() {
            Some(answer) => End::Answered(answer),
            None if attempts.may_have_run => End::Unknown(reason),
            None => End::NotRun {
                reason,
                retry_after_ms: REFUSED_RETRY_MS,
            },
        }
    }

    fn log_failed_attempt(&self, job: &Job, upstream: &UpstreamId, failure: &Failure) {
        tracing::info!(
            event = "attempt",
            request = job.request_id,
            upstream = %upstream,
            failure = failure.as_str(),
            after_ms = self.now_ms().saturating_sub(job.arrived_ms),
            retries_left = self.retries_left(&job.need.service),
        );
    }

    fn retries_left(&self, service: &crate::core::ids::ServiceId) -> u32 {
        let budgets = self.budgets.borrow();
        budgets
            .get(service)
            .map_or(0, crate::core::retry::RetryBudget::left)
    }

    /// Passes a whole answer on.
    fn give(
        &self,
        job: &Job,
        attempts: &Attempts,
        in_flight: InFlight<P>,
        answer: WholeAnswer,
    ) -> Answer {
        let upstream = in_flight.sent.upstream.clone();
        // A failed answer of a proper form tells little of the upstream, but a
        // share of failures well above its peers' does.
        let end = if answer.status >= 500 {
            AttemptOutcome::Failed
        } else {
            AttemptOutcome::Succeeded
        };
        in_flight.end(end);
        let outcome = if answer.is_failure() {
            "failed"
        } else {
            "served"
        };
        self.log_end(
            job,
            attempts,
            outcome,
            "answered",
            answer.status,
            Some(&upstream),
        );
        answer.into_answer()
    }

    fn answer_end(&self, job: &Job, attempts: &Attempts, end: End) -> Answer {
        let (status, outcome, reason, retry_after_ms) = match end {
            End::Answered(answer) => {
                self.log_end(job, attempts, "failed", "answered", answer.status, None);
                return answer.into_answer();
            }
            End::NotRun {
                reason,
                retry_after_ms,
            } => (503, "not_run", reason, Some(retry_after_ms)),
            End::Unknown(reason) => (502, "unknown", reason, None),
            End::TimedOut => (504, "unknown", "timed_out", None),
        };
        if outcome == "not_run" {
            self.announce_refused(job);
        }
        self.log_end(job, attempts, outcome, reason, status, None);
        self.own_answer(status, reason, Some(&job.request_id), retry_after_ms)
    }

    fn announce_refused(&self, job: &Job) {
        if let Some(weights) = &job.need.weights {
            self.announce_want(&job.need.service, weights);
        }
    }

    /// Answer of the system's own.
    pub fn own_answer(
        &self,
        status: u16,
        reason: &str,
        request_id: Option<&str>,
        retry_after_ms: Option<u64>,
    ) -> Answer {
        let mut answer = body::text(status, format!("{reason}\n"));
        if StatusCode::from_u16(status).is_err() {
            tracing::error!(event = "bug", status, "no such status");
        }
        let headers = answer.headers_mut();
        if let Some(request_id) = request_id {
            self.platform.set_request_id(headers, request_id);
        }
        if let Some(after_ms) = retry_after_ms {
            let after = Duration::from_millis(after_ms);
            self.platform.set_retry_after(headers, after);
        }
        answer
    }

    /// Logs what became of a request; one line each.
    pub fn log_end(
        &self,
        job: &Job,
        attempts: &Attempts,
        outcome: &'static str,
        reason: &'static str,
        status: u16,
        upstream: Option<&UpstreamId>,
    ) {
        self.metrics
            .ended
            .get_or_create(&EndLabels { outcome, reason })
            .inc();
        let weights = job.need.weights.as_ref();
        tracing::info!(
            event = "request",
            request = job.request_id,
            route = job.route,
            service = %job.need.service,
            model = weights.map_or("", |w| w.model.as_str()),
            adapter = weights.and_then(|w| w.adapter.as_ref()).map_or("", |a| a.as_str()),
            outcome,
            reason,
            status,
            upstream = upstream.map_or("", UpstreamId::as_str),
            tried = attempts.sent_to.len(),
            total_ms = self.now_ms().saturating_sub(job.arrived_ms),
            objective_ms = job.objective.as_millis() as u64,
            config = job.config_version,
            waiting = self.places.borrow().waiting(),
            hosts = self.host_count(),
        );
    }
}
