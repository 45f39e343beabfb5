//! What a caller is told about his request.
//!
//! Every answer carries one of three outcomes in the `Currantcove-Outcome`
//! header, and every error has the same JSON body. `not_run` is said only
//! while no byte of the request can have reached an upstream.

use std::fmt;

use serde::{Deserialize, Serialize};

/// Header that carries the outcome.
pub const OUTCOME_HEADER: &str = "currantcove-outcome";

/// Whether the request was run.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// No upstream can have run it.
    NotRun,
    /// An upstream answered it.
    Run,
    /// It was sent, and no upstream answered.
    Unknown,
}

impl Outcome {
    /// Text of the header.
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

/// Reason of an error answer, stable for programs.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Reason {
    /// The body is not what the path expects.
    BadRequest,
    /// The deadline header is not a number of milliseconds.
    BadDeadline,
    /// The body is larger than the limit.
    BodyTooLarge,
    /// The body did not arrive in time.
    BodyTimeout,
    /// The deadline passed before an upstream answered.
    DeadlineExceeded,
    /// This host is stopping.
    Draining,
    /// The key was used with another body.
    IdempotencyKeyReused,
    /// The first request with this key has no recorded outcome yet.
    InProgress,
    /// The predicted wait is longer than the target.
    Overloaded,
    /// The platform cannot record the idempotency key.
    PlatformUnavailable,
    /// The team is over its limit.
    TeamLimit,
    /// No credential of a team.
    Unauthorized,
    /// The team has no such model, adapter or service.
    UnknownModel,
    /// No such path.
    UnknownPath,
    /// The upstream broke off.
    UpstreamFailed,
    /// No upstream can take the request now.
    UpstreamUnavailable,
}

impl Reason {
    /// HTTP status of the answer.
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

/// Error answer to a caller.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refusal {
    /// Reason for programs.
    pub reason: Reason,
    /// Explanation for people.
    pub message: String,
    /// Whether the request was run.
    pub outcome: Outcome,
    /// When to come back, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none", default)]
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Refusal of a request that no upstream has seen.
    pub fn not_run(reason: Reason, message: impl Into<String>) -> Self {
        Self {
            reason,
            message: message.into(),
            outcome: Outcome::NotRun,
            retry_after_ms: None,
        }
    }

    /// Refusal of a request that an upstream may have run.
    pub fn unknown(reason: Reason, message: impl Into<String>) -> Self {
        Self {
            outcome: Outcome::Unknown,
            ..Self::not_run(reason, message)
        }
    }

    /// Says when to come back.
    #[must_use]
    pub fn retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }
}
