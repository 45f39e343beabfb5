//! Membership: the entry hosts as seen by one of them.
//!
//! Membership is advisory: it selects the host that attempts to act for an
//! upstream. Changes to memory and to claimed requests are decided by the
//! ledger and by claims alone, so a wrong view costs time but never safety.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::ids::{HostId, ZoneId};
use super::rendezvous::{hash, weight};

/// Shortest time between heartbeats in milliseconds.
pub const MIN_HEARTBEAT_INTERVAL_MS: u64 = 250;
/// Longest time between heartbeats in milliseconds.
pub const MAX_HEARTBEAT_INTERVAL_MS: u64 = 1_000;
/// Increase of the heartbeat interval per link, in milliseconds.
const HEARTBEAT_INTERVAL_PER_LINK_MS: u64 = 15;
/// Time without a heartbeat after which a host counts as down, in milliseconds.
pub const HEARTBEAT_TIMEOUT_MS: u64 = 3_000;

/// Heartbeat interval of a host, in milliseconds; proportional to its number of
/// links within the limits, so that the heartbeat traffic stays bounded.
pub fn heartbeat_interval_ms(links: usize) -> u64 {
    (links as u64 * HEARTBEAT_INTERVAL_PER_LINK_MS)
        .clamp(MIN_HEARTBEAT_INTERVAL_MS, MAX_HEARTBEAT_INTERVAL_MS)
}
/// Number of links that a host keeps to each other availability zone.
pub const LINKS_PER_REMOTE_ZONE: usize = 2;

/// Entry host as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedHost {
    /// Name.
    pub id: HostId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address on which it accepts peers.
    pub peer_addr: SocketAddr,
}

/// Incarnation of a host; increases with each restart of its process.
pub type Incarnation = u64;

/// State of a host, as it announces it to its peers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Sender.
    #[serde(rename = "h")]
    pub host: HostId,
    /// Availability zone.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// Incarnation of the sender.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// True once the sender is draining.
    #[serde(rename = "d")]
    pub is_draining: bool,
    /// Hash of the revisions of its configuration.
    #[serde(rename = "c")]
    pub config_digest: u64,
}

#[derive(Clone, Debug)]
struct Member {
    zone: ZoneId,
    incarnation: Incarnation,
    last_heartbeat_ms: u64,
    is_draining: bool,
}

/// All entry hosts known to this host.
#[derive(Clone, Debug)]
pub struct Membership {
    own_id: HostId,
    zone: ZoneId,
    is_draining: bool,
    listed: BTreeMap<HostId, ListedHost>,
    members: BTreeMap<HostId, Member>,
}

impl Membership {
    /// Membership of a host that has received no heartbeat yet.
    pub fn new(own_id: &HostId, zone: &ZoneId) -> Self {
        Self {
            own_id: own_id.clone(),
            zone: zone.clone(),
            is_draining: false,
            listed: BTreeMap::new(),
            members: BTreeMap::new(),
        }
    }

    /// Replaces the platform's list, and removes hosts that it does not contain.
    pub fn set_listed(&mut self, hosts: &[ListedHost]) {
        self.listed = hosts.iter().map(|h| (h.id.clone(), h.clone())).collect();
        let listed = &self.listed;
        self.members.retain(|id, _| listed.contains_key(id));
    }

    /// Marks this host as draining.
    pub fn start_draining(&mut self) {
        self.is_draining = true;
    }

    /// True once this host is draining.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Records a heartbeat, unless it is from an earlier incarnation of its host.
    pub fn on_heartbeat(&mut self, now_ms: u64, heartbeat: &Heartbeat) {
        if heartbeat.host == self.own_id {
            return;
        }
        let known_incarnation = self
            .members
            .get(&heartbeat.host)
            .map_or(0, |m| m.incarnation);
        if heartbeat.incarnation < known_incarnation {
            return;
        }
        let member = Member {
            zone: heartbeat.zone.clone(),
            incarnation: heartbeat.incarnation,
            last_heartbeat_ms: now_ms,
            is_draining: heartbeat.is_draining,
        };
        self.members.insert(heartbeat.host.clone(), member);
    }

    /// True if the host is this one, or its last heartbeat is recent.
    pub fn is_up(&self, now_ms: u64, host: &HostId) -> bool {
        *host == self.own_id || self.members.get(host).is_some_and(|m| is_recent(now_ms, m))
    }

    /// Hosts that are up with their zones, including this host.
    pub fn hosts_up(&self, now_ms: u64) -> impl Iterator<Item = (&HostId, &ZoneId)> {
        let others = self
            .members
            .iter()
            .filter(move |(_, m)| is_recent(now_ms, m));
        std::iter::once((&self.own_id, &self.zone)).chain(others.map(|(id, m)| (id, &m.zone)))
    }

    /// Acting host of an upstream: one in the upstream's zone, or in another
    /// zone if that zone has no host that is up and not draining.
    pub fn acting_host(&self, now_ms: u64, upstream: &str, zone: &ZoneId) -> Option<&HostId> {
        let key = hash(upstream);
        let is_eligible = |id: &HostId| !self.is_host_draining(id);
        let rank = |id: &HostId| weight(key, hash(id.as_str()));
        let eligible = || self.hosts_up(now_ms).filter(|(id, _)| is_eligible(id));
        let same_zone = eligible()
            .filter(|(_, z)| *z == zone)
            .map(|(id, _)| id)
            .max_by_key(|id| rank(id));
        same_zone.or_else(|| eligible().map(|(id, _)| id).max_by_key(|id| rank(id)))
    }

    fn is_host_draining(&self, host: &HostId) -> bool {
        if *host == self.own_id {
            return self.is_draining;
        }
        self.members.get(host).is_some_and(|m| m.is_draining)
    }

    /// Hosts to which this host keeps a link: all hosts in its zone, and
    /// [`LINKS_PER_REMOTE_ZONE`] in each other zone.
    pub fn neighbours(&self) -> Vec<&ListedHost> {
        let mut remote: BTreeMap<&ZoneId, Vec<&ListedHost>> = BTreeMap::new();
        let mut chosen = Vec::new();
        for host in self.listed.values().filter(|h| h.id != self.own_id) {
            if host.zone == self.zone {
                chosen.push(host);
            } else {
                remote.entry(&host.zone).or_default().push(host);
            }
        }
        let key = hash(self.own_id.as_str());
        for mut hosts in remote.into_values() {
            hosts.sort_by_key(|h| std::cmp::Reverse(weight(key, hash(h.id.as_str()))));
            chosen.extend(hosts.into_iter().take(LINKS_PER_REMOTE_ZONE));
        }
        chosen
    }
}

fn is_recent(now_ms: u64, member: &Member) -> bool {
    now_ms.saturating_sub(member.last_heartbeat_ms) < HEARTBEAT_TIMEOUT_MS
}
