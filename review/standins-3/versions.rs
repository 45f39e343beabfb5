//! A server that is partitioned from the store starts again with another software version,
//! and the streams that it begins there break off.

use std::collections::BTreeSet;
use std::fmt::Write;
use std::path::PathBuf;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::caller::{self, Try};
use crate::fleet::{self, Host, Process, free_port, spawn_server, wait_until};
use crate::store::Store;

const STREAMS: usize = 30;
const EVENTS: u64 = 100;
const TIMEOUT_MS: u64 = 8_000;

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
    let start_server = |index: usize, port: u16, version: &str, is_cut: bool| -> Process {
        let store = if is_cut { "none".to_owned() } else { server_door.addr.to_string() };
        spawn_server(&[
            ("id", format!("i-{index}")),
            ("service", "registro".to_owned()),
            ("zone", zones[index].to_owned()),
            ("version", version.to_owned()),
            ("port", port.to_string()),
            ("slots", "60".to_owned()),
            ("record", runs.display().to_string()),
            ("store", store),
        ])
    };
    let ports = [free_port(), free_port(), free_port()];
    let mut servers: Vec<Process> =
        (0..3).map(|index| start_server(index, ports[index], "v1", false)).collect();
    let hosts: Vec<Host> = (0..4)
        .map(|index| {
            let door = store.open_door();
            Host::start(&program, &folder, &format!("h-{index}"), zones[index % 3], door.addr)
        })
        .collect();
    let mut record = String::new();
    if !wait_until(Duration::from_secs(15), || hosts.iter().all(Host::is_ready)) {
        std::fs::write(&record_file, "the hosts did not become ready\n").ok();
        return 2;
    }
    // Longer than a stream can last on this route.
    std::thread::sleep(Duration::from_millis(TIMEOUT_MS + 4_000));
    let began = Instant::now();
    let note = |record: &mut String, what: &str| {
        let _ = writeln!(record, "{:>6} ms  {what}", began.elapsed().as_millis());
    };
    if is_troubled {
        note(&mut record, "i-2 is partitioned from the store, crashes and starts again as v2");
        servers.remove(2);
        std::thread::sleep(Duration::from_millis(200));
        servers.push(start_server(2, ports[2], "v2", true));
        std::thread::sleep(Duration::from_millis(300));
    }
    let tries: Arc<Mutex<Vec<(usize, Try)>>> = Arc::default();
    let callers: Vec<_> = (0..STREAMS)
        .map(|number| {
            let addrs: Vec<_> = (0..2).map(|n| hosts[(number + n) % hosts.len()].caller).collect();
            let tries = Arc::clone(&tries);
            std::thread::spawn(move || {
                let deadline = Instant::now() + Duration::from_millis(TIMEOUT_MS);
                let first_id = format!("s{number}.0");
                let first = caller::stream(addrs[0], &first_id, EVENTS, None, deadline);
                tries.lock().unwrap().push((number, first.clone()));
                let Some((last, _)) = first.events.last().filter(|_| !first.is_whole) else { return };
                std::thread::sleep(Duration::from_millis(20));
                let resumes = Some((first_id.as_str(), *last));
                let second = caller::stream(addrs[1], &format!("s{number}.1"), EVENTS, resumes, deadline);
                tries.lock().unwrap().push((number, second));
            })
        })
        .collect();
    if is_troubled {
        std::thread::sleep(Duration::from_millis(800));
        note(&mut record, "i-2 crashes once more behind the partition");
        servers.remove(2);
        std::thread::sleep(Duration::from_millis(2_300));
        note(&mut record, "the entry of i-2 has lapsed: three intervals without a heartbeat");
        store.delete("servers/i-2");
    }
    for caller in callers {
        let _ = caller.join();
    }
    let mut tries = tries.lock().unwrap().clone();
    tries.sort_by_key(|(number, t)| (*number, t.request_id.clone()));
    let mut mixed = 0;
    let mut whole = 0;
    for number in 0..STREAMS {
        let own: Vec<&Try> = tries.iter().filter(|(n, _)| *n == number).map(|(_, t)| t).collect();
        let mut versions = BTreeSet::new();
        for t in &own {
            let senders: BTreeSet<String> =
                t.events.iter().map(|(_, d)| d.split(' ').take(2).collect::<Vec<_>>().join(" ")).collect();
            versions.extend(t.events.iter().map(|(_, d)| d.split(' ').next().unwrap_or("").to_owned()));
            let ids = (t.events.first().map(|e| e.0), t.events.last().map(|e| e.0));
            let _ = writeln!(
                record,
                "{} status {} after {} events {:?} to {:?} of {:?} whole {}",
                t.request_id, t.status, t.after, ids.0, ids.1, senders, t.is_whole
            );
        }
        whole += usize::from(own.iter().any(|t| t.is_whole));
        if versions.len() > 1 {
            mixed += 1;
            let _ = writeln!(record, "  stream {number} holds events of {versions:?}");
        }
    }
    let _ = writeln!(record, "streams {STREAMS}, whole {whole}, with events of two software versions {mixed}");
    let ran = std::fs::read_to_string(&runs).unwrap_or_default();
    std::fs::write(&record_file, record + &ran).ok();
    println!("streams {STREAMS}, whole {whole}, with events of two software versions {mixed}");
    i32::from(mixed > 2)
}
