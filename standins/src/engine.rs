//! Stand-in for a model engine: continuous batching, in which the time between
//! tokens grows with the batch, an enforced memory limit, and load and unload
//! orders that carry fencing tokens.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use currantcove::core::fleet::LoadReport;
use currantcove::core::ids::ArtifactId;
use currantcove::edge::body::{self, ServerResponse, Truncated};
use currantcove::edge::engine::{EngineStatus, LoadOrder, UnloadOrder};
use currantcove::edge::server::Handler;
use currantcove::services::dispatch::{LAST_EVENT_ID_HEADER, REQUEST_ID_HEADER};
use http_body_util::channel::Sender;
use http_body_util::{Channel, Either};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::oneshot;

use super::http::read_json;
use super::plan::EnginePlan;
use super::store::WeightStore;

/// Interval at which a frozen engine checks whether the fault is cleared.
const FROZEN_POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Response length of a request without `max_tokens`.
const DEFAULT_MAX_TOKENS: u64 = 16;

/// Faults that are injected into an engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Running requests and loads make no progress, and no request gets a response.
    pub is_frozen: bool,
    /// Factor on the token times; 0 means 1.
    pub slow_factor: u32,
    /// Orders get no response and have no effect.
    pub loses_orders: bool,
    /// Delay of orders in milliseconds, after which they take effect without a response;
    /// 0 disables the fault.
    pub late_order_ms: u64,
    /// Tokens after which a stream is truncated; 0 disables the fault.
    pub breaks_after_tokens: u64,
    /// The engine reports that it accepts no new requests, and rejects them.
    pub is_leaving: bool,
}

/// Counters of an engine.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineCounts {
    /// Load orders executed for models that were not resident.
    pub loads: u64,
    /// Unload orders executed for resident models.
    pub unloads: u64,
    /// Orders rejected for an outdated fencing token.
    pub fenced: u64,
    /// Load orders rejected because the model exceeds the free memory.
    pub overcommits: u64,
    /// Streams whose client disconnected.
    pub cancelled: u64,
    /// Requests admitted.
    pub requests: u64,
    /// Requests rejected because the engine was leaving.
    pub late_requests: u64,
}

#[derive(Clone, Debug)]
struct ResidentModel {
    memory_mib: u64,
    adapters: BTreeSet<String>,
    is_ready: bool,
    is_unloading: bool,
    in_flight: u32,
}

#[derive(Debug, Default)]
struct State {
    max_fencing_token: u64,
    models: BTreeMap<ArtifactId, ResidentModel>,
    running_requests: u32,
    /// EWMA of the service time.
    mean_request_ms: f64,
}

/// Model engine with enforced memory and injectable faults.
#[derive(Debug)]
pub struct Engine {
    plan: EnginePlan,
    store: Rc<WeightStore>,
    state: RefCell<State>,
    report: Cell<LoadReport>,
    counts: RefCell<EngineCounts>,
    faults: Cell<EngineFaults>,
}

#[derive(Debug, Deserialize)]
struct ChatRequest {
    model: String,
    #[serde(default)]
    stream: bool,
    #[serde(default)]
    max_tokens: Option<u64>,
    #[serde(default)]
    messages: Vec<ChatMessage>,
}

#[derive(Debug, Deserialize)]
struct ChatMessage {
    content: String,
}

impl ChatRequest {
    fn artifact(&self) -> ArtifactId {
        ArtifactId::new(self.model.split(':').next().unwrap_or_default())
    }

    fn adapter(&self) -> Option<&str> {
        self.model.split_once(':').map(|(_, a)| a)
    }

    /// First word of the last message, which every token repeats so that a caller
    /// detects a response to another request.
    fn prompt_word(&self) -> &str {
        let last = self.messages.last().map_or("", |m| m.content.as_str());
        last.split_whitespace().next().unwrap_or("")
    }

    fn token_count(&self) -> u64 {
        self.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS)
    }
}

impl Engine {
    /// Engine without resident models.
    pub fn new(plan: EnginePlan, store: Rc<WeightStore>) -> Self {
        Self {
            plan,
            store,
            state: RefCell::default(),
            report: Cell::default(),
            counts: RefCell::default(),
            faults: Cell::default(),
        }
    }

    /// Configured capacity and timing.
    pub fn plan(&self) -> &EnginePlan {
        &self.plan
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.faults.set(faults);
    }

    /// Counters since the start of the process.
    pub fn counts(&self) -> EngineCounts {
        self.counts.borrow().clone()
    }

    /// Simulates a restart: resident models and the highest fencing token are lost.
    pub fn restart(&self) {
        *self.state.borrow_mut() = State::default();
    }

    /// Models that accept requests.
    pub fn ready_models(&self) -> BTreeSet<ArtifactId> {
        let state = self.state.borrow();
        let ready = state
            .models
            .iter()
            .filter(|(_, m)| m.is_ready && !m.is_unloading);
        ready.map(|(a, _)| a.clone()).collect()
    }

    /// Refreshes the load report every `report_lag_ms`; clients read an outdated report in
    /// between.
    pub async fn refresh_load_report(self: Rc<Self>) {
        loop {
            self.report.set(self.current_load());
            compio::time::sleep(Duration::from_millis(self.plan.report_lag_ms.max(1))).await;
        }
    }

    fn current_load(&self) -> LoadReport {
        let state = self.state.borrow();
        let in_flight = state.models.values().map(|m| m.in_flight).sum();
        LoadReport {
            in_flight,
            mean_request_ms: state.mean_request_ms as u32,
        }
    }

    fn status(&self) -> EngineStatus {
        let state = self.state.borrow();
        let in_flight = state.models.iter().filter(|(_, m)| m.in_flight > 0);
        EngineStatus {
            seen_fence: state.max_fencing_token,
            resident_mib: state
                .models
                .iter()
                .map(|(a, m)| (a.clone(), m.memory_mib))
                .collect(),
            in_flight: in_flight.map(|(a, m)| (a.clone(), m.in_flight)).collect(),
            load: self.report.get(),
            accepts_work: !self.faults.get().is_leaving,
            ready: self.ready_models(),
        }
    }

    async fn wait_while_frozen(&self) {
        while self.faults.get().is_frozen {
            compio::time::sleep(FROZEN_POLL_INTERVAL).await;
        }
    }

    /// Applies the faults of orders; true if the response is dropped.
    async fn apply_order_faults(&self) -> bool {
        let faults = self.faults.get();
        if faults.loses_orders {
            return std::future::pending().await;
        }
        if faults.late_order_ms > 0 {
            compio::time::sleep(Duration::from_millis(faults.late_order_ms)).await;
            return true;
        }
        false
    }

    fn check_fencing_token(&self, token: u64) -> Result<(), ServerResponse> {
        let mut state = self.state.borrow_mut();
        if self.plan.checks_fencing && token < state.max_fencing_token {
            self.counts.borrow_mut().fenced += 1;
            return Err(body::text(409, "old fencing number\n"));
        }
        state.max_fencing_token = state.max_fencing_token.max(token);
        Ok(())
    }

    fn start_load(self: &Rc<Self>, order: &LoadOrder) -> Result<(), ServerResponse> {
        self.check_fencing_token(order.number)?;
        let mut state = self.state.borrow_mut();
        if let Some(model) = state.models.get_mut(&order.artifact) {
            model.is_unloading = false;
            return Ok(());
        }
        let used_mib: u64 = state.models.values().map(|m| m.memory_mib).sum();
        if used_mib + order.memory_mib > self.plan.memory_mib {
            self.counts.borrow_mut().overcommits += 1;
            return Err(body::text(413, "out of memory\n"));
        }
        let model = ResidentModel {
            memory_mib: order.memory_mib,
            adapters: BTreeSet::new(),
            is_ready: false,
            is_unloading: false,
            in_flight: 0,
        };
        state.models.insert(order.artifact.clone(), model);
        self.counts.borrow_mut().loads += 1;
        compio::runtime::spawn(Rc::clone(self).finish_load(order.clone())).detach();
        Ok(())
    }

    async fn finish_load(self: Rc<Self>, order: LoadOrder) {
        self.store.load().await;
        for adapter in &order.adapters {
            self.store.load_adapter().await;
            if let Some(model) = self.state.borrow_mut().models.get_mut(&order.artifact) {
                model.adapters.insert(adapter.clone());
            }
        }
        self.wait_while_frozen().await;
        if let Some(model) = self.state.borrow_mut().models.get_mut(&order.artifact) {
            model.is_ready = true;
        }
    }

    fn start_unload(&self, order: &UnloadOrder) -> Result<(), ServerResponse> {
        self.check_fencing_token(order.number)?;
        let mut state = self.state.borrow_mut();
        if let Some(model) = state.models.get_mut(&order.artifact) {
            model.is_unloading = true;
            self.counts.borrow_mut().unloads += 1;
        }
        drop(state);
        self.remove_drained_models();
        Ok(())
    }

    /// Removes unloading models once their last request has ended.
    fn remove_drained_models(&self) {
        let mut state = self.state.borrow_mut();
        state
            .models
            .retain(|_, m| !(m.is_unloading && m.in_flight == 0));
    }

    async fn handle_order(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<ServerResponse, ServerResponse> {
        let is_load = request.uri().path() == "/orders/load";
        let (response_sender, result) = oneshot::channel();
        // A task of its own executes the order even when the sender cancels the request.
        if is_load {
            let order: LoadOrder = read_json(request).await?;
            let task = async move {
                let is_dropped = self.apply_order_faults().await;
                respond_to_order(response_sender, is_dropped, self.start_load(&order));
            };
            compio::runtime::spawn(task).detach();
        } else {
            let order: UnloadOrder = read_json(request).await?;
            let task = async move {
                let is_dropped = self.apply_order_faults().await;
                respond_to_order(response_sender, is_dropped, self.start_unload(&order));
            };
            compio::runtime::spawn(task).detach();
        }
        match result.await {
            Ok(result) => result.map(|()| body::text(202, "accepted\n")),
            Err(_) => std::future::pending().await,
        }
    }

    fn admit_request(
        self: &Rc<Self>,
        chat: &ChatRequest,
    ) -> Result<RunningRequest, ServerResponse> {
        if self.faults.get().is_leaving {
            self.counts.borrow_mut().late_requests += 1;
            return Err(body::text(503, "leaving\n"));
        }
        let artifact = chat.artifact();
        let mut state = self.state.borrow_mut();
        let not_ready = || body::text(404, "model is not ready\n");
        let model = state.models.get_mut(&artifact).ok_or_else(not_ready)?;
        if !model.is_ready || model.is_unloading {
            return Err(not_ready());
        }
        if chat.adapter().is_some_and(|a| !model.adapters.contains(a)) {
            return Err(body::text(404, "adapter is not ready\n"));
        }
        model.in_flight += 1;
        state.running_requests += 1;
        self.counts.borrow_mut().requests += 1;
        Ok(RunningRequest {
            engine: Rc::clone(self),
            artifact,
            started: Instant::now(),
        })
    }

    fn token_gap(&self) -> Duration {
        let running = u64::from(self.state.borrow().running_requests);
        let slow_factor = self.faults.get().slow_factor.max(1);
        let gap_us = self.plan.token_gap_us + running * self.plan.token_gap_per_request_us;
        Duration::from_micros(gap_us) * slow_factor
    }

    fn first_token_time(&self) -> Duration {
        let running = self.state.borrow().running_requests;
        let batch_fill = f64::from(running) / f64::from(self.plan.max_batch.max(1));
        let slow_factor = f64::from(self.faults.get().slow_factor.max(1));
        Duration::from_millis(self.plan.first_token_ms).mul_f64(batch_fill.max(1.0) * slow_factor)
    }

    async fn handle_chat(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<ServerResponse, ServerResponse> {
        let request_id = request.headers().get(REQUEST_ID_HEADER).cloned();
        let last_event_id = request.headers().get(LAST_EVENT_ID_HEADER);
        let last_event_id: Option<u64> = last_event_id.and_then(|v| v.to_str().ok()?.parse().ok());
        let chat: ChatRequest = read_json(request).await?;
        let running = self.admit_request(&chat).map_err(|mut refusal| {
            let id = request_id.clone().into_iter();
            let headers = refusal.headers_mut();
            headers.extend(id.map(|id| (HeaderName::from_static(REQUEST_ID_HEADER), id)));
            refusal
        })?;
        let mut response = if chat.stream {
            let (sender, channel) = Channel::new(4);
            let first_index = last_event_id.map_or(0, |id| id + 1);
            compio::runtime::spawn(self.stream_tokens(chat, running, sender, first_index)).detach();
            let mut response = Response::new(Either::Right(channel.into()));
            let content_type = HeaderValue::from_static("text/event-stream");
            response.headers_mut().insert(CONTENT_TYPE, content_type);
            response
        } else {
            self.complete_chat(&chat, running).await
        };
        if let Some(id) = request_id {
            response.headers_mut().insert(REQUEST_ID_HEADER, id);
        }
        Ok(response)
    }

    async fn complete_chat(&self, chat: &ChatRequest, running: RunningRequest) -> ServerResponse {
        compio::time::sleep(self.first_token_time()).await;
        let mut content = String::new();
        for i in 0..chat.token_count() {
            self.wait_while_frozen().await;
            if i > 0 {
                compio::time::sleep(self.token_gap()).await;
            }
            content.push_str(&token_text(chat, i));
        }
        drop(running);
        let message = json!({ "role": "assistant", "content": content });
        let choice = json!({ "index": 0, "message": message, "finish_reason": "stop" });
        body::json(
            200,
            &json!({ "object": "chat.completion", "choices": [choice] }),
        )
    }

    async fn stream_tokens(
        self: Rc<Self>,
        chat: ChatRequest,
        running: RunningRequest,
        mut sender: Sender<Bytes, Truncated>,
        first_index: u64,
    ) {
        compio::time::sleep(self.first_token_time()).await;
        for i in first_index..chat.token_count() {
            self.wait_while_frozen().await;
            if i > first_index {
                compio::time::sleep(self.token_gap()).await;
            }
            let breaks_after = self.faults.get().breaks_after_tokens;
            if breaks_after > 0 && i - first_index >= breaks_after {
                drop(running);
                return sender.abort(Truncated);
            }
            if sender.send(token_event(&chat, i)).await.is_err() {
                self.counts.borrow_mut().cancelled += 1;
                return;
            }
        }
        drop(running);
        // A client that disconnects after the last token has received the whole text,
        // so it does not count as cancelled.
        let _ = sender
            .send(Frame::data(Bytes::from_static(b"data: [DONE]\n\n")))
            .await;
    }

    async fn handle_request(self: Rc<Self>, request: Request<Incoming>) -> ServerResponse {
        self.wait_while_frozen().await;
        let result = match request.uri().path() {
            "/status" => Ok(body::json(200, &self.status())),
            "/orders/load" | "/orders/unload" => self.handle_order(request).await,
            "/v1/chat/completions" => self.handle_chat(request).await,
            _ => Err(body::text(404, "no such path\n")),
        };
        result.unwrap_or_else(|response| response)
    }
}

/// Sends the response to an order, unless a fault drops it.
fn respond_to_order(
    response_sender: oneshot::Sender<Result<(), ServerResponse>>,
    is_dropped: bool,
    result: Result<(), ServerResponse>,
) {
    if !is_dropped {
        // The receiver is closed when the sender of the order has cancelled the request.
        let _ = response_sender.send(result);
    }
}

/// Admitted request, which frees its batch slot when dropped.
#[derive(Debug)]
struct RunningRequest {
    engine: Rc<Engine>,
    artifact: ArtifactId,
    started: Instant,
}

impl Drop for RunningRequest {
    fn drop(&mut self) {
        let took_ms = self.started.elapsed().as_secs_f64() * 1000.0;
        let mut state = self.engine.state.borrow_mut();
        state.running_requests = state.running_requests.saturating_sub(1);
        state.mean_request_ms = state.mean_request_ms * 0.9 + took_ms * 0.1;
        if let Some(model) = state.models.get_mut(&self.artifact) {
            model.in_flight = model.in_flight.saturating_sub(1);
        }
        drop(state);
        self.engine.remove_drained_models();
    }
}

fn token_text(chat: &ChatRequest, i: u64) -> String {
    format!("{}.{i} ", chat.prompt_word())
}

fn token_event(chat: &ChatRequest, i: u64) -> Frame<Bytes> {
    let delta = json!({ "content": token_text(chat, i) });
    let data = json!({
        "object": "chat.completion.chunk",
        "choices": [{ "index": 0, "delta": delta, "finish_reason": null }],
    });
    Frame::data(Bytes::from(format!("id: {i}\ndata: {data}\n\n")))
}

/// HTTP handler of an [`Engine`].
#[derive(Debug)]
pub struct EngineHandler(pub Rc<Engine>);

impl Handler for EngineHandler {
    async fn handle(&self, request: Request<Incoming>) -> ServerResponse {
        Rc::clone(&self.0).handle_request(request).await
    }
}
