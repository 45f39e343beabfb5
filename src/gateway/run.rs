//! Command line, start and graceful stop of one host.
//!
//! A stop first withdraws readiness and continues to serve until no new
//! connections arrive. Then it closes idle connections and lets requests in
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
use super::brittle::BrittleService;
use super::front::{CallerServer, ProbeServer};
use super::logs::LogBuffer;
use super::membership::Membership;
use super::peer_server::PeerServer;
use super::peers::PeerService;
use super::placer::QueueDispatcher;
use super::platform::Platform;
use super::quarantine::QuarantineService;
use super::quotas::QuotaService;
use super::reach::ReachService;
use super::settings::{self, GatewaySettings};
use super::shared_places::SharedPlaceService;
use super::state::Gateway;
use super::sync::StoreSync;
use crate::daemon::{DaemonError, STOP_SIGNALS, report_exit};
use crate::edge::server;
use crate::edge::signals::Signals;
use crate::kernel::{Kernel, NotRegistered, Service};

const USAGE: &str = "\
Runs one host of currantcove on a platform until it receives a stop signal.

Usage:
    currantcove-host [--settings <file>] [--check]
    currantcove-host --help | --version

Options:
    --settings <file>   JSON file with the settings of this host; by default
                        the file that the platform specifies.
    --check             Check the settings and exit.
    -h, --help          Show this text.
    --version           Show the version.

SIGTERM or SIGINT stops gracefully: readiness is withdrawn, and requests in
progress run to their end. The settings are reloaded on SIGHUP and when the
file changes.

Logs go to standard output, one JSON object a line; RUST_LOG sets their level.

Exit codes: 0 stopped by a signal, 1 cannot run, 2 invalid usage or settings.
";

/// Time from the loss of readiness until no new connections arrive: two failed
/// probes at one per second, and the setup of a connection.
const READINESS_DRAIN_TIME: Duration = Duration::from_millis(2_600);
/// Time before the end of the grace period at which a stopping process exits.
const EXIT_MARGIN: Duration = Duration::from_millis(250);
/// Time before that at which requests that still wait are refused, so that the refusals
/// reach their callers.
const REFUSAL_MARGIN: Duration = Duration::from_millis(500);
/// Time before that at which requests in progress are answered, so that the answers reach
/// their callers.
const ANSWER_MARGIN: Duration = Duration::from_millis(250);
/// Time between two checks of the settings file for changes.
const SETTINGS_POLL_INTERVAL: Duration = Duration::from_secs(2);

const SIGHUP: i32 = 1;

/// Result of starting or running a host.
pub type Result<T> = std::result::Result<T, Report<DaemonError>>;

enum Command {
    Run(PathBuf),
    Check(PathBuf),
    Print(String),
}

/// Runs a host. `args` starts with the program's name; `file` is the platform's
/// default settings file.
pub fn main<P: Platform>(
    args: impl IntoIterator<Item = OsString>,
    file: Option<PathBuf>,
    platform: impl FnOnce(&GatewaySettings) -> P,
) -> ExitCode {
    let command = parse_args(args, file);
    let result = command.and_then(|command| execute(command, platform));
    report_exit("currantcove-host", result)
}

fn parse_args(
    args: impl IntoIterator<Item = OsString>,
    mut file: Option<PathBuf>,
) -> Result<Command> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_iter(args);
    let mut is_check_only = false;
    while let Some(arg) = parser.next().change_context(DaemonError::Usage)? {
        match arg {
            Long("settings") => {
                let value = parser.value().change_context(DaemonError::Usage)?;
                file = Some(PathBuf::from(value));
            }
            Long("check") => is_check_only = true,
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
    Ok(if is_check_only {
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
    // Listened for until the process ends.
    let mut stop_signals = Signals::listen(&STOP_SIGNALS).change_context(DaemonError::Start)?;
    let reload_signal = Signals::listen(&[SIGHUP]).change_context(DaemonError::Start)?;
    let host = RunningHost::start(settings, platform, logs.clone()).await?;
    let log_cancel = CancellationToken::new();
    let writer = compio::runtime::spawn(logs.clone().run(log_cancel.clone()));
    let watching = watch_settings(Rc::clone(&host.gateway), file, reload_signal);
    let watcher = compio::runtime::spawn(watching);
    // An error ends the wait as well, so that the fault is visible.
    let _ = stop_signals.next().await;
    host.stop().await;
    tracing::info!(event = "stop", "stopped");
    log_cancel.cancel();
    // The writer task ends after one last write.
    let _ = writer.await;
    drop(watcher);
    Ok(())
}

/// Host whose services run on this thread's event loop.
pub struct RunningHost<P: Platform> {
    /// Shared state.
    pub gateway: Rc<Gateway<P>>,
    /// Registration of this host and its term as the acting host.
    pub membership: Rc<Membership<P>>,
    /// Address on which the server for callers listens.
    pub caller_addr: SocketAddr,
    kernel: Kernel,
    server_cancel: CancellationToken,
    server_task: compio::runtime::JoinHandle<()>,
}

impl<P: Platform> RunningHost<P> {
    /// Binds the sockets and starts all services.
    pub async fn start(settings: GatewaySettings, platform: P, logs: LogBuffer) -> Result<Self> {
        let listen = async |name, addr: SocketAddr| {
            let listener = server::listen(addr).await;
            listener.change_context(DaemonError::Listen(name, addr))
        };
        let callers = listen("caller_addr", settings.caller_addr).await?;
        let probes = listen("ready_addr", settings.ready_addr).await?;
        let peer_addr: SocketAddr = (settings.ip, settings.peer_port).into();
        let peers = UdpSocket::bind(peer_addr)
            .await
            .change_context(DaemonError::Listen("peer_port", peer_addr))?;
        let peer_requests = listen("peer_port", peer_addr).await?;
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
        let caller_server = start_services(&kernel, &gateway, callers, probes, peers);
        let caller_server = caller_server.change_context(DaemonError::Start)?;
        let membership = kernel.find::<Membership<P>>();
        let membership = membership.change_context(DaemonError::Start)?;
        let server_cancel = CancellationToken::new();
        let peer_server = kernel.register(PeerServer::new(
            Rc::clone(&gateway),
            Rc::clone(&caller_server),
            peer_requests,
        ));
        let server_task = compio::runtime::spawn({
            let cancel = server_cancel.clone();
            async move {
                let callers = Service::run(caller_server, cancel.clone());
                futures_util::join!(callers, Service::run(peer_server, cancel));
            }
        });
        Ok(Self {
            gateway,
            membership,
            caller_addr,
            kernel,
            server_cancel,
            server_task,
        })
    }

    /// Stops gracefully within the grace period of the settings.
    pub async fn stop(self) {
        let gateway = &self.gateway;
        let in_flight = gateway.metrics.requests_in_flight.get();
        tracing::info!(event = "stop", in_flight, "stopping");
        gateway.stopping.cancel();
        let grace = Duration::from_secs_f64(gateway.settings().stop_grace_s);
        let until_refusal = grace.saturating_sub(EXIT_MARGIN + REFUSAL_MARGIN);
        let refuses_ms = gateway.now_ms() + until_refusal.as_millis() as u64;
        gateway.admission_queue.borrow_mut().close_at(refuses_ms);
        let until_answer = grace.saturating_sub(EXIT_MARGIN + ANSWER_MARGIN);
        let answers_ms = gateway.now_ms() + until_answer.as_millis() as u64;
        gateway.stop_ends_ms.set(Some(answers_ms));
        let stop_ended = gateway.stop_ended.clone();
        compio::runtime::spawn(async move {
            compio::time::sleep(until_answer).await;
            stop_ended.cancel();
        })
        .detach();
        let drain_time = READINESS_DRAIN_TIME.min(grace / 2);
        compio::time::sleep(drain_time).await;
        self.server_cancel.cancel();
        let left = grace.saturating_sub(drain_time + EXIT_MARGIN);
        if compio::time::timeout(left, self.server_task).await.is_err() {
            tracing::warn!(
                event = "stop",
                in_flight = gateway.metrics.requests_in_flight.get(),
                "the grace period ended; requests in progress are cut off"
            );
        }
        self.kernel.stop().await;
    }
}

fn start_services<P: Platform>(
    kernel: &Kernel,
    gateway: &Rc<Gateway<P>>,
    callers: TcpListener,
    probes: TcpListener,
    peers: UdpSocket,
) -> std::result::Result<Rc<CallerServer<P>>, NotRegistered> {
    kernel.register(StoreSync::new(Rc::clone(gateway)));
    let membership = kernel.register(Membership::new(Rc::clone(gateway)));
    let acting = kernel.register(ActingHostService::new(Rc::clone(gateway), membership));
    kernel.register(PeerService::new(Rc::clone(gateway), acting, peers));
    kernel.register(QuarantineService::new(Rc::clone(gateway)));
    kernel.register(ReachService::new(Rc::clone(gateway)));
    kernel.register(BrittleService::new(Rc::clone(gateway)));
    kernel.register(SharedPlaceService::new(Rc::clone(gateway)));
    kernel.register(QuotaService::new(Rc::clone(gateway)));
    kernel.register(QueueDispatcher::new(Rc::clone(gateway)));
    kernel.register(ProbeServer::new(Rc::clone(gateway), probes));
    kernel.start::<StoreSync<P>>()?;
    kernel.start::<Membership<P>>()?;
    kernel.start::<ActingHostService<P>>()?;
    kernel.start::<PeerService<P, Rc<ActingHostService<P>>>>()?;
    kernel.start::<QuarantineService<P>>()?;
    kernel.start::<ReachService<P>>()?;
    kernel.start::<BrittleService<P>>()?;
    kernel.start::<SharedPlaceService<P>>()?;
    kernel.start::<QuotaService<P>>()?;
    kernel.start::<QueueDispatcher<P>>()?;
    kernel.start::<ProbeServer<P>>()?;
    Ok(kernel.register(CallerServer::new(Rc::clone(gateway), callers)))
}

/// Reloads the settings on SIGHUP and when the file changes.
async fn watch_settings<P: Platform>(
    gateway: Rc<Gateway<P>>,
    file: PathBuf,
    mut reload_signal: Signals,
) {
    let last_content = RefCell::new(std::fs::read(&file).ok());
    loop {
        let is_forced = futures_util::select_biased! {
            received = reload_signal.next().fuse() => match received {
                Ok(()) => true,
                Err(error) => {
                    tracing::error!(event = "reload", %error, "cannot listen for the signal");
                    return;
                }
            },
            () = compio::time::sleep(SETTINGS_POLL_INTERVAL).fuse() => false,
        };
        reload_settings(&gateway, &file, &last_content, is_forced);
    }
}

fn reload_settings<P: Platform>(
    gateway: &Gateway<P>,
    file: &Path,
    last_content: &RefCell<Option<Vec<u8>>>,
    is_forced: bool,
) {
    let content = std::fs::read(file).ok();
    if *last_content.borrow() == content && !is_forced {
        return;
    }
    *last_content.borrow_mut() = content;
    match settings::load(file) {
        Ok(settings) => {
            let is_changed = settings != *gateway.settings();
            tracing::info!(event = "reload", is_asked = is_forced, is_changed);
            *gateway.settings.borrow_mut() = Rc::new(settings);
        }
        Err(error) => {
            tracing::error!(event = "reload", %error, "cannot reload the settings; the previous ones stay in force");
        }
    }
}
