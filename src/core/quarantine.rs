//! Requests that are not sent, since they crash the upstreams that respond to them.
//!
//! Load pattern: requests with one thing in common come at any host for as long as a day.
//! Each one that is sent ends an upstream with everything that it is running.
//!
//! The list is the same on all hosts and lasts in the store. An entry may be wrong, so
//! that single requests are tried at growing intervals: one that is served ends the entry.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use serde_with::{DurationMilliSeconds, serde_as};

use super::request_traits::{Fingerprint, RequestTraits, Suspect};

/// Largest number of entries; one whose last crash is older gives way to a new one.
const MAX_ENTRIES: usize = 32;
/// Crashes of which an entry keeps the time.
const MAX_CRASH_TIMES: usize = 8;
/// Crashes without which a suspect is released.
pub const MIN_CRASHES: usize = 3;
/// Time from the entry to the first trial.
const FIRST_TRIAL_DELAY: Duration = Duration::from_secs(5);
/// The same if other suspects are as likely to be the cause.
const FIRST_TRIAL_DELAY_OF_RIVALS: Duration = Duration::from_secs(1);
/// Growth of the time between two trials.
const TRIAL_DELAY_FACTOR: u32 = 6;
/// Limit of the time between two trials.
const MAX_TRIAL_DELAY: Duration = Duration::from_hours(24);
/// Time between the trials of different suspects, so that a crash under one does not
/// look like a failure of the other, in milliseconds.
const TRIAL_SPACING_MS: u64 = 2_000;
/// Limits of the retry delay of a request that is not sent.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u64> = 1_000..=60_000;

/// Number of a version of the list; higher in later terms.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
pub struct Version {
    /// Term of the acting host that made it.
    #[serde(rename = "t")]
    pub term: u64,
    /// Number within the list's history.
    #[serde(rename = "n")]
    pub number: u64,
}

/// Suspect whose requests are not sent.
#[serde_as]
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Entry {
    /// What the requests have in common.
    #[serde(rename = "s")]
    pub suspect: Suspect,
    /// The only caller concerned; none if requests of different callers crash upstreams.
    #[serde(rename = "c")]
    pub caller: Option<Fingerprint>,
    /// Times of crashes, in milliseconds since the epoch, oldest first.
    #[serde(rename = "k")]
    pub crashes_ms: Vec<u64>,
    /// Time of the next trial, in milliseconds since the epoch.
    #[serde(rename = "n")]
    pub next_trial_ms: u64,
    /// Time from the next trial to the one after.
    #[serde(rename = "d")]
    #[serde_as(as = "DurationMilliSeconds<u64>")]
    trial_delay: Duration,
}

impl Entry {
    fn new(now_ms: u64, verdict: Verdict) -> Self {
        let mut entry = Self {
            suspect: verdict.suspect,
            caller: verdict.caller,
            crashes_ms: verdict.crashes_ms,
            next_trial_ms: now_ms,
            trial_delay: if verdict.has_rivals {
                FIRST_TRIAL_DELAY_OF_RIVALS
            } else {
                FIRST_TRIAL_DELAY
            },
        };
        entry.trim_crashes();
        entry.schedule_trial(now_ms);
        entry
    }

    fn schedule_trial(&mut self, now_ms: u64) {
        self.next_trial_ms = now_ms + self.trial_delay.as_millis() as u64;
        self.trial_delay = (self.trial_delay * TRIAL_DELAY_FACTOR).min(MAX_TRIAL_DELAY);
    }

    fn trim_crashes(&mut self) {
        let excess = self.crashes_ms.len().saturating_sub(MAX_CRASH_TIMES);
        self.crashes_ms.drain(..excess);
    }

    /// True if the entry concerns a request.
    pub fn covers(&self, traits: &RequestTraits) -> bool {
        self.caller.is_none_or(|c| c == traits.caller) && traits.has(self.suspect)
    }

    /// True if a trial is due.
    pub fn is_trial_due(&self, now_ms: u64) -> bool {
        now_ms >= self.next_trial_ms
    }

    /// Time after which a caller may try again, in milliseconds.
    pub fn retry_after_ms(&self, now_ms: u64) -> u64 {
        let until_trial_ms = self.next_trial_ms.saturating_sub(now_ms);
        until_trial_ms.clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end())
    }
}

/// Finding that requests with a suspect crash upstreams.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Verdict {
    /// What the requests have in common.
    pub suspect: Suspect,
    /// Caller to whom all crashes may be due, if there is one.
    pub caller: Option<Fingerprint>,
    /// Times of the crashes, in milliseconds since the epoch, oldest first.
    pub crashes_ms: Vec<u64>,
    /// True if the same crashes convict other suspects as well.
    pub has_rivals: bool,
}

/// List of the suspects whose requests are not sent.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct Quarantine {
    /// Version.
    #[serde(rename = "v")]
    pub version: Version,
    /// Entries.
    #[serde(rename = "e")]
    pub entries: Vec<Entry>,
    /// Time of the last trial, in milliseconds since the epoch.
    #[serde(rename = "l")]
    pub last_trial_ms: u64,
}

impl Quarantine {
    /// Entry that concerns a request.
    pub fn find(&self, traits: &RequestTraits) -> Option<&Entry> {
        self.entries.iter().find(|e| e.covers(traits))
    }

    /// Entry of a suspect.
    pub fn get(&self, suspect: Suspect) -> Option<&Entry> {
        self.entries.iter().find(|e| e.suspect == suspect)
    }

    fn next_version(&mut self, term: u64) {
        self.version = Version {
            term: term.max(self.version.term),
            number: self.version.number + 1,
        };
    }

    /// Adds an entry, or widens the one of the same suspect; false if the list is full of
    /// entries with later crashes.
    pub fn convict(&mut self, now_ms: u64, term: u64, verdict: Verdict) -> bool {
        let mut entries = self.entries.iter_mut();
        if let Some(entry) = entries.find(|e| e.suspect == verdict.suspect) {
            if entry.caller != verdict.caller {
                entry.caller = None;
            }
            entry.crashes_ms = verdict.crashes_ms;
            entry.trim_crashes();
            self.next_version(term);
            return true;
        }
        if self.entries.len() >= MAX_ENTRIES {
            let last_crash = |index: &usize| self.entries[*index].crashes_ms.last().copied();
            let oldest = (0..self.entries.len()).min_by_key(last_crash);
            let older = oldest.filter(|i| last_crash(i) < verdict.crashes_ms.last().copied());
            let Some(older) = older else {
                return false;
            };
            self.entries.swap_remove(older);
        }
        self.entries.push(Entry::new(now_ms, verdict));
        self.next_version(term);
        true
    }

    /// Applies that a request with a suspect, whose response began at `began_ms`, was served
    /// soundly; true if its entry ends.
    pub fn release(&mut self, term: u64, suspect: Suspect, began_ms: u64) -> bool {
        let Some(index) = self.entries.iter().position(|e| e.suspect == suspect) else {
            return false;
        };
        let crashes = self.entries[index].crashes_ms.iter();
        let is_released = crashes.filter(|at| **at > began_ms).count() < MIN_CRASHES;
        if is_released {
            self.entries.swap_remove(index);
            self.next_version(term);
        }
        is_released
    }

    /// Ends the entry of a suspect.
    pub fn acquit(&mut self, term: u64, suspect: Suspect) {
        self.entries.retain(|e| e.suspect != suspect);
        self.next_version(term);
    }

    /// Permits one request with a suspect if a trial is due.
    pub fn grant_trial(&mut self, now_ms: u64, term: u64, suspect: Suspect) -> bool {
        if now_ms < self.last_trial_ms.saturating_add(TRIAL_SPACING_MS) {
            return false;
        }
        let mut entries = self.entries.iter_mut();
        let due = entries.find(|e| e.suspect == suspect && e.is_trial_due(now_ms));
        let Some(entry) = due else {
            return false;
        };
        entry.schedule_trial(now_ms);
        self.last_trial_ms = now_ms;
        self.next_version(term);
        true
    }
}
