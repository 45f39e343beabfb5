//! `currantcove timeline`: shows the events of all entry hosts in causal order.

use std::collections::BTreeSet;
use std::ffi::OsString;

use currantcove::core::timeline::{Event, merge};

use crate::util::{self, CliError, CliResult, CommonOptions, Deployment, SubcommandArg};

const USAGE: &str = "\
Shows the events of all entry hosts, merged in causal order.

Usage:
    currantcove timeline [options]

Options:
    -d, --deployment <file>   JSON file with the addresses of the fleet.
    --request <id>            Only events of this request.
    --team <team>             Only events of this team.
    --upstream <id>           Only events of this upstream.
    --since <ms>              Only events from this Unix time on (milliseconds).
    --last <n>                Only the newest n events.
    --json                    Print JSON.
    --html <file>             Write a self-contained page, one column per host.
    -h, --help                Show this text.

Example:
    currantcove timeline --upstream assistant-3 --last 20
";

#[derive(Debug, Default)]
struct Args {
    common: CommonOptions,
    request: Option<String>,
    team: Option<String>,
    upstream: Option<String>,
    since_ms: u64,
    last: Option<usize>,
    html: Option<String>,
}

pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let args = Args::parse(argv)?;
    let deployment = Deployment::load(args.common.deployment.clone())?;
    util::block_on(async {
        let mut events = fetch_events(&deployment).await?;
        events.retain(|e| args.is_match(e));
        let skipped = events.len() - args.last.unwrap_or(events.len()).min(events.len());
        let events = &events[skipped..];
        if let Some(file) = &args.html {
            return write_html(file, events);
        }
        if args.common.is_json {
            return util::print_json(&events);
        }
        for event in events {
            util::print(&format_event(event));
        }
        Ok(())
    })
}

impl Args {
    fn parse(argv: Vec<OsString>) -> CliResult<Self> {
        let mut parser = lexopt::Parser::from_args(argv);
        let mut args = Self::default();
        while let Some(arg) = args.common.next_arg(&mut parser, USAGE)? {
            let SubcommandArg::Long(name) = &arg else {
                return Err(arg.unexpected());
            };
            match name.as_str() {
                "request" => args.request = Some(util::option_value(&mut parser)?),
                "team" => args.team = Some(util::option_value(&mut parser)?),
                "upstream" => args.upstream = Some(util::option_value(&mut parser)?),
                "since" => args.since_ms = parse_number(&mut parser)?,
                "html" => args.html = Some(util::option_value(&mut parser)?),
                "last" => args.last = Some(parse_number(&mut parser)? as usize),
                _ => return Err(arg.unexpected()),
            }
        }
        Ok(args)
    }

    fn is_match(&self, event: &Event) -> bool {
        let equals = |expected: &Option<String>, actual: Option<&str>| {
            expected.as_deref().is_none_or(|e| actual == Some(e))
        };
        event.at.wall_ms >= self.since_ms
            && equals(&self.request, event.request.as_deref())
            && equals(&self.team, event.team.as_ref().map(AsRef::as_ref))
            && equals(&self.upstream, event.upstream.as_ref().map(AsRef::as_ref))
    }
}

fn parse_number(parser: &mut lexopt::Parser) -> CliResult<u64> {
    let text = util::option_value(parser)?;
    text.parse()
        .map_err(|_| CliError::Usage(format!("{text:?} is not a number")))
}

/// Fetches the events of all hosts that respond and merges them in causal order.
pub async fn fetch_events(deployment: &Deployment) -> CliResult<Vec<Event>> {
    let requests = deployment.operator_addrs.iter().map(|addr| async move {
        util::get_json::<Vec<Event>>(&format!("http://{addr}/timeline")).await
    });
    let responses = futures_util::future::join_all(requests).await;
    if responses.iter().all(Option::is_none) {
        return Err(CliError::Unreachable("no entry host responded".to_owned()));
    }
    Ok(merge(responses.into_iter().flatten().flatten().collect()))
}

/// Formats an event as one line of text.
pub fn format_event(event: &Event) -> String {
    format!(
        "{}.{:03} {} {}\n",
        event.at.wall_ms,
        event.at.logical,
        event.host,
        describe(event)
    )
}

/// Describes an event by its subjects and its kind as JSON.
fn describe(event: &Event) -> String {
    let subjects = [
        ("request", event.request.as_deref()),
        ("team", event.team.as_ref().map(AsRef::as_ref)),
        ("upstream", event.upstream.as_ref().map(AsRef::as_ref)),
    ];
    let subjects = subjects
        .iter()
        .filter_map(|(k, v)| v.map(|v| format!("{k}={v} ")));
    let kind = serde_json::to_string(&event.kind).unwrap_or_default();
    format!("{}{kind}", subjects.collect::<String>())
}

/// Writes an HTML page with one row per event and one column per host.
fn write_html(file: &str, events: &[Event]) -> CliResult<()> {
    let hosts: BTreeSet<&str> = events.iter().map(|e| e.host.as_str()).collect();
    let header: Vec<String> = hosts
        .iter()
        .map(|h| format!("<th>{}</th>", escape_html(h)))
        .collect();
    let header = header.concat();
    let row = |event: &Event| {
        let cell = |host: &&str| {
            let text = if *host == event.host.as_str() {
                describe(event)
            } else {
                String::new()
            };
            format!("<td>{}</td>", escape_html(&text))
        };
        let cells = hosts.iter().map(cell).collect::<Vec<String>>().concat();
        format!(
            "<tr><th>{}.{}</th>{cells}</tr>\n",
            event.at.wall_ms, event.at.logical
        )
    };
    let rows = events.iter().map(row).collect::<Vec<String>>().concat();
    let page = format!(
        "<!doctype html><meta charset=\"utf-8\"><title>currantcove timeline</title>\n\
         <style>body{{font:13px sans-serif}}td,th{{padding:2px 8px;text-align:left;\
         border-bottom:1px solid #ddd}}thead{{position:sticky;top:0;background:#fff}}</style>\n\
         <table><thead><tr><th>time</th>{header}</tr></thead><tbody>\n{rows}</tbody></table>\n"
    );
    std::fs::write(file, page).map_err(|e| CliError::Failed(format!("{file}: {e}")))
}

fn escape_html(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
