//! Settings of a host, read from a JSON file.
//!
//! All invalid settings are reported together, each with its path and reason.

use std::net::{IpAddr, SocketAddr};
use std::path::Path;
use std::time::Duration;

use serde::Deserialize;
use serde_with::serde_as;

use crate::core::config::{Finding, Findings};
use crate::core::hedge::MAX_SHARE;
use crate::core::ids::{HostId, ZoneId};
use crate::core::quota_account::Overage;
use crate::core::silence::{DEFAULT_CONTACT, SilenceBounds};
use crate::core::stated::StatedMillis;
use crate::core::waiting::WaitingRules;
use crate::settings::{self, SettingsError};

/// Settings of one host. The platform may write any number as a fraction.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct GatewaySettings {
    /// Name of this host.
    pub host: HostId,
    /// Availability zone.
    pub zone: ZoneId,
    /// IP address of this machine, for traffic between hosts.
    pub ip: IpAddr,
    /// Address of the HTTP server for callers.
    pub caller_addr: SocketAddr,
    /// Address of the HTTP server for the readiness probe and the metrics.
    pub ready_addr: SocketAddr,
    /// First of the ports reserved for traffic between hosts; datagrams use it.
    pub peer_port: u16,
    /// Address of the platform's store.
    pub store_addr: SocketAddr,
    /// Memory available to the process, in MiB.
    pub memory_mb: f64,
    /// CPU of this machine, as a share of a core; machines with a larger share
    /// are preferred as the acting host.
    #[serde(default = "whole_core")]
    pub cpu_share: f64,
    /// Limit on the open file descriptors of the process.
    pub max_descriptors: f64,
    /// True if engines refuse orders with a lower fencing token.
    pub engines_check_fences: bool,
    /// Shortest time between the orders of two acting hosts to one engine, if
    /// engines do not check fencing tokens.
    #[serde_as(as = "StatedMillis")]
    #[serde(rename = "order_lease_ms")]
    pub order_lease: Duration,
    /// Time from the stop signal until the process is killed, in seconds.
    pub stop_grace_s: f64,
    /// Retry budget of all hosts together, as a share of the requests.
    pub retry_share: f64,
    /// Retries that all hosts together may make in addition to that share.
    pub retry_slack: f64,
    /// Time after which a draining upstream must receive no further requests.
    #[serde_as(as = "StatedMillis")]
    #[serde(rename = "drain_within_ms")]
    pub drain_within: Duration,
    /// Time after a disruption within which the limits on upstreams that have left do
    /// not apply.
    #[serde_as(as = "StatedMillis")]
    #[serde(rename = "contact_within_ms", default = "contact_within")]
    pub contact_within: Duration,
    /// Time within which a new configuration must be in force.
    #[serde_as(as = "StatedMillis")]
    #[serde(rename = "config_within_ms")]
    pub config_within: Duration,
    /// Window in which the use of an organisation counts against its quota, in seconds.
    #[serde(default = "quota_window_s")]
    pub quota_window_s: f64,
    /// Share of a quota by which use in one window may exceed it.
    #[serde(default = "quota_overage")]
    pub quota_overage: f64,
    /// Second attempts for requests whose first response is late; absent means none.
    #[serde(default)]
    pub hedging: Option<HedgingSettings>,
    /// Lower bound on the time to live of a host's lease.
    #[serde_as(as = "StatedMillis")]
    #[serde(rename = "min_lease_ms")]
    pub min_lease: Duration,
    /// True if hosts take places at plain upstreams with fewer slots than there are hosts;
    /// the same at all hosts.
    #[serde(default)]
    pub shared_places: bool,
    /// Rules of waiting beyond those of all deployments.
    #[serde(default)]
    pub waiting: WaitingRules,
    /// True if the speeds of upstreams are learned and work is split by them.
    #[serde(default)]
    pub learned_speed: bool,
}

impl GatewaySettings {
    /// Memory available to the process.
    pub fn memory_bytes(&self) -> usize {
        (self.memory_mb * 1024.0 * 1024.0) as usize
    }
}

/// Second attempts for requests whose first response is late.
#[derive(Clone, Debug, Deserialize, PartialEq)]
pub struct HedgingSettings {
    /// Largest share of second attempts among the requests of these routes.
    pub max_share: f64,
    /// Names of the routes.
    pub routes: Vec<String>,
}

impl HedgingSettings {
    /// True if the share is within its bounds.
    pub fn is_valid(&self) -> bool {
        (0.0..=MAX_SHARE).contains(&self.max_share)
    }
}

fn contact_within() -> Duration {
    DEFAULT_CONTACT
}

fn whole_core() -> f64 {
    1.0
}

fn quota_window_s() -> f64 {
    8.0
}

fn quota_overage() -> f64 {
    0.1
}

/// Longest stop grace period in seconds.
const MAX_STOP_GRACE_S: f64 = 3_600.0;

impl GatewaySettings {
    /// Parses and validates settings.
    pub fn parse(json: &[u8]) -> Result<Self, Vec<Finding>> {
        let settings: Self = settings::from_json(json)?;
        let mut findings = Findings::default();
        settings.check(&mut findings);
        findings.into_result(settings)
    }

    /// Shortest time within which changes of the store must apply.
    pub fn change_bound(&self) -> Duration {
        self.drain_within.min(self.config_within)
    }

    /// Time limits of calls to the store.
    pub fn silence_bounds(&self) -> SilenceBounds {
        SilenceBounds::within(self.contact_within, self.change_bound())
    }

    /// CPU of this machine, in thousandths of a core.
    pub fn cpu_milli(&self) -> u32 {
        (self.cpu_share * 1000.0) as u32
    }

    /// By how much the use of a quota may exceed it.
    pub fn quota_bounds(&self) -> Overage {
        Overage {
            window_s: self.quota_window_s,
            share: self.quota_overage,
        }
    }

    fn check(&self, findings: &mut Findings) {
        findings.expect(!self.host.as_str().is_empty(), "host", "must not be empty");
        findings.expect(!self.zone.as_str().is_empty(), "zone", "must not be empty");
        let is_distinct = self.caller_addr != self.ready_addr;
        findings.expect(is_distinct, "ready_addr", "is the same as caller_addr");
        findings.expect(self.peer_port > 0, "peer_port", "must be at least 1");
        findings.expect(self.memory_mb >= 1.0, "memory_mb", "must be at least 1");
        findings.expect(
            self.max_descriptors >= 1.0,
            "max_descriptors",
            "must be at least 1",
        );
        let is_positive = self.cpu_share > 0.0;
        findings.expect(is_positive, "cpu_share", "must be over 0");
        let is_valid = self.stop_grace_s > 0.0 && self.stop_grace_s <= MAX_STOP_GRACE_S;
        findings.expect(is_valid, "stop_grace_s", "must be over 0 and at most 3600");
        let is_share = (0.0..=1.0).contains(&self.retry_share);
        findings.expect(is_share, "retry_share", "must be from 0 to 1");
        let is_valid = self.quota_window_s > 0.0;
        findings.expect(is_valid, "quota_window_s", "must be over 0");
        let is_share = (0.0..=1.0).contains(&self.quota_overage);
        findings.expect(is_share, "quota_overage", "must be from 0 to 1");
        let is_valid = self.retry_slack >= 0.0;
        findings.expect(is_valid, "retry_slack", "must not be negative");
        let is_valid = self.hedging.as_ref().is_none_or(HedgingSettings::is_valid);
        findings.expect(is_valid, "hedging.max_share", "must be from 0 to 0.2");
    }
}

/// Reads settings from a file.
pub fn load(file: &Path) -> Result<GatewaySettings, SettingsError> {
    settings::load_with(file, GatewaySettings::parse)
}
