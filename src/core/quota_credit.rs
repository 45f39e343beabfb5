//! Credit that a host holds ahead of its requests.
//!
//! Load pattern: one organisation uses some hundred thousand tokens a second, some hundred
//! requests a second at one host. A question for each of them would load its keeper more
//! than all other organisations together.
//!
//! Credit is held for a short time only and then given back: what waits at one host is
//! refused at another.

use std::collections::BTreeMap;

use super::ids::{HostId, OrganisationId};
use super::quota_account::AHEAD_HELD_MS;
use super::rate::DecayingRate;

/// Time after the question for which credit is held, in milliseconds; shorter than the time
/// for which the keeper counts it as held, by more than a message takes.
const HELD_MS: u64 = AHEAD_HELD_MS * 7 / 10;
/// Time of recent use that is asked for ahead, in seconds.
const AHEAD_S: f64 = 0.5;
/// Requests that credit ahead must cover to be worth asking for.
const MIN_REQUESTS: f64 = 2.0;
/// Time over which use is averaged, in milliseconds.
const AVERAGED_MS: f64 = 1_000.0;
/// Share of the wanted credit below which more is asked for before it is spent.
const LOW_SHARE: f64 = 0.5;
/// Time without use after which an organisation is forgotten, in milliseconds.
const IDLE_MS: u64 = 10_000;

/// Grant of credit ahead.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HeldCredit {
    /// Keeper that has granted it.
    pub keeper: HostId,
    /// Mark of the grant.
    pub mark: u64,
    /// Units that are left.
    pub units: u64,
    held_until_ms: u64,
}

/// Use and credit of one organisation.
#[derive(Clone, Debug, Default)]
struct Credit {
    use_rate: DecayingRate,
    used_ms: u64,
    held: Vec<HeldCredit>,
    /// True while credit ahead is asked for without a request.
    is_asking: bool,
    /// True if the keeper has granted credit ahead when last asked.
    is_granted: bool,
}

impl Credit {
    fn rate(&self, now_ms: u64) -> f64 {
        self.use_rate.per_second(now_ms, AVERAGED_MS)
    }

    fn held(&self, now_ms: u64, keeper: &HostId) -> u64 {
        let held = self.held.iter();
        let usable = held.filter(|h| h.keeper == *keeper && now_ms < h.held_until_ms);
        usable.map(|h| h.units).sum()
    }
}

/// Credit that this host holds ahead.
#[derive(Clone, Debug, Default)]
pub struct CreditAhead {
    organisations: BTreeMap<OrganisationId, Credit>,
}

impl CreditAhead {
    /// Counts a request, and takes its cost from credit of the keeper; returns the mark of
    /// the grant if there is enough.
    pub fn take(
        &mut self,
        now_ms: u64,
        organisation: &OrganisationId,
        keeper: &HostId,
        cost: u64,
    ) -> Option<u64> {
        if !self.organisations.contains_key(organisation) {
            let credit = Credit::default();
            self.organisations.insert(organisation.clone(), credit);
        }
        let credit = self.organisations.get_mut(organisation)?;
        credit.use_rate.add(now_ms, cost as f64, AVERAGED_MS);
        credit.used_ms = now_ms;
        let held = credit.held.iter_mut().find(|held| {
            held.keeper == *keeper && now_ms < held.held_until_ms && held.units >= cost
        })?;
        held.units -= cost;
        Some(held.mark)
    }

    /// Units that are worth asking for with a request of this cost.
    pub fn wanted(
        &self,
        now_ms: u64,
        organisation: &OrganisationId,
        keeper: &HostId,
        cost: u64,
    ) -> u64 {
        let Some(credit) = self.organisations.get(organisation) else {
            return 0;
        };
        let target = credit.rate(now_ms) * AHEAD_S;
        if target < cost as f64 * MIN_REQUESTS {
            return 0;
        }
        (target as u64).saturating_sub(credit.held(now_ms, keeper))
    }

    /// Units to ask for now so that later requests need no question; 0 if the credit lasts,
    /// or if the keeper has granted none.
    pub fn replenishment(
        &mut self,
        now_ms: u64,
        organisation: &OrganisationId,
        keeper: &HostId,
        cost: u64,
    ) -> u64 {
        let wanted = self.wanted(now_ms, organisation, keeper, cost);
        let Some(credit) = self.organisations.get_mut(organisation) else {
            return 0;
        };
        let target = credit.rate(now_ms) * AHEAD_S;
        let is_low = wanted as f64 > target * LOW_SHARE;
        if !is_low || credit.is_asking || !credit.is_granted {
            return 0;
        }
        credit.is_asking = true;
        wanted
    }

    /// Records that a replenishment was answered or given up.
    pub fn on_replenished(&mut self, organisation: &OrganisationId) {
        if let Some(credit) = self.organisations.get_mut(organisation) {
            credit.is_asking = false;
        }
    }

    /// Adds credit that was asked for at a time.
    pub fn add(
        &mut self,
        asked_ms: u64,
        organisation: &OrganisationId,
        (keeper, mark, units): (&HostId, u64, u64),
    ) {
        let Some(credit) = self.organisations.get_mut(organisation) else {
            return;
        };
        credit.is_granted = units > 0;
        if units > 0 {
            credit.held.push(HeldCredit {
                keeper: keeper.clone(),
                mark,
                units,
                held_until_ms: asked_ms + HELD_MS,
            });
        }
    }

    /// Removes the credit that is held no longer, and that of other keepers than
    /// `keeper_of` names.
    pub fn expire(
        &mut self,
        now_ms: u64,
        mut keeper_of: impl FnMut(&OrganisationId) -> Option<HostId>,
    ) -> Vec<(OrganisationId, HeldCredit)> {
        let mut expired = Vec::new();
        for (organisation, credit) in &mut self.organisations {
            if credit.held.is_empty() {
                continue;
            }
            let keeper = keeper_of(organisation);
            let is_held = |h: &HeldCredit| {
                h.units > 0 && now_ms < h.held_until_ms && keeper.as_ref() == Some(&h.keeper)
            };
            let (kept, ended) = std::mem::take(&mut credit.held)
                .into_iter()
                .partition::<Vec<_>, _>(is_held);
            credit.held = kept;
            let unspent = ended.into_iter().filter(|h| h.units > 0);
            expired.extend(unspent.map(|h| (organisation.clone(), h)));
        }
        self.organisations
            .retain(|_, c| !c.held.is_empty() || now_ms < c.used_ms + IDLE_MS);
        expired
    }
}
