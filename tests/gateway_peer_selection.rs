//! Selection of another host for requests that a host cannot send to upstreams.

use std::collections::HashMap;

use currantcove::core::ids::HostId;
use currantcove::core::peer_selection::{
    Candidate, MAX_HOSTS, MAX_RECEIVED, MAX_SENT, NotAccepted, PeerSelector,
};
use currantcove::core::routing::Rng;

const ZONES: usize = 3;
/// Time that a request takes at the host that accepts it, in milliseconds.
const RUN_MS: u64 = 400;

fn candidate(index: usize) -> Candidate {
    Candidate {
        host: HostId::new(&format!("h{index}")),
        zone: Some(format!("z{}", index % ZONES)),
    }
}

fn fleet(hosts: usize) -> Vec<Candidate> {
    (0..hosts).map(candidate).collect()
}

/// Result of a simulated cut.
#[derive(Debug, Default)]
struct Outcome {
    sent: u32,
    served: u32,
    asked: u32,
    /// Largest number of requests in flight of other hosts at one host.
    max_received: u32,
}

/// Host without links, and what it knows of the others.
struct CutHost {
    index: usize,
    selector: PeerSelector,
}

/// Plays ten seconds in which some hosts reach no upstream and receive `per_s` requests
/// a second each.
fn play(hosts: usize, is_cut: impl Fn(usize) -> bool, per_s: u64, seed: u64) -> Outcome {
    let mut rng = Rng::new(seed);
    let fleet = fleet(hosts);
    let mut cut_hosts: Vec<CutHost> = (0..hosts)
        .filter(|index| is_cut(*index))
        .map(|index| CutHost {
            index,
            selector: PeerSelector::default(),
        })
        .collect();
    let mut outcome = Outcome::default();
    let mut received: HashMap<usize, u32> = HashMap::new();
    let mut ends: Vec<(u64, usize, usize)> = Vec::new();
    for now_ms in 1_000..11_000 {
        ends.retain(|(at_ms, sender, index)| {
            let is_running = now_ms < *at_ms;
            if !is_running {
                *received.get_mut(index).expect("counted") -= 1;
                cut_hosts[*sender].selector.on_end(&fleet[*index].host);
            }
            is_running
        });
        for (sender, cut_host) in cut_hosts.iter_mut().enumerate() {
            if rng.below(1_000) as u64 >= per_s {
                continue;
            }
            outcome.sent += 1;
            let zone = format!("z{}", cut_host.index % ZONES);
            let others: Vec<Candidate> = fleet
                .iter()
                .filter(|c| c.host != fleet[cut_host.index].host)
                .cloned()
                .collect();
            let mut tried = Vec::new();
            while tried.len() < MAX_HOSTS {
                let selector = &mut cut_host.selector;
                let Some(peer) = selector.select(now_ms, &zone, &others, &tried, &mut rng) else {
                    break;
                };
                outcome.asked += 1;
                tried.push(peer.host.clone());
                let index = fleet.iter().position(|c| c.host == peer.host);
                let index = index.expect("a host");
                let count = received.entry(index).or_default();
                if is_cut(index) {
                    selector.on_not_accepted(now_ms, peer, NotAccepted::CutOff);
                } else if *count >= MAX_RECEIVED {
                    selector.on_not_accepted(now_ms, peer, NotAccepted::Busy);
                } else {
                    selector.on_accepted(now_ms, peer);
                    selector.on_sent(&peer.host);
                    *count += 1;
                    outcome.max_received = outcome.max_received.max(*count);
                    ends.push((now_ms + RUN_MS, sender, index));
                    outcome.served += 1;
                    break;
                }
            }
        }
    }
    outcome
}

#[test]
fn requests_of_a_zone_without_links_are_served_by_other_zones() {
    for seed in 1..=5 {
        let outcome = play(195, |index: usize| index.is_multiple_of(ZONES), 4, seed);

        assert_eq!(outcome.served, outcome.sent, "{outcome:?}");
        assert!(outcome.asked <= 2 * outcome.sent, "{outcome:?}");
        assert!(outcome.max_received <= MAX_RECEIVED / 4, "{outcome:?}");
    }
}

#[test]
fn requests_are_served_if_few_hosts_of_two_zones_have_links() {
    for seed in 1..=5 {
        let is_cut = |index: usize| index.is_multiple_of(ZONES) || index % 10 < 5;
        let outcome = play(195, is_cut, 4, seed);

        assert!(outcome.served * 50 >= outcome.sent * 49, "{outcome:?}");
        assert!(outcome.max_received <= MAX_RECEIVED / 4, "{outcome:?}");
    }
}

#[test]
fn few_messages_are_sent_if_no_host_has_links() {
    let outcome = play(195, |_| true, 4, 1);

    assert_eq!(outcome.served, 0);
    assert!(outcome.asked <= outcome.sent * MAX_HOSTS as u32);
}

#[test]
fn host_without_links_that_was_asked_is_left_out_for_a_second() {
    let others = vec![candidate(0)];
    let mut selector = PeerSelector::default();
    let mut rng = Rng::new(1);
    selector.on_not_accepted(1_000, &others[0], NotAccepted::CutOff);

    let soon = selector.select(1_900, "z0", &others, &[], &mut rng);
    let later = selector.select(2_000, "z0", &others, &[], &mut rng);

    assert_eq!(soon, None);
    assert_eq!(later, Some(&others[0]));
}

#[test]
fn own_zone_comes_first_until_one_of_its_hosts_is_found_without_links() {
    let others = fleet(30);
    let mut selector = PeerSelector::default();
    let mut rng = Rng::new(1);
    let first = selector.select(1_000, "z1", &others, &[], &mut rng);
    let first = first.expect("a host").clone();

    selector.on_not_accepted(1_000, &first, NotAccepted::CutOff);
    let second = selector.select(1_001, "z1", &others, &[], &mut rng);
    let second = second.expect("a host").clone();
    selector.on_accepted(1_001, &candidate(1));
    let third = selector.select(1_002, "z1", &others, &[], &mut rng);

    assert_eq!(first.zone.as_deref(), Some("z1"));
    assert_ne!(second.zone.as_deref(), Some("z1"));
    assert_eq!(third.expect("a host").zone.as_deref(), Some("z1"));
}

#[test]
fn no_host_is_selected_beyond_the_limit_of_requests_in_flight() {
    let others = fleet(3);
    let mut selector = PeerSelector::default();
    let mut rng = Rng::new(1);
    for _ in 0..MAX_SENT {
        selector.on_sent(&others[0].host);
    }

    let full = selector
        .select(1_000, "z0", &others, &[], &mut rng)
        .cloned();
    selector.on_end(&others[0].host);
    let free = selector.select(1_000, "z0", &others, &[], &mut rng);

    assert_eq!(full, None);
    assert!(free.is_some());
}

#[test]
fn unknown_reason_counts_as_busy() {
    assert_eq!(NotAccepted::parse("cut_off"), NotAccepted::CutOff);
    assert_eq!(NotAccepted::parse("later"), NotAccepted::Busy);
}
