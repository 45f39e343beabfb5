//! Metrics of places at plain upstreams that the fleet shares.

use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// Metrics of one host.
#[derive(Debug, Default)]
pub struct SharedPlaceMetrics {
    /// Questions for a place.
    pub asked: Counter,
    /// Questions that were denied, after which the request waits.
    pub denied: Counter,
    /// Questions without an answer in time.
    pub unanswered: Counter,
    /// Requests that were sent without an answer, within the host's equal share.
    pub within_share: Counter,
    /// Granted places that no request needed.
    pub returned: Counter,
    /// Places that this host has granted to others and to itself.
    pub granted: Counter,
    /// Times that this host has withdrawn places after a rejection.
    pub withdrawn: Counter,
    /// Places at shared upstreams that this host holds.
    pub held: Gauge,
}

impl SharedPlaceMetrics {
    /// Registers all metrics.
    pub fn register(&self, registry: &mut Registry) {
        let counters = [
            (
                "shared_places_asked",
                "Questions for a place at a shared upstream",
                &self.asked,
            ),
            (
                "shared_places_denied",
                "Questions for a place that were denied, after which the request waits",
                &self.denied,
            ),
            (
                "shared_places_unanswered",
                "Questions for a place without an answer in time",
                &self.unanswered,
            ),
            (
                "shared_places_within_share",
                "Requests sent without an answer, within the equal share of the host",
                &self.within_share,
            ),
            (
                "shared_places_returned",
                "Granted places that no request needed",
                &self.returned,
            ),
            (
                "shared_places_granted",
                "Places that this host has granted as a keeper",
                &self.granted,
            ),
            (
                "shared_places_withdrawn",
                "Times that this host has withdrawn places after a rejection",
                &self.withdrawn,
            ),
        ];
        for (name, help, counter) in counters {
            registry.register(name, help, counter.clone());
        }
        registry.register(
            "shared_places_held",
            "Places at shared upstreams that this host holds",
            self.held.clone(),
        );
    }
}
