//! `currantcove drain`: stops an entry host gracefully.

use std::ffi::OsString;

use crate::util::{self, CliError, CliResult, Common, Deployment, OwnedArg};

const USAGE: &str = "\
Stops an entry host gracefully: readiness goes off, its duties move to other
hosts, requests in progress run to their end, then the process exits.

Usage:
    currantcove drain [options] <host>

Options:
    -d, --deployment <file>   Where the fleet is reached.
    -h, --help                Show this text.

Example:
    currantcove drain kl-a-1
";

pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let mut parser = lexopt::Parser::from_args(argv);
    let mut common = Common::default();
    let mut host = None;
    while let Some(arg) = common.take(&mut parser, USAGE)? {
        match arg {
            OwnedArg::Value(value) if host.is_none() => host = Some(value),
            other => return Err(other.unexpected()),
        }
    }
    let host = host.ok_or_else(|| {
        CliError::Usage("a host is missing; see currantcove drain --help".to_owned())
    })?;
    let deployment = Deployment::load(common.deployment)?;
    util::block_on(async {
        let statuses = deployment.statuses().await;
        let found = statuses
            .iter()
            .find(|(_, s)| s.as_ref().is_some_and(|s| s.host.as_str() == host));
        let Some((addr, _)) = found else {
            let text = format!("no answering entry host is named {host:?}; see currantcove status");
            return Err(CliError::Failed(text));
        };
        post(&format!("http://{addr}/drain")).await?;
        util::print(&format!("{host} is draining\n"));
        Ok(())
    })
}

async fn post(url: &str) -> CliResult<()> {
    let failed = |e: cyper::Error| CliError::Unreachable(e.to_string());
    let client = cyper::Client::new().map_err(failed)?;
    client
        .post(url)
        .map_err(failed)?
        .send()
        .await
        .map_err(failed)?;
    Ok(())
}
