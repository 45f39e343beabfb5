//! Hosts of the fleet, as one of them knows the others.
//!
//! Answers the load pattern of hosts that lose the store while they go on to
//! serve: their entries lapse, but they still send to the same upstreams. They
//! are told what the others know for a while longer.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::ids::HostId;

/// Time for which a host that is no longer listed is still told what others
/// know, in milliseconds; hosts lose the store for some seconds at a time.
pub const UNLISTED_FOR_MS: u64 = 20_000;

/// One host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Peer {
    /// Address for traffic between hosts.
    pub addr: SocketAddr,
    /// Thousandths of a core that its machine has.
    pub cpu_milli: u32,
    /// When its entry vanished, if it has.
    unlisted_ms: Option<u64>,
}

impl Peer {
    /// Host that is listed.
    pub fn new(addr: SocketAddr, cpu_milli: u32) -> Self {
        Self {
            addr,
            cpu_milli,
            unlisted_ms: None,
        }
    }

    /// True if it is listed or was lately.
    fn is_told(&self, now_ms: u64) -> bool {
        let is_recent = |at_ms| now_ms < at_ms + UNLISTED_FOR_MS;
        self.unlisted_ms.is_none_or(is_recent)
    }
}

/// All hosts that are listed or were lately.
#[derive(Clone, Debug, Default)]
pub struct PeerList {
    peers: HashMap<HostId, Peer>,
}

impl PeerList {
    /// Adds a host, or lists it again.
    pub fn insert(&mut self, host: HostId, peer: Peer) {
        self.peers.insert(host, peer);
    }

    /// Notes that a host is not listed any more.
    pub fn unlist(&mut self, now_ms: u64, host: &str) {
        if let Some(peer) = self.peers.get_mut(host) {
            peer.unlisted_ms.get_or_insert(now_ms);
        }
    }

    /// Takes in a whole listing.
    pub fn replace(&mut self, now_ms: u64, listed: HashMap<HostId, Peer>) {
        for (host, peer) in &mut self.peers {
            if !listed.contains_key(host) {
                peer.unlisted_ms.get_or_insert(now_ms);
            }
        }
        self.peers.extend(listed);
        self.peers.retain(|_, peer| peer.is_told(now_ms));
    }

    /// Hosts that are to be told something.
    pub fn reachable(&self, now_ms: u64) -> impl Iterator<Item = (&HostId, &Peer)> {
        self.peers.iter().filter(move |(_, p)| p.is_told(now_ms))
    }

    /// Hosts that are listed.
    pub fn listed(&self) -> impl Iterator<Item = (&HostId, &Peer)> {
        self.peers.iter().filter(|(_, p)| p.unlisted_ms.is_none())
    }
}
