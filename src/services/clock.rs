//! Clock of the process: wall time that never runs backwards.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Wall time at start, carried on by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_wall: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        let started_wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started: Instant::now(),
            started_wall,
        }
    }
}

impl Clock {
    /// Milliseconds since the epoch.
    pub fn now_ms(&self) -> u64 {
        (self.started_wall + self.started.elapsed()).as_millis() as u64
    }

    /// Start of the process in milliseconds since the epoch.
    pub fn started_ms(&self) -> u64 {
        self.started_wall.as_millis() as u64
    }
}
