//! Finds out what the requests have in common under which upstreams end.
//!
//! Load pattern: an upstream that ends was running dozens of requests of many callers, of
//! which one may be the cause. Popular prompt parts are in flight at every crash, and a
//! failure of many upstreams at once ends requests of every kind.
//!
//! Whatever was in flight is suspect until a request with it is served soundly. A suspect
//! is convicted by several crashes that have no common cause, and only if no narrower one
//! explains them. Broad suspects need more crashes.

use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};

use serde::{Deserialize, Serialize};

use super::ids::UpstreamId;
use super::quarantine::{MIN_CRASHES, Quarantine, Verdict};
use super::request_traits::{Fingerprint, RequestTraits, Suspect, WHOLE_REQUEST};

/// Crashes that are kept; older ones are dropped.
const MAX_CRASHES: usize = 64;
/// Requests of one crash that are kept.
const MAX_REQUESTS: usize = 128;
/// Time for which a crash is kept, in milliseconds.
const MAX_AGE_MS: u64 = 600_000;
/// Time for the reports of all hosts on a crash to arrive, in milliseconds.
pub const SETTLE_MS: u64 = 250;
/// Time between two crashes without which they may have a common cause, in milliseconds.
const MIN_APART_MS: u64 = 300;
/// The same for a request as a whole, which is rarely in flight at several upstreams.
const MIN_APART_OF_WHOLE_MS: u64 = 50;
/// Crashes that convict a first prompt part which most suspect requests have.
const MIN_CRASHES_OF_BROAD: usize = 5;
/// Crashes at which the hosts are asked whether requests with a suspect were served.
const MIN_CRASHES_TO_WATCH: usize = 2;
/// Crashes that are kept in the store, and requests of each.
const MAX_STORED_CRASHES: usize = 8;
const MAX_STORED_REQUESTS: usize = 12;
/// Largest number of suspects that hosts watch.
const MAX_WATCHED: usize = 24;

/// Request that may have ended an upstream.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LostRequest {
    /// Fingerprint of its ID.
    #[serde(rename = "i")]
    pub id: Fingerprint,
    /// What it has in common with others.
    #[serde(rename = "t")]
    pub traits: RequestTraits,
    /// Time from its sending to the end of the upstream, in milliseconds.
    #[serde(rename = "a")]
    pub sent_before_ms: u64,
}

/// End of one incarnation of an upstream, with what hosts have reported of it.
#[derive(Clone, Debug)]
struct Crash {
    upstream: UpstreamId,
    started_ms: u64,
    ended_ms: u64,
    recorded_ms: u64,
    requests: BTreeMap<Fingerprint, LostRequest>,
}

/// Crash as kept in the store.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct StoredCrash {
    #[serde(rename = "u")]
    upstream: UpstreamId,
    #[serde(rename = "s")]
    started_ms: u64,
    #[serde(rename = "e")]
    ended_ms: u64,
    #[serde(rename = "r")]
    requests: Vec<LostRequest>,
}

/// Part of a ledger that lasts in the store: the crashes that count against suspects which
/// are watched.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct StoredLedger {
    #[serde(rename = "c")]
    crashes: Vec<StoredCrash>,
    /// Latest begin of a sound response, by suspect.
    #[serde(rename = "s")]
    sound_ms: Vec<(Suspect, u64)>,
}

/// Requests with a suspect at one crash.
#[derive(Clone, Debug, Default)]
struct Exhibit {
    ended_ms: u64,
    last_sent_ms: u64,
    requests: BTreeSet<Fingerprint>,
    callers: BTreeSet<Fingerprint>,
    suspect_requests: usize,
    depth: usize,
}

/// Crashes that count against a suspect, by their index, oldest first.
type Evidence = BTreeMap<usize, Exhibit>;

/// Suspect against which enough crashes count.
struct Candidate<'a> {
    suspect: Suspect,
    evidence: &'a Evidence,
    /// Times of the independent crashes.
    crashes_ms: Vec<u64>,
}

/// Crashes of the whole fleet and what has been served soundly since.
#[derive(Clone, Debug, Default)]
pub struct CrashLedger {
    /// Oldest first.
    crashes: VecDeque<Crash>,
    /// Latest begin of a sound response, by suspect.
    sound_ms: HashMap<Suspect, u64>,
    /// Rises with every change of what counts against suspects.
    revision: u64,
}

impl CrashLedger {
    /// Number that rises with every change of what counts against suspects, so that an
    /// unchanged ledger need not be judged again.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Records a host's report that an upstream has ended.
    pub fn record(
        &mut self,
        now_ms: u64,
        upstream: &UpstreamId,
        started_ms: u64,
        ended_ms: u64,
        requests: impl IntoIterator<Item = LostRequest>,
    ) {
        let is_recent = |ended_ms: u64| now_ms < ended_ms.saturating_add(MAX_AGE_MS);
        self.crashes.retain(|c| is_recent(c.ended_ms));
        if !is_recent(ended_ms) {
            return;
        }
        let mut known = self.crashes.iter_mut();
        let known = known.find(|c| c.upstream == *upstream && c.started_ms == started_ms);
        let crash = match known {
            Some(crash) => crash,
            None => {
                if self.crashes.len() >= MAX_CRASHES {
                    self.crashes.pop_front();
                }
                self.crashes.push_back(Crash {
                    upstream: upstream.clone(),
                    started_ms,
                    ended_ms,
                    recorded_ms: now_ms,
                    requests: BTreeMap::new(),
                });
                let last = self.crashes.len() - 1;
                &mut self.crashes[last]
            }
        };
        if ended_ms < crash.ended_ms {
            crash.ended_ms = ended_ms;
            self.revision += 1;
        }
        for request in requests {
            if crash.requests.len() >= MAX_REQUESTS {
                break;
            }
            let is_new = crash.requests.insert(request.id, request).is_none();
            self.revision += u64::from(is_new);
        }
    }

    /// Records that a request with a suspect was served soundly.
    pub fn record_sound(&mut self, suspect: Suspect, began_ms: u64) {
        let has_suspect = |c: &&Crash| c.requests.values().any(|r| r.traits.has(suspect));
        let mut crashes = self.crashes.iter().filter(has_suspect).peekable();
        if crashes.peek().is_none() {
            return;
        }
        let latest_ms = self.sound_ms.entry(suspect).or_default();
        let cleared_ms = (*latest_ms + 1)..=began_ms;
        if crashes.any(|c| cleared_ms.contains(&c.ended_ms)) {
            self.revision += 1;
        }
        *latest_ms = began_ms.max(*latest_ms);
    }

    /// Drops the records of suspects that no crash names any more.
    pub fn prune(&mut self) {
        let crashes = &self.crashes;
        let is_named = |suspect: &Suspect| {
            let mut requests = crashes.iter().flat_map(|c| c.requests.values());
            requests.any(|r| r.traits.has(*suspect))
        };
        self.sound_ms.retain(|suspect, _| is_named(suspect));
    }

    /// Crashes that count against each suspect, of some with their index: those after its
    /// last sound response that no other entry of the quarantine explains.
    fn evidence<'a>(
        &self,
        crashes: impl Iterator<Item = (usize, &'a Crash)>,
        quarantine: &Quarantine,
    ) -> BTreeMap<Suspect, Evidence> {
        let mut evidence: BTreeMap<Suspect, Evidence> = BTreeMap::new();
        for (index, crash) in crashes {
            let explaining: BTreeSet<Suspect> = {
                let requests = crash.requests.values();
                let entries = requests.filter_map(|r| quarantine.find(&r.traits));
                entries.map(|e| e.suspect).collect()
            };
            for request in crash.requests.values() {
                for (suspect, depth) in request.traits.suspects() {
                    let is_explained = explaining.iter().any(|s| *s != suspect);
                    let sound_ms = self.sound_ms.get(&suspect).copied().unwrap_or(0);
                    if is_explained || crash.ended_ms <= sound_ms {
                        continue;
                    }
                    let crashes = evidence.entry(suspect).or_default();
                    let exhibit = crashes.entry(index).or_default();
                    let sent_ms = crash.ended_ms.saturating_sub(request.sent_before_ms);
                    exhibit.ended_ms = crash.ended_ms;
                    exhibit.last_sent_ms = exhibit.last_sent_ms.max(sent_ms);
                    exhibit.requests.insert(request.id);
                    exhibit.callers.insert(request.traits.caller);
                    exhibit.suspect_requests = crash.requests.len();
                    exhibit.depth = depth;
                }
            }
        }
        evidence
    }

    /// Suspects for which hosts are to report sound responses.
    pub fn watched(&self, quarantine: &Quarantine) -> Vec<Suspect> {
        let evidence = self.evidence(self.crashes.iter().enumerate(), quarantine);
        let mut counts: Vec<(usize, Suspect)> = evidence
            .iter()
            .map(|(suspect, crashes)| (independent_crashes(crashes).len(), *suspect))
            .filter(|(count, _)| *count >= MIN_CRASHES_TO_WATCH)
            .collect();
        counts.sort_by_key(|(count, _)| std::cmp::Reverse(*count));
        let quarantined = quarantine.entries.iter().map(|e| e.suspect);
        let others = counts.into_iter().map(|(_, suspect)| suspect);
        let others = others.filter(|s| quarantine.get(*s).is_none());
        quarantined.chain(others).take(MAX_WATCHED).collect()
    }

    /// What is to last in the store, of the crashes under requests with watched suspects.
    pub fn to_stored(&self, watched: &[Suspect]) -> StoredLedger {
        let is_watched = |r: &&LostRequest| watched.iter().any(|s| r.traits.has(*s));
        let mut crashes: Vec<StoredCrash> = Vec::new();
        for crash in self.crashes.iter().rev().take(MAX_STORED_CRASHES) {
            let requests = crash.requests.values().filter(is_watched);
            let requests: Vec<_> = requests.take(MAX_STORED_REQUESTS).cloned().collect();
            if !requests.is_empty() {
                crashes.push(StoredCrash {
                    upstream: crash.upstream.clone(),
                    started_ms: crash.started_ms,
                    ended_ms: crash.ended_ms,
                    requests,
                });
            }
        }
        crashes.reverse();
        let named: BTreeSet<Suspect> = {
            let requests = crashes.iter().flat_map(|c| &c.requests);
            let suspects = requests.flat_map(|r| r.traits.suspects());
            suspects.map(|(suspect, _)| suspect).collect()
        };
        let sound_ms = named
            .into_iter()
            .filter_map(|suspect| Some((suspect, *self.sound_ms.get(&suspect)?)));
        let sound_ms = sound_ms.collect();
        StoredLedger { crashes, sound_ms }
    }

    /// Adds what the store holds.
    pub fn restore(&mut self, now_ms: u64, stored: StoredLedger) {
        for crash in stored.crashes {
            let StoredCrash {
                upstream,
                started_ms,
                ended_ms,
                requests,
            } = crash;
            self.record(now_ms, &upstream, started_ms, ended_ms, requests);
        }
        for (suspect, began_ms) in stored.sound_ms {
            self.record_sound(suspect, began_ms);
        }
    }

    /// Time at which the youngest crash has settled, if that is still to come.
    pub fn settles_ms(&self, now_ms: u64) -> Option<u64> {
        let recorded_ms = self.crashes.iter().map(|c| c.recorded_ms).max()?;
        Some(recorded_ms + SETTLE_MS).filter(|at| *at > now_ms)
    }

    /// Suspects that the settled crashes convict, or for whose entry they have shown
    /// another scope.
    pub fn judge(&self, now_ms: u64, quarantine: &Quarantine) -> Vec<Verdict> {
        if self.crashes.len() < MIN_CRASHES {
            return Vec::new();
        }
        let evidence = self.evidence(self.settled(now_ms), quarantine);
        let mut candidates: Vec<Candidate<'_>> = Vec::new();
        for (suspect, evidence) in &evidence {
            let crashes_ms = independent_crashes(evidence);
            let scope = common_caller(evidence);
            let is_known = quarantine
                .get(*suspect)
                .is_some_and(|e| e.caller.is_none() || e.caller == scope);
            if !is_known && crashes_ms.len() >= min_crashes(evidence) {
                candidates.push(Candidate {
                    suspect: *suspect,
                    evidence,
                    crashes_ms,
                });
            }
        }
        let is_explained = |candidate: &Candidate<'_>| {
            let mut others = candidates.iter().filter(|c| c.suspect != candidate.suspect);
            others.any(|other| is_narrower(other.evidence, candidate.evidence))
        };
        let unexplained: Vec<_> = candidates.iter().filter(|c| !is_explained(c)).collect();
        // Those with fewer crashes are judged again once these are quarantined.
        let most = unexplained.iter().map(|c| c.crashes_ms.len()).max();
        let strongest: Vec<_> = unexplained
            .into_iter()
            .filter(|c| Some(c.crashes_ms.len()) == most)
            .collect();
        let verdicts = strongest.iter().map(|candidate| Verdict {
            suspect: candidate.suspect,
            caller: common_caller(candidate.evidence),
            crashes_ms: candidate.crashes_ms.clone(),
            has_rivals: strongest.len() > 1,
        });
        verdicts.collect()
    }

    /// Suspects in quarantine whose crashes another one explains, under which upstreams
    /// have gone on to end.
    pub fn acquitted(&self, now_ms: u64, quarantine: &Quarantine) -> Vec<Suspect> {
        let evidence = self.evidence(self.settled(now_ms), &Quarantine::default());
        let entries = quarantine.entries.iter().map(|e| e.suspect);
        let known: Vec<(Suspect, &Evidence)> = entries
            .filter_map(|suspect| Some((suspect, evidence.get(&suspect)?)))
            .collect();
        let is_explained = |(suspect, crashes): &&(Suspect, &Evidence)| {
            let explains = |other: &Evidence| {
                crashes.keys().all(|index| other.contains_key(index))
                    && !is_narrower(crashes, other)
                    && independent_crashes(other).len() > independent_crashes(crashes).len()
            };
            let mut others = known.iter().filter(|(other, _)| other != suspect);
            others.any(|(_, other)| explains(other))
        };
        let explained = known.iter().filter(is_explained);
        explained.map(|(suspect, _)| *suspect).collect()
    }

    /// The crashes of which all reports have arrived, with their index.
    fn settled(&self, now_ms: u64) -> impl Iterator<Item = (usize, &Crash)> {
        let crashes = self.crashes.iter().enumerate();
        crashes.filter(move |(_, c)| c.recorded_ms + SETTLE_MS <= now_ms)
    }
}

/// Times of the crashes without a common cause: far enough apart, or under a request that
/// was sent after the crash before.
fn independent_crashes(crashes: &Evidence) -> Vec<u64> {
    let mut exhibits: Vec<&Exhibit> = crashes.values().collect();
    exhibits.sort_by_key(|e| e.ended_ms);
    let is_whole = depth(crashes) == WHOLE_REQUEST;
    let min_apart_ms = if is_whole {
        MIN_APART_OF_WHOLE_MS
    } else {
        MIN_APART_MS
    };
    let mut times: Vec<u64> = Vec::new();
    for exhibit in exhibits {
        let is_independent = times.last().is_none_or(|last| {
            exhibit.ended_ms >= last + min_apart_ms || exhibit.last_sent_ms >= *last
        });
        if is_independent {
            times.push(exhibit.ended_ms);
        }
    }
    times
}

/// Crashes that convict a suspect.
fn min_crashes(crashes: &Evidence) -> usize {
    let with_suspect: usize = crashes.values().map(|e| e.requests.len()).sum();
    let all: usize = crashes.values().map(|e| e.suspect_requests).sum();
    let is_broad = depth(crashes) == 0 && with_suspect * 2 > all;
    if is_broad {
        MIN_CRASHES_OF_BROAD
    } else {
        MIN_CRASHES
    }
}

/// Caller that had a request with the suspect in flight at every crash.
fn common_caller(crashes: &Evidence) -> Option<Fingerprint> {
    let mut callers = crashes.values().map(|e| &e.callers);
    let first = callers.next()?.clone();
    let common = callers.fold(first, |common, callers| &common & callers);
    common.into_iter().next()
}

/// True if the requests with `a` at its crashes are some of those with `b`, so that `a` is
/// the better explanation.
fn is_narrower(a: &Evidence, b: &Evidence) -> bool {
    let mut shared = 0;
    let mut is_smaller = a.len() < b.len() && a.keys().all(|index| b.contains_key(index));
    for (index, by_a) in a {
        // A crash without `b` is from before its last sound response.
        let Some(by_b) = b.get(index) else {
            continue;
        };
        if !by_a.requests.is_subset(&by_b.requests) {
            return false;
        }
        shared += 1;
        is_smaller |= by_a.requests.len() < by_b.requests.len();
    }
    shared > 0 && (is_smaller || depth(a) > depth(b))
}

/// Depth of a suspect in its requests, 0 for the first part of the prompt.
fn depth(crashes: &Evidence) -> usize {
    crashes.values().map(|e| e.depth).min().unwrap_or(0)
}
