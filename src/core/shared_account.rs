//! Accounts of the places at plain upstreams with fewer slots than the fleet has hosts.
//!
//! Load pattern: hundreds of hosts send to three plain upstreams of six slots each. What a
//! host knows of the others' requests is older than a request takes. Hosts overfill one
//! upstream, which rejects, while another one is idle, and requests of short objectives
//! wait in an upstream's queue behind those that could wait.
//!
//! One host keeps the account of an upstream. Hosts report how many places they hold and
//! how urgent their waiting requests are, and the keeper grants a place that becomes free
//! to the most urgent of them at once, without being asked again. Places are the slots and
//! as many more as keep the slots busy while a place passes from one host to the next.
//!
//! A report states everything that its host knows, so that a later one replaces a lost
//! one. A grant counts as a place in use until its host reports it, or until it is so old
//! that it was probably lost. Hosts of a release that reports no places are counted by
//! the loads that they report.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::ids::{HostId, UpstreamId};
use super::place_account::RoomCut;
use super::rendezvous;
use super::stated::{StatedCount, StatedMillis};

/// Time after which a grant that its host has not reported counts as lost, in
/// milliseconds; hosts that hold or await places report more often.
const GRANT_EXPIRES_MS: u64 = 250;
/// Time without a report after which a host counts as holding nothing, in milliseconds;
/// several reports were lost by then.
const HOST_EXPIRES_MS: u64 = 2_000;
/// Time without a report after which a host's waiting requests are left out, in
/// milliseconds; hosts repeat them about every 150 ms.
const WAITING_EXPIRES_MS: u64 = 500;
/// Time in which a new account grants half of the places, in milliseconds; hosts report
/// what they hold from a former keeper within it.
const NEW_ACCOUNT_MS: u64 = 150;
/// Time after a rejection until a place is added again, in milliseconds.
const REJECTION_HOLD_MS: u64 = 1_000;
/// Time between two places that are added again, in milliseconds.
const STEP_INTERVAL_MS: u64 = 50;
/// Time after which an account without reports is dropped, in milliseconds.
const ACCOUNT_EXPIRES_MS: u64 = 30_000;
/// Weight of a new sample in moving averages.
const EWMA_WEIGHT: f64 = 0.05;

/// What one host holds and awaits at an upstream.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct SharedReport {
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
    /// Requests that it runs at once.
    #[serde_as(as = "StatedCount")]
    #[serde(rename = "c")]
    pub slots: u32,
    /// Rises with each report of the process.
    #[serde(rename = "n")]
    pub sequence: u64,
    /// Requests of the sender at the upstream, and places that it has not used yet.
    #[serde_as(as = "StatedCount")]
    #[serde(rename = "o")]
    pub held: u32,
    /// Latest grant of this keeper that the sender has received; 0 if none.
    #[serde(rename = "g")]
    pub seen_grant: u64,
    /// Urgency of the sender's most urgent waiting requests (`urgency`).
    #[serde_as(as = "Vec<StatedMillis>")]
    #[serde(rename = "w", default)]
    pub waiting: Vec<i64>,
    /// Requests that the upstream has rejected for want of room, since the sender started.
    #[serde(rename = "r", default)]
    pub rejections: u32,
    /// Moving average of the time from a question to its answer, in milliseconds, if known.
    #[serde(rename = "a", default)]
    pub answer_ms: Option<u32>,
    /// Moving average of the time that a request takes at the upstream, in milliseconds.
    #[serde(rename = "t", default)]
    pub response_ms: u32,
}

/// Place that a keeper grants to a host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Grant {
    /// Host.
    pub host: HostId,
    /// Rises with each grant to this host.
    pub number: u64,
}

/// What a host learns of an upstream from its keeper.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct PlaceNews {
    /// Requests of all other hosts in flight.
    pub others: u32,
    /// Waiting requests of other hosts that are more urgent than the host's own.
    pub ahead: u32,
}

#[derive(Clone, Debug, Default)]
struct HostState {
    started_ms: u64,
    sequence: u64,
    heard_ms: u64,
    held: u32,
    /// Grants that the host has not reported yet, with their times.
    granted: VecDeque<(u64, u64)>,
    last_grant: u64,
    last_granted_ms: u64,
    waiting: Vec<i64>,
    rejections: u32,
}

impl HostState {
    fn in_use(&self, now_ms: u64) -> u32 {
        if now_ms >= self.heard_ms + HOST_EXPIRES_MS {
            return 0;
        }
        self.held + self.granted.len() as u32
    }

    fn waiting(&self, now_ms: u64) -> &[i64] {
        if now_ms >= self.heard_ms + WAITING_EXPIRES_MS {
            &[]
        } else {
            &self.waiting
        }
    }
}

#[derive(Clone, Debug)]
struct Account {
    started_ms: u64,
    slots: u32,
    opened_ms: u64,
    heard_ms: u64,
    /// Places that rejections have withdrawn.
    withdrawn: u32,
    next_step_ms: u64,
    /// Requests of hosts that report no places.
    unreported: u32,
    answer_ms: f64,
    response_ms: f64,
    hosts: BTreeMap<HostId, HostState>,
}

impl Account {
    fn new(now_ms: u64, report: &SharedReport) -> Self {
        Self {
            started_ms: report.started_ms,
            slots: report.slots.max(1),
            opened_ms: now_ms,
            heard_ms: now_ms,
            withdrawn: 0,
            next_step_ms: 0,
            unreported: 0,
            answer_ms: 0.0,
            response_ms: 0.0,
            hosts: BTreeMap::new(),
        }
    }

    /// Places at the upstream.
    fn room(&self, now_ms: u64) -> u32 {
        let room = (self.slots + self.spare_places()).saturating_sub(self.withdrawn);
        if now_ms < self.opened_ms + NEW_ACCOUNT_MS {
            return room.div_ceil(2);
        }
        room.max(1)
    }

    /// Places beyond the slots. A place passes from one host to the next by a report and a
    /// grant, and by the ways to and from the upstream, which is as far as the keeper. The
    /// spare places cover the requests that end meanwhile.
    fn spare_places(&self) -> u32 {
        if self.response_ms <= 0.0 {
            return 1;
        }
        let handover_ms = 2.0 * self.answer_ms;
        let ends = f64::from(self.slots) * handover_ms / self.response_ms;
        // Requests do not end at equal intervals.
        ((ends + ends.sqrt()).ceil() as u32).clamp(1, self.slots)
    }

    fn in_flight(&self, now_ms: u64) -> u32 {
        let in_use: u32 = self.hosts.values().map(|h| h.in_use(now_ms)).sum();
        in_use + self.unreported
    }

    fn apply(&mut self, now_ms: u64, report: &SharedReport) -> Option<RoomCut> {
        self.heard_ms = now_ms;
        self.slots = report.slots.max(1);
        let host = self.hosts.entry(report.host.clone()).or_default();
        if report.host_started_ms < host.started_ms {
            return None;
        }
        if report.host_started_ms > host.started_ms {
            *host = HostState {
                started_ms: report.host_started_ms,
                // Above those of an earlier process of this host, which may still arrive.
                last_grant: now_ms << 10,
                rejections: report.rejections,
                ..HostState::default()
            };
        }
        if report.sequence <= host.sequence {
            return None;
        }
        host.heard_ms = now_ms;
        host.sequence = report.sequence;
        host.held = report.held;
        let is_lost = |at_ms: u64| now_ms >= at_ms + GRANT_EXPIRES_MS;
        host.granted
            .retain(|(number, at_ms)| *number > report.seen_grant && !is_lost(*at_ms));
        let absolute = report.waiting.iter().map(|w| w + now_ms.cast_signed());
        host.waiting = absolute.collect();
        host.waiting.sort_unstable();
        // A grant on its way is for the most urgent request.
        let on_their_way = host.granted.len().min(host.waiting.len());
        host.waiting.drain(..on_their_way);
        let is_rejected = report.rejections > host.rejections;
        host.rejections = report.rejections;
        if let Some(answer_ms) = report.answer_ms {
            update(&mut self.answer_ms, f64::from(answer_ms));
        }
        if report.response_ms > 0 {
            update(&mut self.response_ms, f64::from(report.response_ms));
        }
        is_rejected.then(|| self.cut(now_ms)).flatten()
    }

    /// Withdraws places after a rejection: the upstream has fewer than it states, or hosts
    /// send that this account does not know of.
    fn cut(&mut self, now_ms: u64) -> Option<RoomCut> {
        if now_ms < self.next_step_ms.saturating_sub(REJECTION_HOLD_MS / 2) {
            return None;
        }
        let from = self.room(now_ms);
        let to = (self.in_flight(now_ms).min(from) * 3 / 4).max(1);
        self.withdrawn += from - to;
        self.next_step_ms = now_ms + REJECTION_HOLD_MS;
        Some(RoomCut { from, to })
    }

    fn step_up(&mut self, now_ms: u64) {
        if self.withdrawn > 0 && now_ms >= self.next_step_ms {
            self.withdrawn -= 1;
            self.next_step_ms = now_ms + STEP_INTERVAL_MS;
        }
    }

    /// Host with the most urgent waiting request; of several, the one that has waited
    /// longest for a grant.
    fn next_waiting(&self, now_ms: u64) -> Option<HostId> {
        let most_urgent = |h: &HostState| h.waiting(now_ms).first().copied();
        let waiting = self
            .hosts
            .iter()
            .filter_map(|(host, h)| Some((most_urgent(h)?, h.last_granted_ms, host)));
        waiting.min().map(|(_, _, host)| host.clone())
    }

    fn grant(&mut self, now_ms: u64) -> Vec<Grant> {
        self.step_up(now_ms);
        let is_lost = |at_ms: u64| now_ms >= at_ms + GRANT_EXPIRES_MS;
        for host in self.hosts.values_mut() {
            host.granted.retain(|(_, at_ms)| !is_lost(*at_ms));
        }
        let mut free = self.room(now_ms).saturating_sub(self.in_flight(now_ms));
        let mut grants = Vec::new();
        while free > 0
            && let Some(host) = self.next_waiting(now_ms)
        {
            let Some(state) = self.hosts.get_mut(&host) else {
                break;
            };
            state.waiting.remove(0);
            state.last_grant += 1;
            state.last_granted_ms = now_ms;
            let number = state.last_grant;
            state.granted.push_back((number, now_ms));
            grants.push(Grant { host, number });
            free -= 1;
        }
        grants
    }

    fn news(&self, now_ms: u64, host: &HostId) -> PlaceNews {
        let own = self.hosts.get(host);
        let in_use = own.map_or(0, |h| h.in_use(now_ms));
        let own_first = own.and_then(|h| h.waiting(now_ms).first().copied());
        let others = self.hosts.iter().filter(|(id, _)| *id != host);
        let is_ahead = |w: &&i64| own_first.is_none_or(|own| **w <= own);
        let ahead = others.flat_map(|(_, h)| h.waiting(now_ms)).filter(is_ahead);
        PlaceNews {
            others: self.in_flight(now_ms) - in_use,
            ahead: ahead.count() as u32,
        }
    }
}

fn update(value: &mut f64, sample: f64) {
    if *value == 0.0 {
        *value = sample;
    } else {
        *value += (sample - *value) * EWMA_WEIGHT;
    }
}

/// What a report has changed.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct ReportOutcome {
    /// Places for waiting requests.
    pub grants: Vec<Grant>,
    /// Places that were withdrawn after a rejection.
    pub cut: Option<RoomCut>,
}

/// Accounts that one host keeps.
#[derive(Clone, Debug, Default)]
pub struct SharedAccounts {
    accounts: HashMap<UpstreamId, Account>,
}

impl SharedAccounts {
    /// Applies a report. `unreported` counts the requests of hosts that report no places.
    pub fn on_report(
        &mut self,
        now_ms: u64,
        report: &SharedReport,
        unreported: u32,
    ) -> ReportOutcome {
        let account = self
            .accounts
            .entry(report.upstream.clone())
            .or_insert_with(|| Account::new(now_ms, report));
        if report.started_ms < account.started_ms {
            return ReportOutcome::default();
        }
        if report.started_ms > account.started_ms {
            *account = Account::new(now_ms, report);
        }
        account.unreported = unreported;
        let cut = account.apply(now_ms, report);
        ReportOutcome {
            grants: account.grant(now_ms),
            cut,
        }
    }

    /// Grants places that became free without a report: grants were lost, hosts have not
    /// been heard for long, or withdrawn places return.
    pub fn grant_free(&mut self, now_ms: u64) -> Vec<(UpstreamId, Grant)> {
        let is_used = |a: &Account| now_ms < a.heard_ms + ACCOUNT_EXPIRES_MS;
        self.accounts.retain(|_, a| is_used(a));
        let mut grants = Vec::new();
        for (upstream, account) in &mut self.accounts {
            let granted = account.grant(now_ms).into_iter();
            grants.extend(granted.map(|g| (upstream.clone(), g)));
        }
        grants
    }

    /// What a host may know of an upstream.
    pub fn news(&self, now_ms: u64, upstream: &UpstreamId, host: &HostId) -> PlaceNews {
        let account = self.accounts.get(upstream);
        account.map_or_else(PlaceNews::default, |a| a.news(now_ms, host))
    }

    /// Places in use, and all; `None` without an account.
    pub fn places(&self, now_ms: u64, upstream: &UpstreamId) -> Option<(u32, u32)> {
        let account = self.accounts.get(upstream)?;
        Some((account.in_flight(now_ms), account.room(now_ms)))
    }

    /// True if no account is kept.
    pub fn is_empty(&self) -> bool {
        self.accounts.is_empty()
    }
}

/// Host that may keep accounts.
#[derive(Clone, Copy, Debug)]
pub struct KeeperCandidate<'a> {
    /// ID.
    pub host: &'a HostId,
    /// CPU of its machine, in thousandths of a core.
    pub cpu_milli: u32,
    /// True if it is in the availability zone of the upstream.
    pub is_near: bool,
}

/// Keeper of an upstream's account: by rendezvous hashing among the hosts with at least
/// half of the largest CPU share in the upstream's zone, or of all hosts if there is none.
/// A keeper in the zone of the upstream is cut off together with it. Hosts with the same
/// list agree.
pub fn shared_keeper_of<'a>(
    upstream: &UpstreamId,
    candidates: &[KeeperCandidate<'a>],
) -> Option<&'a HostId> {
    let has_near = candidates.iter().any(|c| c.is_near);
    let eligible = candidates.iter().filter(|c| c.is_near == has_near);
    let most_cpu = eligible.clone().map(|c| c.cpu_milli).max()?;
    let strong = eligible.filter(|c| c.cpu_milli >= most_cpu / 2);
    rendezvous::pick(upstream.as_str(), strong.map(|c| c.host))
}
