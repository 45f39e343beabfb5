//! At-most-once execution of requests with an idempotency key.
//!
//! A claim is one value in the platform's key-value service, created only if
//! the key has none. The host that owns the claim sends the request once, and
//! no other host sends it. Only the owner deletes the claim, and only while no
//! byte of the request has been sent. If the owner fails, its claim stays and
//! the outcome of the request stays unknown: that is the price of never
//! executing a request twice.

use serde::{Deserialize, Serialize};
use serde_with::{base64::Base64, hex::Hex, serde_as};

use super::ids::HostId;
use super::outcome::{Reason, Refusal};

/// Lifetime of a claim, in seconds.
pub const CLAIM_TTL_S: u64 = 24 * 60 * 60;
/// Largest response body that is recorded, in bytes.
pub const MAX_RECORDED_BODY_BYTES: usize = 64 * 1024;
/// Delay after which a caller may retry while the first request is in
/// progress, in milliseconds.
pub const IN_PROGRESS_RETRY_AFTER_MS: u64 = 500;

/// Stored state of one idempotency key.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Claim {
    /// Unique per attempt; identifies the attempt whose write took effect.
    pub nonce: u64,
    /// Host that may send the request.
    pub host: HostId,
    /// SHA-256 of the method, path and body.
    #[serde_as(as = "Hex")]
    pub fingerprint_sha256: [u8; 32],
    /// Response, once the upstream has sent it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub recorded: Option<RecordedResponse>,
}

/// Response to the first request, replayed for every later one.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct RecordedResponse {
    /// HTTP status from the upstream.
    pub status: u16,
    /// Content type from the upstream.
    pub content_type: String,
    /// Body; absent if it exceeds the size limit.
    #[serde_as(as = "Option<Base64>")]
    pub body: Option<Vec<u8>>,
}

/// How an attempt proceeds if its key is already claimed.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ClaimResolution<'a> {
    /// The claim was written by this attempt.
    Own,
    /// Replay the recorded response.
    Replay(&'a RecordedResponse),
    /// Reject the request.
    Reject(Refusal),
}

/// Decides how `attempt` proceeds if `existing` is stored under its key.
pub fn resolve_claim<'a>(existing: &'a Claim, attempt: &Claim) -> ClaimResolution<'a> {
    if existing.nonce == attempt.nonce && existing.host == attempt.host {
        return ClaimResolution::Own;
    }
    if existing.fingerprint_sha256 != attempt.fingerprint_sha256 {
        return ClaimResolution::Reject(Refusal::not_run(
            Reason::IdempotencyKeyReused,
            "the idempotency key was used with another request",
        ));
    }
    match &existing.recorded {
        Some(response) => ClaimResolution::Replay(response),
        None => ClaimResolution::Reject(
            Refusal::unknown(
                Reason::InProgress,
                "a request with this idempotency key was accepted and has no recorded answer",
            )
            .retry_after_ms(IN_PROGRESS_RETRY_AFTER_MS),
        ),
    }
}
