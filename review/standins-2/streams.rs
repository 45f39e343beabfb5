//! Servers of event streams, and clients that ask for one stream after the other on kept
//! connections.

use std::collections::HashSet;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::clock::now_ms;
use crate::http::{Message, read_body, read_head, read_message};
use crate::json::{Json, map, number, text};

/// Time from a request to the head of its response and the first event.
const PREFILL: Duration = Duration::from_millis(500);
/// Events of a stream, and the time between two of them.
const EVENTS: u64 = 34;
const EVENT_GAP: Duration = Duration::from_millis(150);
const EVENT_TEXT: &str = "five tokens of a delay notice";
/// Body of a request in bytes.
const BODY_BYTES: usize = 1_500;
/// Stack of the threads, of which there are thousands.
const STACK_BYTES: usize = 96 * 1024;

/// Starts a thread with a small stack.
pub fn spawn<T: Send + 'static>(run: impl FnOnce() -> T + Send + 'static) -> thread::JoinHandle<T> {
    let thread = thread::Builder::new().stack_size(STACK_BYTES).spawn(run);
    thread.expect("thread")
}

/// Requests that servers began to work on.
pub type Begun = Arc<Mutex<HashSet<String>>>;

/// Server of streams.
pub struct StreamServer {
    pub id: String,
    addr: SocketAddr,
}

impl StreamServer {
    pub fn start(id: &str, begun: &Begun) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
        let addr = listener.local_addr().expect("address");
        let (name, begun) = (id.to_owned(), Arc::clone(begun));
        spawn(move || {
            for stream in listener.incoming().flatten() {
                let (name, begun) = (name.clone(), Arc::clone(&begun));
                spawn(move || {
                    // Ends with the connection.
                    let _ = serve(&name, &begun, stream);
                });
            }
        });
        let id = id.to_owned();
        Self { id, addr }
    }

    /// Entry in the store.
    pub fn entry(&self, sequence: u64) -> Json {
        map([
            ("service", text("modelos")),
            ("address", text(self.addr.to_string())),
            ("zone", text("rosario-a")),
            ("version", text("v1")),
            ("slots", number(16)),
            ("state", text("ready")),
            ("cold_remaining_ms", number(0)),
            ("born", number(1)),
            ("sequence", number(sequence)),
        ])
    }
}

fn serve(name: &str, begun: &Begun, stream: TcpStream) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::with_capacity(4_096, stream);
    while let Some(request) = read_message(&mut reader, |_| {})? {
        let id = request.header("request-id").unwrap_or("").to_owned();
        begun.lock().expect("lock").insert(id.clone());
        thread::sleep(PREFILL);
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: {name}.{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        writer.write_all(head.as_bytes())?;
        for number in 1..=EVENTS {
            let event = format!("id: {number}\ndata: {EVENT_TEXT}\n\n");
            write!(writer, "{:x}\r\n{event}\r\n", event.len())?;
            thread::sleep(EVENT_GAP);
        }
        writer.write_all(b"0\r\n\r\n")?;
    }
    Ok(())
}

/// Addresses to which the platform forwards new connections.
pub type Rotation = Arc<Mutex<Vec<SocketAddr>>>;

/// Request as its client has seen it.
#[derive(Clone)]
pub struct Asked {
    pub id: String,
    pub host: SocketAddr,
    /// True if the connection had carried a request before.
    pub is_kept: bool,
    pub sent_ms: u64,
    pub ended_ms: u64,
    /// 0 if there was no byte of an answer.
    pub status: u16,
    pub is_whole: bool,
}

/// What the clients have seen.
pub type Seen = Mutex<Vec<Asked>>;

/// Asks for streams until told to stop.
pub fn ask(client: u64, rotation: &Rotation, seen: &Seen, stop: &AtomicBool) {
    let mut connection: Option<(SocketAddr, TcpStream, BufReader<TcpStream>)> = None;
    let mut is_kept = false;
    for number in 0.. {
        if stop.load(Ordering::SeqCst) {
            return;
        }
        if connection.is_none() {
            is_kept = false;
            connection = connect(client, rotation);
        }
        let Some((addr, writer, reader)) = &mut connection else {
            thread::sleep(Duration::from_millis(200));
            continue;
        };
        let id = format!("{:016x}", client << 24 | number);
        let head = format!(
            "POST /notice/1 HTTP/1.1\r\nHost: cargo.example\r\nRequest-Id: {id}\r\n\
             Deadline-Ms: 15000\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
        );
        let sent_ms = now_ms();
        let sent = writer.write_all(format!("{head}{}", "p".repeat(BODY_BYTES)).as_bytes());
        let answer = sent.and_then(|()| read_head(reader)).unwrap_or(None);
        let is_whole = answer
            .as_ref()
            .is_some_and(|head| read_body(reader, head).unwrap_or(false));
        let status = answer.as_ref().map_or(0, Message::status);
        seen.lock().expect("lock").push(Asked {
            id,
            host: *addr,
            is_kept,
            sent_ms,
            ended_ms: now_ms(),
            status,
            is_whole,
        });
        let Some(head) = answer else {
            connection = None;
            continue;
        };
        let is_closing = head
            .header("connection")
            .is_some_and(|c| c.contains("close"));
        if !is_whole || is_closing {
            connection = None;
        }
        is_kept = true;
        let pause_ms = if status == 200 { 50 } else { 500 };
        thread::sleep(Duration::from_millis(pause_ms));
    }
}

fn connect(
    client: u64,
    rotation: &Rotation,
) -> Option<(SocketAddr, TcpStream, BufReader<TcpStream>)> {
    let addr = {
        let addrs = rotation.lock().expect("lock");
        *addrs.get(client as usize % addrs.len().max(1))?
    };
    let stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream
        .set_read_timeout(Some(Duration::from_secs(16)))
        .ok()?;
    let reader = BufReader::with_capacity(4_096, stream.try_clone().ok()?);
    Some((addr, stream, reader))
}
