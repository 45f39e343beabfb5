//! Whether upstreams that a host finds missing when it reaches the store again have left.
//!
//! Fault: in an outage of the store, entries of running upstreams lapse and are back about
//! two seconds after its end. If only the host was cut off, the missing upstreams have
//! left. The host alone cannot tell the two apart; a host that had the store throughout
//! can, for the upstreams of its availability zone. (A partition of a zone keeps its
//! upstreams from the store as well.)

use super::ids::ZoneId;
use super::registry::{DRAIN_MARGIN_MS, LAPSE_GRACE_MS, lapse_grace_ms};

/// Longest time between two responses of the store to a host that has it throughout, in
/// milliseconds: a watch without changes, and a slow event loop.
const MAX_CONTACT_GAP_MS: u64 = 2_900;

/// Time without the store, as one host saw it, in milliseconds since the epoch.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Outage {
    /// Last response before it.
    pub lost_ms: u64,
    /// Start of the last call without a response.
    pub unreached_ms: u64,
    /// First response after it.
    pub returned_ms: u64,
}

/// Responses of the store to one host without a longer gap, in milliseconds since the
/// epoch.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct StoreContact {
    since_ms: u64,
    last_ms: u64,
}

impl StoreContact {
    /// Contact that another host states, by the times that have passed.
    pub fn from_ages(now_ms: u64, since_ago_ms: u64, last_ago_ms: u64) -> Self {
        Self {
            since_ms: now_ms.saturating_sub(since_ago_ms),
            last_ms: now_ms.saturating_sub(last_ago_ms),
        }
    }

    /// Times that have passed since the first and the last response.
    pub fn ages(&self, now_ms: u64) -> (u64, u64) {
        let age = |at_ms| now_ms.saturating_sub(at_ms);
        (age(self.since_ms), age(self.last_ms))
    }

    /// Time of the last response.
    pub fn last_ms(&self) -> u64 {
        self.last_ms
    }

    /// Records a response.
    pub fn on_response(&mut self, now_ms: u64) {
        if now_ms > self.last_ms + MAX_CONTACT_GAP_MS {
            self.since_ms = now_ms;
        }
        self.last_ms = now_ms;
    }

    /// Records that the store was lost.
    pub fn on_lost(&mut self) {
        *self = Self::default();
    }

    /// True if the store responded during all of an outage.
    fn covers(&self, outage: &Outage) -> bool {
        self.since_ms <= outage.lost_ms && self.last_ms + MAX_CONTACT_GAP_MS >= outage.returned_ms
    }
}

/// What the hosts of an upstream's availability zone saw during an outage.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Evidence {
    /// No host of the zone has answered.
    None,
    /// A host had the store throughout.
    StoreWasUp,
    /// All hosts that have answered lost the store.
    StoreWasLost,
}

impl Evidence {
    /// Evidence for a zone by the contacts that hosts state.
    pub fn for_zone<'a>(
        zone: &ZoneId,
        outage: &Outage,
        contacts: impl Iterator<Item = &'a (ZoneId, StoreContact)>,
    ) -> Self {
        let mut evidence = Self::None;
        for (_, contact) in contacts.filter(|(of, _)| of == zone) {
            if contact.covers(outage) {
                return Self::StoreWasUp;
            }
            evidence = Self::StoreWasLost;
        }
        evidence
    }
}

/// Time limits of the settings, in milliseconds.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct DepartureBounds {
    /// Time after which upstreams that have left must receive nothing.
    pub drain_within_ms: u64,
    /// Time after a disruption from which a host must keep the other limits.
    pub contact_within_ms: u64,
}

/// Time until which an upstream that was missing at the end of an outage stays in use.
///
/// What this host takes for an outage may be its own connections that fell silent after the
/// upstream had left. The grace period therefore counts from the last evidence that the store
/// could not be reached, and not from its return.
pub fn missing_until_ms(outage: &Outage, evidence: Evidence, bounds: DepartureBounds) -> u64 {
    let grace_ms = match evidence {
        Evidence::StoreWasUp => return outage.returned_ms,
        Evidence::None => lapse_grace_ms(bounds.drain_within_ms),
        Evidence::StoreWasLost => LAPSE_GRACE_MS,
    };
    let in_contact_ms = outage.unreached_ms + bounds.contact_within_ms;
    let latest_ms = outage.returned_ms + grace_ms;
    latest_ms.min(in_contact_ms.saturating_sub(DRAIN_MARGIN_MS))
}

/// Time until which an upstream stays in use whose entry was deleted after the outage, as
/// this host learns at `now_ms`.
pub fn deleted_until_ms(
    outage: &Outage,
    evidence: Evidence,
    bounds: DepartureBounds,
    now_ms: u64,
) -> u64 {
    let by_drain_ms = now_ms + lapse_grace_ms(bounds.drain_within_ms / 2);
    missing_until_ms(outage, evidence, bounds).min(by_drain_ms)
}
