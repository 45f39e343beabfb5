//! Demand for one model, as a rate of prompt tokens.
//!
//! Answers the load pattern of demand that moves to another model within
//! seconds, while a copy takes as long to load: a rise is taken to go on, as
//! far as it exceeds what a request more or less by chance would make. A fall
//! is believed only once it lasts.

use super::rate::Rate;

/// Time over which demand that rises is averaged, in milliseconds.
const RECENT_MS: f64 = 1_200.0;
/// Time for which demand that rises is taken to go on rising, in milliseconds;
/// about half of the time of a load.
const AHEAD_MS: f64 = 4_000.0;
/// Tokens of one prompt; what a request more or less by chance changes.
const NOISE_TOKENS: f64 = 1_500.0;
/// Time over which demand that falls is averaged, in milliseconds.
const LASTING_MS: f64 = 4_000.0;

/// Demand for one model over all hosts.
#[derive(Clone, Copy, Debug, Default)]
pub struct DemandRate {
    recent: Rate,
    lasting: Rate,
    /// Time of the newest request.
    pub last_asked_ms: u64,
}

impl DemandRate {
    /// Counts requests with some prompt tokens together.
    pub fn on_asked(&mut self, now_ms: u64, prompt_tokens: u64) {
        let tokens = prompt_tokens as f64;
        self.recent.add(now_ms, tokens, RECENT_MS);
        self.lasting.add(now_ms, tokens, LASTING_MS);
        self.last_asked_ms = now_ms;
    }

    /// Tokens a second that are likely to come while a copy loads: a rise goes
    /// on for a while, a fall may be chance.
    pub fn tokens_per_s(&self, now_ms: u64) -> f64 {
        let recent = self.recent.get(now_ms, RECENT_MS);
        let lasting = self.lasting.get(now_ms, LASTING_MS);
        let noise = (recent * NOISE_TOKENS * 1000.0 / RECENT_MS).sqrt();
        let rise = (recent - lasting - noise).max(0.0) / (LASTING_MS - RECENT_MS);
        recent.min(lasting + noise).max(lasting) + rise * AHEAD_MS
    }
}
