//! HTTP bodies: reads with a size and a time limit, and complete or streamed
//! responses.

use std::fmt;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Channel, Either, Full, LengthLimitError, Limited};
use hyper::Response;
use hyper::body::{Body, Frame, Incoming};
use hyper::header::{CONTENT_TYPE, HeaderValue};
use serde::Serialize;
use tokio_util::sync::{CancellationToken, DropGuard};

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

/// Streamed body that can notify its sender when it is dropped, such as after the
/// receiver has disconnected.
#[derive(Debug)]
pub struct StreamedBody {
    channel: Channel<Bytes, Truncated>,
    _drop_guard: Option<DropGuard>,
}

impl StreamedBody {
    /// Creates a body that cancels `closed` when it is dropped.
    pub fn new(channel: Channel<Bytes, Truncated>, closed: CancellationToken) -> Self {
        Self {
            channel,
            _drop_guard: Some(closed.drop_guard()),
        }
    }
}

impl From<Channel<Bytes, Truncated>> for StreamedBody {
    fn from(channel: Channel<Bytes, Truncated>) -> Self {
        Self {
            channel,
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
        Pin::new(&mut self.channel).poll_frame(cx)
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
const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;
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
