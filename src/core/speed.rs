//! Speed of upstreams, learned from the time that their requests take.
//!
//! Load pattern: engines of one service have speeds of 0.6, 1.0 and 1.6, and some of them
//! are 2.5 times slower for half a second now and then. Split by count, the slow ones have
//! twice the backlog of the fast ones, and long outputs that run there end too late.
//!
//! The speed of an upstream is the pace of its service over its own pace, at a similar
//! number of running requests. Samples are collected in periods of half a second, and the
//! median of the last periods is the lasting pace, so that slowness within one or two
//! periods does not change it. A last period much slower than the median is passing
//! slowness. Failed requests are no samples; upstreams that fail are ejected elsewhere.
//! What was learned is forgotten when an upstream restarts.

use std::collections::{BTreeMap, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::ids::UpstreamId;

/// Length of a period; passing slowness lasts about as long.
const PERIOD_MS: u64 = 500;
/// Periods with samples from which the lasting pace is taken.
const PERIODS: usize = 9;
/// Fewest such periods; with fewer, most of them may be passing slowness.
const MIN_PERIODS: usize = 3;
/// Age at which a period no longer counts, in milliseconds.
const PERIOD_EXPIRES_MS: u64 = 60_000;
/// Slowness of the last period that counts as passing.
const PASSING_FACTOR: f64 = 1.6;
/// Time after the last slow period for which an upstream counts as slow, in milliseconds.
const PASSING_MS: u64 = 600;
/// Age at which the speed that another host has stated expires, in milliseconds.
const STATED_EXPIRES_MS: u64 = 10_000;
/// Lowest and highest speed; beyond them the samples are faulty or the upstream is.
const SPEED_RANGE: (f64, f64) = (0.25, 4.0);

/// What a sample shows.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum PaceKind {
    /// Time to the first event by prompt token, with the backlog.
    #[serde(rename = "p")]
    Prefill,
    /// Time of a stream by output token, at a number of running requests.
    #[serde(rename = "d")]
    Decode(u8),
    /// Time of a plain request, at a number of running requests.
    #[serde(rename = "r")]
    Plain(u8),
}

/// Class of a number of running requests, within which paces are compared.
pub fn load_class(running: u32) -> u8 {
    (u32::BITS - running.div_ceil(2).leading_zeros()) as u8
}

/// Samples of one upstream since the last report.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct PaceSum {
    /// Time, in microseconds.
    #[serde(rename = "t")]
    pub time_us: f64,
    /// Tokens or requests.
    #[serde(rename = "n")]
    pub units: f64,
}

impl PaceSum {
    fn add(&mut self, other: Self) {
        self.time_us += other.time_us;
        self.units += other.units;
    }

    fn pace_us(self) -> f64 {
        self.time_us / self.units
    }
}

/// Samples of one kind at one upstream.
#[derive(Clone, Debug, Default)]
struct Pace {
    /// Number of each period and its samples, the latest last.
    periods: VecDeque<(u64, PaceSum)>,
    slow_until_ms: u64,
}

impl Pace {
    fn add(&mut self, now_ms: u64, sum: PaceSum) {
        let number = now_ms / PERIOD_MS;
        match self.periods.back_mut() {
            Some((last, total)) if *last == number => total.add(sum),
            _ => self.periods.push_back((number, sum)),
        }
        if self.periods.len() > PERIODS {
            self.periods.pop_front();
        }
        let last_us = self.periods.back().map_or(0.0, |(_, sum)| sum.pace_us());
        if self
            .lasting_us(now_ms)
            .is_some_and(|us| last_us > us * PASSING_FACTOR)
        {
            self.slow_until_ms = now_ms + PASSING_MS;
        }
    }

    fn recent_us(&self) -> Option<f64> {
        median(self.periods.iter().map(|(_, sum)| sum.pace_us()).collect())
    }

    fn lasting_us(&self, now_ms: u64) -> Option<f64> {
        let is_recent = |number: u64| now_ms < (number + 1) * PERIOD_MS + PERIOD_EXPIRES_MS;
        let recent = self.periods.iter().filter(|(number, _)| is_recent(*number));
        let paces: Vec<f64> = recent.map(|(_, sum)| sum.pace_us()).collect();
        (paces.len() >= MIN_PERIODS)
            .then(|| median(paces))
            .flatten()
    }
}

fn median(mut values: Vec<f64>) -> Option<f64> {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 2).copied()
}

#[derive(Clone, Debug, Default)]
struct Learned {
    paces: BTreeMap<PaceKind, Pace>,
    /// Speed that another host has stated, and when.
    stated: Option<(f64, u64)>,
}

/// Speed of one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Speed {
    /// Relative to the median of its service.
    pub factor: f64,
    /// True while it is slower than it usually is.
    pub is_passing_slow: bool,
}

impl Default for Speed {
    fn default() -> Self {
        Self {
            factor: 1.0,
            is_passing_slow: false,
        }
    }
}

/// Paces of all upstreams, as known to one host.
#[derive(Clone, Debug, Default)]
pub struct SpeedTable {
    upstreams: HashMap<UpstreamId, Learned>,
    /// Samples of this host that it has not reported.
    unreported: BTreeMap<(UpstreamId, PaceKind), PaceSum>,
}

impl SpeedTable {
    /// Adds a sample of this host.
    pub fn record(&mut self, now_ms: u64, upstream: &UpstreamId, kind: PaceKind, sum: PaceSum) {
        self.record_reported(now_ms, upstream, kind, sum);
        let unreported = self.unreported.entry((upstream.clone(), kind));
        unreported.or_default().add(sum);
    }

    /// Adds samples of another host.
    pub fn record_reported(
        &mut self,
        now_ms: u64,
        upstream: &UpstreamId,
        kind: PaceKind,
        sum: PaceSum,
    ) {
        let is_valid = sum.units > 0.0 && sum.time_us > 0.0 && sum.time_us.is_finite();
        if is_valid {
            let learned = self.upstreams.entry(upstream.clone()).or_default();
            learned.paces.entry(kind).or_default().add(now_ms, sum);
        }
    }

    /// Samples of this host since the last call.
    pub fn take_unreported(&mut self) -> Vec<(UpstreamId, PaceKind, PaceSum)> {
        let unreported = std::mem::take(&mut self.unreported);
        let samples = unreported.into_iter();
        samples.map(|((id, kind), sum)| (id, kind, sum)).collect()
    }

    /// Takes over a speed that the host with the samples of all has stated.
    pub fn set_stated(&mut self, now_ms: u64, upstream: &UpstreamId, factor: f64) {
        if factor.is_finite() {
            let learned = self.upstreams.entry(upstream.clone()).or_default();
            learned.stated = Some((factor.clamp(SPEED_RANGE.0, SPEED_RANGE.1), now_ms));
        }
    }

    /// Forgets an upstream that is gone or has restarted.
    pub fn forget(&mut self, upstream: &UpstreamId) {
        self.upstreams.remove(upstream);
        self.unreported.retain(|(id, _), _| id != upstream);
    }

    /// Speeds and paces of the upstreams of one service.
    pub fn of_service<'a>(
        &self,
        now_ms: u64,
        upstreams: impl Iterator<Item = &'a UpstreamId>,
    ) -> ServiceSpeeds {
        let learned: Vec<(&UpstreamId, &Learned)> = upstreams
            .filter_map(|id| Some((id, self.upstreams.get(id)?)))
            .collect();
        let usual_us = usual_paces(&learned, |pace| pace.lasting_us(now_ms));
        let speed = |learned: &Learned| {
            let stated = learned.stated;
            let stated = stated.filter(|(_, at_ms)| now_ms < at_ms + STATED_EXPIRES_MS);
            let own = || own_factor(now_ms, learned, &usual_us);
            Speed {
                factor: stated.map(|(factor, _)| factor).or_else(own).unwrap_or(1.0),
                is_passing_slow: learned.paces.values().any(|p| now_ms < p.slow_until_ms),
            }
        };
        let speeds = learned.iter().map(|(id, l)| ((*id).clone(), speed(l)));
        let speeds = speeds.collect();
        // A host of a large fleet has few samples of each upstream. Its samples of all of
        // them show what is usual.
        let mut paces_us = usual_paces(&learned, Pace::recent_us);
        paces_us.extend(usual_us);
        ServiceSpeeds {
            speeds,
            usual_us: paces_us,
        }
    }
}

/// Median pace of the upstreams of a service, by kind of samples.
fn usual_paces(
    learned: &[(&UpstreamId, &Learned)],
    pace_us: impl Fn(&Pace) -> Option<f64>,
) -> BTreeMap<PaceKind, f64> {
    let mut by_kind: BTreeMap<PaceKind, Vec<f64>> = BTreeMap::new();
    for (kind, pace) in learned.iter().flat_map(|(_, l)| &l.paces) {
        by_kind.entry(*kind).or_default().extend(pace_us(pace));
    }
    let medians = by_kind.into_iter();
    medians
        .filter_map(|(kind, paces)| Some((kind, median(paces)?)))
        .collect()
}

/// Median over the kinds of samples of how much faster an upstream is than usual.
fn own_factor(now_ms: u64, learned: &Learned, usual_us: &BTreeMap<PaceKind, f64>) -> Option<f64> {
    let factor =
        |(kind, pace): (&PaceKind, &Pace)| Some(usual_us.get(kind)? / pace.lasting_us(now_ms)?);
    let factors = learned.paces.iter().filter_map(factor).collect();
    median(factors).map(|f| f.clamp(SPEED_RANGE.0, SPEED_RANGE.1))
}

/// Speeds of the upstreams of one service.
#[derive(Clone, Debug, Default)]
pub struct ServiceSpeeds {
    speeds: HashMap<UpstreamId, Speed>,
    usual_us: BTreeMap<PaceKind, f64>,
}

impl ServiceSpeeds {
    /// Speed of an upstream; usual if unknown.
    pub fn get(&self, upstream: &UpstreamId) -> Speed {
        self.speeds.get(upstream).copied().unwrap_or_default()
    }

    /// All known speeds.
    pub fn all(&self) -> impl Iterator<Item = (&UpstreamId, Speed)> {
        self.speeds.iter().map(|(id, speed)| (id, *speed))
    }

    /// Usual prefill time of a prompt token in the service, in microseconds, if known.
    pub fn usual_prefill_us(&self) -> Option<f64> {
        self.usual_us.get(&PaceKind::Prefill).copied()
    }

    /// Usual time of a stream by output token at a number of running requests, or at the
    /// nearest one that is known, in microseconds.
    pub fn usual_decode_us(&self, running: u32) -> Option<f64> {
        let class = load_class(running);
        let decode = self.usual_us.iter().filter_map(|(kind, us)| match kind {
            PaceKind::Decode(known) => Some((known.abs_diff(class), *us)),
            PaceKind::Prefill | PaceKind::Plain(_) => None,
        });
        let nearest = decode.min_by_key(|(distance, _)| *distance);
        nearest.map(|(_, us)| us)
    }
}
