//! Tells the peers what this host observes of the upstreams it acts for.
//!
//! What changed goes out at once, everywhere; what did not is told again from
//! time to time, as repair. Loads ride on the heartbeats.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use super::host::Host;
use super::peers::{PeerService, Scope};
use crate::core::fleet::Observation;
use crate::core::ids::UpstreamId;

/// Time after which an unchanged observation is told again in the own zone.
const TELL_OWN_ZONE_MS: u64 = 15_000;
/// Time after which an unchanged observation is told again everywhere.
const TELL_EVERYWHERE_MS: u64 = 60_000;

/// What the peers were last told of an upstream.
#[derive(Clone, Debug, Default)]
struct Told {
    seen: Option<Observation>,
    everywhere_ms: u64,
    own_zone_ms: u64,
}

/// What was told so far.
#[derive(Debug)]
pub struct Teller {
    host: Rc<Host>,
    peers: Rc<PeerService>,
    told: RefCell<BTreeMap<UpstreamId, Told>>,
}

impl Teller {
    /// Nothing was told yet.
    pub fn new(host: Rc<Host>, peers: Rc<PeerService>) -> Self {
        Self {
            host,
            peers,
            told: RefCell::default(),
        }
    }

    /// Forgets what was told of upstreams that this host no longer acts for.
    pub fn forget_others(&self, duties: &BTreeSet<&UpstreamId>) {
        self.told.borrow_mut().retain(|id, _| duties.contains(id));
    }

    /// Takes in what was observed and tells the peers what they must know.
    pub fn tell(&self, items: Vec<(UpstreamId, Observation)>) {
        self.adopt_own(&items);
        let loads = items
            .iter()
            .map(|(id, seen)| seen.load_update(id))
            .collect();
        self.peers.set_loads(loads);
        let now_ms = self.host.clock.now_ms();
        let mut told = self.told.borrow_mut();
        let (mut everywhere, mut own_zone) = (Vec::new(), Vec::new());
        for (id, seen) in items {
            let told = told.entry(id.clone()).or_default();
            let is_moved = told
                .seen
                .as_ref()
                .is_none_or(|old| seen.has_changed_beyond_load(old));
            if is_moved || now_ms >= told.everywhere_ms + TELL_EVERYWHERE_MS {
                *told = Told {
                    seen: Some(seen.clone()),
                    everywhere_ms: now_ms,
                    own_zone_ms: now_ms,
                };
                everywhere.push((id, seen));
            } else if now_ms >= told.own_zone_ms + TELL_OWN_ZONE_MS {
                told.own_zone_ms = now_ms;
                own_zone.push((id, seen));
            }
        }
        drop(told);
        self.peers.publish(Scope::Everywhere, everywhere);
        self.peers.publish(Scope::OwnZone, own_zone);
    }

    fn adopt_own(&self, items: &[(UpstreamId, Observation)]) {
        let mut fleet = self.host.fleet.borrow_mut();
        for (id, seen) in items {
            if let Some(ix) = fleet.position(id.as_str()) {
                fleet.observe(ix, seen.clone());
            }
        }
    }
}
