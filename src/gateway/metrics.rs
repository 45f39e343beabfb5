//! Prometheus metrics of one host.

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use super::quotas::QuotaMetrics;
use super::resource_metrics::ResourceMetrics;
use super::shared_places::metrics::SharedPlaceMetrics;

/// Labels of an ended request.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct OutcomeLabels {
    /// Outcome.
    pub outcome: &'static str,
    /// Reason for the outcome.
    pub reason: &'static str,
}

/// Label of a request to another host.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct PeerReplyLabels {
    /// Reply.
    pub reply: &'static str,
}

/// Label of an order.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct OrderLabels {
    /// Kind of the order.
    pub kind: &'static str,
}

/// Label of a caller's request to resume a stream.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct ResumeLabels {
    /// What tells the software version at which it goes on.
    pub source: &'static str,
}

/// Label of a second attempt.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct HedgeLabels {
    /// Which attempt was delivered.
    pub outcome: &'static str,
}

/// Label of a late request without a second attempt.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct NoHedgeLabels {
    /// Reason.
    pub reason: &'static str,
}

/// All metrics and their registry.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: Registry,
    /// Ended requests, by outcome and reason.
    pub requests_ended: Family<OutcomeLabels, Counter>,
    /// Time that requests spent in the queue.
    pub queue_time_s: Histogram,
    /// Time from arrival to the first event of a stream.
    pub first_response_s: Histogram,
    /// Requests in flight.
    pub requests_in_flight: Gauge,
    /// Queued requests.
    pub requests_waiting: Gauge,
    /// Retried attempts.
    pub retries: Counter,
    /// Second attempts for late requests, by outcome.
    pub hedges: Family<HedgeLabels, Counter>,
    /// Late requests without a second attempt, by reason.
    pub hedges_withheld: Family<NoHedgeLabels, Counter>,
    /// Streams resumed at another upstream.
    pub streams_resumed: Counter,
    /// Streams that broke off and found no upstream of their software version.
    pub streams_not_resumed: Counter,
    /// Requests of callers to resume a stream, by what tells its software version.
    pub resume_requests: Family<ResumeLabels, Counter>,
    /// Registered upstreams.
    pub upstreams: Gauge,
    /// Version of the configuration in force.
    pub config_version: Gauge,
    /// Calls to the store since the start of the process.
    pub store_calls: Gauge,
    /// Orders sent to engines, by kind.
    pub orders: Family<OrderLabels, Counter>,
    /// Datagrams sent to other hosts.
    pub peer_datagrams: Counter,
    /// Upstreams taken out of service because they stated that they leave.
    pub upstreams_leaving: Counter,
    /// Upstreams that ended without having stated that they leave.
    pub upstreams_ended: Counter,
    /// Requests sent to other hosts, by reply.
    pub peer_requests: Family<PeerReplyLabels, Counter>,
    /// Requests accepted from other hosts.
    pub peer_requests_received: Counter,
    /// 1 while this host reaches no upstream.
    pub is_cut_off: Gauge,
    /// Suspects whose requests are not sent.
    pub quarantined: Gauge,
    /// Questions for room at an engine without an answer in time.
    pub unanswered_asks: Counter,
    /// Time of one turn of the acting host.
    pub turn_time_s: Histogram,
    /// Times that an upstream stated for how long it wants no requests.
    pub upstream_closures: Counter,
    /// Requests that were not sent to an upstream because of the rate that it states.
    pub permits_denied: Counter,
    /// Upstreams that had left while this host had lost the store, as others confirmed.
    pub departures_confirmed: Counter,
    /// Requests whose connection was reset since their path did not answer.
    pub requests_held_up: Counter,
    /// Requests of callers that return after a refusal.
    pub requests_returned: Counter,
    /// Those of them that were refused again.
    pub returns_refused: Counter,
    /// Waits for room at an engine whose urgency was stated.
    pub urgent_waits: Counter,
    /// Requests whose deadline passed before they were sent.
    pub requests_past_deadline: Counter,
    /// Upstreams that state how many requests a second they take.
    pub upstreams_limited: Gauge,
    /// Responses of upstreams that were cut off at a limit of size or time.
    pub responses_over_limit: Counter,
    /// Upstreams that state how many rejections they survive.
    pub upstreams_brittle: Gauge,
    /// Requests that were not sent to a brittle upstream for want of a place.
    pub places_denied: Counter,
    /// Times that places at a brittle upstream were withdrawn after a rejection.
    pub places_withdrawn: Counter,
    /// Requests that brittle upstreams turned away.
    pub brittle_rejections: Counter,
    /// Statements of brittleness that have no meaning.
    pub invalid_brittleness: Counter,
    /// Places at plain upstreams that the fleet shares.
    pub shared_places: SharedPlaceMetrics,
    /// Requests of organisations with quotas.
    pub quotas: QuotaMetrics,
    /// Memory and descriptors.
    pub resources: ResourceMetrics,
    /// Era of the store.
    pub store_era: Gauge,
    /// Log lines dropped because the reader was too slow.
    pub dropped_log_lines: Gauge,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let buckets = || exponential_buckets(0.001, 2.0, 15);
        let mut metrics = Self {
            registry: Registry::with_prefix("currantcove"),
            requests_ended: Family::default(),
            queue_time_s: Histogram::new(buckets()),
            first_response_s: Histogram::new(buckets()),
            requests_in_flight: Gauge::default(),
            requests_waiting: Gauge::default(),
            retries: Counter::default(),
            hedges: Family::default(),
            hedges_withheld: Family::default(),
            streams_resumed: Counter::default(),
            streams_not_resumed: Counter::default(),
            resume_requests: Family::default(),
            upstreams: Gauge::default(),
            config_version: Gauge::default(),
            store_calls: Gauge::default(),
            orders: Family::default(),
            peer_datagrams: Counter::default(),
            upstreams_leaving: Counter::default(),
            upstreams_ended: Counter::default(),
            peer_requests: Family::default(),
            peer_requests_received: Counter::default(),
            is_cut_off: Gauge::default(),
            quarantined: Gauge::default(),
            unanswered_asks: Counter::default(),
            turn_time_s: Histogram::new(buckets()),
            upstream_closures: Counter::default(),
            permits_denied: Counter::default(),
            departures_confirmed: Counter::default(),
            requests_held_up: Counter::default(),
            requests_past_deadline: Counter::default(),
            urgent_waits: Counter::default(),
            requests_returned: Counter::default(),
            returns_refused: Counter::default(),
            upstreams_limited: Gauge::default(),
            responses_over_limit: Counter::default(),
            upstreams_brittle: Gauge::default(),
            places_denied: Counter::default(),
            places_withdrawn: Counter::default(),
            brittle_rejections: Counter::default(),
            invalid_brittleness: Counter::default(),
            shared_places: SharedPlaceMetrics::default(),
            quotas: QuotaMetrics::default(),
            resources: ResourceMetrics::default(),
            store_era: Gauge::default(),
            dropped_log_lines: Gauge::default(),
        };
        metrics.register();
        metrics.register_hedges();
        metrics.register_streams();
        metrics.register_response_limits();
        metrics.register_reach();
        metrics.register_paths();
        metrics.register_brittle();
        metrics.shared_places.register(&mut metrics.registry);
        metrics.register_waiting();
        metrics.quotas.register(&mut metrics.registry);
        metrics.resources.register(&mut metrics.registry);
        metrics
    }
}

impl GatewayMetrics {
    fn register_response_limits(&mut self) {
        self.registry.register(
            "responses_over_limit",
            "Responses of upstreams that were cut off at a limit of size or time",
            self.responses_over_limit.clone(),
        );
    }

    fn register_brittle(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "upstreams_brittle",
            "Upstreams that state how many rejections they survive",
            self.upstreams_brittle.clone(),
        );
        registry.register(
            "places_denied",
            "Requests not sent to a brittle upstream for want of a place",
            self.places_denied.clone(),
        );
        registry.register(
            "places_withdrawn",
            "Times that places at a brittle upstream were withdrawn after a rejection",
            self.places_withdrawn.clone(),
        );
        registry.register(
            "brittle_rejections",
            "Requests that brittle upstreams turned away",
            self.brittle_rejections.clone(),
        );
        registry.register(
            "invalid_brittleness",
            "Statements of brittleness that have no meaning",
            self.invalid_brittleness.clone(),
        );
    }

    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "requests_ended",
            "Ended requests",
            self.requests_ended.clone(),
        );
        let queue_time_s = self.queue_time_s.clone();
        registry.register_with_unit(
            "wait",
            "Time that requests waited",
            Unit::Seconds,
            queue_time_s,
        );
        let first_response_s = self.first_response_s.clone();
        registry.register_with_unit(
            "first_answer",
            "Time from arrival to the answer's head or the first event",
            Unit::Seconds,
            first_response_s,
        );
        registry.register(
            "requests_in_flight",
            "Requests in flight",
            self.requests_in_flight.clone(),
        );
        registry.register(
            "requests_waiting",
            "Requests that wait",
            self.requests_waiting.clone(),
        );
        registry.register("retries", "Retried attempts", self.retries.clone());
        registry.register("upstreams", "Listed upstreams", self.upstreams.clone());
        registry.register(
            "config_version",
            "Configuration in force",
            self.config_version.clone(),
        );
        registry.register(
            "store_calls",
            "Calls to the store",
            self.store_calls.clone(),
        );
        registry.register("orders", "Orders sent to engines", self.orders.clone());
        registry.register(
            "peer_datagrams",
            "Datagrams sent to hosts",
            self.peer_datagrams.clone(),
        );
        registry.register(
            "upstreams_leaving",
            "Upstreams that stated that they leave",
            self.upstreams_leaving.clone(),
        );
        registry.register(
            "upstream_closures",
            "Times that an upstream stated for how long it wants no requests",
            self.upstream_closures.clone(),
        );
        registry.register(
            "permits_denied",
            "Requests not sent to an upstream because of the rate that it states",
            self.permits_denied.clone(),
        );
        registry.register(
            "upstreams_limited",
            "Upstreams that state how many requests a second they take from all hosts",
            self.upstreams_limited.clone(),
        );
        registry.register(
            "unanswered_asks",
            "Questions for room at an engine without an answer in time",
            self.unanswered_asks.clone(),
        );
        registry.register(
            "quarantined",
            "Suspects whose requests are not sent because they crash upstreams",
            self.quarantined.clone(),
        );
        registry.register(
            "upstreams_ended",
            "Upstreams that ended unannounced under requests of this host",
            self.upstreams_ended.clone(),
        );
        registry.register_with_unit(
            "turn",
            "Time of one turn of the acting host",
            Unit::Seconds,
            self.turn_time_s.clone(),
        );
        registry.register("store_era", "Era of the store", self.store_era.clone());
        registry.register(
            "dropped_log_lines",
            "Log lines dropped for a slow reader",
            self.dropped_log_lines.clone(),
        );
    }

    fn register_hedges(&mut self) {
        self.registry.register(
            "hedges",
            "Second attempts for late requests, by the attempt that was delivered",
            self.hedges.clone(),
        );
        self.registry.register(
            "hedges_withheld",
            "Late requests without a second attempt, by reason",
            self.hedges_withheld.clone(),
        );
    }

    fn register_streams(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "streams_resumed",
            "Streams resumed elsewhere",
            self.streams_resumed.clone(),
        );
        registry.register(
            "streams_not_resumed",
            "Streams that broke off without an upstream of their software version",
            self.streams_not_resumed.clone(),
        );
        registry.register(
            "resume_requests",
            "Requests of callers to resume a stream, by what tells its software version",
            self.resume_requests.clone(),
        );
    }

    fn register_reach(&mut self) {
        self.registry.register(
            "cut_off",
            "1 while this host reaches no upstream",
            self.is_cut_off.clone(),
        );
        self.registry.register(
            "peer_requests",
            "Requests of callers sent to other hosts, by reply",
            self.peer_requests.clone(),
        );
        self.registry.register(
            "peer_requests_received",
            "Requests of callers accepted from other hosts",
            self.peer_requests_received.clone(),
        );
    }

    fn register_paths(&mut self) {
        self.registry.register(
            "departures_confirmed",
            "Upstreams that had left while this host had lost the store, as others confirmed",
            self.departures_confirmed.clone(),
        );
        self.registry.register(
            "requests_held_up",
            "Requests whose connection was reset since their path did not answer",
            self.requests_held_up.clone(),
        );
        self.registry.register(
            "requests_past_deadline",
            "Requests whose deadline passed before they were sent",
            self.requests_past_deadline.clone(),
        );
    }

    fn register_waiting(&mut self) {
        self.registry.register(
            "requests_returned",
            "Requests of callers that return after a refusal",
            self.requests_returned.clone(),
        );
        self.registry.register(
            "returns_refused",
            "Requests of returning callers that were refused again",
            self.returns_refused.clone(),
        );
        self.registry.register(
            "urgent_waits",
            "Waits for room at an engine of which the keeper was told how urgent they are",
            self.urgent_waits.clone(),
        );
    }

    /// Metrics in the Prometheus text format.
    pub fn encode(&self) -> String {
        let mut text = String::new();
        // Writes to a string do not fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}
