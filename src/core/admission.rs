//! Admission of requests.
//!
//! A request that cannot meet its target is refused at once, with the time
//! after which it is worth trying again. Teams share an upstream by weight:
//! as long as there is room nobody is limited, and once room is short a team
//! over its share is refused before one that is under it.

use std::collections::HashMap;

use super::fleet::Upstream;
use super::ids::TeamId;
use super::outcome::{Reason, Refusal};

/// Load from which fair shares are enforced, in per mille of the batch.
pub const FAIR_SHARE_FROM_PERMILLE: u32 = 750;
/// Mean request time assumed before any report, in milliseconds.
pub const DEFAULT_REQUEST_MS: u32 = 1_000;
/// Shortest time after which a refused caller is told to come back.
pub const MIN_RETRY_AFTER_MS: u64 = 100;
/// Longest time after which a refused caller is told to come back.
pub const MAX_RETRY_AFTER_MS: u64 = 30_000;

/// Predicted wait of a new request before it runs, in milliseconds.
pub fn predicted_wait_ms(upstream: &Upstream) -> u64 {
    let batch = upstream.listed.max_batch.max(1);
    let ahead = upstream.estimated_in_flight() + 1;
    let excess = u64::from(ahead.saturating_sub(batch));
    excess * request_ms(upstream) / u64::from(batch)
}

/// Mean time of a request at an upstream, in milliseconds: as it reports, or
/// as this host has seen, since plain services report nothing.
fn request_ms(upstream: &Upstream) -> u64 {
    let reported_ms = u64::from(upstream.seen.load.mean_request_ms);
    let answered_ms = upstream.health.first_byte_us().div_ceil(1000);
    match (reported_ms, answered_ms) {
        (0, 0) => u64::from(DEFAULT_REQUEST_MS),
        (0, answered_ms) => answered_ms,
        (reported_ms, _) => reported_ms,
    }
}

/// Requests of each team in flight at this host.
#[derive(Clone, Debug, Default)]
pub struct TeamLoads {
    teams: HashMap<TeamId, TeamLoad>,
    active_weight: u64,
}

#[derive(Clone, Debug, Default)]
struct TeamLoad {
    in_flight: u32,
    share_weight: u32,
}

/// Admitted request; give it back by [`TeamLoads::release`].
#[derive(Debug)]
#[must_use]
pub struct Admitted {
    team: TeamId,
}

impl TeamLoads {
    /// Requests of a team in flight.
    pub fn in_flight(&self, team: &TeamId) -> u32 {
        self.teams.get(team).map_or(0, |t| t.in_flight)
    }

    /// All requests in flight.
    pub fn total_in_flight(&self) -> u32 {
        self.teams.values().map(|t| t.in_flight).sum()
    }

    /// Admits a request of a team unless the team is at its own limit.
    pub fn admit(
        &mut self,
        team: &TeamId,
        share_weight: u32,
        max_in_flight: u32,
    ) -> Result<Admitted, Refusal> {
        let load = self.teams.entry(team.clone()).or_default();
        if load.in_flight >= max_in_flight {
            let message = format!("the team has {max_in_flight} requests in flight at this host");
            return Err(
                Refusal::not_run(Reason::TeamLimit, message).retry_after_ms(MIN_RETRY_AFTER_MS)
            );
        }
        if load.in_flight == 0 {
            load.share_weight = share_weight;
            self.active_weight += u64::from(share_weight);
        }
        load.in_flight += 1;
        Ok(Admitted { team: team.clone() })
    }

    /// Gives back an admitted request.
    pub fn release(&mut self, admitted: &Admitted) {
        let Some(load) = self.teams.get_mut(&admitted.team) else {
            return;
        };
        load.in_flight -= 1;
        if load.in_flight == 0 {
            self.active_weight -= u64::from(load.share_weight);
            self.teams.remove(&admitted.team);
        }
    }

    /// True if the team has more than its weighted share of what is in flight.
    pub fn is_over_share(&self, team: &TeamId) -> bool {
        let Some(load) = self.teams.get(team) else {
            return false;
        };
        let total = u64::from(self.total_in_flight());
        let mine = u64::from(load.in_flight) * self.active_weight;
        mine > total * u64::from(load.share_weight)
    }
}

/// Refuses a request that would miss its target at the chosen upstream.
pub fn check_target(
    loads: &TeamLoads,
    team: &TeamId,
    upstream: &Upstream,
    target_ms: u64,
) -> Result<(), Refusal> {
    let wait_ms = predicted_wait_ms(upstream);
    if wait_ms >= target_ms {
        return Err(overloaded(
            wait_ms,
            "the predicted wait is longer than the target",
        ));
    }
    let is_short = upstream.load_permille() >= FAIR_SHARE_FROM_PERMILLE;
    if is_short && loads.is_over_share(team) {
        return Err(overloaded(
            request_ms(upstream) / 4,
            "the team is over its share while room is short",
        ));
    }
    Ok(())
}

fn overloaded(wait_ms: u64, message: &str) -> Refusal {
    let retry_after_ms = wait_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    Refusal::not_run(Reason::Overloaded, message).retry_after_ms(retry_after_ms)
}
