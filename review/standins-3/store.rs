//! Stand-in of the platform's store: items with revisions, transactions, leases and watches.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{self, Message};
use crate::json::{Json, from_base64, num, obj, text, to_base64};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone)]
struct Lease {
    ttl_ms: u64,
    until: Instant,
}

#[derive(Clone, Default)]
struct State {
    items: BTreeMap<String, Item>,
    /// Changes: revision, key, and the value with its lease unless the key was removed.
    log: Vec<(u64, String, Option<Item>)>,
    /// Changes up to this revision are dropped.
    compacted: u64,
    revision: u64,
    leases: BTreeMap<u64, Lease>,
    last_lease: u64,
    era: u64,
}

/// Content of the store at a time, from which it can be restored.
pub struct Copy(State);

/// How one machine reaches the store.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Access {
    Open,
    /// Connections are reset.
    Reset,
    /// No response.
    Silent,
    /// 503, with nothing done.
    Busy,
    /// Writes are done and their answers lost, for this share in percent.
    Lost(u64),
    /// Calls take this long, in milliseconds.
    Slow(u64),
}

pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    draws: Mutex<u64>,
}

/// Address of the store for one machine.
pub struct Door {
    pub addr: SocketAddr,
    access: Mutex<Access>,
}

impl Door {
    pub fn set(&self, access: Access) {
        *self.access.lock().unwrap() = access;
    }

    fn get(&self) -> Access {
        *self.access.lock().unwrap()
    }
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |i| i.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.log.push((self.revision, key.to_owned(), Some(item.clone())));
        self.items.insert(key.to_owned(), item);
    }

    fn delete(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.log.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        let is_known = self.leases.remove(&lease).is_some();
        let keys: Vec<String> =
            self.items.iter().filter(|(_, i)| lease != 0 && i.lease == lease).map(|(k, _)| k.clone()).collect();
        for key in keys {
            self.delete(&key);
        }
        is_known
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<u64> = self.leases.iter().filter(|(_, l)| now >= l.until).map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }
}

fn to_json(key: &str, item: &Item) -> Json {
    obj(vec![
        ("key", text(key)),
        ("value", Json::Str(to_base64(&item.value))),
        ("revision", num(item.revision)),
        ("created", num(item.created)),
        ("lease", num(item.lease)),
    ])
}

impl Store {
    pub fn start() -> Arc<Self> {
        let store = Arc::new(Self {
            state: Mutex::new(State { revision: 100, ..State::default() }),
            changed: Condvar::new(),
            draws: Mutex::new(1),
        });
        let expiring = Arc::clone(&store);
        std::thread::spawn(move || loop {
            std::thread::sleep(Duration::from_millis(20));
            expiring.state().expire();
            expiring.changed.notify_all();
        });
        store
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Opens an address for one machine.
    pub fn open_door(self: &Arc<Self>) -> Arc<Door> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
        let door = Arc::new(Door {
            addr: listener.local_addr().expect("address"),
            access: Mutex::new(Access::Open),
        });
        let (store, at) = (Arc::clone(self), Arc::clone(&door));
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let (store, at) = (Arc::clone(&store), Arc::clone(&at));
                std::thread::spawn(move || store.converse(stream, &at));
            }
        });
        door
    }

    pub fn put(&self, key: &str, value: &str) {
        self.state().put(key, value.as_bytes().to_vec(), 0);
        self.changed.notify_all();
    }

    pub fn delete(&self, key: &str) {
        self.state().delete(key);
        self.changed.notify_all();
    }

    pub fn get(&self, key: &str) -> Option<String> {
        let state = self.state();
        state.items.get(key).map(|i| String::from_utf8_lossy(&i.value).into_owned())
    }

    pub fn keys(&self, prefix: &str) -> Vec<String> {
        self.state().items.keys().filter(|k| k.starts_with(prefix)).cloned().collect()
    }

    pub fn copy(&self) -> Copy {
        Copy(self.state().clone())
    }

    /// Comes back from a copy.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.state();
        let era = state.era + 1;
        *state = copy.0;
        state.era = era;
        let now = Instant::now();
        for lease in state.leases.values_mut() {
            lease.until = now + Duration::from_millis(lease.ttl_ms);
        }
        drop(state);
        self.changed.notify_all();
    }

    /// Drops the history.
    pub fn compact(&self) {
        let mut state = self.state();
        state.compacted = state.revision;
        state.log.clear();
        drop(state);
        self.changed.notify_all();
    }

    fn draw(&self) -> u64 {
        let mut draws = self.draws.lock().unwrap();
        *draws = draws.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (*draws >> 33) % 100
    }

    fn converse(&self, stream: TcpStream, door: &Door) {
        stream.set_nodelay(true).ok();
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_message(&mut reader) {
            let is_write = request.path().starts_with("/v1/kv-txn");
            match door.get() {
                Access::Reset => return,
                Access::Silent => {
                    while door.get() == Access::Silent {
                        std::thread::sleep(Duration::from_millis(20));
                    }
                    return;
                }
                Access::Slow(ms) => std::thread::sleep(Duration::from_millis(ms)),
                _ => {}
            }
            let (status, body) = if door.get() == Access::Busy {
                (503, obj(vec![]))
            } else {
                self.respond(&request, door)
            };
            match door.get() {
                Access::Silent | Access::Reset => return,
                Access::Lost(percent) if is_write && self.draw() < percent => return,
                _ => {}
            }
            let era = self.state().era.to_string();
            let headers = [("store-era", era.as_str()), ("content-type", "application/json")];
            let sent = http::response(status, &headers, &body.to_string());
            if writer.write_all(&sent).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message, door: &Door) -> (u16, Json) {
        let path = request.path().to_owned();
        let id = || path.rsplit('/').next().and_then(|l| l.parse().ok()).unwrap_or(0);
        if path.starts_with("/v1/kv-watch") {
            return self.watch(request, door);
        }
        let mut state = self.state();
        state.expire();
        let result = if path.starts_with("/v1/kv-range") {
            let (prefix, after) = (request.query("prefix"), request.query("after"));
            let found = state.items.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
            let mut items: Vec<Json> = found.take(501).map(|(k, i)| to_json(k, i)).collect();
            let is_truncated = items.len() > 500;
            items.truncate(500);
            let page = obj(vec![
                ("items", Json::Arr(items)),
                ("truncated", Json::Bool(is_truncated)),
                ("current_rev", num(state.revision)),
            ]);
            (200, page)
        } else if path.starts_with("/v1/kv-key") {
            match state.items.get(&request.query("key")) {
                Some(item) => (200, to_json(&request.query("key"), item)),
                None => (404, obj(vec![])),
            }
        } else if path == "/v1/kv-txn" {
            transact(&mut state, &request.body)
        } else if path == "/v1/kv-lease" {
            let body = Json::parse(&String::from_utf8_lossy(&request.body)).unwrap_or(Json::Null);
            let ttl_ms = body.get("ttl_ms").number().clamp(1_000, 600_000);
            state.last_lease += 1;
            let lease = state.last_lease;
            let until = Instant::now() + Duration::from_millis(ttl_ms);
            state.leases.insert(lease, Lease { ttl_ms, until });
            (200, obj(vec![("lease", num(lease)), ("ttl_ms", num(ttl_ms))]))
        } else if path.starts_with("/v1/kv-keep/") {
            match state.leases.get_mut(&id()) {
                Some(lease) => {
                    lease.until = Instant::now() + Duration::from_millis(lease.ttl_ms);
                    (200, obj(vec![("ttl_ms", num(lease.ttl_ms))]))
                }
                None => (404, obj(vec![])),
            }
        } else if path.starts_with("/v1/kv-lease-end/") {
            let is_known = state.end_lease(id());
            (if is_known { 200 } else { 404 }, obj(vec![]))
        } else {
            (404, obj(vec![]))
        };
        drop(state);
        self.changed.notify_all();
        result
    }

    fn watch(&self, request: &Message, door: &Door) -> (u16, Json) {
        let prefix = request.query("prefix");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait_ms: u64 = request.query("wait_ms").parse().unwrap_or(0);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut state = self.state();
        let era = state.era;
        loop {
            if after < state.compacted || after > state.revision || state.era != era {
                return (410, obj(vec![]));
            }
            let changes = state.log.iter().filter(|(r, k, _)| *r > after && k.starts_with(&prefix));
            let events: Vec<Json> = changes
                .map(|(revision, key, item)| match item {
                    Some(item) => to_json(key, item),
                    None => obj(vec![
                        ("key", text(key)),
                        ("revision", num(*revision)),
                        ("removed", Json::Bool(true)),
                    ]),
                })
                .collect();
            let now = Instant::now();
            if !events.is_empty() || now >= deadline || matches!(door.get(), Access::Reset | Access::Silent) {
                let revision = num(state.revision);
                return (200, obj(vec![("events", Json::Arr(events)), ("current_rev", revision)]));
            }
            let wait = (deadline - now).min(Duration::from_millis(50));
            state = self.changed.wait_timeout(state, wait).unwrap().0;
        }
    }
}

fn transact(state: &mut State, body: &[u8]) -> (u16, Json) {
    let txn = Json::parse(&String::from_utf8_lossy(body)).unwrap_or(Json::Null);
    let is_satisfied = txn.get("expected").items().iter().all(|row| {
        let revision = state.items.get(row.get("key").text()).map_or(0, |i| i.revision);
        row.get("revision").number() == revision
    });
    if !is_satisfied {
        let keys = txn.get("expected").items().iter().map(|r| r.get("key").text().to_owned());
        let items = keys.filter_map(|k| state.items.get(&k).map(|i| to_json(&k, i)));
        return (412, obj(vec![("items", Json::Arr(items.collect()))]));
    }
    let writes = txn.get("writes").items();
    let has_lease = |w: &Json| {
        let lease = w.get("lease").number();
        lease == 0 || state.leases.contains_key(&lease)
    };
    if !writes.iter().all(has_lease) {
        return (404, obj(vec![]));
    }
    for write in writes {
        let value = from_base64(write.get("value").text());
        state.put(write.get("key").text(), value, write.get("lease").number());
    }
    for key in txn.get("deletes").items() {
        state.delete(key.text());
    }
    (200, obj(vec![("revision", num(state.revision))]))
}
