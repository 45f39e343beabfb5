//! `currantcove models`: lists the configured models and the upstreams where they
//! are ready.

use std::collections::{BTreeMap, BTreeSet};
use std::ffi::OsString;

use serde::Serialize;
use serde_json::Value;

use crate::tree::{self, Subtree};
use crate::util::{self, CliResult, CommonOptions, Deployment};

const USAGE: &str = "\
Shows each configured model, its version and the upstreams where it is ready.

Usage:
    currantcove models [options]

Options:
    -d, --deployment <file>   JSON file with the addresses of the fleet.
    --json                    Print JSON.
    -h, --help                Show this text.
";

#[derive(Serialize)]
struct Row {
    model: String,
    version: String,
    ready_at: Vec<String>,
    other_versions: Vec<String>,
}

pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let common = CommonOptions::parse_only(argv, USAGE)?;
    let deployment = Deployment::load(common.deployment.clone())?;
    util::block_on(async {
        let statuses = deployment.reachable_statuses().await?;
        let mut ready: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for upstream in &statuses[0].upstreams {
            for artifact in &upstream.seen.ready {
                ready
                    .entry(artifact.to_string())
                    .or_default()
                    .insert(upstream.id.to_string());
            }
        }
        let tree = tree::read(&deployment.kv_client()).await?;
        let mut rows = Vec::new();
        for (subtree, stored) in &tree {
            if let Subtree::Team(team) = subtree {
                rows.extend(model_rows(team, &stored.value, &ready));
            }
        }
        print_rows(&rows, common.is_json)
    })
}

fn model_rows(team: &str, value: &Value, ready: &BTreeMap<String, BTreeSet<String>>) -> Vec<Row> {
    let Some(models) = value.get("models").and_then(Value::as_object) else {
        return Vec::new();
    };
    let row = |(name, model): (&String, &Value)| {
        let version = model
            .get("version")
            .and_then(Value::as_str)
            .unwrap_or_default();
        let artifact = format!("{team}/{name}@{version}");
        let prefix = format!("{team}/{name}@");
        let other_versions = ready
            .keys()
            .filter(|a| a.starts_with(&prefix) && **a != artifact);
        Row {
            model: format!("{team}/{name}"),
            version: version.to_owned(),
            ready_at: ready
                .get(&artifact)
                .into_iter()
                .flatten()
                .cloned()
                .collect(),
            other_versions: other_versions.cloned().collect(),
        }
    };
    models.iter().map(row).collect()
}

fn print_rows(rows: &[Row], is_json: bool) -> CliResult<()> {
    if is_json {
        return util::print_json(&rows);
    }
    let header = ["MODEL", "VERSION", "COPIES", "READY AT", "OTHER VERSIONS"];
    let mut lines = vec![header.iter().map(|s| (*s).to_owned()).collect::<Vec<_>>()];
    lines.extend(rows.iter().map(|r| {
        let copies = r.ready_at.len().to_string();
        let ready_at = r.ready_at.join(",");
        vec![
            r.model.clone(),
            r.version.clone(),
            copies,
            ready_at,
            r.other_versions.join(","),
        ]
    }));
    util::print(&util::format_table(&lines));
    Ok(())
}
