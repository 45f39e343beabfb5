//! Measurements of whole processes on loopback.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use currantcove::edge::pool::Pool;
use currantcove_standins::client::{Caller, draft_body, read, read_whole};
use currantcove_standins::compare::{Row, run_row};
use currantcove_standins::deployment::Deployment;
use currantcove_standins::report::Times;
use currantcove_standins::shapes::{self, Shape, Sizes};
use http_body_util::Full;
use hyper::Request;
use hyper::header::{AUTHORIZATION, HOST};
use serde_json::{Value, json};

const READY_WITHIN: Duration = Duration::from_secs(30);
const LOOP_TIME: Duration = Duration::from_secs(5);
const SATURATING_CONNECTIONS: usize = 48;
/// Clock ticks of the kernel's accounting per second.
const TICKS_PER_S: f64 = 100.0;

/// Runs a measurement by name.
pub fn run(name: &str) -> io::Result<()> {
    let runtime = compio::runtime::Runtime::new()?;
    let line = match name {
        "edge" => runtime.block_on(edge())?,
        "streams" => runtime.block_on(streams())?,
        "memory" => runtime.block_on(memory())?,
        "control" => runtime.block_on(control())?,
        "policies" => policies()?,
        _ => return Err(io::Error::other(format!("no measurement {name:?}"))),
    };
    println!("{line}");
    Ok(())
}

/// One entry host before the small deployment's stand-ins.
fn one_host() -> Shape {
    let mut shape = shapes::shape(&shapes::SMALL, 20);
    shape.host_zones.truncate(1);
    // A path between zones would cost the stand-ins two more files a stream.
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

async fn start(shape: &Shape) -> io::Result<Deployment> {
    let deployment = Deployment::start_whole(shape).await?;
    let models = shape.models().len();
    if deployment.wait_models(models, READY_WITHIN).await {
        Ok(deployment)
    } else {
        Err(io::Error::other("not every model became ready"))
    }
}

/// Short request, straight to the stand-in or through an entry host.
#[derive(Clone, Debug)]
struct Target {
    addr: SocketAddr,
    path: &'static str,
}

impl Target {
    async fn ask(&self, pool: &Pool) -> bool {
        let request = Request::get(self.path)
            .header(HOST, "bench")
            .header(AUTHORIZATION, "Bearer token-of-red")
            .body(Full::<Bytes>::default())
            .unwrap_or_default();
        match pool.send(self.addr, request).await {
            Ok(response) if response.status() == 200 => read_whole(response).await.is_ok(),
            _ => false,
        }
    }
}

#[derive(Default)]
struct Outcome {
    times: RefCell<Times>,
    failed: Cell<u64>,
}

impl Outcome {
    async fn time(&self, target: &Target, pool: &Pool) {
        let started = Instant::now();
        if target.ask(pool).await {
            self.times
                .borrow_mut()
                .add(started.elapsed().as_micros() as u64);
        } else {
            self.failed.set(self.failed.get() + 1);
        }
    }
}

/// Asks as fast as answers come, over a number of connections.
async fn closed_loop(target: &Target, connections: usize, length: Duration) -> Outcome {
    let pool = Pool::default();
    let outcome = Outcome::default();
    let until = Instant::now() + length;
    let callers = (0..connections).map(|_| async {
        while Instant::now() < until {
            outcome.time(target, &pool).await;
        }
    });
    futures_util::future::join_all(callers).await;
    outcome
}

/// Asks at a fixed rate, whatever the answers take.
async fn open_loop(target: &Target, rate_per_s: f64, length: Duration) -> Outcome {
    let pool = Pool::default();
    let outcome = Rc::new(Outcome::default());
    let started = Instant::now();
    let mut sent = 0_u64;
    let mut asked = Vec::new();
    while started.elapsed() < length {
        let due = (started.elapsed().as_secs_f64() * rate_per_s) as u64;
        while sent < due {
            sent += 1;
            let (outcome, pool, target) = (Rc::clone(&outcome), pool.clone(), target.clone());
            asked.push(compio::runtime::spawn(async move {
                outcome.time(&target, &pool).await;
            }));
        }
        compio::time::sleep(Duration::from_micros(200)).await;
    }
    for task in asked {
        // A failed request is counted by its task.
        let _ = task.await;
    }
    Rc::try_unwrap(outcome).unwrap_or_default()
}

/// Processor time of a process so far.
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

/// Resident memory of a process in KiB.
fn resident_kib(pid: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    line.and_then(|l| l.split_whitespace().next()?.parse().ok())
        .unwrap_or(0)
}

/// Latency that an entry host adds, and requests it answers per core.
async fn edge() -> io::Result<String> {
    let deployment = start(&one_host()).await?;
    let direct = Target {
        addr: deployment.addrs.upstreams["booking-0"],
        path: "/echo",
    };
    let through = Target {
        addr: deployment.caller_addrs()[0],
        path: "/services/bookings/echo",
    };
    let pid = deployment.hosts[0].process.id();
    let cpu_before = cpu_s(pid);
    let full = closed_loop(&through, SATURATING_CONNECTIONS, LOOP_TIME).await;
    let cpu_used_s = cpu_s(pid) - cpu_before;
    let answered = full.times.borrow().len();
    let saturation_per_s = answered as f64 / LOOP_TIME.as_secs_f64();
    let half = saturation_per_s / 2.0;
    let added = open_loop(&through, half, LOOP_TIME).await;
    let plain = open_loop(&direct, half, LOOP_TIME).await;
    let p = |o: &Outcome, percent: f64| o.times.borrow_mut().percentile_us(percent);
    Ok(json!({
        "saturation_per_s": saturation_per_s.round(),
        "per_core_per_s": (answered as f64 / cpu_used_s).round(),
        "saturated_failed": full.failed.get(),
        "edge_failed": added.failed.get(),
        "direct_failed": plain.failed.get(),
        "rate_per_s": half.round(),
        "direct_p50_us": p(&plain, 50.0),
        "direct_p99_us": p(&plain, 99.0),
        "edge_p50_us": p(&added, 50.0),
        "edge_p99_us": p(&added, 99.0),
        "added_p50_us": p(&added, 50.0).saturating_sub(p(&plain, 50.0)),
        "added_p99_us": p(&added, 99.0).saturating_sub(p(&plain, 99.0)),
    })
    .to_string())
}

/// Many slow streams at once through one entry host.
async fn streams() -> io::Result<String> {
    const STREAMS: usize = 8_000;
    const TOKENS: u64 = 20;
    let mut shape = one_host();
    for engine in &mut shape.plan.engines {
        engine.max_batch = 16_384;
        engine.token_gap_us = 1_000_000;
        engine.token_gap_per_request_us = 0;
    }
    for (_, team) in &mut shape.teams {
        team.max_in_flight = 65_536;
    }
    let deployment = start(&shape).await?;
    let pid = deployment.hosts[0].process.id();
    let addr = deployment.caller_addrs()[0];
    let whole = Rc::new(Cell::new(0_usize));
    let cpu_before = cpu_s(pid);
    let started = Instant::now();
    let mut tasks = Vec::new();
    for i in 0..STREAMS {
        let whole = Rc::clone(&whole);
        tasks.push(compio::runtime::spawn(async move {
            let red = Caller::new("red");
            let body = draft_body("draft-0", &format!("w{i}"), TOKENS, true);
            let sent = red.send(addr, red.post("/v1/chat/completions"), body).await;
            if let Ok(response) = sent {
                let heard = read(response).await;
                whole.set(whole.get() + usize::from(heard.body.ends_with("data: [DONE]\n\n")));
            }
        }));
        if i % 20 == 0 {
            compio::time::sleep(Duration::from_millis(10)).await;
        }
    }
    let peak_kib = resident_kib(pid);
    for task in tasks {
        // A failed stream is not counted as whole.
        let _ = task.await;
    }
    let took_s = started.elapsed().as_secs_f64();
    let cpu_used_s = cpu_s(pid) - cpu_before;
    let tokens = (whole.get() as u64 * TOKENS) as f64;
    Ok(json!({
        "streams": STREAMS,
        "whole": whole.get(),
        "took_s": took_s,
        "cpu_s": cpu_used_s,
        "cores_used": cpu_used_s / took_s,
        "cpu_us_per_token": cpu_used_s * 1e6 / tokens.max(1.0),
        "resident_kib": peak_kib,
        "kib_per_stream": peak_kib as f64 / STREAMS as f64,
    })
    .to_string())
}

/// Memory of an entry host over a million requests.
async fn memory() -> io::Result<String> {
    const REQUESTS: usize = 1_000_000;
    const STEPS: usize = 10;
    let deployment = start(&one_host()).await?;
    let through = Target {
        addr: deployment.caller_addrs()[0],
        path: "/services/bookings/echo",
    };
    let pid = deployment.hosts[0].process.id();
    let mut asked = 0;
    let mut failed = 0;
    let mut samples_kib = Vec::new();
    while samples_kib.len() < STEPS {
        let outcome = closed_loop(&through, SATURATING_CONNECTIONS, Duration::from_secs(1)).await;
        asked += outcome.times.borrow().len();
        failed += outcome.failed.get();
        if asked >= REQUESTS * (samples_kib.len() + 1) / STEPS {
            samples_kib.push(resident_kib(pid));
        }
    }
    Ok(json!({ "requests": asked, "failed": failed, "resident_kib": samples_kib }).to_string())
}

/// What control costs idle entry hosts, at three sizes.
async fn control() -> io::Result<String> {
    let more_upstreams = Sizes {
        engines: 120,
        ..shapes::WIDE
    };
    let sizes = [shapes::TENNIS, shapes::WIDE, more_upstreams];
    let mut costs = Vec::new();
    for size in &sizes {
        let cost = control_at(size).await?;
        println!("{cost}");
        costs.push(cost);
    }
    Ok(json!({ "control": costs }).to_string())
}

async fn control_at(size: &Sizes) -> io::Result<Value> {
    const IDLE: Duration = Duration::from_secs(20);
    let deployment = start(&shapes::shape(size, 10)).await?;
    // Second copies are loaded before the idle time begins.
    compio::time::sleep(IDLE).await;
    let pids: Vec<u32> = deployment.hosts.iter().map(|h| h.process.id()).collect();
    let before: Vec<f64> = pids.iter().map(|&p| cpu_s(p)).collect();
    let seen = |s: Option<_>| s.ok_or_else(|| io::Error::other("the stand-ins are gone"));
    let kv_before = seen(deployment.control.seen().await)?.kv;
    let sent_before = peer_bytes(&deployment).await;
    compio::time::sleep(IDLE).await;
    let kv_after = seen(deployment.control.seen().await)?.kv;
    let sent_after = peer_bytes(&deployment).await;
    let used = pids.iter().zip(&before).map(|(&p, b)| cpu_s(p) - b);
    let hosts = pids.len() as f64;
    let idle_s = IDLE.as_secs_f64();
    let used_s: f64 = used.sum();
    Ok(json!({
        "hosts": pids.len(),
        "zones": size.zones.len(),
        "upstreams": deployment.addrs.upstreams.len(),
        "cpu_percent_per_host": used_s / hosts / idle_s * 100.0,
        "resident_kib": pids.iter().map(|&p| resident_kib(p)).max(),
        "peer_bytes_per_s_per_host": (sent_after - sent_before) / hosts / idle_s,
        "kv_reads_per_s": (kv_after.reads - kv_before.reads) as f64 / idle_s,
        "kv_writes_per_s": (kv_after.writes - kv_before.writes) as f64 / idle_s,
    }))
}

async fn peer_bytes(deployment: &Deployment) -> f64 {
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

/// All policies over all rows of the comparison, in virtual time.
fn policies() -> io::Result<String> {
    let rows: Vec<Row> = serde_json::from_slice(&std::fs::read("loads/policies.json")?)?;
    let mut scored = Vec::new();
    for row in &rows {
        for s in run_row(row) {
            println!(
                "| {} | {} | {:.2} % | {:.3} % | {} | {} | {} | {:.0} |",
                s.row,
                s.policy,
                s.attainment * 100.0,
                s.attainment_per_accelerator * 100.0,
                s.refused,
                s.moves,
                s.overcommits,
                s.unreachable_model_s,
            );
            scored.push(s);
        }
    }
    Ok(serde_json::to_string(&scored)?)
}
