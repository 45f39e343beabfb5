//! Stand-in for the platform's store: items with revisions, leases, watches.

use std::collections::BTreeMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{Message, read_message, write_message};
use crate::json::{Json, from_base64, map, number, text, to_base64};

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    items: BTreeMap<String, Item>,
    /// Changes in order; none for a removal.
    log: Vec<(u64, String, Option<Item>)>,
    revision: u64,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

impl Data {
    fn write(&mut self, key: &str, value: Option<(Vec<u8>, u64)>) {
        match value {
            Some((value, lease)) => {
                let created = self.items.get(key).map_or(self.revision, |i| i.created);
                let item = Item {
                    value,
                    revision: self.revision,
                    created,
                    lease,
                };
                self.log
                    .push((self.revision, key.to_owned(), Some(item.clone())));
                self.items.insert(key.to_owned(), item);
            }
            None => {
                if self.items.remove(key).is_some() {
                    self.log.push((self.revision, key.to_owned(), None));
                }
            }
        }
    }

    fn expire(&mut self, now: Instant) -> bool {
        let ended: Vec<u64> = self
            .leases
            .iter()
            .filter(|(_, (_, until))| now >= *until)
            .map(|(id, _)| *id)
            .collect();
        for lease in &ended {
            self.end_lease(*lease);
        }
        !ended.is_empty()
    }

    fn end_lease(&mut self, lease: u64) -> bool {
        if self.leases.remove(&lease).is_none() {
            return false;
        }
        let keys: Vec<String> = self
            .items
            .iter()
            .filter(|(_, i)| i.lease == lease)
            .map(|(k, _)| k.clone())
            .collect();
        if !keys.is_empty() {
            self.revision += 1;
        }
        for key in keys {
            self.write(&key, None);
        }
        true
    }
}

/// The store.
pub struct Store {
    data: Mutex<Data>,
    changed: Condvar,
}

fn item_json(key: &str, item: &Item) -> Json {
    map([
        ("key", text(key)),
        ("value", text(to_base64(&item.value))),
        ("revision", number(item.revision)),
        ("created", number(item.created)),
        ("lease", number(item.lease)),
    ])
}

impl Store {
    pub fn start() -> (Arc<Self>, SocketAddr) {
        let store = Arc::new(Self {
            data: Mutex::new(Data {
                revision: 1,
                ..Data::default()
            }),
            changed: Condvar::new(),
        });
        let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
        let addr = listener.local_addr().expect("address");
        let served = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&served);
                thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = Arc::clone(&store);
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(20));
                if expiring.data.lock().expect("lock").expire(Instant::now()) {
                    expiring.changed.notify_all();
                }
            }
        });
        (store, addr)
    }

    /// Writes a key as the operator or a server does; the return is the acknowledgement.
    pub fn put(&self, key: &str, value: &Json) {
        let mut data = self.data.lock().expect("lock");
        data.revision += 1;
        data.write(key, Some((value.write().into_bytes(), 0)));
        drop(data);
        self.changed.notify_all();
    }

    /// Deletes a key.
    pub fn delete(&self, key: &str) {
        let mut data = self.data.lock().expect("lock");
        data.revision += 1;
        data.write(key, None);
        drop(data);
        self.changed.notify_all();
    }

    /// Number of keys with a prefix.
    pub fn count(&self, prefix: &str) -> usize {
        let data = self.data.lock().expect("lock");
        data.items.keys().filter(|k| k.starts_with(prefix)).count()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut writer = stream.try_clone().expect("clone");
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader, |_| {}) {
            let (status, json) = self.respond(&request);
            let first = format!("HTTP/1.1 {status} X");
            let headers = [("Content-Type", "application/json")];
            let body = json.write();
            if write_message(&mut writer, &first, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message) -> (u16, Json) {
        let path = request.target().split('?').next().unwrap_or("");
        let prefix = || request.parameter("prefix").unwrap_or_default();
        match (request.method(), path) {
            ("GET", "/v1/kv-key") => {
                let key = request.parameter("key").unwrap_or_default();
                let data = self.data.lock().expect("lock");
                match data.items.get(&key) {
                    Some(item) => (200, item_json(&key, item)),
                    None => (404, map([])),
                }
            }
            ("GET", "/v1/kv-range") => {
                let (prefix, after) = (prefix(), request.parameter("after").unwrap_or_default());
                let data = self.data.lock().expect("lock");
                let found = data
                    .items
                    .iter()
                    .filter(|(k, _)| k.starts_with(&prefix) && (after.is_empty() || **k > after));
                let items = found.map(|(k, i)| item_json(k, i)).collect();
                let page = map([
                    ("items", Json::List(items)),
                    ("truncated", Json::Bool(false)),
                    ("current_rev", number(data.revision)),
                ]);
                (200, page)
            }
            ("GET", "/v1/kv-watch") => (200, self.watch(request, &prefix())),
            ("POST", "/v1/kv-txn") => self.transact(request),
            ("POST", "/v1/kv-lease") => {
                let body = Json::parse(&request.body);
                let ttl_ms = body.and_then(|b| b.get("ttl_ms")?.number()).unwrap_or(1000);
                let ttl = Duration::from_millis(ttl_ms.max(1000));
                let mut data = self.data.lock().expect("lock");
                data.last_lease += 1;
                let lease = data.last_lease;
                data.leases.insert(lease, (ttl, Instant::now() + ttl));
                let granted = [
                    ("lease", number(lease)),
                    ("ttl_ms", number(ttl.as_millis() as u64)),
                ];
                (200, map(granted))
            }
            ("POST", path) if path.starts_with("/v1/kv-keep/") => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
                let mut data = self.data.lock().expect("lock");
                data.expire(Instant::now());
                match id.and_then(|id: u64| data.leases.get_mut(&id)) {
                    Some((ttl, until)) => {
                        *until = Instant::now() + *ttl;
                        (200, map([]))
                    }
                    None => (404, map([])),
                }
            }
            ("DELETE", path) if path.starts_with("/v1/kv-lease-end/") => {
                let id = path.rsplit('/').next().and_then(|id| id.parse().ok());
                let mut data = self.data.lock().expect("lock");
                let is_ended = id.is_some_and(|id| data.end_lease(id));
                drop(data);
                self.changed.notify_all();
                (if is_ended { 200 } else { 404 }, map([]))
            }
            _ => (400, map([])),
        }
    }

    fn watch(&self, request: &Message, prefix: &str) -> Json {
        let parameter = |name| request.parameter(name).and_then(|v| v.parse().ok());
        let after: u64 = parameter("after").unwrap_or(0);
        let wait = Duration::from_millis(parameter("wait_ms").unwrap_or(0).min(30_000));
        let until = Instant::now() + wait;
        let mut data = self.data.lock().expect("lock");
        loop {
            let new = data
                .log
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let events: Vec<Json> = new
                .map(|(revision, key, item)| match item {
                    Some(item) => item_json(key, item),
                    None => map([
                        ("key", text(key.as_str())),
                        ("revision", number(*revision)),
                        ("removed", Json::Bool(true)),
                    ]),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let current = number(data.revision);
                return map([("events", Json::List(events)), ("current_rev", current)]);
            }
            data = self.changed.wait_timeout(data, left).expect("lock").0;
        }
    }

    fn transact(&self, request: &Message) -> (u16, Json) {
        let Some(body) = Json::parse(&request.body) else {
            return (400, map([]));
        };
        let rows = |name| body.get(name).map_or(&[][..], Json::list);
        let key_of = |row: &Json| row.get("key").and_then(Json::text).map(str::to_owned);
        let mut data = self.data.lock().expect("lock");
        data.expire(Instant::now());
        let mut holds = true;
        let mut current = Vec::new();
        for row in rows("expected") {
            let key = key_of(row).unwrap_or_default();
            let expected = row.get("revision").and_then(Json::number).unwrap_or(0);
            let item = data.items.get(&key);
            holds &= item.map_or(0, |i| i.revision) == expected;
            current.extend(item.map(|i| item_json(&key, i)));
        }
        if !holds {
            return (412, map([("items", Json::List(current))]));
        }
        let lease_of = |row: &Json| row.get("lease").and_then(Json::number).unwrap_or(0);
        let writes = rows("writes");
        let has_leases = |row: &Json| {
            let lease = lease_of(row);
            lease == 0 || data.leases.contains_key(&lease)
        };
        if !writes.iter().all(has_leases) {
            return (404, map([]));
        }
        data.revision += 1;
        for row in writes {
            let value = row.get("value").and_then(Json::text);
            let value = value.and_then(from_base64).unwrap_or_default();
            let key = key_of(row).unwrap_or_default();
            data.write(&key, Some((value, lease_of(row))));
        }
        for row in rows("deletes") {
            data.write(row.text().unwrap_or_default(), None);
        }
        let revision = number(data.revision);
        drop(data);
        self.changed.notify_all();
        (200, map([("revision", revision)]))
    }
}
