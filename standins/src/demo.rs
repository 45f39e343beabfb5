//! The main job on loopback: a deployment of the tennis association's shape,
//! its configuration, real traffic, a report.

use std::io;
use std::path::Path;
use std::time::Duration;

use currantcove_standins::control::Seen;
use currantcove_standins::deployment::Deployment;
use currantcove_standins::load::{Callers, LoadPlan, LoadResult};
use currantcove_standins::shapes::{self, Shape};
use serde_json::json;

/// Loading models takes this many times less than in a real deployment.
const LOADING_SPEED: u32 = 10;
const READY_WITHIN: Duration = Duration::from_secs(40);

/// Runs the demonstration.
pub fn run(load_file: &Path) -> io::Result<()> {
    let load: LoadPlan = serde_json::from_slice(&std::fs::read(load_file)?)?;
    let shape = shapes::shape(&shapes::TENNIS, LOADING_SPEED);
    let runtime = compio::runtime::Runtime::new()?;
    runtime.block_on(async {
        let deployment = Deployment::start_whole(&shape).await?;
        let models = shape.models().len();
        println!(
            "{} entry hosts, {} engines, {models} models",
            deployment.hosts.len(),
            shape.plan.engines.len()
        );
        if !deployment.wait_models(models, READY_WITHIN).await {
            return Err(io::Error::other("not every model became ready in time"));
        }
        println!("every model is ready");
        let before = seen(&deployment).await?;
        let callers = Callers::new(deployment.caller_addrs(), load.seed);
        let result = callers.run(&load).await;
        let after = seen(&deployment).await?;
        report(&shape, result, &before, &after);
        Ok(())
    })
}

async fn seen(deployment: &Deployment) -> io::Result<Seen> {
    deployment
        .control
        .seen()
        .await
        .ok_or_else(|| io::Error::other("the stand-ins are gone"))
}

fn report(shape: &Shape, mut result: LoadResult, before: &Seen, after: &Seen) {
    let ms = |us: u64| us as f64 / 1000.0;
    let mut all = result.drafts.clone();
    all.add(&result.bookings);
    println!("drafts:   {:?}", result.drafts);
    println!("bookings: {:?}", result.bookings);
    for (name, times) in [
        ("first token", &mut result.first_token),
        ("token gap", &mut result.token_gap),
        ("booking", &mut result.booking),
    ] {
        let (p50, p95, p99) = (
            times.percentile_us(50.0),
            times.percentile_us(95.0),
            times.percentile_us(99.0),
        );
        println!(
            "{name:12} p50 {:.1} ms  p95 {:.1} ms  p99 {:.1} ms",
            ms(p50),
            ms(p95),
            ms(p99)
        );
    }
    println!(
        "loads and unloads at start: {}, under load: {}",
        before.moves(),
        after.moves() - before.moves()
    );
    println!("weight store over budget: {}", after.store_over_budget);
    println!("key-value service: {:?}", after.kv);
    let line = json!({
        "offered": all.offered,
        "answered": all.answered,
        "within_target": all.within_target,
        "unknown": all.unknown,
        "not_run": all.not_run,
        "moves": after.moves() - before.moves(),
        "violations": after.violations() + all.wrong,
        "accelerators": shape.accelerators(),
    });
    println!("{line}");
}
