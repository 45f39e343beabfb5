//! Stage in virtual time: the decision core before fake engines.

use super::compare::{Row, WARM_UP_MS, Which, World, arrivals};
use super::fake_engines::{LatencyTargets, Request};
use super::load::Phase;
use super::policy::Core;
use super::scenario::{Stage, unknown};
use super::shapes::{self, Shape};

const SEED: u64 = 11;
const TOKENS: u32 = 100;
const SKEW: f64 = 0.8;
const TARGETS: LatencyTargets = LatencyTargets {
    first_token_ms: 600,
    token_gap_ms: 56.0,
};

/// The stage.
#[derive(Debug, Default)]
pub struct VirtualStage {
    fleet: Option<(Shape, World, Core)>,
    rate_per_s: f64,
    runs: u64,
}

impl VirtualStage {
    fn fleet(&mut self) -> Result<&mut (Shape, World, Core), String> {
        self.fleet
            .as_mut()
            .ok_or_else(|| "bring_up comes first".to_owned())
    }

    fn engine(&mut self, id: &str) -> Result<usize, String> {
        let (_, world, _) = self.fleet()?;
        let found = world.engines.iter().position(|e| e.plan.id.as_str() == id);
        found.ok_or_else(|| unknown(&format!("upstream {id:?}")))
    }

    fn requests(&self, models: usize, from_ms: u64, seconds: u64) -> Vec<Request> {
        let row = Row {
            name: String::new(),
            deployment: Which::Tennis,
            seed: SEED + self.runs,
            duration_ms: seconds * 1000,
            phases: vec![Phase {
                from_ms: 0,
                rate_per_s: self.rate_per_s,
            }],
            skew: SKEW,
            hot: None,
            turn: 0,
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

impl Stage for VirtualStage {
    fn bring_up(&mut self, name: &str) -> Result<(), String> {
        let sizes = shapes::named(name).ok_or_else(|| unknown(name))?;
        let shape = shapes::shape(sizes, 1);
        let mut world = World::new(&shape, None);
        let models = shape.models().len();
        let first_token_ms = TARGETS.first_token_ms;
        let fleet = shape.fleet.clone();
        let mut core = Core::new(
            &shape.host_zones,
            &world.engines,
            models,
            fleet,
            first_token_ms,
            SEED,
        );
        world.advance(&mut core, &[], &TARGETS, WARM_UP_MS);
        self.fleet = Some((shape, world, core));
        Ok(())
    }

    fn load(&mut self, rate_per_s: f64) {
        self.rate_per_s = rate_per_s;
    }

    fn run(&mut self, seconds: u64) -> Result<(), String> {
        self.runs += 1;
        let (shape, world, _) = self.fleet()?;
        let (models, from_ms) = (shape.models().len(), world.now_ms);
        let requests = self.requests(models, from_ms, seconds);
        let (_, world, core) = self.fleet()?;
        world.advance(core, &requests, &TARGETS, from_ms + seconds * 1000);
        Ok(())
    }

    fn lose(&mut self, upstream: &str) -> Result<(), String> {
        let e = self.engine(upstream)?;
        let (_, world, _) = self.fleet()?;
        world.tally.lost += world.engines[e].fail();
        Ok(())
    }

    fn slow(&mut self, upstream: &str, factor: u32) -> Result<(), String> {
        let e = self.engine(upstream)?;
        self.fleet()?.1.engines[e].slow_factor = f64::from(factor.max(1));
        Ok(())
    }

    fn platform(&mut self, is_up: bool) -> Result<(), String> {
        self.fleet()?.1.is_platform_up = is_up;
        Ok(())
    }

    fn kill_host(&mut self, _host: usize) -> Result<(), String> {
        Err(unknown("kill_host"))
    }

    fn freeze_host(&mut self, _host: usize, _is_frozen: bool) -> Result<(), String> {
        Err(unknown("freeze_host"))
    }

    fn cut(&mut self, _a: &str, _b: &str, _is_cut: bool) -> Result<(), String> {
        Err(unknown("cut"))
    }

    fn figure(&mut self, name: &str) -> Result<f64, String> {
        let (_, world, _) = self.fleet()?;
        let tally = &world.tally;
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
            "unreachable_models" => world.unreachable_models() as f64,
            _ => return Err(unknown(&format!("figure {name:?}"))),
        })
    }
}
