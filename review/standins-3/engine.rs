//! Stand-in of a model engine with one model and its adapters. Runs as a process of its own.
//!
//! A faulty engine sends a second answer for a share of its answers, late: at the point
//! where the next answer on the connection is expected.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant, SystemTime};

use crate::http::{self, Message};
use crate::json::{Json, num, obj, text, to_base64};
use crate::server::HEARTBEAT;

/// Age of the values in a report.
const REPORT_LAG: Duration = Duration::from_millis(100);
/// Time that an adapter takes to load.
const ADAPTER_LOAD: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, Debug, PartialEq)]
enum Slot {
    Loading(Instant),
    Ready,
    Unloading,
}

#[derive(Clone, Default)]
struct State {
    adapters: BTreeMap<String, Slot>,
    /// Running requests by adapter.
    runs: HashMap<String, u32>,
    sequence: u64,
    highest_fence: u64,
}

impl State {
    fn settle(&mut self) {
        let now = Instant::now();
        for slot in self.adapters.values_mut() {
            if matches!(slot, Slot::Loading(at) if now >= *at) {
                *slot = Slot::Ready;
            }
        }
        let runs = &self.runs;
        let is_used = |a: &String| runs.get(a).copied().unwrap_or(0) > 0;
        self.adapters.retain(|a, slot| *slot != Slot::Unloading || is_used(a));
    }
}

struct Engine {
    id: String,
    service: String,
    zone: String,
    port: u16,
    slots: u64,
    adapter_slots: usize,
    born: u64,
    record: String,
    store: SocketAddr,
    /// Answers out of a thousand that are followed by a late second one.
    extra_per_mille: u64,
    draws: Mutex<u64>,
    state: Mutex<State>,
    past: Mutex<VecDeque<(Instant, State)>>,
}

/// Runs until the process is killed, or ends as an engine that is ordered to load too much.
pub fn run(arguments: impl Iterator<Item = String>) {
    let given: HashMap<String, String> =
        arguments.filter_map(|a| a.split_once('=').map(|(n, v)| (n.to_owned(), v.to_owned()))).collect();
    let get = |name: &str| given.get(name).cloned().unwrap_or_default();
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap();
    let held = (1..=get("held").parse().unwrap_or(8)).map(|n: u32| (format!("a{n}"), Slot::Ready));
    let state = State { adapters: held.collect(), ..State::default() };
    let engine = Arc::new(Engine {
        id: get("id"),
        service: get("service"),
        zone: get("zone"),
        port: get("port").parse().expect("port"),
        slots: get("slots").parse().unwrap_or(64),
        adapter_slots: get("adapter_slots").parse().unwrap_or(8),
        born: now.as_millis() as u64,
        record: get("record"),
        store: get("store").parse().expect("store"),
        extra_per_mille: get("extra_per_mille").parse().unwrap_or(0),
        draws: Mutex::new(get("seed").parse().unwrap_or(1)),
        state: Mutex::new(state),
        past: Mutex::default(),
    });
    let listener = TcpListener::bind(("127.0.0.1", engine.port)).expect("listen");
    let reporting = Arc::clone(&engine);
    std::thread::spawn(move || {
        for sequence in 1.. {
            reporting.heartbeat(sequence);
            std::thread::sleep(HEARTBEAT);
        }
    });
    let keeping = Arc::clone(&engine);
    std::thread::spawn(move || {
        loop {
            keeping.keep_past();
            std::thread::sleep(Duration::from_millis(5));
        }
    });
    for stream in listener.incoming().flatten() {
        let engine = Arc::clone(&engine);
        std::thread::spawn(move || engine.converse(stream));
    }
}

impl Engine {
    fn draw(&self) -> u64 {
        let mut draws = self.draws.lock().unwrap();
        *draws = draws.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (*draws >> 33) % 1_000
    }

    fn keep_past(&self) {
        let state = {
            let mut state = self.state.lock().unwrap();
            state.settle();
            state.clone()
        };
        let mut past = self.past.lock().unwrap();
        past.push_back((Instant::now(), state));
        while past.len() > 2 && past[1].0.elapsed() > REPORT_LAG {
            past.pop_front();
        }
    }

    fn models(state: &State) -> Json {
        let is_ready = |s: &Slot| !matches!(s, Slot::Loading(_));
        let ready = state.adapters.iter().filter(|(_, s)| is_ready(s));
        let adapters = ready.map(|(a, _)| text(a)).collect();
        Json::Arr(vec![obj(vec![
            ("name", text("m1")),
            ("version", num(1)),
            ("adapters", Json::Arr(adapters)),
        ])])
    }

    fn heartbeat(&self, sequence: u64) {
        let models = Self::models(&self.state.lock().unwrap());
        let entry = obj(vec![
            ("service", text(&self.service)),
            ("address", Json::Str(format!("127.0.0.1:{}", self.port))),
            ("zone", text(&self.zone)),
            ("version", text("v1")),
            ("slots", num(self.slots)),
            ("state", text("ready")),
            ("cold_remaining_ms", num(0)),
            ("phase", text("mixed")),
            ("models", models),
            ("sequence", num(sequence)),
            ("born", num(self.born)),
        ]);
        let write = obj(vec![
            ("key", Json::Str(format!("servers/{}", self.id))),
            ("value", Json::Str(to_base64(entry.to_string().as_bytes()))),
            ("lease", num(0)),
        ]);
        let txn = obj(vec![("writes", Json::Arr(vec![write]))]);
        http::call(self.store, "POST", "/v1/kv-txn", &txn.to_string(), Duration::from_secs(1));
    }

    fn converse(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        let mut late: Option<Vec<u8>> = None;
        while let Some(request) = http::read_message(&mut reader) {
            if let Some(extra) = late.take() {
                let status = String::from_utf8_lossy(&extra[9..12]).into_owned();
                self.record(&format!("extra answer {status} before the one to {}", request.line));
                if writer.write_all(&extra).is_err() {
                    return;
                }
            }
            let answer = if request.path() == "/v1/report" {
                self.report()
            } else if request.path() == "/v1/order" {
                self.order(&request)
            } else {
                match self.generate(&request, &mut writer) {
                    Some(refusal) if !refusal.is_empty() => refusal,
                    Some(_) => continue,
                    None => return,
                }
            };
            if self.draw() < self.extra_per_mille {
                late = Some(answer.clone());
            }
            if writer.write_all(&answer).is_err() {
                return;
            }
        }
    }

    fn report(&self) -> Vec<u8> {
        let state = {
            let past = self.past.lock().unwrap();
            past.front().map(|(_, state)| state.clone()).unwrap_or_default()
        };
        let pending = state.adapters.iter().filter(|(_, s)| matches!(s, Slot::Loading(_)));
        let pending = pending.map(|(a, _)| Json::Str(format!("m1/{a}@1"))).collect();
        let active: u32 = state.runs.values().sum();
        let body = obj(vec![
            ("phase", text("mixed")),
            ("models", Self::models(&state)),
            ("busy", Json::Bool(false)),
            ("sequence", num(state.sequence)),
            ("queued", num(0)),
            ("active", num(u64::from(active))),
            ("kv_used", num(1_000)),
            ("kv_total", num(120_662)),
            ("handles", num(0)),
            ("pending", Json::Arr(pending)),
            ("born", num(self.born)),
        ]);
        http::response(200, &[("content-type", "application/json")], &body.to_string())
    }

    fn order(&self, request: &Message) -> Vec<u8> {
        let status = self.carry_out(request);
        http::response(status, &[], "")
    }

    fn carry_out(&self, request: &Message) -> u16 {
        if request.header("expect-instance") != self.id {
            return 421;
        }
        let order = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
        let (adapter, operation) = (order.get("adapter").text(), order.get("operation").text());
        let mut state = self.state.lock().unwrap();
        state.settle();
        let fence = order.get("fencing_token").number();
        if fence < state.highest_fence {
            return 412;
        }
        state.highest_fence = fence;
        if order.get("expected") != &Json::Null && order.get("expected").number() != state.sequence {
            return 409;
        }
        if adapter.is_empty() || order.get("model").text() != "m1" {
            return 409;
        }
        let held = state.adapters.len();
        let is_used = state.runs.get(adapter).copied().unwrap_or(0) > 0;
        let status = match (operation, state.adapters.get(adapter).copied()) {
            ("load", Some(Slot::Ready)) => return 200,
            ("load", Some(_)) => 409,
            ("load", None) if held >= self.adapter_slots => {
                self.record(&format!(
                    "CRASH {}: ordered by {} to load {adapter} beside {held} adapters {:?}",
                    self.id,
                    order.get("holder").text(),
                    state.adapters
                ));
                std::process::exit(3);
            }
            ("load", None) => {
                state.adapters.insert(adapter.to_owned(), Slot::Loading(Instant::now() + ADAPTER_LOAD));
                202
            }
            ("unload", Some(Slot::Ready)) if is_used => {
                state.adapters.insert(adapter.to_owned(), Slot::Unloading);
                202
            }
            ("unload", Some(Slot::Ready)) => {
                state.adapters.remove(adapter);
                200
            }
            ("unload", None) => return 200,
            _ => 409,
        };
        if status != 409 {
            state.sequence += 1;
        }
        drop(state);
        self.record(&format!("order {operation} {adapter} {status}"));
        status
    }

    /// Runs a request; a refusal to send, an empty one after a stream, or `None` if the
    /// connection has ended.
    fn generate(&self, request: &Message, writer: &mut TcpStream) -> Option<Vec<u8>> {
        let id = request.header("request-id");
        if request.header("expect-instance") != self.id {
            return Some(http::response(421, &[("request-id", id), ("instance-id", &self.id)], ""));
        }
        let (model, adapter) = request.header("model").split_once('/').unwrap_or((request.header("model"), ""));
        {
            let mut state = self.state.lock().unwrap();
            state.settle();
            let slot = state.adapters.get(adapter).copied();
            if model != "m1" || (!adapter.is_empty() && slot.is_none()) {
                return Some(http::response(421, &[("request-id", id)], ""));
            }
            if !adapter.is_empty() && slot != Some(Slot::Ready) {
                return Some(http::response(503, &[("request-id", id), ("not-executed", "1")], ""));
            }
            *state.runs.entry(adapter.to_owned()).or_default() += 1;
        }
        self.record(&format!("ran {id} with {adapter}"));
        let sent = self.stream(request, writer);
        let mut state = self.state.lock().unwrap();
        if let Some(runs) = state.runs.get_mut(adapter) {
            *runs -= 1;
        }
        sent.map(|()| Vec::new())
    }

    fn stream(&self, request: &Message, writer: &mut TcpStream) -> Option<()> {
        let id = request.header("request-id");
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let count: u64 = body.strip_prefix("events=").and_then(|n| n.parse().ok()).unwrap_or(57);
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nrequest-id: {id}\r\n\
             server-stamp: {}.{id}\r\ntransfer-encoding: chunked\r\n\r\n",
            self.id
        );
        writer.write_all(head.as_bytes()).ok()?;
        for number in after + 1..=count {
            std::thread::sleep(Duration::from_millis(28));
            let event = format!("id: {number}\ndata: v1 {} piece {number} of {count}\n\n", self.id);
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).ok()?;
        }
        writer.write_all(b"0\r\n\r\n").ok()
    }

    fn record(&self, line: &str) {
        let file = std::fs::OpenOptions::new().append(true).create(true).open(&self.record);
        if let Ok(mut file) = file {
            let _ = file.write_all(format!("{} {line}\n", self.id).as_bytes());
        }
    }
}
