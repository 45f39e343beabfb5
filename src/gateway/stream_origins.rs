//! Tells other hosts where the streams of this host began, and finds out where a stream
//! began that a caller takes up (`core::stream_origin`).
//!
//! A host that neither knows nor learns where a stream began, and cannot tell since the
//! service has several software versions, refuses to take it up.

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
use crate::core::catalog::{Catalog, Route};
use crate::core::ids::{HostId, ServiceId, SoftwareVersion};
use crate::core::request_traits::Fingerprint;
use crate::core::stream_origin::{
    OriginKnowledge, StreamOrigin, StreamOrigins, lookup_hosts, replica_hosts, stream_key,
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
#[derive(Clone, Copy, Debug)]
struct Awaited {
    stream: Fingerprint,
    /// Hosts that have not answered yet.
    left: usize,
}

/// Origins of streams that this host knows, and its questions.
#[derive(Debug, Default)]
pub struct OriginDesk {
    origins: RefCell<StreamOrigins>,
    unpublished: RefCell<Vec<KnownOrigin>>,
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

    /// Tells other hosts of the origins recorded since the last call.
    pub fn publish_origins(&self) {
        let unpublished = self.origins.unpublished.take();
        if unpublished.is_empty() {
            return;
        }
        let mut by_host: HashMap<SocketAddr, Vec<KnownOrigin>> = HashMap::new();
        for known in unpublished {
            for addr in self.responsible_hosts(known.0, replica_hosts) {
                by_host.entry(addr).or_default().push(known.clone());
            }
        }
        for (addr, streams) in by_host {
            for streams in streams.chunks(MAX_STREAMS_PER_DATAGRAM) {
                let streams = streams.to_vec();
                self.send_peer(addr, &PeerMessage::Origins { streams });
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

    /// Handles a message about origins of streams.
    pub fn handle_origin_message(&self, message: PeerMessage) {
        match message {
            PeerMessage::Origins { streams } => self.apply_origins(streams),
            PeerMessage::AskOrigin {
                host,
                stream,
                ticket,
            } => self.answer_origin(&host, stream, ticket),
            PeerMessage::Origin {
                ticket,
                stream,
                known,
            } => self.apply_origin(ticket, stream, known),
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

    fn known_origin(&self, stream: Fingerprint) -> OriginKnowledge {
        let origins = self.origins.origins.borrow();
        origins.get(self.now_ms(), stream).clone()
    }

    /// Answers a host that has to take up a stream.
    fn answer_origin(&self, host: &HostId, stream: Fingerprint, ticket: u64) {
        let known = self.known_origin(stream);
        let addr = {
            let peers = self.peers.borrow();
            peers.get_recipient(self.now_ms(), host).map(|p| p.addr)
        };
        if let Some(addr) = addr {
            let answer = PeerMessage::Origin {
                ticket,
                stream,
                known,
            };
            self.send_peer(addr, &answer);
        }
    }

    /// Passes an answer to the task that asked; an answer of a host that does not know the
    /// stream counts once all hosts have answered so.
    fn apply_origin(&self, ticket: u64, stream: Fingerprint, known: OriginKnowledge) {
        let mut awaited = self.origins.awaited.borrow_mut();
        // Tickets start anew with the process, so that an answer may be to another question.
        let Some(awaited) = awaited.get_mut(&ticket).filter(|a| a.stream == stream) else {
            return;
        };
        awaited.left = awaited.left.saturating_sub(1);
        if known != OriginKnowledge::Unknown || awaited.left == 0 {
            self.origins.questions.answer(ticket, known);
        }
    }

    /// Service and version at which the stream that a request takes up goes on.
    pub async fn resume_place(&self, request: &RoutedRequest) -> Option<ResumePlace> {
        let known = match &request.resumes {
            Some(id) => self.find_origin(key_of(request, id)).await,
            None => OriginKnowledge::Unknown,
        };
        let (source, place) = match &known {
            OriginKnowledge::Known(origin) => ("origin", Some(ResumePlace::from(origin))),
            OriginKnowledge::Contradictory => ("contradictory", None),
            OriginKnowledge::Unknown => match self.only_place(request) {
                Some(place) => ("only_version", Some(place)),
                None => ("unknown", None),
            },
        };
        let began_at = match &known {
            OriginKnowledge::Known(origin) => origin.upstream.as_str(),
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

    async fn find_origin(&self, stream: Fingerprint) -> OriginKnowledge {
        let known = self.known_origin(stream);
        if known != OriginKnowledge::Unknown {
            return known;
        }
        let addrs = if self.is_large_fleet() {
            self.responsible_hosts(stream, lookup_hosts)
        } else {
            self.other_hosts(|_| true)
        };
        if addrs.is_empty() {
            return OriginKnowledge::Unknown;
        }
        for timeout in ASK_TIMEOUTS {
            let guard = AwaitedGuard {
                desk: &self.origins,
                ticket: Cell::new(0),
            };
            let ask = |ticket| {
                guard.ticket.set(ticket);
                let left = addrs.len();
                let mut awaited = self.origins.awaited.borrow_mut();
                awaited.insert(ticket, Awaited { stream, left });
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
            if let Some(known) = answer {
                return known;
            }
            self.metrics.unanswered_asks.inc();
        }
        OriginKnowledge::Unknown
    }

    /// The only version that the request's service has had for as long as a stream can last,
    /// if its route has led nowhere else meanwhile.
    fn only_place(&self, request: &RoutedRequest) -> Option<ResumePlace> {
        let now_ms = self.now_ms();
        let window_ms = request.route_timeout.as_millis() as u64 + STREAM_AGE_MARGIN_MS;
        let catalog = self.catalog()?;
        let is_unchanged = now_ms >= self.catalog_since_ms.get() + window_ms;
        let [backend] = route_of(&catalog, request)?.backends.as_slice() else {
            return None;
        };
        let service = backend.service.clone();
        let registry = self.registry.borrow();
        let software = self.software.borrow();
        let only = software.only_version(now_ms, window_ms, &registry, &service);
        let software = only.filter(|_| is_unchanged)?;
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
