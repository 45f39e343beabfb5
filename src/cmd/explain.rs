//! `currantcove explain`: shows the decisions behind the routing of a request or
//! the placement of a model.

use std::ffi::OsString;

use currantcove::core::log_trace::{self, LogLine};
use currantcove::core::timeline::{Event, EventKind};

use super::timeline;
use crate::util::{self, CliError, CliResult, CommonOptions, Deployment, SubcommandArg};

const USAGE: &str = "\
Shows the decisions about a request, by its x-request-id, or about a model, by
<team>/<model>.

Usage:
    currantcove explain [options] request <id>
    currantcove explain [options] model <team>/<model>
    currantcove explain [options] logs <id> <file>...

Options:
    -d, --deployment <file>   JSON file with the addresses of the fleet.
    --json                    Print the events or log lines as JSON.
    -h, --help                Show this text.

With logs, the request is explained from log files of one or several hosts,
without contacting a host.

Each entry host keeps its newest 8192 events; older requests cannot be
explained.
";

pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let mut parser = lexopt::Parser::from_args(argv);
    let mut common = CommonOptions::default();
    let mut arguments = Vec::new();
    while let Some(arg) = common.next_arg(&mut parser, USAGE)? {
        match arg {
            SubcommandArg::Value(value) => arguments.push(value),
            SubcommandArg::Long(_) => return Err(arg.unexpected()),
        }
    }
    if let [kind, id, files @ ..] = arguments.as_slice()
        && kind == "logs"
    {
        return explain_logs(id, files, common.is_json);
    }
    let deployment = Deployment::load(common.deployment.clone())?;
    let arguments: Vec<&str> = arguments.iter().map(String::as_str).collect();
    util::block_on(async {
        let events = timeline::fetch_events(&deployment).await?;
        let matching: Vec<&Event> = match arguments.as_slice() {
            ["request", id] => events
                .iter()
                .filter(|e| e.request.as_deref() == Some(*id))
                .collect(),
            ["model", model] => events
                .iter()
                .filter(|e| is_order_for_model(e, model))
                .collect(),
            _ => {
                let text = "invalid arguments; see currantcove explain --help";
                return Err(CliError::Usage(text.to_owned()));
            }
        };
        if matching.is_empty() {
            return Err(CliError::Failed(
                "no entry host has events for it".to_owned(),
            ));
        }
        if common.is_json {
            return util::print_json(&matching);
        }
        for event in matching {
            util::print(&describe_event(event));
        }
        Ok(())
    })
}

/// Explains a request from the log files of hosts.
fn explain_logs(id: &str, files: &[String], is_json: bool) -> CliResult<()> {
    if files.is_empty() {
        let text = "no log files; see currantcove explain --help";
        return Err(CliError::Usage(text.to_owned()));
    }
    let mut lines = Vec::new();
    for file in files {
        let text = std::fs::read_to_string(file)
            .map_err(|error| CliError::Failed(format!("{file}: {error}")))?;
        let (parsed, unreadable) = log_trace::parse(file, &text);
        if unreadable > 0 {
            eprintln!("currantcove: {file}: skipped {unreadable} lines that are not log records");
        }
        lines.extend(parsed);
    }
    let Some(explanation) = log_trace::explain(&lines, id) else {
        return Err(CliError::Failed(format!(
            "no log line has the request id {id}"
        )));
    };
    if is_json {
        let fields = |lines: &[LogLine]| -> Vec<serde_json::Value> {
            lines
                .iter()
                .map(|l| serde_json::json!({"host": l.host, "fields": l.fields}))
                .collect()
        };
        return util::print_json(&serde_json::json!({
            "cause": explanation.cause,
            "own": fields(&explanation.request_lines),
            "related": fields(&explanation.related_lines),
        }));
    }
    for line in &explanation.request_lines {
        util::print(&format_log_line(line));
    }
    if !explanation.related_lines.is_empty() {
        util::print("related lines:\n");
        for line in &explanation.related_lines {
            util::print(&format_log_line(line));
        }
    }
    util::print(&format!("cause: {}\n", explanation.cause));
    Ok(())
}

fn format_log_line(line: &LogLine) -> String {
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

fn is_order_for_model(event: &Event, model: &str) -> bool {
    matches!(&event.kind, EventKind::Ordered { artifact, .. } if artifact.model() == model)
}

fn describe_event(event: &Event) -> String {
    let upstream = event.upstream.as_ref().map_or("-", AsRef::as_ref);
    let host = &event.host;
    match &event.kind {
        EventKind::Attempt {
            attempt,
            load_permille,
            copies,
        } => format!(
            "{host} chose {upstream} for attempt {attempt}: one of {copies} upstreams with the model ready, \
             estimated load {}%\n",
            load_permille / 10
        ),
        EventKind::Ended {
            outcome,
            status,
            reason,
            took_ms,
        } => {
            let reason = reason.map_or_else(String::new, |r| format!(", reason {r:?}"));
            format!("{host} answered {status} after {took_ms} ms, outcome {outcome}{reason}\n")
        }
        EventKind::Ordered {
            order,
            number,
            artifact,
        } => {
            format!(
                "{host} ordered {order:?} of {artifact} at {upstream}, fencing token {number}\n"
            )
        }
        _ => timeline::format_event(event),
    }
}
