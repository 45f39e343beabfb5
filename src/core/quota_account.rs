//! Accounts of the quotas of organisations, as one keeper keeps them.
//!
//! Load pattern: some hundred hosts serve the requests of up to a thousand organisations,
//! each of which may use a few thousand to some hundred thousand tokens a second over all
//! hosts together, while hosts end, freeze, and lose contact to one another.
//!
//! Each of the N hosts owns 1/N of every quota and delegates it to one keeper for a second
//! at a time. An account refills with the part of the quota whose delegations are in force
//! and holds at most that part of the burst, so that the accounts of several keepers never
//! add up to more than the quota.
//!
//! The keeper stamps its answers with its own clock, and a delegation is in force for a
//! second from the stamp that it returns. Delegations that arrive late, or that a keeper
//! reads after it was frozen, are therefore never in force for longer than the host that
//! has sent them assumes.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::rc::Rc;

use serde::{Deserialize, Serialize};
use serde_with::serde_as;

use super::ids::{HostId, OrganisationId};
use super::rendezvous::hash;
use super::stated::{StatedMillis, StatedSize};

/// Groups of organisations. Hosts delegate each group to one keeper; the number is the same
/// for all hosts, because hosts that group organisations differently would delegate a share
/// twice.
pub const GROUPS: usize = 4;
/// Time from a stamp for which a delegation that returns it is in force, in milliseconds.
pub const DELEGATION_MS: u64 = 1_000;
/// Time for which credit granted ahead counts as held by its host, in milliseconds; the
/// host gives it back earlier.
pub const AHEAD_HELD_MS: u64 = 1_000;
/// Share of the burst that stays at the keeper when it grants credit ahead.
const AHEAD_RESERVE: f64 = 0.25;
/// Share of the overage by which an account may be overdrawn for a request that costs more
/// than the burst.
const DEBT_SHARE: f64 = 0.5;
/// Longest time that a refused caller is told to wait, in milliseconds.
const MAX_RETRY_MS: f64 = 8_000.0;
/// Shortest such time, in milliseconds.
const MIN_RETRY_MS: f64 = 20.0;
/// Low points of an account's headroom that are kept.
const MAX_LOW_POINTS: usize = 48;
/// Time after which the account of an organisation that is not configured is closed, in
/// milliseconds.
const UNUSED_MS: u64 = 60_000;
/// Marks that an account may use in a millisecond; marks start at the time at which an
/// account is opened, so that those of its predecessors are told apart.
const MARKS_PER_MS: u64 = 1_024;
/// Rounding error of balances that is tolerated, in units.
const EPSILON: f64 = 1e-6;

/// Group of an organisation.
pub fn group_of(organisation: &OrganisationId) -> usize {
    (hash(organisation.as_str()) % GROUPS as u64) as usize
}

/// Set of groups, as a bit mask.
pub type GroupMask = u8;

/// Mask with one group.
pub fn mask_of(group: usize) -> GroupMask {
    1 << group
}

/// Time at a keeper's clock.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Stamp {
    /// Start of the keeper's process, in milliseconds since the epoch.
    #[serde(rename = "s")]
    pub started_ms: u64,
    /// Time, in milliseconds since the epoch.
    #[serde(rename = "t")]
    pub at_ms: u64,
}

/// Process of a host that asks.
#[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Asker {
    /// Host.
    #[serde(rename = "h")]
    pub host: HostId,
    /// Start of its process, in milliseconds since the epoch.
    #[serde(rename = "s")]
    pub started_ms: u64,
}

/// Quota of an organisation in one version of the configuration.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct QuotaLimit {
    /// Version of the configuration.
    #[serde(rename = "v")]
    pub version: u64,
    /// Units a second.
    #[serde(rename = "r")]
    pub per_s: f64,
    /// Largest balance.
    #[serde(rename = "b")]
    pub burst: f64,
}

/// What a host asks for.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Ask {
    /// Identifies the question; a repeated question has the same number.
    #[serde(rename = "k")]
    pub ticket: u64,
    /// Units for a request; 0 if only credit ahead is asked for.
    #[serde_as(as = "StatedSize")]
    #[serde(rename = "c")]
    pub cost: u64,
    /// Units of credit ahead that the host can use.
    #[serde_as(as = "StatedSize")]
    #[serde(rename = "a", default)]
    pub ahead: u64,
}

/// Answer of a keeper.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum QuotaAnswer {
    /// The request may be sent.
    #[serde(rename = "g")]
    Granted {
        /// Position in the account's history, for a refund.
        #[serde(rename = "m")]
        mark: u64,
        /// Units of credit granted ahead.
        #[serde_as(as = "StatedSize")]
        #[serde(rename = "a", default)]
        ahead: u64,
    },
    /// The quota is used up.
    #[serde(rename = "o")]
    OverQuota {
        /// Time until there is credit, in milliseconds.
        #[serde_as(as = "StatedMillis")]
        #[serde(rename = "i")]
        retry_in_ms: u64,
    },
    /// No share of the quota is delegated here.
    #[serde(rename = "u")]
    Unknown,
}

/// Credit that is given back.
#[serde_as]
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Refund {
    /// Identifies the refund among the questions of its host.
    #[serde(rename = "k")]
    pub ticket: u64,
    /// Units.
    #[serde_as(as = "StatedSize")]
    #[serde(rename = "c")]
    pub amount: u64,
    /// Mark of the grant.
    #[serde(rename = "m")]
    pub mark: u64,
    /// True if it is credit ahead that was not spent.
    #[serde(rename = "a", default)]
    pub is_ahead: bool,
}

/// By how much the use of a quota may exceed it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Overage {
    /// Window of the rule, in seconds.
    pub window_s: f64,
    /// Share of the quota.
    pub share: f64,
}

impl Overage {
    /// Units by which an account of the whole quota may be overdrawn.
    fn debt(&self, limit: &QuotaLimit) -> f64 {
        DEBT_SHARE * self.share * (limit.per_s * self.window_s + limit.burst)
    }
}

/// Credit granted ahead that a host may hold.
#[derive(Clone, Copy, Debug)]
struct HeldAhead {
    until_ms: u64,
    units: f64,
    /// Mark of the grant.
    mark: u64,
}

/// Account of one organisation.
#[derive(Clone, Debug)]
struct Account {
    limit: QuotaLimit,
    balance: f64,
    advanced_ms: u64,
    asked_ms: u64,
    /// Grants of credit ahead that hosts may hold.
    ahead: VecDeque<HeldAhead>,
    /// Units that refused callers were told to come back for.
    promised: f64,
    mark: u64,
    /// Mark at which the account was opened; earlier charges were made elsewhere.
    opened_mark: u64,
    /// Low points of the headroom, each lower than all later ones: mark and units.
    low_points: VecDeque<(u64, f64)>,
    used: u64,
}

impl Account {
    fn new(now_ms: u64, limit: QuotaLimit) -> Self {
        Self {
            limit,
            balance: 0.0,
            advanced_ms: now_ms,
            asked_ms: now_ms,
            ahead: VecDeque::new(),
            promised: 0.0,
            mark: now_ms * MARKS_PER_MS,
            opened_mark: now_ms * MARKS_PER_MS,
            low_points: VecDeque::new(),
            used: 0,
        }
    }

    fn held_ahead(&self) -> f64 {
        self.ahead.iter().map(|held| held.units).sum()
    }

    /// Refills for the time since the last change at a fraction of the quota, then holds
    /// at most what `cap_fraction` allows.
    fn advance(&mut self, now_ms: u64, fraction: f64, cap_fraction: f64) {
        let elapsed_s = now_ms.saturating_sub(self.advanced_ms) as f64 / 1000.0;
        let refill = self.limit.per_s * fraction * elapsed_s;
        // Credit that a host may still hold counts against the burst for the whole time:
        // it may be spent in the same window as the balance.
        let cap = self.limit.burst * cap_fraction - self.held_ahead();
        self.balance = (self.balance + refill).min(cap);
        self.promised = (self.promised - refill).max(0.0);
        self.advanced_ms = self.advanced_ms.max(now_ms);
        while self
            .ahead
            .front()
            .is_some_and(|held| held.until_ms <= now_ms)
        {
            self.ahead.pop_front();
        }
        self.record_headroom((cap - self.balance).max(0.0));
    }

    fn record_headroom(&mut self, headroom: f64) {
        self.mark += 1;
        while self.low_points.back().is_some_and(|(_, h)| *h >= headroom) {
            self.low_points.pop_back();
        }
        self.low_points.push_back((self.mark, headroom));
        if self.low_points.len() > MAX_LOW_POINTS {
            let lowest = self.low_points.pop_front();
            if let (Some((_, low)), Some(second)) = (lowest, self.low_points.front_mut()) {
                second.1 = low;
            }
        }
    }

    /// Gives back a charge as if it had not been made: credit that would have exceeded the
    /// burst since then is lost.
    fn refund(&mut self, amount: f64, mark: u64) -> f64 {
        if mark <= self.opened_mark {
            return 0.0;
        }
        let mut since = self.low_points.iter().filter(|(m, _)| *m > mark);
        let headroom = since.next().map_or(0.0, |(_, h)| *h);
        let returned = amount.min(headroom);
        if returned <= 0.0 {
            return 0.0;
        }
        self.balance += returned;
        // Later refunds see the balances that this one would have led to.
        let points = std::mem::take(&mut self.low_points);
        for (at, headroom) in points {
            let lowered = if at > mark {
                headroom - returned
            } else {
                headroom
            };
            while self.low_points.back().is_some_and(|(_, h)| *h >= lowered) {
                self.low_points.pop_back();
            }
            self.low_points.push_back((at, lowered));
        }
        returned
    }

    /// Moves unspent credit ahead back to the balance, unless it has expired.
    fn return_ahead(&mut self, amount: f64, mark: u64) -> f64 {
        let held = self.ahead.iter_mut().find(|held| held.mark == mark);
        let returned = held.map_or(0.0, |held| {
            let returned = amount.min(held.units);
            held.units -= returned;
            returned
        });
        self.balance += returned;
        returned
    }

    fn ask(&mut self, now_ms: u64, fraction: f64, ask: Ask, overage: Overage) -> QuotaAnswer {
        self.asked_ms = now_ms;
        let cap = self.limit.burst * fraction;
        let cost = ask.cost as f64;
        let is_covered = self.balance + EPSILON >= cost;
        // A request that costs more than the burst would never be served.
        let is_oversize = cost > cap
            && self.balance + EPSILON >= cap
            && cost - self.balance <= overage.debt(&self.limit) * fraction;
        if !is_covered && !is_oversize {
            return self.refuse(cost, cap + overage.debt(&self.limit) * fraction, fraction);
        }
        self.balance -= cost;
        self.used += ask.cost;
        let spare = (self.balance - cap * AHEAD_RESERVE).max(0.0);
        let ahead = (ask.ahead as f64).min(spare).floor();
        if ahead > 0.0 {
            self.balance -= ahead;
            self.used += ahead as u64;
            self.ahead.push_back(HeldAhead {
                until_ms: now_ms + AHEAD_HELD_MS,
                units: ahead,
                mark: self.mark,
            });
        }
        QuotaAnswer::Granted {
            mark: self.mark,
            ahead: ahead as u64,
        }
    }

    /// Refuses a request, and tells its caller a time at which the account has refilled
    /// for it and for those that were refused before.
    fn refuse(&mut self, cost: f64, max_cost: f64, fraction: f64) -> QuotaAnswer {
        if cost > max_cost {
            let retry_in_ms = MAX_RETRY_MS as u64;
            return QuotaAnswer::OverQuota { retry_in_ms };
        }
        let per_ms = self.limit.per_s * fraction / 1000.0;
        let missing = (cost - self.balance).max(0.0);
        let wait_ms = (missing + self.promised) / per_ms;
        if wait_ms < MAX_RETRY_MS {
            self.promised += cost;
        }
        QuotaAnswer::OverQuota {
            retry_in_ms: wait_ms.clamp(MIN_RETRY_MS, MAX_RETRY_MS).ceil() as u64,
        }
    }
}

/// Delegation of a host's share.
#[derive(Clone, Copy, Debug)]
struct Delegation {
    asker_started_ms: u64,
    until_ms: u64,
    /// Number of hosts that the host knows.
    known_hosts: u32,
}

/// Delegations and accounts of one group.
#[derive(Clone, Debug, Default)]
struct Group {
    delegations: BTreeMap<HostId, Delegation>,
    /// Part of the quotas that is delegated.
    fraction: f64,
    accounts: BTreeMap<OrganisationId, Account>,
}

impl Group {
    fn advance_all(&mut self, now_ms: u64, cap_fraction: f64) {
        for account in self.accounts.values_mut() {
            account.advance(now_ms, self.fraction, cap_fraction);
        }
    }

    fn set_fraction(&mut self, now_ms: u64, fraction: f64) {
        if (fraction - self.fraction).abs() <= f64::EPSILON {
            return;
        }
        // Balances that grew under the former fraction stay below its part of the burst.
        let cap_fraction = fraction.min(self.fraction);
        self.advance_all(now_ms, cap_fraction);
        self.fraction = fraction;
    }

    fn sum(&self, fleet: &FleetSize) -> f64 {
        let shares = self.delegations.values();
        let shares = shares.map(|d| 1.0 / f64::from(d.known_hosts.max(fleet.known).max(1)));
        let unheard = |h: &&HostId| !self.delegations.contains_key(*h);
        let unheard = fleet.mature.iter().filter(unheard).count() as f64;
        // Hosts that have not heard of a new host still use larger shares.
        let left = 1.0 - unheard / (fleet.mature.len() as f64).max(1.0);
        shares.sum::<f64>().min(left).clamp(0.0, 1.0)
    }
}

/// Hosts that a keeper knows.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FleetSize {
    /// Number of hosts.
    pub known: u32,
    /// Hosts that are known for so long that all hosts know them.
    pub mature: Rc<BTreeSet<HostId>>,
}

/// Use of a quota, for operators.
#[derive(Clone, Debug, PartialEq)]
pub struct AccountState {
    /// Organisation.
    pub organisation: OrganisationId,
    /// Units that are left.
    pub balance: f64,
    /// Units that hosts may hold as credit ahead.
    pub held_ahead: f64,
    /// Part of the quota that is delegated to this keeper.
    pub fraction: f64,
    /// Units granted since the account exists, less those given back.
    pub used: u64,
}

/// Accounts that one host keeps.
#[derive(Clone, Debug)]
pub struct QuotaAccounts {
    started_ms: u64,
    overage: Overage,
    fleet: FleetSize,
    groups: [Group; GROUPS],
    /// No delegation lapses earlier.
    next_lapse_ms: u64,
    answers: HashMap<(Asker, u64), QuotaAnswer>,
    answered: VecDeque<(u64, (Asker, u64))>,
}

impl QuotaAccounts {
    /// Accounts of a process that keeps none yet.
    pub fn new(started_ms: u64, overage: Overage) -> Self {
        Self {
            started_ms,
            overage,
            fleet: FleetSize::default(),
            groups: std::array::from_fn(|_| Group::default()),
            next_lapse_ms: u64::MAX,
            answers: HashMap::new(),
            answered: VecDeque::new(),
        }
    }

    /// Stamp for an answer.
    pub fn stamp(&self, now_ms: u64) -> Stamp {
        Stamp {
            started_ms: self.started_ms,
            at_ms: now_ms,
        }
    }

    /// True if a message with a stamp of this keeper is recent enough to be heeded.
    pub fn is_current(&self, now_ms: u64, stamp: Stamp) -> bool {
        stamp.started_ms == self.started_ms
            && stamp.at_ms <= now_ms
            && now_ms < stamp.at_ms + DELEGATION_MS
    }

    /// Sets by how much use may exceed quotas.
    pub fn set_overage(&mut self, overage: Overage) {
        self.overage = overage;
    }

    /// Takes over the hosts that this host knows.
    pub fn set_fleet(&mut self, now_ms: u64, fleet: FleetSize) {
        self.expire(now_ms);
        if self.fleet != fleet {
            self.fleet = fleet;
            for group in 0..GROUPS {
                self.update_fraction(now_ms, group);
            }
        }
    }

    fn update_fraction(&mut self, now_ms: u64, group: usize) {
        let group = &mut self.groups[group];
        let fraction = group.sum(&self.fleet);
        group.set_fraction(now_ms, fraction);
    }

    /// Ends the delegations that have lapsed, each at its time.
    fn expire(&mut self, now_ms: u64) {
        while self.next_lapse_ms <= now_ms {
            let at_ms = self.next_lapse_ms;
            let mut next_ms = u64::MAX;
            for group in 0..GROUPS {
                let delegations = &mut self.groups[group].delegations;
                let before = delegations.len();
                delegations.retain(|_, d| d.until_ms > at_ms);
                let is_changed = delegations.len() != before;
                let soonest = delegations.values().map(|d| d.until_ms).min();
                next_ms = next_ms.min(soonest.unwrap_or(u64::MAX));
                if is_changed {
                    self.update_fraction(at_ms, group);
                }
            }
            self.next_lapse_ms = next_ms;
        }
        while self
            .answered
            .front()
            .is_some_and(|(at, _)| at + 2 * DELEGATION_MS <= now_ms)
        {
            if let Some((_, key)) = self.answered.pop_front() {
                self.answers.remove(&key);
            }
        }
    }

    /// Takes over the shares that a host delegates; false if its stamp is too old.
    pub fn delegate(
        &mut self,
        now_ms: u64,
        asker: &Asker,
        stamp: Stamp,
        groups: GroupMask,
        known_hosts: u32,
    ) -> bool {
        self.expire(now_ms);
        if !self.is_current(now_ms, stamp) {
            return false;
        }
        let until_ms = stamp.at_ms + DELEGATION_MS;
        for group in (0..GROUPS).filter(|g| groups & mask_of(*g) != 0) {
            let delegations = &mut self.groups[group].delegations;
            let current = delegations.get(&asker.host).copied();
            if current.is_some_and(|d| d.asker_started_ms > asker.started_ms) {
                continue;
            }
            let delegation = Delegation {
                asker_started_ms: asker.started_ms,
                until_ms: current.map_or(until_ms, |d| d.until_ms.max(until_ms)),
                known_hosts: current
                    .filter(|d| d.until_ms > until_ms)
                    .map_or(known_hosts, |d| d.known_hosts),
            };
            delegations.insert(asker.host.clone(), delegation);
            self.next_lapse_ms = self.next_lapse_ms.min(until_ms);
            if current.map(|d| d.known_hosts) != Some(delegation.known_hosts) {
                self.update_fraction(now_ms, group);
            }
        }
        true
    }

    /// Answers a question; a repeated one as before.
    pub fn ask(
        &mut self,
        now_ms: u64,
        asker: &Asker,
        organisation: &OrganisationId,
        limit: QuotaLimit,
        ask: Ask,
    ) -> QuotaAnswer {
        self.expire(now_ms);
        let key = (asker.clone(), ask.ticket);
        if let Some(answer) = self.answers.get(&key) {
            return *answer;
        }
        let overage = self.overage;
        let fraction = self.groups[group_of(organisation)].fraction;
        if fraction <= 0.0 {
            return QuotaAnswer::Unknown;
        }
        let account = self.account(now_ms, organisation, limit);
        let answer = account.ask(now_ms, fraction, ask, overage);
        self.remember(now_ms, key, answer);
        answer
    }

    fn remember(&mut self, now_ms: u64, key: (Asker, u64), answer: QuotaAnswer) {
        self.answered.push_back((now_ms, key.clone()));
        self.answers.insert(key, answer);
    }

    /// Account of an organisation, up to date; a new one is empty.
    fn account(
        &mut self,
        now_ms: u64,
        organisation: &OrganisationId,
        limit: QuotaLimit,
    ) -> &mut Account {
        let group = &mut self.groups[group_of(organisation)];
        let fraction = group.fraction;
        let account = group
            .accounts
            .entry(organisation.clone())
            .or_insert_with(|| Account::new(now_ms, limit));
        account.advance(now_ms, fraction, fraction);
        if account.limit.version < limit.version {
            account.limit = limit;
            account.advance(now_ms, fraction, fraction);
        }
        account
    }

    /// Gives credit back; returns the units that the account has taken back.
    pub fn refund(
        &mut self,
        now_ms: u64,
        asker: &Asker,
        organisation: &OrganisationId,
        refund: Refund,
    ) -> u64 {
        self.expire(now_ms);
        let key = (asker.clone(), refund.ticket);
        if self.answers.contains_key(&key) {
            return 0;
        }
        let group = &mut self.groups[group_of(organisation)];
        let fraction = group.fraction;
        let Some(account) = group.accounts.get_mut(organisation) else {
            return 0;
        };
        account.advance(now_ms, fraction, fraction);
        let returned = if refund.is_ahead {
            account.return_ahead(refund.amount as f64, refund.mark)
        } else {
            account.refund(refund.amount as f64, refund.mark)
        };
        account.used = account.used.saturating_sub(refund.amount);
        self.remember(now_ms, key, QuotaAnswer::Unknown);
        returned as u64
    }

    /// Opens accounts of all organisations with quotas, so that those that are idle refill,
    /// and closes those of others.
    pub fn sync<'a>(
        &mut self,
        now_ms: u64,
        quotas: impl Iterator<Item = (&'a OrganisationId, QuotaLimit)>,
    ) {
        self.expire(now_ms);
        let mut present = BTreeSet::new();
        for (organisation, limit) in quotas {
            present.insert(organisation);
            if self.groups[group_of(organisation)].fraction > 0.0 {
                self.account(now_ms, organisation, limit);
            }
        }
        for group in &mut self.groups {
            let is_kept = group.fraction > 0.0;
            // A host with a newer configuration may ask for other organisations.
            let is_used = |a: &Account| now_ms < a.asked_ms + UNUSED_MS;
            group
                .accounts
                .retain(|id, a| is_kept && (present.contains(id) || is_used(a)));
        }
    }

    /// Largest number of hosts that delegate a group to this keeper.
    pub fn heard_hosts(&self) -> u32 {
        let heard = self.groups.iter().map(|g| g.delegations.len() as u32);
        heard.max().unwrap_or(0)
    }

    /// Part of the quotas of a group that is delegated to this keeper.
    pub fn fraction(&mut self, now_ms: u64, group: usize) -> f64 {
        self.expire(now_ms);
        self.groups[group].fraction
    }

    /// State of all accounts.
    pub fn states(&mut self, now_ms: u64) -> Vec<AccountState> {
        self.expire(now_ms);
        let mut states = Vec::new();
        for group in &mut self.groups {
            let fraction = group.fraction;
            group.advance_all(now_ms, fraction);
            states.extend(group.accounts.iter().map(|(id, account)| AccountState {
                organisation: id.clone(),
                balance: account.balance,
                held_ahead: account.held_ahead(),
                fraction,
                used: account.used,
            }));
        }
        states
    }
}
