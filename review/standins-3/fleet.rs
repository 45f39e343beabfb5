//! Hosts and servers as processes, and what their settings and configuration hold.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::time::{Duration, Instant};

use crate::json::{Json, num, obj, text};

/// Process that is killed when this is dropped.
pub struct Process(pub Child);

impl Process {
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([name, &self.0.id().to_string()]).status();
    }

    pub fn is_running(&mut self) -> bool {
        matches!(self.0.try_wait(), Ok(None))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

/// Port that is free on loopback addresses, below those of outgoing connections.
pub fn free_port() -> u16 {
    static TAKEN: AtomicU16 = AtomicU16::new(0);
    let first = std::process::id() as u16;
    loop {
        let taken = TAKEN.fetch_add(1, Ordering::Relaxed);
        let port = 15_000 + first.wrapping_mul(61).wrapping_add(taken) % 15_000;
        if UdpSocket::bind(("127.0.0.1", port)).is_ok() && TcpListener::bind(("127.0.0.1", port)).is_ok() {
            return port;
        }
    }
}

pub struct Host {
    pub name: String,
    pub process: Process,
    pub caller: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
}

fn local(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

impl Host {
    /// Starts a host by the command of the deploy file, with the settings that its template
    /// gives for cca-nord.
    pub fn start(program: &str, folder: &Path, name: &str, zone: &str, store: SocketAddr) -> Self {
        let (caller, ready) = (local(free_port()), local(free_port()));
        let settings = obj(vec![
            ("host", text(name)),
            ("zone", text(zone)),
            ("ip", text("127.0.0.1")),
            ("caller_addr", Json::Str(caller.to_string())),
            ("ready_addr", Json::Str(ready.to_string())),
            ("peer_port", num(u64::from(free_port()))),
            ("store_addr", Json::Str(store.to_string())),
            ("memory_mb", num(260)),
            ("cpu_share", Json::Num(0.25)),
            ("max_descriptors", num(4_100)),
            ("engines_check_fences", Json::Bool(true)),
            ("order_lease_ms", num(3_000)),
            ("stop_grace_s", num(8)),
            ("retry_share", Json::Num(0.2)),
            ("retry_slack", num(54)),
            ("drain_within_ms", num(2_000)),
            ("contact_within_ms", num(3_000)),
            ("config_within_ms", num(2_000)),
            ("min_lease_ms", num(1_000)),
        ]);
        let file = folder.join(format!("{name}.json"));
        std::fs::write(&file, settings.to_string()).expect("settings");
        let process = spawn_host(program, &file);
        Self { name: name.to_owned(), process, caller, ready, settings: file }
    }

    /// Starts the process again, with the same settings.
    pub fn restart(&mut self, program: &str) {
        self.process = spawn_host(program, &self.settings);
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect_timeout(&self.ready, Duration::from_millis(200)) else {
            return false;
        };
        stream.set_read_timeout(Some(Duration::from_millis(500))).ok();
        let request = "GET /v1/readyz HTTP/1.1\r\nhost: x\r\nconnection: close\r\n\r\n";
        let mut response = String::new();
        let is_sent = stream.write_all(request.as_bytes()).is_ok();
        is_sent && stream.read_to_string(&mut response).is_ok() && response.contains(" 200 ")
    }
}

fn spawn_host(program: &str, settings: &Path) -> Process {
    let log = std::fs::OpenOptions::new().append(true).create(true).open(settings.with_extension("log"));
    let child = Command::new(program)
        .env_clear()
        .env("CURRANTCOVE_CONFIG", settings)
        .stdin(Stdio::null())
        .stdout(log.expect("log"))
        .stderr(Stdio::null())
        .spawn();
    Process(child.expect("host"))
}

/// Starts a stand-in server as a process of this program.
pub fn spawn_server(arguments: &[(&str, String)]) -> Process {
    let mut command = Command::new(std::env::current_exe().expect("this program"));
    let is_engine = arguments.iter().any(|(name, _)| *name == "engine");
    command.arg(if is_engine { "engine" } else { "server" });
    for (name, value) in arguments {
        command.arg(format!("{name}={value}"));
    }
    Process(command.stdin(Stdio::null()).spawn().expect("server"))
}

pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if condition() {
            return true;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    false
}

/// Route to one service.
pub fn route(name: &str, kind: &str, service: &str, timeout_ms: u64, attempts: u64, resumable: bool) -> Json {
    obj(vec![
        ("name", text(name)),
        ("host", text("h.example")),
        ("prefix", Json::Str(format!("/{name}/"))),
        ("type", text(kind)),
        ("timeout_ms", num(timeout_ms)),
        ("target_latency_ms", num(1_000)),
        ("priority", num(1)),
        ("service", text(service)),
        ("max_attempts", num(attempts)),
        ("resumable", Json::Bool(resumable)),
        ("gap_target_ms", num(300)),
    ])
}

pub fn config(version: u64, routes: Vec<Json>, services: Vec<Json>) -> Json {
    let limits = obj(vec![
        ("max_header_bytes", num(16_384)),
        ("max_body_bytes", num(4_194_304)),
        ("header_timeout_ms", num(3_000)),
        ("idle_timeout_ms", num(15_000)),
    ]);
    obj(vec![
        ("version", num(version)),
        ("routes", Json::Arr(routes)),
        ("services", Json::Arr(services)),
        ("limits", limits),
    ])
}

pub fn plain_service(name: &str) -> Json {
    obj(vec![
        ("name", text(name)),
        ("health_path", text("/healthz")),
        ("max_connections", num(100)),
        ("protocol", text("h1")),
        ("tls", Json::Bool(false)),
    ])
}
