//! Rate that decays with time.

/// Amount per second, averaged with weights that decay with age.
#[derive(Clone, Copy, Debug, Default)]
pub struct Rate {
    per_s: f64,
    at_ms: u64,
}

impl Rate {
    /// Counts an amount; `over_ms` is the time over which the rate is averaged.
    pub fn add(&mut self, now_ms: u64, amount: f64, over_ms: f64) {
        self.per_s = self.get(now_ms, over_ms) + amount * 1000.0 / over_ms;
        self.at_ms = now_ms;
    }

    /// Amount per second.
    pub fn get(&self, now_ms: u64, over_ms: f64) -> f64 {
        let passed_ms = now_ms.saturating_sub(self.at_ms) as f64;
        self.per_s * (-passed_ms / over_ms).exp()
    }
}
