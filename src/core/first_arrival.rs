//! First arrival of a caller that returns after a refusal.
//!
//! Load pattern: in an overload of some seconds, as many callers return after a refusal as
//! arrive anew. A retry bears a new identifier, so that it looks like any other request; but
//! its caller states less time than callers of its route state at first.
//!
//! The times that callers of a route state are counted. Times that many callers state are
//! those of first attempts, since retries come after delays that differ from one another. A
//! request that states less than the next longer one of these, by more than the shortest
//! retry delay allows for, was first sent that much earlier.

use std::collections::HashMap;

use super::rate::DecayingRate;
use super::waiting::MIN_RETRY_AFTER_MS;

/// Time constant of the counts, in milliseconds: some hundreds of requests of a route at a
/// host that receives a few each second.
const COUNT_TIME_CONSTANT_MS: f64 = 60_000.0;
/// Resolution of stated times, in milliseconds; covers the time between the statement and
/// the sending of a request.
const RESOLUTION_MS: u64 = 25;
/// Difference from a common stated time above which a request is a retry, in milliseconds;
/// no retry follows sooner than the shortest retry delay.
const MIN_DIFFERENCE_MS: u64 = MIN_RETRY_AFTER_MS / 2;
/// Requests of a route from which its common stated times are known.
const MIN_COUNT: f64 = 20.0;
/// Share of a route's requests from which a stated time is common. Retries after a delay of
/// up to several seconds are spread over far more intervals of the resolution.
const COMMON_SHARE: f64 = 0.25;
/// Limit of the intervals that are counted for one route.
const MAX_INTERVALS: usize = 1_024;

/// Stated times of one route.
#[derive(Clone, Debug, Default)]
struct RouteCounts {
    total: DecayingRate,
    intervals: HashMap<u64, DecayingRate>,
}

/// Times that callers of each route state.
#[derive(Clone, Debug, Default)]
pub struct StatedTimes {
    routes: HashMap<String, RouteCounts>,
}

impl StatedTimes {
    /// Counts the time that a caller states, and returns how long ago it first sent the
    /// request; 0 for a newcomer and while too little is known of the route. `None` as stated
    /// time stands for the timeout of the route.
    pub fn record(
        &mut self,
        now_ms: u64,
        route: &str,
        stated_ms: Option<u64>,
        timeout_ms: u64,
    ) -> u64 {
        let stated_ms = stated_ms.map_or(timeout_ms, |ms| ms.min(timeout_ms));
        if !self.routes.contains_key(route) {
            self.routes.insert(route.to_owned(), RouteCounts::default());
        }
        let Some(counts) = self.routes.get_mut(route) else {
            return 0;
        };
        counts.add(now_ms, stated_ms);
        counts.returned_after_ms(now_ms, stated_ms)
    }
}

impl RouteCounts {
    fn add(&mut self, now_ms: u64, stated_ms: u64) {
        self.total.add(now_ms, 1.0, COUNT_TIME_CONSTANT_MS);
        // Rounded, since most callers state a round number or slightly less.
        let interval = (stated_ms + RESOLUTION_MS / 2) / RESOLUTION_MS;
        if self.intervals.len() >= MAX_INTERVALS && !self.intervals.contains_key(&interval) {
            let is_recent = |rate: &DecayingRate| count(rate, now_ms) >= 0.5;
            self.intervals.retain(|_, rate| is_recent(rate));
        }
        if self.intervals.len() < MAX_INTERVALS {
            let rate = self.intervals.entry(interval).or_default();
            rate.add(now_ms, 1.0, COUNT_TIME_CONSTANT_MS);
        }
    }

    fn returned_after_ms(&self, now_ms: u64, stated_ms: u64) -> u64 {
        let total = count(&self.total, now_ms);
        if total < MIN_COUNT {
            return 0;
        }
        let is_common = |rate: &DecayingRate| count(rate, now_ms) >= total * COMMON_SHARE;
        let common = self.intervals.iter().filter(|(_, rate)| is_common(rate));
        // The request's own interval counts: what is common there is a first attempt.
        let next = common
            .map(|(interval, _)| interval * RESOLUTION_MS)
            .filter(|ms| ms + RESOLUTION_MS > stated_ms)
            .min();
        next.map_or(0, |ms| ms.saturating_sub(stated_ms))
            .checked_sub(MIN_DIFFERENCE_MS)
            .map_or(0, |excess| excess + MIN_DIFFERENCE_MS)
    }
}

/// Decayed number of requests.
fn count(rate: &DecayingRate, now_ms: u64) -> f64 {
    rate.per_second(now_ms, COUNT_TIME_CONSTANT_MS) * COUNT_TIME_CONSTANT_MS / 1000.0
}
