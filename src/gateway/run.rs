//! Starts and stops one host on a platform.
//!
//! A stop takes readiness back first and goes on to serve until no new
//! connections come, then closes idle connections and lets requests in
//! progress run to their end.

use std::cell::RefCell;
use std::ffi::OsString;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use compio::net::{TcpListener, UdpSocket};
use error_stack::{Report, ResultExt};
use futures_util::FutureExt;
use tokio_util::sync::CancellationToken;

use super::acting::ActingHostService;
use super::front::{CallFront, ProbeFront};
use super::logs::LogBuffer;
use super::membership::Membership;
use super::peers::PeerService;
use super::placer::Placer;
use super::platform::Platform;
use super::settings::{self, GatewaySettings};
use super::state::Gateway;
use super::sync::StoreSync;
use crate::daemon::{DaemonError, STOP_SIGNALS, ended, signal};
use crate::edge::server;
use crate::kernel::{Kernel, NotRegistered, Service};

const USAGE: &str = "\
Runs one host of currantcove on a platform until it is told to stop.

Usage:
    currantcove-host [--settings <file>] [--check]
    currantcove-host --help | --version

Options:
    --settings <file>   JSON file with the settings of this host; by default
                        the file that the platform names.
    --check             Check the settings and exit.
    -h, --help          Show this text.
    --version           Show the version.

SIGTERM or SIGINT stops gracefully: readiness goes off, requests in progress
run to their end. SIGHUP reads the settings again, which also happens when
the file has changed.

Logs go to standard output, one JSON object a line; RUST_LOG sets their level.

Exit codes: 0 stopped as asked, 1 cannot run, 2 wrong usage or settings.
";

/// Time from the loss of readiness until new connections have ceased: two
/// missed probes, one a second, and the way of a connection.
const STOP_LINGER: Duration = Duration::from_millis(2_600);
/// Time before the end of the grace at which a stopping process exits.
const STOP_MARGIN: Duration = Duration::from_millis(250);
/// Time between two looks at the settings file.
const SETTINGS_EVERY: Duration = Duration::from_secs(2);

const SIGHUP: i32 = 1;

type Result<T> = std::result::Result<T, Report<DaemonError>>;

enum Command {
    Run(PathBuf),
    Check(PathBuf),
    Print(String),
}

/// Runs a host; `file` is the settings file that the platform names.
pub fn main<P: Platform>(
    args: impl IntoIterator<Item = OsString>,
    file: Option<PathBuf>,
    platform: impl FnOnce(&GatewaySettings) -> P,
) -> ExitCode {
    let command = parse_args(args, file);
    let result = command.and_then(|command| execute(command, platform));
    ended("currantcove-host", result)
}

fn parse_args(
    args: impl IntoIterator<Item = OsString>,
    mut file: Option<PathBuf>,
) -> Result<Command> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_iter(args);
    let mut is_check = false;
    while let Some(arg) = parser.next().change_context(DaemonError::Usage)? {
        match arg {
            Long("settings") => {
                let value = parser.value().change_context(DaemonError::Usage)?;
                file = Some(PathBuf::from(value));
            }
            Long("check") => is_check = true,
            Short('h') | Long("help") => return Ok(Command::Print(USAGE.to_owned())),
            Long("version") => {
                let version = env!("CARGO_PKG_VERSION");
                return Ok(Command::Print(format!("currantcove-host {version}\n")));
            }
            other => return Err(Report::new(other.unexpected()).change_context(DaemonError::Usage)),
        }
    }
    let missing = || Report::new(DaemonError::Usage).attach("--settings <file> is missing");
    let file = file.ok_or_else(missing)?;
    Ok(if is_check {
        Command::Check(file)
    } else {
        Command::Run(file)
    })
}

fn execute<P: Platform>(
    command: Command,
    platform: impl FnOnce(&GatewaySettings) -> P,
) -> Result<()> {
    let file = match command {
        Command::Print(text) => {
            print!("{text}");
            return Ok(());
        }
        Command::Check(file) => {
            settings::load(&file).change_context(DaemonError::Settings)?;
            println!("{}: ok", file.display());
            return Ok(());
        }
        Command::Run(file) => file,
    };
    let settings = settings::load(&file).change_context(DaemonError::Settings)?;
    let logs = LogBuffer::default();
    logs.install();
    let platform = platform(&settings);
    let runtime = compio::runtime::Runtime::new().change_context(DaemonError::Start)?;
    runtime.block_on(run(settings, file, platform, logs))
}

async fn run<P: Platform>(
    settings: GatewaySettings,
    file: PathBuf,
    platform: P,
    logs: LogBuffer,
) -> Result<()> {
    let host = RunningHost::start(settings, platform, logs.clone()).await?;
    let log_cancel = CancellationToken::new();
    let writing = compio::runtime::spawn(logs.clone().run(log_cancel.clone()));
    let watching = compio::runtime::spawn(watch_settings(Rc::clone(&host.gateway), file));
    signal(&STOP_SIGNALS).await;
    host.stop().await;
    drop(watching);
    tracing::info!(event = "stop", "stopped");
    log_cancel.cancel();
    // The writer ends after one last write.
    let _ = writing.await;
    Ok(())
}

/// Host whose services run on this thread's loop.
pub struct RunningHost<P: Platform> {
    /// Shared state.
    pub gateway: Rc<Gateway<P>>,
    /// Knows whether this host acts.
    pub membership: Rc<Membership<P>>,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    kernel: Kernel,
    front_cancel: CancellationToken,
    serving: compio::runtime::JoinHandle<()>,
}

impl<P: Platform> RunningHost<P> {
    /// Listens and starts all services.
    pub async fn start(settings: GatewaySettings, platform: P, logs: LogBuffer) -> Result<Self> {
        let listen = async |name, addr: SocketAddr| {
            let listening = server::listen(addr).await;
            listening.change_context(DaemonError::Listen(name, addr))
        };
        let callers = listen("caller_addr", settings.caller_addr).await?;
        let probes = listen("ready_addr", settings.ready_addr).await?;
        let peer_addr: SocketAddr = (settings.ip, settings.peer_port).into();
        let peers = UdpSocket::bind(peer_addr)
            .await
            .change_context(DaemonError::Listen("peer_port", peer_addr))?;
        let caller_addr = callers.local_addr().change_context(DaemonError::Start)?;
        tracing::info!(
            event = "start",
            host = %settings.host,
            zone = %settings.zone,
            version = env!("CARGO_PKG_VERSION"),
            peer = %peer_addr,
        );
        let kernel = Kernel::default();
        let gateway = kernel.register(Gateway::new(settings, platform, logs));
        let front = start(&kernel, &gateway, callers, probes, peers);
        let front = front.change_context(DaemonError::Start)?;
        let membership = kernel.find::<Membership<P>>();
        let membership = membership.change_context(DaemonError::Start)?;
        let front_cancel = CancellationToken::new();
        let serving = compio::runtime::spawn(Service::run(front, front_cancel.clone()));
        Ok(Self {
            gateway,
            membership,
            caller_addr,
            kernel,
            front_cancel,
            serving,
        })
    }

    /// Stops gracefully, within the grace of the settings.
    pub async fn stop(self) {
        let gateway = &self.gateway;
        let in_flight = gateway.metrics.in_flight.get();
        tracing::info!(event = "stop", in_flight, "stopping");
        gateway.stopping.cancel();
        let grace = Duration::from_secs_f64(gateway.settings().stop_grace_s);
        let linger = STOP_LINGER.min(grace / 2);
        compio::time::sleep(linger).await;
        self.front_cancel.cancel();
        let left = grace.saturating_sub(linger + STOP_MARGIN);
        if compio::time::timeout(left, self.serving).await.is_err() {
            tracing::warn!(
                event = "stop",
                in_flight = gateway.metrics.in_flight.get(),
                "requests are cut off at the end of the grace"
            );
        }
        self.kernel.stop().await;
    }
}

fn start<P: Platform>(
    kernel: &Kernel,
    gateway: &Rc<Gateway<P>>,
    callers: TcpListener,
    probes: TcpListener,
    peers: UdpSocket,
) -> std::result::Result<Rc<CallFront<P>>, NotRegistered> {
    kernel.register(StoreSync::new(Rc::clone(gateway)));
    let membership = kernel.register(Membership::new(Rc::clone(gateway)));
    let acting = kernel.register(ActingHostService::new(Rc::clone(gateway), membership));
    kernel.register(PeerService::new(Rc::clone(gateway), acting, peers));
    kernel.register(Placer::new(Rc::clone(gateway)));
    kernel.register(ProbeFront::new(Rc::clone(gateway), probes));
    kernel.start::<StoreSync<P>>()?;
    kernel.start::<Membership<P>>()?;
    kernel.start::<ActingHostService<P>>()?;
    kernel.start::<PeerService<P, Rc<ActingHostService<P>>>>()?;
    kernel.start::<Placer<P>>()?;
    kernel.start::<ProbeFront<P>>()?;
    Ok(kernel.register(CallFront::new(Rc::clone(gateway), callers)))
}

/// Reads the settings again on a signal and when the file has changed.
async fn watch_settings<P: Platform>(gateway: Rc<Gateway<P>>, file: PathBuf) {
    let last = RefCell::new(std::fs::read(&file).ok());
    loop {
        let is_asked = futures_util::select_biased! {
            () = signal(&[SIGHUP]).fuse() => true,
            () = compio::time::sleep(SETTINGS_EVERY).fuse() => false,
        };
        reload(&gateway, &file, &last, is_asked);
    }
}

fn reload<P: Platform>(
    gateway: &Gateway<P>,
    file: &Path,
    last: &RefCell<Option<Vec<u8>>>,
    is_asked: bool,
) {
    let now = std::fs::read(file).ok();
    if *last.borrow() == now && !is_asked {
        return;
    }
    *last.borrow_mut() = now;
    match settings::load(file) {
        Ok(settings) => {
            let is_changed = settings != *gateway.settings();
            tracing::info!(event = "reload", is_asked, is_changed);
            *gateway.settings.borrow_mut() = Rc::new(settings);
        }
        Err(error) => {
            tracing::error!(event = "reload", %error, "the last settings stay in force");
        }
    }
}
