//! Processes of the product: hosts, started with the command of the deploy file.

use std::fs::{self, File};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::Duration;

use crate::client;
use crate::clock::now_ms;
use crate::json::{Json, map, number, text};

/// Command of `deploy/system.toml`.
const PROGRAM: &str = "target/release/currantcove-host";

/// Folder for settings and logs, removed at the end.
pub struct Folder(pub PathBuf);

impl Folder {
    pub fn create() -> Self {
        let name = format!("currantcove-review-2-{}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).expect("temporary folder");
        Self(path)
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.0);
        }
    }
}

/// One host.
pub struct Host {
    pub name: String,
    pub caller_addr: SocketAddr,
    pub ready_addr: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    process: Option<Child>,
}

fn free_port(ip: IpAddr) -> u16 {
    let listener = TcpListener::bind((ip, 0)).expect("free port");
    listener.local_addr().expect("address").port()
}

impl Host {
    /// Host of the deployment ptgtm-courts.
    pub fn start(folder: &Folder, number_of_host: u8, zone: &str, store: SocketAddr) -> Self {
        Self::start_with(folder, number_of_host, zone, store, 260, 4_200)
    }

    /// Settings as the platform fills in `deploy/host.json`, with the bounds of the
    /// deployment ptgtm-courts, and a running process.
    pub fn start_with(
        folder: &Folder,
        number_of_host: u8,
        zone: &str,
        store: SocketAddr,
        memory_mb: u64,
        max_descriptors: u64,
    ) -> Self {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 0, 1, number_of_host));
        let name = format!("edge-{zone}-{number_of_host}");
        let caller_addr = SocketAddr::new(ip, free_port(ip));
        let ready_addr = SocketAddr::new(ip, free_port(ip));
        let settings = map([
            ("host", text(name.as_str())),
            ("zone", text(zone)),
            ("ip", text(ip.to_string())),
            ("caller_addr", text(caller_addr.to_string())),
            ("ready_addr", text(ready_addr.to_string())),
            ("peer_port", number(u64::from(free_port(ip)))),
            ("store_addr", text(store.to_string())),
            ("memory_mb", number(memory_mb)),
            ("cpu_share", Json::Number(0.25)),
            ("max_descriptors", number(max_descriptors)),
            ("engines_check_fences", Json::Bool(true)),
            ("order_lease_ms", number(3000)),
            ("stop_grace_s", number(8)),
            ("retry_share", Json::Number(0.2)),
            ("retry_slack", number(54)),
            ("drain_within_ms", number(2000)),
            ("contact_within_ms", number(3000)),
            ("config_within_ms", number(2000)),
            ("min_lease_ms", number(1000)),
        ]);
        let path = folder.0.join(format!("{name}.json"));
        fs::write(&path, settings.write()).expect("settings");
        let mut host = Self {
            log: folder.0.join(format!("{name}.log")),
            name,
            caller_addr,
            ready_addr,
            settings: path,
            process: None,
        };
        host.run();
        host
    }

    /// Starts the process.
    pub fn run(&mut self) {
        let log = File::options().create(true).append(true).open(&self.log);
        let process = Command::new(PROGRAM)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("CURRANTCOVE_CONFIG", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.expect("log"))
            .stderr(Stdio::null())
            .spawn();
        self.process = Some(process.expect("host process"));
    }

    pub fn is_ready(&self) -> bool {
        let timeout = Duration::from_millis(500);
        client::get(self.ready_addr, "/v1/readyz", timeout).status == 200
    }

    /// Lines of the log that contain a text.
    pub fn log_lines(&self, needle: &str) -> Vec<String> {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines = log.lines().filter(|l| l.contains(needle));
        lines.map(str::to_owned).collect()
    }

    /// True if the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let process = self.process.as_mut();
        process.is_some_and(|p| !matches!(p.try_wait(), Ok(None)))
    }

    /// Anonymous memory of the process in KiB: without program code and kernel buffers.
    pub fn anonymous_kib(&self) -> u64 {
        let id = self.process.as_ref().map_or(0, Child::id);
        let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
        let line = status.lines().find(|l| l.starts_with("RssAnon:"));
        let kib = line.and_then(|l| l.split_whitespace().nth(1)?.parse().ok());
        kib.unwrap_or(0)
    }

    /// Kills the process.
    pub fn kill(&mut self) {
        if let Some(mut process) = self.process.take() {
            let _ = process.kill();
            let _ = process.wait();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Waits until a condition holds; false after a time.
pub fn wait_for(timeout: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until_ms = now_ms() + timeout.as_millis() as u64;
    while now_ms() < until_ms {
        if condition() {
            return true;
        }
        thread::sleep(Duration::from_millis(20));
    }
    false
}

/// True if the program was built.
pub fn is_built() -> bool {
    Path::new(PROGRAM).exists()
}
