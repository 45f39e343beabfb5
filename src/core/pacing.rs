//! Spacing of the acting host's plans.
//!
//! Load pattern: a burst of requests for models without a copy makes every host of
//! a large fleet send messages that each call for a plan. On a small machine one
//! plan takes longer than the time between two of these messages. If each message
//! were followed by a plan, the acting host would fall behind, time out on the
//! responses to its own orders, and cause further messages.
//!
//! A plan covers everything that was requested before it, and all plans together
//! take a limited share of the time.

use std::time::Duration;

/// Time between two plans while nothing is urgent, in milliseconds.
pub const PLAN_INTERVAL_MS: u64 = 200;
/// Shortest time between two plans, in milliseconds.
pub const MIN_PLAN_INTERVAL_MS: u64 = 40;
/// Longest time between two plans, in milliseconds.
pub const MAX_PLAN_INTERVAL_MS: u64 = 1_500;
/// Time between two plans as a multiple of the time that the last one took.
const INTERVAL_PER_DURATION: u64 = 12;

/// Decides when the next plan is due.
#[derive(Clone, Copy, Debug, Default)]
pub struct PlanPacer {
    /// Time of the next plan while nothing is urgent.
    regular_ms: u64,
    /// Earliest time of the next plan.
    earliest_ms: u64,
    is_urgent: bool,
}

impl PlanPacer {
    /// Requests a plan as early as possible.
    pub fn request(&mut self) {
        self.is_urgent = true;
    }

    /// Time until the next plan; 0 if it is due.
    pub fn due_in_ms(&self, now_ms: u64) -> u64 {
        let due_ms = if self.is_urgent {
            self.earliest_ms
        } else {
            self.regular_ms
        };
        due_ms.saturating_sub(now_ms)
    }

    /// Records the end of a plan, which covers all requests so far.
    pub fn finish(&mut self, now_ms: u64, took: Duration) {
        let pause_ms = took.as_millis() as u64 * INTERVAL_PER_DURATION;
        let pause_ms = pause_ms.clamp(MIN_PLAN_INTERVAL_MS, MAX_PLAN_INTERVAL_MS);
        self.is_urgent = false;
        self.earliest_ms = now_ms + pause_ms;
        self.regular_ms = now_ms + pause_ms.max(PLAN_INTERVAL_MS);
    }
}
