//! At-most-once execution of requests with an idempotency key.
//!
//! A claim is one value in the platform's service, created only where none
//! exists. The host whose claim stands sends the request once; nobody else
//! ever does. The claim is withdrawn only by its own host and only while no
//! byte has left. A claim whose host has died stays, and its outcome stays
//! unknown: that is the price of never running the request twice.

use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, hex::Hex, serde_as};

use super::ids::HostId;
use super::outcome::{Reason, Refusal};

/// How long a claim is kept, in seconds.
pub const CLAIM_TTL_S: u64 = 24 * 60 * 60;
/// Largest answer that is recorded, in bytes.
pub const MAX_RECORDED_BYTES: usize = 64 * 1024;
/// When a caller should ask again for a running request, in milliseconds.
pub const IN_PROGRESS_RETRY_MS: u64 = 500;

/// Stored state of one idempotency key.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Claim {
    /// Unique per attempt; tells whose write took effect.
    pub nonce: u64,
    /// Host that may send the request.
    pub host: HostId,
    /// SHA-256 of the method, path and body.
    #[serde_as(as = "Hex")]
    pub fingerprint_sha256: [u8; 32],
    /// Answer, once there is one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub recorded: Option<RecordedAnswer>,
}

/// Answer given to the first request, and to every repeat.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct RecordedAnswer {
    /// HTTP status of the upstream.
    pub status: u16,
    /// Content type of the upstream.
    pub content_type: String,
    /// Body; absent if larger than the limit.
    #[serde_as(as = "Option<Base64>")]
    pub body: Option<Vec<u8>>,
}

/// What a host does about a key that it found claimed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Repeat<'a> {
    /// The claim is this attempt's own: its write took effect.
    Own,
    /// Give the recorded answer again.
    Replay(&'a RecordedAnswer),
    /// Refuse.
    Refuse(Refusal),
}

/// Decides about an attempt that finds `found` under its key.
pub fn on_found<'a>(found: &'a Claim, attempt: &Claim) -> Repeat<'a> {
    if found.nonce == attempt.nonce && found.host == attempt.host {
        return Repeat::Own;
    }
    if found.fingerprint_sha256 != attempt.fingerprint_sha256 {
        return Repeat::Refuse(Refusal::not_run(
            Reason::IdempotencyKeyReused,
            "the idempotency key was used with another request",
        ));
    }
    match &found.recorded {
        Some(answer) => Repeat::Replay(answer),
        None => Repeat::Refuse(
            Refusal::unknown(
                Reason::InProgress,
                "a request with this idempotency key was accepted and has no recorded answer",
            )
            .retry_after_ms(IN_PROGRESS_RETRY_MS),
        ),
    }
}
