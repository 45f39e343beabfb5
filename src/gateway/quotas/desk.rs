//! Charges requests to the quotas of their organisations.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashMap};
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use futures_util::future::Either;

use super::charge::{QuotaCharge, QuotaRefusal, Refunds, UnusedCredit};
use super::messages::{AccountQuestions, QuotaMessage, QuotaReply};
use crate::core::ids::{HostId, OrganisationId, ZoneId};
use crate::core::organisations::{Organisation, Organisations};
use crate::core::quota_account::{
    Ask, Asker, DELEGATION_MS, Overage, QuotaAccounts, QuotaAnswer, QuotaLimit, Refund, group_of,
};
use crate::core::quota_credit::CreditAhead;
use crate::core::quota_share::{Candidate, KnownHosts, QuotaShare, UNANSWERED_MS, choose_keepers};
use crate::gateway::questions::Questions;

/// Time after which a question is repeated; several times the round trip between zones.
const REPEAT_AFTER: Duration = Duration::from_millis(25);
/// Time after which a question counts as unanswered. A host with a tenth of a core may be
/// off its processor for 90 ms at a time.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(100);
/// Retry delay of requests without an answer, in milliseconds: until the keeper is passed
/// over and its delegation has lapsed. Callers that returned earlier were refused again.
const UNKNOWN_RETRY_MS: u64 = UNANSWERED_MS + DELEGATION_MS;
/// Time for which the answer to a question may still arrive, in milliseconds.
const ASKED_MS: u64 = 2_000;
/// Questions and refunds in one datagram.
const MAX_ITEMS: usize = 60;

/// What the desk needs of the host.
pub trait QuotaFleet {
    /// Milliseconds since the epoch.
    fn now_ms(&self) -> u64;
    /// Version of the configuration in force.
    fn config_version(&self) -> u64;
    /// Sends a message to a keeper.
    fn send_message(&self, keeper: &HostId, message: QuotaMessage);
    /// Sends a reply to a host.
    fn send_reply(&self, host: &HostId, reply: QuotaReply);
    /// Counts credit of a request that is given back.
    fn on_refund(&self, organisation: &OrganisationId);
    /// Passes hosts that are listed to a function, each with true if it keeps accounts.
    fn for_each_host(&self, visit: impl FnMut(Candidate, bool));
}

/// Questions and refunds for one keeper that are not sent yet.
#[derive(Debug, Default)]
struct Outbox {
    questions: Vec<OutgoingQuestion>,
    refunds: Vec<(OrganisationId, Refund)>,
}

/// Question that is not sent yet.
#[derive(Debug)]
struct OutgoingQuestion {
    organisation: OrganisationId,
    limit: QuotaLimit,
    ask: Ask,
}

/// Question whose answer may still arrive.
#[derive(Debug)]
struct Asked {
    organisation: OrganisationId,
    keeper: HostId,
    cost: u64,
    at_ms: u64,
}

/// Share, delegation and questions of this host, and the accounts that it keeps.
#[derive(Debug)]
pub struct QuotaDesk {
    asker: Asker,
    zone: ZoneId,
    known: RefCell<KnownHosts>,
    share: RefCell<QuotaShare>,
    credit: RefCell<CreditAhead>,
    accounts: RefCell<QuotaAccounts>,
    questions: Questions<QuotaAnswer>,
    asked: RefCell<HashMap<u64, Asked>>,
    /// Time at which the store last confirmed the entry of this host.
    store_contact_ms: Cell<u64>,
    outboxes: RefCell<BTreeMap<HostId, Outbox>>,
    pub(super) refunds: Rc<Refunds>,
}

/// Question to a keeper.
struct Question<'a> {
    keeper: &'a HostId,
    organisation: &'a OrganisationId,
    limit: QuotaLimit,
    cost: u64,
    ahead: u64,
}

impl QuotaDesk {
    /// Desk of a process that has delegated nothing yet.
    pub fn new(host: HostId, zone: ZoneId, started_ms: u64, overage: Overage) -> Self {
        Self {
            share: RefCell::new(QuotaShare::new(host.clone(), started_ms)),
            asker: Asker { host, started_ms },
            zone,
            known: RefCell::default(),
            credit: RefCell::default(),
            accounts: RefCell::new(QuotaAccounts::new(started_ms, overage)),
            questions: Questions::default(),
            asked: RefCell::default(),
            store_contact_ms: Cell::new(0),
            outboxes: RefCell::default(),
            refunds: Rc::default(),
        }
    }

    /// Charges a request to its organisation's quota; `None` if it has no quota.
    pub async fn charge(
        &self,
        fleet: &impl QuotaFleet,
        organisation: &Organisation,
        cost: u64,
    ) -> Result<Option<QuotaCharge>, QuotaRefusal> {
        let Some(quota) = organisation.quota else {
            return Ok(None);
        };
        let now_ms = fleet.now_ms();
        let id = &organisation.id;
        let unknown = QuotaRefusal {
            retry_after_ms: UNKNOWN_RETRY_MS,
            reason: "quota_unknown",
        };
        let Some(keeper) = self.keeper(fleet, id) else {
            return Err(unknown);
        };
        let mut question = Question {
            keeper: &keeper,
            organisation: id,
            limit: QuotaLimit {
                version: fleet.config_version(),
                per_s: quota.per_s,
                burst: quota.burst,
            },
            cost,
            ahead: 0,
        };
        let mark = self.credit.borrow_mut().take(now_ms, id, &keeper, cost);
        if let Some(mark) = mark {
            let mut credit = self.credit.borrow_mut();
            question.ahead = credit.replenishment(now_ms, id, &keeper, cost);
            drop(credit);
            question.cost = 0;
            self.replenish(now_ms, &question);
            return Ok(Some(self.new_charge(id, &keeper, mark, cost)));
        }
        question.ahead = self.credit.borrow().wanted(now_ms, id, &keeper, cost);
        match self.ask(now_ms, &question).await {
            Some(QuotaAnswer::Granted { mark, .. }) => {
                Ok(Some(self.new_charge(id, &keeper, mark, cost)))
            }
            Some(QuotaAnswer::OverQuota { retry_in_ms }) => Err(QuotaRefusal {
                retry_after_ms: retry_in_ms,
                reason: "over_quota",
            }),
            Some(QuotaAnswer::Unknown) | None => Err(unknown),
        }
    }

    fn new_charge(
        &self,
        organisation: &OrganisationId,
        keeper: &HostId,
        mark: u64,
        amount: u64,
    ) -> QuotaCharge {
        let credit = UnusedCredit {
            organisation: organisation.clone(),
            keeper: keeper.clone(),
            mark,
            amount,
            is_ahead: false,
        };
        QuotaCharge::new(&self.refunds, credit)
    }

    /// Keeper of an organisation's account, if this host may spend its credit.
    fn keeper(&self, fleet: &impl QuotaFleet, organisation: &OrganisationId) -> Option<HostId> {
        let now_ms = fleet.now_ms();
        let store_age_ms = now_ms.saturating_sub(self.store_contact_ms.get());
        let mut share = self.share.borrow_mut();
        let keeper = share.keeper(now_ms, group_of(organisation))?;
        let known_hosts = self.known.borrow().size().known;
        let may_spend = share.may_spend(&keeper, known_hosts, store_age_ms);
        may_spend.then_some(keeper)
    }

    /// Asks a keeper; the question is repeated once with the same number.
    async fn ask(&self, now_ms: u64, question: &Question<'_>) -> Option<QuotaAnswer> {
        if *question.keeper == self.asker.host {
            return Some(self.ask_own(now_ms, question));
        }
        let ticket = Cell::new(0);
        let asking = self.questions.ask(ANSWER_TIMEOUT, |number| {
            ticket.set(number);
            self.enqueue(now_ms, question, number);
        });
        let repeating = async {
            compio::time::sleep(REPEAT_AFTER).await;
            self.enqueue(now_ms, question, ticket.get());
            std::future::pending::<()>().await;
        };
        let (asking, repeating) = (pin!(asking.fuse()), pin!(repeating.fuse()));
        match futures_util::future::select(asking, repeating).await {
            Either::Left((answer, _)) => answer,
            Either::Right(((), _)) => None,
        }
    }

    /// Asks an account of this host.
    fn ask_own(&self, now_ms: u64, question: &Question<'_>) -> QuotaAnswer {
        let ask = Ask {
            ticket: self.questions.reserve(),
            cost: question.cost,
            ahead: question.ahead,
        };
        let mut accounts = self.accounts.borrow_mut();
        let (id, limit) = (question.organisation, question.limit);
        let answer = accounts.ask(now_ms, &self.asker, id, limit, ask);
        if let QuotaAnswer::Granted { mark, ahead } = answer {
            let grant = (question.keeper, mark, ahead);
            self.credit.borrow_mut().add(now_ms, id, grant);
        }
        answer
    }

    /// Asks for credit ahead without waiting for it.
    fn replenish(&self, now_ms: u64, question: &Question<'_>) {
        if question.ahead == 0 {
            return;
        }
        if *question.keeper == self.asker.host {
            self.ask_own(now_ms, question);
            let mut credit = self.credit.borrow_mut();
            credit.on_replenished(question.organisation);
            return;
        }
        self.enqueue(now_ms, question, self.questions.reserve());
    }

    fn enqueue(&self, now_ms: u64, question: &Question<'_>, ticket: u64) {
        let asked = Asked {
            organisation: question.organisation.clone(),
            keeper: question.keeper.clone(),
            cost: question.cost,
            at_ms: now_ms,
        };
        self.asked.borrow_mut().insert(ticket, asked);
        let mut outboxes = self.outboxes.borrow_mut();
        let outbox = outboxes.entry(question.keeper.clone()).or_default();
        outbox.questions.push(OutgoingQuestion {
            organisation: question.organisation.clone(),
            limit: question.limit,
            ask: Ask {
                ticket,
                cost: question.cost,
                ahead: question.ahead,
            },
        });
        self.refunds.wake.notify_one();
    }

    /// Takes over the hosts that are listed, and opens the accounts of organisations with
    /// quotas.
    pub(super) fn update_fleet(
        &self,
        fleet: &impl QuotaFleet,
        overage: Overage,
        organisations: Option<&Organisations>,
    ) {
        let now_ms = fleet.now_ms();
        let mut listed = vec![self.asker.host.clone()];
        let mut candidates = Vec::new();
        fleet.for_each_host(|candidate, keeps_accounts| {
            if candidate.host != self.asker.host {
                listed.push(candidate.host.clone());
            }
            if keeps_accounts {
                candidates.push(candidate);
            }
        });
        let mut known = self.known.borrow_mut();
        known.update(now_ms, listed.iter());
        let Some(organisations) = organisations else {
            return;
        };
        let preferences = choose_keepers(&self.asker.host, &self.zone, &candidates);
        self.share.borrow_mut().prefer(preferences);
        let mut accounts = self.accounts.borrow_mut();
        accounts.set_overage(overage);
        accounts.set_fleet(now_ms, known.size().clone());
        let version = fleet.config_version();
        let quotas = organisations.iter().filter_map(|organisation| {
            let quota = organisation.quota?;
            let limit = QuotaLimit {
                version,
                per_s: quota.per_s,
                burst: quota.burst,
            };
            Some((&organisation.id, limit))
        });
        accounts.sync(now_ms, quotas);
    }

    /// Renews delegations that are due, and gives back credit that is held no longer.
    pub(super) fn renew(&self, fleet: &impl QuotaFleet) {
        let now_ms = fleet.now_ms();
        let due = self.share.borrow_mut().due(now_ms);
        for keeper in due {
            self.send(fleet, &keeper);
        }
        let expired = {
            let mut share = self.share.borrow_mut();
            let keeper_of = |id: &OrganisationId| share.keeper(now_ms, group_of(id));
            self.credit.borrow_mut().expire(now_ms, keeper_of)
        };
        for (organisation, held) in expired {
            self.refunds.push(UnusedCredit {
                organisation,
                keeper: held.keeper,
                mark: held.mark,
                amount: held.units,
                is_ahead: true,
            });
        }
        let mut credit = self.credit.borrow_mut();
        self.asked.borrow_mut().retain(|_, asked| {
            let is_open = now_ms < asked.at_ms + ASKED_MS;
            if !is_open && asked.cost == 0 {
                credit.on_replenished(&asked.organisation);
            }
            is_open
        });
    }

    /// Sends what waits for keepers.
    pub(super) fn flush(&self, fleet: &impl QuotaFleet) {
        for unused in self.refunds.take() {
            if !unused.is_ahead {
                fleet.on_refund(&unused.organisation);
            }
            let refund = Refund {
                ticket: self.questions.reserve(),
                amount: unused.amount,
                mark: unused.mark,
                is_ahead: unused.is_ahead,
            };
            let mut outboxes = self.outboxes.borrow_mut();
            let outbox = outboxes.entry(unused.keeper).or_default();
            outbox.refunds.push((unused.organisation, refund));
        }
        let keepers: Vec<HostId> = self.outboxes.borrow().keys().cloned().collect();
        for keeper in keepers {
            self.send(fleet, &keeper);
        }
    }

    /// Sends a keeper the delegation, and what waits for it.
    fn send(&self, fleet: &impl QuotaFleet, keeper: &HostId) {
        let now_ms = fleet.now_ms();
        let outbox = self.outboxes.borrow_mut().remove(keeper);
        let Outbox { questions, refunds } = outbox.unwrap_or_default();
        let count = questions.len().max(refunds.len()).div_ceil(MAX_ITEMS);
        let mut questions = questions.into_iter();
        let mut refunds = refunds.into_iter();
        for _ in 0..count.max(1) {
            let delegating = self.share.borrow_mut().on_send(now_ms, keeper);
            let message = QuotaMessage {
                asker: self.asker.clone(),
                known_hosts: self.known.borrow().size().known,
                stamp: delegating.stamp,
                groups: delegating.groups,
                questions: by_organisation(questions.by_ref().take(MAX_ITEMS)),
                refunds: refunds.by_ref().take(MAX_ITEMS).collect(),
            };
            if *keeper == self.asker.host {
                let reply = self.reply_to(now_ms, &message);
                self.apply_reply(fleet, reply);
            } else {
                fleet.send_message(keeper, message);
            }
        }
    }

    /// Answers a host by the accounts that this host keeps.
    pub fn on_message(&self, fleet: &impl QuotaFleet, message: &QuotaMessage) {
        let reply = self.reply_to(fleet.now_ms(), message);
        fleet.send_reply(&message.asker.host, reply);
    }

    fn reply_to(&self, now_ms: u64, message: &QuotaMessage) -> QuotaReply {
        let mut accounts = self.accounts.borrow_mut();
        let asker = &message.asker;
        let mut answers = Vec::new();
        let is_heeded = message.stamp.is_some_and(|stamp| {
            accounts.delegate(now_ms, asker, stamp, message.groups, message.known_hosts)
        });
        if is_heeded {
            for (organisation, refund) in &message.refunds {
                accounts.refund(now_ms, asker, organisation, *refund);
            }
            for questions in &message.questions {
                let AccountQuestions {
                    organisation,
                    limit,
                    asks,
                } = questions;
                answers.extend(asks.iter().map(|ask| {
                    let answer = accounts.ask(now_ms, asker, organisation, *limit, *ask);
                    (ask.ticket, answer)
                }));
            }
        }
        QuotaReply {
            keeper: self.asker.host.clone(),
            stamp: accounts.stamp(now_ms),
            heard_hosts: accounts.heard_hosts(),
            answers,
        }
    }

    /// Takes over the answers of a keeper.
    pub fn apply_reply(&self, fleet: &impl QuotaFleet, reply: QuotaReply) {
        let now_ms = fleet.now_ms();
        let QuotaReply {
            keeper,
            stamp,
            heard_hosts,
            answers,
        } = reply;
        let is_first = {
            let mut share = self.share.borrow_mut();
            share.on_answer(now_ms, &keeper, stamp, heard_hosts)
        };
        for (ticket, answer) in answers {
            let asked = self.asked.borrow_mut().remove(&ticket);
            if let Some(asked) = asked.filter(|a| a.keeper == keeper) {
                self.apply_answer(ticket, asked, answer);
            }
        }
        if is_first {
            self.send(fleet, &keeper);
        }
    }

    fn apply_answer(&self, ticket: u64, asked: Asked, answer: QuotaAnswer) {
        if let QuotaAnswer::Granted { mark, ahead } = answer {
            let grant = (&asked.keeper, mark, ahead);
            let mut credit = self.credit.borrow_mut();
            credit.add(asked.at_ms, &asked.organisation, grant);
        }
        if asked.cost == 0 {
            let mut credit = self.credit.borrow_mut();
            credit.on_replenished(&asked.organisation);
            return;
        }
        let is_awaited = self.questions.answer(ticket, answer);
        if let (QuotaAnswer::Granted { mark, .. }, false) = (answer, is_awaited) {
            self.refunds.push(UnusedCredit {
                organisation: asked.organisation,
                keeper: asked.keeper,
                mark,
                amount: asked.cost,
                is_ahead: false,
            });
        }
    }

    /// Records that the store has confirmed the entry of this host.
    pub fn on_store_contact(&self, now_ms: u64) {
        self.store_contact_ms.set(now_ms);
    }
}

/// Groups questions by organisation.
fn by_organisation(questions: impl Iterator<Item = OutgoingQuestion>) -> Vec<AccountQuestions> {
    let mut grouped: Vec<AccountQuestions> = Vec::new();
    for question in questions {
        let OutgoingQuestion {
            organisation,
            limit,
            ask,
        } = question;
        let known = grouped
            .iter_mut()
            .find(|g| g.organisation == organisation && g.limit == limit);
        match known {
            Some(known) => known.asks.push(ask),
            None => grouped.push(AccountQuestions {
                organisation,
                limit,
                asks: vec![ask],
            }),
        }
    }
    grouped
}
