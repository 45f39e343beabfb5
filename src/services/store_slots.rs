//! Slots of the weight store, as this host knows them.
//!
//! What is known may be old: a write that meets another value takes that in,
//! and whoever found no slot reads all of them before his next try.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use super::host::Host;
use crate::core::fleet::ListedUpstream;
use crate::core::ids::ArtifactId;
use crate::core::slots::{Slot, SlotChoice, SlotUse, VersionedSlot, choose_slot};
use crate::edge::kv::{Cas, CasOutcome, KeyValue, KvError, KvStore};

/// Prefix of the weight store's slots.
pub const SLOTS_PREFIX: &str = "/currantcove/slots/";

/// Known slots.
#[derive(Debug)]
pub struct StoreSlots {
    host: Rc<Host>,
    slots: RefCell<Vec<VersionedSlot>>,
    are_old: Cell<bool>,
}

impl StoreSlots {
    /// No slot is known yet.
    pub fn new(host: Rc<Host>) -> Self {
        Self {
            host,
            slots: RefCell::default(),
            are_old: Cell::new(false),
        }
    }

    /// Forgets everything, to begin by reading.
    pub fn clear(&self) {
        self.slots.borrow_mut().clear();
    }

    /// Takes in what stands in a slot.
    pub fn set(&self, i: usize, read: VersionedSlot) {
        if let Some(slot) = self.slots.borrow_mut().get_mut(i) {
            *slot = read;
        }
    }

    /// Finds a slot of the weight store for a load.
    pub fn claim(
        &self,
        upstream: &ListedUpstream,
        artifact: &ArtifactId,
    ) -> Option<(usize, VersionedSlot)> {
        let now_ms = self.host.clock.now_ms();
        let wanted = SlotUse {
            upstream: upstream.id.clone(),
            artifact: artifact.clone(),
        };
        let slots = self.slots.borrow();
        match choose_slot(now_ms, self.host.view.borrow().fleet(), &slots, &wanted) {
            SlotChoice::Take(i) => {
                let slot = Slot {
                    started_ms: now_ms,
                    used_by: Some(wanted),
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
                self.are_old.set(true);
                None
            }
        }
    }

    /// Reads the slots if what this host knows of them was in its way.
    pub async fn refresh(&self) -> Result<(), KvError> {
        let is_empty = self.slots.borrow().is_empty();
        if is_empty || self.are_old.replace(false) {
            self.read().await?;
        }
        Ok(())
    }

    async fn read(&self) -> Result<(), KvError> {
        let snapshot = self.host.kv.list(SLOTS_PREFIX).await?;
        let count = self.host.view.borrow().fleet().store_slots as usize;
        let mut slots = vec![VersionedSlot::default(); count];
        for kv in &snapshot.kvs {
            let i = kv
                .key
                .strip_prefix(SLOTS_PREFIX)
                .and_then(|i| i.parse::<usize>().ok());
            if let Some(i) = i.filter(|&i| i < count) {
                slots[i] = read_slot(Some(kv));
            }
        }
        *self.slots.borrow_mut() = slots;
        Ok(())
    }

    /// Frees slots of loads that have ended.
    pub async fn free_ended(&self, has_ended: impl Fn(&Slot) -> bool) {
        let ended: Vec<(usize, VersionedSlot)> = {
            let slots = self.slots.borrow();
            let ended = slots.iter().enumerate().filter(|(_, r)| has_ended(&r.slot));
            ended.map(|(i, r)| (i, r.clone())).collect()
        };
        for (i, read) in ended {
            let slot = Slot {
                used_by: None,
                ..read.slot
            };
            let free = VersionedSlot {
                revision: read.revision,
                slot,
            };
            match self.host.kv.cas(slot_write(i, &free)).await {
                Ok(CasOutcome::Written(revision)) => {
                    self.set(i, VersionedSlot { revision, ..free });
                }
                _ => return self.slots.borrow_mut().clear(),
            }
        }
    }
}

/// Slot as found under its key.
pub fn read_slot(found: Option<&KeyValue>) -> VersionedSlot {
    let parse = |kv: &KeyValue| VersionedSlot {
        revision: kv.mod_revision,
        slot: serde_json::from_slice(&kv.value).unwrap_or_default(),
    };
    found.map(parse).unwrap_or_default()
}

/// Write of a slot.
pub fn slot_write(i: usize, read: &VersionedSlot) -> Cas {
    Cas {
        key: format!("{SLOTS_PREFIX}{i}"),
        expected_revision: read.revision,
        value: serde_json::to_vec(&read.slot).ok(),
        lease: 0,
    }
}
