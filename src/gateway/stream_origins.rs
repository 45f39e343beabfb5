//! Tells other hosts where the streams of this host began, and finds out where a stream
//! began that a caller takes up (`core::stream_origin`).
//!
//! A host that neither knows nor learns where a stream began refuses to take it up. At
//! engines it tells by the software version if their service has had only one: an engine that
//! has started again without being listed holds no weights, and begins no stream.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::header::HOST;

use super::call::RoutedRequest;
use super::metrics::ResumeLabels;
use super::peer_messages::PeerMessage;
use super::platform::Platform;
use super::questions::Questions;
use super::state::Gateway;
use super::stated_origins::{StatedClaim, StatedOrigin};
use crate::core::catalog::{Catalog, Route};
use crate::core::features::Feature;
use crate::core::ids::{HostId, ServiceId, SoftwareVersion};
use crate::core::peer_list::Peer;
use crate::core::request_traits::Fingerprint;
use crate::core::stream_origin::{
    OriginClaim, OriginKnowledge, StreamOrigin, StreamOrigins, lookup_hosts, replica_hosts,
    stream_key,
};

/// Time after which other hosts count as unable to answer; several times the round trip
/// between zones. They are asked twice, since datagrams get lost.
const ASK_TIMEOUTS: [Duration; 2] = [Duration::from_millis(30), Duration::from_millis(60)];
/// Time by which a stream may outlast the timeout of its route, in milliseconds.
const STREAM_AGE_MARGIN_MS: u64 = 2_000;
/// Limit of the streams in one datagram; keeps it within a packet of the usual size.
const MAX_STREAMS_PER_DATAGRAM: usize = 12;
/// Longest time for which a stream waits to go on, in milliseconds; callers give up a stream
/// after a gap of about two seconds.
pub const MAX_GAP_MS: u64 = 1_000;
/// Reason for streams that do not go on since nothing tells where they began.
pub const UNKNOWN_SOFTWARE: &str = "unknown_software";

/// Stream with its origin, as sent to other hosts.
pub type KnownOrigin = (Fingerprint, StreamOrigin);

type SelectHosts =
    for<'a> fn(Fingerprint, &HostId, &str, &[(&'a HostId, &'a str)]) -> Vec<&'a HostId>;

/// Question that other hosts have to answer.
#[derive(Clone, Debug)]
struct Awaited {
    stream: Fingerprint,
    /// Hosts that have not answered yet.
    left: usize,
    /// What the others know, unless one has settled the question.
    known: OriginKnowledge,
}

/// Origins of streams that this host knows, and its questions.
#[derive(Debug, Default)]
pub struct OriginDesk {
    origins: RefCell<StreamOrigins>,
    unpublished: RefCell<Vec<KnownOrigin>>,
    unpublished_claims: RefCell<Vec<(Fingerprint, OriginClaim)>>,
    questions: Questions<OriginKnowledge>,
    awaited: RefCell<HashMap<u64, Awaited>>,
}

/// Forgets a question when the task that asked ends, also early.
struct AwaitedGuard<'a> {
    desk: &'a OriginDesk,
    ticket: Cell<u64>,
}

impl Drop for AwaitedGuard<'_> {
    fn drop(&mut self) {
        self.desk.awaited.borrow_mut().remove(&self.ticket.get());
    }
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

/// Key of the stream that a request of the same caller began.
fn key_of(request: &RoutedRequest, request_id: &str) -> Fingerprint {
    let caller = request.headers.get(HOST).map_or(&[][..], |h| h.as_bytes());
    let organisation = request.organisation.as_ref().map(|o| &o.id);
    stream_key(caller, organisation, request_id)
}

fn route_of<'a>(catalog: &'a Catalog, request: &RoutedRequest) -> Option<&'a Route> {
    let host = request.headers.get(HOST).and_then(|h| h.to_str().ok());
    let path = request.target.split('?').next().unwrap_or("/");
    catalog.route(host.unwrap_or_default(), path)
}

impl<P: Platform> Gateway<P> {
    /// Key of the stream that a request begins or takes up.
    pub fn stream_of(&self, request: &RoutedRequest) -> Fingerprint {
        let resumes = request.resumes.as_deref();
        let began = resumes.filter(|_| request.takes_up_stream());
        key_of(request, began.unwrap_or(&request.request_id))
    }

    /// Records where a stream began, and tells other hosts within a moment.
    pub fn record_origin(&self, stream: Fingerprint, origin: StreamOrigin) {
        let mut origins = self.origins.origins.borrow_mut();
        origins.record(self.now_ms(), stream, origin.clone());
        drop(origins);
        self.origins.unpublished.borrow_mut().push((stream, origin));
    }

    /// Records where a stream began if the listing was not out of date, and tells other
    /// hosts within a moment, unless its upstream is asked for a report instead.
    pub fn record_claim(&self, stream: Fingerprint, claim: OriginClaim) {
        let mut origins = self.origins.origins.borrow_mut();
        origins.record_claim(self.now_ms(), stream, claim.clone());
        drop(origins);
        if !self.can_report(&claim.origin) {
            let mut unpublished = self.origins.unpublished_claims.borrow_mut();
            unpublished.push((stream, claim));
        }
    }

    /// Records that a stream began elsewhere than at the listed incarnation.
    pub fn refute_origin(&self, stream: Fingerprint) {
        let mut origins = self.origins.origins.borrow_mut();
        origins.record_refuted(self.now_ms(), stream);
    }

    /// Tells other hosts of the origins recorded since the last call.
    pub fn publish_origins(&self) {
        let unpublished = self.origins.unpublished.take();
        self.publish_to_replicas(
            unpublished,
            |_| true,
            |streams| PeerMessage::Origins { streams },
        );
        let now_ms = self.now_ms();
        let claims = self.origins.unpublished_claims.take().into_iter();
        let claims = claims.map(|(stream, claim)| (stream, StatedClaim::of(&claim, now_ms)));
        self.publish_to_replicas(
            claims.collect(),
            |peer| peer.has(Feature::OriginClaims),
            |streams| PeerMessage::OriginClaims { streams },
        );
    }

    /// Sends what is known of some streams to the hosts that are responsible for them.
    fn publish_to_replicas<T: Clone>(
        &self,
        streams: Vec<(Fingerprint, T)>,
        understands: impl Fn(&Peer) -> bool,
        message: impl Fn(Vec<(Fingerprint, T)>) -> PeerMessage,
    ) {
        let mut by_host: HashMap<SocketAddr, Vec<(Fingerprint, T)>> = HashMap::new();
        for stream in streams {
            for addr in self.responsible_hosts(stream.0, replica_hosts, &understands) {
                by_host.entry(addr).or_default().push(stream.clone());
            }
        }
        for (addr, streams) in by_host {
            for streams in streams.chunks(MAX_STREAMS_PER_DATAGRAM) {
                self.send_peer(addr, &message(streams.to_vec()));
            }
        }
    }

    /// Addresses of hosts that a function of `core::stream_origin` selects.
    fn responsible_hosts(
        &self,
        stream: Fingerprint,
        select: SelectHosts,
        understands: impl Fn(&Peer) -> bool,
    ) -> Vec<SocketAddr> {
        let settings = self.settings();
        let now_ms = self.now_ms();
        let peers = self.peers.borrow();
        let recipients = peers.recipients(now_ms).filter(|(_, p)| understands(p));
        let hosts: Vec<(&HostId, &str)> = recipients
            .map(|(host, peer)| (host, peer.zone().unwrap_or_default()))
            .collect();
        let selected = select(stream, &settings.host, settings.zone.as_str(), &hosts);
        let addr = |host| peers.get_recipient(now_ms, host).map(|p| p.addr);
        selected.into_iter().filter_map(addr).collect()
    }

    /// Handles a message about origins of streams.
    pub fn handle_origin_message(&self, message: PeerMessage) {
        match message {
            PeerMessage::Origins { streams } => self.apply_origins(streams),
            PeerMessage::OriginClaims { streams } => self.apply_claims(streams),
            PeerMessage::AskOrigin {
                host,
                stream,
                ticket,
            } => self.answer_origin(&host, stream, ticket),
            PeerMessage::Origin {
                ticket,
                stream,
                known,
            } => self.apply_origin(ticket, stream, known.read(self.now_ms())),
            _ => {}
        }
    }

    /// Records what another host tells of its streams.
    fn apply_origins(&self, streams: Vec<KnownOrigin>) {
        let now_ms = self.now_ms();
        let mut origins = self.origins.origins.borrow_mut();
        for (stream, origin) in streams {
            origins.record(now_ms, stream, origin);
        }
    }

    /// Records what another host claims of its streams.
    fn apply_claims(&self, streams: Vec<(Fingerprint, StatedClaim)>) {
        let now_ms = self.now_ms();
        let mut origins = self.origins.origins.borrow_mut();
        for (stream, claim) in streams {
            origins.record_claim(now_ms, stream, claim.read(now_ms));
        }
    }

    /// What this host knows of a stream by now.
    fn known_origin(&self, stream: Fingerprint) -> OriginKnowledge {
        let mut origins = self.origins.origins.borrow_mut();
        let now_ms = self.now_ms();
        if let OriginKnowledge::Claimed(claim) = origins.get(now_ms, stream)
            && self.is_certain(claim)
        {
            let origin = claim.origin.clone();
            origins.record(now_ms, stream, origin);
        }
        origins.get(now_ms, stream).clone()
    }

    /// Answers a host that has to take up a stream.
    fn answer_origin(&self, host: &HostId, stream: Fingerprint, ticket: u64) {
        let known = self.known_origin(stream);
        let now_ms = self.now_ms();
        let recipient = {
            let peers = self.peers.borrow();
            let peer = peers.get_recipient(now_ms, host);
            peer.map(|p| (p.addr, p.has(Feature::OriginClaims)))
        };
        let Some((addr, understands_claims)) = recipient else {
            return;
        };
        let known = match known {
            OriginKnowledge::Claimed(_) if !understands_claims => StatedOrigin::Unknown,
            known => StatedOrigin::of(&known, now_ms),
        };
        let answer = PeerMessage::Origin {
            ticket,
            stream,
            known,
        };
        self.send_peer(addr, &answer);
    }

    /// Passes an answer to the task that asked. Unless it settles the question, it counts
    /// once all hosts have answered.
    fn apply_origin(&self, ticket: u64, stream: Fingerprint, known: OriginKnowledge) {
        let mut awaited = self.origins.awaited.borrow_mut();
        // Tickets start anew with the process, so that an answer may be to another question.
        let Some(awaited) = awaited.get_mut(&ticket).filter(|a| a.stream == stream) else {
            return;
        };
        awaited.left = awaited.left.saturating_sub(1);
        match known {
            OriginKnowledge::Unknown => {}
            OriginKnowledge::Claimed(claim) => awaited.known = awaited.known.with_claim(claim),
            OriginKnowledge::Contradictory | OriginKnowledge::Known(_) => {
                self.origins.questions.answer(ticket, known);
                return;
            }
        }
        if awaited.left == 0 {
            let known = awaited.known.clone();
            self.origins.questions.answer(ticket, known);
        }
    }

    /// Service and version at which the stream that a request takes up goes on.
    pub async fn resume_place(&self, request: &RoutedRequest) -> Option<ResumePlace> {
        let known = match &request.resumes {
            Some(id) => {
                let by_ms = request.evidence_by_ms(request.arrived_ms);
                self.find_settled_origin(key_of(request, id), by_ms).await
            }
            None => OriginKnowledge::Unknown,
        };
        let (source, place) = match &known {
            OriginKnowledge::Known(origin) => ("origin", Some(ResumePlace::from(origin))),
            OriginKnowledge::Contradictory => ("contradictory", None),
            OriginKnowledge::Claimed(_) | OriginKnowledge::Unknown => {
                match self.only_place(request) {
                    Some(place) => ("only_version", Some(place)),
                    None if known == OriginKnowledge::Unknown => ("unknown", None),
                    None => ("uncertain", None),
                }
            }
        };
        let began_at = match &known {
            OriginKnowledge::Known(origin) => origin.upstream.as_str(),
            OriginKnowledge::Claimed(claim) => claim.origin.upstream.as_str(),
            OriginKnowledge::Contradictory | OriginKnowledge::Unknown => "",
        };
        tracing::info!(
            event = "resume_request",
            request = request.request_id,
            resumes = request.resumes.as_deref().unwrap_or(""),
            after = request.last_event_id.as_deref().unwrap_or(""),
            source,
            began_at,
            software = place.as_ref().map_or("", |p| p.software.as_str()),
        );
        let labels = ResumeLabels { source };
        self.metrics.resume_requests.get_or_create(&labels).inc();
        place
    }

    /// What any host knows of a stream. Waits for evidence until `by_ms` if its origin is not
    /// certain.
    async fn find_settled_origin(&self, stream: Fingerprint, by_ms: u64) -> OriginKnowledge {
        let mut known = self.find_origin(stream).await;
        if let OriginKnowledge::Claimed(claim) = &known
            && self.settle_claim(claim, by_ms).await
        {
            known = OriginKnowledge::Known(claim.origin.clone());
        }
        if let OriginKnowledge::Known(origin) = &known {
            // The stream may break off again after the host that knew it has ended.
            let mut origins = self.origins.origins.borrow_mut();
            origins.record(self.now_ms(), stream, origin.clone());
        }
        known
    }

    async fn find_origin(&self, stream: Fingerprint) -> OriginKnowledge {
        let mut known = self.known_origin(stream);
        if matches!(
            known,
            OriginKnowledge::Known(_) | OriginKnowledge::Contradictory
        ) {
            return known;
        }
        let addrs = if self.is_large_fleet() {
            self.responsible_hosts(stream, lookup_hosts, |_| true)
        } else {
            self.other_hosts(|_| true)
        };
        if addrs.is_empty() {
            return known;
        }
        for timeout in ASK_TIMEOUTS {
            let guard = AwaitedGuard {
                desk: &self.origins,
                ticket: Cell::new(0),
            };
            let ask = |ticket| {
                guard.ticket.set(ticket);
                let question = Awaited {
                    stream,
                    left: addrs.len(),
                    known: known.clone(),
                };
                self.origins.awaited.borrow_mut().insert(ticket, question);
                let host = self.settings().host.clone();
                let question = PeerMessage::AskOrigin {
                    host,
                    stream,
                    ticket,
                };
                self.send_peers(addrs.clone(), &question);
            };
            let answer = self.origins.questions.ask(timeout, ask).await;
            if let Some(known) = answer {
                return known;
            }
            self.metrics.unanswered_asks.inc();
            // What some have answered counts although others have not.
            let awaited = self.origins.awaited.borrow();
            if let Some(awaited) = awaited.get(&guard.ticket.get()) {
                known = awaited.known.clone();
            }
            if known != OriginKnowledge::Unknown {
                break;
            }
        }
        known
    }

    /// The only version that the request's service has had for as long as a stream can last,
    /// if its route has led nowhere else meanwhile. Only of engines: other upstreams may have
    /// begun the stream at a version that they never announced.
    fn only_place(&self, request: &RoutedRequest) -> Option<ResumePlace> {
        let now_ms = self.now_ms();
        let window_ms = request.route_timeout.as_millis() as u64 + STREAM_AGE_MARGIN_MS;
        let catalog = self.catalog()?;
        let is_unchanged = now_ms >= self.catalog_since_ms.get() + window_ms;
        let [backend] = route_of(&catalog, request)?.backends.as_slice() else {
            return None;
        };
        let service = backend.service.clone();
        let is_engine = catalog.services.get(&service)?.engine.is_some();
        let registry = self.registry.borrow();
        let software = self.software.borrow();
        let only = software.only_version(now_ms, window_ms, &registry, &service);
        let software = only.filter(|_| is_unchanged && is_engine)?;
        Some(ResumePlace { service, software })
    }

    /// Binds a request that takes up a stream to the service and the version that began it;
    /// false if its route no longer leads there.
    pub fn bind_to_place(
        &self,
        catalog: &Catalog,
        request: &mut RoutedRequest,
        place: ResumePlace,
    ) -> bool {
        let route = route_of(catalog, request);
        let is_routed =
            route.is_some_and(|r| r.backends.iter().any(|b| b.service == place.service));
        if is_routed && request.requirements.service != place.service {
            request.set_service(catalog, &place.service);
        }
        request.software = Some(place.software);
        is_routed
    }
}
