//! Places at brittle upstreams, in simulated fleets and one by one.

#[path = "common/brittle_fleet.rs"]
mod brittle_fleet;

use brittle_fleet::{Allowance, Arrangement, Figures, Fleet};
use currantcove::core::ids::{HostId, UpstreamId};
use currantcove::core::open_places::{ACCEPTED_AFTER_MS, OpenPlaces, PlaceEnd};
use currantcove::core::place_account::{BrittleLimits, PlaceAccounts, PlaceAnswer, allowance};
use currantcove::core::rate_account::Keeping;

const SEEDS: u64 = 5;
/// The same with hundreds of hosts, where a run takes seconds.
const LARGE_FLEET_SEEDS: u64 = 2;
const SEARCH_SEEDS: u64 = 200;
/// Rejections within a second that upstreams survive.
const MAX_REJECTIONS: u32 = 6;
const LIMITS: BrittleLimits = BrittleLimits {
    max_rejections: MAX_REJECTIONS,
    slots: 4,
};
/// Time after which a new account grants places.
const SETTLED_MS: u64 = 1_000;

fn arrangement(allowance: Allowance, hosts: usize, seed: u64) -> Arrangement {
    Arrangement {
        allowance,
        hosts,
        upstreams: if hosts > 100 { 20 } else { 4 },
        max_rejections: MAX_REJECTIONS,
        load_percent: 85,
        lost_percent: 1,
        late_percent: 2,
        duration_ms: 15_000,
        fault_ms: Some(8_000),
        seed,
    }
}

/// Two hosts, one upstream, and many lost messages.
fn small_arrangement(allowance: Allowance, seed: u64) -> Arrangement {
    Arrangement {
        upstreams: 1,
        load_percent: 110,
        lost_percent: 20,
        late_percent: 20,
        duration_ms: 9_000,
        fault_ms: Some(5_000),
        ..arrangement(allowance, 2, seed)
    }
}

fn print(name: &str, seed: u64, figures: &Figures) {
    let Figures {
        falls,
        rejections,
        max_rejections_in_window,
        ..
    } = figures;
    let share = figures.share();
    println!(
        "{name} seed {seed}: {falls} falls, {rejections} rejections, at most \
         {max_rejections_in_window} in a second, in time {share:.3}"
    );
}

fn check_fleet(hosts: usize, seeds: u64) {
    for seed in 1..=seeds {
        let arrangement = arrangement(Allowance::Shared, hosts, seed);

        let shared = Fleet::new(arrangement).run();

        print(&format!("{hosts} hosts, shared"), seed, &shared);
        assert!(shared.falls <= 2 + arrangement.upstreams / 10, "{shared:?}");
        assert!(shared.share() >= 0.9, "{shared:?}");
    }
}

#[test]
fn upstreams_that_survive_few_rejections_keep_up() {
    for max_rejections in [1, 2, 3, 20] {
        for seed in 1..=SEEDS {
            let arrangement = Arrangement {
                max_rejections,
                ..arrangement(Allowance::Shared, 7, seed)
            };

            let shared = Fleet::new(arrangement).run();

            print(&format!("7 hosts, N = {max_rejections}"), seed, &shared);
            assert!(shared.falls <= 2, "{shared:?}");
            assert!(shared.share() >= 0.9, "{shared:?}");
        }
    }
}

/// Falls and requests in time if each host has an allowance of its own.
#[test]
fn own_allowances_of_the_hosts_let_upstreams_fall() {
    for (hosts, is_enough) in [(2, false), (7, true), (30, true), (195, true)] {
        let arrangement = arrangement(Allowance::Own, hosts, 1);

        let own = Fleet::new(arrangement).run();

        print(&format!("{hosts} hosts, own"), 1, &own);
        // Two hosts fall short of it here; the search below finds them too many.
        assert!(!is_enough || own.falls > 2 + arrangement.upstreams / 10);
    }
}

#[test]
fn two_hosts_with_one_allowance_keep_upstreams_up() {
    check_fleet(2, SEEDS);
}

#[test]
fn seven_hosts_with_one_allowance_keep_upstreams_up() {
    check_fleet(7, SEEDS);
}

#[test]
fn thirty_hosts_with_one_allowance_keep_upstreams_up() {
    check_fleet(30, SEEDS);
}

#[test]
fn hundreds_of_hosts_with_one_allowance_keep_upstreams_up() {
    check_fleet(195, LARGE_FLEET_SEEDS);
}

/// Searches for a run in which the upstream turns away more than it survives.
fn most_rejections(allowance: Allowance) -> (u64, Figures) {
    let runs = (1..=SEARCH_SEEDS).map(|seed| {
        let figures = Fleet::new(small_arrangement(allowance, seed)).run();
        (seed, figures)
    });
    let worst = runs.max_by_key(|(_, f)| (f.falls, f.max_rejections_in_window));
    worst.expect("runs")
}

#[test]
fn search_finds_no_fall_if_two_hosts_share_an_allowance() {
    let (seed, shared) = most_rejections(Allowance::Shared);

    print("search, shared", seed, &shared);
    assert_eq!(shared.falls, 0, "seed {seed}");
}

#[test]
fn search_finds_falls_if_each_of_two_hosts_has_an_allowance() {
    let (seed, own) = most_rejections(Allowance::Own);

    print("search, own", seed, &own);
    assert!(own.falls > 2, "seed {seed}");
}

fn places(host: &str) -> OpenPlaces {
    OpenPlaces::new(HostId::new(host), 1)
}

fn upstream() -> UpstreamId {
    UpstreamId::new("u1")
}

/// Asks until a place is denied; returns the numbers of the places.
fn take_all(accounts: &mut PlaceAccounts, places: &mut OpenPlaces, now_ms: u64) -> Vec<u64> {
    let mut granted = Vec::new();
    loop {
        let in_flight = granted.len() as u32 + 1;
        let report = places.ask(now_ms, &upstream(), 1, in_flight);
        let (answer, _) = accounts.try_take(now_ms, &report, LIMITS, Keeping::Keeper);
        if answer != PlaceAnswer::Granted {
            places.end(now_ms, &upstream(), report.sequence, PlaceEnd::Released);
            return granted;
        }
        places.on_sent(now_ms, &upstream(), report.sequence);
        granted.push(report.sequence);
    }
}

/// Account that has settled, with a report of a host.
fn settled_account(places: &mut OpenPlaces) -> PlaceAccounts {
    let mut accounts = PlaceAccounts::default();
    let report = places.report(1, &upstream(), 1, 0);
    accounts.on_report(1, &report, LIMITS, Keeping::Keeper);
    accounts
}

#[test]
fn keeper_and_stand_in_together_stay_below_what_the_upstream_survives() {
    for max_rejections in 1..200 {
        let keeper = allowance(max_rejections, Keeping::Keeper);
        let stand_in = allowance(max_rejections, Keeping::StandIn);

        assert!(keeper >= 1, "{max_rejections}");
        assert!(keeper + stand_in <= max_rejections, "{max_rejections}");
    }
}

#[test]
fn new_account_grants_nothing() {
    let mut accounts = PlaceAccounts::default();

    let granted = take_all(&mut accounts, &mut places("h1"), 1_000);

    assert!(granted.is_empty(), "{granted:?}");
}

#[test]
fn account_grants_as_many_places_as_the_upstream_has_slots() {
    let mut places = places("h1");
    let mut accounts = settled_account(&mut places);

    let granted = take_all(&mut accounts, &mut places, SETTLED_MS);

    assert_eq!(granted.len(), LIMITS.slots as usize);
}

#[test]
fn place_is_granted_again_after_its_request_has_ended() {
    let mut places = places("h1");
    let mut accounts = settled_account(&mut places);
    let granted = take_all(&mut accounts, &mut places, SETTLED_MS);
    places.end(SETTLED_MS, &upstream(), granted[0], PlaceEnd::Released);

    let report = places.ask(SETTLED_MS, &upstream(), 1, LIMITS.slots);
    let (answer, _) = accounts.try_take(SETTLED_MS, &report, LIMITS, Keeping::Keeper);

    assert_eq!(answer, PlaceAnswer::Granted);
}

#[test]
fn rejection_withdraws_places() {
    let mut places = places("h1");
    let mut accounts = settled_account(&mut places);
    let granted = take_all(&mut accounts, &mut places, SETTLED_MS);
    let now_ms = SETTLED_MS + ACCEPTED_AFTER_MS;
    places.end(now_ms, &upstream(), granted[0], PlaceEnd::Rejected);

    let report = places.report(now_ms, &upstream(), 1, LIMITS.slots - 1);
    let cut = accounts.on_report(now_ms, &report, LIMITS, Keeping::Keeper);

    let cut = cut.expect("withdrawn");
    assert!(cut.to < cut.from, "{cut:?}");
    assert_eq!(accounts.room(&upstream()), Some(cut.to));
}

#[test]
fn account_of_an_earlier_incarnation_grants_nothing_to_a_later_one() {
    let mut places = places("h1");
    let mut accounts = settled_account(&mut places);

    let report = places.ask(SETTLED_MS, &upstream(), 2, 1);
    let (answer, _) = accounts.try_take(SETTLED_MS, &report, LIMITS, Keeping::Keeper);

    assert!(matches!(answer, PlaceAnswer::Denied { .. }));
}
