//! The platform's key-value service, by etcd's v3 JSON gateway.
//!
//! A write whose answer is lost may have taken effect; callers get
//! [`KvError::Unknown`] then and read back before they conclude anything.

use std::cell::Cell;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::Request;
use hyper::header::{CONTENT_TYPE, HOST};
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::body::{self, ReadError};
use super::kv_wire::{
    Compare, LeaseGrantRequest, LeaseGrantResponse, RangeRequest, RangeResponse, RequestOp,
    ResponseOp, TxnRequest, TxnResponse, WatchCreate, WatchMessage, WatchRequest,
};
use super::pool::{Pool, PooledBody, SendError};

/// Longest time for one call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Largest answer in bytes; values are at most a megabyte.
const MAX_ANSWER_BYTES: usize = 64 * 1024 * 1024;
/// Largest line of a watch in bytes.
const MAX_WATCH_LINE_BYTES: usize = 4 * 1024 * 1024;

/// Why a call has no result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KvError {
    /// The call cannot have taken effect.
    NotSent,
    /// The call may have taken effect.
    Unknown,
    /// The service refused the call, and it has not taken effect.
    Refused,
}

impl KvError {
    /// Short name for logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_reached",
            Self::Unknown => "no_answer",
            Self::Refused => "refused",
        }
    }
}

/// Key, value and revisions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyValue {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the last change.
    pub mod_revision: u64,
}

/// Values under a prefix, and the revision at which they were read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// Revision of the whole store.
    pub revision: u64,
    /// Values.
    pub kvs: Vec<KeyValue>,
}

/// One write, made only if its condition holds.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cas {
    /// Key.
    pub key: String,
    /// Revision that must stand; 0 for a key that must not exist.
    pub expected_revision: u64,
    /// New value; `None` deletes.
    pub value: Option<Vec<u8>>,
    /// Lease of the new value; 0 for none.
    pub lease: i64,
}

/// Result of a compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CasOutcome {
    /// Written at this revision.
    Written(u64),
    /// Another revision stands; `None` if the key does not exist.
    Conflict(Option<KeyValue>),
}

/// Result of several compare-and-swaps in one transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CasAllOutcome {
    /// All were written at this revision.
    Written(u64),
    /// None was written; what stands under each key, in order.
    Conflict(Vec<Option<KeyValue>>),
}

/// Change seen by a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// Key was written.
    Put(KeyValue),
    /// Key was deleted at this revision.
    Delete {
        /// Key.
        key: String,
        /// Revision of the deletion.
        mod_revision: u64,
    },
}

/// What the system needs of the platform's service.
pub trait KvStore {
    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<KeyValue>, KvError>>;
    /// Reads all keys under a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Snapshot, KvError>>;
    /// Writes one key if its revision stands.
    fn cas(&self, cas: Cas) -> impl Future<Output = Result<CasOutcome, KvError>>;
    /// Grants a lease of some seconds.
    fn grant(&self, ttl_s: u64) -> impl Future<Output = Result<i64, KvError>>;
}

/// Client of the service.
#[derive(Debug)]
pub struct EtcdClient {
    addr: SocketAddr,
    pool: Pool,
    calls: Cell<u64>,
}

impl EtcdClient {
    /// Client of the service at an address.
    pub fn new(addr: SocketAddr, pool: Pool) -> Self {
        Self {
            addr,
            pool,
            calls: Cell::new(0),
        }
    }

    /// Calls made so far; an open watch counts as one.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// Writes all keys if all revisions stand.
    pub async fn cas_all(&self, writes: &[Cas]) -> Result<CasAllOutcome, KvError> {
        let txn = TxnRequest {
            compare: writes.iter().map(Compare::from).collect(),
            success: writes.iter().map(RequestOp::from).collect(),
            failure: writes.iter().map(|w| RequestOp::read(&w.key)).collect(),
        };
        let answer: TxnResponse = self.call("/v3/kv/txn", &txn).await?;
        if answer.succeeded {
            return Ok(CasAllOutcome::Written(answer.header.revision));
        }
        let first = |r: ResponseOp| r.response_range?.kvs.into_iter().next().map(KeyValue::from);
        Ok(CasAllOutcome::Conflict(
            answer.responses.into_iter().map(first).collect(),
        ))
    }

    /// Opens a watch on a prefix, from a revision on.
    pub async fn watch(&self, prefix: &str, from_revision: u64) -> Result<Watch, KvError> {
        let create = WatchRequest {
            create_request: WatchCreate {
                key: prefix.as_bytes().to_vec(),
                range_end: prefix_end(prefix),
                start_revision: from_revision,
            },
        };
        let body = self.send("/v3/watch", &create).await?;
        Ok(Watch {
            body,
            buffer: Vec::new(),
        })
    }

    async fn call<Q: Serialize, A: DeserializeOwned>(
        &self,
        path: &str,
        question: &Q,
    ) -> Result<A, KvError> {
        let exchange = async {
            let body = self.send(path, question).await?;
            let read = body::read(body, MAX_ANSWER_BYTES, CALL_TIMEOUT).await;
            let bytes = read.map_err(|_: ReadError| KvError::Unknown)?;
            serde_json::from_slice(&bytes).map_err(|_| KvError::Unknown)
        };
        compio::time::timeout(CALL_TIMEOUT, exchange)
            .await
            .unwrap_or(Err(KvError::Unknown))
    }

    async fn send<Q: Serialize>(&self, path: &str, question: &Q) -> Result<PooledBody, KvError> {
        self.calls.set(self.calls.get() + 1);
        let json = serde_json::to_vec(question).map_err(|_| KvError::NotSent)?;
        let request = Request::post(path)
            .header(HOST, self.addr.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(json)))
            .map_err(|_| KvError::NotSent)?;
        let response = self
            .pool
            .send(self.addr, request)
            .await
            .map_err(|e| match e {
                SendError::NotSent => KvError::NotSent,
                SendError::Sent => KvError::Unknown,
            })?;
        match response.status().as_u16() {
            200 => Ok(response.into_body()),
            400..=499 | 503 => Err(KvError::Refused),
            _ => Err(KvError::Unknown),
        }
    }
}

impl KvStore for EtcdClient {
    async fn get(&self, key: &str) -> Result<Option<KeyValue>, KvError> {
        let question = RangeRequest {
            key: key.as_bytes().to_vec(),
            range_end: None,
        };
        let answer: RangeResponse = self.call("/v3/kv/range", &question).await?;
        Ok(answer.kvs.into_iter().next().map(KeyValue::from))
    }

    async fn list(&self, prefix: &str) -> Result<Snapshot, KvError> {
        let question = RangeRequest {
            key: prefix.as_bytes().to_vec(),
            range_end: Some(prefix_end(prefix)),
        };
        let answer: RangeResponse = self.call("/v3/kv/range", &question).await?;
        let kvs = answer.kvs.into_iter().map(KeyValue::from).collect();
        Ok(Snapshot {
            revision: answer.header.revision,
            kvs,
        })
    }

    async fn cas(&self, cas: Cas) -> Result<CasOutcome, KvError> {
        Ok(match self.cas_all(std::slice::from_ref(&cas)).await? {
            CasAllOutcome::Written(revision) => CasOutcome::Written(revision),
            CasAllOutcome::Conflict(found) => {
                CasOutcome::Conflict(found.into_iter().next().flatten())
            }
        })
    }

    async fn grant(&self, ttl_s: u64) -> Result<i64, KvError> {
        let answer: LeaseGrantResponse = self
            .call("/v3/lease/grant", &LeaseGrantRequest { ttl_s })
            .await?;
        Ok(answer.id)
    }
}

/// Open watch.
#[derive(Debug)]
pub struct Watch {
    body: PooledBody,
    buffer: Vec<u8>,
}

impl Watch {
    /// Waits for the next changes; an error ends the watch.
    pub async fn next(&mut self) -> Result<Vec<Change>, KvError> {
        loop {
            if let Some(end) = self.buffer.iter().position(|&b| b == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return parse_watch_line(&line);
            }
            if self.buffer.len() > MAX_WATCH_LINE_BYTES {
                return Err(KvError::Unknown);
            }
            let frame = self.body.frame().await.ok_or(KvError::Unknown)?;
            let frame = frame.map_err(|_| KvError::Unknown)?;
            if let Ok(data) = frame.into_data() {
                self.buffer.extend_from_slice(&data);
            }
        }
    }
}

fn parse_watch_line(line: &[u8]) -> Result<Vec<Change>, KvError> {
    let message: WatchMessage = serde_json::from_slice(line).map_err(|_| KvError::Unknown)?;
    if message.result.canceled {
        return Err(KvError::Unknown);
    }
    Ok(message
        .result
        .events
        .into_iter()
        .map(Change::from)
        .collect())
}

/// End of the range of keys that begin with a prefix.
pub fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    if let Some(last) = end.last_mut() {
        *last += 1;
    }
    end
}
