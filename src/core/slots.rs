//! Load slots of the weight store, shared by the whole fleet.
//!
//! Load pattern: many hosts load models at the same time, from a store that
//! serves only a limited number and rate of loads. Each load claims a slot. A
//! slot is one value in the platform's key-value service, claimed in the same
//! transaction that reserves the memory, so that it needs no request of its
//! own and no network partition can exceed the limit. Each slot starts at most
//! one load per `slots / rate` seconds, which limits the rate of all slots
//! together.

use serde::{Deserialize, Serialize};

use super::config::FleetConfig;
use super::ids::{ArtifactId, UpstreamId};
use super::rendezvous::hash;

/// Load that occupies a slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotUse {
    /// Upstream that loads the model.
    pub upstream: UpstreamId,
    /// Model.
    pub artifact: ArtifactId,
}

/// State of one slot.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Slot {
    /// Start of the latest load, in milliseconds of wall time.
    pub started_ms: u64,
    /// Load in progress.
    pub used_by: Option<SlotUse>,
}

/// Slot with the revision at which it was read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct VersionedSlot {
    /// Revision of the value; 0 if it does not exist.
    pub revision: u64,
    /// State.
    pub slot: Slot,
}

/// Result of choosing a slot for a load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotChoice {
    /// The slot at this index can be claimed.
    Take(usize),
    /// Another upstream is loading the model; its load should end first.
    LoadingElsewhere,
    /// Every slot is in use, or started a load too recently.
    NoneFree,
}

/// Chooses a slot for a load.
///
/// Hosts that load the same model try the slots in the same order, so that
/// their claims conflict and only one of them succeeds.
pub fn choose_slot(
    now_ms: u64,
    fleet: &FleetConfig,
    slots: &[VersionedSlot],
    requested: &SlotUse,
) -> SlotChoice {
    let count = slots.len().min(fleet.store_slots as usize);
    let user_of = |i: usize| slots[i].slot.used_by.as_ref();
    if let Some(own) = (0..count).find(|&i| user_of(i) == Some(requested)) {
        return SlotChoice::Take(own);
    }
    if (0..count).any(|i| user_of(i).is_some_and(|u| u.artifact == requested.artifact)) {
        return SlotChoice::LoadingElsewhere;
    }
    let interval_ms = 1000 * u64::from(fleet.store_slots) / u64::from(fleet.store_loads_per_s);
    let has_interval_elapsed = |s: &Slot| s.started_ms == 0 || now_ms >= s.started_ms + interval_ms;
    let start = hash(requested.artifact.as_str()) as usize;
    let order = (0..count).map(|offset| start.wrapping_add(offset) % count);
    let mut free = order.filter(|&i| user_of(i).is_none() && has_interval_elapsed(&slots[i].slot));
    free.next().map_or(SlotChoice::NoneFree, SlotChoice::Take)
}
