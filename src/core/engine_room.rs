//! Room at an engine that hundreds of hosts share.
//!
//! Load pattern: each of hundreds of hosts sends a few requests a second to the same
//! engines. What it knows of the others is tenths of a second old, so that several
//! hosts send long prompts to one engine within one step; its running streams pause,
//! or its batch overruns while others have room.
//!
//! One host of the fleet keeps the account of an engine: every host tells it at once
//! what it has in flight there, and asks for the present load of the others right
//! before it sends a request. Requests are counted in the order in which they ask.
//! The answer is advice; without one, the host sends by what it knows.
//!
//! Load pattern: hosts differ in CPU by a factor of five, and a host with a tenth of a core
//! answers late whenever its callers are busy. Accounts are kept by strong hosts.

use std::collections::{HashMap, VecDeque};

use super::ids::{HostId, UpstreamId};
use super::rendezvous;

/// Time for which a host waits for news of an engine that had no room, in
/// milliseconds.
const MAX_WAIT_MS: u64 = 1_000;
/// Limit of the hosts that wait for news of one engine.
const MAX_WAITING_HOSTS: usize = 64;

/// Host that keeps the account of an engine, with the CPU of each host in thousandths of a
/// core; all hosts with the same list agree.
///
/// Hosts with less than half the CPU of the strongest one keep no account.
pub fn keeper_of<'a>(
    upstream: &UpstreamId,
    hosts: impl Clone + Iterator<Item = (&'a HostId, u32)>,
) -> Option<&'a HostId> {
    let strongest_milli = hosts.clone().map(|(_, cpu_milli)| cpu_milli).max()?;
    let is_strong = |cpu_milli: u32| cpu_milli >= strongest_milli / 2;
    let strong = hosts.filter(|(_, cpu_milli)| is_strong(*cpu_milli));
    rendezvous::pick(upstream.as_str(), strong.map(|(host, _)| host))
}

/// Hosts that wait for room, by engine, in order of arrival.
#[derive(Clone, Debug, Default)]
pub struct RoomWaiters {
    waiting: HashMap<UpstreamId, VecDeque<(HostId, u64)>>,
}

impl RoomWaiters {
    /// Records that a host waits; once, however often it asks.
    pub fn add(&mut self, now_ms: u64, upstream: &UpstreamId, host: &HostId) {
        let queue = self.waiting.entry(upstream.clone()).or_default();
        queue.retain(|(_, until_ms)| now_ms < *until_ms);
        if queue.len() < MAX_WAITING_HOSTS && !queue.iter().any(|(h, _)| h == host) {
            queue.push_back((host.clone(), now_ms + MAX_WAIT_MS));
        }
    }

    /// Removes and returns the host that has waited longest.
    pub fn next(&mut self, now_ms: u64, upstream: &UpstreamId) -> Option<HostId> {
        let queue = self.waiting.get_mut(upstream)?;
        let next = loop {
            match queue.pop_front() {
                Some((host, until_ms)) if now_ms < until_ms => break Some(host),
                Some(_) => {}
                None => break None,
            }
        };
        if queue.is_empty() {
            self.waiting.remove(upstream);
        }
        next
    }
}
