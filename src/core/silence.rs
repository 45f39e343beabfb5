//! How long a host waits on connections that may have fallen silent.
//!
//! Fault: open connections fall silent for good, without a reset, while new ones work. Only a
//! time-out shows it. Until then the host acts by what it knew before, and within the contact
//! bound of the settings it must know what is in force again.
//!
//! The silence may begin just after a response. Then follow the pause between two calls, the
//! longest wait of the store, the time for its response, and a complete listing over a new
//! connection. All of them are parts of the bound, so that their sum is less than it.

use std::time::Duration;

/// Part of the bound for which the store holds a watch without changes.
const WATCH_WAIT_DIVISOR: u32 = 4;
/// Part of the bound within which the store responds to a call.
const RESPONSE_DIVISOR: u32 = 4;
/// Part of the bound for which changes are batched.
const BATCH_PAUSE_DIVISOR: u32 = 6;
/// Part of the time within which changes must apply for which they are batched. The rest is
/// left for the calls and for a slow event loop.
const CHANGE_BATCH_DIVISOR: u32 = 3;
/// Parts of the bound after which a call that has failed is repeated at first, and at the
/// latest.
const MIN_RETRY_DIVISOR: u32 = 30;
const MAX_RETRY_DIVISOR: u32 = 8;

/// Time limits of calls to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SilenceBounds {
    contact: Duration,
    change: Duration,
}

impl SilenceBounds {
    /// Limits for a host that must know what is in force within `contact` of a disruption,
    /// and apply changes within `change` at other times.
    pub fn within(contact: Duration, change: Duration) -> Self {
        Self { contact, change }
    }

    /// Longest time for which the store holds a watch without changes.
    pub fn watch_wait(&self) -> Duration {
        self.contact / WATCH_WAIT_DIVISOR
    }

    /// Time within which the store responds to a call, beyond the wait of a watch.
    pub fn response_timeout(&self) -> Duration {
        self.contact / RESPONSE_DIVISOR
    }

    /// Time for which changes are batched, so that one call returns several.
    pub fn batch_pause(&self) -> Duration {
        let by_change = self.change / CHANGE_BATCH_DIVISOR;
        by_change.min(self.contact / BATCH_PAUSE_DIVISOR)
    }

    /// Delay after the first of several calls that fail, and longest spread between hosts.
    pub fn min_retry_delay(&self) -> Duration {
        self.contact / MIN_RETRY_DIVISOR
    }

    /// Longest delay after a call that has failed.
    pub fn max_retry_delay(&self) -> Duration {
        self.contact / MAX_RETRY_DIVISOR
    }

    /// Longest time from the start of a silence until a watch shows it.
    pub fn found_within(&self) -> Duration {
        self.batch_pause() + self.watch_wait() + self.response_timeout()
    }
}

/// Time within which limits need not be kept after a disruption, where the settings state
/// none.
pub const DEFAULT_CONTACT: Duration = Duration::from_secs(3);

impl Default for SilenceBounds {
    fn default() -> Self {
        Self::within(DEFAULT_CONTACT, DEFAULT_CONTACT)
    }
}
