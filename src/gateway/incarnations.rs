//! Makes certain which incarnation of an upstream sends or takes a stream.
//!
//! A listing may be out of date: an upstream starts again under its ID, with another software
//! version, while it or this host is cut off from the store. What was known before a
//! connection was opened says nothing about the process at its other end. A report that is
//! requested afterwards does, and so does an announcement: an incarnation that was listed
//! before and still runs has been there all the while.

use std::rc::Rc;
use std::time::Duration;

use super::call::RoutedRequest;
use super::exchange::{AttemptFailure, OpenStream};
use super::place::InFlightAttempt;
use super::platform::Platform;
use super::state::Gateway;
use crate::core::ids::{SoftwareVersion, UpstreamId};
use crate::core::registry::Entry;
use crate::core::stream_origin::StreamOrigin;

/// Time for which an announcement vouches for an incarnation that does not report, in
/// milliseconds; upstreams announce themselves about once a second.
const ANNOUNCEMENT_VALID_MS: u64 = 1_500;
/// Time from an announcement until this host reads it at the latest, in milliseconds.
const ANNOUNCEMENT_LAG_MS: u64 = 500;
/// Age of a stream at which its upstream is asked for a report, which serves all streams
/// opened there until then; many end before.
const CERTIFY_DELAY: Duration = Duration::from_millis(150);
/// Time between two looks for an announcement.
const ANNOUNCEMENT_POLL: Duration = Duration::from_millis(250);
/// Time after which an engine counts as unable to report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);

impl<P: Platform> Gateway<P> {
    /// Listed incarnation of an upstream, unless its software version is unknown.
    pub fn listed_origin(&self, upstream: &UpstreamId) -> Option<StreamOrigin> {
        let registry = self.registry.borrow();
        let entry = registry.get(upstream.as_str())?;
        Some(StreamOrigin {
            service: entry.service.clone(),
            software: entry.software.clone()?,
            upstream: upstream.clone(),
            started_ms: entry.started_ms,
        })
    }

    fn is_listed_with(&self, origin: &StreamOrigin, condition: impl Fn(&Entry) -> bool) -> bool {
        let registry = self.registry.borrow();
        let entry = registry.get(origin.upstream.as_str());
        entry.is_some_and(|e| e.started_ms == origin.started_ms && condition(e))
    }

    /// True while no other incarnation is listed.
    pub fn is_listed(&self, origin: &StreamOrigin) -> bool {
        self.is_listed_with(origin, |_| true)
    }

    /// True if the incarnation has announced itself after a time.
    fn has_announced_since(&self, origin: &StreamOrigin, since_ms: u64) -> bool {
        self.is_listed_with(origin, |e| e.read_ms >= since_ms + ANNOUNCEMENT_LAG_MS)
    }

    /// True if the incarnation has reported to a question that was asked after a time.
    fn has_reported_since(&self, origin: &StreamOrigin, since_ms: u64) -> bool {
        let reported = self.reported_incarnations.borrow();
        let reported = reported.get(&origin.upstream);
        reported.is_some_and(|(started_ms, asked_ms)| {
            *started_ms == origin.started_ms && *asked_ms >= since_ms
        })
    }

    /// True if an upstream can be asked for a report: engines that do not state how many
    /// requests they take.
    fn can_report(&self, origin: &StreamOrigin) -> bool {
        let catalog = self.catalog();
        let services = catalog.as_ref().map(|c| &c.services);
        let spec = services.and_then(|s| s.get(&origin.service));
        let is_engine = spec.is_some_and(|s| s.engine.is_some());
        is_engine && self.stated_rate(&origin.upstream).is_none()
    }

    /// Waits until it is certain that an incarnation sends the stream that was opened at a
    /// time; false if it is another one.
    pub async fn certify(&self, origin: &StreamOrigin, opened_ms: u64) -> bool {
        compio::time::sleep(CERTIFY_DELAY).await;
        loop {
            if self.has_announced_since(origin, opened_ms)
                || self.has_reported_since(origin, opened_ms)
            {
                return true;
            }
            if self.can_report(origin) {
                return self.confirm_by_report(origin).await;
            }
            if !self.is_listed(origin) {
                return false;
            }
            compio::time::sleep(ANNOUNCEMENT_POLL).await;
        }
    }

    /// Asks an engine whether it is an incarnation.
    pub async fn confirm_by_report(&self, origin: &StreamOrigin) -> bool {
        let addr = {
            let registry = self.registry.borrow();
            registry.get(origin.upstream.as_str()).map(|e| e.addr)
        };
        let Some(addr) = addr.filter(|_| self.can_report(origin)) else {
            return false;
        };
        let asked_ms = self.now_ms();
        let asking = self.platform.fetch_report(addr);
        let Ok(response) = compio::time::timeout(REPORT_TIMEOUT, asking).await else {
            return false;
        };
        let started_ms = response.report.map(|r| r.started_ms);
        let is_same = started_ms == Some(origin.started_ms);
        if is_same {
            self.apply_notice(&origin.upstream, asked_ms, response.notice);
            let mut reported = self.reported_incarnations.borrow_mut();
            reported.insert(origin.upstream.clone(), (origin.started_ms, asked_ms));
        }
        is_same
    }

    /// True if an upstream still is a listed incarnation.
    async fn confirm_listed(&self, origin: &StreamOrigin) -> bool {
        if self.can_report(origin) {
            return self.confirm_by_report(origin).await;
        }
        let now_ms = self.now_ms();
        self.is_listed_with(origin, |e| now_ms < e.read_ms + ANNOUNCEMENT_VALID_MS)
    }

    /// Opens a stream. One that goes on is opened only at an incarnation that is confirmed
    /// to have the software version that began it.
    pub async fn open_stream_at(
        self: &Rc<Self>,
        request: &RoutedRequest,
        in_flight: &mut InFlightAttempt<P>,
        resume_after: Option<&str>,
        software: Option<&SoftwareVersion>,
    ) -> Result<OpenStream, AttemptFailure> {
        let Some(software) = software else {
            return self.open_stream(request, in_flight, resume_after).await;
        };
        let listed = self.listed_origin(&in_flight.sent.upstream);
        let Some(expected) = listed.filter(|o| o.software == *software) else {
            return Err(AttemptFailure::NotConfirmed);
        };
        if !self.confirm_listed(&expected).await {
            return Err(AttemptFailure::NotConfirmed);
        }
        let opened = self.open_stream(request, in_flight, resume_after).await?;
        if opened.origin.as_ref() == Some(&expected) {
            Ok(opened)
        } else {
            Err(AttemptFailure::Unknown)
        }
    }
}
