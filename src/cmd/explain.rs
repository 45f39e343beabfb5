//! `currantcove explain`: why a request or a model went where it did.

use std::ffi::OsString;

use currantcove::core::log_trace::{self, LogLine};
use currantcove::core::timeline::{Event, EventKind};

use super::timeline;
use crate::util::{self, CliError, CliResult, Common, Deployment, OwnedArg};

const USAGE: &str = "\
Explains a request by its x-request-id, or a model by <team>/<model>.

Usage:
    currantcove explain [options] request <id>
    currantcove explain [options] model <team>/<model>
    currantcove explain [options] logs <id> <file>...

Options:
    -d, --deployment <file>   Where the fleet is reached.
    --json                    Print the events behind it as JSON.
    -h, --help                Show this text.

With logs, the lines that hosts wrote are read from files, of one host or of
several together, and no host is asked.

Entry hosts keep their newest 8192 events; older requests cannot be explained.
";

pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let mut parser = lexopt::Parser::from_args(argv);
    let mut common = Common::default();
    let mut words = Vec::new();
    while let Some(arg) = common.take(&mut parser, USAGE)? {
        match arg {
            OwnedArg::Value(value) => words.push(value),
            OwnedArg::Long(_) => return Err(arg.unexpected()),
        }
    }
    if let [kind, id, files @ ..] = words.as_slice()
        && kind == "logs"
    {
        return explain_logs(id, files, common.json);
    }
    let deployment = Deployment::load(common.deployment.clone())?;
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    util::block_on(async {
        let events = timeline::fetch(&deployment).await?;
        let about: Vec<&Event> = match words.as_slice() {
            ["request", id] => events
                .iter()
                .filter(|e| e.request.as_deref() == Some(*id))
                .collect(),
            ["model", model] => events.iter().filter(|e| concerns(e, model)).collect(),
            _ => {
                let text = "wrong arguments; see currantcove explain --help";
                return Err(CliError::Usage(text.to_owned()));
            }
        };
        if about.is_empty() {
            return Err(CliError::Failed("no host remembers it".to_owned()));
        }
        if common.json {
            return util::print_json(&about);
        }
        for event in about {
            util::print(&sentence(event));
        }
        Ok(())
    })
}

/// Explains a request from log files.
fn explain_logs(id: &str, files: &[String], is_json: bool) -> CliResult<()> {
    if files.is_empty() {
        let text = "no log files; see currantcove explain --help";
        return Err(CliError::Usage(text.to_owned()));
    }
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file)
            .map_err(|error| CliError::Failed(format!("{file}: {error}")))?;
        let (read, unreadable) = log_trace::parse(file, &text);
        if unreadable > 0 {
            eprintln!("currantcove: {file}: {unreadable} lines are no log lines");
        }
        lines.extend(read);
    }
    let Some(found) = log_trace::explain(&lines, id) else {
        return Err(CliError::Failed(format!("no line bears the id {id}")));
    };
    if is_json {
        let fields = |lines: &[LogLine]| -> Vec<serde_json::Value> {
            lines
                .iter()
                .map(|l| serde_json::json!({"host": l.host, "fields": l.fields}))
                .collect()
        };
        return util::print_json(&serde_json::json!({
            "cause": found.cause,
            "own": fields(&found.request_lines),
            "related": fields(&found.related_lines),
        }));
    }
    for line in &found.request_lines {
        util::print(&log_line(line));
    }
    if !found.related_lines.is_empty() {
        util::print("before and around it:\n");
        for line in &found.related_lines {
            util::print(&log_line(line));
        }
    }
    util::print(&format!("cause: {}\n", found.cause));
    Ok(())
}

fn log_line(line: &LogLine) -> String {
    let fields = line
        .fields
        .iter()
        .filter(|(name, _)| !matches!(name.as_str(), "timestamp" | "level" | "request"))
        .map(|(name, value)| match value.as_str() {
            Some(text) => format!(" {name}={text}"),
            None => format!(" {name}={value}"),
        })
        .collect::<String>();
    format!("{} {}{fields}\n", line.text("timestamp"), line.host)
}

fn concerns(event: &Event, model: &str) -> bool {
    matches!(&event.kind, EventKind::Ordered { artifact, .. } if artifact.model() == model)
}

fn sentence(event: &Event) -> String {
    let upstream = event.upstream.as_ref().map_or("-", AsRef::as_ref);
    let host = &event.host;
    match &event.kind {
        EventKind::Attempt {
            attempt,
            load_permille,
            copies,
        } => format!(
            "{host} chose {upstream} for attempt {attempt}: one of {copies} that could run it, \
             at {}% of its batch\n",
            load_permille / 10
        ),
        EventKind::Ended {
            outcome,
            status,
            reason,
            took_ms,
        } => {
            let why = reason.map_or_else(String::new, |r| format!(", because of {r:?}"));
            format!("{host} answered {status} after {took_ms} ms, outcome {outcome}{why}\n")
        }
        EventKind::Ordered {
            order,
            number,
            artifact,
        } => {
            format!("{host} ordered {order:?} of {artifact} at {upstream}, number {number}\n")
        }
        _ => timeline::line(event),
    }
}
