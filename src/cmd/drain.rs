//! `currantcove drain`: stops an entry host gracefully.

use std::ffi::OsString;

use crate::util::{self, CliError, CliResult, CommonOptions, Deployment, SubcommandArg};

const USAGE: &str = "\
Stops an entry host gracefully: it reports that it is not ready, other hosts
take over the upstreams it acts for, requests in progress complete, then the
process exits.

Usage:
    currantcove drain [options] <host>

Options:
    -d, --deployment <file>   JSON file with the addresses of the fleet.
    -h, --help                Show this text.

Example:
    currantcove drain kl-a-1
";

pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let mut parser = lexopt::Parser::from_args(argv);
    let mut common = CommonOptions::default();
    let mut host = None;
    while let Some(arg) = common.next_arg(&mut parser, USAGE)? {
        match arg {
            SubcommandArg::Value(value) if host.is_none() => host = Some(value),
            other => return Err(other.unexpected()),
        }
    }
    let host = host.ok_or_else(|| {
        CliError::Usage("missing host argument; see currantcove drain --help".to_owned())
    })?;
    let deployment = Deployment::load(common.deployment)?;
    util::block_on(async {
        let statuses = deployment.fetch_statuses().await;
        let target = statuses
            .iter()
            .find(|(_, s)| s.as_ref().is_some_and(|s| s.host.as_str() == host));
        let Some((addr, _)) = target else {
            let text = format!("no reachable entry host is named {host:?}; see currantcove status");
            return Err(CliError::Failed(text));
        };
        post(&format!("http://{addr}/drain")).await?;
        util::print(&format!("{host} is draining\n"));
        Ok(())
    })
}

async fn post(url: &str) -> CliResult<()> {
    let unreachable = |e: cyper::Error| CliError::Unreachable(e.to_string());
    let client = cyper::Client::new().map_err(unreachable)?;
    client
        .post(url)
        .map_err(unreachable)?
        .send()
        .await
        .map_err(unreachable)?;
    Ok(())
}
