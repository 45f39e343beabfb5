//! Keeps requests in quarantine from being sent, and lets the acting host decide which
//! ones these are.
//!
//! The acting host judges the crashes that hosts report, tells all hosts at once and
//! writes the list to the store, from which hosts that start or have missed it read it.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use tokio_util::sync::CancellationToken;

use super::call::RoutedRequest;
use super::peer_messages::PeerMessage;
use super::place::Rejection;
use super::platform::{FleetStore, Platform};
use super::state::Gateway;
use super::store_facts::{CRASHES_KEY, QUARANTINE_KEY, decode};
use crate::core::ids::HostId;
use crate::core::quarantine::{Quarantine, Verdict, Version};
use crate::core::request_traits::Suspect;
use crate::edge::kv::{Cas, CasAllOutcome, KvError};
use crate::kernel::Service;

/// Reason for requests that are not sent.
pub const QUARANTINED: &str = "quarantined";
/// Time after which the acting host counts as unable to answer.
const ASK_TIMEOUT: Duration = Duration::from_millis(50);
/// Time between two rounds without news.
const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two rounds, over which news is collected.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// Time after which hosts are asked again to watch the same suspects, in milliseconds.
const WATCH_INTERVAL_MS: u64 = 3_000;
/// Largest list that is sent to all hosts at once; hosts read a longer one from the store.
const MAX_SENT_ENTRIES: usize = 12;

/// Suspects that the acting host has last asked all hosts to watch.
#[derive(Debug, Default)]
pub struct SentWatch {
    suspects: Vec<Suspect>,
    at_ms: u64,
}

impl<P: Platform> Gateway<P> {
    /// Rejection of a request in quarantine, unless it is the one that is tried.
    pub fn hold_back(&self, request: &RoutedRequest) -> Option<Rejection> {
        let quarantine = self.crashes.quarantine.borrow();
        let entry = quarantine.find(&request.traits);
        let entry = entry.filter(|_| !request.is_trial)?;
        let retry_after_ms = entry.retry_after_ms(self.now_ms());
        tracing::info!(
            event = "turned_away",
            request = request.request_id,
            reason = QUARANTINED,
            suspect = %entry.suspect,
            retry_after_ms,
        );
        Some(Rejection {
            reason: QUARANTINED,
            retry_after_ms,
        })
    }

    /// Rejection of a request in quarantine. If a trial is due and the acting host grants
    /// it, the request is marked as one instead.
    pub async fn check_quarantine(&self, request: &mut RoutedRequest) -> Option<Rejection> {
        let due = {
            let quarantine = self.crashes.quarantine.borrow();
            let entry = quarantine.find(&request.traits)?;
            entry.is_trial_due(self.now_ms()).then_some(entry.suspect)
        };
        if let Some(suspect) = due
            && self.ask_for_trial(suspect).await
        {
            tracing::info!(
                event = "quarantine",
                change = "trial",
                request = request.request_id,
                suspect = %suspect,
            );
            request.is_trial = true;
        }
        self.hold_back(request)
    }

    async fn ask_for_trial(&self, suspect: Suspect) -> bool {
        let Some(acting) = self.acting_host.borrow().clone() else {
            return false;
        };
        let host = self.settings().host.clone();
        if acting.host == host {
            return self.grant_trial(suspect);
        }
        let send = |ticket| {
            let question = PeerMessage::AskTrial {
                host,
                suspect,
                ticket,
            };
            self.send_peer(acting.addr, &question);
        };
        let answer = self.crashes.trials.ask(ASK_TIMEOUT, send).await;
        answer == Some(true)
    }

    /// Answers another host that asks for a trial.
    pub fn answer_trial(&self, host: &HostId, suspect: Suspect, ticket: u64) {
        let is_granted = self.is_acting_host() && self.grant_trial(suspect);
        let addr = {
            let peers = self.peers.borrow();
            peers.get_recipient(self.now_ms(), host).map(|p| p.addr)
        };
        if let Some(addr) = addr {
            self.send_peer(addr, &PeerMessage::Trial { ticket, is_granted });
        }
    }

    fn grant_trial(&self, suspect: Suspect) -> bool {
        let now_ms = self.now_ms();
        let term = self.term();
        let mut quarantine = self.crashes.quarantine.borrow_mut();
        let is_granted = quarantine.grant_trial(now_ms, term, suspect);
        drop(quarantine);
        if is_granted {
            self.publish_quarantine();
        }
        is_granted
    }

    fn term(&self) -> u64 {
        self.acting_host.borrow().as_ref().map_or(0, |a| a.term)
    }

    /// Records which requests hosts have seen served soundly, as the acting host.
    pub fn record_sound_elsewhere(&self, suspects: &[(Suspect, u64)]) {
        if !self.is_acting_host() {
            return;
        }
        let now_ms = self.now_ms();
        let mut is_changed = false;
        for (suspect, age_ms) in suspects {
            let began_ms = now_ms.saturating_sub(*age_ms);
            let mut ledger = self.crashes.ledger.borrow_mut();
            ledger.record_sound(*suspect, began_ms);
            let mut quarantine = self.crashes.quarantine.borrow_mut();
            if quarantine.release(self.term(), *suspect, began_ms) {
                is_changed = true;
                tracing::info!(event = "quarantine", change = "released", suspect = %suspect);
            }
        }
        if is_changed {
            self.publish_quarantine();
        }
    }

    /// Judges the crashes that have settled, as the acting host.
    fn judge_crashes(&self) {
        let now_ms = self.now_ms();
        let term = self.term();
        let mut is_changed = false;
        // Ends, since an entry gives way only to one with a later crash.
        loop {
            let verdicts = {
                let ledger = self.crashes.ledger.borrow();
                ledger.judge(now_ms, &self.crashes.quarantine.borrow())
            };
            let mut is_new = false;
            for verdict in verdicts {
                is_new |= self.convict(now_ms, term, verdict);
            }
            if !is_new {
                break;
            }
            is_changed = true;
        }
        let acquitted = {
            let ledger = self.crashes.ledger.borrow();
            ledger.acquitted(now_ms, &self.crashes.quarantine.borrow())
        };
        for suspect in acquitted {
            tracing::info!(event = "quarantine", change = "acquitted", suspect = %suspect);
            let mut quarantine = self.crashes.quarantine.borrow_mut();
            quarantine.acquit(term, suspect);
            is_changed = true;
        }
        if is_changed {
            self.publish_quarantine();
        }
    }

    fn convict(&self, now_ms: u64, term: u64, verdict: Verdict) -> bool {
        let Verdict {
            suspect, caller, ..
        } = verdict;
        let crashes = verdict.crashes_ms.len();
        let mut quarantine = self.crashes.quarantine.borrow_mut();
        let is_new = quarantine.convict(now_ms, term, verdict);
        if is_new {
            tracing::warn!(
                event = "quarantine",
                change = "added",
                suspect = %suspect,
                caller = caller.map_or_else(String::new, |c| c.to_string()),
                crashes,
            );
        }
        is_new
    }

    fn publish_quarantine(&self) {
        let quarantine = self.crashes.quarantine.borrow().clone();
        let entries = quarantine.entries.len().cast_signed() as i64;
        self.metrics.quarantined.set(entries);
        if quarantine.entries.len() <= MAX_SENT_ENTRIES {
            let addrs = self.other_hosts(|_| true);
            self.send_peers(addrs, &PeerMessage::Quarantine(quarantine));
        }
        self.crashes.wake.notify_one();
    }

    /// Applies the list as another host or the store has it, unless it is outdated.
    pub fn apply_quarantine(&self, quarantine: Quarantine, source: &'static str) {
        let mut current = self.crashes.quarantine.borrow_mut();
        if quarantine.version <= current.version {
            return;
        }
        let entries = quarantine.entries.len();
        tracing::info!(
            event = "quarantine",
            change = "applied",
            source,
            term = quarantine.version.term,
            number = quarantine.version.number,
            entries,
        );
        *current = quarantine;
        drop(current);
        self.metrics.quarantined.set(entries.cast_signed() as i64);
    }

    /// Selects the suspects for which all hosts are to report sound responses.
    fn select_watched(&self) {
        let suspects = {
            let mut ledger = self.crashes.ledger.borrow_mut();
            ledger.prune();
            ledger.watched(&self.crashes.quarantine.borrow())
        };
        let mut sent = self.crashes.sent_watch.borrow_mut();
        if sent.suspects != suspects {
            sent.suspects = suspects;
            sent.at_ms = 0;
        }
    }

    /// Sends the suspects that hosts are to watch, if they have changed or it is time.
    fn send_watch(&self) {
        let now_ms = self.now_ms();
        let suspects = {
            let mut sent = self.crashes.sent_watch.borrow_mut();
            if sent.suspects.is_empty() || now_ms < sent.at_ms + WATCH_INTERVAL_MS {
                return;
            }
            sent.at_ms = now_ms;
            sent.suspects.clone()
        };
        self.watch_suspects(&suspects);
        let term = self.term();
        let addrs = self.other_hosts(|_| true);
        self.send_peers(addrs, &PeerMessage::Watch { term, suspects });
    }

    /// Applies the list that the store holds since a revision.
    pub fn apply_stored_quarantine(&self, quarantine: Quarantine, revision: u64) {
        self.crashes.stored.set((quarantine.version, revision));
        self.apply_quarantine(quarantine, "store");
    }

    /// Writes the list to the store if that has another version.
    async fn store_quarantine(&self) -> Result<(), KvError> {
        let (stored_version, revision) = self.crashes.stored.get();
        let version = self.crashes.quarantine.borrow().version;
        if version == stored_version {
            return Ok(());
        }
        let write = Cas {
            key: format!("{}{QUARANTINE_KEY}", P::GATEWAY_PREFIX),
            expected_revision: revision,
            value: serde_json::to_vec(&*self.crashes.quarantine.borrow()).ok(),
            lease: 0,
        };
        let items = match self.platform.store().commit(&[write]).await? {
            CasAllOutcome::Written(revision) => {
                self.crashes.stored.set((version, revision));
                return Ok(());
            }
            CasAllOutcome::Conflict(items) => items,
        };
        let item = items.into_iter().flatten().next();
        let revision = item.as_ref().map_or(0, |i| i.mod_revision);
        match item.as_ref().and_then(decode) {
            Some(stored) => self.apply_stored_quarantine(stored, revision),
            None => self.crashes.stored.set((Version::default(), revision)),
        }
        Ok(())
    }

    /// Writes the crashes that count against suspects to the store if they have changed.
    async fn store_crashes(&self) -> Result<(), KvError> {
        let ledger = {
            let ledger = self.crashes.ledger.borrow();
            ledger.to_stored(&self.crashes.sent_watch.borrow().suspects)
        };
        if ledger == *self.crashes.stored_ledger.borrow() {
            return Ok(());
        }
        let Ok(value) = serde_json::to_vec(&ledger) else {
            tracing::error!(event = "bug", "cannot encode the crashes");
            return Ok(());
        };
        let key = format!("{}{CRASHES_KEY}", P::GATEWAY_PREFIX);
        self.platform.store().put(&key, &value, 0).await?;
        self.crashes.stored_ledger.replace(ledger);
        Ok(())
    }
}

/// Service that reports crashes to the acting host and judges them there.
#[derive(Debug)]
pub struct QuarantineService<P: Platform> {
    gateway: Rc<Gateway<P>>,
    judged: Cell<Option<JudgedState>>,
}

/// What the last judgement depended on; it is the same as long as this is.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct JudgedState {
    term: u64,
    revision: u64,
    version: Version,
    is_settling: bool,
}

impl<P: Platform> QuarantineService<P> {
    /// Creates the service on the shared state.
    pub fn new(gateway: Rc<Gateway<P>>) -> Self {
        Self {
            gateway,
            judged: Cell::new(None),
        }
    }

    fn log_store_error(error: KvError) {
        tracing::warn!(
            event = "quarantine",
            error = error.as_str(),
            "cannot write to the store"
        );
    }

    /// Does what is due; returns the time until the next round.
    async fn take_round(&self) -> Duration {
        let gateway = &self.gateway;
        let until_resend = gateway.send_crash_reports();
        let pause = until_resend.map_or(IDLE_INTERVAL, |until| until.min(IDLE_INTERVAL));
        if !gateway.is_acting_host() {
            return pause;
        }
        let now_ms = gateway.now_ms();
        let settles_ms = gateway.crashes.ledger.borrow().settles_ms(now_ms);
        let state = JudgedState {
            term: gateway.term(),
            revision: gateway.crashes.ledger.borrow().revision(),
            version: gateway.crashes.quarantine.borrow().version,
            is_settling: settles_ms.is_some(),
        };
        if self.judged.get() != Some(state) {
            gateway.select_watched();
            gateway.judge_crashes();
            self.judged.set(Some(state));
            if let Err(error) = gateway.store_crashes().await {
                self.judged.set(None);
                Self::log_store_error(error);
            }
        }
        gateway.send_watch();
        if let Err(error) = gateway.store_quarantine().await {
            Self::log_store_error(error);
        }
        let until_settled = settles_ms.map(|at| Duration::from_millis(at - now_ms));
        until_settled.map_or(pause, |until| until.min(pause))
    }
}

impl<P: Platform> Service for QuarantineService<P> {
    const NAME: &'static str = "gateway-quarantine";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        loop {
            let pause = self.take_round().await;
            futures_util::select_biased! {
                () = cancel.cancelled().fuse() => return,
                () = self.gateway.crashes.wake.notified().fuse() => {}
                () = compio::time::sleep(pause).fuse() => {}
            }
            compio::time::sleep(MIN_INTERVAL).await;
        }
    }
}
