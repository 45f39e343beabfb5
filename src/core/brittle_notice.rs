//! Statements of upstreams that they are brittle.
//!
//! Load pattern: the upstreams of a service state for a time in all responses how many
//! requests a second each of them can turn away; with one more it falls over and returns
//! as another incarnation. Hosts that have not heard from an upstream, and hosts that do
//! not know that the statement has ended, send to it as well.
//!
//! An upstream from which a host has no response since its service states this counts as
//! brittle, so that one that returns does not receive a burst. The statement of an
//! upstream holds until a response to a later request lacks it.
//!
//! Upstreams state this some seconds before they let fewer requests wait. Right after the
//! first statement requests are sent as before, and the keepers of the accounts learn
//! what is in flight.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::ids::{ServiceId, UpstreamId};
use super::stated::{StatedCount, StatedMillis};

/// Time for which the statement of an upstream that is gone holds for its service, in
/// milliseconds.
const GONE_RETENTION_MS: u64 = 60_000;
/// Time after the first statement of a service in which requests need no place, in
/// milliseconds; upstreams let as many wait as before for longer than that.
const PREPARATION_MS: u64 = 1_000;
/// Largest number of rejections that counts as a statement.
const MAX_STATED_REJECTIONS: u32 = 100_000;

/// What a response states on rejections.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum StatedBrittleness {
    /// There was no response.
    #[default]
    Unknown,
    /// The response states nothing.
    Sound,
    /// Rejections within a second that the upstream survives.
    MaxRejections(u32),
    /// Stated in a form that has no meaning, such as a negative number.
    Invalid,
}

impl StatedBrittleness {
    /// Reads a whole number of rejections.
    pub fn from_count(text: &str) -> Self {
        match text.trim().parse::<u32>() {
            Ok(count) if (1..=MAX_STATED_REJECTIONS).contains(&count) => Self::MaxRejections(count),
            _ => Self::Invalid,
        }
    }
}

/// Incarnation of an upstream.
#[derive(Clone, Copy, Debug)]
pub struct Incarnation<'a> {
    /// Upstream.
    pub upstream: &'a UpstreamId,
    /// Its service.
    pub service: &'a ServiceId,
    /// Start of the incarnation, in milliseconds since the epoch.
    pub started_ms: u64,
}

/// Change of what is known of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BrittleChange {
    /// It survives this many rejections within a second.
    Brittle(u32),
    /// It no longer states that it is brittle.
    Sound,
}

/// Statement as passed on between hosts.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BrittleStatement {
    /// Upstream.
    #[serde(rename = "u")]
    pub upstream: UpstreamId,
    /// Its service.
    #[serde(rename = "f")]
    pub service: ServiceId,
    /// Start of its incarnation, in milliseconds since the epoch.
    #[serde(rename = "s")]
    pub started_ms: u64,
    /// Rejections within a second that it survives.
    #[serde_as(as = "StatedCount")]
    #[serde(rename = "n")]
    pub max_rejections: u32,
    /// Time since its last response that states this, in milliseconds.
    #[serde_as(as = "StatedMillis")]
    #[serde(rename = "a")]
    pub age_ms: u64,
    /// Time since the first statement of the service, in milliseconds.
    #[serde_as(as = "StatedMillis")]
    #[serde(rename = "b")]
    pub stated_for_ms: u64,
}

#[derive(Clone, Debug)]
struct Known {
    service: ServiceId,
    started_ms: u64,
    /// Absent if the last response lacks the statement.
    max_rejections: Option<u32>,
    /// Time at which this host learned of the statement.
    since_ms: u64,
    /// Time at which the service first stated it, as known to any host.
    first_ms: u64,
    /// Time of the last response of which this host knows.
    response_ms: u64,
    gone_ms: Option<u64>,
}

/// Statements of all upstreams, as known to one host.
#[derive(Clone, Debug, Default)]
pub struct BrittleUpstreams {
    known: BTreeMap<UpstreamId, Known>,
}

impl BrittleUpstreams {
    /// True if no upstream has stated that it is brittle.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }

    /// Number of upstreams that state that they are brittle.
    pub fn len(&self) -> usize {
        let brittle = |k: &&Known| k.max_rejections.is_some() && k.gone_ms.is_none();
        self.known.values().filter(brittle).count()
    }

    /// Rejections within a second that an upstream survives; `None` if it is not brittle.
    pub fn get(&self, incarnation: Incarnation<'_>) -> Option<u32> {
        match self.own(incarnation) {
            Some(known) => known.max_rejections,
            None => self.brittle_in(incarnation.service).map(|(n, _)| n).min(),
        }
    }

    fn own(&self, incarnation: Incarnation<'_>) -> Option<&Known> {
        let known = self.known.get(incarnation.upstream)?;
        (known.started_ms == incarnation.started_ms).then_some(known)
    }

    /// True right after the first statement of a service.
    pub fn is_preparing(&self, now_ms: u64, service: &ServiceId) -> bool {
        let first_ms = self.first_ms(service);
        first_ms.is_some_and(|at| now_ms < at + PREPARATION_MS)
    }

    fn first_ms(&self, service: &ServiceId) -> Option<u64> {
        let of_service = self.known.values().filter(|k| k.service == *service);
        of_service.map(|k| k.first_ms).min()
    }

    /// Statements of a service's upstreams, each with the time at which it was learned.
    fn brittle_in(&self, service: &ServiceId) -> impl Iterator<Item = (u32, u64)> {
        let of_service = self.known.values().filter(move |k| k.service == *service);
        of_service.filter_map(|k| Some((k.max_rejections?, k.since_ms)))
    }

    /// Applies what the response to a request sent at `sent_ms` states.
    pub fn on_response(
        &mut self,
        now_ms: u64,
        incarnation: Incarnation<'_>,
        sent_ms: u64,
        stated: StatedBrittleness,
    ) -> Option<BrittleChange> {
        match stated {
            StatedBrittleness::Unknown | StatedBrittleness::Invalid => None,
            StatedBrittleness::MaxRejections(count) => {
                self.record(now_ms, incarnation, (now_ms, now_ms), Some(count))
            }
            StatedBrittleness::Sound => {
                let since_ms = match self.own(incarnation) {
                    Some(known) => Some(known.since_ms),
                    None => self.brittle_in(incarnation.service).map(|(_, at)| at).min(),
                };
                let is_later = since_ms.is_some_and(|since_ms| sent_ms >= since_ms);
                is_later
                    .then(|| self.record(now_ms, incarnation, (now_ms, now_ms), None))
                    .flatten()
            }
        }
    }

    /// Applies a statement that another host has passed on.
    pub fn learn(&mut self, now_ms: u64, statement: &BrittleStatement) -> Option<BrittleChange> {
        let incarnation = Incarnation {
            upstream: &statement.upstream,
            service: &statement.service,
            started_ms: statement.started_ms,
        };
        let response_ms = now_ms.saturating_sub(statement.age_ms);
        let first_ms = now_ms.saturating_sub(statement.stated_for_ms);
        let known = self.known.get(&statement.upstream);
        let is_outdated = known.is_some_and(|k| {
            k.started_ms > statement.started_ms
                || (k.started_ms == statement.started_ms && k.response_ms >= response_ms)
        });
        if is_outdated {
            let of_service = |k: &&mut Known| k.service == statement.service;
            for known in self.known.values_mut().filter(of_service) {
                known.first_ms = known.first_ms.min(first_ms);
            }
            return None;
        }
        let count = Some(statement.max_rejections);
        self.record(now_ms, incarnation, (first_ms, response_ms), count)
    }

    fn record(
        &mut self,
        now_ms: u64,
        incarnation: Incarnation<'_>,
        (first_ms, response_ms): (u64, u64),
        max_rejections: Option<u32>,
    ) -> Option<BrittleChange> {
        let before = self.get(incarnation);
        let own = self.own(incarnation);
        let since_ms = own
            .filter(|k| k.max_rejections.is_some())
            .map_or(now_ms, |k| k.since_ms);
        let earlier_ms = self.first_ms(incarnation.service);
        let known = Known {
            service: incarnation.service.clone(),
            started_ms: incarnation.started_ms,
            max_rejections,
            since_ms,
            first_ms: earlier_ms.map_or(first_ms, |at| at.min(first_ms)),
            response_ms,
            gone_ms: None,
        };
        self.known.insert(incarnation.upstream.clone(), known);
        self.drop_ended(now_ms, incarnation.service);
        match (before, max_rejections) {
            (None, Some(count)) => Some(BrittleChange::Brittle(count)),
            (Some(_), None) => Some(BrittleChange::Sound),
            _ => None,
        }
    }

    /// Drops a service whose upstreams no longer state anything, and upstreams long gone.
    fn drop_ended(&mut self, now_ms: u64, service: &ServiceId) {
        let is_retained = |k: &Known| k.gone_ms.is_none_or(|at| now_ms < at + GONE_RETENTION_MS);
        self.known.retain(|_, k| is_retained(k));
        if self.brittle_in(service).next().is_none() {
            self.known.retain(|_, k| k.service != *service);
        }
    }

    /// Records that an upstream is gone.
    pub fn on_removed(&mut self, now_ms: u64, upstream: &UpstreamId) {
        if let Some(known) = self.known.get_mut(upstream) {
            known.gone_ms.get_or_insert(now_ms);
            let service = known.service.clone();
            self.drop_ended(now_ms, &service);
        }
    }

    /// Latest statement of each service.
    pub fn statements(&self, now_ms: u64) -> Vec<BrittleStatement> {
        let mut latest: BTreeMap<&ServiceId, (&UpstreamId, &Known)> = BTreeMap::new();
        let stating = |k: &Known| k.max_rejections.is_some();
        for (upstream, known) in self.known.iter().filter(|(_, k)| stating(k)) {
            let entry = latest.entry(&known.service).or_insert((upstream, known));
            if known.response_ms > entry.1.response_ms {
                *entry = (upstream, known);
            }
        }
        let statement = |(upstream, known): (&UpstreamId, &Known)| BrittleStatement {
            upstream: upstream.clone(),
            service: known.service.clone(),
            started_ms: known.started_ms,
            max_rejections: known.max_rejections.unwrap_or(MAX_STATED_REJECTIONS),
            age_ms: now_ms.saturating_sub(known.response_ms),
            stated_for_ms: now_ms.saturating_sub(known.first_ms),
        };
        latest.into_values().map(statement).collect()
    }
}
