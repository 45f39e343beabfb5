//! Reads, writes and compares the configuration tree: `fleet` and `teams/<team>`.
//!
//! Each subtree is one value of the platform's key-value service. It is replaced
//! as a whole by compare-and-swap, in one transaction with its history entry.

use std::collections::BTreeMap;
use std::time::{SystemTime, UNIX_EPOCH};

use currantcove::core::config::{Finding, parse_fleet, parse_team};
use currantcove::edge::kv::{Cas, CasAllOutcome, EtcdClient, KvStore};
use currantcove::services::config::{CONFIG_PREFIX, FLEET_KEY, TEAMS_PREFIX};
use serde::{Deserialize, Serialize};
use serde_json::Value;

use crate::util::{CliError, CliResult};

/// Prefix of the keys of history entries.
pub const HISTORY_PREFIX: &str = "/currantcove/history/";

/// Part of the configuration that is stored as one value.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum Subtree {
    /// Configuration of the fleet.
    Fleet,
    /// Configuration of a team.
    Team(String),
}

impl Subtree {
    /// Splits a path into its subtree and a JSON pointer within it.
    pub fn parse_path(path: &str) -> CliResult<(Self, String)> {
        let mut parts = path.trim_matches('/').split('/');
        let subtree = match (parts.next(), parts.next()) {
            (Some("fleet"), Some(first)) => {
                let rest: Vec<&str> = std::iter::once(first).chain(parts).collect();
                return Ok((Self::Fleet, format!("/{}", rest.join("/"))));
            }
            (Some("fleet"), None) => Self::Fleet,
            (Some("teams"), Some(team)) if !team.is_empty() => Self::Team(team.to_owned()),
            _ => {
                let text =
                    format!("invalid path {path:?}: a path starts with fleet or teams/<team>");
                return Err(CliError::Usage(text));
            }
        };
        let rest: Vec<&str> = parts.collect();
        let pointer = if rest.is_empty() {
            String::new()
        } else {
            format!("/{}", rest.join("/"))
        };
        Ok((subtree, pointer))
    }

    /// Key in the platform's key-value service.
    pub fn key(&self) -> String {
        match self {
            Self::Fleet => FLEET_KEY.to_owned(),
            Self::Team(team) => format!("{TEAMS_PREFIX}{team}"),
        }
    }

    /// Path in the form that operators use.
    pub fn path(&self) -> String {
        match self {
            Self::Fleet => "fleet".to_owned(),
            Self::Team(team) => format!("teams/{team}"),
        }
    }

    /// Validates a value for this subtree and returns the findings.
    pub fn check(&self, value: &Value) -> Vec<Finding> {
        let json = serde_json::to_vec(value).unwrap_or_default();
        match self {
            Self::Fleet => parse_fleet(&json).err().unwrap_or_default(),
            Self::Team(team) => parse_team(team, &json).err().unwrap_or_default(),
        }
    }
}

/// Stored value of a subtree.
#[derive(Clone, Debug)]
pub struct StoredSubtree {
    /// Revision of the last change; 0 if the subtree does not exist.
    pub revision: u64,
    /// Value; null if the subtree does not exist or holds invalid JSON.
    pub value: Value,
}

/// All stored subtrees.
pub type ConfigTree = BTreeMap<Subtree, StoredSubtree>;

/// Reads all subtrees in one snapshot.
pub async fn read(kv: &EtcdClient) -> CliResult<ConfigTree> {
    let snapshot = kv.list(CONFIG_PREFIX).await?;
    let mut tree = ConfigTree::new();
    for entry in snapshot.kvs {
        let subtree = match entry.key.strip_prefix(TEAMS_PREFIX) {
            Some(team) => Subtree::Team(team.to_owned()),
            None if entry.key == FLEET_KEY => Subtree::Fleet,
            None => continue,
        };
        let value = serde_json::from_slice(&entry.value).unwrap_or(Value::Null);
        tree.insert(
            subtree,
            StoredSubtree {
                revision: entry.mod_revision,
                value,
            },
        );
    }
    Ok(tree)
}

/// History entry of one change.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HistoryEntry {
    /// Path of the subtree.
    pub path: String,
    /// Name of the operator who made the change.
    pub who: String,
    /// Time of the change, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Revision that the change replaced; 0 for a new subtree.
    pub replaced_revision: u64,
    /// Value after the change; null for a removal.
    pub value: Value,
}

/// Replaces or removes a subtree and records the change in the history, if the
/// stored revision equals `expected_revision`. Returns the new revision.
pub async fn write(
    kv: &EtcdClient,
    subtree: &Subtree,
    expected_revision: u64,
    value: Option<&Value>,
    author: &str,
) -> CliResult<u64> {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    let entry = HistoryEntry {
        path: subtree.path(),
        who: author.to_owned(),
        at_ms: now.as_millis() as u64,
        replaced_revision: expected_revision,
        value: value.cloned().unwrap_or(Value::Null),
    };
    let history_key = format!(
        "{HISTORY_PREFIX}{}/{:016x}",
        subtree.path(),
        now.as_micros()
    );
    let writes = [
        Cas {
            key: subtree.key(),
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
            "{} was changed by another operator in the meantime; check it with currantcove config \
             get and try again",
            subtree.path()
        ))),
    }
}

/// Lists the differences between two values, one line per differing path.
pub fn diff(path: &str, old: &Value, new: &Value) -> Vec<String> {
    match (old, new) {
        (Value::Object(a), Value::Object(b)) => {
            let keys: std::collections::BTreeSet<&String> = a.keys().chain(b.keys()).collect();
            let null = Value::Null;
            let diff_key = |k: &String| {
                let (x, y) = (a.get(k).unwrap_or(&null), b.get(k).unwrap_or(&null));
                diff(&format!("{path}/{k}"), x, y)
            };
            keys.into_iter().flat_map(diff_key).collect()
        }
        (a, b) if a == b => Vec::new(),
        (Value::Null, b) => vec![format!("+ {path}: {b}")],
        (a, Value::Null) => vec![format!("- {path}: {a}")],
        (a, b) => vec![format!("~ {path}: {a} -> {b}")],
    }
}
