//! Numbers that other processes state.
//!
//! Fault: an upstream, a caller, another host or the store states a number near the limit
//! of its type. A deadline or a sum that is computed from it overflows, which ends the
//! process or leaves it with a wrong time or size.
//!
//! Such a number is converted here, once, where it is decoded. Sums of a few converted
//! times, small multiples of them and their sums with the present time do not overflow.

use std::time::Duration;

/// Longest time that another process can state; a longer one is shortened.
pub const MAX_TIME: Duration = Duration::from_hours(366 * 24);

/// Time in whole seconds.
pub fn seconds(stated: u64) -> Duration {
    Duration::from_secs(stated).min(MAX_TIME)
}
