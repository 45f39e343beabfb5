//! Runs scenarios on real processes on loopback.

use std::time::Duration;

use compio::runtime::Runtime;
use currantcove::core::ids::{UpstreamId, ZoneId};
use serde_json::Value;

use super::control::{ControlRequest, StandInStats};
use super::deployment::Deployment;
use super::engine::EngineFaults;
use super::kv::KvFaults;
use super::load::{Flow, LoadGenerator, LoadPlan, Phase, RequestSpec};
use super::report::Counts;
use super::scenario::{ScenarioBackend, unsupported};
use super::shapes::{self, Shape, bearer_token};

const SEED: u64 = 11;
const TOKENS: u64 = 10;
const DEADLINE_MS: u64 = 10_000;
/// Factor by which models load faster than in a real deployment.
const LOAD_SPEEDUP: u32 = 20;
const READY_TIMEOUT: Duration = Duration::from_mins(1);

/// Backend of scenarios on real processes.
pub struct ProcessBackend {
    // Declared first, so that it is dropped before the runtime of its connections.
    deployment: Option<(Shape, Deployment)>,
    counts: Counts,
    rate_per_s: f64,
    runtime: Runtime,
}

impl ProcessBackend {
    /// Backend without a deployment.
    pub fn new() -> std::io::Result<Self> {
        Ok(Self {
            deployment: None,
            counts: Counts::default(),
            rate_per_s: 0.0,
            runtime: Runtime::new()?,
        })
    }

    fn deployment(&mut self) -> Result<&mut (Shape, Deployment), String> {
        self.deployment
            .as_mut()
            .ok_or_else(|| "bring_up must be called first".to_owned())
    }

    fn apply_control(&mut self, control: &ControlRequest) -> Result<(), String> {
        let runtime = self.runtime.clone();
        let (_, deployment) = self.deployment()?;
        if runtime.block_on(deployment.control.apply(control)) {
            Ok(())
        } else {
            Err(format!("{control:?} failed"))
        }
    }

    fn fetch_stats(&mut self) -> Result<StandInStats, String> {
        let runtime = self.runtime.clone();
        let (_, deployment) = self.deployment()?;
        let stats = runtime.block_on(deployment.control.fetch_stats());
        stats.ok_or_else(|| "the stand-in process does not respond".to_owned())
    }

    fn load_plan(&self, shape: &Shape, seconds: u64) -> LoadPlan {
        let teams = shape.teams.len() as f64;
        let flows = shape.teams.iter().map(|(team, config)| Flow {
            token: bearer_token(team),
            request: RequestSpec::Draft {
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
        let stats = self.fetch_stats()?;
        let (shape, _) = self.deployment()?;
        let ready: std::collections::BTreeSet<&str> = stats
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

impl ScenarioBackend for ProcessBackend {
    fn bring_up(&mut self, name: &str) -> Result<(), String> {
        let sizes = shapes::sizes_by_name(name).ok_or_else(|| unsupported(name))?;
        let shape = shapes::build_shape(sizes, LOAD_SPEEDUP);
        let models = shape.models().len();
        let deployment = self.runtime.block_on(async {
            let deployment = Deployment::start_all(&shape)
                .await
                .map_err(|e| e.to_string())?;
            if deployment.wait_for_models(models, READY_TIMEOUT).await {
                Ok(deployment)
            } else {
                Err("not every model became ready".to_owned())
            }
        })?;
        self.deployment = Some((shape, deployment));
        Ok(())
    }

    fn load(&mut self, rate_per_s: f64) {
        self.rate_per_s = rate_per_s;
    }

    fn run(&mut self, seconds: u64) -> Result<(), String> {
        let runtime = self.runtime.clone();
        let shape = self.deployment()?.0.clone();
        let plan = self.load_plan(&shape, seconds);
        let (_, deployment) = self.deployment()?;
        let addrs = deployment.caller_addrs();
        let result = runtime.block_on(LoadGenerator::new(addrs, SEED).run(&plan));
        self.counts.add(&result.drafts);
        Ok(())
    }

    fn lose(&mut self, upstream: &str) -> Result<(), String> {
        let id = UpstreamId::new(upstream);
        let faults = EngineFaults {
            is_frozen: true,
            ..EngineFaults::default()
        };
        self.apply_control(&ControlRequest::Engine(id.clone(), faults))?;
        self.apply_control(&ControlRequest::ListUpstream(id, None))
    }

    fn slow(&mut self, upstream: &str, factor: u32) -> Result<(), String> {
        let faults = EngineFaults {
            slow_factor: factor,
            ..EngineFaults::default()
        };
        self.apply_control(&ControlRequest::Engine(UpstreamId::new(upstream), faults))
    }

    fn platform(&mut self, is_up: bool) -> Result<(), String> {
        self.apply_control(&ControlRequest::Kv(KvFaults {
            is_down: !is_up,
            ..KvFaults::default()
        }))
    }

    fn kill_host(&mut self, host: usize) -> Result<(), String> {
        let (_, deployment) = self.deployment()?;
        if host >= deployment.hosts.len() {
            return Err(unsupported(&format!("host {host}")));
        }
        deployment.hosts.remove(host).process.kill();
        Ok(())
    }

    fn freeze_host(&mut self, host: usize, is_frozen: bool) -> Result<(), String> {
        let (_, deployment) = self.deployment()?;
        let found = deployment
            .hosts
            .get(host)
            .ok_or_else(|| unsupported(&format!("host {host}")))?;
        let signal = if is_frozen { "STOP" } else { "CONT" };
        found.process.signal(signal).map_err(|e| e.to_string())
    }

    fn cut(&mut self, a: &str, b: &str, is_cut: bool) -> Result<(), String> {
        self.apply_control(&ControlRequest::CutZones(
            ZoneId::new(a),
            ZoneId::new(b),
            is_cut,
        ))
    }

    fn metric(&mut self, name: &str) -> Result<f64, String> {
        let counts = serde_json::to_value(&self.counts).unwrap_or(Value::Null);
        if let Some(count) = counts.get(name).and_then(Value::as_f64) {
            return Ok(count);
        }
        let stats = self.fetch_stats()?;
        Ok(match name {
            "moves" => stats.moves() as f64,
            "overcommits" => stats.engines.values().map(|e| e.overcommits).sum::<u64>() as f64,
            "unreachable_models" => self.unreachable_models()? as f64,
            _ => return Err(unsupported(&format!("metric {name:?}"))),
        })
    }
}
