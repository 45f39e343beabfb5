//! Store behind the key-value stand-in: revisions, leases, history.

use std::collections::BTreeMap;

use currantcove::edge::kv_wire::{
    Header, RangeRequest, RangeResponse, RequestOp, ResponseOp, TxnRequest, TxnResponse,
    WatchEvent, WatchEventKind, WireKeyValue,
};

/// Events kept for watches that begin in the past.
const HISTORY_EVENTS: usize = 100_000;

#[derive(Clone, Debug)]
struct Stored {
    value: Vec<u8>,
    mod_revision: u64,
    lease: i64,
}

/// Keys, leases and the newest changes.
#[derive(Debug, Default)]
pub struct KvData {
    revision: u64,
    keys: BTreeMap<Vec<u8>, Stored>,
    leases: BTreeMap<i64, u64>,
    next_lease: i64,
    history: Vec<(u64, WatchEvent)>,
}

impl KvData {
    /// Revision of the whole store.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Header of an answer.
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
                .map(wire)
                .collect(),
            Some(end) => self
                .keys
                .range(request.key.clone()..end.clone())
                .map(wire)
                .collect(),
        };
        RangeResponse {
            header: self.header(),
            kvs,
        }
    }

    /// Runs a transaction; all its writes share one revision.
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
            let stored = Stored {
                value: put.value.clone(),
                mod_revision: self.revision,
                lease: put.lease,
            };
            self.keys.insert(put.key.clone(), stored.clone());
            self.log(WatchEventKind::Put, wire((&put.key, &stored)));
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
            self.log(WatchEventKind::Delete, kv);
        }
    }

    fn log(&mut self, kind: WatchEventKind, kv: WireKeyValue) {
        if self.history.len() == HISTORY_EVENTS {
            self.history.drain(..HISTORY_EVENTS / 2);
        }
        self.history.push((self.revision, WatchEvent { kind, kv }));
    }

    /// Changes of a range from a revision on.
    pub fn changes(&self, key: &[u8], range_end: &[u8], from: u64) -> Vec<WatchEvent> {
        let first = self
            .history
            .partition_point(|(revision, _)| *revision < from);
        let in_range =
            |e: &WatchEvent| e.kv.key.as_slice() >= key && e.kv.key.as_slice() < range_end;
        self.history[first..]
            .iter()
            .map(|(_, e)| e)
            .filter(|e| in_range(e))
            .cloned()
            .collect()
    }

    /// Grants a lease.
    pub fn grant(&mut self, expires_ms: u64) -> i64 {
        self.next_lease += 1;
        self.leases.insert(self.next_lease, expires_ms);
        self.next_lease
    }

    /// Deletes the keys of leases that have run out.
    pub fn expire(&mut self, now_ms: u64) {
        let ended: Vec<i64> = self
            .leases
            .iter()
            .filter(|(_, t)| **t <= now_ms)
            .map(|(id, _)| *id)
            .collect();
        for lease in ended {
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

/// True if the operation changes the store.
pub fn is_write(op: &RequestOp) -> bool {
    op.request_put.is_some() || op.request_delete_range.is_some()
}

fn wire((key, stored): (&Vec<u8>, &Stored)) -> WireKeyValue {
    WireKeyValue {
        key: key.clone(),
        value: stored.value.clone(),
        mod_revision: stored.mod_revision,
        lease: stored.lease,
    }
}
