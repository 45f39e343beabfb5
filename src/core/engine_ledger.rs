//! Ledger of one engine's accelerator memory, kept by the acting host.
//!
//! Everything that an order may have placed there is charged until a report
//! proves otherwise, so that neither the memory nor the adapter slots are ever
//! exceeded. Each order carries the number of orders accepted before it, so an
//! order whose response was lost can only take effect until the next one is
//! accepted.
//!
//! Fault: the order of an earlier acting host is executed seconds late, after this one
//! has decided by a report from before it. The number of orders stands for the state
//! by which an order was decided ([`OrderBasis`]); an order is never sent by another
//! number than that. If the engine has accepted others, it is decided again.
//!
//! Fault: an engine crashes, and its entry is listed for some seconds more. All
//! adapters that only this engine should load would wait for it. It counts as lost
//! as soon as another incarnation answers at its address or it cannot be reached.

use std::collections::{BTreeMap, BTreeSet};

use super::catalog::EngineSpec;
use super::ids::{AdapterId, ModelId};
use super::registry::{Entry, Holdings};

/// Time after the last order or report from which a differing listing is
/// relevant, in milliseconds; listings lag by a heartbeat or two.
const LISTING_LAG_MS: u64 = 3_500;
/// Time for which a copy that has been loaded is not evicted, in milliseconds.
const MIN_RESIDENCE_MS: u64 = 5_000;
/// Time after which a report is requested on an adapter that is still loading,
/// in milliseconds; loads take some hundredths of a second.
const ADAPTER_LOAD_OVERDUE_MS: u64 = 1_000;
/// Consecutive failures to connect after which an engine counts as lost.
const LOST_AFTER_FAILED_CONTACTS: u32 = 2;
/// Usual bound of the lag of reports, in milliseconds.
pub const REPORT_LAG_MS: u64 = 400;
/// Time after an accepted order within which a report with a lower count of orders
/// predates it, in milliseconds. A lower count after that corrects the ledger's.
const MAX_REPORT_LAG_MS: u64 = 1_000;

/// Part of an engine's report that updates the ledger.
#[derive(Clone, Copy, Debug)]
pub struct ReportedState<'a> {
    /// Orders accepted since the start of the engine.
    pub orders_accepted: u64,
    /// True while a model is being loaded or unloaded.
    pub is_busy: bool,
    /// Models and adapters that are ready.
    pub resident: &'a Holdings,
    /// Adapters that are being loaded.
    pub loading_adapters: &'a [(ModelId, AdapterId)],
}

/// State of an engine by which an order was decided.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderBasis {
    /// Start of the incarnation.
    pub started_ms: u64,
    /// Orders accepted since the start.
    pub orders_accepted: u64,
}

/// Ledger of one engine.
#[derive(Clone, Debug, Default)]
pub struct EngineLedger {
    /// Start of the incarnation.
    pub started_ms: u64,
    /// Orders accepted since the start; unknown until the engine reports.
    pub orders_accepted: Option<u64>,
    /// Models and adapters that are ready.
    pub resident: Holdings,
    /// Model that is or may be loading, with the estimated time at which it is
    /// ready.
    pub loading: Option<(ModelId, u64)>,
    /// Model that is or may be unloading, with its adapters.
    pub unloading: Option<(ModelId, BTreeSet<AdapterId>)>,
    /// Adapters that are or may be loading, with the time of the order.
    pub loading_adapters: BTreeMap<(ModelId, AdapterId), u64>,
    /// Adapters in `loading_adapters` whose order has received no reply, with the
    /// number of orders accepted before it.
    pub unanswered: BTreeMap<(ModelId, AdapterId), u64>,
    /// Adapters that are or may be unloading.
    pub unloading_adapters: BTreeSet<(ModelId, AdapterId)>,
    /// Times at which ordered loads of models were expected to be ready.
    pub load_ready_ms: BTreeMap<ModelId, u64>,
    /// Time of the last order or report.
    pub updated_ms: u64,
    /// Time at which the last order was accepted.
    last_accepted_ms: u64,
    /// Time until which the engine receives no orders for models.
    pub blocked_until_ms: u64,
    /// True once another incarnation has answered at the engine's address.
    pub is_gone: bool,
    /// Consecutive orders and reports for which no connection was established.
    failed_contacts: u32,
}

impl EngineLedger {
    /// Ledger of an engine as listed.
    pub fn new(entry: &Entry) -> Self {
        Self {
            started_ms: entry.started_ms,
            resident: entry.resident.clone(),
            ..Self::default()
        }
    }

    /// Compares the ledger with a listing; true if a report must be requested.
    /// A listing may predate a store outage after which it was read, so its
    /// holdings are never copied into the ledger, except for a new incarnation.
    pub fn check_listing(&mut self, entry: &Entry) -> bool {
        if entry.started_ms != self.started_ms {
            *self = Self::new(entry);
            return false;
        }
        let is_relevant = entry.read_ms > self.updated_ms + LISTING_LAG_MS;
        is_relevant && self.is_idle() && self.resident != entry.resident
    }

    /// True if the engine must report: before it can receive orders, and when
    /// an adapter has been loading for longer than a load takes.
    pub fn needs_report(&self, now_ms: u64) -> bool {
        let is_overdue = |(key, at_ms): (&(ModelId, AdapterId), &u64)| {
            now_ms > *at_ms + ADAPTER_LOAD_OVERDUE_MS && !self.unanswered.contains_key(key)
        };
        if self.is_gone {
            return false;
        }
        // The end of an order for a model is awaited by whoever sent it. An engine that
        // was lost receives no orders that would show that it is back.
        let is_awaited = self.loading.is_some() || self.unloading.is_some();
        let is_due = (self.orders_accepted.is_none() && !is_awaited)
            || self.is_lost()
            || self.loading_adapters.iter().any(is_overdue);
        is_due && now_ms >= self.blocked_until_ms
    }

    /// Records that no connection was established.
    pub fn on_unreachable(&mut self) {
        self.failed_contacts += 1;
    }

    /// Records any response of the engine's incarnation.
    pub fn on_contact(&mut self) {
        self.failed_contacts = 0;
    }

    /// Records the start of the incarnation that answered at the engine's address;
    /// true if it shows for the first time that the engine is gone.
    pub fn on_incarnation(&mut self, started_ms: u64) -> bool {
        if started_ms <= self.started_ms || self.is_gone {
            return false;
        }
        self.is_gone = true;
        self.resident.clear();
        true
    }

    /// True if the engine's models should be loaded elsewhere.
    pub fn is_lost(&self) -> bool {
        self.is_gone || self.failed_contacts >= LOST_AFTER_FAILED_CONTACTS
    }

    /// True if an adapter is known to be loading.
    pub fn is_adapter_loading(&self, key: &(ModelId, AdapterId)) -> bool {
        self.loading_adapters.contains_key(key) && !self.unanswered.contains_key(key)
    }

    /// True if a report predates the last accepted order.
    fn is_outdated(&self, report: &ReportedState<'_>, now_ms: u64) -> bool {
        let is_lag_elapsed = now_ms >= self.last_accepted_ms + MAX_REPORT_LAG_MS;
        let is_behind = self
            .orders_accepted
            .is_some_and(|n| report.orders_accepted < n);
        is_behind && !is_lag_elapsed
    }

    /// Applies a report, unless it may predate the last order.
    pub fn apply_report(&mut self, report: &ReportedState<'_>, now_ms: u64) {
        if self.is_outdated(report, now_ms) {
            return;
        }
        // A busy engine may be loading a model that another host has ordered, which the
        // report does not name.
        self.orders_accepted = (!report.is_busy).then_some(report.orders_accepted);
        self.updated_ms = now_ms;
        let mut resident = report.resident.clone();
        if let Some((model, _)) = &self.unloading {
            resident.remove(model);
        }
        let loading = self.loading.as_ref().map(|(m, _)| m);
        if loading.is_some_and(|m| resident.contains_key(m)) {
            self.loading = None;
        }
        for (model, adapters) in &mut resident {
            adapters.retain(|a| {
                !self
                    .unloading_adapters
                    .contains(&(model.clone(), a.clone()))
            });
        }
        self.resident = resident;
        let (resident, unanswered) = (&self.resident, &self.unanswered);
        self.loading_adapters.retain(|key, at_ms| {
            let is_reported = report.loading_adapters.contains(key);
            let may_be_loading = match unanswered.get(key) {
                // The engine has accepted other orders than this one.
                Some(basis) if report.orders_accepted > *basis => is_reported,
                Some(_) => true,
                None => is_reported || now_ms < *at_ms + MAX_REPORT_LAG_MS,
            };
            may_be_loading && !has_adapter(resident, &key.0, &key.1)
        });
        for key in report.loading_adapters {
            self.loading_adapters.entry(key.clone()).or_insert(now_ms);
        }
        // Executed or void; a later order does not change that.
        self.unanswered.retain(|key, basis| {
            report.orders_accepted <= *basis
                && !report.loading_adapters.contains(key)
                && !has_adapter(&self.resident, &key.0, &key.1)
        });
    }

    /// Applies a report after the load of a model; false if it may predate the last
    /// order. An unload that was ordered meanwhile stays charged.
    pub fn on_load_ended(
        &mut self,
        model: &ModelId,
        report: &ReportedState<'_>,
        now_ms: u64,
    ) -> bool {
        if self.is_outdated(report, now_ms) {
            return false;
        }
        if self.loading.as_ref().is_some_and(|(m, _)| m == model) {
            self.loading = None;
        }
        self.apply_report(report, now_ms);
        true
    }

    /// Applies a report of an engine that has ended the unload of a model; false if it
    /// may predate the last order.
    pub fn on_unload_ended(&mut self, report: &ReportedState<'_>, now_ms: u64) -> bool {
        if self.is_outdated(report, now_ms) {
            return false;
        }
        self.unloading = None;
        self.apply_report(report, now_ms);
        true
    }

    /// Records that the engine has not accepted the unload of a model. What is known of
    /// the model may be older than the last report, so that the engine must report
    /// before it can receive the next order.
    pub fn on_unload_rejected(&mut self) {
        if let Some((model, adapters)) = self.unloading.take() {
            self.resident.entry(model).or_insert(adapters);
            self.orders_accepted = None;
        }
    }

    /// State by which an order is decided now; `None` while it is unknown.
    pub fn basis(&self) -> Option<OrderBasis> {
        self.orders_accepted.map(|orders_accepted| OrderBasis {
            started_ms: self.started_ms,
            orders_accepted,
        })
    }

    /// Records an accepted order: earlier unanswered ones can no longer take
    /// effect.
    pub fn on_order_accepted(&mut self, basis: OrderBasis, now_ms: u64) {
        self.last_accepted_ms = now_ms;
        let is_same = basis.started_ms == self.started_ms;
        self.orders_accepted = match self.orders_accepted {
            Some(n) if is_same && n == basis.orders_accepted => Some(n + 1),
            // A report has shown it before the reply arrived.
            Some(n) if is_same && n > basis.orders_accepted => Some(n),
            _ => None,
        };
        let loading_adapters = &mut self.loading_adapters;
        self.unanswered.retain(|key, before| {
            let may_be_executed = *before > basis.orders_accepted;
            if !may_be_executed {
                loading_adapters.remove(key);
            }
            may_be_executed
        });
    }

    /// Charges the load of a model; returns the state by which it may be ordered, or
    /// `None` if the engine lacks the room or may be executing another order.
    pub fn charge_model_load(
        &mut self,
        spec: &EngineSpec,
        model: &ModelId,
        ready_ms: u64,
    ) -> Option<OrderBasis> {
        let is_idle = self.loading.is_none() && self.unloading.is_none();
        let is_resident = self.resident.contains_key(model);
        let basis = self.basis()?;
        if !is_idle || is_resident || !self.fits_model(spec, model) {
            return None;
        }
        self.loading = Some((model.clone(), ready_ms));
        self.load_ready_ms.insert(model.clone(), ready_ms);
        Some(basis)
    }

    /// Charges the accepted load of a model again that was charged in a ledger of an
    /// earlier term or incarnation.
    pub fn on_model_load_accepted(&mut self, model: &ModelId, ready_ms: u64) {
        if self.loading.is_none() && !self.resident.contains_key(model) {
            self.loading = Some((model.clone(), ready_ms));
        }
    }

    /// Records that the load of a model has not been accepted and never will be.
    pub fn cancel_model_load(&mut self, model: &ModelId) {
        if self.loading.as_ref().is_some_and(|(m, _)| m == model) {
            self.loading = None;
        }
    }

    /// Takes a model out of service and charges its unload; returns the state by which
    /// it may be ordered.
    pub fn charge_model_unload(&mut self, model: &ModelId) -> Option<OrderBasis> {
        let basis = self.basis()?;
        let adapters = self.resident.remove(model)?;
        self.unloading = Some((model.clone(), adapters));
        Some(basis)
    }

    /// Takes an adapter out of service and charges its unload; returns the state by
    /// which it may be ordered.
    pub fn charge_adapter_unload(&mut self, key: &(ModelId, AdapterId)) -> Option<OrderBasis> {
        let basis = self.basis()?;
        let is_resident = self.resident.get_mut(&key.0)?.remove(&key.1);
        if !is_resident {
            return None;
        }
        self.unloading_adapters.insert(key.clone());
        Some(basis)
    }

    /// Charges the load of an adapter; returns the state by which it may be ordered, or
    /// `None` if the engine lacks the model or the room, has or loads the adapter, or may
    /// be executing another order. An order without a reply may be sent again.
    pub fn charge_adapter_load(
        &mut self,
        spec: &EngineSpec,
        key: &(ModelId, AdapterId),
        now_ms: u64,
    ) -> Option<OrderBasis> {
        let (model, adapter) = key;
        let is_idle = self.loading.is_none() && self.unloading.is_none();
        let is_present =
            has_adapter(&self.resident, model, adapter) || self.is_adapter_loading(key);
        let has_model = self.resident.contains_key(model);
        let basis = self.basis()?;
        if !is_idle || is_present || !has_model || !self.has_room_for_adapter(spec, key) {
            return None;
        }
        self.on_adapter_unanswered(key, basis, now_ms);
        Some(basis)
    }

    /// Records that the load of an adapter has not been accepted and never will be,
    /// unless a report has shown otherwise.
    pub fn cancel_adapter_load(&mut self, key: &(ModelId, AdapterId)) {
        if self.unanswered.remove(key).is_some() {
            self.loading_adapters.remove(key);
        }
    }

    /// Records that an adapter has been loaded. Its model may be unloading meanwhile;
    /// should that fail, the adapter is still there.
    pub fn on_adapter_loaded(&mut self, key: &(ModelId, AdapterId)) {
        if self.loading_adapters.remove(key).is_none() {
            return;
        }
        let (model, adapter) = key;
        if let Some(adapters) = self.resident.get_mut(model) {
            adapters.insert(adapter.clone());
        } else if let Some((unloading, adapters)) = &mut self.unloading
            && unloading == model
        {
            adapters.insert(adapter.clone());
        }
    }

    /// Records an accepted adapter load, which a report that was applied while
    /// the order was repeated may have removed.
    pub fn on_adapter_accepted(&mut self, key: &(ModelId, AdapterId), now_ms: u64) {
        self.unanswered.remove(key);
        if !has_adapter(&self.resident, &key.0, &key.1) {
            self.loading_adapters.insert(key.clone(), now_ms);
        }
    }

    /// Charges an adapter load without a reply until a later order is accepted or a
    /// report shows one.
    fn on_adapter_unanswered(
        &mut self,
        key: &(ModelId, AdapterId),
        basis: OrderBasis,
        now_ms: u64,
    ) {
        self.loading_adapters.insert(key.clone(), now_ms);
        let before = self.unanswered.entry(key.clone()).or_default();
        *before = basis.orders_accepted.max(*before);
    }

    /// True if the engine can receive an order now: it has reported, and no
    /// model is being loaded or unloaded, during which it refuses all other
    /// orders.
    pub fn accepts_orders(&self, now_ms: u64) -> bool {
        self.orders_accepted.is_some()
            && self.loading.is_none()
            && self.unloading.is_none()
            && !self.is_gone
            && now_ms >= self.blocked_until_ms
    }

    /// Estimated time until the current load is done, in milliseconds.
    pub fn remaining_load_ms(&self, now_ms: u64) -> Option<u64> {
        let (_, ready_ms) = self.loading.as_ref()?;
        Some(ready_ms.saturating_sub(now_ms))
    }

    /// True if no order is or may be in progress.
    pub fn is_idle(&self) -> bool {
        self.loading.is_none()
            && self.unloading.is_none()
            && self.loading_adapters.is_empty()
            && self.unloading_adapters.is_empty()
    }

    /// Number of adapter slots that are or may be occupied.
    pub fn charged_adapter_slots(&self) -> usize {
        let resident: usize = self.resident.values().map(BTreeSet::len).sum();
        let unloading = self.unloading.as_ref().map_or(0, |(_, a)| a.len());
        resident + unloading + self.loading_adapters.len() + self.unloading_adapters.len()
    }

    /// Memory that is or may be occupied, in MB.
    pub fn charged_mb(&self, spec: &EngineSpec) -> u64 {
        let model_mb = |m: &ModelId| spec.models.get(m).map_or(0, |s| s.weights_mb);
        let adapter_mb = |m: &ModelId| spec.models.get(m).map_or(0, |s| s.adapter_mb);
        let resident: u64 = self
            .resident
            .iter()
            .map(|(m, adapters)| model_mb(m) + adapters.len() as u64 * adapter_mb(m))
            .sum();
        let in_progress = self.loading_adapters.keys().chain(&self.unloading_adapters);
        let adapters: u64 = in_progress.map(|(m, _)| adapter_mb(m)).sum();
        let loading = self.loading.as_ref().map_or(0, |(m, _)| model_mb(m));
        let unloading = self
            .unloading
            .as_ref()
            .map_or(0, |(m, a)| model_mb(m) + a.len() as u64 * adapter_mb(m));
        resident + adapters + loading + unloading
    }

    /// True if a model fits beside everything that is charged.
    pub fn fits_model(&self, spec: &EngineSpec, model: &ModelId) -> bool {
        let Some(size) = spec.models.get(model) else {
            return false;
        };
        self.charged_mb(spec) + size.weights_mb <= spec.weights_mb
    }

    /// Time until a report shows the effect of the last accepted order.
    pub fn report_lag_left_ms(&self, now_ms: u64) -> u64 {
        (self.last_accepted_ms + REPORT_LAG_MS).saturating_sub(now_ms)
    }

    /// True if an adapter fits beside everything that is charged.
    pub fn fits_adapter(&self, spec: &EngineSpec, model: &ModelId) -> bool {
        let size_mb = spec.models.get(model).map_or(0, |s| s.adapter_mb);
        self.charged_adapter_slots() < spec.adapter_slots as usize
            && self.charged_mb(spec) + size_mb <= spec.weights_mb
    }

    /// True if an adapter fits, or is charged already by an order without a reply.
    pub fn has_room_for_adapter(&self, spec: &EngineSpec, key: &(ModelId, AdapterId)) -> bool {
        self.unanswered.contains_key(key) || self.fits_adapter(spec, &key.0)
    }

    /// Least recently requested adapter.
    pub fn adapter_to_evict(
        &self,
        last_requested_ms: impl Fn(&ModelId, &AdapterId) -> u64,
    ) -> Option<(ModelId, AdapterId)> {
        let resident = self.resident.iter();
        let all = resident.flat_map(|(m, adapters)| adapters.iter().map(move |a| (m, a)));
        all.min_by_key(|(m, a)| last_requested_ms(m, a))
            .map(|(m, a)| (m.clone(), a.clone()))
    }

    /// Models that must not be evicted now: those that were loaded recently, or all
    /// while the demand for them is not known.
    pub fn protected_models(&self, now_ms: u64, is_demand_known: bool) -> BTreeSet<ModelId> {
        if !is_demand_known {
            return self.resident.keys().cloned().collect();
        }
        let is_recent = |at_ms: &u64| now_ms < at_ms + MIN_RESIDENCE_MS;
        let recently_loaded = self.load_ready_ms.iter().filter(|(_, at)| is_recent(at));
        recently_loaded.map(|(m, _)| m.clone()).collect()
    }

    /// Models that are resident or may be loading.
    pub fn planned_holdings(&self) -> Holdings {
        let mut resident = self.resident.clone();
        if let Some((model, _)) = &self.loading {
            resident.entry(model.clone()).or_default();
        }
        resident
    }
}

fn has_adapter(resident: &Holdings, model: &ModelId, adapter: &AdapterId) -> bool {
    resident.get(model).is_some_and(|a| a.contains(adapter))
}
