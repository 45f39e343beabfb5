//! Forwards an upstream's event stream to the caller.
//!
//! Only complete events are forwarded, as they arrive. A stream that breaks off
//! is resumed at another upstream after the last event if its route allows that.
//! Otherwise the response ends with an error, so that the caller can detect the
//! truncation. When the caller disconnects, the upstream's connection is closed
//! at once, which cancels the request there.

use std::rc::Rc;

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use http_body_util::channel::Sender;
use http_body_util::{BodyExt, Channel, Either};
use hyper::Response;
use hyper::body::Frame;
use tokio_util::sync::CancellationToken;

use super::call::{Attempts, RoutedRequest};
use super::crashes::SOUND_AFTER_MS;
use super::exchange::OpenStream;
use super::place::InFlightAttempt;
use super::platform::Platform;
use super::state::Gateway;
use crate::core::balance::UpstreamFilter;
use crate::core::event_progress::EventProgress;
use crate::core::load::AttemptOutcome;
use crate::edge::body::{ServerResponse, StreamedBody, Truncated};
use crate::edge::pool::PooledBody;

/// Frames buffered between upstream and caller.
const MAX_BUFFERED_FRAMES: usize = 8;
/// Largest event in bytes; a larger one is treated as invalid data.
const MAX_EVENT_BYTES: usize = 256 * 1024;
/// Delimiter of events.
const EVENT_DELIMITER: &[u8] = b"\n\n";
/// Field with the ID of an event.
const ID_FIELD: &[u8] = b"id:";

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
    let (sender, channel) = Channel::new(MAX_BUFFERED_FRAMES);
    let disconnected = CancellationToken::new();
    let body = StreamedBody::new(channel, disconnected.clone());
    let mut response = Response::new(Either::Right(body));
    *response.status_mut() = opened.status;
    *response.headers_mut() = opened.headers;
    let relay = Relay {
        gateway: Rc::clone(gateway),
        request,
        attempts,
        sender,
        disconnected,
        last_event_id: None,
        event_batches: 0,
        first_event_ms: 0,
        responding_since_ms: None,
        is_sound: false,
        longest_gap_ms: 0,
    };
    compio::runtime::spawn(relay.run(in_flight, opened.body)).detach();
    response
}

struct Relay<P: Platform> {
    gateway: Rc<Gateway<P>>,
    request: RoutedRequest,
    attempts: Attempts,
    sender: Sender<Bytes, Truncated>,
    disconnected: CancellationToken,
    last_event_id: Option<String>,
    event_batches: u64,
    first_event_ms: u64,
    /// Time of the first event from the present upstream.
    responding_since_ms: Option<u64>,
    /// True once that upstream counts as responding soundly.
    is_sound: bool,
    longest_gap_ms: u64,
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
            }
            in_flight.finish(match end {
                SegmentEnd::Complete => AttemptOutcome::Succeeded,
                SegmentEnd::Interrupted | SegmentEnd::Stalled => AttemptOutcome::Failed,
                SegmentEnd::CallerDisconnected | SegmentEnd::TimedOut => AttemptOutcome::Neutral,
            });
            if end != SegmentEnd::Interrupted {
                break end;
            }
            match self.resume().await {
                Some((next, opened)) => {
                    self.responding_since_ms = None;
                    self.is_sound = false;
                    in_flight = next;
                    body = opened.body;
                }
                None => break end,
            }
        };
        if end == SegmentEnd::Complete {
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
            self.sender.abort(Truncated);
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
            let frame = futures_util::select_biased! {
                () = self.disconnected.cancelled().fuse() => return SegmentEnd::CallerDisconnected,
                frame = compio::time::timeout(time_left, body.frame()).fuse() => frame,
            };
            let data = match frame {
                Err(_) if progress.is_stalled(self.gateway.now_ms()) => return SegmentEnd::Stalled,
                Err(_) => return SegmentEnd::TimedOut,
                Ok(None) if partial.is_empty() => return SegmentEnd::Complete,
                Ok(None | Some(Err(_))) => return SegmentEnd::Interrupted,
                Ok(Some(Ok(frame))) => frame.into_data().unwrap_or_default(),
            };
            let now_ms = self.gateway.now_ms();
            if self.event_batches > 0 {
                self.longest_gap_ms = self.longest_gap_ms.max(now_ms - last_ms);
            }
            last_ms = now_ms;
            let Some(events) = split_complete_events(&mut partial, data) else {
                return SegmentEnd::Interrupted;
            };
            progress.on_data(now_ms, !events.is_empty(), !partial.is_empty());
            if events.is_empty() {
                continue;
            }
            self.record_events(in_flight, &events, now_ms);
            let sending = self.sender.send(Frame::data(events));
            let sent = futures_util::select_biased! {
                () = self.disconnected.cancelled().fuse() => return SegmentEnd::CallerDisconnected,
                sent = compio::time::timeout(time_left, sending).fuse() => sent,
            };
            match sent {
                Ok(Ok(())) => {}
                Ok(Err(_)) => return SegmentEnd::CallerDisconnected,
                Err(_) => return SegmentEnd::TimedOut,
            }
        }
    }

    fn record_events(&mut self, in_flight: &mut InFlightAttempt<P>, events: &[u8], now_ms: u64) {
        if self.event_batches == 0 {
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

    /// Opens the remainder of the stream at another upstream.
    async fn resume(&mut self) -> Option<(InFlightAttempt<P>, OpenStream)> {
        let is_exhausted = self.attempts.sent_to.len() as u32 >= self.request.max_attempts;
        let is_barred = self.request.is_trial || self.gateway.hold_back(&self.request).is_some();
        if !self.request.kind.is_repeatable() || is_exhausted || is_barred {
            return None;
        }
        let disconnected = self.disconnected.clone();
        futures_util::select_biased! {
            () = disconnected.cancelled().fuse() => None,
            opened = self.reopen().fuse() => opened,
        }
    }

    async fn reopen(&mut self) -> Option<(InFlightAttempt<P>, OpenStream)> {
        if !self.gateway.try_retry(&self.request.requirements.service) {
            return None;
        }
        let filter = UpstreamFilter {
            excluded: self.attempts.sent_to.clone(),
            only: Vec::new(),
        };
        let mut in_flight = self
            .gateway
            .acquire_upstream(&self.request, &filter)
            .await
            .ok()?;
        let upstream = in_flight.sent.upstream.clone();
        let after = self.last_event_id.clone();
        self.attempts.sent_to.push(upstream.clone());
        let opened = self
            .gateway
            .open_stream(&self.request, &mut in_flight, after.as_deref())
            .await;
        tracing::info!(
            event = "resume",
            request = self.request.request_id,
            upstream = %upstream,
            after = after.as_deref().unwrap_or(""),
            opened = opened.is_ok(),
        );
        match opened {
            Ok(opened) => {
                self.gateway.metrics.streams_resumed.inc();
                Some((in_flight, opened))
            }
            Err(failure) => {
                self.gateway
                    .on_failed_attempt(&self.request, &in_flight.sent, &failure);
                in_flight.finish(failure.attempt_outcome());
                None
            }
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

/// ID of the last event that has an ID.
pub fn last_event_id(events: &[u8]) -> Option<String> {
    let lines = events.rsplit(|&b| b == b'\n');
    let id = lines.into_iter().find_map(|l| l.strip_prefix(ID_FIELD))?;
    let text = std::str::from_utf8(id).ok()?;
    Some(text.trim().to_owned())
}
