//! The configuration as one tree: `fleet` and `teams/<team>`.
//!
//! Each team's subtree is one value of the platform's service and changes as
//! a whole, by compare-and-swap, together with an entry of its history.

use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

use currantcove::core::config::{Finding, parse_fleet, parse_team};
use currantcove::edge::kv::{Cas, CasAllOutcome, EtcdClient, KvStore};
use currantcove::services::config::{CONFIG_PREFIX, FLEET_KEY, TEAMS_PREFIX};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::util::{CliError, CliResult};

/// Prefix of the history.
pub const HISTORY_PREFIX: &str = "/currantcove/history/";

/// One subtree: the fleet's, or a team's.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Root {
    /// Settings of the fleet.
    Fleet,
    /// Settings of a team.
    Team(String),
}

impl Root {
    /// Splits a path into its subtree and the rest.
    pub fn split(path: &str) -> CliResult<(Self, String)> {
        let mut parts = path.trim_matches('/').split('/');
        let root = match (parts.next(), parts.next()) {
            (Some("fleet"), Some(first)) => {
                let rest: Vec<&str> = std::iter::once(first).chain(parts).collect();
                return Ok((Self::Fleet, format!("/{}", rest.join("/"))));
            }
            (Some("fleet"), None) => Self::Fleet,
            (Some("teams"), Some(team)) if !team.is_empty() => Self::Team(team.to_owned()),
            _ => {
                let text = format!("{path:?} is no path; it begins with fleet or teams/<team>");
                return Err(CliError::Usage(text));
            }
        };
        let rest: Vec<&str> = parts.collect();
        let pointer = if rest.is_empty() {
            String::new()
        } else {
            format!("/{}", rest.join("/"))
        };
        Ok((root, pointer))
    }

    /// Key in the platform's service.
    pub fn key(&self) -> String {
        match self {
            Self::Fleet => FLEET_KEY.to_owned(),
            Self::Team(team) => format!("{TEAMS_PREFIX}{team}"),
        }
    }

    /// Path as operators write it.
    pub fn path(&self) -> String {
        match self {
            Self::Fleet => "fleet".to_owned(),
            Self::Team(team) => format!("teams/{team}"),
        }
    }

    /// Findings about a value for this subtree.
    pub fn check(&self, value: &Value) -> Vec<Finding> {
        let json = serde_json::to_vec(value).unwrap_or_default();
        match self {
            Self::Fleet => parse_fleet(&json).err().unwrap_or_default(),
            Self::Team(team) => parse_team(team, &json).err().unwrap_or_default(),
        }
    }
}

/// Subtree as stored.
#[derive(Clone, Debug)]
pub struct Stored {
    /// Revision; 0 if it does not exist.
    pub revision: u64,
    /// Value.
    pub value: Value,
}

/// Whole tree as stored.
pub type Tree = BTreeMap<Root, Stored>;

/// Reads the whole tree.
pub async fn read(kv: &EtcdClient) -> CliResult<Tree> {
    let snapshot = kv.list(CONFIG_PREFIX).await?;
    let mut tree = Tree::new();
    for entry in snapshot.kvs {
        let root = match entry.key.strip_prefix(TEAMS_PREFIX) {
            Some(team) => Root::Team(team.to_owned()),
            None if entry.key == FLEET_KEY => Root::Fleet,
            None => continue,
        };
        let value = serde_json::from_slice(&entry.value).unwrap_or(Value::Null);
        tree.insert(
            root,
            Stored {
                revision: entry.mod_revision,
                value,
            },
        );
    }
    Ok(tree)
}

/// Entry of the history.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HistoryEntry {
    /// Subtree.
    pub path: String,
    /// Who made the change.
    pub who: String,
    /// When, in milliseconds since the epoch.
    pub at_ms: u64,
    /// Revision that was replaced.
    pub replaced_revision: u64,
    /// Value after the change; null for a removal.
    pub value: Value,
}

/// Writes a subtree if its revision stands; returns the new revision.
pub async fn write(
    kv: &EtcdClient,
    root: &Root,
    expected_revision: u64,
    value: Option<&Value>,
    who: &str,
) -> CliResult<u64> {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let entry = HistoryEntry {
        path: root.path(),
        who: who.to_owned(),
        at_ms: now.as_millis() as u64,
        replaced_revision: expected_revision,
        value: value.cloned().unwrap_or(Value::Null),
    };
    let history_key = format!("{HISTORY_PREFIX}{}/{:016x}", root.path(), now.as_micros());
    let writes = [
        Cas {
            key: root.key(),
            expected_revision,
            value: value.map(|v| serde_json::to_vec(v).unwrap_or_default()),
            lease: 0,
        },
        Cas {
            key: history_key,
            expected_revision: 0,
            value: serde_json::to_vec(&entry).ok(),
            lease: 0,
        },
    ];
    match kv.cas_all(&writes).await? {
        CasAllOutcome::Written(revision) => Ok(revision),
        CasAllOutcome::Conflict(_) => Err(CliError::Conflict(format!(
            "{} was changed by somebody else meanwhile; look with currantcove config get and try \
             again",
            root.path()
        ))),
    }
}

/// Lines that tell two values apart, with the path of each difference.
pub fn diff(path: &str, old: &Value, new: &Value) -> Vec<String> {
    match (old, new) {
        (Value::Object(a), Value::Object(b)) => {
            let keys: std::collections::BTreeSet<&String> = a.keys().chain(b.keys()).collect();
            let null = Value::Null;
            let below = |k: &String| {
                let (x, y) = (a.get(k).unwrap_or(&null), b.get(k).unwrap_or(&null));
                diff(&format!("{path}/{k}"), x, y)
            };
            keys.into_iter().flat_map(below).collect()
        }
        (a, b) if a == b => Vec::new(),
        (Value::Null, b) => vec![format!("+ {path}: {b}")],
        (a, Value::Null) => vec![format!("- {path}: {a}")],
        (a, b) => vec![format!("~ {path}: {a} -> {b}")],
    }
}
