//! Whether the events of a stream make progress.
//!
//! Fault: an upstream sends bytes, drop by drop, that never complete an event. The
//! stream is not ended early, since a sound upstream may be slow, but at the request's
//! deadline such an upstream is told from one that was merely quiet.

use super::load::UNRESPONSIVE_AFTER_MS;

/// Progress of the events of one upstream's part of a stream.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct EventProgress {
    /// Arrival of the first bytes of the event that is not complete.
    incomplete_since_ms: Option<u64>,
}

impl EventProgress {
    /// Records received bytes that completed events or not, and of which an incomplete
    /// event remains or not.
    pub fn on_data(&mut self, now_ms: u64, has_completed: bool, has_remainder: bool) {
        let since_ms = self.incomplete_since_ms.filter(|_| !has_completed);
        self.incomplete_since_ms = has_remainder.then(|| since_ms.unwrap_or(now_ms));
    }

    /// True if an event has been incomplete for longer than an upstream that responds
    /// takes for one.
    pub fn is_stalled(&self, now_ms: u64) -> bool {
        self.incomplete_since_ms
            .is_some_and(|at| now_ms >= at + UNRESPONSIVE_AFTER_MS)
    }
}
