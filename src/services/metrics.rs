//! Metrics of one entry host.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// Labels of an ended request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct RequestLabels {
    /// Team.
    pub team: String,
    /// Outcome reported to the caller.
    pub outcome: &'static str,
    /// HTTP status.
    pub status: u16,
}

/// Metrics and their registry.
#[derive(Debug)]
pub struct Metrics {
    registry: Registry,
    /// Ended requests, by team, outcome and status.
    pub requests_ended: Family<RequestLabels, Counter>,
    /// Time from the request to the first byte of the response.
    pub first_byte_s: Histogram,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Retries.
    pub retries: Counter,
    /// Streams resumed at another upstream.
    pub streams_resumed: Counter,
    /// Calls to the platform's key-value service.
    pub kv_calls: Gauge,
    /// Load orders sent.
    pub load_orders: Counter,
    /// Unload orders sent.
    pub unload_orders: Counter,
    /// Bytes sent to peers.
    pub peer_sent_bytes: Counter,
    /// Messages sent to peers.
    pub peer_sent_messages: Counter,
}

impl Default for Metrics {
    fn default() -> Self {
        let mut metrics = Self {
            registry: Registry::with_prefix("currantcove"),
            requests_ended: Family::default(),
            first_byte_s: Histogram::new(exponential_buckets(0.001, 2.0, 14)),
            in_flight: Gauge::default(),
            retries: Counter::default(),
            streams_resumed: Counter::default(),
            kv_calls: Gauge::default(),
            load_orders: Counter::default(),
            unload_orders: Counter::default(),
            peer_sent_bytes: Counter::default(),
            peer_sent_messages: Counter::default(),
        };
        metrics.register();
        metrics
    }
}

impl Metrics {
    fn register(&mut self) {
        let r = &mut self.registry;
        r.register(
            "requests_ended",
            "Ended requests",
            self.requests_ended.clone(),
        );
        r.register_with_unit(
            "first_byte",
            "Time to the first byte of the answer",
            Unit::Seconds,
            self.first_byte_s.clone(),
        );
        r.register(
            "requests_in_flight",
            "Requests in flight",
            self.in_flight.clone(),
        );
        r.register("retries", "Retried attempts", self.retries.clone());
        r.register(
            "streams_resumed",
            "Streams resumed elsewhere",
            self.streams_resumed.clone(),
        );
        r.register(
            "kv_calls",
            "Calls to the key-value service",
            self.kv_calls.clone(),
        );
        r.register("load_orders", "Load orders sent", self.load_orders.clone());
        r.register(
            "unload_orders",
            "Unload orders sent",
            self.unload_orders.clone(),
        );
        r.register(
            "peer_sent_bytes",
            "Bytes sent to peers",
            self.peer_sent_bytes.clone(),
        );
        r.register(
            "peer_sent_messages",
            "Messages sent to peers",
            self.peer_sent_messages.clone(),
        );
    }

    /// Encodes the metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
