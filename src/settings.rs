//! Settings of one daemon, read from a JSON file.
//!
//! All findings are reported together, each with its path and reason.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::de::DeserializeOwned;
use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use crate::core::config::{Finding, Findings};
use crate::core::ids::{HostId, ZoneId, is_valid_name};

/// Settings of an entry host.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct Settings {
    /// Name of this entry host.
    pub host: HostId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address for operators: metrics, health, status.
    pub operator_addr: SocketAddr,
    /// Address for peers.
    pub peer_addr: SocketAddr,
    /// Address of the platform's key-value service.
    pub kv_addr: SocketAddr,
    /// Address of the platform's list of hosts.
    pub host_list_addr: SocketAddr,
    /// Most caller connections.
    #[serde(default = "default_max_connections")]
    pub max_connections: usize,
    /// Largest request body in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// Longest time for a request body to arrive, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_body_timeout", rename = "body_timeout_ms")]
    pub body_timeout: Duration,
    /// Time allowed for requests without a deadline, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_deadline", rename = "default_deadline_ms")]
    pub default_deadline: Duration,
    /// Seed of tie-breaking; taken from the clock if absent.
    #[serde(default)]
    pub seed: Option<u64>,
}

fn default_max_connections() -> usize {
    16_384
}
fn default_max_body_bytes() -> usize {
    1024 * 1024
}
fn default_body_timeout() -> Duration {
    Duration::from_secs(10)
}
fn default_deadline() -> Duration {
    Duration::from_mins(1)
}

/// Largest setting for a body limit in bytes.
const BODY_LIMIT_MAX_BYTES: usize = 64 * 1024 * 1024;

impl Settings {
    /// Parses and checks settings.
    pub fn parse(json: &[u8]) -> Result<Self, Vec<Finding>> {
        let settings: Self = from_json(json)?;
        let mut findings = Findings::default();
        settings.check(&mut findings);
        findings.into_result(settings)
    }

    fn check(&self, findings: &mut Findings) {
        let name_rule = "a name has 1 to 64 of the characters a-z, 0-9, '-' and '.'";
        findings.expect(is_valid_name(self.host.as_str()), "host", name_rule);
        findings.expect(is_valid_name(self.zone.as_str()), "zone", name_rule);
        findings.expect(
            self.max_connections > 0,
            "max_connections",
            "must be at least 1",
        );
        findings.expect(
            (1..=BODY_LIMIT_MAX_BYTES).contains(&self.max_body_bytes),
            "max_body_bytes",
            "must be from 1 to 67108864",
        );
        findings.expect(
            !self.body_timeout.is_zero(),
            "body_timeout_ms",
            "must be at least 1",
        );
        findings.expect(
            !self.default_deadline.is_zero(),
            "default_deadline_ms",
            "must be at least 1",
        );
        self.check_addrs(findings);
    }

    fn check_addrs(&self, findings: &mut Findings) {
        let own = [
            ("caller_addr", self.caller_addr),
            ("operator_addr", self.operator_addr),
            ("peer_addr", self.peer_addr),
        ];
        for (i, (path, addr)) in own.iter().enumerate() {
            let is_taken = own[..i].iter().any(|(_, a)| a == addr && addr.port() != 0);
            findings.expect(
                !is_taken,
                *path,
                "is the same as another address of this host",
            );
        }
    }
}

/// Why settings could not be had.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BadSettings {
    /// File.
    pub file: PathBuf,
    /// What is wrong with it.
    pub findings: Vec<Finding>,
}

impl std::fmt::Display for BadSettings {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "settings in {} are not valid", self.file.display())?;
        for finding in &self.findings {
            write!(f, "\n  {finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for BadSettings {}

/// Reads settings from a file.
pub fn load(file: &Path) -> Result<Settings, BadSettings> {
    load_with(file, Settings::parse)
}

/// Reads settings of some kind from a file.
pub fn load_with<T>(
    file: &Path,
    parse: impl FnOnce(&[u8]) -> Result<T, Vec<Finding>>,
) -> Result<T, BadSettings> {
    let bad = |findings| BadSettings {
        file: file.to_owned(),
        findings,
    };
    let json = std::fs::read(file).map_err(|e| {
        bad(vec![Finding {
            path: ".".into(),
            problem: format!("cannot be read: {e}"),
        }])
    })?;
    parse(&json).map_err(bad)
}

/// Decodes settings of some kind; what cannot be decoded is one finding.
pub fn from_json<T: DeserializeOwned>(json: &[u8]) -> Result<T, Vec<Finding>> {
    serde_json::from_slice(json).map_err(|e| {
        vec![Finding {
            path: ".".into(),
            problem: e.to_string(),
        }]
    })
}
