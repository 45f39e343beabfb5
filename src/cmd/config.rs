//! `currantcove config`: the operators' configuration.

use std::collections::BTreeMap;
use std::ffi::OsString;
use std::path::PathBuf;

use currantcove::core::config::Finding;
use currantcove::edge::kv::KvStore;
use serde_json::{Map, Value};

use crate::tree::{self, HISTORY_PREFIX, HistoryEntry, Root, Stored, Tree};
use crate::util::{self, CliError, CliResult, Common, Deployment, OwnedArg};

const USAGE: &str = "\
Reads and changes the operators' configuration, a tree of settings by path.

Usage:
    currantcove config get [<path>] [options]
    currantcove config set <path> <json> [options]
    currantcove config apply <file> [options]
    currantcove config diff <file> [options]
    currantcove config remove teams/<team> [options]
    currantcove config history [<path>] [options]

A path is fleet/... or teams/<team>/...; each team's subtree changes as a
whole. A file for apply and diff holds {\"fleet\": {...}, \"teams\": {...}};
subtrees that it does not name stay as they are. Everything is checked before
anything is written, and all findings are reported together.

Options:
    -d, --deployment <file>   Where the fleet is reached.
    --dry-run                 Check and show the changes, write nothing.
    --who <name>              Name for the history [default: $USER].
    --json                    Print JSON.
    -h, --help                Show this text.

Examples:
    currantcove config get teams/clubs/models
    currantcove config set teams/clubs/models/rules/version '\"v2\"'
    currantcove config apply fleet.json --dry-run
";

#[derive(Debug, Default)]
struct Args {
    common: Common,
    positional: Vec<String>,
    dry_run: bool,
    who: Option<String>,
}

pub fn run(argv: Vec<OsString>) -> CliResult<()> {
    let args = Args::parse(argv)?;
    let words: Vec<&str> = args.positional.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["get"] => util::block_on(args.get("")),
        ["get", path] => util::block_on(args.get(path)),
        ["set", path, json] => util::block_on(args.set(path, json)),
        ["apply", file] => util::block_on(args.apply(file)),
        ["diff", file] => util::block_on(args.diff(file)),
        ["remove", path] => util::block_on(args.remove(path)),
        ["history"] => util::block_on(args.history("")),
        ["history", path] => util::block_on(args.history(path)),
        _ => Err(CliError::Usage(
            "wrong arguments; see currantcove config --help".to_owned(),
        )),
    }
}

impl Args {
    fn parse(argv: Vec<OsString>) -> CliResult<Self> {
        let mut parser = lexopt::Parser::from_args(argv);
        let mut args = Self::default();
        while let Some(arg) = args.common.take(&mut parser, USAGE)? {
            match arg {
                OwnedArg::Long(name) if name == "dry-run" => args.dry_run = true,
                OwnedArg::Long(name) if name == "who" => {
                    args.who = Some(util::value(&mut parser)?);
                }
                OwnedArg::Value(value) => args.positional.push(value),
                OwnedArg::Long(_) => return Err(arg.unexpected()),
            }
        }
        Ok(args)
    }

    fn who(&self) -> String {
        let user = || std::env::var("USER").ok();
        self.who
            .clone()
            .or_else(user)
            .unwrap_or_else(|| "unknown".to_owned())
    }

    fn deployment(&self) -> CliResult<Deployment> {
        Deployment::load(self.common.deployment.clone())
    }

    async fn get(&self, path: &str) -> CliResult<()> {
        let kv = self.deployment()?.kv();
        let tree = tree::read(&kv).await?;
        if path.trim_matches('/').is_empty() {
            return util::print_json(&whole(&tree));
        }
        let (root, pointer) = Root::split(path)?;
        let found = tree.get(&root).and_then(|s| s.value.pointer(&pointer));
        match found {
            Some(value) => util::print_json(value),
            None => Err(CliError::Failed(format!("nothing at {path}"))),
        }
    }

    async fn set(&self, path: &str, json: &str) -> CliResult<()> {
        let new: Value = serde_json::from_str(json)
            .map_err(|e| CliError::Usage(format!("the value is not JSON: {e}")))?;
        let kv = self.deployment()?.kv();
        let tree = tree::read(&kv).await?;
        let (root, pointer) = Root::split(path)?;
        let stored = stored(&tree, &root);
        let mut value = stored.value.clone();
        put(&mut value, &pointer, new)?;
        self.write_all(&kv, &tree, BTreeMap::from([(root, value)]))
            .await
    }

    async fn apply(&self, file: &str) -> CliResult<()> {
        let wanted = read_tree(file)?;
        let kv = self.deployment()?.kv();
        let tree = tree::read(&kv).await?;
        self.write_all(&kv, &tree, wanted).await
    }

    async fn diff(&self, file: &str) -> CliResult<()> {
        let wanted = read_tree(file)?;
        let kv = self.deployment()?.kv();
        let tree = tree::read(&kv).await?;
        for line in changes(&tree, &wanted) {
            util::print(&format!("{line}\n"));
        }
        Ok(())
    }

    async fn remove(&self, path: &str) -> CliResult<()> {
        let (root, pointer) = Root::split(path)?;
        if root == Root::Fleet || !pointer.is_empty() {
            let text = "only a whole team can be removed; use config set for the rest";
            return Err(CliError::Usage(text.to_owned()));
        }
        let kv = self.deployment()?.kv();
        let tree = tree::read(&kv).await?;
        let Some(stored) = tree.get(&root) else {
            return Err(CliError::Failed(format!("nothing at {path}")));
        };
        if !self.dry_run {
            tree::write(&kv, &root, stored.revision, None, &self.who()).await?;
        }
        util::print(&format!("- {path}\n"));
        Ok(())
    }

    async fn history(&self, path: &str) -> CliResult<()> {
        let kv = self.deployment()?.kv();
        let prefix = format!("{HISTORY_PREFIX}{}", path.trim_matches('/'));
        let snapshot = kv.list(&prefix).await?;
        let entries = snapshot
            .kvs
            .iter()
            .filter_map(|kv| serde_json::from_slice(&kv.value).ok());
        let mut entries: Vec<HistoryEntry> = entries.collect();
        entries.sort_by_key(|e| e.at_ms);
        if self.common.json {
            return util::print_json(&entries);
        }
        let mut last: BTreeMap<String, Value> = BTreeMap::new();
        for entry in entries {
            util::print(&format!("{} {} {}\n", entry.at_ms, entry.who, entry.path));
            let old = last
                .insert(entry.path.clone(), entry.value.clone())
                .unwrap_or(Value::Null);
            for line in tree::diff(&entry.path, &old, &entry.value) {
                util::print(&format!("    {line}\n"));
            }
        }
        Ok(())
    }

    async fn write_all(
        &self,
        kv: &currantcove::edge::kv::EtcdClient,
        tree: &Tree,
        wanted: BTreeMap<Root, Value>,
    ) -> CliResult<()> {
        let findings: Vec<Finding> = wanted.iter().flat_map(|(r, v)| r.check(v)).collect();
        if !findings.is_empty() {
            return Err(CliError::Invalid(findings));
        }
        for line in changes(tree, &wanted) {
            util::print(&format!("{line}\n"));
        }
        if self.dry_run {
            return Ok(());
        }
        for (root, value) in &wanted {
            let stored = stored(tree, root);
            if stored.value != *value {
                let revision =
                    tree::write(kv, root, stored.revision, Some(value), &self.who()).await?;
                util::print(&format!("{} is at revision {revision}\n", root.path()));
            }
        }
        Ok(())
    }
}

fn stored(tree: &Tree, root: &Root) -> Stored {
    tree.get(root).cloned().unwrap_or(Stored {
        revision: 0,
        value: Value::Null,
    })
}

fn changes(tree: &Tree, wanted: &BTreeMap<Root, Value>) -> Vec<String> {
    let of =
        |(root, value): (&Root, &Value)| tree::diff(&root.path(), &stored(tree, root).value, value);
    wanted.iter().flat_map(of).collect()
}

fn whole(tree: &Tree) -> Value {
    let mut teams = Map::new();
    let mut fleet = Value::Null;
    for (root, stored) in tree {
        match root {
            Root::Fleet => fleet = stored.value.clone(),
            Root::Team(team) => {
                teams.insert(team.clone(), stored.value.clone());
            }
        }
    }
    serde_json::json!({ "fleet": fleet, "teams": teams })
}

/// Puts a value at a pointer; its parent must exist.
fn put(tree: &mut Value, pointer: &str, new: Value) -> CliResult<()> {
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
            _ => Err(CliError::Usage(format!("{leaf:?} is no place in the list"))),
        },
        _ => Err(CliError::Usage(format!(
            "there is nothing at {parent:?} to put {leaf:?} into"
        ))),
    }
}

/// Reads a configuration file into its subtrees.
pub fn read_tree(file: &str) -> CliResult<BTreeMap<Root, Value>> {
    let json = util::read_file(&PathBuf::from(file))?;
    let value: Value =
        serde_json::from_slice(&json).map_err(|e| CliError::Usage(format!("{file}: {e}")))?;
    let mut wanted = BTreeMap::new();
    let Value::Object(map) = value else {
        return Err(CliError::Usage(format!("{file}: must hold an object")));
    };
    for (key, value) in map {
        match (key.as_str(), value) {
            ("fleet", value) => {
                wanted.insert(Root::Fleet, value);
            }
            ("teams", Value::Object(teams)) => {
                wanted.extend(teams.into_iter().map(|(team, v)| (Root::Team(team), v)));
            }
            (other, _) => {
                return Err(CliError::Usage(format!("{file}: unexpected {other:?}")));
            }
        }
    }
    Ok(wanted)
}
