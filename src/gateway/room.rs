//! Asks the keeper of an engine's account whether the engine has room, and keeps the
//! accounts of this host's engines (`core::engine_room`).
//!
//! Used in fleets too large for every host to know the loads of all others at once.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use super::call::RoutedRequest;
use super::peer_messages::PeerMessage;
use super::peers::{MAX_ITEMS_PER_DATAGRAM, datagram_chunk};
use super::platform::Platform;
use super::questions::Questions;
use super::state::Gateway;
use crate::core::balance::has_room_for_counted;
use crate::core::engine_room::{RoomWaiters, Urgency, keeper_of};
use crate::core::ids::{HostId, UpstreamId};
use crate::core::load::InFlight;

/// Time after which a host sends without an answer of the keeper; several times
/// the round trip between zones.
const ASK_TIMEOUT: Duration = Duration::from_millis(15);

/// Questions of this host, and the hosts that wait for engines whose accounts it
/// keeps.
#[derive(Debug, Default)]
pub struct RoomDesk {
    questions: Questions<()>,
    waiters: RefCell<RoomWaiters>,
}

/// Where the account of an engine is kept.
enum Keeper {
    ThisHost,
    Other(SocketAddr),
}

impl<P: Platform> Gateway<P> {
    fn keeper(&self, upstream: &UpstreamId) -> Option<Keeper> {
        let peers = self.peers.borrow();
        let hosts = peers.listed().map(|(host, peer)| (host, peer.cpu_milli));
        let keeper = keeper_of(upstream, hosts)?;
        if *keeper == self.settings().host {
            return Some(Keeper::ThisHost);
        }
        Some(Keeper::Other(peers.get_listed(keeper)?.addr))
    }

    /// True if an engine has room for a request that is counted in its load, by the
    /// account of its keeper, or if the keeper does not answer.
    pub async fn has_room(&self, request: &RoutedRequest, upstream: &UpstreamId) -> bool {
        if !self.is_large_fleet() || request.requirements.weights.is_none() {
            return true;
        }
        match self.keeper(upstream) {
            Some(Keeper::ThisHost) => self.update_own_account(upstream),
            Some(Keeper::Other(addr)) => {
                if !self.ask_keeper(addr, upstream).await {
                    return true;
                }
            }
            None => return true,
        }
        let has_room = self.has_room_now(request, upstream);
        if !has_room {
            self.await_room(request, upstream);
        }
        has_room
    }

    fn has_room_now(&self, request: &RoutedRequest, upstream: &UpstreamId) -> bool {
        let (registry, loads) = (self.registry.borrow(), self.loads.borrow());
        let (entry, load) = (
            registry.get(upstream.as_str()),
            loads.get(upstream.as_str()),
        );
        let (Some(entry), Some(load)) = (entry, load) else {
            return true;
        };
        has_room_for_counted(self.now_ms(), load, entry, &request.requirements)
    }

    /// Load of this host at an engine.
    fn own_load(&self, upstream: &UpstreamId) -> InFlight {
        let loads = self.loads.borrow();
        loads
            .get(upstream.as_str())
            .map_or(InFlight::default(), |l| l.local)
    }

    /// Enters this host's load into an account that it keeps, and takes over the load
    /// of the others.
    fn update_own_account(&self, upstream: &UpstreamId) {
        let own = self.settings().host.clone();
        let own_load = self.own_load(upstream);
        let others = self.enter_load(&own, self.clock.started_ms(), upstream, own_load);
        let now_ms = self.now_ms();
        self.loads.borrow_mut().set_remote(now_ms, upstream, others);
    }

    /// Enters a host's load into an account; returns the load of the others.
    fn enter_load(
        &self,
        host: &HostId,
        started_ms: u64,
        upstream: &UpstreamId,
        load: InFlight,
    ) -> InFlight {
        let now_ms = self.now_ms();
        let mut peer_loads = self.peer_loads.borrow_mut();
        peer_loads.apply_report(now_ms, host, started_ms, &[(upstream.clone(), load)]);
        peer_loads.others(now_ms, host, upstream)
    }

    /// Asks for the load of the others; false if there is no answer in time.
    async fn ask_keeper(&self, addr: SocketAddr, upstream: &UpstreamId) -> bool {
        let send = |ticket| {
            let message = PeerMessage::AskRoom {
                host: self.settings().host.clone(),
                started_ms: self.clock.started_ms(),
                upstream: upstream.clone(),
                load: self.own_load(upstream),
                ticket,
            };
            self.send_peer(addr, &message);
        };
        let is_answered = self.room.questions.ask(ASK_TIMEOUT, send).await.is_some();
        if !is_answered {
            self.metrics.unanswered_asks.inc();
        }
        is_answered
    }

    /// Asks for news of an engine without room.
    fn await_room(&self, request: &RoutedRequest, upstream: &UpstreamId) {
        let host = self.settings().host.clone();
        let urgency = self.stated_urgency(request);
        match self.keeper(upstream) {
            Some(Keeper::ThisHost) => self.add_room_waiter(&host, upstream, urgency),
            Some(Keeper::Other(addr)) => {
                let message = PeerMessage::AwaitRoom {
                    host,
                    upstream: upstream.clone(),
                    due_in_ms: urgency.map(|u| u.due_in_ms),
                    priority: urgency.map(|u| u.priority),
                };
                self.send_peer(addr, &message);
            }
            None => {}
        }
        if let Some(Urgency {
            due_in_ms,
            priority,
        }) = urgency
        {
            self.metrics.urgent_waits.inc();
            tracing::info!(
                event = "awaits_room",
                request = request.request_id,
                upstream = %upstream,
                due_in_ms,
                priority,
            );
        }
    }

    /// Urgency that keepers are told of a request, if the settings call for it.
    fn stated_urgency(&self, request: &RoutedRequest) -> Option<Urgency> {
        let is_stated = self.settings().waiting.urgent_hosts_first;
        is_stated.then(|| Urgency {
            due_in_ms: self.due_ms(request).saturating_sub(self.now_ms()),
            priority: request.priority,
        })
    }

    /// Answers a host that asks for the load of the others.
    pub fn answer_room(
        &self,
        host: &HostId,
        started_ms: u64,
        upstream: UpstreamId,
        load: InFlight,
        ticket: u64,
    ) {
        let others = self.enter_load(host, started_ms, &upstream, load);
        self.send_room(host, ticket, upstream, others);
    }

    fn send_room(&self, host: &HostId, ticket: u64, upstream: UpstreamId, others: InFlight) {
        let addr = {
            let peers = self.peers.borrow();
            peers.get_recipient(self.now_ms(), host).map(|p| p.addr)
        };
        if let Some(addr) = addr {
            let message = PeerMessage::Room {
                ticket,
                upstream,
                others,
            };
            self.send_peer(addr, &message);
        }
    }

    /// Records that a host waits for an engine.
    pub fn add_room_waiter(&self, host: &HostId, upstream: &UpstreamId, urgency: Option<Urgency>) {
        let now_ms = self.now_ms();
        let urgency = urgency.unwrap_or_default();
        let mut waiters = self.room.waiters.borrow_mut();
        waiters.add(now_ms, upstream, host, urgency);
    }

    /// Applies a keeper's answer or news.
    pub fn apply_room(&self, ticket: u64, upstream: &UpstreamId, others: InFlight) {
        let now_ms = self.now_ms();
        self.loads.borrow_mut().set_remote(now_ms, upstream, others);
        if !self.room.questions.answer(ticket, ()) {
            self.admission_queue.borrow().wake();
        }
    }

    /// Sends changed loads to the keepers of their engines.
    pub fn tell_keepers(&self, in_flight: &[(UpstreamId, InFlight)]) {
        let mut by_keeper: BTreeMap<SocketAddr, Vec<(UpstreamId, InFlight)>> = BTreeMap::new();
        for (upstream, load) in in_flight {
            match self.keeper(upstream) {
                Some(Keeper::ThisHost) => {
                    self.update_own_account(upstream);
                    self.notify_waiter(upstream);
                }
                Some(Keeper::Other(addr)) => {
                    let loads = by_keeper.entry(addr).or_default();
                    loads.push((upstream.clone(), *load));
                }
                None => {}
            }
        }
        for (addr, loads) in by_keeper {
            for index in 0..loads.len().div_ceil(MAX_ITEMS_PER_DATAGRAM) {
                let message = PeerMessage::Loads {
                    host: self.settings().host.clone(),
                    started_ms: self.clock.started_ms(),
                    in_flight: datagram_chunk(&loads, index),
                    paces: Vec::new(),
                };
                self.send_peer(addr, &message);
            }
        }
    }

    /// Tells the host with the most urgent request for an engine its present load.
    pub fn notify_waiter(&self, upstream: &UpstreamId) {
        let now_ms = self.now_ms();
        let host = self.room.waiters.borrow_mut().next(now_ms, upstream);
        let Some(host) = host else {
            return;
        };
        let others = self.peer_loads.borrow().others(now_ms, &host, upstream);
        if host == self.settings().host {
            self.apply_room(0, upstream, others);
        } else {
            self.send_room(&host, 0, upstream.clone(), others);
        }
    }
}
