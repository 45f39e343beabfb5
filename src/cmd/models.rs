//! `currantcove models`: where models are ready.

use std::collections::{BTreeMap, BTreeSet};
use std::ffi::OsString;

use serde::Serialize;
use serde_json::Value;

use crate::tree::{self, Root};
use crate::util::{self, CliResult, Common, Deployment};

const USAGE: &str = "\
Shows every declared model, its version and the upstreams that have it ready.

Usage:
    currantcove models [options]

Options:
    -d, --deployment <file>   Where the fleet is reached.
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
    let common = Common::parse_only(argv, USAGE)?;
    let deployment = Deployment::load(common.deployment.clone())?;
    util::block_on(async {
        let statuses = deployment.answering().await?;
        let mut ready: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
        for upstream in &statuses[0].upstreams {
            for artifact in &upstream.seen.ready {
                ready
                    .entry(artifact.to_string())
                    .or_default()
                    .insert(upstream.id.to_string());
            }
        }
        let tree = tree::read(&deployment.kv()).await?;
        let mut rows = Vec::new();
        for (root, stored) in &tree {
            if let Root::Team(team) = root {
                rows.extend(declared(team, &stored.value, &ready));
            }
        }
        print(&rows, common.json)
    })
}

fn declared(team: &str, value: &Value, ready: &BTreeMap<String, BTreeSet<String>>) -> Vec<Row> {
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
        let others = ready
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
            other_versions: others.cloned().collect(),
        }
    };
    models.iter().map(row).collect()
}

fn print(rows: &[Row], is_json: bool) -> CliResult<()> {
    if is_json {
        return util::print_json(&rows);
    }
    let head = ["MODEL", "VERSION", "COPIES", "READY AT", "OTHER VERSIONS"];
    let mut lines = vec![head.iter().map(|s| (*s).to_owned()).collect::<Vec<_>>()];
    lines.extend(rows.iter().map(|r| {
        let copies = r.ready_at.len().to_string();
        let at = r.ready_at.join(",");
        vec![
            r.model.clone(),
            r.version.clone(),
            copies,
            at,
            r.other_versions.join(","),
        ]
    }));
    util::print(&util::table(&lines));
    Ok(())
}
