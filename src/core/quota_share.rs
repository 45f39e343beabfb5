//! Delegation of a host's share of all quotas, and the choice of its keepers.
//!
//! Load pattern: the host that keeps the accounts ends or freezes, zones lose contact to
//! one another, and hosts join and leave, while callers of all organisations keep sending.
//! A host's share must be with at most one keeper at any time.
//!
//! The fleet's keeper is preferred, then the keeper of the own zone, then this host. A
//! keeper that has not answered for [`UNANSWERED_MS`] is passed over. The share moves once
//! its delegation has lapsed.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;

use super::ids::{HostId, ZoneId};
use super::quota_account::{DELEGATION_MS, FleetSize, GROUPS, GroupMask, Stamp, mask_of};
use super::rendezvous::{hash, weight};

/// Time between two renewals of a delegation, in milliseconds.
pub const RENEWAL_MS: u64 = 300;
/// Time without an answer after which a keeper is passed over, in milliseconds.
pub const UNANSWERED_MS: u64 = 300;
/// Time between two attempts to reach a keeper that is passed over, in milliseconds.
pub const RETRY_KEEPER_MS: u64 = 2_000;
/// Time between two attempts to reach a keeper that has not answered yet, in milliseconds.
const GREETING_MS: u64 = 100;
/// Time for which a host counts after it was last listed, in milliseconds.
const KNOWN_MS: u64 = 30_000;
/// Time after which all hosts know a host, in milliseconds.
const MATURE_MS: u64 = 30_000;
/// Time after the start of a process until which its predecessor's delegations may be in
/// force, in milliseconds.
const START_PAUSE_MS: u64 = DELEGATION_MS;
/// Time without the store after which a host spends only with a keeper that hears at least
/// half of all hosts, in milliseconds.
pub const STORE_CONTACT_MS: u64 = 20_000;
/// Hosts for each keeper of the fleet beyond the first.
const HOSTS_PER_KEEPER: usize = 100;
/// Share of the largest CPU capacity from which a host counts as strong.
const STRONG_SHARE: f64 = 0.75;

/// Hosts that are or were recently listed.
#[derive(Clone, Debug, Default)]
pub struct KnownHosts {
    /// Times at which each host was first and last listed.
    hosts: BTreeMap<HostId, (u64, u64)>,
    size: FleetSize,
}

impl KnownHosts {
    /// Takes over the present list.
    ///
    /// Hosts that are no longer listed count for [`KNOWN_MS`], and on while fewer than half
    /// of all are listed: the others may be in touch with one another, and keep their part.
    pub fn update<'a>(&mut self, now_ms: u64, listed: impl Iterator<Item = &'a HostId>) {
        let mut listed_count = 0;
        for host in listed {
            listed_count += 1;
            match self.hosts.get_mut(host) {
                Some((_, last_ms)) => *last_ms = now_ms,
                None => {
                    self.hosts.insert(host.clone(), (now_ms, now_ms));
                }
            }
        }
        if listed_count * 2 > self.hosts.len() {
            self.hosts
                .retain(|_, (_, last_ms)| now_ms < *last_ms + KNOWN_MS);
        }
        let is_mature = |first_ms: u64| now_ms >= first_ms + MATURE_MS;
        let known = self.hosts.len() as u32;
        let hosts = self.hosts.iter();
        let mature = hosts
            .clone()
            .filter(|(_, (first_ms, _))| is_mature(*first_ms));
        if known != self.size.known || mature.count() != self.size.mature.len() {
            let mature = hosts.filter(|(_, (first_ms, _))| is_mature(*first_ms));
            let mature: BTreeSet<HostId> = mature.map(|(host, _)| host.clone()).collect();
            let mature = Rc::new(mature);
            self.size = FleetSize { known, mature };
        }
    }

    /// Number of hosts, and those that all hosts know.
    pub fn size(&self) -> &FleetSize {
        &self.size
    }
}

/// Host that may keep accounts.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Candidate {
    /// Name.
    pub host: HostId,
    /// Availability zone, if known.
    pub zone: Option<ZoneId>,
    /// CPU capacity, in thousandths of a core.
    pub cpu_milli: u32,
}

/// Keepers of a group in the order of preference; the host itself is the last one.
pub type Preferences = Vec<HostId>;

/// Keepers that a host prefers for each group. `hosts` are those that keep accounts, with
/// the host itself.
pub fn choose_keepers(own: &HostId, zone: &ZoneId, hosts: &[Candidate]) -> [Preferences; GROUPS] {
    let all: Vec<&Candidate> = hosts.iter().collect();
    let is_near = |c: &&Candidate| c.zone.as_ref() == Some(zone);
    let near: Vec<&Candidate> = hosts.iter().filter(is_near).collect();
    let fleet = strongest(&all, 1 + hosts.len() / HOSTS_PER_KEEPER);
    let near = strongest(&near, 1);
    std::array::from_fn(|group| {
        let key = hash(&format!("quota-group-{group}"));
        let rank = |host: &&&HostId| weight(key, hash(host.as_str()));
        let mut preferences: Preferences = Vec::with_capacity(3);
        let chosen = [
            fleet.iter().max_by_key(rank).copied(),
            near.first().copied(),
            Some(own),
        ];
        for host in chosen.into_iter().flatten() {
            if !preferences.contains(host) {
                preferences.push(host.clone());
            }
        }
        preferences
    })
}

/// Some of the strong hosts, the same for all hosts that know the same ones.
fn strongest<'a>(hosts: &[&'a Candidate], count: usize) -> Vec<&'a HostId> {
    let key = hash("quota-keeper");
    let largest = hosts.iter().map(|c| c.cpu_milli).max().unwrap_or(0);
    let is_strong = |c: &Candidate| f64::from(c.cpu_milli) >= f64::from(largest) * STRONG_SHARE;
    let mut ranked: Vec<&HostId> = hosts.iter().map(|c| &c.host).collect();
    let strong: BTreeSet<&HostId> = hosts
        .iter()
        .filter(|c| is_strong(c))
        .map(|c| &c.host)
        .collect();
    ranked.sort_by_key(|host| {
        let rank = weight(key, hash(host.as_str()));
        (Reverse(strong.contains(host)), Reverse(rank))
    });
    ranked.truncate(count);
    ranked
}

/// What a host knows of one keeper.
#[derive(Clone, Debug, Default)]
struct Link {
    /// Latest stamp, and the time at which it arrived.
    stamp: Option<(Stamp, u64)>,
    unanswered_since_ms: Option<u64>,
    sent_ms: Option<u64>,
    heard_hosts: u32,
}

impl Link {
    fn is_passed_over(&self, now_ms: u64) -> bool {
        let since_ms = self.unanswered_since_ms;
        since_ms.is_some_and(|since| now_ms >= since + UNANSWERED_MS)
    }

    /// Latest stamp, while the keeper heeds it.
    fn current_stamp(&self, now_ms: u64) -> Option<(Stamp, u64)> {
        let stamp = self.stamp;
        stamp.filter(|(_, received_ms)| now_ms < received_ms + DELEGATION_MS)
    }
}

/// Delegation of one group.
#[derive(Clone, Debug, Default)]
struct GroupShare {
    /// Keeper that has the share, or had it last.
    keeper: Option<HostId>,
    /// Time at which its delegation lapses.
    lapses_ms: u64,
    preferences: Preferences,
}

/// What is sent to a keeper.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Delegating {
    /// Stamp that is returned; a message without one asks for a stamp.
    pub stamp: Option<Stamp>,
    /// Groups that are delegated.
    pub groups: GroupMask,
}

/// Delegation of this host's share.
#[derive(Clone, Debug)]
pub struct QuotaShare {
    own: HostId,
    started_ms: u64,
    groups: [GroupShare; GROUPS],
    links: BTreeMap<HostId, Link>,
}

impl QuotaShare {
    /// Share of a process that has delegated nothing yet.
    pub fn new(own: HostId, started_ms: u64) -> Self {
        Self {
            own,
            started_ms,
            groups: std::array::from_fn(|_| GroupShare::default()),
            links: BTreeMap::new(),
        }
    }

    /// Takes over which keepers are preferred.
    pub fn prefer(&mut self, preferences: [Preferences; GROUPS]) {
        for (group, preferences) in self.groups.iter_mut().zip(preferences) {
            group.preferences = preferences;
        }
        let groups = &self.groups;
        self.links.retain(|host, _| {
            let is_used =
                |g: &GroupShare| g.keeper.as_ref() == Some(host) || g.preferences.contains(host);
            groups.iter().any(is_used)
        });
    }

    /// Keeper that is to have the share of a group.
    fn wanted(&self, now_ms: u64, group: &GroupShare) -> Option<HostId> {
        let is_usable = |host: &&HostId| {
            let link = self.links.get(*host);
            **host == self.own || link.is_none_or(|l| !l.is_passed_over(now_ms))
        };
        group.preferences.iter().find(is_usable).cloned()
    }

    /// Moves shares whose delegations have lapsed; true for each group that its keeper
    /// is to have on.
    fn settle(&mut self, now_ms: u64) -> [bool; GROUPS] {
        std::array::from_fn(|index| {
            let wanted = self.wanted(now_ms, &self.groups[index]);
            let group = &mut self.groups[index];
            if group.keeper != wanted && now_ms >= group.lapses_ms {
                group.keeper.clone_from(&wanted);
            }
            wanted.is_some() && group.keeper == wanted
        })
    }

    /// Keepers to which a message is due.
    pub fn due(&mut self, now_ms: u64) -> Vec<HostId> {
        self.settle(now_ms);
        let mut hosts: BTreeSet<HostId> = BTreeSet::new();
        for group in &self.groups {
            hosts.extend(group.keeper.clone());
            hosts.extend(self.wanted(now_ms, group));
            // A preferred keeper that is passed over is tried again.
            hosts.extend(group.preferences.first().cloned());
        }
        hosts.retain(|host| {
            let link = self.links.entry(host.clone()).or_default();
            let interval_ms = match link.current_stamp(now_ms) {
                _ if link.is_passed_over(now_ms) => RETRY_KEEPER_MS,
                Some(_) => RENEWAL_MS,
                None => GREETING_MS,
            };
            link.sent_ms.is_none_or(|at| now_ms >= at + interval_ms)
        });
        hosts.into_iter().collect()
    }

    /// What a message to a keeper delegates; it is sent now.
    pub fn on_send(&mut self, now_ms: u64, keeper: &HostId) -> Delegating {
        let is_kept = self.settle(now_ms);
        let link = self.links.entry(keeper.clone()).or_default();
        link.sent_ms = Some(now_ms);
        link.unanswered_since_ms.get_or_insert(now_ms);
        let Some((stamp, received_ms)) = link.current_stamp(now_ms) else {
            return Delegating {
                stamp: None,
                groups: 0,
            };
        };
        let mut groups = 0;
        for (index, group) in self.groups.iter_mut().enumerate() {
            let has_share = is_kept[index] && group.keeper.as_ref() == Some(keeper);
            if has_share && now_ms >= self.started_ms + START_PAUSE_MS {
                groups |= mask_of(index);
                // The stamp is older than its arrival.
                group.lapses_ms = group.lapses_ms.max(received_ms + DELEGATION_MS);
            }
        }
        Delegating {
            stamp: Some(stamp),
            groups,
        }
    }

    /// Takes over a keeper's answer; true if a share waits for its stamp.
    pub fn on_answer(
        &mut self,
        now_ms: u64,
        keeper: &HostId,
        stamp: Stamp,
        heard_hosts: u32,
    ) -> bool {
        let Some(link) = self.links.get_mut(keeper) else {
            return false;
        };
        let is_first = link.current_stamp(now_ms).is_none();
        link.unanswered_since_ms = None;
        link.heard_hosts = heard_hosts;
        if link.stamp.is_none_or(|(latest, _)| latest < stamp) {
            link.stamp = Some((stamp, now_ms));
        }
        is_first
    }

    /// Keeper that is asked for credit of a group, if it can answer.
    pub fn keeper(&mut self, now_ms: u64, group: usize) -> Option<HostId> {
        self.settle(now_ms);
        let keeper = self.groups[group].keeper.clone()?;
        let link = self.links.get(&keeper)?;
        let can_answer = link.current_stamp(now_ms).is_some() && !link.is_passed_over(now_ms);
        can_answer.then_some(keeper)
    }

    /// Keepers that have this host's share of each group, for operators.
    pub fn keepers(&self) -> impl Iterator<Item = Option<&HostId>> {
        self.groups.iter().map(|g| g.keeper.as_ref())
    }

    /// False if this host has had no contact to the store for long and its keeper hears
    /// less than half of the fleet: the other hosts may have taken over its part.
    pub fn may_spend(&self, keeper: &HostId, known_hosts: u32, store_age_ms: u64) -> bool {
        let heard = self.links.get(keeper).map_or(0, |l| l.heard_hosts);
        store_age_ms < STORE_CONTACT_MS || heard * 2 >= known_hosts
    }
}
