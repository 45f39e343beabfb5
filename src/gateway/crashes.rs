//! Recognises that an upstream has ended under the requests that it was running, and
//! reports it to the acting host.
//!
//! A response that breaks off has many causes. The upstream counts as ended only if its
//! port refuses connections right afterwards, although the store lists it, it has not
//! stated that it leaves, and this host reaches another upstream.
//!
//! Reports are sent more than once, since datagrams get lost, and all recent ones again to
//! a new acting host. Hosts tell it as well which of the suspects they have seen served
//! soundly (`core::crash_ledger`).

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;

use super::call::RoutedRequest;
use super::exchange::AttemptFailure;
use super::peer_messages::PeerMessage;
use super::peers::{MAX_ITEMS_PER_DATAGRAM, datagram_chunk, report_interval};
use super::platform::Platform;
use super::quarantine::SentWatch;
use super::questions::Questions;
use super::state::Gateway;
use crate::core::crash_ledger::{CrashLedger, LostRequest, StoredLedger};
use crate::core::ids::UpstreamId;
use crate::core::load::SentRequest;
use crate::core::quarantine::{Quarantine, Version};
use crate::core::request_traits::{Fingerprint, RequestTraits, Suspect};
use crate::core::sound_responses::SoundResponses;
use crate::edge::pool::{self, PortState};

/// Time over which the requests that break off at one upstream are collected.
const COLLECT_TIME: Duration = Duration::from_millis(50);
/// Interval at which a host that may have lost its links tries other upstreams.
const CUT_POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time after which a report on an upstream is given up if no other one is reached.
const MAX_CUT_WAIT: Duration = Duration::from_secs(30);
/// Age of a response at which its request did not crash the upstream.
pub const SOUND_AFTER_MS: u64 = 1_500;
/// Fingerprints of one kind named in one log line.
const MAX_LOGGED: usize = 8;
/// Recent reports of this host.
const MAX_REPORTS: usize = 32;
/// Times after which a report is sent again to the same acting host; the last ones are for
/// partitions.
const RESEND_DELAYS_MS: [u64; 6] = [150, 150, 1_000, 3_000, 8_000, 20_000];
/// Time after which the acting host has to renew what it watches, in milliseconds.
const WATCH_MS: u64 = 10_000;

/// Version of the quarantine in the store, and its revision; 0 if there is none.
pub type StoredVersion = (Version, u64);

/// Requests that broke off at one upstream, until it is known whether it has ended.
#[derive(Debug, Default)]
struct BrokenOff {
    ended_ms: u64,
    suspects: Vec<LostRequest>,
}

/// Report on an upstream that has ended.
#[derive(Clone, Debug)]
struct Report {
    upstream: UpstreamId,
    started_ms: u64,
    ended_ms: u64,
    requests: Vec<LostRequest>,
    sends: usize,
    /// Time of the next sending; none if it was sent often enough.
    next_send_ms: Option<u64>,
}

impl Report {
    /// Prepares the sending to another acting host.
    fn restart(&mut self) {
        self.sends = 0;
        self.next_send_ms = Some(0);
    }

    /// True if it is to be sent now, which is counted.
    fn take_due(&mut self, now_ms: u64) -> bool {
        let is_due = self.next_send_ms.is_some_and(|at| now_ms >= at);
        if is_due {
            let delay_ms = RESEND_DELAYS_MS.get(self.sends);
            self.next_send_ms = delay_ms.map(|delay| now_ms + delay);
            self.sends += 1;
        }
        is_due
    }
}

/// What this host knows of upstreams that end and of the requests that cause it.
#[derive(Debug, Default)]
pub struct CrashDesk {
    broken_off: RefCell<HashMap<UpstreamId, BrokenOff>>,
    reports: RefCell<VecDeque<Report>>,
    /// Term of the acting host that has received the reports.
    reported_term: Cell<u64>,
    sound: RefCell<SoundResponses>,
    /// Suspects that the acting host watches, with the time of the last news of each.
    watched: RefCell<HashMap<Suspect, u64>>,
    watched_ms: Cell<u64>,
    /// Crashes of the fleet, at the acting host.
    pub(super) ledger: RefCell<CrashLedger>,
    /// What this host has last written of it to the store.
    pub(super) stored_ledger: RefCell<StoredLedger>,
    /// Requests that are not sent.
    pub(super) quarantine: RefCell<Quarantine>,
    /// What the store holds of it.
    pub stored: Cell<StoredVersion>,
    /// Questions whether a request in quarantine may be tried.
    pub(super) trials: Questions<bool>,
    pub(super) sent_watch: RefCell<SentWatch>,
    pub(super) wake: Notify,
}

impl<P: Platform> Gateway<P> {
    /// Handles a message about crashes and quarantined requests.
    pub fn handle_crash_message(&self, message: PeerMessage) {
        match message {
            PeerMessage::Crash {
                upstream,
                started_ms,
                age_ms,
                requests,
            } => self.record_crash(&upstream, started_ms, age_ms, requests),
            PeerMessage::Watch { term, suspects } if self.is_current_term(term) => {
                self.watch_suspects(&suspects);
            }
            PeerMessage::Sound { suspects } => self.record_sound_elsewhere(&suspects),
            PeerMessage::Quarantine(quarantine) => self.apply_quarantine(quarantine, "peer"),
            PeerMessage::AskTrial {
                host,
                suspect,
                ticket,
            } => self.answer_trial(&host, suspect, ticket),
            PeerMessage::Trial { ticket, is_granted } => {
                self.crashes.trials.answer(ticket, is_granted);
            }
            _ => {}
        }
    }

    /// Records an attempt that failed before the response began.
    pub fn on_failed_attempt(
        self: &Rc<Self>,
        request: &RoutedRequest,
        sent: &SentRequest,
        failure: &AttemptFailure,
    ) {
        match failure {
            AttemptFailure::Unknown => self.on_broken_off(request, sent, None),
            AttemptFailure::NotConnected
            | AttemptFailure::NotSentInTime
            | AttemptFailure::TimedOut => {
                self.record_unreached(&sent.upstream);
            }
            AttemptFailure::NotSent
            | AttemptFailure::NotConfirmed
            | AttemptFailure::Unproven
            | AttemptFailure::Unverified
            | AttemptFailure::NoMemory
            | AttemptFailure::NotRun { .. }
            | AttemptFailure::FailureResponse(_) => {}
        }
    }

    /// Records that the response to a request broke off; `responding_since_ms` is the time
    /// of its first event.
    pub fn on_broken_off(
        self: &Rc<Self>,
        request: &RoutedRequest,
        sent: &SentRequest,
        responding_since_ms: Option<u64>,
    ) {
        self.record_unreached(&sent.upstream);
        let now_ms = self.now_ms();
        let is_suspect = responding_since_ms.is_none_or(|at| now_ms < at + SOUND_AFTER_MS);
        let mut broken_off = self.crashes.broken_off.borrow_mut();
        let is_first = !broken_off.contains_key(&sent.upstream);
        let at_upstream = broken_off.entry(sent.upstream.clone()).or_default();
        if is_first {
            at_upstream.ended_ms = now_ms;
        }
        if is_suspect {
            at_upstream.suspects.push(LostRequest {
                id: Fingerprint::of(&[b"request", request.request_id.as_bytes()]),
                traits: request.traits.clone(),
                sent_before_ms: now_ms.saturating_sub(sent.sent_ms()),
            });
        }
        drop(broken_off);
        if is_first {
            let gateway = Rc::clone(self);
            let upstream = sent.upstream.clone();
            compio::runtime::spawn(async move { gateway.check_ended(&upstream).await }).detach();
        }
    }

    async fn check_ended(&self, upstream: &UpstreamId) {
        compio::time::sleep(COLLECT_TIME).await;
        let broken_off = self.crashes.broken_off.borrow_mut().remove(upstream);
        let Some(BrokenOff { ended_ms, suspects }) = broken_off else {
            return;
        };
        let listed = {
            let registry = self.registry.borrow();
            let entry = registry.get(upstream.as_str());
            let entry = entry.filter(|e| !e.is_draining);
            entry.map(|e| (e.addr, e.started_ms))
        };
        let Some((addr, started_ms)) = listed else {
            return;
        };
        if pool::probe(addr).await != PortState::Refuses {
            return;
        }
        if self.is_cut_suspected() && !self.has_ended_beyond_cut(upstream, addr, started_ms).await {
            return;
        }
        self.metrics.upstreams_ended.inc();
        tracing::info!(
            event = "upstream",
            upstream = %upstream,
            change = "ended",
            suspects = suspects.len(),
            parts = most_frequent(suspects.iter().flat_map(|s| &s.traits.parts)),
            requests = most_frequent(suspects.iter().map(|s| &s.traits.whole)),
        );
        if suspects.is_empty() {
            return;
        }
        let mut reports = self.crashes.reports.borrow_mut();
        if reports.len() >= MAX_REPORTS {
            reports.pop_front();
        }
        reports.push_back(Report {
            upstream: upstream.clone(),
            started_ms,
            ended_ms,
            requests: suspects,
            sends: 0,
            next_send_ms: Some(0),
        });
        drop(reports);
        self.crashes.wake.notify_one();
    }

    /// Waits until this host reaches another upstream, since the ports of all seem closed
    /// to a host that has lost its links; true if the upstream has ended by then.
    async fn has_ended_beyond_cut(
        &self,
        upstream: &UpstreamId,
        addr: SocketAddr,
        started_ms: u64,
    ) -> bool {
        let mut waited = Duration::ZERO;
        while !self.reaches_others(upstream).await {
            if waited >= MAX_CUT_WAIT {
                return false;
            }
            compio::time::sleep(CUT_POLL_INTERVAL).await;
            waited += CUT_POLL_INTERVAL;
        }
        let is_listed = {
            let registry = self.registry.borrow();
            let entry = registry.get(upstream.as_str());
            entry.is_some_and(|e| e.started_ms == started_ms)
        };
        !is_listed || pool::probe(addr).await == PortState::Refuses
    }

    /// Sends the reports that the acting host may lack; returns the time until some are to
    /// be sent again.
    pub(super) fn send_crash_reports(&self) -> Option<Duration> {
        let acting = self.acting_host.borrow().clone()?;
        let is_new_term = self.crashes.reported_term.replace(acting.term) != acting.term;
        let now_ms = self.now_ms();
        let mut due = Vec::new();
        let mut next_ms: Option<u64> = None;
        for report in self.crashes.reports.borrow_mut().iter_mut() {
            if is_new_term {
                report.restart();
            }
            if report.take_due(now_ms) {
                due.push(report.clone());
            }
            next_ms = report.next_send_ms.into_iter().chain(next_ms).min();
        }
        for report in due {
            let age_ms = now_ms.saturating_sub(report.ended_ms);
            for index in 0..report.requests.len().div_ceil(MAX_ITEMS_PER_DATAGRAM) {
                let requests = datagram_chunk(&report.requests, index);
                if acting.host == self.settings().host {
                    self.record_crash(&report.upstream, report.started_ms, age_ms, requests);
                    continue;
                }
                let message = PeerMessage::Crash {
                    upstream: report.upstream.clone(),
                    started_ms: report.started_ms,
                    age_ms,
                    requests,
                };
                self.send_peer(acting.addr, &message);
            }
        }
        next_ms.map(|at| Duration::from_millis(at.saturating_sub(now_ms)))
    }

    /// Records a host's report that an upstream has ended.
    pub fn record_crash(
        &self,
        upstream: &UpstreamId,
        started_ms: u64,
        age_ms: u64,
        requests: Vec<LostRequest>,
    ) {
        let now_ms = self.now_ms();
        let ended_ms = now_ms.saturating_sub(age_ms);
        let mut ledger = self.crashes.ledger.borrow_mut();
        ledger.record(now_ms, upstream, started_ms, ended_ms, requests);
        drop(ledger);
        self.crashes.wake.notify_one();
    }

    /// Adds the crashes that the store holds, which another acting host has written.
    pub fn restore_crashes(&self, stored: StoredLedger) {
        let mut ledger = self.crashes.ledger.borrow_mut();
        ledger.restore(self.now_ms(), stored);
        drop(ledger);
        self.crashes.wake.notify_one();
    }

    /// Records that a request was served soundly, by a response that began at `began_ms`.
    pub fn record_sound(&self, traits: &RequestTraits, began_ms: u64) {
        let mut sound = self.crashes.sound.borrow_mut();
        sound.record(traits, began_ms);
        drop(sound);
        let now_ms = self.now_ms();
        let news = {
            let mut watched = self.crashes.watched.borrow_mut();
            if watched.is_empty() {
                return;
            }
            if now_ms >= self.crashes.watched_ms.get() + WATCH_MS {
                watched.clear();
            }
            let interval_ms = report_interval(self.host_count()).as_millis() as u64;
            let mut news = Vec::new();
            for (suspect, _) in traits.suspects() {
                if let Some(told_ms) = watched.get_mut(&suspect)
                    && now_ms >= *told_ms + interval_ms
                {
                    *told_ms = now_ms;
                    news.push((suspect, now_ms.saturating_sub(began_ms)));
                }
            }
            news
        };
        self.send_sound(news);
    }

    /// Watches suspects for the acting host, and tells it what is known of them.
    pub fn watch_suspects(&self, suspects: &[Suspect]) {
        let now_ms = self.now_ms();
        self.crashes.watched_ms.set(now_ms);
        let sound = self.crashes.sound.borrow();
        let mut news = Vec::new();
        let mut watched = self.crashes.watched.borrow_mut();
        watched.retain(|suspect, _| suspects.contains(suspect));
        for suspect in suspects {
            let is_new = watched.insert(*suspect, now_ms).is_none();
            if let Some(began_ms) = sound.get(*suspect).filter(|_| is_new) {
                news.push((*suspect, now_ms.saturating_sub(began_ms)));
            }
        }
        drop((sound, watched));
        self.send_sound(news);
    }

    fn send_sound(&self, suspects: Vec<(Suspect, u64)>) {
        if suspects.is_empty() {
            return;
        }
        if self.is_acting_host() {
            self.record_sound_elsewhere(&suspects);
        } else if let Some(acting) = self.acting_host.borrow().clone() {
            self.send_peer(acting.addr, &PeerMessage::Sound { suspects });
        }
    }
}

/// Most frequent fingerprints with their counts.
fn most_frequent<'a>(fingerprints: impl Iterator<Item = &'a Fingerprint>) -> String {
    let mut counts: BTreeMap<Fingerprint, usize> = BTreeMap::new();
    for fingerprint in fingerprints {
        *counts.entry(*fingerprint).or_default() += 1;
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    let texts = counts.iter().take(MAX_LOGGED);
    let texts: Vec<String> = texts.map(|(hash, n)| format!("{hash}:{n}")).collect();
    texts.join(",")
}
