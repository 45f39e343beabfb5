//! Accounts of engines that many hosts share.

mod common;

use std::collections::{BTreeMap, BTreeSet};

use common::entry;
use currantcove::core::balance::{
    NoUpstream, Requirements, UpstreamFilter, Weights, has_room_for_counted, select_upstream,
};
use currantcove::core::engine_room::{RoomWaiters, Urgency, keeper_of};
use currantcove::core::ids::{HostId, ModelId, ServiceId, UpstreamId, ZoneId};
use currantcove::core::load::{InFlight, LoadTable, RequestSize};
use currantcove::core::peer_loads::{HOST_LOADS_EXPIRE_MS, PeerLoads};
use currantcove::core::registry::{Entry, Registry};
use currantcove::core::routing::Rng;

const PROMPT_TOKENS: u32 = 1_400;

fn engine(id: &str) -> Entry {
    Entry {
        resident: [(ModelId::new("m0"), BTreeSet::new())].into(),
        ..entry(id, "drafts", 24)
    }
}

fn requirements() -> Requirements {
    Requirements {
        service: ServiceId::new("drafts"),
        weights: Some(Weights {
            model: ModelId::new("m0"),
            adapter: None,
        }),
        size: RequestSize {
            prompt_tokens: PROMPT_TOKENS,
            output_tokens: 171,
        },
        cache_tokens: 70_000,
        max_prefill_ms: 180.0,
    }
}

/// Lets each of `hosts` hosts send one prompt within a few milliseconds, when they
/// know nothing of each other but what the account says; returns the largest number
/// of prompts that one of the engines has to prefill at once.
fn largest_backlog(hosts: usize, engines: usize, asks_keeper: bool) -> u32 {
    let entries = (0..engines).map(|e| engine(&format!("e{e}"))).collect();
    let mut registry = Registry::default();
    registry.replace(entries, None, 0);
    let mut accounts = PeerLoads::default();
    let mut rng = Rng::new(11);
    let requirements = requirements();
    for host in 0..hosts {
        let id = HostId::new(&format!("h{host}"));
        let mut loads = LoadTable::default();
        // A host that finds no room leaves the request in its queue.
        for _ in 0..engines {
            let selected: Result<UpstreamId, NoUpstream> = select_upstream(
                1,
                &registry,
                &loads,
                &ZoneId::new("a"),
                &requirements,
                &UpstreamFilter::default(),
                &mut rng,
            );
            let Ok(upstream) = selected else {
                break;
            };
            loads.on_sent(1, &upstream, requirements.size);
            let load = loads.get(upstream.as_str()).expect("load").local;
            accounts.apply_report(1, &id, 1, &[(upstream.clone(), load)]);
            if !asks_keeper {
                break;
            }
            let total = accounts.total(1, &upstream);
            loads.set_remote(1, &upstream, total.minus(load));
            let entry = registry.get(upstream.as_str()).expect("entry");
            let load = loads.get(upstream.as_str()).expect("load");
            if has_room_for_counted(1, load, entry, &requirements) {
                break;
            }
            accounts.apply_report(1, &id, 1, &[(upstream, InFlight::default())]);
        }
    }
    let totals = accounts.totals(1);
    totals.values().map(|l| l.requests).max().unwrap_or(0)
}

/// Guards against several prompts of different hosts at one engine within one step,
/// which makes all of its running streams pause for longer than callers accept.
#[test]
fn prompts_of_many_hosts_do_not_meet_at_one_engine() {
    let by_own_knowledge = largest_backlog(40, 10, false);
    let by_account = largest_backlog(40, 10, true);

    assert!(by_own_knowledge >= 4, "{by_own_knowledge}");
    assert_eq!(by_account, 1);
}

fn of_equal_cpu(hosts: &[HostId]) -> impl Clone + DoubleEndedIterator<Item = (&HostId, u32)> {
    hosts.iter().map(|host| (host, 250))
}

/// Guards against accounts at hosts that answer late whenever their callers are busy.
#[test]
fn accounts_are_kept_by_hosts_with_enough_cpu() {
    let hosts: Vec<(HostId, u32)> = (0..90)
        .map(|i| (HostId::new(&format!("h{i}")), [500, 300, 90, 90][i % 4]))
        .collect();
    let engines: Vec<UpstreamId> = (0..112)
        .map(|i| UpstreamId::new(&format!("i-{i}")))
        .collect();
    let listed = || hosts.iter().map(|(host, cpu_milli)| (host, *cpu_milli));

    let keepers = engines.iter().filter_map(|e| keeper_of(e, listed()));
    let mut kept: BTreeMap<&HostId, u32> = BTreeMap::new();
    for keeper in keepers {
        *kept.entry(keeper).or_default() += 1;
    }

    let is_weak = |host: &&HostId| hosts.iter().any(|(h, cpu)| h == *host && *cpu < 250);
    assert!(!kept.keys().any(is_weak));
    assert!(kept.values().all(|engines| *engines <= 10), "{kept:?}");
}

#[test]
fn all_hosts_agree_on_the_keeper_and_few_engines_move_when_a_host_leaves() {
    let hosts: Vec<HostId> = (0..195).map(|i| HostId::new(&format!("h{i}"))).collect();
    let engines: Vec<UpstreamId> = (0..80)
        .map(|i| UpstreamId::new(&format!("i-{i}")))
        .collect();

    let moved = engines.iter().filter(|engine| {
        let before = keeper_of(engine, of_equal_cpu(&hosts));
        let after = keeper_of(engine, of_equal_cpu(&hosts).skip(1));
        before != after
    });

    assert!(moved.count() <= 4);
    let reversed = keeper_of(&engines[0], of_equal_cpu(&hosts).rev());
    assert_eq!(keeper_of(&engines[0], of_equal_cpu(&hosts)), reversed);
}

#[test]
fn hosts_get_news_in_the_order_in_which_they_began_to_wait() {
    let mut waiters = RoomWaiters::default();
    let engine = UpstreamId::new("e0");
    let [a, b, c] = ["a", "b", "c"].map(HostId::new);
    for (at_ms, host) in [(0, &a), (900, &b), (910, &a), (950, &c)] {
        waiters.add(at_ms, &engine, host, Urgency::default());
    }

    // The first one no longer waits.
    let news: Vec<_> = (0..4).map(|_| waiters.next(1_100, &engine)).collect();

    assert_eq!(news, [Some(b), Some(c), None, None]);
}

/// Guards against a load that never ends because the datagram with its end is lost,
/// while the same host reports other loads.
#[test]
fn load_whose_end_was_not_reported_expires() {
    let busy = InFlight {
        requests: 1,
        ..InFlight::default()
    };
    let (lost, other) = (UpstreamId::new("e0"), UpstreamId::new("e1"));
    let host = HostId::new("h0");
    let mut loads = PeerLoads::default();
    loads.apply_report(0, &host, 1, &[(lost.clone(), busy), (other.clone(), busy)]);

    for at_ms in (0..=HOST_LOADS_EXPIRE_MS).step_by(1_000) {
        loads.apply_report(at_ms, &host, 1, &[(other.clone(), busy)]);
    }

    assert!(loads.total(HOST_LOADS_EXPIRE_MS, &lost).is_empty());
    assert_eq!(loads.total(HOST_LOADS_EXPIRE_MS, &other), busy);
}

fn urgency(due_in_ms: u64, priority: u8) -> Urgency {
    Urgency {
        due_in_ms,
        priority,
    }
}

/// Dispatches one request each 100 ms at an engine for which hosts wait, half of them with a
/// request that may wait 20 s; returns how many requests with an objective of a second are in
/// time, and how many of the others are told within theirs.
fn news_in_time(states_urgency: bool) -> (usize, usize) {
    let engine = UpstreamId::new("e0");
    let mut waiters = RoomWaiters::default();
    let mut requests: Vec<(HostId, u64)> = Vec::new();
    let (mut urgent, mut patient) = (0, 0);
    for number in 0..200 {
        let now_ms = number * 50;
        let host = HostId::new(&format!("h{number}"));
        let due_in_ms = if number % 2 == 0 { 20_000 } else { 900 };
        requests.push((host, now_ms + due_in_ms));
        // Hosts whose requests still wait ask again.
        for (host, due_ms) in requests.iter().filter(|(_, due_ms)| *due_ms > now_ms) {
            let stated = urgency(due_ms - now_ms, 0);
            let stated = if states_urgency {
                stated
            } else {
                Urgency::default()
            };
            waiters.add(now_ms, &engine, host, stated);
        }
        if number % 2 == 0 {
            continue;
        }
        if let Some(next) = waiters.next(now_ms, &engine) {
            let index = requests.iter().position(|(host, _)| *host == next);
            let (_, due_ms) = requests.swap_remove(index.expect("waits"));
            let is_urgent = next.as_str()[1..].parse::<u64>().expect("number") % 2 == 1;
            urgent += usize::from(is_urgent && now_ms <= due_ms);
            patient += usize::from(!is_urgent && now_ms <= due_ms);
        }
    }
    (urgent, patient)
}

/// Guards against room that goes to hosts whose requests may wait, in order of arrival, while
/// those of other hosts miss their objective.
#[test]
fn hosts_with_urgent_requests_are_told_first() {
    let (urgent_by_arrival, _) = news_in_time(false);
    let (urgent, _) = news_in_time(true);

    assert!(urgent_by_arrival < 70, "{urgent_by_arrival}");
    assert!(urgent >= 99, "{urgent} of 100");
}

#[test]
fn host_waits_with_its_most_urgent_request() {
    let mut waiters = RoomWaiters::default();
    let engine = UpstreamId::new("e0");
    let [a, b, old] = ["a", "b", "old"].map(HostId::new);
    waiters.add(0, &engine, &a, urgency(20_000, 0));
    waiters.add(0, &engine, &b, urgency(800, 2));
    waiters.add(10, &engine, &old, Urgency::default());
    waiters.add(20, &engine, &a, urgency(900, 0));
    waiters.add(30, &engine, &a, urgency(5_000, 0));

    let news: Vec<_> = (0..3).map(|_| waiters.next(100, &engine)).collect();

    assert_eq!(news, [Some(a), Some(old), Some(b)]);
}
