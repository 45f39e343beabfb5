//! Client of the model engines: sends load and unload orders, and fetches the
//! engines' status.
//!
//! Inference requests use the OpenAI-compatible protocol; orders and status use
//! the engines' operator paths.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::Request;
use hyper::header::{CONTENT_TYPE, HOST};
use serde::{Deserialize, Serialize};

use super::body;
use super::pool::{Pool, SendError};
use crate::core::fleet::LoadReport;
use crate::core::ids::ArtifactId;
use crate::core::ledger::{FencingToken, Inventory};

/// Timeout of an order.
pub const ORDER_TIMEOUT: Duration = Duration::from_secs(2);
/// Timeout of a status call.
pub const STATUS_TIMEOUT: Duration = Duration::from_secs(1);
const MAX_STATUS_BYTES: usize = 1024 * 1024;

/// Body of a load order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LoadOrder {
    /// Model.
    pub artifact: ArtifactId,
    /// Fencing token of the order.
    pub number: FencingToken,
    /// Memory that the loaded model occupies.
    pub memory_mib: u64,
    /// Adapters to load with the model.
    pub adapters: Vec<String>,
}

/// Body of an unload order.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct UnloadOrder {
    /// Model.
    pub artifact: ArtifactId,
    /// Fencing token of the order.
    pub number: FencingToken,
}

/// Status of an engine.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct EngineStatus {
    /// Highest fencing token of an executed order.
    #[serde(default)]
    pub seen_fence: FencingToken,
    /// Models that are loaded or being loaded, with their sizes.
    #[serde(default)]
    pub resident_mib: BTreeMap<ArtifactId, u64>,
    /// Models ready for requests.
    #[serde(default)]
    pub ready: BTreeSet<ArtifactId>,
    /// Running and queued requests per model.
    #[serde(default)]
    pub in_flight: BTreeMap<ArtifactId, u32>,
    /// Reported load; lags behind the actual load.
    #[serde(default)]
    pub load: LoadReport,
    /// False once the engine accepts no new requests.
    #[serde(default = "accepts_by_default")]
    pub accepts_work: bool,
}

fn accepts_by_default() -> bool {
    true
}

impl EngineStatus {
    /// Part of the status that the ledger records.
    pub fn inventory(&self) -> Inventory {
        Inventory {
            seen_fence: self.seen_fence,
            resident: self.resident_mib.clone(),
            ready: self.ready.clone(),
        }
    }
}

/// Outcome of an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum OrderOutcome {
    /// The engine executed the order.
    Accepted,
    /// The engine refused the order, which has no effect.
    Refused,
    /// The order cannot have reached the engine.
    NotSent,
    /// No response was received; the order may take effect now, later or never.
    Unknown,
}

/// Client for engine orders and status.
#[derive(Clone, Debug)]
pub struct EngineClient {
    pool: Pool,
}

impl EngineClient {
    /// Creates a client that uses a connection pool.
    pub fn new(pool: Pool) -> Self {
        Self { pool }
    }

    /// Fetches the status of an engine.
    pub async fn status(&self, addr: SocketAddr) -> Option<EngineStatus> {
        let exchange = async {
            let request = Request::get("/status").header(HOST, addr.to_string());
            let request = request.body(Full::default()).ok()?;
            let response = self.pool.send(addr, request).await.ok()?;
            let json = body::read(response.into_body(), MAX_STATUS_BYTES, STATUS_TIMEOUT).await;
            serde_json::from_slice(&json.ok()?).ok()
        };
        compio::time::timeout(STATUS_TIMEOUT, exchange).await.ok()?
    }

    /// Sends a load order.
    pub async fn load(&self, addr: SocketAddr, order: &LoadOrder) -> OrderOutcome {
        self.send_order(addr, "/orders/load", order).await
    }

    /// Sends an unload order.
    pub async fn unload(&self, addr: SocketAddr, order: &UnloadOrder) -> OrderOutcome {
        self.send_order(addr, "/orders/unload", order).await
    }

    async fn send_order<T: Serialize>(
        &self,
        addr: SocketAddr,
        path: &str,
        order: &T,
    ) -> OrderOutcome {
        let json = Bytes::from(serde_json::to_vec(order).unwrap_or_default());
        let request = Request::post(path)
            .header(HOST, addr.to_string())
            .header(CONTENT_TYPE, "application/json")
            .body(Full::new(json));
        let Ok(request) = request else {
            return OrderOutcome::NotSent;
        };
        match compio::time::timeout(ORDER_TIMEOUT, self.pool.send(addr, request)).await {
            Ok(Err(SendError::NotConnected | SendError::NotSent)) => OrderOutcome::NotSent,
            Ok(Ok(response)) if response.status().is_success() => OrderOutcome::Accepted,
            Ok(Ok(response)) if response.status().is_client_error() => OrderOutcome::Refused,
            Err(_) | Ok(Err(SendError::MaybeSent | SendError::HeldUp) | Ok(_)) => {
                OrderOutcome::Unknown
            }
        }
    }
}
