//! Admission control for requests.
//!
//! Load pattern: bursts, of one team or of all, that exceed what the upstreams
//! serve within the latency targets. A request that is predicted to miss its
//! target is rejected immediately, with the time after which to retry. Teams
//! share an upstream by weight: below a load threshold no team is limited;
//! above it, a team over its weighted share is rejected before one under it.

use std::collections::HashMap;

use super::fleet::Upstream;
use super::ids::TeamId;
use super::outcome::{Reason, Refusal};

/// Load at which fair shares begin to be enforced, in per mille of the batch.
pub const FAIR_SHARE_THRESHOLD_PERMILLE: u32 = 750;
/// Mean request time assumed before any report or response, in milliseconds.
pub const DEFAULT_MEAN_REQUEST_MS: u32 = 1_000;
/// Shortest retry delay given to a rejected caller.
pub const MIN_RETRY_AFTER_MS: u64 = 100;
/// Longest retry delay given to a rejected caller.
pub const MAX_RETRY_AFTER_MS: u64 = 30_000;

/// Predicted queueing delay of a new request, in milliseconds.
pub fn predicted_wait_ms(upstream: &Upstream) -> u64 {
    let batch = upstream.listed.max_batch.max(1);
    let in_flight_with_request = upstream.estimated_in_flight() + 1;
    let excess = u64::from(in_flight_with_request.saturating_sub(batch));
    excess * mean_request_time_ms(upstream) / u64::from(batch)
}

/// Mean time of a request at an upstream, in milliseconds: the reported time,
/// or the time to first byte measured by this host, since plain services send
/// no reports.
fn mean_request_time_ms(upstream: &Upstream) -> u64 {
    let reported_ms = u64::from(upstream.observation.load.mean_request_ms);
    let first_byte_ms = upstream.health.first_byte_us().div_ceil(1000);
    match (reported_ms, first_byte_ms) {
        (0, 0) => u64::from(DEFAULT_MEAN_REQUEST_MS),
        (0, first_byte_ms) => first_byte_ms,
        (reported_ms, _) => reported_ms,
    }
}

/// Requests in flight at this host, by team.
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

/// Permit of an admitted request, returned by [`TeamLoads::release`].
#[derive(Debug)]
#[must_use]
pub struct AdmissionPermit {
    team: TeamId,
}

impl TeamLoads {
    /// Number of a team's requests in flight.
    pub fn in_flight(&self, team: &TeamId) -> u32 {
        self.teams.get(team).map_or(0, |t| t.in_flight)
    }

    /// Number of requests in flight, over all teams.
    pub fn total_in_flight(&self) -> u32 {
        self.teams.values().map(|t| t.in_flight).sum()
    }

    /// Admits a request unless the team has reached `max_in_flight`.
    pub fn admit(
        &mut self,
        team: &TeamId,
        share_weight: u32,
        max_in_flight: u32,
    ) -> Result<AdmissionPermit, Refusal> {
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
        Ok(AdmissionPermit { team: team.clone() })
    }

    /// Returns the permit of a request that has ended.
    pub fn release(&mut self, permit: &AdmissionPermit) {
        let Some(load) = self.teams.get_mut(&permit.team) else {
            return;
        };
        load.in_flight -= 1;
        if load.in_flight == 0 {
            self.active_weight -= u64::from(load.share_weight);
            self.teams.remove(&permit.team);
        }
    }

    /// True if the team exceeds its weighted share of the requests in flight.
    pub fn is_over_share(&self, team: &TeamId) -> bool {
        let Some(load) = self.teams.get(team) else {
            return false;
        };
        let total = u64::from(self.total_in_flight());
        let weighted_in_flight = u64::from(load.in_flight) * self.active_weight;
        weighted_in_flight > total * u64::from(load.share_weight)
    }
}

/// Rejects a request that is predicted to miss its target at the chosen
/// upstream, or whose team is over its share while the upstream is near
/// capacity.
pub fn check_target(
    loads: &TeamLoads,
    team: &TeamId,
    upstream: &Upstream,
    target_ms: u64,
) -> Result<(), Refusal> {
    let wait_ms = predicted_wait_ms(upstream);
    if wait_ms >= target_ms {
        return Err(overload_refusal(
            wait_ms,
            "the predicted wait is longer than the target",
        ));
    }
    let is_near_capacity = upstream.load_permille() >= FAIR_SHARE_THRESHOLD_PERMILLE;
    if is_near_capacity && loads.is_over_share(team) {
        return Err(overload_refusal(
            mean_request_time_ms(upstream) / 4,
            "the team is over its share while room is short",
        ));
    }
    Ok(())
}

fn overload_refusal(wait_ms: u64, message: &str) -> Refusal {
    let retry_after_ms = wait_ms.clamp(MIN_RETRY_AFTER_MS, MAX_RETRY_AFTER_MS);
    Refusal::not_run(Reason::Overloaded, message).retry_after_ms(retry_after_ms)
}
