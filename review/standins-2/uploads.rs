//! Clients that send large bodies, servers that read them, and the memory of a process.

use std::fs;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::clock::now_ms;
use crate::http::{read_head, write_message};
use crate::json::{Json, map, number, text};

/// Bytes that a client sends and a server reads at once.
const PIECE_BYTES: usize = 64 * 1024;
/// Time between two pieces of a client, which thus sends 1.6 MB a second.
const PIECE_INTERVAL: Duration = Duration::from_millis(40);

/// Server that reads the bodies of requests as they come.
pub struct Reader {
    pub id: String,
    pub addr: SocketAddr,
    pub has_run: AtomicU64,
}

impl Reader {
    pub fn start(id: &str) -> Arc<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("listen");
        let reader = Arc::new(Self {
            id: id.to_owned(),
            addr: listener.local_addr().expect("address"),
            has_run: AtomicU64::new(0),
        });
        let served = Arc::clone(&reader);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let reader = Arc::clone(&served);
                thread::spawn(move || {
                    // Ends with the connection.
                    let _ = reader.serve(stream);
                });
            }
        });
        reader
    }

    pub fn entry(&self, sequence: u64) -> Json {
        map([
            ("service", text("tempah-api")),
            ("address", text(self.addr.to_string())),
            ("zone", text("kl-a")),
            ("version", text("v1")),
            ("slots", number(6)),
            ("state", text("ready")),
            ("cold_remaining_ms", number(0)),
            ("born", number(1)),
            ("sequence", number(sequence)),
        ])
    }

    fn serve(&self, stream: TcpStream) -> std::io::Result<()> {
        stream.set_nodelay(true)?;
        let mut writer = stream.try_clone()?;
        let mut reader = BufReader::new(stream);
        let mut piece = vec![0; PIECE_BYTES];
        while let Some(request) = read_head(&mut reader)? {
            let length = request.header("content-length").and_then(|l| l.parse().ok());
            let mut left: usize = length.unwrap_or(0);
            while left > 0 {
                let size = left.min(PIECE_BYTES);
                reader.read_exact(&mut piece[..size])?;
                left -= size;
            }
            self.has_run.fetch_add(1, Ordering::SeqCst);
            let id = request.header("request-id").unwrap_or("").to_owned();
            let stamp = format!("{}.{id}", self.id);
            let headers = [("Request-Id", id.as_str()), ("Server-Stamp", &stamp)];
            write_message(&mut writer, "HTTP/1.1 200 OK", &headers, &[b'x'; 800])?;
        }
        Ok(())
    }
}

/// Memory of a process in KiB: now, and at its peak.
pub fn memory_kib(process: u32) -> Option<(u64, u64)> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let field = |name: &str| {
        let line = status.lines().find(|l| l.starts_with(name))?;
        line.split_whitespace().nth(1)?.parse().ok()
    };
    Some((field("VmRSS:")?, field("VmHWM:")?))
}

/// Answers of one client: status (0 if there was none) and its time.
pub type Answers = Vec<(u64, u16)>;

/// Sends bodies one after the other, each on a new connection, until told to stop; only
/// while a flag is set, if there is one.
pub fn upload(
    addr: SocketAddr,
    client: u64,
    body: &[u8],
    stop: &AtomicBool,
    is_on: Option<&AtomicBool>,
) -> Answers {
    let mut answers = Vec::new();
    for number in 0.. {
        while is_on.is_some_and(|on| !on.load(Ordering::SeqCst)) && !stop.load(Ordering::SeqCst) {
            thread::sleep(Duration::from_millis(10));
        }
        if stop.load(Ordering::SeqCst) {
            break;
        }
        let status = upload_once(addr, client << 32 | number, body).unwrap_or(0);
        answers.push((now_ms(), status));
        // Refused clients wait; `Retry-After` is at most a third of the time left.
        let pause = if status == 200 { 10 } else { 300 };
        thread::sleep(Duration::from_millis(pause));
    }
    answers
}

fn upload_once(addr: SocketAddr, id: u64, body: &[u8]) -> std::io::Result<u16> {
    let mut stream = TcpStream::connect_timeout(&addr, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(16)))?;
    stream.set_write_timeout(Some(Duration::from_secs(16)))?;
    let head = format!(
        "POST /notes/1 HTTP/1.1\r\nHost: courts.example\r\nRequest-Id: {id:016x}\r\n\
         Deadline-Ms: 15000\r\nContent-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(head.as_bytes())?;
    for piece in body.chunks(PIECE_BYTES) {
        if stream.write_all(piece).is_err() {
            // A refusal may come before the body is sent.
            break;
        }
        thread::sleep(PIECE_INTERVAL);
    }
    let answer = read_head(&mut BufReader::new(stream))?;
    Ok(answer.map_or(0, |a| a.status()))
}
