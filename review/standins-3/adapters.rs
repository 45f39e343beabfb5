//! Engines send late second answers while adapters are replaced that are in use.

use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::caller;
use crate::fleet::{self, Host, Process, free_port, spawn_server, wait_until};
use crate::json::{Json, num, obj, text};
use crate::store::Store;

const ENGINES: usize = 4;
const ADAPTERS: u64 = 42;
const ADAPTER_SLOTS: u64 = 8;
const EVENTS: u64 = 57;
const TIMEOUT_MS: u64 = 15_000;
const INTERVAL: Duration = Duration::from_millis(30);
const DURATION: Duration = Duration::from_secs(65);

fn engine_service() -> Json {
    let model = obj(vec![
        ("name", text("m1")),
        ("weights_mb", num(65_100)),
        ("load_s", num(9)),
        ("adapters", num(ADAPTERS)),
        ("adapter_mb", num(12)),
        ("warm_s", Json::Num(0.76)),
        ("disk_s", num(2)),
    ]);
    let engine = obj(vec![
        ("slots", num(64)),
        ("kv_capacity", num(120_662)),
        ("stride", num(3)),
        ("weights_mb", num(220_000)),
        ("adapter_slots", num(ADAPTER_SLOTS)),
        ("loads_per_s", Json::Num(1.1)),
        ("models", Json::Arr(vec![model])),
    ]);
    obj(vec![
        ("name", text("redattore")),
        ("health_path", text("/healthz")),
        ("max_connections", num(360)),
        ("protocol", text("h1")),
        ("tls", Json::Bool(false)),
        ("engine", engine),
    ])
}

pub fn run() -> i32 {
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let program = std::env::var("HOST_PROGRAM").unwrap_or_else(|_| "target/release/currantcove-host".to_owned());
    let record_file = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    let folder = PathBuf::from(std::env::var("FOLDER").unwrap_or_else(|_| "/tmp".to_owned()));
    let per_mille = std::env::var("EXTRA_PER_MILLE").unwrap_or_else(|_| "30".to_owned());
    let runs = folder.join("runs");
    let store = Store::start();
    let routes = vec![fleet::route("stream", "stream", "redattore", TIMEOUT_MS, 1, false)];
    store.put("op/config", &fleet::config(7, routes, vec![engine_service()]).to_string());
    let zones = ["milano-a", "milano-b", "verona-c"];
    let server_door = store.open_door();
    let mut engines: Vec<Process> = (0..ENGINES)
        .map(|index| {
            // Half of the engines are faulty.
            let extra = if is_troubled && index % 2 == 0 { per_mille.clone() } else { "0".to_owned() };
            spawn_server(&[
                ("engine", "1".to_owned()),
                ("id", format!("i-{index}")),
                ("service", "redattore".to_owned()),
                ("zone", zones[index % 3].to_owned()),
                ("port", free_port().to_string()),
                ("adapter_slots", ADAPTER_SLOTS.to_string()),
                ("held", ADAPTER_SLOTS.to_string()),
                ("seed", (index + 1 + std::process::id() as usize).to_string()),
                ("extra_per_mille", extra),
                ("record", runs.display().to_string()),
                ("store", server_door.addr.to_string()),
            ])
        })
        .collect();
    let hosts: Vec<Host> = (0..3)
        .map(|index| {
            let door = store.open_door();
            Host::start(&program, &folder, &format!("h-{index}"), zones[index % 3], door.addr)
        })
        .collect();
    if !wait_until(Duration::from_secs(15), || hosts.iter().all(Host::is_ready)) {
        std::fs::write(&record_file, "the hosts did not become ready\n").ok();
        return 2;
    }
    std::thread::sleep(Duration::from_secs(3));
    let began = Instant::now();
    let counts: Arc<Mutex<(u32, u32, u32)>> = Arc::default();
    let mut draw: u64 = u64::from(std::process::id());
    let mut number = 0_usize;
    let mut callers = Vec::new();
    let mut crashed = 0;
    while began.elapsed() < DURATION && crashed == 0 {
        draw = draw.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        let adapter = 1 + (draw >> 33) % ADAPTERS;
        let addr = hosts[number % hosts.len()].caller;
        let counts = Arc::clone(&counts);
        callers.push(std::thread::spawn(move || {
            let deadline = Instant::now() + Duration::from_millis(TIMEOUT_MS);
            let headers = format!(
                "model: m1/a{adapter}\r\ntoken-usage: 490,171\r\nprompt-prefix: {:x}:93,{number:x}:397\r\n",
                adapter + 1_000
            );
            let t = caller::stream_with(addr, &format!("s{number}"), EVENTS, None, deadline, &headers);
            let mut counts = counts.lock().unwrap();
            match (t.status, t.is_whole) {
                (200, true) => counts.0 += 1,
                (200, false) => counts.1 += 1,
                _ => counts.2 += 1,
            }
        }));
        number += 1;
        std::thread::sleep(INTERVAL);
        crashed = engines.iter_mut().map(|e| u32::from(!e.is_running())).sum();
    }
    let crashed_after = began.elapsed();
    for caller in callers {
        let _ = caller.join();
    }
    let ran = std::fs::read_to_string(&runs).unwrap_or_default();
    let count = |what: &str| ran.lines().filter(|l| l.contains(what)).count();
    let counts = *counts.lock().unwrap();
    let summary = format!(
        "requests {number}: whole {}, broken off {}, refused or failed {}; orders to load {}, to unload an adapter in use {}, \
         extra answers {}; engines that crashed since they were ordered to load more than adapter_slots hold: {crashed}, after {:.1} s",
        counts.0,
        counts.1,
        counts.2,
        count(" 202") - ran.lines().filter(|l| l.contains("order unload") && l.ends_with(" 202")).count(),
        ran.lines().filter(|l| l.contains("order unload") && l.ends_with(" 202")).count(),
        count("extra answer"),
        crashed_after.as_secs_f64()
    );
    std::fs::write(&record_file, format!("{summary}\n{ran}")).ok();
    println!("{summary}");
    i32::from(crashed > 0)
}
