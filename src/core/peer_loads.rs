//! Requests in flight of other hosts, as reported by each of them.
//!
//! Load pattern: several hosts send to the same few upstreams within a tenth of
//! a second. Each includes the others' requests in its decisions while their
//! prefill is still pending.

use std::collections::HashMap;

use super::ids::{HostId, UpstreamId};
use super::load::InFlight;

/// Time without a report after which a host's requests count as ended, in
/// milliseconds; hosts report all their loads about once a second.
pub const HOST_LOADS_EXPIRE_MS: u64 = 3_000;

#[derive(Clone, Debug, Default)]
struct HostLoads {
    started_ms: u64,
    reported_ms: u64,
    /// Loads with the time of the report.
    in_flight: HashMap<UpstreamId, (InFlight, u64)>,
}

/// Requests in flight by host and upstream.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    hosts: HashMap<HostId, HostLoads>,
}

impl PeerLoads {
    /// Applies a host's report; reports of an earlier process are ignored.
    pub fn apply_report(
        &mut self,
        now_ms: u64,
        host: &HostId,
        started_ms: u64,
        reported: &[(UpstreamId, InFlight)],
    ) {
        let loads = self.hosts.entry(host.clone()).or_default();
        if started_ms < loads.started_ms {
            return;
        }
        if started_ms > loads.started_ms {
            loads.in_flight.clear();
            loads.started_ms = started_ms;
        }
        loads.reported_ms = now_ms;
        for (id, load) in reported {
            if load.is_empty() {
                loads.in_flight.remove(id);
            } else {
                loads.in_flight.insert(id.clone(), (*load, now_ms));
            }
        }
    }

    /// Sum over all hosts with a recent report.
    pub fn total(&self, now_ms: u64, id: &UpstreamId) -> InFlight {
        let live_hosts = self.live_hosts(now_ms);
        let loads = live_hosts.filter_map(|h| h.in_flight.get(id));
        loads
            .filter(|(_, reported_ms)| is_recent(now_ms, *reported_ms))
            .fold(InFlight::default(), |sum, (load, _)| sum.plus(*load))
    }

    /// Sum over all other hosts with a recent report.
    pub fn others(&self, now_ms: u64, host: &HostId, id: &UpstreamId) -> InFlight {
        self.total(now_ms, id).minus(self.from_host(host, id))
    }

    /// Sums for all upstreams.
    pub fn totals(&self, now_ms: u64) -> HashMap<UpstreamId, InFlight> {
        let mut totals: HashMap<UpstreamId, InFlight> = HashMap::new();
        for (id, (load, reported_ms)) in self.live_hosts(now_ms).flat_map(|h| &h.in_flight) {
            if !is_recent(now_ms, *reported_ms) {
                continue;
            }
            let total = totals.entry(id.clone()).or_default();
            *total = total.plus(*load);
        }
        totals
    }

    /// Sums for some upstreams; those without requests are included, since a host
    /// that once saw them loaded must learn that they are idle.
    pub fn digest<'a>(
        &self,
        now_ms: u64,
        upstreams: impl Iterator<Item = &'a UpstreamId>,
    ) -> Vec<(UpstreamId, InFlight)> {
        let totals = self.totals(now_ms);
        upstreams
            .map(|id| (id.clone(), totals.get(id).copied().unwrap_or_default()))
            .collect()
    }

    /// Requests that one host has in flight at an upstream.
    pub fn from_host(&self, host: &HostId, id: &UpstreamId) -> InFlight {
        let loads = self.hosts.get(host).and_then(|h| h.in_flight.get(id));
        loads.map(|(load, _)| *load).unwrap_or_default()
    }

    /// The same, unless it was reported too long ago.
    pub fn recent_from_host(&self, now_ms: u64, host: &HostId, id: &UpstreamId) -> InFlight {
        let loads = self.hosts.get(host).and_then(|h| h.in_flight.get(id));
        let recent = loads.filter(|(_, reported_ms)| is_recent(now_ms, *reported_ms));
        recent.map(|(load, _)| *load).unwrap_or_default()
    }

    fn live_hosts(&self, now_ms: u64) -> impl Iterator<Item = &HostLoads> {
        let is_live = move |h: &&HostLoads| is_recent(now_ms, h.reported_ms);
        self.hosts.values().filter(is_live)
    }
}

/// True unless a load would have been reported again since; the report of its end
/// may have been lost.
fn is_recent(now_ms: u64, reported_ms: u64) -> bool {
    now_ms < reported_ms + HOST_LOADS_EXPIRE_MS
}
