//! Upstream selection for one request.
//!
//! Load pattern: many hosts each receive a share of the traffic, bursts reach
//! all of them at once, and each host's view of the others' load is a few
//! tenths of a second old.
//!
//! Each candidate is scored by its predicted time to the first response plus
//! jitter, so that hosts with the same view do not all select the same
//! upstream. An upstream is not a candidate while its batch is full, or while
//! its prefill backlog exceeds the longest gap that its running streams may
//! have. The request then waits in this host's queue, where it can still be
//! reordered or rejected.
//!
//! Load pattern: one prompt in ten is several times as long as the others. An engine
//! prefills it in a few large pieces, and all streams that run there pause. It goes
//! to the copy with fewer running streams, even if it waits somewhat longer there.
//!
//! Load pattern: hundreds of hosts share a plain service whose requests end within
//! less time than reports between hosts take. If reported requests counted for as
//! long as the report is the latest one, all hosts would at once take the service
//! for full, and later all at once for empty. They count for as long as they
//! probably run; beyond that, the upstream's own refusals limit the load.
//!
//! Load pattern: an overloaded upstream refuses a request and states for how long
//! it wants none. It is no candidate until then. If all upstreams are closed, the
//! time until the first one reopens is the predicted wait, so that a request that
//! cannot wait for so long is rejected at once.
//!
//! Load pattern: engines of one service differ in speed (`core::speed`). If speeds are
//! learned, work is split by them: the batch of a fast engine counts as larger, prompts
//! are prefilled and outputs decoded at its speed, and a long output does not go where it
//! would end after its caller's deadline while another engine can end it in time.
//!
//! Load pattern: upstreams of several software versions serve, and a release replaces
//! them. A stream goes on only at the version that began it, so that it begins elsewhere
//! than at the last upstream of a version.

use super::ids::{AdapterId, ModelId, ServiceId, SoftwareVersion, UpstreamId, ZoneId};
use super::load::{Load, LoadTable, RequestSize};
use super::registry::{Entry, Registry};
use super::routing::Rng;
use super::software::VersionCounts;
use super::speed::{ServiceSpeeds, Speed};

/// Jitter added to the predicted time, in milliseconds: about the prefill time
/// of one prompt, which is the error caused by one request of another host that
/// this host has not seen yet.
const COST_JITTER_MS: u64 = 40;
/// Cost of a full batch compared with an empty one, in milliseconds; each
/// running request slows down decoding for all others.
const FULL_BATCH_COST_MS: f64 = 250.0;
/// Cost of a stream that pauses for longer than its objective allows because a long
/// prompt is prefilled beside it, in milliseconds.
const PAUSED_STREAM_COST_MS: f64 = 40.0;
/// Cost of an upstream in another availability zone, in milliseconds; covers
/// the round trip and the price of traffic between zones.
const CROSS_ZONE_COST_MS: f64 = 3.0;
/// Cost of an upstream whose responses all fail, in milliseconds.
const FAILURE_COST_MS: f64 = 800.0;
/// Cost of an upstream that states how many requests a second it takes, in
/// milliseconds; others are asked first unless they are almost full.
const LIMITED_COST_MS: f64 = 200.0;
/// Cost of the last upstream of a software version while others have several, in
/// milliseconds: a stream that begins there has nowhere to go on.
const SOLE_UPSTREAM_COST_MS: f64 = 400.0;
/// Cost of an upstream at which the response would end after the caller's deadline, in
/// milliseconds; it is selected only if no other one ends it in time.
const MISSED_DEADLINE_COST_MS: f64 = 10_000.0;
/// Slowness assumed while an upstream is slower than it usually is.
const PASSING_SLOWNESS: f64 = 2.5;
/// Share of an engine's KV cache that requests in flight may reserve; the rest
/// holds shared prompt prefixes.
const MAX_RESERVED_CACHE_SHARE: f64 = 0.92;
/// Requests in flight per slot of a plain service; the few that queue there
/// hide the round trip.
const REQUESTS_PER_SERVICE_SLOT: u32 = 2;

/// Lower bound of the dispatch interval of one upstream, in milliseconds; one
/// step of an engine takes several.
const MIN_DISPATCH_INTERVAL_MS: f64 = 1.0;

/// Model, with an adapter if the request names one.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct Weights {
    /// Model.
    pub model: ModelId,
    /// Adapter of the model.
    pub adapter: Option<AdapterId>,
}

/// Requirements of a request on its upstream.
#[derive(Clone, Debug)]
pub struct Requirements {
    /// Service.
    pub service: ServiceId,
    /// Weights; absent for plain services.
    pub weights: Option<Weights>,
    /// Size in tokens.
    pub size: RequestSize,
    /// Capacity of one engine's KV cache, in tokens.
    pub cache_tokens: u64,
    /// Longest uninterrupted prefill at one engine, in milliseconds; the
    /// streams that run there stall during it.
    pub max_prefill_ms: f64,
}

impl Requirements {
    /// Adapter, if the request names one.
    pub fn adapter(&self) -> Option<&AdapterId> {
        self.weights.as_ref().and_then(|w| w.adapter.as_ref())
    }
}

/// Reason why no upstream was selected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum NoUpstream {
    /// The service has no upstream that accepts new requests.
    NoneListed,
    /// No upstream of the software version that began the stream accepts requests.
    NoSoftware,
    /// No upstream has the model ready.
    NoModel,
    /// Upstreams have the model ready, but none has the adapter.
    NoAdapter,
    /// All eligible upstreams are full.
    Full,
    /// All eligible upstreams want no requests from this host for now.
    Closed,
    /// All eligible upstreams are failing or unresponsive.
    Failing,
    /// All eligible upstreams were tried already.
    AllTried,
}

impl NoUpstream {
    /// Label in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NoneListed => "none_listed",
            Self::NoSoftware => "no_software",
            Self::NoModel => "no_model",
            Self::NoAdapter => "no_adapter",
            Self::Full => "full",
            Self::Closed => "closed",
            Self::Failing => "failing",
            Self::AllTried => "all_tried",
        }
    }
}

/// Restricts the upstreams to which a request may still be sent.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct UpstreamFilter {
    /// Upstreams that are not eligible.
    pub excluded: Vec<UpstreamId>,
    /// If not empty, the only eligible upstreams; a request that has used up
    /// its attempts may be retried where it was refused without being executed.
    pub only: Vec<UpstreamId>,
    /// The only eligible software version, for a stream that it began.
    pub software: Option<SoftwareVersion>,
    /// Time by which a stream has to go on, in milliseconds since the epoch.
    pub go_on_by_ms: Option<u64>,
    /// True if a stream begins that may have to go on at a second upstream of the same
    /// software version.
    pub is_resumable: bool,
    /// Time by which the response has to end, in milliseconds since the epoch, if known.
    pub end_by_ms: Option<u64>,
}

impl UpstreamFilter {
    /// True if the software version of an upstream is eligible.
    pub fn allows_software(&self, entry: &Entry) -> bool {
        self.software.is_none() || self.software == entry.software
    }

    /// True if an upstream is eligible by its ID.
    pub fn allows(&self, id: &UpstreamId) -> bool {
        !self.excluded.contains(id) && (self.only.is_empty() || self.only.contains(id))
    }
}

/// Selects the upstream with the lowest predicted cost.
pub fn select_upstream(
    now_ms: u64,
    registry: &Registry,
    loads: &LoadTable,
    zone: &ZoneId,
    requirements: &Requirements,
    filter: &UpstreamFilter,
    rng: &mut Rng,
) -> Result<UpstreamId, NoUpstream> {
    let mut best: Option<(f64, &Entry)> = None;
    let mut best_failing: Option<(f64, &Entry)> = None;
    let mut reason = NoUpstream::NoneListed;
    let versions = filter
        .is_resumable
        .then(|| VersionCounts::of(now_ms, registry, &requirements.service));
    let speeds = service_speeds(now_ms, registry, loads, requirements);
    for entry in registry.of_service(&requirements.service) {
        if !registry.takes_requests(entry, now_ms) {
            continue;
        }
        let scored = predict_cost(
            now_ms,
            loads.get(entry.id.as_str()),
            entry,
            requirements,
            filter,
            speeds.as_ref(),
        );
        let (cost_ms, is_failing) = match scored {
            Ok(scored) => scored,
            Err(rejection) => {
                reason = more_specific(reason, rejection);
                continue;
            }
        };
        let sole_ms = if versions
            .as_ref()
            .is_some_and(|v| v.is_worse_than_others(entry))
        {
            SOLE_UPSTREAM_COST_MS
        } else {
            0.0
        };
        let zone_ms = if entry.zone == *zone {
            0.0
        } else {
            CROSS_ZONE_COST_MS
        };
        let jitter_ms = (rng.next_u64() % COST_JITTER_MS) as f64 * jitter_scale(requirements);
        let cost_ms = cost_ms + zone_ms + sole_ms + jitter_ms;
        let current = if is_failing {
            &mut best_failing
        } else {
            &mut best
        };
        if current.is_none_or(|(lowest_ms, _)| cost_ms < lowest_ms) {
            *current = Some((cost_ms, entry));
        }
    }
    if let Some((_, entry)) = best {
        return Ok(entry.id.clone());
    }
    // A failing upstream is tried only if no other one is merely full.
    match best_failing {
        Some((_, entry)) if reason != NoUpstream::Full => Ok(entry.id.clone()),
        Some(_) => Err(NoUpstream::Full),
        None => Err(reason),
    }
}

/// Speeds of the upstreams of a service, if they are learned.
fn service_speeds(
    now_ms: u64,
    registry: &Registry,
    loads: &LoadTable,
    requirements: &Requirements,
) -> Option<ServiceSpeeds> {
    let entries = registry.of_service(&requirements.service);
    let speeds = loads.speeds()?;
    Some(speeds.of_service(now_ms, entries.map(|e| &e.id)))
}

fn jitter_scale(requirements: &Requirements) -> f64 {
    if requirements.weights.is_some() {
        1.0
    } else {
        0.1
    }
}

/// Predicted cost in milliseconds, and whether the upstream is failing.
fn predict_cost(
    now_ms: u64,
    load: Option<&Load>,
    entry: &Entry,
    requirements: &Requirements,
    filter: &UpstreamFilter,
    speeds: Option<&ServiceSpeeds>,
) -> Result<(f64, bool), NoUpstream> {
    if !filter.allows_software(entry) {
        return Err(NoUpstream::NoSoftware);
    }
    if let Some(weights) = &requirements.weights {
        if !entry.has_ready(&weights.model, None) {
            return Err(NoUpstream::NoModel);
        }
        if !entry.has_ready(&weights.model, weights.adapter.as_ref()) {
            return Err(NoUpstream::NoAdapter);
        }
    }
    if !filter.allows(&entry.id) {
        return Err(NoUpstream::AllTried);
    }
    let unknown_load = Load::default();
    let load = match (load, speeds) {
        (Some(load), _) => load,
        (None, Some(_)) => &unknown_load,
        (None, None) => return Ok((0.0, false)),
    };
    if load.unavailable_for_ms(now_ms) > 0 {
        return Err(NoUpstream::Closed);
    }
    if refusal_backoff_ms(now_ms, load, requirements) > 0
        || !has_capacity(now_ms, load, entry, requirements)
    {
        return Err(NoUpstream::Full);
    }
    let is_failing = load.is_ejected(now_ms) || load.is_unresponsive(now_ms);
    let total = if requirements.weights.is_some() {
        load.total(now_ms)
    } else {
        load.total_still_running(now_ms)
    };
    let slots = f64::from(entry.slots.max(1));
    let fill = f64::from(total.requests) / slots;
    let cost_ms = if let Some(speeds) = speeds {
        cost_by_speed(now_ms, load, entry, requirements, filter, speeds)
    } else if requirements.weights.is_some() {
        let prefill_ms = load.predicted_prefill_ms(now_ms, requirements.size.prompt_tokens);
        prefill_ms
            + fill * fill * FULL_BATCH_COST_MS
            + pause_cost_ms(prefill_ms, total.requests, requirements.max_prefill_ms)
    } else {
        load.first_response_ms() * (1.0 + fill)
    };
    let limited_ms = if load.is_limited() {
        LIMITED_COST_MS
    } else {
        0.0
    };
    let failure_ms = load.failure_share() * FAILURE_COST_MS;
    Ok((cost_ms + failure_ms + limited_ms, is_failing))
}

/// Predicted cost at the speed of an upstream.
fn cost_by_speed(
    now_ms: u64,
    load: &Load,
    entry: &Entry,
    requirements: &Requirements,
    filter: &UpstreamFilter,
    speeds: &ServiceSpeeds,
) -> f64 {
    let Speed {
        factor,
        is_passing_slow,
    } = speeds.get(&entry.id);
    let slowness = if is_passing_slow {
        PASSING_SLOWNESS / factor
    } else {
        1.0 / factor
    };
    let slots = f64::from(entry.slots.max(1));
    if requirements.weights.is_none() {
        let fill = f64::from(load.total_still_running(now_ms).requests) / slots;
        return load.first_response_ms() * (1.0 + fill * slowness);
    }
    let total = load.total(now_ms);
    let size = requirements.size;
    let prefill_ms = speeds.usual_prefill_us().map_or_else(
        || load.predicted_prefill_ms(now_ms, size.prompt_tokens),
        |us| f64::from(total.unread_tokens + size.prompt_tokens) * us * slowness / 1_000.0,
    );
    // The lasting speed alone decides on the whole output.
    let decode_ms = speeds
        .usual_decode_us(total.requests + 1)
        .map_or(0.0, |us| {
            f64::from(size.output_tokens) * us / factor / 1_000.0
        });
    let ends_ms = now_ms as f64 + prefill_ms + decode_ms;
    let is_missed = filter.end_by_ms.is_some_and(|by_ms| ends_ms > by_ms as f64);
    let missed_ms = if is_missed {
        MISSED_DEADLINE_COST_MS
    } else {
        0.0
    };
    let fill = f64::from(total.requests) / slots * slowness;
    prefill_ms
        + fill * fill * FULL_BATCH_COST_MS
        + pause_cost_ms(prefill_ms, total.requests, requirements.max_prefill_ms)
        + missed_ms
}

/// Cost of the pause that the prefill causes in the streams that run there: none
/// while it is shorter than the longest gap that they may have.
fn pause_cost_ms(prefill_ms: f64, running: u32, max_prefill_ms: f64) -> f64 {
    let excess = (prefill_ms / max_prefill_ms - 1.0).clamp(0.0, 1.0);
    excess * f64::from(running) * PAUSED_STREAM_COST_MS
}

fn refusal_backoff_ms(now_ms: u64, load: &Load, requirements: &Requirements) -> u64 {
    let weights = requirements.weights.as_ref();
    weights.map_or(0, |w| load.refusal_backoff_ms(now_ms, w))
}

fn has_capacity(now_ms: u64, load: &Load, entry: &Entry, requirements: &Requirements) -> bool {
    if requirements.weights.is_none() {
        if let Some(places) = load.places() {
            return places.limit.is_none_or(|limit| load.local.requests < limit);
        }
        let total = load.total_still_running(now_ms);
        return total.requests < entry.slots * REQUESTS_PER_SERVICE_SLOT;
    }
    let total = load.total(now_ms);
    if total.requests >= entry.slots {
        return false;
    }
    if total.unread_tokens > 0 {
        let prefill_ms = load.predicted_prefill_ms(now_ms, requirements.size.prompt_tokens);
        if prefill_ms > requirements.max_prefill_ms {
            return false;
        }
    }
    let reserved_tokens =
        total.tokens + requirements.size.prompt_tokens + requirements.size.output_tokens;
    let limit = requirements.cache_tokens as f64 * MAX_RESERVED_CACHE_SHARE;
    total.requests == 0 || f64::from(reserved_tokens) <= limit
}

/// True if an upstream has room for a request that is counted in its load and not
/// yet sent.
pub fn has_room_for_counted(
    now_ms: u64,
    load: &Load,
    entry: &Entry,
    requirements: &Requirements,
) -> bool {
    has_capacity(
        now_ms,
        &load.without(requirements.size),
        entry,
        requirements,
    )
}

/// Forecast of when full upstreams have capacity again.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CapacityForecast {
    /// Time until the first of them can accept the request, in milliseconds.
    pub available_in_ms: f64,
    /// Mean interval at which all copies together can accept requests of this
    /// size from all hosts, in milliseconds.
    pub dispatch_interval_ms: f64,
}

/// Forecasts when capacity for a request becomes available; `None` if no
/// healthy upstream is eligible.
pub fn forecast_capacity(
    now_ms: u64,
    registry: &Registry,
    loads: &LoadTable,
    requirements: &Requirements,
    filter: &UpstreamFilter,
) -> Option<CapacityForecast> {
    let unknown_load = Load::default();
    let mut available_in_ms = f64::MAX;
    let mut dispatches_per_ms = 0.0;
    for entry in registry.of_service(&requirements.service) {
        let weights = requirements.weights.as_ref();
        let has_weights = weights.is_none_or(|w| entry.has_ready(&w.model, w.adapter.as_ref()));
        let is_eligible = filter.allows(&entry.id) && filter.allows_software(entry);
        if !registry.takes_requests(entry, now_ms) || !has_weights || !is_eligible {
            continue;
        }
        let load = loads.get(entry.id.as_str()).unwrap_or(&unknown_load);
        if load.is_ejected(now_ms) || load.is_unresponsive(now_ms) {
            continue;
        }
        available_in_ms = available_in_ms.min(capacity_wait_ms(now_ms, load, entry, requirements));
        dispatches_per_ms += 1.0 / dispatch_interval_ms(load, entry, requirements);
    }
    (dispatches_per_ms > 0.0).then(|| CapacityForecast {
        available_in_ms,
        dispatch_interval_ms: 1.0 / dispatches_per_ms,
    })
}

/// Time until one upstream can accept the request.
fn capacity_wait_ms(now_ms: u64, load: &Load, entry: &Entry, requirements: &Requirements) -> f64 {
    let unavailable_for_ms = load.unavailable_for_ms(now_ms);
    if unavailable_for_ms > 0 {
        return unavailable_for_ms as f64;
    }
    if has_capacity(now_ms, load, entry, requirements) {
        return refusal_backoff_ms(now_ms, load, requirements) as f64;
    }
    if let Some(places) = load.places().filter(|_| requirements.weights.is_none()) {
        // The most urgent waiting request of all hosts takes the next place.
        let place_interval_ms = load.completion_ms() / f64::from(entry.slots.max(1));
        return f64::from(places.ahead + 1) * place_interval_ms;
    }
    let total = load.total(now_ms);
    let prefill_ms = load.predicted_prefill_ms(now_ms, requirements.size.prompt_tokens);
    let is_prefilling = requirements.weights.is_some() && total.unread_tokens > 0;
    let until_prefilled_ms = if is_prefilling {
        (prefill_ms - requirements.max_prefill_ms).clamp(0.0, load.prefill_ms(total.unread_tokens))
    } else {
        0.0
    };
    // Without a free batch slot or free KV cache, one of the running requests
    // must finish first.
    let until_finished_ms = if total.requests >= entry.slots || until_prefilled_ms == 0.0 {
        load.completion_ms() / f64::from(total.requests.max(1))
    } else {
        0.0
    };
    until_prefilled_ms.max(until_finished_ms)
}

/// Mean interval at which one upstream can accept requests of this size.
fn dispatch_interval_ms(load: &Load, entry: &Entry, requirements: &Requirements) -> f64 {
    let dispatch_interval_ms = if requirements.weights.is_some() {
        load.prefill_ms(requirements.size.prompt_tokens)
    } else {
        load.first_response_ms() / f64::from(entry.slots.max(1))
    };
    dispatch_interval_ms.max(MIN_DISPATCH_INTERVAL_MS)
}

/// Returns the more specific of two reasons.
fn more_specific(a: NoUpstream, b: NoUpstream) -> NoUpstream {
    let rank = |reason| match reason {
        NoUpstream::NoneListed => 0,
        NoUpstream::NoSoftware => 1,
        NoUpstream::NoModel => 2,
        NoUpstream::NoAdapter => 3,
        NoUpstream::AllTried => 4,
        NoUpstream::Closed => 5,
        NoUpstream::Failing => 6,
        NoUpstream::Full => 7,
    };
    if rank(a) >= rank(b) { a } else { b }
}
