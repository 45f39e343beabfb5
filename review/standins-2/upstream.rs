//! Stand-in for a server of a plain service.

use std::io::BufReader;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::clock::now_ms;
use crate::http::{Message, read_message, write_message};
use crate::json::{Json, map, number, text};

/// Request that has reached a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub request_id: String,
    /// True if the server began to work on it.
    pub has_run: bool,
    /// True if the server ended before it had answered.
    pub is_cut: bool,
}

/// Server of a plain service.
pub struct Upstream {
    pub id: String,
    pub service: String,
    pub zone: String,
    pub addr: SocketAddr,
    work: Duration,
    born_ms: u64,
    ended: AtomicBool,
    arrivals: Mutex<Vec<Arrival>>,
    connections: Mutex<Vec<TcpStream>>,
}

impl Upstream {
    pub fn start(id: &str, service: &str, zone: &str, work: Duration) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
        let upstream = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            zone: zone.to_owned(),
            addr: listener.local_addr().expect("address"),
            work,
            born_ms: crate::clock::epoch_ms(),
            ended: AtomicBool::new(false),
            arrivals: Mutex::default(),
            connections: Mutex::default(),
        });
        let served = Arc::clone(&upstream);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if served.ended.load(Ordering::SeqCst) {
                    return;
                }
                let copy = stream.try_clone().expect("clone");
                served.connections.lock().expect("lock").push(copy);
                let upstream = Arc::clone(&served);
                thread::spawn(move || upstream.serve(stream));
            }
        });
        upstream
    }

    /// Entry in the store.
    pub fn entry(&self, state: &str, sequence: u64) -> Json {
        map([
            ("service", text(self.service.as_str())),
            ("address", text(self.addr.to_string())),
            ("zone", text(self.zone.as_str())),
            ("version", text("v1")),
            ("slots", number(6)),
            ("state", text(state)),
            ("cold_remaining_ms", number(0)),
            ("born", number(self.born_ms)),
            ("sequence", number(sequence)),
        ])
    }

    /// Key in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.id)
    }

    pub fn arrivals(&self) -> Vec<Arrival> {
        self.arrivals.lock().expect("lock").clone()
    }

    /// Ends the server with all its connections, as its process exits.
    pub fn end(&self) {
        self.ended.store(true, Ordering::SeqCst);
        // Ends the wait for the next connection, with which the port is closed.
        drop(TcpStream::connect(self.addr));
        for connection in self.connections.lock().expect("lock").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_message(&mut reader, |_| {}) {
            if self.respond(&request, &mut writer).is_err() {
                return;
            }
        }
    }

    fn respond(&self, request: &Message, writer: &mut TcpStream) -> std::io::Result<()> {
        let id = request.header("request-id").unwrap_or("").to_owned();
        if request.target() == "/healthz" {
            let headers = [("Instance-Id", self.id.as_str())];
            return write_message(writer, "HTTP/1.1 200 OK", &headers, b"");
        }
        let expected = request.header("expect-instance");
        let has_run = expected.is_none_or(|e| e == self.id);
        let index = {
            let mut arrivals = self.arrivals.lock().expect("lock");
            arrivals.push(Arrival {
                at_ms: now_ms(),
                request_id: id.clone(),
                has_run,
                is_cut: false,
            });
            arrivals.len() - 1
        };
        if !has_run {
            let headers = [("Request-Id", id.as_str()), ("Instance-Id", &self.id)];
            return write_message(writer, "HTTP/1.1 421 Misdirected", &headers, b"");
        }
        thread::sleep(self.work);
        if self.ended.load(Ordering::SeqCst) {
            self.arrivals.lock().expect("lock")[index].is_cut = true;
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let stamp = format!("{}.{id}", self.id);
        let headers = [("Request-Id", id.as_str()), ("Server-Stamp", &stamp)];
        write_message(writer, "HTTP/1.1 200 OK", &headers, &[b'x'; 800])
    }
}
