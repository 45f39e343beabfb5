//! Command line, start and graceful stop of the entry host daemon.

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
use crate::edge::signals::Signals;
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
Runs one entry host of currantcove until it is stopped.

Usage:
    currantcoved [--check] --settings <file>
    currantcoved --help | --version

Options:
    --settings <file>   JSON file with the settings of this host.
    --check             Check the settings and exit.
    -h, --help          Show this text.
    --version           Show the version.

SIGTERM or SIGINT stops the host gracefully: it reports that it is not ready
and completes the requests in progress. A second signal stops it at once.

Logs are written to standard error as JSON; RUST_LOG sets their level. One line
on standard output contains the addresses once the host listens on them.

Exit codes: 0 stopped on request, 1 cannot run, 2 invalid arguments or settings.
";

const SIGINT: i32 = 2;
const SIGTERM: i32 = 15;
/// Signals that stop a daemon.
pub(crate) const STOP_SIGNALS: [i32; 2] = [SIGTERM, SIGINT];

/// Reason why a daemon cannot run.
#[derive(Debug)]
pub enum DaemonError {
    /// The command line is invalid.
    Usage,
    /// The settings are invalid.
    Settings,
    /// The named listener cannot be bound to its address.
    Listen(&'static str, SocketAddr),
    /// The runtime or a service cannot be started.
    Start,
}

impl fmt::Display for DaemonError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Usage => f.write_str("invalid arguments; see --help"),
            Self::Settings => f.write_str("invalid settings"),
            Self::Listen(name, addr) => write!(f, "cannot listen on {name} {addr}"),
            Self::Start => f.write_str("cannot start the runtime or a service"),
        }
    }
}

impl std::error::Error for DaemonError {}

type Result<T> = std::result::Result<T, Report<DaemonError>>;

/// Addresses that the host listens on, printed to standard output after the bind.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ListenAddrs {
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for operators.
    pub operator_addr: SocketAddr,
    /// Address for peers.
    pub peer_addr: SocketAddr,
}

enum Command {
    Run(PathBuf),
    Check(PathBuf),
    Print(String),
}

/// Runs the daemon and returns its exit code.
pub fn main(args: impl IntoIterator<Item = OsString>) -> ExitCode {
    report_exit("currantcoved", parse_args(args).and_then(execute))
}

/// Prints the error of a daemon, if any, and returns the exit code.
pub(crate) fn report_exit(name: &str, result: Result<()>) -> ExitCode {
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
    let mut is_check_only = false;
    while let Some(arg) = parser.next().change_context(DaemonError::Usage)? {
        match arg {
            Long("settings") => {
                file = Some(PathBuf::from(
                    parser.value().change_context(DaemonError::Usage)?,
                ));
            }
            Long("check") => is_check_only = true,
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
    Ok(if is_check_only {
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
    init_logging();
    let runtime = compio::runtime::Runtime::new().change_context(DaemonError::Start)?;
    runtime.block_on(run(settings))
}

fn init_logging() {
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
    let logs = tracing_subscriber::fmt().json().with_env_filter(filter);
    logs.with_writer(std::io::stderr).init();
}

async fn bind_listener(name: &'static str, addr: SocketAddr) -> Result<TcpListener> {
    server::listen(addr)
        .await
        .change_context(DaemonError::Listen(name, addr))
}

async fn run(settings: Settings) -> Result<()> {
    // Listened for until the process ends.
    let mut stop_signals = Signals::listen(&STOP_SIGNALS).change_context(DaemonError::Start)?;
    let caller_listener = bind_listener("caller_addr", settings.caller_addr).await?;
    let operator_listener = bind_listener("operator_addr", settings.operator_addr).await?;
    let peer_listener = bind_listener("peer_addr", settings.peer_addr).await?;
    let local_addr = |l: &TcpListener| l.local_addr().change_context(DaemonError::Start);
    let listen_addrs = ListenAddrs {
        caller_addr: local_addr(&caller_listener)?,
        operator_addr: local_addr(&operator_listener)?,
        peer_addr: local_addr(&peer_listener)?,
    };
    let kernel = Kernel::default();
    let host = kernel.register(Host::new(settings));
    register_services(
        &kernel,
        &host,
        caller_listener,
        operator_listener,
        peer_listener,
    )
    .change_context(DaemonError::Start)?;
    host.record(Subject::default(), EventKind::Started);
    print_listen_addrs(&listen_addrs);
    start_services(&kernel).change_context(DaemonError::Start)?;
    let caller_server = compio::runtime::spawn(
        kernel
            .find::<CallerService>()
            .change_context(DaemonError::Start)?
            .run(host.draining.clone()),
    );
    wait_for_stop_request(&host, &mut stop_signals).await;
    host.drain();
    futures_util::select_biased! {
        _ = caller_server.fuse() => {}
        _ = stop_signals.next().fuse() =>
            tracing::warn!("second stop signal received; aborting the requests in progress"),
    }
    kernel.stop().await;
    tracing::info!("entry host stopped");
    Ok(())
}

fn register_services(
    kernel: &Kernel,
    host: &Rc<Host>,
    caller_listener: TcpListener,
    operator_listener: TcpListener,
    peer_listener: TcpListener,
) -> std::result::Result<(), crate::kernel::NotRegistered> {
    kernel.register(ConfigService::new(Rc::clone(host)));
    kernel.register(HostListService::new(Rc::clone(host)));
    kernel.register(Dispatcher::new(Rc::clone(host)));
    kernel.register(ClaimService::new(Rc::clone(host)));
    let config_service = kernel.find::<ConfigService>()?;
    kernel.register(PeerService::new(
        Rc::clone(host),
        config_service,
        peer_listener,
    ));
    let peer_service = kernel.find::<PeerService>()?;
    kernel.register(PlacerService::new(Rc::clone(host), peer_service));
    let claim_service = kernel.find::<ClaimService>()?;
    kernel.register(OperatorService::new(
        Rc::clone(host),
        Rc::clone(&claim_service),
        operator_listener,
    ));
    let dispatcher = kernel.find::<Dispatcher>()?;
    kernel.register(CallerService::new(
        Rc::clone(host),
        dispatcher,
        claim_service,
        caller_listener,
    ));
    Ok(())
}

fn start_services(kernel: &Kernel) -> std::result::Result<(), crate::kernel::NotRegistered> {
    kernel.start::<ConfigService>()?;
    kernel.start::<HostListService>()?;
    kernel.start::<PeerService>()?;
    kernel.start::<PlacerService>()?;
    kernel.start::<ClaimService>()?;
    kernel.start::<OperatorService>()
}

fn print_listen_addrs(listen_addrs: &ListenAddrs) {
    let line = serde_json::to_string(listen_addrs).unwrap_or_default();
    println!("{line}");
    // A flush error is ignored: the reader of this line may have exited, and the
    // host keeps running.
    let _ = std::io::stdout().flush();
}

/// Waits for a stop signal or for an operator's drain request.
async fn wait_for_stop_request(host: &Host, stop_signals: &mut Signals) {
    futures_util::select_biased! {
        // An error ends the wait as well, so that the fault is visible.
        _ = stop_signals.next().fuse() => {}
        () = host.draining.cancelled().fuse() => {}
    }
}
