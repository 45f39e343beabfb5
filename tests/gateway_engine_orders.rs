//! Orders to an engine of which the acting host does not know all.

mod common;

use common::{engine_entry, engine_spec, holdings};
use currantcove::core::catalog::EngineSpec;
use currantcove::core::engine_ledger::{EngineLedger, OrderBasis, ReportedState};
use currantcove::core::ids::{AdapterId, ModelId};

/// Ledger of an engine that has reported its count of orders.
fn ledger(orders_accepted: u64, models: &[(&str, &[&str])]) -> EngineLedger {
    let mut ledger = EngineLedger::new(&engine_entry("e1", 1, models));
    ledger.orders_accepted = Some(orders_accepted);
    ledger
}

/// Engine with memory for three models and two adapter slots.
fn spec() -> EngineSpec {
    engine_spec(2)
}

/// Guards against an order that exceeds an engine's adapter slots: a report showed it
/// before the reply arrived, it was counted twice, and the next order was sent by the
/// count of a state that the ledger did not know.
#[test]
fn order_that_a_report_shows_before_its_reply_is_counted_once() {
    let mut ledger = ledger(5, &[("m0", &["a1"])]);
    let key = (ModelId::new("m0"), AdapterId::new("a2"));
    let basis = ledger
        .charge_adapter_load(&spec(), &key, 1_000)
        .expect("fits");
    let resident = holdings(&[("m0", &["a1", "a2"])]);
    let report = ReportedState {
        orders_accepted: 6,
        is_busy: false,
        resident: &resident,
        loading_adapters: &[],
    };

    ledger.apply_report(&report, 1_100);
    ledger.on_order_accepted(basis, 1_110);

    assert_eq!(ledger.orders_accepted, Some(6));
    assert_eq!(ledger.charged_adapter_slots(), 2);
}

/// Guards against an order that exceeds an engine's adapter slots: the ledger had
/// counted one order too many, so that an unanswered order could still be executed after
/// the next one was accepted, and its charge was dropped.
#[test]
fn unanswered_order_by_a_higher_count_stays_charged_after_an_accepted_one() {
    let mut ledger = ledger(6, &[("m0", &["a1"])]);
    let key = (ModelId::new("m0"), AdapterId::new("a2"));
    let basis = ledger.charge_adapter_load(&spec(), &key, 0).expect("fits");
    let resident = holdings(&[("m0", &["a1"])]);
    let report = ReportedState {
        orders_accepted: 5,
        is_busy: false,
        resident: &resident,
        loading_adapters: &[],
    };
    ledger.apply_report(&report, 2_000);
    let corrected = ledger.basis().expect("reported");

    ledger.on_order_accepted(corrected, 2_100);

    assert!(corrected.orders_accepted < basis.orders_accepted);
    assert_eq!(
        ledger.charged_adapter_slots(),
        2,
        "executed as the next one"
    );
}

/// Guards against an adapter that no engine loads: its order was never executed, and as
/// the one without a reply stayed charged, it was not ordered again.
#[test]
fn order_without_a_reply_can_be_sent_again_in_its_own_room() {
    let mut ledger = ledger(5, &[("m0", &["a1"])]);
    let key = |adapter| (ModelId::new("m0"), AdapterId::new(adapter));
    let first = ledger.charge_adapter_load(&spec(), &key("a2"), 0);

    let needs_eviction = !ledger.has_room_for_adapter(&spec(), &key("a2"));
    let again = ledger.charge_adapter_load(&spec(), &key("a2"), 9_000);
    let other = ledger.charge_adapter_load(&spec(), &key("a3"), 9_000);

    assert!(!needs_eviction && first.is_some() && again == first);
    assert!(other.is_none(), "two slots");
    assert_eq!(ledger.charged_adapter_slots(), 2);
}

/// Guards against an acceptance by another incarnation of the engine, which restarted
/// under the same id while the order was on its way.
#[test]
fn acceptance_after_a_restart_requires_a_report() {
    let mut former = ledger(5, &[("m0", &[])]);
    let key = (ModelId::new("m0"), AdapterId::new("a2"));
    let basis = former.charge_adapter_load(&spec(), &key, 0).expect("fits");
    let mut restarted = ledger(5, &[("m0", &[])]);
    restarted.started_ms = 200;

    restarted.on_order_accepted(basis, 1_000);

    assert!(!restarted.accepts_orders(1_000) && restarted.needs_report(1_000));
}

#[test]
fn order_of_a_changed_engine_is_void_only_after_another_one_was_accepted() {
    use currantcove::gateway::orders::{OrderResult, result_without_basis};

    let at = |orders_accepted| OrderBasis {
        started_ms: 100,
        orders_accepted,
    };
    let after_another = result_without_basis(at(5), Some(at(6)), true);
    let while_unknown = result_without_basis(at(5), None, true);
    let after_correction = result_without_basis(at(5), Some(at(4)), true);
    let never_sent = result_without_basis(at(5), None, false);

    assert_eq!(after_another, OrderResult::Superseded);
    assert_eq!(while_unknown, OrderResult::Unknown);
    assert_eq!(after_correction, OrderResult::Unknown);
    assert_eq!(never_sent, OrderResult::Superseded);
}

/// Guards against an order that exceeds an engine's memory: the load of an earlier
/// acting host was being executed, ours conflicted with it and was given up, and the
/// next order was sent by the new count without the memory of the model being loaded.
#[test]
fn engine_that_loads_an_unknown_model_receives_no_order() {
    let mut ledger = ledger(5, &[("m0", &[]), ("m1", &[])]);
    ledger.loading = Some((ModelId::new("m2"), 9_000));
    let before = holdings(&[("m0", &[]), ("m1", &[])]);
    let during = ReportedState {
        orders_accepted: 6,
        is_busy: true,
        resident: &before,
        loading_adapters: &[],
    };
    let after = holdings(&[("m0", &[]), ("m1", &[]), ("m3", &[])]);
    let at_end = ReportedState {
        is_busy: false,
        resident: &after,
        ..during
    };

    ledger.apply_report(&during, 1_000);
    ledger.loading = None;
    let accepts_during_load = ledger.accepts_orders(2_000);
    ledger.apply_report(&at_end, 9_000);

    assert!(!accepts_during_load && ledger.accepts_orders(9_000));
    assert!(!ledger.fits_model(&spec(), &ModelId::new("m2")));
}
