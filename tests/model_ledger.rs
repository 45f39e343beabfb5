//! Exhaustive search over the real ledger code, and mutants that must fail.
//!
//! Two hosts, one engine with room for one of two models. Every message may
//! be late or lost, every host may sleep between any two steps or lose its
//! memory, every answer of the platform may be lost after the write took
//! effect. The search drives `core::ledger` itself, so there is no second
//! version of the rules to keep in step.

use std::collections::{BTreeMap, BTreeSet};

use currantcove::core::ids::{ArtifactId, HostId};
use currantcove::core::ledger::{Asked, EntryState, Inventory, Ledger, Order, OrderKind};
use pathfinding::directed::bfs::bfs_reach;

const SIZE_MIB: u64 = 1;
const CAPACITY_MIB: u64 = 1;
/// Bound of the fencing number, which makes the instance finite.
const MAX_FENCE: u64 = 4;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mutant {
    None,
    /// Orders leave whether or not the reservation was written.
    OrderBeforeReservation,
    /// An unanswered order counts as dead after some time.
    FreeOnTimeout,
    /// An inventory counts whenever it was asked for.
    OldInventory,
    /// A holder writes what it believes, without comparing.
    TrustInLease,
}

#[derive(Clone, Debug, Default, Eq, Hash, Ord, PartialEq, PartialOrd)]
struct Sent {
    number: u64,
    is_load: bool,
    model: usize,
}

#[derive(Clone, Debug, Default, Eq, Hash, PartialEq)]
struct Host {
    /// Ledger as read or written, with its revision.
    known: Option<(u64, Ledger)>,
    /// Orders whose ledger was written and that were not sent yet.
    outbox: Vec<Sent>,
    /// Inventory and the state for which it was asked.
    inventory: Option<(Asked, Inventory)>,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    revision: u64,
    stored: Ledger,
    hosts: [Host; 2],
    network: BTreeSet<(Sent, usize)>,
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

fn start(checks_fencing: bool) -> World {
    World {
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

/// Writes a ledger if the host's revision stands; true if it was written.
fn write(world: &mut World, host: usize, ledger: Ledger, mutant: Mutant) -> bool {
    let known = world.hosts[host]
        .known
        .as_ref()
        .map(|(revision, _)| *revision);
    if known != Some(world.revision) && mutant != Mutant::TrustInLease {
        world.hosts[host].known = None;
        return false;
    }
    world.revision += 1;
    world.stored = ledger.clone();
    world.hosts[host].known = Some((world.revision, ledger));
    true
}

fn next(world: &World, mutant: Mutant) -> Vec<World> {
    let mut out = Vec::new();
    for host in 0..2 {
        reads_and_acquisitions(world, host, mutant, &mut out);
        orders(world, host, mutant, &mut out);
        sends(world, host, &mut out);
        inventories(world, host, mutant, &mut out);
    }
    deliveries(world, &mut out);
    if mutant != Mutant::OldInventory {
        out.iter_mut().for_each(forget_useless_inventories);
    }
    out
}

/// Inventories that `observe` would not take in make no difference.
fn forget_useless_inventories(world: &mut World) {
    for host in &mut world.hosts {
        let known = host.known.as_ref().map(|(_, ledger)| ledger.ask());
        if host.inventory.as_ref().map(|(asked, _)| asked) != known.as_ref() {
            host.inventory = None;
        }
    }
}

fn reads_and_acquisitions(world: &World, host: usize, mutant: Mutant, out: &mut Vec<World>) {
    let mut after = world.clone();
    after.hosts[host].known = Some((world.revision, world.stored.clone()));
    out.push(after.clone());
    if world.stored.fence < MAX_FENCE && world.stored.holder != Some(host_id(host)) {
        let mut ledger = world.stored.clone();
        ledger.acquire(&host_id(host));
        if write(&mut after, host, ledger, mutant) {
            out.push(after);
        }
    }
    // The host loses its memory; orders it has not sent never leave.
    let mut after = world.clone();
    after.hosts[host] = Host::default();
    out.push(after);
}

fn orders(world: &World, host: usize, mutant: Mutant, out: &mut Vec<World>) {
    let Some((_, known)) = &world.hosts[host].known else {
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
            let sent = sent(&order, model);
            let mut after = world.clone();
            let is_written = write(&mut after, host, ledger, mutant);
            if is_written {
                // The answer of the platform is lost: the host does not send.
                let mut lost = after.clone();
                lost.hosts[host].known = None;
                out.push(lost);
            }
            if is_written || mutant == Mutant::OrderBeforeReservation {
                after.hosts[host].outbox.push(sent);
                out.push(after);
            }
        }
    }
}

fn sent(order: &Order, model: usize) -> Sent {
    Sent {
        number: order.number,
        is_load: order.kind == OrderKind::Load,
        model,
    }
}

fn sends(world: &World, host: usize, out: &mut Vec<World>) {
    if let Some(sent) = world.hosts[host].outbox.first() {
        let mut after = world.clone();
        after.hosts[host].outbox.remove(0);
        after.network.insert((sent.clone(), host));
        out.push(after);
    }
}

/// Every order in flight is carried out now, or is lost.
fn deliveries(world: &World, out: &mut Vec<World>) {
    for item in &world.network {
        let (order, host) = item;
        let mut lost = world.clone();
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
        // The answer arrives, and its sender settles the order.
        if let Some((_, ledger)) = &mut after.hosts[*host].known {
            ledger.settle(&artifact(order.model), order.number);
            out.push(after);
        }
    }
}

fn inventories(world: &World, host: usize, mutant: Mutant, out: &mut Vec<World>) {
    let Some((_, known)) = &world.hosts[host].known else {
        return;
    };
    let mut asked = world.clone();
    let resident: BTreeMap<ArtifactId, u64> = world
        .resident
        .iter()
        .map(|&m| (artifact(m), SIZE_MIB))
        .collect();
    let ready = resident.keys().cloned().collect();
    let inventory = Inventory {
        seen_fence: world.seen_fence,
        resident,
        ready,
    };
    asked.hosts[host].inventory = Some((known.ask(), inventory));
    out.push(asked);
    let Some((asked, inventory)) = &world.hosts[host].inventory else {
        return;
    };
    let mut ledger = known.clone();
    let mut asked = asked.clone();
    if mutant == Mutant::FreeOnTimeout {
        let numbers: Vec<_> = ledger
            .entries
            .iter()
            .map(|(a, e)| (a.clone(), e.pending.clone()))
            .collect();
        for (artifact, pending) in numbers {
            for order in &pending {
                ledger.settle(&artifact, order.number);
            }
        }
    }
    if matches!(mutant, Mutant::FreeOnTimeout | Mutant::OldInventory) {
        asked = ledger.ask();
    }
    if ledger.observe(&asked, inventory, world.checks_fencing) {
        let mut after = world.clone();
        after.hosts[host].inventory = None;
        if write(&mut after, host, ledger, mutant) {
            out.push(after);
        }
    }
}

/// States searched, and the first in which memory is overcommitted.
fn search(checks_fencing: bool, mutant: Mutant) -> (usize, Option<World>) {
    let mut states = 0;
    for world in bfs_reach(start(checks_fencing), |w| next(w, mutant)) {
        states += 1;
        if world.is_overcommitted {
            return (states, Some(world));
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
        Mutant::OrderBeforeReservation,
        Mutant::FreeOnTimeout,
        Mutant::OldInventory,
        Mutant::TrustInLease,
    ];

    for mutant in mutants {
        let (states, found) = search(false, mutant);

        println!("{mutant:?}: counterexample after {states} states");
        assert!(found.is_some(), "{mutant:?} was not caught");
    }
}

#[test]
fn the_search_reaches_a_freed_and_reused_ledger() {
    let reused = bfs_reach(start(true), |w| next(w, Mutant::None)).any(|w| {
        let is_b_resident = |e: &currantcove::core::ledger::Entry| e.state == EntryState::Resident;
        w.stored
            .entries
            .get(&artifact(1))
            .is_some_and(is_b_resident)
            && w.stored.fence >= 4
    });

    assert!(reused, "memory that is never freed would prove nothing");
}
