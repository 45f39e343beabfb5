//! Exhaustive state-space search over the claims on one idempotency key.
//!
//! A caller repeats one booking through two hosts. Writes to the platform may
//! be delayed and their responses lost; a sent request may be executed at once,
//! late or never, and its response may be lost; a host may lose its state at
//! any step. An existing claim is handled by `core::claim::resolve_claim` itself.

use std::collections::BTreeSet;

use currantcove::core::claim::{Claim, ClaimResolution, RecordedResponse, resolve_claim};
use currantcove::core::ids::HostId;
use currantcove::core::outcome::Outcome;
use pathfinding::directed::bfs::bfs_reach;

const HOSTS: usize = 2;
/// Number of attempts that each host makes for its caller.
const MAX_ATTEMPTS: u8 = 2;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Mutant {
    None,
    /// A request that was sent and has no response is reported as not run.
    ReportNotRunAfterSend,
    /// A request that was sent and has no response is sent again.
    ResendAfterSend,
    /// A lost response to the claim write is treated as success.
    AssumeClaimWritten,
    /// The claim of another host that has no recorded response is taken over.
    TakeOverClaim,
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
    has_reported_not_run: bool,
}

#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct SystemState {
    stored: Option<Claim>,
    /// Claim writes in flight to the platform; each creates its claim if there
    /// is none.
    writes: BTreeSet<(usize, u8)>,
    /// Claims to be withdrawn in the background, by host and attempt.
    withdrawals: BTreeSet<(usize, u8)>,
    /// Requests in flight to the service.
    requests: BTreeSet<(usize, u8)>,
    /// Attempts that the service executed.
    executed: Vec<(usize, u8)>,
    hosts: [Host; HOSTS],
    is_violated: bool,
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

fn initial_state() -> SystemState {
    let host = Host {
        step: Step::Idle,
        attempt: 0,
        has_reported_not_run: false,
    };
    SystemState {
        stored: None,
        writes: BTreeSet::new(),
        withdrawals: BTreeSet::new(),
        requests: BTreeSet::new(),
        executed: Vec::new(),
        hosts: [host.clone(), host],
        is_violated: false,
    }
}

fn successors(system: &SystemState, mutant: Mutant) -> Vec<SystemState> {
    let mut out = Vec::new();
    for host in 0..HOSTS {
        match system.hosts[host].step {
            Step::Idle => start_attempt(system, host, &mut out),
            Step::Claiming => await_claim_response(system, host, mutant, &mut out),
            Step::ReadingBack => read_back_claim(system, host, mutant, &mut out),
            Step::Held => send_or_withdraw(system, host, &mut out),
            Step::Sent => await_response(system, host, mutant, &mut out),
        }
        // The host loses its state; its caller receives no response.
        out.push(with_step(system, host, Step::Idle));
    }
    apply_platform_writes(system, &mut out);
    execute_requests(system, &mut out);
    out.iter_mut().for_each(check_invariants);
    out
}

fn with_step(system: &SystemState, host: usize, step: Step) -> SystemState {
    let mut after = system.clone();
    after.hosts[host].step = step;
    after
}

fn start_attempt(system: &SystemState, host: usize, out: &mut Vec<SystemState>) {
    if system.hosts[host].attempt < MAX_ATTEMPTS {
        let mut after = with_step(system, host, Step::Claiming);
        after.hosts[host].attempt += 1;
        after.hosts[host].has_reported_not_run = false;
        let attempt = after.hosts[host].attempt;
        after.writes.insert((host, attempt));
        out.push(after);
    }
}

/// The host receives the response to its claim write, or stops waiting for it.
fn await_claim_response(
    system: &SystemState,
    host: usize,
    mutant: Mutant,
    out: &mut Vec<SystemState>,
) {
    let attempt = system.hosts[host].attempt;
    let is_in_flight = system.writes.contains(&(host, attempt));
    if !is_in_flight {
        handle_stored_claim(system, host, mutant, out);
    }
    let step_without_response = if mutant == Mutant::AssumeClaimWritten {
        Step::Held
    } else {
        Step::ReadingBack
    };
    out.push(with_step(system, host, step_without_response));
}

fn read_back_claim(system: &SystemState, host: usize, mutant: Mutant, out: &mut Vec<SystemState>) {
    if system.stored.is_some() {
        handle_stored_claim(system, host, mutant, out);
        return;
    }
    let mut after = with_step(system, host, Step::Idle);
    after.withdrawals.insert((host, after.hosts[host].attempt));
    after.hosts[host].has_reported_not_run = true;
    out.push(after);
}

/// Handles the stored claim with the production code.
fn handle_stored_claim(
    system: &SystemState,
    host: usize,
    mutant: Mutant,
    out: &mut Vec<SystemState>,
) {
    let own = claim(host, system.hosts[host].attempt);
    let Some(found) = &system.stored else {
        return;
    };
    let after = match resolve_claim(found, &own) {
        ClaimResolution::Own => with_step(system, host, Step::Held),
        ClaimResolution::Replay(_) => with_step(system, host, Step::Idle),
        ClaimResolution::Reject(_) if mutant == Mutant::TakeOverClaim && found.host != own.host => {
            let mut after = with_step(system, host, Step::Held);
            after.stored = Some(own);
            after
        }
        ClaimResolution::Reject(refusal) => {
            let mut after = with_step(system, host, Step::Idle);
            after.hosts[host].has_reported_not_run = refusal.outcome == Outcome::NotRun;
            after
        }
    };
    out.push(after);
}

fn send_or_withdraw(system: &SystemState, host: usize, out: &mut Vec<SystemState>) {
    let attempt = system.hosts[host].attempt;
    let mut after = with_step(system, host, Step::Sent);
    after.requests.insert((host, attempt));
    out.push(after);
    // The connection fails, so no byte was sent and the claim is withdrawn.
    let mut after = with_step(system, host, Step::Idle);
    after.withdrawals.insert((host, attempt));
    after.hosts[host].has_reported_not_run = true;
    out.push(after);
}

fn await_response(system: &SystemState, host: usize, mutant: Mutant, out: &mut Vec<SystemState>) {
    let attempt = system.hosts[host].attempt;
    if system.executed.contains(&(host, attempt)) {
        let mut after = with_step(system, host, Step::Idle);
        record_response(&mut after, host, attempt);
        out.push(after);
    }
    match mutant {
        Mutant::ReportNotRunAfterSend => {
            let mut after = with_step(system, host, Step::Idle);
            after.withdrawals.insert((host, attempt));
            after.hosts[host].has_reported_not_run = true;
            out.push(after);
        }
        Mutant::ResendAfterSend => out.push(with_step(system, host, Step::Held)),
        // The outcome is reported as unknown; the claim stays.
        _ => out.push(with_step(system, host, Step::Idle)),
    }
}

fn record_response(system: &mut SystemState, host: usize, attempt: u8) {
    let own = claim(host, attempt);
    if system.stored.as_ref().is_some_and(|c| c.nonce == own.nonce) {
        let response = RecordedResponse {
            status: 200,
            content_type: String::new(),
            body: None,
        };
        system.stored = Some(Claim {
            recorded: Some(response),
            ..own
        });
    }
}

/// Writes in flight take effect or are lost; withdrawals take effect.
fn apply_platform_writes(system: &SystemState, out: &mut Vec<SystemState>) {
    for &(host, attempt) in &system.writes {
        let mut after = system.clone();
        after.writes.remove(&(host, attempt));
        out.push(after.clone());
        if after.stored.is_none() {
            after.stored = Some(claim(host, attempt));
            out.push(after);
        }
    }
    for &(host, attempt) in &system.withdrawals {
        let is_own = |c: &Claim| c.nonce == nonce(host, attempt) && c.recorded.is_none();
        if system.stored.as_ref().is_some_and(is_own) {
            let mut after = system.clone();
            after.withdrawals.remove(&(host, attempt));
            after.stored = None;
            out.push(after);
        }
    }
}

fn execute_requests(system: &SystemState, out: &mut Vec<SystemState>) {
    for &(host, attempt) in &system.requests {
        let mut lost = system.clone();
        lost.requests.remove(&(host, attempt));
        out.push(lost.clone());
        lost.executed.push((host, attempt));
        out.push(lost);
    }
}

fn check_invariants(system: &mut SystemState) {
    let has_run_twice = system.executed.len() > 1;
    let has_false_report = (0..HOSTS).any(|host| {
        let host_state = &system.hosts[host];
        let attempt = (host, host_state.attempt);
        let may_run = system.executed.contains(&attempt) || system.requests.contains(&attempt);
        host_state.has_reported_not_run && may_run
    });
    system.is_violated |= has_run_twice || has_false_report;
}

fn search(mutant: Mutant) -> (usize, Option<SystemState>) {
    let mut states = 0;
    for system in bfs_reach(initial_state(), |w| successors(w, mutant)) {
        states += 1;
        if system.is_violated {
            return (states, Some(system));
        }
    }
    (states, None)
}

#[test]
fn no_reachable_state_runs_twice_or_falsely_reports_not_run() {
    let (states, found) = search(Mutant::None);

    println!("claims: {states} states");
    assert!(states > 1_000);
    assert!(found.is_none(), "{found:#?}");
}

#[test]
fn every_mutant_has_a_counterexample() {
    let mutants = [
        Mutant::ReportNotRunAfterSend,
        Mutant::ResendAfterSend,
        Mutant::AssumeClaimWritten,
        Mutant::TakeOverClaim,
    ];

    for mutant in mutants {
        let (states, found) = search(mutant);

        println!("{mutant:?}: counterexample after {states} states");
        assert!(found.is_some(), "{mutant:?} was not caught");
    }
}
