//! Time line of typed events.
//!
//! Each process keeps a bounded ring. Events carry a hybrid logical clock, so
//! that the rings of all processes merge into one order that agrees with
//! cause and effect.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};

use super::ids::{ArtifactId, HostId, TeamId, UpstreamId};
use super::ledger::{FencingNumber, OrderKind};
use super::outcome::{Outcome, Reason};

/// Events kept by one process.
pub const RING_EVENTS: usize = 8_192;

/// Time of a hybrid logical clock.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
pub struct Hlc {
    /// Wall time in milliseconds.
    pub wall_ms: u64,
    /// Order among events of the same millisecond.
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

    /// Advances past a time received from another process.
    pub fn merge(&mut self, now_ms: u64, received: Self) {
        if received > *self {
            *self = received;
        }
        self.tick(now_ms);
    }
}

/// What happened.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "snake_case", tag = "kind")]
pub enum EventKind {
    /// Request was sent to an upstream.
    Attempt {
        /// Number of the attempt, from 1.
        attempt: u32,
        /// Estimated load of the chosen upstream in per mille.
        load_permille: u32,
        /// Upstreams that had the model ready.
        copies: usize,
    },
    /// Request ended.
    Ended {
        /// Outcome told to the caller.
        outcome: Outcome,
        /// HTTP status.
        status: u16,
        /// Reason of a refusal.
        reason: Option<Reason>,
        /// Time in this host in milliseconds.
        took_ms: u64,
    },
    /// Ledger was written and an order sent.
    Ordered {
        /// What was ordered.
        order: OrderKind,
        /// Fencing number.
        number: FencingNumber,
        /// Model.
        artifact: ArtifactId,
    },
    /// Engine answered an order.
    OrderAnswered {
        /// Fencing number.
        number: FencingNumber,
        /// True if the engine carried it out.
        accepted: bool,
    },
    /// This host became the acting host of an upstream.
    Acquired {
        /// Fencing number.
        number: FencingNumber,
    },
    /// Subtree came into force.
    ConfigAdopted {
        /// Revision.
        revision: u64,
    },
    /// Subtree was refused.
    ConfigRefused {
        /// Revision.
        revision: u64,
        /// Number of findings.
        findings: usize,
    },
    /// Platform's service stopped or began to answer.
    Platform {
        /// True if it answers.
        is_up: bool,
    },
    /// Host began to stop.
    Draining,
    /// Process started.
    Started,
}

/// One event of one process.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Event {
    /// When.
    pub at: Hlc,
    /// Process.
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
    /// What.
    #[serde(flatten)]
    pub kind: EventKind,
}

/// What an event concerns.
#[derive(Clone, Copy, Debug, Default)]
pub struct Subject<'a> {
    /// Request.
    pub request: Option<&'a str>,
    /// Team.
    pub team: Option<&'a TeamId>,
    /// Upstream.
    pub upstream: Option<&'a UpstreamId>,
}

/// Ring of the newest events.
#[derive(Debug)]
pub struct Timeline {
    host: HostId,
    clock: Hlc,
    events: VecDeque<Event>,
}

impl Timeline {
    /// Empty ring of a process.
    pub fn new(host: &HostId) -> Self {
        Self {
            host: host.clone(),
            clock: Hlc::default(),
            events: VecDeque::new(),
        }
    }

    /// Records an event; drops the oldest one if the ring is full.
    pub fn record(&mut self, now_ms: u64, subject: Subject<'_>, kind: EventKind) {
        if self.events.len() == RING_EVENTS {
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

    /// Clock to send along with a message.
    pub fn clock(&self) -> Hlc {
        self.clock
    }

    /// Takes in the clock of a message.
    pub fn merge_clock(&mut self, now_ms: u64, received: Hlc) {
        self.clock.merge(now_ms, received);
    }

    /// Events, oldest first.
    pub fn events(&self) -> impl Iterator<Item = &Event> {
        self.events.iter()
    }
}

/// Merges the events of several processes into one order.
pub fn merge(mut events: Vec<Event>) -> Vec<Event> {
    events.sort_by(|a, b| (a.at, &a.host).cmp(&(b.at, &b.host)));
    events
}
