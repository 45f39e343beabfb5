//! Clock of the process: wall-clock time that never goes backwards.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Wall-clock time at start, advanced by the monotonic clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    started_since_epoch: Duration,
}

impl Default for Clock {
    fn default() -> Self {
        let started_since_epoch = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started: Instant::now(),
            started_since_epoch,
        }
    }
}

impl Clock {
    /// Current time in milliseconds since the Unix epoch.
    pub fn now_ms(&self) -> u64 {
        self.at_ms(Instant::now())
    }

    /// A moment in milliseconds since the Unix epoch.
    pub fn at_ms(&self, moment: Instant) -> u64 {
        (self.started_since_epoch + moment.saturating_duration_since(self.started)).as_millis()
            as u64
    }

    /// Start of the process in milliseconds since the Unix epoch.
    pub fn started_ms(&self) -> u64 {
        self.started_since_epoch.as_millis() as u64
    }
}
