//! Reads the bodies of callers' requests within a size limit, a time limit and a
//! memory budget that all requests share.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderMap};

use super::body;
use crate::core::outcome::{Reason, Refusal};

/// Memory budget for the request bodies of all callers together.
pub const BODY_BUDGET_BYTES: usize = 256 * 1024 * 1024;
/// Retry delay of a request that is rejected while the budget is exhausted.
const BUDGET_RETRY_DELAY_MS: u64 = 200;

/// Limits of one body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyLimits {
    /// Maximum size of the body.
    pub max_bytes: usize,
    /// Maximum time until the body is complete.
    pub timeout: Duration,
}

/// Reader of request bodies with a shared memory budget.
#[derive(Debug)]
pub struct BodyReader {
    budget_bytes: usize,
    used_bytes: Rc<Cell<usize>>,
}

/// Memory reserved from the budget for one body, released when dropped.
#[derive(Debug)]
pub struct BodyReservation {
    used_bytes: Rc<Cell<usize>>,
    bytes: usize,
}

impl BodyReservation {
    fn reserve(&mut self, bytes: usize, budget_bytes: usize) -> Result<(), Refusal> {
        let used_bytes = self.used_bytes.get() + bytes;
        if used_bytes > budget_bytes {
            let message = "no memory for the body now";
            return Err(
                Refusal::not_run(Reason::Overloaded, message).retry_after_ms(BUDGET_RETRY_DELAY_MS)
            );
        }
        self.used_bytes.set(used_bytes);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for BodyReservation {
    fn drop(&mut self) {
        self.used_bytes.set(self.used_bytes.get() - self.bytes);
    }
}

impl BodyReader {
    /// Creates a reader with a memory budget for all bodies together.
    pub fn new(budget_bytes: usize) -> Self {
        Self {
            budget_bytes,
            used_bytes: Rc::default(),
        }
    }

    /// Reads a body within its limits. The caller keeps the reservation for as long
    /// as it keeps the body.
    pub async fn read(
        &self,
        headers: &HeaderMap,
        mut incoming: Incoming,
        limits: BodyLimits,
    ) -> Result<(Bytes, BodyReservation), Refusal> {
        let content_length = headers.get(CONTENT_LENGTH);
        let content_length: Option<usize> =
            content_length.and_then(|v| v.to_str().ok()?.parse().ok());
        let result = if content_length.is_some_and(|n| n > limits.max_bytes) {
            Err(too_large(limits.max_bytes))
        } else {
            let reading =
                self.collect(&mut incoming, content_length.unwrap_or(0), limits.max_bytes);
            let read = compio::time::timeout(limits.timeout, reading).await;
            read.unwrap_or_else(|_| {
                let message = "the body did not arrive in time";
                Err(Refusal::not_run(Reason::BodyTimeout, message))
            })
        };
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
    ) -> Result<(Bytes, BodyReservation), Refusal> {
        let mut reservation = BodyReservation {
            used_bytes: Rc::clone(&self.used_bytes),
            bytes: 0,
        };
        let mut first_frame = Bytes::new();
        let mut buffer: Option<BytesMut> = None;
        while let Some(frame) = incoming.frame().await {
            let aborted = |_| Refusal::not_run(Reason::BadRequest, "the body broke off");
            let data = frame.map_err(aborted)?.into_data().unwrap_or_default();
            reservation.reserve(data.len(), self.budget_bytes)?;
            if reservation.bytes > max_bytes {
                return Err(too_large(max_bytes));
            }
            if first_frame.is_empty() && buffer.is_none() {
                // Most bodies arrive in one frame, which is returned without a copy.
                first_frame = data;
                continue;
            }
            let buffer = buffer.get_or_insert_with(|| {
                let mut buffer = BytesMut::with_capacity(content_length.max(reservation.bytes));
                buffer.extend_from_slice(&first_frame);
                buffer
            });
            buffer.extend_from_slice(&data);
        }
        let body = buffer.map_or(first_frame, BytesMut::freeze);
        if body.len() < content_length {
            return Err(Refusal::not_run(Reason::BadRequest, "the body broke off"));
        }
        Ok((body, reservation))
    }
}

fn too_large(max_bytes: usize) -> Refusal {
    let message = format!("the body is larger than {max_bytes} bytes");
    Refusal::not_run(Reason::BodyTooLarge, message)
}
