//! Runs scenarios in virtual time, with the decision core and simulated
//! engines.

use super::compare::{DeploymentName, Row, VirtualFleet, WARM_UP_MS, arrivals};
use super::fake_engines::{LatencyTargets, Request};
use super::load::Phase;
use super::policy::CorePolicy;
use super::scenario::{ScenarioBackend, unsupported};
use super::shapes::{self, Shape};

const SEED: u64 = 11;
const TOKENS: u32 = 100;
const SKEW: f64 = 0.8;
const TARGETS: LatencyTargets = LatencyTargets {
    first_token_ms: 600,
    token_gap_ms: 56.0,
};

/// Backend of scenarios in virtual time.
#[derive(Debug, Default)]
pub struct VirtualBackend {
    fleet: Option<(Shape, VirtualFleet, CorePolicy)>,
    rate_per_s: f64,
    runs: u64,
}

impl VirtualBackend {
    fn fleet(&mut self) -> Result<&mut (Shape, VirtualFleet, CorePolicy), String> {
        self.fleet
            .as_mut()
            .ok_or_else(|| "bring_up must be called first".to_owned())
    }

    fn engine_position(&mut self, id: &str) -> Result<usize, String> {
        let (_, virtual_fleet, _) = self.fleet()?;
        let found = virtual_fleet
            .engines
            .iter()
            .position(|e| e.plan.id.as_str() == id);
        found.ok_or_else(|| unsupported(&format!("upstream {id:?}")))
    }

    fn requests(&self, models: usize, from_ms: u64, seconds: u64) -> Vec<Request> {
        let row = Row {
            name: String::new(),
            deployment: DeploymentName::Tennis,
            seed: SEED + self.runs,
            duration_ms: seconds * 1000,
            phases: vec![Phase {
                from_ms: 0,
                rate_per_s: self.rate_per_s,
            }],
            skew: SKEW,
            hot: None,
            rank_rotation: 0,
            tokens: TOKENS,
            fault: None,
        };
        let shift = |r: Request| Request {
            at_ms: r.at_ms - WARM_UP_MS + from_ms,
            ..r
        };
        arrivals(&row, models).into_iter().map(shift).collect()
    }
}

impl ScenarioBackend for VirtualBackend {
    fn bring_up(&mut self, name: &str) -> Result<(), String> {
        let sizes = shapes::sizes_by_name(name).ok_or_else(|| unsupported(name))?;
        let shape = shapes::build_shape(sizes, 1);
        let mut virtual_fleet = VirtualFleet::new(&shape, None);
        let models = shape.models().len();
        let first_token_ms = TARGETS.first_token_ms;
        let fleet_config = shape.fleet.clone();
        let mut core_policy = CorePolicy::new(
            &shape.host_zones,
            &virtual_fleet.engines,
            models,
            fleet_config,
            first_token_ms,
            SEED,
        );
        virtual_fleet.advance(&mut core_policy, &[], &TARGETS, WARM_UP_MS);
        self.fleet = Some((shape, virtual_fleet, core_policy));
        Ok(())
    }

    fn load(&mut self, rate_per_s: f64) {
        self.rate_per_s = rate_per_s;
    }

    fn run(&mut self, seconds: u64) -> Result<(), String> {
        self.runs += 1;
        let (shape, virtual_fleet, _) = self.fleet()?;
        let (models, from_ms) = (shape.models().len(), virtual_fleet.now_ms);
        let requests = self.requests(models, from_ms, seconds);
        let (_, virtual_fleet, core_policy) = self.fleet()?;
        virtual_fleet.advance(core_policy, &requests, &TARGETS, from_ms + seconds * 1000);
        Ok(())
    }

    fn lose(&mut self, upstream: &str) -> Result<(), String> {
        let e = self.engine_position(upstream)?;
        let (_, virtual_fleet, _) = self.fleet()?;
        virtual_fleet.tally.lost += virtual_fleet.engines[e].fail();
        Ok(())
    }

    fn slow(&mut self, upstream: &str, factor: u32) -> Result<(), String> {
        let e = self.engine_position(upstream)?;
        self.fleet()?.1.engines[e].slow_factor = f64::from(factor.max(1));
        Ok(())
    }

    fn platform(&mut self, is_up: bool) -> Result<(), String> {
        self.fleet()?.1.is_platform_up = is_up;
        Ok(())
    }

    fn kill_host(&mut self, _host: usize) -> Result<(), String> {
        Err(unsupported("kill_host"))
    }

    fn freeze_host(&mut self, _host: usize, _is_frozen: bool) -> Result<(), String> {
        Err(unsupported("freeze_host"))
    }

    fn cut(&mut self, _a: &str, _b: &str, _is_cut: bool) -> Result<(), String> {
        Err(unsupported("cut"))
    }

    fn metric(&mut self, name: &str) -> Result<f64, String> {
        let (_, virtual_fleet, _) = self.fleet()?;
        let tally = &virtual_fleet.tally;
        Ok(match name {
            "offered" => tally.offered as f64,
            "answered" => tally.answered as f64,
            "attainment_percent" => {
                tally.within_target as f64 * 100.0 / tally.offered.max(1) as f64
            }
            "lost" => tally.lost as f64,
            "moves" => tally.moves as f64,
            "overcommits" => tally.overcommits as f64,
            "wrong" => 0.0,
            "unreachable_models" => virtual_fleet.unreachable_models() as f64,
            _ => return Err(unsupported(&format!("metric {name:?}"))),
        })
    }
}
