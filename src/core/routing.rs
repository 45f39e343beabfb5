//! Choice of the upstream for one request.
//!
//! Two candidates are drawn at random and the less loaded one is taken, so
//! that hosts with equally old reports do not all choose the same upstream.
//! A third candidate, fixed by the prompt's prefix, wins while its load stays
//! near the others', since its cache may hold the prefix. Copies in the
//! host's own availability zone go first while they are little more loaded.

use super::fleet::{Fleet, MAX_EJECTED_PERCENT, UpstreamIx};
use super::ids::ZoneId;
use super::rendezvous::{mix, weight};

/// Load above which another availability zone is considered, in per mille.
pub const SPILL_FROM_PERMILLE: u32 = 900;
/// Load by which an upstream of the own zone may exceed the least loaded one
/// elsewhere, in per mille.
pub const ZONE_SLACK_PERMILLE: u32 = 60;
/// Load by which the affinity candidate may exceed the best, in per mille.
pub const AFFINITY_SLACK_PERMILLE: u32 = 250;

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoRoute {
    /// No upstream has the model ready, or all are leaving.
    NoCopy,
    /// Every upstream that is left was tried for this request already.
    AllTried,
}

/// Seeded generator for tie-breaking (splitmix64).
#[derive(Clone, Debug)]
pub struct Rng(u64);

impl Rng {
    /// Generator with a seed.
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// Next number.
    pub fn next_u64(&mut self) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0)
    }

    /// Next number below `bound`.
    pub fn below(&mut self, bound: usize) -> usize {
        (self.next_u64() % bound.max(1) as u64) as usize
    }
}

/// One request to route.
#[derive(Clone, Copy, Debug)]
pub struct RouteInput<'a> {
    /// Availability zone of this host.
    pub zone: &'a ZoneId,
    /// Upstreams that can run the request.
    pub copies: &'a [UpstreamIx],
    /// Upstreams already tried for this request.
    pub tried: &'a [UpstreamIx],
    /// Hash of team, model and prompt prefix.
    pub prefix_hash: Option<u64>,
}

/// Chooses an upstream.
pub fn route(
    now_ms: u64,
    fleet: &Fleet,
    input: &RouteInput<'_>,
    rng: &mut Rng,
) -> Result<UpstreamIx, NoRoute> {
    let working: Vec<UpstreamIx> = input
        .copies
        .iter()
        .copied()
        .filter(|&ix| fleet.get(ix).takes_work())
        .collect();
    if working.is_empty() {
        return Err(NoRoute::NoCopy);
    }
    let mut candidates = without_ejected(now_ms, fleet, &working);
    candidates.retain(|ix| !input.tried.contains(ix));
    if candidates.is_empty() {
        candidates.extend(working.iter().filter(|ix| !input.tried.contains(ix)));
    }
    let candidates = prefer_zone(fleet, input.zone, &candidates);
    choose(fleet, &candidates, input.prefix_hash, rng).ok_or(NoRoute::AllTried)
}

fn without_ejected(now_ms: u64, fleet: &Fleet, working: &[UpstreamIx]) -> Vec<UpstreamIx> {
    let is_ejected = |ix: &UpstreamIx| fleet.get(*ix).health.is_ejected(now_ms);
    let ejected = working.iter().filter(|ix| is_ejected(ix)).count();
    if ejected * 100 > working.len() * MAX_EJECTED_PERCENT {
        return working.to_vec();
    }
    working
        .iter()
        .copied()
        .filter(|ix| !is_ejected(ix))
        .collect()
}

fn prefer_zone(fleet: &Fleet, zone: &ZoneId, candidates: &[UpstreamIx]) -> Vec<UpstreamIx> {
    let load = |ix: &UpstreamIx| fleet.get(*ix).load_permille();
    let least = candidates.iter().map(load).min().unwrap_or(0);
    let limit = SPILL_FROM_PERMILLE.min(least + ZONE_SLACK_PERMILLE);
    let is_preferred = |ix: &UpstreamIx| fleet.get(*ix).listed.zone == *zone && load(ix) < limit;
    let near: Vec<UpstreamIx> = candidates.iter().copied().filter(is_preferred).collect();
    if near.is_empty() {
        candidates.to_vec()
    } else {
        near
    }
}

fn choose(
    fleet: &Fleet,
    candidates: &[UpstreamIx],
    prefix_hash: Option<u64>,
    rng: &mut Rng,
) -> Option<UpstreamIx> {
    let load = |ix: UpstreamIx| fleet.get(ix).load_permille();
    let best = match candidates {
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
        return Some(best);
    };
    let affine = candidates
        .iter()
        .copied()
        .max_by_key(|&ix| weight(prefix_hash, ix as u64))?;
    let is_near = load(affine) <= load(best) + AFFINITY_SLACK_PERMILLE;
    Some(if is_near { affine } else { best })
}
