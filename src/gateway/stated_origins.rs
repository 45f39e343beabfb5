//! Origins of streams as hosts state them to each other.
//!
//! Clocks of hosts differ, so that times are stated as ages.

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::core::stated::StatedMillis;
use crate::core::stream_origin::{OriginClaim, OriginKnowledge, StreamOrigin};

/// Claim on the origin of a stream, as sent to other hosts.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatedClaim {
    /// Listed incarnation.
    #[serde(rename = "o")]
    pub origin: StreamOrigin,
    /// Time for which the process that sent the stream is known to have run, in
    /// milliseconds.
    #[serde_as(as = "StatedMillis")]
    #[serde(rename = "a")]
    pub running_for_ms: u64,
}

impl StatedClaim {
    /// States a claim.
    pub fn of(claim: &OriginClaim, now_ms: u64) -> Self {
        Self {
            origin: claim.origin.clone(),
            running_for_ms: now_ms.saturating_sub(claim.running_since_ms),
        }
    }

    /// The claim by the clock of the host that reads it. What passes until it is read makes
    /// the process seem to run for less long than it does.
    pub fn read(self, now_ms: u64) -> OriginClaim {
        OriginClaim {
            origin: self.origin,
            running_since_ms: now_ms.saturating_sub(self.running_for_ms),
        }
    }
}

/// What a host states of the origin of a stream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum StatedOrigin {
    /// Nothing.
    #[serde(rename = "n")]
    Unknown,
    /// It began elsewhere than at the listed incarnation, or at more than one.
    #[serde(rename = "c")]
    Contradictory,
    /// Where it began.
    #[serde(rename = "k")]
    Known(StreamOrigin),
    /// Where it began if the listing was not out of date; only for hosts that understand it.
    #[serde(rename = "u")]
    Claimed(StatedClaim),
}

impl StatedOrigin {
    /// States what a host knows.
    pub fn of(known: &OriginKnowledge, now_ms: u64) -> Self {
        match known {
            OriginKnowledge::Unknown => Self::Unknown,
            OriginKnowledge::Contradictory => Self::Contradictory,
            OriginKnowledge::Known(origin) => Self::Known(origin.clone()),
            OriginKnowledge::Claimed(claim) => Self::Claimed(StatedClaim::of(claim, now_ms)),
        }
    }

    /// What is stated, by the clock of the host that reads it.
    pub fn read(self, now_ms: u64) -> OriginKnowledge {
        match self {
            Self::Unknown => OriginKnowledge::Unknown,
            Self::Contradictory => OriginKnowledge::Contradictory,
            Self::Known(origin) => OriginKnowledge::Known(origin),
            Self::Claimed(claim) => OriginKnowledge::Claimed(claim.read(now_ms)),
        }
    }
}
