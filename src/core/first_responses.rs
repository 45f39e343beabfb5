//! Distribution of the times to the first response, as measured by one host.
//!
//! Load pattern: how long an upstream takes to its response head or first event depends on
//! the prompt and on what else it runs, and changes over the day. A time that is late for
//! a short request at an idle upstream is normal for a long one at a busy upstream.
//!
//! Each class of requests (service, size, load of the upstream) has a histogram of the
//! last one or two minutes. A class with too few samples for a quantile falls back to the
//! class of the same size at any load.

use std::collections::HashMap;

use hdrhistogram::Histogram;

use super::ids::ServiceId;

/// Longest time that is told from longer ones, in milliseconds.
const MAX_MS: u64 = 60_000;
/// Significant decimal digits of the histograms; an error of 1 % is below the jitter of
/// any upstream.
const DIGITS: u8 = 2;
/// Time after which the older samples are dropped, in milliseconds. A host of a large
/// fleet with a few requests a second collects some hundred samples within it.
const WINDOW_MS: u64 = 60_000;
/// Number of samples after which the older ones are dropped sooner, so that a busy host
/// follows changes within seconds.
const MAX_WINDOW_SAMPLES: u64 = 2_000;
/// Samples beyond a quantile that are needed to state it.
const MIN_SAMPLES_BEYOND: f64 = 5.0;
/// Limit on the classes, each of which takes about 5 KB.
const MAX_CLASSES: usize = 256;
/// Levels of load that are distinguished: quarters of the slots, and more requests than
/// slots.
const FULL_LEVEL: u8 = 4;

/// Requests whose times to the first response are comparable.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct ResponseClass {
    service: ServiceId,
    /// Prompt size as a power of two.
    size: u8,
    /// Level of load; none for all levels together.
    load: Option<u8>,
}

impl ResponseClass {
    /// Class of a request that is sent to an upstream with some requests in flight.
    pub fn of(service: &ServiceId, prompt_tokens: u32, in_flight: u32, slots: u32) -> Self {
        let quarters = u64::from(in_flight) * 4 / u64::from(slots.max(1));
        Self {
            service: service.clone(),
            size: prompt_tokens.checked_ilog2().map_or(0, |log| log as u8),
            load: Some(quarters.min(u64::from(FULL_LEVEL)) as u8),
        }
    }

    fn at_any_load(&self) -> Self {
        Self {
            load: None,
            ..self.clone()
        }
    }
}

/// Samples since a time.
#[derive(Clone, Debug)]
struct Window {
    times_ms: Histogram<u16>,
    since_ms: u64,
}

impl Window {
    fn new(now_ms: u64) -> Option<Self> {
        // The bounds are valid.
        let times_ms = Histogram::new_with_bounds(1, MAX_MS, DIGITS).ok()?;
        Some(Self {
            times_ms,
            since_ms: now_ms,
        })
    }

    fn is_complete(&self, now_ms: u64) -> bool {
        now_ms >= self.since_ms + WINDOW_MS || self.times_ms.len() >= MAX_WINDOW_SAMPLES
    }
}

/// Two overlapping windows: every sample is counted in both, and the newer one takes the
/// place of the older one once it is complete.
#[derive(Clone, Debug)]
struct RecentTimes {
    older: Window,
    newer: Window,
}

impl RecentTimes {
    fn new(now_ms: u64) -> Option<Self> {
        Some(Self {
            older: Window::new(now_ms)?,
            newer: Window::new(now_ms)?,
        })
    }

    fn record(&mut self, now_ms: u64, took_ms: u64) {
        if self.newer.is_complete(now_ms) {
            std::mem::swap(&mut self.older, &mut self.newer);
            self.newer.times_ms.reset();
            self.newer.since_ms = now_ms;
        }
        let took_ms = took_ms.clamp(1, MAX_MS);
        self.older.times_ms.saturating_record(took_ms);
        self.newer.times_ms.saturating_record(took_ms);
    }

    fn is_outdated(&self, now_ms: u64) -> bool {
        now_ms >= self.newer.since_ms + 2 * WINDOW_MS
    }
}

/// Times to the first response, by class.
#[derive(Clone, Debug, Default)]
pub struct FirstResponses {
    classes: HashMap<ResponseClass, RecentTimes>,
}

impl FirstResponses {
    /// Counts the time that a request took.
    pub fn record(&mut self, now_ms: u64, class: &ResponseClass, took_ms: u64) {
        self.record_in(now_ms, class.at_any_load(), took_ms);
        self.record_in(now_ms, class.clone(), took_ms);
    }

    fn record_in(&mut self, now_ms: u64, class: ResponseClass, took_ms: u64) {
        if let Some(times) = self.classes.get_mut(&class) {
            return times.record(now_ms, took_ms);
        }
        if self.classes.len() >= MAX_CLASSES {
            self.classes.retain(|_, times| !times.is_outdated(now_ms));
        }
        if self.classes.len() < MAX_CLASSES
            && let Some(mut times) = RecentTimes::new(now_ms)
        {
            times.record(now_ms, took_ms);
            self.classes.insert(class, times);
        }
    }

    /// Time within which a share of the requests of a class have had their first response;
    /// `None` if there are too few samples to tell.
    pub fn quantile_ms(&self, now_ms: u64, class: &ResponseClass, share: f64) -> Option<u64> {
        let of_class = |class: &ResponseClass| {
            let times = self.classes.get(class)?;
            let samples = &times.older.times_ms;
            let beyond = samples.len() as f64 * (1.0 - share);
            let is_known = beyond >= MIN_SAMPLES_BEYOND && !times.is_outdated(now_ms);
            is_known.then(|| samples.value_at_quantile(share))
        };
        of_class(class).or_else(|| of_class(&class.at_any_load()))
    }
}
