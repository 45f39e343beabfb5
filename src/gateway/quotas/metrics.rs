//! Metrics of quotas, with a bounded number of organisations.

use std::cell::RefCell;
use std::collections::BTreeSet;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::registry::Registry;

use crate::core::ids::OrganisationId;

/// Organisations with counters of their own; further ones share one.
const MAX_ORGANISATIONS: usize = 64;
/// Name of the counters that further organisations share.
const OTHERS: &str = "(others)";

/// Labels of requests of organisations with quotas.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct QuotaLabels {
    organisation: String,
    result: &'static str,
}

/// Requests of organisations with quotas.
#[derive(Debug, Default)]
pub struct QuotaMetrics {
    requests: Family<QuotaLabels, Counter>,
    named: RefCell<BTreeSet<OrganisationId>>,
}

impl QuotaMetrics {
    /// Registers the metrics.
    pub fn register(&self, registry: &mut Registry) {
        registry.register(
            "quota_requests",
            "Requests of organisations with quotas, by result",
            self.requests.clone(),
        );
    }

    /// Counts a request.
    pub fn record(&self, organisation: &OrganisationId, result: &'static str) {
        let mut named = self.named.borrow_mut();
        if named.len() < MAX_ORGANISATIONS && !named.contains(organisation) {
            named.insert(organisation.clone());
        }
        let is_named = named.contains(organisation);
        let organisation = if is_named {
            organisation.as_str().to_owned()
        } else {
            OTHERS.to_owned()
        };
        let labels = QuotaLabels {
            organisation,
            result,
        };
        self.requests.get_or_create(&labels).inc();
    }
}
