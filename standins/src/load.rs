//! Load generator: callers that check every answer they get.
//!
//! Arrivals are open-loop and come from a seed. Each answer must belong to
//! its request and be whole: tokens repeat the request's own word and count
//! up from nought.

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

use super::report::{Counts, Times};

const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Tries of a caller for one booking.
const MAX_BOOKING_TRIES: u32 = 8;
/// Longest pause of a caller before it comes back.
const MAX_PAUSE_MS: u64 = 2_000;

/// Load that is offered, fixed before the run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct LoadPlan {
    /// Seed of arrivals and choices.
    pub seed: u64,
    /// Length in milliseconds.
    pub duration_ms: u64,
    /// Flows of requests.
    pub flows: Vec<Flow>,
}

/// Requests of one kind.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Flow {
    /// Bearer token of the team.
    pub token: String,
    /// What is asked.
    pub ask: Ask,
    /// Rate over time; each phase lasts until the next begins.
    pub phases: Vec<Phase>,
    /// Time that callers allow, in milliseconds.
    pub deadline_ms: u64,
}

/// Rate from a time on.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Phase {
    /// Begin in milliseconds.
    pub from_ms: u64,
    /// Requests a second.
    pub rate_per_s: f64,
}

/// What a flow asks.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields, rename_all = "snake_case")]
pub enum Ask {
    /// Draft from a model.
    Draft {
        /// Models, with adapters after a colon; chosen evenly.
        models: Vec<String>,
        /// Tokens of an answer.
        tokens: u64,
        /// True for event streams.
        is_streamed: bool,
        /// Target for the first token in milliseconds.
        first_token_target_ms: u64,
        /// Target between tokens in milliseconds.
        token_gap_target_ms: u64,
    },
    /// Booking, with an idempotency key and repeats until it is known.
    Booking {
        /// Service.
        service: String,
        /// Target in milliseconds.
        target_ms: u64,
    },
}

/// Figures of a run.
#[derive(Clone, Debug, Default)]
pub struct LoadResult {
    /// Drafts.
    pub drafts: Counts,
    /// Bookings.
    pub bookings: Counts,
    /// Times to the first token.
    pub first_token: Times,
    /// Mean times between tokens.
    pub token_gap: Times,
    /// Times of bookings.
    pub booking: Times,
    /// Bookings that a caller was told are made.
    pub confirmed: Vec<String>,
    /// Bookings whose last answer was that they were not run.
    pub refused: Vec<String>,
}

/// Callers of one run.
#[derive(Debug)]
pub struct Callers {
    pool: Pool,
    hosts: RefCell<Vec<SocketAddr>>,
    rng: RefCell<Rng>,
    result: RefCell<LoadResult>,
    open: Cell<u64>,
}

/// What a caller learned.
enum Told {
    Whole,
    Refused(Refusal),
    NoHost,
    Lost,
    Wrong,
}

impl Callers {
    /// Callers before these entry hosts.
    pub fn new(hosts: Vec<SocketAddr>, seed: u64) -> Rc<Self> {
        Rc::new(Self {
            pool: Pool::default(),
            hosts: RefCell::new(hosts),
            rng: RefCell::new(Rng::new(seed)),
            result: RefCell::default(),
            open: Cell::new(0),
        })
    }

    /// Changes the entry hosts that the balancer offers.
    pub fn set_hosts(&self, hosts: Vec<SocketAddr>) {
        *self.hosts.borrow_mut() = hosts;
    }

    /// Offers a load and waits until every request has ended.
    pub async fn run(self: &Rc<Self>, plan: &LoadPlan) -> LoadResult {
        let started = Instant::now();
        let flows = plan.flows.iter().enumerate().map(|(i, flow)| {
            let rng = Rng::new(plan.seed ^ (i as u64 + 1));
            self.offer(started, plan.duration_ms, flow.clone(), rng)
        });
        futures_util::future::join_all(flows).await;
        while self.open.get() > 0 {
            compio::time::sleep(Duration::from_millis(10)).await;
        }
        self.result.take()
    }

    async fn offer(self: &Rc<Self>, started: Instant, duration_ms: u64, flow: Flow, mut rng: Rng) {
        let flow = Rc::new(flow);
        let mut at = Duration::ZERO;
        let mut number = 0_u64;
        loop {
            let rate = rate_at(&flow.phases, at.as_millis() as u64);
            let uniform = (rng.next_u64() >> 11) as f64 / (1_u64 << 53) as f64;
            at += Duration::from_secs_f64(-(1.0 - uniform).ln() / rate.max(1e-3));
            if at.as_millis() as u64 >= duration_ms {
                return;
            }
            compio::time::sleep_until(started + at).await;
            number += 1;
            let name = format!("{:x}-{number}", rng.next_u64());
            let choice = rng.next_u64();
            let callers = Rc::clone(self);
            let flow = Rc::clone(&flow);
            self.open.set(self.open.get() + 1);
            compio::runtime::spawn(async move {
                callers.ask(&flow, &name, choice).await;
                callers.open.set(callers.open.get() - 1);
            })
            .detach();
        }
    }

    async fn ask(&self, flow: &Flow, name: &str, choice: u64) {
        match &flow.ask {
            Ask::Draft { models, .. } => {
                let model = &models[(choice % models.len() as u64) as usize];
                self.draft(flow, name, model).await;
            }
            Ask::Booking { service, target_ms } => {
                self.book(flow, name, service, *target_ms).await;
            }
        }
    }

    /// Sends through any entry host, as a balancer would.
    async fn send(
        &self,
        flow: &Flow,
        path: &str,
        body: &Value,
        key: Option<&str>,
    ) -> Result<Response<PooledBody>, Told> {
        let hosts = self.hosts.borrow().clone();
        let first = self.rng.borrow_mut().below(hosts.len());
        for i in 0..hosts.len() {
            let addr = hosts[(first + i) % hosts.len()];
            let mut request = request(flow, path, addr, body);
            if let Some(key) = key.and_then(|k| k.parse().ok()) {
                request.headers_mut().insert("idempotency-key", key);
            }
            let patience = Duration::from_millis(flow.deadline_ms + 1_000);
            match compio::time::timeout(patience, self.pool.send(addr, request)).await {
                Ok(Ok(response)) => return Ok(response),
                Ok(Err(SendError::NotSent)) => {}
                Ok(Err(SendError::MaybeSent)) | Err(_) => return Err(Told::Lost),
            }
        }
        Err(Told::NoHost)
    }

    async fn draft(&self, flow: &Flow, name: &str, model: &str) {
        let Ask::Draft {
            tokens,
            is_streamed,
            first_token_target_ms,
            token_gap_target_ms,
            ..
        } = flow.ask
        else {
            return;
        };
        let prompt = format!("{name} describe the matter at hand");
        let body = json!({
            "model": model,
            "stream": is_streamed,
            "max_tokens": tokens,
            "messages": [{ "role": "user", "content": prompt }],
        });
        let started = Instant::now();
        let mut first_us = 0;
        let told = match self.send(flow, "/v1/chat/completions", &body, None).await {
            Err(told) => told,
            Ok(response) if response.status() != 200 => refusal(response).await,
            Ok(response) if is_streamed => {
                read_stream(response, name, tokens, started, &mut first_us).await
            }
            Ok(response) => read_whole(response, name, tokens).await,
        };
        let total_us = started.elapsed().as_micros() as u64;
        let gap_us = total_us.saturating_sub(first_us) / tokens.saturating_sub(1).max(1);
        let is_within = !is_streamed
            || (first_us <= first_token_target_ms * 1000 && gap_us <= token_gap_target_ms * 1000);
        let mut result = self.result.borrow_mut();
        count(&mut result.drafts, &told, is_within);
        if matches!(told, Told::Whole) && is_streamed {
            result.first_token.add(first_us);
            result.token_gap.add(gap_us);
        }
    }

    async fn book(&self, flow: &Flow, name: &str, service: &str, target_ms: u64) {
        let path = format!("/services/{service}/book");
        let body = json!({ "name": name });
        let started = Instant::now();
        let mut told = Told::NoHost;
        for _ in 0..MAX_BOOKING_TRIES {
            told = match self.send(flow, &path, &body, Some(name)).await {
                Err(told) => told,
                Ok(response) if response.status() != 200 => refusal(response).await,
                Ok(response) => read_booked(response, name).await,
            };
            let pause_ms = match &told {
                Told::Whole | Told::Wrong => break,
                Told::Refused(r) => r.retry_after_ms.unwrap_or(200).min(MAX_PAUSE_MS),
                Told::NoHost | Told::Lost => 200,
            };
            compio::time::sleep(Duration::from_millis(pause_ms)).await;
        }
        let took_us = started.elapsed().as_micros() as u64;
        let mut result = self.result.borrow_mut();
        count(&mut result.bookings, &told, took_us <= target_ms * 1000);
        match told {
            Told::Whole => {
                result.booking.add(took_us);
                result.confirmed.push(name.to_owned());
            }
            Told::Refused(r) if r.outcome == currantcove::core::outcome::Outcome::NotRun => {
                result.refused.push(name.to_owned());
            }
            _ => {}
        }
    }
}

fn request(flow: &Flow, path: &str, addr: SocketAddr, body: &Value) -> Request<Full<Bytes>> {
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

fn count(counts: &mut Counts, told: &Told, is_within: bool) {
    use currantcove::core::outcome::Outcome;
    counts.offered += 1;
    match told {
        Told::Whole => {
            counts.answered += 1;
            counts.within_target += u64::from(is_within);
        }
        Told::Refused(r) if r.outcome == Outcome::NotRun => counts.not_run += 1,
        Told::NoHost => counts.not_run += 1,
        Told::Refused(_) | Told::Lost => counts.unknown += 1,
        Told::Wrong => counts.wrong += 1,
    }
}

#[derive(Deserialize)]
struct ErrorBody {
    error: Refusal,
}

async fn refusal(response: Response<PooledBody>) -> Told {
    let header = response.headers().get(OUTCOME_HEADER).cloned();
    let read = body::read(
        response.into_body(),
        MAX_ANSWER_BYTES,
        Duration::from_secs(5),
    )
    .await;
    let Ok(bytes) = read else { return Told::Lost };
    match serde_json::from_slice::<ErrorBody>(&bytes) {
        Ok(b) if header.is_some_and(|h| h == b.error.outcome.as_str()) => Told::Refused(b.error),
        _ => Told::Wrong,
    }
}

async fn read_stream(
    response: Response<PooledBody>,
    name: &str,
    tokens: u64,
    started: Instant,
    first_us: &mut u64,
) -> Told {
    let mut events = std::pin::pin!(response.into_body().into_data_stream().eventsource());
    let mut next = 0;
    while let Some(Ok(event)) = events.next().await {
        if event.event == "error" {
            let refusal = serde_json::from_str(&event.data);
            return refusal.map_or(Told::Wrong, Told::Refused);
        }
        if event.data == "[DONE]" {
            // Reads the end, so that the connection is reused.
            let _ = events.next().await;
            return if next == tokens {
                Told::Whole
            } else {
                Told::Wrong
            };
        }
        if !event.data.contains(&format!("\"{name}.{next} \"")) {
            return Told::Wrong;
        }
        if next == 0 {
            *first_us = started.elapsed().as_micros() as u64;
        }
        next += 1;
    }
    Told::Lost
}

async fn read_whole(response: Response<PooledBody>, name: &str, tokens: u64) -> Told {
    let read = body::read(
        response.into_body(),
        MAX_ANSWER_BYTES,
        Duration::from_mins(1),
    )
    .await;
    let Ok(bytes) = read else { return Told::Lost };
    let Ok(value) = serde_json::from_slice::<Value>(&bytes) else {
        return Told::Wrong;
    };
    let content = value
        .pointer("/choices/0/message/content")
        .and_then(Value::as_str);
    let expected: Vec<String> = (0..tokens).map(|i| format!("{name}.{i} ")).collect();
    if content == Some(expected.concat().as_str()) {
        Told::Whole
    } else {
        Told::Wrong
    }
}

async fn read_booked(response: Response<PooledBody>, name: &str) -> Told {
    let read = body::read(
        response.into_body(),
        MAX_ANSWER_BYTES,
        Duration::from_secs(5),
    )
    .await;
    let Ok(bytes) = read else { return Told::Lost };
    match serde_json::from_slice::<super::service::Booked>(&bytes) {
        Ok(booked) if booked.name == name => Told::Whole,
        _ => Told::Wrong,
    }
}
