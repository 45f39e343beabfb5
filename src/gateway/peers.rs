//! State exchange between hosts in small CBOR datagrams over UDP.
//!
//! Each host sends its in-flight loads to all other hosts as soon as they change
//! and reports the demand of its callers to the acting host. In a large fleet, loads
//! go to the acting host and to the keepers of the engines' accounts only, and the
//! acting host sends all hosts the sums. The acting host also publishes the
//! holdings of engines after its orders. Every message carries state that a
//! newer message replaces, so a lost datagram only delays an update. That is why
//! there are no connections between hosts, which would have to be kept open and
//! monitored.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use compio::BufResult;
use compio::net::UdpSocket;
use futures_util::FutureExt;
use tokio_util::sync::CancellationToken;

use super::demand::{DemandReporter, ModelCounts};
use super::peer_messages::{EngineHoldings, PeerMessage};
use super::platform::Platform;
use super::state::Gateway;
use crate::core::balance::Weights;
use crate::core::engine_room::Urgency;
use crate::core::ids::{AdapterId, HostId, ModelId, ServiceId, UpstreamId};
use crate::core::load::InFlight;
use crate::core::waiting::QueueKey;
use crate::kernel::Service;

/// Minimum time between two reports of a host.
const MIN_REPORT_INTERVAL: Duration = Duration::from_millis(200);
/// Increase of the report interval for each host of the fleet, which bounds the
/// acting host's work.
const REPORT_INTERVAL_PER_HOST: Duration = Duration::from_millis(2);
/// Time over which load changes are batched into one datagram; much shorter than
/// the prefill of a prompt.
const LOADS_INTERVAL: Duration = Duration::from_millis(20);
/// Time between two messages with the loads of all upstreams instead of only the
/// changed ones.
const FULL_LOADS_INTERVAL_MS: u64 = 1_000;
/// Limit at which a datagram still fits into a packet of the usual size.
pub const MAX_ITEMS_PER_DATAGRAM: usize = 30;
/// Size of the receive buffer.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// Minimum time between two requests for the same weights.
const WEIGHTS_REQUEST_INTERVAL_MS: u64 = 100;
/// Limit of the recorded requests for weights; all records are dropped when it is
/// exceeded.
const MAX_WEIGHTS_REQUESTS: usize = 4_096;

/// Receiver of the messages to the acting host.
pub trait ActingHostInbox: 'static {
    /// Handles a host's report of its demand.
    fn on_report(
        &self,
        host: &HostId,
        started_ms: u64,
        models: &[(ServiceId, ModelId, ModelCounts)],
        adapters: &[(ServiceId, ModelId, AdapterId)],
    );
    /// Handles a request for weights that no upstream can serve.
    fn on_weights_request(&self, service: &ServiceId, weights: &Weights);
}

/// Sender of peer messages, shared by all services.
#[derive(Debug, Default)]
pub struct PeerSender {
    socket: RefCell<Option<Rc<UdpSocket>>>,
    weights_requests: RefCell<HashMap<(ServiceId, Weights), u64>>,
}

impl PeerSender {
    /// Sends a message to some hosts without delivery guarantee; false if it cannot
    /// be sent.
    pub fn send(&self, addrs: Vec<SocketAddr>, message: &PeerMessage) -> bool {
        let Some(socket) = self.socket.borrow().clone() else {
            return false;
        };
        let mut bytes = Vec::with_capacity(512);
        if let Err(error) = ciborium::into_writer(message, &mut bytes) {
            tracing::error!(event = "peers", %error, "cannot encode peer message");
            return false;
        }
        compio::runtime::spawn(async move {
            for addr in addrs {
                let BufResult(sent, buffer) = socket.send_to(bytes, addr).await;
                bytes = buffer;
                if let Err(error) = sent {
                    tracing::debug!(event = "peers", %addr, %error, "cannot send datagram");
                }
            }
        })
        .detach();
        true
    }
}

/// Service that exchanges messages with other hosts.
#[derive(Debug)]
pub struct PeerService<P: Platform, A: ActingHostInbox> {
    gateway: Rc<Gateway<P>>,
    inbox: A,
    socket: Rc<UdpSocket>,
    demand_reporter: RefCell<DemandReporter>,
    /// Loads of this host as last sent.
    reported_loads: RefCell<HashMap<UpstreamId, InFlight>>,
}

impl<P: Platform, A: ActingHostInbox> PeerService<P, A> {
    /// Creates the service on a bound socket.
    pub fn new(gateway: Rc<Gateway<P>>, inbox: A, socket: UdpSocket) -> Self {
        let socket = Rc::new(socket);
        *gateway.peer_sender.socket.borrow_mut() = Some(Rc::clone(&socket));
        Self {
            gateway,
            inbox,
            socket,
            demand_reporter: RefCell::default(),
            reported_loads: RefCell::default(),
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
                        Ok(message) => self.handle_message(message),
                        Err(error) => {
                            tracing::warn!(event = "peers", %error, "cannot decode datagram");
                        }
                    }
                }
                Err(error) => {
                    tracing::debug!(event = "peers", %error, "cannot receive datagram");
                    compio::time::sleep(Duration::from_millis(10)).await;
                }
            }
        }
    }

    fn handle_message(&self, message: PeerMessage) {
        let gateway = &self.gateway;
        match message {
            PeerMessage::Loads {
                host,
                started_ms,
                in_flight,
                paces,
            } => {
                gateway.apply_paces(&paces);
                self.on_loads(&host, started_ms, &in_flight);
            }
            PeerMessage::AskRoom {
                host,
                started_ms,
                upstream,
                load,
                ticket,
            } => gateway.answer_room(&host, started_ms, upstream, load, ticket),
            PeerMessage::Room {
                ticket,
                upstream,
                others,
            } => gateway.apply_room(ticket, &upstream, others),
            PeerMessage::AwaitRoom {
                host,
                upstream,
                due_in_ms,
                priority,
            } => {
                let urgency = Urgency::stated(due_in_ms, priority);
                gateway.add_room_waiter(&host, &upstream, urgency);
            }
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
            } => self
                .inbox
                .on_weights_request(&service, &Weights { model, adapter }),
            PeerMessage::Digest { term, .. }
            | PeerMessage::Holdings { term, .. }
            | PeerMessage::Loading { term, .. } => {
                if gateway.is_current_term(term) {
                    self.apply_announcement(message);
                }
            }
            PeerMessage::StoreChanges(changes) => gateway.apply_relayed(changes),
            PeerMessage::Leaving { .. } | PeerMessage::Limited { .. } => {
                gateway.apply_relayed_notice(&message);
            }
            PeerMessage::Origins { .. }
            | PeerMessage::OriginClaims { .. }
            | PeerMessage::AskOrigin { .. }
            | PeerMessage::Origin { .. } => gateway.handle_origin_message(message),
            PeerMessage::AskStoreContact { host, ticket } => {
                gateway.answer_store_contact(&host, ticket);
            }
            PeerMessage::StoreContact(stated) => gateway.apply_store_contact(stated),
            PeerMessage::AskPermit(question) => gateway.answer_permit(&question),
            PeerMessage::Permit {
                ticket,
                retry_in_ms,
            } => gateway.apply_permit(ticket, retry_in_ms),
            PeerMessage::Brittle(statement) => gateway.apply_relayed_statement(&statement),
            PeerMessage::Places(message) => gateway.apply_places(&message),
            PeerMessage::Place {
                ticket,
                retry_in_ms,
            } => gateway.apply_place(ticket, retry_in_ms),
            PeerMessage::PlaceFree { upstream } => gateway.on_place_free(&upstream),
            PeerMessage::SharedPlaces(message) => gateway.apply_shared_report(message),
            PeerMessage::SharedPlace(message) => gateway.apply_shared_place(&message),
            PeerMessage::Quota(message) => gateway.quotas.on_message(&**gateway, &message),
            PeerMessage::QuotaReply(reply) => gateway.quotas.apply_reply(&**gateway, reply),
            PeerMessage::Crash { .. }
            | PeerMessage::Watch { .. }
            | PeerMessage::Sound { .. }
            | PeerMessage::Quarantine(_)
            | PeerMessage::AskTrial { .. }
            | PeerMessage::Trial { .. } => gateway.handle_crash_message(message),
        }
    }

    /// Applies what the acting host announces to all hosts.
    fn apply_announcement(&self, message: PeerMessage) {
        let gateway = &self.gateway;
        match message {
            PeerMessage::Digest { totals, speeds, .. } => {
                self.apply_totals(&totals);
                gateway.apply_speeds(&speeds);
            }
            PeerMessage::Holdings { term, engines } => {
                for engine in &engines {
                    gateway.apply_holdings(term, engine);
                }
            }
            PeerMessage::Loading {
                service,
                model,
                ready_in_ms,
                ..
            } => gateway.apply_loading(service, model, ready_in_ms),
            _ => {}
        }
    }

    fn on_loads(&self, host: &HostId, started_ms: u64, in_flight: &[(UpstreamId, InFlight)]) {
        let gateway = &self.gateway;
        gateway.apply_loads(host, started_ms, in_flight);
        gateway.pass_loads_to_keepers(host, started_ms, in_flight);
        if gateway.is_large_fleet() {
            for (upstream, _) in in_flight {
                gateway.notify_waiter(upstream);
            }
        }
    }

    /// Updates the loads of the other hosts from the sums of all.
    fn apply_totals(&self, totals: &[(UpstreamId, InFlight)]) {
        let gateway = &self.gateway;
        let now_ms = gateway.now_ms();
        let reported = self.reported_loads.borrow();
        let mut loads = gateway.loads.borrow_mut();
        for (id, total) in totals {
            let own = reported.get(id).copied().unwrap_or_default();
            loads.set_remote(now_ms, id, total.minus(own));
        }
        drop(loads);
        gateway.admission_queue.borrow().wake();
    }

    /// Reports the demand since the last report to the acting host.
    fn send_report(&self) {
        let gateway = &self.gateway;
        let acting = gateway.acting_host.borrow().clone();
        let Some(acting) = acting else {
            return;
        };
        let now_ms = gateway.now_ms();
        let (started_ms, models) = {
            let demand = gateway.demand.borrow();
            let mut reporter = self.demand_reporter.borrow_mut();
            reporter.take_changed(now_ms, acting.term, &demand)
        };
        let requested_adapters = gateway.demand.borrow_mut().take_requested_adapters();
        let adapters: Vec<_> = requested_adapters
            .into_iter()
            .map(|((service, model), adapter)| (service, model, adapter))
            .collect();
        let host = gateway.settings().host.clone();
        if acting.host == host {
            self.inbox.on_report(&host, started_ms, &models, &adapters);
            return;
        }
        let longest = models.len().max(adapters.len());
        for index in 0..longest.div_ceil(MAX_ITEMS_PER_DATAGRAM).max(1) {
            let message = PeerMessage::Report {
                host: host.clone(),
                started_ms,
                models: datagram_chunk(&models, index),
                adapters: datagram_chunk(&adapters, index),
            };
            gateway.send_peer(acting.addr, &message);
        }
    }

    /// Sends loads to all other hosts of a small fleet, or to the acting host of
    /// a large one.
    fn send_loads(&self, in_flight: &[(UpstreamId, InFlight)]) {
        let gateway = &self.gateway;
        let host = gateway.settings().host.clone();
        let started_ms = gateway.clock.started_ms();
        let mut reported = self.reported_loads.borrow_mut();
        for (id, load) in in_flight {
            if load.is_empty() {
                reported.remove(id);
            } else {
                reported.insert(id.clone(), *load);
            }
        }
        drop(reported);
        let is_acting = gateway.is_acting_host();
        if is_acting {
            gateway.apply_loads(&host, started_ms, in_flight);
        }
        let addrs = if !gateway.is_large_fleet() {
            gateway.other_hosts(|_| true)
        } else if is_acting {
            Vec::new()
        } else {
            let acting = gateway.acting_host.borrow();
            acting.iter().map(|a| a.addr).collect()
        };
        let paces = gateway.take_paces();
        let longest = in_flight.len().max(paces.len());
        for index in 0..longest.div_ceil(MAX_ITEMS_PER_DATAGRAM) {
            let message = PeerMessage::Loads {
                host: host.clone(),
                started_ms,
                in_flight: datagram_chunk(in_flight, index),
                paces: datagram_chunk(&paces, index),
            };
            gateway.send_peers(addrs.clone(), &message);
        }
    }

    async fn send_loads_until(&self, cancel: CancellationToken) {
        let mut next_full_ms = 0;
        let mut next_report_ms = 0;
        loop {
            futures_util::select_biased! {
                () = cancel.cancelled().fuse() => return,
                () = compio::time::sleep(LOADS_INTERVAL).fuse() => {}
            }
            self.gateway.publish_origins();
            let now_ms = self.gateway.now_ms();
            let untold = self.gateway.loads.borrow_mut().take_untold();
            if self.gateway.is_large_fleet() {
                self.gateway.tell_keepers(&untold);
                if now_ms < next_report_ms {
                    continue;
                }
                let pause = report_interval(self.gateway.host_count());
                next_report_ms = now_ms + pause.as_millis() as u64;
            }
            let changed = self.gateway.loads.borrow_mut().take_changed();
            if now_ms >= next_full_ms {
                next_full_ms = now_ms + FULL_LOADS_INTERVAL_MS;
                let mut all: Vec<(UpstreamId, InFlight)> = {
                    let loads = self.gateway.loads.borrow();
                    loads.local().map(|(id, load)| (id.clone(), load)).collect()
                };
                if self.gateway.is_large_fleet() {
                    self.gateway.tell_keepers(&all);
                }
                all.extend(changed.into_iter().filter(|(_, load)| load.is_empty()));
                self.send_loads(&all);
            } else if !changed.is_empty() {
                self.send_loads(&changed);
            }
        }
    }
}

/// Time between two reports of a host, by the size of the fleet.
pub fn report_interval(hosts: usize) -> Duration {
    MIN_REPORT_INTERVAL.max(REPORT_INTERVAL_PER_HOST * hosts as u32)
}

/// Items of the datagram with an index, counted from 0.
pub fn datagram_chunk<T: Clone>(items: &[T], index: usize) -> Vec<T> {
    let from = (index * MAX_ITEMS_PER_DATAGRAM).min(items.len());
    let to = (from + MAX_ITEMS_PER_DATAGRAM).min(items.len());
    items[from..to].to_vec()
}

impl<P: Platform> Gateway<P> {
    /// Sends a message to another host.
    pub fn send_peer(&self, addr: SocketAddr, message: &PeerMessage) {
        self.send_peers(vec![addr], message);
    }

    /// Sends a message to some other hosts.
    pub fn send_peers(&self, addrs: Vec<SocketAddr>, message: &PeerMessage) {
        let count = addrs.len() as u64;
        if count > 0 && self.peer_sender.send(addrs, message) {
            self.metrics.peer_datagrams.inc_by(count);
        }
    }

    /// True unless a message is from an earlier term than the current one.
    pub(super) fn is_current_term(&self, term: u64) -> bool {
        let acting = self.acting_host.borrow();
        // A message of a new term can arrive before the store's listing.
        acting.as_ref().is_none_or(|a| term >= a.term)
    }

    /// Updates the in-flight loads of a host.
    pub fn apply_loads(
        &self,
        host: &HostId,
        started_ms: u64,
        in_flight: &[(UpstreamId, InFlight)],
    ) {
        let now_ms = self.now_ms();
        let mut peer_loads = self.peer_loads.borrow_mut();
        peer_loads.apply_report(now_ms, host, started_ms, in_flight);
        if *host == self.settings().host || self.is_large_fleet() {
            return;
        }
        let mut loads = self.loads.borrow_mut();
        for (id, _) in in_flight {
            let others = peer_loads.others(now_ms, &self.settings().host, id);
            loads.set_remote(now_ms, id, others);
        }
        drop(loads);
        self.admission_queue.borrow().wake();
    }

    /// Updates the holdings of an engine after an order of the acting host.
    pub fn apply_holdings(&self, term: u64, engine: &EngineHoldings) {
        let now_ms = self.now_ms();
        let mut registry = self.registry.borrow_mut();
        let is_changed = registry.apply_holdings(
            now_ms,
            engine.upstream.as_str(),
            engine.started_ms,
            (term, engine.number),
            &engine.holds,
        );
        if is_changed {
            drop(registry);
            self.admission_queue.borrow().wake();
        }
    }

    /// Records when a model that is being loaded is expected to be ready.
    pub fn apply_loading(&self, service: ServiceId, model: ModelId, ready_in_ms: u64) {
        let queue_key = QueueKey {
            service,
            model: Some(model),
        };
        let at_ms = self.now_ms() + ready_in_ms;
        self.admission_queue
            .borrow_mut()
            .ready_at_ms
            .insert(queue_key, at_ms);
    }

    /// Requests weights from the acting host.
    pub fn request_weights(&self, service: &ServiceId, weights: &Weights) {
        let Some(acting) = self.acting_host.borrow().clone() else {
            return;
        };
        let now_ms = self.now_ms();
        let mut weights_requests = self.peer_sender.weights_requests.borrow_mut();
        if weights_requests.len() > MAX_WEIGHTS_REQUESTS {
            weights_requests.clear();
        }
        let key = (service.clone(), weights.clone());
        let last_ms = weights_requests.get(&key).copied().unwrap_or(0);
        if now_ms < last_ms + WEIGHTS_REQUEST_INTERVAL_MS {
            return;
        }
        weights_requests.insert(key, now_ms);
        drop(weights_requests);
        let message = PeerMessage::Want {
            service: service.clone(),
            model: weights.model.clone(),
            adapter: weights.adapter.clone(),
        };
        self.send_peer(acting.addr, &message);
    }
}

impl<P: Platform, A: ActingHostInbox> Service for PeerService<P, A> {
    const NAME: &'static str = "gateway-peers";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        let receiving = compio::runtime::spawn({
            let service = Rc::clone(&self);
            async move { service.receive().await }
        });
        let sending = compio::runtime::spawn({
            let service = Rc::clone(&self);
            let cancel = cancel.clone();
            async move { service.send_loads_until(cancel).await }
        });
        loop {
            futures_util::select_biased! {
                () = cancel.cancelled().fuse() => break,
                () = compio::time::sleep(report_interval(self.gateway.host_count())).fuse() => {}
            }
            self.send_report();
        }
        drop(receiving);
        // The same token cancels this task.
        let _ = sending.await;
    }
}
