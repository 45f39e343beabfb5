//! Timeline of typed events.
//!
//! Each process keeps a ring buffer of events with timestamps of a hybrid
//! logical clock, so that the events of all processes merge into one order
//! that is consistent with causality.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::ids::{ArtifactId, HostId, TeamId, UpstreamId};
use super::ledger::{FencingToken, OrderKind};
use super::outcome::{Outcome, Reason};

/// Number of events kept by one process.
pub const MAX_EVENTS: usize = 8_192;

/// Timestamp of a hybrid logical clock.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Hlc {
    /// Wall time in milliseconds.
    pub wall_ms: u64,
    /// Counter that orders events of the same millisecond.
    pub logical: u32,
}

impl Hlc {
    /// Advances for a local event.
    pub fn tick(&mut self, now_ms: u64) -> Self {
        if now_ms > self.wall_ms {
            *self = Self {
                wall_ms: now_ms,
                logical: 0,
            };
        } else {
            self.logical += 1;
        }
        *self
    }

    /// Advances past a timestamp received from another process.
    pub fn merge(&mut self, now_ms: u64, received: Self) {
        if received > *self {
            *self = received;
        }
        self.tick(now_ms);
    }
}

/// Kind of event, with its data.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum EventKind {
    /// A request was sent to an upstream.
    Attempt {
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Estimated load of the chosen upstream in per mille.
        load_permille: u32,
        /// Number of upstreams with the model ready.
        copies: usize,
    },
    /// A request ended.
    Ended {
        /// Outcome reported to the caller.
        outcome: Outcome,
        /// HTTP status of the response.
        status: u16,
        /// Reason of an error response.
        reason: Option<Reason>,
        /// Time spent in this host, in milliseconds.
        took_ms: u64,
    },
    /// The ledger was written; the order is sent next.
    Ordered {
        /// Ordered operation.
        order: OrderKind,
        /// Fencing token.
        number: FencingToken,
        /// Model.
        artifact: ArtifactId,
    },
    /// An engine responded to an order.
    OrderAnswered {
        /// Fencing token.
        number: FencingToken,
        /// True if the engine accepted the order.
        accepted: bool,
    },
    /// This host became the acting host of an upstream.
    Acquired {
        /// Fencing token.
        number: FencingToken,
    },
    /// A configuration subtree was adopted.
    ConfigAdopted {
        /// Revision.
        revision: u64,
    },
    /// A configuration subtree was rejected.
    ConfigRefused {
        /// Revision.
        revision: u64,
        /// Number of findings.
        findings: usize,
    },
    /// The platform's key-value service became available or unavailable.
    Platform {
        /// True if the service is available.
        is_up: bool,
    },
    /// The host started draining.
    Draining,
    /// The process started.
    Started,
}

/// One event of one process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// Time of the event.
    pub at: Hlc,
    /// Host that recorded the event.
    pub host: HostId,
    /// Request, if it concerns one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub request: Option<String>,
    /// Team, if it concerns one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub team: Option<TeamId>,
    /// Upstream, if it concerns one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub upstream: Option<UpstreamId>,
    /// Kind of event.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// Request, team and upstream that an event concerns.
#[derive(Clone, Copy, Debug, Default)]
pub struct Subject<'a> {
    /// Request.
    pub request: Option<&'a str>,
    /// Team.
    pub team: Option<&'a TeamId>,
    /// Upstream.
    pub upstream: Option<&'a UpstreamId>,
}

/// Ring buffer of the newest events.
#[derive(Debug)]
pub struct Timeline {
    host: HostId,
    clock: Hlc,
    events: VecDeque<Event>,
}

impl Timeline {
    /// Empty timeline of a process.
    pub fn new(host: &HostId) -> Self {
        Self {
            host: host.clone(),
            clock: Hlc::default(),
            events: VecDeque::new(),
        }
    }

    /// Records an event, and drops the oldest one if the buffer is full.
    pub fn record(&mut self, now_ms: u64, subject: Subject<'_>, kind: EventKind) {
        if self.events.len() == MAX_EVENTS {
            self.events.pop_front();
        }
        self.events.push_back(Event {
            at: self.clock.tick(now_ms),
            host: self.host.clone(),
            request: subject.request.map(str::to_owned),
            team: subject.team.cloned(),
            upstream: subject.upstream.cloned(),
            kind,
        });
    }

    /// Clock to attach to a message.
    pub fn clock(&self) -> Hlc {
        self.clock
    }

    /// Merges the clock of a received message.
    pub fn merge_clock(&mut self, now_ms: u64, received: Hlc) {
        self.clock.merge(now_ms, received);
    }

    /// Recorded events, oldest first.
    pub fn events(&self) -> impl Iterator<Item = &Event> {
        self.events.iter()
    }
}

/// Merges the events of several processes into one order.
pub fn merge(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|a, b| (a.at, &a.host).cmp(&(b.at, &b.host)));
    events
}
