//! Publishes this host's observations of the upstreams it acts for.
//!
//! A changed observation is sent to the peers of all availability zones at
//! once. An unchanged one is sent again at intervals, which repairs lost
//! messages. Loads are sent with the heartbeats.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use super::host::Host;
use super::peers::{PeerService, PublishScope};
use crate::core::fleet::Observation;
use crate::core::ids::UpstreamId;

/// Time after which an unchanged observation is sent again within the zone of
/// this host.
const OWN_ZONE_REPUBLISH_MS: u64 = 15_000;
/// Time after which an unchanged observation is sent again to all zones.
const ALL_ZONES_REPUBLISH_MS: u64 = 60_000;

/// Last published observation of an upstream, and when it was sent.
#[derive(Clone, Debug, Default)]
struct Published {
    observation: Option<Observation>,
    all_zones_sent_ms: u64,
    own_zone_sent_ms: u64,
}

/// Publisher of observations.
#[derive(Debug)]
pub struct ObservationPublisher {
    host: Rc<Host>,
    peers: Rc<PeerService>,
    published: RefCell<BTreeMap<UpstreamId, Published>>,
}

impl ObservationPublisher {
    /// Creates a publisher that has published nothing yet.
    pub fn new(host: Rc<Host>, peers: Rc<PeerService>) -> Self {
        Self {
            host,
            peers,
            published: RefCell::default(),
        }
    }

    /// Drops the state of upstreams that this host no longer acts for.
    pub fn retain_acting(&self, acting_ids: &BTreeSet<&UpstreamId>) {
        self.published
            .borrow_mut()
            .retain(|id, _| acting_ids.contains(id));
    }

    /// Applies observations to the local fleet and publishes those that are due.
    pub fn publish(&self, items: Vec<(UpstreamId, Observation)>) {
        self.apply_locally(&items);
        let loads = items
            .iter()
            .map(|(id, observation)| observation.load_update(id))
            .collect();
        self.peers.set_loads(loads);
        let now_ms = self.host.clock.now_ms();
        let mut published = self.published.borrow_mut();
        let (mut all_zones, mut own_zone) = (Vec::new(), Vec::new());
        for (id, observation) in items {
            let last = published.entry(id.clone()).or_default();
            let is_changed = last
                .observation
                .as_ref()
                .is_none_or(|previous| observation.has_changed_beyond_load(previous));
            if is_changed || now_ms >= last.all_zones_sent_ms + ALL_ZONES_REPUBLISH_MS {
                *last = Published {
                    observation: Some(observation.clone()),
                    all_zones_sent_ms: now_ms,
                    own_zone_sent_ms: now_ms,
                };
                all_zones.push((id, observation));
            } else if now_ms >= last.own_zone_sent_ms + OWN_ZONE_REPUBLISH_MS {
                last.own_zone_sent_ms = now_ms;
                own_zone.push((id, observation));
            }
        }
        drop(published);
        self.peers.publish(PublishScope::AllZones, all_zones);
        self.peers.publish(PublishScope::OwnZone, own_zone);
    }

    fn apply_locally(&self, items: &[(UpstreamId, Observation)]) {
        let mut fleet = self.host.fleet.borrow_mut();
        for (id, observation) in items {
            if let Some(index) = fleet.position(id.as_str()) {
                fleet.observe(index, observation.clone());
            }
        }
    }
}
