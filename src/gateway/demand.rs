//! Counts the requests that callers send to this host, by model and adapter.
//!
//! The counters of a model are cumulative, so that a lost report only delays the
//! next one. They start anew with each term of an acting host: a new acting host
//! would otherwise take everything that was ever requested for a sudden rise.

use std::collections::{BTreeMap, HashMap};

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use crate::core::balance::Weights;
use crate::core::ids::{AdapterId, ModelId, ServiceId};
use crate::core::load::RequestSize;
use crate::core::stated::StatedSize;

/// Service and model.
pub type ServiceModel = (ServiceId, ModelId);

/// Demand for one model at one host.
#[serde_as]
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ModelCounts {
    /// Requests that arrived since the start of the process.
    #[serde(rename = "a")]
    pub requests: u32,
    /// Prompt tokens of those requests.
    #[serde_as(as = "StatedSize")]
    #[serde(rename = "t")]
    pub prompt_tokens: u64,
    /// Output tokens that their callers expect.
    #[serde_as(as = "StatedSize")]
    #[serde(rename = "o", default)]
    pub output_tokens: u64,
}

/// Demand counters of one host.
#[derive(Clone, Debug, Default)]
pub struct DemandCounters {
    models: BTreeMap<ServiceModel, ModelCounts>,
    requested_adapters: BTreeMap<(ServiceModel, AdapterId), u64>,
}

impl DemandCounters {
    /// Counts a request that arrived.
    pub fn record_request(
        &mut self,
        now_ms: u64,
        service: &ServiceId,
        weights: &Weights,
        size: RequestSize,
    ) {
        let key = (service.clone(), weights.model.clone());
        let counts = self.models.entry(key.clone()).or_default();
        counts.requests += 1;
        counts.prompt_tokens += u64::from(size.prompt_tokens);
        counts.output_tokens += u64::from(size.output_tokens);
        if let Some(adapter) = &weights.adapter {
            self.requested_adapters
                .insert((key, adapter.clone()), now_ms);
        }
    }

    /// Counts of all models requested since the start of the process.
    pub fn models(&self) -> impl Iterator<Item = (&ServiceModel, &ModelCounts)> {
        self.models.iter()
    }

    /// Removes and returns the adapters requested since the last call.
    pub fn take_requested_adapters(&mut self) -> Vec<(ServiceModel, AdapterId)> {
        std::mem::take(&mut self.requested_adapters)
            .into_keys()
            .collect()
    }
}

impl ModelCounts {
    fn since(self, base: Self) -> Self {
        Self {
            requests: self.requests.saturating_sub(base.requests),
            prompt_tokens: self.prompt_tokens.saturating_sub(base.prompt_tokens),
            output_tokens: self.output_tokens.saturating_sub(base.output_tokens),
        }
    }
}

/// Part of the counters that the acting host of a term is to receive.
#[derive(Clone, Debug, Default)]
pub struct DemandReporter {
    term: Option<u64>,
    since_ms: u64,
    /// Counts when the term became known.
    base: HashMap<ServiceModel, ModelCounts>,
    reported: HashMap<ServiceModel, ModelCounts>,
}

impl DemandReporter {
    /// Returns the counts that have changed since the last report in the term, and
    /// the time from which they are counted.
    pub fn take_changed(
        &mut self,
        now_ms: u64,
        term: u64,
        counters: &DemandCounters,
    ) -> (u64, Vec<(ServiceId, ModelId, ModelCounts)>) {
        if self.term != Some(term) {
            self.base = counters
                .models()
                .map(|(key, counts)| (key.clone(), *counts))
                .collect();
            self.reported.clear();
            self.term = Some(term);
            self.since_ms = now_ms;
        }
        let mut changed = Vec::new();
        for (key, counts) in counters.models() {
            let base = self.base.get(key).copied().unwrap_or_default();
            let counts = counts.since(base);
            let last = self.reported.get(key).copied().unwrap_or_default();
            if counts != last {
                self.reported.insert(key.clone(), counts);
                changed.push((key.0.clone(), key.1.clone(), counts));
            }
        }
        (self.since_ms, changed)
    }
}
