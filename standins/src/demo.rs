//! Demonstration on loopback: starts the tennis association's deployment,
//! offers a load from a file and prints a report.

use std::io;
use std::path::Path;
use std::time::Duration;

use currantcove_standins::control::StandInStats;
use currantcove_standins::deployment::Deployment;
use currantcove_standins::load::{LoadGenerator, LoadPlan, LoadResult};
use currantcove_standins::shapes::{self, Shape};
use serde_json::json;

/// Factor by which models load faster than in a real deployment.
const LOAD_SPEEDUP: u32 = 10;
const READY_TIMEOUT: Duration = Duration::from_secs(40);

/// Runs the demonstration; the last line on stdout is a JSON summary.
pub fn run(load_file: &Path) -> io::Result<()> {
    let load: LoadPlan = serde_json::from_slice(&std::fs::read(load_file)?)?;
    let shape = shapes::build_shape(&shapes::TENNIS, LOAD_SPEEDUP);
    let runtime = compio::runtime::Runtime::new()?;
    runtime.block_on(async {
        let deployment = Deployment::start_all(&shape).await?;
        let models = shape.models().len();
        println!(
            "{} entry hosts, {} engines, {models} models",
            deployment.hosts.len(),
            shape.plan.engines.len()
        );
        if !deployment.wait_for_models(models, READY_TIMEOUT).await {
            return Err(io::Error::other("not every model became ready in time"));
        }
        println!("every model is ready");
        let before = fetch_stats(&deployment).await?;
        let generator = LoadGenerator::new(deployment.caller_addrs(), load.seed);
        let result = generator.run(&load).await;
        let after = fetch_stats(&deployment).await?;
        print_report(&shape, result, &before, &after);
        Ok(())
    })
}

async fn fetch_stats(deployment: &Deployment) -> io::Result<StandInStats> {
    deployment
        .control
        .fetch_stats()
        .await
        .ok_or_else(|| io::Error::other("the stand-in process does not respond"))
}

fn print_report(
    shape: &Shape,
    mut result: LoadResult,
    before: &StandInStats,
    after: &StandInStats,
) {
    let ms = |us: u64| us as f64 / 1000.0;
    let mut total = result.drafts.clone();
    total.add(&result.bookings);
    println!("drafts:   {:?}", result.drafts);
    println!("bookings: {:?}", result.bookings);
    for (name, latencies) in [
        ("first token", &mut result.first_token),
        ("token gap", &mut result.token_gap),
        ("booking", &mut result.booking),
    ] {
        let (p50, p95, p99) = (
            latencies.percentile_us(50.0),
            latencies.percentile_us(95.0),
            latencies.percentile_us(99.0),
        );
        println!(
            "{name:12} p50 {:.1} ms  p95 {:.1} ms  p99 {:.1} ms",
            ms(p50),
            ms(p95),
            ms(p99)
        );
    }
    println!(
        "model loads and unloads at start: {}, under load: {}",
        before.moves(),
        after.moves() - before.moves()
    );
    println!("weight store over budget: {}", after.store_over_budget);
    println!("key-value service: {:?}", after.kv);
    let line = json!({
        "offered": total.offered,
        "answered": total.answered,
        "within_target": total.within_target,
        "unknown": total.unknown,
        "not_run": total.not_run,
        "moves": after.moves() - before.moves(),
        "violations": after.violations() + total.wrong,
        "accelerators": shape.accelerators(),
    });
    println!("{line}");
}
