//! Reads the responses of upstreams within a size limit, a time limit and the memory of the
//! host.

use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

use super::body::ReadError;
use super::pool::PooledBody;
use super::resources::{Hold, Resources};
use crate::core::resource_account::Purpose;

/// Part of a response that the memory of its request covers, so that usual responses can
/// always be read.
pub const COVERED_BYTES: usize = 16 * 1024;
/// Divisor of the largest response that gives the bytes that may frame it.
const FRAMING_DIVISOR: usize = 8;
/// Bytes that may frame a small response.
const MIN_FRAMING_BYTES: usize = 64 * 1024;

/// Reader of responses that takes memory from an account.
#[derive(Clone, Debug)]
pub struct ResponseReader {
    resources: Resources,
}

/// Complete body of a response, and the memory that it takes.
#[derive(Clone, Debug)]
pub struct HeldBytes {
    /// Body.
    pub bytes: Bytes,
    /// Memory beyond what that of its request covers.
    pub hold: Rc<Hold>,
}

impl ResponseReader {
    /// Creates a reader that takes memory from an account.
    pub fn new(resources: Resources) -> Self {
        Self { resources }
    }

    /// Reads a complete body.
    pub async fn read(
        &self,
        body: PooledBody,
        max_bytes: usize,
        timeout: Duration,
    ) -> Result<HeldBytes, ReadError> {
        if body.size_hint().lower() > max_bytes as u64 {
            return Err(ReadError::TooLarge);
        }
        let collecting = self.collect(body, max_bytes);
        let read = compio::time::timeout(timeout, collecting).await;
        read.unwrap_or(Err(ReadError::Timeout))
    }

    async fn collect(
        &self,
        mut body: PooledBody,
        max_bytes: usize,
    ) -> Result<HeldBytes, ReadError> {
        let mut hold = self.resources.empty_hold(Purpose::Response);
        let framing_bytes = (max_bytes / FRAMING_DIVISOR).max(MIN_FRAMING_BYTES);
        let max_wire_bytes = (max_bytes + framing_bytes) as u64;
        let content_length = body.size_hint().lower() as usize;
        let mut first_frame = Bytes::new();
        let mut buffer = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ReadError::Incomplete)?;
            let data = frame.into_data().unwrap_or_default();
            let length = first_frame.len() + buffer.len() + data.len();
            if length > max_bytes || body.received_bytes() > max_wire_bytes {
                return Err(ReadError::TooLarge);
            }
            if first_frame.is_empty() && buffer.is_empty() {
                // Most bodies arrive in one frame, which is returned without a copy.
                first_frame = data;
                continue;
            }
            if buffer.capacity() < length {
                let capacity = content_length.max(length.saturating_mul(2).min(max_bytes));
                let beyond_covered = capacity.saturating_sub(COVERED_BYTES);
                hold.grow_to(beyond_covered)
                    .map_err(|_| ReadError::NoMemory)?;
                buffer.reserve(capacity - buffer.len());
            }
            buffer.extend_from_slice(&std::mem::take(&mut first_frame));
            buffer.extend_from_slice(&data);
        }
        let bytes = if buffer.is_empty() {
            first_frame
        } else {
            buffer.freeze()
        };
        Ok(HeldBytes {
            bytes,
            hold: Rc::new(hold),
        })
    }
}
