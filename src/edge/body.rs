//! Bodies of requests and answers.

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

/// Why a streamed answer was broken off; ends the connection without a
/// proper end of the body, so that no caller takes it for whole.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Truncated;

impl fmt::Display for Truncated {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("the answer was broken off")
    }
}

impl std::error::Error for Truncated {}

/// Body of an answer: whole, or streamed.
pub type AnswerBody = Either<Full<Bytes>, StreamedBody>;
/// Answer of one of our servers.
pub type Answer = Response<AnswerBody>;

/// Streamed body; tells its sender when the receiver goes away.
#[derive(Debug)]
pub struct StreamedBody {
    channel: Channel<Bytes, Truncated>,
    _gone: Option<DropGuard>,
}

impl StreamedBody {
    /// Body that cancels `gone` when it is dropped.
    pub fn new(channel: Channel<Bytes, Truncated>, gone: CancellationToken) -> Self {
        Self {
            channel,
            _gone: Some(gone.drop_guard()),
        }
    }
}

impl From<Channel<Bytes, Truncated>> for StreamedBody {
    fn from(channel: Channel<Bytes, Truncated>) -> Self {
        Self {
            channel,
            _gone: None,
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

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReadError {
    /// Larger than the limit.
    TooLarge,
    /// Not whole within the time limit.
    Timeout,
    /// The sender broke off.
    Broken,
}

/// Reads a body whole, within a size and a time.
pub async fn read<B>(body: B, max_bytes: usize, within: Duration) -> Result<Bytes, ReadError>
where
    B: Body<Data = Bytes>,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let whole = Limited::new(body, max_bytes).collect();
    match compio::time::timeout(within, whole).await {
        Err(_) => Err(ReadError::Timeout),
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(e)) if e.is::<LengthLimitError>() => Err(ReadError::TooLarge),
        Ok(Err(_)) => Err(ReadError::Broken),
    }
}

/// Most bytes of an unwanted body that are read and thrown away.
const MAX_DISCARDED_BYTES: usize = 64 * 1024 * 1024;
/// Longest time for which an unwanted body is read.
const DISCARD_TIMEOUT: Duration = Duration::from_secs(5);

/// Reads the rest of an unwanted body in the background.
///
/// A connection closed with unread bytes is reset, and the sender may lose
/// the answer that was already on its way.
pub fn discard(body: Incoming) {
    if body.is_end_stream() {
        return;
    }
    compio::runtime::spawn(async move {
        let mut body = body;
        let mut left = MAX_DISCARDED_BYTES;
        let read_on = async {
            while let Some(Ok(frame)) = body.frame().await {
                let bytes = frame.data_ref().map_or(0, Bytes::len);
                let Some(rest) = left.checked_sub(bytes) else {
                    return;
                };
                left = rest;
            }
        };
        // A sender that takes too long loses its connection.
        let _ = compio::time::timeout(DISCARD_TIMEOUT, read_on).await;
    })
    .detach();
}

/// Answer with a whole body.
pub fn whole(status: u16, content_type: &'static str, body: impl Into<Bytes>) -> Answer {
    let mut answer = Response::new(Either::Left(Full::new(body.into())));
    *answer.status_mut() = hyper::StatusCode::from_u16(status).unwrap_or_default();
    answer
        .headers_mut()
        .insert(CONTENT_TYPE, HeaderValue::from_static(content_type));
    answer
}

/// Answer with a JSON body.
pub fn json<T: Serialize>(status: u16, value: &T) -> Answer {
    let body = serde_json::to_vec(value).unwrap_or_default();
    whole(status, "application/json", body)
}

/// Answer with a text body.
pub fn text(status: u16, body: impl Into<Bytes>) -> Answer {
    whole(status, "text/plain; charset=utf-8", body)
}
