//! The memory ledger of one upstream.
//!
//! A ledger is one value in the platform's service and changes only by
//! compare-and-swap. Memory is charged before an order may leave, and stays
//! charged until no order can bring the model back:
//!
//! * An order is sent only after the ledger that lists it as pending was
//!   written. A holder that sleeps between the write and the order has
//!   therefore already been charged.
//! * A pending order is settled by the engine's answer, by its issuer's
//!   withdrawal, or, where the engine refuses old fencing numbers, by an
//!   inventory that shows a later number.
//! * Memory is freed only while the model is unloading, no load order is
//!   pending, and an inventory shows the model gone that was asked for after
//!   the last change of the ledger, settlements among them. An inventory from
//!   before a settlement may be older than the load that was settled.
//!
//! Leases and membership decide who tries; they never free memory.

use std::collections::{BTreeMap, BTreeSet};

use serde::{Deserialize, Serialize};

use super::ids::{ArtifactId, HostId};

/// Number that grows with every order to one upstream.
pub type FencingNumber = u64;

/// What an order asks of the engine.
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
    /// Fencing number of the order.
    pub number: FencingNumber,
    /// Host that sends it.
    pub issuer: HostId,
    /// What it asks.
    pub kind: OrderKind,
}

/// Where a charged model stands.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum EntryState {
    /// Memory is reserved; the engine has not shown the model yet.
    Loading,
    /// The engine holds the model.
    Resident,
    /// Routing has stopped; the memory is still charged.
    Unloading,
}

/// One charged model.
#[derive(Clone, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Entry {
    /// Charge in MiB.
    pub charge_mib: u64,
    /// Where the model stands.
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
    /// Highest fencing number given out.
    pub fence: FencingNumber,
    /// Host that acts for the upstream.
    pub holder: Option<HostId>,
    /// Memory of the upstream in MiB.
    pub capacity_mib: u64,
    /// Charged models.
    pub entries: BTreeMap<ArtifactId, Entry>,
}

/// Order that may be sent once its ledger is written.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Order {
    /// Fencing number.
    pub number: FencingNumber,
    /// What it asks.
    pub kind: OrderKind,
    /// Model it is about.
    pub artifact: ArtifactId,
}

/// Why a change of the ledger is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LedgerError {
    /// Another host acts for the upstream.
    NotHolder,
    /// The charge does not fit.
    NoRoom,
    /// The model is not charged, or not in a state for this change.
    WrongState,
}

/// What the engine itself says it holds.
#[derive(Clone, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct Inventory {
    /// Highest fencing number of an executed order.
    pub seen_fence: FencingNumber,
    /// Models in memory, or being loaded, with their size in MiB.
    pub resident: BTreeMap<ArtifactId, u64>,
    /// Models ready for requests.
    pub ready: BTreeSet<ArtifactId>,
}

/// State of the ledger for which an inventory was asked.
///
/// Fencing numbers only grow, so no later state equals an earlier one.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Asked(Ledger);

impl Ledger {
    /// Remembers the state for which an inventory is asked now.
    pub fn ask(&self) -> Asked {
        Asked(self.clone())
    }

    /// Ledger of an upstream nobody has acted for.
    pub fn new(capacity_mib: u64) -> Self {
        Self {
            capacity_mib,
            ..Self::default()
        }
    }

    /// Sum of all charges in MiB.
    pub fn charged_mib(&self) -> u64 {
        self.entries.values().map(|e| e.charge_mib).sum()
    }

    /// Memory that can still be reserved in MiB.
    pub fn free_mib(&self) -> u64 {
        self.capacity_mib.saturating_sub(self.charged_mib())
    }

    /// Memory of models that are being unloaded in MiB.
    pub fn leaving_mib(&self) -> u64 {
        let leaving = self
            .entries
            .values()
            .filter(|e| e.state == EntryState::Unloading);
        leaving.map(|e| e.charge_mib).sum()
    }

    /// Makes `host` the acting host.
    pub fn acquire(&mut self, host: &HostId) {
        self.fence += 1;
        self.holder = Some(host.clone());
    }

    /// Reserves memory and lists a load order as pending.
    pub fn order_load(
        &mut self,
        host: &HostId,
        artifact: &ArtifactId,
        charge_mib: u64,
    ) -> Result<Order, LedgerError> {
        self.check_holder(host)?;
        let free_mib = self.free_mib();
        match self.entries.get_mut(artifact) {
            Some(entry) if entry.state == EntryState::Unloading => {
                return Err(LedgerError::WrongState);
            }
            Some(entry) => entry.state = EntryState::Loading,
            None if charge_mib > free_mib => return Err(LedgerError::NoRoom),
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

    /// Stops routing to a model and lists an unload order as pending.
    pub fn order_unload(
        &mut self,
        host: &HostId,
        artifact: &ArtifactId,
    ) -> Result<Order, LedgerError> {
        self.check_holder(host)?;
        let entry = self
            .entries
            .get_mut(artifact)
            .ok_or(LedgerError::WrongState)?;
        entry.state = EntryState::Unloading;
        Ok(self.add_pending(host, artifact, OrderKind::Unload))
    }

    /// Settles an order that the engine answered or its issuer withdrew.
    ///
    /// Any host may settle; the answer is a fact whoever holds the ledger.
    pub fn settle(&mut self, artifact: &ArtifactId, number: FencingNumber) {
        if let Some(entry) = self.entries.get_mut(artifact) {
            entry.pending.retain(|o| o.number != number);
        }
    }

    /// Takes in an inventory, unless the ledger has changed since it was asked.
    ///
    /// Returns true if the ledger changed.
    pub fn observe(&mut self, asked: &Asked, inventory: &Inventory, checks_fencing: bool) -> bool {
        if asked.0 != *self {
            return false;
        }
        for (artifact, &size_mib) in &inventory.resident {
            self.adopt(artifact, size_mib);
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
            let is_gone = !inventory.resident.contains_key(artifact);
            let is_free = entry.state == EntryState::Unloading && !entry.has_pending_load();
            !(is_gone && is_free)
        });
        *self != asked.0
    }

    fn adopt(&mut self, artifact: &ArtifactId, size_mib: u64) {
        self.entries
            .entry(artifact.clone())
            .or_insert_with(|| Entry {
                charge_mib: size_mib,
                state: EntryState::Resident,
                pending: Vec::new(),
            });
    }

    fn check_holder(&self, host: &HostId) -> Result<(), LedgerError> {
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
