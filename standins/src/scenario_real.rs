//! Stage of real processes on loopback.

use std::time::Duration;

use compio::runtime::Runtime;
use currantcove::core::ids::{UpstreamId, ZoneId};
use serde_json::Value;

use super::control::{Control, Seen};
use super::deployment::Deployment;
use super::engine::EngineFaults;
use super::kv::KvFaults;
use super::load::{Ask, Callers, Flow, LoadPlan, Phase};
use super::report::Counts;
use super::scenario::{Stage, unknown};
use super::shapes::{self, Shape, token};

const SEED: u64 = 11;
const TOKENS: u64 = 10;
const DEADLINE_MS: u64 = 10_000;
/// Loading models takes this many times less than in a real deployment.
const LOADING_SPEED: u32 = 20;
const READY_WITHIN: Duration = Duration::from_mins(1);

/// The stage.
pub struct RealStage {
    // Dropped before the runtime on which its connections live.
    fleet: Option<(Shape, Deployment)>,
    counts: Counts,
    rate_per_s: f64,
    runtime: Runtime,
}

impl RealStage {
    /// Empty stage.
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            fleet: None,
            counts: Counts::default(),
            rate_per_s: 0.0,
            runtime: Runtime::new()?,
        })
    }

    fn fleet(&mut self) -> Result<&mut (Shape, Deployment), String> {
        self.fleet
            .as_mut()
            .ok_or_else(|| "bring_up comes first".to_owned())
    }

    fn control(&mut self, control: &Control) -> Result<(), String> {
        let runtime = self.runtime.clone();
        let (_, deployment) = self.fleet()?;
        if runtime.block_on(deployment.control.apply(control)) {
            Ok(())
        } else {
            Err(format!("{control:?} failed"))
        }
    }

    fn seen(&mut self) -> Result<Seen, String> {
        let runtime = self.runtime.clone();
        let (_, deployment) = self.fleet()?;
        let seen = runtime.block_on(deployment.control.seen());
        seen.ok_or_else(|| "the stand-ins are gone".to_owned())
    }

    fn plan(&self, shape: &Shape, seconds: u64) -> LoadPlan {
        let teams = shape.teams.len() as f64;
        let flows = shape.teams.iter().map(|(team, config)| Flow {
            token: token(team),
            ask: Ask::Draft {
                models: config.models.keys().cloned().collect(),
                tokens: TOKENS,
                is_streamed: true,
                first_token_target_ms: 600,
                token_gap_target_ms: 56,
            },
            phases: vec![Phase {
                from_ms: 0,
                rate_per_s: self.rate_per_s / teams,
            }],
            deadline_ms: DEADLINE_MS,
        });
        LoadPlan {
            seed: SEED,
            duration_ms: seconds * 1000,
            flows: flows.collect(),
        }
    }

    fn unreachable_models(&mut self) -> Result<usize, String> {
        let seen = self.seen()?;
        let (shape, _) = self.fleet()?;
        let ready: std::collections::BTreeSet<&str> = seen
            .ready
            .values()
            .flatten()
            .map(currantcove::core::ids::ArtifactId::model)
            .collect();
        let models = shape.models();
        let is_missing =
            |(team, m): &&(String, String)| !ready.contains(format!("{team}/{m}").as_str());
        Ok(models.iter().filter(is_missing).count())
    }
}

impl Stage for RealStage {
    fn bring_up(&mut self, name: &str) -> Result<(), String> {
        let sizes = shapes::named(name).ok_or_else(|| unknown(name))?;
        let shape = shapes::shape(sizes, LOADING_SPEED);
        let models = shape.models().len();
        let deployment = self.runtime.block_on(async {
            let deployment = Deployment::start_whole(&shape)
                .await
                .map_err(|e| e.to_string())?;
            if deployment.wait_models(models, READY_WITHIN).await {
                Ok(deployment)
            } else {
                Err("not every model became ready".to_owned())
            }
        })?;
        self.fleet = Some((shape, deployment));
        Ok(())
    }

    fn load(&mut self, rate_per_s: f64) {
        self.rate_per_s = rate_per_s;
    }

    fn run(&mut self, seconds: u64) -> Result<(), String> {
        let runtime = self.runtime.clone();
        let shape = self.fleet()?.0.clone();
        let plan = self.plan(&shape, seconds);
        let (_, deployment) = self.fleet()?;
        let addrs = deployment.caller_addrs();
        let result = runtime.block_on(Callers::new(addrs, SEED).run(&plan));
        self.counts.add(&result.drafts);
        Ok(())
    }

    fn lose(&mut self, upstream: &str) -> Result<(), String> {
        let id = UpstreamId::new(upstream);
        let frozen = EngineFaults {
            is_frozen: true,
            ..EngineFaults::default()
        };
        self.control(&Control::Engine(id.clone(), frozen))?;
        self.control(&Control::ListUpstream(id, None))
    }

    fn slow(&mut self, upstream: &str, factor: u32) -> Result<(), String> {
        let faults = EngineFaults {
            slow_factor: factor,
            ..EngineFaults::default()
        };
        self.control(&Control::Engine(UpstreamId::new(upstream), faults))
    }

    fn platform(&mut self, is_up: bool) -> Result<(), String> {
        self.control(&Control::Kv(KvFaults {
            is_down: !is_up,
            ..KvFaults::default()
        }))
    }

    fn kill_host(&mut self, host: usize) -> Result<(), String> {
        let (_, deployment) = self.fleet()?;
        if host >= deployment.hosts.len() {
            return Err(unknown(&format!("host {host}")));
        }
        deployment.hosts.remove(host).process.kill();
        Ok(())
    }

    fn freeze_host(&mut self, host: usize, is_frozen: bool) -> Result<(), String> {
        let (_, deployment) = self.fleet()?;
        let found = deployment
            .hosts
            .get(host)
            .ok_or_else(|| unknown(&format!("host {host}")))?;
        let signal = if is_frozen { "STOP" } else { "CONT" };
        found.process.signal(signal).map_err(|e| e.to_string())
    }

    fn cut(&mut self, a: &str, b: &str, is_cut: bool) -> Result<(), String> {
        self.control(&Control::CutZones(ZoneId::new(a), ZoneId::new(b), is_cut))
    }

    fn figure(&mut self, name: &str) -> Result<f64, String> {
        let counts = serde_json::to_value(&self.counts).unwrap_or(Value::Null);
        if let Some(count) = counts.get(name).and_then(Value::as_f64) {
            return Ok(count);
        }
        let seen = self.seen()?;
        Ok(match name {
            "moves" => seen.moves() as f64,
            "overcommits" => seen.engines.values().map(|e| e.overcommits).sum::<u64>() as f64,
            "unreachable_models" => self.unreachable_models()? as f64,
            _ => return Err(unknown(&format!("figure {name:?}"))),
        })
    }
}
