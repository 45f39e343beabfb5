//! HTTP bodies: reads with a size and a time limit, and complete or streamed
//! responses.

use std::cell::Cell;
use std::fmt;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Channel, Either, Full, LengthLimitError, Limited};
use hyper::Response;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use serde::Serialize;
use tokio_util::sync::{CancellationToken, DropGuard};

use super::resources::Hold;

/// Error that aborts a streamed response.
///
/// It closes the connection before the end of the body, so that the receiver
/// cannot mistake the body for a complete one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Truncated;

impl fmt::Display for Truncated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the response body was truncated")
    }
}

impl std::error::Error for Truncated {}

/// Response body: complete, or streamed.
pub type ResponseBody = Either<Full<Bytes>, StreamedBody>;
/// Response of one of this process's HTTP servers.
pub type ServerResponse = Response<ResponseBody>;

/// Streamed body, or a complete one that keeps memory taken until it was sent. It can
/// notify its sender when it is dropped, such as after the receiver has disconnected.
#[derive(Debug)]
pub struct StreamedBody {
    source: Either<Full<Bytes>, Channel<Bytes, Truncated>>,
    queued: Option<Rc<QueuedBytes>>,
    holds: Vec<Rc<Hold>>,
    _drop_guard: Option<DropGuard>,
}

impl StreamedBody {
    /// Creates a body that cancels `closed` when it is dropped.
    pub fn new(channel: Channel<Bytes, Truncated>, closed: CancellationToken) -> Self {
        Self {
            _drop_guard: Some(closed.drop_guard()),
            ..Self::from(channel)
        }
    }

    /// Counts what is taken from the channel.
    pub fn with_queue(mut self, queued: Rc<QueuedBytes>) -> Self {
        self.queued = Some(queued);
        self
    }
}

/// Bytes in the channel of a streamed body.
#[derive(Debug, Default)]
pub struct QueuedBytes(Cell<usize>);

impl QueuedBytes {
    /// Counts bytes that are sent to the channel.
    pub fn add(&self, bytes: usize) {
        self.0.set(self.0.get() + bytes);
    }

    /// Number of bytes in the channel.
    pub fn get(&self) -> usize {
        self.0.get()
    }

    fn remove(&self, bytes: usize) {
        self.0.set(self.0.get().saturating_sub(bytes));
    }
}

/// Keeps memory taken until the body of a response was sent or dropped.
pub fn hold_until_sent(response: ServerResponse, hold: Rc<Hold>) -> ServerResponse {
    response.map(|body| {
        let mut body = match body {
            Either::Left(full) => StreamedBody {
                source: Either::Left(full),
                queued: None,
                holds: Vec::new(),
                _drop_guard: None,
            },
            Either::Right(streamed) => streamed,
        };
        body.holds.push(hold);
        Either::Right(body)
    })
}

impl From<Channel<Bytes, Truncated>> for StreamedBody {
    fn from(channel: Channel<Bytes, Truncated>) -> Self {
        Self {
            source: Either::Right(channel),
            queued: None,
            holds: Vec::new(),
            _drop_guard: None,
        }
    }
}

impl Body for StreamedBody {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match &mut self.source {
            Either::Left(full) => Pin::new(full)
                .poll_frame(cx)
                .map_err(|never| match never {}),
            Either::Right(channel) => {
                let frame = ready!(Pin::new(channel).poll_frame(cx));
                if let (Some(Ok(frame)), Some(queued)) = (&frame, &self.queued) {
                    queued.remove(frame.data_ref().map_or(0, Bytes::len));
                }
                Poll::Ready(frame)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match &self.source {
            Either::Left(full) => full.is_end_stream(),
            Either::Right(channel) => channel.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match &self.source {
            Either::Left(full) => full.size_hint(),
            Either::Right(channel) => channel.size_hint(),
        }
    }
}

/// Error of reading a body.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadError {
    /// The body is larger than the limit.
    TooLarge,
    /// The body was not complete within the time limit.
    Timeout,
    /// The connection failed before the end of the body.
    Incomplete,
    /// The memory for all bodies together is exhausted.
    NoMemory,
}

/// Reads a complete body with a size and a time limit.
pub async fn read<B>(body: B, max_bytes: usize, timeout: Duration) -> Result<Bytes, ReadError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(ReadError::TooLarge);
    }
    let collecting = Limited::new(body, max_bytes).collect();
    match compio::time::timeout(timeout, collecting).await {
        Err(_) => Err(ReadError::Timeout),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(ReadError::TooLarge),
        Ok(Err(_)) => Err(ReadError::Incomplete),
    }
}

/// Maximum size of an unwanted body that is read and discarded.
pub(super) const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;
/// Maximum time for reading an unwanted body.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads and discards the rest of an unwanted body in the background.
///
/// Closing a connection with unread bytes resets it, and the sender may lose a
/// response that is still in flight.
pub fn discard(body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    compio::runtime::spawn(async move {
        let mut body = body;
        let mut remaining_bytes = MAX_DISCARDED_BYTES;
        let reading = async {
            while let Some(Ok(frame)) = body.frame().await {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                let Some(remaining) = remaining_bytes.checked_sub(bytes) else {
                    return;
                };
                remaining_bytes = remaining;
            }
        };
        // Dropping the body after the timeout closes the connection.
        let _ = compio::time::timeout(DISCARD_TIMEOUT, reading).await;
    })
    .detach();
}

/// Response with a complete body.
pub fn full_response(
    status: u16,
    content_type: &'static str,
    body: impl Into<Bytes>,
) -> ServerResponse {
    let mut response = Response::new(Either::Left(Full::new(body.into())));
    *response.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    response
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    response
}

/// Response with a JSON body.
pub fn json<T: Serialize>(status: u16, value: &T) -> ServerResponse {
    let body = serde_json::to_vec(value).unwrap_or_default();
    full_response(status, "application/json", body)
}

/// Response with a text body.
pub fn text(status: u16, body: impl Into<Bytes>) -> ServerResponse {
    full_response(status, "text/plain; charset=utf-8", body)
}
