//! Messages of etcd's v3 JSON gateway, limited to the fields in use.

use serde::{Deserialize, Serialize};
use serde_with::{DisplayFromStr, base64::Base64, serde_as};

use super::kv::{Cas, Change, KeyValue};

/// Header of every response.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct Header {
    /// Revision of the store.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default)]
    pub revision: u64,
}

/// `KeyValue` of the protocol.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WireKeyValue {
    /// Key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// Value.
    #[serde_as(as = "Base64")]
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub value: Vec<u8>,
    /// Revision of the last modification.
    #[serde_as(as = "DisplayFromStr")]
    pub mod_revision: u64,
    /// Lease; 0 for none.
    #[serde_as(as = "DisplayFromStr")]
    pub lease: i64,
}

impl From<WireKeyValue> for KeyValue {
    fn from(wire: WireKeyValue) -> Self {
        Self {
            key: String::from_utf8_lossy(&wire.key).into_owned(),
            value: wire.value,
            mod_revision: wire.mod_revision,
        }
    }
}

/// `RangeRequest` of the protocol.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct RangeRequest {
    /// First key of the range.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// Exclusive end of the range; absent for a single key.
    #[serde_as(as = "Option<Base64>")]
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub range_end: Option<Vec<u8>>,
}

/// `RangeResponse` of the protocol.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct RangeResponse {
    /// Header.
    pub header: Header,
    /// Key-value pairs.
    #[serde(default)]
    pub kvs: Vec<WireKeyValue>,
}

/// `PutRequest` of the protocol.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct PutRequest {
    /// Key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// Value.
    #[serde_as(as = "Base64")]
    #[serde(default)]
    pub value: Vec<u8>,
    /// Lease; 0 for none.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default)]
    pub lease: i64,
}

/// `RequestOp` of the protocol: exactly one field is set.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct RequestOp {
    /// Read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_range: Option<RangeRequest>,
    /// Write.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_put: Option<PutRequest>,
    /// Deletion.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request_delete_range: Option<RangeRequest>,
}

impl RequestOp {
    /// Creates a read of one key.
    pub fn read(key: &str) -> Self {
        let range = RangeRequest {
            key: key.as_bytes().to_vec(),
            range_end: None,
        };
        Self {
            request_range: Some(range),
            ..Self::default()
        }
    }
}

impl From<&Cas> for RequestOp {
    fn from(cas: &Cas) -> Self {
        let key = cas.key.as_bytes().to_vec();
        match &cas.value {
            Some(value) => {
                let put = PutRequest {
                    key,
                    value: value.clone(),
                    lease: cas.lease,
                };
                Self {
                    request_put: Some(put),
                    ..Self::default()
                }
            }
            None => {
                let delete = RangeRequest {
                    key,
                    range_end: None,
                };
                Self {
                    request_delete_range: Some(delete),
                    ..Self::default()
                }
            }
        }
    }
}

/// `Compare` of the protocol, on the revision of the last modification.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct Compare {
    /// Key.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// Always `EQUAL`.
    pub result: CompareResult,
    /// Always `MOD`.
    pub target: CompareTarget,
    /// Expected revision; 0 if the key must not exist.
    #[serde_as(as = "DisplayFromStr")]
    pub mod_revision: u64,
}

/// Comparison operator.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareResult {
    /// Equal.
    Equal,
}

/// Field to compare.
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum CompareTarget {
    /// Revision of the last modification.
    Mod,
}

impl From<&Cas> for Compare {
    fn from(cas: &Cas) -> Self {
        Self {
            key: cas.key.as_bytes().to_vec(),
            result: CompareResult::Equal,
            target: CompareTarget::Mod,
            mod_revision: cas.expected_revision,
        }
    }
}

/// `TxnRequest` of the protocol.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnRequest {
    /// Conditions.
    pub compare: Vec<Compare>,
    /// Operations to run if all conditions hold.
    pub success: Vec<RequestOp>,
    /// Operations to run otherwise.
    pub failure: Vec<RequestOp>,
}

/// `ResponseOp` of the protocol.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct ResponseOp {
    /// Result of a read.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub response_range: Option<RangeResponse>,
}

/// `TxnResponse` of the protocol.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct TxnResponse {
    /// Header.
    pub header: Header,
    /// True if all conditions held.
    pub succeeded: bool,
    /// Results of the operations.
    pub responses: Vec<ResponseOp>,
}

/// `LeaseGrantRequest` of the protocol.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Serialize)]
pub struct LeaseGrantRequest {
    /// Time to live in seconds.
    #[serde(rename = "TTL")]
    #[serde_as(as = "DisplayFromStr")]
    pub ttl_s: u64,
}

/// `LeaseGrantResponse` of the protocol.
#[serde_as]
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct LeaseGrantResponse {
    /// Header.
    pub header: Header,
    /// Lease.
    #[serde(rename = "ID")]
    #[serde_as(as = "DisplayFromStr")]
    pub id: i64,
}

/// `WatchRequest` of the protocol.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WatchRequest {
    /// Watch to create.
    pub create_request: WatchCreate,
}

/// `WatchCreateRequest` of the protocol.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct WatchCreate {
    /// First key of the range.
    #[serde_as(as = "Base64")]
    pub key: Vec<u8>,
    /// Exclusive end of the range.
    #[serde_as(as = "Base64")]
    pub range_end: Vec<u8>,
    /// First revision to report.
    #[serde_as(as = "DisplayFromStr")]
    #[serde(default)]
    pub start_revision: u64,
}

/// One line of a watch response.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct WatchMessage {
    /// Content.
    pub result: WatchResult,
}

/// `WatchResponse` of the protocol.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
pub struct WatchResult {
    /// Header.
    pub header: Header,
    /// True if the service cancelled the watch.
    pub canceled: bool,
    /// Changes.
    pub events: Vec<WatchEvent>,
}

/// Type of an event.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "SCREAMING_SNAKE_CASE")]
pub enum WatchEventKind {
    /// The key was deleted.
    Delete,
    /// The key was written; the protocol omits this default type.
    #[default]
    Put,
}

/// `Event` of the protocol.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct WatchEvent {
    /// Type.
    #[serde(rename = "type", default)]
    pub kind: WatchEventKind,
    /// Key and value.
    pub kv: WireKeyValue,
}

impl From<WatchEvent> for Change {
    fn from(event: WatchEvent) -> Self {
        let kv = KeyValue::from(event.kv);
        match event.kind {
            WatchEventKind::Put => Self::Put(kv),
            WatchEventKind::Delete => Self::Delete {
                key: kv.key,
                mod_revision: kv.mod_revision,
            },
        }
    }
}
