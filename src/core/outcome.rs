//! Outcomes and errors that are reported to callers.
//!
//! Every response carries one of three outcomes in the `Currantcove-Outcome`
//! header, and every error has the same JSON body. The outcome is `not_run`
//! only if no byte of the request can have reached an upstream.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Header that carries the outcome.
pub const OUTCOME_HEADER: &str = "currantcove-outcome";

/// Whether the request was executed.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No upstream can have executed the request.
    NotRun,
    /// An upstream responded to the request.
    Run,
    /// The request was sent, and no upstream responded.
    Unknown,
}

impl Outcome {
    /// Value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Run => "run",
            Self::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Outcome {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// Machine-readable reason of an error response; its values are stable.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The body is not valid for the path.
    BadRequest,
    /// The deadline header is not a number of milliseconds.
    BadDeadline,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The deadline passed before an upstream responded.
    DeadlineExceeded,
    /// This host is draining.
    Draining,
    /// The idempotency key was used with another request.
    IdempotencyKeyReused,
    /// The first request with this idempotency key has no recorded response yet.
    InProgress,
    /// The predicted wait exceeds the target.
    Overloaded,
    /// The platform cannot record the idempotency key.
    PlatformUnavailable,
    /// The team has reached its limit of requests in flight.
    TeamLimit,
    /// The credential is missing or belongs to no team.
    Unauthorized,
    /// The team has no such model, adapter or service.
    UnknownModel,
    /// The path does not exist.
    UnknownPath,
    /// The upstream failed before the response was complete.
    UpstreamFailed,
    /// No upstream can accept the request now.
    UpstreamUnavailable,
}

impl Reason {
    /// HTTP status of the response.
    pub fn status(self) -> u16 {
        match self {
            Self::BadDeadline | Self::BadRequest => 400,
            Self::Unauthorized => 401,
            Self::UnknownModel | Self::UnknownPath => 404,
            Self::BodyTimeout => 408,
            Self::InProgress => 409,
            Self::BodyTooLarge => 413,
            Self::IdempotencyKeyReused => 422,
            Self::TeamLimit => 429,
            Self::UpstreamFailed => 502,
            Self::Draining
            | Self::Overloaded
            | Self::PlatformUnavailable
            | Self::UpstreamUnavailable => 503,
            Self::DeadlineExceeded => 504,
        }
    }
}

/// Error response to a caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Machine-readable reason.
    pub reason: Reason,
    /// Human-readable explanation.
    pub message: String,
    /// Whether the request was executed.
    pub outcome: Outcome,
    /// Delay after which to retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Error for a request that no upstream has received.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Self {
        Self {
            reason,
            message: message.into(),
            outcome: Outcome::NotRun,
            retry_after_ms: None,
        }
    }

    /// Error for a request that an upstream may have executed.
    pub fn unknown(reason: Reason, message: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(reason, message)
        }
    }

    /// Sets the delay after which to retry.
    #[must_use]
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}
