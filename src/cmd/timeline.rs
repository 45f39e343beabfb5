//! `currantcove timeline`: events of all entry hosts in one line.

use std::collections::BTreeSet;
use std::ffi::OsString;

use currantcove::core::timeline::{Event, merge};

use crate::util::{self, CliError, CliResult, Common, Deployment, OwnedArg};

const USAGE: &str = "\
Shows the events of all entry hosts, merged in causal order.

Usage:
    currantcove timeline [options]

Options:
    -d, --deployment <file>   Where the fleet is reached.
    --request <id>            Only events of this request.
    --team <team>             Only events of this team.
    --upstream <id>           Only events of this upstream.
    --since <ms>              Only events from this time on, in milliseconds.
    --last <n>                Only the newest n events.
    --json                    Print JSON.
    --html <file>             Write a self-contained page, one column a host.
    -h, --help                Show this text.

Example:
    currantcove timeline --upstream assistant-3 --last 20
";

#[derive(Debug, Default)]
struct Args {
    common: Common,
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
        let mut events = fetch(&deployment).await?;
        events.retain(|e| args.wants(e));
        let skipped = events.len() - args.last.unwrap_or(events.len()).min(events.len());
        let events = &events[skipped..];
        if let Some(file) = &args.html {
            return write_page(file, events);
        }
        if args.common.json {
            return util::print_json(&events);
        }
        for event in events {
            util::print(&line(event));
        }
        Ok(())
    })
}

impl Args {
    fn parse(argv: Vec<OsString>) -> CliResult<Self> {
        let mut parser = lexopt::Parser::from_args(argv);
        let mut args = Self::default();
        while let Some(arg) = args.common.take(&mut parser, USAGE)? {
            let OwnedArg::Long(name) = &arg else {
                return Err(arg.unexpected());
            };
            match name.as_str() {
                "request" => args.request = Some(util::value(&mut parser)?),
                "team" => args.team = Some(util::value(&mut parser)?),
                "upstream" => args.upstream = Some(util::value(&mut parser)?),
                "since" => args.since_ms = number(&mut parser)?,
                "html" => args.html = Some(util::value(&mut parser)?),
                "last" => args.last = Some(number(&mut parser)? as usize),
                _ => return Err(arg.unexpected()),
            }
        }
        Ok(args)
    }

    fn wants(&self, event: &Event) -> bool {
        let fits = |wanted: &Option<String>, is: Option<&str>| {
            wanted.as_deref().is_none_or(|w| is == Some(w))
        };
        event.at.wall_ms >= self.since_ms
            && fits(&self.request, event.request.as_deref())
            && fits(&self.team, event.team.as_ref().map(AsRef::as_ref))
            && fits(&self.upstream, event.upstream.as_ref().map(AsRef::as_ref))
    }
}

fn number(parser: &mut lexopt::Parser) -> CliResult<u64> {
    let text = util::value(parser)?;
    text.parse()
        .map_err(|_| CliError::Usage(format!("{text:?} is not a number")))
}

/// Fetches and merges the events of all hosts that answer.
pub async fn fetch(deployment: &Deployment) -> CliResult<Vec<Event>> {
    let calls = deployment.operator_addrs.iter().map(|addr| async move {
        util::get_json::<Vec<Event>>(&format!("http://{addr}/timeline")).await
    });
    let answers = futures_util::future::join_all(calls).await;
    if answers.iter().all(Option::is_none) {
        return Err(CliError::Unreachable("no entry host answers".to_owned()));
    }
    Ok(merge(answers.into_iter().flatten().flatten().collect()))
}

/// One event as text.
pub fn line(event: &Event) -> String {
    format!(
        "{}.{:03} {} {}\n",
        event.at.wall_ms,
        event.at.logical,
        event.host,
        about(event)
    )
}

/// What an event concerns and says.
fn about(event: &Event) -> String {
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

/// Writes a page with one row an event and one column a host.
fn write_page(file: &str, events: &[Event]) -> CliResult<()> {
    let hosts: BTreeSet<&str> = events.iter().map(|e| e.host.as_str()).collect();
    let head: Vec<String> = hosts
        .iter()
        .map(|h| format!("<th>{}</th>", escape(h)))
        .collect();
    let head = head.concat();
    let row = |event: &Event| {
        let cell = |host: &&str| {
            let text = if *host == event.host.as_str() {
                about(event)
            } else {
                String::new()
            };
            format!("<td>{}</td>", escape(&text))
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
         <table><thead><tr><th>time</th>{head}</tr></thead><tbody>\n{rows}</tbody></table>\n"
    );
    std::fs::write(file, page).map_err(|e| CliError::Failed(format!("{file}: {e}")))
}

fn escape(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
}
