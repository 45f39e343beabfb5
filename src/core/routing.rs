//! Selection of the upstream for one request.
//!
//! Load pattern: hosts route by equally old load reports and would all choose
//! the upstream that appears least loaded. Two candidates are therefore
//! sampled at random, and the less loaded one is chosen. A third candidate,
//! determined by the prompt prefix, is chosen instead while its load is close
//! to theirs, since its KV cache may hold the prefix. Upstreams in the host's
//! own availability zone are preferred while they are only a little more
//! loaded.

use super::fleet::{Fleet, MAX_EJECTED_PERCENT, UpstreamIndex};
use super::ids::ZoneId;
use super::rendezvous::{mix, weight};

/// Load from which other availability zones are considered, in per mille.
pub const ZONE_SPILLOVER_PERMILLE: u32 = 900;
/// Load by which an upstream in the own zone may exceed the least loaded
/// candidate, in per mille.
pub const ZONE_SLACK_PERMILLE: u32 = 60;
/// Load by which the candidate for the prompt prefix may exceed the sampled
/// one, in per mille.
pub const AFFINITY_SLACK_PERMILLE: u32 = 250;

/// Reason why no upstream was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoRoute {
    /// No upstream that accepts new work has the model ready.
    NoCopy,
    /// Every available upstream was already tried for this request.
    AllTried,
}

/// Seeded random number generator (splitmix64).
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    /// Generator with the given seed.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Next random number.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0)
    }

    /// Next random number below `bound`.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.next_u64() % bound.max(1) as u64) as usize
    }
}

/// Request to route.
#[derive(Clone, Copy, Debug)]
pub struct RouteInput<'a> {
    /// Availability zone of this host.
    pub zone: &'a ZoneId,
    /// Upstreams that can serve the request.
    pub copies: &'a [UpstreamIndex],
    /// Upstreams already tried for this request.
    pub tried: &'a [UpstreamIndex],
    /// Hash of the team, the model and the prompt prefix.
    pub prefix_hash: Option<u64>,
}

/// Chooses an upstream for a request.
pub fn route(
    now_ms: u64,
    fleet: &Fleet,
    input: &RouteInput<'_>,
    rng: &mut Rng,
) -> Result<UpstreamIndex, NoRoute> {
    let available: Vec<UpstreamIndex> = input
        .copies
        .iter()
        .copied()
        .filter(|&ix| fleet.get(ix).is_accepting_work())
        .collect();
    if available.is_empty() {
        return Err(NoRoute::NoCopy);
    }
    let mut candidates = exclude_ejected(now_ms, fleet, &available);
    candidates.retain(|ix| !input.tried.contains(ix));
    if candidates.is_empty() {
        candidates.extend(available.iter().filter(|ix| !input.tried.contains(ix)));
    }
    let candidates = prefer_zone(fleet, input.zone, &candidates);
    choose_candidate(fleet, &candidates, input.prefix_hash, rng).ok_or(NoRoute::AllTried)
}

fn exclude_ejected(now_ms: u64, fleet: &Fleet, available: &[UpstreamIndex]) -> Vec<UpstreamIndex> {
    let is_ejected = |ix: &UpstreamIndex| fleet.get(*ix).health.is_ejected(now_ms);
    let ejected = available.iter().filter(|ix| is_ejected(ix)).count();
    if ejected * 100 > available.len() * MAX_EJECTED_PERCENT {
        return available.to_vec();
    }
    available
        .iter()
        .copied()
        .filter(|ix| !is_ejected(ix))
        .collect()
}

fn prefer_zone(fleet: &Fleet, zone: &ZoneId, candidates: &[UpstreamIndex]) -> Vec<UpstreamIndex> {
    let load = |ix: &UpstreamIndex| fleet.get(*ix).load_permille();
    let min_load_permille = candidates.iter().map(load).min().unwrap_or(0);
    let max_load_permille = ZONE_SPILLOVER_PERMILLE.min(min_load_permille + ZONE_SLACK_PERMILLE);
    let is_preferred =
        |ix: &UpstreamIndex| fleet.get(*ix).listed.zone == *zone && load(ix) < max_load_permille;
    let preferred: Vec<UpstreamIndex> = candidates.iter().copied().filter(is_preferred).collect();
    if preferred.is_empty() {
        candidates.to_vec()
    } else {
        preferred
    }
}

fn choose_candidate(
    fleet: &Fleet,
    candidates: &[UpstreamIndex],
    prefix_hash: Option<u64>,
    rng: &mut Rng,
) -> Option<UpstreamIndex> {
    let load = |ix: UpstreamIndex| fleet.get(ix).load_permille();
    let sampled = match candidates {
        [] => return None,
        [only] => return Some(*only),
        _ => {
            let i = rng.below(candidates.len());
            let j = (i + 1 + rng.below(candidates.len() - 1)) % candidates.len();
            let (a, b) = (candidates[i], candidates[j]);
            if load(a) <= load(b) { a } else { b }
        }
    };
    let Some(prefix_hash) = prefix_hash else {
        return Some(sampled);
    };
    let prefix_candidate = candidates
        .iter()
        .copied()
        .max_by_key(|&ix| weight(prefix_hash, ix as u64))?;
    let is_within_slack = load(prefix_candidate) <= load(sampled) + AFFINITY_SLACK_PERMILLE;
    Some(if is_within_slack {
        prefix_candidate
    } else {
        sampled
    })
}
