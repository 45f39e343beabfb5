//! Tells other hosts where the streams of this host began, and finds out where a stream
//! began that a caller takes up (`core::stream_origin`).
//!
//! A host that neither knows nor learns where a stream began, and cannot tell since the
//! service has several software versions, refuses to take it up.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::header::{HOST, HeaderMap};

use super::call::RoutedRequest;
use super::exchange::{AttemptFailure, OpenStream};
use super::metrics::ResumeLabels;
use super::peer_messages::PeerMessage;
use super::place::InFlightAttempt;
use super::platform::Platform;
use super::questions::Questions;
use super::state::Gateway;
use crate::core::catalog::Catalog;
use crate::core::ids::{HostId, ServiceId, SoftwareVersion, UpstreamId};
use crate::core::registry::Entry;
use crate::core::request_traits::Fingerprint;
use crate::core::stream_origin::{
    StreamOrigin, StreamOrigins, asked_hosts, stream_key, told_hosts,
};

/// Time after which other hosts count as unable to answer; several times the round trip
/// between zones. They are asked twice, since datagrams get lost.
const ASK_TIMEOUTS: [Duration; 2] = [Duration::from_millis(30), Duration::from_millis(60)];
/// Time for which an announcement vouches for an upstream's incarnation, in milliseconds;
/// upstreams announce themselves about once a second.
const ANNOUNCEMENT_VALID_MS: u64 = 3_000;
/// Time by which a stream may outlast the timeout of its route, in milliseconds.
const STREAM_AGE_MARGIN_MS: u64 = 2_000;
/// Limit of the streams in one datagram; keeps it within a packet of the usual size.
const MAX_STREAMS_PER_DATAGRAM: usize = 12;
/// Reason for streams that are not taken up since nothing tells where they began.
pub const UNKNOWN_SOFTWARE: &str = "unknown_software";

/// Where a stream began, as told to other hosts; none if it is uncertain.
pub type ToldOrigin = (Fingerprint, Option<StreamOrigin>);

type SelectHosts =
    for<'a> fn(Fingerprint, &HostId, &str, &[(&'a HostId, &'a str)]) -> Vec<&'a HostId>;

/// Streams that began at this host or of which it was told, and its questions.
#[derive(Debug, Default)]
pub struct OriginDesk {
    origins: RefCell<StreamOrigins>,
    untold: RefCell<Vec<ToldOrigin>>,
    questions: Questions<Option<StreamOrigin>>,
    /// Hosts that have not answered a question yet, by ticket.
    awaited: RefCell<HashMap<u64, usize>>,
}

/// Service and software version at which a stream goes on.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ResumePlace {
    /// Service.
    pub service: ServiceId,
    /// Version.
    pub software: SoftwareVersion,
}

impl From<&StreamOrigin> for ResumePlace {
    fn from(origin: &StreamOrigin) -> Self {
        Self {
            service: origin.service.clone(),
            software: origin.software.clone(),
        }
    }
}

/// Key of the stream that a request begins or takes up.
fn key_of(headers: &HeaderMap, request_id: &str) -> Fingerprint {
    let caller = headers.get(HOST).map_or(&[][..], |h| h.as_bytes());
    stream_key(caller, request_id)
}

impl<P: Platform> Gateway<P> {
    /// Incarnation that is listed for an upstream, unless its software version is unknown.
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

    /// True unless another incarnation of its upstream is listed by now.
    pub fn is_not_contradicted(&self, origin: &StreamOrigin) -> bool {
        let registry = self.registry.borrow();
        let entry = registry.get(origin.upstream.as_str());
        entry.is_none_or(|e| e.started_ms == origin.started_ms)
    }

    /// True if the listed incarnation was announced a moment ago.
    pub fn is_recently_announced(&self, origin: &StreamOrigin) -> bool {
        let now_ms = self.now_ms();
        let is_recent = |e: &Entry| now_ms < e.read_ms + ANNOUNCEMENT_VALID_MS;
        let registry = self.registry.borrow();
        let entry = registry.get(origin.upstream.as_str());
        entry.is_some_and(|e| e.started_ms == origin.started_ms && is_recent(e))
    }

    /// Asks an engine whether it is the listed incarnation. Only a recent announcement
    /// vouches for other upstreams, which do not report, and for those that state how many
    /// requests they take.
    pub async fn confirm_incarnation(&self, origin: &StreamOrigin) -> bool {
        let catalog = self.catalog();
        let spec = catalog
            .as_ref()
            .and_then(|c| c.services.get(&origin.service));
        let is_engine = spec.is_some_and(|s| s.engine.is_some());
        if !is_engine || self.stated_rate(&origin.upstream).is_some() {
            return self.is_recently_announced(origin);
        }
        let addr = {
            let registry = self.registry.borrow();
            registry.get(origin.upstream.as_str()).map(|e| e.addr)
        };
        let Some(addr) = addr else {
            return false;
        };
        let sent_ms = self.now_ms();
        let response = self.platform.fetch_report(addr).await;
        let is_reported = response
            .report
            .is_some_and(|r| r.started_ms == origin.started_ms);
        let is_same = is_reported && self.is_not_contradicted(origin);
        if is_same {
            self.apply_notice(&origin.upstream, sent_ms, response.notice);
        }
        is_same
    }

    /// Opens a stream. One that goes on is opened only at an incarnation that is confirmed
    /// to have the software version that began it.
    pub async fn open_stream_at(
        &self,
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
        if !self.confirm_incarnation(&expected).await {
            return Err(AttemptFailure::NotConfirmed);
        }
        let opened = self.open_stream(request, in_flight, resume_after).await?;
        if opened.origin.as_ref() == Some(&expected) {
            Ok(opened)
        } else {
            Err(AttemptFailure::Unknown)
        }
    }

    /// Records where a stream began, and tells other hosts within a moment.
    pub fn record_origin(&self, request: &RoutedRequest, origin: Option<StreamOrigin>) {
        let began = request.resumes.as_ref().unwrap_or(&request.request_id);
        let stream = key_of(&request.headers, began);
        let mut origins = self.origins.origins.borrow_mut();
        origins.record(self.now_ms(), stream, origin.clone());
        drop(origins);
        self.origins.untold.borrow_mut().push((stream, origin));
    }

    /// Tells other hosts of the streams that have begun since the last call.
    pub fn tell_origins(&self) {
        let untold = self.origins.untold.take();
        if untold.is_empty() {
            return;
        }
        let mut by_host: HashMap<SocketAddr, Vec<ToldOrigin>> = HashMap::new();
        for told in untold {
            for addr in self.responsible_hosts(told.0, told_hosts) {
                by_host.entry(addr).or_default().push(told.clone());
            }
        }
        for (addr, streams) in by_host {
            for streams in streams.chunks(MAX_STREAMS_PER_DATAGRAM) {
                let streams = streams.to_vec();
                self.send_peer(addr, &PeerMessage::StreamsBegan { streams });
            }
        }
    }

    /// Addresses of hosts that a function of `core::stream_origin` selects.
    fn responsible_hosts(&self, stream: Fingerprint, select: SelectHosts) -> Vec<SocketAddr> {
        let settings = self.settings();
        let now_ms = self.now_ms();
        let peers = self.peers.borrow();
        let recipients = peers.recipients(now_ms);
        let hosts: Vec<(&HostId, &str)> = recipients
            .map(|(host, peer)| (host, peer.zone().unwrap_or_default()))
            .collect();
        let selected = select(stream, &settings.host, settings.zone.as_str(), &hosts);
        let addr = |host| peers.get_recipient(now_ms, host).map(|p| p.addr);
        selected.into_iter().filter_map(addr).collect()
    }

    /// Applies what another host tells of its streams.
    pub fn apply_told_origins(&self, streams: Vec<ToldOrigin>) {
        let now_ms = self.now_ms();
        let mut origins = self.origins.origins.borrow_mut();
        for (stream, origin) in streams {
            origins.record(now_ms, stream, origin);
        }
    }

    /// Answers a host that has to take up a stream.
    pub fn answer_origin(&self, host: &HostId, stream: Fingerprint, ticket: u64) {
        let now_ms = self.now_ms();
        let known = {
            let origins = self.origins.origins.borrow();
            let origin = origins.get(now_ms, stream);
            origin.map(|origin| (stream, origin.cloned()))
        };
        let addr = {
            let peers = self.peers.borrow();
            peers.get_recipient(now_ms, host).map(|p| p.addr)
        };
        if let Some(addr) = addr {
            self.send_peer(addr, &PeerMessage::Origin { ticket, known });
        }
    }

    /// Passes an answer to the task that asked; an answer of a host that does not know the
    /// stream counts once all hosts have answered so.
    pub fn apply_origin(&self, ticket: u64, known: Option<ToldOrigin>) {
        let mut awaited = self.origins.awaited.borrow_mut();
        let Some(left) = awaited.get_mut(&ticket) else {
            return;
        };
        *left = left.saturating_sub(1);
        let is_last = *left == 0;
        drop(awaited);
        if known.is_some() || is_last {
            let origin = known.and_then(|(_, origin)| origin);
            self.origins.questions.answer(ticket, origin);
        }
    }

    /// Service and version at which the stream that a request takes up goes on.
    pub async fn resume_place(&self, request: &RoutedRequest) -> Option<ResumePlace> {
        let mut origin = None;
        if let Some(resumes) = request.resumes.as_deref().filter(|id| !id.is_empty()) {
            let stream = key_of(&request.headers, resumes);
            origin = self.find_origin(stream).await;
        }
        let place = match &origin {
            Some(origin) => Some(ResumePlace::from(origin)),
            None => self.only_place(request),
        };
        let began_at = origin.as_ref().map_or("", |o| o.upstream.as_str());
        let software = place.as_ref().map_or("", |p| p.software.as_str());
        tracing::info!(
            event = "taken_up",
            request = request.request_id,
            resumes = request.resumes.as_deref().unwrap_or(""),
            after = request.last_event_id.as_deref().unwrap_or(""),
            began_at,
            software,
        );
        let source = match (&origin, &place) {
            (Some(_), _) => "origin",
            (None, Some(_)) => "only_version",
            (None, None) => "unknown",
        };
        let labels = ResumeLabels { source };
        self.metrics.taken_up.get_or_create(&labels).inc();
        place
    }

    async fn find_origin(&self, stream: Fingerprint) -> Option<StreamOrigin> {
        let now_ms = self.now_ms();
        let known = {
            let origins = self.origins.origins.borrow();
            origins
                .get(now_ms, stream)
                .map(Option::<&StreamOrigin>::cloned)
        };
        if let Some(origin) = known {
            return origin;
        }
        let addrs = if self.is_large_fleet() {
            self.responsible_hosts(stream, asked_hosts)
        } else {
            self.other_hosts(|_| true)
        };
        if addrs.is_empty() {
            return None;
        }
        for timeout in ASK_TIMEOUTS {
            let asked = Cell::new(0);
            let ask = |ticket| {
                asked.set(ticket);
                let mut awaited = self.origins.awaited.borrow_mut();
                awaited.insert(ticket, addrs.len());
                drop(awaited);
                let host = self.settings().host.clone();
                let question = PeerMessage::AskOrigin {
                    host,
                    stream,
                    ticket,
                };
                self.send_peers(addrs.clone(), &question);
            };
            let answer = self.origins.questions.ask(timeout, ask).await;
            self.origins.awaited.borrow_mut().remove(&asked.get());
            if let Some(answer) = answer {
                return answer;
            }
            self.metrics.unanswered_asks.inc();
        }
        None
    }

    /// The only version that the request's service has had for as long as a stream can last.
    fn only_place(&self, request: &RoutedRequest) -> Option<ResumePlace> {
        let service = &request.requirements.service;
        let window_ms = request.route_timeout.as_millis() as u64 + STREAM_AGE_MARGIN_MS;
        let software = self.software.borrow().only_version(
            self.now_ms(),
            window_ms,
            &self.registry.borrow(),
            service,
        );
        software.map(|software| ResumePlace {
            service: service.clone(),
            software,
        })
    }

    /// Binds a request that takes up a stream to the service and the version that began it;
    /// false if its route no longer leads there.
    pub fn bind_to_place(
        &self,
        catalog: &Catalog,
        request: &mut RoutedRequest,
        place: ResumePlace,
    ) -> bool {
        let host = request.headers.get(HOST).and_then(|h| h.to_str().ok());
        let path = request.target.split('?').next().unwrap_or("/");
        let route = catalog.route(host.unwrap_or_default(), path);
        let is_routed =
            route.is_some_and(|r| r.backends.iter().any(|b| b.service == place.service));
        if is_routed && request.requirements.service != place.service {
            request.set_service(catalog, &place.service);
        }
        request.software = Some(place.software);
        is_routed
    }
}
