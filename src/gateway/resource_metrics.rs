//! Metrics of the resource account.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::{Registry, Unit};

use crate::core::resource_account::Purpose;
use crate::edge::resources::Resources;

/// Label of memory that is taken.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct PurposeLabel {
    /// What it is taken for.
    pub purpose: &'static str,
}

/// Metrics of the account.
#[derive(Debug, Default)]
pub struct ResourceMetrics {
    charged_bytes: Family<PurposeLabel, Gauge>,
    budget_bytes: Gauge,
    refusals: Gauge,
}

impl ResourceMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register_with_unit(
            "charged",
            "Memory that is charged, by purpose",
            Unit::Bytes,
            self.charged_bytes.clone(),
        );
        registry.register_with_unit(
            "memory_budget",
            "Memory that can be charged",
            Unit::Bytes,
            self.budget_bytes.clone(),
        );
        registry.register(
            "no_room",
            "Times that there was no room for what was to be taken",
            self.refusals.clone(),
        );
    }

    /// Records the present state of the account.
    pub fn record(&self, resources: &Resources) {
        let account = resources.account();
        for purpose in Purpose::ALL {
            let label = PurposeLabel {
                purpose: purpose.as_str(),
            };
            let bytes = account.memory_bytes(purpose).cast_signed() as i64;
            self.charged_bytes.get_or_create(&label).set(bytes);
        }
        self.budget_bytes
            .set(account.memory_budget_bytes().cast_signed() as i64);
        self.refusals.set(resources.refusals().cast_signed());
    }
}
