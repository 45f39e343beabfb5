//! Choice of the upstream for one request.
//!
//! Answers the load pattern of many hosts that each see a share of the
//! traffic: bursts arrive at all of them at once, and what they know of each
//! other is a few tenths of a second old. Candidates are compared by the time
//! until they are likely to answer, with some noise, so that hosts with the
//! same knowledge do not all choose the same one. An upstream whose batch is
//! full, or that has prompts to read for as long as its streams may pause, is
//! no candidate; the request waits at the host instead, where it can be
//! reordered or refused.

use super::ids::{AdapterId, ModelId, ServiceId, UpstreamId, ZoneId};
use super::load::{Demand, Load, LoadBook};
use super::registry::{Entry, Registry};
use super::routing::Rng;

/// Noise added to the predicted time, in milliseconds: about the time to read
/// one prompt, which is what one unknown request of another host adds.
const NOISE_MS: u64 = 40;
/// Time that a full batch adds against an empty one, in milliseconds; each
/// running request slows the tokens of all others.
const FULL_BATCH_MS: f64 = 250.0;
/// Time added for another availability zone, in milliseconds; the round trip
/// and the price of traffic between zones.
const OTHER_ZONE_MS: f64 = 3.0;
/// Time added for an upstream whose answers all fail, in milliseconds.
const FAILING_MS: f64 = 800.0;
/// Share of an engine's cache that requests in flight may claim; the rest
/// holds prompts that are shared.
const CACHE_SHARE: f64 = 0.92;
/// Requests in flight at a plain service for each of its slots; a few wait
/// there, which hides the round trip.
const SERVICE_SLOT_FACTOR: u32 = 2;

/// Shortest time for which a request is taken to occupy an upstream, in
/// milliseconds; one step of an engine takes several.
const LEAST_TURN_MS: f64 = 1.0;

/// Model, and adapter if one is named.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Weights {
    /// Model.
    pub model: ModelId,
    /// Adapter of the model.
    pub adapter: Option<AdapterId>,
}

/// What a request needs of an upstream.
#[derive(Clone, Debug)]
pub struct Need {
    /// Service.
    pub service: ServiceId,
    /// Weights; absent for plain services.
    pub weights: Option<Weights>,
    /// Size.
    pub demand: Demand,
    /// Tokens that one engine's cache holds.
    pub cache_tokens: u64,
    /// Longest time for which prompts may be read at one engine at a stretch,
    /// in milliseconds; the streams that run there pause meanwhile.
    pub max_read_ms: f64,
}

impl Need {
    /// Adapter that it needs, if it names one.
    pub fn adapter(&self) -> Option<&AdapterId> {
        self.weights.as_ref().and_then(|w| w.adapter.as_ref())
    }
}

/// Why no upstream was chosen.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoUpstream {
    /// The service has no upstream that takes new work.
    NoneListed,
    /// No upstream has the model ready.
    NoModel,
    /// Upstreams have the model, but none the adapter.
    NoAdapter,
    /// All that could serve it are full.
    Full,
    /// All that could serve it fail or are silent.
    Failing,
    /// All that could serve it were tried already.
    AllTried,
}

impl NoUpstream {
    /// Short name for logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoneListed => "none_listed",
            Self::NoModel => "no_model",
            Self::NoAdapter => "no_adapter",
            Self::Full => "full",
            Self::Failing => "failing",
            Self::AllTried => "all_tried",
        }
    }
}

/// Upstreams that a request may still be sent to.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Allowed {
    /// Not to these.
    pub excluded: Vec<UpstreamId>,
    /// To no others than these, if any are named; a request that has used up
    /// its attempts may go back to where it was refused.
    pub only: Vec<UpstreamId>,
}

impl Allowed {
    fn allows(&self, id: &UpstreamId) -> bool {
        !self.excluded.contains(id) && (self.only.is_empty() || self.only.contains(id))
    }
}

/// Chooses an upstream.
pub fn choose(
    now_ms: u64,
    registry: &Registry,
    loads: &LoadBook,
    zone: &ZoneId,
    need: &Need,
    allowed: &Allowed,
    rng: &mut Rng,
) -> Result<UpstreamId, NoUpstream> {
    let mut best: Option<(f64, &Entry)> = None;
    let mut best_failing: Option<(f64, &Entry)> = None;
    let mut reason = NoUpstream::NoneListed;
    for entry in registry.of_service(&need.service) {
        if entry.is_draining {
            continue;
        }
        let found = fitness(now_ms, loads.get(entry.id.as_str()), entry, need, allowed);
        let (cost_ms, is_failing) = match found {
            Ok(found) => found,
            Err(why) => {
                reason = more_telling(reason, why);
                continue;
            }
        };
        let zone_ms = if entry.zone == *zone {
            0.0
        } else {
            OTHER_ZONE_MS
        };
        let noise_ms = (rng.next_u64() % NOISE_MS) as f64 * noise_scale(need);
        let cost_ms = cost_ms + zone_ms + noise_ms;
        let slot = if is_failing {
            &mut best_failing
        } else {
            &mut best
        };
        if slot.is_none_or(|(least_ms, _)| cost_ms < least_ms) {
            *slot = Some((cost_ms, entry));
        }
    }
    if let Some((_, entry)) = best {
        return Ok(entry.id.clone());
    }
    // With nothing better known to be full, failing ones are given a try.
    match best_failing {
        Some((_, entry)) if reason != NoUpstream::Full => Ok(entry.id.clone()),
        Some(_) => Err(NoUpstream::Full),
        None => Err(reason),
    }
}

fn noise_scale(need: &Need) -> f64 {
    if need.weights.is_some() { 1.0 } else { 0.1 }
}

/// Predicted time to the answer, and whether the upstream seems to fail.
fn fitness(
    now_ms: u64,
    load: Option<&Load>,
    entry: &Entry,
    need: &Need,
    allowed: &Allowed,
) -> Result<(f64, bool), NoUpstream> {
    if let Some(weights) = &need.weights {
        if !entry.has(&weights.model, None) {
            return Err(NoUpstream::NoModel);
        }
        if !entry.has(&weights.model, weights.adapter.as_ref()) {
            return Err(NoUpstream::NoAdapter);
        }
    }
    if !allowed.allows(&entry.id) {
        return Err(NoUpstream::AllTried);
    }
    let Some(load) = load else {
        return Ok((0.0, false));
    };
    if refused_for_ms(now_ms, load, need) > 0 || !has_room(now_ms, load, entry, need) {
        return Err(NoUpstream::Full);
    }
    let is_failing = load.is_ejected(now_ms) || load.is_silent(now_ms);
    let total = load.total(now_ms);
    let slots = f64::from(entry.slots.max(1));
    let fill = f64::from(total.requests) / slots;
    let cost_ms = if need.weights.is_some() {
        load.predicted_read_ms(now_ms, need.demand.prompt_tokens) + fill * fill * FULL_BATCH_MS
    } else {
        load.first_answer_ms() * (1.0 + fill)
    };
    Ok((cost_ms + load.failure_share() * FAILING_MS, is_failing))
}

fn refused_for_ms(now_ms: u64, load: &Load, need: &Need) -> u64 {
    let weights = need.weights.as_ref();
    weights.map_or(0, |w| load.refused_for_ms(now_ms, w))
}

fn has_room(now_ms: u64, load: &Load, entry: &Entry, need: &Need) -> bool {
    let total = load.total(now_ms);
    if need.weights.is_none() {
        return total.requests < entry.slots * SERVICE_SLOT_FACTOR;
    }
    if total.requests >= entry.slots {
        return false;
    }
    if total.unread_tokens > 0 {
        let read_ms = load.predicted_read_ms(now_ms, need.demand.prompt_tokens);
        if read_ms > need.max_read_ms {
            return false;
        }
    }
    let claimed = total.tokens + need.demand.prompt_tokens + need.demand.output_tokens;
    let limit = need.cache_tokens as f64 * CACHE_SHARE;
    total.requests == 0 || f64::from(claimed) <= limit
}

/// When upstreams that are full have room again.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Room {
    /// Time until the first of them has room for the request, in milliseconds.
    pub first_ms: f64,
    /// Time for which a request like this one takes up all copies together, in
    /// milliseconds; those that wait leave at this interval over all hosts.
    pub turn_ms: f64,
}

/// Predicts when a request finds room; `None` if no upstream that works could
/// serve it.
pub fn next_room(
    now_ms: u64,
    registry: &Registry,
    loads: &LoadBook,
    need: &Need,
    allowed: &Allowed,
) -> Option<Room> {
    let fresh = Load::default();
    let mut first_ms = f64::MAX;
    let mut turns_per_ms = 0.0;
    for entry in registry.of_service(&need.service) {
        let weights = need.weights.as_ref();
        let has_weights = weights.is_none_or(|w| entry.has(&w.model, w.adapter.as_ref()));
        if entry.is_draining || !has_weights || !allowed.allows(&entry.id) {
            continue;
        }
        let load = loads.get(entry.id.as_str()).unwrap_or(&fresh);
        if load.is_ejected(now_ms) || load.is_silent(now_ms) {
            continue;
        }
        first_ms = first_ms.min(room_ms(now_ms, load, entry, need));
        turns_per_ms += 1.0 / turn_ms(load, entry, need);
    }
    (turns_per_ms > 0.0).then(|| Room {
        first_ms,
        turn_ms: 1.0 / turns_per_ms,
    })
}

/// Time until one upstream has room.
fn room_ms(now_ms: u64, load: &Load, entry: &Entry, need: &Need) -> f64 {
    if has_room(now_ms, load, entry, need) {
        return refused_for_ms(now_ms, load, need) as f64;
    }
    let total = load.total(now_ms);
    let read_ms = load.predicted_read_ms(now_ms, need.demand.prompt_tokens);
    let is_reading = need.weights.is_some() && total.unread_tokens > 0;
    let until_read_ms = if is_reading {
        (read_ms - need.max_read_ms).clamp(0.0, load.read_ms(total.unread_tokens))
    } else {
        0.0
    };
    // Without a place in the batch or the cache, one of its requests must end.
    let until_end_ms = if total.requests >= entry.slots || until_read_ms == 0.0 {
        load.answer_ms() / f64::from(total.requests.max(1))
    } else {
        0.0
    };
    until_read_ms.max(until_end_ms)
}

/// Time for which a request takes up one upstream.
fn turn_ms(load: &Load, entry: &Entry, need: &Need) -> f64 {
    let turn_ms = if need.weights.is_some() {
        load.read_ms(need.demand.prompt_tokens)
    } else {
        load.first_answer_ms() / f64::from(entry.slots.max(1))
    };
    turn_ms.max(LEAST_TURN_MS)
}

/// The reason that says most of why nothing was chosen.
fn more_telling(a: NoUpstream, b: NoUpstream) -> NoUpstream {
    let rank = |reason| match reason {
        NoUpstream::NoneListed => 0,
        NoUpstream::NoModel => 1,
        NoUpstream::NoAdapter => 2,
        NoUpstream::AllTried => 3,
        NoUpstream::Failing => 4,
        NoUpstream::Full => 5,
    };
    if rank(a) >= rank(b) { a } else { b }
}
