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
//!
//! Hosts that found no room wait for news. The one whose request is the most urgent is told
//! first, so that a request with much time does not take the room that another one needs at
//! once. Hosts that do not state how urgent theirs is are told in order of arrival.

use std::collections::{HashMap, VecDeque};

use super::ids::{HostId, UpstreamId};
use super::rendezvous;
use super::waiting::PRIORITY_PENALTY_MS;

/// Time for which a host waits for news of an engine that had no room, in
/// milliseconds.
const MAX_WAIT_MS: u64 = 1_000;
/// Time that a host's request is assumed to have until it is due if the host does not state
/// it, in milliseconds; the objective of most requests.
const DEFAULT_DUE_IN_MS: u64 = 1_000;
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

/// How urgent the request is for which a host waits.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Urgency {
    /// Time until the latest dispatch that meets its objective, in milliseconds.
    pub due_in_ms: u64,
    /// Priority; 0 is the highest.
    pub priority: u8,
}

impl Urgency {
    /// Urgency as a host states it, if it does.
    pub fn stated(due_in_ms: Option<u64>, priority: Option<u8>) -> Option<Self> {
        due_in_ms.map(|due_in_ms| Self {
            due_in_ms,
            priority: priority.unwrap_or_default(),
        })
    }
}

impl Default for Urgency {
    fn default() -> Self {
        Self {
            due_in_ms: DEFAULT_DUE_IN_MS,
            priority: 0,
        }
    }
}

#[derive(Clone, Debug)]
struct Waiter {
    host: HostId,
    until_ms: u64,
    urgency_ms: u64,
}

/// Hosts that wait for room, by engine, in order of arrival.
#[derive(Clone, Debug, Default)]
pub struct RoomWaiters {
    waiting: HashMap<UpstreamId, VecDeque<Waiter>>,
}

impl RoomWaiters {
    /// Records that a host waits; once, however often it asks, with its most urgent request.
    pub fn add(&mut self, now_ms: u64, upstream: &UpstreamId, host: &HostId, urgency: Urgency) {
        let urgency_ms = now_ms
            .saturating_add(urgency.due_in_ms)
            .saturating_add(u64::from(urgency.priority) * PRIORITY_PENALTY_MS);
        let queue = self.waiting.entry(upstream.clone()).or_default();
        queue.retain(|w| now_ms < w.until_ms);
        if let Some(waiter) = queue.iter_mut().find(|w| w.host == *host) {
            waiter.urgency_ms = waiter.urgency_ms.min(urgency_ms);
        } else if queue.len() < MAX_WAITING_HOSTS {
            queue.push_back(Waiter {
                host: host.clone(),
                until_ms: now_ms + MAX_WAIT_MS,
                urgency_ms,
            });
        }
    }

    /// Removes and returns the host with the most urgent request; of equal ones, the one that
    /// has waited longest.
    pub fn next(&mut self, now_ms: u64, upstream: &UpstreamId) -> Option<HostId> {
        let queue = self.waiting.get_mut(upstream)?;
        queue.retain(|w| now_ms < w.until_ms);
        let waiters = queue.iter().enumerate();
        let most_urgent = waiters.min_by_key(|(_, w)| w.urgency_ms);
        let next = most_urgent
            .map(|(index, _)| index)
            .and_then(|index| queue.remove(index));
        if queue.is_empty() {
            self.waiting.remove(upstream);
        }
        next.map(|waiter| waiter.host)
    }
}
