//! Where an adapter that is asked for is loaded.
//!
//! Answers the load pattern of a popular model with more adapters than one
//! engine has slots for: its adapters are spread over the model's copies, so
//! that the same few do not push each other out all the time.

/// Load of an engine's batch, from 0 to 1, above which an adapter that it
/// holds is loaded on another copy as well.
const SPREAD_FILL: f64 = 0.6;
/// Cost of an eviction against a difference of load.
const EVICTION_COST: f64 = 0.25;
/// Cost of evicting an adapter that was asked for just now.
const FRESH_VICTIM_COST: f64 = 2.0;
/// Time after which an adapter is not missed much, in milliseconds.
const VICTIM_IDLE_MS: f64 = 3_000.0;

/// Engine with a copy of the adapter's model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Site {
    /// Share of its batch that is taken.
    pub fill: f64,
    /// Adapters that fit without an eviction.
    pub free_slots: usize,
    /// Time since its least wanted adapter was asked for.
    pub victim_idle_ms: u64,
    /// True if it takes no orders now.
    pub is_blocked: bool,
    /// True if it holds the adapter.
    pub has_adapter: bool,
    /// True if the adapter is on its way there.
    pub is_coming: bool,
}

impl Site {
    fn cost(&self) -> f64 {
        if self.free_slots > 0 {
            return self.fill;
        }
        let freshness = (-(self.victim_idle_ms as f64) / VICTIM_IDLE_MS).exp();
        self.fill + EVICTION_COST + FRESH_VICTIM_COST * freshness
    }
}

/// Chooses where to load an adapter; `None` if that is not needed or nowhere
/// possible now.
pub fn choose_site(sites: &[Site]) -> Option<usize> {
    let is_served = |s: &Site| s.is_coming || (s.has_adapter && s.fill < SPREAD_FILL);
    if sites.iter().any(is_served) {
        return None;
    }
    let open = sites
        .iter()
        .enumerate()
        .filter(|(_, s)| !s.has_adapter && !s.is_blocked);
    open.min_by(|(_, a), (_, b)| a.cost().total_cmp(&b.cost()))
        .map(|(at, _)| at)
}
