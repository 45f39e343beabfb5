//! `currantcove timeline`: events of all entry hosts in one line.

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
}

pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let args = Args::parse(argv)?;
    let deployment = Deployment::load(args.common.deployment.clone())?;
    util::block_on(async {
        let mut events = fetch(&deployment).await?;
        events.retain(|e| args.wants(e));
        let skipped = events.len() - args.last.unwrap_or(events.len()).min(events.len());
        let events = &events[skipped..];
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
    let kind = serde_json::to_string(&event.kind).unwrap_or_default();
    let about = [
        ("request", event.request.as_deref()),
        ("team", event.team.as_ref().map(AsRef::as_ref)),
        ("upstream", event.upstream.as_ref().map(AsRef::as_ref)),
    ];
    let about: String = about
        .iter()
        .filter_map(|(k, v)| v.map(|v| format!(" {k}={v}")))
        .collect();
    format!(
        "{}.{:03} {}{about} {kind}\n",
        event.at.wall_ms, event.at.logical, event.host
    )
}
