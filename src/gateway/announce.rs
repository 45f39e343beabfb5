//! Messages of the acting host to all other hosts.
//!
//! Load pattern: a burst changes the adapters of many engines within a second, and
//! each change concerns every host of a large fleet. Changes are collected for one
//! turn of the acting host, packed into few datagrams, and each datagram is encoded
//! once for all hosts. Only what an engine is about to unload is announced at once,
//! since requests for it must stop first.

use std::rc::Rc;

use super::acting::ActingHostService;
use super::peer_messages::{EngineHoldings, PeerMessage};
use super::peers::{MAX_ITEMS_PER_DATAGRAM, datagram_chunk};
use super::platform::Platform;
use crate::core::catalog::EngineSpec;
use crate::core::ids::{ModelId, ServiceId, UpstreamId};

/// Limit of the models and adapters in one datagram, unless a single engine has
/// more; keeps it within a packet of the usual size.
const MAX_HELD_ITEMS_PER_DATAGRAM: usize = 40;

impl<P: Platform> ActingHostService<P> {
    /// Announces to all hosts when a model that an engine starts to load will be
    /// ready.
    pub(super) fn announce_loading(
        &self,
        service: &ServiceId,
        spec: &EngineSpec,
        upstream: &UpstreamId,
        model: &ModelId,
    ) {
        let ready_in_ms = self.load_time(spec, upstream, model).as_millis() as u64;
        let term = self.state.borrow().term;
        let message = PeerMessage::Loading {
            term,
            service: service.clone(),
            model: model.clone(),
            ready_in_ms,
        };
        self.broadcast(&message);
        let gateway = &self.gateway;
        gateway.apply_loading(service.clone(), model.clone(), ready_in_ms);
    }

    /// Sends a message to all other hosts.
    fn broadcast(&self, message: &PeerMessage) {
        let addrs = self.gateway.other_hosts(|_| true);
        self.gateway.send_peers(addrs, message);
    }

    /// Publishes what an engine holds with the next turn.
    pub fn publish_holdings(self: &Rc<Self>, upstream: &UpstreamId) {
        let mut state = self.state.borrow_mut();
        state.unpublished.insert(upstream.clone());
        self.wake.notify_one();
    }

    /// Publishes what an engine holds at once.
    pub fn publish_holdings_now(self: &Rc<Self>, upstream: &UpstreamId) {
        self.publish_holdings(upstream);
        self.flush_holdings();
    }

    /// Sends all holdings that have changed since the last call to all hosts.
    pub(super) fn flush_holdings(&self) {
        let (term, changed) = {
            let mut guard = self.state.borrow_mut();
            let state = &mut *guard;
            let mut changed = Vec::new();
            for upstream in std::mem::take(&mut state.unpublished) {
                let Some(ledger) = state.engines.get(&upstream) else {
                    continue;
                };
                state.holdings_number += 1;
                changed.push(EngineHoldings {
                    upstream,
                    started_ms: ledger.started_ms,
                    number: state.holdings_number,
                    holds: ledger.resident.clone(),
                });
            }
            (state.term, changed)
        };
        for engine in &changed {
            self.gateway.apply_holdings(term, engine);
        }
        for engines in pack_holdings(changed) {
            self.broadcast(&PeerMessage::Holdings { term, engines });
        }
    }

    /// Sends all hosts the sums of what they have in flight; each subtracts its own
    /// part.
    pub(super) fn send_digests(&self, term: u64) {
        let gateway = &self.gateway;
        let now_ms = gateway.now_ms();
        let own = gateway.settings().host.clone();
        let peer_loads = gateway.peer_loads.borrow();
        let totals = {
            let registry = gateway.registry.borrow();
            peer_loads.digest(now_ms, registry.entries().map(|e| &e.id))
        };
        let mut loads = gateway.loads.borrow_mut();
        for (id, total) in &totals {
            loads.set_remote(now_ms, id, total.minus(peer_loads.from_host(&own, id)));
        }
        drop(loads);
        drop(peer_loads);
        let speeds = gateway.known_speeds();
        let longest = totals.len().max(speeds.len());
        for index in 0..longest.div_ceil(MAX_ITEMS_PER_DATAGRAM) {
            let digest = PeerMessage::Digest {
                term,
                totals: datagram_chunk(&totals, index),
                speeds: datagram_chunk(&speeds, index),
            };
            self.broadcast(&digest);
        }
    }
}

/// Groups holdings so that each group fits into one datagram.
pub fn pack_holdings(changed: Vec<EngineHoldings>) -> Vec<Vec<EngineHoldings>> {
    let mut groups: Vec<Vec<EngineHoldings>> = Vec::new();
    let mut items = 0;
    for engine in changed {
        let held = 1 + engine.holds.values().map(|a| 1 + a.len()).sum::<usize>();
        match groups.last_mut() {
            Some(group) if items + held <= MAX_HELD_ITEMS_PER_DATAGRAM => {
                group.push(engine);
                items += held;
            }
            _ => {
                groups.push(vec![engine]);
                items = held;
            }
        }
    }
    groups
}
