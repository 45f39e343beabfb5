//! What the acting host knows of one engine's accelerator memory.
//!
//! Everything that an order may have put there is charged until a report
//! proves otherwise, so that neither the memory nor the adapter slots are
//! ever exceeded. Each order names the count of orders before it: an order
//! whose answer was lost can run late only until the next one is accepted.

use std::collections::{BTreeMap, BTreeSet};

use super::catalog::EngineSpec;
use super::ids::{AdapterId, ModelId};
use super::registry::{Entry, Holdings};

/// Time after the last order or report from which a listing that differs
/// counts, in milliseconds; listings lag by a heartbeat or two.
const LISTING_LAG_MS: u64 = 3_500;
/// Time after its order for which a copy stays, in milliseconds; a load from
/// the weight store takes most of it.
const FRESH_MS: u64 = 14_000;
/// Time after which an adapter on its way is asked about, in milliseconds;
/// loads take some hundredths of a second.
const COMING_OVERDUE_MS: u64 = 1_000;
/// Time by which a report may lag, in milliseconds.
pub const REPORT_LAG_MS: u64 = 400;

/// Part of an engine's report that the book takes in.
#[derive(Clone, Copy, Debug)]
pub struct Reported<'a> {
    /// Orders accepted since the start.
    pub orders_accepted: u64,
    /// True while a model is being loaded or unloaded.
    pub is_busy: bool,
    /// Models and adapters ready for requests.
    pub holds: &'a Holdings,
    /// Adapters that are being loaded.
    pub coming: &'a [(ModelId, AdapterId)],
}

/// One engine.
#[derive(Clone, Debug, Default)]
pub struct EngineBook {
    /// Start of the incarnation.
    pub started_ms: u64,
    /// Orders accepted since the start; unknown until the engine reports.
    pub orders_accepted: Option<u64>,
    /// Models and adapters ready for requests.
    pub holds: Holdings,
    /// Model that is being loaded or may be, and when it is likely ready.
    pub loading: Option<(ModelId, u64)>,
    /// Model that is being unloaded or may be, with its adapters.
    pub unloading: Option<(ModelId, BTreeSet<AdapterId>)>,
    /// Adapters that are being loaded or may be.
    pub coming: BTreeMap<(ModelId, AdapterId), u64>,
    /// Adapters among them whose order had no answer.
    pub uncertain: Vec<(ModelId, AdapterId)>,
    /// Adapters that are being unloaded or may be.
    pub leaving: BTreeSet<(ModelId, AdapterId)>,
    /// When models were ordered here.
    pub loaded_ms: BTreeMap<ModelId, u64>,
    /// Time of the last order or report.
    pub known_ms: u64,
    /// Time at which an order was accepted last.
    accepted_ms: u64,
    /// Time until which the engine gets no orders for models.
    pub blocked_until_ms: u64,
}

impl EngineBook {
    /// Book of an engine as it is listed.
    pub fn new(entry: &Entry) -> Self {
        Self {
            started_ms: entry.started_ms,
            holds: entry.holds.clone(),
            ..Self::default()
        }
    }

    /// Compares with a listing; true if the engine must be asked. A listing
    /// may be older than an outage of the store that it is read after, so that
    /// the book never takes in what it says.
    pub fn differs(&mut self, entry: &Entry) -> bool {
        if entry.started_ms != self.started_ms {
            *self = Self::new(entry);
            return false;
        }
        let is_later = entry.read_ms > self.known_ms + LISTING_LAG_MS;
        is_later && self.is_quiet() && self.holds != entry.holds
    }

    /// True if the engine must report: before it can be given orders, and when
    /// an adapter is on its way for longer than a load takes.
    pub fn must_ask(&self, now_ms: u64) -> bool {
        let is_overdue = |(key, at_ms): (&(ModelId, AdapterId), &u64)| {
            now_ms > *at_ms + COMING_OVERDUE_MS && !self.uncertain.contains(key)
        };
        let is_due = self.orders_accepted.is_none() || self.coming.iter().any(is_overdue);
        is_due && now_ms >= self.blocked_until_ms
    }

    /// True if an adapter is on its way, as far as known for certain.
    pub fn is_coming(&self, key: &(ModelId, AdapterId)) -> bool {
        self.coming.contains_key(key) && !self.uncertain.contains(key)
    }

    /// True if a report was made before the last order was accepted.
    fn is_outdated(&self, report: &Reported<'_>, now_ms: u64) -> bool {
        let is_lag_over = now_ms >= self.accepted_ms + REPORT_LAG_MS;
        let is_behind = self
            .orders_accepted
            .is_some_and(|n| report.orders_accepted < n);
        is_behind && !is_lag_over
    }

    /// Takes in a report, unless it may lack what the last order led to.
    pub fn take_report(&mut self, report: &Reported<'_>, now_ms: u64) {
        if self.is_outdated(report, now_ms) {
            return;
        }
        // Busy with an order of another host's: what it leads to is not known.
        let is_foreign = report.is_busy && self.loading.is_none() && self.unloading.is_none();
        self.orders_accepted = (!is_foreign).then_some(report.orders_accepted);
        self.known_ms = now_ms;
        let mut holds = report.holds.clone();
        if let Some((model, _)) = &self.unloading {
            holds.remove(model);
        }
        let loading = self.loading.as_ref().map(|(m, _)| m);
        if loading.is_some_and(|m| holds.contains_key(m)) {
            self.loading = None;
        }
        for (model, adapters) in &mut holds {
            adapters.retain(|a| !self.leaving.contains(&(model.clone(), a.clone())));
        }
        self.holds = holds;
        let (held, uncertain) = (&self.holds, &self.uncertain);
        self.coming.retain(|key, at_ms| {
            let may_come = now_ms < *at_ms + REPORT_LAG_MS
                || report.coming.contains(key)
                || uncertain.contains(key);
            may_come && !has(held, &key.0, &key.1)
        });
        for key in report.coming {
            self.coming.entry(key.clone()).or_insert(now_ms);
        }
    }

    /// Notes that an order was accepted: those before it that had no answer
    /// cannot take effect any more.
    pub fn on_accepted(&mut self, now_ms: u64) {
        self.accepted_ms = now_ms;
        self.orders_accepted = self.orders_accepted.map(|n| n + 1);
        for key in std::mem::take(&mut self.uncertain) {
            self.coming.remove(&key);
        }
    }

    /// Notes that the load of an adapter was accepted. A report taken in while
    /// its order was sent again did not know of it.
    pub fn on_adapter_accepted(&mut self, key: &(ModelId, AdapterId), now_ms: u64) {
        if !has(&self.holds, &key.0, &key.1) {
            self.coming.insert(key.clone(), now_ms);
        }
    }

    /// Notes that the load of an adapter had no answer; it stays charged until
    /// a later order is accepted.
    pub fn on_adapter_unanswered(&mut self, key: &(ModelId, AdapterId), now_ms: u64) {
        self.on_adapter_accepted(key, now_ms);
        self.uncertain.push(key.clone());
    }

    /// True if the engine can be given an order now: it has reported, and no
    /// model is loaded or unloaded, during which it refuses all others.
    pub fn takes_orders(&self, now_ms: u64) -> bool {
        self.orders_accepted.is_some()
            && self.loading.is_none()
            && self.unloading.is_none()
            && now_ms >= self.blocked_until_ms
    }

    /// Time until a load under way is likely done, in milliseconds.
    pub fn busy_ms(&self, now_ms: u64) -> Option<u64> {
        let (_, ready_ms) = self.loading.as_ref()?;
        Some(ready_ms.saturating_sub(now_ms))
    }

    /// True if no order is under way or may be.
    pub fn is_quiet(&self) -> bool {
        self.loading.is_none()
            && self.unloading.is_none()
            && self.coming.is_empty()
            && self.leaving.is_empty()
    }

    /// Adapters that occupy a slot or may.
    pub fn adapters_charged(&self) -> usize {
        let held: usize = self.holds.values().map(BTreeSet::len).sum();
        let unloading = self.unloading.as_ref().map_or(0, |(_, a)| a.len());
        held + unloading + self.coming.len() + self.leaving.len()
    }

    /// Memory that is occupied or may be, in MB.
    pub fn charged_mb(&self, spec: &EngineSpec) -> u64 {
        let model_mb = |m: &ModelId| spec.models.get(m).map_or(0, |s| s.weights_mb);
        let adapter_mb = |m: &ModelId| spec.models.get(m).map_or(0, |s| s.adapter_mb);
        let held: u64 = self
            .holds
            .iter()
            .map(|(m, adapters)| model_mb(m) + adapters.len() as u64 * adapter_mb(m))
            .sum();
        let moving = self.coming.keys().chain(&self.leaving);
        let adapters: u64 = moving.map(|(m, _)| adapter_mb(m)).sum();
        let loading = self.loading.as_ref().map_or(0, |(m, _)| model_mb(m));
        let unloading = self
            .unloading
            .as_ref()
            .map_or(0, |(m, a)| model_mb(m) + a.len() as u64 * adapter_mb(m));
        held + adapters + loading + unloading
    }

    /// True if a model fits beside everything that is charged.
    pub fn fits_model(&self, spec: &EngineSpec, model: &ModelId) -> bool {
        let Some(size) = spec.models.get(model) else {
            return false;
        };
        self.charged_mb(spec) + size.weights_mb <= spec.weights_mb
    }

    /// True if an adapter fits beside everything that is charged.
    pub fn fits_adapter(&self, spec: &EngineSpec, model: &ModelId) -> bool {
        let size_mb = spec.models.get(model).map_or(0, |s| s.adapter_mb);
        self.adapters_charged() < spec.adapter_slots as usize
            && self.charged_mb(spec) + size_mb <= spec.weights_mb
    }

    /// Adapter that was asked for least lately.
    pub fn adapter_to_evict(
        &self,
        last_asked_ms: impl Fn(&ModelId, &AdapterId) -> u64,
    ) -> Option<(ModelId, AdapterId)> {
        let held = self.holds.iter();
        let all = held.flat_map(|(m, adapters)| adapters.iter().map(move |a| (m, a)));
        all.min_by_key(|(m, a)| last_asked_ms(m, a))
            .map(|(m, a)| (m.clone(), a.clone()))
    }

    /// Models that came so lately that they stay for now.
    pub fn fresh(&self, now_ms: u64) -> BTreeSet<ModelId> {
        let is_fresh = |at_ms: &u64| now_ms < at_ms + FRESH_MS;
        let fresh = self.loaded_ms.iter().filter(|(_, at)| is_fresh(at));
        fresh.map(|(m, _)| m.clone()).collect()
    }

    /// Models that are held or may come.
    pub fn planned_holdings(&self) -> Holdings {
        let mut holds = self.holds.clone();
        if let Some((model, _)) = &self.loading {
            holds.entry(model.clone()).or_default();
        }
        holds
    }
}

fn has(holds: &Holdings, model: &ModelId, adapter: &AdapterId) -> bool {
    holds.get(model).is_some_and(|a| a.contains(adapter))
}
