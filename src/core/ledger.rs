//! The memory ledger of one upstream.
//!
//! A ledger is one value in the platform's key-value service and changes only
//! by compare-and-swap. Memory is charged before an order is sent, and stays
//! charged until no order can load the model again:
//!
//! * An order is sent only after the ledger that lists it as pending has been
//!   written. If the host stalls between the write and the order, the memory
//!   is therefore already charged.
//! * A pending order is settled by the engine's response, by its issuer's
//!   withdrawal or, if the engine refuses old fencing tokens, by an inventory
//!   that shows a later token.
//! * Memory is freed only if the model is unloading, no load order is pending,
//!   and the model is absent from an inventory that was requested after the
//!   last change of the ledger, settlements included. An earlier inventory may
//!   be older than the load that was settled.
//!
//! Leases and membership decide which host makes a change; they never free
//! memory.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::ids::{ArtifactId, HostId};

/// Fencing token; increases with every order to one upstream.
pub type FencingToken = u64;

/// Operation that an order requests from the engine.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load the model.
    Load,
    /// Unload the model.
    Unload,
}

/// Order that may still take effect.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct PendingOrder {
    /// Fencing token of the order.
    pub number: FencingToken,
    /// Host that sends the order.
    pub issuer: HostId,
    /// Requested operation.
    pub kind: OrderKind,
}

/// State of a charged model.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryState {
    /// Memory is reserved; no inventory has shown the model ready yet.
    Loading,
    /// The engine has loaded the model.
    Resident,
    /// No requests are routed to the model; its memory is still charged.
    Unloading,
}

/// One charged model.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Entry {
    /// Charge in MiB.
    pub charge_mib: u64,
    /// State of the model.
    pub state: EntryState,
    /// Orders that may still take effect.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub pending: Vec<PendingOrder>,
}

impl Entry {
    fn has_pending_load(&self) -> bool {
        self.pending.iter().any(|o| o.kind == OrderKind::Load)
    }
}

/// Memory and orders of one upstream.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Ledger {
    /// Highest fencing token issued.
    pub fence: FencingToken,
    /// Acting host of the upstream.
    pub holder: Option<HostId>,
    /// Memory of the upstream in MiB.
    pub capacity_mib: u64,
    /// Charged models.
    pub entries: BTreeMap<ArtifactId, Entry>,
}

/// Order that may be sent once its ledger is written.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Fencing token.
    pub number: FencingToken,
    /// Requested operation.
    pub kind: OrderKind,
    /// Model to load or unload.
    pub artifact: ArtifactId,
}

/// Reason why a change of the ledger is rejected.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LedgerError {
    /// The host is not the acting host of the upstream.
    NotHolder,
    /// The charge exceeds the free memory.
    InsufficientMemory,
    /// The model is not charged, or its state does not allow the change.
    InvalidState,
}

/// Models in memory, as reported by the engine.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Inventory {
    /// Highest fencing token of an executed order.
    pub seen_fence: FencingToken,
    /// Models that are loaded or being loaded, with their size in MiB.
    pub resident: BTreeMap<ArtifactId, u64>,
    /// Models ready for requests.
    pub ready: BTreeSet<ArtifactId>,
}

/// State of the ledger when an inventory was requested.
///
/// Fencing tokens only increase, so no later state equals an earlier one.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct LedgerSnapshot(Ledger);

impl Ledger {
    /// Snapshot to take before an inventory is requested.
    pub fn snapshot(&self) -> LedgerSnapshot {
        LedgerSnapshot(self.clone())
    }

    /// Ledger of an upstream that has had no acting host.
    pub fn new(capacity_mib: u64) -> Self {
        Self {
            capacity_mib,
            ..Self::default()
        }
    }

    /// Sum of all charges, in MiB.
    pub fn charged_mib(&self) -> u64 {
        self.entries.values().map(|e| e.charge_mib).sum()
    }

    /// Memory that is not charged, in MiB.
    pub fn free_mib(&self) -> u64 {
        self.capacity_mib.saturating_sub(self.charged_mib())
    }

    /// Memory of models that are being unloaded, in MiB.
    pub fn unloading_mib(&self) -> u64 {
        let unloading = self
            .entries
            .values()
            .filter(|e| e.state == EntryState::Unloading);
        unloading.map(|e| e.charge_mib).sum()
    }

    /// Makes `host` the acting host.
    pub fn acquire(&mut self, host: &HostId) {
        self.fence += 1;
        self.holder = Some(host.clone());
    }

    /// Charges the memory of a model and adds a pending load order.
    pub fn order_load(
        &mut self,
        host: &HostId,
        artifact: &ArtifactId,
        charge_mib: u64,
    ) -> Result<Order, LedgerError> {
        self.check_is_holder(host)?;
        let free_mib = self.free_mib();
        match self.entries.get_mut(artifact) {
            Some(entry) if entry.state == EntryState::Unloading => {
                return Err(LedgerError::InvalidState);
            }
            Some(entry) => entry.state = EntryState::Loading,
            None if charge_mib > free_mib => return Err(LedgerError::InsufficientMemory),
            None => {
                let entry = Entry {
                    charge_mib,
                    state: EntryState::Loading,
                    pending: Vec::new(),
                };
                self.entries.insert(artifact.clone(), entry);
            }
        }
        Ok(self.add_pending(host, artifact, OrderKind::Load))
    }

    /// Marks a model as unloading and adds a pending unload order.
    pub fn order_unload(
        &mut self,
        host: &HostId,
        artifact: &ArtifactId,
    ) -> Result<Order, LedgerError> {
        self.check_is_holder(host)?;
        let entry = self
            .entries
            .get_mut(artifact)
            .ok_or(LedgerError::InvalidState)?;
        entry.state = EntryState::Unloading;
        Ok(self.add_pending(host, artifact, OrderKind::Unload))
    }

    /// Settles an order to which the engine responded, or that its issuer withdrew.
    ///
    /// Any host may settle an order, since the response is valid regardless of
    /// the acting host.
    pub fn settle(&mut self, artifact: &ArtifactId, number: FencingToken) {
        if let Some(entry) = self.entries.get_mut(artifact) {
            entry.pending.retain(|o| o.number != number);
        }
    }

    /// Applies an inventory, unless the ledger has changed since the snapshot
    /// that was taken when the inventory was requested.
    ///
    /// Returns true if the inventory changed the ledger.
    pub fn apply_inventory(
        &mut self,
        snapshot: &LedgerSnapshot,
        inventory: &Inventory,
        checks_fencing: bool,
    ) -> bool {
        if snapshot.0 != *self {
            return false;
        }
        for (artifact, &size_mib) in &inventory.resident {
            self.charge_unlisted(artifact, size_mib);
        }
        for (artifact, entry) in &mut self.entries {
            if checks_fencing {
                entry.pending.retain(|o| o.number >= inventory.seen_fence);
            }
            let is_ready = inventory.ready.contains(artifact);
            if entry.state == EntryState::Loading && is_ready {
                entry.state = EntryState::Resident;
            }
        }
        self.entries.retain(|artifact, entry| {
            let is_absent = !inventory.resident.contains_key(artifact);
            let is_freeable = entry.state == EntryState::Unloading && !entry.has_pending_load();
            !(is_absent && is_freeable)
        });
        *self != snapshot.0
    }

    fn charge_unlisted(&mut self, artifact: &ArtifactId, size_mib: u64) {
        self.entries
            .entry(artifact.clone())
            .or_insert_with(|| Entry {
                charge_mib: size_mib,
                state: EntryState::Resident,
                pending: Vec::new(),
            });
    }

    fn check_is_holder(&self, host: &HostId) -> Result<(), LedgerError> {
        if self.holder.as_ref() == Some(host) {
            Ok(())
        } else {
            Err(LedgerError::NotHolder)
        }
    }

    fn add_pending(&mut self, host: &HostId, artifact: &ArtifactId, kind: OrderKind) -> Order {
        self.fence += 1;
        let number = self.fence;
        if let Some(entry) = self.entries.get_mut(artifact) {
            entry.pending.push(PendingOrder {
                number,
                issuer: host.clone(),
                kind,
            });
        }
        Order {
            number,
            kind,
            artifact: artifact.clone(),
        }
    }
}
