//! Links between entry hosts: websockets that carry CBOR.
//!
//! Each host dials its neighbours and sends heartbeats and what it observes
//! of the upstreams it acts for. A heartbeat with another configuration
//! digest starts an exchange of revisions, which repairs what a watch lost
//! and configures hosts that start while the platform is down. Observations
//! go out at once when they change, loads with the heartbeats. What comes
//! from another availability zone is passed on within the own one.

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
/// Buffers of one link in bytes; the library's own are 128 KiB each, and a host
/// has two connections with each of many peers.
const BUFFER_BYTES: usize = 4 * 1024;
/// Messages queued for one peer; a peer that reads slower loses messages.
const QUEUED_MESSAGES: usize = 256;
/// Time between two looks at the list of neighbours.
const REDIAL_PAUSE: Duration = Duration::from_millis(250);
/// Longest time for a handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_secs(2);

type Socket = WebSocketStream<Compat<Pin<Box<AsyncStream<TcpStream>>>>>;

/// Message between peers.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct PeerMessage {
    /// Clock of the sender.
    pub clock: Hlc,
    /// Content.
    pub body: PeerBody,
}

/// Content of a message.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerBody {
    /// Sender is up, and this is the load of the upstreams it acts for.
    Heartbeat {
        /// What the sender says of itself.
        #[serde(rename = "b")]
        beat: Heartbeat,
        /// Loads, for neighbours.
        #[serde(rename = "l", default, skip_serializing_if = "Vec::is_empty")]
        loads: Vec<LoadUpdate>,
    },
    /// Observations of upstreams, and the zone of the host that made them.
    Observed {
        /// Availability zone in which they were made.
        zone: ZoneId,
        /// Observations by upstream.
        items: Vec<(UpstreamId, Observation)>,
    },
    /// Revisions the sender has in force, by path.
    Revisions(BTreeMap<String, u64>),
    /// Subtrees the receiver lacked.
    Subtrees(Vec<Subtree>),
}

/// One subtree of the configuration.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct Subtree {
    /// Path.
    pub path: String,
    /// Revision.
    pub revision: u64,
    /// Value.
    pub json: Vec<u8>,
}

/// Link to a neighbour.
#[derive(Debug)]
struct Link {
    addr: SocketAddr,
    zone: ZoneId,
    queue: Sender<Rc<[u8]>>,
    cancel: CancellationToken,
}

/// What one connection has to remember.
#[derive(Clone, Copy, Debug)]
struct LinkState {
    is_dialled: bool,
    has_greeted: bool,
}

/// Service that keeps the links.
#[derive(Debug)]
pub struct PeerService {
    host: Rc<Host>,
    config: Rc<ConfigService>,
    listener: RefCell<Option<TcpListener>>,
    links: RefCell<BTreeMap<HostId, Link>>,
    loads: RefCell<Vec<LoadUpdate>>,
}

/// Which neighbours are told.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Scope {
    /// All of them.
    Everywhere,
    /// Those of the own availability zone.
    OwnZone,
}

impl PeerService {
    /// Service on a bound listener.
    pub fn new(host: Rc<Host>, config: Rc<ConfigService>, listener: TcpListener) -> Self {
        Self {
            host,
            config,
            listener: RefCell::new(Some(listener)),
            links: RefCell::default(),
            loads: RefCell::default(),
        }
    }

    /// Tells the neighbours at once what was observed of upstreams.
    pub fn publish(&self, scope: Scope, items: Vec<(UpstreamId, Observation)>) {
        if items.is_empty() {
            return;
        }
        let zone = self.host.settings.zone.clone();
        let own = zone.clone();
        let wanted = |l: &Link| scope == Scope::Everywhere || l.zone == own;
        self.send_where(wanted, PeerBody::Observed { zone, items });
    }

    /// Sets the loads that the next heartbeats carry.
    pub fn set_loads(&self, loads: Vec<LoadUpdate>) {
        *self.loads.borrow_mut() = loads;
    }

    /// What a host that was just met has to know: the upstreams this host acts
    /// for, and for another availability zone all upstreams of the own one.
    fn greeting(&self, their_zone: &ZoneId) -> PeerBody {
        let own = &self.host.settings.zone;
        let now_ms = self.host.clock.now_ms();
        let members = self.host.members.borrow();
        let fleet = self.host.fleet.borrow();
        let me = &self.host.settings.host;
        let is_told = |u: &&Upstream| {
            let id = u.listed.id.as_str();
            let is_mine = members.acting_host(now_ms, id, &u.listed.zone) == Some(me);
            is_mine || (their_zone != own && u.listed.zone == *own)
        };
        let told = fleet
            .upstreams()
            .iter()
            .filter(|u| u.observation.observed_ms > 0)
            .filter(is_told);
        let items = told
            .map(|u| (u.listed.id.clone(), u.observation.clone()))
            .collect();
        PeerBody::Observed {
            zone: own.clone(),
            items,
        }
    }

    fn heartbeat(&self) -> Heartbeat {
        Heartbeat {
            host: self.host.settings.host.clone(),
            zone: self.host.settings.zone.clone(),
            incarnation: self.host.clock.started_ms(),
            is_draining: self.host.members.borrow().is_draining(),
            config_digest: self.config_digest(),
        }
    }

    fn config_digest(&self) -> u64 {
        let view = self.host.view.borrow();
        view.subtrees()
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

    fn send_where(&self, wanted: impl Fn(&Link) -> bool, body: PeerBody) {
        let bytes = self.encode(body);
        for link in self.links.borrow().values().filter(|l| wanted(l)) {
            // A full queue means a slow peer; the next message replaces this one.
            if link.queue.try_send(Rc::clone(&bytes)).is_ok() {
                self.host.metrics.peer_messages.inc();
                self.host.metrics.peer_bytes.inc_by(bytes.len() as u64);
            }
        }
    }

    /// Takes in a message; returns what to answer on the same link.
    fn on_message(&self, bytes: &[u8], link: &mut LinkState) -> Vec<PeerBody> {
        let Ok(message) = ciborium::from_reader::<PeerMessage, _>(bytes) else {
            tracing::warn!(bytes = bytes.len(), "message of a peer cannot be read");
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
                let mut answers = self.on_heartbeat(now_ms, &beat);
                if !link.has_greeted {
                    link.has_greeted = true;
                    answers.push(self.greeting(&beat.zone));
                }
                // Hosts of one zone dial each other; others may not.
                if !link.is_dialled && beat.zone != self.host.settings.zone {
                    answers.push(PeerBody::Heartbeat {
                        beat: self.heartbeat(),
                        loads: Vec::new(),
                    });
                }
                answers
            }
            PeerBody::Observed { zone, items } => {
                self.on_observed(&zone, items);
                Vec::new()
            }
            PeerBody::Revisions(theirs) => self.newer_than(&theirs),
            PeerBody::Subtrees(subtrees) => {
                for s in subtrees {
                    let key = format!("{CONFIG_PREFIX}{}", s.path);
                    self.config.offer(&key, s.revision, &s.json);
                }
                Vec::new()
            }
        }
    }

    fn on_loads(&self, loads: &[LoadUpdate]) {
        let mut fleet = self.host.fleet.borrow_mut();
        for update in loads {
            if let Some(ix) = fleet.position(update.upstream.as_str()) {
                fleet.observe_load(ix, update);
            }
        }
    }

    fn on_heartbeat(&self, now_ms: u64, beat: &Heartbeat) -> Vec<PeerBody> {
        self.host.members.borrow_mut().on_heartbeat(now_ms, beat);
        if beat.config_digest == self.config_digest() {
            return Vec::new();
        }
        let view = self.host.view.borrow();
        let revisions = view.subtrees().map(|s| (s.path, s.revision));
        vec![PeerBody::Revisions(revisions.collect())]
    }

    /// Subtrees of which the other side has an older revision or none.
    fn newer_than(&self, theirs: &BTreeMap<String, u64>) -> Vec<PeerBody> {
        let view = self.host.view.borrow();
        let known = |path: &str| theirs.get(path).copied().unwrap_or(0);
        let newer = view.subtrees().filter(|s| s.revision > known(&s.path));
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

    fn on_observed(&self, zone: &ZoneId, items: Vec<(UpstreamId, Observation)>) {
        let news: Vec<_> = {
            let mut fleet = self.host.fleet.borrow_mut();
            let is_news = |(id, seen): &(UpstreamId, Observation)| {
                let ix = fleet.position(id.as_str());
                ix.is_some_and(|ix| fleet.observe(ix, seen.clone()))
            };
            items.into_iter().filter(is_news).collect()
        };
        if news.is_empty() {
            return;
        }
        let own = &self.host.settings.zone;
        if zone != own {
            let zone = zone.clone();
            self.send_where(|l| l.zone == *own, PeerBody::Observed { zone, items: news });
        }
    }

    /// Opens links to new neighbours and closes those to hosts that left.
    fn refresh_links(self: &Rc<Self>, cancel: &CancellationToken) {
        let members = self.host.members.borrow();
        let wanted = members.neighbours();
        let mut links = self.links.borrow_mut();
        links.retain(|id, link| {
            let stays = wanted
                .iter()
                .any(|h| h.id == *id && h.peer_addr == link.addr);
            if !stays {
                link.cancel.cancel();
            }
            stays
        });
        for host in wanted {
            if links.contains_key(&host.id) {
                continue;
            }
            let (queue, queued) = mpsc::channel(QUEUED_MESSAGES);
            let cancel = cancel.child_token();
            let task = Rc::clone(self).dial(host.peer_addr, queued, cancel.clone());
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

    async fn dial(
        self: Rc<Self>,
        addr: SocketAddr,
        mut queued: Receiver<Rc<[u8]>>,
        cancel: CancellationToken,
    ) {
        let keep_dialling = async {
            loop {
                if let Some(socket) = connect(addr).await {
                    self.talk(socket, Some(&mut queued)).await;
                }
                compio::time::sleep(REDIAL_PAUSE).await;
                while queued.try_recv().is_ok() {}
            }
        };
        let _ = cancel.run_until_cancelled(keep_dialling).await;
    }

    /// Exchanges messages until the link breaks; a dialled link has a queue.
    async fn talk(&self, mut socket: Socket, mut queued: Option<&mut Receiver<Rc<[u8]>>>) {
        let mut link = LinkState {
            is_dialled: queued.is_some(),
            has_greeted: false,
        };
        loop {
            let outgoing = async {
                match &mut queued {
                    Some(queued) => queued.recv().await,
                    None => std::future::pending().await,
                }
            };
            let to_send = futures_util::select_biased! {
                received = socket.next().fuse() => match received {
                    Some(Ok(Message::Binary(bytes))) => self.answers(&bytes, &mut link),
                    Some(Ok(Message::Close(_)) | Err(_)) | None => return,
                    Some(Ok(_)) => Vec::new(),
                },
                bytes = outgoing.fuse() => bytes.into_iter().collect(),
            };
            for bytes in to_send {
                if socket.send(Message::binary(bytes.to_vec())).await.is_err() {
                    return;
                }
            }
        }
    }

    fn answers(&self, bytes: &[u8], link: &mut LinkState) -> Vec<Rc<[u8]>> {
        let answers = self.on_message(bytes, link);
        answers.into_iter().map(|body| self.encode(body)).collect()
    }

    async fn accept_all(self: Rc<Self>, listener: TcpListener, cancel: CancellationToken) {
        let accept = async {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    compio::time::sleep(REDIAL_PAUSE).await;
                    continue;
                };
                let service = Rc::clone(&self);
                let cancel = cancel.clone();
                compio::runtime::spawn(async move {
                    let talk = async {
                        if let Some(socket) = accept(stream).await {
                            service.talk(socket, None).await;
                        }
                    };
                    let _ = cancel.run_until_cancelled(talk).await;
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
            let accepting = Rc::clone(&self).accept_all(listener, cancel.clone());
            compio::runtime::spawn(accepting).detach();
        }
        let beat = async {
            loop {
                self.refresh_links(&cancel);
                let loads = self.loads.borrow().clone();
                self.send_where(
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
        let _ = cancel.run_until_cancelled(beat).await;
    }
}
