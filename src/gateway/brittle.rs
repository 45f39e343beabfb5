//! Takes a place before anything is sent to an upstream that states that it is brittle
//! (`core::brittle_notice`), and keeps this host's accounts (`core::place_account`).

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::peer_messages::{PeerMessage, PlacesMessage};
use super::place::InFlightAttempt;
use super::platform::Platform;
use super::questions::Questions;
use super::state::Gateway;
use crate::core::brittle_notice::{
    BrittleChange, BrittleStatement, BrittleUpstreams, Incarnation, StatedBrittleness,
};
use crate::core::engine_room::{RoomWaiters, Urgency};
use crate::core::ids::{HostId, UpstreamId};
use crate::core::open_places::{OpenPlaces, PlaceEnd, PlacesReport};
use crate::core::place_account::{BrittleLimits, PlaceAccounts, PlaceAnswer, RoomCut};
use crate::core::rate_account::{Keeping, keepers_of};
use crate::core::registry::Entry;
use crate::core::rendezvous;
use crate::kernel::Service;

/// Time after which a keeper counts as unable to answer; several times the round trip
/// between zones.
const ASK_TIMEOUT: Duration = Duration::from_millis(20);
/// Time without requests to an upstream whose keepers do not answer, in milliseconds.
const UNANSWERED_RETRY_MS: u64 = 100;
/// Time between two checks for reports that are due.
const TICK: Duration = Duration::from_millis(50);
/// Time after which the statement of a service is sent to all hosts again, in
/// milliseconds; a host that starts learns of it.
const PUBLISH_INTERVAL_MS: u64 = 500;
/// Shortest time between two log lines on statements without meaning, in milliseconds.
const INVALID_LOG_INTERVAL_MS: u64 = 10_000;

/// Statements, places and questions of this host, and the accounts that it keeps.
#[derive(Debug)]
pub struct BrittleDesk {
    /// What upstreams have stated.
    pub known: RefCell<BrittleUpstreams>,
    places: RefCell<OpenPlaces>,
    questions: Questions<PlaceAnswer>,
    accounts: RefCell<PlaceAccounts>,
    waiters: RefCell<RoomWaiters>,
    /// Wakes the service that sends reports.
    wake: Notify,
    invalid_logged_ms: Cell<Option<u64>>,
}

impl BrittleDesk {
    /// Desk of a process without places.
    pub fn new(host: HostId, host_started_ms: u64) -> Self {
        Self {
            known: RefCell::default(),
            places: RefCell::new(OpenPlaces::new(host, host_started_ms)),
            questions: Questions::default(),
            accounts: RefCell::default(),
            waiters: RefCell::default(),
            wake: Notify::new(),
            invalid_logged_ms: Cell::new(None),
        }
    }
}

/// Place of a request at a brittle upstream; returned when dropped.
#[derive(Debug)]
pub struct Place<P: Platform> {
    gateway: Rc<Gateway<P>>,
    upstream: UpstreamId,
    number: u64,
    end: Cell<PlaceEnd>,
    is_granted: bool,
}

impl<P: Platform> Place<P> {
    /// Records that the request is sent now.
    pub fn on_sent(&self) {
        let now_ms = self.gateway.now_ms();
        let mut places = self.gateway.brittle.places.borrow_mut();
        places.on_sent(now_ms, &self.upstream, self.number);
    }
}

impl<P: Platform> Drop for Place<P> {
    fn drop(&mut self) {
        let (gateway, now_ms) = (&self.gateway, self.gateway.now_ms());
        let mut places = gateway.brittle.places.borrow_mut();
        places.end(now_ms, &self.upstream, self.number, self.end.get());
        drop(places);
        if self.is_granted {
            gateway.report_places(&self.upstream);
        }
    }
}

/// Where an account is kept.
#[derive(Clone, Copy, Debug)]
enum Address {
    ThisHost,
    Other(SocketAddr),
}

impl<P: Platform> Gateway<P> {
    /// Start and limits of an upstream's incarnation if it is brittle.
    fn brittle_limits(&self, upstream: &UpstreamId) -> Option<(u64, BrittleLimits)> {
        let known = self.brittle.known.borrow();
        if known.is_empty() {
            return None;
        }
        let registry = self.registry.borrow();
        let entry = registry.get(upstream.as_str())?;
        let max_rejections = known.get(Incarnation {
            upstream,
            service: &entry.service,
            started_ms: entry.started_ms,
        })?;
        let slots = entry.slots;
        let limits = BrittleLimits {
            max_rejections,
            slots,
        };
        Some((entry.started_ms, limits))
    }

    /// True if an upstream states that it is brittle.
    pub(super) fn is_brittle(&self, entry: &Entry) -> bool {
        let known = self.brittle.known.borrow();
        let incarnation = Incarnation {
            upstream: &entry.id,
            service: &entry.service,
            started_ms: entry.started_ms,
        };
        known.get(incarnation).is_some()
    }

    /// True right after the service of an upstream has first stated that it is brittle.
    fn is_preparing(&self, upstream: &UpstreamId) -> bool {
        let registry = self.registry.borrow();
        let known = self.brittle.known.borrow();
        let entry = registry.get(upstream.as_str());
        entry.is_some_and(|e| known.is_preparing(self.now_ms(), &e.service))
    }

    /// True if a request may be sent to its upstream now; it then has a place there if
    /// the upstream is brittle. If it may not, this host sends nothing there for a while.
    pub async fn take_place(self: &Rc<Self>, in_flight: &mut InFlightAttempt<P>) -> bool {
        let upstream = in_flight.sent.upstream.clone();
        let Some((started_ms, limits)) = self.brittle_limits(&upstream) else {
            return true;
        };
        if self.is_preparing(&upstream) {
            return true;
        }
        let report = {
            let local = self.local_requests(&upstream);
            let mut places = self.brittle.places.borrow_mut();
            places.ask(self.now_ms(), &upstream, started_ms, local)
        };
        let mut place = Place {
            gateway: Rc::clone(self),
            upstream: upstream.clone(),
            number: report.sequence,
            end: Cell::new(PlaceEnd::Released),
            is_granted: false,
        };
        let retry_in_ms = match self.ask_for_place(&report, limits).await {
            Some(PlaceAnswer::Granted) => {
                place.is_granted = true;
                in_flight.place = Some(place);
                return true;
            }
            Some(PlaceAnswer::Denied { retry_in_ms }) => retry_in_ms,
            None => UNANSWERED_RETRY_MS,
        };
        self.metrics.places_denied.inc();
        let until_ms = self.now_ms() + retry_in_ms;
        self.loads.borrow_mut().pace(&upstream, until_ms);
        let gateway = Rc::clone(self);
        compio::runtime::spawn(async move {
            compio::time::sleep(Duration::from_millis(retry_in_ms)).await;
            gateway.admission_queue.borrow().wake();
        })
        .detach();
        false
    }

    fn local_requests(&self, upstream: &UpstreamId) -> u32 {
        let loads = self.loads.borrow();
        loads.get(upstream.as_str()).map_or(0, |l| l.local.requests)
    }

    fn place_keepers(&self, upstream: &UpstreamId) -> Vec<(Keeping, Address)> {
        let own = self.settings().host.clone();
        let peers = self.peers.borrow();
        let keepers = keepers_of(upstream, peers.listed().map(|(host, _)| host));
        let address = |host: &HostId| {
            if *host == own {
                return Some(Address::ThisHost);
            }
            peers.get_listed(host).map(|p| Address::Other(p.addr))
        };
        let known = keepers.into_iter();
        known
            .filter_map(|(k, host)| Some((k, address(host)?)))
            .collect()
    }

    async fn ask_for_place(
        &self,
        report: &PlacesReport,
        limits: BrittleLimits,
    ) -> Option<PlaceAnswer> {
        for (keeping, address) in self.place_keepers(&report.upstream) {
            let addr = match address {
                Address::ThisHost => return Some(self.take_from_account(report, limits, keeping)),
                Address::Other(addr) => addr,
            };
            let send = |ticket| {
                let message = PlacesMessage {
                    report: report.clone(),
                    limits,
                    keeping,
                    ticket: Some(ticket),
                };
                self.send_peer(addr, &PeerMessage::Places(message));
            };
            let answer = self.brittle.questions.ask(ASK_TIMEOUT, send).await;
            if answer.is_some() {
                return answer;
            }
            self.metrics.unanswered_asks.inc();
        }
        None
    }

    /// Answers a report that asks for a place by an account that this host keeps.
    fn take_from_account(
        &self,
        report: &PlacesReport,
        limits: BrittleLimits,
        keeping: Keeping,
    ) -> PlaceAnswer {
        let now_ms = self.now_ms();
        let mut accounts = self.brittle.accounts.borrow_mut();
        let (answer, cut) = accounts.try_take(now_ms, report, limits, keeping);
        drop(accounts);
        self.on_room_cut(&report.upstream, cut);
        if answer != PlaceAnswer::Granted {
            let mut waiters = self.brittle.waiters.borrow_mut();
            waiters.add(now_ms, &report.upstream, &report.host, Urgency::default());
        }
        answer
    }

    fn on_room_cut(&self, upstream: &UpstreamId, cut: Option<RoomCut>) {
        let Some(RoomCut { from, to }) = cut else {
            return;
        };
        tracing::info!(event = "upstream", upstream = %upstream, change = "places_withdrawn", from, to);
        self.metrics.places_withdrawn.inc();
    }

    /// Tells the keepers of an upstream's account what this host has in flight there.
    fn report_places(&self, upstream: &UpstreamId) {
        let Some((started_ms, limits)) = self.brittle_limits(upstream) else {
            return;
        };
        let report = {
            let local = self.local_requests(upstream);
            let mut places = self.brittle.places.borrow_mut();
            places.report(self.now_ms(), upstream, started_ms, local)
        };
        for (keeping, address) in self.place_keepers(upstream) {
            let report = report.clone();
            let message = PlacesMessage {
                report,
                limits,
                keeping,
                ticket: None,
            };
            match address {
                Address::ThisHost => self.apply_places(&message),
                Address::Other(addr) => self.send_peer(addr, &PeerMessage::Places(message)),
            }
        }
    }

    /// Applies a report to an account that this host keeps, and answers its question.
    pub fn apply_places(&self, message: &PlacesMessage) {
        let PlacesMessage {
            report,
            limits,
            keeping,
            ticket,
        } = message;
        if let Some(ticket) = *ticket {
            let answer = self.take_from_account(report, *limits, *keeping);
            let retry_in_ms = match answer {
                PlaceAnswer::Granted => None,
                PlaceAnswer::Denied { retry_in_ms } => Some(retry_in_ms),
            };
            let answer = PeerMessage::Place {
                ticket,
                retry_in_ms,
            };
            self.send_to_host(&report.host, &answer);
            return;
        }
        let now_ms = self.now_ms();
        let mut accounts = self.brittle.accounts.borrow_mut();
        let cut = accounts.on_report(now_ms, report, *limits, *keeping);
        let has_place = accounts.has_place(now_ms, &report.upstream);
        drop(accounts);
        self.on_room_cut(&report.upstream, cut);
        if has_place {
            self.notify_place_waiter(&report.upstream);
        }
    }

    pub(super) fn send_to_host(&self, host: &HostId, message: &PeerMessage) {
        let addr = {
            let peers = self.peers.borrow();
            peers.get_recipient(self.now_ms(), host).map(|p| p.addr)
        };
        if let Some(addr) = addr {
            self.send_peer(addr, message);
        }
    }

    /// Tells the host that has waited longest for an upstream that a place is free.
    fn notify_place_waiter(&self, upstream: &UpstreamId) {
        let now_ms = self.now_ms();
        let host = self.brittle.waiters.borrow_mut().next(now_ms, upstream);
        let Some(host) = host else {
            return;
        };
        if host == self.settings().host {
            self.on_place_free(upstream);
        } else {
            let upstream = upstream.clone();
            self.send_to_host(&host, &PeerMessage::PlaceFree { upstream });
        }
    }

    /// Lets requests that wait for a place ask again.
    pub fn on_place_free(&self, upstream: &UpstreamId) {
        let now_ms = self.now_ms();
        self.loads.borrow_mut().pace(upstream, now_ms);
        self.admission_queue.borrow().wake();
    }

    /// Passes a keeper's answer to the task that asked.
    pub fn apply_place(&self, ticket: u64, retry_in_ms: Option<u64>) {
        let answer = match retry_in_ms {
            None => PlaceAnswer::Granted,
            Some(retry_in_ms) => PlaceAnswer::Denied { retry_in_ms },
        };
        self.brittle.questions.answer(ticket, answer);
    }

    /// Counts a request that an upstream turned away for want of room.
    pub fn on_rejected_for_room(&self, in_flight: &InFlightAttempt<P>) {
        let upstream = &in_flight.sent.upstream;
        let Some((started_ms, _)) = self.brittle_limits(upstream) else {
            return;
        };
        self.metrics.brittle_rejections.inc();
        if let Some(place) = &in_flight.place {
            place.end.set(PlaceEnd::Rejected);
            return;
        }
        let now_ms = self.now_ms();
        let mut places = self.brittle.places.borrow_mut();
        places.on_rejected(now_ms, upstream, started_ms);
        drop(places);
        self.report_places(upstream);
    }

    /// Applies what an upstream states in a response on being brittle.
    pub fn apply_brittleness(
        &self,
        upstream: &UpstreamId,
        sent_ms: u64,
        stated: StatedBrittleness,
    ) {
        let is_known = !self.brittle.known.borrow().is_empty();
        if stated == StatedBrittleness::Sound && !is_known {
            return;
        }
        if stated == StatedBrittleness::Invalid {
            self.on_invalid_brittleness(upstream);
            return;
        }
        let (now_ms, registry) = (self.now_ms(), self.registry.borrow());
        let Some(entry) = registry.get(upstream.as_str()) else {
            return;
        };
        let incarnation = Incarnation {
            upstream,
            service: &entry.service,
            started_ms: entry.started_ms,
        };
        let change = {
            let mut known = self.brittle.known.borrow_mut();
            known.on_response(now_ms, incarnation, sent_ms, stated)
        };
        drop(registry);
        if let Some(change) = change {
            self.on_brittle_change(upstream, change, "response");
            self.publish_statements(|s| s.upstream == *upstream);
        }
    }

    fn on_invalid_brittleness(&self, upstream: &UpstreamId) {
        self.metrics.invalid_brittleness.inc();
        let now_ms = self.now_ms();
        let logged_ms = self.brittle.invalid_logged_ms.get();
        if logged_ms.is_none_or(|at| now_ms >= at + INVALID_LOG_INTERVAL_MS) {
            self.brittle.invalid_logged_ms.set(Some(now_ms));
            tracing::warn!(
                event = "upstream",
                upstream = %upstream,
                "cannot read how many rejections the upstream survives"
            );
        }
    }

    fn on_brittle_change(
        &self,
        upstream: &UpstreamId,
        change: BrittleChange,
        source: &'static str,
    ) {
        match change {
            BrittleChange::Brittle(max_rejections) => {
                tracing::info!(event = "upstream", upstream = %upstream, change = "brittle", max_rejections, source);
            }
            BrittleChange::Sound => {
                tracing::info!(event = "upstream", upstream = %upstream, change = "not_brittle", source);
                let now_ms = self.now_ms();
                self.loads.borrow_mut().pace(upstream, now_ms);
            }
        }
        self.count_brittle_upstreams();
        self.report_places(upstream);
        self.brittle.wake.notify_one();
    }

    fn count_brittle_upstreams(&self) {
        let brittle = self.brittle.known.borrow().len();
        self.metrics
            .upstreams_brittle
            .set(brittle.cast_signed() as i64);
    }

    /// Sends the latest statements of services that satisfy a condition to all hosts.
    fn publish_statements(&self, is_included: impl Fn(&BrittleStatement) -> bool) {
        let statements = self.brittle.known.borrow().statements(self.now_ms());
        for statement in statements.into_iter().filter(is_included) {
            self.publish(&PeerMessage::Brittle(statement));
        }
    }

    /// Applies a statement that another host has passed on. In a large fleet the acting
    /// host passes news on.
    pub fn apply_relayed_statement(&self, statement: &BrittleStatement) {
        let change = {
            let mut known = self.brittle.known.borrow_mut();
            known.learn(self.now_ms(), statement)
        };
        let Some(change) = change else {
            return;
        };
        self.on_brittle_change(&statement.upstream, change, "peer");
        if self.is_large_fleet() && self.is_acting_host() {
            self.publish_statements(|s| s.upstream == statement.upstream);
        }
    }

    /// True if this host repeats the statement of a service to all others.
    fn repeats_statement(&self, statement: &BrittleStatement) -> bool {
        let peers = self.peers.borrow();
        let hosts = peers.listed().map(|(host, _)| host);
        rendezvous::pick(statement.service.as_str(), hosts) == Some(&self.settings().host)
    }
}

/// Service that keeps the accounts of brittle upstreams up to date.
#[derive(Debug)]
pub struct BrittleService<P: Platform> {
    gateway: Rc<Gateway<P>>,
    published_ms: Cell<u64>,
}

impl<P: Platform> BrittleService<P> {
    /// Service over the shared state.
    pub fn new(gateway: Rc<Gateway<P>>) -> Self {
        Self {
            gateway,
            published_ms: Cell::new(0),
        }
    }

    fn take_round(&self) {
        let (gateway, now_ms) = (&self.gateway, self.gateway.now_ms());
        let due = gateway.brittle.places.borrow_mut().due(now_ms);
        for upstream in due {
            gateway.report_places(&upstream);
        }
        if now_ms < self.published_ms.get() + PUBLISH_INTERVAL_MS {
            return;
        }
        self.published_ms.set(now_ms);
        gateway.brittle.accounts.borrow_mut().drop_unused(now_ms);
        gateway.count_brittle_upstreams();
        gateway.report_all_places();
        gateway.repeat_statements();
    }
}

impl<P: Platform> Gateway<P> {
    /// Reports what is in flight with and without a place.
    fn report_all_places(&self) {
        let upstreams: Vec<UpstreamId> = {
            let loads = self.loads.borrow();
            loads.local().map(|(id, _)| id.clone()).collect()
        };
        for upstream in upstreams {
            self.report_places(&upstream);
        }
    }

    /// Sends the statements for which this host is responsible to all others.
    fn repeat_statements(&self) {
        let statements = self.brittle.known.borrow().statements(self.now_ms());
        let repeated = statements.into_iter().filter(|s| self.repeats_statement(s));
        for statement in repeated {
            let addrs = self.other_hosts(|_| true);
            self.send_peers(addrs, &PeerMessage::Brittle(statement));
        }
    }
}

impl<P: Platform> Service for BrittleService<P> {
    const NAME: &'static str = "gateway-brittle";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        loop {
            let desk = &self.gateway.brittle;
            let is_idle = desk.known.borrow().is_empty();
            let pause = async {
                if is_idle {
                    desk.wake.notified().await;
                } else {
                    compio::time::sleep(TICK).await;
                }
            };
            futures_util::select_biased! {
                () = cancel.cancelled().fuse() => return,
                () = pause.fuse() => {}
            }
            self.take_round();
        }
    }
}
