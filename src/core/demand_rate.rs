//! Demand for one model, as a rate of prompt tokens.
//!
//! Load pattern: demand shifts to another model within seconds, about as long
//! as a copy takes to load. A rise is extrapolated as far as it exceeds the
//! random variation of the arrivals. A fall counts only once it lasts.

use super::rate::DecayingRate;

/// Time constant of the short average, which follows a rise, in milliseconds.
const SHORT_TIME_CONSTANT_MS: f64 = 1_200.0;
/// Time over which a rise is extrapolated, in milliseconds; about half of a
/// load time.
const EXTRAPOLATION_MS: f64 = 4_000.0;
/// Tokens of a typical prompt; sets the random variation of the rate.
const TYPICAL_PROMPT_TOKENS: f64 = 1_500.0;
/// Time constant of the long average, which delays a fall, in milliseconds.
const LONG_TIME_CONSTANT_MS: f64 = 4_000.0;

/// Demand for one model over all hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandRate {
    short_term: DecayingRate,
    long_term: DecayingRate,
    /// Time of the newest request.
    pub last_requested_ms: u64,
}

impl DemandRate {
    /// Counts requests with some prompt tokens in total.
    pub fn record(&mut self, now_ms: u64, prompt_tokens: u64) {
        let tokens = prompt_tokens as f64;
        self.short_term.add(now_ms, tokens, SHORT_TIME_CONSTANT_MS);
        self.long_term.add(now_ms, tokens, LONG_TIME_CONSTANT_MS);
        self.last_requested_ms = now_ms;
    }

    /// Expected tokens per second while a copy loads: a rise is extrapolated,
    /// and a fall counts only once the long average follows it.
    pub fn tokens_per_s(&self, now_ms: u64) -> f64 {
        let short_term = self.short_term.per_second(now_ms, SHORT_TIME_CONSTANT_MS);
        let long_term = self.long_term.per_second(now_ms, LONG_TIME_CONSTANT_MS);
        let variation =
            (short_term * TYPICAL_PROMPT_TOKENS * 1000.0 / SHORT_TIME_CONSTANT_MS).sqrt();
        let rise = (short_term - long_term - variation).max(0.0)
            / (LONG_TIME_CONSTANT_MS - SHORT_TIME_CONSTANT_MS);
        short_term.min(long_term + variation).max(long_term) + rise * EXTRAPOLATION_MS
    }
}
