//! Stand-in for the platform's key-value service: the part of etcd's v3 JSON
//! gateway that currantcove uses, with rate limits, latency and injected faults.

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

use super::http::{read_json, truncated_response};
use super::kv_store::{KvData, is_write};
use super::plan::KvPlan;

/// Interval at which a watch polls the store for changes.
const WATCH_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Faults that are injected into the service.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct KvFaults {
    /// Calls get no response and have no effect, and open watches are truncated.
    pub is_down: bool,
    /// Transactions take effect, but their responses are truncated.
    pub loses_answers: bool,
    /// Additional latency of each call in milliseconds.
    pub slow_ms: u64,
    /// Watches stay open and send no events.
    pub watch_is_stuck: bool,
}

/// Call counters of the service.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct KvCallCounts {
    /// Reads and watch requests.
    pub reads: u64,
    /// Lease grants and transactions with a write operation.
    pub writes: u64,
    /// Calls rejected by the rate limits.
    pub refused: u64,
    /// Largest number of reads in one second.
    pub peak_reads_per_s: u32,
    /// Largest number of writes in one second.
    pub peak_writes_per_s: u32,
}

#[derive(Debug, Default)]
struct RateWindow {
    second: u64,
    reads: u32,
    writes: u32,
}

/// Key-value service with rate limits and injectable faults.
#[derive(Debug)]
pub struct Kv {
    plan: KvPlan,
    clock: Clock,
    data: RefCell<KvData>,
    window: RefCell<RateWindow>,
    call_counts: Cell<KvCallCounts>,
    faults: Cell<KvFaults>,
}

impl Kv {
    /// Service without keys.
    pub fn new(plan: KvPlan) -> Self {
        Self {
            plan,
            clock: Clock::default(),
            data: RefCell::default(),
            window: RefCell::default(),
            call_counts: Cell::default(),
            faults: Cell::default(),
        }
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: KvFaults) {
        self.faults.set(faults);
    }

    /// Counters since the start of the process.
    pub fn call_counts(&self) -> KvCallCounts {
        self.call_counts.get()
    }

    /// Counts a call; false if it exceeds the limit of the current second.
    fn admit(&self, has_writes: bool) -> bool {
        let second = self.clock.now_ms() / 1000;
        let mut window = self.window.borrow_mut();
        if window.second != second {
            *window = RateWindow {
                second,
                ..RateWindow::default()
            };
        }
        let mut counts = self.call_counts.get();
        let (count, limit, total, peak) = if has_writes {
            let w = &mut window.writes;
            (
                w,
                self.plan.writes_per_s,
                &mut counts.writes,
                &mut counts.peak_writes_per_s,
            )
        } else {
            let r = &mut window.reads;
            (
                r,
                self.plan.reads_per_s,
                &mut counts.reads,
                &mut counts.peak_reads_per_s,
            )
        };
        *count += 1;
        *total += 1;
        *peak = (*peak).max(*count);
        let is_admitted = *count <= limit;
        counts.refused += u64::from(!is_admitted);
        self.call_counts.set(counts);
        is_admitted
    }

    async fn range(&self, request: Request<Incoming>) -> Result<ServerResponse, ServerResponse> {
        let range: RangeRequest = read_json(request).await?;
        if !self.admit(false) {
            return Err(rate_limited());
        }
        Ok(body::json(200, &self.data.borrow().range(&range)))
    }

    async fn txn(&self, request: Request<Incoming>) -> Result<ServerResponse, ServerResponse> {
        let txn: TxnRequest = read_json(request).await?;
        let has_writes = txn.success.iter().chain(&txn.failure).any(is_write);
        if !self.admit(has_writes) {
            return Err(rate_limited());
        }
        let result = self.data.borrow_mut().txn(&txn);
        if self.faults.get().loses_answers {
            return Err(truncated_response());
        }
        Ok(body::json(200, &result))
    }

    async fn grant_lease(
        &self,
        request: Request<Incoming>,
    ) -> Result<ServerResponse, ServerResponse> {
        let grant: LeaseGrantRequest = read_json(request).await?;
        if !self.admit(true) {
            return Err(rate_limited());
        }
        let mut data = self.data.borrow_mut();
        let id = data.grant_lease(self.clock.now_ms() + grant.ttl_s * 1000);
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
            return Err(rate_limited());
        }
        let (sender, channel) = Channel::new(16);
        compio::runtime::spawn(self.stream_changes(watch.create_request, sender)).detach();
        Ok(Response::new(Either::Right(channel.into())))
    }

    async fn stream_changes(
        self: Rc<Self>,
        watch: WatchCreate,
        mut sender: Sender<Bytes, Truncated>,
    ) {
        let mut from_revision = watch.start_revision;
        loop {
            let faults = self.faults.get();
            if faults.is_down {
                return sender.abort(Truncated);
            }
            let events = if faults.watch_is_stuck {
                Vec::new()
            } else {
                self.data
                    .borrow()
                    .events_since(&watch.key, &watch.range_end, from_revision)
            };
            if !events.is_empty() {
                from_revision = self.data.borrow().revision() + 1;
                let header = self.data.borrow().header();
                let result = WatchResult {
                    header,
                    canceled: false,
                    events,
                };
                let mut line = serde_json::to_vec(&WatchMessage { result }).unwrap_or_default();
                line.push(b'\n');
                if sender.send(Frame::data(Bytes::from(line))).await.is_err() {
                    return;
                }
            }
            compio::time::sleep(WATCH_POLL_INTERVAL).await;
        }
    }

    async fn handle_request(self: Rc<Self>, request: Request<Incoming>) -> ServerResponse {
        let faults = self.faults.get();
        if faults.is_down {
            return std::future::pending().await;
        }
        let latency_ms = self.plan.latency_ms + faults.slow_ms;
        compio::time::sleep(Duration::from_millis(latency_ms)).await;
        self.data.borrow_mut().expire_leases(self.clock.now_ms());
        let result = match request.uri().path() {
            "/v3/kv/range" => self.range(request).await,
            "/v3/kv/txn" => self.txn(request).await,
            "/v3/lease/grant" => self.grant_lease(request).await,
            "/v3/watch" => self.watch(request).await,
            _ => Err(body::text(404, "no such path\n")),
        };
        result.unwrap_or_else(|response| response)
    }
}

fn rate_limited() -> ServerResponse {
    body::text(429, "too many calls\n")
}

/// HTTP handler of a [`Kv`].
#[derive(Debug)]
pub struct KvHandler(pub Rc<Kv>);

impl Handler for KvHandler {
    async fn handle(&self, request: Request<Incoming>) -> ServerResponse {
        Rc::clone(&self.0).handle_request(request).await
    }
}
