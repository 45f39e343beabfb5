//! Bodies of callers' requests, within a size, a time and a memory budget.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::CONTENT_LENGTH;

use super::body::{self, ReadError};
use crate::core::outcome::{Reason, Refusal};
use crate::settings::Settings;

/// Memory for request bodies of all callers together, in bytes.
pub const BODY_BUDGET_BYTES: usize = 256 * 1024 * 1024;
/// When to come back if there is no memory for a body, in milliseconds.
const BUSY_RETRY_MS: u64 = 200;

/// Reader of bodies.
#[derive(Debug)]
pub struct BodyReader {
    max_body_bytes: usize,
    body_timeout: Duration,
    used: Rc<Cell<usize>>,
}

/// Share of the body budget, given back when the body is dropped.
#[derive(Debug)]
pub struct BodyShare {
    used: Rc<Cell<usize>>,
    bytes: usize,
}

impl Drop for BodyShare {
    fn drop(&mut self) {
        self.used.set(self.used.get() - self.bytes);
    }
}

impl BodyReader {
    /// Reader with the limits of the settings.
    pub fn new(settings: &Settings) -> Self {
        Self {
            max_body_bytes: settings.max_body_bytes,
            body_timeout: settings.body_timeout,
            used: Rc::default(),
        }
    }

    /// Reads a body within its limits; the share is held until it is dropped.
    pub async fn read(&self, request: Request<Incoming>) -> Result<(Bytes, BodyShare), Refusal> {
        let max_bytes = self.max_body_bytes;
        let too_large = || {
            let message = format!("the body is larger than {max_bytes} bytes");
            Refusal::not_run(Reason::BodyTooLarge, message)
        };
        let announced = request.headers().get(CONTENT_LENGTH);
        let announced: Option<usize> = announced.and_then(|v| v.to_str().ok()?.parse().ok());
        let mut incoming = request.into_body();
        let is_announced_larger = announced.is_some_and(|n| n > max_bytes);
        let reserved = self.reserve(announced.unwrap_or(max_bytes).min(max_bytes));
        let result = match reserved {
            _ if is_announced_larger => Err(too_large()),
            Err(refusal) => Err(refusal),
            Ok(share) => {
                let within = self.body_timeout;
                let read = body::read(&mut incoming, max_bytes, within).await;
                read.map(|bytes| (bytes, share)).map_err(|e| match e {
                    ReadError::TooLarge => too_large(),
                    ReadError::Timeout => {
                        Refusal::not_run(Reason::BodyTimeout, "the body did not arrive in time")
                    }
                    ReadError::Broken => Refusal::not_run(Reason::BadRequest, "the body broke off"),
                })
            }
        };
        if result.is_err() {
            body::discard(incoming);
        }
        result
    }

    fn reserve(&self, bytes: usize) -> Result<BodyShare, Refusal> {
        let used = self.used.get() + bytes;
        if used > BODY_BUDGET_BYTES {
            return Err(
                Refusal::not_run(Reason::Overloaded, "no memory for the body now")
                    .retry_after_ms(BUSY_RETRY_MS),
            );
        }
        self.used.set(used);
        Ok(BodyShare {
            used: Rc::clone(&self.used),
            bytes,
        })
    }
}
