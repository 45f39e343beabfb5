//! Limit of the bytes that a connection receives up to the end of a response head.
//!
//! The HTTP library limits a single head, but skips interim (1xx) responses without a
//! limit, and does so for as long as there are bytes to read.

use std::cell::Cell;
use std::io;
use std::rc::Rc;

use compio::BufResult;
use compio::buf::IoBufMut;
use compio::io::AsyncRead;

/// Limit of one connection.
#[derive(Debug)]
pub struct HeadLimit {
    max_bytes: usize,
    /// `None` while no response head is expected.
    received_bytes: Cell<Option<usize>>,
}

impl HeadLimit {
    /// Limit of a connection that expects no response head yet.
    pub fn new(max_bytes: usize) -> Self {
        Self {
            max_bytes,
            received_bytes: Cell::new(None),
        }
    }

    /// Counts the bytes received from now on.
    pub fn start(&self) {
        self.received_bytes.set(Some(0));
    }

    /// Ends the count; the head has been received.
    pub fn stop(&self) {
        self.received_bytes.set(None);
    }

    fn is_reached(&self) -> bool {
        self.received_bytes
            .get()
            .is_some_and(|n| n >= self.max_bytes)
    }

    fn record(&self, bytes: usize) {
        let received_bytes = self.received_bytes.get();
        self.received_bytes.set(received_bytes.map(|n| n + bytes));
    }
}

/// Reader that fails once the limit is reached.
#[derive(Debug)]
pub struct HeadLimitedReader<R> {
    reader: R,
    limit: Rc<HeadLimit>,
}

impl<R> HeadLimitedReader<R> {
    /// Applies a limit to a reader.
    pub fn new(reader: R, limit: Rc<HeadLimit>) -> Self {
        Self { reader, limit }
    }
}

impl<R: AsyncRead> AsyncRead for HeadLimitedReader<R> {
    async fn read<B: IoBufMut>(&mut self, buf: B) -> BufResult<usize, B> {
        if self.limit.is_reached() {
            return BufResult(Err(io::ErrorKind::FileTooLarge.into()), buf);
        }
        let result = self.reader.read(buf).await;
        self.limit.record(*result.0.as_ref().unwrap_or(&0));
        result
    }
}
