//! Routes, services and models that operators declare.
//!
//! A catalogue is one version of the whole routing configuration. It is
//! replaced as a whole, and never by an older version.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use super::config::Finding;
use super::ids::{ModelId, ServiceId};
use super::organisations::Organisations;

/// Whether a request may be repeated after a failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// May be executed more than once.
    Idempotent,
    /// Is executed at most once.
    Once,
    /// The response is an event stream; executed at most once unless
    /// resumable.
    Stream {
        /// True if another upstream can continue after the last event.
        is_resumable: bool,
    },
}

impl RequestKind {
    /// True if the request may be repeated although it may have been executed.
    pub fn is_repeatable(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::Once => false,
            Self::Stream { is_resumable } => is_resumable,
        }
    }

    /// True if the response is an event stream.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Weighted target of a route.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Backend {
    /// Service.
    pub service: ServiceId,
    /// Weight among the route's backends.
    pub weight: u32,
}

/// Rule that maps requests to services.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host of the request, in lower case.
    pub host: String,
    /// Path prefix; starts and ends with a slash.
    pub prefix: String,
    /// Whether requests may be repeated.
    pub kind: RequestKind,
    /// Longest time to the end of the response.
    pub timeout: Duration,
    /// Objective for the time to the response or to the first event.
    pub objective: Duration,
    /// Time after which callers without any response disconnect.
    pub caller_timeout: Duration,
    /// Objective for the longest gap between events of a stream.
    pub max_event_gap: Option<Duration>,
    /// Priority level; 0 is served first.
    pub priority: u8,
    /// Limit on the upstreams that one request is sent to.
    pub max_attempts: u32,
    /// True if requests need no key.
    pub is_public: bool,
    /// Targets of the requests.
    pub backends: Vec<Backend>,
}

impl Route {
    /// Selects a backend by weight, for a random `draw` from the whole range of
    /// `u64`.
    pub fn backend(&self, draw: u64) -> Option<&ServiceId> {
        let total_weight: u64 = self.backends.iter().map(|b| u64::from(b.weight)).sum();
        if total_weight == 0 {
            return self.backends.first().map(|b| &b.service);
        }
        let mut remaining = draw % total_weight;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if remaining < weight {
                return Some(&backend.service);
            }
            remaining -= weight;
        }
        None
    }
}

/// Location of a model's weights from an engine's point of view, the fastest
/// first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum WeightSource {
    /// Host memory of the engine.
    Memory,
    /// Disk of the engine.
    Disk,
    /// Weight store.
    Store,
}

impl WeightSource {
    /// Fastest source, given whether the weights are in host memory or on disk.
    pub fn of(is_in_memory: bool, is_on_disk: bool) -> Self {
        if is_in_memory {
            Self::Memory
        } else if is_on_disk {
            Self::Disk
        } else {
            Self::Store
        }
    }
}

/// Model that the engines of a service can serve.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Accelerator memory of the weights.
    pub weights_mb: u64,
    /// Number of adapters.
    pub adapters: u32,
    /// Accelerator memory of one adapter.
    pub adapter_mb: u64,
    /// Load time from the weight store.
    pub store_load: Duration,
    /// Load time from the engine's disk.
    pub disk_load: Duration,
    /// Load time from the engine's host memory.
    pub memory_load: Duration,
}

impl ModelSpec {
    /// Load time from a source.
    pub fn load_time(&self, source: WeightSource) -> Duration {
        match source {
            WeightSource::Memory => self.memory_load,
            WeightSource::Disk => self.disk_load,
            WeightSource::Store => self.store_load,
        }
    }
}

/// Capacity of the engines of a service, and their models.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Batch slots.
    pub batch: u32,
    /// Capacity of one engine's KV cache, in tokens.
    pub cache_tokens: u64,
    /// Accelerator memory for weights and adapters.
    pub weights_mb: u64,
    /// Limit on the adapters held by one engine.
    pub adapter_slots: u32,
    /// Loads from the weight store per second, over all engines.
    pub store_loads_per_s: f64,
    /// Models by name.
    pub models: BTreeMap<ModelId, ModelSpec>,
}

/// Service with upstreams.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Connections that one upstream accepts from all hosts together.
    pub max_connections: u32,
    /// Present if the upstreams are model engines.
    pub engine: Option<Rc<EngineSpec>>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest head of a request, in bytes.
    pub max_header_bytes: usize,
    /// Largest body of a request, in bytes.
    pub max_body_bytes: usize,
    /// Longest time to receive the head and the body of a request.
    pub header_timeout: Duration,
    /// Longest idle time between two requests on a connection.
    pub idle_timeout: Duration,
}

/// Routes, services and limits of one version.
#[derive(Clone, Debug, PartialEq)]
pub struct Catalog {
    /// Version; only a greater one replaces it.
    pub version: u64,
    /// Routes.
    routes: Vec<Route>,
    /// Indices of routes by host, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    /// Strictest event gap objective of the streams of each service.
    min_event_gaps: HashMap<ServiceId, Duration>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Limits on callers' requests and connections.
    pub limits: CallerLimits,
    /// Organisations, if requests need a key.
    pub organisations: Option<Organisations>,
    /// Parts of the configuration that are invalid and not in force.
    pub findings: Vec<Finding>,
}

impl Catalog {
    /// Builds a catalogue and its indices.
    pub fn new(
        version: u64,
        routes: Vec<Route>,
        services: BTreeMap<ServiceId, ServiceSpec>,
        limits: CallerLimits,
    ) -> Self {
        let mut by_host: HashMap<String, Vec<usize>> = HashMap::new();
        for (position, route) in routes.iter().enumerate() {
            by_host
                .entry(route.host.clone())
                .or_default()
                .push(position);
        }
        for positions in by_host.values_mut() {
            positions.sort_by_key(|&p| std::cmp::Reverse(routes[p].prefix.len()));
        }
        let mut min_event_gaps: HashMap<ServiceId, Duration> = HashMap::new();
        for route in &routes {
            let Some(gap) = route.max_event_gap else {
                continue;
            };
            for backend in &route.backends {
                let strictest = min_event_gaps.entry(backend.service.clone());
                let strictest = strictest.or_insert(gap);
                *strictest = gap.min(*strictest);
            }
        }
        Self {
            version,
            routes,
            by_host,
            min_event_gaps,
            services,
            limits,
            organisations: None,
            findings: Vec::new(),
        }
    }

    /// The same catalogue with organisations and what is invalid of them.
    #[must_use]
    pub fn with_organisations(self, organisations: Organisations, findings: Vec<Finding>) -> Self {
        Self {
            organisations: Some(organisations),
            findings,
            ..self
        }
    }

    /// Finds the route with the request's host and the longest matching prefix.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let name = host.rsplit_once(':').map_or(host, |(name, _)| name);
        let positions = match self.by_host.get(name) {
            Some(positions) => positions,
            None => self.by_host.get(&name.to_ascii_lowercase())?,
        };
        let routes = positions.iter().map(|&p| &self.routes[p]);
        routes
            .into_iter()
            .find(|route| path.starts_with(&route.prefix))
    }

    /// All routes.
    pub fn routes(&self) -> &[Route] {
        &self.routes
    }

    /// Strictest event gap objective of the streams of a service.
    pub fn min_event_gap(&self, service: &ServiceId) -> Option<Duration> {
        self.min_event_gaps.get(service).copied()
    }

    /// Services with model engines.
    pub fn engines(&self) -> impl Iterator<Item = (&ServiceId, &EngineSpec)> {
        self.services
            .iter()
            .filter_map(|(id, service)| Some((id, service.engine.as_deref()?)))
    }
}
