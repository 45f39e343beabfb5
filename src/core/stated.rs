//! Numbers that other processes state.
//!
//! Fault: an upstream, a caller, another host or the store states a number near the limit
//! of its type. A deadline or a sum that is computed from it overflows, which ends the
//! process or leaves it with a wrong time or size.
//!
//! Such a number is converted here, once, where it is decoded. Sums of a few converted
//! times or counts, small multiples of them, and the sum of a time with the present time do
//! not overflow. Times and sizes are shortened, as their exact value does not matter beyond
//! the limits; numbers that are compared with each other are invalid beyond theirs.

use std::num::IntErrorKind;
use std::time::Duration;

use serde::de::{Deserialize, Deserializer, Error, Unexpected};
use serde::{Serialize, Serializer};
use serde_with::{DeserializeAs, SerializeAs};

/// Longest time that another process can state; a longer one is shortened.
pub const MAX_TIME: Duration = Duration::from_hours(366 * 24);
/// The same in milliseconds.
const MAX_TIME_MS: u64 = MAX_TIME.as_millis() as u64;
/// Largest whole number that JSON numbers represent exactly.
pub const MAX_NUMBER: u64 = (1 << 53) - 1;
/// Largest size in bytes, MiB, tokens or other units; a larger one is shortened.
pub const MAX_SIZE: u64 = 1 << 40;
/// Largest number of slots, places, requests or adapters.
pub const MAX_COUNT: u32 = 1 << 20;
/// Most tokens that a request states for its prompt or for its output.
pub const MAX_TOKENS: u32 = 1 << 24;
/// Largest total of tokens or requests in flight.
pub const MAX_TOTAL: u32 = 1 << 30;

/// Time in whole seconds.
pub fn seconds(stated: u64) -> Duration {
    Duration::from_secs(stated).min(MAX_TIME)
}

/// Time in whole milliseconds.
pub fn milliseconds(stated: u64) -> Duration {
    Duration::from_millis(stated).min(MAX_TIME)
}

/// Time in seconds with a fraction; `None` if it is negative or no number.
pub fn fractional_seconds(stated: f64) -> Option<Duration> {
    (stated >= 0.0).then(|| Duration::from_secs_f64(stated.min(MAX_TIME.as_secs_f64())))
}

/// Size in whole units; 0 if it is negative or no number.
pub fn size(stated: f64) -> u64 {
    (stated as u64).min(MAX_SIZE)
}

/// Tokens of a request in decimal digits, of any length.
pub fn tokens(stated: &str) -> Option<u32> {
    match stated.trim().parse::<u32>() {
        Ok(tokens) => Some(tokens.min(MAX_TOKENS)),
        Err(error) if *error.kind() == IntErrorKind::PosOverflow => Some(MAX_TOKENS),
        Err(_) => None,
    }
}

/// Adapter of a time in milliseconds.
#[derive(Clone, Copy, Debug)]
pub struct StatedMillis;

impl<'de> DeserializeAs<'de, Duration> for StatedMillis {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let stated = f64::deserialize(deserializer)?;
        if stated < 0.0 {
            return Err(invalid_time(stated));
        }
        Ok(milliseconds(stated.round() as u64))
    }
}

impl<'de> DeserializeAs<'de, u64> for StatedMillis {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        Ok(u64::deserialize(deserializer)?.min(MAX_TIME_MS))
    }
}

impl<'de> DeserializeAs<'de, i64> for StatedMillis {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<i64, D::Error> {
        let max_ms = MAX_TIME_MS.cast_signed();
        Ok(i64::deserialize(deserializer)?.clamp(-max_ms, max_ms))
    }
}

/// Adapter of a time in seconds.
#[derive(Clone, Copy, Debug)]
pub struct StatedSeconds;

impl<'de> DeserializeAs<'de, Duration> for StatedSeconds {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        let stated = f64::deserialize(deserializer)?;
        fractional_seconds(stated).ok_or_else(|| invalid_time(stated))
    }
}

fn invalid_time<E: Error>(stated: f64) -> E {
    E::invalid_value(Unexpected::Float(stated), &"a time of 0 or more")
}

/// Adapter of a number that is compared with others: a revision, a start time or a
/// sequence number.
#[derive(Clone, Copy, Debug)]
pub struct StatedNumber;

impl<'de> DeserializeAs<'de, u64> for StatedNumber {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        let stated = u64::deserialize(deserializer)?;
        if stated > MAX_NUMBER {
            return Err(D::Error::invalid_value(
                Unexpected::Unsigned(stated),
                &"a number below 2^53",
            ));
        }
        Ok(stated)
    }
}

/// Adapter of a size in whole units.
#[derive(Clone, Copy, Debug)]
pub struct StatedSize;

impl<'de> DeserializeAs<'de, u64> for StatedSize {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u64, D::Error> {
        Ok(u64::deserialize(deserializer)?.min(MAX_SIZE))
    }
}

impl<'de> DeserializeAs<'de, usize> for StatedSize {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<usize, D::Error> {
        let stated = u64::deserialize(deserializer)?.min(MAX_SIZE);
        Ok(usize::try_from(stated).unwrap_or(usize::MAX / 2))
    }
}

/// Adapter of a number of slots, places, requests or adapters.
#[derive(Clone, Copy, Debug)]
pub struct StatedCount;

impl<'de> DeserializeAs<'de, u32> for StatedCount {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
        Ok(u64::deserialize(deserializer)?.min(u64::from(MAX_COUNT)) as u32)
    }
}

/// Adapter of a total of tokens or requests in flight.
#[derive(Clone, Copy, Debug)]
pub struct StatedTotal;

impl<'de> DeserializeAs<'de, u32> for StatedTotal {
    fn deserialize_as<D: Deserializer<'de>>(deserializer: D) -> Result<u32, D::Error> {
        Ok(u64::deserialize(deserializer)?.min(u64::from(MAX_TOTAL)) as u32)
    }
}

/// Numbers are written as they are.
macro_rules! serialize_unchanged {
    ($($adapter:ty: $number:ty,)*) => {$(
        impl SerializeAs<$number> for $adapter {
            fn serialize_as<S: Serializer>(
                source: &$number,
                serializer: S,
            ) -> Result<S::Ok, S::Error> {
                source.serialize(serializer)
            }
        }
    )*};
}

serialize_unchanged! {
    StatedCount: u32,
    StatedMillis: i64,
    StatedMillis: u64,
    StatedNumber: u64,
    StatedSize: u64,
    StatedTotal: u32,
}
