//! Requests of one host that have a place at a brittle upstream.
//!
//! Faults: messages to the keeper of an upstream's account are lost or overtake each
//! other, and the keeper changes. Each message therefore states everything that the host
//! knows of the upstream, so that a later one replaces it.
//!
//! An upstream turns a request away at once. One that is still open after a short time
//! was accepted.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::ids::{HostId, UpstreamId};
use super::stated::StatedCount;

/// Time after which an open request counts as accepted, in milliseconds; many times the
/// round trip to an upstream.
pub const ACCEPTED_AFTER_MS: u64 = 100;
/// Time for which an upstream counts its rejections, with a margin, in milliseconds.
pub const REJECTION_WINDOW_MS: u64 = 1_100;
/// Longest time between two reports while places are in use, in milliseconds.
const MAX_REPORT_INTERVAL_MS: u64 = 250;
/// Limit of the rejections that a report lists.
const MAX_LISTED_REJECTIONS: usize = 64;

/// What a host has in flight at a brittle upstream.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct PlacesReport {
    /// Sender.
    #[serde(rename = "h")]
    pub host: HostId,
    /// Start of the sender's process, in milliseconds since the epoch.
    #[serde(rename = "p")]
    pub host_started_ms: u64,
    /// Upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamId,
    /// Start of its incarnation, in milliseconds since the epoch.
    #[serde(rename = "s")]
    pub started_ms: u64,
    /// Rises with each report of the process, and is the number of the place that it
    /// asks for, if any.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Requests that the upstream has accepted.
    #[serde_as(as = "StatedCount")]
    #[serde(rename = "a")]
    pub accepted: u32,
    /// Places of requests that it may still turn away.
    #[serde(rename = "o")]
    pub pending: Vec<u64>,
    /// Time since each of its recent rejections, in milliseconds.
    #[serde(rename = "r")]
    pub rejection_ages_ms: Vec<u64>,
}

/// End of a request with a place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlaceEnd {
    /// Not sent, or answered in any other way than a rejection.
    Released,
    /// The upstream turned the request away.
    Rejected,
}

#[derive(Clone, Debug, Default)]
struct Open {
    started_ms: u64,
    /// Time at which the request of each place was sent; absent while it is asked for.
    places: BTreeMap<u64, Option<u64>>,
    rejected_ms: Vec<u64>,
    reported_ms: u64,
    pending_reported: usize,
}

impl Open {
    fn pending(&self, now_ms: u64) -> impl Iterator<Item = u64> {
        let is_pending =
            move |sent_ms: Option<u64>| sent_ms.is_none_or(|at| now_ms < at + ACCEPTED_AFTER_MS);
        let places = self.places.iter().filter(move |(_, at)| is_pending(**at));
        places.map(|(number, _)| *number)
    }
}

/// Places of one host at all brittle upstreams.
#[derive(Clone, Debug)]
pub struct OpenPlaces {
    host: HostId,
    host_started_ms: u64,
    last_sequence: u64,
    open: BTreeMap<UpstreamId, Open>,
}

impl OpenPlaces {
    /// Places of a process that has none.
    pub fn new(host: HostId, host_started_ms: u64) -> Self {
        Self {
            host,
            host_started_ms,
            last_sequence: 0,
            open: BTreeMap::new(),
        }
    }

    /// Asks for a place; its number is the report's. `in_flight` counts the host's
    /// requests at the upstream, with and without a place.
    pub fn ask(
        &mut self,
        now_ms: u64,
        upstream: &UpstreamId,
        started_ms: u64,
        in_flight: u32,
    ) -> PlacesReport {
        let number = self.last_sequence + 1;
        let open = self.incarnation(upstream, started_ms);
        open.places.insert(number, None);
        self.report(now_ms, upstream, started_ms, in_flight)
    }

    /// Places at an incarnation; those at an earlier one are dropped.
    fn incarnation(&mut self, upstream: &UpstreamId, started_ms: u64) -> &mut Open {
        let open = self.open.entry(upstream.clone()).or_default();
        if open.started_ms != started_ms {
            *open = Open {
                started_ms,
                ..Open::default()
            };
        }
        open
    }

    /// Records that the request of a place is sent now.
    pub fn on_sent(&mut self, now_ms: u64, upstream: &UpstreamId, number: u64) {
        let open = self.open.get_mut(upstream);
        if let Some(sent_ms) = open.and_then(|o| o.places.get_mut(&number)) {
            *sent_ms = Some(now_ms);
        }
    }

    /// Gives a place back.
    pub fn end(&mut self, now_ms: u64, upstream: &UpstreamId, number: u64, end: PlaceEnd) {
        let Some(open) = self.open.get_mut(upstream) else {
            return;
        };
        if open.places.remove(&number).is_some() && end == PlaceEnd::Rejected {
            open.rejected_ms.push(now_ms);
        }
    }

    /// Counts a rejection of a request without a place.
    pub fn on_rejected(&mut self, now_ms: u64, upstream: &UpstreamId, started_ms: u64) {
        let open = self.incarnation(upstream, started_ms);
        open.rejected_ms.push(now_ms);
    }

    /// State of the places at an upstream.
    pub fn report(
        &mut self,
        now_ms: u64,
        upstream: &UpstreamId,
        started_ms: u64,
        in_flight: u32,
    ) -> PlacesReport {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let (host, host_started_ms) = (self.host.clone(), self.host_started_ms);
        let open = self.incarnation(upstream, started_ms);
        open.rejected_ms
            .retain(|at| now_ms < at + REJECTION_WINDOW_MS);
        let pending: Vec<u64> = open.pending(now_ms).collect();
        open.reported_ms = now_ms;
        open.pending_reported = pending.len();
        let in_flight = in_flight.max(open.places.len() as u32);
        let ages = open.rejected_ms.iter().rev().take(MAX_LISTED_REJECTIONS);
        PlacesReport {
            host,
            host_started_ms,
            upstream: upstream.clone(),
            started_ms,
            sequence,
            accepted: in_flight - pending.len() as u32,
            rejection_ages_ms: ages.map(|at| now_ms - at).collect(),
            pending,
        }
    }

    /// Upstreams of which the keepers are to be told without a change: requests count as
    /// accepted since the last report, or it is long ago.
    pub fn due(&mut self, now_ms: u64) -> Vec<UpstreamId> {
        let is_used = |o: &Open| {
            let is_recent = |at: &u64| now_ms < at + REJECTION_WINDOW_MS;
            !o.places.is_empty() || o.rejected_ms.iter().any(is_recent)
        };
        self.open.retain(|_, open| is_used(open));
        let is_due = |o: &Open| {
            now_ms >= o.reported_ms + MAX_REPORT_INTERVAL_MS
                || o.pending(now_ms).count() < o.pending_reported
        };
        let due = self.open.iter().filter(|(_, o)| is_due(o));
        due.map(|(upstream, _)| upstream.clone()).collect()
    }

    /// True if no place is in use and no rejection is recent.
    pub fn is_empty(&self) -> bool {
        self.open.is_empty()
    }
}
