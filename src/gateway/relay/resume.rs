//! Goes on with a stream that broke off, at another upstream.

use futures_util::FutureExt;
use hyper::StatusCode;
use hyper::header::{CONTENT_TYPE, HeaderMap, HeaderValue};

use super::Relay;
use crate::core::balance::UpstreamFilter;
use crate::core::ids::{SoftwareVersion, UpstreamId};
use crate::gateway::exchange::{AttemptFailure, OpenStream};
use crate::gateway::place::InFlightAttempt;
use crate::gateway::platform::Platform;
use crate::gateway::stream_origins::MAX_GAP_MS;

/// Upstreams at which a stream is to go on until one receives the request.
const MAX_RESUME_ATTEMPTS: u32 = 3;

/// It is not certain which software version began a stream.
#[derive(Clone, Copy, Debug)]
struct UncertainOrigin;

/// Head of the response that began a stream.
#[derive(Clone, Debug)]
pub(super) struct StreamHead {
    status: StatusCode,
    content_type: Option<HeaderValue>,
}

impl StreamHead {
    pub(super) fn new(status: StatusCode, headers: &HeaderMap) -> Self {
        Self {
            status,
            content_type: headers.get(CONTENT_TYPE).cloned(),
        }
    }

    /// True if a response with another head may go on with the stream.
    fn continues_with(&self, next: &Self) -> bool {
        self.status == next.status && self.content_type == next.content_type
    }
}

impl<P: Platform> Relay<P> {
    /// Software version at which the stream may go on; `Ok(None)` if any may continue it,
    /// as no event was sent, and an error if that version is not certain.
    fn software_to_go_on(&self) -> Result<Option<SoftwareVersion>, UncertainOrigin> {
        if self.request.software.is_some() || self.event_batches == 0 {
            return Ok(self.request.software.clone());
        }
        let began = self.began.as_ref().ok_or(UncertainOrigin)?;
        if began.is_certain.get() {
            Ok(Some(began.origin.software.clone()))
        } else {
            Err(UncertainOrigin)
        }
    }

    /// Opens the remainder of the stream at another upstream.
    pub(super) async fn resume(&mut self) -> Option<(InFlightAttempt<P>, OpenStream)> {
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
        let Ok(software) = self.software_to_go_on() else {
            self.log_not_resumed("uncertain_origin");
            return None;
        };
        if self.event_batches > 0 && self.last_event_id.is_none() {
            self.log_not_resumed("no_event_id");
            return None;
        }
        if !self.gateway.try_retry(&self.request.requirements.service) {
            return None;
        }
        let broke_off_ms = self.gateway.now_ms();
        let evidence_by_ms = self.request.evidence_by_ms(broke_off_ms);
        let mut filter = UpstreamFilter {
            excluded: self.attempts.sent_to.clone(),
            go_on_by_ms: Some(broke_off_ms + MAX_GAP_MS),
            is_resumable: true,
            software,
            ..UpstreamFilter::default()
        };
        for _ in 0..MAX_RESUME_ATTEMPTS {
            let acquired = self.gateway.acquire_upstream(&self.request, &filter).await;
            let mut in_flight = match acquired {
                Ok(in_flight) => in_flight,
                Err(rejection) => {
                    self.log_not_resumed(rejection.reason);
                    return None;
                }
            };
            let upstream = in_flight.sent.upstream.clone();
            let after = self.last_event_id.clone();
            let opening = self.gateway.open_stream_at(
                &self.request,
                &mut in_flight,
                after.as_deref(),
                filter.software.as_ref(),
                evidence_by_ms,
            );
            let opened = opening.await;
            self.log_resume(&upstream, &filter, &opened);
            let failure = match opened {
                Ok(opened) if self.is_continued_by(&opened) => {
                    self.attempts.sent_to.push(upstream);
                    self.gateway.metrics.streams_resumed.inc();
                    return Some((in_flight, opened));
                }
                Ok(_) => AttemptFailure::Unknown,
                Err(failure) => failure,
            };
            let is_unsent = failure.is_unsent();
            self.gateway
                .on_failed_attempt(&self.request, &in_flight.sent, &failure);
            in_flight.finish(failure.attempt_outcome());
            if !is_unsent {
                self.attempts.sent_to.push(upstream);
                self.log_not_resumed(failure.as_str());
                return None;
            }
            filter.excluded.push(upstream);
        }
        self.log_not_resumed("not_sent");
        None
    }

    /// True if a response may go on with the stream, by its head.
    fn is_continued_by(&self, opened: &OpenStream) -> bool {
        let next = StreamHead::new(opened.status, &opened.headers);
        self.head.continues_with(&next)
    }

    fn log_resume(
        &self,
        upstream: &UpstreamId,
        filter: &UpstreamFilter,
        opened: &Result<OpenStream, AttemptFailure>,
    ) {
        let began_at = self.began.as_ref().map(|b| b.origin.upstream.as_str());
        tracing::info!(
            event = "resume",
            request = self.request.request_id,
            upstream = %upstream,
            software = self.gateway.software_of(upstream),
            began_at = began_at.unwrap_or(""),
            began_software = filter.software.as_ref().map_or("", SoftwareVersion::as_str),
            after = self.last_event_id.as_deref().unwrap_or(""),
            opened = opened.is_ok(),
            failure = opened.as_ref().err().map_or("", AttemptFailure::as_str),
        );
    }

    fn log_not_resumed(&self, reason: &'static str) {
        self.gateway.metrics.streams_not_resumed.inc();
        let began = self.began.as_ref().map(|b| &b.origin);
        tracing::info!(
            event = "not_resumed",
            request = self.request.request_id,
            reason,
            began_at = began.map_or("", |o| o.upstream.as_str()),
            began_software = began.map_or("", |o| o.software.as_str()),
        );
    }
}
