//! Selection of another host for a request that this host cannot send to an upstream.
//!
//! Fault: some hosts, or most of an availability zone, reach no upstream. Whoever looks for
//! a host that does would ask its neighbours, which are in the same situation, for each
//! request. A host learns by asking which ones do not accept requests, and leaves them out
//! for a while. If that is their links' fault, others of their zones are asked only after
//! hosts that have accepted requests before.
//!
//! Load pattern: the requests of all callers of a zone move to the hosts of others. Two
//! random hosts are compared by the requests that they have from this one.

use std::collections::HashMap;

use super::ids::HostId;
use super::routing::Rng;

/// Hosts that one request is sent to at most.
pub const MAX_HOSTS: usize = 3;
/// Requests in flight at other hosts.
pub const MAX_SENT: u32 = 256;
/// Requests in flight that other hosts have sent here.
pub const MAX_RECEIVED: u32 = 128;
/// Time for which a host that reaches no upstream, or is not reached, is left out, in
/// milliseconds.
const CUT_OFF_PAUSE_MS: u64 = 1_000;
/// Time for which a host that has too many requests is left out, in milliseconds.
const BUSY_PAUSE_MS: u64 = 100;
/// Time for which a host that has accepted a request is expected to accept others, in
/// milliseconds.
const ACCEPTING_MS: u64 = 5_000;
/// Time for which a host that stops or lacks the configuration is left out, in
/// milliseconds.
const UNREADY_PAUSE_MS: u64 = 500;

/// Why a host did not accept a request, which it has certainly not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NotAccepted {
    /// It has too many requests of other hosts.
    Busy,
    /// It reaches no upstream.
    CutOff,
    /// Its configuration is older than the sender's, or it has none.
    NotConfigured,
    /// It is stopping.
    Stopping,
    /// It cannot be reached.
    Unreachable,
}

impl NotAccepted {
    const ALL: [Self; 5] = [
        Self::Busy,
        Self::CutOff,
        Self::NotConfigured,
        Self::Stopping,
        Self::Unreachable,
    ];

    /// Name in headers and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::CutOff => "cut_off",
            Self::NotConfigured => "not_configured",
            Self::Stopping => "stopping",
            Self::Unreachable => "unreachable",
        }
    }

    /// Reason with a name; an unknown one is taken for a host that is busy.
    pub fn parse(name: &str) -> Self {
        let known = Self::ALL.into_iter().find(|r| r.as_str() == name);
        known.unwrap_or(Self::Busy)
    }

    fn pause_ms(self) -> u64 {
        match self {
            Self::Busy => BUSY_PAUSE_MS,
            Self::CutOff | Self::Unreachable => CUT_OFF_PAUSE_MS,
            Self::NotConfigured | Self::Stopping => UNREADY_PAUSE_MS,
        }
    }

    fn concerns_zone(self) -> bool {
        matches!(self, Self::CutOff | Self::Unreachable)
    }
}

/// Host that may accept a request.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// ID.
    pub host: HostId,
    /// Availability zone, if known.
    pub zone: Option<String>,
}

/// What one host knows of the others.
#[derive(Clone, Debug, Default)]
pub struct PeerSelector {
    in_flight: HashMap<HostId, u32>,
    /// Time until which a host is left out.
    paused_hosts: HashMap<HostId, u64>,
    /// Time until which hosts of a zone are asked last.
    paused_zones: HashMap<String, u64>,
    /// Time until which a host is expected to accept requests.
    accepting_hosts: HashMap<HostId, u64>,
}

impl PeerSelector {
    /// Selects a host for a request that `tried` have not accepted.
    pub fn select<'a>(
        &self,
        now_ms: u64,
        own_zone: &str,
        candidates: &'a [Candidate],
        tried: &[HostId],
        rng: &mut Rng,
    ) -> Option<&'a Candidate> {
        if self.in_flight.values().sum::<u32>() >= MAX_SENT {
            return None;
        }
        let is_before = |until: Option<&u64>| until.is_some_and(|at| now_ms < *at);
        let is_eligible =
            |c: &&Candidate| !tried.contains(&c.host) && !is_before(self.paused_hosts.get(&c.host));
        let rank = |c: &Candidate| {
            let zone = c.zone.as_deref().unwrap_or_default();
            let is_zone_paused = is_before(self.paused_zones.get(zone));
            let is_accepting = is_before(self.accepting_hosts.get(&c.host));
            let is_first = tried.is_empty();
            match (is_zone_paused, is_accepting) {
                (false, _) if is_first && zone == own_zone => 0,
                (_, true) => 1,
                // Spreads the requests further than those that have accepted some.
                (false, false) if is_first => 1,
                (false, false) => 2,
                (true, false) => 3,
            }
        };
        let eligible: Vec<&Candidate> = candidates.iter().filter(is_eligible).collect();
        let best_rank = eligible.iter().map(|c| rank(c)).min()?;
        let best: Vec<&Candidate> = eligible
            .into_iter()
            .filter(|c| rank(c) == best_rank)
            .collect();
        let drawn = [best[rng.below(best.len())], best[rng.below(best.len())]];
        drawn
            .into_iter()
            .min_by_key(|c| self.in_flight.get(&c.host).copied().unwrap_or(0))
    }

    /// Counts a request that is being sent to a host.
    pub fn on_sent(&mut self, host: &HostId) {
        *self.in_flight.entry(host.clone()).or_default() += 1;
    }

    /// Counts the end of a request.
    pub fn on_end(&mut self, host: &HostId) {
        if let Some(count) = self.in_flight.get_mut(host) {
            *count -= 1;
            if *count == 0 {
                self.in_flight.remove(host);
            }
        }
    }

    /// Records that a host has accepted a request.
    pub fn on_accepted(&mut self, now_ms: u64, from: &Candidate) {
        self.accepting_hosts
            .retain(|_, until_ms| now_ms < *until_ms);
        self.accepting_hosts
            .insert(from.host.clone(), now_ms + ACCEPTING_MS);
        self.paused_hosts.remove(&from.host);
        if let Some(zone) = &from.zone {
            self.paused_zones.remove(zone);
        }
    }

    /// Records that a host has not accepted a request.
    pub fn on_not_accepted(&mut self, now_ms: u64, from: &Candidate, reason: NotAccepted) {
        self.paused_hosts.retain(|_, until_ms| now_ms < *until_ms);
        let until_ms = now_ms + reason.pause_ms();
        self.paused_hosts.insert(from.host.clone(), until_ms);
        self.accepting_hosts.remove(&from.host);
        if let Some(zone) = from.zone.as_ref().filter(|_| reason.concerns_zone()) {
            self.paused_zones.insert(zone.clone(), until_ms);
        }
    }
}
