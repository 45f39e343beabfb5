//! Passes an engine's event stream on to the caller.
//!
//! Events carry consecutive ids. A gap, a repeat or a foreign id breaks the
//! stream off, and it is resumed after the last event given to the caller. A
//! stream ends with `[DONE]` or is visibly broken off, never silently short.
//! The channel to the caller is bounded, so a slow caller slows the engine.

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

use super::dispatch::{Answered, Attempts, Dispatcher, InFlight, Job};
use super::host::Host;
use crate::core::outcome::{Outcome, Reason, Refusal};
use crate::edge::body::{ServerResponse, Truncated};
use crate::edge::pool::PooledBody;

/// Events buffered between engine and caller.
const BUFFERED_EVENTS: usize = 16;
/// Silence in a stream after which it is resumed elsewhere.
pub const GAP_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for a caller to take the last event.
const FLUSH_TIMEOUT: Duration = Duration::from_secs(1);
const FLUSH_PAUSE: Duration = Duration::from_millis(10);
/// Data of the last event.
pub const DONE: &str = "[DONE]";

/// How a stream ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StreamEnd {
    /// The caller has the whole answer.
    Whole,
    /// The caller went away.
    CallerGone,
    /// The stream was broken off, and the caller was told.
    Broken(Refusal),
}

/// Ends the accounting of a request once its stream has ended.
pub trait OnEnd: 'static {
    /// Called once.
    fn on_end(self, end: &StreamEnd);
}

/// Starts to pass a stream on; returns the answer that carries it.
pub fn relay<E: OnEnd>(
    host: Rc<Host>,
    dispatcher: Rc<Dispatcher>,
    job: Job,
    attempts: Attempts,
    answered: Answered,
    on_end: E,
) -> ServerResponse {
    let (sender, body) = Channel::new(BUFFERED_EVENTS);
    let mut answer = Response::new(Either::Right(body.into()));
    let headers = answer.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    let relay = Relay {
        host,
        dispatcher,
        job,
        attempts,
        sender,
        given: 0,
    };
    compio::runtime::spawn(async move {
        let end = relay.run(answered).await;
        on_end.on_end(&end);
    })
    .detach();
    answer
}

struct Relay {
    host: Rc<Host>,
    dispatcher: Rc<Dispatcher>,
    job: Job,
    attempts: Attempts,
    sender: Sender<Bytes, Truncated>,
    given: u64,
}

/// Why one upstream's part of a stream ended.
enum PartEnd {
    Done,
    CallerGone,
    Failed,
}

impl Relay {
    async fn run(mut self, first: Answered) -> StreamEnd {
        let mut answered = first;
        loop {
            let Answered {
                in_flight,
                response,
            } = answered;
            match self.pass_on(response.into_body()).await {
                PartEnd::Done => return StreamEnd::Whole,
                PartEnd::CallerGone => return StreamEnd::CallerGone,
                PartEnd::Failed => {}
            }
            match self.resume(in_flight).await {
                Ok(next) => answered = next,
                Err(refusal) => return self.break_off(refusal).await,
            }
        }
    }

    async fn pass_on(&mut self, body: PooledBody) -> PartEnd {
        let mut events = std::pin::pin!(body.into_data_stream().eventsource());
        loop {
            let until = self.job.deadline.min(Instant::now() + GAP_TIMEOUT);
            let next = compio::time::timeout_at(until, events.next()).await;
            let Ok(Some(Ok(event))) = next else {
                return PartEnd::Failed;
            };
            if event.data == DONE {
                // Reads the end of the body, so that the connection is reused.
                let _ = compio::time::timeout_at(until, events.next()).await;
                return self.finish().await;
            }
            if event.id.parse() != Ok(self.given) {
                return PartEnd::Failed;
            }
            self.given += 1;
            if self.sender.send(encode(&event)).await.is_err() {
                return PartEnd::CallerGone;
            }
        }
    }

    async fn finish(&mut self) -> PartEnd {
        let done = Frame::data(Bytes::from_static(b"data: [DONE]\n\n"));
        match self.sender.send(done).await {
            Ok(()) => PartEnd::Done,
            Err(_) => PartEnd::CallerGone,
        }
    }

    async fn resume(&mut self, failed: InFlight) -> Result<Answered, Refusal> {
        failed.fail();
        drop(failed);
        if Instant::now() >= self.job.deadline {
            return Err(Refusal::unknown(
                Reason::DeadlineExceeded,
                "the deadline passed",
            ));
        }
        let broken = || {
            Refusal::unknown(
                Reason::UpstreamFailed,
                "the stream broke and was not resumed",
            )
        };
        if !self.dispatcher.spend_retry(&self.job.team) {
            return Err(broken());
        }
        let resume_after = self.given.checked_sub(1);
        let next = self
            .dispatcher
            .dispatch(&self.job, &mut self.attempts, resume_after)
            .await;
        let next = next.map_err(|_| broken())?;
        self.host.metrics.resumed.inc();
        Ok(next)
    }

    async fn break_off(mut self, refusal: Refusal) -> StreamEnd {
        let refusal = Refusal {
            outcome: Outcome::Unknown,
            ..refusal
        };
        let json = serde_json::to_string(&refusal).unwrap_or_default();
        let event = format!("event: error\ndata: {json}\n\n");
        // The caller may be gone; the connection is broken off either way.
        let _ = self.sender.send(Frame::data(Bytes::from(event))).await;
        self.flush().await;
        self.sender.abort(Truncated);
        StreamEnd::Broken(refusal)
    }
}

impl Relay {
    /// Waits until the connection has taken what was sent; an abort would
    /// overtake it.
    async fn flush(&mut self) {
        let until = Instant::now() + FLUSH_TIMEOUT;
        while self.sender.capacity() < self.sender.max_capacity() && Instant::now() < until {
            compio::time::sleep(FLUSH_PAUSE).await;
        }
        compio::time::sleep(FLUSH_PAUSE).await;
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
