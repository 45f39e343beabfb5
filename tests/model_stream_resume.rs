//! Exhaustive search over two hosts, two software versions and one stream: in every order of
//! messages that arrive or are lost, restarts of an upstream under its ID, news of them and
//! deaths of the host that began it, does the stream ever hold events of two versions?
//!
//! Upstream 0 begins the stream; upstream 1 may take it up. Both may restart with the other
//! version. Host 0 begins the stream, host 1 takes it up.

use std::collections::HashSet;

use currantcove::core::ids::{ServiceId, SoftwareVersion, UpstreamId};
use currantcove::core::stream_origin::{OriginKnowledge, StreamOrigin, StreamOrigins, stream_key};

/// What a host heeds when it takes a stream up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Rules {
    /// Origin of the stream, and the incarnation that the upstream reports.
    All,
    /// Origin of the stream, and the listing of the upstream.
    WithoutReport,
    /// Nothing: any upstream will do.
    WithoutVersion,
}

/// Incarnations by number; version `v1` if odd, else `v2`.
#[derive(Clone, Debug, Eq, Hash, PartialEq)]
struct State {
    running: [u64; 2],
    /// Incarnations that each host has read of each upstream.
    listed: [[u64; 2]; 2],
    /// Incarnation that sent the first event, once the stream has begun.
    began: Option<u64>,
    is_broken: bool,
    /// Message of host 0: not sent, on its way, lost or delivered.
    told: Told,
    is_first_dead: bool,
    /// Incarnation at which the stream went on.
    went_on: Option<u64>,
    is_refused: bool,
}

#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
enum Told {
    Not,
    Sent(u64),
    Lost,
    Arrived(u64),
}

fn version(incarnation: u64) -> u64 {
    incarnation % 2
}

fn origin(incarnation: u64) -> StreamOrigin {
    StreamOrigin {
        service: ServiceId::new("drafts"),
        software: SoftwareVersion::new(&format!("v{}", version(incarnation))),
        upstream: UpstreamId::new("i-0"),
        started_ms: incarnation,
    }
}

/// Version at which host 1 goes on, as its core decides from what it was told.
fn known_version(state: &State) -> Option<SoftwareVersion> {
    let stream = stream_key(b"h.example", None, "r1");
    let mut known = StreamOrigins::default();
    if let Told::Arrived(incarnation) = state.told {
        known.record(0, stream, origin(incarnation));
    }
    match known.get(1, stream) {
        OriginKnowledge::Known(origin) => Some(origin.software.clone()),
        OriginKnowledge::Contradictory | OriginKnowledge::Claimed(_) | OriginKnowledge::Unknown => {
            None
        }
    }
}

fn take_up(rules: Rules, state: &State) -> State {
    let mut next = state.clone();
    let listed = state.listed[1][1];
    let running = state.running[1];
    let may_go_on = match rules {
        Rules::WithoutVersion => true,
        Rules::WithoutReport => known_version(state) == Some(origin(listed).software),
        Rules::All => known_version(state) == Some(origin(listed).software) && listed == running,
    };
    if may_go_on {
        next.went_on = Some(running);
    } else {
        next.is_refused = true;
    }
    next
}

/// Incarnation that host 0 tells of: with all rules it is told only if it is certain.
fn told_incarnation(rules: Rules, state: &State) -> Option<u64> {
    let listed = state.listed[0][0];
    let is_certain = rules != Rules::All || Some(listed) == state.began;
    is_certain.then_some(listed)
}

fn successors(rules: Rules, state: &State) -> Vec<State> {
    let mut next = Vec::new();
    let mut push = |change: &dyn Fn(&mut State)| {
        let mut state = state.clone();
        change(&mut state);
        next.push(state);
    };
    for upstream in 0..2 {
        if state.running[upstream] < 2 {
            push(&|s| {
                s.running[upstream] += 1;
                // A restart breaks the upstream's streams off.
                s.is_broken |= upstream == 0 && s.began.is_some();
            });
        }
        for host in 0..2 {
            if state.listed[host][upstream] < state.running[upstream] {
                push(&|s| s.listed[host][upstream] = s.running[upstream]);
            }
        }
    }
    if state.began.is_none() {
        push(&|s| s.began = Some(s.running[0]));
    } else if !state.is_broken {
        push(&|s| s.is_broken = true);
    }
    if state.began.is_some()
        && state.told == Told::Not
        && !state.is_broken
        && let Some(incarnation) = told_incarnation(rules, state)
    {
        push(&|s| s.told = Told::Sent(incarnation));
    }
    if let Told::Sent(incarnation) = state.told {
        push(&|s| s.told = Told::Lost);
        push(&|s| s.told = Told::Arrived(incarnation));
    }
    if state.is_broken && !state.is_first_dead {
        push(&|s| s.is_first_dead = true);
    }
    if state.is_broken && state.went_on.is_none() && !state.is_refused {
        next.push(take_up(rules, state));
    }
    next
}

#[derive(Debug, Default)]
struct Found {
    states: usize,
    mixed: usize,
    whole: usize,
}

fn search(rules: Rules) -> Found {
    let start = State {
        running: [1, 1],
        listed: [[1, 1], [1, 1]],
        began: None,
        is_broken: false,
        told: Told::Not,
        is_first_dead: false,
        went_on: None,
        is_refused: false,
    };
    let mut seen = HashSet::from([start.clone()]);
    let mut open = vec![start];
    let mut found = Found::default();
    while let Some(state) = open.pop() {
        found.states += 1;
        if let (Some(began), Some(went_on)) = (state.began, state.went_on) {
            let is_mixed = version(began) != version(went_on);
            found.mixed += usize::from(is_mixed);
            found.whole += usize::from(!is_mixed);
        }
        for next in successors(rules, &state) {
            if seen.insert(next.clone()) {
                open.push(next);
            }
        }
    }
    found
}

#[test]
fn no_order_of_events_joins_two_versions() {
    let found = search(Rules::All);

    assert_eq!(found.mixed, 0, "{found:?}");
    assert!(found.whole > 0, "{found:?}");
}

#[test]
fn two_versions_are_joined_if_the_version_is_left_out() {
    let found = search(Rules::WithoutVersion);

    assert!(found.mixed > 0, "{found:?}");
}

#[test]
fn two_versions_are_joined_if_only_the_listing_counts() {
    let found = search(Rules::WithoutReport);

    assert!(found.mixed > 0, "{found:?}");
}
