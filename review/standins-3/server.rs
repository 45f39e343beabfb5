//! Stand-in of a plain server: streams and short answers. Runs as a process of its own.

use std::collections::HashMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, SystemTime};

use crate::http::{self, Message};
use crate::json::{Json, num, obj, text, to_base64};

/// Interval of the writes to the store.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

struct Server {
    id: String,
    service: String,
    zone: String,
    version: String,
    port: u16,
    slots: u64,
    born: u64,
    gap: Duration,
    /// File to which the IDs of the requests that run are appended.
    record: String,
    /// Address of the store; none if this server is partitioned from it.
    store: Option<SocketAddr>,
}

/// Runs until the process is killed; arguments have the form NAME=VALUE.
pub fn run(arguments: impl Iterator<Item = String>) {
    let given: HashMap<String, String> =
        arguments.filter_map(|a| a.split_once('=').map(|(n, v)| (n.to_owned(), v.to_owned()))).collect();
    let get = |name: &str| given.get(name).cloned().unwrap_or_default();
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap();
    let server = Arc::new(Server {
        id: get("id"),
        service: get("service"),
        zone: get("zone"),
        version: get("version"),
        port: get("port").parse().expect("port"),
        slots: get("slots").parse().unwrap_or(6),
        born: now.as_millis() as u64,
        gap: Duration::from_millis(get("gap_ms").parse().unwrap_or(25)),
        record: get("record"),
        store: get("store").parse().ok(),
    });
    let listener = TcpListener::bind(("127.0.0.1", server.port)).expect("listen");
    if let Some(store) = server.store {
        let server = Arc::clone(&server);
        std::thread::spawn(move || {
            for sequence in 1.. {
                server.report(store, sequence);
                std::thread::sleep(HEARTBEAT);
            }
        });
    }
    for stream in listener.incoming().flatten() {
        let server = Arc::clone(&server);
        std::thread::spawn(move || server.converse(stream));
    }
}

impl Server {
    /// Writes this server's entry to the store.
    fn report(&self, store: SocketAddr, sequence: u64) {
        let entry = obj(vec![
            ("service", text(&self.service)),
            ("address", Json::Str(format!("127.0.0.1:{}", self.port))),
            ("zone", text(&self.zone)),
            ("version", text(&self.version)),
            ("slots", num(self.slots)),
            ("state", text("ready")),
            ("cold_remaining_ms", num(0)),
            ("sequence", num(sequence)),
            ("born", num(self.born)),
        ]);
        let write = obj(vec![
            ("key", Json::Str(format!("servers/{}", self.id))),
            ("value", Json::Str(to_base64(entry.to_string().as_bytes()))),
            ("lease", num(0)),
        ]);
        let txn = obj(vec![("writes", Json::Arr(vec![write]))]);
        http::call(store, "POST", "/v1/kv-txn", &txn.to_string(), Duration::from_secs(1));
    }

    fn converse(&self, stream: TcpStream) {
        stream.set_nodelay(true).ok();
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(request) = http::read_message(&mut reader) {
            if self.answer(&request, &mut writer).is_none() {
                return;
            }
        }
    }

    fn answer(&self, request: &Message, writer: &mut TcpStream) -> Option<()> {
        let id = request.header("request-id");
        if request.path() == "/healthz" {
            return writer.write_all(&http::response(200, &[("instance-id", &self.id)], "")).ok();
        }
        if request.header("expect-instance") != self.id {
            let headers = [("request-id", id), ("instance-id", &self.id)];
            return writer.write_all(&http::response(421, &headers, "")).ok();
        }
        self.record(&format!("{id} at {} {} after {:?}", self.id, self.version, request.header("last-event-id")));
        let stamp = format!("{}.{}.{id}", self.id, self.version);
        if !request.path().starts_with("/stream/") {
            std::thread::sleep(Duration::from_millis(30));
            let headers = [("request-id", id), ("server-stamp", &stamp)];
            return writer.write_all(&http::response(200, &headers, "whole")).ok();
        }
        let body = String::from_utf8_lossy(&request.body).into_owned();
        let count: u64 = body.strip_prefix("events=").and_then(|n| n.parse().ok()).unwrap_or(50);
        let after: u64 = request.header("last-event-id").parse().unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nrequest-id: {id}\r\n\
             server-stamp: {stamp}\r\ntransfer-encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes()).ok()?;
        for number in after + 1..=count {
            std::thread::sleep(self.gap);
            let event = format!("id: {number}\ndata: {} {} piece {number} of {count}\n\n", self.version, self.id);
            writer.write_all(format!("{:x}\r\n{event}\r\n", event.len()).as_bytes()).ok()?;
        }
        writer.write_all(b"0\r\n\r\n").ok()
    }

    fn record(&self, line: &str) {
        let file = std::fs::OpenOptions::new().append(true).create(true).open(&self.record);
        if let Ok(mut file) = file {
            let _ = file.write_all(format!("ran {line}\n").as_bytes());
        }
    }
}
