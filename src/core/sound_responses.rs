//! What this host has seen served soundly, so that it can clear suspects.
//!
//! Load pattern: callers choose the names of prompt parts freely; the table has a fixed
//! size and forgets the parts that were served longest ago.

use std::collections::HashMap;

use super::request_traits::{RequestTraits, Suspect};

/// Largest number of suspects.
const MAX_SUSPECTS: usize = 4_096;

/// Latest begin of a sound response, by what its request had in common with others.
#[derive(Clone, Debug, Default)]
pub struct SoundResponses {
    began_ms: HashMap<Suspect, u64>,
}

impl SoundResponses {
    /// Records a response that began at `began_ms`.
    pub fn record(&mut self, traits: &RequestTraits, began_ms: u64) {
        for (suspect, _) in traits.suspects() {
            if self.began_ms.len() >= MAX_SUSPECTS && !self.began_ms.contains_key(&suspect) {
                self.drop_older_half();
            }
            let latest_ms = self.began_ms.entry(suspect).or_default();
            *latest_ms = began_ms.max(*latest_ms);
        }
    }

    /// Latest begin of a sound response, in milliseconds since the epoch.
    pub fn get(&self, suspect: Suspect) -> Option<u64> {
        self.began_ms.get(&suspect).copied()
    }

    /// Number of suspects in the table.
    pub fn len(&self) -> usize {
        self.began_ms.len()
    }

    /// True if nothing was recorded.
    pub fn is_empty(&self) -> bool {
        self.began_ms.is_empty()
    }

    fn drop_older_half(&mut self) {
        let mut times: Vec<u64> = self.began_ms.values().copied().collect();
        let middle = times.len() / 2;
        let (_, median, _) = times.select_nth_unstable(middle);
        let median = *median;
        self.began_ms.retain(|_, at| *at > median);
    }
}
