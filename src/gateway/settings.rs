//! Settings of a host on a platform, read from a JSON file.
//!
//! All findings are reported together, each with its path and reason.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde_with::{DurationMilliSeconds, serde_as};

use crate::core::config::{Finding, Findings};
use crate::core::ids::{HostId, ZoneId};
use crate::settings::{self, BadSettings};

/// Settings of one host.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct GatewaySettings {
    /// Name of this host.
    pub host: HostId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address of this machine.
    pub ip: IpAddr,
    /// Address for callers.
    pub caller_addr: SocketAddr,
    /// Address of the readiness probe.
    pub ready_addr: SocketAddr,
    /// First of the ports for traffic between hosts.
    pub peer_port: u16,
    /// Address of the platform's store.
    pub store_addr: SocketAddr,
    /// Memory of the process in MB.
    pub memory_mb: u64,
    /// Share of a core that this machine has; machines with more of it act for
    /// the fleet first.
    #[serde(default = "whole_core")]
    pub cpu_share: f64,
    /// Descriptors of the process.
    pub max_descriptors: usize,
    /// True if engines refuse orders with a lower fencing number.
    pub engines_check_fences: bool,
    /// Least time between orders of two hosts to one engine, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "order_lease_ms")]
    pub order_lease: Duration,
    /// Time from the signal to stop until the process is killed.
    pub stop_grace_s: f64,
    /// Retries that all hosts may make, as a share of the requests.
    pub retry_share: f64,
    /// Retries that all hosts may make beyond that share.
    pub retry_slack: u32,
    /// Time within which a leaving upstream gets nothing more, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "drain_within_ms")]
    pub drain_within: Duration,
    /// Time within which a configuration is in force, in milliseconds.
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    #[serde(rename = "config_within_ms")]
    pub config_within: Duration,
    /// Smallest time to live of a lease, in milliseconds.
    pub min_lease_ms: u64,
}

fn whole_core() -> f64 {
    1.0
}

/// Longest time in settings, in seconds.
const MAX_TIME_S: f64 = 3_600.0;

impl GatewaySettings {
    /// Parses and checks settings.
    pub fn parse(json: &[u8]) -> Result<Self, Vec<Finding>> {
        let settings: Self = settings::from_json(json)?;
        let mut findings = Findings::default();
        settings.check(&mut findings);
        findings.into_result(settings)
    }

    fn check(&self, findings: &mut Findings) {
        findings.expect(!self.host.as_str().is_empty(), "host", "must not be empty");
        findings.expect(!self.zone.as_str().is_empty(), "zone", "must not be empty");
        let is_apart = self.caller_addr != self.ready_addr;
        findings.expect(is_apart, "ready_addr", "is the same as caller_addr");
        findings.expect(self.peer_port > 0, "peer_port", "must be at least 1");
        findings.expect(self.memory_mb > 0, "memory_mb", "must be at least 1");
        let is_positive = self.cpu_share > 0.0;
        findings.expect(is_positive, "cpu_share", "must be over 0");
        let is_valid = self.stop_grace_s > 0.0 && self.stop_grace_s <= MAX_TIME_S;
        findings.expect(is_valid, "stop_grace_s", "must be over 0 and at most 3600");
        let is_share = (0.0..=1.0).contains(&self.retry_share);
        findings.expect(is_share, "retry_share", "must be from 0 to 1");
    }
}

/// Reads settings from a file.
pub fn load(file: &Path) -> Result<GatewaySettings, BadSettings> {
    settings::load_with(file, GatewaySettings::parse)
}
