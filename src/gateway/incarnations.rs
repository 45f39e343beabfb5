//! Makes certain which incarnation of an upstream sends or takes a stream.
//!
//! A stream is sent by one process, which has run since its connection was opened, or longer
//! (`core::process_span`). The process is the listed incarnation if that one is known to have
//! run after this time (`core::attestation`), however long ago the connection was opened.

use std::rc::Rc;
use std::time::Duration;

use super::call::RoutedRequest;
use super::exchange::{AttemptFailure, OpenStream};
use super::place::InFlightAttempt;
use super::platform::{FleetStore, Platform};
use super::state::Gateway;
use super::store_facts::ACTING_KEY;
use crate::core::ids::{SoftwareVersion, UpstreamId};
use crate::core::registry::{AnnouncementOrder, Entry};
use crate::core::store_relay::Position;
use crate::core::stream_origin::{OriginClaim, StreamOrigin};
use crate::edge::pool::ProcessTrace;

/// Time for which an announcement vouches for an incarnation that does not report, in
/// milliseconds; upstreams announce themselves about once a second.
const ANNOUNCEMENT_VALID_MS: u64 = 1_500;
/// Age of a stream at which its upstream is asked for a report, or the store for its
/// revision; one serves all streams that were opened until then, and many end before.
const CERTIFY_DELAY: Duration = Duration::from_millis(150);
/// Time between two looks for an announcement while a stream goes on.
const ANNOUNCEMENT_POLL: Duration = Duration::from_millis(250);
/// Time between two looks for evidence while a caller waits for it.
const EVIDENCE_POLL: Duration = Duration::from_millis(50);
/// Shortest time between two reads of the store's revision, in milliseconds; hundreds of hosts
/// may wait for evidence at the same time.
const MIN_READ_INTERVAL_MS: u64 = 200;
/// Time after which an engine counts as unable to report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(200);

/// What an engine reports of its incarnation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReportEvidence {
    /// It did not report.
    None,
    /// It is another one than the one that was asked about.
    Other,
    /// It is the one that was asked about.
    Same,
}

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

    /// Records that an upstream ran when it wrote an announcement, unless that is outdated.
    pub fn attest_announced(
        &self,
        upstream: &UpstreamId,
        announced: AnnouncementOrder,
        written: Position,
    ) {
        let registry = self.registry.borrow();
        let entry = registry.get(upstream.as_str());
        if let Some(entry) = entry.filter(|e| e.order() == announced) {
            let write_times = self.write_times.borrow();
            let ran_at_ms = write_times.written_after_ms(written.era, written.revision);
            let mut attestations = self.attestations.borrow_mut();
            attestations.record(self.now_ms(), upstream, entry.started_ms, ran_at_ms);
        }
    }

    /// Learns the store's present revision, unless that was requested after a time or a moment
    /// ago, so that announcements from now on count as written after it.
    async fn read_revision_after(&self, time_ms: u64) {
        let requested_ms = self.now_ms();
        let last_ms = self.revision_requested_ms.get();
        if last_ms > time_ms || requested_ms < last_ms + MIN_READ_INTERVAL_MS {
            return;
        }
        self.revision_requested_ms.set(requested_ms);
        let store = self.platform.store();
        let era = store.era();
        // Any listing states the revision of the whole store; this one is short.
        let prefix = format!("{}{ACTING_KEY}", P::GATEWAY_PREFIX);
        match store.list(&prefix).await {
            Ok(snapshot) if store.era() == era => {
                let shown = Position {
                    era,
                    revision: snapshot.revision,
                };
                let mut write_times = self.write_times.borrow_mut();
                write_times.record_read(shown, requested_ms);
            }
            Ok(_) => {}
            Err(error) => {
                tracing::debug!(event = "evidence", error = error.as_str(), "no revision");
            }
        }
    }

    /// True if it is certain that the incarnation of a claim has sent the stream.
    pub fn is_certain(&self, claim: &OriginClaim) -> bool {
        let attestations = self.attestations.borrow();
        let origin = &claim.origin;
        attestations.has_run_after(&origin.upstream, origin.started_ms, claim.running_since_ms)
    }

    /// Claim that the listed incarnation has sent a response.
    pub fn claim(&self, origin: StreamOrigin, trace: &ProcessTrace) -> OriginClaim {
        let running_since = self.pool.running_since(trace);
        OriginClaim {
            origin,
            running_since_ms: self.clock.at_ms(running_since),
        }
    }

    /// True if an upstream can be asked for a report: engines that do not state how many
    /// requests they take.
    pub fn can_report(&self, origin: &StreamOrigin) -> bool {
        let catalog = self.catalog();
        let services = catalog.as_ref().map(|c| &c.services);
        let spec = services.and_then(|s| s.get(&origin.service));
        let is_engine = spec.is_some_and(|s| s.engine.is_some());
        is_engine && self.stated_rate(&origin.upstream).is_none()
    }

    /// Waits until it is certain whether the listed incarnation sends a stream; false if it
    /// will not become certain.
    pub async fn certify(&self, origin: &StreamOrigin, trace: &ProcessTrace) -> bool {
        let is_certain = || self.is_certain(&self.claim(origin.clone(), trace));
        if is_certain() {
            return true;
        }
        compio::time::sleep(CERTIFY_DELAY).await;
        while !is_certain() {
            if self.can_report(origin) {
                return self.confirm_by_report(origin).await == ReportEvidence::Same;
            }
            if !self.is_listed(origin) {
                return false;
            }
            let running_since_ms = self.claim(origin.clone(), trace).running_since_ms;
            self.read_revision_after(running_since_ms).await;
            compio::time::sleep(ANNOUNCEMENT_POLL).await;
        }
        true
    }

    /// Waits until `by_ms` for evidence that the incarnation of a claim has sent the stream.
    pub async fn settle_claim(&self, claim: &OriginClaim, by_ms: u64) -> bool {
        if !self.is_certain(claim) && self.can_report(&claim.origin) {
            return self.confirm_by_report(&claim.origin).await == ReportEvidence::Same;
        }
        while !self.is_certain(claim) {
            if !self.is_listed(&claim.origin) || self.now_ms() >= by_ms {
                return false;
            }
            // One read serves all streams that came to wait meanwhile.
            compio::time::sleep(EVIDENCE_POLL).await;
            self.read_revision_after(claim.running_since_ms).await;
        }
        true
    }

    /// Asks an engine whether it is an incarnation.
    pub async fn confirm_by_report(&self, origin: &StreamOrigin) -> ReportEvidence {
        let addr = {
            let registry = self.registry.borrow();
            registry.get(origin.upstream.as_str()).map(|e| e.addr)
        };
        let Some(addr) = addr.filter(|_| self.can_report(origin)) else {
            return ReportEvidence::None;
        };
        let asked_ms = self.now_ms();
        let asking = self.platform.fetch_report(addr);
        let Ok(response) = compio::time::timeout(REPORT_TIMEOUT, asking).await else {
            return ReportEvidence::None;
        };
        match response.report.map(|r| r.started_ms) {
            Some(started_ms) if started_ms == origin.started_ms => {
                self.apply_notice(&origin.upstream, asked_ms, response.notice);
                let mut attestations = self.attestations.borrow_mut();
                attestations.record(self.now_ms(), &origin.upstream, started_ms, asked_ms);
                ReportEvidence::Same
            }
            Some(_) => ReportEvidence::Other,
            None => ReportEvidence::None,
        }
    }

    /// True if an upstream still is a listed incarnation.
    async fn confirm_listed(&self, origin: &StreamOrigin) -> bool {
        if self.can_report(origin) {
            return self.confirm_by_report(origin).await == ReportEvidence::Same;
        }
        let now_ms = self.now_ms();
        self.is_listed_with(origin, |e| now_ms < e.read_ms + ANNOUNCEMENT_VALID_MS)
    }

    /// Opens a stream. One that goes on is opened only at an incarnation that is confirmed
    /// to have the software version that began it, and waits until it is certain, by
    /// `evidence_by_ms`, that this incarnation responds.
    pub async fn open_stream_at(
        self: &Rc<Self>,
        request: &RoutedRequest,
        in_flight: &mut InFlightAttempt<P>,
        resume_after: Option<&str>,
        software: Option<&SoftwareVersion>,
        evidence_by_ms: u64,
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
        let is_listed = opened.origin.as_ref() == Some(&expected);
        let claim = self.claim(expected, &opened.trace);
        if is_listed && self.settle_claim(&claim, evidence_by_ms).await {
            Ok(opened)
        } else {
            Err(AttemptFailure::Unverified)
        }
    }
}
