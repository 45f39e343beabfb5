//! Reads the bodies of callers' requests within a size limit, a time limit and the memory of
//! the host.
//!
//! A body of a stated length gets its memory before it is read, so that bodies which arrive
//! at the same time complete one after another.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;
use hyper::http::request;

use super::body::{self, MAX_DISCARDED_BYTES};
use super::resources::{Hold, NoRoom, Resources};
use super::server::LEADING_BYTES;
use super::wire::WireMeter;
use crate::core::outcome::{Reason, Refusal};
use crate::core::resource_account::Purpose;

/// Retry delay of a request that is rejected for want of memory.
const NO_MEMORY_RETRY_DELAY_MS: u64 = 200;
/// Factor of the largest body that gives the largest number of its bytes with those that
/// frame it.
const MAX_FRAMING_FACTOR: usize = 2;

/// Limits of one body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyLimits {
    /// Maximum size of the body.
    pub max_bytes: usize,
    /// Maximum time until the body is complete.
    pub timeout: Duration,
}

/// Reader of request bodies.
#[derive(Debug)]
pub struct BodyReader {
    resources: Resources,
}

impl BodyReader {
    /// Creates a reader that takes memory from an account.
    pub fn new(resources: Resources) -> Self {
        Self { resources }
    }

    /// Reads a body within its limits. The caller keeps the memory for as long as it keeps
    /// the body.
    pub async fn read(
        &self,
        head: &request::Parts,
        mut incoming: Incoming,
        limits: BodyLimits,
    ) -> Result<(Bytes, Hold), Refusal> {
        let content_length = head.headers.get(CONTENT_LENGTH);
        let content_length: Option<usize> =
            content_length.and_then(|v| v.to_str().ok()?.parse().ok());
        let meter = head.extensions.get::<Arc<WireMeter>>();
        let allow = |bytes| meter.inspect(|m| m.allow(bytes + LEADING_BYTES));
        let result = if content_length.is_some_and(|n| n > limits.max_bytes) {
            Err(too_large(limits.max_bytes))
        } else {
            allow(limits.max_bytes * MAX_FRAMING_FACTOR);
            let reading =
                self.collect(&mut incoming, content_length.unwrap_or(0), limits.max_bytes);
            let read = compio::time::timeout(limits.timeout, reading).await;
            read.unwrap_or_else(|_| {
                let message = "the body did not arrive in time";
                Err(Refusal::not_run(Reason::BodyTimeout, message))
            })
        };
        // What follows is the rest of an unwanted body, or the head of the next request.
        allow(MAX_DISCARDED_BYTES);
        if result.is_err() {
            body::discard(incoming);
        }
        result
    }

    async fn collect(
        &self,
        incoming: &mut Incoming,
        content_length: usize,
        max_bytes: usize,
    ) -> Result<(Bytes, Hold), Refusal> {
        let mut hold = self.resources.empty_hold(Purpose::Body);
        hold.grow_to(content_length).map_err(no_memory)?;
        let mut first_frame = Bytes::new();
        let mut buffer = BytesMut::new();
        while let Some(frame) = incoming.frame().await {
            let aborted = |_| Refusal::not_run(Reason::BadRequest, "the body broke off");
            let data = frame.map_err(aborted)?.into_data().unwrap_or_default();
            let length = first_frame.len() + buffer.len() + data.len();
            if length > max_bytes {
                return Err(too_large(max_bytes));
            }
            hold.grow_to(length).map_err(no_memory)?;
            if first_frame.is_empty() && buffer.is_empty() {
                // Most bodies arrive in one frame, which is returned without a copy.
                first_frame = data;
                continue;
            }
            if buffer.capacity() < length {
                // A body of unknown length gets twice the memory each time.
                let capacity = content_length.max(length.saturating_mul(2).min(max_bytes));
                hold.grow_to(capacity).map_err(no_memory)?;
                buffer.reserve(capacity - buffer.len());
            }
            buffer.extend_from_slice(&std::mem::take(&mut first_frame));
            buffer.extend_from_slice(&data);
        }
        let body = if buffer.is_empty() {
            first_frame
        } else {
            buffer.freeze()
        };
        if body.len() < content_length {
            return Err(Refusal::not_run(Reason::BadRequest, "the body broke off"));
        }
        Ok((body, hold))
    }
}

fn no_memory(_: NoRoom) -> Refusal {
    let message = "no memory for the body now";
    Refusal::not_run(Reason::Overloaded, message).retry_after_ms(NO_MEMORY_RETRY_DELAY_MS)
}

fn too_large(max_bytes: usize) -> Refusal {
    let message = format!("the body is larger than {max_bytes} bytes");
    Refusal::not_run(Reason::BodyTooLarge, message)
}
