//! Routes, services and models that operators declare.
//!
//! A catalogue is one version of everything that decides where a request may
//! go. It replaces the former one as a whole; an older version never follows
//! a newer one.

use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use super::ids::{ModelId, ServiceId};

/// What may be repeated after a failure.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// May run more than once.
    Idempotent,
    /// Runs at most once.
    Once,
    /// Answers with a stream of events; runs at most once unless resumable.
    Stream {
        /// True if another upstream may go on after the last event.
        is_resumable: bool,
    },
}

impl RequestKind {
    /// True if the request may run again after it may have run.
    pub fn may_repeat(self) -> bool {
        match self {
            Self::Idempotent => true,
            Self::Once => false,
            Self::Stream { is_resumable } => is_resumable,
        }
    }

    /// True if the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// Service that a route leads to, with its share.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Backend {
    /// Service.
    pub service: ServiceId,
    /// Share among the route's backends.
    pub weight: u32,
}

/// Rule that leads requests to services.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Route {
    /// Name.
    pub name: String,
    /// Host that callers ask for, in lower case.
    pub host: String,
    /// Beginning of the path; starts and ends with a slash.
    pub prefix: String,
    /// What may be repeated.
    pub kind: RequestKind,
    /// Longest time to an answer.
    pub timeout: Duration,
    /// Time to the answer, or to the first event, that callers aim for.
    pub objective: Duration,
    /// Time after which callers leave if they have seen nothing.
    pub patience: Duration,
    /// Longest pause between the events of a stream that callers aim for.
    pub max_pause: Option<Duration>,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Most upstreams that one request is sent to.
    pub max_attempts: u32,
    /// Where requests go.
    pub backends: Vec<Backend>,
}

impl Route {
    /// Backend for a draw from the whole range of `u64`.
    pub fn backend(&self, draw: u64) -> Option<&ServiceId> {
        let total: u64 = self.backends.iter().map(|b| u64::from(b.weight)).sum();
        if total == 0 {
            return self.backends.first().map(|b| &b.service);
        }
        let mut rest = draw % total;
        for backend in &self.backends {
            let weight = u64::from(backend.weight);
            if rest < weight {
                return Some(&backend.service);
            }
            rest -= weight;
        }
        None
    }
}

/// Where an engine finds the weights of a model, the fastest first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum WeightSource {
    /// In its host memory.
    Memory,
    /// On its disk.
    Disk,
    /// In the weight store.
    Store,
}

impl WeightSource {
    /// Source for a model, by what an engine has of it outside the accelerator.
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

/// Model that a service's engines can serve.
#[derive(Clone, Debug, PartialEq)]
pub struct ModelSpec {
    /// Accelerator memory of the weights.
    pub weights_mb: u64,
    /// Adapters of the model.
    pub adapters: u32,
    /// Accelerator memory of one adapter.
    pub adapter_mb: u64,
    /// Time of a load from the weight store.
    pub store_load: Duration,
    /// Time of a load from the engine's disk.
    pub disk_load: Duration,
    /// Time of a load from the engine's host memory.
    pub memory_load: Duration,
}

impl ModelSpec {
    /// Time of a load from a source.
    pub fn load_time(&self, source: WeightSource) -> Duration {
        match source {
            WeightSource::Memory => self.memory_load,
            WeightSource::Disk => self.disk_load,
            WeightSource::Store => self.store_load,
        }
    }
}

/// What the engines of a service can hold.
#[derive(Clone, Debug, PartialEq)]
pub struct EngineSpec {
    /// Requests that run together.
    pub batch: u32,
    /// Tokens that fit into the cache of one engine.
    pub cache_tokens: u64,
    /// Accelerator memory for weights and adapters.
    pub weights_mb: u64,
    /// Adapters that one engine holds.
    pub adapter_slots: u32,
    /// Loads from the weight store a second, over all engines.
    pub store_loads_per_s: f64,
    /// Models by name.
    pub models: BTreeMap<ModelId, ModelSpec>,
}

/// Service that upstreams belong to.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceSpec {
    /// Connections that one upstream accepts from all hosts together.
    pub max_connections: u32,
    /// Present if the upstreams are model engines.
    pub engine: Option<Rc<EngineSpec>>,
}

/// Bounds of what callers may send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Largest head of a request.
    pub header_bytes: usize,
    /// Largest body of a request.
    pub body_bytes: usize,
    /// Longest time for the head and the body of a request to arrive.
    pub header_timeout: Duration,
    /// Longest time between two requests on a connection.
    pub idle_timeout: Duration,
}

/// Routes, services and limits of one version.
#[derive(Clone, Debug, PartialEq)]
pub struct Catalog {
    /// Version; only a greater one replaces it.
    pub version: u64,
    /// Routes.
    routes: Vec<Route>,
    /// Positions of routes by host, longest prefix first.
    by_host: HashMap<String, Vec<usize>>,
    /// Shortest pause that the streams of each service aim for.
    shortest_pauses: HashMap<ServiceId, Duration>,
    /// Services by name.
    pub services: BTreeMap<ServiceId, ServiceSpec>,
    /// Bounds of what callers may send.
    pub limits: CallerLimits,
}

impl Catalog {
    /// Catalogue over its parts.
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
        let mut shortest_pauses: HashMap<ServiceId, Duration> = HashMap::new();
        for route in &routes {
            let Some(pause) = route.max_pause else {
                continue;
            };
            for backend in &route.backends {
                let shortest = shortest_pauses.entry(backend.service.clone());
                let shortest = shortest.or_insert(pause);
                *shortest = pause.min(*shortest);
            }
        }
        Self {
            version,
            routes,
            by_host,
            shortest_pauses,
            services,
            limits,
        }
    }

    /// Route of a request: same host, longest prefix of the path.
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

    /// Shortest pause that the streams of a service aim for.
    pub fn shortest_pause(&self, service: &ServiceId) -> Option<Duration> {
        self.shortest_pauses.get(service).copied()
    }

    /// Services with model engines.
    pub fn engines(&self) -> impl Iterator<Item = (&ServiceId, &EngineSpec)> {
        self.services
            .iter()
            .filter_map(|(id, service)| Some((id, service.engine.as_deref()?)))
    }
}
