//! A host's view of upstreams, peers and the engines that it acts for.

mod common;

use common::{engine_entry as entry, engine_spec as spec, holdings};
use currantcove::core::adapters::{CandidateEngine, select_engine};
use currantcove::core::engine_ledger::{EngineLedger, ReportedState};
use currantcove::core::ids::{AdapterId, HostId, ModelId, UpstreamId};
use currantcove::core::load::InFlight;
use currantcove::core::peer_list::{Peer, PeerList, UNLISTED_GRACE_MS, rank_by_cpu};
use currantcove::core::peer_loads::{HOST_LOADS_EXPIRE_MS, PeerLoads};
use currantcove::core::registry::{
    Entry, LAPSE_GRACE_MS, Registry, RegistryChange, lapse_grace_ms,
};

/// Records an order that was decided by the present state of the ledger.
fn accept_order(ledger: &mut EngineLedger, now_ms: u64) {
    let basis = ledger.basis().expect("the engine has reported");
    ledger.on_order_accepted(basis, now_ms);
}

#[test]
fn entry_deleted_while_the_store_is_available_is_removed_at_once() {
    let mut registry = Registry::default();
    registry.upsert(entry("e1", 1, &[]), 0);

    let change = registry.remove("e1", None, 10);

    assert_eq!(change, Some(RegistryChange::Removed(UpstreamId::new("e1"))));
    assert!(registry.get("e1").is_none());
}

#[test]
fn lapsed_entry_is_removed_after_the_grace_period() {
    let mut registry = Registry::default();
    registry.upsert(entry("e1", 1, &[]), 0);

    let changes = registry.replace(Vec::new(), Some(1_000 + LAPSE_GRACE_MS), 1_000);

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
fn entry_listed_again_within_the_grace_period_stays() {
    let mut registry = Registry::default();
    registry.upsert(entry("e1", 1, &[]), 0);
    registry.replace(Vec::new(), Some(1_000 + LAPSE_GRACE_MS), 1_000);

    registry.upsert(entry("e1", 2, &[]), 2_000);

    assert!(registry.expire_lapsed(60_000).is_empty());
    assert!(registry.get("e1").is_some());
}

#[test]
fn outdated_announcements_are_ignored() {
    let mut registry = Registry::default();
    registry.upsert(entry("e1", 5, &[("m1", &[])]), 0);
    let older = entry("e1", 4, &[("m0", &[])]);
    let earlier = Entry {
        started_ms: 50,
        sequence: 900,
        ..entry("e1", 0, &[("m0", &[])])
    };

    registry.upsert(older, 10);
    registry.upsert(earlier, 20);

    assert_eq!(
        registry.get("e1").map(|e| &e.resident),
        Some(&holdings(&[("m1", &[])]))
    );
}

#[test]
fn recent_observation_takes_precedence_over_a_listing() {
    let mut registry = Registry::default();
    registry.upsert(entry("e1", 1, &[("m0", &[])]), 0);
    let after_order = holdings(&[("m0", &["a1"])]);
    registry.apply_holdings(1_000, "e1", 100, (7, 1), &after_order);

    registry.upsert(entry("e1", 2, &[("m0", &[])]), 1_500);

    assert_eq!(registry.get("e1").map(|e| &e.resident), Some(&after_order));
}

#[test]
fn older_observation_does_not_replace_a_newer_one() {
    let mut registry = Registry::default();
    registry.upsert(entry("e1", 1, &[("m0", &[])]), 0);
    let newer = holdings(&[("m0", &["a2"])]);

    registry.apply_holdings(1_000, "e1", 100, (7, 2), &newer);
    registry.apply_holdings(1_001, "e1", 100, (7, 1), &holdings(&[("m0", &["a1"])]));

    assert_eq!(registry.get("e1").map(|e| &e.resident), Some(&newer));
}

#[test]
fn outdated_listing_does_not_change_the_ledger() {
    let mut ledger = EngineLedger::new(&entry("e1", 1, &[("m0", &[]), ("m1", &[])]));
    let current_holdings = holdings(&[("m0", &[]), ("m1", &[]), ("m2", &[])]);
    let report = ReportedState {
        orders_accepted: 3,
        is_busy: false,
        resident: &current_holdings,
        loading_adapters: &[],
    };
    ledger.apply_report(&report, 10_000);
    let stale = Entry {
        read_ms: 20_000,
        ..entry("e1", 9, &[("m0", &[]), ("m1", &[])])
    };

    let needs_report = ledger.check_listing(&stale);

    assert!(needs_report, "a report is requested");
    assert_eq!(ledger.resident, current_holdings);
    assert!(!ledger.fits_model(&spec(8), &ModelId::new("m3")));
}

#[test]
fn engine_busy_with_another_hosts_order_accepts_none() {
    let mut ledger = EngineLedger::new(&entry("e1", 1, &[("m0", &[])]));
    let resident = holdings(&[("m0", &[])]);
    let busy = ReportedState {
        orders_accepted: 4,
        is_busy: true,
        resident: &resident,
        loading_adapters: &[],
    };

    ledger.apply_report(&busy, 1_000);

    assert!(!ledger.accepts_orders(1_000));
    assert!(ledger.needs_report(1_000));
}

#[test]
fn unanswered_order_stays_charged_until_a_later_one_is_accepted() {
    let mut ledger = EngineLedger::new(&entry("e1", 1, &[("m0", &["a1"])]));
    ledger.orders_accepted = Some(1);
    let key = (ModelId::new("m0"), AdapterId::new("a2"));
    let basis = ledger.charge_adapter_load(&spec(2), &key, 0).expect("fits");

    let fits_before = ledger.fits_adapter(&spec(2), &ModelId::new("m0"));
    ledger.on_order_accepted(basis, 0);

    assert!(
        !fits_before,
        "two slots: one resident, one that may be loading"
    );
    assert!(ledger.fits_adapter(&spec(2), &ModelId::new("m0")));
    assert_eq!(ledger.orders_accepted, Some(2));
}

/// Guards against an adapter that counts as loading forever: the acting host
/// changed during a load, the new one received a report of the load but not of
/// its end, and never ordered the adapter again.
#[test]
fn adapter_ordered_by_another_host_does_not_load_forever() {
    let mut ledger = EngineLedger::new(&entry("e1", 1, &[("m0", &[])]));
    let key = (ModelId::new("m0"), AdapterId::new("a2"));
    let before = holdings(&[("m0", &[])]);
    let loading_adapters = [key.clone()];
    let report = |resident, loading_adapters| ReportedState {
        orders_accepted: 4,
        is_busy: false,
        resident,
        loading_adapters,
    };
    ledger.apply_report(&report(&before, &loading_adapters), 1_000);
    let was_loading = ledger.is_adapter_loading(&key);

    let needs_report = ledger.needs_report(5_000);
    ledger.apply_report(&report(&before, &[]), 5_000);

    assert!(was_loading && needs_report);
    assert!(
        !ledger.is_adapter_loading(&key),
        "the adapter can be ordered again"
    );
}

/// Guards against an uncharged adapter: an order met a conflict, the report
/// that was requested then did not contain the adapter, which was accepted
/// afterwards without being charged, and the next order exceeded the slots.
#[test]
fn adapter_accepted_after_a_report_without_it_is_charged() {
    let mut ledger = EngineLedger::new(&entry("e1", 1, &[("m0", &["a1"])]));
    ledger.orders_accepted = Some(1);
    let key = (ModelId::new("m0"), AdapterId::new("a2"));
    let resident = holdings(&[("m0", &["a1"])]);
    let report = ReportedState {
        orders_accepted: 1,
        is_busy: false,
        resident: &resident,
        loading_adapters: &[],
    };
    ledger.loading_adapters.insert(key.clone(), 0);
    ledger.apply_report(&report, 1_000);

    accept_order(&mut ledger, 1_000);
    ledger.on_adapter_accepted(&key, 1_000);

    assert_eq!(ledger.charged_adapter_slots(), 2);
    assert!(!ledger.fits_adapter(&spec(2), &ModelId::new("m0")));
}

/// Guards against a lagging report that removes an adapter from the ledger
/// whose load has just ended.
#[test]
fn report_that_predates_the_last_order_is_ignored() {
    let mut ledger = EngineLedger::new(&entry("e1", 1, &[("m0", &[])]));
    ledger.orders_accepted = Some(1);
    accept_order(&mut ledger, 1_000);
    ledger.resident = holdings(&[("m0", &["a1"])]);
    let before = holdings(&[("m0", &[])]);
    let report = ReportedState {
        orders_accepted: 1,
        is_busy: false,
        resident: &before,
        loading_adapters: &[],
    };

    ledger.apply_report(&report, 1_200);
    let charged_within_lag = ledger.charged_adapter_slots();
    ledger.apply_report(&report, 2_000);

    assert_eq!(charged_within_lag, 1, "the report may lag");
    assert_eq!(ledger.charged_adapter_slots(), 0, "the lag has elapsed");
    assert_eq!(ledger.orders_accepted, Some(1));
}

#[test]
fn unloading_model_stays_charged() {
    let mut ledger = EngineLedger::new(&entry(
        "e1",
        1,
        &[("m0", &["a1"]), ("m1", &[]), ("m2", &[])],
    ));
    let adapters = ledger.resident.remove("m0").expect("held");

    ledger.unloading = Some((ModelId::new("m0"), adapters));

    assert!(!ledger.fits_model(&spec(8), &ModelId::new("m3")));
    assert_eq!(ledger.charged_adapter_slots(), 1);
}

#[test]
fn adapter_is_loaded_into_a_free_slot_instead_of_evicting_another() {
    let full = CandidateEngine {
        batch_fill: 0.1,
        free_slots: 0,
        victim_idle_ms: 200,
        ..CandidateEngine::default()
    };
    let with_free_slots = CandidateEngine {
        batch_fill: 0.5,
        free_slots: 3,
        ..CandidateEngine::default()
    };

    assert_eq!(select_engine(&[full, with_free_slots]), Some(1));
}

#[test]
fn adapter_is_loaded_again_only_if_its_holder_is_busy() {
    let holder = CandidateEngine {
        batch_fill: 0.2,
        has_adapter: true,
        ..CandidateEngine::default()
    };
    let busy_holder = CandidateEngine {
        batch_fill: 0.9,
        ..holder
    };
    let other = CandidateEngine {
        free_slots: 4,
        ..CandidateEngine::default()
    };

    assert_eq!(select_engine(&[holder, other]), None);
    assert_eq!(select_engine(&[busy_holder, other]), Some(1));
}

#[test]
fn loads_of_a_host_without_reports_expire() {
    let mut loads = PeerLoads::default();
    let upstream = UpstreamId::new("e1");
    let load = InFlight {
        requests: 3,
        tokens: 300,
        unread_tokens: 100,
    };

    loads.apply_report(0, &HostId::new("h1"), 1, &[(upstream.clone(), load)]);
    loads.apply_report(2_000, &HostId::new("h2"), 1, &[(upstream.clone(), load)]);

    assert_eq!(loads.total(2_000, &upstream).requests, 6);
    assert_eq!(loads.total(HOST_LOADS_EXPIRE_MS + 1, &upstream).requests, 3);
}

#[test]
fn restarted_host_clears_the_loads_of_its_former_process() {
    let mut loads = PeerLoads::default();
    let upstream = UpstreamId::new("e1");
    let load = InFlight {
        requests: 3,
        tokens: 300,
        unread_tokens: 100,
    };
    loads.apply_report(0, &HostId::new("h1"), 1, &[(upstream.clone(), load)]);

    loads.apply_report(100, &HostId::new("h1"), 2, &[]);
    loads.apply_report(110, &HostId::new("h1"), 1, &[(upstream.clone(), load)]);

    assert!(loads.total(110, &upstream).is_empty());
}

/// Guards against a small machine as acting host: in a fleet of unequal
/// machines, planning and reports kept the smallest one busy for seconds, and
/// its callers' requests waited.
#[test]
fn machines_with_the_most_cpu_act_first() {
    let hosts = [("a", 120), ("b", 500), ("c", 500), ("d", 250)];
    let ids: Vec<(HostId, u32)> = hosts.iter().map(|(h, c)| (HostId::new(h), *c)).collect();

    let ranks: Vec<u64> = ids
        .iter()
        .map(|(id, cpu)| rank_by_cpu(ids.iter().map(|(h, c)| (h, *c)), id, *cpu))
        .collect();

    assert_eq!(ranks, [3, 0, 1, 2]);
}

/// Guards against outdated holdings at a host without a lease: the store
/// refused a serving host for nine seconds. It received no messages about
/// unloads and continued to send requests to engines that refused them.
#[test]
fn unlisted_host_remains_a_recipient_during_the_grace_period() {
    let addr = std::net::SocketAddr::from(([10, 0, 0, 1], 7000));
    let peer = Peer::new(addr, 250);
    let mut peers = PeerList::default();
    peers.insert(HostId::new("h1"), peer.clone());
    peers.insert(HostId::new("h2"), peer.clone());
    let names = |now_ms: u64, peers: &PeerList| -> Vec<String> {
        let recipients = peers.recipients(now_ms);
        let mut names: Vec<String> = recipients.map(|(h, _)| h.to_string()).collect();
        names.sort();
        names
    };

    peers.mark_unlisted(1_000, "h2");
    let listed_count = peers.listed().count();
    let recipients_within_grace = names(10_000, &peers);
    let recipients_after_grace = names(1_000 + UNLISTED_GRACE_MS, &peers);
    peers.replace(11_000, [(HostId::new("h2"), peer)].into());

    assert_eq!(listed_count, 1, "unlisted hosts may not act");
    assert_eq!(recipients_within_grace, ["h1", "h2"]);
    assert_eq!(recipients_after_grace, ["h1"]);
    assert_eq!(
        names(60_000, &peers),
        ["h2"],
        "listed again; the other host is removed"
    );
}

/// Guards against adapters that wait for an engine that has crashed and is still
/// listed, while another one could load them.
#[test]
fn engine_replaced_at_its_address_is_lost_and_holds_nothing() {
    let mut ledger = EngineLedger::new(&entry("e1", 1, &[("m0", &["a1"])]));
    ledger.orders_accepted = Some(3);

    let is_news = ledger.on_incarnation(200);
    let is_news_again = ledger.on_incarnation(200);

    assert_eq!((is_news, is_news_again), (true, false));
    assert!(ledger.is_lost() && ledger.resident.is_empty());
    assert!(!ledger.accepts_orders(10_000) && !ledger.needs_report(10_000));
}

#[test]
fn engine_that_cannot_be_reached_twice_is_lost_until_it_responds() {
    let mut ledger = EngineLedger::new(&entry("e1", 1, &[("m0", &["a1"])]));

    ledger.on_unreachable();
    let is_lost_once = ledger.is_lost();
    ledger.on_unreachable();
    let is_lost_twice = ledger.is_lost();
    ledger.on_contact();

    assert_eq!((is_lost_once, is_lost_twice), (false, true));
    assert!(!ledger.is_lost());
    assert!(
        !ledger.resident.is_empty(),
        "it may still serve other hosts"
    );
}

#[test]
fn report_of_the_same_incarnation_does_not_make_an_engine_lost() {
    let mut ledger = EngineLedger::new(&entry("e1", 1, &[("m0", &[])]));

    let is_news = ledger.on_incarnation(100);

    assert!(!is_news && !ledger.is_lost());
}

/// Guards against an order that exceeds an engine's adapter slots: an order without
/// a response was executed after all, the next report listed its adapter as
/// loading, and the charge was dropped when a later order was accepted.
#[test]
fn unanswered_order_that_a_report_shows_to_be_executed_stays_charged() {
    let mut ledger = EngineLedger::new(&entry("e1", 1, &[("m0", &["a1"])]));
    ledger.orders_accepted = Some(1);
    let key = (ModelId::new("m0"), AdapterId::new("a2"));
    ledger.charge_adapter_load(&spec(2), &key, 0).expect("fits");
    let before = holdings(&[("m0", &["a1"])]);
    let loading_adapters = [key];
    let report = ReportedState {
        orders_accepted: 2,
        is_busy: false,
        resident: &before,
        loading_adapters: &loading_adapters,
    };

    ledger.apply_report(&report, 600);
    accept_order(&mut ledger, 700);

    assert_eq!(ledger.charged_adapter_slots(), 2);
    assert!(!ledger.fits_adapter(&spec(2), &ModelId::new("m0")));
}

/// Guards against an order that exceeds an engine's memory: a load ended and an
/// unload was ordered right afterwards; the report that had shown the end of the load
/// predated the unload, and the memory of the model that was being unloaded was taken
/// for free.
#[test]
fn report_of_a_load_that_predates_an_unload_leaves_the_unload_charged() {
    let mut ledger = EngineLedger::new(&entry("e1", 1, &[("m0", &[]), ("m1", &[]), ("m2", &[])]));
    ledger.orders_accepted = Some(1);
    let before_unload = holdings(&[("m0", &[]), ("m1", &[]), ("m2", &[])]);
    let adapters = ledger.resident.remove("m0").expect("resident");
    ledger.unloading = Some((ModelId::new("m0"), adapters));
    accept_order(&mut ledger, 1_000);
    let report = ReportedState {
        orders_accepted: 1,
        is_busy: false,
        resident: &before_unload,
        loading_adapters: &[],
    };

    let is_applied = ledger.on_load_ended(&ModelId::new("m2"), &report, 1_100);

    assert!(!is_applied, "it may predate the unload");
    assert!(!ledger.fits_model(&spec(8), &ModelId::new("m3")));
}

#[test]
fn report_of_an_ended_load_does_not_end_an_unload() {
    let mut ledger = EngineLedger::new(&entry("e1", 1, &[("m0", &[]), ("m1", &[]), ("m2", &[])]));
    ledger.orders_accepted = Some(1);
    let reported = holdings(&[("m1", &[]), ("m2", &[])]);
    let adapters = ledger.resident.remove("m0").expect("resident");
    ledger.unloading = Some((ModelId::new("m0"), adapters));
    accept_order(&mut ledger, 1_000);
    let report = ReportedState {
        orders_accepted: 2,
        is_busy: true,
        resident: &reported,
        loading_adapters: &[],
    };

    ledger.on_load_ended(&ModelId::new("m2"), &report, 1_500);

    assert!(!ledger.fits_model(&spec(8), &ModelId::new("m3")));
}

/// Guards against an order that exceeds an engine's memory: a load without a response
/// was being executed, the next attempt conflicted with it, a report from before it
/// showed nothing, and the load was taken for refused.
#[test]
fn conflict_after_an_unanswered_order_is_no_refusal() {
    use currantcove::gateway::orders::{OrderResult, ReportOutcome, result_after_conflict};
    use currantcove::gateway::platform::Order;

    let order = Order::LoadModel(ModelId::new("m0"));
    let unanswered = result_after_conflict(&order, ReportOutcome::Nothing, true);
    let answered = result_after_conflict(&order, ReportOutcome::Nothing, false);

    assert_eq!(unanswered, None, "the order is sent again");
    assert_eq!(answered, Some(OrderResult::Refused));
}

/// Guards against evictions by an acting host that has just been elected: it knows
/// no demand yet, so that models in use look idle.
#[test]
fn no_model_is_evictable_while_the_demand_is_unknown() {
    let ledger = EngineLedger::new(&entry("e1", 1, &[("m0", &[]), ("m1", &[])]));

    let at_start = ledger.protected_models(50_000, false);
    let later = ledger.protected_models(50_000, true);

    assert_eq!(at_start.len(), 2);
    assert!(later.is_empty());
}

/// Guards against an order that exceeds an engine's memory: a load from host memory
/// took 0.4 s, the first report after it still showed the engine before the order, and
/// the load was taken for ended.
#[test]
fn report_from_before_a_fast_load_does_not_end_it() {
    let mut ledger = EngineLedger::new(&entry("e1", 1, &[("m0", &[]), ("m1", &[])]));
    ledger.orders_accepted = Some(4);
    ledger.loading = Some((ModelId::new("m2"), 1_380));
    accept_order(&mut ledger, 1_000);
    let before = holdings(&[("m0", &[]), ("m1", &[])]);
    let report = ReportedState {
        orders_accepted: 4,
        is_busy: false,
        resident: &before,
        loading_adapters: &[],
    };

    let is_ended = ledger.on_load_ended(&ModelId::new("m2"), &report, 1_450);

    assert!(!is_ended);
    assert!(!ledger.fits_model(&spec(8), &ModelId::new("m3")));
    assert_eq!(ledger.orders_accepted, Some(5));
}

#[test]
fn adapter_stays_charged_while_a_report_may_predate_its_load() {
    let mut ledger = EngineLedger::new(&entry("e1", 1, &[("m0", &["a1"])]));
    ledger.orders_accepted = Some(4);
    let key = (ModelId::new("m0"), AdapterId::new("a2"));
    ledger.on_adapter_accepted(&key, 1_000);
    accept_order(&mut ledger, 1_000);
    let before = holdings(&[("m0", &["a1"])]);
    let report = ReportedState {
        orders_accepted: 4,
        is_busy: false,
        resident: &before,
        loading_adapters: &[],
    };

    ledger.apply_report(&report, 1_700);

    assert_eq!(ledger.charged_adapter_slots(), 2);
}

/// Guards against an order that exceeds an engine's adapter slots: the load of an
/// adapter ended while the unload of its model was being sent. The engine refused the
/// unload, and the adapter was missing in the ledger.
#[test]
fn adapter_loaded_while_its_model_is_unloading_stays_charged() {
    let mut ledger = EngineLedger::new(&entry("e1", 1, &[("m0", &["a1"]), ("m1", &[])]));
    let key = (ModelId::new("m0"), AdapterId::new("a2"));
    ledger.on_adapter_accepted(&key, 1_000);
    let adapters = ledger.resident.remove("m0").expect("resident");
    ledger.unloading = Some((ModelId::new("m0"), adapters));

    ledger.on_adapter_loaded(&key);

    assert_eq!(ledger.charged_adapter_slots(), 2);
    let (_, adapters) = ledger.unloading.expect("unloading");
    assert!(adapters.contains("a2"), "restored if the unload fails");
}

#[test]
fn all_adapter_slots_are_used_and_no_more() {
    let mut ledger = EngineLedger::new(&entry("e1", 1, &[("m0", &["a1", "a2", "a3"])]));
    ledger.orders_accepted = Some(1);
    let spec = spec(4);
    let key = |adapter| (ModelId::new("m0"), AdapterId::new(adapter));

    let fourth = ledger.charge_adapter_load(&spec, &key("a4"), 0);
    let fifth = ledger.charge_adapter_load(&spec, &key("a5"), 0);

    assert!(fourth.is_some() && fifth.is_none());
    assert_eq!(ledger.charged_adapter_slots(), 4);
}

#[test]
fn reports_show_an_accepted_order_only_after_their_lag() {
    let mut ledger = EngineLedger::new(&entry("e1", 1, &[]));
    ledger.orders_accepted = Some(1);

    accept_order(&mut ledger, 1_000);

    assert!(ledger.report_lag_left_ms(1_000) >= 400);
    assert_eq!(ledger.report_lag_left_ms(1_400), 0);
}

/// Guards against an order that exceeds an engine's adapter slots: a new acting host
/// ordered an unload by a report that lagged; the report after the conflict showed one
/// more adapter of that model, and the refusal brought back the model without it.
#[test]
fn rejected_unload_requires_a_report_before_the_next_order() {
    let mut ledger = EngineLedger::new(&entry("e1", 1, &[("m0", &["a1"]), ("m1", &[])]));
    ledger.orders_accepted = Some(27);
    let adapters = ledger.resident.remove("m0").expect("resident");
    ledger.unloading = Some((ModelId::new("m0"), adapters));
    let resident = holdings(&[("m0", &["a1", "a4"]), ("m1", &[])]);
    let report = ReportedState {
        orders_accepted: 28,
        is_busy: false,
        resident: &resident,
        loading_adapters: &[],
    };
    ledger.apply_report(&report, 1_000);

    ledger.on_unload_rejected();
    let accepts_before_report = ledger.accepts_orders(2_000);
    ledger.apply_report(&report, 2_000);

    assert!(!accepts_before_report && ledger.accepts_orders(2_000));
    assert_eq!(ledger.charged_adapter_slots(), 2);
}

/// Guards against an engine that stays out of all plans after a partition has healed:
/// it received no order or request for a report that would have shown that it is back.
#[test]
fn lost_engine_is_asked_for_a_report() {
    let mut ledger = EngineLedger::new(&entry("e1", 1, &[("m0", &[])]));
    ledger.orders_accepted = Some(3);
    let needed_before = ledger.needs_report(1_000);

    ledger.on_unreachable();
    ledger.on_unreachable();

    assert!(!needed_before);
    assert!(ledger.needs_report(1_000));
}

/// Guards against an order that is taken for unsent because its engine is no longer
/// listed or its count of orders became unknown, although an earlier attempt has no
/// response yet.
#[test]
fn order_with_an_unanswered_attempt_is_never_taken_for_unsent() {
    use currantcove::gateway::orders::{OrderResult, result_without_sending};

    assert_eq!(result_without_sending(true), OrderResult::Unknown);
    assert_eq!(result_without_sending(false), OrderResult::Refused);
}

/// Guards against requests to an upstream that has left: its entry was deleted late in the
/// grace period of an outage, and a period of its own began.
#[test]
fn deletion_late_in_the_grace_period_does_not_extend_it() {
    let mut registry = Registry::default();
    registry.upsert(entry("e1", 1, &[]), 0);
    let until_ms = Some(1_000 + lapse_grace_ms(2_000));

    registry.remove("e1", until_ms, 2_500);
    let in_period = registry.expire_lapsed(2_600);
    let at_end = registry.expire_lapsed(1_000 + lapse_grace_ms(2_000));

    assert!(in_period.is_empty());
    assert_eq!(at_end, [RegistryChange::Removed(UpstreamId::new("e1"))]);
}

#[test]
fn deletion_after_the_grace_period_removes_the_entry() {
    let mut registry = Registry::default();
    registry.upsert(entry("e1", 1, &[]), 0);

    let change = registry.remove("e1", Some(2_750), 2_750);

    assert_eq!(change, Some(RegistryChange::Removed(UpstreamId::new("e1"))));
}

#[test]
fn grace_period_ends_before_the_limit_for_upstreams_that_have_left() {
    for drain_within_ms in [1_000, 2_000, 3_000, 4_000] {
        let grace_ms = lapse_grace_ms(drain_within_ms);

        assert!(grace_ms < drain_within_ms && grace_ms <= LAPSE_GRACE_MS);
    }
    assert_eq!(lapse_grace_ms(100), 0);
}
