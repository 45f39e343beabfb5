//! The cases.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::client::{self, Reply};
use crate::clock::{now_ms, sleep_until};
use crate::host::{Folder, Host, wait_for};
use crate::json::{Json, map, number, text};
use crate::proxy::Proxy;
use crate::record::Record;
use crate::store::Store;
use crate::streams::{self, Asked, Begun, Rotation, Seen, StreamServer};
use crate::upstream::{Arrival, Upstream};

/// Bounds of ptgtm-courts.
const CONTACT_MS: u64 = 3_000;
const DRAIN_MS: u64 = 2_000;
const CONFIG_APPLY_MS: u64 = 2_000;
const HEARTBEAT: Duration = Duration::from_millis(1_200);
/// Added to `contact_ms`, for times that are measured in two places.
const MARGIN_MS: u64 = 50;

/// Store, servers that announce themselves, and hosts, each with a proxy to the store.
struct Deployment {
    hosts: Vec<Host>,
    proxies: Vec<Arc<Proxy>>,
    store: Arc<Store>,
    upstreams: Vec<Arc<Upstream>>,
    /// Servers that no longer announce themselves.
    silent: Arc<Vec<AtomicBool>>,
    _folder: Folder,
}

fn config(version: u64, service: &str) -> Json {
    let route = map([
        ("name", text("court-hold")),
        ("host", text("courts.example")),
        ("prefix", text("/hold/")),
        ("type", text("unsafe")),
        ("timeout_ms", number(1_000)),
        ("target_latency_ms", number(100)),
        ("priority", number(2)),
        ("service", text(service)),
        ("max_attempts", number(1)),
        ("sticky", Json::Bool(false)),
        ("resumable", Json::Bool(false)),
    ]);
    let service = |name: &str| {
        map([
            ("name", text(name)),
            ("health_path", text("/healthz")),
            ("max_connections", number(100)),
            ("protocol", text("h1")),
            ("tls", Json::Bool(false)),
        ])
    };
    let limits = map([
        ("max_header_bytes", number(16_384)),
        ("max_body_bytes", number(4_194_304)),
        ("header_timeout_ms", number(3_000)),
        ("idle_timeout_ms", number(15_000)),
    ]);
    map([
        ("version", number(version)),
        ("routes", Json::List(vec![route])),
        (
            "services",
            Json::List(vec![service("tempah-api"), service("tempah-new")]),
        ),
        ("limits", limits),
    ])
}

impl Deployment {
    /// Starts everything and waits until all hosts serve; `None` if they do not.
    fn start(record: &Record, hosts: u8, upstreams: Vec<Arc<Upstream>>) -> Option<Self> {
        let folder = Folder::create();
        let (store, store_addr) = Store::start();
        store.put("op/config", &config(1, "tempah-api"));
        let silent: Vec<AtomicBool> = upstreams.iter().map(|_| AtomicBool::new(false)).collect();
        let silent = Arc::new(silent);
        let (beaten, announcing, quiet) =
            (Arc::clone(&store), upstreams.clone(), Arc::clone(&silent));
        // Servers announce themselves one after the other, as they start at different times.
        let pause = HEARTBEAT / announcing.len() as u32;
        thread::spawn(move || {
            for sequence in 1.. {
                for (upstream, is_silent) in announcing.iter().zip(quiet.iter()) {
                    if !is_silent.load(Ordering::SeqCst) {
                        beaten.put(&upstream.key(), &upstream.entry("ready", sequence));
                    }
                    thread::sleep(pause);
                }
            }
        });
        let proxies: Vec<Arc<Proxy>> = (0..hosts).map(|_| Proxy::start(store_addr)).collect();
        let numbered = proxies.iter().zip(1..);
        let hosts: Vec<Host> = numbered
            .map(|(proxy, number)| Host::start(&folder, number, "kl-a", proxy.addr))
            .collect();
        let deployment = Self {
            hosts,
            proxies,
            store,
            upstreams,
            silent,
            _folder: folder,
        };
        let is_ready = wait_for(Duration::from_secs(10), || {
            deployment.hosts.iter().all(Host::is_ready)
                && deployment.store.count("currantcove/hosts/") == deployment.hosts.len()
        });
        record.line(format!(
            "{} hosts started, ready: {is_ready}",
            deployment.hosts.len()
        ));
        is_ready.then_some(deployment)
    }

    /// Sends unsafe requests to each host, one each 20 ms, until a time.
    fn send_until(&self, until_ms: u64) -> Vec<Sent> {
        let next = Arc::new(AtomicU64::new(1));
        let addrs = self.hosts.iter().map(|h| (h.name.clone(), h.caller_addr));
        let senders: Vec<_> = addrs
            .map(|(host, addr)| {
                let next = Arc::clone(&next);
                thread::spawn(move || send_to(&host, addr, &next, until_ms))
            })
            .collect();
        let sent = senders
            .into_iter()
            .flat_map(|s| s.join().unwrap_or_default());
        sent.collect()
    }

    /// True if no host has ended by itself.
    fn is_alive(&mut self) -> bool {
        !self.hosts.iter_mut().any(Host::has_ended)
    }
}

/// Request with its answer.
#[derive(Clone)]
struct Sent {
    id: String,
    host: String,
    reply: Reply,
}

fn send_to(host: &str, addr: SocketAddr, next: &AtomicU64, until_ms: u64) -> Vec<Sent> {
    let mut waiting = Vec::new();
    while now_ms() < until_ms {
        let id = format!("{:016x}", next.fetch_add(1, Ordering::SeqCst));
        let host = host.to_owned();
        waiting.push(thread::spawn(move || {
            let headers = [
                ("Host", "courts.example"),
                ("Request-Id", id.as_str()),
                ("Deadline-Ms", "1000"),
            ];
            let timeout = Duration::from_millis(2_000);
            let reply = client::send(addr, "POST", "/hold/1", &headers, b"court=7", timeout);
            Sent { id, host, reply }
        }));
        thread::sleep(Duration::from_millis(20));
    }
    waiting.into_iter().filter_map(|w| w.join().ok()).collect()
}

impl Record {
    fn requests(&self, sent: &[Sent]) {
        for s in sent {
            let Reply {
                sent_ms,
                ended_ms,
                status,
                is_whole,
                server,
                ..
            } = &s.reply;
            let (id, host) = (&s.id, &s.host);
            self.at(*sent_ms, format!("request {id} sent to {host}"));
            let line = format!("request {id} answered {status} (whole: {is_whole}) by {server:?}");
            self.at(*ended_ms, line);
        }
    }

    fn arrivals(&self, upstream: &Upstream) {
        for a in upstream.arrivals() {
            let (id, service) = (&upstream.id, &upstream.service);
            let what = if a.has_run { "runs" } else { "rejects" };
            let cut = if a.is_cut { ", cut off by its end" } else { "" };
            let line = format!(
                "server {id} of {service} {what} request {}{cut}",
                a.request_id
            );
            self.at(a.at_ms, line);
        }
    }
}

/// Silences the hosts' open connections to the store; returns the time.
fn silence(record: &Record, deployment: &Deployment, has_trouble: bool) -> u64 {
    let at_ms = now_ms();
    if has_trouble {
        for (proxy, host) in deployment.proxies.iter().zip(&deployment.hosts) {
            let connections = proxy.silence();
            let name = &host.name;
            record.line(format!(
                "{connections} connections of {name} to the store fall silent"
            ));
        }
    }
    at_ms
}

fn log_store_news(record: &Record, deployment: &Deployment) {
    for host in &deployment.hosts {
        for line in host.log_lines("\"dependency\":\"store\"") {
            record.line(format!("log of {}: {line}", host.name));
        }
    }
}

/// Servers of a service, each of whose requests takes a time.
fn start_servers(service: &str, count: u8, work_ms: u64) -> Vec<Arc<Upstream>> {
    let work = Duration::from_millis(work_ms);
    let ids = (1..=count).map(|n| format!("i-{service}-{n}"));
    ids.map(|id| Upstream::start(&id, service, "kl-a", work))
        .collect()
}

/// CONFIG: a route moves to another service while open connections to the store are silent.
pub fn silent_config(record: &Record, has_trouble: bool) -> Verdict {
    let old = start_servers("tempah-api", 3, 15);
    let new = start_servers("tempah-new", 3, 15);
    let upstreams = old.iter().chain(&new).map(Arc::clone).collect();
    let Some(mut deployment) = Deployment::start(record, 2, upstreams) else {
        return Verdict::CouldNotRun;
    };
    thread::sleep(Duration::from_millis(3_000));
    let silenced_ms = silence(record, &deployment, has_trouble);
    sleep_until(silenced_ms + 300);
    deployment.store.put("op/config", &config(2, "tempah-new"));
    let acked_ms = now_ms();
    record.line("configuration 2 acknowledged: the route leads to tempah-new only");
    sleep_until(silenced_ms + 2_500);
    let sent = deployment.send_until(silenced_ms + 6_500);
    record.requests(&sent);
    for upstream in &deployment.upstreams {
        record.arrivals(upstream);
    }
    log_store_news(record, &deployment);
    let in_touch_ms = silenced_ms + CONTACT_MS + MARGIN_MS;
    let due_ms = acked_ms + CONFIG_APPLY_MS + MARGIN_MS;
    let at_old: Vec<Arrival> = old.iter().flat_map(|u| u.arrivals()).collect();
    let late: Vec<&Sent> = sent
        .iter()
        .filter(|s| s.reply.sent_ms >= in_touch_ms.max(due_ms))
        .filter(|s| at_old.iter().any(|a| a.request_id == s.id && a.has_run))
        .collect();
    let last_ms = late
        .iter()
        .map(|s| s.reply.sent_ms)
        .max()
        .unwrap_or(acked_ms);
    record.line(format!(
        "{} requests sent more than contact_ms after the silence and config_apply_ms after the \
         acknowledgement were run by the old service; the last one was sent {} ms after the \
         silence and {} ms after the acknowledgement",
        late.len(),
        last_ms - silenced_ms,
        last_ms - acked_ms,
    ));
    verdict(&mut deployment, &sent, late.is_empty())
}

/// Time for which the server that leaves goes on serving: `drain_ms` and some seconds.
const SERVES_ON_MS: u64 = 4_500;

/// DRAIN: a server leaves just before open connections to the store fall silent.
pub fn silent_drain(record: &Record, has_trouble: bool) -> Verdict {
    let servers = start_servers("tempah-api", 6, 100);
    let leaving = Arc::clone(&servers[0]);
    let Some(mut deployment) = Deployment::start(record, 3, servers) else {
        return Verdict::CouldNotRun;
    };
    thread::sleep(Duration::from_millis(3_000));
    deployment.silent[0].store(true, Ordering::SeqCst);
    deployment.store.delete(&leaving.key());
    let acked_ms = now_ms();
    let id = &leaving.id;
    record.line(format!(
        "the entry of {id} is removed; it goes on serving for 4.5 s"
    ));
    sleep_until(acked_ms + 200);
    let silenced_ms = silence(record, &deployment, has_trouble);
    let ending = Arc::clone(&leaving);
    let ends = thread::spawn(move || {
        sleep_until(acked_ms + SERVES_ON_MS);
        ending.end();
    });
    sleep_until(silenced_ms + 2_500);
    let sent = deployment.send_until(silenced_ms + 6_500);
    let _ = ends.join();
    record.at(acked_ms + SERVES_ON_MS, format!("{id} has ended"));
    record.requests(&sent);
    for upstream in &deployment.upstreams {
        record.arrivals(upstream);
    }
    log_store_news(record, &deployment);
    let in_touch_ms = silenced_ms + CONTACT_MS + MARGIN_MS;
    let due_ms = acked_ms + DRAIN_MS + MARGIN_MS;
    let arrivals = leaving.arrivals();
    let late: Vec<(&Sent, u64)> = sent
        .iter()
        .filter(|s| s.reply.sent_ms >= in_touch_ms)
        .filter_map(|s| {
            let arrival = arrivals
                .iter()
                .find(|a| a.request_id == s.id && a.has_run)?;
            (arrival.at_ms > due_ms).then_some((s, arrival.at_ms))
        })
        .collect();
    let last_ms = late
        .iter()
        .map(|(_, at_ms)| *at_ms)
        .max()
        .unwrap_or(acked_ms);
    let lost = late.iter().filter(|(s, _)| s.reply.status != 200).count();
    record.line(format!(
        "{} requests sent more than contact_ms after the silence reached the server that had \
         left, later than drain_ms after the acknowledgement; the last one {} ms after it; {lost} \
         of them were lost when it ended",
        late.len(),
        last_ms - acked_ms,
    ));
    verdict(&mut deployment, &sent, late.is_empty())
}

/// The case has run if the hosts live and most requests were served.
fn verdict(deployment: &mut Deployment, sent: &[Sent], has_held: bool) -> Verdict {
    let served = sent.iter().filter(|s| s.reply.status == 200).count();
    if !deployment.is_alive() || served * 2 < sent.len() {
        return Verdict::CouldNotRun;
    }
    if has_held {
        Verdict::Held
    } else {
        Verdict::Broken
    }
}

/// Memory and descriptors of the smallest machines of crs-pampa-grown.
const MEMORY_MB: u64 = 120;
const MAX_DESCRIPTORS: u64 = 3_075;
/// Servers of its service `modelos`, 16 slots each.
const STREAM_SERVERS: u64 = 112;
const STREAM_CLIENTS: u64 = 1_500;
/// Requests without an answer that the rule allows.
const MAX_UNANSWERED: usize = 3;

/// LOST: two of three hosts are lost, and the platform kills the third one for its memory.
pub fn lone_host(record: &Record, has_trouble: bool) -> Verdict {
    let begun = Begun::default();
    let servers: Vec<StreamServer> = (1..=STREAM_SERVERS)
        .map(|n| StreamServer::start(&format!("i-{n}"), &begun))
        .collect();
    let folder = Folder::create();
    let (store, store_addr) = Store::start();
    store.put("op/config", &config_of_streams());
    thread::spawn(move || {
        for sequence in 1.. {
            for server in &servers {
                store.put(&format!("servers/{}", server.id), &server.entry(sequence));
                thread::sleep(HEARTBEAT / STREAM_SERVERS as u32);
            }
        }
    });
    let mut hosts: Vec<Host> = (1..=3)
        .map(|n| {
            Host::start_with(
                &folder,
                n,
                "rosario-a",
                store_addr,
                MEMORY_MB,
                MAX_DESCRIPTORS,
            )
        })
        .collect();
    if !wait_for(Duration::from_secs(10), || hosts.iter().all(Host::is_ready)) {
        return Verdict::CouldNotRun;
    }
    thread::sleep(Duration::from_secs(3));
    let rotation = Rotation::default();
    *rotation.lock().expect("lock") = hosts.iter().map(|h| h.caller_addr).collect();
    let (seen, stop) = (Arc::new(Seen::default()), Arc::new(AtomicBool::new(false)));
    record.line(format!(
        "{STREAM_CLIENTS} clients ask three hosts for streams"
    ));
    let clients: Vec<_> = (1..=STREAM_CLIENTS)
        .map(|client| {
            thread::sleep(Duration::from_millis(4));
            let (rotation, seen, stop) =
                (Arc::clone(&rotation), Arc::clone(&seen), Arc::clone(&stop));
            streams::spawn(move || streams::ask(client, &rotation, &seen, &stop))
        })
        .collect();
    thread::sleep(Duration::from_secs(8));
    let mut lost_ms = None;
    let mut killed_ms = None;
    let until_ms = now_ms() + 40_000;
    let mut next_line_ms = 0;
    while now_ms() < until_ms {
        let memory: Vec<u64> = hosts.iter().map(Host::anonymous_kib).collect();
        if now_ms() >= next_line_ms {
            next_line_ms = now_ms() + 2_000;
            record.line(format!("anonymous memory of the hosts in KiB: {memory:?}"));
        }
        if memory[0] > MEMORY_MB * 1024 {
            killed_ms = Some(now_ms());
            hosts[0].kill();
            let (name, kib) = (&hosts[0].name, memory[0]);
            record.line(format!(
                "{name} holds {kib} KiB, over {MEMORY_MB} MB: it is killed"
            ));
            break;
        }
        if has_trouble && lost_ms.is_none() {
            hosts[1].kill();
            hosts[2].kill();
            lost_ms = Some(now_ms());
            record.line("two hosts are lost for good");
        }
        // Two failed probes, one a second, take a host out.
        if lost_ms.is_some_and(|at| now_ms() >= at + 2_000) {
            *rotation.lock().expect("lock") = vec![hosts[0].caller_addr];
        }
        thread::sleep(Duration::from_millis(50));
    }
    thread::sleep(Duration::from_millis(500));
    stop.store(true, Ordering::SeqCst);
    let lone = hosts[0].caller_addr;
    drop(hosts);
    for client in clients {
        let _ = client.join();
    }
    let begun = begun.lock().expect("lock");
    let asked = seen.lock().expect("lock");
    for a in asked.iter() {
        let Asked {
            id,
            host,
            is_kept,
            sent_ms,
            ended_ms,
            status,
            is_whole,
        } = a;
        let has_begun = begun.contains(id);
        record.at(
            *sent_ms,
            format!(
                "request {id} to {host}, kept connection: {is_kept}; begun at a server: \
                 {has_begun}; at {ended_ms} status {status}, whole: {is_whole}"
            ),
        );
    }
    // Only what the last host had passed on to a server as it was killed counts.
    let is_killed = |at: u64| killed_ms.is_some_and(|killed| at >= killed && at <= killed + 400);
    let lost = asked.iter().filter(|a| {
        let is_unanswered = a.status == 0 && a.is_kept && begun.contains(&a.id);
        is_unanswered && a.host == lone && is_killed(a.ended_ms)
    });
    let lost = lost.count();
    let count = |is_counted: fn(&Asked) -> bool| asked.iter().filter(|a| is_counted(a)).count();
    let whole = count(|a| a.status == 200 && a.is_whole);
    record.line(format!(
        "{whole} whole streams, {} broken off, {} refused, {} without an answer",
        count(|a| a.status == 200 && !a.is_whole),
        count(|a| a.status > 200),
        count(|a| a.status == 0),
    ));
    record.line(format!(
        "{lost} requests on kept connections that the last host had passed on to sound servers \
         were closed without an answer"
    ));
    if whole == 0 {
        Verdict::CouldNotRun
    } else if lost > MAX_UNANSWERED {
        Verdict::Broken
    } else {
        Verdict::Held
    }
}

fn config_of_streams() -> Json {
    let route = map([
        ("name", text("delay-notice")),
        ("host", text("cargo.example")),
        ("prefix", text("/notice/")),
        ("type", text("stream")),
        ("timeout_ms", number(15_000)),
        ("target_latency_ms", number(1_500)),
        ("gap_target_ms", number(300)),
        ("priority", number(1)),
        ("service", text("modelos")),
        ("max_attempts", number(1)),
        ("sticky", Json::Bool(false)),
        ("resumable", Json::Bool(false)),
    ]);
    let service = map([
        ("name", text("modelos")),
        ("health_path", text("/healthz")),
        ("max_connections", number(670)),
        ("protocol", text("h1")),
        ("tls", Json::Bool(false)),
    ]);
    let limits = map([
        ("max_header_bytes", number(16_384)),
        ("max_body_bytes", number(4_194_304)),
        ("header_timeout_ms", number(3_000)),
        ("idle_timeout_ms", number(15_000)),
    ]);
    map([
        ("version", number(1)),
        ("routes", Json::List(vec![route])),
        ("services", Json::List(vec![service])),
        ("limits", limits),
    ])
}
