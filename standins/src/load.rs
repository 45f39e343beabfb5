//! Open-loop load generator that verifies every response.
//!
//! Times between arrivals are exponentially distributed, from a fixed seed.
//! Each response must belong to its request and be complete: every token of a
//! draft contains the request id and a sequence number that starts at zero.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use currantcove::core::outcome::{OUTCOME_HEADER, Refusal};
use currantcove::core::routing::Rng;
use currantcove::edge::body;
use currantcove::edge::pool::{Pool, PooledBody, SendError};
use eventsource_stream::Eventsource;
use futures_util::StreamExt;
use http_body_util::{BodyExt, Full};
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use hyper::{Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};

use super::report::{Counts, Latencies};

const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Bound of a caller's attempts for one booking.
const MAX_BOOKING_ATTEMPTS: u32 = 8;
/// Upper bound of the retry delay that a refusal sets.
const MAX_RETRY_DELAY_MS: u64 = 2_000;

/// Offered load, read from a file before the run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Seed of arrivals and of random model choices.
    pub seed: u64,
    /// Duration in milliseconds.
    pub duration_ms: u64,
    /// Request flows, offered concurrently.
    pub flows: Vec<Flow>,
}

/// Requests of one kind from one team.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Flow {
    /// Bearer token of the team.
    pub token: String,
    /// Request that the flow repeats.
    #[serde(rename = "ask")]
    pub request: RequestSpec,
    /// Request rate over time; each phase lasts until the start of the next.
    pub phases: Vec<Phase>,
    /// Deadline that callers send with each request, in milliseconds.
    pub deadline_ms: u64,
}

/// Request rate from a point in time.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Start in milliseconds.
    pub from_ms: u64,
    /// Requests per second.
    pub rate_per_s: f64,
}

/// Request of a flow.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum RequestSpec {
    /// Draft from a model.
    Draft {
        /// Models, with an optional adapter after a colon; chosen uniformly.
        models: Vec<String>,
        /// Tokens per response.
        tokens: u64,
        /// True for event streams.
        is_streamed: bool,
        /// Target for the time to first token in milliseconds.
        first_token_target_ms: u64,
        /// Target for the mean time between tokens in milliseconds.
        token_gap_target_ms: u64,
    },
    /// Booking with an idempotency key, repeated until its result is known.
    Booking {
        /// Service.
        service: String,
        /// Latency target, with all attempts, in milliseconds.
        target_ms: u64,
    },
}

/// Results of a run.
#[derive(Clone, Debug, Default)]
pub struct LoadResult {
    /// Counts of drafts.
    pub drafts: Counts,
    /// Counts of bookings.
    pub bookings: Counts,
    /// Times to first token of complete streamed drafts.
    pub first_token: Latencies,
    /// Mean times between tokens of complete streamed drafts.
    pub token_gap: Latencies,
    /// Latencies of confirmed bookings, with all attempts.
    pub booking: Latencies,
    /// Ids of bookings with a confirmation.
    pub confirmed: Vec<String>,
    /// Ids of bookings whose last response is a refusal with outcome `not_run`.
    pub refused: Vec<String>,
}

/// Offers a load to a set of entry hosts and collects the results.
#[derive(Debug)]
pub struct LoadGenerator {
    pool: Pool,
    hosts: RefCell<Vec<SocketAddr>>,
    rng: RefCell<Rng>,
    result: RefCell<LoadResult>,
    in_flight: Cell<u64>,
}

/// Result of a request for its caller.
enum RequestOutcome {
    Complete,
    Refused(Refusal),
    /// No entry host received the request.
    NoHost,
    /// The response is missing or incomplete, so the request may have been
    /// executed.
    Interrupted,
    /// The response does not match the request.
    Invalid,
}

impl LoadGenerator {
    /// Generator for these entry hosts.
    pub fn new(hosts: Vec<SocketAddr>, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            pool: Pool::default(),
            hosts: RefCell::new(hosts),
            rng: RefCell::new(Rng::new(seed)),
            result: RefCell::default(),
            in_flight: Cell::new(0),
        })
    }

    /// Replaces the entry hosts.
    pub fn set_hosts(&self, hosts: Vec<SocketAddr>) {
        *self.hosts.borrow_mut() = hosts;
    }

    /// Offers a load, waits until every request has ended and returns the
    /// results.
    pub async fn run(self: &Rc<Self>, plan: &LoadPlan) -> LoadResult {
        let started = Instant::now();
        let flows = plan.flows.iter().enumerate().map(|(i, flow)| {
            let rng = Rng::new(plan.seed ^ (i as u64 + 1));
            self.offer_flow(started, plan.duration_ms, flow.clone(), rng)
        });
        futures_util::future::join_all(flows).await;
        while self.in_flight.get() > 0 {
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        self.result.take()
    }

    async fn offer_flow(
        self: &Rc<Self>,
        started: Instant,
        duration_ms: u64,
        flow: Flow,
        mut rng: Rng,
    ) {
        let flow = Rc::new(flow);
        let mut arrival = Duration::ZERO;
        let mut sequence = 0_u64;
        loop {
            let rate = rate_at(&flow.phases, arrival.as_millis() as u64);
            let uniform = (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
            arrival += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate.max(1e-3));
            if arrival.as_millis() as u64 >= duration_ms {
                return;
            }
            compio::time::sleep_until(started + arrival).await;
            sequence += 1;
            let request_id = format!("{:x}-{sequence}", rng.next_u64());
            let random = rng.next_u64();
            let generator = Rc::clone(self);
            let flow = Rc::clone(&flow);
            self.in_flight.set(self.in_flight.get() + 1);
            compio::runtime::spawn(async move {
                generator.run_request(&flow, &request_id, random).await;
                generator.in_flight.set(generator.in_flight.get() - 1);
            })
            .detach();
        }
    }

    async fn run_request(&self, flow: &Flow, request_id: &str, random: u64) {
        match &flow.request {
            RequestSpec::Draft { models, .. } => {
                let model = &models[(random % models.len() as u64) as usize];
                self.run_draft(flow, request_id, model).await;
            }
            RequestSpec::Booking { service, target_ms } => {
                self.run_booking(flow, request_id, service, *target_ms)
                    .await;
            }
        }
    }

    /// Sends a request to a random entry host. Tries the next one only if the
    /// request has not been sent, as a load balancer does.
    async fn send(
        &self,
        flow: &Flow,
        path: &str,
        body: &Value,
        key: Option<&str>,
    ) -> Result<Response<PooledBody>, RequestOutcome> {
        let hosts = self.hosts.borrow().clone();
        let first_host = self.rng.borrow_mut().below(hosts.len());
        for i in 0..hosts.len() {
            let addr = hosts[(first_host + i) % hosts.len()];
            let mut request = build_request(flow, path, addr, body);
            if let Some(key) = key.and_then(|k| k.parse().ok()) {
                request.headers_mut().insert("idempotency-key", key);
            }
            let timeout = Duration::from_millis(flow.deadline_ms + 1_000);
            match compio::time::timeout(timeout, self.pool.send(addr, request)).await {
                Ok(Ok(response)) => return Ok(response),
                Ok(Err(SendError::NotConnected | SendError::NotSent)) => {}
                Ok(Err(SendError::MaybeSent | SendError::HeldUp)) | Err(_) => {
                    return Err(RequestOutcome::Interrupted);
                }
            }
        }
        Err(RequestOutcome::NoHost)
    }

    async fn run_draft(&self, flow: &Flow, request_id: &str, model: &str) {
        let RequestSpec::Draft {
            tokens,
            is_streamed,
            first_token_target_ms,
            token_gap_target_ms,
            ..
        } = flow.request
        else {
            return;
        };
        let prompt = format!("{request_id} describe the matter at hand");
        let body = json!({
            "model": model,
            "stream": is_streamed,
            "max_tokens": tokens,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let started = Instant::now();
        let mut first_token_us = 0;
        let outcome = match self.send(flow, "/v1/chat/completions", &body, None).await {
            Err(outcome) => outcome,
            Ok(response) if response.status() != 200 => read_refusal(response).await,
            Ok(response) if is_streamed => {
                read_stream(response, request_id, tokens, started, &mut first_token_us).await
            }
            Ok(response) => read_draft(response, request_id, tokens).await,
        };
        let total_us = started.elapsed().as_micros() as u64;
        let token_gap_us =
            total_us.saturating_sub(first_token_us) / tokens.saturating_sub(1).max(1);
        let is_within_target = !is_streamed
            || (first_token_us <= first_token_target_ms * 1000
                && token_gap_us <= token_gap_target_ms * 1000);
        let mut result = self.result.borrow_mut();
        record_outcome(&mut result.drafts, &outcome, is_within_target);
        if matches!(outcome, RequestOutcome::Complete) && is_streamed {
            result.first_token.add(first_token_us);
            result.token_gap.add(token_gap_us);
        }
    }

    async fn run_booking(&self, flow: &Flow, request_id: &str, service: &str, target_ms: u64) {
        let path = format!("/services/{service}/book");
        let body = json!({ "name": request_id });
        let started = Instant::now();
        let mut outcome = RequestOutcome::NoHost;
        for _ in 0..MAX_BOOKING_ATTEMPTS {
            outcome = match self.send(flow, &path, &body, Some(request_id)).await {
                Err(outcome) => outcome,
                Ok(response) if response.status() != 200 => read_refusal(response).await,
                Ok(response) => read_booking(response, request_id).await,
            };
            let retry_delay_ms = match &outcome {
                RequestOutcome::Complete | RequestOutcome::Invalid => break,
                RequestOutcome::Refused(r) => {
                    r.retry_after_ms.unwrap_or(200).min(MAX_RETRY_DELAY_MS)
                }
                RequestOutcome::NoHost | RequestOutcome::Interrupted => 200,
            };
            compio::time::sleep(Duration::from_millis(retry_delay_ms)).await;
        }
        let elapsed_us = started.elapsed().as_micros() as u64;
        let mut result = self.result.borrow_mut();
        record_outcome(
            &mut result.bookings,
            &outcome,
            elapsed_us <= target_ms * 1000,
        );
        match outcome {
            RequestOutcome::Complete => {
                result.booking.add(elapsed_us);
                result.confirmed.push(request_id.to_owned());
            }
            RequestOutcome::Refused(r)
                if r.outcome == currantcove::core::outcome::Outcome::NotRun =>
            {
                result.refused.push(request_id.to_owned());
            }
            _ => {}
        }
    }
}

fn build_request(flow: &Flow, path: &str, addr: SocketAddr, body: &Value) -> Request<Full<Bytes>> {
    Request::post(path)
        .header(HOST, addr.to_string())
        .header(AUTHORIZATION, format!("Bearer {}", flow.token))
        .header(CONTENT_TYPE, "application/json")
        .header("currantcove-deadline-ms", flow.deadline_ms)
        .body(Full::new(Bytes::from(body.to_string())))
        .unwrap_or_default()
}

fn rate_at(phases: &[Phase], at_ms: u64) -> f64 {
    let current = phases.iter().rev().find(|p| p.from_ms <= at_ms);
    current.map_or(0.0, |p| p.rate_per_s)
}

fn record_outcome(counts: &mut Counts, outcome: &RequestOutcome, is_within_target: bool) {
    use currantcove::core::outcome::Outcome;
    counts.offered += 1;
    match outcome {
        RequestOutcome::Complete => {
            counts.answered += 1;
            counts.within_target += u64::from(is_within_target);
        }
        RequestOutcome::Refused(r) if r.outcome == Outcome::NotRun => counts.not_run += 1,
        RequestOutcome::NoHost => counts.not_run += 1,
        RequestOutcome::Refused(_) | RequestOutcome::Interrupted => counts.unknown += 1,
        RequestOutcome::Invalid => counts.wrong += 1,
    }
}

#[derive(Deserialize)]
struct ErrorBody {
    error: Refusal,
}

async fn read_refusal(response: Response<PooledBody>) -> RequestOutcome {
    let header = response.headers().get(OUTCOME_HEADER).cloned();
    let read = body::read(
        response.into_body(),
        MAX_RESPONSE_BYTES,
        Duration::from_secs(5),
    )
    .await;
    let Ok(bytes) = read else {
        return RequestOutcome::Interrupted;
    };
    match serde_json::from_slice::<ErrorBody>(&bytes) {
        Ok(b) if header.is_some_and(|h| h == b.error.outcome.as_str()) => {
            RequestOutcome::Refused(b.error)
        }
        _ => RequestOutcome::Invalid,
    }
}

async fn read_stream(
    response: Response<PooledBody>,
    request_id: &str,
    tokens: u64,
    started: Instant,
    first_token_us: &mut u64,
) -> RequestOutcome {
    let mut events = std::pin::pin!(response.into_body().into_data_stream().eventsource());
    let mut next = 0;
    while let Some(Ok(event)) = events.next().await {
        if event.event == "error" {
            let refusal = serde_json::from_str(&event.data);
            return refusal.map_or(RequestOutcome::Invalid, RequestOutcome::Refused);
        }
        if event.data == "[DONE]" {
            // Reads to the end of the body, so that the connection can be reused.
            let _ = events.next().await;
            return if next == tokens {
                RequestOutcome::Complete
            } else {
                RequestOutcome::Invalid
            };
        }
        if !event.data.contains(&format!("\"{request_id}.{next} \"")) {
            return RequestOutcome::Invalid;
        }
        if next == 0 {
            *first_token_us = started.elapsed().as_micros() as u64;
        }
        next += 1;
    }
    RequestOutcome::Interrupted
}

async fn read_draft(
    response: Response<PooledBody>,
    request_id: &str,
    tokens: u64,
) -> RequestOutcome {
    let read = body::read(
        response.into_body(),
        MAX_RESPONSE_BYTES,
        Duration::from_mins(1),
    )
    .await;
    let Ok(bytes) = read else {
        return RequestOutcome::Interrupted;
    };
    let Ok(value) = serde_json::from_slice::<Value>(&bytes) else {
        return RequestOutcome::Invalid;
    };
    let content = value
        .pointer("/choices/0/message/content")
        .and_then(Value::as_str);
    let expected: Vec<String> = (0..tokens).map(|i| format!("{request_id}.{i} ")).collect();
    if content == Some(expected.concat().as_str()) {
        RequestOutcome::Complete
    } else {
        RequestOutcome::Invalid
    }
}

async fn read_booking(response: Response<PooledBody>, request_id: &str) -> RequestOutcome {
    let read = body::read(
        response.into_body(),
        MAX_RESPONSE_BYTES,
        Duration::from_secs(5),
    )
    .await;
    let Ok(bytes) = read else {
        return RequestOutcome::Interrupted;
    };
    match serde_json::from_slice::<super::service::BookingResponse>(&bytes) {
        Ok(booked) if booked.name == request_id => RequestOutcome::Complete,
        _ => RequestOutcome::Invalid,
    }
}
