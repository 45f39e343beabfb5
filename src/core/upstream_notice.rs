//! Notices that an upstream attaches to its responses.
//!
//! Load patterns: an upstream that is about to stop says so in every response,
//! before its entry in the platform's list changes or while the list cannot be
//! read; an overloaded upstream refuses requests and states for how long it
//! wants none; an upstream in need states how many requests a second it takes from
//! all hosts together.

use super::brittle_notice::StatedBrittleness;
use super::routing::Rng;

/// Longest time for which an upstream can close itself to this host, in
/// milliseconds.
pub const MAX_CLOSURE_MS: u64 = 600_000;
/// The end of a closure is delayed by a random time of at most this, in
/// milliseconds, so that hosts do not return all at once.
const REOPEN_SPREAD_MS: usize = 200;

/// Notice in the headers of a response.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct UpstreamNotice {
    /// True if the upstream is about to stop and must receive no new requests.
    pub is_leaving: bool,
    /// Time for which it wants no requests from this host, as stated with a
    /// refusal.
    pub closed_for: Closure,
    /// Requests that it takes from all hosts together, for as long as it states this.
    pub rate: StatedRate,
    /// Rejections that it survives, for as long as it states this.
    pub brittleness: StatedBrittleness,
}

/// Rate of requests that an upstream takes from all hosts together.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StatedRate {
    /// There was no response.
    #[default]
    Unknown,
    /// The response states none.
    Unlimited,
    /// Stated, in thousandths of a request per second.
    PerMilleS(u32),
    /// Stated in a form that has no meaning, such as a negative number.
    Invalid,
}

impl StatedRate {
    /// Reads a number of requests a second.
    pub fn from_per_s(text: &str) -> Self {
        match text.trim().parse::<f64>() {
            Ok(per_s) if per_s >= 0.0 => {
                Self::PerMilleS((per_s * 1000.0).min(f64::from(u32::MAX)) as u32)
            }
            _ => Self::Invalid,
        }
    }
}

/// Time for which an upstream wants no requests from this host.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Closure {
    /// Not stated.
    #[default]
    None,
    /// Stated, in milliseconds.
    Millis(u64),
    /// Stated in a form that has no meaning, such as a negative number.
    Invalid,
}

impl Closure {
    /// Reads a number of seconds. A time beyond [`MAX_CLOSURE_MS`] is shortened.
    pub fn from_seconds(text: &str) -> Self {
        match text.trim().parse::<f64>() {
            Ok(seconds) if seconds.is_finite() && seconds >= 0.0 => {
                Self::Millis(((seconds * 1000.0).ceil() as u64).min(MAX_CLOSURE_MS))
            }
            Ok(seconds) if seconds == f64::INFINITY => Self::Millis(MAX_CLOSURE_MS),
            _ => Self::Invalid,
        }
    }

    /// Time at which requests may be sent again, if the upstream has closed itself.
    pub fn reopens_ms(self, now_ms: u64, rng: &mut Rng) -> Option<u64> {
        match self {
            Self::Millis(ms) if ms > 0 => Some(now_ms + ms + rng.below(REOPEN_SPREAD_MS) as u64),
            Self::None | Self::Millis(_) | Self::Invalid => None,
        }
    }
}
