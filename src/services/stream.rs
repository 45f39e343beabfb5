//! Relays an engine's event stream to the caller.
//!
//! Events have consecutive ids. After a missing, repeated or unknown id the
//! relay drops the response of this engine and resumes the stream after the
//! last event sent to the caller. A stream ends with `[DONE]` or is visibly
//! truncated, never silently. The channel to the caller is bounded, so that a
//! slow caller slows the engine down.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use eventsource_stream::{Event, Eventsource};
use futures_util::StreamExt;
use http_body_util::channel::Sender;
use http_body_util::{BodyExt, Channel, Either};
use hyper::Response;
use hyper::body::Frame;
use hyper::header::{CACHE_CONTROL, CONTENT_TYPE, HeaderValue};

use super::dispatch::{Attempts, Dispatcher, InFlightGuard, UpstreamCall, UpstreamResponse};
use super::host::Host;
use crate::core::outcome::{Outcome, Reason, Refusal};
use crate::edge::body::{ServerResponse, Truncated};
use crate::edge::pool::PooledBody;

/// Capacity of the channel to the caller, in events.
const BUFFERED_EVENTS: usize = 16;
/// Time without an event after which a stream is resumed at another upstream.
pub const EVENT_GAP_TIMEOUT: Duration = Duration::from_secs(2);
/// Limit of the wait until the connection has taken the last event.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Data of the event that ends a stream.
pub const DONE: &str = "[DONE]";

/// How a stream ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamEnd {
    /// All events were sent to the caller.
    Complete,
    /// The caller disconnected.
    CallerDisconnected,
    /// The stream was aborted after an error event.
    Aborted(Refusal),
}

/// Observer of the end of a stream, such as for the request's accounting.
pub trait OnEnd: 'static {
    /// Called once, when the stream has ended.
    fn on_end(self, end: &StreamEnd);
}

/// Starts to relay a stream; returns the response to the caller.
pub fn relay<E: OnEnd>(
    host: Rc<Host>,
    dispatcher: Rc<Dispatcher>,
    call: UpstreamCall,
    attempts: Attempts,
    upstream_response: UpstreamResponse,
    on_end: E,
) -> ServerResponse {
    let (sender, body) = Channel::new(BUFFERED_EVENTS);
    let mut response = Response::new(Either::Right(body.into()));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    let relay = Relay {
        host,
        dispatcher,
        call,
        attempts,
        sender,
        next_event_id: 0,
    };
    compio::runtime::spawn(async move {
        let end = relay.run(upstream_response).await;
        on_end.on_end(&end);
    })
    .detach();
    response
}

struct Relay {
    host: Rc<Host>,
    dispatcher: Rc<Dispatcher>,
    call: UpstreamCall,
    attempts: Attempts,
    sender: Sender<Bytes, Truncated>,
    next_event_id: u64,
}

/// How the part of a stream that one upstream sent has ended.
enum SegmentEnd {
    Done,
    CallerDisconnected,
    Failed,
}

impl Relay {
    async fn run(mut self, first: UpstreamResponse) -> StreamEnd {
        let mut upstream_response = first;
        loop {
            let UpstreamResponse {
                in_flight,
                response,
            } = upstream_response;
            match self.forward_events(response.into_body()).await {
                SegmentEnd::Done => return StreamEnd::Complete,
                SegmentEnd::CallerDisconnected => return StreamEnd::CallerDisconnected,
                SegmentEnd::Failed => {}
            }
            match self.resume(in_flight).await {
                Ok(next) => upstream_response = next,
                Err(refusal) => return self.abort_stream(refusal).await,
            }
        }
    }

    async fn forward_events(&mut self, body: PooledBody) -> SegmentEnd {
        let mut events = std::pin::pin!(body.into_data_stream().eventsource());
        loop {
            let expires_at = self.call.deadline.min(Instant::now() + EVENT_GAP_TIMEOUT);
            let next = compio::time::timeout_at(expires_at, events.next()).await;
            let Ok(Some(Ok(event))) = next else {
                return SegmentEnd::Failed;
            };
            if event.data == DONE {
                // The connection is reused only after the end of the body was read.
                let _ = compio::time::timeout_at(expires_at, events.next()).await;
                return self.send_done().await;
            }
            if event.id.parse() != Ok(self.next_event_id) {
                return SegmentEnd::Failed;
            }
            self.next_event_id += 1;
            if self.sender.send(encode(&event)).await.is_err() {
                return SegmentEnd::CallerDisconnected;
            }
        }
    }

    async fn send_done(&mut self) -> SegmentEnd {
        let done = Frame::data(Bytes::from_static(b"data: [DONE]\n\n"));
        match self.sender.send(done).await {
            Ok(()) => SegmentEnd::Done,
            Err(_) => SegmentEnd::CallerDisconnected,
        }
    }

    async fn resume(&mut self, failed: InFlightGuard) -> Result<UpstreamResponse, Refusal> {
        failed.record_failure();
        drop(failed);
        if Instant::now() >= self.call.deadline {
            return Err(Refusal::unknown(
                Reason::DeadlineExceeded,
                "the deadline passed",
            ));
        }
        let stream_failure = || {
            Refusal::unknown(
                Reason::UpstreamFailed,
                "the stream broke and was not resumed",
            )
        };
        if !self.dispatcher.spend_retry(&self.call.team) {
            return Err(stream_failure());
        }
        let last_event_id = self.next_event_id.checked_sub(1);
        let next = self
            .dispatcher
            .dispatch(&self.call, &mut self.attempts, last_event_id)
            .await;
        let next = next.map_err(|_| stream_failure())?;
        self.host.metrics.streams_resumed.inc();
        Ok(next)
    }

    async fn abort_stream(mut self, refusal: Refusal) -> StreamEnd {
        let refusal = Refusal {
            outcome: Outcome::Unknown,
            ..refusal
        };
        let json = serde_json::to_string(&refusal).unwrap_or_default();
        let event = format!("event: error\ndata: {json}\n\n");
        // The caller may have disconnected; the connection is aborted either
        // way.
        let _ = self.sender.send(Frame::data(Bytes::from(event))).await;
        self.flush().await;
        self.sender.abort(Truncated);
        StreamEnd::Aborted(refusal)
    }
}

impl Relay {
    /// Waits until the connection has taken all events, because an abort
    /// overtakes queued events.
    async fn flush(&mut self) {
        let expires_at = Instant::now() + FLUSH_TIMEOUT;
        while self.sender.capacity() < self.sender.max_capacity() && Instant::now() < expires_at {
            compio::time::sleep(FLUSH_POLL_INTERVAL).await;
        }
        compio::time::sleep(FLUSH_POLL_INTERVAL).await;
    }
}

fn encode(event: &Event) -> Frame<Bytes> {
    let mut text = String::with_capacity(event.data.len() + event.id.len() + 16);
    text.push_str("id: ");
    text.push_str(&event.id);
    for line in event.data.lines() {
        text.push_str("\ndata: ");
        text.push_str(line);
    }
    text.push_str("\n\n");
    Frame::data(Bytes::from(text))
}
