//! Links between entry hosts: websockets with messages in CBOR.
//!
//! Each host dials its neighbours and sends heartbeats, and observations of
//! the upstreams for which it is the acting host. A heartbeat with a different
//! configuration digest starts an exchange of revisions, which repairs changes
//! that a watch lost and configures hosts that start while the platform is
//! down. Observations are sent as soon as they change, loads with the
//! heartbeats. Observations from another availability zone are forwarded
//! within the zone of this host.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::time::Duration;

use compio::io::compat::AsyncStream;
use compio::net::{TcpListener, TcpStream};
use futures_util::{FutureExt, SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio_tungstenite::WebSocketStream;
use tokio_tungstenite::tungstenite::Message;
use tokio_tungstenite::tungstenite::protocol::WebSocketConfig;
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};
use tokio_util::sync::CancellationToken;

use super::config::{CONFIG_PREFIX, ConfigService};
use super::host::Host;
use crate::core::fleet::{LoadUpdate, Observation, Upstream};
use crate::core::ids::{HostId, UpstreamId, ZoneId};
use crate::core::membership::{Heartbeat, heartbeat_interval_ms};
use crate::core::rendezvous::{hash, mix};
use crate::core::timeline::Hlc;
use crate::edge::pool::connect_tcp;
use crate::kernel::Service;

/// Largest message between peers in bytes.
const MAX_MESSAGE_BYTES: usize = 4 * 1024 * 1024;
/// Size of the read and write buffers of a link in bytes. The library's default
/// is 128 KiB each, and a host has two connections with each of many peers.
const BUFFER_BYTES: usize = 4 * 1024;
/// Capacity of a peer's queue in messages; a message to a full queue is dropped.
const QUEUE_CAPACITY: usize = 256;
/// Pause before a peer is dialled again, and after a failed accept.
const REDIAL_INTERVAL: Duration = Duration::from_millis(250);
/// Limit of a websocket handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

type Socket = WebSocketStream<Compat<Pin<Box<AsyncStream<TcpStream>>>>>;

/// Message between peers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerMessage {
    /// Hybrid logical clock of the sender.
    pub clock: Hlc,
    /// Content of the message.
    pub body: PeerBody,
}

/// Content of a peer message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerBody {
    /// Sent at intervals, with the load of the upstreams the sender acts for.
    Heartbeat {
        /// State of the sender.
        #[serde(rename = "b")]
        beat: Heartbeat,
        /// Loads of upstreams; empty in a reply.
        #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
        loads: Vec<LoadUpdate>,
    },
    /// Observations of upstreams.
    Observed {
        /// Availability zone of the host that made them.
        zone: ZoneId,
        /// Observations with their upstream.
        items: Vec<(UpstreamId, Observation)>,
    },
    /// Active configuration revisions of the sender, by path.
    Revisions(BTreeMap<String, u64>),
    /// Subtrees of which the receiver has an older revision or none.
    Subtrees(Vec<Subtree>),
}

/// One subtree of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Subtree {
    /// Path below [`CONFIG_PREFIX`].
    pub path: String,
    /// Revision.
    pub revision: u64,
    /// Encoded value.
    pub json: Vec<u8>,
}

/// Dialled link to a neighbour.
#[derive(Debug)]
struct Link {
    addr: SocketAddr,
    zone: ZoneId,
    queue: Sender<Rc<[u8]>>,
    cancel: CancellationToken,
}

/// State of one connection.
#[derive(Clone, Copy, Debug)]
struct ConnectionState {
    is_dialled: bool,
    has_sent_observations: bool,
}

/// Service that maintains the links.
#[derive(Debug)]
pub struct PeerService {
    host: Rc<Host>,
    config: Rc<ConfigService>,
    listener: RefCell<Option<TcpListener>>,
    links: RefCell<BTreeMap<HostId, Link>>,
    loads: RefCell<Vec<LoadUpdate>>,
}

/// Neighbours that receive an observation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PublishScope {
    /// All neighbours.
    AllZones,
    /// Neighbours in the availability zone of this host.
    OwnZone,
}

impl PeerService {
    /// Creates the service on a bound listener.
    pub fn new(host: Rc<Host>, config: Rc<ConfigService>, listener: TcpListener) -> Self {
        Self {
            host,
            config,
            listener: RefCell::new(Some(listener)),
            links: RefCell::default(),
            loads: RefCell::default(),
        }
    }

    /// Sends observations to the neighbours in scope.
    pub fn publish(&self, scope: PublishScope, items: Vec<(UpstreamId, Observation)>) {
        if items.is_empty() {
            return;
        }
        let zone = self.host.settings.zone.clone();
        let own_zone = zone.clone();
        let is_in_scope = |l: &Link| scope == PublishScope::AllZones || l.zone == own_zone;
        self.send_to(is_in_scope, PeerBody::Observed { zone, items });
    }

    /// Sets the loads sent with the next heartbeats.
    pub fn set_loads(&self, loads: Vec<LoadUpdate>) {
        *self.loads.borrow_mut() = loads;
    }

    /// Builds the first observations for a newly connected host: those of the
    /// upstreams this host acts for and, if the other host is in another
    /// availability zone, those of all upstreams in the zone of this host.
    fn initial_observations(&self, peer_zone: &ZoneId) -> PeerBody {
        let own_zone = &self.host.settings.zone;
        let now_ms = self.host.clock.now_ms();
        let membership = self.host.membership.borrow();
        let fleet = self.host.fleet.borrow();
        let own_host = &self.host.settings.host;
        let is_included = |u: &&Upstream| {
            let id = u.listed.id.as_str();
            let is_acting = membership.acting_host(now_ms, id, &u.listed.zone) == Some(own_host);
            is_acting || (peer_zone != own_zone && u.listed.zone == *own_zone)
        };
        let included = fleet
            .upstreams()
            .iter()
            .filter(|u| u.observation.observed_ms > 0)
            .filter(is_included);
        let items = included
            .map(|u| (u.listed.id.clone(), u.observation.clone()))
            .collect();
        PeerBody::Observed {
            zone: own_zone.clone(),
            items,
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            host: self.host.settings.host.clone(),
            zone: self.host.settings.zone.clone(),
            incarnation: self.host.clock.started_ms(),
            is_draining: self.host.membership.borrow().is_draining(),
            config_digest: self.config_digest(),
        }
    }

    fn config_digest(&self) -> u64 {
        let active_config = self.host.active_config.borrow();
        active_config
            .subtrees()
            .fold(0, |digest, s| digest ^ mix(hash(&s.path) ^ s.revision))
    }

    fn encode(&self, body: PeerBody) -> Rc<[u8]> {
        let message = PeerMessage {
            clock: self.host.timeline.borrow().clock(),
            body,
        };
        let mut bytes = Vec::new();
        // Writing to a vector cannot fail.
        let _ = ciborium::into_writer(&message, &mut bytes);
        Rc::from(bytes)
    }

    fn send_to(&self, is_recipient: impl Fn(&Link) -> bool, body: PeerBody) {
        let bytes = self.encode(body);
        for link in self.links.borrow().values().filter(|l| is_recipient(l)) {
            // A full queue means a slow peer; a later message replaces the
            // dropped one.
            if link.queue.try_send(Rc::clone(&bytes)).is_ok() {
                self.host.metrics.peer_sent_messages.inc();
                self.host.metrics.peer_sent_bytes.inc_by(bytes.len() as u64);
            }
        }
    }

    /// Handles a message; returns the replies for the same link.
    fn on_message(&self, bytes: &[u8], link: &mut ConnectionState) -> Vec<PeerBody> {
        let Ok(message) = ciborium::from_reader::<PeerMessage, _>(bytes) else {
            tracing::warn!(bytes = bytes.len(), "peer message cannot be decoded");
            return Vec::new();
        };
        let now_ms = self.host.clock.now_ms();
        self.host
            .timeline
            .borrow_mut()
            .merge_clock(now_ms, message.clock);
        match message.body {
            PeerBody::Heartbeat { beat, loads } => {
                self.on_loads(&loads);
                let mut replies = self.on_heartbeat(now_ms, &beat);
                if !link.has_sent_observations {
                    link.has_sent_observations = true;
                    replies.push(self.initial_observations(&beat.zone));
                }
                // Hosts of one zone dial each other; a host of another zone
                // may get heartbeats only as replies.
                if !link.is_dialled && beat.zone != self.host.settings.zone {
                    replies.push(PeerBody::Heartbeat {
                        beat: self.heartbeat(),
                        loads: Vec::new(),
                    });
                }
                replies
            }
            PeerBody::Observed { zone, items } => {
                self.on_observations(&zone, items);
                Vec::new()
            }
            PeerBody::Revisions(peer_revisions) => self.subtrees_newer_than(&peer_revisions),
            PeerBody::Subtrees(subtrees) => {
                for s in subtrees {
                    let key = format!("{CONFIG_PREFIX}{}", s.path);
                    self.config.adopt(&key, s.revision, &s.json);
                }
                Vec::new()
            }
        }
    }

    fn on_loads(&self, loads: &[LoadUpdate]) {
        let mut fleet = self.host.fleet.borrow_mut();
        for update in loads {
            if let Some(index) = fleet.position(update.upstream.as_str()) {
                fleet.observe_load(index, update);
            }
        }
    }

    fn on_heartbeat(&self, now_ms: u64, heartbeat: &Heartbeat) -> Vec<PeerBody> {
        self.host
            .membership
            .borrow_mut()
            .on_heartbeat(now_ms, heartbeat);
        if heartbeat.config_digest == self.config_digest() {
            return Vec::new();
        }
        let active_config = self.host.active_config.borrow();
        let revisions = active_config.subtrees().map(|s| (s.path, s.revision));
        vec![PeerBody::Revisions(revisions.collect())]
    }

    /// Returns the subtrees of which the peer has an older revision or none.
    fn subtrees_newer_than(&self, peer_revisions: &BTreeMap<String, u64>) -> Vec<PeerBody> {
        let active_config = self.host.active_config.borrow();
        let peer_revision = |path: &str| peer_revisions.get(path).copied().unwrap_or(0);
        let newer = active_config
            .subtrees()
            .filter(|s| s.revision > peer_revision(&s.path));
        let subtrees: Vec<Subtree> = newer
            .map(|s| Subtree {
                path: s.path,
                revision: s.revision,
                json: s.json.to_vec(),
            })
            .collect();
        if subtrees.is_empty() {
            Vec::new()
        } else {
            vec![PeerBody::Subtrees(subtrees)]
        }
    }

    fn on_observations(&self, zone: &ZoneId, items: Vec<(UpstreamId, Observation)>) {
        let newer_items: Vec<_> = {
            let mut fleet = self.host.fleet.borrow_mut();
            let is_newer = |(id, observation): &(UpstreamId, Observation)| {
                let index = fleet.position(id.as_str());
                index.is_some_and(|index| fleet.observe(index, observation.clone()))
            };
            items.into_iter().filter(is_newer).collect()
        };
        if newer_items.is_empty() {
            return;
        }
        let own_zone = &self.host.settings.zone;
        if zone != own_zone {
            let zone = zone.clone();
            self.send_to(
                |l| l.zone == *own_zone,
                PeerBody::Observed {
                    zone,
                    items: newer_items,
                },
            );
        }
    }

    /// Opens links to new neighbours and closes those to former ones.
    fn refresh_links(self: &Rc<Self>, cancel: &CancellationToken) {
        let membership = self.host.membership.borrow();
        let neighbours = membership.neighbours();
        let mut links = self.links.borrow_mut();
        links.retain(|id, link| {
            let is_kept = neighbours
                .iter()
                .any(|h| h.id == *id && h.peer_addr == link.addr);
            if !is_kept {
                link.cancel.cancel();
            }
            is_kept
        });
        for host in neighbours {
            if links.contains_key(&host.id) {
                continue;
            }
            let (queue, receiver) = mpsc::channel(QUEUE_CAPACITY);
            let cancel = cancel.child_token();
            let task = Rc::clone(self).maintain_link(host.peer_addr, receiver, cancel.clone());
            compio::runtime::spawn(task).detach();
            let (addr, zone) = (host.peer_addr, host.zone.clone());
            links.insert(
                host.id.clone(),
                Link {
                    addr,
                    zone,
                    queue,
                    cancel,
                },
            );
        }
    }

    async fn maintain_link(
        self: Rc<Self>,
        addr: SocketAddr,
        mut receiver: Receiver<Rc<[u8]>>,
        cancel: CancellationToken,
    ) {
        let dial_loop = async {
            loop {
                if let Some(socket) = connect(addr).await {
                    self.run_connection(socket, Some(&mut receiver)).await;
                }
                compio::time::sleep(REDIAL_INTERVAL).await;
                while receiver.try_recv().is_ok() {}
            }
        };
        let _ = cancel.run_until_cancelled(dial_loop).await;
    }

    /// Exchanges messages until the connection fails. Only a dialled one has a
    /// queue to send from.
    async fn run_connection(
        &self,
        mut socket: Socket,
        mut receiver: Option<&mut Receiver<Rc<[u8]>>>,
    ) {
        let mut link = ConnectionState {
            is_dialled: receiver.is_some(),
            has_sent_observations: false,
        };
        loop {
            let outgoing = async {
                match &mut receiver {
                    Some(receiver) => receiver.recv().await,
                    None => std::future::pending().await,
                }
            };
            let outbound = futures_util::select_biased! {
                received = socket.next().fuse() => match received {
                    Some(Ok(Message::Binary(bytes))) => self.handle_frame(&bytes, &mut link),
                    Some(Ok(Message::Close(_)) | Err(_)) | None => return,
                    Some(Ok(_)) => Vec::new(),
                },
                bytes = outgoing.fuse() => bytes.into_iter().collect(),
            };
            for bytes in outbound {
                if socket.send(Message::binary(bytes.to_vec())).await.is_err() {
                    return;
                }
            }
        }
    }

    fn handle_frame(&self, bytes: &[u8], link: &mut ConnectionState) -> Vec<Rc<[u8]>> {
        let replies = self.on_message(bytes, link);
        replies.into_iter().map(|body| self.encode(body)).collect()
    }

    async fn accept_loop(self: Rc<Self>, listener: TcpListener, cancel: CancellationToken) {
        let accept = async {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    compio::time::sleep(REDIAL_INTERVAL).await;
                    continue;
                };
                let service = Rc::clone(&self);
                let cancel = cancel.clone();
                compio::runtime::spawn(async move {
                    let serve = async {
                        if let Some(socket) = accept(stream).await {
                            service.run_connection(socket, None).await;
                        }
                    };
                    let _ = cancel.run_until_cancelled(serve).await;
                })
                .detach();
            }
        };
        let _ = cancel.run_until_cancelled(accept).await;
    }
}

fn websocket_config() -> WebSocketConfig {
    WebSocketConfig::default()
        .read_buffer_size(BUFFER_BYTES)
        .write_buffer_size(BUFFER_BYTES)
        .max_message_size(Some(MAX_MESSAGE_BYTES))
        .max_frame_size(Some(MAX_MESSAGE_BYTES))
}

async fn connect(addr: SocketAddr) -> Option<Socket> {
    let stream = Box::pin(AsyncStream::new(connect_tcp(addr).await?)).compat();
    let url = format!("ws://{addr}/peer");
    let config = Some(websocket_config());
    let handshake = tokio_tungstenite::client_async_with_config(url, stream, config);
    let (socket, _) = compio::time::timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .ok()?
        .ok()?;
    Some(socket)
}

async fn accept(stream: TcpStream) -> Option<Socket> {
    stream.set_nodelay(true).ok()?;
    let stream = Box::pin(AsyncStream::new(stream)).compat();
    let handshake = tokio_tungstenite::accept_async_with_config(stream, Some(websocket_config()));
    compio::time::timeout(HANDSHAKE_TIMEOUT, handshake)
        .await
        .ok()?
        .ok()
}

impl Service for PeerService {
    const NAME: &'static str = "peers";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        if let Some(listener) = self.listener.take() {
            let accepting = Rc::clone(&self).accept_loop(listener, cancel.clone());
            compio::runtime::spawn(accepting).detach();
        }
        let heartbeat_loop = async {
            loop {
                self.refresh_links(&cancel);
                let loads = self.loads.borrow().clone();
                self.send_to(
                    |_| true,
                    PeerBody::Heartbeat {
                        beat: self.heartbeat(),
                        loads,
                    },
                );
                let interval_ms = heartbeat_interval_ms(self.links.borrow().len());
                compio::time::sleep(Duration::from_millis(interval_ms)).await;
            }
        };
        let _ = cancel.run_until_cancelled(heartbeat_loop).await;
    }
}
