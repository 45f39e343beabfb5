//! Entry hosts, as one of them sees the others.
//!
//! Membership is a hint: it decides who tries to act for an upstream. What
//! may happen to memory or to a claimed request is decided by the ledger and
//! by claims alone, so a wrong view costs time and never safety.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::ids::{HostId, ZoneId};
use super::rendezvous::{hash, weight};

/// Shortest time between heartbeats in milliseconds.
pub const MIN_HEARTBEAT_MS: u64 = 250;
/// Longest time between heartbeats in milliseconds.
pub const MAX_HEARTBEAT_MS: u64 = 1_000;
/// Time by which each link lengthens the interval, in milliseconds.
const HEARTBEAT_PER_LINK_MS: u64 = 15;
/// Silence after which a host counts as down, in milliseconds.
pub const DOWN_AFTER_MS: u64 = 3_000;

/// Time between heartbeats of a host with this many links; grows with them,
/// so that the traffic stays bounded.
pub fn heartbeat_interval_ms(links: usize) -> u64 {
    (links as u64 * HEARTBEAT_PER_LINK_MS).clamp(MIN_HEARTBEAT_MS, MAX_HEARTBEAT_MS)
}
/// Links that a host keeps into each other availability zone.
pub const LINKS_PER_FOREIGN_ZONE: usize = 2;

/// Entry host as the platform lists it.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct ListedHost {
    /// Name.
    pub id: HostId,
    /// Availability zone.
    pub zone: ZoneId,
    /// Address for peers.
    pub peer_addr: SocketAddr,
}

/// Start number of a process; grows with each restart of a host.
pub type Incarnation = u64;

/// What a host says of itself.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Heartbeat {
    /// Sender.
    #[serde(rename = "h")]
    pub host: HostId,
    /// Availability zone.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// Start number.
    #[serde(rename = "i")]
    pub incarnation: Incarnation,
    /// True once the host is stopping.
    #[serde(rename = "d")]
    pub is_draining: bool,
    /// Hash of the configuration's revisions.
    #[serde(rename = "c")]
    pub config_digest: u64,
}

#[derive(Clone, Debug)]
struct Member {
    zone: ZoneId,
    incarnation: Incarnation,
    last_heard_ms: u64,
    is_draining: bool,
}

/// All hosts this one knows.
#[derive(Clone, Debug)]
pub struct Members {
    me: HostId,
    zone: ZoneId,
    is_draining: bool,
    listed: BTreeMap<HostId, ListedHost>,
    heard: BTreeMap<HostId, Member>,
}

impl Members {
    /// Members as seen by `me` before any message.
    pub fn new(me: &HostId, zone: &ZoneId) -> Self {
        Self {
            me: me.clone(),
            zone: zone.clone(),
            is_draining: false,
            listed: BTreeMap::new(),
            heard: BTreeMap::new(),
        }
    }

    /// Takes in the platform's list; hosts that left it are forgotten.
    pub fn set_listed(&mut self, hosts: &[ListedHost]) {
        self.listed = hosts.iter().map(|h| (h.id.clone(), h.clone())).collect();
        let listed = &self.listed;
        self.heard.retain(|id, _| listed.contains_key(id));
    }

    /// Marks this host as stopping.
    pub fn start_draining(&mut self) {
        self.is_draining = true;
    }

    /// True once this host is stopping.
    pub fn is_draining(&self) -> bool {
        self.is_draining
    }

    /// Takes in a heartbeat; one of an older start of the host is ignored.
    pub fn on_heartbeat(&mut self, now_ms: u64, beat: &Heartbeat) {
        if beat.host == self.me {
            return;
        }
        let known = self.heard.get(&beat.host).map_or(0, |m| m.incarnation);
        if beat.incarnation < known {
            return;
        }
        let member = Member {
            zone: beat.zone.clone(),
            incarnation: beat.incarnation,
            last_heard_ms: now_ms,
            is_draining: beat.is_draining,
        };
        self.heard.insert(beat.host.clone(), member);
    }

    /// True if the host was heard of lately.
    pub fn is_up(&self, now_ms: u64, host: &HostId) -> bool {
        *host == self.me || self.heard.get(host).is_some_and(|m| is_fresh(now_ms, m))
    }

    /// Hosts heard of lately, this one among them, with their zone.
    pub fn up(&self, now_ms: u64) -> impl Iterator<Item = (&HostId, &ZoneId)> {
        let others = self.heard.iter().filter(move |(_, m)| is_fresh(now_ms, m));
        std::iter::once((&self.me, &self.zone)).chain(others.map(|(id, m)| (id, &m.zone)))
    }

    /// Host that acts for an upstream: one of its own zone, or of any other
    /// if its own has none.
    pub fn acting_host(&self, now_ms: u64, upstream: &str, zone: &ZoneId) -> Option<&HostId> {
        let key = hash(upstream);
        let fit = |id: &HostId| !self.has_left(id);
        let rank = |id: &HostId| weight(key, hash(id.as_str()));
        let all = || self.up(now_ms).filter(|(id, _)| fit(id));
        let near = all()
            .filter(|(_, z)| *z == zone)
            .map(|(id, _)| id)
            .max_by_key(|id| rank(id));
        near.or_else(|| all().map(|(id, _)| id).max_by_key(|id| rank(id)))
    }

    fn has_left(&self, host: &HostId) -> bool {
        if *host == self.me {
            return self.is_draining;
        }
        self.heard.get(host).is_some_and(|m| m.is_draining)
    }

    /// Hosts this one keeps a link to: all of its zone, a few of each other.
    pub fn neighbours(&self) -> Vec<&ListedHost> {
        let mut foreign: BTreeMap<&ZoneId, Vec<&ListedHost>> = BTreeMap::new();
        let mut chosen = Vec::new();
        for host in self.listed.values().filter(|h| h.id != self.me) {
            if host.zone == self.zone {
                chosen.push(host);
            } else {
                foreign.entry(&host.zone).or_default().push(host);
            }
        }
        let key = hash(self.me.as_str());
        for mut hosts in foreign.into_values() {
            hosts.sort_by_key(|h| std::cmp::Reverse(weight(key, hash(h.id.as_str()))));
            chosen.extend(hosts.into_iter().take(LINKS_PER_FOREIGN_ZONE));
        }
        chosen
    }
}

fn is_fresh(now_ms: u64, member: &Member) -> bool {
    now_ms.saturating_sub(member.last_heard_ms) < DOWN_AFTER_MS
}
