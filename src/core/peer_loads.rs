//! What other hosts have in flight, as each of them states it.
//!
//! Answers the load pattern of hosts that send to the same few upstreams
//! within the same tenth of a second: each learns of the others' requests
//! while those still wait to be read.

use std::collections::HashMap;

use super::ids::{HostId, UpstreamId};
use super::load::InFlight;

/// Silence of a host after which its requests are taken to have ended, in
/// milliseconds; hosts state everything anew about once a second.
pub const HOST_EXPIRES_MS: u64 = 3_000;

#[derive(Clone, Debug, Default)]
struct HostLoads {
    started_ms: u64,
    heard_ms: u64,
    in_flight: HashMap<UpstreamId, InFlight>,
}

/// In flight by host and upstream.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    hosts: HashMap<HostId, HostLoads>,
}

impl PeerLoads {
    /// Takes in a host's statements; those of an earlier process do not count.
    pub fn observe(
        &mut self,
        now_ms: u64,
        host: &HostId,
        started_ms: u64,
        stated: &[(UpstreamId, InFlight)],
    ) {
        let loads = self.hosts.entry(host.clone()).or_default();
        if started_ms < loads.started_ms {
            return;
        }
        if started_ms > loads.started_ms {
            loads.in_flight.clear();
            loads.started_ms = started_ms;
        }
        loads.heard_ms = now_ms;
        for (id, load) in stated {
            if load.is_empty() {
                loads.in_flight.remove(id);
            } else {
                loads.in_flight.insert(id.clone(), *load);
            }
        }
    }

    /// Sum over all hosts that were heard of lately.
    pub fn total(&self, now_ms: u64, id: &UpstreamId) -> InFlight {
        let fresh = self.fresh(now_ms);
        let loads = fresh.filter_map(|h| h.in_flight.get(id));
        loads.fold(InFlight::default(), |sum, load| sum.plus(*load))
    }

    /// Sums of all upstreams.
    pub fn totals(&self, now_ms: u64) -> HashMap<UpstreamId, InFlight> {
        let mut totals: HashMap<UpstreamId, InFlight> = HashMap::new();
        for (id, load) in self.fresh(now_ms).flat_map(|h| &h.in_flight) {
            let total = totals.entry(id.clone()).or_default();
            *total = total.plus(*load);
        }
        totals
    }

    /// What one host has in flight at an upstream.
    pub fn of_host(&self, host: &HostId, id: &UpstreamId) -> InFlight {
        let loads = self.hosts.get(host).and_then(|h| h.in_flight.get(id));
        loads.copied().unwrap_or_default()
    }

    fn fresh(&self, now_ms: u64) -> impl Iterator<Item = &HostLoads> {
        let is_fresh = move |h: &&HostLoads| now_ms < h.heard_ms + HOST_EXPIRES_MS;
        self.hosts.values().filter(is_fresh)
    }
}
