//! Selection of the engine that loads a requested adapter.
//!
//! Load pattern: a popular model has more adapters than one engine has slots
//! for. Its adapters are spread over the model's copies, so that the same few
//! adapters do not evict each other continuously.

/// Batch utilisation, from 0 to 1, above which an adapter is loaded on a
/// further copy.
const EXTRA_COPY_BATCH_FILL: f64 = 0.6;
/// Cost of an eviction, in units of batch utilisation.
const EVICTION_COST: f64 = 0.25;
/// Additional cost of evicting an adapter that was requested just now.
const RECENT_VICTIM_COST: f64 = 2.0;
/// Time constant with which that cost decays, in milliseconds.
const RECENT_VICTIM_DECAY_MS: f64 = 3_000.0;

/// Engine with a copy of the adapter's model.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct CandidateEngine {
    /// Share of its batch slots that are in use.
    pub batch_fill: f64,
    /// Adapters that fit without an eviction.
    pub free_slots: usize,
    /// Time since its least recently used adapter was requested.
    pub victim_idle_ms: u64,
    /// True if it accepts no orders now.
    pub is_blocked: bool,
    /// True if it holds the adapter.
    pub has_adapter: bool,
    /// True if it is loading the adapter.
    pub is_loading: bool,
}

impl CandidateEngine {
    fn cost(&self) -> f64 {
        if self.free_slots > 0 {
            return self.batch_fill;
        }
        let recency = (-(self.victim_idle_ms as f64) / RECENT_VICTIM_DECAY_MS).exp();
        self.batch_fill + EVICTION_COST + RECENT_VICTIM_COST * recency
    }
}

/// Selects the engine that loads an adapter; `None` if a copy serves or is
/// loading it already, or if no engine can load it now.
pub fn select_engine(engines: &[CandidateEngine]) -> Option<usize> {
    let is_served = |e: &CandidateEngine| {
        e.is_loading || (e.has_adapter && e.batch_fill < EXTRA_COPY_BATCH_FILL)
    };
    if engines.iter().any(is_served) {
        return None;
    }
    let eligible = engines
        .iter()
        .enumerate()
        .filter(|(_, e)| !e.has_adapter && !e.is_blocked);
    eligible
        .min_by(|(_, a), (_, b)| a.cost().total_cmp(&b.cost()))
        .map(|(index, _)| index)
}
