//! Parses the headers of callers' requests, and builds the responses to callers.

use std::time::Duration;

use bytes::Bytes;
use http_body_util::Either;
use hyper::body::Incoming;
use hyper::header::{AUTHORIZATION, CONTENT_TYPE, HeaderValue, RETRY_AFTER};
use hyper::{Request, Response};
use serde::Serialize;

use crate::core::claim::{MAX_RECORDED_BYTES, RecordedAnswer};
use crate::core::outcome::{OUTCOME_HEADER, Outcome, Reason, Refusal};
use crate::edge::body::{self, ServerResponse};

/// Header with the time that the caller allows for the request, in milliseconds.
pub const DEADLINE_HEADER: &str = "currantcove-deadline-ms";
/// Header with the idempotency key of a request that must run at most once.
pub const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";
/// Header that marks a response replayed from an earlier request's record.
pub const REPLAYED_HEADER: &str = "idempotency-replayed";
/// Maximum deadline that a caller may set.
pub const MAX_DEADLINE_MS: u64 = 600_000;
/// Maximum length of an idempotency key.
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

/// Refusal of a request whose credential is missing or unknown.
pub fn unauthorized() -> Refusal {
    Refusal::not_run(Reason::Unauthorized, "the credential belongs to no team")
}

/// Time that the caller allows for the request, if it sets the header.
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

/// Idempotency key of a request, if it has one.
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

/// Sets the outcome header of a response.
pub fn set_outcome(response: &mut ServerResponse, outcome: Outcome) {
    let value = HeaderValue::from_static(outcome.as_str());
    response.headers_mut().insert(OUTCOME_HEADER, value);
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: &'a Refusal,
}

/// Error response for a refusal.
pub fn refusal_response(refusal: &Refusal) -> ServerResponse {
    let mut response = body::json(refusal.reason.status(), &ErrorBody { error: refusal });
    set_outcome(&mut response, refusal.outcome);
    if let Some(ms) = refusal.retry_after_ms {
        let value = HeaderValue::from(ms.div_ceil(1000));
        response.headers_mut().insert(RETRY_AFTER, value);
    }
    response
}

/// Complete response of an upstream, held in memory.
#[derive(Debug)]
pub struct BufferedResponse {
    /// HTTP status.
    pub status: u16,
    content_type: Option<HeaderValue>,
    bytes: Bytes,
    is_replayed: bool,
}

impl BufferedResponse {
    /// Creates a response whose body was read to its end.
    pub fn new(head: &hyper::http::response::Parts, bytes: Bytes) -> Self {
        let content_type = head.headers.get(CONTENT_TYPE).cloned();
        Self {
            status: head.status.as_u16(),
            content_type,
            bytes,
            is_replayed: false,
        }
    }

    /// Creates a response from the record of an earlier request.
    pub fn replayed(recorded: RecordedAnswer) -> Self {
        Self {
            status: recorded.status,
            content_type: HeaderValue::from_str(&recorded.content_type).ok(),
            bytes: Bytes::from(recorded.body.unwrap_or_default()),
            is_replayed: true,
        }
    }

    /// Converts the response into the record that is replayed to repeated requests.
    pub fn to_recorded(&self) -> RecordedAnswer {
        let content_type = self.content_type.as_ref().and_then(|v| v.to_str().ok());
        let is_small = self.bytes.len() <= MAX_RECORDED_BYTES;
        RecordedAnswer {
            status: self.status,
            content_type: content_type
                .unwrap_or("application/octet-stream")
                .to_owned(),
            body: is_small.then(|| self.bytes.to_vec()),
        }
    }

    /// Converts the response into the HTTP response to the caller.
    pub fn into_response(self) -> ServerResponse {
        let mut response = Response::new(Either::Left(self.bytes.into()));
        *response.status_mut() = hyper::StatusCode::from_u16(self.status).unwrap_or_default();
        if let Some(content_type) = self.content_type {
            response.headers_mut().insert(CONTENT_TYPE, content_type);
        }
        if self.is_replayed {
            response
                .headers_mut()
                .insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
        }
        set_outcome(&mut response, Outcome::Run);
        response
    }
}
