//! Finds an upstream for a request, now or after a wait at this host.

use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::{Notify, oneshot};

use super::call::Job;
use super::platform::Platform;
use super::state::Gateway;
use crate::core::balance::{
    CapacityForecast, NoUpstream, Requirements, UpstreamFilter, Weights, forecast_capacity,
    select_upstream,
};
use crate::core::catalog::{ModelSpec, WeightSource};
use crate::core::load::{AttemptOutcome, Load, SentRequest};
use crate::core::registry::{Entry, Registry};
use crate::core::waiting::{
    QueueDecision, QueueKey, QueuedRequest, RetryInput, RetrySchedule, WaitForecast, WaitQueue,
    admit,
};

/// Wait predicted for an adapter that is loaded on demand, in milliseconds:
/// the way to the acting host and back, and the load.
const ADAPTER_WAIT_MS: u64 = 80;
/// Time until an order for a model that nobody holds reaches its engine, in
/// milliseconds.
const ORDER_WAIT_MS: u64 = 300;
/// Wait predicted when no upstream is listed, in milliseconds.
const NONE_LISTED_WAIT_MS: u64 = 1_000;
/// Time without a served request after which weights count as starved, in
/// milliseconds; callers that ask throughout a day ask about this often.
const STARVED_AFTER_MS: u64 = 6_000;
/// Share of a caller's patience that it may spend waiting here; the rest is
/// for the upstream.
const PATIENCE_SHARE: f64 = 0.7;
/// Part of its time left after which a refused caller comes back at the latest;
/// the rest is for its second try, and callers wait no longer anyway.
const LATEST_RETURN: f64 = 1.0 / 3.0;

/// Waiting requests and the tasks behind them.
#[derive(Debug, Default)]
pub struct Places {
    queue: WaitQueue,
    tickets: HashMap<u64, Ticket>,
    next_ticket: u64,
    wake: Rc<Notify>,
    /// When requests for weights were last served.
    served_ms: HashMap<Weights, u64>,
    /// When refused callers were told to come back.
    returns: RetrySchedule,
    /// When models that are being loaded will be ready.
    pub ready_at_ms: HashMap<QueueKey, u64>,
}

/// Upstream for a request that waited, already counted there, or why none.
type Offer = Result<SentRequest, NoUpstream>;

#[derive(Debug)]
struct Ticket(oneshot::Sender<Offer>);

impl Places {
    /// Notes that a request for weights was served.
    pub fn note_served(&mut self, weights: &Weights, now_ms: u64) {
        match self.served_ms.get_mut(weights) {
            Some(at_ms) => *at_ms = now_ms,
            None => {
                self.served_ms.insert(weights.clone(), now_ms);
            }
        }
    }

    /// True if requests for weights were not served for long.
    fn is_starved(&self, weights: &Weights, now_ms: u64) -> bool {
        let served_ms = self.served_ms.get(weights).copied().unwrap_or(0);
        now_ms.saturating_sub(served_ms) > STARVED_AFTER_MS
    }

    /// Number of waiting requests.
    pub fn waiting(&self) -> usize {
        self.queue.len()
    }

    /// Fires when waiting requests may find room.
    pub(super) fn woken(&self) -> Rc<Notify> {
        Rc::clone(&self.wake)
    }

    /// Earliest time at which a waiting request is given up.
    pub(super) fn next_give_up_ms(&self) -> Option<u64> {
        self.queue.next_expiry_ms()
    }

    /// Lets waiting requests look for room again.
    pub fn wake(&self) {
        if !self.queue.is_empty() {
            self.wake.notify_one();
        }
    }
}

/// Request in flight at an upstream; counted until dropped.
#[derive(Debug)]
pub struct InFlight<P: Platform> {
    gateway: Rc<Gateway<P>>,
    /// Where and when it was sent.
    pub sent: SentRequest,
    end: AttemptOutcome,
}

impl<P: Platform> InFlight<P> {
    fn new(gateway: &Rc<Gateway<P>>, sent: SentRequest) -> Self {
        gateway.metrics.in_flight.inc();
        Self {
            gateway: Rc::clone(gateway),
            sent,
            end: AttemptOutcome::Neutral,
        }
    }

    /// Counts the answer's head, or the first event of a stream.
    pub fn first_answer(&mut self) {
        let now_ms = self.gateway.now_ms();
        let mut loads = self.gateway.loads.borrow_mut();
        loads.on_first_response(now_ms, &mut self.sent);
        drop(loads);
        // A prompt that has been read leaves room for the next one.
        self.gateway.places.borrow().wake();
    }

    /// Counts what the upstream sent since.
    pub fn heard(&self) {
        let now_ms = self.gateway.now_ms();
        let mut loads = self.gateway.loads.borrow_mut();
        loads.on_activity(now_ms, self.sent.upstream.as_str());
    }

    /// Ends the attempt.
    pub fn end(mut self, end: AttemptOutcome) {
        self.end = end;
    }
}

impl<P: Platform> Drop for InFlight<P> {
    fn drop(&mut self) {
        let now_ms = self.gateway.now_ms();
        let mut loads = self.gateway.loads.borrow_mut();
        loads.on_end(now_ms, &self.sent, self.end);
        drop(loads);
        self.gateway.metrics.in_flight.dec();
        self.gateway.places.borrow().wake();
    }
}

/// Why a request found no place.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoPlace {
    /// Reason.
    pub reason: NoUpstream,
    /// Time to come back.
    pub retry_after_ms: u64,
}

/// Removes a waiting request whose task ends early.
struct WaitGuard<P: Platform> {
    gateway: Rc<Gateway<P>>,
    ticket: u64,
    offer: Option<oneshot::Receiver<Offer>>,
}

impl<P: Platform> Drop for WaitGuard<P> {
    fn drop(&mut self) {
        let Some(mut offer) = self.offer.take() else {
            return;
        };
        let mut places = self.gateway.places.borrow_mut();
        if places.tickets.remove(&self.ticket).is_some() {
            places.queue.remove(self.ticket);
        }
        drop(places);
        if let Ok(Ok(sent)) = offer.try_recv() {
            let now_ms = self.gateway.now_ms();
            let mut loads = self.gateway.loads.borrow_mut();
            loads.on_end(now_ms, &sent, AttemptOutcome::Neutral);
        }
    }
}

impl<P: Platform> Gateway<P> {
    /// Finds an upstream for a request, or tells when to come back.
    pub async fn place(
        self: &Rc<Self>,
        job: &Job,
        allowed: &UpstreamFilter,
    ) -> Result<InFlight<P>, NoPlace> {
        let now_ms = self.now_ms();
        let lane = QueueKey::of(&job.need);
        let due_ms = self.due_ms(job);
        let weights = job.need.weights.as_ref();
        let (ahead, is_starved) = {
            let places = self.places.borrow();
            let is_starved = weights.is_some_and(|w| places.is_starved(w, now_ms));
            let ahead = if is_starved {
                0
            } else {
                places
                    .queue
                    .count_ahead(now_ms, &job.need, job.priority, due_ms)
            };
            (ahead, is_starved)
        };
        let found = if ahead > 0 {
            Err(NoUpstream::Full)
        } else {
            self.reserve(now_ms, &job.need, allowed)
        };
        let reason = match found {
            Ok(sent) => {
                let mut places = self.places.borrow_mut();
                places.queue.record_dispatch(now_ms, &lane);
                return Ok(InFlight::new(self, sent));
            }
            Err(reason) => reason,
        };
        let room = self.next_room(job, allowed);
        let outlook = WaitForecast {
            reason,
            wait_ms: self.predicted_wait_ms(job, &lane, reason, room, ahead),
        };
        let give_up_ms = Self::give_up_ms(job, reason, due_ms, is_starved);
        let waiting = self.places.borrow().queue.len();
        let useful_ms = give_up_ms.saturating_sub(now_ms);
        if admit(waiting, outlook, useful_ms) == QueueDecision::Refuse {
            let no_place = self.turn_away(job, &lane, outlook, room);
            tracing::info!(
                event = "turned_away",
                request = job.request_id,
                reason = reason.as_str(),
                outlook_ms = outlook.wait_ms,
                useful_ms,
                ahead,
                waiting,
                copies = self.copies_of(job),
                retry_after_ms = no_place.retry_after_ms,
            );
            return Err(no_place);
        }
        let waiter = QueuedRequest {
            ticket: 0,
            requirements: job.need.clone(),
            filter: allowed.clone(),
            priority: job.priority,
            arrived_ms: job.arrived_ms,
            due_ms,
            expires_ms: give_up_ms,
            is_starved,
            reason,
        };
        self.wait(job, &lane, waiter).await
    }

    /// Upstreams that hold the model of a request.
    fn copies_of(&self, job: &Job) -> usize {
        let registry = self.registry.borrow();
        let entries = registry.of_service(&job.need.service);
        let weights = job.need.weights.as_ref();
        let holds =
            |e: &&Entry| !e.is_draining && weights.is_none_or(|w| e.has_ready(&w.model, None));
        entries.filter(holds).count()
    }

    /// Latest departure with which the answer is likely to be in time.
    fn due_ms(&self, job: &Job) -> u64 {
        let read_ms = self.expected_answer_ms(job);
        let objective_ms = job.objective.as_millis() as u64;
        job.arrived_ms + objective_ms.saturating_sub(read_ms)
    }

    /// Time to the first answer once a request is sent.
    fn expected_answer_ms(&self, job: &Job) -> u64 {
        let loads = self.loads.borrow();
        let registry = self.registry.borrow();
        let entries = registry.of_service(&job.need.service);
        let known = entries
            .filter_map(|e| loads.get(e.id.as_str()))
            .map(Load::first_response_ms)
            .filter(|ms| *ms > 0.0);
        let (sum_ms, count) = known.fold((0.0, 0_u32), |(sum, n), ms| (sum + ms, n + 1));
        if count == 0 {
            0
        } else {
            (sum_ms / f64::from(count)) as u64
        }
    }

    fn give_up_ms(job: &Job, reason: NoUpstream, due_ms: u64, is_starved: bool) -> u64 {
        let patience_ms = job.patience.as_millis() as f64 * PATIENCE_SHARE;
        let last_ms = (job.arrived_ms + patience_ms as u64).min(job.ends_ms);
        match reason {
            NoUpstream::NoModel | NoUpstream::NoAdapter => last_ms,
            _ if is_starved => last_ms,
            _ => due_ms.max(job.arrived_ms + 1).min(last_ms),
        }
    }

    fn predicted_wait_ms(
        &self,
        job: &Job,
        lane: &QueueKey,
        reason: NoUpstream,
        room: Option<CapacityForecast>,
        ahead: usize,
    ) -> u64 {
        match reason {
            NoUpstream::NoModel => self.load_wait_ms(job, lane),
            NoUpstream::NoAdapter => ADAPTER_WAIT_MS,
            NoUpstream::NoneListed | NoUpstream::AllTried => NONE_LISTED_WAIT_MS,
            NoUpstream::Full | NoUpstream::Failing => {
                let Some(room) = room else {
                    return NONE_LISTED_WAIT_MS;
                };
                let places = self.places.borrow();
                let (now_ms, hosts) = (self.now_ms(), self.host_count());
                places
                    .queue
                    .predicted_wait_ms(now_ms, lane, ahead, room, hosts)
            }
        }
    }

    fn next_room(&self, job: &Job, allowed: &UpstreamFilter) -> Option<CapacityForecast> {
        let (registry, loads) = (self.registry.borrow(), self.loads.borrow());
        forecast_capacity(self.now_ms(), &registry, &loads, &job.need, allowed)
    }

    /// Time until a model that no upstream holds is ready somewhere.
    fn load_wait_ms(&self, job: &Job, lane: &QueueKey) -> u64 {
        let now_ms = self.now_ms();
        let ready_at_ms = self.places.borrow().ready_at_ms.get(lane).copied();
        if let Some(ready_at_ms) = ready_at_ms.filter(|at| *at > now_ms) {
            return ready_at_ms - now_ms;
        }
        let Some(weights) = &job.need.weights else {
            return NONE_LISTED_WAIT_MS;
        };
        let registry = self.registry.borrow();
        let load = job
            .model
            .as_ref()
            .map(|spec| fastest_load(&registry, job, weights, spec));
        ORDER_WAIT_MS + load.map_or(NONE_LISTED_WAIT_MS, |l| l.as_millis() as u64)
    }

    /// Chooses an upstream and counts the request there.
    fn reserve(
        &self,
        now_ms: u64,
        need: &Requirements,
        allowed: &UpstreamFilter,
    ) -> Result<SentRequest, NoUpstream> {
        let settings = self.settings();
        let mut loads = self.loads.borrow_mut();
        let chosen = select_upstream(
            now_ms,
            &self.registry.borrow(),
            &loads,
            &settings.zone,
            need,
            allowed,
            &mut self.rng.borrow_mut(),
        )?;
        Ok(loads.on_sent(now_ms, &chosen, need.size))
    }

    async fn wait(
        self: &Rc<Self>,
        job: &Job,
        lane: &QueueKey,
        mut waiter: QueuedRequest,
    ) -> Result<InFlight<P>, NoPlace> {
        let (sender, receiver) = oneshot::channel();
        let allowed = waiter.filter.clone();
        let started_ms = self.now_ms();
        let ticket = {
            let mut places = self.places.borrow_mut();
            places.next_ticket += 1;
            waiter.ticket = places.next_ticket;
            let ticket = waiter.ticket;
            places.tickets.insert(ticket, Ticket(sender));
            places.queue.push(waiter);
            places.wake.notify_one();
            ticket
        };
        if let Some(weights) = &job.need.weights {
            self.announce_want(&job.need.service, weights);
        }
        let mut guard = WaitGuard {
            gateway: Rc::clone(self),
            ticket,
            offer: Some(receiver),
        };
        let offer = match guard.offer.as_mut() {
            Some(receiver) => receiver.await,
            None => return Err(self.gave_up(job, &allowed, lane, NoUpstream::Full)),
        };
        guard.offer = None;
        let waited_ms = self.now_ms().saturating_sub(started_ms);
        self.metrics.wait_s.observe(waited_ms as f64 / 1000.0);
        match offer {
            Ok(Ok(sent)) => Ok(InFlight::new(self, sent)),
            Ok(Err(reason)) => Err(self.gave_up(job, &allowed, lane, reason)),
            // The queue never drops a ticket without an offer.
            Err(_) => Err(self.gave_up(job, &allowed, lane, NoUpstream::Full)),
        }
    }

    fn gave_up(
        &self,
        job: &Job,
        allowed: &UpstreamFilter,
        lane: &QueueKey,
        reason: NoUpstream,
    ) -> NoPlace {
        let ahead = {
            let (now_ms, due_ms) = (self.now_ms(), self.due_ms(job));
            let places = self.places.borrow();
            places
                .queue
                .count_ahead(now_ms, &job.need, job.priority, due_ms)
        };
        let room = self.next_room(job, allowed);
        let wait_ms = self.predicted_wait_ms(job, lane, reason, room, ahead);
        self.turn_away(job, lane, WaitForecast { reason, wait_ms }, room)
    }

    /// Tells a refused caller when to come back.
    fn turn_away(
        &self,
        job: &Job,
        lane: &QueueKey,
        outlook: WaitForecast,
        room: Option<CapacityForecast>,
    ) -> NoPlace {
        let now_ms = self.now_ms();
        let room = room.unwrap_or_default();
        let mut places = self.places.borrow_mut();
        let ready_at_ms = places.ready_at_ms.get(lane).copied().unwrap_or(0);
        let input = RetryInput {
            wait_ms: outlook.wait_ms,
            copy_ready_in_ms: ready_at_ms.saturating_sub(now_ms),
            dispatch_interval_ms: room.dispatch_interval_ms * self.host_count() as f64,
            max_delay_ms: (job.time_left(now_ms).as_millis() as f64 * LATEST_RETURN) as u64,
        };
        let mut rng = self.rng.borrow_mut();
        NoPlace {
            reason: outlook.reason,
            retry_after_ms: places.returns.assign(now_ms, lane, input, &mut rng),
        }
    }

    /// Lets all waiting requests that find room leave.
    pub(super) fn pass(&self) {
        let now_ms = self.now_ms();
        let mut places = self.places.borrow_mut();
        let pass = places
            .queue
            .dispatch(now_ms, |w| self.reserve(now_ms, &w.requirements, &w.filter));
        let sent = pass
            .dispatched
            .into_iter()
            .map(|(ticket, sent)| (ticket, Ok(sent)));
        let given_up = pass.removed.into_iter().map(|(ticket, e)| (ticket, Err(e)));
        let mut offers = Vec::new();
        for (ticket, offer) in sent.chain(given_up) {
            if let Some(Ticket(sender)) = places.tickets.remove(&ticket) {
                offers.push((sender, offer));
            }
        }
        let waiting = places.queue.len().cast_signed() as i64;
        self.metrics.waiting.set(waiting);
        // A datagram may have been lost, or the engine took no orders then.
        for need in places.queue.awaiting_weights() {
            if let Some(weights) = &need.weights {
                self.announce_want(&need.service, weights);
            }
        }
        drop(places);
        for (sender, offer) in offers {
            // A receiver that has gone removes its ticket first.
            if let Err(Ok(sent)) = sender.send(offer) {
                let mut loads = self.loads.borrow_mut();
                loads.on_end(now_ms, &sent, AttemptOutcome::Neutral);
            }
        }
    }
}

/// Shortest time in which some upstream can load a model.
fn fastest_load(registry: &Registry, job: &Job, weights: &Weights, spec: &ModelSpec) -> Duration {
    let entries = registry.of_service(&job.need.service);
    let sources = entries
        .filter(|e| !e.is_draining)
        .map(|e| e.source_of(&weights.model));
    spec.load_time(sources.min().unwrap_or(WeightSource::Store))
}
