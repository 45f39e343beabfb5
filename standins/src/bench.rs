//! Benchmarks of a deployment on loopback, and the comparison of policies.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use currantcove::edge::pool::Pool;
use currantcove_standins::client::{Caller, draft_body, read_body, read_response};
use currantcove_standins::compare::{Row, run_row};
use currantcove_standins::deployment::Deployment;
use currantcove_standins::report::Latencies;
use currantcove_standins::shapes::{self, Shape, Sizes};
use http_body_util::Full;
use hyper::Request;
use hyper::header::{AUTHORIZATION, HOST};
use serde_json::{Value, json};

const READY_TIMEOUT: Duration = Duration::from_secs(30);
const LOOP_DURATION: Duration = Duration::from_secs(5);
const SATURATING_CONNECTIONS: usize = 48;
/// Unit of the CPU times in `/proc/<pid>/stat`.
const TICKS_PER_S: f64 = 100.0;

/// Runs a benchmark by name; the last line on stdout is its result as JSON.
pub fn run(name: &str) -> io::Result<()> {
    let runtime = compio::runtime::Runtime::new()?;
    let line = match name {
        "edge" => runtime.block_on(bench_edge())?,
        "streams" => runtime.block_on(bench_streams())?,
        "memory" => runtime.block_on(bench_memory())?,
        "control" => runtime.block_on(bench_control())?,
        "policies" => bench_policies()?,
        _ => return Err(io::Error::other(format!("unknown benchmark {name:?}"))),
    };
    println!("{line}");
    Ok(())
}

/// Small deployment with a single entry host and all stand-ins in one zone.
fn single_host_shape() -> Shape {
    let mut shape = shapes::build_shape(&shapes::SMALL, 20);
    shape.host_zones.truncate(1);
    // Each stream between zones takes two more file descriptors in the
    // stand-in process, because it passes through a relay.
    let zone = shape.plan.engines[0].zone.clone();
    for engine in &mut shape.plan.engines {
        engine.zone = zone.clone();
    }
    for service in &mut shape.plan.services {
        service.zone = shape.plan.engines[0].zone.clone();
        service.max_batch = 4096;
    }
    shape
}

async fn start_deployment(shape: &Shape) -> io::Result<Deployment> {
    let deployment = Deployment::start_all(shape).await?;
    let models = shape.models().len();
    if deployment.wait_for_models(models, READY_TIMEOUT).await {
        Ok(deployment)
    } else {
        Err(io::Error::other("not every model became ready"))
    }
}

/// Address and path of a short request, sent directly to a stand-in or
/// through an entry host.
#[derive(Clone, Debug)]
struct Target {
    addr: SocketAddr,
    path: &'static str,
}

impl Target {
    async fn send_request(&self, pool: &Pool) -> bool {
        let request = Request::get(self.path)
            .header(HOST, "bench")
            .header(AUTHORIZATION, "Bearer token-of-red")
            .body(Full::<Bytes>::default())
            .unwrap_or_default();
        match pool.send(self.addr, request).await {
            Ok(response) if response.status() == 200 => read_body(response).await.is_ok(),
            _ => false,
        }
    }
}

#[derive(Default)]
struct LoopResult {
    latencies: RefCell<Latencies>,
    failed: Cell<u64>,
}

impl LoopResult {
    async fn measure(&self, target: &Target, pool: &Pool) {
        let started = Instant::now();
        if target.send_request(pool).await {
            self.latencies
                .borrow_mut()
                .add(started.elapsed().as_micros() as u64);
        } else {
            self.failed.set(self.failed.get() + 1);
        }
    }
}

/// Sends the next request of each connection as soon as the previous response
/// ends.
async fn closed_loop(target: &Target, connections: usize, duration: Duration) -> LoopResult {
    let pool = Pool::default();
    let result = LoopResult::default();
    let deadline = Instant::now() + duration;
    let connection_loops = (0..connections).map(|_| async {
        while Instant::now() < deadline {
            result.measure(target, &pool).await;
        }
    });
    futures_util::future::join_all(connection_loops).await;
    result
}

/// Sends requests at a fixed rate, independent of the response times.
async fn open_loop(target: &Target, rate_per_s: f64, duration: Duration) -> LoopResult {
    let pool = Pool::default();
    let result = Rc::new(LoopResult::default());
    let started = Instant::now();
    let mut sent = 0_u64;
    let mut tasks = Vec::new();
    while started.elapsed() < duration {
        let due = (started.elapsed().as_secs_f64() * rate_per_s) as u64;
        while sent < due {
            sent += 1;
            let (result, pool, target) = (Rc::clone(&result), pool.clone(), target.clone());
            tasks.push(compio::runtime::spawn(async move {
                result.measure(&target, &pool).await;
            }));
        }
        compio::time::sleep(Duration::from_micros(200)).await;
    }
    for task in tasks {
        // The task itself counts a failed request.
        let _ = task.await;
    }
    Rc::try_unwrap(result).unwrap_or_default()
}

/// CPU time of a process in seconds, user and system.
fn cpu_s(pid: u32) -> f64 {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let fields: Vec<&str> = stat
        .rsplit(')')
        .next()
        .unwrap_or("")
        .split_whitespace()
        .collect();
    let ticks = |i: usize| {
        fields
            .get(i)
            .and_then(|f| f.parse::<f64>().ok())
            .unwrap_or(0.0)
    };
    (ticks(11) + ticks(12)) / TICKS_PER_S
}

/// Resident memory of a process.
fn resident_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// Latency that an entry host adds to a request, and its throughput per core.
async fn bench_edge() -> io::Result<String> {
    let deployment = start_deployment(&single_host_shape()).await?;
    let direct = Target {
        addr: deployment.addrs.upstreams["booking-0"],
        path: "/echo",
    };
    let via_edge = Target {
        addr: deployment.caller_addrs()[0],
        path: "/services/bookings/echo",
    };
    let pid = deployment.hosts[0].process.id();
    let cpu_before = cpu_s(pid);
    let saturated = closed_loop(&via_edge, SATURATING_CONNECTIONS, LOOP_DURATION).await;
    let cpu_used_s = cpu_s(pid) - cpu_before;
    let response_count = saturated.latencies.borrow().len();
    let saturation_per_s = response_count as f64 / LOOP_DURATION.as_secs_f64();
    let rate_per_s = saturation_per_s / 2.0;
    let edge_result = open_loop(&via_edge, rate_per_s, LOOP_DURATION).await;
    let direct_result = open_loop(&direct, rate_per_s, LOOP_DURATION).await;
    let percentile_us =
        |r: &LoopResult, percent: f64| r.latencies.borrow_mut().percentile_us(percent);
    Ok(json!({
        "saturation_per_s": saturation_per_s.round(),
        "per_core_per_s": (response_count as f64 / cpu_used_s).round(),
        "saturated_failed": saturated.failed.get(),
        "edge_failed": edge_result.failed.get(),
        "direct_failed": direct_result.failed.get(),
        "rate_per_s": rate_per_s.round(),
        "direct_p50_us": percentile_us(&direct_result, 50.0),
        "direct_p99_us": percentile_us(&direct_result, 99.0),
        "edge_p50_us": percentile_us(&edge_result, 50.0),
        "edge_p99_us": percentile_us(&edge_result, 99.0),
        "added_p50_us": percentile_us(&edge_result, 50.0).saturating_sub(percentile_us(&direct_result, 50.0)),
        "added_p99_us": percentile_us(&edge_result, 99.0).saturating_sub(percentile_us(&direct_result, 99.0)),
    })
    .to_string())
}

/// CPU time and memory of an entry host that proxies many slow streams at once.
async fn bench_streams() -> io::Result<String> {
    const STREAMS: usize = 8_000;
    const TOKENS: u64 = 20;
    let mut shape = single_host_shape();
    for engine in &mut shape.plan.engines {
        engine.max_batch = 16_384;
        engine.token_gap_us = 1_000_000;
        engine.token_gap_per_request_us = 0;
    }
    for (_, team) in &mut shape.teams {
        team.max_in_flight = 65_536;
    }
    let deployment = start_deployment(&shape).await?;
    let pid = deployment.hosts[0].process.id();
    let addr = deployment.caller_addrs()[0];
    let completed = Rc::new(Cell::new(0_usize));
    let cpu_before = cpu_s(pid);
    let started = Instant::now();
    let mut tasks = Vec::new();
    for i in 0..STREAMS {
        let completed = Rc::clone(&completed);
        tasks.push(compio::runtime::spawn(async move {
            let red = Caller::new("red");
            let body = draft_body("draft-0", &format!("w{i}"), TOKENS, true);
            let result = red.send(addr, red.post("/v1/chat/completions"), body).await;
            if let Ok(response) = result {
                let received = read_response(response).await;
                completed.set(
                    completed.get() + usize::from(received.body.ends_with("data: [DONE]\n\n")),
                );
            }
        }));
        if i % 20 == 0 {
            compio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    let loaded_kib = resident_kib(pid);
    for task in tasks {
        // A failed stream is not counted as completed.
        let _ = task.await;
    }
    let elapsed_s = started.elapsed().as_secs_f64();
    let cpu_used_s = cpu_s(pid) - cpu_before;
    let tokens = (completed.get() as u64 * TOKENS) as f64;
    Ok(json!({
        "streams": STREAMS,
        "whole": completed.get(),
        "took_s": elapsed_s,
        "cpu_s": cpu_used_s,
        "cores_used": cpu_used_s / elapsed_s,
        "cpu_us_per_token": cpu_used_s * 1e6 / tokens.max(1.0),
        "resident_kib": loaded_kib,
        "kib_per_stream": loaded_kib as f64 / STREAMS as f64,
    })
    .to_string())
}

/// Resident memory of an entry host, sampled over a million requests.
async fn bench_memory() -> io::Result<String> {
    const REQUESTS: usize = 1_000_000;
    const STEPS: usize = 10;
    let deployment = start_deployment(&single_host_shape()).await?;
    let via_edge = Target {
        addr: deployment.caller_addrs()[0],
        path: "/services/bookings/echo",
    };
    let pid = deployment.hosts[0].process.id();
    let mut completed = 0;
    let mut failed = 0;
    let mut samples_kib = Vec::new();
    while samples_kib.len() < STEPS {
        let result = closed_loop(&via_edge, SATURATING_CONNECTIONS, Duration::from_secs(1)).await;
        completed += result.latencies.borrow().len();
        failed += result.failed.get();
        if completed >= REQUESTS * (samples_kib.len() + 1) / STEPS {
            samples_kib.push(resident_kib(pid));
        }
    }
    Ok(json!({ "requests": completed, "failed": failed, "resident_kib": samples_kib }).to_string())
}

/// CPU time, memory and traffic of idle entry hosts at three deployment sizes.
async fn bench_control() -> io::Result<String> {
    let more_upstreams = Sizes {
        engines: 120,
        ..shapes::WIDE
    };
    let sizes = [shapes::TENNIS, shapes::WIDE, more_upstreams];
    let mut costs = Vec::new();
    for size in &sizes {
        let cost = control_cost(size).await?;
        println!("{cost}");
        costs.push(cost);
    }
    Ok(json!({ "control": costs }).to_string())
}

async fn control_cost(size: &Sizes) -> io::Result<Value> {
    const IDLE_PERIOD: Duration = Duration::from_secs(20);
    let deployment = start_deployment(&shapes::build_shape(size, 10)).await?;
    // The second copy of each model is loaded before the measured period.
    compio::time::sleep(IDLE_PERIOD).await;
    let pids: Vec<u32> = deployment.hosts.iter().map(|h| h.process.id()).collect();
    let cpu_before: Vec<f64> = pids.iter().map(|&p| cpu_s(p)).collect();
    let require_stats =
        |s: Option<_>| s.ok_or_else(|| io::Error::other("the stand-in process does not respond"));
    let kv_before = require_stats(deployment.control.fetch_stats().await)?.kv;
    let sent_before = peer_sent_bytes(&deployment).await;
    compio::time::sleep(IDLE_PERIOD).await;
    let kv_after = require_stats(deployment.control.fetch_stats().await)?.kv;
    let sent_after = peer_sent_bytes(&deployment).await;
    let cpu_used = pids.iter().zip(&cpu_before).map(|(&p, b)| cpu_s(p) - b);
    let hosts = pids.len() as f64;
    let idle_s = IDLE_PERIOD.as_secs_f64();
    let cpu_used_s: f64 = cpu_used.sum();
    Ok(json!({
        "hosts": pids.len(),
        "zones": size.zones.len(),
        "upstreams": deployment.addrs.upstreams.len(),
        "cpu_percent_per_host": cpu_used_s / hosts / idle_s * 100.0,
        "resident_kib": pids.iter().map(|&p| resident_kib(p)).max(),
        "peer_bytes_per_s_per_host": (sent_after - sent_before) / hosts / idle_s,
        "kv_reads_per_s": (kv_after.reads - kv_before.reads) as f64 / idle_s,
        "kv_writes_per_s": (kv_after.writes - kv_before.writes) as f64 / idle_s,
    }))
}

async fn peer_sent_bytes(deployment: &Deployment) -> f64 {
    let mut total = 0.0;
    for i in 0..deployment.hosts.len() {
        let metrics = deployment.metrics(i).await.unwrap_or_default();
        let line = metrics
            .lines()
            .find(|l| l.starts_with("currantcove_peer_sent_bytes_total"));
        let value = line.and_then(|l| l.split_whitespace().last()?.parse::<f64>().ok());
        total += value.unwrap_or(0.0);
    }
    total
}

/// Compares all policies over all rows of `loads/policies.json` in virtual
/// time, and prints the rows of a Markdown table.
fn bench_policies() -> io::Result<String> {
    let rows: Vec<Row> = serde_json::from_slice(&std::fs::read("loads/policies.json")?)?;
    let mut results = Vec::new();
    for row in &rows {
        for r in run_row(row) {
            println!(
                "| {} | {} | {:.2} % | {:.3} % | {} | {} | {} | {:.0} |",
                r.row,
                r.policy,
                r.attainment * 100.0,
                r.attainment_per_accelerator * 100.0,
                r.refused,
                r.moves,
                r.overcommits,
                r.unreachable_model_s,
            );
            results.push(r);
        }
    }
    Ok(serde_json::to_string(&results)?)
}
