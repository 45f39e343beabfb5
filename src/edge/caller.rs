//! Headers of callers' requests, and answers to them.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Either;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response};
use serde::Serialize;

use crate::core::claim::{MAX_RECORDED_BODY_BYTES, RecordedResponse};
use crate::core::outcome::{OUTCOME_HEADER, Outcome, Reason, Refusal};
use crate::edge::body::{self, Answer};

/// Header with the time the caller allows, in milliseconds.
pub const DEADLINE_HEADER: &str = "currantcove-deadline-ms";
/// Header that names a request which must run at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header on an answer that was recorded earlier.
pub const REPLAYED_HEADER: &str = "idempotency-replayed";
/// Longest deadline in milliseconds.
pub const MAX_DEADLINE_MS: u64 = 600_000;
/// Longest idempotency key in bytes.
pub const MAX_IDEMPOTENCY_KEY_BYTES: usize = 256;

/// SHA-256 of a bearer token.
pub fn sha256(token: &str) -> [u8; 32] {
    use sha2::{Digest, Sha256};
    Sha256::digest(token.as_bytes()).into()
}

/// Bearer token of a request.
pub fn bearer_token(request: &Request<Incoming>) -> Option<&str> {
    request
        .headers()
        .get(AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")
}

/// Refusal of a request without a known credential.
pub fn unauthorized() -> Refusal {
    Refusal::not_run(Reason::Unauthorized, "the credential belongs to no team")
}

/// Time that the caller allows, if he names one.
pub fn deadline(request: &Request<Incoming>) -> Result<Option<Duration>, Refusal> {
    let Some(value) = request.headers().get(DEADLINE_HEADER) else {
        return Ok(None);
    };
    let parsed = value.to_str().ok().and_then(|v| v.parse().ok());
    match parsed {
        Some(ms) if (1..=MAX_DEADLINE_MS).contains(&ms) => Ok(Some(Duration::from_millis(ms))),
        _ => {
            let message = format!("{DEADLINE_HEADER} must be from 1 to {MAX_DEADLINE_MS}");
            Err(Refusal::not_run(Reason::BadDeadline, message))
        }
    }
}

/// Idempotency key, if there is one.
pub fn idempotency_key(request: &Request<Incoming>) -> Result<Option<HeaderValue>, Refusal> {
    let Some(key) = request.headers().get(IDEMPOTENCY_KEY_HEADER) else {
        return Ok(None);
    };
    if key.is_empty() || key.len() > MAX_IDEMPOTENCY_KEY_BYTES {
        let message =
            format!("{IDEMPOTENCY_KEY_HEADER} must have 1 to {MAX_IDEMPOTENCY_KEY_BYTES} bytes");
        return Err(Refusal::not_run(Reason::BadRequest, message));
    }
    Ok(Some(key.clone()))
}

/// Sets the outcome header.
pub fn set_outcome(answer: &mut Answer, outcome: Outcome) {
    let value = HeaderValue::from_static(outcome.as_str());
    answer.headers_mut().insert(OUTCOME_HEADER, value);
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a Refusal,
}

/// Answer that carries a refusal.
pub fn refusal_answer(refusal: &Refusal) -> Answer {
    let mut answer = body::json(refusal.reason.status(), &ErrorBody { error: refusal });
    set_outcome(&mut answer, refusal.outcome);
    if let Some(ms) = refusal.retry_after_ms {
        let value = HeaderValue::from(ms.div_ceil(1000));
        answer.headers_mut().insert(RETRY_AFTER, value);
    }
    answer
}

/// Whole answer of an upstream.
#[derive(Debug)]
pub struct Whole {
    /// HTTP status.
    pub status: u16,
    content_type: Option<HeaderValue>,
    bytes: Bytes,
    is_replayed: bool,
}

impl Whole {
    /// Answer that was read to its end.
    pub fn new(head: &hyper::http::response::Parts, bytes: Bytes) -> Self {
        let content_type = head.headers.get(CONTENT_TYPE).cloned();
        Self {
            status: head.status.as_u16(),
            content_type,
            bytes,
            is_replayed: false,
        }
    }

    /// Answer that was recorded earlier.
    pub fn replayed(recorded: RecordedResponse) -> Self {
        Self {
            status: recorded.status,
            content_type: HeaderValue::from_str(&recorded.content_type).ok(),
            bytes: Bytes::from(recorded.body.unwrap_or_default()),
            is_replayed: true,
        }
    }

    /// What is kept for repeats.
    pub fn to_recorded(&self) -> RecordedResponse {
        let content_type = self.content_type.as_ref().and_then(|v| v.to_str().ok());
        let is_small = self.bytes.len() <= MAX_RECORDED_BODY_BYTES;
        RecordedResponse {
            status: self.status,
            content_type: content_type
                .unwrap_or("application/octet-stream")
                .to_owned(),
            body: is_small.then(|| self.bytes.to_vec()),
        }
    }

    /// Answer for the caller.
    pub fn into_answer(self) -> Answer {
        let mut answer = Response::new(Either::Left(self.bytes.into()));
        *answer.status_mut() = hyper::StatusCode::from_u16(self.status).unwrap_or_default();
        if let Some(content_type) = self.content_type {
            answer.headers_mut().insert(CONTENT_TYPE, content_type);
        }
        if self.is_replayed {
            answer
                .headers_mut()
                .insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
        }
        set_outcome(&mut answer, Outcome::Run);
        answer
    }
}
