//! `currantcove explain`: why a request or a model went where it did.

use std::ffi::OsString;

use currantcove::core::timeline::{Event, EventKind};

use super::timeline;
use crate::util::{self, CliError, CliResult, Common, Deployment, OwnedArg};

const USAGE: &str = "\
Explains a request by its x-request-id, or a model by <team>/<model>.

Usage:
    currantcove explain [options] request <id>
    currantcove explain [options] model <team>/<model>

Options:
    -d, --deployment <file>   Where the fleet is reached.
    --json                    Print the events behind it as JSON.
    -h, --help                Show this text.

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
