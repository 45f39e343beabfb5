//! Forwards an upstream's event stream to the caller.
//!
//! Only complete events are forwarded, as they arrive. A stream that breaks off
//! is resumed after the last event if its route allows that, at another upstream of the
//! software version that began it, since events of two versions do not fit together.
//! Otherwise the response ends with an error, so that the caller can detect the
//! truncation. Only what goes on with the events before is taken from a later upstream
//! (`core::stream_continuation`). When the caller disconnects, the upstream's connection is closed
//! at once, which cancels the request there.

mod resume;

use std::cell::Cell;
use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use http_body_util::{BodyExt, Either};
use hyper::Response;
use hyper::body::Frame;
use tokio_util::sync::CancellationToken;

use self::resume::StreamHead;
use super::call::{Attempts, RoutedRequest};
use super::crashes::SOUND_AFTER_MS;
use super::exchange::OpenStream;
use super::incarnations::ReportEvidence;
use super::place::InFlightAttempt;
use super::platform::Platform;
use super::state::Gateway;
use super::stream_queue::StreamQueue;
use crate::core::event_progress::EventProgress;
use crate::core::load::AttemptOutcome;
use crate::core::stream_continuation::{Continuation, last_event_id};
use crate::core::stream_origin::StreamOrigin;
use crate::edge::body::ServerResponse;
use crate::edge::pool::{PooledBody, ProcessTrace};

/// Largest event in bytes; a larger one is treated as invalid data.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Delimiter of events.
const EVENT_DELIMITER: &[u8] = b"\n\n";

/// How the part of a stream that one upstream sent ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum SegmentEnd {
    /// The upstream sent the stream to its end.
    Complete,
    /// The caller disconnected.
    CallerDisconnected,
    /// The upstream's response broke off or is not a valid event stream.
    Interrupted,
    /// The request's deadline passed.
    TimedOut,
    /// The request's deadline passed during an event that was never completed.
    Stalled,
}

/// Starts a task that forwards a stream; returns the response that carries it.
pub fn start<P: Platform>(
    gateway: &Rc<Gateway<P>>,
    request: RoutedRequest,
    attempts: Attempts,
    in_flight: InFlightAttempt<P>,
    opened: OpenStream,
) -> ServerResponse {
    let disconnected = CancellationToken::new();
    let (queue, body) = StreamQueue::open(&gateway.resources, disconnected.clone());
    let head = StreamHead::new(opened.status, &opened.headers);
    let mut response = Response::new(Either::Right(body));
    *response.status_mut() = opened.status;
    *response.headers_mut() = opened.headers;
    let relay = Relay {
        gateway: Rc::clone(gateway),
        request,
        attempts,
        queue,
        head,
        continuation: None,
        disconnected,
        ended: CancellationToken::new(),
        origin: opened.origin,
        trace: opened.trace,
        began: None,
        last_event_id: None,
        event_batches: 0,
        first_event_ms: 0,
        responding_since_ms: None,
        is_sound: false,
        longest_gap_ms: 0,
        read_ahead: opened.read_ahead,
    };
    compio::runtime::spawn(relay.run(in_flight, opened.body)).detach();
    response
}

/// Incarnation that is listed for the upstream that sent the first event.
#[derive(Clone, Debug)]
struct Began {
    origin: StreamOrigin,
    /// What its response shows of the process that sent it.
    trace: ProcessTrace,
    /// True once it is certain that this incarnation sent it.
    is_certain: Rc<Cell<bool>>,
}

struct Relay<P: Platform> {
    gateway: Rc<Gateway<P>>,
    request: RoutedRequest,
    attempts: Attempts,
    queue: StreamQueue,
    head: StreamHead,
    /// Check of the present response, unless it is the one that began the stream.
    continuation: Option<Continuation>,
    disconnected: CancellationToken,
    /// Cancelled at the end of the response.
    ended: CancellationToken,
    /// Listed incarnation of the upstream that sends the present response.
    origin: Option<StreamOrigin>,
    /// What the present response shows of the process that sends it.
    trace: ProcessTrace,
    began: Option<Began>,
    last_event_id: Option<String>,
    event_batches: u64,
    first_event_ms: u64,
    /// Time of the first event from the present upstream.
    responding_since_ms: Option<u64>,
    /// True once that upstream counts as responding soundly.
    is_sound: bool,
    longest_gap_ms: u64,
    /// Beginning of the present response, if it was read already.
    read_ahead: Bytes,
}

impl<P: Platform> Relay<P> {
    async fn run(mut self, mut in_flight: InFlightAttempt<P>, mut body: PooledBody) {
        let upstream = in_flight.sent.upstream.clone();
        let end = loop {
            let end = self.forward_events(&mut in_flight, &mut body).await;
            drop(body);
            if end == SegmentEnd::Interrupted {
                let since_ms = self.responding_since_ms;
                self.gateway
                    .on_broken_off(&self.request, &in_flight.sent, since_ms);
                self.settle_origin().await;
            }
            in_flight.finish(match end {
                SegmentEnd::Complete => AttemptOutcome::Succeeded,
                SegmentEnd::Interrupted | SegmentEnd::Stalled => AttemptOutcome::Failed,
                SegmentEnd::CallerDisconnected | SegmentEnd::TimedOut => AttemptOutcome::Neutral,
            });
            if end != SegmentEnd::Interrupted {
                break end;
            }
            // Allocated apart, as most streams are not resumed.
            match Box::pin(self.resume()).await {
                Some((next, opened)) => {
                    let last_id = self.last_event_id.as_ref();
                    let last_id = last_id.or(self.request.last_event_id.as_ref());
                    self.continuation = Some(Continuation::after(last_id.map(String::as_str)));
                    self.responding_since_ms = None;
                    self.is_sound = false;
                    self.origin = opened.origin;
                    self.trace = opened.trace;
                    in_flight = next;
                    body = opened.body;
                }
                None => break end,
            }
        };
        if end == SegmentEnd::Complete {
            self.ended.cancel();
            self.record_sound();
        }
        if let (SegmentEnd::Complete, Some(weights)) = (end, &self.request.requirements.weights) {
            let now_ms = self.gateway.now_ms();
            let mut admission = self.gateway.admission_queue.borrow_mut();
            admission.record_served(weights, now_ms);
        }
        let (outcome, reason) = match end {
            SegmentEnd::Complete => ("served", "answered"),
            SegmentEnd::CallerDisconnected => ("caller_gone", "caller_gone"),
            SegmentEnd::Interrupted => ("broken", "upstream_failed"),
            SegmentEnd::TimedOut => ("broken", "timed_out"),
            SegmentEnd::Stalled => ("broken", "stalled_event"),
        };
        tracing::info!(
            event = "stream",
            request = self.request.request_id,
            events = self.event_batches,
            first_ms = self.first_event_ms,
            longest_gap_ms = self.longest_gap_ms,
            whole = end == SegmentEnd::Complete,
        );
        let status = 200;
        self.gateway.log_outcome(
            &self.request,
            &self.attempts,
            outcome,
            reason,
            status,
            Some(&upstream),
        );
        if end != SegmentEnd::Complete && end != SegmentEnd::CallerDisconnected {
            self.queue.abort();
        }
    }

    async fn forward_events(
        &mut self,
        in_flight: &mut InFlightAttempt<P>,
        body: &mut PooledBody,
    ) -> SegmentEnd {
        let mut partial = BytesMut::new();
        let mut progress = EventProgress::default();
        let mut last_ms = self.gateway.now_ms();
        loop {
            let time_left = self.request.time_left(self.gateway.now_ms());
            let read_ahead = std::mem::take(&mut self.read_ahead);
            let next_frame = async {
                if read_ahead.is_empty() {
                    body.frame().await
                } else {
                    Some(Ok(Frame::data(read_ahead)))
                }
            };
            let frame = futures_util::select_biased! {
                () = self.disconnected.cancelled().fuse() => return SegmentEnd::CallerDisconnected,
                frame = compio::time::timeout(time_left, next_frame).fuse() => frame,
            };
            let data = match frame {
                Err(_) if progress.is_stalled(self.gateway.now_ms()) => return SegmentEnd::Stalled,
                Err(_) => return SegmentEnd::TimedOut,
                Ok(None) if partial.is_empty() && self.may_end() => return SegmentEnd::Complete,
                Ok(None | Some(Err(_))) => return SegmentEnd::Interrupted,
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            let now_ms = self.gateway.now_ms();
            if self.event_batches > 0 {
                self.longest_gap_ms = self.longest_gap_ms.max(now_ms - last_ms);
            }
            last_ms = now_ms;
            let Some(mut events) = split_complete_events(&mut partial, data) else {
                return SegmentEnd::Interrupted;
            };
            progress.on_data(now_ms, !events.is_empty(), !partial.is_empty());
            if self.queue.hold_partial(partial.capacity()).is_err() {
                return SegmentEnd::Interrupted;
            }
            let has_foreign_events = self.cut_foreign_events(&mut events);
            if events.is_empty() {
                if has_foreign_events {
                    return SegmentEnd::Interrupted;
                }
                continue;
            }
            self.record_events(in_flight, &events, now_ms);
            let sending = self.queue.send(events);
            let sent = futures_util::select_biased! {
                () = self.disconnected.cancelled().fuse() => return SegmentEnd::CallerDisconnected,
                sent = compio::time::timeout(time_left, sending).fuse() => sent,
            };
            match sent {
                Ok(Ok(())) if has_foreign_events => return SegmentEnd::Interrupted,
                Ok(Ok(())) => {}
                Ok(Err(_)) => return SegmentEnd::CallerDisconnected,
                Err(_) => return SegmentEnd::TimedOut,
            }
        }
    }

    /// True if the end of the present response may be the end of the stream.
    fn may_end(&self) -> bool {
        self.continuation.as_ref().is_none_or(Continuation::may_end)
    }

    /// Cuts off events that do not go on with the stream; true if there are some.
    fn cut_foreign_events(&mut self, events: &mut Bytes) -> bool {
        let Some(continuation) = &mut self.continuation else {
            return false;
        };
        let accepted = continuation.accept(events);
        if accepted == events.len() {
            return false;
        }
        events.truncate(accepted);
        let request = &self.request.request_id;
        tracing::info!(
            event = "foreign_events",
            request,
            after = self.last_event_id
        );
        true
    }

    fn record_events(&mut self, in_flight: &mut InFlightAttempt<P>, events: &[u8], now_ms: u64) {
        if self.event_batches == 0 {
            self.certify_origin();
            in_flight.record_first_response();
            self.first_event_ms = now_ms.saturating_sub(self.request.arrived_ms);
            let first_event_s = self.first_event_ms as f64 / 1000.0;
            self.gateway.metrics.first_response_s.observe(first_event_s);
        } else {
            in_flight.record_activity();
        }
        let since_ms = *self.responding_since_ms.get_or_insert(now_ms);
        if !self.is_sound && now_ms >= since_ms + SOUND_AFTER_MS {
            self.record_sound();
        }
        self.event_batches += 1;
        if self.request.kind.is_repeatable()
            && let Some(id) = last_event_id(events)
        {
            self.last_event_id = Some(id);
        }
    }

    /// Records that the present upstream responds soundly.
    fn record_sound(&mut self) {
        self.is_sound = true;
        if let Some(since_ms) = self.responding_since_ms {
            self.gateway.record_sound(&self.request.traits, since_ms);
        }
    }

    /// Records the origin of the stream, and lets it become certain.
    fn certify_origin(&mut self) {
        let Some(origin) = self.origin.clone() else {
            return;
        };
        if !self.request.kind.is_repeatable() {
            return;
        }
        let gateway = Rc::clone(&self.gateway);
        let stream = gateway.stream_of(&self.request);
        let trace = self.trace;
        let claim = gateway.claim(origin.clone(), &trace);
        let is_certain = Rc::new(Cell::new(gateway.is_certain(&claim)));
        self.began = Some(Began {
            origin: origin.clone(),
            trace,
            is_certain: Rc::clone(&is_certain),
        });
        if is_certain.get() {
            gateway.record_origin(stream, origin);
            return;
        }
        // What a stream goes on with says nothing of where it began.
        if self.request.software.is_none() {
            gateway.record_claim(stream, claim);
        }
        let ended = self.ended.clone();
        compio::runtime::spawn(async move {
            let certifying = gateway.certify(&origin, &trace);
            let is_certified = futures_util::select_biased! {
                () = ended.cancelled().fuse() => false,
                is_certified = certifying.fuse() => is_certified,
            };
            if is_certified {
                is_certain.set(true);
                gateway.record_origin(stream, origin);
            }
        })
        .detach();
    }

    /// Makes the origin of a stream that broke off certain if its upstream still reports,
    /// and tells other hosts at once, as its caller may return within a moment.
    async fn settle_origin(&self) {
        let Some(began) = self.began.as_ref().filter(|b| !b.is_certain.get()) else {
            return;
        };
        let stream = self.gateway.stream_of(&self.request);
        let claim = self.gateway.claim(began.origin.clone(), &began.trace);
        let evidence = if self.gateway.is_certain(&claim) {
            ReportEvidence::Same
        } else {
            self.gateway.confirm_by_report(&began.origin).await
        };
        match evidence {
            ReportEvidence::Same => {
                began.is_certain.set(true);
                self.gateway.record_origin(stream, began.origin.clone());
                self.gateway.publish_origins();
            }
            ReportEvidence::Other => self.gateway.refute_origin(stream),
            ReportEvidence::None => {}
        }
    }
}

/// Splits the complete events off the received data and leaves the remainder in
/// `partial`; `None` if the remainder exceeds the largest event.
pub fn split_complete_events(partial: &mut BytesMut, data: Bytes) -> Option<Bytes> {
    if partial.is_empty() && data.ends_with(EVENT_DELIMITER) {
        return Some(data);
    }
    // A delimiter may have begun in the bytes that were received before.
    let searched = partial.len().saturating_sub(EVENT_DELIMITER.len() - 1);
    partial.extend_from_slice(&data);
    let end = partial[searched..]
        .windows(EVENT_DELIMITER.len())
        .rposition(|w| w == EVENT_DELIMITER)
        .map_or(0, |at| searched + at + EVENT_DELIMITER.len());
    if partial.len() - end > MAX_EVENT_BYTES {
        return None;
    }
    Some(partial.split_to(end).freeze())
}
