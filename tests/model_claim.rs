//! Exhaustive search over claims on one idempotency key.
//!
//! A caller repeats one booking through two hosts. Writes to the platform may
//! be late, their answers lost; the send may run at once, late or never, and
//! its answer may be lost; a host may lose its memory at any step. What to do
//! about a claim that was found is `core::claim::on_found` itself.

use std::collections::BTreeSet;

use currantcove::core::claim::{Claim, RecordedAnswer, Repeat, on_found};
use currantcove::core::ids::HostId;
use currantcove::core::outcome::Outcome;
use pathfinding::directed::bfs::bfs_reach;

const HOSTS: usize = 2;
/// Attempts that each host makes for its caller.
const MAX_ATTEMPTS: u8 = 2;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mutant {
    None,
    /// A request that was sent and has no answer is called not run.
    NotRunAfterSend,
    /// A request that was sent and has no answer is sent again.
    SendAgain,
    /// A lost answer to the claim is taken for success.
    GuessClaim,
    /// The claim of a host that does not answer is taken over.
    TakeOver,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Step {
    Idle,
    Claiming,
    ReadingBack,
    Held,
    Sent,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct Host {
    step: Step,
    attempt: u8,
    has_told_not_run: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct World {
    stored: Option<Claim>,
    /// Claims on their way to the platform: created if no claim stands.
    writes: BTreeSet<(usize, u8)>,
    /// Claims to be withdrawn in the background.
    withdrawals: BTreeSet<(usize, u8)>,
    /// Requests on their way to the service.
    sends: BTreeSet<(usize, u8)>,
    /// Attempts that the service ran.
    runs: Vec<(usize, u8)>,
    hosts: [Host; HOSTS],
    is_wrong: bool,
}

fn nonce(host: usize, attempt: u8) -> u64 {
    host as u64 * 100 + u64::from(attempt)
}

fn claim(host: usize, attempt: u8) -> Claim {
    Claim {
        nonce: nonce(host, attempt),
        host: HostId::new(["h1", "h2"][host]),
        fingerprint_sha256: [0; 32],
        recorded: None,
    }
}

fn start() -> World {
    let host = Host {
        step: Step::Idle,
        attempt: 0,
        has_told_not_run: false,
    };
    World {
        stored: None,
        writes: BTreeSet::new(),
        withdrawals: BTreeSet::new(),
        sends: BTreeSet::new(),
        runs: Vec::new(),
        hosts: [host.clone(), host],
        is_wrong: false,
    }
}

fn next(world: &World, mutant: Mutant) -> Vec<World> {
    let mut out = Vec::new();
    for host in 0..HOSTS {
        match world.hosts[host].step {
            Step::Idle => begin(world, host, &mut out),
            Step::Claiming => claiming(world, host, mutant, &mut out),
            Step::ReadingBack => reading_back(world, host, mutant, &mut out),
            Step::Held => held(world, host, &mut out),
            Step::Sent => sent(world, host, mutant, &mut out),
        }
        // The host loses its memory; its caller learns nothing.
        out.push(with_step(world, host, Step::Idle));
    }
    platform(world, &mut out);
    service(world, &mut out);
    out.iter_mut().for_each(judge);
    out
}

fn with_step(world: &World, host: usize, step: Step) -> World {
    let mut after = world.clone();
    after.hosts[host].step = step;
    after
}

fn begin(world: &World, host: usize, out: &mut Vec<World>) {
    if world.hosts[host].attempt < MAX_ATTEMPTS {
        let mut after = with_step(world, host, Step::Claiming);
        after.hosts[host].attempt += 1;
        after.hosts[host].has_told_not_run = false;
        let attempt = after.hosts[host].attempt;
        after.writes.insert((host, attempt));
        out.push(after);
    }
}

/// The host waits for the answer to its claim, or gives up on it.
fn claiming(world: &World, host: usize, mutant: Mutant, out: &mut Vec<World>) {
    let attempt = world.hosts[host].attempt;
    let is_on_its_way = world.writes.contains(&(host, attempt));
    if !is_on_its_way {
        decide(world, host, mutant, out);
    }
    let unanswered = if mutant == Mutant::GuessClaim {
        Step::Held
    } else {
        Step::ReadingBack
    };
    out.push(with_step(world, host, unanswered));
}

fn reading_back(world: &World, host: usize, mutant: Mutant, out: &mut Vec<World>) {
    if world.stored.is_some() {
        decide(world, host, mutant, out);
        return;
    }
    let mut after = with_step(world, host, Step::Idle);
    after.withdrawals.insert((host, after.hosts[host].attempt));
    after.hosts[host].has_told_not_run = true;
    out.push(after);
}

/// Decides by the claim that stands, with the code of the system.
fn decide(world: &World, host: usize, mutant: Mutant, out: &mut Vec<World>) {
    let own = claim(host, world.hosts[host].attempt);
    let Some(found) = &world.stored else {
        return;
    };
    let after = match on_found(found, &own) {
        Repeat::Own => with_step(world, host, Step::Held),
        Repeat::Replay(_) => with_step(world, host, Step::Idle),
        Repeat::Refuse(_) if mutant == Mutant::TakeOver && found.host != own.host => {
            let mut after = with_step(world, host, Step::Held);
            after.stored = Some(own);
            after
        }
        Repeat::Refuse(refusal) => {
            let mut after = with_step(world, host, Step::Idle);
            after.hosts[host].has_told_not_run = refusal.outcome == Outcome::NotRun;
            after
        }
    };
    out.push(after);
}

fn held(world: &World, host: usize, out: &mut Vec<World>) {
    let attempt = world.hosts[host].attempt;
    let mut after = with_step(world, host, Step::Sent);
    after.sends.insert((host, attempt));
    out.push(after);
    // No connection: no byte has left, so the claim is withdrawn.
    let mut after = with_step(world, host, Step::Idle);
    after.withdrawals.insert((host, attempt));
    after.hosts[host].has_told_not_run = true;
    out.push(after);
}

fn sent(world: &World, host: usize, mutant: Mutant, out: &mut Vec<World>) {
    let attempt = world.hosts[host].attempt;
    if world.runs.contains(&(host, attempt)) {
        let mut after = with_step(world, host, Step::Idle);
        record(&mut after, host, attempt);
        out.push(after);
    }
    match mutant {
        Mutant::NotRunAfterSend => {
            let mut after = with_step(world, host, Step::Idle);
            after.withdrawals.insert((host, attempt));
            after.hosts[host].has_told_not_run = true;
            out.push(after);
        }
        Mutant::SendAgain => out.push(with_step(world, host, Step::Held)),
        // The caller is told that the outcome is unknown; the claim stays.
        _ => out.push(with_step(world, host, Step::Idle)),
    }
}

fn record(world: &mut World, host: usize, attempt: u8) {
    let own = claim(host, attempt);
    if world.stored.as_ref().is_some_and(|c| c.nonce == own.nonce) {
        let answer = RecordedAnswer {
            status: 200,
            content_type: String::new(),
            body: None,
        };
        world.stored = Some(Claim {
            recorded: Some(answer),
            ..own
        });
    }
}

/// Writes take effect late, or are lost.
fn platform(world: &World, out: &mut Vec<World>) {
    for &(host, attempt) in &world.writes {
        let mut after = world.clone();
        after.writes.remove(&(host, attempt));
        out.push(after.clone());
        if after.stored.is_none() {
            after.stored = Some(claim(host, attempt));
            out.push(after);
        }
    }
    for &(host, attempt) in &world.withdrawals {
        let is_own = |c: &Claim| c.nonce == nonce(host, attempt) && c.recorded.is_none();
        if world.stored.as_ref().is_some_and(is_own) {
            let mut after = world.clone();
            after.withdrawals.remove(&(host, attempt));
            after.stored = None;
            out.push(after);
        }
    }
}

fn service(world: &World, out: &mut Vec<World>) {
    for &(host, attempt) in &world.sends {
        let mut lost = world.clone();
        lost.sends.remove(&(host, attempt));
        out.push(lost.clone());
        lost.runs.push((host, attempt));
        out.push(lost);
    }
}

fn judge(world: &mut World) {
    let is_doubled = world.runs.len() > 1;
    let is_false = (0..HOSTS).any(|host| {
        let told = &world.hosts[host];
        let attempt = (host, told.attempt);
        let may_run = world.runs.contains(&attempt) || world.sends.contains(&attempt);
        told.has_told_not_run && may_run
    });
    world.is_wrong |= is_doubled || is_false;
}

fn search(mutant: Mutant) -> (usize, Option<World>) {
    let mut states = 0;
    for world in bfs_reach(start(), |w| next(w, mutant)) {
        states += 1;
        if world.is_wrong {
            return (states, Some(world));
        }
    }
    (states, None)
}

#[test]
fn no_reachable_state_runs_twice_or_lies() {
    let (states, found) = search(Mutant::None);

    println!("claims: {states} states");
    assert!(states > 1_000);
    assert!(found.is_none(), "{found:#?}");
}

#[test]
fn every_mutant_has_a_counterexample() {
    let mutants = [
        Mutant::NotRunAfterSend,
        Mutant::SendAgain,
        Mutant::GuessClaim,
        Mutant::TakeOver,
    ];

    for mutant in mutants {
        let (states, found) = search(mutant);

        println!("{mutant:?}: counterexample after {states} states");
        assert!(found.is_some(), "{mutant:?} was not caught");
    }
}
