//! Rates of requests that upstreams in need allow.
//!
//! Load pattern: an upstream in need keeps running, and states in every response how
//! many requests a second it takes from all hosts together. The statement holds until a
//! response to a later request lacks it.

use std::collections::BTreeMap;

use super::ids::UpstreamId;
use super::rate_account::AccountRate;
use super::upstream_notice::StatedRate;

/// Change of what is known of an upstream's rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateChange {
    /// The upstream states this rate, in thousandths of a request per second, and
    /// stated none before.
    Stated(u32),
    /// It states this rate instead of another one.
    Changed(u32),
    /// The upstream takes any number of requests again.
    Lifted,
}

/// Rates that upstreams have stated, as known to one host.
#[derive(Clone, Debug, Default)]
pub struct KnownRates {
    rates: BTreeMap<UpstreamId, KnownRate>,
}

#[derive(Clone, Copy, Debug)]
struct KnownRate {
    rate: AccountRate,
    /// Time at which this host learned of it.
    since_ms: u64,
}

impl KnownRates {
    /// Rate that an incarnation has stated.
    pub fn get(&self, id: &UpstreamId, started_ms: u64) -> Option<AccountRate> {
        let known = self.rates.get(id).map(|k| k.rate);
        known.filter(|rate| rate.started_ms == started_ms)
    }

    /// Number of upstreams with a stated rate.
    pub fn len(&self) -> usize {
        self.rates.len()
    }

    /// True if no upstream has stated a rate.
    pub fn is_empty(&self) -> bool {
        self.rates.is_empty()
    }

    /// Applies what the response to a request sent at `sent_ms` states.
    pub fn on_response(
        &mut self,
        now_ms: u64,
        id: &UpstreamId,
        started_ms: u64,
        sent_ms: u64,
        stated: StatedRate,
    ) -> Option<RateChange> {
        match stated {
            StatedRate::PerMilleS(per_mille_s) => self.learn(now_ms, id, started_ms, per_mille_s),
            StatedRate::Unknown | StatedRate::Invalid => None,
            StatedRate::Unlimited => {
                let known = self.rates.get(id)?;
                let is_restarted = started_ms > known.rate.started_ms;
                let is_later = is_restarted || sent_ms >= known.since_ms;
                is_later.then(|| self.lift(id)).flatten()
            }
        }
    }

    /// Records a rate that an incarnation has stated.
    pub fn learn(
        &mut self,
        now_ms: u64,
        id: &UpstreamId,
        started_ms: u64,
        per_mille_s: u32,
    ) -> Option<RateChange> {
        let rate = AccountRate {
            started_ms,
            per_mille_s,
            stated_ms: now_ms,
        };
        let known = self.rates.get_mut(id);
        if let Some(known) = known.filter(|k| k.rate.started_ms == started_ms) {
            let is_changed = known.rate.per_mille_s != per_mille_s;
            known.rate = rate;
            return is_changed.then_some(RateChange::Changed(per_mille_s));
        }
        let since_ms = now_ms;
        self.rates.insert(id.clone(), KnownRate { rate, since_ms });
        Some(RateChange::Stated(per_mille_s))
    }

    /// Forgets the rate of an upstream.
    pub fn lift(&mut self, id: &UpstreamId) -> Option<RateChange> {
        self.rates.remove(id).map(|_| RateChange::Lifted)
    }
}
