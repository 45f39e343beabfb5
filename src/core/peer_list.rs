//! Hosts of the fleet, as seen by one of them.
//!
//! Load pattern: a host loses its connection to the store and continues to
//! serve. Its entry lapses, but it still sends requests to the same upstreams,
//! so it remains a recipient of peer messages for a while.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::net::SocketAddr;

use super::features::{Feature, Features};
use super::ids::{HostId, ZoneId};

/// Time for which an unlisted host still receives peer messages, in
/// milliseconds; outages of the store last some seconds for one host.
pub const UNLISTED_GRACE_MS: u64 = 20_000;

/// Largest fleet in which every host watches the store and sends its loads to all
/// others directly.
pub const MAX_SMALL_FLEET: usize = 16;

/// Position of a host among some, from 0. Hosts with a larger CPU share are first,
/// because work for the whole fleet takes most of a small machine's time.
pub fn rank_by_cpu<'a>(
    hosts: impl Iterator<Item = (&'a HostId, u32)>,
    own: &HostId,
    own_cpu_milli: u32,
) -> u64 {
    let own_key = (Reverse(own_cpu_milli), own);
    hosts
        .filter(|(host, cpu_milli)| (Reverse(*cpu_milli), *host) < own_key)
        .count() as u64
}

/// One host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Address for traffic between hosts.
    pub addr: SocketAddr,
    /// CPU capacity of its machine, in thousandths of a core.
    pub cpu_milli: u32,
    /// Features that it states.
    features: Features,
    zone: Option<ZoneId>,
    /// Time at which it was found to be unlisted, if it is.
    unlisted_ms: Option<u64>,
}

impl Peer {
    /// Listed host.
    pub fn new(addr: SocketAddr, cpu_milli: u32) -> Self {
        Self {
            addr,
            cpu_milli,
            features: Features::default(),
            zone: None,
            unlisted_ms: None,
        }
    }

    /// The same host in an availability zone.
    pub fn in_zone(self, zone: &str) -> Self {
        Self {
            zone: Some(ZoneId::new(zone)),
            ..self
        }
    }

    /// The same host with the features that it states.
    pub fn with_features(self, features: Features) -> Self {
        Self { features, ..self }
    }

    /// True if it states a feature.
    pub fn has(&self, feature: Feature) -> bool {
        self.features.has(feature)
    }

    /// Availability zone, if known.
    pub fn zone(&self) -> Option<&str> {
        self.zone.as_ref().map(ZoneId::as_str)
    }

    /// True if it is listed or was until recently.
    fn is_recipient(&self, now_ms: u64) -> bool {
        let is_recent = |at_ms| now_ms < at_ms + UNLISTED_GRACE_MS;
        self.unlisted_ms.is_none_or(is_recent)
    }
}

/// All hosts that are listed or were until recently.
#[derive(Clone, Debug, Default)]
pub struct PeerList {
    peers: HashMap<HostId, Peer>,
}

impl PeerList {
    /// Adds a host, or lists it again.
    pub fn insert(&mut self, host: HostId, peer: Peer) {
        self.peers.insert(host, peer);
    }

    /// Marks a host as no longer listed.
    pub fn mark_unlisted(&mut self, now_ms: u64, host: &str) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.unlisted_ms.get_or_insert(now_ms);
        }
    }

    /// Applies a complete listing.
    pub fn replace(&mut self, now_ms: u64, listed: HashMap<HostId, Peer>) {
        for (host, peer) in &mut self.peers {
            if !listed.contains_key(host) {
                peer.unlisted_ms.get_or_insert(now_ms);
            }
        }
        self.peers.extend(listed);
        self.peers.retain(|_, peer| peer.is_recipient(now_ms));
    }

    /// A listed host.
    pub fn get_listed(&self, host: &HostId) -> Option<&Peer> {
        self.peers.get(host).filter(|p| p.unlisted_ms.is_none())
    }

    /// A recipient of peer messages.
    pub fn get_recipient(&self, now_ms: u64, host: &HostId) -> Option<&Peer> {
        self.peers.get(host).filter(|p| p.is_recipient(now_ms))
    }

    /// Recipients of peer messages.
    pub fn recipients(&self, now_ms: u64) -> impl Iterator<Item = (&HostId, &Peer)> {
        self.peers
            .iter()
            .filter(move |(_, p)| p.is_recipient(now_ms))
    }

    /// Listed hosts.
    pub fn listed(&self) -> impl Clone + Iterator<Item = (&HostId, &Peer)> {
        self.peers.iter().filter(|(_, p)| p.unlisted_ms.is_none())
    }
}
