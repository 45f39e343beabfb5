//! Simulated fleet in front of brittle upstreams, with messages that are late or lost.

use std::collections::{BTreeMap, VecDeque};

use currantcove::core::engine_room::{RoomWaiters, Urgency};
use currantcove::core::ids::{HostId, UpstreamId};
use currantcove::core::open_places::{OpenPlaces, PlaceEnd, PlacesReport};
use currantcove::core::place_account::{BrittleLimits, PlaceAccounts, PlaceAnswer};
use currantcove::core::rate_account::{Keeping, keepers_of};
use currantcove::core::routing::Rng;

const SLOTS: u32 = 8;
/// Requests that wait at an upstream until it lets fewer wait.
const WAITING_BEFORE: usize = 24;
const WAITING_BRITTLE: usize = 1;
/// Time at which upstreams let fewer wait.
pub const SHRINKS_MS: u64 = 3_000;
const MEAN_SERVICE_MS: u64 = 100;
const OBJECTIVE_MS: u64 = 500;
const DOWN_MS: u64 = 1_000;
const ASK_TIMEOUT_MS: u64 = 20;
const UNANSWERED_RETRY_MS: u64 = 100;
const WINDOW_MS: u64 = 1_000;

/// Who keeps the account of an upstream.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Allowance {
    /// One host for all.
    Shared,
    /// Each host for itself.
    Own,
}

/// Arrangement of a run.
#[derive(Clone, Copy, Debug)]
pub struct Arrangement {
    pub allowance: Allowance,
    pub hosts: usize,
    pub upstreams: usize,
    /// Rejections within a second that an upstream survives.
    pub max_rejections: u32,
    /// Requests offered, as a share of what the upstreams can serve.
    pub load_percent: u64,
    pub lost_percent: usize,
    pub late_percent: usize,
    pub duration_ms: u64,
    /// Time at which a host starts anew, and another one is cut off from all others for a
    /// second and a half.
    pub fault_ms: Option<u64>,
    pub seed: u64,
}

/// Figures of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Figures {
    pub falls: usize,
    pub rejections: usize,
    /// Most rejections of one upstream within a second.
    pub max_rejections_in_window: usize,
    /// Requests since upstreams let fewer wait, and those served in time.
    pub arrived: u32,
    pub in_time: u32,
}

impl Figures {
    pub fn share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.arrived.max(1))
    }
}

#[derive(Clone, Copy, Debug)]
struct Sent {
    host: usize,
    upstream: usize,
    number: u64,
    arrived_ms: u64,
    /// Start of the host that has sent it.
    generation: u64,
}

enum Event {
    Report {
        to: usize,
        report: PlacesReport,
        keeping: Keeping,
        ask: Option<u64>,
    },
    Answer {
        host: usize,
        ask: u64,
        answer: PlaceAnswer,
    },
    AskTimeout {
        ask: u64,
        keeping: Keeping,
    },
    PlaceFree {
        host: usize,
        upstream: usize,
    },
    Arrive(Sent),
    Finish(Sent, u64),
    Reply {
        sent: Sent,
        end: PlaceEnd,
        is_served: bool,
    },
    Return(usize),
}

struct Host {
    id: HostId,
    accounts: PlaceAccounts,
    waiters: RoomWaiters,
    places: OpenPlaces,
    in_flight: Vec<u32>,
    paced_until_ms: Vec<u64>,
    /// Arrival times of requests that wait.
    queue: VecDeque<u64>,
    is_cut_off: bool,
    generation: u64,
}

struct Upstream {
    id: UpstreamId,
    started_ms: u64,
    is_up: bool,
    running: u32,
    waiting: VecDeque<Sent>,
    rejected_ms: Vec<u64>,
}

struct Ask {
    sent: Sent,
    report: PlacesReport,
}

pub struct Fleet {
    arrangement: Arrangement,
    now_ms: u64,
    rng: Rng,
    hosts: Vec<Host>,
    upstreams: Vec<Upstream>,
    /// Keepers of the upstreams' accounts, and their stand-ins.
    keepers: Vec<Vec<(Keeping, usize)>>,
    events: BTreeMap<u64, Vec<Event>>,
    asks: BTreeMap<u64, Ask>,
    last_ask: u64,
    arrivals_due: f64,
    figures: Figures,
}

impl Fleet {
    pub fn new(arrangement: Arrangement) -> Self {
        let host = |number: usize| new_host(number, 1, arrangement.upstreams);
        let upstream = |number: usize| Upstream {
            id: UpstreamId::new(&format!("u{number}")),
            started_ms: 1,
            is_up: true,
            running: 0,
            waiting: VecDeque::new(),
            rejected_ms: Vec::new(),
        };
        let hosts: Vec<Host> = (0..arrangement.hosts).map(host).collect();
        let upstreams: Vec<Upstream> = (0..arrangement.upstreams).map(upstream).collect();
        let keepers = upstreams.iter().map(|u| keepers(&hosts, &u.id)).collect();
        Self {
            arrangement,
            now_ms: 1,
            rng: Rng::new(arrangement.seed),
            hosts,
            upstreams,
            keepers,
            events: BTreeMap::new(),
            asks: BTreeMap::new(),
            last_ask: 0,
            arrivals_due: 0.0,
            figures: Figures::default(),
        }
    }

    pub fn run(mut self) -> Figures {
        while self.now_ms < self.arrangement.duration_ms {
            self.now_ms += 1;
            self.inject_faults();
            while let Some(events) = self.events.remove(&self.now_ms) {
                for event in events {
                    self.handle(event);
                }
            }
            self.arrive();
            for host in 0..self.hosts.len() {
                self.dispatch(host);
                self.report_due(host);
            }
        }
        self.figures
    }

    fn inject_faults(&mut self) {
        let Some(fault_ms) = self.arrangement.fault_ms else {
            return;
        };
        let (restarts, cut_off) = (0, self.hosts.len() - 1);
        if self.now_ms == fault_ms {
            self.hosts[restarts] = new_host(restarts, self.now_ms, self.upstreams.len());
            self.hosts[cut_off].is_cut_off = true;
        }
        if self.now_ms == fault_ms + 1_500 {
            self.hosts[cut_off].is_cut_off = false;
        }
    }

    fn schedule(&mut self, delay_ms: u64, event: Event) {
        let at_ms = self.now_ms + delay_ms.max(1);
        self.events.entry(at_ms).or_default().push(event);
    }

    /// Sends a message between two hosts, which may be late or lost.
    fn send(&mut self, from: usize, to: usize, event: Event) {
        if from == to {
            self.handle(event);
            return;
        }
        let is_cut = self.hosts[from].is_cut_off || self.hosts[to].is_cut_off;
        if is_cut || self.rng.below(100) < self.arrangement.lost_percent {
            return;
        }
        let is_late = self.rng.below(100) < self.arrangement.late_percent;
        let delay_ms = if is_late {
            5 + self.rng.below(75)
        } else {
            1 + self.rng.below(3)
        };
        self.schedule(delay_ms as u64, event);
    }

    fn arrive(&mut self) {
        let capacity_per_ms =
            self.upstreams.len() as f64 * f64::from(SLOTS) / MEAN_SERVICE_MS as f64;
        let load = self.arrangement.load_percent as f64 / 100.0;
        let share = self.rng.below(2_001) as f64 / 1_000.0;
        self.arrivals_due += capacity_per_ms * load * share;
        while self.arrivals_due >= 1.0 {
            self.arrivals_due -= 1.0;
            let host = self.rng.below(self.hosts.len());
            self.hosts[host].queue.push_back(self.now_ms);
            if self.now_ms >= SHRINKS_MS {
                self.figures.arrived += 1;
            }
        }
    }

    /// Sends the waiting requests of a host for which an upstream may have a place.
    fn dispatch(&mut self, host: usize) {
        while let Some(arrived_ms) = self.hosts[host].queue.pop_front() {
            if self.now_ms > arrived_ms + OBJECTIVE_MS {
                continue;
            }
            let Some(upstream) = self.choose(host) else {
                self.hosts[host].queue.push_front(arrived_ms);
                return;
            };
            self.hosts[host].in_flight[upstream] += 1;
            let in_flight = self.hosts[host].in_flight[upstream];
            let (id, started_ms) = {
                let u = &self.upstreams[upstream];
                (u.id.clone(), u.started_ms)
            };
            let now_ms = self.now_ms;
            let report = self.hosts[host]
                .places
                .ask(now_ms, &id, started_ms, in_flight);
            let sent = Sent {
                host,
                upstream,
                number: report.sequence,
                arrived_ms,
                generation: self.hosts[host].generation,
            };
            self.last_ask += 1;
            let ask = Ask { sent, report };
            self.asks.insert(self.last_ask, ask);
            self.ask(self.last_ask, Keeping::Keeper);
        }
    }

    fn choose(&mut self, host: usize) -> Option<usize> {
        let now_ms = self.now_ms;
        let start = self.rng.below(self.upstreams.len());
        let count = self.upstreams.len();
        let order = (0..count).map(|i| (start + i) % count);
        let host = &self.hosts[host];
        order
            .filter(|u| self.upstreams[*u].is_up && now_ms >= host.paced_until_ms[*u])
            .min_by_key(|u| host.in_flight[*u])
    }

    fn keeper(&self, host: usize, upstream: usize, keeping: Keeping) -> Option<usize> {
        if self.arrangement.allowance == Allowance::Own {
            return (keeping == Keeping::Keeper).then_some(host);
        }
        let mut keepers = self.keepers[upstream].iter();
        keepers.find(|(k, _)| *k == keeping).map(|(_, host)| *host)
    }

    fn ask(&mut self, number: u64, keeping: Keeping) {
        let Some(ask) = self.asks.get(&number) else {
            return;
        };
        let (sent, report) = (ask.sent, ask.report.clone());
        let Some(to) = self.keeper(sent.host, sent.upstream, keeping) else {
            self.deny(number, UNANSWERED_RETRY_MS);
            return;
        };
        let timeout = Event::AskTimeout {
            ask: number,
            keeping,
        };
        self.schedule(ASK_TIMEOUT_MS, timeout);
        let event = Event::Report {
            to,
            report,
            keeping,
            ask: Some(number),
        };
        self.send(sent.host, to, event);
    }

    fn deny(&mut self, number: u64, retry_in_ms: u64) {
        let Some(ask) = self.asks.remove(&number) else {
            return;
        };
        let (now_ms, sent) = (self.now_ms, ask.sent);
        let host = &mut self.hosts[sent.host];
        if host.generation != sent.generation {
            return;
        }
        let id = &self.upstreams[sent.upstream].id;
        host.places.end(now_ms, id, sent.number, PlaceEnd::Released);
        host.in_flight[sent.upstream] -= 1;
        host.paced_until_ms[sent.upstream] = now_ms + retry_in_ms;
        host.queue.push_front(sent.arrived_ms);
    }

    fn report_due(&mut self, host: usize) {
        if !self.now_ms.is_multiple_of(50) {
            return;
        }
        for id in self.hosts[host].places.due(self.now_ms) {
            let upstream = self.upstreams.iter().position(|u| u.id == id);
            self.report(host, upstream.expect("listed"));
        }
    }

    fn report(&mut self, host: usize, upstream: usize) {
        let in_flight = self.hosts[host].in_flight[upstream];
        let (id, started_ms) = {
            let u = &self.upstreams[upstream];
            (u.id.clone(), u.started_ms)
        };
        let now_ms = self.now_ms;
        let places = &mut self.hosts[host].places;
        let report = places.report(now_ms, &id, started_ms, in_flight);
        for keeping in [Keeping::Keeper, Keeping::StandIn] {
            if let Some(to) = self.keeper(host, upstream, keeping) {
                let event = Event::Report {
                    to,
                    report: report.clone(),
                    keeping,
                    ask: None,
                };
                self.send(host, to, event);
            }
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Report {
                to,
                report,
                keeping,
                ask,
            } => self.on_report(to, &report, keeping, ask),
            Event::Answer { host, ask, answer } => self.on_answer(host, ask, answer),
            Event::AskTimeout { ask, keeping } => match keeping {
                Keeping::Keeper if self.asks.contains_key(&ask) => self.ask(ask, Keeping::StandIn),
                _ => self.deny(ask, UNANSWERED_RETRY_MS),
            },
            Event::PlaceFree { host, upstream } => self.hosts[host].paced_until_ms[upstream] = 0,
            Event::Arrive(sent) => self.on_request(sent),
            Event::Finish(sent, started_ms) => self.on_finish(sent, started_ms),
            Event::Reply {
                sent,
                end,
                is_served,
            } => self.on_reply(sent, end, is_served),
            Event::Return(upstream) => {
                self.upstreams[upstream].is_up = true;
                self.upstreams[upstream].started_ms = self.now_ms;
            }
        }
    }

    fn on_report(&mut self, to: usize, report: &PlacesReport, keeping: Keeping, ask: Option<u64>) {
        let limits = BrittleLimits {
            max_rejections: self.arrangement.max_rejections,
            slots: SLOTS,
        };
        let now_ms = self.now_ms;
        let accounts = &mut self.hosts[to].accounts;
        let Some(ask) = ask else {
            accounts.on_report(now_ms, report, limits, keeping);
            if accounts.has_place(now_ms, &report.upstream) {
                self.notify_waiter(to, &report.upstream);
            }
            return;
        };
        let (answer, _) = accounts.try_take(now_ms, report, limits, keeping);
        if answer != PlaceAnswer::Granted {
            let waiters = &mut self.hosts[to].waiters;
            waiters.add(now_ms, &report.upstream, &report.host, Urgency::default());
        }
        let host = self.hosts.iter().position(|h| h.id == report.host);
        let host = host.expect("listed");
        self.send(to, host, Event::Answer { host, ask, answer });
    }

    fn notify_waiter(&mut self, keeper: usize, id: &UpstreamId) {
        let next = self.hosts[keeper].waiters.next(self.now_ms, id);
        let host = self.hosts.iter().position(|h| Some(&h.id) == next.as_ref());
        let upstream = self.upstreams.iter().position(|u| u.id == *id);
        if let (Some(host), Some(upstream)) = (host, upstream) {
            self.send(keeper, host, Event::PlaceFree { host, upstream });
        }
    }

    fn on_answer(&mut self, host: usize, number: u64, answer: PlaceAnswer) {
        if let PlaceAnswer::Denied { retry_in_ms } = answer {
            self.deny(number, retry_in_ms);
            return;
        }
        let Some(ask) = self.asks.remove(&number) else {
            return;
        };
        let (now_ms, sent) = (self.now_ms, ask.sent);
        if self.hosts[host].generation != sent.generation {
            return;
        }
        let id = &self.upstreams[sent.upstream].id;
        self.hosts[host].places.on_sent(now_ms, id, sent.number);
        let delay_ms = 1 + self.rng.below(3) as u64;
        self.schedule(delay_ms, Event::Arrive(sent));
    }

    fn on_request(&mut self, sent: Sent) {
        let now_ms = self.now_ms;
        let max_waiting = if now_ms < SHRINKS_MS {
            WAITING_BEFORE
        } else {
            WAITING_BRITTLE
        };
        let upstream = &mut self.upstreams[sent.upstream];
        if !upstream.is_up {
            self.reply(sent, PlaceEnd::Released, false);
        } else if upstream.running < SLOTS {
            upstream.running += 1;
            self.start(sent);
        } else if upstream.waiting.len() < max_waiting {
            upstream.waiting.push_back(sent);
        } else {
            self.reject(sent);
        }
    }

    fn start(&mut self, sent: Sent) {
        let started_ms = self.upstreams[sent.upstream].started_ms;
        let half = MEAN_SERVICE_MS / 2;
        let took_ms = half + self.rng.below(MEAN_SERVICE_MS as usize + 1) as u64;
        self.schedule(took_ms, Event::Finish(sent, started_ms));
    }

    fn reject(&mut self, sent: Sent) {
        let now_ms = self.now_ms;
        let upstream = &mut self.upstreams[sent.upstream];
        upstream.rejected_ms.push(now_ms);
        upstream.rejected_ms.retain(|at| now_ms < at + WINDOW_MS);
        let in_window = upstream.rejected_ms.len();
        let has_fallen = in_window > self.arrangement.max_rejections as usize;
        if has_fallen {
            upstream.is_up = false;
            upstream.running = 0;
            upstream.rejected_ms.clear();
            let waiting = std::mem::take(&mut upstream.waiting);
            for waiting in waiting {
                self.reply(waiting, PlaceEnd::Released, false);
            }
            self.figures.falls += 1;
            self.schedule(DOWN_MS, Event::Return(sent.upstream));
        }
        self.figures.rejections += 1;
        let most = self.figures.max_rejections_in_window.max(in_window);
        self.figures.max_rejections_in_window = most;
        self.reply(sent, PlaceEnd::Rejected, false);
    }

    fn on_finish(&mut self, sent: Sent, started_ms: u64) {
        let upstream = &mut self.upstreams[sent.upstream];
        if !upstream.is_up || upstream.started_ms != started_ms {
            // It fell meanwhile; the host notices by the reset.
            self.reply(sent, PlaceEnd::Released, false);
            return;
        }
        upstream.running -= 1;
        if let Some(next) = upstream.waiting.pop_front() {
            upstream.running += 1;
            self.start(next);
        }
        self.reply(sent, PlaceEnd::Released, true);
    }

    fn reply(&mut self, sent: Sent, end: PlaceEnd, is_served: bool) {
        let delay_ms = 1 + self.rng.below(3) as u64;
        let event = Event::Reply {
            sent,
            end,
            is_served,
        };
        self.schedule(delay_ms, event);
    }

    fn on_reply(&mut self, sent: Sent, end: PlaceEnd, is_served: bool) {
        let (now_ms, id) = (self.now_ms, &self.upstreams[sent.upstream].id);
        let host = &mut self.hosts[sent.host];
        // A host that has started anew has none of its requests.
        if host.generation != sent.generation {
            return;
        }
        host.in_flight[sent.upstream] -= 1;
        host.places.end(now_ms, id, sent.number, end);
        if is_served {
            let is_in_time = now_ms <= sent.arrived_ms + OBJECTIVE_MS;
            if is_in_time && sent.arrived_ms >= SHRINKS_MS {
                self.figures.in_time += 1;
            }
        } else {
            host.queue.push_front(sent.arrived_ms);
        }
        self.report(sent.host, sent.upstream);
    }
}

fn keepers(hosts: &[Host], upstream: &UpstreamId) -> Vec<(Keeping, usize)> {
    let keepers = keepers_of(upstream, hosts.iter().map(|h| &h.id));
    let number = |id: &HostId| hosts.iter().position(|h| h.id == *id);
    let numbered = keepers.into_iter().map(|(k, id)| (k, number(id)));
    numbered.filter_map(|(k, host)| Some((k, host?))).collect()
}

fn new_host(number: usize, started_ms: u64, upstreams: usize) -> Host {
    let id = HostId::new(&format!("h{number}"));
    Host {
        places: OpenPlaces::new(id.clone(), started_ms),
        id,
        accounts: PlaceAccounts::default(),
        waiters: RoomWaiters::default(),
        in_flight: vec![0; upstreams],
        paced_until_ms: vec![0; upstreams],
        queue: VecDeque::new(),
        is_cut_off: false,
        generation: started_ms,
    }
}
