//! Slots of the weight store, as cached by this host.
//!
//! The cache may be stale. A write that conflicts puts the value found into
//! the cache, and a host that finds no usable slot reads all of them before
//! its next attempt.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use super::host::Host;
use crate::core::fleet::ListedUpstream;
use crate::core::ids::ArtifactId;
use crate::core::slots::{Slot, SlotChoice, SlotUse, VersionedSlot, choose_slot};
use crate::edge::kv::{Cas, CasOutcome, KeyValue, KvError, KvStore};

/// Prefix of the keys of the slots.
pub const SLOTS_PREFIX: &str = "/currantcove/slots/";

/// Cached slots.
#[derive(Debug)]
pub struct StoreSlots {
    host: Rc<Host>,
    slots: RefCell<Vec<VersionedSlot>>,
    is_stale: Cell<bool>,
}

impl StoreSlots {
    /// Creates an empty cache.
    pub fn new(host: Rc<Host>) -> Self {
        Self {
            host,
            slots: RefCell::default(),
            is_stale: Cell::new(false),
        }
    }

    /// Empties the cache, so that the next refresh reads the slots.
    pub fn clear(&self) {
        self.slots.borrow_mut().clear();
    }

    /// Sets the cached state of a slot.
    pub fn set(&self, i: usize, versioned: VersionedSlot) {
        if let Some(slot) = self.slots.borrow_mut().get_mut(i) {
            *slot = versioned;
        }
    }

    /// Selects a slot for a load; returns its index and the state to write.
    pub fn claim(
        &self,
        upstream: &ListedUpstream,
        artifact: &ArtifactId,
    ) -> Option<(usize, VersionedSlot)> {
        let now_ms = self.host.clock.now_ms();
        let slot_use = SlotUse {
            upstream: upstream.id.clone(),
            artifact: artifact.clone(),
        };
        let slots = self.slots.borrow();
        match choose_slot(
            now_ms,
            self.host.active_config.borrow().fleet(),
            &slots,
            &slot_use,
        ) {
            SlotChoice::Take(i) => {
                let slot = Slot {
                    started_ms: now_ms,
                    used_by: Some(slot_use),
                };
                Some((
                    i,
                    VersionedSlot {
                        revision: slots[i].revision,
                        slot,
                    },
                ))
            }
            SlotChoice::LoadingElsewhere | SlotChoice::NoneFree => {
                self.is_stale.set(true);
                None
            }
        }
    }

    /// Reads the slots if the cache is empty or its last claim found no slot.
    pub async fn refresh(&self) -> Result<(), KvError> {
        let is_empty = self.slots.borrow().is_empty();
        if is_empty || self.is_stale.replace(false) {
            self.reload().await?;
        }
        Ok(())
    }

    async fn reload(&self) -> Result<(), KvError> {
        let snapshot = self.host.kv.list(SLOTS_PREFIX).await?;
        let count = self.host.active_config.borrow().fleet().store_slots as usize;
        let mut slots = vec![VersionedSlot::default(); count];
        for kv in &snapshot.kvs {
            let i = kv
                .key
                .strip_prefix(SLOTS_PREFIX)
                .and_then(|i| i.parse::<usize>().ok());
            if let Some(i) = i.filter(|&i| i < count) {
                slots[i] = decode_slot(Some(kv));
            }
        }
        *self.slots.borrow_mut() = slots;
        Ok(())
    }

    /// Releases the slots of loads that have ended.
    pub async fn release_ended(&self, has_ended: impl Fn(&Slot) -> bool) {
        let ended: Vec<(usize, VersionedSlot)> = {
            let slots = self.slots.borrow();
            let ended = slots.iter().enumerate().filter(|(_, r)| has_ended(&r.slot));
            ended.map(|(i, r)| (i, r.clone())).collect()
        };
        for (i, versioned) in ended {
            let slot = Slot {
                used_by: None,
                ..versioned.slot
            };
            let released = VersionedSlot {
                revision: versioned.revision,
                slot,
            };
            match self.host.kv.cas(slot_cas(i, &released)).await {
                Ok(CasOutcome::Written(revision)) => {
                    self.set(
                        i,
                        VersionedSlot {
                            revision,
                            ..released
                        },
                    );
                }
                _ => return self.slots.borrow_mut().clear(),
            }
        }
    }
}

/// Decodes a slot; a missing or invalid value is a free slot.
pub fn decode_slot(stored: Option<&KeyValue>) -> VersionedSlot {
    let parse = |kv: &KeyValue| VersionedSlot {
        revision: kv.mod_revision,
        slot: serde_json::from_slice(&kv.value).unwrap_or_default(),
    };
    stored.map(parse).unwrap_or_default()
}

/// Compare-and-swap that writes a slot.
pub fn slot_cas(i: usize, versioned: &VersionedSlot) -> Cas {
    Cas {
        key: format!("{SLOTS_PREFIX}{i}"),
        expected_revision: versioned.revision,
        value: serde_json::to_vec(&versioned.slot).ok(),
        lease: 0,
    }
}
