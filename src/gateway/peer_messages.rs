//! Messages that hosts exchange, as encoded on the wire.

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::demand::ModelCounts;
use super::quotas::messages::{QuotaMessage, QuotaReply};
use super::stated_origins::{StatedClaim, StatedOrigin};
use super::store_relay::StoreChanges;
use super::stream_origins::KnownOrigin;
use crate::core::brittle_notice::BrittleStatement;
use crate::core::crash_ledger::LostRequest;
use crate::core::ids::{AdapterId, HostId, ModelId, ServiceId, UpstreamId, ZoneId};
use crate::core::load::InFlight;
use crate::core::open_places::PlacesReport;
use crate::core::place_account::BrittleLimits;
use crate::core::quarantine::Quarantine;
use crate::core::rate_account::{Keeping, Purpose};
use crate::core::registry::Holdings;
use crate::core::request_traits::{Fingerprint, Suspect};
use crate::core::shared_account::SharedReport;
use crate::core::speed::{PaceKind, PaceSum};
use crate::core::stated::{StatedCount, StatedMillis};

/// Holdings of one engine.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct EngineHoldings {
    /// Engine.
    #[serde(rename = "u")]
    pub upstream: UpstreamId,
    /// Start of the engine's incarnation, in milliseconds since the epoch.
    #[serde(rename = "s")]
    pub started_ms: u64,
    /// Sequence number within the term of the acting host.
    #[serde(rename = "n")]
    pub number: u64,
    /// Models and adapters ready for requests.
    #[serde(rename = "h")]
    pub holds: Holdings,
}

/// Question of a host that is about to send a request to an upstream that states a rate.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct AskPermit {
    /// Sender.
    #[serde(rename = "h")]
    pub host: HostId,
    /// Upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamId,
    /// Start of its incarnation, in milliseconds since the epoch.
    #[serde(rename = "s")]
    pub started_ms: u64,
    /// Thousandths of a request per second that it states.
    #[serde(rename = "r")]
    pub per_mille_s: u32,
    /// Time since it last stated this, in milliseconds.
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Part of the host that is asked.
    #[serde(rename = "i")]
    pub keeping: Keeping,
    /// Purpose of the request.
    #[serde(rename = "c")]
    pub purpose: Purpose,
    /// Identifies the question.
    #[serde(rename = "k")]
    pub ticket: u64,
}

/// For how long a host has the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StatedContact {
    /// Sender.
    #[serde(rename = "h")]
    pub host: HostId,
    /// Its availability zone.
    #[serde(rename = "z")]
    pub zone: ZoneId,
    /// Time since the first response without a longer gap, in milliseconds.
    #[serde(rename = "s")]
    pub since_ago_ms: u64,
    /// Time since the last response, in milliseconds.
    #[serde(rename = "l")]
    pub last_ago_ms: u64,
    /// Identifies the question.
    #[serde(rename = "k")]
    pub ticket: u64,
}

/// Report on places to the host that keeps their account.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacesMessage {
    /// What the sender has in flight.
    #[serde(rename = "r")]
    pub report: PlacesReport,
    /// Properties of the upstream.
    #[serde(rename = "l")]
    pub limits: BrittleLimits,
    /// Part of the host that is told.
    #[serde(rename = "i")]
    pub keeping: Keeping,
    /// Identifies the question, if there is one.
    #[serde(rename = "k")]
    pub ticket: Option<u64>,
}

/// Report on places at a shared upstream to the host that keeps their account.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SharedPlacesMessage {
    /// What the sender holds and awaits.
    #[serde(rename = "r")]
    pub report: SharedReport,
    /// Identifies the question, if the sender has a request that it would send now.
    #[serde(rename = "k", default)]
    pub ticket: Option<u64>,
}

/// Answer or grant of a keeper.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SharedPlaceMessage {
    /// Sender.
    #[serde(rename = "h")]
    pub keeper: HostId,
    /// Upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamId,
    /// Question that it answers, if any.
    #[serde(rename = "k", default)]
    pub ticket: Option<u64>,
    /// Number of the granted place; absent if the question is denied.
    #[serde(rename = "g", default)]
    pub grant: Option<u64>,
    /// Requests of all other hosts in flight there.
    #[serde_as(as = "StatedCount")]
    #[serde(rename = "o")]
    pub others: u32,
    /// Waiting requests of other hosts that precede those of the receiver.
    #[serde_as(as = "StatedCount")]
    #[serde(rename = "a")]
    pub ahead: u32,
}

/// Message from one host to another.
#[serde_as]
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum PeerMessage {
    /// In-flight loads of a host.
    #[serde(rename = "f")]
    Loads {
        /// Sender.
        #[serde(rename = "h")]
        host: HostId,
        /// Start of the sender's process, in milliseconds since the epoch.
        #[serde(rename = "s")]
        started_ms: u64,
        /// Loads by upstream.
        #[serde(rename = "u")]
        in_flight: Vec<(UpstreamId, InFlight)>,
        /// Samples of the speed of upstreams since the last message.
        #[serde(rename = "v", default, skip_serializing_if = "Vec::is_empty")]
        paces: Vec<(UpstreamId, PaceKind, PaceSum)>,
    },
    /// Demand at a host.
    #[serde(rename = "r")]
    Report {
        /// Sender.
        #[serde(rename = "h")]
        host: HostId,
        /// Time at which all counters were 0, in milliseconds since the epoch.
        #[serde(rename = "s")]
        started_ms: u64,
        /// Changed demand counters by model.
        #[serde(rename = "m", default)]
        models: Vec<(ServiceId, ModelId, ModelCounts)>,
        /// Adapters requested since the last report.
        #[serde(rename = "a", default)]
        adapters: Vec<(ServiceId, ModelId, AdapterId)>,
    },
    /// In-flight loads of all hosts, from the acting host.
    #[serde(rename = "d")]
    Digest {
        /// Term of the acting host.
        #[serde(rename = "t")]
        term: u64,
        /// Sum of the hosts' loads, by upstream.
        #[serde(rename = "u")]
        totals: Vec<(UpstreamId, InFlight)>,
        /// Speeds of upstreams in thousandths of the usual one, if they are learned.
        #[serde(rename = "speed", default, skip_serializing_if = "Vec::is_empty")]
        speeds: Vec<(UpstreamId, u32)>,
    },
    /// Holdings of engines after orders.
    #[serde(rename = "o")]
    Holdings {
        /// Term of the acting host.
        #[serde(rename = "t")]
        term: u64,
        /// Engines whose holdings have changed.
        #[serde(rename = "e")]
        engines: Vec<EngineHoldings>,
    },
    /// A host that had lost the store asks another one whether it had it.
    #[serde(rename = "sc")]
    AskStoreContact {
        /// Sender.
        #[serde(rename = "h")]
        host: HostId,
        /// Identifies the question.
        #[serde(rename = "k")]
        ticket: u64,
    },
    /// Answer to such a question.
    #[serde(rename = "sd")]
    StoreContact(StatedContact),
    /// An engine starts to load a model.
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
        /// Expected time until the model is ready, in milliseconds.
        #[serde_as(as = "StatedMillis")]
        #[serde(rename = "i")]
        ready_in_ms: u64,
    },
    /// A host is about to send a request, and asks the keeper of the engine's account
    /// for the load of the other hosts.
    #[serde(rename = "q")]
    AskRoom {
        /// Sender.
        #[serde(rename = "h")]
        host: HostId,
        /// Start of the sender's process, in milliseconds since the epoch.
        #[serde(rename = "s")]
        started_ms: u64,
        /// Engine.
        #[serde(rename = "u")]
        upstream: UpstreamId,
        /// Requests of the sender in flight there, with this one.
        #[serde(rename = "l")]
        load: InFlight,
        /// Identifies the question.
        #[serde(rename = "k")]
        ticket: u64,
    },
    /// Load of the other hosts at an engine, from the keeper of its account.
    #[serde(rename = "p")]
    Room {
        /// Question that it answers; 0 if it is news for a host that waits.
        #[serde(rename = "k")]
        ticket: u64,
        /// Engine.
        #[serde(rename = "u")]
        upstream: UpstreamId,
        /// Requests of all other hosts in flight there.
        #[serde(rename = "l")]
        others: InFlight,
    },
    /// A host has a request for an engine without room.
    #[serde(rename = "n")]
    AwaitRoom {
        /// Sender.
        #[serde(rename = "h")]
        host: HostId,
        /// Engine.
        #[serde(rename = "u")]
        upstream: UpstreamId,
        /// Time until the request is due, in milliseconds, if the sender states it.
        #[serde_as(as = "Option<StatedMillis>")]
        #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
        due_in_ms: Option<u64>,
        /// Priority of the request.
        #[serde(rename = "y", default, skip_serializing_if = "Option::is_none")]
        priority: Option<u8>,
    },
    /// Changes of the store, from a watching host.
    #[serde(rename = "c")]
    StoreChanges(StoreChanges),
    /// An upstream is about to stop.
    #[serde(rename = "g")]
    Leaving {
        /// Upstream.
        #[serde(rename = "u")]
        upstream: UpstreamId,
        /// Start of its incarnation, in milliseconds since the epoch.
        #[serde(rename = "s")]
        started_ms: u64,
    },
    /// An upstream states how many requests a second it takes.
    #[serde(rename = "b")]
    Limited {
        /// Upstream.
        #[serde(rename = "u")]
        upstream: UpstreamId,
        /// Start of its incarnation, in milliseconds since the epoch.
        #[serde(rename = "s")]
        started_ms: u64,
        /// Thousandths of a request per second, from all hosts together.
        #[serde(rename = "r")]
        per_mille_s: u32,
    },
    /// A host is about to send a request to an upstream that states a rate.
    #[serde(rename = "e")]
    AskPermit(AskPermit),
    /// Answer to a host that asks for a permit.
    #[serde(rename = "y")]
    Permit {
        /// Question that it answers.
        #[serde(rename = "k")]
        ticket: u64,
        /// Time after which the host may ask again, in milliseconds; absent if it may
        /// send its request.
        #[serde_as(as = "Option<StatedMillis>")]
        #[serde(rename = "i", default)]
        retry_in_ms: Option<u64>,
    },
    /// An upstream states that it is brittle.
    #[serde(rename = "t")]
    Brittle(BrittleStatement),
    /// What a host has in flight at a brittle upstream; asks for a place there if it
    /// bears a ticket.
    #[serde(rename = "k")]
    Places(PlacesMessage),
    /// Answer to a host that asks for a place.
    #[serde(rename = "h")]
    Place {
        /// Question that it answers.
        #[serde(rename = "k")]
        ticket: u64,
        /// Time after which the host may ask again, in milliseconds; absent if it may
        /// send its request.
        #[serde_as(as = "Option<StatedMillis>")]
        #[serde(rename = "i", default)]
        retry_in_ms: Option<u64>,
    },
    /// A host that was denied a place may ask again.
    #[serde(rename = "u")]
    PlaceFree {
        /// Upstream.
        #[serde(rename = "u")]
        upstream: UpstreamId,
    },
    /// What a host holds and awaits at a shared upstream; asks for a place there if it
    /// bears a ticket.
    #[serde(rename = "pr")]
    SharedPlaces(SharedPlacesMessage),
    /// Place at a shared upstream, or the answer that there is none.
    #[serde(rename = "pg")]
    SharedPlace(SharedPlaceMessage),
    /// An upstream has ended under requests of a host.
    #[serde(rename = "x")]
    Crash {
        /// Upstream.
        #[serde(rename = "u")]
        upstream: UpstreamId,
        /// Start of its incarnation, in milliseconds since the epoch.
        #[serde(rename = "s")]
        started_ms: u64,
        /// Time since its end, in milliseconds.
        #[serde_as(as = "StatedMillis")]
        #[serde(rename = "a")]
        age_ms: u64,
        /// Requests that may have caused it.
        #[serde(rename = "r")]
        requests: Vec<LostRequest>,
    },
    /// Suspects for which the acting host wants to know of sound responses.
    #[serde(rename = "z")]
    Watch {
        /// Term of the acting host.
        #[serde(rename = "t")]
        term: u64,
        /// Suspects.
        #[serde(rename = "s")]
        suspects: Vec<Suspect>,
    },
    /// A host has had sound responses to requests with these suspects.
    #[serde(rename = "v")]
    Sound {
        /// Suspects, each with the time since the response began, in milliseconds.
        #[serde(rename = "s")]
        suspects: Vec<(Suspect, u64)>,
    },
    /// Requests that are not sent, from the acting host.
    #[serde(rename = "j")]
    Quarantine(Quarantine),
    /// A host has a request with a suspect and asks whether it may be tried.
    #[serde(rename = "m")]
    AskTrial {
        /// Sender.
        #[serde(rename = "h")]
        host: HostId,
        /// Suspect.
        #[serde(rename = "s")]
        suspect: Suspect,
        /// Identifies the question.
        #[serde(rename = "k")]
        ticket: u64,
    },
    /// Answer to a host that asks for a trial.
    #[serde(rename = "i")]
    Trial {
        /// Question that it answers.
        #[serde(rename = "k")]
        ticket: u64,
        /// True if the request may be sent.
        #[serde(rename = "g")]
        is_granted: bool,
    },
    /// Streams whose origins are certain.
    #[serde(rename = "sb")]
    Origins {
        /// Streams and where they began.
        #[serde(rename = "s")]
        streams: Vec<KnownOrigin>,
    },
    /// Streams whose origins are not certain yet; only for hosts that state that they know
    /// of such.
    #[serde(rename = "sl")]
    OriginClaims {
        /// Streams and where they are claimed to have begun.
        #[serde(rename = "s")]
        streams: Vec<(Fingerprint, StatedClaim)>,
    },
    /// A host has to take up a stream and asks where it began.
    #[serde(rename = "sa")]
    AskOrigin {
        /// Sender.
        #[serde(rename = "h")]
        host: HostId,
        /// Stream.
        #[serde(rename = "s")]
        stream: Fingerprint,
        /// Identifies the question.
        #[serde(rename = "k")]
        ticket: u64,
    },
    /// Answer to a host that asks where a stream began.
    #[serde(rename = "so")]
    Origin {
        /// Question that it answers.
        #[serde(rename = "k")]
        ticket: u64,
        /// Stream.
        #[serde(rename = "s")]
        stream: Fingerprint,
        /// What the sender knows of it.
        #[serde(rename = "o")]
        known: StatedOrigin,
    },
    /// Delegation of a share of all quotas, and questions on accounts; only for hosts that
    /// state that they know quotas.
    #[serde(rename = "qm")]
    Quota(QuotaMessage),
    /// Answer of the host that keeps the accounts.
    #[serde(rename = "qr")]
    QuotaReply(QuotaReply),
    /// A host has a request for weights that no upstream can serve now.
    #[serde(rename = "w")]
    Want {
        /// Service.
        #[serde(rename = "s")]
        service: ServiceId,
        /// Model.
        #[serde(rename = "m")]
        model: ModelId,
        /// Adapter; none for the plain model.
        #[serde(rename = "a")]
        adapter: Option<AdapterId>,
    },
}
