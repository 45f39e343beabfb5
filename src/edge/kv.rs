//! Client of the platform's key-value service over etcd's v3 JSON gateway.
//!
//! A write whose response is lost may have taken effect. The call then returns
//! [`KvError::Unknown`], and the key must be read back to find the outcome.

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

/// Timeout of one call.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Maximum size of a response; a single value has at most one megabyte.
const MAX_RESPONSE_BYTES: usize = 64 * 1024 * 1024;
/// Maximum size of one line of a watch.
const MAX_WATCH_LINE_BYTES: usize = 4 * 1024 * 1024;

/// Error of a call to the service.
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
    /// Name in log lines.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotSent => "not_reached",
            Self::Unknown => "no_answer",
            Self::Refused => "refused",
        }
    }
}

/// Key, value and revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyValue {
    /// Key.
    pub key: String,
    /// Value.
    pub value: Vec<u8>,
    /// Revision of the last modification.
    pub mod_revision: u64,
}

/// Key-value pairs under a prefix, and the revision at which they were read.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Snapshot {
    /// Revision of the whole store.
    pub revision: u64,
    /// Key-value pairs.
    pub kvs: Vec<KeyValue>,
}

/// Compare-and-swap of one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Cas {
    /// Key.
    pub key: String,
    /// Revision that the key must have; 0 if the key must not exist.
    pub expected_revision: u64,
    /// New value; `None` deletes the key.
    pub value: Option<Vec<u8>>,
    /// Lease attached to the new value; 0 for none.
    pub lease: i64,
}

/// Result of a compare-and-swap.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CasOutcome {
    /// The key was written at this revision.
    Written(u64),
    /// The key has another revision; `None` if it does not exist.
    Conflict(Option<KeyValue>),
}

/// Result of several compare-and-swaps in one transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CasAllOutcome {
    /// All keys were written at this revision.
    Written(u64),
    /// No key was written; holds the current state of each key, in order.
    Conflict(Vec<Option<KeyValue>>),
}

/// Change reported by a watch.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Change {
    /// The key was written.
    Put(KeyValue),
    /// The key was deleted.
    Delete {
        /// Key.
        key: String,
        /// Revision of the deletion.
        mod_revision: u64,
    },
}

/// Operations on the platform's key-value service.
pub trait KvStore {
    /// Reads one key.
    fn get(&self, key: &str) -> impl Future<Output = Result<Option<KeyValue>, KvError>>;
    /// Reads all keys under a prefix.
    fn list(&self, prefix: &str) -> impl Future<Output = Result<Snapshot, KvError>>;
    /// Writes one key if it still has the expected revision.
    fn cas(&self, cas: Cas) -> impl Future<Output = Result<CasOutcome, KvError>>;
    /// Grants a lease with a time to live in seconds.
    fn grant(&self, ttl_s: u64) -> impl Future<Output = Result<i64, KvError>>;
}

/// Client of the key-value service.
#[derive(Debug)]
pub struct EtcdClient {
    addr: SocketAddr,
    pool: Pool,
    calls: Cell<u64>,
}

impl EtcdClient {
    /// Creates a client of the service at an address.
    pub fn new(addr: SocketAddr, pool: Pool) -> Self {
        Self {
            addr,
            pool,
            calls: Cell::new(0),
        }
    }

    /// Number of calls made so far; a watch counts as one call.
    pub fn calls(&self) -> u64 {
        self.calls.get()
    }

    /// Writes all keys in one transaction if all of them still have their expected
    /// revisions.
    pub async fn cas_all(&self, writes: &[Cas]) -> Result<CasAllOutcome, KvError> {
        let txn = TxnRequest {
            compare: writes.iter().map(Compare::from).collect(),
            success: writes.iter().map(RequestOp::from).collect(),
            failure: writes.iter().map(|w| RequestOp::read(&w.key)).collect(),
        };
        let response: TxnResponse = self.call("/v3/kv/txn", &txn).await?;
        if response.succeeded {
            return Ok(CasAllOutcome::Written(response.header.revision));
        }
        let first_kv = |r: ResponseOp| r.response_range?.kvs.into_iter().next().map(KeyValue::from);
        Ok(CasAllOutcome::Conflict(
            response.responses.into_iter().map(first_kv).collect(),
        ))
    }

    /// Opens a watch on a prefix that reports the changes from a revision on.
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
            searched_bytes: 0,
        })
    }

    async fn call<M: Serialize, R: DeserializeOwned>(
        &self,
        path: &str,
        message: &M,
    ) -> Result<R, KvError> {
        let exchange = async {
            let body = self.send(path, message).await?;
            let read = body::read(body, MAX_RESPONSE_BYTES, CALL_TIMEOUT).await;
            let bytes = read.map_err(|_: ReadError| KvError::Unknown)?;
            serde_json::from_slice(&bytes).map_err(|_| KvError::Unknown)
        };
        compio::time::timeout(CALL_TIMEOUT, exchange)
            .await
            .unwrap_or(Err(KvError::Unknown))
    }

    async fn send<M: Serialize>(&self, path: &str, message: &M) -> Result<PooledBody, KvError> {
        self.calls.set(self.calls.get() + 1);
        let json = serde_json::to_vec(message).map_err(|_| KvError::NotSent)?;
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
                SendError::NotConnected | SendError::NotSent => KvError::NotSent,
                SendError::MaybeSent | SendError::HeldUp => KvError::Unknown,
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
        let request = RangeRequest {
            key: key.as_bytes().to_vec(),
            range_end: None,
        };
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        Ok(response.kvs.into_iter().next().map(KeyValue::from))
    }

    async fn list(&self, prefix: &str) -> Result<Snapshot, KvError> {
        let request = RangeRequest {
            key: prefix.as_bytes().to_vec(),
            range_end: Some(prefix_end(prefix)),
        };
        let response: RangeResponse = self.call("/v3/kv/range", &request).await?;
        let kvs = response.kvs.into_iter().map(KeyValue::from).collect();
        Ok(Snapshot {
            revision: response.header.revision,
            kvs,
        })
    }

    async fn cas(&self, cas: Cas) -> Result<CasOutcome, KvError> {
        Ok(match self.cas_all(std::slice::from_ref(&cas)).await? {
            CasAllOutcome::Written(revision) => CasOutcome::Written(revision),
            CasAllOutcome::Conflict(current) => {
                CasOutcome::Conflict(current.into_iter().next().flatten())
            }
        })
    }

    async fn grant(&self, ttl_s: u64) -> Result<i64, KvError> {
        let response: LeaseGrantResponse = self
            .call("/v3/lease/grant", &LeaseGrantRequest { ttl_s })
            .await?;
        Ok(response.id)
    }
}

/// Open watch on a prefix.
#[derive(Debug)]
pub struct Watch {
    body: PooledBody,
    buffer: Vec<u8>,
    /// Bytes at the start of the buffer that contain no end of a line.
    searched_bytes: usize,
}

impl Watch {
    /// Waits for the next changes; the watch ends with the first error.
    pub async fn next(&mut self) -> Result<Vec<Change>, KvError> {
        loop {
            let unsearched = &self.buffer[self.searched_bytes..];
            if let Some(at) = unsearched.iter().position(|&b| b == b'\n') {
                let end = self.searched_bytes + at;
                self.searched_bytes = 0;
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return parse_watch_line(&line);
            }
            self.searched_bytes = self.buffer.len();
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

/// Exclusive end of the range of keys that start with a prefix.
pub fn prefix_end(prefix: &str) -> Vec<u8> {
    let mut end = prefix.as_bytes().to_vec();
    match end.last_mut() {
        // No byte of a string is 0xff.
        Some(last) => *last += 1,
        // A single zero byte stands for the end of all keys.
        None => end.push(0),
    }
    end
}
