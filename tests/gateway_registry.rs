//! What a host believes of upstreams, and of engines that it acts for.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use currantcove::core::adapters::{Site, choose_site};
use currantcove::core::catalog::{EngineSpec, ModelSpec};
use currantcove::core::engine_book::{EngineBook, Reported};
use currantcove::core::ids::{AdapterId, HostId, ModelId, ServiceId, UpstreamId, ZoneId};
use currantcove::core::load::InFlight;
use currantcove::core::peer_list::{Peer, PeerList, UNLISTED_FOR_MS};
use currantcove::core::peer_loads::{HOST_EXPIRES_MS, PeerLoads};
use currantcove::core::registry::{Entry, Holdings, LAPSE_GRACE_MS, Registry, RegistryChange};
use currantcove::gateway::membership::candidate_rank;

fn holds(models: &[(&str, &[&str])]) -> Holdings {
    let adapters = |names: &[&str]| names.iter().map(|a| AdapterId::new(a)).collect();
    models
        .iter()
        .map(|(m, names)| (ModelId::new(m), adapters(names)))
        .collect()
}

fn entry(id: &str, beat: u64, models: &[(&str, &[&str])]) -> Entry {
    Entry {
        id: UpstreamId::new(id),
        service: ServiceId::new("drafts"),
        addr: SocketAddr::from(([10, 0, 0, 1], 8000)),
        zone: ZoneId::new("a"),
        slots: 8,
        is_draining: false,
        started_ms: 100,
        beat,
        read_ms: 0,
        holds: holds(models),
        in_memory: BTreeSet::new(),
        on_disk: BTreeSet::new(),
    }
}

fn spec(adapter_slots: u32) -> EngineSpec {
    let model = ModelSpec {
        weights_mb: 70,
        adapters: 9,
        adapter_mb: 1,
        store_load: Duration::from_secs(9),
        disk_load: Duration::from_secs(2),
        memory_load: Duration::from_millis(800),
    };
    let models = ["m0", "m1", "m2", "m3"].map(|m| (ModelId::new(m), model.clone()));
    EngineSpec {
        batch: 8,
        cache_tokens: 10_000,
        weights_mb: 220,
        adapter_slots,
        store_loads_per_s: 2.0,
        models: BTreeMap::from(models),
    }
}

#[test]
fn an_entry_that_vanishes_while_the_store_answers_is_gone_at_once() {
    let mut registry = Registry::default();
    registry.upsert(entry("e1", 1, &[]), 0);

    let change = registry.remove("e1", false, 10);

    assert_eq!(change, Some(RegistryChange::Removed(UpstreamId::new("e1"))));
    assert!(registry.get("e1").is_none());
}

#[test]
fn an_entry_that_lapsed_in_an_outage_stays_for_the_grace_and_then_goes() {
    let mut registry = Registry::default();
    registry.upsert(entry("e1", 1, &[]), 0);

    let changes = registry.replace(Vec::new(), true, 1_000);

    assert_eq!(changes, [RegistryChange::Lapsed(UpstreamId::new("e1"))]);
    assert!(
        registry
            .expire_lapsed(1_000 + LAPSE_GRACE_MS - 1)
            .is_empty()
    );
    assert!(registry.get("e1").is_some());
    let expired = registry.expire_lapsed(1_000 + LAPSE_GRACE_MS);
    assert_eq!(expired, [RegistryChange::Removed(UpstreamId::new("e1"))]);
}

#[test]
fn an_entry_that_is_listed_again_within_the_grace_stays() {
    let mut registry = Registry::default();
    registry.upsert(entry("e1", 1, &[]), 0);
    registry.replace(Vec::new(), true, 1_000);

    registry.upsert(entry("e1", 2, &[]), 2_000);

    assert!(registry.expire_lapsed(60_000).is_empty());
    assert!(registry.get("e1").is_some());
}

#[test]
fn a_late_statement_of_an_earlier_time_or_incarnation_changes_nothing() {
    let mut registry = Registry::default();
    registry.upsert(entry("e1", 5, &[("m1", &[])]), 0);
    let older = entry("e1", 4, &[("m0", &[])]);
    let earlier = Entry {
        started_ms: 50,
        beat: 900,
        ..entry("e1", 0, &[("m0", &[])])
    };

    registry.upsert(older, 10);
    registry.upsert(earlier, 20);

    assert_eq!(
        registry.get("e1").map(|e| &e.holds),
        Some(&holds(&[("m1", &[])]))
    );
}

#[test]
fn a_listing_does_not_undo_what_the_acting_host_stated_a_moment_ago() {
    let mut registry = Registry::default();
    registry.upsert(entry("e1", 1, &[("m0", &[])]), 0);
    let after_order = holds(&[("m0", &["a1"])]);
    registry.observe_holdings(1_000, "e1", 100, (7, 1), &after_order);

    registry.upsert(entry("e1", 2, &[("m0", &[])]), 1_500);

    assert_eq!(registry.get("e1").map(|e| &e.holds), Some(&after_order));
}

#[test]
fn statements_of_the_acting_host_do_not_overtake_each_other() {
    let mut registry = Registry::default();
    registry.upsert(entry("e1", 1, &[("m0", &[])]), 0);
    let newer = holds(&[("m0", &["a2"])]);

    registry.observe_holdings(1_000, "e1", 100, (7, 2), &newer);
    registry.observe_holdings(1_001, "e1", 100, (7, 1), &holds(&[("m0", &["a1"])]));

    assert_eq!(registry.get("e1").map(|e| &e.holds), Some(&newer));
}

#[test]
fn a_listing_read_after_an_outage_never_changes_the_book_of_an_engine() {
    let mut book = EngineBook::new(&entry("e1", 1, &[("m0", &[]), ("m1", &[])]));
    let now_held = holds(&[("m0", &[]), ("m1", &[]), ("m2", &[])]);
    let report = Reported {
        orders_accepted: 3,
        is_busy: false,
        holds: &now_held,
        coming: &[],
    };
    book.take_report(&report, 10_000);
    let stale = Entry {
        read_ms: 20_000,
        ..entry("e1", 9, &[("m0", &[]), ("m1", &[])])
    };

    let must_ask = book.differs(&stale);

    assert!(must_ask, "the engine is asked");
    assert_eq!(book.holds, now_held);
    assert!(!book.fits_model(&spec(8), &ModelId::new("m3")));
}

#[test]
fn an_engine_that_is_busy_with_another_hosts_order_gets_none() {
    let mut book = EngineBook::new(&entry("e1", 1, &[("m0", &[])]));
    let held = holds(&[("m0", &[])]);
    let busy = Reported {
        orders_accepted: 4,
        is_busy: true,
        holds: &held,
        coming: &[],
    };

    book.take_report(&busy, 1_000);

    assert!(!book.takes_orders(1_000));
    assert!(book.must_ask(1_000));
}

#[test]
fn an_order_without_an_answer_stays_charged_until_a_later_one_is_accepted() {
    let mut book = EngineBook::new(&entry("e1", 1, &[("m0", &["a1"])]));
    book.orders_accepted = Some(1);
    let lost = (ModelId::new("m0"), AdapterId::new("a2"));
    book.coming.insert(lost.clone(), 0);
    book.uncertain.push(lost);

    let fits_before = book.fits_adapter(&spec(2), &ModelId::new("m0"));
    book.on_accepted(0);

    assert!(!fits_before, "two slots: one held, one that may come");
    assert!(book.fits_adapter(&spec(2), &ModelId::new("m0")));
    assert_eq!(book.orders_accepted, Some(2));
}

/// Replays a change of the acting host while an adapter is on its way: the new
/// one learnt of it by a report, never of its end, and did not load it again.
#[test]
fn an_adapter_that_another_host_ordered_does_not_stay_on_its_way() {
    let mut book = EngineBook::new(&entry("e1", 1, &[("m0", &[])]));
    let key = (ModelId::new("m0"), AdapterId::new("a2"));
    let before = holds(&[("m0", &[])]);
    let coming = [key.clone()];
    let report = |held, coming| Reported {
        orders_accepted: 4,
        is_busy: false,
        holds: held,
        coming,
    };
    book.take_report(&report(&before, &coming), 1_000);
    let was_coming = book.is_coming(&key);

    let must_ask = book.must_ask(5_000);
    book.take_report(&report(&before, &[]), 5_000);

    assert!(was_coming && must_ask);
    assert!(!book.is_coming(&key), "it can be ordered again");
}

/// Replays an order that met a conflict: the report asked for meanwhile did not
/// know the adapter, which was then accepted and not charged, and the next one
/// exceeded the slots.
#[test]
fn an_adapter_accepted_after_a_report_without_it_takes_up_its_slot() {
    let mut book = EngineBook::new(&entry("e1", 1, &[("m0", &["a1"])]));
    book.orders_accepted = Some(1);
    let key = (ModelId::new("m0"), AdapterId::new("a2"));
    let held = holds(&[("m0", &["a1"])]);
    let report = Reported {
        orders_accepted: 1,
        is_busy: false,
        holds: &held,
        coming: &[],
    };
    book.coming.insert(key.clone(), 0);
    book.take_report(&report, 1_000);

    book.on_accepted(1_000);
    book.on_adapter_accepted(&key, 1_000);

    assert_eq!(book.adapters_charged(), 2);
    assert!(!book.fits_adapter(&spec(2), &ModelId::new("m0")));
}

/// Replays a report that lags behind a load which has just ended: it took the
/// adapter out of the book.
#[test]
fn a_report_from_before_the_last_order_changes_nothing() {
    let mut book = EngineBook::new(&entry("e1", 1, &[("m0", &[])]));
    book.orders_accepted = Some(1);
    book.on_accepted(1_000);
    book.holds = holds(&[("m0", &["a1"])]);
    let before = holds(&[("m0", &[])]);
    let report = Reported {
        orders_accepted: 1,
        is_busy: false,
        holds: &before,
        coming: &[],
    };

    book.take_report(&report, 1_200);
    let charged_then = book.adapters_charged();
    book.take_report(&report, 2_000);

    assert_eq!(charged_then, 1, "the report may lag");
    assert_eq!(book.adapters_charged(), 0, "it does not lag so long");
    assert_eq!(book.orders_accepted, Some(1));
}

#[test]
fn a_model_that_is_being_unloaded_still_occupies_its_memory_and_slots() {
    let mut book = EngineBook::new(&entry(
        "e1",
        1,
        &[("m0", &["a1"]), ("m1", &[]), ("m2", &[])],
    ));
    let adapters = book.holds.remove("m0").expect("held");

    book.unloading = Some((ModelId::new("m0"), adapters));

    assert!(!book.fits_model(&spec(8), &ModelId::new("m3")));
    assert_eq!(book.adapters_charged(), 1);
}

#[test]
fn adapters_of_a_popular_model_spread_instead_of_pushing_each_other_out() {
    let full = Site {
        fill: 0.1,
        free_slots: 0,
        victim_idle_ms: 200,
        ..Site::default()
    };
    let roomy = Site {
        fill: 0.5,
        free_slots: 3,
        ..Site::default()
    };

    assert_eq!(choose_site(&[full, roomy]), Some(1));
}

#[test]
fn an_adapter_that_a_copy_with_room_holds_is_not_loaded_again() {
    let holder = Site {
        fill: 0.2,
        has_adapter: true,
        ..Site::default()
    };
    let busy_holder = Site {
        fill: 0.9,
        ..holder
    };
    let other = Site {
        free_slots: 4,
        ..Site::default()
    };

    assert_eq!(choose_site(&[holder, other]), None);
    assert_eq!(choose_site(&[busy_holder, other]), Some(1));
}

#[test]
fn requests_of_a_host_that_fell_silent_do_not_count() {
    let mut loads = PeerLoads::default();
    let upstream = UpstreamId::new("e1");
    let load = InFlight {
        requests: 3,
        tokens: 300,
        unread_tokens: 100,
    };

    loads.observe(0, &HostId::new("h1"), 1, &[(upstream.clone(), load)]);
    loads.observe(2_000, &HostId::new("h2"), 1, &[(upstream.clone(), load)]);

    assert_eq!(loads.total(2_000, &upstream).requests, 6);
    assert_eq!(loads.total(HOST_EXPIRES_MS + 1, &upstream).requests, 3);
}

#[test]
fn a_restarted_host_has_nothing_of_its_former_process_in_flight() {
    let mut loads = PeerLoads::default();
    let upstream = UpstreamId::new("e1");
    let load = InFlight {
        requests: 3,
        tokens: 300,
        unread_tokens: 100,
    };
    loads.observe(0, &HostId::new("h1"), 1, &[(upstream.clone(), load)]);

    loads.observe(100, &HostId::new("h1"), 2, &[]);
    loads.observe(110, &HostId::new("h1"), 1, &[(upstream.clone(), load)]);

    assert!(loads.total(110, &upstream).is_empty());
}

/// Replays a fleet of unequal machines whose smallest one acted: it was busy
/// with plans and reports for seconds, and its callers' requests waited.
#[test]
fn the_largest_machines_act_first() {
    let hosts = [("a", 120), ("b", 500), ("c", 500), ("d", 250)];
    let ids: Vec<(HostId, u32)> = hosts.iter().map(|(h, c)| (HostId::new(h), *c)).collect();

    let places: Vec<u64> = ids
        .iter()
        .map(|(id, cpu)| candidate_rank(ids.iter().map(|(h, c)| (h, *c)), id, *cpu))
        .collect();

    assert_eq!(places, [3, 0, 1, 2]);
}

/// Replays a host that the store refused for nine seconds while it served: it
/// was told nothing of unloads and went on to send to engines that refused.
#[test]
fn a_host_whose_entry_lapsed_is_still_told_what_others_know() {
    let addr = std::net::SocketAddr::from(([10, 0, 0, 1], 7000));
    let peer = Peer::new(addr, 250);
    let mut peers = PeerList::default();
    peers.insert(HostId::new("h1"), peer);
    peers.insert(HostId::new("h2"), peer);
    let names = |now_ms: u64, peers: &PeerList| -> Vec<String> {
        let told = peers.reachable(now_ms);
        let mut names: Vec<String> = told.map(|(h, _)| h.to_string()).collect();
        names.sort();
        names
    };

    peers.unlist(1_000, "h2");
    let listed_then = peers.listed().count();
    let told_then = names(10_000, &peers);
    let told_later = names(1_000 + UNLISTED_FOR_MS, &peers);
    peers.replace(11_000, [(HostId::new("h2"), peer)].into());

    assert_eq!(listed_then, 1, "it does not count among those that may act");
    assert_eq!(told_then, ["h1", "h2"]);
    assert_eq!(told_later, ["h1"]);
    assert_eq!(
        names(60_000, &peers),
        ["h2"],
        "listed again, the other gone"
    );
}
