//! What callers asked this host for, by model and adapter.
//!
//! Counters only grow, so that a report that is lost costs nothing but time.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use crate::core::balance::Weights;
use crate::core::ids::{AdapterId, ModelId, ServiceId};

/// Model of a service.
pub type ServiceModel = (ServiceId, ModelId);

/// Demand for one model at one host.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct ModelCounts {
    /// Requests that arrived since the start of the process.
    #[serde(rename = "a")]
    pub asked: u32,
    /// Prompt tokens of those requests.
    #[serde(rename = "t")]
    pub prompt_tokens: u64,
}

/// Counters of one host.
#[derive(Clone, Debug, Default)]
pub struct DemandBook {
    models: BTreeMap<ServiceModel, ModelCounts>,
    asked_adapters: BTreeMap<(ServiceModel, AdapterId), u64>,
}

impl DemandBook {
    /// Counts an arrival.
    pub fn on_asked(
        &mut self,
        now_ms: u64,
        service: &ServiceId,
        weights: &Weights,
        prompt_tokens: u32,
    ) {
        let key = (service.clone(), weights.model.clone());
        let counts = self.models.entry(key.clone()).or_default();
        counts.asked += 1;
        counts.prompt_tokens += u64::from(prompt_tokens);
        if let Some(adapter) = &weights.adapter {
            self.asked_adapters.insert((key, adapter.clone()), now_ms);
        }
    }

    /// Counts of all models that were ever asked for.
    pub fn models(&self) -> impl Iterator<Item = (&ServiceModel, &ModelCounts)> {
        self.models.iter()
    }

    /// Takes the adapters that were asked for since the last call.
    pub fn take_asked_adapters(&mut self) -> Vec<(ServiceModel, AdapterId)> {
        std::mem::take(&mut self.asked_adapters)
            .into_keys()
            .collect()
    }
}
