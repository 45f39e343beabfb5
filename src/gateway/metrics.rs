//! Metrics of one host on a platform.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

/// Labels of an ended request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct EndLabels {
    /// What became of it.
    pub outcome: &'static str,
    /// Why.
    pub reason: &'static str,
}

/// Label of a reason.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct KindLabel {
    /// Kind.
    pub kind: &'static str,
}

/// All metrics and their registry.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Ended requests.
    pub ended: Family<EndLabels, Counter>,
    /// Time that requests waited at the host.
    pub wait_s: Histogram,
    /// Time from arrival to the answer's head or the first event.
    pub first_answer_s: Histogram,
    /// Requests in flight.
    pub in_flight: Gauge,
    /// Requests that wait.
    pub waiting: Gauge,
    /// Retries.
    pub retries: Counter,
    /// Streams resumed at another upstream.
    pub resumed: Counter,
    /// Listed upstreams.
    pub upstreams: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Calls to the store.
    pub store_calls: Gauge,
    /// Orders sent, by kind.
    pub orders: Family<KindLabel, Counter>,
    /// Datagrams sent to other hosts.
    pub peer_datagrams: Counter,
    /// Log lines dropped since the reader was too slow.
    pub dropped_log_lines: Gauge,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let buckets = || exponential_buckets(0.001, 2.0, 15);
        let mut metrics = Self {
            registry: Registry::with_prefix("currantcove"),
            ended: Family::default(),
            wait_s: Histogram::new(buckets()),
            first_answer_s: Histogram::new(buckets()),
            in_flight: Gauge::default(),
            waiting: Gauge::default(),
            retries: Counter::default(),
            resumed: Counter::default(),
            upstreams: Gauge::default(),
            config_version: Gauge::default(),
            store_calls: Gauge::default(),
            orders: Family::default(),
            peer_datagrams: Counter::default(),
            dropped_log_lines: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl GatewayMetrics {
    fn register(&mut self) {
        let r = &mut self.registry;
        r.register("requests_ended", "Ended requests", self.ended.clone());
        let wait_s = self.wait_s.clone();
        r.register_with_unit("wait", "Time that requests waited", Unit::Seconds, wait_s);
        let first_answer_s = self.first_answer_s.clone();
        r.register_with_unit(
            "first_answer",
            "Time from arrival to the answer's head or the first event",
            Unit::Seconds,
            first_answer_s,
        );
        r.register(
            "requests_in_flight",
            "Requests in flight",
            self.in_flight.clone(),
        );
        r.register(
            "requests_waiting",
            "Requests that wait",
            self.waiting.clone(),
        );
        r.register("retries", "Retried attempts", self.retries.clone());
        r.register(
            "streams_resumed",
            "Streams resumed elsewhere",
            self.resumed.clone(),
        );
        r.register("upstreams", "Listed upstreams", self.upstreams.clone());
        r.register(
            "config_version",
            "Configuration in force",
            self.config_version.clone(),
        );
        r.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        r.register("orders", "Orders sent to engines", self.orders.clone());
        r.register(
            "peer_datagrams",
            "Datagrams sent to hosts",
            self.peer_datagrams.clone(),
        );
        r.register(
            "dropped_log_lines",
            "Log lines dropped for a slow reader",
            self.dropped_log_lines.clone(),
        );
    }

    /// Text for the metrics address.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
