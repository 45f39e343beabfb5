//! Settings of the entry host daemon, read from a JSON file and validated.
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
    /// Maximum number of caller connections.
    #[serde(default = "default_max_connections")]
    pub max_connections: usize,
    /// Maximum size of a request body in bytes.
    #[serde(default = "default_max_body_bytes")]
    pub max_body_bytes: usize,
    /// Maximum time to receive a request body; milliseconds in the file.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_body_timeout", rename = "body_timeout_ms")]
    pub body_timeout: Duration,
    /// Deadline of requests that state none; milliseconds in the file.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(default = "default_deadline", rename = "default_deadline_ms")]
    pub default_deadline: Duration,
    /// Seed of random tie-breaking; taken from the clock if absent.
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

/// Upper bound of `max_body_bytes`.
const MAX_BODY_LIMIT_BYTES: usize = 64 * 1024 * 1024;

impl Settings {
    /// Parses and validates settings.
    pub fn parse(json: &[u8]) -> Result<Self, Vec<Finding>> {
        let settings: Self = from_json(json)?;
        let mut findings = Findings::default();
        settings.check(&mut findings);
        findings.into_result(settings)
    }

    fn check(&self, findings: &mut Findings) {
        let name_rule = "must consist of 1 to 64 of the characters a-z, 0-9, '-' and '.'";
        findings.expect(is_valid_name(self.host.as_str()), "host", name_rule);
        findings.expect(is_valid_name(self.zone.as_str()), "zone", name_rule);
        findings.expect(
            self.max_connections > 0,
            "max_connections",
            "must be at least 1",
        );
        findings.expect(
            (1..=MAX_BODY_LIMIT_BYTES).contains(&self.max_body_bytes),
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
        let local_addrs = [
            ("caller_addr", self.caller_addr),
            ("operator_addr", self.operator_addr),
            ("peer_addr", self.peer_addr),
        ];
        for (i, (path, addr)) in local_addrs.iter().enumerate() {
            let is_duplicate = local_addrs[..i]
                .iter()
                .any(|(_, a)| a == addr && addr.port() != 0);
            findings.expect(
                !is_duplicate,
                *path,
                "is the same as another address of this host",
            );
        }
    }
}

/// Settings file that cannot be read or is invalid.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// Path of the file.
    pub file: PathBuf,
    /// Every problem found in it.
    pub findings: Vec<Finding>,
}

impl std::fmt::Display for SettingsError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "invalid settings in {}", self.file.display())?;
        for finding in &self.findings {
            write!(f, "\n  {finding}")?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

/// Reads and validates the settings of an entry host.
pub fn load(file: &Path) -> Result<Settings, SettingsError> {
    load_with(file, Settings::parse)
}

/// Reads a settings file with the given parser.
pub fn load_with<T>(
    file: &Path,
    parse: impl FnOnce(&[u8]) -> Result<T, Vec<Finding>>,
) -> Result<T, SettingsError> {
    let settings_error = |findings| SettingsError {
        file: file.to_owned(),
        findings,
    };
    let json = std::fs::read(file).map_err(|e| {
        settings_error(vec![Finding {
            path: ".".into(),
            problem: format!("cannot be read: {e}"),
        }])
    })?;
    parse(&json).map_err(settings_error)
}

/// Deserialises settings; a failure is returned as one finding.
pub fn from_json<T: DeserializeOwned>(json: &[u8]) -> Result<T, Vec<Finding>> {
    serde_json::from_slice(json).map_err(|e| {
        vec![Finding {
            path: ".".into(),
            problem: e.to_string(),
        }]
    })
}
