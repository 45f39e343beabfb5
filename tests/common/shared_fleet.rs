//! Fleet of hosts in front of a few plain upstreams, without a network.

use std::collections::{BTreeMap, HashMap, VecDeque};

use currantcove::core::balance::{NoUpstream, Requirements, UpstreamFilter, select_upstream};
use currantcove::core::ids::{HostId, ServiceId, UpstreamId, ZoneId};
use currantcove::core::load::{
    AttemptOutcome, InFlight, Load, LoadTable, PlaceView, RequestSize, SentRequest,
};
use currantcove::core::peer_loads::PeerLoads;
use currantcove::core::registry::Registry;
use currantcove::core::routing::Rng;
use currantcove::core::shared_account::{KeeperCandidate, SharedAccounts, shared_keeper_of};
use currantcove::core::shared_places::{SharedPlaces, SharedUpstream, urgency};
use currantcove::core::waiting::{OrderInput, PRIORITY_PENALTY_MS, QueuedRequest, WaitQueue};
use currantcove::gateway::peer_messages::{PeerMessage, SharedPlaceMessage, SharedPlacesMessage};

use super::common::entry;

const UPSTREAMS: usize = 3;
const SLOTS: u32 = 6;
/// Requests that an upstream queues beyond its slots.
const UPSTREAM_QUEUE: usize = 24;
const ASK_TIMEOUT_MS: u64 = 20;
const RESEND_DELAY_MS: u64 = 25;
const MAX_RESENDS: u32 = 3;
const ZONES: usize = 3;
const SERVICE: &str = "unlock";

/// What is played.
#[derive(Clone, Copy, Debug)]
pub struct Arrangement {
    pub hosts: usize,
    /// Hosts of a release without shared places, the last ones of the list.
    pub older: usize,
    pub is_shared: bool,
    pub work_ms: u64,
    pub objective_ms: u64,
    /// Offered load in percent of what the upstreams can serve.
    pub load_percent: u64,
    pub lost_percent: usize,
    /// Time at which the keeper of the first upstream freezes for two seconds.
    pub frozen_ms: Option<u64>,
    pub duration_ms: u64,
    pub seed: u64,
}

/// Result of a play.
#[derive(Clone, Debug, Default)]
pub struct Figures {
    pub arrived: u32,
    pub served: u32,
    /// Served within the objective; of requests with a long and a short objective.
    pub in_time: [u32; 2],
    pub arrived_of: [u32; 2],
    pub refused: u32,
    /// Arrivals at upstreams that these rejected.
    pub rejected: u32,
    /// Share of the slots that are idle while requests wait at hosts.
    pub idle_share: f64,
    /// Mean number of requests that wait at one upstream.
    pub mean_queue: f64,
    pub max_queue: usize,
    pub messages: u64,
    pub bytes: u64,
    latencies_ms: Vec<u64>,
}

impl Figures {
    pub fn share(&self) -> f64 {
        f64::from(self.in_time[0] + self.in_time[1]) / f64::from(self.arrived)
    }

    pub fn share_of(&self, urgent: usize) -> f64 {
        f64::from(self.in_time[urgent]) / f64::from(self.arrived_of[urgent].max(1))
    }

    pub fn latency_ms(&self, percent: usize) -> u64 {
        let mut sorted = self.latencies_ms.clone();
        sorted.sort_unstable();
        let index = sorted.len() * percent / 100;
        sorted.get(index).copied().unwrap_or(0)
    }
}

#[derive(Clone, Debug)]
struct Request {
    host: usize,
    arrived_ms: u64,
    due_ms: u64,
    is_urgent: bool,
    work_ms: u64,
    resends: u32,
}

struct Host {
    id: HostId,
    loads: LoadTable,
    queue: WaitQueue,
    places: SharedPlaces,
    accounts: SharedAccounts,
    is_awake: bool,
}

#[derive(Default)]
struct Upstream {
    running: u32,
    waiting: VecDeque<(u64, SentRequest)>,
}

enum Event {
    Arrive(u64),
    Reach(u64, SentRequest),
    Finish(u64, SentRequest),
    Respond(u64, SentRequest, bool),
    Deliver(usize, PeerMessage),
    Unanswered(u64),
    Wake(usize),
}

pub struct Fleet {
    arrangement: Arrangement,
    registry: Registry,
    ids: Vec<UpstreamId>,
    hosts: Vec<Host>,
    upstreams: Vec<Upstream>,
    requests: HashMap<u64, Request>,
    /// Questions without an answer, by request.
    asking: HashMap<u64, (SentRequest, u64)>,
    events: BTreeMap<(u64, u64), Event>,
    last_event: u64,
    peer_loads: PeerLoads,
    /// Loads of older hosts, as keepers know them.
    older_loads: PeerLoads,
    rng: Rng,
    now_ms: u64,
    figures: Figures,
}

fn requirements() -> Requirements {
    Requirements {
        service: ServiceId::new(SERVICE),
        weights: None,
        size: RequestSize::default(),
        cache_tokens: u64::MAX,
        max_prefill_ms: f64::MAX,
    }
}

impl Fleet {
    pub fn new(arrangement: Arrangement) -> Self {
        let ids: Vec<UpstreamId> = (0..UPSTREAMS)
            .map(|u| UpstreamId::new(&format!("lma-unlock-{u}")))
            .collect();
        let mut registry = Registry::default();
        let entries = ids.iter().map(|id| entry(id.as_str(), SERVICE, SLOTS));
        registry.replace(entries.collect(), None, 0);
        let host = |i: usize| {
            let id = HostId::new(&format!("lma-fleet-{i}"));
            Host {
                places: SharedPlaces::new(id.clone(), 1),
                id,
                loads: LoadTable::default(),
                queue: WaitQueue::default(),
                accounts: SharedAccounts::default(),
                is_awake: false,
            }
        };
        Self {
            arrangement,
            registry,
            ids,
            hosts: (0..arrangement.hosts).map(host).collect(),
            upstreams: (0..UPSTREAMS).map(|_| Upstream::default()).collect(),
            requests: HashMap::new(),
            asking: HashMap::new(),
            events: BTreeMap::new(),
            last_event: 0,
            peer_loads: PeerLoads::default(),
            older_loads: PeerLoads::default(),
            rng: Rng::new(arrangement.seed),
            now_ms: 0,
            figures: Figures::default(),
        }
    }

    fn is_shared(&self, host: usize) -> bool {
        self.arrangement.is_shared && host < self.arrangement.hosts - self.arrangement.older
    }

    fn after(&mut self, delay_ms: u64, event: Event) {
        self.last_event += 1;
        let at = (self.now_ms + delay_ms, self.last_event);
        self.events.insert(at, event);
    }

    /// One way between hosts, or between a host and an upstream, in two of three cases of
    /// another zone.
    fn way_ms(&mut self) -> u64 {
        1 + u64::from(self.rng.below(ZONES) > 0)
    }

    fn send(&mut self, to: usize, message: PeerMessage) {
        let mut bytes = Vec::new();
        ciborium::into_writer(&message, &mut bytes).expect("encoded");
        self.figures.messages += 1;
        self.figures.bytes += bytes.len() as u64;
        if self.rng.below(100) >= self.arrangement.lost_percent {
            let way_ms = self.way_ms();
            self.after(way_ms, Event::Deliver(to, message));
        }
    }

    fn upstream_index(&self, id: &UpstreamId) -> usize {
        self.ids.iter().position(|i| i == id).expect("listed")
    }

    fn keeper(&self, upstream: &UpstreamId) -> usize {
        let takes_part = self.arrangement.hosts - self.arrangement.older;
        let candidates: Vec<KeeperCandidate<'_>> = self.hosts[..takes_part]
            .iter()
            .enumerate()
            .map(|(i, h)| KeeperCandidate {
                host: &h.id,
                cpu_milli: if i % 4 == 0 { 500 } else { 120 },
                is_near: i % ZONES == self.upstream_index(upstream),
            })
            .collect();
        let keeper = shared_keeper_of(upstream, &candidates).expect("a keeper");
        self.hosts
            .iter()
            .position(|h| h.id == *keeper)
            .expect("host")
    }

    fn with_upstream<T>(
        &mut self,
        host: usize,
        id: &UpstreamId,
        act: impl FnOnce(&mut SharedPlaces, SharedUpstream<'_>) -> T,
    ) -> T {
        let Host { loads, places, .. } = &mut self.hosts[host];
        let load = loads.get(id.as_str());
        let upstream = SharedUpstream {
            id,
            started_ms: 1,
            slots: SLOTS,
            response_ms: load.map_or(0.0, Load::completion_ms),
        };
        act(places, upstream)
    }

    fn sync(&mut self, host: usize) {
        if !self.is_shared(host) {
            return;
        }
        let (now_ms, Host { loads, places, .. }) = (self.now_ms, &mut self.hosts[host]);
        for id in &self.ids {
            let limit = places.limit(now_ms, id);
            loads.set_places(id, Some(PlaceView { limit, ahead: 0 }));
        }
    }

    fn urgencies(&self, host: usize) -> Vec<i64> {
        let service = ServiceId::new(SERVICE);
        let queued = self.hosts[host].queue.of_service(&service);
        let urgency = |r: &QueuedRequest| {
            let penalty_ms = u64::from(r.priority) * PRIORITY_PENALTY_MS;
            urgency(self.now_ms, false, r.due_ms, penalty_ms, r.arrived_ms)
        };
        queued.map(urgency).collect()
    }

    fn report(&mut self, host: usize, id: &UpstreamId, asks: Option<u64>) {
        let keeper = self.keeper(id);
        let mut waiting = self.urgencies(host);
        if let Some(request) = asks.and_then(|ticket| self.requests.get(&ticket)) {
            let due_ms = request.due_ms;
            waiting.push(urgency(self.now_ms, false, due_ms, 0, request.arrived_ms));
        }
        let (now_ms, keeper_id) = (self.now_ms, self.hosts[keeper].id.clone());
        let report = self.with_upstream(host, id, |places, upstream| {
            places.report(now_ms, upstream, &keeper_id, &waiting)
        });
        let message = SharedPlacesMessage {
            report,
            ticket: asks,
        };
        if keeper == host {
            self.on_report(host, message);
        } else {
            self.send(keeper, PeerMessage::SharedPlaces(message));
        }
    }

    fn report_waiting(&mut self, host: usize) {
        let waiting = self.urgencies(host);
        for id in self.ids.clone() {
            let places = &self.hosts[host].places;
            if places.is_report_needed(self.now_ms, &id, &waiting) {
                self.report(host, &id, None);
            }
        }
    }

    fn on_report(&mut self, keeper: usize, message: SharedPlacesMessage) {
        let SharedPlacesMessage { report, mut ticket } = message;
        let older = self.arrangement.hosts - self.arrangement.older..self.arrangement.hosts;
        let loads = older.map(|i| {
            let host = &self.hosts[i].id;
            let loads = &self.older_loads;
            loads
                .recent_from_host(self.now_ms, host, &report.upstream)
                .requests
        });
        let unreported = loads.sum();
        let accounts = &mut self.hosts[keeper].accounts;
        let outcome = accounts.on_report(self.now_ms, &report, unreported);
        for grant in outcome.grants {
            let answers = ticket.take_if(|_| grant.host == report.host);
            self.send_news(
                keeper,
                &report.upstream,
                &grant.host,
                answers,
                Some(grant.number),
            );
        }
        if ticket.is_some() {
            self.send_news(keeper, &report.upstream, &report.host, ticket, None);
        }
    }

    fn send_news(
        &mut self,
        keeper: usize,
        upstream: &UpstreamId,
        to: &HostId,
        ticket: Option<u64>,
        grant: Option<u64>,
    ) {
        let news = self.hosts[keeper].accounts.news(self.now_ms, upstream, to);
        let message = SharedPlaceMessage {
            keeper: self.hosts[keeper].id.clone(),
            upstream: upstream.clone(),
            ticket,
            grant,
            others: news.others,
            ahead: news.ahead,
        };
        let to = self.hosts.iter().position(|h| h.id == *to).expect("host");
        if to == keeper {
            self.on_news(to, &message);
        } else {
            self.send(to, PeerMessage::SharedPlace(message));
        }
    }

    fn on_news(&mut self, host: usize, message: &SharedPlaceMessage) {
        let (now_ms, id) = (self.now_ms, &message.upstream);
        let Host { places, loads, .. } = &mut self.hosts[host];
        let is_granted = message
            .grant
            .is_some_and(|number| places.on_grant(now_ms, id, &message.keeper, number));
        let others = InFlight {
            requests: message.others,
            ..InFlight::default()
        };
        loads.set_remote(now_ms, id, others);
        let asked = message
            .ticket
            .and_then(|t| Some((t, self.asking.remove(&t)?)));
        if let Some((ticket, (sent, asked_ms))) = asked {
            let places = &mut self.hosts[host].places;
            places.on_answer(now_ms, id, now_ms - asked_ms, is_granted);
            self.go_on(ticket, sent, is_granted);
        } else if is_granted && self.urgencies(host).is_empty() {
            self.hosts[host].places.return_spare(id);
            self.report(host, id, None);
        }
        self.wake(host);
    }

    fn wake(&mut self, host: usize) {
        self.sync(host);
        self.hosts[host].is_awake = true;
    }

    fn go_on(&mut self, ticket: u64, sent: SentRequest, may_send: bool) {
        let host = self.requests[&ticket].host;
        let id = sent.upstream.clone();
        if may_send && self.with_upstream(host, &id, SharedPlaces::take_spare) {
            return self.transmit(ticket, sent);
        }
        self.after(100, Event::Wake(host));
        self.give_up(ticket, &sent);
    }

    fn give_up(&mut self, ticket: u64, sent: &SentRequest) {
        let host = self.requests[&ticket].host;
        let loads = &mut self.hosts[host].loads;
        loads.on_end(self.now_ms, sent, AttemptOutcome::Neutral);
        self.place(ticket);
    }

    fn transmit(&mut self, ticket: u64, sent: SentRequest) {
        let host = self.requests[&ticket].host;
        self.sync(host);
        self.report_waiting(host);
        let way_ms = self.way_ms();
        self.after(way_ms, Event::Reach(ticket, sent));
    }

    fn select(&mut self, host: usize) -> Option<SentRequest> {
        let loads = &mut self.hosts[host].loads;
        let selected = select_upstream(
            self.now_ms,
            &self.registry,
            loads,
            &ZoneId::new("a"),
            &requirements(),
            &UpstreamFilter::default(),
            &mut self.rng,
        );
        let id = selected.ok()?;
        Some(loads.on_sent(self.now_ms, &id, RequestSize::default()))
    }

    /// Sends a request, or queues it at its host.
    fn place(&mut self, ticket: u64) {
        let request = self.requests[&ticket].clone();
        let (host, now_ms) = (request.host, self.now_ms);
        self.sync(host);
        let queue = &self.hosts[host].queue;
        let needs = requirements();
        let newcomer = OrderInput {
            requirements: &needs,
            priority: 0,
            arrived_ms: now_ms,
            first_arrived_ms: now_ms,
            due_ms: request.due_ms,
            is_starved: false,
        };
        let is_first = queue.count_ahead(now_ms, newcomer) == 0;
        if is_first && let Some(sent) = self.select(host) {
            return self.take_place(ticket, sent);
        }
        if now_ms >= request.due_ms {
            self.figures.refused += 1;
            return;
        }
        self.hosts[host].queue.push(QueuedRequest {
            ticket,
            requirements: requirements(),
            filter: UpstreamFilter::default(),
            priority: 0,
            arrived_ms: request.arrived_ms,
            first_arrived_ms: request.arrived_ms,
            organisation: None,
            due_ms: request.due_ms,
            expires_ms: request.due_ms,
            is_starved: false,
            reason: NoUpstream::Full,
        });
        if self.is_shared(host) {
            self.report_waiting(host);
        }
    }

    fn take_place(&mut self, ticket: u64, sent: SentRequest) {
        let (host, id) = (self.requests[&ticket].host, sent.upstream.clone());
        if !self.is_shared(host) {
            let way_ms = self.way_ms();
            return self.after(way_ms, Event::Reach(ticket, sent));
        }
        if self.with_upstream(host, &id, SharedPlaces::take_spare) {
            self.transmit(ticket, sent);
        } else if self.hosts[host].places.is_silent(self.now_ms, &id) {
            self.within_share(ticket, sent);
        } else {
            self.asking.insert(ticket, (sent, self.now_ms));
            self.after(ASK_TIMEOUT_MS, Event::Unanswered(ticket));
            self.report(host, &id, Some(ticket));
        }
    }

    fn within_share(&mut self, ticket: u64, sent: SentRequest) {
        let (host, id) = (self.requests[&ticket].host, sent.upstream.clone());
        let (now_ms, hosts) = (self.now_ms, self.arrangement.hosts);
        let wait_ms = self.with_upstream(host, &id, |places, upstream| {
            places.on_unanswered(now_ms, upstream, hosts)
        });
        match wait_ms {
            None => self.transmit(ticket, sent),
            Some(wait_ms) => {
                self.after(wait_ms, Event::Wake(host));
                self.give_up(ticket, &sent);
            }
        }
    }

    fn dispatch(&mut self, host: usize) {
        self.hosts[host].is_awake = false;
        self.sync(host);
        let mut queue = std::mem::take(&mut self.hosts[host].queue);
        let full = NoUpstream::Full;
        let round = queue.dispatch(self.now_ms, |_| self.select(host).ok_or(full));
        self.hosts[host].queue = queue;
        self.figures.refused += round.removed.len() as u32;
        for (ticket, sent) in round.dispatched {
            self.take_place(ticket, sent);
        }
        if self.is_shared(host) {
            self.report_waiting(host);
        }
    }

    fn reach(&mut self, ticket: u64, sent: SentRequest) {
        let upstream = self.upstream_index(&sent.upstream);
        let queue = &mut self.upstreams[upstream];
        if queue.running < SLOTS {
            queue.running += 1;
            let work_ms = self.requests[&ticket].work_ms;
            self.after(work_ms, Event::Finish(ticket, sent));
        } else if queue.waiting.len() < UPSTREAM_QUEUE {
            queue.waiting.push_back((ticket, sent));
        } else {
            self.figures.rejected += 1;
            let way_ms = self.way_ms();
            self.after(way_ms, Event::Respond(ticket, sent, false));
        }
    }

    fn finish(&mut self, ticket: u64, sent: SentRequest) {
        let upstream = self.upstream_index(&sent.upstream);
        self.upstreams[upstream].running -= 1;
        let way_ms = self.way_ms();
        self.after(way_ms, Event::Respond(ticket, sent, true));
        if let Some((next, sent)) = self.upstreams[upstream].waiting.pop_front() {
            self.reach(next, sent);
        }
    }

    fn respond(&mut self, ticket: u64, mut sent: SentRequest, is_served: bool) {
        let (now_ms, request) = (self.now_ms, self.requests[&ticket].clone());
        let host = request.host;
        let loads = &mut self.hosts[host].loads;
        if is_served {
            loads.on_first_response(now_ms, &mut sent);
            loads.on_end(now_ms, &sent, AttemptOutcome::Succeeded);
        } else {
            loads.on_end(now_ms, &sent, AttemptOutcome::Neutral);
        }
        if self.is_shared(host) {
            self.with_upstream(host, &sent.upstream, |places, upstream| {
                places.release(upstream.id, 1);
                if !is_served {
                    places.on_rejected(upstream);
                }
            });
            self.report(host, &sent.upstream, None);
        }
        self.wake(host);
        let latency_ms = now_ms - request.arrived_ms;
        if is_served {
            self.figures.served += 1;
            self.figures.latencies_ms.push(latency_ms);
            let objective_ms = self.objective_ms(request.is_urgent);
            self.figures.in_time[usize::from(request.is_urgent)] +=
                u32::from(latency_ms <= objective_ms);
        } else if request.resends < MAX_RESENDS && now_ms < request.due_ms {
            self.requests.get_mut(&ticket).expect("open").resends += 1;
            self.after(RESEND_DELAY_MS, Event::Arrive(ticket));
        } else {
            self.figures.refused += 1;
        }
    }

    fn objective_ms(&self, is_urgent: bool) -> u64 {
        self.arrangement.objective_ms * if is_urgent { 1 } else { 5 }
    }

    /// Lets requests arrive, twice as many in one second of five as in the others.
    fn arrive(&mut self) {
        let capacity_per_s = u64::from(SLOTS) * UPSTREAMS as u64 * 1_000 / self.arrangement.work_ms;
        let factor = if self.now_ms / 1_000 % 5 == 4 { 10 } else { 5 };
        let per_s = capacity_per_s * self.arrangement.load_percent * factor / 600;
        // Twice a millisecond, since there may be more than one.
        for _ in 0..2 {
            if self.rng.below(2_000) as u64 >= per_s {
                continue;
            }
            let is_urgent = self.rng.below(2) == 0;
            let work_ms = self.arrangement.work_ms;
            let slack_ms = self.objective_ms(is_urgent).saturating_sub(work_ms + 10);
            let ticket = u64::from(self.figures.arrived) + 1;
            let request = Request {
                host: self.rng.below(self.arrangement.hosts),
                arrived_ms: self.now_ms,
                due_ms: self.now_ms + slack_ms,
                is_urgent,
                work_ms: work_ms / 2 + self.rng.below(work_ms as usize + 1) as u64,
                resends: 0,
            };
            self.figures.arrived += 1;
            self.figures.arrived_of[usize::from(is_urgent)] += 1;
            self.requests.insert(ticket, request);
            self.place(ticket);
        }
    }

    /// Passes loads on as hosts of a large fleet do.
    fn exchange_loads(&mut self) {
        let hosts = self.arrangement.hosts;
        for i in 0..hosts {
            let untold = self.hosts[i].loads.take_untold();
            if !self.is_shared(i) && !untold.is_empty() {
                let host = &self.hosts[i].id;
                self.older_loads.apply_report(self.now_ms, host, 1, &untold);
            }
        }
        let interval_ms = 200.max(2 * hosts as u64);
        if !self.now_ms.is_multiple_of(interval_ms.next_multiple_of(20)) {
            return;
        }
        for host in &mut self.hosts {
            let changed = host.loads.take_changed();
            self.peer_loads
                .apply_report(self.now_ms, &host.id, 1, &changed);
        }
        let totals = self.peer_loads.digest(self.now_ms, self.ids.iter());
        for host in &mut self.hosts {
            for (id, total) in &totals {
                let own = self.peer_loads.from_host(&host.id, id);
                host.loads.set_remote(self.now_ms, id, total.minus(own));
            }
            host.is_awake = true;
        }
    }

    fn is_frozen(&self, host: usize) -> bool {
        let frozen = self.arrangement.frozen_ms;
        let is_now = frozen.is_some_and(|at| (at..at + 2_000).contains(&self.now_ms));
        is_now && host == self.keeper(&self.ids[0])
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(ticket) => self.place(ticket),
            Event::Reach(ticket, sent) => self.reach(ticket, sent),
            Event::Finish(ticket, sent) => self.finish(ticket, sent),
            Event::Respond(ticket, sent, is_served) => self.respond(ticket, sent, is_served),
            Event::Deliver(host, _) if self.is_frozen(host) => {}
            Event::Deliver(host, PeerMessage::SharedPlaces(message)) => {
                self.on_report(host, message);
            }
            Event::Deliver(host, PeerMessage::SharedPlace(message)) => self.on_news(host, &message),
            Event::Deliver(..) => {}
            Event::Unanswered(ticket) => {
                if let Some((sent, _)) = self.asking.remove(&ticket) {
                    self.within_share(ticket, sent);
                }
            }
            Event::Wake(host) => self.wake(host),
        }
    }

    fn take_round(&mut self, host: usize) {
        let now_ms = self.now_ms;
        for id in self.hosts[host].places.unused(now_ms) {
            self.hosts[host].places.return_spare(&id);
            self.report(host, &id, None);
        }
        let keepers: HashMap<UpstreamId, HostId> = self
            .ids
            .iter()
            .map(|id| (id.clone(), self.hosts[self.keeper(id)].id.clone()))
            .collect();
        let due = self.hosts[host]
            .places
            .due(now_ms, |id| keepers.get(id).cloned());
        for (id, is_repeated) in due {
            self.report(host, &id, None);
            if is_repeated {
                self.hosts[host].places.on_repeated(&id);
            }
        }
        for (id, grant) in self.hosts[host].accounts.grant_free(now_ms) {
            self.send_news(host, &id, &grant.host, None, Some(grant.number));
        }
    }

    fn observe(&mut self) {
        let waiting: usize = self.hosts.iter().map(|h| h.queue.len()).sum();
        for upstream in &self.upstreams {
            let queue = upstream.waiting.len();
            self.figures.mean_queue += queue as f64 / UPSTREAMS as f64;
            self.figures.max_queue = self.figures.max_queue.max(queue);
            if waiting > 0 {
                self.figures.idle_share += f64::from(SLOTS - upstream.running);
            }
        }
    }

    pub fn run(mut self) -> Figures {
        let duration_ms = self.arrangement.duration_ms;
        for now_ms in 1..=duration_ms {
            self.now_ms = now_ms;
            while let Some(event) = self.events.first_entry().filter(|e| e.key().0 <= now_ms) {
                let event = event.remove();
                self.handle(event);
            }
            self.arrive();
            if now_ms.is_multiple_of(20) {
                self.exchange_loads();
            }
            for host in 0..self.arrangement.hosts {
                let is_expired = self.hosts[host].queue.next_expiry_ms() <= Some(now_ms)
                    && !self.hosts[host].queue.is_empty();
                if self.hosts[host].is_awake || is_expired {
                    self.dispatch(host);
                }
                if now_ms % 25 == host as u64 % 25 && self.is_shared(host) && !self.is_frozen(host)
                {
                    self.take_round(host);
                }
            }
            self.observe();
        }
        let slot_ms = duration_ms as f64 * f64::from(SLOTS) * UPSTREAMS as f64;
        self.figures.idle_share /= slot_ms;
        self.figures.mean_queue /= duration_ms as f64;
        self.figures
    }
}
