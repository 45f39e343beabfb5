//! Exhaustive state-space search over the ledger code, and mutants of it that
//! must fail.
//!
//! There are two hosts, and one engine with memory for one of two models. Every
//! message may be delayed or lost, every host may stall between any two steps
//! or lose its state, and every response of the platform may be lost after its
//! write took effect. The search runs `core::ledger` itself, so that its rules
//! are not duplicated.

use std::collections::{BTreeMap, BTreeSet};

use currantcove::core::ids::{ArtifactId, HostId};
use currantcove::core::ledger::{EntryState, Inventory, Ledger, LedgerSnapshot, Order, OrderKind};
use pathfinding::directed::bfs::bfs_reach;

const SIZE_MIB: u64 = 1;
const CAPACITY_MIB: u64 = 1;
/// Bound of the fencing token, which makes the state space finite.
const MAX_FENCE: u64 = 4;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mutant {
    None,
    /// An order is sent even if the reservation was not written.
    SendBeforeReservation,
    /// An order without a response is settled after a timeout.
    SettleOnTimeout,
    /// An inventory is applied regardless of when it was requested.
    StaleInventory,
    /// The holder writes without comparing the revision.
    WriteWithoutCompare,
}

#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct SentOrder {
    number: u64,
    is_load: bool,
    model: usize,
}

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Host {
    /// Ledger as read or written, with its revision.
    known: Option<(u64, Ledger)>,
    /// Orders that were written to the ledger and are not sent yet.
    outbox: Vec<SentOrder>,
    /// Inventory, and the ledger when it was requested.
    inventory: Option<(LedgerSnapshot, Inventory)>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SystemState {
    revision: u64,
    stored: Ledger,
    hosts: [Host; 2],
    network: BTreeSet<(SentOrder, usize)>,
    resident: BTreeSet<usize>,
    seen_fence: u64,
    checks_fencing: bool,
    is_overcommitted: bool,
}

fn host_id(i: usize) -> HostId {
    HostId::new(["h1", "h2"][i])
}

fn artifact(model: usize) -> ArtifactId {
    ArtifactId::new(["t/a@1", "t/b@1"][model])
}

fn initial_state(checks_fencing: bool) -> SystemState {
    SystemState {
        revision: 1,
        stored: Ledger::new(CAPACITY_MIB),
        hosts: [Host::default(), Host::default()],
        network: BTreeSet::new(),
        resident: BTreeSet::new(),
        seen_fence: 0,
        checks_fencing,
        is_overcommitted: false,
    }
}

/// Writes a ledger by compare-and-swap; true if it was written.
fn write(system: &mut SystemState, host: usize, ledger: Ledger, mutant: Mutant) -> bool {
    let known = system.hosts[host]
        .known
        .as_ref()
        .map(|(revision, _)| *revision);
    if known != Some(system.revision) && mutant != Mutant::WriteWithoutCompare {
        system.hosts[host].known = None;
        return false;
    }
    system.revision += 1;
    system.stored = ledger.clone();
    system.hosts[host].known = Some((system.revision, ledger));
    true
}

fn successors(system: &SystemState, mutant: Mutant) -> Vec<SystemState> {
    let mut out = Vec::new();
    for host in 0..2 {
        read_and_acquire(system, host, mutant, &mut out);
        issue_orders(system, host, mutant, &mut out);
        send_orders(system, host, &mut out);
        request_and_apply_inventories(system, host, mutant, &mut out);
    }
    deliver_orders(system, &mut out);
    if mutant != Mutant::StaleInventory {
        out.iter_mut().for_each(drop_stale_inventories);
    }
    out
}

/// Drops inventories that `apply_inventory` would ignore, which reduces the state space.
fn drop_stale_inventories(system: &mut SystemState) {
    for host in &mut system.hosts {
        let known = host.known.as_ref().map(|(_, ledger)| ledger.snapshot());
        if host.inventory.as_ref().map(|(snapshot, _)| snapshot) != known.as_ref() {
            host.inventory = None;
        }
    }
}

fn read_and_acquire(system: &SystemState, host: usize, mutant: Mutant, out: &mut Vec<SystemState>) {
    let mut after = system.clone();
    after.hosts[host].known = Some((system.revision, system.stored.clone()));
    out.push(after.clone());
    if system.stored.fence < MAX_FENCE && system.stored.holder != Some(host_id(host)) {
        let mut ledger = system.stored.clone();
        ledger.acquire(&host_id(host));
        if write(&mut after, host, ledger, mutant) {
            out.push(after);
        }
    }
    // The host loses its state, including orders that it has not sent.
    let mut after = system.clone();
    after.hosts[host] = Host::default();
    out.push(after);
}

fn issue_orders(system: &SystemState, host: usize, mutant: Mutant, out: &mut Vec<SystemState>) {
    let Some((_, known)) = &system.hosts[host].known else {
        return;
    };
    if known.fence >= MAX_FENCE {
        return;
    }
    for model in 0..2 {
        for kind in [OrderKind::Load, OrderKind::Unload] {
            let mut ledger = known.clone();
            let order = match kind {
                OrderKind::Load => ledger.order_load(&host_id(host), &artifact(model), SIZE_MIB),
                OrderKind::Unload => ledger.order_unload(&host_id(host), &artifact(model)),
            };
            let Ok(order) = order else { continue };
            let sent_order = sent_order(&order, model);
            let mut after = system.clone();
            let has_written = write(&mut after, host, ledger, mutant);
            if has_written {
                // The response of the platform is lost, so the host does not send.
                let mut lost = after.clone();
                lost.hosts[host].known = None;
                out.push(lost);
            }
            if has_written || mutant == Mutant::SendBeforeReservation {
                after.hosts[host].outbox.push(sent_order);
                out.push(after);
            }
        }
    }
}

fn sent_order(order: &Order, model: usize) -> SentOrder {
    SentOrder {
        number: order.number,
        is_load: order.kind == OrderKind::Load,
        model,
    }
}

fn send_orders(system: &SystemState, host: usize, out: &mut Vec<SystemState>) {
    if let Some(sent_order) = system.hosts[host].outbox.first() {
        let mut after = system.clone();
        after.hosts[host].outbox.remove(0);
        after.network.insert((sent_order.clone(), host));
        out.push(after);
    }
}

/// Every order in flight is executed or lost.
fn deliver_orders(system: &SystemState, out: &mut Vec<SystemState>) {
    for item in &system.network {
        let (order, host) = item;
        let mut lost = system.clone();
        lost.network.remove(item);
        out.push(lost.clone());
        let mut after = lost;
        if !(after.checks_fencing && order.number < after.seen_fence) {
            after.seen_fence = after.seen_fence.max(order.number);
            if order.is_load {
                after.resident.insert(order.model);
            } else {
                after.resident.remove(&order.model);
            }
            after.is_overcommitted |= after.resident.len() as u64 * SIZE_MIB > CAPACITY_MIB;
        }
        out.push(after.clone());
        // The sender receives the response and settles the order.
        if let Some((_, ledger)) = &mut after.hosts[*host].known {
            ledger.settle(&artifact(order.model), order.number);
            out.push(after);
        }
    }
}

fn request_and_apply_inventories(
    system: &SystemState,
    host: usize,
    mutant: Mutant,
    out: &mut Vec<SystemState>,
) {
    let Some((_, known)) = &system.hosts[host].known else {
        return;
    };
    let mut requested = system.clone();
    let resident: BTreeMap<ArtifactId, u64> = system
        .resident
        .iter()
        .map(|&m| (artifact(m), SIZE_MIB))
        .collect();
    let ready = resident.keys().cloned().collect();
    let inventory = Inventory {
        seen_fence: system.seen_fence,
        resident,
        ready,
    };
    requested.hosts[host].inventory = Some((known.snapshot(), inventory));
    out.push(requested);
    let Some((snapshot, inventory)) = &system.hosts[host].inventory else {
        return;
    };
    let mut ledger = known.clone();
    let mut snapshot = snapshot.clone();
    if mutant == Mutant::SettleOnTimeout {
        let pending_orders: Vec<_> = ledger
            .entries
            .iter()
            .map(|(a, e)| (a.clone(), e.pending.clone()))
            .collect();
        for (artifact, pending) in pending_orders {
            for order in &pending {
                ledger.settle(&artifact, order.number);
            }
        }
    }
    if matches!(mutant, Mutant::SettleOnTimeout | Mutant::StaleInventory) {
        snapshot = ledger.snapshot();
    }
    if ledger.apply_inventory(&snapshot, inventory, system.checks_fencing) {
        let mut after = system.clone();
        after.hosts[host].inventory = None;
        if write(&mut after, host, ledger, mutant) {
            out.push(after);
        }
    }
}

/// Number of states searched, and the first one that overcommits memory.
fn search(checks_fencing: bool, mutant: Mutant) -> (usize, Option<SystemState>) {
    let mut states = 0;
    for system in bfs_reach(initial_state(checks_fencing), |w| successors(w, mutant)) {
        states += 1;
        if system.is_overcommitted {
            return (states, Some(system));
        }
    }
    (states, None)
}

#[test]
fn no_reachable_state_overcommits_an_engine_that_checks_fencing() {
    let (states, found) = search(true, Mutant::None);

    println!("engine that checks fencing: {states} states");
    assert!(states > 10_000);
    assert!(found.is_none(), "{found:#?}");
}

#[test]
fn no_reachable_state_overcommits_an_engine_that_ignores_fencing() {
    let (states, found) = search(false, Mutant::None);

    println!("engine that ignores fencing: {states} states");
    assert!(states > 10_000);
    assert!(found.is_none(), "{found:#?}");
}

#[test]
fn every_mutant_has_a_counterexample() {
    let mutants = [
        Mutant::SendBeforeReservation,
        Mutant::SettleOnTimeout,
        Mutant::StaleInventory,
        Mutant::WriteWithoutCompare,
    ];

    for mutant in mutants {
        let (states, found) = search(false, mutant);

        println!("{mutant:?}: counterexample after {states} states");
        assert!(found.is_some(), "{mutant:?} was not caught");
    }
}

#[test]
fn the_search_reaches_a_state_that_reuses_freed_memory() {
    let reused = bfs_reach(initial_state(true), |w| successors(w, Mutant::None)).any(|w| {
        let is_resident = |e: &currantcove::core::ledger::Entry| e.state == EntryState::Resident;
        w.stored.entries.get(&artifact(1)).is_some_and(is_resident) && w.stored.fence >= 4
    });

    assert!(reused, "the search proves nothing if memory is never freed");
}
