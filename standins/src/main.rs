//! Runs stand-ins, a demonstration, or a measurement.

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
    serve   Host the stand-ins of a plan; one line names their addresses
    demo    Start a whole deployment on loopback, offer a load, print a report
    bench   Measure: edge, throughput, memory
";

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let words: Vec<&str> = args.iter().map(String::as_str).collect();
    let result = match words.as_slice() {
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
