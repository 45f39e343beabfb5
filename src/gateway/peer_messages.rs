//! What hosts tell each other.

use serde::{Deserialize, Serialize};

use super::demand::ModelCounts;
use crate::core::ids::{AdapterId, HostId, ModelId, ServiceId, UpstreamId};
use crate::core::load::InFlight;
use crate::core::registry::Holdings;

/// Statement of one host to another.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// What a host has in flight.
    #[serde(rename = "f")]
    Loads {
        /// Host.
        #[serde(rename = "h")]
        host: HostId,
        /// Start of its process.
        #[serde(rename = "s")]
        started_ms: u64,
        /// In flight, by upstream.
        #[serde(rename = "u")]
        in_flight: Vec<(UpstreamId, InFlight)>,
    },
    /// What a host was asked for.
    #[serde(rename = "r")]
    Report {
        /// Host.
        #[serde(rename = "h")]
        host: HostId,
        /// Start of its process; counters begin there.
        #[serde(rename = "s")]
        started_ms: u64,
        /// Demand, by model.
        #[serde(rename = "m", default)]
        models: Vec<(ServiceId, ModelId, ModelCounts)>,
        /// Adapters asked for since the last report.
        #[serde(rename = "a", default)]
        adapters: Vec<(ServiceId, ModelId, AdapterId)>,
    },
    /// What all other hosts have in flight.
    #[serde(rename = "d")]
    Digest {
        /// Term of the acting host.
        #[serde(rename = "t")]
        term: u64,
        /// In flight, by upstream.
        #[serde(rename = "u")]
        others: Vec<(UpstreamId, InFlight)>,
    },
    /// What an engine holds after an order.
    #[serde(rename = "o")]
    Holdings {
        /// Term of the acting host.
        #[serde(rename = "t")]
        term: u64,
        /// Engine.
        #[serde(rename = "u")]
        upstream: UpstreamId,
        /// Start of its incarnation.
        #[serde(rename = "s")]
        started_ms: u64,
        /// Number of the statement within the term.
        #[serde(rename = "n")]
        number: u64,
        /// Models and adapters.
        #[serde(rename = "h")]
        holds: Holdings,
    },
    /// A model is being loaded that nobody holds.
    #[serde(rename = "l")]
    Loading {
        /// Term of the acting host.
        #[serde(rename = "t")]
        term: u64,
        /// Service.
        #[serde(rename = "s")]
        service: ServiceId,
        /// Model.
        #[serde(rename = "m")]
        model: ModelId,
        /// Time until it is likely to be ready, in milliseconds.
        #[serde(rename = "i")]
        ready_in_ms: u64,
    },
    /// A host has a request for weights that it finds nowhere with room.
    #[serde(rename = "w")]
    Want {
        /// Service.
        #[serde(rename = "s")]
        service: ServiceId,
        /// Model.
        #[serde(rename = "m")]
        model: ModelId,
        /// Adapter.
        #[serde(rename = "a")]
        adapter: Option<AdapterId>,
    },
}
