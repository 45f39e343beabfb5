//! Takes a place before anything is sent to a plain upstream with fewer slots than the
//! fleet has hosts (`core::shared_places`), and keeps this host's accounts
//! (`core::shared_account`). Used only with the setting `shared_places`.

mod keeper;
pub mod metrics;

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::call::RoutedRequest;
use super::peer_messages::{PeerMessage, SharedPlaceMessage, SharedPlacesMessage};
use super::place::InFlightAttempt;
use super::platform::Platform;
use super::questions::Questions;
use super::state::Gateway;
use crate::core::balance::Requirements;
use crate::core::ids::{HostId, ServiceId, UpstreamId};
use crate::core::load::{InFlight, Load, PlaceView};
use crate::core::shared_account::SharedAccounts;
use crate::core::shared_places::{DENIED_MS, SharedPlaces, SharedUpstream, urgency};
use crate::core::waiting::PRIORITY_PENALTY_MS;
use crate::kernel::Service;

/// Time after which a keeper counts as unable to answer; several times the round trip
/// between zones.
const ASK_TIMEOUT: Duration = Duration::from_millis(20);
/// Time between two checks for reports that are due and for places that became free.
const TICK: Duration = Duration::from_millis(25);
/// Limit of log lines a second.
const MAX_LOG_LINES_PER_S: u32 = 10;

/// Places and questions of this host, and the accounts that it keeps.
#[derive(Debug)]
pub struct SharedPlaceDesk {
    places: RefCell<SharedPlaces>,
    questions: Questions<bool>,
    accounts: RefCell<SharedAccounts>,
    /// Wakes the service that sends reports.
    wake: Notify,
    /// Second in which lines were logged last, and their number.
    logged: Cell<(u64, u32)>,
}

impl SharedPlaceDesk {
    /// Desk of a process without places.
    pub fn new(host: HostId, host_started_ms: u64) -> Self {
        Self {
            places: RefCell::new(SharedPlaces::new(host, host_started_ms)),
            questions: Questions::default(),
            accounts: RefCell::default(),
            wake: Notify::new(),
            logged: Cell::default(),
        }
    }

    /// Forgets an upstream that is gone.
    pub fn remove(&self, upstream: &UpstreamId) {
        self.places.borrow_mut().remove(upstream);
    }

    /// Requests with a place, and places without a request, at an upstream.
    pub fn held(&self, upstream: &UpstreamId) -> (u32, u32) {
        self.places.borrow().held(upstream)
    }

    /// Places in use and all places by an account that this host keeps.
    pub fn kept(&self, now_ms: u64, upstream: &UpstreamId) -> Option<(u32, u32)> {
        self.accounts.borrow().places(now_ms, upstream)
    }

    fn may_log(&self, now_ms: u64) -> bool {
        let (second, count) = self.logged.get();
        let count = if second == now_ms / 1_000 { count } else { 0 };
        self.logged.set((now_ms / 1_000, count + 1));
        count < MAX_LOG_LINES_PER_S
    }
}

/// Place of a request at a shared upstream; returned when dropped.
#[derive(Debug)]
pub struct SharedPlace<P: Platform> {
    gateway: Rc<Gateway<P>>,
    upstream: UpstreamId,
    started_ms: u64,
}

impl<P: Platform> Drop for SharedPlace<P> {
    fn drop(&mut self) {
        let gateway = &self.gateway;
        let mut places = gateway.shared_places.places.borrow_mut();
        places.release(&self.upstream, self.started_ms);
        drop(places);
        gateway.metrics.shared_places.held.dec();
        gateway.sync_place_view(&self.upstream);
        gateway.report_shared(&self.upstream, None);
    }
}

/// Upstream of which the fleet shares the places.
#[derive(Clone, Debug)]
struct Shared {
    id: UpstreamId,
    service: ServiceId,
    started_ms: u64,
    slots: u32,
    response_ms: f64,
}

impl Shared {
    fn view(&self) -> SharedUpstream<'_> {
        SharedUpstream {
            id: &self.id,
            started_ms: self.started_ms,
            slots: self.slots,
            response_ms: self.response_ms,
        }
    }
}

impl<P: Platform> Gateway<P> {
    /// The upstream, if its places are shared: it is a plain one, has fewer slots than there
    /// are hosts, and does not state that it is brittle.
    fn shared(&self, upstream: &UpstreamId) -> Option<Shared> {
        if !self.settings().shared_places {
            return None;
        }
        let registry = self.registry.borrow();
        let entry = registry.get(upstream.as_str())?;
        let catalog = self.catalog.borrow();
        let service = catalog.as_ref()?.services.get(&entry.service)?;
        let hosts = self.peers.borrow().listed().count();
        if service.engine.is_some() || entry.slots as usize >= hosts || self.is_brittle(entry) {
            return None;
        }
        let loads = self.loads.borrow();
        let load = loads.get(upstream.as_str());
        Some(Shared {
            id: upstream.clone(),
            service: entry.service.clone(),
            started_ms: entry.started_ms,
            slots: entry.slots,
            response_ms: load.map_or(0.0, |l| l.completion_ms().max(l.first_response_ms())),
        })
    }

    /// True if requests with these requirements need places at shared upstreams.
    pub fn shares_places(&self, requirements: &Requirements) -> bool {
        if requirements.weights.is_some() || !self.settings().shared_places {
            return false;
        }
        let upstreams = self.upstreams_of(&requirements.service);
        upstreams.iter().any(|id| self.shared(id).is_some())
    }

    fn upstreams_of(&self, service: &ServiceId) -> Vec<UpstreamId> {
        let registry = self.registry.borrow();
        let entries = registry.of_service(service);
        entries.map(|e| e.id.clone()).collect()
    }

    /// Lets the selection of upstreams for a request decide by what the accounts allow.
    pub fn prepare_shared_places(&self, requirements: &Requirements) {
        if requirements.weights.is_some() || !self.settings().shared_places {
            return;
        }
        for upstream in self.upstreams_of(&requirements.service) {
            self.sync_place_view(&upstream);
        }
    }

    /// Enters into the load of an upstream what the account of its places allows now.
    fn sync_place_view(&self, upstream: &UpstreamId) {
        let is_shared = self.shared(upstream).is_some();
        let limit = {
            let mut places = self.shared_places.places.borrow_mut();
            places.limit(self.now_ms(), upstream)
        };
        let mut loads = self.loads.borrow_mut();
        let known = loads.get(upstream.as_str()).and_then(Load::places);
        let view = is_shared.then(|| PlaceView {
            limit,
            ahead: known.map_or(0, |k| k.ahead),
        });
        if known != view {
            loads.set_places(upstream, view);
        }
    }

    /// True if a request may be sent to its upstream now; it then has a place there if the
    /// places are shared. If it may not, this host has no further requests there until its
    /// keeper grants a place or a time has passed.
    pub async fn take_shared_place(
        self: &Rc<Self>,
        request: &RoutedRequest,
        in_flight: &mut InFlightAttempt<P>,
    ) -> bool {
        if request.requirements.weights.is_some() {
            return true;
        }
        let upstream = in_flight.sent.upstream.clone();
        let Some(shared) = self.shared(&upstream) else {
            return true;
        };
        let is_taken = self.take_spare(&shared) || self.ask_for_shared(request, &shared).await;
        if is_taken {
            self.metrics.shared_places.held.inc();
            in_flight.shared_place = Some(SharedPlace {
                gateway: Rc::clone(self),
                upstream: upstream.clone(),
                started_ms: shared.started_ms,
            });
        }
        self.sync_place_view(&upstream);
        self.report_waiting(&shared.service);
        self.shared_places.wake.notify_one();
        is_taken
    }

    fn take_spare(&self, shared: &Shared) -> bool {
        let mut places = self.shared_places.places.borrow_mut();
        places.take_spare(shared.view())
    }

    /// Asks the keeper; without an answer the request may be sent within this host's equal
    /// share.
    async fn ask_for_shared(self: &Rc<Self>, request: &RoutedRequest, shared: &Shared) -> bool {
        let is_silent = {
            let places = self.shared_places.places.borrow();
            places.is_silent(self.now_ms(), &shared.id)
        };
        if !is_silent {
            let asked_ms = self.now_ms();
            self.metrics.shared_places.asked.inc();
            let own = self.request_urgency(request);
            let ask = |ticket| self.report_shared(&shared.id, Some((ticket, own)));
            let answer = self.shared_places.questions.ask(ASK_TIMEOUT, ask).await;
            if let Some(is_granted) = answer {
                let now_ms = self.now_ms();
                let took_ms = now_ms.saturating_sub(asked_ms);
                {
                    let mut places = self.shared_places.places.borrow_mut();
                    places.on_answer(now_ms, &shared.id, took_ms, is_granted);
                }
                if is_granted && self.take_spare(shared) {
                    return true;
                }
                self.metrics.shared_places.denied.inc();
                self.log_place(request, shared, "denied");
                self.retry_shared_after(&shared.id, DENIED_MS);
                return false;
            }
            self.metrics.shared_places.unanswered.inc();
            self.log_place(request, shared, "unanswered");
        }
        self.take_within_share(shared)
    }

    fn take_within_share(self: &Rc<Self>, shared: &Shared) -> bool {
        let hosts = self.host_count();
        let wait_ms = {
            let mut places = self.shared_places.places.borrow_mut();
            places.on_unanswered(self.now_ms(), shared.view(), hosts)
        };
        match wait_ms {
            None => {
                self.metrics.shared_places.within_share.inc();
                true
            }
            Some(wait_ms) => {
                self.retry_shared_after(&shared.id, wait_ms);
                false
            }
        }
    }

    /// Lets queued requests try again after a time, should no grant arrive.
    fn retry_shared_after(self: &Rc<Self>, upstream: &UpstreamId, after_ms: u64) {
        let (gateway, upstream) = (Rc::clone(self), upstream.clone());
        compio::runtime::spawn(async move {
            compio::time::sleep(Duration::from_millis(after_ms)).await;
            gateway.sync_place_view(&upstream);
            gateway.admission_queue.borrow().wake();
        })
        .detach();
    }

    fn log_place(&self, request: &RoutedRequest, shared: &Shared, outcome: &'static str) {
        if !self.shared_places.may_log(self.now_ms()) {
            return;
        }
        let loads = self.loads.borrow();
        let view = loads.get(shared.id.as_str()).and_then(Load::places);
        let (in_use, spare) = self.shared_places.held(&shared.id);
        tracing::info!(
            event = "place",
            request = request.request_id,
            upstream = %shared.id,
            outcome,
            ahead = view.map_or(0, |v| v.ahead),
            in_use,
            spare,
            slots = shared.slots,
        );
    }

    fn request_urgency(&self, request: &RoutedRequest) -> i64 {
        let penalty_ms = u64::from(request.priority) * PRIORITY_PENALTY_MS;
        let due_ms = self.due_ms(request);
        urgency(self.now_ms(), false, due_ms, penalty_ms, request.arrived_ms)
    }

    /// Tells the keepers of a service's upstreams at once which requests wait here, if they
    /// have to know.
    pub fn report_waiting(&self, service: &ServiceId) {
        if !self.settings().shared_places {
            return;
        }
        let now_ms = self.now_ms();
        let waiting = self.admission_queue.borrow().urgencies(now_ms, service);
        for upstream in self.upstreams_of(service) {
            let is_needed = {
                let places = self.shared_places.places.borrow();
                places.is_report_needed(now_ms, &upstream, &waiting)
            };
            if is_needed {
                self.report_shared(&upstream, None);
            }
        }
    }

    /// Tells the keeper of an upstream what this host holds and awaits there, and asks for
    /// a place if a ticket and the urgency of the request are given.
    fn report_shared(&self, upstream: &UpstreamId, question: Option<(u64, i64)>) {
        let Some(shared) = self.shared(upstream) else {
            return;
        };
        let now_ms = self.now_ms();
        let Some(keeper) = self.shared_keeper(upstream) else {
            return;
        };
        let queued = self.admission_queue.borrow();
        let mut waiting = queued.urgencies(now_ms, &shared.service);
        drop(queued);
        waiting.extend(question.map(|(_, urgency)| urgency));
        let report = {
            let mut places = self.shared_places.places.borrow_mut();
            places.report(now_ms, shared.view(), &keeper, &waiting)
        };
        let message = SharedPlacesMessage {
            report,
            ticket: question.map(|(ticket, _)| ticket),
        };
        if keeper == self.settings().host {
            self.apply_shared_report(message);
        } else {
            self.send_to_host(&keeper, &PeerMessage::SharedPlaces(message));
        }
    }

    /// Takes over an answer or a grant of a keeper.
    pub fn apply_shared_place(&self, message: &SharedPlaceMessage) {
        let upstream = &message.upstream;
        let is_granted = message.grant.is_some_and(|number| {
            let mut places = self.shared_places.places.borrow_mut();
            places.on_grant(self.now_ms(), upstream, &message.keeper, number)
        });
        let now_ms = self.now_ms();
        let others = InFlight {
            requests: message.others,
            ..InFlight::default()
        };
        {
            let mut loads = self.loads.borrow_mut();
            loads.set_remote(now_ms, upstream, others);
            let known = loads.get(upstream.as_str()).and_then(Load::places);
            if let Some(known) = known {
                let ahead = message.ahead;
                loads.set_places(upstream, Some(PlaceView { ahead, ..known }));
            }
        }
        let is_answer = message
            .ticket
            .is_some_and(|ticket| self.shared_places.questions.answer(ticket, is_granted));
        if is_granted && !is_answer {
            self.use_grant(upstream);
        }
    }

    /// Lets the most urgent queued request take a granted place, or returns it.
    fn use_grant(&self, upstream: &UpstreamId) {
        let service = {
            let registry = self.registry.borrow();
            registry.get(upstream.as_str()).map(|e| e.service.clone())
        };
        let is_wanted = service.is_some_and(|service| {
            let queued = self.admission_queue.borrow();
            !queued.urgencies(self.now_ms(), &service).is_empty()
        });
        if is_wanted {
            self.sync_place_view(upstream);
            self.admission_queue.borrow().wake();
            self.shared_places.wake.notify_one();
            return;
        }
        self.return_spare(upstream);
    }

    fn return_spare(&self, upstream: &UpstreamId) {
        let is_returned = {
            let mut places = self.shared_places.places.borrow_mut();
            places.return_spare(upstream)
        };
        if is_returned {
            self.metrics.shared_places.returned.inc();
            self.sync_place_view(upstream);
            self.report_shared(upstream, None);
        }
    }

    /// Counts a request that a shared upstream rejected for want of room.
    pub fn on_shared_rejection(&self, in_flight: &InFlightAttempt<P>) {
        if in_flight.shared_place.is_none() {
            return;
        }
        if let Some(shared) = self.shared(&in_flight.sent.upstream) {
            // Reported with the end of the request.
            let mut places = self.shared_places.places.borrow_mut();
            places.on_rejected(shared.view());
        }
    }
}

/// Service that keeps places and accounts up to date.
#[derive(Debug)]
pub struct SharedPlaceService<P: Platform> {
    gateway: Rc<Gateway<P>>,
}

impl<P: Platform> SharedPlaceService<P> {
    /// Service over the shared state.
    pub fn new(gateway: Rc<Gateway<P>>) -> Self {
        Self { gateway }
    }

    fn take_round(&self) {
        let (gateway, now_ms) = (&self.gateway, self.gateway.now_ms());
        let unused = gateway.shared_places.places.borrow().unused(now_ms);
        for upstream in unused {
            gateway.return_spare(&upstream);
        }
        let due = {
            let mut places = gateway.shared_places.places.borrow_mut();
            places.due(now_ms, |id| gateway.shared_keeper(id))
        };
        for (upstream, is_repeated) in due {
            gateway.report_shared(&upstream, None);
            if is_repeated {
                let mut places = gateway.shared_places.places.borrow_mut();
                places.on_repeated(&upstream);
            }
        }
        gateway.grant_free_places();
    }
}

impl<P: Platform> Service for SharedPlaceService<P> {
    const NAME: &'static str = "gateway-shared-places";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        loop {
            let desk = &self.gateway.shared_places;
            let is_idle = desk.places.borrow().is_idle() && desk.accounts.borrow().is_empty();
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
