//! What the gateway needs of the platform it runs on.
//!
//! An adapter implements these traits. It knows names, formats and calls; it
//! decides nothing.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::header::HeaderMap;
use hyper::http::request;

use crate::core::balance::Weights;
use crate::core::catalog::Catalog;
use crate::core::ids::{AdapterId, ModelId, UpstreamId};
use crate::core::load::RequestSize;
use crate::core::registry::{Entry, Holdings};
use crate::edge::kv::{Cas, CasAllOutcome, Change, KvError, Snapshot};

/// Why something of the platform could not be decoded.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecodeError {
    /// Field or header.
    pub place: &'static str,
    /// What is wrong with it.
    pub problem: String,
}

impl DecodeError {
    /// Error at a place.
    pub fn new(place: &'static str, problem: impl Into<String>) -> Self {
        Self {
            place,
            problem: problem.into(),
        }
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.place, self.problem)
    }
}

impl std::error::Error for DecodeError {}

/// Lease that the store granted.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// Number.
    pub id: u64,
    /// Time to live, counted from the arrival of the call.
    pub ttl: Duration,
}

/// Changes since a revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Changes {
    /// All changes up to a revision, oldest first.
    Since {
        /// Changes.
        changes: Vec<Change>,
        /// Revision to go on from.
        revision: u64,
    },
    /// The history since then is gone; everything must be read again.
    Compacted,
}

/// Result of a call on a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseState {
    /// It goes on.
    Alive,
    /// It has ended.
    Ended,
}

/// Key-value store with revisions, transactions, leases and watches.
pub trait FleetStore {
    /// Reads all keys under a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Snapshot, KvError>>;
    /// Waits for changes under a prefix after a revision.
    fn changes(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<Changes, KvError>>;
    /// Writes all keys if all revisions stand.
    fn commit(&self, writes: &[Cas]) -> impl Future<Output = Result<CasAllOutcome, KvError>>;
    /// Writes one key, whatever stands there.
    fn put(
        &self,
        key: &str,
        value: &[u8],
        lease: u64,
    ) -> impl Future<Output = Result<u64, KvError>>;
    /// Grants a lease.
    fn grant(&self, ttl: Duration) -> impl Future<Output = Result<Lease, KvError>>;
    /// Renews a lease.
    fn renew(&self, lease: u64) -> impl Future<Output = Result<LeaseState, KvError>>;
    /// Ends a lease.
    fn end(&self, lease: u64) -> impl Future<Output = Result<LeaseState, KvError>>;
    /// Calls made so far.
    fn calls(&self) -> u64;
}

/// Order to a model engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Load a model.
    LoadModel(ModelId),
    /// Unload a model, its adapters and what it cached.
    UnloadModel(ModelId),
    /// Load an adapter of a model that is held.
    LoadAdapter(ModelId, AdapterId),
    /// Unload an adapter.
    UnloadAdapter(ModelId, AdapterId),
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LoadModel(model) => write!(f, "load {model}"),
            Self::UnloadModel(model) => write!(f, "unload {model}"),
            Self::LoadAdapter(model, adapter) => write!(f, "load {model}/{adapter}"),
            Self::UnloadAdapter(model, adapter) => write!(f, "unload {model}/{adapter}"),
        }
    }
}

/// Authority under which an order is given.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Authority {
    /// Host that gives it.
    pub holder: String,
    /// Fencing number; never lower than an earlier one.
    pub fence: u64,
    /// Orders that the engine must have accepted so far.
    pub after_orders: u64,
}

/// What became of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderReply {
    /// It is being carried out.
    Accepted,
    /// What it asks for holds already.
    Holds,
    /// Another order is under way, or the count of orders differs.
    Conflict,
    /// A higher fencing number was seen.
    Fenced,
    /// Another incarnation has the address.
    WrongInstance,
    /// The engine rejects it as invalid.
    Invalid,
    /// It cannot have reached the engine.
    NotSent,
    /// It may take effect now, later or never.
    Unknown,
}

/// What an engine says of itself; some tenths of a second old.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Start of the incarnation, in milliseconds since the epoch.
    pub started_ms: u64,
    /// Orders accepted since the start.
    pub orders_accepted: u64,
    /// True while a model is being loaded or unloaded.
    pub is_busy: bool,
    /// Models and adapters ready for requests.
    pub holds: Holdings,
    /// Adapters that are being loaded.
    pub coming: Vec<(ModelId, AdapterId)>,
}

/// Control of model engines.
pub trait EngineControl {
    /// Sends an order.
    fn order(
        &self,
        addr: SocketAddr,
        id: &UpstreamId,
        order: &Order,
        authority: &Authority,
    ) -> impl Future<Output = OrderReply>;
    /// Asks an engine for its state.
    fn report(&self, addr: SocketAddr) -> impl Future<Output = Option<EngineReport>>;
}

/// What the head of a caller's request says.
#[derive(Clone, Debug, PartialEq)]
pub struct CallHead {
    /// Name of the request.
    pub request_id: String,
    /// Time that the caller waits; absent if it does not say.
    pub deadline: Option<Duration>,
    /// Weights that it asks for.
    pub weights: Option<Weights>,
    /// Size of its prompt and answer.
    pub demand: RequestSize,
    /// Number of the last event that the caller has, if it resumes a stream.
    pub resumes_after: Option<String>,
}

/// What the system adds to a request that it passes on.
#[derive(Clone, Copy, Debug)]
pub struct Forwarding<'a> {
    /// The only upstream that may run it.
    pub upstream: &'a UpstreamId,
    /// Time that is left.
    pub time_left: Duration,
    /// Rank among the requests of the upstream, if the route has one.
    pub priority: Option<u8>,
    /// Last event that the caller has, to resume a stream.
    pub resume_after: Option<&'a str>,
}

/// What the head of an upstream's answer says.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AnswerHead {
    /// Signed answer to this request, to be passed on as it is.
    Proper,
    /// The upstream states that it did not run the request.
    NotRun {
        /// True if the address belongs to another upstream, or the weights
        /// are not there.
        is_misdirected: bool,
    },
    /// Not an answer to this request, or not signed.
    Foreign,
}

/// How callers and upstreams speak.
pub trait Dialect {
    /// Path of the readiness probe.
    const READY_PATH: &'static str;
    /// Path for metrics on the metrics address.
    const METRICS_PATH: &'static str;
    /// Reads the head of a caller's request.
    fn call_head(&self, head: &request::Parts) -> Result<CallHead, DecodeError>;
    /// Headers to pass on to an upstream.
    fn forward_headers(&self, from: &HeaderMap, forwarding: &Forwarding<'_>) -> HeaderMap;
    /// Reads the head of an upstream's answer to a request.
    fn answer_head(&self, status: u16, headers: &HeaderMap, request_id: &str) -> AnswerHead;
    /// Headers of an upstream's answer to pass on to the caller.
    fn answer_headers(&self, from: &HeaderMap) -> HeaderMap;
    /// Adds the time after which a refused caller may come back.
    fn set_retry_after(&self, headers: &mut HeaderMap, after: Duration);
    /// Adds the name of the request to an answer of the system's own.
    fn set_request_id(&self, headers: &mut HeaderMap, request_id: &str);
}

/// Where the platform keeps what the gateway reads, and how to decode it.
pub trait Listings {
    /// Prefix of everything to watch.
    const WATCH_PREFIX: &'static str;
    /// Prefix of the system's own keys.
    const OWN_PREFIX: &'static str;
    /// Key of the operators' configuration.
    const CATALOG_KEY: &'static str;
    /// Prefix of upstreams' entries, followed by their name.
    const UPSTREAM_PREFIX: &'static str;
    /// Decodes the operators' configuration.
    fn catalog(&self, value: &[u8]) -> Result<Catalog, DecodeError>;
    /// Decodes one upstream's entry.
    fn upstream(&self, id: &str, value: &[u8]) -> Result<Entry, DecodeError>;
}

/// Everything the gateway needs of a platform.
pub trait Platform: Dialect + EngineControl + Listings + 'static {
    /// Store of the platform.
    type Store: FleetStore;
    /// Store of the platform.
    fn store(&self) -> &Self::Store;
}
