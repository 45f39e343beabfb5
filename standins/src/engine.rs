//! Stand-in for a model engine: continuous batching with token times that
//! grow with the batch, memory that is enforced, orders with fencing numbers.

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
use hyper::header::{CONTENT_TYPE, HeaderValue};
use hyper::{Request, Response};
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::sync::oneshot;

use super::http::read_json;
use super::plan::EnginePlan;
use super::store::Store;

/// Pause of a frozen engine between two looks.
const FROZEN_PAUSE: Duration = Duration::from_millis(20);
/// Tokens of an answer that names no limit.
const DEFAULT_TOKENS: u64 = 16;

/// Faults of an engine.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Nothing moves and nothing is answered.
    pub is_frozen: bool,
    /// Token times are this many times longer; 0 means 1.
    pub slow_factor: u32,
    /// Orders get no answer and have no effect.
    pub loses_orders: bool,
    /// Orders get no answer and take effect after this time, in milliseconds.
    pub late_order_ms: u64,
    /// Streams break off after this many tokens; 0 means never.
    pub breaks_after_tokens: u64,
    /// The engine says that it takes no new work.
    pub is_leaving: bool,
}

/// What an engine has done.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineCounts {
    /// Load orders carried out.
    pub loads: u64,
    /// Unload orders carried out.
    pub unloads: u64,
    /// Orders refused for an old fencing number.
    pub fenced: u64,
    /// Orders beyond the engine's memory.
    pub overcommits: u64,
    /// Streams whose reader went away.
    pub cancelled: u64,
    /// Requests begun.
    pub requests: u64,
    /// Requests begun after the engine said that it is leaving.
    pub late_requests: u64,
}

#[derive(Clone, Debug)]
struct Resident {
    memory_mib: u64,
    adapters: BTreeSet<String>,
    is_ready: bool,
    is_leaving: bool,
    in_flight: u32,
}

#[derive(Debug, Default)]
struct State {
    seen_fence: u64,
    models: BTreeMap<ArtifactId, Resident>,
    running: u32,
    request_ms: f64,
}

/// The engine.
#[derive(Debug)]
pub struct Engine {
    plan: EnginePlan,
    store: Rc<Store>,
    state: RefCell<State>,
    report: Cell<LoadReport>,
    counts: RefCell<EngineCounts>,
    faults: Cell<EngineFaults>,
}

#[derive(Debug, Deserialize)]
struct Chat {
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

impl Chat {
    fn artifact(&self) -> ArtifactId {
        ArtifactId::new(self.model.split(':').next().unwrap_or_default())
    }

    fn adapter(&self) -> Option<&str> {
        self.model.split_once(':').map(|(_, a)| a)
    }

    /// First word of the last message; every token repeats it.
    fn subject(&self) -> &str {
        let last = self.messages.last().map_or("", |m| m.content.as_str());
        last.split_whitespace().next().unwrap_or("")
    }

    fn tokens(&self) -> u64 {
        self.max_tokens.unwrap_or(DEFAULT_TOKENS)
    }
}

impl Engine {
    /// Empty engine.
    pub fn new(plan: EnginePlan, store: Rc<Store>) -> Self {
        Self {
            plan,
            store,
            state: RefCell::default(),
            report: Cell::default(),
            counts: RefCell::default(),
            faults: Cell::default(),
        }
    }

    /// What it was set up as.
    pub fn plan(&self) -> &EnginePlan {
        &self.plan
    }

    /// Switches faults.
    pub fn set_faults(&self, faults: EngineFaults) {
        self.faults.set(faults);
    }

    /// What it has done.
    pub fn counts(&self) -> EngineCounts {
        self.counts.borrow().clone()
    }

    /// Restarts the engine: memory and fencing number are gone.
    pub fn restart(&self) {
        *self.state.borrow_mut() = State::default();
    }

    /// Models ready for requests.
    pub fn ready(&self) -> BTreeSet<ArtifactId> {
        let state = self.state.borrow();
        let ready = state
            .models
            .iter()
            .filter(|(_, m)| m.is_ready && !m.is_leaving);
        ready.map(|(a, _)| a.clone()).collect()
    }

    /// Renews the load report, once per lag.
    pub async fn report_load(self: Rc<Self>) {
        loop {
            self.report.set(self.load());
            compio::time::sleep(Duration::from_millis(self.plan.report_lag_ms.max(1))).await;
        }
    }

    fn load(&self) -> LoadReport {
        let state = self.state.borrow();
        let in_flight = state.models.values().map(|m| m.in_flight).sum();
        LoadReport {
            in_flight,
            mean_request_ms: state.request_ms as u32,
        }
    }

    fn status(&self) -> EngineStatus {
        let state = self.state.borrow();
        let in_flight = state.models.iter().filter(|(_, m)| m.in_flight > 0);
        EngineStatus {
            seen_fence: state.seen_fence,
            resident_mib: state
                .models
                .iter()
                .map(|(a, m)| (a.clone(), m.memory_mib))
                .collect(),
            in_flight: in_flight.map(|(a, m)| (a.clone(), m.in_flight)).collect(),
            load: self.report.get(),
            accepts_work: !self.faults.get().is_leaving,
            ready: self.ready(),
        }
    }

    async fn thawed(&self) {
        while self.faults.get().is_frozen {
            compio::time::sleep(FROZEN_PAUSE).await;
        }
    }

    /// Applies the faults of orders; true if the answer is to be lost.
    async fn delay_order(&self) -> bool {
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

    fn check_fence(&self, number: u64) -> Result<(), ServerResponse> {
        let mut state = self.state.borrow_mut();
        if self.plan.checks_fencing && number < state.seen_fence {
            self.counts.borrow_mut().fenced += 1;
            return Err(body::text(409, "old fencing number\n"));
        }
        state.seen_fence = state.seen_fence.max(number);
        Ok(())
    }

    fn begin_load(self: &Rc<Self>, order: &LoadOrder) -> Result<(), ServerResponse> {
        self.check_fence(order.number)?;
        let mut state = self.state.borrow_mut();
        if let Some(model) = state.models.get_mut(&order.artifact) {
            model.is_leaving = false;
            return Ok(());
        }
        let used_mib: u64 = state.models.values().map(|m| m.memory_mib).sum();
        if used_mib + order.memory_mib > self.plan.memory_mib {
            self.counts.borrow_mut().overcommits += 1;
            return Err(body::text(413, "out of memory\n"));
        }
        let model = Resident {
            memory_mib: order.memory_mib,
            adapters: BTreeSet::new(),
            is_ready: false,
            is_leaving: false,
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
        self.thawed().await;
        if let Some(model) = self.state.borrow_mut().models.get_mut(&order.artifact) {
            model.is_ready = true;
        }
    }

    fn begin_unload(&self, order: &UnloadOrder) -> Result<(), ServerResponse> {
        self.check_fence(order.number)?;
        let mut state = self.state.borrow_mut();
        if let Some(model) = state.models.get_mut(&order.artifact) {
            model.is_leaving = true;
            self.counts.borrow_mut().unloads += 1;
        }
        drop(state);
        self.drop_left();
        Ok(())
    }

    /// Frees models that are leaving and have no request in flight.
    fn drop_left(&self) {
        let mut state = self.state.borrow_mut();
        state
            .models
            .retain(|_, m| !(m.is_leaving && m.in_flight == 0));
    }

    async fn order(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<ServerResponse, ServerResponse> {
        let is_load = request.uri().path() == "/orders/load";
        let (done, result) = oneshot::channel();
        // The order lives on when its sender gives up.
        if is_load {
            let order: LoadOrder = read_json(request).await?;
            let task = async move {
                let is_lost = self.delay_order().await;
                finish_order(done, is_lost, self.begin_load(&order));
            };
            compio::runtime::spawn(task).detach();
        } else {
            let order: UnloadOrder = read_json(request).await?;
            let task = async move {
                let is_lost = self.delay_order().await;
                finish_order(done, is_lost, self.begin_unload(&order));
            };
            compio::runtime::spawn(task).detach();
        }
        match result.await {
            Ok(result) => result.map(|()| body::text(202, "accepted\n")),
            Err(_) => std::future::pending().await,
        }
    }

    fn begin_request(self: &Rc<Self>, chat: &Chat) -> Result<Running, ServerResponse> {
        if self.faults.get().is_leaving {
            self.counts.borrow_mut().late_requests += 1;
            return Err(body::text(503, "leaving\n"));
        }
        let artifact = chat.artifact();
        let mut state = self.state.borrow_mut();
        let not_ready = || body::text(404, "model is not ready\n");
        let model = state.models.get_mut(&artifact).ok_or_else(not_ready)?;
        if !model.is_ready || model.is_leaving {
            return Err(not_ready());
        }
        if chat.adapter().is_some_and(|a| !model.adapters.contains(a)) {
            return Err(body::text(404, "adapter is not ready\n"));
        }
        model.in_flight += 1;
        state.running += 1;
        self.counts.borrow_mut().requests += 1;
        Ok(Running {
            engine: Rc::clone(self),
            artifact,
            started: Instant::now(),
        })
    }

    fn token_gap(&self) -> Duration {
        let running = u64::from(self.state.borrow().running);
        let slow = self.faults.get().slow_factor.max(1);
        let gap_us = self.plan.token_gap_us + running * self.plan.token_gap_per_request_us;
        Duration::from_micros(gap_us) * slow
    }

    fn first_token_time(&self) -> Duration {
        let running = self.state.borrow().running;
        let over = f64::from(running) / f64::from(self.plan.max_batch.max(1));
        let slow = f64::from(self.faults.get().slow_factor.max(1));
        Duration::from_millis(self.plan.first_token_ms).mul_f64(over.max(1.0) * slow)
    }

    async fn chat(
        self: Rc<Self>,
        request: Request<Incoming>,
    ) -> Result<ServerResponse, ServerResponse> {
        let request_id = request.headers().get(REQUEST_ID_HEADER).cloned();
        let resume_after = request.headers().get(LAST_EVENT_ID_HEADER);
        let resume_after: Option<u64> = resume_after.and_then(|v| v.to_str().ok()?.parse().ok());
        let chat: Chat = read_json(request).await?;
        let running = self.begin_request(&chat)?;
        let mut answer = if chat.stream {
            let (sender, channel) = Channel::new(4);
            let first = resume_after.map_or(0, |id| id + 1);
            compio::runtime::spawn(self.stream(chat, running, sender, first)).detach();
            let mut answer = Response::new(Either::Right(channel.into()));
            let kind = HeaderValue::from_static("text/event-stream");
            answer.headers_mut().insert(CONTENT_TYPE, kind);
            answer
        } else {
            self.whole(&chat, running).await
        };
        if let Some(id) = request_id {
            answer.headers_mut().insert(REQUEST_ID_HEADER, id);
        }
        Ok(answer)
    }

    async fn whole(&self, chat: &Chat, running: Running) -> ServerResponse {
        compio::time::sleep(self.first_token_time()).await;
        let mut content = String::new();
        for i in 0..chat.tokens() {
            self.thawed().await;
            if i > 0 {
                compio::time::sleep(self.token_gap()).await;
            }
            content.push_str(&token(chat, i));
        }
        drop(running);
        let message = json!({ "role": "assistant", "content": content });
        let choice = json!({ "index": 0, "message": message, "finish_reason": "stop" });
        body::json(
            200,
            &json!({ "object": "chat.completion", "choices": [choice] }),
        )
    }

    async fn stream(
        self: Rc<Self>,
        chat: Chat,
        running: Running,
        mut to: Sender<Bytes, Truncated>,
        first: u64,
    ) {
        compio::time::sleep(self.first_token_time()).await;
        for i in first..chat.tokens() {
            self.thawed().await;
            if i > first {
                compio::time::sleep(self.token_gap()).await;
            }
            let breaks_after = self.faults.get().breaks_after_tokens;
            if breaks_after > 0 && i - first >= breaks_after {
                drop(running);
                return to.abort(Truncated);
            }
            if to.send(event(&chat, i)).await.is_err() {
                self.counts.borrow_mut().cancelled += 1;
                return;
            }
        }
        drop(running);
        // A reader that went away after the last token has lost nothing.
        let _ = to
            .send(Frame::data(Bytes::from_static(b"data: [DONE]\n\n")))
            .await;
    }

    async fn answer(self: Rc<Self>, request: Request<Incoming>) -> ServerResponse {
        self.thawed().await;
        let result = match request.uri().path() {
            "/status" => Ok(body::json(200, &self.status())),
            "/orders/load" | "/orders/unload" => self.order(request).await,
            "/v1/chat/completions" => self.chat(request).await,
            _ => Err(body::text(404, "no such path\n")),
        };
        result.unwrap_or_else(|answer| answer)
    }
}

/// Answers an order, unless its answer is to be lost.
fn finish_order(
    done: oneshot::Sender<Result<(), ServerResponse>>,
    is_lost: bool,
    result: Result<(), ServerResponse>,
) {
    if !is_lost {
        // The sender of the order may have given up.
        let _ = done.send(result);
    }
}

/// Request that runs; its end frees its place in the batch.
#[derive(Debug)]
struct Running {
    engine: Rc<Engine>,
    artifact: ArtifactId,
    started: Instant,
}

impl Drop for Running {
    fn drop(&mut self) {
        let took_ms = self.started.elapsed().as_secs_f64() * 1000.0;
        let mut state = self.engine.state.borrow_mut();
        state.running = state.running.saturating_sub(1);
        state.request_ms = state.request_ms * 0.9 + took_ms * 0.1;
        if let Some(model) = state.models.get_mut(&self.artifact) {
            model.in_flight = model.in_flight.saturating_sub(1);
        }
        drop(state);
        self.engine.drop_left();
    }
}

fn token(chat: &Chat, i: u64) -> String {
    format!("{}.{i} ", chat.subject())
}

fn event(chat: &Chat, i: u64) -> Frame<Bytes> {
    let delta = json!({ "content": token(chat, i) });
    let data = json!({
        "object": "chat.completion.chunk",
        "choices": [{ "index": 0, "delta": delta, "finish_reason": null }],
    });
    Frame::data(Bytes::from(format!("id: {i}\ndata: {data}\n\n")))
}

/// Serves an [`Engine`].
#[derive(Debug)]
pub struct EngineHandler(pub Rc<Engine>);

impl Handler for EngineHandler {
    async fn handle(&self, request: Request<Incoming>) -> ServerResponse {
        Rc::clone(&self.0).answer(request).await
    }
}
