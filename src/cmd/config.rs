//! `currantcove config`: reads and changes the operators' configuration.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::path::PathBuf;

use currantcove::core::config::Finding;
use currantcove::edge::kv::KvStore;
use serde_json::{Map, Value};

use crate::tree::{self, ConfigTree, HISTORY_PREFIX, HistoryEntry, StoredSubtree, Subtree};
use crate::util::{self, CliError, CliResult, CommonOptions, Deployment, SubcommandArg};

const USAGE: &str = "\
Reads and changes the operators' configuration, a tree of values by path.

Usage:
    currantcove config get [<path>] [options]
    currantcove config set <path> <json> [options]
    currantcove config apply <file> [options]
    currantcove config diff <file> [options]
    currantcove config remove teams/<team> [options]
    currantcove config history [<path>] [options]

A path is fleet/... or teams/<team>/...; a team's subtree is written as a
whole. A file for apply and diff contains {\"fleet\": {...}, \"teams\": {...}};
subtrees missing from it are not changed. All values are validated before any
is written, and all findings are reported together.

Options:
    -d, --deployment <file>   JSON file with the addresses of the fleet.
    --dry-run                 Validate and show the changes, write nothing.
    --who <name>              Author recorded in the history [default: $USER].
    --json                    Print JSON.
    -h, --help                Show this text.

Examples:
    currantcove config get teams/clubs/models
    currantcove config set teams/clubs/models/rules/version '\"v2\"'
    currantcove config apply fleet.json --dry-run
";

#[derive(Debug, Default)]
struct Args {
    common: CommonOptions,
    positional: Vec<String>,
    is_dry_run: bool,
    author: Option<String>,
}

pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let args = Args::parse(argv)?;
    let arguments: Vec<&str> = args.positional.iter().map(String::as_str).collect();
    match arguments.as_slice() {
        ["get"] => util::block_on(args.get("")),
        ["get", path] => util::block_on(args.get(path)),
        ["set", path, json] => util::block_on(args.set(path, json)),
        ["apply", file] => util::block_on(args.apply(file)),
        ["diff", file] => util::block_on(args.diff(file)),
        ["remove", path] => util::block_on(args.remove(path)),
        ["history"] => util::block_on(args.history("")),
        ["history", path] => util::block_on(args.history(path)),
        _ => Err(CliError::Usage(
            "invalid arguments; see currantcove config --help".to_owned(),
        )),
    }
}

impl Args {
    fn parse(argv: Vec<OsString>) -> CliResult<Self> {
        let mut parser = lexopt::Parser::from_args(argv);
        let mut args = Self::default();
        while let Some(arg) = args.common.next_arg(&mut parser, USAGE)? {
            match arg {
                SubcommandArg::Long(name) if name == "dry-run" => args.is_dry_run = true,
                SubcommandArg::Long(name) if name == "who" => {
                    args.author = Some(util::option_value(&mut parser)?);
                }
                SubcommandArg::Value(value) => args.positional.push(value),
                SubcommandArg::Long(_) => return Err(arg.unexpected()),
            }
        }
        Ok(args)
    }

    fn author(&self) -> String {
        let user_name = || std::env::var("USER").ok();
        self.author
            .clone()
            .or_else(user_name)
            .unwrap_or_else(|| "unknown".to_owned())
    }

    fn deployment(&self) -> CliResult<Deployment> {
        Deployment::load(self.common.deployment.clone())
    }

    async fn get(&self, path: &str) -> CliResult<()> {
        let kv = self.deployment()?.kv_client();
        let tree = tree::read(&kv).await?;
        if path.trim_matches('/').is_empty() {
            return util::print_json(&tree_to_json(&tree));
        }
        let (subtree, pointer) = Subtree::parse_path(path)?;
        let value = tree.get(&subtree).and_then(|s| s.value.pointer(&pointer));
        match value {
            Some(value) => util::print_json(value),
            None => Err(CliError::Failed(format!("no value at {path}"))),
        }
    }

    async fn set(&self, path: &str, json: &str) -> CliResult<()> {
        let new: Value = serde_json::from_str(json)
            .map_err(|e| CliError::Usage(format!("the value is not valid JSON: {e}")))?;
        let kv = self.deployment()?.kv_client();
        let tree = tree::read(&kv).await?;
        let (subtree, pointer) = Subtree::parse_path(path)?;
        let stored = stored_or_null(&tree, &subtree);
        let mut value = stored.value.clone();
        set_value(&mut value, &pointer, new)?;
        self.write_changes(&kv, &tree, BTreeMap::from([(subtree, value)]))
            .await
    }

    async fn apply(&self, file: &str) -> CliResult<()> {
        let desired = read_config_file(file)?;
        let kv = self.deployment()?.kv_client();
        let tree = tree::read(&kv).await?;
        self.write_changes(&kv, &tree, desired).await
    }

    async fn diff(&self, file: &str) -> CliResult<()> {
        let desired = read_config_file(file)?;
        let kv = self.deployment()?.kv_client();
        let tree = tree::read(&kv).await?;
        for line in diff_trees(&tree, &desired) {
            util::print(&format!("{line}\n"));
        }
        Ok(())
    }

    async fn remove(&self, path: &str) -> CliResult<()> {
        let (subtree, pointer) = Subtree::parse_path(path)?;
        if subtree == Subtree::Fleet || !pointer.is_empty() {
            let text = "only a whole team can be removed; use config set for other values";
            return Err(CliError::Usage(text.to_owned()));
        }
        let kv = self.deployment()?.kv_client();
        let tree = tree::read(&kv).await?;
        let Some(stored) = tree.get(&subtree) else {
            return Err(CliError::Failed(format!("no value at {path}")));
        };
        if !self.is_dry_run {
            tree::write(&kv, &subtree, stored.revision, None, &self.author()).await?;
        }
        util::print(&format!("- {path}\n"));
        Ok(())
    }

    async fn history(&self, path: &str) -> CliResult<()> {
        let kv = self.deployment()?.kv_client();
        let prefix = match path.trim_matches('/') {
            "" => HISTORY_PREFIX.to_owned(),
            path => format!("{HISTORY_PREFIX}{path}/"),
        };
        let snapshot = kv.list(&prefix).await?;
        let entries = snapshot
            .kvs
            .iter()
            .filter_map(|kv| serde_json::from_slice(&kv.value).ok());
        let mut entries: Vec<HistoryEntry> = entries.collect();
        entries.sort_by_key(|e| e.at_ms);
        if self.common.is_json {
            return util::print_json(&entries);
        }
        let mut previous: BTreeMap<String, Value> = BTreeMap::new();
        for entry in entries {
            util::print(&format!("{} {} {}\n", entry.at_ms, entry.who, entry.path));
            let old = previous
                .insert(entry.path.clone(), entry.value.clone())
                .unwrap_or(Value::Null);
            for line in tree::diff(&entry.path, &old, &entry.value) {
                util::print(&format!("    {line}\n"));
            }
        }
        Ok(())
    }

    async fn write_changes(
        &self,
        kv: &currantcove::edge::kv::EtcdClient,
        tree: &ConfigTree,
        desired: BTreeMap<Subtree, Value>,
    ) -> CliResult<()> {
        let findings: Vec<Finding> = desired.iter().flat_map(|(s, v)| s.check(v)).collect();
        if !findings.is_empty() {
            return Err(CliError::Invalid(findings));
        }
        for line in diff_trees(tree, &desired) {
            util::print(&format!("{line}\n"));
        }
        if self.is_dry_run {
            return Ok(());
        }
        for (subtree, value) in &desired {
            let stored = stored_or_null(tree, subtree);
            if stored.value != *value {
                let revision =
                    tree::write(kv, subtree, stored.revision, Some(value), &self.author()).await?;
                util::print(&format!("{} is at revision {revision}\n", subtree.path()));
            }
        }
        Ok(())
    }
}

/// Stored value of a subtree; null at revision 0 if it does not exist.
fn stored_or_null(tree: &ConfigTree, subtree: &Subtree) -> StoredSubtree {
    tree.get(subtree).cloned().unwrap_or(StoredSubtree {
        revision: 0,
        value: Value::Null,
    })
}

fn diff_trees(tree: &ConfigTree, desired: &BTreeMap<Subtree, Value>) -> Vec<String> {
    let diff = |(subtree, value): (&Subtree, &Value)| {
        tree::diff(&subtree.path(), &stored_or_null(tree, subtree).value, value)
    };
    desired.iter().flat_map(diff).collect()
}

fn tree_to_json(tree: &ConfigTree) -> Value {
    let mut teams = Map::new();
    let mut fleet = Value::Null;
    for (subtree, stored) in tree {
        match subtree {
            Subtree::Fleet => fleet = stored.value.clone(),
            Subtree::Team(team) => {
                teams.insert(team.clone(), stored.value.clone());
            }
        }
    }
    serde_json::json!({ "fleet": fleet, "teams": teams })
}

/// Sets the value at a JSON pointer, whose parent must exist. Null removes a key
/// of an object; the index after the last appends to a list.
fn set_value(tree: &mut Value, pointer: &str, new: Value) -> CliResult<()> {
    let Some((parent, leaf)) = pointer.rsplit_once('/') else {
        *tree = new;
        return Ok(());
    };
    match tree.pointer_mut(parent) {
        Some(Value::Object(map)) => {
            if new.is_null() {
                map.remove(leaf);
            } else {
                map.insert(leaf.to_owned(), new);
            }
            Ok(())
        }
        Some(Value::Array(items)) => match leaf.parse::<usize>().ok() {
            Some(i) if i < items.len() => {
                items[i] = new;
                Ok(())
            }
            Some(i) if i == items.len() => {
                items.push(new);
                Ok(())
            }
            _ => Err(CliError::Usage(format!(
                "{leaf:?} is not a valid list index"
            ))),
        },
        _ => Err(CliError::Usage(format!(
            "cannot set {leaf:?}: there is no object or list at {parent:?}"
        ))),
    }
}

/// Reads the subtrees of a configuration file.
pub fn read_config_file(file: &str) -> CliResult<BTreeMap<Subtree, Value>> {
    let json = util::read_file(&PathBuf::from(file))?;
    let value: Value =
        serde_json::from_slice(&json).map_err(|e| CliError::Usage(format!("{file}: {e}")))?;
    let mut desired = BTreeMap::new();
    let Value::Object(map) = value else {
        return Err(CliError::Usage(format!(
            "{file}: must contain a JSON object"
        )));
    };
    for (key, value) in map {
        match (key.as_str(), value) {
            ("fleet", value) => {
                desired.insert(Subtree::Fleet, value);
            }
            ("teams", Value::Object(teams)) => {
                desired.extend(teams.into_iter().map(|(team, v)| (Subtree::Team(team), v)));
            }
            (other, _) => {
                return Err(CliError::Usage(format!("{file}: unexpected {other:?}")));
            }
        }
    }
    Ok(desired)
}
