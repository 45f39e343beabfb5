//! Requests that wait at a host until an upstream has room.
//!
//! Answers the load pattern of bursts: more arrives than upstreams take for
//! some seconds, on some models and not on others. Requests wait here and not
//! in an engine's queue, since only here can they be reordered or refused.
//! Those that can still meet their objective go first, the most urgent ahead;
//! those that cannot follow in order of arrival. Ahead of all go requests for
//! weights with which nobody was served for long, so that rare adapters of a
//! crowded model are not refused for ever. A request whose predicted
//! wait is too long is refused when it arrives, with the time after which the
//! backlog will have gone.

use std::collections::{HashMap, HashSet};

use super::balance::{Allowed, Need, NoUpstream, Room};
use super::ids::{AdapterId, ModelId, ServiceId};
use super::rate::Rate;
use super::routing::Rng;

/// Requests that wait at one host at most; bounds memory and the time of one
/// pass.
pub const MAX_WAITING: usize = 512;
/// Time that one step of priority is worth against the due time, in
/// milliseconds.
pub const PRIORITY_STEP_MS: u64 = 250;
/// Shortest time after which refused callers come back, in milliseconds.
pub const MIN_RETRY_AFTER_MS: u64 = 200;
/// Part of a lane's pace that callers who come back may count on; the rest is
/// for new ones, whose answers can still be in time.
const RETURN_SHARE: f64 = 0.5;
/// Part of the longest time to come back over which those spread that are told
/// it.
const LATEST_SPREAD: u64 = 4;
/// Longest time after which refused callers come back, in milliseconds.
pub const MAX_RETRY_AFTER_MS: u64 = 10_000;
/// Time over which departures are averaged, in milliseconds; the objectives of
/// most requests, within which the prediction must hold.
const DEPARTURES_OVER_MS: f64 = 1_000.0;

/// Requests that compete for the same copies.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
pub struct Lane {
    /// Service.
    pub service: ServiceId,
    /// Model; absent for plain services.
    pub model: Option<ModelId>,
}

impl Lane {
    /// Lane of a request.
    pub fn of(need: &Need) -> Self {
        Self {
            service: need.service.clone(),
            model: need.weights.as_ref().map(|w| w.model.clone()),
        }
    }
}

/// Request that waits.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// Number that tells waiters apart.
    pub ticket: u64,
    /// What it needs.
    pub need: Need,
    /// Upstreams it may go to.
    pub allowed: Allowed,
    /// Rank; 0 goes first.
    pub priority: u8,
    /// Arrival.
    pub arrived_ms: u64,
    /// Latest departure that can meet the objective.
    pub due_ms: u64,
    /// Latest departure that is of any use to the caller.
    pub give_up_ms: u64,
    /// True if its weights were not served for long; it goes before others.
    pub is_starved: bool,
    /// Why there was no room when it last looked.
    pub reason: NoUpstream,
}

impl Waiter {
    /// True if a request waits until this one has found room.
    fn blocks(&self, lane: &Lane, need: &Need) -> bool {
        let adapter = self.need.adapter();
        let same_copies = adapter.is_none() || adapter == need.adapter();
        self.reason == NoUpstream::Full && same_copies && Lane::of(&self.need) == *lane
    }
}

/// Waiting requests and how fast they leave.
#[derive(Clone, Debug, Default)]
pub struct WaitQueue {
    waiters: Vec<Waiter>,
    departures: HashMap<Lane, Rate>,
}

/// What became of a pass over the queue.
#[derive(Clone, Debug)]
pub struct Pass<T> {
    /// Waiters that leave, with where they go.
    pub sent: Vec<(u64, T)>,
    /// Waiters whose time has passed, with the reason they found no room.
    pub given_up: Vec<(u64, NoUpstream)>,
}

impl WaitQueue {
    /// Number of waiting requests.
    pub fn len(&self) -> usize {
        self.waiters.len()
    }

    /// True if nothing waits.
    pub fn is_empty(&self) -> bool {
        self.waiters.is_empty()
    }

    /// Adds a request.
    pub fn push(&mut self, waiter: Waiter) {
        self.waiters.push(waiter);
    }

    /// Removes a request whose caller left.
    pub fn remove(&mut self, ticket: u64) {
        self.waiters.retain(|w| w.ticket != ticket);
    }

    /// Requests that would leave before a new one and need the same copies.
    pub fn ahead_of(&self, now_ms: u64, need: &Need, priority: u8, due_ms: u64) -> usize {
        let key = order_key(now_ms, priority, due_ms, now_ms);
        let lane = Lane::of(need);
        let is_ahead = |w: &&Waiter| waiter_key(now_ms, w) <= key && w.blocks(&lane, need);
        self.waiters.iter().filter(is_ahead).count()
    }

    /// Predicted wait behind some others of a lane, where `hosts` send to the
    /// same upstreams. Those ahead leave at least at this host's share of the
    /// upstreams' pace, and faster where they did lately.
    pub fn predicted_wait_ms(
        &self,
        now_ms: u64,
        lane: &Lane,
        ahead: usize,
        room: Room,
        hosts: usize,
    ) -> u64 {
        let departures = self.departures.get(lane);
        let per_s = departures.map_or(0.0, |d| d.get(now_ms, DEPARTURES_OVER_MS));
        let share_ms = room.turn_ms * hosts as f64;
        let interval_ms = share_ms.min(1000.0 / per_s.max(f64::MIN_POSITIVE));
        (room.first_ms + ahead as f64 * interval_ms) as u64
    }

    /// Lets all leave that find room, in order, and gives up on those whose
    /// time has passed.
    pub fn pass<T>(
        &mut self,
        now_ms: u64,
        mut choose: impl FnMut(&Waiter) -> Result<T, NoUpstream>,
    ) -> Pass<T> {
        let mut pass = Pass {
            sent: Vec::new(),
            given_up: Vec::new(),
        };
        if self.waiters.is_empty() {
            return pass;
        }
        self.waiters.sort_by_key(|w| waiter_key(now_ms, w));
        let mut full: HashSet<(Lane, Option<AdapterId>)> = HashSet::new();
        let waiters = std::mem::take(&mut self.waiters);
        for mut waiter in waiters {
            let lane = Lane::of(&waiter.need);
            let adapter = waiter.need.adapter().cloned();
            // A request that found no room blocks those behind it that need
            // the same copies, so that large ones are not passed over for ever.
            let is_blocked = full.contains(&(lane.clone(), adapter.clone()))
                || full.contains(&(lane.clone(), None));
            let found = if is_blocked {
                Err(NoUpstream::Full)
            } else {
                choose(&waiter)
            };
            match found {
                Ok(place) => {
                    self.note_departure(now_ms, &lane);
                    pass.sent.push((waiter.ticket, place));
                }
                Err(reason) if now_ms >= waiter.give_up_ms || is_hopeless(reason) => {
                    pass.given_up.push((waiter.ticket, reason));
                }
                Err(reason) => {
                    if reason == NoUpstream::Full {
                        full.insert((lane, adapter));
                    }
                    waiter.reason = reason;
                    self.waiters.push(waiter);
                }
            }
        }
        pass
    }

    /// Counts a request that leaves, whether or not it waited.
    pub fn note_departure(&mut self, now_ms: u64, lane: &Lane) {
        match self.departures.get_mut(lane) {
            Some(rate) => rate.add(now_ms, 1.0, DEPARTURES_OVER_MS),
            None => {
                let mut rate = Rate::default();
                rate.add(now_ms, 1.0, DEPARTURES_OVER_MS);
                self.departures.insert(lane.clone(), rate);
            }
        }
    }

    /// Needs of those that wait for weights to be loaded.
    pub fn awaiting_weights(&self) -> impl Iterator<Item = &Need> {
        let is_missing =
            |w: &&Waiter| matches!(w.reason, NoUpstream::NoModel | NoUpstream::NoAdapter);
        self.waiters.iter().filter(is_missing).map(|w| &w.need)
    }

    /// Earliest time at which a waiter is given up.
    pub fn next_give_up_ms(&self) -> Option<u64> {
        self.waiters.iter().map(|w| w.give_up_ms).min()
    }
}

/// Place of a waiter in the queue; the lowest leaves first.
fn waiter_key(now_ms: u64, waiter: &Waiter) -> (Class, u64) {
    if waiter.is_starved {
        return (Class::Starved, waiter.arrived_ms);
    }
    order_key(now_ms, waiter.priority, waiter.due_ms, waiter.arrived_ms)
}

/// Those that can meet their objective first, by urgency, then the others.
fn order_key(now_ms: u64, priority: u8, due_ms: u64, arrived_ms: u64) -> (Class, u64) {
    let is_late = now_ms > due_ms;
    if is_late {
        (Class::Late, arrived_ms)
    } else {
        let urgency_ms = due_ms + u64::from(priority) * PRIORITY_STEP_MS;
        (Class::InTime, urgency_ms)
    }
}

/// Classes of waiters, the first to leave first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
enum Class {
    /// Nobody was served with its weights for long.
    Starved,
    /// Can still meet its objective.
    InTime,
    /// Cannot.
    Late,
}

/// True if waiting cannot help.
fn is_hopeless(reason: NoUpstream) -> bool {
    matches!(reason, NoUpstream::NoneListed | NoUpstream::AllTried)
}

/// Time until a request can leave, for the ways in which there is no room.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Outlook {
    /// Why there is no room now.
    pub reason: NoUpstream,
    /// Predicted time until there is.
    pub wait_ms: u64,
}

/// What a request that finds no room is to do.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Verdict {
    /// Wait at the host.
    Wait,
    /// Be refused now and come back after some time.
    Refuse,
}

/// Decides whether a request waits.
///
/// It waits if it is likely to leave within `useful_ms`, the time within
/// which an answer is of use to the caller.
pub fn admit(waiting: usize, outlook: Outlook, useful_ms: u64) -> Verdict {
    let can_wait = waiting < MAX_WAITING && !is_hopeless(outlook.reason);
    if can_wait && outlook.wait_ms <= useful_ms {
        Verdict::Wait
    } else {
        Verdict::Refuse
    }
}

/// When refused callers come back.
///
/// Answers the load pattern of a lane that stays full for seconds: callers who
/// come back at once find no room either, and most of them try only once more.
/// Each is told a turn after those refused before it, at the part of the
/// lane's pace that new callers leave, and not before a copy that is being
/// loaded serves.
#[derive(Clone, Debug, Default)]
pub struct Returns {
    booked_until_ms: HashMap<Lane, u64>,
}

/// What decides when a refused caller comes back.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct ReturnInput {
    /// Predicted wait, in milliseconds.
    pub wait_ms: u64,
    /// Time until a further copy serves, in milliseconds; 0 if none is coming.
    pub copy_in_ms: u64,
    /// Interval at which waiting requests of the lane leave this host, in
    /// milliseconds.
    pub turn_ms: f64,
    /// Time after which an answer would come too late, in milliseconds.
    pub longest_ms: u64,
}

impl Returns {
    /// Time after which a caller is to come back, in milliseconds.
    pub fn book(&mut self, now_ms: u64, lane: &Lane, input: ReturnInput, rng: &mut Rng) -> u64 {
        let longest_ms = input
            .longest_ms
            .clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
        let turn_ms = (input.turn_ms / RETURN_SHARE).min(longest_ms as f64) as u64;
        let booked_ms = self.booked_until_ms.entry(lane.clone()).or_default();
        let earliest_ms = now_ms + input.wait_ms.max(input.copy_in_ms).min(longest_ms);
        let from_ms = earliest_ms.max(*booked_ms).min(now_ms + longest_ms);
        *booked_ms = from_ms + turn_ms;
        let spread_ms = rng.below((turn_ms + MIN_RETRY_AFTER_MS) as usize) as u64;
        let after_ms = from_ms - now_ms + spread_ms;
        if after_ms <= longest_ms {
            return after_ms.max(MIN_RETRY_AFTER_MS);
        }
        // All that are told the longest time must not come back together.
        longest_ms - rng.below((longest_ms / LATEST_SPREAD + 1) as usize) as u64
    }
}
