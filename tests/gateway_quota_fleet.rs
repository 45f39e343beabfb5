//! A large fleet keeps the quotas of many organisations: use over the quota, refusals below
//! it, messages and bytes.

use std::collections::{BTreeMap, VecDeque};

use currantcove::core::ids::{HostId, OrganisationId, ZoneId};
use currantcove::core::quota_account::{
    Ask, Asker, FleetSize, Overage, QuotaAccounts, QuotaAnswer, QuotaLimit, group_of,
};
use currantcove::core::quota_credit::CreditAhead;
use currantcove::core::quota_share::{Candidate, QuotaShare, choose_keepers};
use currantcove::core::routing::Rng;
use currantcove::gateway::quotas::messages::{AccountQuestions, QuotaMessage, QuotaReply};

const ORGANISATIONS: usize = 1_000;
const STEP_MS: u64 = 5;
const WARM_UP_MS: u64 = 5_000;
const END_MS: u64 = 25_000;
const WINDOW_MS: u64 = 8_000;
/// Time at which the keeper of most accounts ends.
const KILL_MS: u64 = 15_000;
const COST: u64 = 1_500;
const OVERAGE: f64 = 0.1;
const SLACK: f64 = 11_000.0;
/// Demand of each organisation as a share of its rate, if callers compete.
const HIGH_DEMAND: f64 = 1.2;
/// The same below the quota.
const LOW_DEMAND: f64 = 0.8;

struct Host {
    asker: Asker,
    share: QuotaShare,
    accounts: QuotaAccounts,
    credit: CreditAhead,
    is_alive: bool,
    ticket: u64,
    outbox: BTreeMap<HostId, Vec<(usize, Ask)>>,
    asked: BTreeMap<u64, (usize, u64, u64)>,
}

enum Packet {
    Asks(usize, QuotaMessage),
    Reply(usize, QuotaReply),
}

struct Fleet {
    now_ms: u64,
    hosts: Vec<Host>,
    limits: Vec<(OrganisationId, QuotaLimit)>,
    packets: VecDeque<(u64, Packet)>,
    used: Vec<Vec<(u64, u64)>>,
    /// Demand of each organisation as a share of its rate.
    demand: f64,
    requests: u64,
    refused: u64,
    unknown: u64,
    messages: u64,
    bytes: u64,
    index: BTreeMap<HostId, usize>,
}

fn limit(number: usize) -> (OrganisationId, QuotaLimit) {
    // One in a hundred organisations is large.
    let per_s = if number.is_multiple_of(100) {
        300_000.0
    } else {
        3_000.0
    };
    let limit = QuotaLimit {
        version: 1,
        per_s,
        burst: per_s * 2.0,
    };
    (OrganisationId::new(&format!("o{number}")), limit)
}

impl Fleet {
    fn new(count: usize) -> Self {
        let name = |i: usize| HostId::new(&format!("h{i}"));
        let zone = |i: usize| ZoneId::new(["a", "b", "c"][i % 3]);
        let candidates: Vec<Candidate> = (0..count)
            .map(|i| Candidate {
                host: name(i),
                zone: Some(zone(i)),
                cpu_milli: if i.is_multiple_of(5) { 500 } else { 120 },
            })
            .collect();
        let overage = Overage {
            window_s: 8.0,
            share: OVERAGE,
        };
        let limits: Vec<_> = (0..ORGANISATIONS).map(limit).collect();
        let hosts = (0..count).map(|i| {
            let mut share = QuotaShare::new(name(i), 1);
            share.prefer(choose_keepers(&name(i), &zone(i), &candidates));
            let mut accounts = QuotaAccounts::new(1, overage);
            let known = count as u32;
            accounts.set_fleet(
                1,
                FleetSize {
                    known,
                    ..FleetSize::default()
                },
            );
            Host {
                asker: Asker {
                    host: name(i),
                    started_ms: 1,
                },
                share,
                accounts,
                credit: CreditAhead::default(),
                is_alive: true,
                ticket: 0,
                outbox: BTreeMap::new(),
                asked: BTreeMap::new(),
            }
        });
        Self {
            now_ms: 2_000,
            hosts: hosts.collect(),
            used: vec![Vec::new(); limits.len()],
            limits,
            packets: VecDeque::new(),
            demand: HIGH_DEMAND,
            requests: 0,
            refused: 0,
            unknown: 0,
            messages: 0,
            bytes: 0,
            index: (0..count).map(|i| (name(i), i)).collect(),
        }
    }

    fn request(&mut self, at: usize, number: usize) {
        let now_ms = self.now_ms;
        let host = &mut self.hosts[at];
        if !host.is_alive {
            return;
        }
        self.requests += 1;
        let id = &self.limits[number].0;
        let Some(keeper) = host.share.keeper(now_ms, group_of(id)) else {
            self.unknown += 1;
            return;
        };
        let mut cost = COST;
        let ahead = if host.credit.take(now_ms, id, &keeper, COST).is_some() {
            self.used[number].push((now_ms, COST));
            cost = 0;
            let ahead = host.credit.replenishment(now_ms, id, &keeper, COST);
            if ahead == 0 {
                return;
            }
            ahead
        } else {
            host.credit.wanted(now_ms, id, &keeper, COST)
        };
        host.ticket += 1;
        let ask = Ask {
            ticket: host.ticket,
            cost,
            ahead,
        };
        host.asked.insert(host.ticket, (number, now_ms, cost));
        host.outbox.entry(keeper).or_default().push((number, ask));
    }

    fn send(&mut self, from: usize, keeper: &HostId) {
        let now_ms = self.now_ms;
        let host = &mut self.hosts[from];
        let delegating = host.share.on_send(now_ms, keeper);
        let asks = host.outbox.remove(keeper).unwrap_or_default();
        let questions = asks.into_iter().map(|(number, ask)| AccountQuestions {
            organisation: self.limits[number].0.clone(),
            limit: self.limits[number].1,
            asks: vec![ask],
        });
        let message = QuotaMessage {
            asker: host.asker.clone(),
            known_hosts: self.hosts.len() as u32,
            stamp: delegating.stamp,
            groups: delegating.groups,
            questions: questions.collect(),
            refunds: Vec::new(),
        };
        let to = self.index[keeper];
        self.post(&message, from == to);
        self.packets
            .push_back((now_ms + STEP_MS, Packet::Asks(to, message)));
    }

    fn post(&mut self, message: &impl serde::Serialize, is_local: bool) {
        if is_local {
            return;
        }
        let mut bytes = Vec::new();
        ciborium::into_writer(message, &mut bytes).expect("encoded");
        self.messages += 1;
        self.bytes += bytes.len() as u64;
    }

    fn receive(&mut self, packet: Packet) {
        let now_ms = self.now_ms;
        match packet {
            Packet::Asks(to, message) => {
                let host = &mut self.hosts[to];
                if !host.is_alive {
                    return;
                }
                let accounts = &mut host.accounts;
                let asker = &message.asker;
                let is_heeded = message.stamp.is_some_and(|s| {
                    accounts.delegate(now_ms, asker, s, message.groups, message.known_hosts)
                });
                let mut answers = Vec::new();
                for q in message.questions.iter().filter(|_| is_heeded) {
                    for ask in &q.asks {
                        let answer = accounts.ask(now_ms, asker, &q.organisation, q.limit, *ask);
                        answers.push((ask.ticket, answer));
                    }
                }
                let reply = QuotaReply {
                    keeper: host.asker.host.clone(),
                    stamp: accounts.stamp(now_ms),
                    heard_hosts: accounts.heard_hosts(),
                    answers,
                };
                let asker = self.index[&message.asker.host];
                self.post(&reply, asker == to);
                self.packets
                    .push_back((now_ms + STEP_MS, Packet::Reply(asker, reply)));
            }
            Packet::Reply(to, reply) => self.apply(to, &reply),
        }
    }

    fn apply(&mut self, to: usize, reply: &QuotaReply) {
        let now_ms = self.now_ms;
        let host = &mut self.hosts[to];
        let is_first = host
            .share
            .on_answer(now_ms, &reply.keeper, reply.stamp, reply.heard_hosts);
        for (ticket, answer) in &reply.answers {
            let Some((number, asked_ms, cost)) = host.asked.remove(ticket) else {
                continue;
            };
            let id = &self.limits[number].0;
            if cost == 0 {
                host.credit.on_replenished(id);
            }
            match answer {
                QuotaAnswer::Granted { mark, ahead } => {
                    host.credit
                        .add(asked_ms, id, (&reply.keeper, *mark, *ahead));
                    if cost > 0 {
                        self.used[number].push((now_ms, cost));
                    }
                }
                QuotaAnswer::OverQuota { .. } if cost == 0 => {}
                QuotaAnswer::OverQuota { .. } => self.refused += 1,
                QuotaAnswer::Unknown => self.unknown += 1,
            }
        }
        if is_first {
            self.send(to, &reply.keeper);
        }
    }

    fn step(&mut self) {
        self.now_ms += STEP_MS;
        while self
            .packets
            .front()
            .is_some_and(|(at, _)| *at <= self.now_ms)
        {
            if let Some((_, packet)) = self.packets.pop_front() {
                self.receive(packet);
            }
        }
        let is_tick = self.now_ms.is_multiple_of(50);
        if self.now_ms.is_multiple_of(1_000) {
            for host in &mut self.hosts {
                let limits = self.limits.iter().map(|(id, limit)| (id, *limit));
                host.accounts.sync(self.now_ms, limits);
            }
        }
        for from in 0..self.hosts.len() {
            let host = &mut self.hosts[from];
            if !host.is_alive {
                continue;
            }
            let mut keepers: Vec<HostId> = host.outbox.keys().cloned().collect();
            if is_tick {
                keepers.extend(host.share.due(self.now_ms));
                keepers.dedup();
            }
            for keeper in keepers {
                self.send(from, &keeper);
            }
        }
    }

    /// Largest use in any window over what the rule allows, in units; negative below it.
    fn overrun(&self) -> f64 {
        let mut worst = f64::MIN;
        for (used, (_, limit)) in self.used.iter().zip(&self.limits) {
            let quota = limit.per_s * WINDOW_MS as f64 / 1000.0 + limit.burst;
            let allowed = quota * (1.0 + OVERAGE) + SLACK;
            let (mut first, mut sum) = (0, 0);
            for (at_ms, units) in used {
                sum += units;
                while used[first].0 + WINDOW_MS <= *at_ms {
                    sum -= used[first].1;
                    first += 1;
                }
                worst = worst.max(sum as f64 - allowed);
            }
        }
        worst
    }

    fn play(&mut self, kill: bool) {
        let mut rng = Rng::new(7);
        let mut due = vec![0.0; self.limits.len()];
        while self.now_ms < END_MS {
            self.step();
            if kill && self.now_ms == KILL_MS {
                let keeper = self.hosts[1].share.keepers().flatten().next().cloned();
                let keeper = keeper.map_or(0, |k| self.index[&k]);
                self.hosts[keeper].is_alive = false;
            }
            if self.now_ms < WARM_UP_MS {
                continue;
            }
            for (number, due) in due.iter_mut().enumerate() {
                *due += self.limits[number].1.per_s * self.demand * STEP_MS as f64 / 1000.0;
                while *due >= COST as f64 {
                    *due -= COST as f64;
                    let at = rng.below(self.hosts.len());
                    self.request(at, number);
                }
            }
        }
    }

    /// Use of all organisations as a share of what the quota allows in the time.
    fn served_share(&self) -> f64 {
        let seconds = (END_MS - WARM_UP_MS) as f64 / 1000.0;
        let used: u64 = self.used.iter().flatten().map(|(_, units)| units).sum();
        let limits = self.limits.iter().map(|(_, limit)| limit.per_s);
        used as f64 / (limits.sum::<f64>() * seconds)
    }

    fn print(&self, name: &str) {
        let seconds = (END_MS - 2_000) as f64 / 1000.0;
        println!(
            "{name}: hosts {}, requests {}, overrun {:.0}, served/quota {:.3}, refused {}, unknown {}, \
             messages/s {:.0}, bytes/s {:.0}",
            self.hosts.len(),
            self.requests,
            self.overrun(),
            self.served_share(),
            self.refused,
            self.unknown,
            self.messages as f64 / seconds,
            self.bytes as f64 / seconds,
        );
    }
}

/// Guards against use over the rule in a large fleet, against credit that waits unused at
/// hosts, and against a question for each request of a large organisation.
#[test]
fn large_fleet_keeps_the_quotas_of_many_organisations() {
    for hosts in [66, 195, 390] {
        let mut fleet = Fleet::new(hosts);

        fleet.play(false);

        fleet.print("calm");
        assert!(fleet.overrun() <= 0.0);
        assert!(fleet.served_share() > 0.9);
    }
}

#[test]
fn large_fleet_keeps_the_quotas_when_a_keeper_ends() {
    let mut fleet = Fleet::new(195);

    fleet.play(true);

    fleet.print("keeper ends");
    assert!(fleet.overrun() <= 0.0);
}

/// Guards against a question for each request of a large organisation whose callers use a
/// few hosts, and against refusals while the quota is not used up.
#[test]
fn credit_ahead_spares_questions_below_the_quota() {
    let mut fleet = Fleet::new(7);
    fleet.limits.retain(|(_, limit)| limit.per_s > 100_000.0);
    fleet.demand = LOW_DEMAND;

    fleet.play(false);

    fleet.print("below the quota");
    assert!(fleet.overrun() <= 0.0);
    assert!(fleet.messages < fleet.requests / 2);
    assert_eq!(fleet.refused, 0);
}
