//! Traits that adapt the gateway to the platform it runs on.
//!
//! An implementation maps the platform's names, formats and calls; it contains
//! no policy.

use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;

use hyper::header::HeaderMap;
use hyper::http::request;

use crate::core::balance::Weights;
use crate::core::catalog::Catalog;
pub use crate::core::engine_order::Order;
use crate::core::execution::NotRunEvidence;
use crate::core::ids::{AdapterId, ModelId, OrganisationId, UpstreamId};
use crate::core::load::RequestSize;
use crate::core::organisations::KeyDigest;
use crate::core::registry::{Entry, Holdings};
use crate::core::store_era::Era;
use crate::core::upstream_notice::UpstreamNotice;
use crate::edge::kv::{Cas, CasAllOutcome, Change, KvError, Snapshot};

/// Invalid header, configuration or entry of the platform.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct DecodeError {
    /// Name of the field or header.
    pub location: &'static str,
    /// Description of the fault.
    pub problem: String,
}

impl DecodeError {
    /// Error in a field or header.
    pub fn new(location: &'static str, problem: impl Into<String>) -> Self {
        Self {
            location,
            problem: problem.into(),
        }
    }
}

impl fmt::Display for DecodeError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.location, self.problem)
    }
}

impl std::error::Error for DecodeError {}

/// Lease granted by the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Lease {
    /// ID of the lease.
    pub id: u64,
    /// Time to live, counted from the arrival of the call at the store.
    pub ttl: Duration,
}

/// Response to a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum WatchResponse {
    /// All changes after the requested revision, oldest first.
    Changes {
        /// Changes.
        changes: Vec<Change>,
        /// Revision from which to continue the watch.
        revision: u64,
    },
    /// The requested revision is compacted; all keys must be read again.
    Compacted,
}

/// State of a lease after a call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LeaseState {
    /// The lease is in force.
    Alive,
    /// The lease has expired or was ended.
    Ended,
}

/// Key-value store with revisions, transactions, leases and watches.
///
/// Revisions and leases are only valid in the era in which the store returned
/// them. The era is up to date as soon as a call returns.
pub trait FleetStore {
    /// Latest era of the store.
    fn era(&self) -> Era;
    /// Waits until the store's era is another than `era`.
    fn until_era_after(&self, era: Era) -> impl Future<Output = ()>;
    /// Reads all keys with a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Snapshot, KvError>>;
    /// Waits for changes with a prefix after a revision, for at most `wait`.
    fn poll_changes(
        &self,
        prefix: &str,
        after: u64,
        wait: Duration,
    ) -> impl Future<Output = Result<WatchResponse, KvError>>;
    /// Writes all keys in one transaction if all expected revisions match.
    fn commit(&self, writes: &[Cas]) -> impl Future<Output = Result<CasAllOutcome, KvError>>;
    /// Writes one key unconditionally; returns the new revision.
    fn put(
        &self,
        key: &str,
        value: &[u8],
        lease: u64,
    ) -> impl Future<Output = Result<u64, KvError>>;
    /// Grants a lease; the store may choose another time to live.
    fn grant_lease(&self, ttl: Duration) -> impl Future<Output = Result<Lease, KvError>>;
    /// Renews a lease.
    fn renew_lease(&self, lease: u64) -> impl Future<Output = Result<LeaseState, KvError>>;
    /// Ends a lease, which deletes the keys attached to it.
    fn end_lease(&self, lease: u64) -> impl Future<Output = Result<LeaseState, KvError>>;
    /// Number of calls made so far.
    fn call_count(&self) -> u64;
}

/// Sender and preconditions of an order, which the engine checks.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OrderPreconditions {
    /// Acting host that sends the order.
    pub holder: String,
    /// Term of that host; the engine checks it as the fencing token and rejects one
    /// lower than an earlier one.
    pub term: u64,
    /// Number of orders that the engine must have accepted so far.
    pub expected_order_count: u64,
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderReply {
    /// The engine executes the order.
    Accepted,
    /// The engine is in the ordered state already.
    Holds,
    /// Another order is in progress, or the count of accepted orders differs.
    Conflict,
    /// The engine has seen a higher fencing token.
    Fenced,
    /// Another incarnation listens on the address.
    WrongInstance,
    /// The engine rejected the order as invalid.
    Invalid,
    /// The order cannot have reached the engine.
    NotSent,
    /// No response; the order may be executed now, later or never.
    Unknown,
}

/// State that an engine reports; some tenths of a second old.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EngineReport {
    /// Start of the incarnation, in milliseconds since the epoch.
    pub started_ms: u64,
    /// Number of orders accepted since the start.
    pub orders_accepted: u64,
    /// True while a model is being loaded or unloaded.
    pub is_busy: bool,
    /// Models and adapters ready for requests.
    pub resident: Holdings,
    /// Adapters that are being loaded.
    pub loading_adapters: Vec<(ModelId, AdapterId)>,
}

/// Response to an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct OrderResponse {
    /// Outcome of the order.
    pub reply: OrderReply,
    /// Notice in the headers, if there was a response.
    pub notice: UpstreamNotice,
    /// True if the response began and exceeded its limit of size or time.
    pub is_cut_off: bool,
}

/// Response to a request for a report.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReportResponse {
    /// Report; none if there is no valid one.
    pub report: Option<EngineReport>,
    /// Notice in the headers, if there was a response.
    pub notice: UpstreamNotice,
    /// True if the response began and exceeded its limit of size or time.
    pub is_cut_off: bool,
}

/// Client of the engines' control interface.
pub trait EngineControl {
    /// Sends an order.
    fn send_order(
        &self,
        addr: SocketAddr,
        id: &UpstreamId,
        order: &Order,
        preconditions: &OrderPreconditions,
    ) -> impl Future<Output = OrderResponse>;
    /// Requests an engine's state.
    fn fetch_report(&self, addr: SocketAddr) -> impl Future<Output = ReportResponse>;
}

/// Tokens that a request may use, as its caller states them.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StatedTokens {
    /// Those of the prompt and the most that the response may have.
    Tokens(u64),
    /// The caller states none.
    None,
    /// The statement is invalid.
    Invalid,
}

impl StatedTokens {
    /// Stated number, if it is valid.
    pub fn count(self) -> Option<u64> {
        match self {
            Self::Tokens(count) => Some(count),
            Self::None | Self::Invalid => None,
        }
    }
}

/// Decoded headers of a caller's request.
#[derive(Clone, Debug, PartialEq)]
pub struct RequestHead {
    /// ID of the request.
    pub request_id: String,
    /// Time for which the caller waits, if stated.
    pub deadline: Option<Duration>,
    /// Requested weights.
    pub weights: Option<Weights>,
    /// Size of the prompt and the expected response.
    pub size: RequestSize,
    /// Tokens that count against the organisation's quota.
    pub tokens: StatedTokens,
    /// Digest of the caller's key, if there is exactly one.
    pub key: Option<KeyDigest>,
    /// ID of the last event that the caller has received, if it resumes a stream.
    pub last_event_id: Option<String>,
    /// ID of the caller's request that began the stream that it resumes.
    pub resumes: Option<String>,
    /// IDs of the parts of its prompt, first part first.
    pub prompt_parts: Vec<String>,
}

/// Values of the headers that the gateway adds to a forwarded request.
#[derive(Clone, Copy, Debug)]
pub struct ForwardingHeaders<'a> {
    /// The only upstream that may execute the request.
    pub upstream: &'a UpstreamId,
    /// Time until the deadline.
    pub time_left: Duration,
    /// Priority in the upstream's queue, if the route has one.
    pub priority: Option<u8>,
    /// ID of the last event that the caller has received, to resume a stream.
    pub last_event_id: Option<&'a str>,
    /// Organisation of the caller, if requests need a key.
    pub organisation: Option<&'a OrganisationId>,
}

/// Kind of an upstream's response, by its status and headers.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ResponseKind {
    /// Response to this request, to be passed on unchanged; signed if it is a
    /// success.
    Valid,
    /// The upstream did not execute the request.
    NotRun {
        /// True if the address belongs to another upstream, or the upstream
        /// does not hold the weights.
        is_misdirected: bool,
        /// The upstream's statement about this request.
        evidence: NotRunEvidence,
    },
    /// Status that promises that a request was not run, without a statement that names
    /// this request.
    Unproven {
        /// True if the response names this request.
        is_named: bool,
    },
    /// Response to another request, or without the required signature.
    Invalid,
}

/// HTTP paths and headers that callers and upstreams use.
pub trait Dialect {
    /// Path of the readiness probe.
    const READY_PATH: &'static str;
    /// Path of the metrics.
    const METRICS_PATH: &'static str;
    /// Decodes the headers of a caller's request.
    fn parse_request_head(&self, head: &request::Parts) -> Result<RequestHead, DecodeError>;
    /// Removes the caller's key, and what it states of its organisation.
    fn remove_credentials(&self, headers: &mut HeaderMap);
    /// Headers of a request to an upstream.
    fn forward_headers(&self, from: &HeaderMap, forwarding: &ForwardingHeaders<'_>) -> HeaderMap;
    /// Classifies an upstream's response to the request with an ID.
    fn classify_response(&self, status: u16, headers: &HeaderMap, request_id: &str)
    -> ResponseKind;
    /// Notice of the upstream that sent a response.
    fn notice(&self, status: u16, headers: &HeaderMap) -> UpstreamNotice;
    /// Headers of an upstream's response that are passed on to the caller.
    fn response_headers(&self, from: &HeaderMap) -> HeaderMap;
    /// Sets the time after which a rejected caller may retry.
    fn set_retry_after(&self, headers: &mut HeaderMap, after: Duration);
    /// Sets the ID of the request on a response of the gateway itself.
    fn set_request_id(&self, headers: &mut HeaderMap, request_id: &str);
}

/// Keys and decoders of the store's entries.
pub trait StoreLayout {
    /// Prefix of all watched keys.
    const WATCH_PREFIX: &'static str;
    /// Prefix of the keys that the gateway writes.
    const GATEWAY_PREFIX: &'static str;
    /// Key of the operators' configuration.
    const CATALOG_KEY: &'static str;
    /// Prefix of the upstreams' keys, followed by the upstream's ID.
    const UPSTREAM_PREFIX: &'static str;
    /// Decodes the operators' configuration.
    fn catalog(&self, value: &[u8]) -> Result<Catalog, DecodeError>;
    /// Decodes one upstream's entry.
    fn upstream(&self, id: &str, value: &[u8]) -> Result<Entry, DecodeError>;
}

/// Platform on which the gateway runs.
pub trait Platform: Dialect + EngineControl + StoreLayout + 'static {
    /// Client of the platform's store.
    type Store: FleetStore;
    /// Client of the platform's store.
    fn store(&self) -> &Self::Store;
}
