//! Starts a deployment on loopback: one process for the stand-ins, one for each
//! entry host, and one for each call of the command-line tool. Dropping the
//! deployment kills the stand-ins and the entry hosts.

use std::fs;
use std::io::{self, BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use currantcove::core::ids::{HostId, ZoneId};
use currantcove::core::membership::ListedHost;
use currantcove::daemon::ListenAddrs;
use currantcove::edge::body;
use currantcove::edge::pool::Pool;
use currantcove::services::operators::HostStatus;
use serde::de::DeserializeOwned;
use serde_json::json;

use super::control::{ControlClient, ControlRequest};
use super::http::call;
use super::serve::StandInAddrs;
use super::shapes::Shape;

/// Makes the directory names of deployments in one process unique.
static DEPLOYMENT_COUNT: AtomicU64 = AtomicU64::new(0);

/// Paths of the executables.
#[derive(Clone, Debug)]
pub struct Binaries {
    /// Entry host daemon.
    pub daemon: PathBuf,
    /// Command-line tool.
    pub tool: PathBuf,
    /// Stand-ins.
    pub standins: PathBuf,
}

impl Binaries {
    /// Finds the executables in the directory of the running executable, or in
    /// its parent directory.
    pub fn find() -> io::Result<Self> {
        let exe = std::env::current_exe()?;
        let exe_dir = exe.parent().unwrap_or(Path::new("."));
        let parent_dir = exe_dir.parent().unwrap_or(exe_dir);
        let dir = if exe_dir.join("currantcoved").exists() {
            exe_dir
        } else {
            parent_dir
        };
        Ok(Self {
            daemon: dir.join("currantcoved"),
            tool: dir.join("currantcove"),
            standins: dir.join("currantcove-standins"),
        })
    }
}

/// Child process that is killed when dropped.
#[derive(Debug)]
pub struct Process {
    child: Child,
}

impl Process {
    /// Starts a command and reads the first line of its output, with its
    /// addresses.
    fn start(command: &mut Command) -> io::Result<(Self, String)> {
        let mut child = command
            .stdout(Stdio::piped())
            .stdin(Stdio::null())
            .spawn()?;
        let stdout = child.stdout.take();
        let process = Self { child };
        let mut line = String::new();
        if let Some(stdout) = stdout {
            BufReader::new(stdout).read_line(&mut line)?;
        }
        if line.is_empty() {
            return Err(io::Error::other(format!(
                "{command:?} closed its output before it printed its addresses"
            )));
        }
        Ok((process, line))
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by name, such as `TERM` or `STOP`.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        let id = self.id().to_string();
        Command::new("kill")
            .args([&format!("-{name}"), &id])
            .status()
            .map(|_| ())
    }

    /// Sends `SIGKILL` and reaps the process.
    pub fn kill(&mut self) {
        // An error means that the process has already exited.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the exit code; `None` on a timeout or an exit by a signal.
    pub fn wait(&mut self, timeout: Duration) -> Option<i32> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            if let Ok(Some(status)) = self.child.try_wait() {
                return status.code();
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        None
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Entry host of a deployment.
#[derive(Debug)]
pub struct EntryHost {
    /// Name.
    pub id: HostId,
    /// Availability zone.
    pub zone: String,
    /// Addresses that the process listens on.
    pub listen_addrs: ListenAddrs,
    /// Process.
    pub process: Process,
}

/// A running deployment.
#[derive(Debug)]
pub struct Deployment {
    binaries: Binaries,
    dir: PathBuf,
    /// Entry hosts.
    pub hosts: Vec<EntryHost>,
    /// Addresses of the stand-ins.
    pub addrs: StandInAddrs,
    /// Control client of the stand-ins.
    pub control: ControlClient,
    standins: Process,
    pool: Pool,
}

impl Deployment {
    /// Starts the stand-ins of a shape, without entry hosts.
    pub fn start(shape: &Shape) -> io::Result<Self> {
        let binaries = Binaries::find()?;
        let sequence = DEPLOYMENT_COUNT.fetch_add(1, Ordering::Relaxed);
        let name = format!("currantcove-{}-{sequence}", std::process::id());
        let dir = std::env::temp_dir().join(name);
        fs::create_dir_all(&dir)?;
        let plan_file = dir.join("plan.json");
        fs::write(&plan_file, serde_json::to_vec(&shape.plan)?)?;
        fs::write(
            dir.join("config.json"),
            serde_json::to_vec_pretty(&shape.config())?,
        )?;
        let mut command = Command::new(&binaries.standins);
        let (standins, line) = Process::start(command.arg("serve").arg(&plan_file))?;
        let addrs: StandInAddrs = serde_json::from_str(&line)?;
        let control = ControlClient::new(addrs.control);
        let pool = Pool::default();
        Ok(Self {
            binaries,
            dir,
            hosts: Vec::new(),
            addrs,
            control,
            standins,
            pool,
        })
    }

    /// Starts the stand-ins and all entry hosts, and applies the configuration.
    pub async fn start_all(shape: &Shape) -> io::Result<Self> {
        let mut deployment = Self::start(shape)?;
        for (i, zone) in shape.host_zones.iter().enumerate() {
            deployment.add_host(&format!("{zone}-{i}"), zone).await?;
        }
        let output =
            deployment.run_tool(&["config", "apply", "config.json", "--who", "harness"])?;
        if !output.status.success() {
            let text = String::from_utf8_lossy(&output.stderr).into_owned();
            return Err(io::Error::other(text));
        }
        Ok(deployment)
    }

    /// Starts an entry host and adds it to the host list.
    pub async fn add_host(&mut self, id: &str, zone: &str) -> io::Result<()> {
        let platform = self.addrs.platform.get(&ZoneId::new(zone)).copied();
        let platform = platform.ok_or_else(|| io::Error::other(format!("no zone {zone:?}")))?;
        let settings = json!({
            "host": id,
            "zone": zone,
            "caller_addr": "127.0.0.1:0",
            "operator_addr": "127.0.0.1:0",
            "peer_addr": "127.0.0.1:0",
            "kv_addr": platform.kv,
            "host_list_addr": platform.host_list,
            "seed": 7,
        });
        let file = self.dir.join(format!("{id}.json"));
        fs::write(&file, settings.to_string())?;
        let log = fs::File::create(self.dir.join(format!("{id}.log")))?;
        let mut command = Command::new(&self.binaries.daemon);
        command.arg("--settings").arg(&file).stderr(log);
        let (process, line) = Process::start(&mut command)?;
        let listen_addrs: ListenAddrs = serde_json::from_str(&line)?;
        let listed = ListedHost {
            id: HostId::new(id),
            zone: ZoneId::new(zone),
            peer_addr: listen_addrs.peer_addr,
        };
        self.control.apply(&ControlRequest::EntryHost(listed)).await;
        let id = HostId::new(id);
        self.hosts.push(EntryHost {
            id,
            zone: zone.to_owned(),
            listen_addrs,
            process,
        });
        self.write_deployment_file()
    }

    fn write_deployment_file(&self) -> io::Result<()> {
        let operators: Vec<SocketAddr> = self
            .hosts
            .iter()
            .map(|h| h.listen_addrs.operator_addr)
            .collect();
        let file = json!({ "kv_addr": self.addrs.kv, "operator_addrs": operators });
        fs::write(self.dir.join("currantcove.json"), file.to_string())
    }

    /// Runs the command-line tool in the directory of the deployment.
    pub fn run_tool(&self, args: &[&str]) -> io::Result<Output> {
        Command::new(&self.binaries.tool)
            .args(args)
            .current_dir(&self.dir)
            .output()
    }

    /// Directory with settings, logs and the deployment file.
    pub fn dir(&self) -> &Path {
        &self.dir
    }

    /// Process of the stand-ins.
    pub fn standins(&self) -> &Process {
        &self.standins
    }

    /// Caller addresses of all entry hosts.
    pub fn caller_addrs(&self) -> Vec<SocketAddr> {
        self.hosts
            .iter()
            .map(|h| h.listen_addrs.caller_addr)
            .collect()
    }

    /// Fetches JSON from an operator path of an entry host.
    pub async fn fetch_operator_json<T: DeserializeOwned>(
        &self,
        host: usize,
        path: &str,
    ) -> Option<T> {
        let addr = self.hosts[host].listen_addrs.operator_addr;
        let response = call(&self.pool, addr, "GET", path, bytes::Bytes::new()).await?;
        let read = body::read(response.into_body(), 64 << 20, Duration::from_secs(5)).await;
        serde_json::from_slice(&read.ok()?).ok()
    }

    /// Fetches the metrics of an entry host as text.
    pub async fn metrics(&self, host: usize) -> Option<String> {
        let addr = self.hosts[host].listen_addrs.operator_addr;
        let response = call(&self.pool, addr, "GET", "/metrics", bytes::Bytes::new()).await?;
        let read = body::read(response.into_body(), 64 << 20, Duration::from_secs(5)).await;
        String::from_utf8(read.ok()?.to_vec()).ok()
    }

    /// Fetches the status of an entry host.
    pub async fn status(&self, host: usize) -> Option<HostStatus> {
        self.fetch_operator_json(host, "/status").await
    }

    /// Waits until a condition holds at every entry host; false on a timeout.
    pub async fn wait_for_hosts(
        &self,
        timeout: Duration,
        condition: impl Fn(&HostStatus) -> bool,
    ) -> bool {
        let deadline = Instant::now() + timeout;
        loop {
            let statuses = (0..self.hosts.len()).map(|i| self.status(i));
            let statuses = futures_util::future::join_all(statuses).await;
            if statuses.iter().all(|s| s.as_ref().is_some_and(&condition)) {
                return true;
            }
            if Instant::now() >= deadline {
                return false;
            }
            compio::time::sleep(Duration::from_millis(50)).await;
        }
    }

    /// Waits until every entry host reports this many ready models; false on a
    /// timeout.
    pub async fn wait_for_models(&self, count: usize, timeout: Duration) -> bool {
        self.wait_for_hosts(timeout, |s| ready_model_count(s) >= count)
            .await
    }
}

/// Number of models that an entry host reports as ready on any upstream.
pub fn ready_model_count(status: &HostStatus) -> usize {
    let ready = status.upstreams.iter().flat_map(|u| u.seen.ready.iter());
    ready.collect::<std::collections::BTreeSet<_>>().len()
}

impl Drop for Deployment {
    fn drop(&mut self) {
        self.hosts.clear();
        self.standins.kill();
        // A directory that is still in use is left to the system's cleanup of
        // temporary files.
        let _ = fs::remove_dir_all(&self.dir);
    }
}
