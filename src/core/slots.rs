//! Slots of the weight store, shared by the whole fleet.
//!
//! A slot is one value in the platform's service, claimed in the same
//! transaction that reserves the memory, so that it costs no call of its own
//! and no partition can exceed the budget. Each slot starts at most one load
//! per `slots / rate`, which holds the rate of all slots together.

use serde::{Deserialize, Serialize};

use super::config::FleetConfig;
use super::ids::{ArtifactId, UpstreamId};
use super::rendezvous::hash;

/// Load that occupies a slot.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SlotUse {
    /// Where the model is loaded.
    pub upstream: UpstreamId,
    /// Model.
    pub artifact: ArtifactId,
}

/// State of one slot.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Slot {
    /// When the newest load began, in milliseconds of wall time.
    pub started_ms: u64,
    /// Load in progress.
    pub used_by: Option<SlotUse>,
}

/// Slot as read from the platform's service.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReadSlot {
    /// Revision of the value; 0 if it does not exist.
    pub revision: u64,
    /// State.
    pub slot: Slot,
}

/// What may be done about a load.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SlotChoice {
    /// Take the slot at this position.
    Take(usize),
    /// Another upstream is loading the model; wait for it.
    LoadedElsewhere,
    /// All slots are in use, or have started a load too lately.
    NoneFree,
}

/// Chooses a slot for a load.
///
/// Hosts that would load the same model try slots in the same order, so that
/// one of them meets the other's claim.
pub fn choose(
    now_ms: u64,
    fleet: &FleetConfig,
    slots: &[ReadSlot],
    wanted: &SlotUse,
) -> SlotChoice {
    let count = slots.len().min(fleet.store_slots as usize);
    let uses = |i: usize| slots[i].slot.used_by.as_ref();
    if let Some(own) = (0..count).find(|&i| uses(i) == Some(wanted)) {
        return SlotChoice::Take(own);
    }
    if (0..count).any(|i| uses(i).is_some_and(|u| u.artifact == wanted.artifact)) {
        return SlotChoice::LoadedElsewhere;
    }
    let interval_ms = 1000 * u64::from(fleet.store_slots) / u64::from(fleet.store_loads_per_s);
    let is_rested = |s: &Slot| s.started_ms == 0 || now_ms >= s.started_ms + interval_ms;
    let first = hash(wanted.artifact.as_str()) as usize;
    let order = (0..count).map(|k| first.wrapping_add(k) % count);
    let mut free = order.filter(|&i| uses(i).is_none() && is_rested(&slots[i].slot));
    free.next().map_or(SlotChoice::NoneFree, SlotChoice::Take)
}
