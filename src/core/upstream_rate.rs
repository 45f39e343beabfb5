//! Rates of requests that upstreams in need allow.
//!
//! Load pattern: an upstream in need keeps running, and states in every response how
//! many requests a second it takes from all hosts together. The statement holds until a
//! response to a later request lacks it.

use std::collections::BTreeMap;

use super::ids::UpstreamId;
use super::upstream_notice::StatedRate;

/// Rate that an incarnation of an upstream has stated.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct KnownRate {
    /// Start of the incarnation.
    pub started_ms: u64,
    /// Thousandths of a request per second, from all hosts together.
    pub per_mille_s: u32,
    /// Time at which this host learned of it.
    since_ms: u64,
}

/// Change of what is known of an upstream's rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RateChange {
    /// The upstream states this rate, in thousandths of a request per second.
    Stated(u32),
    /// The upstream takes any number of requests again.
    Lifted,
}

/// Rates that upstreams have stated, as known to one host.
#[derive(Clone, Debug, Default)]
pub struct KnownRates {
    rates: BTreeMap<UpstreamId, KnownRate>,
}

impl KnownRates {
    /// Rate that an incarnation has stated.
    pub fn get(&self, id: &UpstreamId, started_ms: u64) -> Option<KnownRate> {
        let known = self.rates.get(id).copied();
        known.filter(|k| k.started_ms == started_ms)
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
                let is_later = started_ms > known.started_ms || sent_ms >= known.since_ms;
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
        let known = self.get(id, started_ms);
        if known.is_some_and(|k| k.per_mille_s == per_mille_s) {
            return None;
        }
        let rate = KnownRate {
            started_ms,
            per_mille_s,
            since_ms: known.map_or(now_ms, |k| k.since_ms),
        };
        self.rates.insert(id.clone(), rate);
        Some(RateChange::Stated(per_mille_s))
    }

    /// Forgets the rate of an upstream.
    pub fn lift(&mut self, id: &UpstreamId) -> Option<RateChange> {
        self.rates.remove(id).map(|_| RateChange::Lifted)
    }
}
