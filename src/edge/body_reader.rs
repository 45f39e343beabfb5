//! Bodies of callers' requests, within a size, a time and a memory budget.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::header::{CONTENT_LENGTH, HeaderMap};

use super::body;
use crate::core::outcome::{Reason, Refusal};

/// Memory for request bodies of all callers together, in bytes.
pub const BODY_BUDGET_BYTES: usize = 256 * 1024 * 1024;
/// When to come back if there is no memory for a body, in milliseconds.
const BUSY_RETRY_MS: u64 = 200;

/// Bounds of one body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BodyLimits {
    /// Largest body in bytes.
    pub max_bytes: usize,
    /// Longest time for the whole body to arrive.
    pub timeout: Duration,
}

/// Reader of bodies, with one budget for all of them.
#[derive(Debug)]
pub struct BodyReader {
    budget_bytes: usize,
    used: Rc<Cell<usize>>,
}

/// Share of the body budget, given back when the body is dropped.
#[derive(Debug)]
pub struct BodyShare {
    used: Rc<Cell<usize>>,
    bytes: usize,
}

impl BodyShare {
    fn grow(&mut self, bytes: usize, budget_bytes: usize) -> Result<(), Refusal> {
        let used = self.used.get() + bytes;
        if used > budget_bytes {
            let message = "no memory for the body now";
            return Err(Refusal::not_run(Reason::Overloaded, message).retry_after_ms(BUSY_RETRY_MS));
        }
        self.used.set(used);
        self.bytes += bytes;
        Ok(())
    }
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.used.set(self.used.get() - self.bytes);
    }
}

impl BodyReader {
    /// Reader with a budget for all bodies together.
    pub fn new(budget_bytes: usize) -> Self {
        Self {
            budget_bytes,
            used: Rc::default(),
        }
    }

    /// Reads a body within its limits; the share is held until it is dropped.
    pub async fn read(
        &self,
        headers: &HeaderMap,
        mut incoming: Incoming,
        limits: BodyLimits,
    ) -> Result<(Bytes, BodyShare), Refusal> {
        let announced = headers.get(CONTENT_LENGTH);
        let announced: Option<usize> = announced.and_then(|v| v.to_str().ok()?.parse().ok());
        let result = if announced.is_some_and(|n| n > limits.max_bytes) {
            Err(too_large(limits.max_bytes))
        } else {
            let reading = self.collect(&mut incoming, announced.unwrap_or(0), limits.max_bytes);
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
        announced_bytes: usize,
        max_bytes: usize,
    ) -> Result<(Bytes, BodyShare), Refusal> {
        let mut share = BodyShare {
            used: Rc::clone(&self.used),
            bytes: 0,
        };
        let mut whole = Bytes::new();
        let mut parts: Option<BytesMut> = None;
        while let Some(frame) = incoming.frame().await {
            let broken = |_| Refusal::not_run(Reason::BadRequest, "the body broke off");
            let data = frame.map_err(broken)?.into_data().unwrap_or_default();
            share.grow(data.len(), self.budget_bytes)?;
            if share.bytes > max_bytes {
                return Err(too_large(max_bytes));
            }
            if whole.is_empty() && parts.is_none() {
                // Most bodies arrive in one piece, which needs no copy.
                whole = data;
                continue;
            }
            let parts = parts.get_or_insert_with(|| {
                let mut parts = BytesMut::with_capacity(announced_bytes.max(share.bytes));
                parts.extend_from_slice(&whole);
                parts
            });
            parts.extend_from_slice(&data);
        }
        let body = parts.map_or(whole, BytesMut::freeze);
        if body.len() < announced_bytes {
            return Err(Refusal::not_run(Reason::BadRequest, "the body broke off"));
        }
        Ok((body, share))
    }
}

fn too_large(max_bytes: usize) -> Refusal {
    let message = format!("the body is larger than {max_bytes} bytes");
    Refusal::not_run(Reason::BodyTooLarge, message)
}
