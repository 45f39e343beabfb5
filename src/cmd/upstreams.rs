//! `currantcove upstreams`: lists the upstreams and their load.

use std::ffi::OsString;

use currantcove::core::fleet::ListedState;
use currantcove::services::operators::UpstreamStatus;

use crate::util::{self, CliResult, CommonOptions, Deployment};

const USAGE: &str = "\
Shows the upstreams and their load as the first entry host that responds reports
them.

Usage:
    currantcove upstreams [options]

Options:
    -d, --deployment <file>   JSON file with the addresses of the fleet.
    --json                    Print JSON.
    -h, --help                Show this text.
";

pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let common = CommonOptions::parse_only(argv, USAGE)?;
    let deployment = Deployment::load(common.deployment.clone())?;
    util::block_on(async {
        let statuses = deployment.reachable_statuses().await?;
        let upstreams = &statuses[0].upstreams;
        if common.is_json {
            return util::print_json(upstreams);
        }
        let header = [
            "UPSTREAM", "ZONE", "STATE", "ACTING", "LOAD", "READY", "FREE MIB",
        ];
        let mut rows = vec![header.iter().map(|s| (*s).to_owned()).collect::<Vec<_>>()];
        rows.extend(upstreams.iter().map(table_row));
        util::print(&util::format_table(&rows));
        Ok(())
    })
}

fn table_row(u: &UpstreamStatus) -> Vec<String> {
    let state = match (u.is_listed, u.state, u.seen.accepts_work, u.is_ejected) {
        (false, ..) => "gone",
        (_, ListedState::Leaving, ..) | (_, _, false, _) => "leaving",
        (_, _, _, true) => "ejected",
        _ => "live",
    };
    vec![
        u.id.to_string(),
        u.zone.to_string(),
        state.to_owned(),
        u.acting_host
            .as_ref()
            .map_or_else(|| "-".to_owned(), ToString::to_string),
        format!("{}%", u.load_permille / 10),
        u.seen.ready.len().to_string(),
        u.seen.free_mib.to_string(),
    ]
}
