//! A server crashes while servers of two software versions serve, and clients take up the
//! streams that it was sending.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::caller::{self, Try};
use crate::fleet::{self, Host, Process, free_port, spawn_server, wait_until};
use crate::store::Store;

const VERSIONS: [&str; 4] = ["v1", "v1", "v1", "v2"];
const EVENTS: u64 = 57;
const TIMEOUT_MS: u64 = 8_000;
const INTERVAL: Duration = Duration::from_millis(25);
const DURATION: Duration = Duration::from_secs(14);
const CRASH_AT: Duration = Duration::from_secs(8);

pub fn run() -> i32 {
    let is_troubled = std::env::var("TROUBLE").as_deref() != Ok("0");
    let program = std::env::var("HOST_PROGRAM").unwrap_or_else(|_| "target/release/currantcove-host".to_owned());
    let record_file = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".to_owned());
    let folder = PathBuf::from(std::env::var("FOLDER").unwrap_or_else(|_| "/tmp".to_owned()));
    let runs = folder.join("runs");
    let store = Store::start();
    let routes = vec![fleet::route("stream", "stream", "registro", TIMEOUT_MS, 2, true)];
    store.put("op/config", &fleet::config(7, routes, vec![fleet::plain_service("registro")]).to_string());
    let zones = ["milano-a", "milano-b", "verona-c"];
    let server_door = store.open_door();
    let mut servers: Vec<Process> = (0..VERSIONS.len())
        .map(|index| {
            spawn_server(&[
                ("id", format!("i-{index}")),
                ("service", "registro".to_owned()),
                ("zone", zones[index % 3].to_owned()),
                ("version", VERSIONS[index].to_owned()),
                ("port", free_port().to_string()),
                ("slots", "60".to_owned()),
                ("gap_ms", "28".to_owned()),
                ("record", runs.display().to_string()),
                ("store", server_door.addr.to_string()),
            ])
        })
        .collect();
    let hosts: Vec<Host> = (0..4)
        .map(|index| {
            let door = store.open_door();
            Host::start(&program, &folder, &format!("h-{index}"), zones[index % 3], door.addr)
        })
        .collect();
    if !wait_until(Duration::from_secs(15), || hosts.iter().all(Host::is_ready)) {
        std::fs::write(&record_file, "the hosts did not become ready\n").ok();
        return 2;
    }
    std::thread::sleep(Duration::from_secs(4));
    let began = Instant::now();
    let tries: Arc<Mutex<Vec<(usize, u128, Try)>>> = Arc::default();
    let has_crashed = Arc::new(AtomicBool::new(false));
    let mut callers = Vec::new();
    let mut number = 0;
    while began.elapsed() < DURATION {
        if is_troubled && began.elapsed() >= CRASH_AT && !has_crashed.swap(true, Ordering::Relaxed) {
            servers.remove(0);
            println!("i-0 (v1) crashes");
        }
        let addrs: Vec<_> = (0..2).map(|n| hosts[(number + n) % hosts.len()].caller).collect();
        let tries = Arc::clone(&tries);
        callers.push(std::thread::spawn(move || {
            let deadline = Instant::now() + Duration::from_millis(TIMEOUT_MS);
            let first_id = format!("s{number}.0");
            let first = caller::stream(addrs[0], &first_id, EVENTS, None, deadline);
            tries.lock().unwrap().push((number, began.elapsed().as_millis(), first.clone()));
            let Some((last, _)) = first.events.last().filter(|_| !first.is_whole) else { return };
            std::thread::sleep(Duration::from_millis(50));
            let resumes = Some((first_id.as_str(), *last));
            let second = caller::stream(addrs[1], &format!("s{number}.1"), EVENTS, resumes, deadline);
            tries.lock().unwrap().push((number, began.elapsed().as_millis(), second));
        }));
        number += 1;
        std::thread::sleep(INTERVAL);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let mut tries = tries.lock().unwrap().clone();
    tries.sort_by_key(|(number, _, t)| (*number, t.request_id.clone()));
    let (mut new, mut begun, mut taken_up, mut gone_on) = (0, 0, 0, 0);
    let mut statuses: BTreeMap<u16, u32> = BTreeMap::new();
    let mut record = String::new();
    for (_, at_ms, t) in &tries {
        let is_new = t.request_id.ends_with(".0");
        let is_running = !t.events.is_empty();
        if is_new {
            new += 1;
            begun += u32::from(is_running);
        } else {
            taken_up += 1;
            gone_on += u32::from(is_running);
            *statuses.entry(t.status).or_default() += 1;
        }
        if !is_new || !t.is_whole {
            let senders: Vec<&str> = t.events.first().map(|(_, d)| d.split(" piece").next().unwrap_or("")).into_iter().collect();
            let _ = writeln!(
                record,
                "{} until {at_ms} ms status {} after {} events {} of {senders:?} whole {}",
                t.request_id, t.status, t.after, t.events.len(), t.is_whole
            );
        }
    }
    let share = |n: u32, of: u32| f64::from(n) / f64::from(of.max(1));
    let (new_share, up_share) = (share(begun, new), share(gone_on, taken_up));
    let summary = format!(
        "new streams {new}, begun {begun} ({new_share:.2}); taken up {taken_up}, gone on {gone_on} ({up_share:.2}); statuses of those taken up {statuses:?}"
    );
    let ran = std::fs::read_to_string(&runs).unwrap_or_default();
    std::fs::write(&record_file, format!("{summary}\n{record}{ran}")).ok();
    println!("{summary}");
    if is_troubled && taken_up < 12 {
        return 2;
    }
    i32::from(taken_up >= 12 && up_share < new_share / 2.0)
}
