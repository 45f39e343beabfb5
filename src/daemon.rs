//! Starts and stops one entry host.

use std::ffi::OsString;
use std::fmt;
use std::io::Write as _;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;

use compio::net::TcpListener;
use error_stack::{Report, ResultExt};
use futures_util::FutureExt;
use serde::{Deserialize, Serialize};
use tracing_subscriber::EnvFilter;

use crate::core::timeline::{EventKind, Subject};
use crate::edge::server;
use crate::kernel::{Kernel, Service};
use crate::services::callers::CallerService;
use crate::services::claims::ClaimService;
use crate::services::config::ConfigService;
use crate::services::dispatch::Dispatcher;
use crate::services::host::Host;
use crate::services::host_list::HostListService;
use crate::services::operators::OperatorService;
use crate::services::peers::PeerService;
use crate::services::placer::PlacerService;
use crate::settings::{self, Settings};

const USAGE: &str = "\
Runs one entry host of currantcove until it is told to stop.

Usage:
    currantcoved --settings <file>
    currantcoved --help | --version

Options:
    --settings <file>   JSON file with the settings of this host.
    --check             Check the settings and exit.
    -h, --help          Show this text.
    --version           Show the version.

SIGTERM or SIGINT stops gracefully: readiness goes off, requests in progress
run to their end. A second signal stops at once.

Logs go to standard error as JSON; RUST_LOG sets their level. One line on
standard output names the addresses once the host listens.

Exit codes: 0 stopped as asked, 1 cannot run, 2 wrong usage or settings.
";

const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;
/// Signals that stop a daemon.
pub(crate) const STOP_SIGNALS: [i32; 2] = [SIGTERM, SIGINT];

/// Why the daemon cannot run.
#[derive(Debug)]
pub enum DaemonError {
    /// Wrong command line.
    Usage,
    /// Settings are not valid.
    Settings,
    /// An address cannot be used.
    Listen(&'static str, SocketAddr),
    /// The runtime or a service cannot start.
    Start,
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage => f.write_str("wrong usage; see currantcoved --help"),
            Self::Settings => f.write_str("settings are not valid"),
            Self::Listen(name, addr) => write!(f, "cannot listen on {name} {addr}"),
            Self::Start => f.write_str("cannot start"),
        }
    }
}

impl std::error::Error for DaemonError {}

type Result<T> = std::result::Result<T, Report<DaemonError>>;

/// Addresses on which the host listens, printed once it does.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Listening {
    /// For callers.
    pub caller_addr: SocketAddr,
    /// For operators.
    pub operator_addr: SocketAddr,
    /// For peers.
    pub peer_addr: SocketAddr,
}

enum Command {
    Run(PathBuf),
    Check(PathBuf),
    Print(String),
}

/// Runs the daemon.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    ended("currantcoved", parse_args(args).and_then(execute))
}

/// Reports why a daemon could not run; its exit code.
pub(crate) fn ended(name: &str, result: Result<()>) -> ExitCode {
    let Err(report) = result else {
        return ExitCode::SUCCESS;
    };
    eprintln!("{name}: {report:?}");
    match report.current_context() {
        DaemonError::Usage | DaemonError::Settings => ExitCode::from(2),
        DaemonError::Listen(..) | DaemonError::Start => ExitCode::from(1),
    }
}

fn parse_args(args: impl IntoIterator<Item = OsString>) -> Result<Command> {
    use lexopt::prelude::*;
    let mut parser = lexopt::Parser::from_iter(args);
    let mut file = None;
    let mut is_check = false;
    while let Some(arg) = parser.next().change_context(DaemonError::Usage)? {
        match arg {
            Long("settings") => {
                file = Some(PathBuf::from(
                    parser.value().change_context(DaemonError::Usage)?,
                ));
            }
            Long("check") => is_check = true,
            Short('h') | Long("help") => return Ok(Command::Print(USAGE.to_owned())),
            Long("version") => {
                return Ok(Command::Print(format!(
                    "currantcoved {}\n",
                    env!("CARGO_PKG_VERSION")
                )));
            }
            other => return Err(Report::new(other.unexpected()).change_context(DaemonError::Usage)),
        }
    }
    let file =
        file.ok_or_else(|| Report::new(DaemonError::Usage).attach("--settings <file> is missing"))?;
    Ok(if is_check {
        Command::Check(file)
    } else {
        Command::Run(file)
    })
}

fn execute(command: Command) -> Result<()> {
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
    init_logs();
    let runtime = compio::runtime::Runtime::new().change_context(DaemonError::Start)?;
    runtime.block_on(run(settings))
}

fn init_logs() {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let logs = tracing_subscriber::fmt().json().with_env_filter(filter);
    logs.with_writer(std::io::stderr).init();
}

async fn listen(name: &'static str, addr: SocketAddr) -> Result<TcpListener> {
    server::listen(addr)
        .await
        .change_context(DaemonError::Listen(name, addr))
}

async fn run(settings: Settings) -> Result<()> {
    let callers = listen("caller_addr", settings.caller_addr).await?;
    let operators = listen("operator_addr", settings.operator_addr).await?;
    let peers = listen("peer_addr", settings.peer_addr).await?;
    let addr = |l: &TcpListener| l.local_addr().change_context(DaemonError::Start);
    let listening = Listening {
        caller_addr: addr(&callers)?,
        operator_addr: addr(&operators)?,
        peer_addr: addr(&peers)?,
    };
    let kernel = Kernel::default();
    let host = kernel.register(Host::new(settings));
    register(&kernel, &host, callers, operators, peers).change_context(DaemonError::Start)?;
    host.record(Subject::default(), EventKind::Started);
    announce(&listening);
    start(&kernel).change_context(DaemonError::Start)?;
    let serving = compio::runtime::spawn(
        kernel
            .find::<CallerService>()
            .change_context(DaemonError::Start)?
            .run(host.draining.clone()),
    );
    wait_for_stop(&host).await;
    host.drain();
    futures_util::select_biased! {
        _ = serving.fuse() => {}
        () = signal(&STOP_SIGNALS).fuse() => tracing::warn!("second signal, stopping at once"),
    }
    kernel.stop().await;
    tracing::info!("stopped");
    Ok(())
}

fn register(
    kernel: &Kernel,
    host: &Rc<Host>,
    callers: TcpListener,
    operators: TcpListener,
    peers: TcpListener,
) -> std::result::Result<(), crate::kernel::NotRegistered> {
    kernel.register(ConfigService::new(Rc::clone(host)));
    kernel.register(HostListService::new(Rc::clone(host)));
    kernel.register(Dispatcher::new(Rc::clone(host)));
    kernel.register(ClaimService::new(Rc::clone(host)));
    let config = kernel.find::<ConfigService>()?;
    kernel.register(PeerService::new(Rc::clone(host), config, peers));
    let peers = kernel.find::<PeerService>()?;
    kernel.register(PlacerService::new(Rc::clone(host), peers));
    let claims = kernel.find::<ClaimService>()?;
    kernel.register(OperatorService::new(
        Rc::clone(host),
        Rc::clone(&claims),
        operators,
    ));
    let dispatcher = kernel.find::<Dispatcher>()?;
    kernel.register(CallerService::new(
        Rc::clone(host),
        dispatcher,
        claims,
        callers,
    ));
    Ok(())
}

fn start(kernel: &Kernel) -> std::result::Result<(), crate::kernel::NotRegistered> {
    kernel.start::<ConfigService>()?;
    kernel.start::<HostListService>()?;
    kernel.start::<PeerService>()?;
    kernel.start::<PlacerService>()?;
    kernel.start::<ClaimService>()?;
    kernel.start::<OperatorService>()
}

fn announce(listening: &Listening) {
    let line = serde_json::to_string(listening).unwrap_or_default();
    println!("{line}");
    // Whoever waits for the line may have gone; the host runs on.
    let _ = std::io::stdout().flush();
}

/// Waits for a signal or for an operator's request.
async fn wait_for_stop(host: &Host) {
    futures_util::select_biased! {
        () = signal(&STOP_SIGNALS).fuse() => {}
        () = host.draining.cancelled().fuse() => {}
    }
}

/// Waits for one of some signals.
pub(crate) async fn signal(numbers: &[i32]) {
    let waits = numbers
        .iter()
        .map(|&n| Box::pin(compio::signal::unix::signal(n)));
    // A signal that cannot be waited for ends the wait, which is seen at once.
    let _ = futures_util::future::select_all(waits).await;
}
