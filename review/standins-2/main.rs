//! Cases of the review against real hosts: `review-2 CASE FOLDER`, from the root of the
//! repository. Writes `record.txt` into the folder. Ends with 1 if the rule was broken, 0
//! if it held, and 2 if the case could not run. With `TROUBLE=0`, the disruption is left
//! out.

mod cases;
mod client;
mod clock;
mod host;
mod http;
mod json;
mod proxy;
mod record;
mod store;
mod streams;
mod upstream;

use std::process::ExitCode;

use record::Record;

/// Result of a case.
pub enum Verdict {
    Held,
    Broken,
    CouldNotRun,
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let [case, folder] = arguments.as_slice() else {
        eprintln!("usage: review-2 CASE FOLDER");
        return ExitCode::from(2);
    };
    if !host::is_built() {
        eprintln!("the host program is not built");
        return ExitCode::from(2);
    }
    clock::now_ms();
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let record = Record::new(has_trouble);
    let verdict = match case.as_str() {
        "silent-config" => cases::silent_config(&record, has_trouble),
        "silent-drain" => cases::silent_drain(&record, has_trouble),
        "lone-host" => cases::lone_host(&record, has_trouble),
        _ => Verdict::CouldNotRun,
    };
    let (code, result) = match verdict {
        Verdict::Held => (0, "the rule held"),
        Verdict::Broken => (1, "the rule was broken"),
        Verdict::CouldNotRun => (2, "the case could not run"),
    };
    record.line(result);
    if let Err(error) = record.write(folder) {
        eprintln!("record: {error}");
        return ExitCode::from(2);
    }
    println!("{result}");
    ExitCode::from(code)
}
