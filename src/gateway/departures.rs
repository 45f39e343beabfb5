//! Learns after an outage of the store whether the upstreams that are missing have left.
//!
//! A host that reaches the store again asks the others for how long they had it
//! (`core::departures`). Until they answer, and if none does, missing upstreams stay in
//! use within the time limit for upstreams that have left.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;

use super::peer_messages::{PeerMessage, StatedContact};
use super::platform::Platform;
use super::state::Gateway;
use crate::core::departures::{
    DepartureBounds, Evidence, Outage, StoreContact, deleted_until_ms, missing_until_ms,
};
use crate::core::ids::{HostId, ZoneId};
use crate::core::registry::RegistryChange;

/// What is known of the last outage of the store.
#[derive(Debug, Default)]
pub struct DepartureDesk {
    /// Responses of the store to this host.
    contact: Cell<StoreContact>,
    outage: Cell<Option<Outage>>,
    /// Start of the last call to the store without a response, and the last response
    /// before the outage.
    lost: Cell<(u64, u64)>,
    /// Contacts that other hosts have stated since the outage.
    stated: RefCell<HashMap<HostId, (ZoneId, StoreContact)>>,
}

impl<P: Platform> Gateway<P> {
    /// Records a response of the store.
    pub(super) fn on_store_response(&self) {
        let mut contact = self.departures.contact.get();
        contact.on_response(self.now_ms());
        self.departures.contact.set(contact);
    }

    /// Records that calls to the store since a time had no response.
    pub(super) fn on_store_unreached(&self, since_ms: u64) {
        let desk = &self.departures;
        let mut contact = desk.contact.get();
        let (_, lost_ms) = desk.lost.get();
        if self.is_store_up.get() {
            desk.lost.set((contact.last_ms(), contact.last_ms()));
        } else {
            desk.lost.set((since_ms, lost_ms));
        }
        contact.on_lost();
        desk.contact.set(contact);
    }

    /// Records that the store responds again after an outage, and asks the other hosts
    /// whether they had it.
    pub(super) fn on_store_returned(&self) {
        let now_ms = self.now_ms();
        let (unreached_ms, lost_ms) = self.departures.lost.get();
        self.set_outage(Outage {
            lost_ms,
            unreached_ms,
            returned_ms: now_ms,
        });
        if !self.is_large_fleet() {
            let question = PeerMessage::AskStoreContact {
                host: self.settings().host.clone(),
                ticket: now_ms,
            };
            self.send_peers(self.other_hosts(|_| true), &question);
        }
    }

    /// Records that the store was restored from a copy, which lacks the upstreams that
    /// registered after it was made; they register again as they do after an outage.
    pub(super) fn on_store_restored(&self) {
        let now_ms = self.now_ms();
        self.set_outage(Outage {
            lost_ms: now_ms,
            unreached_ms: now_ms,
            returned_ms: now_ms,
        });
    }

    fn set_outage(&self, outage: Outage) {
        self.departures.stated.borrow_mut().clear();
        self.departures.outage.set(Some(outage));
    }

    /// Tells another host for how long this one has the store.
    pub(super) fn answer_store_contact(&self, host: &HostId, ticket: u64) {
        let now_ms = self.now_ms();
        let addr = {
            let peers = self.peers.borrow();
            peers.get_recipient(now_ms, host).map(|p| p.addr)
        };
        let settings = self.settings();
        let (since_ago_ms, last_ago_ms) = self.departures.contact.get().ages(now_ms);
        let answer = PeerMessage::StoreContact(StatedContact {
            host: settings.host.clone(),
            zone: settings.zone.clone(),
            since_ago_ms,
            last_ago_ms,
            ticket,
        });
        self.send_peers(addr.into_iter().collect(), &answer);
    }

    /// Applies another host's answer to the upstreams that are missing since the outage.
    pub(super) fn apply_store_contact(&self, stated: StatedContact) {
        let Some(outage) = self.departures.outage.get() else {
            return;
        };
        if stated.ticket != outage.returned_ms {
            return;
        }
        let now_ms = self.now_ms();
        let contact = StoreContact::from_ages(now_ms, stated.since_ago_ms, stated.last_ago_ms);
        let statement = (stated.zone, contact);
        let mut known = self.departures.stated.borrow_mut();
        known.insert(stated.host, statement);
        drop(known);
        let bounds = self.departure_bounds();
        let changes = {
            let mut registry = self.registry.borrow_mut();
            registry.limit_lapsed(|entry, deleted_ms| {
                let evidence = self.evidence(&entry.zone, &outage);
                match deleted_ms {
                    Some(at_ms) => deleted_until_ms(&outage, evidence, bounds, at_ms),
                    None => missing_until_ms(&outage, evidence, bounds),
                }
            });
            registry.expire_lapsed(now_ms)
        };
        for change in &changes {
            self.on_registry_change(change, 0);
        }
        let is_removal = |c: &RegistryChange| matches!(c, RegistryChange::Removed(_));
        let removed = changes.iter().filter(|c| is_removal(c)).count();
        tracing::info!(event = "store", what = "other_host", removed);
        self.metrics.departures_confirmed.inc_by(removed as u64);
    }

    fn evidence(&self, zone: &ZoneId, outage: &Outage) -> Evidence {
        let stated = self.departures.stated.borrow();
        Evidence::for_zone(zone, outage, stated.values())
    }

    fn departure_bounds(&self) -> DepartureBounds {
        let settings = self.settings();
        DepartureBounds {
            drain_within_ms: settings.drain_within.as_millis() as u64,
            contact_within_ms: settings.contact_within.as_millis() as u64,
        }
    }

    /// Time until which entries that are missing now, before other hosts have answered,
    /// may only have lapsed.
    pub fn lapse_until_ms(&self) -> Option<u64> {
        let outage = self.departures.outage.get()?;
        let until_ms = missing_until_ms(&outage, Evidence::None, self.departure_bounds());
        (self.now_ms() < until_ms).then_some(until_ms)
    }

    /// Time until which an entry that was deleted in the store may only have lapsed.
    pub(super) fn deleted_until_ms(&self, upstream: &str) -> Option<u64> {
        let outage = self.departures.outage.get()?;
        let zone = {
            let registry = self.registry.borrow();
            registry.get(upstream)?.zone.clone()
        };
        let now_ms = self.now_ms();
        let evidence = self.evidence(&zone, &outage);
        let until_ms = deleted_until_ms(&outage, evidence, self.departure_bounds(), now_ms);
        (now_ms < until_ms).then_some(until_ms)
    }
}
