//! The command-line tool: `currantcove`.

mod cmd;
mod tree;
mod util;

use std::process::ExitCode;

use util::{CliError, CliResult};

const USAGE: &str = "\
Looks after a fleet of currantcove entry hosts.

Usage:
    currantcove <command> [<args>...]
    currantcove <command> --help
    currantcove --help | --version

Commands:
    check       Check settings and configuration files
    config      Read and change the operators' configuration
    status      Show the entry hosts
    models      Show where models are ready
    upstreams   Show upstreams and their load
    timeline    Show events of all entry hosts in one line
    explain     Show why a request or a model went where it did
    drain       Stop an entry host gracefully
    bench       Measure the cost of decisions

Every command that talks to a fleet takes --deployment <file>, a JSON file:
    {\"kv_addr\": \"10.0.0.5:2379\", \"operator_addrs\": [\"10.0.0.7:9102\"]}
It defaults to the environment's CURRANTCOVE_DEPLOYMENT, then to
./currantcove.json.

Exit codes: 0 done, 1 failed, 2 wrong usage or invalid input, 3 conflict with
another operator, 4 the fleet cannot be reached.
";

fn main() -> ExitCode {
    let mut args = std::env::args_os().skip(1);
    let command = args.next().map(|a| a.to_string_lossy().into_owned());
    let rest: Vec<_> = args.collect();
    let result = dispatch(command.as_deref(), rest);
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

fn dispatch(command: Option<&str>, argv: Vec<std::ffi::OsString>) -> CliResult<()> {
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
            "no command {other:?}; see currantcove --help"
        ))),
        None => Err(CliError::Usage(
            "a command is missing; see currantcove --help".to_owned(),
        )),
    }
}
