//! Where streams began and which software versions serve, as pure decisions.

mod common;

use std::collections::HashMap;

use common::entry;
use currantcove::core::balance::{NoUpstream, Requirements, UpstreamFilter, select_upstream};
use currantcove::core::ids::{HostId, ServiceId, SoftwareVersion, UpstreamId, ZoneId};
use currantcove::core::load::{LoadTable, RequestSize};
use currantcove::core::registry::{Entry, Registry};
use currantcove::core::routing::Rng;
use currantcove::core::software::SoftwareHistory;
use currantcove::core::stream_origin::{
    OriginKnowledge, StreamOrigin, StreamOrigins, lookup_hosts, replica_hosts, stream_key,
};
use currantcove::core::waiting::{OrderInput, QueuedRequest, WaitQueue};

/// Time for which a stream can last, in milliseconds.
const WINDOW_MS: u64 = 10_000;
const STREAMS: u32 = 2_000;

fn origin(software: &str) -> StreamOrigin {
    StreamOrigin {
        service: ServiceId::new("drafts"),
        software: SoftwareVersion::new(software),
        upstream: UpstreamId::new("i-1"),
        started_ms: 1,
    }
}

fn engine(id: &str, software: &str) -> Entry {
    Entry {
        software: Some(SoftwareVersion::new(software)),
        ..entry(id, "drafts", 8)
    }
}

/// Hosts in zones of equal size.
fn fleet(hosts: usize, zones: usize) -> Vec<(HostId, String)> {
    let host = |n| (HostId::new(&format!("h{n}")), format!("z{}", n % zones));
    (0..hosts).map(host).collect()
}

fn views(fleet: &[(HostId, String)]) -> Vec<(&HostId, &str)> {
    fleet
        .iter()
        .map(|(host, zone)| (host, zone.as_str()))
        .collect()
}

fn requirements() -> Requirements {
    Requirements {
        service: ServiceId::new("drafts"),
        weights: None,
        size: RequestSize::default(),
        cache_tokens: 10_000,
        max_prefill_ms: 100.0,
    }
}

fn select(
    registry: &Registry,
    filter: &UpstreamFilter,
    seed: u64,
) -> Result<UpstreamId, NoUpstream> {
    let zone = ZoneId::new("a");
    let loads = LoadTable::default();
    let mut rng = Rng::new(seed);
    select_upstream(
        0,
        registry,
        &loads,
        &zone,
        &requirements(),
        filter,
        &mut rng,
    )
}

fn registry(entries: Vec<Entry>) -> Registry {
    let mut registry = Registry::default();
    for entry in entries {
        registry.upsert(entry, 0);
    }
    registry
}

/// Share of streams whose origin a host learns that has to take them up, after some hosts
/// have died together with the one that began the stream.
fn share_found(hosts: usize, zones: usize, is_dead: impl Fn(usize) -> bool) -> f64 {
    let fleet = fleet(hosts, zones);
    let views = views(&fleet);
    let index: HashMap<&HostId, usize> =
        fleet.iter().enumerate().map(|(i, (h, _))| (h, i)).collect();
    let mut rng = Rng::new(hosts as u64);
    let (mut found, mut asked_in_all) = (0, 0);
    for number in 0..STREAMS {
        let stream = stream_key(b"h.example", None, &format!("r{number}"));
        let (begins, takes_up) = (rng.below(hosts), rng.below(hosts));
        if begins == takes_up || is_dead(takes_up) {
            continue;
        }
        let (own, zone) = &fleet[begins];
        let told = replica_hosts(stream, own, zone, &views);
        assert!(told.len() <= 3 && !told.contains(&own));
        let (own, zone) = &fleet[takes_up];
        let asked = lookup_hosts(stream, own, zone, &views);
        assert!(asked.len() <= 3 + 2 * (zones - 1));
        let knows = |host: &&HostId| told.contains(host) && !is_dead(index[*host]);
        asked_in_all += 1;
        found += u32::from(asked.iter().any(knows) || told.contains(&own));
    }
    f64::from(found) / f64::from(asked_in_all)
}

#[test]
fn any_host_finds_who_knows_a_stream_in_fleets_of_any_size() {
    for (hosts, zones) in [(2, 1), (7, 3), (30, 1), (66, 4), (195, 5)] {
        let share = share_found(hosts, zones, |_| false);

        assert!(share >= 1.0, "{hosts} hosts in {zones} zones: {share}");
    }
}

#[test]
fn streams_stay_known_after_a_whole_zone_has_died() {
    for (hosts, zones) in [(7, 3), (66, 4), (195, 5)] {
        let share = share_found(hosts, zones, |host| host % zones == 0);

        assert!(share >= 1.0, "{hosts} hosts in {zones} zones: {share}");
    }
}

#[test]
fn most_streams_stay_known_after_a_third_of_the_hosts_has_died() {
    for (hosts, zones) in [(66, 4), (195, 5)] {
        let share = share_found(hosts, zones, |host| host % 3 == 1);

        assert!(share >= 0.9, "{hosts} hosts in {zones} zones: {share}");
    }
}

#[test]
fn stream_that_two_versions_claim_is_uncertain_for_good() {
    let stream = stream_key(b"h.example", None, "r1");
    let mut origins = StreamOrigins::default();

    origins.record(0, stream, origin("v1"));
    origins.record(1, stream, origin("v1"));
    let agreed = origins.get(2, stream).clone();
    origins.record(2, stream, origin("v2"));
    origins.record(3, stream, origin("v1"));

    assert_eq!(agreed, OriginKnowledge::Known(origin("v1")));
    assert_eq!(origins.get(4, stream), &OriginKnowledge::Contradictory);
}

#[test]
fn streams_of_two_callers_with_one_request_id_are_distinct() {
    assert_ne!(
        stream_key(b"h.example", None, "r1"),
        stream_key(b"other.example", None, "r1")
    );
    assert_eq!(
        stream_key(b"H.Example", None, "r1"),
        stream_key(b"h.example", None, "r1")
    );
}

#[test]
fn remembered_streams_are_bounded_and_forgotten() {
    let mut origins = StreamOrigins::default();

    for number in 0..40_000 {
        let stream = stream_key(b"h.example", None, &format!("r{number}"));
        origins.record(number / 10, stream, origin("v1"));
    }
    let most = origins.len();
    let last = stream_key(b"h.example", None, "r39999");
    let is_known = *origins.get(4_000, last) == OriginKnowledge::Known(origin("v1"));
    origins.record(
        200_000,
        stream_key(b"h.example", None, "later"),
        origin("v1"),
    );

    assert!(most <= 16_384, "{most}");
    assert!(is_known);
    assert_eq!(origins.get(200_000, last), &OriginKnowledge::Unknown);
    assert_eq!(origins.len(), 1);
}

#[test]
fn stream_that_is_told_again_is_remembered_from_then_on() {
    let stream = stream_key(b"h.example", None, "r1");
    let mut origins = StreamOrigins::default();

    for at_ms in [0, 50_000, 100_000] {
        origins.record(at_ms, stream, origin("v1"));
    }

    let known = OriginKnowledge::Known(origin("v1"));
    assert_eq!(origins.get(150_000, stream), &known);
    assert_eq!(origins.get(161_000, stream), &OriginKnowledge::Unknown);
}

/// History of a host that has followed announcements of some versions, one each second.
fn followed(versions: &[&str], seconds: u64) -> (SoftwareHistory, Registry) {
    let mut history = SoftwareHistory::default();
    history.restart(0);
    let registry = registry(vec![engine("i-1", versions[versions.len() - 1])]);
    for second in 0..=seconds {
        let version = versions[(second as usize).min(versions.len() - 1)];
        history.record(second * 1_000, &engine("i-1", version));
        history.confirm(second * 1_000);
    }
    (history, registry)
}

#[test]
fn only_version_is_certain_once_it_is_known_for_as_long_as_streams_last() {
    let service = ServiceId::new("drafts");
    let (history, registry) = followed(&["v1"], 30);
    let only = |now_ms| history.only_version(now_ms, WINDOW_MS, &registry, &service);

    assert_eq!(only(30_500), Some(SoftwareVersion::new("v1")));
    assert_eq!(only(33_000), None, "no news from the store");
    assert_eq!(only(5_000), None, "streams may be older than what is known");
}

#[test]
fn version_that_has_left_counts_for_as_long_as_streams_last() {
    let service = ServiceId::new("drafts");
    let (recent, registry_after) = followed(&["v1", "v2"], 9);
    let (past, _) = followed(&["v1", "v2"], 30);

    assert_eq!(
        recent.only_version(9_500, 9_500, &registry_after, &service),
        None
    );
    assert_eq!(
        past.only_version(30_500, WINDOW_MS, &registry_after, &service),
        Some(SoftwareVersion::new("v2"))
    );
}

#[test]
fn entry_without_a_version_makes_the_versions_uncertain() {
    let service = ServiceId::new("drafts");
    let (history, mut registry) = followed(&["v1"], 30);
    let unstated = Entry {
        software: None,
        ..engine("i-2", "")
    };
    registry.upsert(unstated, 30_000);

    assert_eq!(
        history.only_version(30_500, WINDOW_MS, &registry, &service),
        None
    );
}

#[test]
fn stream_goes_on_only_at_its_version() {
    let registry = registry(vec![engine("i-1", "v1"), engine("i-2", "v2")]);
    let at = |software: &str| UpstreamFilter {
        software: Some(SoftwareVersion::new(software)),
        ..UpstreamFilter::default()
    };

    for seed in 0..20 {
        assert_eq!(
            select(&registry, &at("v1"), seed),
            Ok(UpstreamId::new("i-1"))
        );
        assert_eq!(
            select(&registry, &at("v2"), seed),
            Ok(UpstreamId::new("i-2"))
        );
        assert_eq!(
            select(&registry, &at("v3"), seed),
            Err(NoUpstream::NoSoftware)
        );
    }
}

#[test]
fn streams_do_not_begin_at_the_sole_upstream_of_a_version_while_another_has_several() {
    let begins = UpstreamFilter {
        is_resumable: true,
        ..UpstreamFilter::default()
    };
    let rolled = registry(vec![
        engine("i-1", "v1"),
        engine("i-2", "v2"),
        engine("i-3", "v2"),
    ]);
    let lone = registry(vec![engine("i-1", "v1"), engine("i-2", "v2")]);

    let chosen: Vec<_> = (0..50).map(|seed| select(&rolled, &begins, seed)).collect();
    let of_lone: Vec<_> = (0..50).map(|seed| select(&lone, &begins, seed)).collect();

    assert!(!chosen.contains(&Ok(UpstreamId::new("i-1"))));
    assert!(
        of_lone.contains(&Ok(UpstreamId::new("i-1")))
            && of_lone.contains(&Ok(UpstreamId::new("i-2")))
    );
}

fn queued(ticket: u64, software: Option<&str>) -> QueuedRequest {
    QueuedRequest {
        ticket,
        requirements: requirements(),
        filter: UpstreamFilter {
            software: software.map(SoftwareVersion::new),
            ..UpstreamFilter::default()
        },
        organisation: None,
        priority: 0,
        arrived_ms: 0,
        first_arrived_ms: 0,
        due_ms: 500,
        expires_ms: 1_000,
        is_starved: software.is_some(),
        reason: NoUpstream::Full,
    }
}

/// Guards against a stream that waits for the only upstream of its version and holds up all
/// requests for the model, which other upstreams have room for.
#[test]
fn stream_that_waits_for_its_version_does_not_hold_up_other_requests() {
    let mut queue = WaitQueue::default();
    queue.push(queued(1, Some("v1")));
    queue.push(queued(2, None));
    let newcomer = OrderInput {
        requirements: &requirements(),
        priority: 0,
        arrived_ms: 0,
        first_arrived_ms: 0,
        due_ms: 900,
        is_starved: false,
    };
    let ahead = queue.count_ahead(0, newcomer);

    let round = queue.dispatch(0, |request| {
        let is_restricted = request.filter.software.is_some();
        if is_restricted {
            Err(NoUpstream::Full)
        } else {
            Ok("i-2")
        }
    });

    assert_eq!(ahead, 1, "the other request only");
    assert_eq!(round.dispatched, [(2, "i-2")]);
}
