//! `currantcove status`: shows the state of every entry host.

use std::ffi::OsString;
use std::net::SocketAddr;

use currantcove::services::operators::HostStatus;

use crate::util::{self, CliError, CliResult, CommonOptions, Deployment};

const USAGE: &str = "\
Shows readiness, visible hosts, load and refused configuration of each entry
host.

Usage:
    currantcove status [options]

Options:
    -d, --deployment <file>   JSON file with the addresses of the fleet.
    --json                    Print JSON.
    -h, --help                Show this text.

Exit code 4 if no entry host responds.
";

pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let common = CommonOptions::parse_only(argv, USAGE)?;
    let deployment = Deployment::load(common.deployment.clone())?;
    util::block_on(async {
        let statuses = deployment.fetch_statuses().await;
        if statuses.iter().all(|(_, s)| s.is_none()) {
            let text = "no entry host responded; check operator_addrs in the deployment file";
            return Err(CliError::Unreachable(text.to_owned()));
        }
        if common.is_json {
            let hosts: Vec<&HostStatus> = statuses.iter().filter_map(|(_, s)| s.as_ref()).collect();
            return util::print_json(&hosts);
        }
        print_hosts(&statuses);
        print_refused(&statuses);
        Ok(())
    })
}

fn print_hosts(statuses: &[(SocketAddr, Option<HostStatus>)]) {
    let header = [
        "HOST",
        "ZONE",
        "READY",
        "PLATFORM",
        "SEES",
        "IN FLIGHT",
        "KV CALLS",
        "TEAMS",
    ];
    let mut rows = vec![header.iter().map(|s| (*s).to_owned()).collect::<Vec<_>>()];
    for (addr, status) in statuses {
        rows.push(match status {
            None => vec![addr.to_string(), "-".to_owned(), "no answer".to_owned()],
            Some(s) => vec![
                s.host.to_string(),
                s.zone.to_string(),
                yes_or_no(s.is_ready),
                if s.is_platform_up {
                    "up".to_owned()
                } else {
                    "down".to_owned()
                },
                format!("{} hosts", s.hosts_up.len()),
                s.in_flight.to_string(),
                s.kv_calls.to_string(),
                s.revisions.len().to_string(),
            ],
        });
    }
    util::print(&util::format_table(&rows));
}

fn print_refused(statuses: &[(SocketAddr, Option<HostStatus>)]) {
    for status in statuses.iter().filter_map(|(_, s)| s.as_ref()) {
        for (team, findings) in &status.refused {
            for finding in findings {
                util::print(&format!(
                    "{}: refused teams/{team}: {finding}\n",
                    status.host
                ));
            }
        }
    }
}

fn yes_or_no(value: bool) -> String {
    if value {
        "yes".to_owned()
    } else {
        "no".to_owned()
    }
}
