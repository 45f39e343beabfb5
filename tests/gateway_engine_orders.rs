//! Orders to an engine of which the acting host does not know all.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use currantcove::core::catalog::{EngineSpec, ModelSpec};
use currantcove::core::engine_ledger::{EngineLedger, ReportedState};
use currantcove::core::ids::{AdapterId, ModelId, ServiceId, UpstreamId, ZoneId};
use currantcove::core::registry::{Entry, Holdings};

fn holdings(models: &[(&str, &[&str])]) -> Holdings {
    let adapters = |names: &[&str]| names.iter().map(|a| AdapterId::new(a)).collect();
    models
        .iter()
        .map(|(m, names)| (ModelId::new(m), adapters(names)))
        .collect()
}

/// Ledger of an engine that has reported its count of orders.
fn ledger(orders_accepted: u64, models: &[(&str, &[&str])]) -> EngineLedger {
    let entry = Entry {
        id: UpstreamId::new("e1"),
        service: ServiceId::new("drafts"),
        addr: SocketAddr::from(([10, 0, 0, 1], 8000)),
        zone: ZoneId::new("a"),
        slots: 8,
        is_draining: false,
        started_ms: 100,
        sequence: 1,
        read_ms: 0,
        resident: holdings(models),
        in_memory: BTreeSet::new(),
        on_disk: BTreeSet::new(),
    };
    let mut ledger = EngineLedger::new(&entry);
    ledger.orders_accepted = Some(orders_accepted);
    ledger
}

/// Engine with memory for three models and two adapter slots.
fn spec() -> EngineSpec {
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
        adapter_slots: 2,
        store_loads_per_s: 2.0,
        models: BTreeMap::from(models),
    }
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
