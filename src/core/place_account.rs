//! Accounts of the places at brittle upstreams.
//!
//! Load pattern: upstreams that fall over when they turn away more than a few requests
//! within a second let fewer requests wait than before, without notice. Hosts that each
//! risk a little exceed that together: with two hosts as with hundreds, one burst that
//! was served before is turned away.
//!
//! One host of the fleet keeps the account of an upstream. Each request takes a place
//! there before it is sent, and returns it at its end. What all hosts may risk at once is
//! one allowance: requests that may still be turned away, and those that were within a
//! second, stay below what the upstream survives. A report of a rejection precedes the
//! next question of its host; a request of which nothing was heard counts as one that may
//! be turned away.
//!
//! Requests within the upstream's slots need not wait there. They are no risk up to the
//! number at which requests were accepted, until one of them is turned away. Places beyond
//! the slots are added one by one and withdrawn together. A new account grants nothing
//! until all hosts have reported.

use std::collections::{BTreeMap, BTreeSet, HashMap};

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::ids::{HostId, UpstreamId};
use super::open_places::{PlacesReport, REJECTION_WINDOW_MS};
use super::rate_account::Keeping;
use super::stated::StatedCount;

/// Time for which a new account grants nothing, in milliseconds; hosts with places report
/// within it.
const NEW_ACCOUNT_MS: u64 = 300;
/// Time without a report after which a host counts as having nothing in flight, in
/// milliseconds; several reports were lost by then.
const HOST_EXPIRES_MS: u64 = 2_000;
/// Time between two additional places, in milliseconds.
const STEP_INTERVAL_MS: u64 = 250;
/// The same up to the slots of the upstream.
const SLOT_STEP_INTERVAL_MS: u64 = 50;
/// Time after a rejection within the slots until places are added again, in milliseconds.
const SLOT_HOLD_MS: u64 = 300;
/// Time after another rejection until places are added again, in milliseconds; doubles
/// with each further one.
const INITIAL_HOLD_MS: u64 = 1_000;
/// Longest such time, in milliseconds.
const MAX_HOLD_MS: u64 = 16_000;
/// Time within which rejections withdraw places once, in milliseconds.
const CUT_INTERVAL_MS: u64 = 100;
/// Places per slot of an upstream; requests beyond them wait at the hosts.
const MAX_PLACES_PER_SLOT: u32 = 2;
/// Time after which a host without a place may ask again, in milliseconds; it is told
/// earlier of a place that becomes free.
const RETRY_MS: u64 = 25;
/// Time after which an account without reports is dropped, in milliseconds.
const ACCOUNT_EXPIRES_MS: u64 = 30_000;

/// Properties of a brittle upstream.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct BrittleLimits {
    /// Rejections within a second that it survives.
    #[serde_as(as = "StatedCount")]
    #[serde(rename = "n")]
    pub max_rejections: u32,
    /// Requests that it runs at once.
    #[serde_as(as = "StatedCount")]
    #[serde(rename = "s")]
    pub slots: u32,
}

/// Answer to a host that asks for a place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PlaceAnswer {
    /// The request may be sent now.
    Granted,
    /// It may not; the host may ask again after a time.
    Denied {
        /// Time in milliseconds.
        retry_in_ms: u64,
    },
}

/// Withdrawal of places after a rejection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RoomCut {
    /// Places until now.
    pub from: u32,
    /// Places from now on.
    pub to: u32,
}

/// Rejections that all hosts together may risk within a second. The allowances of a
/// keeper and its stand-in add up to what the upstream survives at most.
pub fn allowance(max_rejections: u32, keeping: Keeping) -> u32 {
    let keepers = (max_rejections - max_rejections.div_ceil(3)).max(1);
    match keeping {
        Keeping::Keeper => keepers,
        Keeping::StandIn => keepers / 2,
    }
}

#[derive(Clone, Debug, Default)]
struct HostPlaces {
    started_ms: u64,
    sequence: u64,
    heard_ms: u64,
    accepted: u32,
    pending: BTreeSet<u64>,
    rejected_ms: Vec<u64>,
}

#[derive(Clone, Debug)]
struct Account {
    started_ms: u64,
    opened_ms: u64,
    heard_ms: u64,
    limits: BrittleLimits,
    room: u32,
    /// Requests in flight that are no risk.
    trusted: u32,
    last_cut_ms: u64,
    hold_ms: u64,
    next_step_ms: u64,
    hosts: BTreeMap<HostId, HostPlaces>,
}

impl Account {
    fn new(now_ms: u64, started_ms: u64, limits: BrittleLimits, keeping: Keeping) -> Self {
        let slots = limits.slots.max(1);
        let room = match keeping {
            Keeping::Keeper => slots,
            // The keeper may have filled the slots.
            Keeping::StandIn => slots.div_ceil(4),
        };
        Self {
            started_ms,
            opened_ms: now_ms,
            heard_ms: now_ms,
            limits,
            room,
            trusted: 0,
            last_cut_ms: 0,
            hold_ms: INITIAL_HOLD_MS,
            next_step_ms: now_ms + INITIAL_HOLD_MS,
            hosts: BTreeMap::new(),
        }
    }

    fn accepted(&self) -> u32 {
        self.hosts.values().map(|h| h.accepted).sum()
    }

    fn pending(&self) -> u32 {
        self.hosts.values().map(|h| h.pending.len() as u32).sum()
    }

    fn in_flight(&self) -> u32 {
        self.accepted() + self.pending()
    }

    fn recent_rejections(&self, now_ms: u64) -> u32 {
        let times = self.hosts.values().flat_map(|h| &h.rejected_ms);
        times
            .filter(|at| now_ms < **at + REJECTION_WINDOW_MS)
            .count() as u32
    }

    /// Takes over what a host reports; the last rejection that it lists, if any.
    fn apply(&mut self, now_ms: u64, report: &PlacesReport) -> Option<u64> {
        self.heard_ms = now_ms;
        let host = self.hosts.entry(report.host.clone()).or_default();
        if report.host_started_ms < host.started_ms {
            return None;
        }
        if report.host_started_ms > host.started_ms {
            *host = HostPlaces {
                started_ms: report.host_started_ms,
                ..HostPlaces::default()
            };
        }
        host.heard_ms = now_ms;
        if report.sequence <= host.sequence {
            return None;
        }
        host.sequence = report.sequence;
        host.accepted = report.accepted;
        // Places that were granted after the report was sent are not in it.
        let is_open = |number: &u64| *number > report.sequence || report.pending.contains(number);
        host.pending.retain(is_open);
        let ages = report.rejection_ages_ms.iter();
        host.rejected_ms = ages.map(|age_ms| now_ms.saturating_sub(*age_ms)).collect();
        host.rejected_ms.iter().max().copied()
    }

    fn expire_hosts(&mut self, now_ms: u64) {
        let is_heard = |h: &HostPlaces| now_ms < h.heard_ms + HOST_EXPIRES_MS;
        self.hosts.retain(|_, h| is_heard(h));
    }

    /// Withdraws places after a rejection.
    fn cut(&mut self, now_ms: u64) -> RoomCut {
        let (from, slots) = (self.room, self.limits.slots.max(1));
        let in_flight = self.in_flight();
        self.last_cut_ms = now_ms;
        if in_flight >= slots {
            self.room = slots.min(from);
            self.next_step_ms = now_ms + self.hold_ms;
            self.hold_ms = (self.hold_ms * 2).min(MAX_HOLD_MS);
        } else {
            self.room = (in_flight * 3 / 4).max(1).min(from);
            self.trusted = 0;
            self.next_step_ms = now_ms + SLOT_HOLD_MS;
        }
        RoomCut {
            from,
            to: self.room,
        }
    }

    /// Adds a place if all are in use and none was withdrawn lately.
    fn step_up(&mut self, now_ms: u64) {
        let slots = self.limits.slots.max(1);
        if now_ms < self.next_step_ms || self.room >= slots * MAX_PLACES_PER_SLOT {
            return;
        }
        self.room += 1;
        let interval_ms = if self.room < slots {
            SLOT_STEP_INTERVAL_MS
        } else {
            STEP_INTERVAL_MS
        };
        self.next_step_ms = now_ms + interval_ms;
    }

    fn may_grant(&self, now_ms: u64, keeping: Keeping) -> bool {
        let (pending, in_flight) = (self.pending(), self.in_flight());
        let rejections = self.recent_rejections(now_ms);
        let trusted = self.trusted.saturating_sub(rejections);
        if in_flight < trusted {
            return in_flight < self.room;
        }
        let at_risk = pending.min(in_flight - trusted);
        in_flight < self.room
            && at_risk + rejections < allowance(self.limits.max_rejections, keeping)
    }
}

/// Accounts that one host keeps.
#[derive(Clone, Debug, Default)]
pub struct PlaceAccounts {
    accounts: HashMap<(UpstreamId, Keeping), Account>,
}

impl PlaceAccounts {
    /// Applies a report to an account; places that were withdrawn because of it.
    pub fn on_report(
        &mut self,
        now_ms: u64,
        report: &PlacesReport,
        limits: BrittleLimits,
        keeping: Keeping,
    ) -> Option<RoomCut> {
        let key = (report.upstream.clone(), keeping);
        let new = || Account::new(now_ms, report.started_ms, limits, keeping);
        let account = self.accounts.entry(key).or_insert_with(new);
        if report.started_ms < account.started_ms {
            return None;
        }
        if report.started_ms > account.started_ms {
            *account = new();
        }
        account.limits = limits;
        account.expire_hosts(now_ms);
        let (in_flight, pending) = (account.in_flight(), account.pending());
        let rejected_ms = account.apply(now_ms, report).unwrap_or(0);
        if rejected_ms > account.last_cut_ms + CUT_INTERVAL_MS {
            return Some(account.cut(now_ms));
        }
        let is_accepted = account.pending() < pending && rejected_ms <= account.last_cut_ms;
        let accepted = if is_accepted { in_flight } else { 0 };
        let shown = if account.recent_rejections(now_ms) == 0 {
            accepted.max(account.accepted())
        } else {
            accepted
        };
        if keeping == Keeping::Keeper {
            account.trusted = account.trusted.max(shown.min(limits.slots));
        }
        None
    }

    /// Grants the place that a report asks for, if there is one.
    pub fn try_take(
        &mut self,
        now_ms: u64,
        report: &PlacesReport,
        limits: BrittleLimits,
        keeping: Keeping,
    ) -> (PlaceAnswer, Option<RoomCut>) {
        let cut = self.on_report(now_ms, report, limits, keeping);
        let denied = PlaceAnswer::Denied {
            retry_in_ms: RETRY_MS,
        };
        let key = (report.upstream.clone(), keeping);
        let Some(account) = self.accounts.get_mut(&key) else {
            return (denied, cut);
        };
        if report.started_ms < account.started_ms || now_ms < account.opened_ms + NEW_ACCOUNT_MS {
            return (denied, cut);
        }
        if account.in_flight() >= account.room {
            account.step_up(now_ms);
        }
        if !account.may_grant(now_ms, keeping) {
            return (denied, cut);
        }
        if let Some(host) = account.hosts.get_mut(&report.host) {
            host.pending.insert(report.sequence);
        }
        (PlaceAnswer::Granted, cut)
    }

    /// True if an account would grant a place.
    pub fn has_place(&self, now_ms: u64, upstream: &UpstreamId) -> bool {
        let account = self.accounts.get(&(upstream.clone(), Keeping::Keeper));
        account.is_some_and(|a| a.may_grant(now_ms, Keeping::Keeper))
    }

    /// Places at an upstream; `None` without an account.
    pub fn room(&self, upstream: &UpstreamId) -> Option<u32> {
        let account = self.accounts.get(&(upstream.clone(), Keeping::Keeper));
        account.map(|a| a.room)
    }

    /// Drops the accounts of which no host has reported for long.
    pub fn drop_unused(&mut self, now_ms: u64) {
        let is_used = |a: &Account| now_ms < a.heard_ms + ACCOUNT_EXPIRES_MS;
        self.accounts.retain(|_, a| is_used(a));
    }
}
