//! Stand-in for the platform's key-value service: etcd's v3 JSON gateway
//! with rate limits, latency, outages and lost answers.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use currantcove::edge::body::{self, ServerResponse, Truncated};
use currantcove::edge::kv_wire::{
    LeaseGrantRequest, LeaseGrantResponse, RangeRequest, TxnRequest, WatchCreate, WatchMessage,
    WatchRequest, WatchResult,
};
use currantcove::edge::server::Handler;
use currantcove::services::clock::Clock;
use http_body_util::channel::Sender;
use http_body_util::{Channel, Either};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response};
use serde::{Deserialize, Serialize};

use super::http::{broken_off, read_json};
use super::kv_store::{KvData, is_write};
use super::plan::KvPlan;

/// Pause of a watch between two looks at the store.
const WATCH_INTERVAL: Duration = Duration::from_millis(5);

/// Faults of the service.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct KvFaults {
    /// Calls get no answer and have no effect.
    pub is_down: bool,
    /// Writes take effect and get no answer.
    pub loses_answers: bool,
    /// More time per call in milliseconds.
    pub slow_ms: u64,
    /// Watches report nothing.
    pub watch_is_stuck: bool,
}

/// Calls that the service has seen.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct KvCalls {
    /// Reads, open watches among them.
    pub reads: u64,
    /// Writes.
    pub writes: u64,
    /// Calls refused for their rate.
    pub refused: u64,
    /// Most reads in one second.
    pub peak_reads_per_s: u32,
    /// Most writes in one second.
    pub peak_writes_per_s: u32,
}

#[derive(Debug, Default)]
struct Window {
    second: u64,
    reads: u32,
    writes: u32,
}

/// The service.
#[derive(Debug)]
pub struct Kv {
    plan: KvPlan,
    clock: Clock,
    data: RefCell<KvData>,
    window: RefCell<Window>,
    calls: Cell<KvCalls>,
    faults: Cell<KvFaults>,
}

impl Kv {
    /// Empty service.
    pub fn new(plan: KvPlan) -> Self {
        Self {
            plan,
            clock: Clock::default(),
            data: RefCell::default(),
            window: RefCell::default(),
            calls: Cell::default(),
            faults: Cell::default(),
        }
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: KvFaults) {
        self.faults.set(faults);
    }

    /// Calls so far.
    pub fn calls(&self) -> KvCalls {
        self.calls.get()
    }

    /// Counts a call; false if its rate is over the limit.
    fn admit(&self, writes: bool) -> bool {
        let second = self.clock.now_ms() / 1000;
        let mut window = self.window.borrow_mut();
        if window.second != second {
            *window = Window {
                second,
                ..Window::default()
            };
        }
        let mut calls = self.calls.get();
        let (count, limit, total, peak) = if writes {
            let w = &mut window.writes;
            (
                w,
                self.plan.writes_per_s,
                &mut calls.writes,
                &mut calls.peak_writes_per_s,
            )
        } else {
            let r = &mut window.reads;
            (
                r,
                self.plan.reads_per_s,
                &mut calls.reads,
                &mut calls.peak_reads_per_s,
            )
        };
        *count += 1;
        *total += 1;
        *peak = (*peak).max(*count);
        let is_admitted = *count <= limit;
        calls.refused += u64::from(!is_admitted);
        self.calls.set(calls);
        is_admitted
    }

    async fn range(&self, request: Request<Incoming>) -> Result<ServerResponse, ServerResponse> {
        let range: RangeRequest = read_json(request).await?;
        if !self.admit(false) {
            return Err(too_many());
        }
        Ok(body::json(200, &self.data.borrow().range(&range)))
    }

    async fn txn(&self, request: Request<Incoming>) -> Result<ServerResponse, ServerResponse> {
        let txn: TxnRequest = read_json(request).await?;
        let writes = txn.success.iter().chain(&txn.failure).any(is_write);
        if !self.admit(writes) {
            return Err(too_many());
        }
        let result = self.data.borrow_mut().txn(&txn);
        if self.faults.get().loses_answers {
            return Err(broken_off());
        }
        Ok(body::json(200, &result))
    }

    async fn grant(&self, request: Request<Incoming>) -> Result<ServerResponse, ServerResponse> {
        let grant: LeaseGrantRequest = read_json(request).await?;
        if !self.admit(true) {
            return Err(too_many());
        }
        let mut data = self.data.borrow_mut();
        let id = data.grant(self.clock.now_ms() + grant.ttl_s * 1000);
        Ok(body::json(
            200,
            &LeaseGrantResponse {
                header: data.header(),
                id,
            },
        ))
    }

    async fn watch(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<ServerResponse, ServerResponse> {
        let watch: WatchRequest = read_json(request).await?;
        if !self.admit(false) {
            return Err(too_many());
        }
        let (sender, channel) = Channel::new(16);
        compio::runtime::spawn(self.report_changes(watch.create_request, sender)).detach();
        Ok(Response::new(Either::Right(channel.into())))
    }

    async fn report_changes(self: Rc<Self>, watch: WatchCreate, mut to: Sender<Bytes, Truncated>) {
        let mut from = watch.start_revision;
        loop {
            let faults = self.faults.get();
            if faults.is_down {
                return to.abort(Truncated);
            }
            let events = if faults.watch_is_stuck {
                Vec::new()
            } else {
                self.data
                    .borrow()
                    .changes(&watch.key, &watch.range_end, from)
            };
            if !events.is_empty() {
                from = self.data.borrow().revision() + 1;
                let header = self.data.borrow().header();
                let result = WatchResult {
                    header,
                    canceled: false,
                    events,
                };
                let mut line = serde_json::to_vec(&WatchMessage { result }).unwrap_or_default();
                line.push(b'\n');
                if to.send(Frame::data(Bytes::from(line))).await.is_err() {
                    return;
                }
            }
            compio::time::sleep(WATCH_INTERVAL).await;
        }
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> ServerResponse {
        let faults = self.faults.get();
        if faults.is_down {
            return std::future::pending().await;
        }
        let latency_ms = self.plan.latency_ms + faults.slow_ms;
        compio::time::sleep(Duration::from_millis(latency_ms)).await;
        self.data.borrow_mut().expire(self.clock.now_ms());
        let result = match request.uri().path() {
            "/v3/kv/range" => self.range(request).await,
            "/v3/kv/txn" => self.txn(request).await,
            "/v3/lease/grant" => self.grant(request).await,
            "/v3/watch" => self.watch(request).await,
            _ => Err(body::text(404, "no such path\n")),
        };
        result.unwrap_or_else(|answer| answer)
    }
}

fn too_many() -> ServerResponse {
    body::text(429, "too many calls\n")
}

/// Serves a [`Kv`].
#[derive(Debug)]
pub struct KvHandler(pub Rc<Kv>);

impl Handler for KvHandler {
    async fn handle(&self, request: Request<Incoming>) -> ServerResponse {
        Rc::clone(&self.0).answer(request).await
    }
}
