//! Upstreams at which streams began, as far as this host was told.
//!
//! Fault: a stream breaks off, and its caller takes it up at any other host, perhaps after
//! the first one has died. Upstreams of several software versions serve, and the stream may
//! go on only at the version that began it, which neither the response nor the caller names.
//!
//! Load pattern: hundreds of hosts begin a few streams a second each, and few streams break
//! off. The host that begins a stream tells a small number of others, which all hosts find
//! by hashing, in several availability zones; a host that is asked to take the stream up
//! asks them.
//!
//! Fault: the host dies, or the upstream does, before it is certain which incarnation sent the
//! stream. Hosts are told of the listed one at once, with what would make it certain, so that
//! each of them can find out by itself, and none takes the stream for an unknown one.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::ids::{HostId, OrganisationId, ServiceId, SoftwareVersion, UpstreamId};
use super::rendezvous;
use super::request_traits::Fingerprint;

/// Time for which the origin of a stream is remembered, in milliseconds; longer than callers
/// wait for a stream.
const MEMORY_MS: u64 = 60_000;
/// Limit of the remembered streams.
const MAX_STREAMS: usize = 16_384;
/// Other hosts that know a stream.
const REPLICAS: usize = 3;
/// Hosts that are asked in the zone of the host that asks.
const LOOKUPS_OWN_ZONE: usize = 3;
/// Hosts that are asked in each other zone.
const LOOKUPS_OTHER_ZONE: usize = 2;

/// Incarnation at which a stream began.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct StreamOrigin {
    /// Service.
    #[serde(rename = "s")]
    pub service: ServiceId,
    /// Version of its software.
    #[serde(rename = "w")]
    pub software: SoftwareVersion,
    /// Upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamId,
    /// Start of its incarnation, in milliseconds since the epoch.
    #[serde(rename = "b")]
    pub started_ms: u64,
}

impl StreamOrigin {
    /// True if a stream that began at either may go on at the other.
    fn is_compatible(&self, other: &Self) -> bool {
        self.service == other.service && self.software == other.software
    }
}

/// Identifies a stream by its caller, the caller's organisation and the request that began
/// it, so that a caller cannot name a stream of another one.
pub fn stream_key(
    caller: &[u8],
    organisation: Option<&OrganisationId>,
    request_id: &str,
) -> Fingerprint {
    let caller = caller.to_ascii_lowercase();
    let request_id = request_id.as_bytes();
    match organisation {
        Some(organisation) => {
            let organisation = organisation.as_str().as_bytes();
            Fingerprint::of(&[b"stream", &caller, request_id, organisation])
        }
        None => Fingerprint::of(&[b"stream", &caller, request_id]),
    }
}

/// Incarnation that was listed for the upstream of a stream when its request was sent.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OriginClaim {
    /// Incarnation.
    pub origin: StreamOrigin,
    /// Time since which the process that sent the stream is known to run, in milliseconds.
    /// If the incarnation has run after it, that process is the incarnation.
    pub running_since_ms: u64,
}

/// What a host knows of the origin of a stream.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OriginKnowledge {
    /// Nothing.
    Unknown,
    /// It began elsewhere than at the listed incarnation, or, as its ID was used again, at
    /// more than one.
    Contradictory,
    /// Where it began if the listing was not out of date.
    Claimed(OriginClaim),
    /// Where it began.
    Known(StreamOrigin),
}

impl OriginKnowledge {
    /// What is known once a stream is also known to have begun at an incarnation.
    fn with_origin(&self, origin: StreamOrigin) -> Self {
        let is_confirmed = match self {
            Self::Unknown => true,
            Self::Contradictory => false,
            Self::Claimed(claim) => claim.origin.is_compatible(&origin),
            Self::Known(known) => known.is_compatible(&origin),
        };
        if is_confirmed {
            Self::Known(origin)
        } else {
            Self::Contradictory
        }
    }

    /// What is known once a stream is also claimed to have begun at an incarnation.
    pub fn with_claim(&self, claim: OriginClaim) -> Self {
        match self {
            Self::Unknown => Self::Claimed(claim),
            Self::Known(known) if known.is_compatible(&claim.origin) => self.clone(),
            Self::Claimed(known) if known.origin == claim.origin => Self::Claimed(OriginClaim {
                running_since_ms: known.running_since_ms.max(claim.running_since_ms),
                ..claim
            }),
            Self::Contradictory | Self::Claimed(_) | Self::Known(_) => Self::Contradictory,
        }
    }
}

#[derive(Clone, Debug)]
struct Remembered {
    knowledge: OriginKnowledge,
    told_ms: u64,
}

/// Origins of recent streams.
#[derive(Clone, Debug, Default)]
pub struct StreamOrigins {
    remembered: HashMap<Fingerprint, Remembered>,
    /// Streams by the time at which they were first told.
    order: VecDeque<(u64, Fingerprint)>,
}

impl StreamOrigins {
    /// Records where a stream began.
    pub fn record(&mut self, now_ms: u64, stream: Fingerprint, origin: StreamOrigin) {
        self.update(now_ms, stream, |known| known.with_origin(origin));
    }

    /// Records where a stream began if the listing was not out of date.
    pub fn record_claim(&mut self, now_ms: u64, stream: Fingerprint, claim: OriginClaim) {
        self.update(now_ms, stream, |known| known.with_claim(claim));
    }

    /// Records that a stream began elsewhere than at the listed incarnation.
    pub fn record_refuted(&mut self, now_ms: u64, stream: Fingerprint) {
        self.update(now_ms, stream, |_| OriginKnowledge::Contradictory);
    }

    fn update(
        &mut self,
        now_ms: u64,
        stream: Fingerprint,
        change: impl FnOnce(&OriginKnowledge) -> OriginKnowledge,
    ) {
        self.forget_old(now_ms);
        if let Some(remembered) = self.remembered.get_mut(&stream) {
            remembered.knowledge = change(&remembered.knowledge);
            remembered.told_ms = now_ms;
            return;
        }
        self.order.push_back((now_ms, stream));
        let remembered = Remembered {
            knowledge: change(&OriginKnowledge::Unknown),
            told_ms: now_ms,
        };
        self.remembered.insert(stream, remembered);
    }

    /// What is known of a stream.
    pub fn get(&self, now_ms: u64, stream: Fingerprint) -> &OriginKnowledge {
        let remembered = self.remembered.get(&stream);
        remembered
            .filter(|r| now_ms < r.told_ms + MEMORY_MS)
            .map_or(&OriginKnowledge::Unknown, |r| &r.knowledge)
    }

    /// Number of remembered streams.
    pub fn len(&self) -> usize {
        self.remembered.len()
    }

    /// True if no stream is remembered.
    pub fn is_empty(&self) -> bool {
        self.remembered.is_empty()
    }

    fn forget_old(&mut self, now_ms: u64) {
        while let Some((first_ms, stream)) = self.order.front().copied() {
            let is_crowded = self.remembered.len() >= MAX_STREAMS;
            if now_ms < first_ms + MEMORY_MS && !is_crowded {
                return;
            }
            self.order.pop_front();
            let told_ms = self.remembered.get(&stream).map_or(0, |k| k.told_ms);
            if now_ms < told_ms + MEMORY_MS && !is_crowded {
                // It was told again.
                self.order.push_back((told_ms, stream));
            } else {
                self.remembered.remove(&stream);
            }
        }
    }
}

/// Hosts other than `own` by zone, those that are responsible for a stream first. The zones
/// are ordered likewise.
fn ranked_zones<'a>(
    stream: Fingerprint,
    own: &HostId,
    hosts: &[(&'a HostId, &'a str)],
) -> Vec<(&'a str, Vec<&'a HostId>)> {
    let key = rendezvous::hash(&stream.to_string());
    let rank = |name: &str| Reverse(rendezvous::weight(key, rendezvous::hash(name)));
    let mut zones: BTreeMap<&str, Vec<&HostId>> = BTreeMap::new();
    for (host, zone) in hosts.iter().filter(|(host, _)| *host != own) {
        zones.entry(zone).or_default().push(host);
    }
    let mut zones: Vec<_> = zones.into_iter().collect();
    zones.sort_by_key(|(zone, _)| rank(zone));
    for (_, hosts) in &mut zones {
        hosts.sort_by_key(|host| (rank(host.as_str()), *host));
    }
    zones
}

/// Hosts that a host tells of a stream that it begins: one of its own zone, then one of each
/// of some other zones, then further ones of its own.
pub fn replica_hosts<'a>(
    stream: Fingerprint,
    own: &HostId,
    own_zone: &str,
    hosts: &[(&'a HostId, &'a str)],
) -> Vec<&'a HostId> {
    let zones = ranked_zones(stream, own, hosts);
    let same = zones.iter().find(|(zone, _)| *zone == own_zone);
    let same = same.map_or(&[][..], |(_, hosts)| hosts);
    let others = zones.iter().filter(|(zone, _)| *zone != own_zone);
    let elsewhere = others.filter_map(|(_, hosts)| hosts.first());
    let ordered = same.iter().take(1).chain(elsewhere);
    let ordered = ordered.chain(same.iter().skip(1));
    ordered.take(REPLICAS).copied().collect()
}

/// Hosts that may know a stream, for the host that has to take it up.
pub fn lookup_hosts<'a>(
    stream: Fingerprint,
    own: &HostId,
    own_zone: &str,
    hosts: &[(&'a HostId, &'a str)],
) -> Vec<&'a HostId> {
    let zones = ranked_zones(stream, own, hosts);
    let count = |zone: &str| {
        if zone == own_zone {
            LOOKUPS_OWN_ZONE
        } else {
            LOOKUPS_OTHER_ZONE
        }
    };
    let asked = zones
        .iter()
        .flat_map(|(zone, hosts)| hosts.iter().take(count(zone)));
    asked.copied().collect()
}
