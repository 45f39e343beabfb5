//! The command-line tool: `currantcove`.

mod cmd;
mod tree;
mod util;

use std::process::ExitCode;

use util::{CliError, CliResult};

const USAGE: &str = "\
Manages a fleet of currantcove entry hosts.

Usage:
    currantcove <command> [<args>...]
    currantcove <command> --help
    currantcove --help | --version

Commands:
    check       Validate settings and configuration files
    config      Read and change the operators' configuration
    status      Show the state of the entry hosts
    models      Show the upstreams where models are ready
    upstreams   Show the upstreams and their load
    timeline    Show the events of all entry hosts in causal order
    explain     Show the decisions about a request or a model
    drain       Stop an entry host gracefully
    bench       Measure the time of routing and placement decisions

Commands that contact a fleet take --deployment <file>, a JSON file:
    {\"kv_addr\": \"10.0.0.5:2379\", \"operator_addrs\": [\"10.0.0.7:9102\"]}
The default is the file named by the environment variable
CURRANTCOVE_DEPLOYMENT, then ./currantcove.json.

Exit codes: 0 success, 1 failure, 2 invalid arguments or input, 3 conflict with
a change by another operator, 4 the fleet cannot be reached.
";

fn main() -> ExitCode {
    let mut args = std::env::args_os().skip(1);
    let command = args.next().map(|a| a.to_string_lossy().into_owned());
    let argv: Vec<_> = args.collect();
    let result = run_command(command.as_deref(), argv);
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(CliError::Print(text)) => {
            util::print(&text);
            ExitCode::SUCCESS
        }
        Err(error) => {
            eprintln!("currantcove: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}

fn run_command(command: Option<&str>, argv: Vec<std::ffi::OsString>) -> CliResult<()> {
    match command {
        Some("check") => cmd::check::run(argv),
        Some("config") => cmd::config::run(argv),
        Some("status") => cmd::status::run(argv),
        Some("models") => cmd::models::run(argv),
        Some("upstreams") => cmd::upstreams::run(argv),
        Some("timeline") => cmd::timeline::run(argv),
        Some("explain") => cmd::explain::run(argv),
        Some("drain") => cmd::drain::run(argv),
        Some("bench") => cmd::bench::run(argv),
        Some("-h" | "--help") => Err(CliError::Print(USAGE.to_owned())),
        Some("--version") => Err(CliError::Print(format!(
            "currantcove {}\n",
            env!("CARGO_PKG_VERSION")
        ))),
        Some(other) => Err(CliError::Usage(format!(
            "unknown command {other:?}; see currantcove --help"
        ))),
        None => Err(CliError::Usage(
            "missing command; see currantcove --help".to_owned(),
        )),
    }
}
