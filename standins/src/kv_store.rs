//! In-memory store of the key-value stand-in, with revisions, leases and a bounded
//! history of changes for watches.

use std::collections::BTreeMap;

use currantcove::edge::kv_wire::{
    Header, RangeRequest, RangeResponse, RequestOp, ResponseOp, TxnRequest, TxnResponse,
    WatchEvent, WatchEventKind, WireKeyValue,
};

/// Events kept for watches that start at an earlier revision. At the limit the
/// older half is discarded.
const MAX_HISTORY_EVENTS: usize = 100_000;

#[derive(Clone, Debug)]
struct StoredValue {
    value: Vec<u8>,
    mod_revision: u64,
    lease: i64,
}

/// Keys, leases and recent changes.
#[derive(Debug, Default)]
pub struct KvData {
    revision: u64,
    keys: BTreeMap<Vec<u8>, StoredValue>,
    leases: BTreeMap<i64, u64>,
    last_lease: i64,
    history: Vec<(u64, WatchEvent)>,
}

impl KvData {
    /// Revision of the newest change.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Header of a response.
    pub fn header(&self) -> Header {
        Header {
            revision: self.revision,
        }
    }

    /// Reads a key or a range.
    pub fn range(&self, request: &RangeRequest) -> RangeResponse {
        let kvs = match &request.range_end {
            None => self
                .keys
                .get_key_value(&request.key)
                .into_iter()
                .map(to_wire)
                .collect(),
            Some(end) => self
                .keys
                .range(request.key.clone()..end.clone())
                .map(to_wire)
                .collect(),
        };
        RangeResponse {
            header: self.header(),
            kvs,
        }
    }

    /// Executes a transaction; all its writes share one revision.
    pub fn txn(&mut self, txn: &TxnRequest) -> TxnResponse {
        let succeeded = txn
            .compare
            .iter()
            .all(|c| self.keys.get(&c.key).map_or(0, |s| s.mod_revision) == c.mod_revision);
        let ops = if succeeded {
            &txn.success
        } else {
            &txn.failure
        };
        if ops.iter().any(is_write) {
            self.revision += 1;
        }
        let responses = ops.iter().map(|op| self.apply(op)).collect();
        TxnResponse {
            header: self.header(),
            succeeded,
            responses,
        }
    }

    fn apply(&mut self, op: &RequestOp) -> ResponseOp {
        if let Some(put) = &op.request_put {
            let stored = StoredValue {
                value: put.value.clone(),
                mod_revision: self.revision,
                lease: put.lease,
            };
            self.keys.insert(put.key.clone(), stored.clone());
            self.record_event(WatchEventKind::Put, to_wire((&put.key, &stored)));
        }
        if let Some(delete) = &op.request_delete_range {
            self.delete(&delete.key);
        }
        let response_range = op.request_range.as_ref().map(|r| self.range(r));
        ResponseOp { response_range }
    }

    fn delete(&mut self, key: &[u8]) {
        if self.keys.remove(key).is_some() {
            let kv = WireKeyValue {
                key: key.to_vec(),
                mod_revision: self.revision,
                ..WireKeyValue::default()
            };
            self.record_event(WatchEventKind::Delete, kv);
        }
    }

    fn record_event(&mut self, kind: WatchEventKind, kv: WireKeyValue) {
        if self.history.len() == MAX_HISTORY_EVENTS {
            self.history.drain(..MAX_HISTORY_EVENTS / 2);
        }
        self.history.push((self.revision, WatchEvent { kind, kv }));
    }

    /// Changes in a key range since a revision, inclusive.
    pub fn events_since(
        &self,
        key: &[u8],
        range_end: &[u8],
        from_revision: u64,
    ) -> Vec<WatchEvent> {
        let first = self
            .history
            .partition_point(|(revision, _)| *revision < from_revision);
        let in_range =
            |e: &WatchEvent| e.kv.key.as_slice() >= key && e.kv.key.as_slice() < range_end;
        self.history[first..]
            .iter()
            .map(|(_, e)| e)
            .filter(|e| in_range(e))
            .cloned()
            .collect()
    }

    /// Grants a lease and returns its ID.
    pub fn grant_lease(&mut self, expires_ms: u64) -> i64 {
        self.last_lease += 1;
        self.leases.insert(self.last_lease, expires_ms);
        self.last_lease
    }

    /// Removes expired leases with their keys; each lease with keys takes one revision.
    pub fn expire_leases(&mut self, now_ms: u64) {
        let expired: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, expires_ms)| **expires_ms <= now_ms)
            .map(|(id, _)| *id)
            .collect();
        for lease in expired {
            self.leases.remove(&lease);
            let keys: Vec<Vec<u8>> = self
                .keys
                .iter()
                .filter(|(_, s)| s.lease == lease)
                .map(|(k, _)| k.clone())
                .collect();
            self.revision += u64::from(!keys.is_empty());
            for key in keys {
                self.delete(&key);
            }
        }
    }
}

/// True if the operation puts or deletes keys.
pub fn is_write(op: &RequestOp) -> bool {
    op.request_put.is_some() || op.request_delete_range.is_some()
}

fn to_wire((key, stored): (&Vec<u8>, &StoredValue)) -> WireKeyValue {
    WireKeyValue {
        key: key.clone(),
        value: stored.value.clone(),
        mod_revision: stored.mod_revision,
        lease: stored.lease,
    }
}
