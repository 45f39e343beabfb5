//! Reads the responses of upstreams within a size limit, a time limit and a memory
//! budget that all responses share.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::Body;

use super::body::ReadError;
use super::pool::PooledBody;
use crate::core::response_memory::ResponseMemory;

/// Reader of responses with a shared memory budget.
#[derive(Clone, Debug)]
pub struct ResponseReader {
    memory: Rc<RefCell<ResponseMemory>>,
}

/// Memory held by one response that is being read, released when dropped.
struct HeldMemory<'a> {
    memory: &'a RefCell<ResponseMemory>,
    bytes: usize,
}

impl HeldMemory<'_> {
    fn grow(&mut self, more_bytes: usize) -> Result<(), ReadError> {
        if !self.memory.borrow_mut().grow(self.bytes, more_bytes) {
            return Err(ReadError::NoMemory);
        }
        self.bytes += more_bytes;
        Ok(())
    }
}

impl Drop for HeldMemory<'_> {
    fn drop(&mut self) {
        self.memory.borrow_mut().release(self.bytes);
    }
}

impl ResponseReader {
    /// Creates a reader with a memory budget for all responses together.
    pub fn new(budget_bytes: usize) -> Self {
        Self {
            memory: Rc::new(RefCell::new(ResponseMemory::new(budget_bytes))),
        }
    }

    /// Reads a complete body.
    pub async fn read(
        &self,
        body: PooledBody,
        max_bytes: usize,
        timeout: Duration,
    ) -> Result<Bytes, ReadError> {
        if body.size_hint().lower() > max_bytes as u64 {
            return Err(ReadError::TooLarge);
        }
        let collecting = self.collect(body, max_bytes);
        let read = compio::time::timeout(timeout, collecting).await;
        read.unwrap_or(Err(ReadError::Timeout))
    }

    async fn collect(&self, mut body: PooledBody, max_bytes: usize) -> Result<Bytes, ReadError> {
        let mut held = HeldMemory {
            memory: &self.memory,
            bytes: 0,
        };
        let mut first_frame = Bytes::new();
        let mut buffer = BytesMut::new();
        while let Some(frame) = body.frame().await {
            let frame = frame.map_err(|_| ReadError::Incomplete)?;
            let data = frame.into_data().unwrap_or_default();
            if held.bytes + data.len() > max_bytes {
                return Err(ReadError::TooLarge);
            }
            held.grow(data.len())?;
            if first_frame.is_empty() && buffer.is_empty() {
                // Most bodies arrive in one frame, which is returned without a copy.
                first_frame = data;
            } else {
                buffer.extend_from_slice(&std::mem::take(&mut first_frame));
                buffer.extend_from_slice(&data);
            }
        }
        if buffer.is_empty() {
            return Ok(first_frame);
        }
        Ok(buffer.freeze())
    }
}
