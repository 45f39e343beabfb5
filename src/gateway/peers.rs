//! Traffic between hosts: small datagrams of CBOR.
//!
//! Each host tells all others what it has in flight as soon as that changes,
//! and the acting host what callers asked for. In a large fleet, loads go to
//! the acting host only, which tells each host the sum of all others. The
//! acting host also tells what engines hold after its orders. Everything is a
//! statement that a newer one replaces, so that a lost datagram costs time and
//! nothing else. That is why these are datagrams and no links that would have
//! to be kept and watched.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::net::UdpSocket;
use futures_util::FutureExt;
use tokio_util::sync::CancellationToken;

use super::demand::ModelCounts;
use super::peer_messages::PeerMessage;
use super::platform::Platform;
use super::state::Gateway;
use crate::core::balance::Weights;
use crate::core::ids::{AdapterId, HostId, ModelId, ServiceId, UpstreamId};
use crate::core::load::InFlight;
use crate::core::registry::{Holdings, ObservationNumber};
use crate::core::waiting::QueueKey;
use crate::kernel::Service;

/// Shortest time between two reports of a host.
const MIN_REPORT_EVERY: Duration = Duration::from_millis(200);
/// Time by which each host of the fleet stretches the time between reports,
/// so that the acting host's work stays bounded.
const REPORT_STRETCH: Duration = Duration::from_millis(8);
/// Hosts up to which each tells all others its loads directly.
pub const MAX_DIRECT_HOSTS: usize = 16;
/// Time for which changes of loads are gathered into one datagram; much less
/// than the time to read a prompt.
const LOADS_EVERY: Duration = Duration::from_millis(20);
/// Time between two statements of all loads, in milliseconds.
const ALL_LOADS_EVERY_MS: u64 = 1_000;
/// Items in one datagram; keeps it below the usual size of a packet.
pub const ITEMS_PER_DATAGRAM: usize = 30;
/// Largest datagram that is read, in bytes.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Shortest time between two announcements of the same want, in milliseconds.
const WANT_EVERY_MS: u64 = 100;
/// Wants that are remembered.
const MAX_WANTS: usize = 4_096;

/// What reaches the acting host.
pub trait ActingInbox: 'static {
    /// Takes in a report.
    fn on_report(
        &self,
        host: &HostId,
        started_ms: u64,
        models: &[(ServiceId, ModelId, ModelCounts)],
        adapters: &[(ServiceId, ModelId, AdapterId)],
    );
    /// Takes in a want.
    fn on_want(&self, service: &ServiceId, weights: &Weights);
}

/// Sending side, shared by all services.
#[derive(Debug, Default)]
pub struct PeerSender {
    socket: RefCell<Option<Rc<UdpSocket>>>,
    wants: RefCell<HashMap<(ServiceId, Weights), u64>>,
}

impl PeerSender {
    /// Sends a message; what is lost is replaced by a later statement.
    pub fn send(&self, addr: SocketAddr, message: &PeerMessage) -> bool {
        let Some(socket) = self.socket.borrow().clone() else {
            return false;
        };
        let mut bytes = Vec::with_capacity(512);
        if let Err(error) = ciborium::into_writer(message, &mut bytes) {
            tracing::error!(event = "peers", %error, "cannot encode");
            return false;
        }
        compio::runtime::spawn(async move {
            let BufResult(sent, _) = socket.send_to(bytes, addr).await;
            if let Err(error) = sent {
                tracing::debug!(event = "peers", %addr, %error, "not sent");
            }
        })
        .detach();
        true
    }
}

/// Service that carries messages between hosts.
#[derive(Debug)]
pub struct PeerLink<P: Platform, A: ActingInbox> {
    gateway: Rc<Gateway<P>>,
    inbox: A,
    socket: Rc<UdpSocket>,
    reported_models: RefCell<HashMap<(ServiceId, ModelId), ModelCounts>>,
}

impl<P: Platform, A: ActingInbox> PeerLink<P, A> {
    /// Service on a bound socket.
    pub fn new(gateway: Rc<Gateway<P>>, inbox: A, socket: UdpSocket) -> Self {
        let socket = Rc::new(socket);
        *gateway.peer_sender.socket.borrow_mut() = Some(Rc::clone(&socket));
        Self {
            gateway,
            inbox,
            socket,
            reported_models: RefCell::default(),
        }
    }

    async fn receive(&self) {
        let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
        loop {
            buffer.clear();
            let BufResult(received, filled) = self.socket.recv_from(buffer).await;
            buffer = filled;
            match received {
                Ok((length, _)) => {
                    let datagram = &buffer[..length.min(buffer.len())];
                    match ciborium::from_reader::<PeerMessage, _>(datagram) {
                        Ok(message) => self.take(message),
                        Err(error) => {
                            tracing::warn!(event = "peers", %error, "datagram cannot be decoded");
                        }
                    }
                }
                Err(error) => {
                    tracing::debug!(event = "peers", %error, "not received");
                    compio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    fn take(&self, message: PeerMessage) {
        let gateway = &self.gateway;
        let now_ms = gateway.now_ms();
        match message {
            PeerMessage::Loads {
                host,
                started_ms,
                in_flight,
            } => gateway.take_loads(&host, started_ms, &in_flight),
            PeerMessage::Report {
                host,
                started_ms,
                models,
                adapters,
            } => self.inbox.on_report(&host, started_ms, &models, &adapters),
            PeerMessage::Want {
                service,
                model,
                adapter,
            } => self.inbox.on_want(&service, &Weights { model, adapter }),
            PeerMessage::Digest { term, others } => {
                if !gateway.is_current_term(term) {
                    return;
                }
                let mut loads = gateway.loads.borrow_mut();
                for (id, others) in &others {
                    loads.set_remote(now_ms, id, *others);
                }
                drop(loads);
                gateway.places.borrow().wake();
            }
            PeerMessage::Holdings {
                term,
                upstream,
                started_ms,
                number,
                holds,
            } => {
                if gateway.is_current_term(term) {
                    gateway.take_holdings(&upstream, started_ms, (term, number), &holds);
                }
            }
            PeerMessage::Loading {
                term,
                service,
                model,
                ready_in_ms,
            } => {
                if gateway.is_current_term(term) {
                    gateway.take_loading(service, model, ready_in_ms);
                }
            }
        }
    }

    /// Tells the acting host what was asked for since the last report.
    fn report(&self) {
        let gateway = &self.gateway;
        let acting = gateway.acting.borrow().clone();
        let Some(acting) = acting else {
            return;
        };
        let models = self.changed_models();
        let asked = gateway.demand.borrow_mut().take_asked_adapters();
        let adapters: Vec<_> = asked
            .into_iter()
            .map(|((service, model), adapter)| (service, model, adapter))
            .collect();
        let host = gateway.settings().host.clone();
        let started_ms = gateway.clock.started_ms();
        if acting.host == host {
            self.inbox.on_report(&host, started_ms, &models, &adapters);
            return;
        }
        let longest = models.len().max(adapters.len());
        for part in 0..longest.div_ceil(ITEMS_PER_DATAGRAM).max(1) {
            let message = PeerMessage::Report {
                host: host.clone(),
                started_ms,
                models: chunk(&models, part),
                adapters: chunk(&adapters, part),
            };
            gateway.send_peer(acting.addr, &message);
        }
    }

    /// States loads: to all other hosts of a small fleet, to the acting host
    /// of a large one.
    fn state_loads(&self, in_flight: &[(UpstreamId, InFlight)]) {
        let gateway = &self.gateway;
        let host = gateway.settings().host.clone();
        let started_ms = gateway.clock.started_ms();
        let acting = gateway.acting.borrow().clone();
        if acting.as_ref().is_some_and(|a| a.host == host) {
            gateway.take_loads(&host, started_ms, in_flight);
        }
        let addrs: Vec<SocketAddr> = if gateway.host_count() <= MAX_DIRECT_HOSTS {
            let peers = gateway.peers.borrow();
            let reachable = peers.recipients(gateway.now_ms());
            let others = reachable.filter(|(h, _)| **h != host);
            others.map(|(_, peer)| peer.addr).collect()
        } else {
            let other = acting.filter(|a| a.host != host);
            other.map(|a| a.addr).into_iter().collect()
        };
        for part in 0..in_flight.len().div_ceil(ITEMS_PER_DATAGRAM) {
            let message = PeerMessage::Loads {
                host: host.clone(),
                started_ms,
                in_flight: chunk(in_flight, part),
            };
            for addr in &addrs {
                gateway.send_peer(*addr, &message);
            }
        }
    }

    async fn state_loads_until(&self, cancel: CancellationToken) {
        let mut all_at_ms = 0;
        loop {
            let is_large = self.gateway.host_count() > MAX_DIRECT_HOSTS;
            let pause = if is_large {
                report_every(self.gateway.host_count())
            } else {
                LOADS_EVERY
            };
            futures_util::select_biased! {
                () = cancel.cancelled().fuse() => return,
                () = compio::time::sleep(pause).fuse() => {}
            }
            let now_ms = self.gateway.now_ms();
            let changed = self.gateway.loads.borrow_mut().take_changed();
            if now_ms >= all_at_ms {
                all_at_ms = now_ms + ALL_LOADS_EVERY_MS;
                let mut all: Vec<(UpstreamId, InFlight)> = {
                    let loads = self.gateway.loads.borrow();
                    loads.local().map(|(id, load)| (id.clone(), load)).collect()
                };
                all.extend(changed.into_iter().filter(|(_, load)| load.is_empty()));
                self.state_loads(&all);
            } else if !changed.is_empty() {
                self.state_loads(&changed);
            }
        }
    }

    /// Demand that has grown since the last report.
    fn changed_models(&self) -> Vec<(ServiceId, ModelId, ModelCounts)> {
        let demand = self.gateway.demand.borrow();
        let mut reported = self.reported_models.borrow_mut();
        let mut changed = Vec::new();
        for (key, counts) in demand.models() {
            if reported.get(key) != Some(counts) {
                reported.insert(key.clone(), *counts);
                changed.push((key.0.clone(), key.1.clone(), *counts));
            }
        }
        changed
    }
}

/// Time between two reports of a host.
pub fn report_every(hosts: usize) -> Duration {
    MIN_REPORT_EVERY.max(REPORT_STRETCH * hosts as u32)
}

/// Part of a list that goes into one datagram.
pub fn chunk<T: Clone>(items: &[T], part: usize) -> Vec<T> {
    let from = (part * ITEMS_PER_DATAGRAM).min(items.len());
    let to = (from + ITEMS_PER_DATAGRAM).min(items.len());
    items[from..to].to_vec()
}

impl<P: Platform> Gateway<P> {
    /// Sends a message to another host.
    pub fn send_peer(&self, addr: SocketAddr, message: &PeerMessage) {
        if self.peer_sender.send(addr, message) {
            self.metrics.peer_datagrams.inc();
        }
    }

    /// True if a statement comes from the host that acts now.
    fn is_current_term(&self, term: u64) -> bool {
        let acting = self.acting.borrow();
        // A statement of a later term comes before the store's listing.
        acting.as_ref().is_none_or(|a| term >= a.term)
    }

    /// Takes in what a host has in flight.
    pub fn take_loads(&self, host: &HostId, started_ms: u64, stated: &[(UpstreamId, InFlight)]) {
        let now_ms = self.now_ms();
        let mut peer_loads = self.peer_loads.borrow_mut();
        peer_loads.apply_report(now_ms, host, started_ms, stated);
        if *host == self.settings().host || self.host_count() > MAX_DIRECT_HOSTS {
            return;
        }
        let mut loads = self.loads.borrow_mut();
        for (id, _) in stated {
            let own = peer_loads.from_host(&self.settings().host, id);
            loads.set_remote(now_ms, id, peer_loads.total(now_ms, id).minus(own));
        }
        drop(loads);
        self.places.borrow().wake();
    }

    /// Takes in what an engine holds after an order.
    pub fn take_holdings(
        &self,
        upstream: &UpstreamId,
        started_ms: u64,
        number: ObservationNumber,
        holds: &Holdings,
    ) {
        let now_ms = self.now_ms();
        let mut registry = self.registry.borrow_mut();
        let id = upstream.as_str();
        if registry.apply_holdings(now_ms, id, started_ms, number, holds) {
            drop(registry);
            self.places.borrow().wake();
        }
    }

    /// Takes in that a model is being loaded.
    pub fn take_loading(&self, service: ServiceId, model: ModelId, ready_in_ms: u64) {
        let lane = QueueKey {
            service,
            model: Some(model),
        };
        let at_ms = self.now_ms() + ready_in_ms;
        self.places.borrow_mut().ready_at_ms.insert(lane, at_ms);
    }

    /// Tells the acting host that weights are wanted.
    pub fn announce_want(&self, service: &ServiceId, weights: &Weights) {
        let Some(acting) = self.acting.borrow().clone() else {
            return;
        };
        let now_ms = self.now_ms();
        let mut wants = self.peer_sender.wants.borrow_mut();
        if wants.len() > MAX_WANTS {
            wants.clear();
        }
        let key = (service.clone(), weights.clone());
        let last_ms = wants.get(&key).copied().unwrap_or(0);
        if now_ms < last_ms + WANT_EVERY_MS {
            return;
        }
        wants.insert(key, now_ms);
        drop(wants);
        let message = PeerMessage::Want {
            service: service.clone(),
            model: weights.model.clone(),
            adapter: weights.adapter.clone(),
        };
        self.send_peer(acting.addr, &message);
    }
}

impl<P: Platform, A: ActingInbox> Service for PeerLink<P, A> {
    const NAME: &'static str = "gateway-peers";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        let receiving = compio::runtime::spawn({
            let link = Rc::clone(&self);
            async move { link.receive().await }
        });
        let stating = compio::runtime::spawn({
            let link = Rc::clone(&self);
            let cancel = cancel.clone();
            async move { link.state_loads_until(cancel).await }
        });
        loop {
            futures_util::select_biased! {
                () = cancel.cancelled().fuse() => break,
                () = compio::time::sleep(report_every(self.gateway.host_count())).fuse() => {}
            }
            self.report();
        }
        drop(receiving);
        // It ends with the same token.
        let _ = stating.await;
    }
}
