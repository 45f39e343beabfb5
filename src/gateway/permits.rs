//! Asks for a permit before anything is sent to an upstream that states how many
//! requests a second it takes, and keeps this host's accounts (`core::rate_account`).

use std::cell::RefCell;
use std::net::SocketAddr;
use std::time::Duration;

use super::peer_messages::{AskPermit, PeerMessage};
use super::platform::Platform;
use super::questions::Questions;
use super::state::Gateway;
use crate::core::ids::{HostId, UpstreamId};
use crate::core::rate_account::{AccountRate, Keeping, Permit, Purpose, RateAccounts, keepers_of};
use crate::core::upstream_rate::RateChange;

/// Time after which a keeper counts as unable to answer; several times the round trip
/// between zones.
const ASK_TIMEOUT: Duration = Duration::from_millis(20);
/// Time without requests to an upstream whose keepers do not answer, in milliseconds.
const UNANSWERED_RETRY_MS: u64 = 100;

/// Questions of this host, and the accounts that it keeps.
#[derive(Debug, Default)]
pub struct PermitDesk {
    questions: Questions<Permit>,
    accounts: RefCell<RateAccounts>,
}

impl<P: Platform> Gateway<P> {
    /// True if a request may be sent to an upstream now. If it may not, the upstream
    /// gets no further one of this host until it may take one again.
    pub async fn take_permit(&self, upstream: &UpstreamId, purpose: Purpose) -> bool {
        let Some(rate) = self.stated_rate(upstream) else {
            return true;
        };
        let permit = self.ask_keepers(upstream, rate, purpose).await;
        let retry_in_ms = match permit {
            Some(Permit::Granted) => return true,
            Some(Permit::Denied { retry_in_ms }) => retry_in_ms,
            None => UNANSWERED_RETRY_MS,
        };
        self.metrics.permits_denied.inc();
        if purpose == Purpose::Caller {
            let until_ms = self.now_ms() + retry_in_ms;
            self.loads.borrow_mut().pace(upstream, until_ms);
        }
        false
    }

    pub(super) fn stated_rate(&self, upstream: &UpstreamId) -> Option<AccountRate> {
        let known = self.known_rates.borrow();
        if known.is_empty() {
            return None;
        }
        let registry = self.registry.borrow();
        let started_ms = registry.get(upstream.as_str())?.started_ms;
        known.get(upstream, started_ms)
    }

    async fn ask_keepers(
        &self,
        upstream: &UpstreamId,
        rate: AccountRate,
        purpose: Purpose,
    ) -> Option<Permit> {
        let own = self.settings().host.clone();
        let keepers: Vec<(Keeping, HostId, SocketAddr)> = {
            let peers = self.peers.borrow();
            let keepers = keepers_of(upstream, peers.listed().map(|(host, _)| host));
            let addr = |host| peers.get_listed(host).map(|p| p.addr);
            let known = keepers
                .into_iter()
                .filter_map(|(keeping, host)| Some((keeping, host.clone(), addr(host)?)));
            known.collect()
        };
        for (keeping, host, addr) in keepers {
            if host == own {
                let mut accounts = self.permits.accounts.borrow_mut();
                return Some(accounts.try_take(self.now_ms(), upstream, rate, keeping, purpose));
            }
            let send = |ticket| {
                let question = AskPermit {
                    host: own.clone(),
                    upstream: upstream.clone(),
                    started_ms: rate.started_ms,
                    per_mille_s: rate.per_mille_s,
                    age_ms: self.now_ms().saturating_sub(rate.stated_ms),
                    keeping,
                    purpose,
                    ticket,
                };
                self.send_peer(addr, &PeerMessage::AskPermit(question));
            };
            let permit = self.permits.questions.ask(ASK_TIMEOUT, send).await;
            if permit.is_some() {
                return permit;
            }
            self.metrics.unanswered_asks.inc();
        }
        None
    }

    /// Answers another host by an account that this host keeps.
    pub fn answer_permit(&self, question: &AskPermit) {
        let now_ms = self.now_ms();
        let rate = AccountRate {
            started_ms: question.started_ms,
            per_mille_s: question.per_mille_s,
            stated_ms: now_ms.saturating_sub(question.age_ms),
        };
        let permit = {
            let mut accounts = self.permits.accounts.borrow_mut();
            let AskPermit {
                upstream,
                keeping,
                purpose,
                ..
            } = question;
            accounts.try_take(now_ms, upstream, rate, *keeping, *purpose)
        };
        let addr = {
            let peers = self.peers.borrow();
            peers.get_recipient(now_ms, &question.host).map(|p| p.addr)
        };
        if let Some(addr) = addr {
            let retry_in_ms = match permit {
                Permit::Granted => None,
                Permit::Denied { retry_in_ms } => Some(retry_in_ms),
            };
            let ticket = question.ticket;
            self.send_peer(
                addr,
                &PeerMessage::Permit {
                    ticket,
                    retry_in_ms,
                },
            );
        }
    }

    /// Passes a keeper's answer to the task that asked.
    pub fn apply_permit(&self, ticket: u64, retry_in_ms: Option<u64>) {
        let permit = match retry_in_ms {
            None => Permit::Granted,
            Some(retry_in_ms) => Permit::Denied { retry_in_ms },
        };
        self.permits.questions.answer(ticket, permit);
    }

    /// Applies the rate of an upstream that another host has learned of; true if it is
    /// news.
    pub fn learn_rate(&self, upstream: &UpstreamId, started_ms: u64, per_mille_s: u32) -> bool {
        let is_listed = {
            let registry = self.registry.borrow();
            registry
                .get(upstream.as_str())
                .is_some_and(|e| e.started_ms == started_ms)
        };
        let known = self.known_rates.borrow().get(upstream, started_ms);
        if !is_listed || known.is_some() {
            return false;
        }
        let now_ms = self.now_ms();
        let change = self
            .known_rates
            .borrow_mut()
            .learn(now_ms, upstream, started_ms, per_mille_s);
        if let Some(change) = change {
            self.on_rate_change(upstream, change, "peer");
        }
        change == Some(RateChange::Stated(per_mille_s))
    }

    /// Forgets the rate and the accounts of an upstream that is gone or has restarted.
    pub fn forget_rate(&self, upstream: &UpstreamId) {
        self.permits.accounts.borrow_mut().remove(upstream);
        let change = self.known_rates.borrow_mut().lift(upstream);
        if let Some(change) = change {
            self.on_rate_change(upstream, change, "removed");
        }
    }
}
