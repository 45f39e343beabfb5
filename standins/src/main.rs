//! Command line of the stand-ins: serves them, runs the demonstration or a
//! benchmark.

mod bench;
mod demo;

use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "\
Stand-ins for the systems around currantcove.

Usage:
    currantcove-standins serve <plan.json>
    currantcove-standins demo <load.json>
    currantcove-standins bench <name>

Commands:
    serve   Run the stand-ins of a plan; prints their addresses as one JSON line
    demo    Start a deployment on loopback, offer a load, print a report
    bench   Run a benchmark: edge, throughput, memory
";

fn main() -> ExitCode {
    let arg_strings: Vec<String> = std::env::args().skip(1).collect();
    let args: Vec<&str> = arg_strings.iter().map(String::as_str).collect();
    let result = match args.as_slice() {
        ["serve", plan] => serve(&PathBuf::from(plan)),
        ["demo", load] => demo::run(&PathBuf::from(load)),
        ["bench", name] => bench::run(name),
        _ => {
            eprint!("{USAGE}");
            return ExitCode::from(2);
        }
    };
    match result {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("currantcove-standins: {error}");
            ExitCode::FAILURE
        }
    }
}

fn serve(plan: &std::path::Path) -> std::io::Result<()> {
    let plan = serde_json::from_slice(&std::fs::read(plan)?)?;
    currantcove_standins::serve::run(plan)
}
