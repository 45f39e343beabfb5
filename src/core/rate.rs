//! Exponentially decaying rate.

/// Amount per second, as an average whose weights decay exponentially with age.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingRate {
    per_s: f64,
    updated_ms: u64,
}

impl DecayingRate {
    /// Counts an amount; `time_constant_ms` is the time constant of the decay.
    pub fn add(&mut self, now_ms: u64, amount: f64, time_constant_ms: f64) {
        self.per_s = self.per_second(now_ms, time_constant_ms) + amount * 1000.0 / time_constant_ms;
        self.updated_ms = now_ms;
    }

    /// Amount per second.
    pub fn per_second(&self, now_ms: u64, time_constant_ms: f64) -> f64 {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.per_s * (-elapsed_ms / time_constant_ms).exp()
    }
}
