//! Permits for requests to upstreams that state a rate.

use currantcove::core::ids::{HostId, UpstreamId};
use currantcove::core::rate_account::{
    AccountRate, Keeping, Permit, Purpose, RateAccounts, keepers_of,
};

/// Time for which the platform's rule counts requests, in milliseconds.
const WINDOW_MS: u64 = 4_000;

fn upstream() -> UpstreamId {
    UpstreamId::new("e1")
}

fn rate(per_mille_s: u32) -> AccountRate {
    AccountRate {
        started_ms: 100,
        per_mille_s,
        stated_ms: 1_000,
    }
}

fn take(accounts: &mut RateAccounts, now_ms: u64, rate: AccountRate, keeping: Keeping) -> bool {
    let permit = accounts.try_take(now_ms, &upstream(), rate, keeping, Purpose::Caller);
    permit == Permit::Granted
}

/// Times at which requests are permitted if a host asks all the time.
fn permitted_ms(keepings: &[Keeping], rate: AccountRate, until_ms: u64) -> Vec<u64> {
    let mut accounts = RateAccounts::default();
    let mut permitted = Vec::new();
    for now_ms in 1_000..until_ms {
        for keeping in keepings {
            if take(&mut accounts, now_ms, rate, *keeping) {
                permitted.push(now_ms);
            }
        }
    }
    permitted
}

/// Largest number of requests in any window, of times in ascending order.
fn most_in_window(times_ms: &[u64]) -> usize {
    let in_window = |(index, from_ms): (usize, &u64)| {
        let until_ms = from_ms + WINDOW_MS;
        times_ms[index..]
            .iter()
            .take_while(|t| **t <= until_ms)
            .count()
    };
    times_ms
        .iter()
        .enumerate()
        .map(in_window)
        .max()
        .unwrap_or(0)
}

#[test]
fn keeper_permits_the_stated_rate() {
    for per_mille_s in [1_200, 1_400, 2_000, 10_000] {
        let permitted = permitted_ms(&[Keeping::Keeper], rate(per_mille_s), 21_000);

        let expected = per_mille_s as usize * 20 / 1_000;
        assert!(
            (expected - 1..=expected).contains(&permitted.len()),
            "{per_mille_s}"
        );
    }
}

/// Guards against two accounts of one upstream, while some hosts do not reach its keeper,
/// that exceed what the platform allows: one and a half times the rate, and five more.
#[test]
fn keeper_and_stand_in_together_stay_below_what_is_allowed() {
    for per_mille_s in [200, 1_200, 1_400, 2_000, 10_000] {
        let both = [Keeping::Keeper, Keeping::StandIn];

        let permitted = permitted_ms(&both, rate(per_mille_s), 40_000);

        let allowed = f64::from(per_mille_s) / 1_000.0 * 4.0 * 1.5 + 5.0;
        let most = most_in_window(&permitted);
        assert!(
            most as f64 <= allowed,
            "{most} of {allowed} at {per_mille_s}"
        );
    }
}

#[test]
fn requests_after_a_pause_stay_below_what_is_allowed() {
    let mut accounts = RateAccounts::default();
    take(&mut accounts, 1_000, rate(1_200), Keeping::Keeper);

    let after_pause = (60_000..60_000 + WINDOW_MS)
        .filter(|now_ms| take(&mut accounts, *now_ms, rate(1_200), Keeping::Keeper));

    assert!(after_pause.count() <= 12);
}

/// Guards against a change of the keeper that permits what the former one has just
/// permitted.
#[test]
fn new_account_starts_empty() {
    let mut accounts = RateAccounts::default();

    let at_once = take(&mut accounts, 1_000, rate(2_000), Keeping::Keeper);
    let later = take(&mut accounts, 1_500, rate(2_000), Keeping::Keeper);

    assert_eq!((at_once, later), (false, true));
}

#[test]
fn denied_host_learns_when_to_ask_again() {
    let mut accounts = RateAccounts::default();

    let permit = accounts.try_take(
        1_000,
        &upstream(),
        rate(2_000),
        Keeping::Keeper,
        Purpose::Caller,
    );

    assert_eq!(permit, Permit::Denied { retry_in_ms: 500 });
}

#[test]
fn orders_and_reports_take_only_what_callers_leave() {
    let mut accounts = RateAccounts::default();
    let mut ask = |now_ms, purpose| {
        accounts.try_take(now_ms, &upstream(), rate(1_000), Keeping::Keeper, purpose)
            == Permit::Granted
    };
    ask(1_000, Purpose::Caller);

    let control_early = ask(2_500, Purpose::Control);
    let caller = ask(2_500, Purpose::Caller);
    let control_late = ask(5_000, Purpose::Control);

    assert!(!control_early && caller && control_late);
}

#[test]
fn latest_statement_counts_whoever_knows_it() {
    let mut accounts = RateAccounts::default();
    let lower = AccountRate {
        per_mille_s: 1_000,
        stated_ms: 2_000,
        ..rate(10_000)
    };
    take(&mut accounts, 2_000, lower, Keeping::Keeper);

    let outdated =
        (2_001..4_000).filter(|t| take(&mut accounts, *t, rate(10_000), Keeping::Keeper));

    assert!(outdated.count() <= 2);
}

#[test]
fn hosts_with_the_same_list_ask_the_same_keepers() {
    let hosts = ["h1", "h2", "h3"].map(HostId::new);
    let listed = || hosts.iter();

    let keepers = keepers_of(&upstream(), listed());
    let reversed = keepers_of(&upstream(), listed().rev());
    let alone = keepers_of(&upstream(), listed().take(1));

    assert_eq!(keepers, reversed);
    assert_eq!(keepers.len(), 2);
    assert_ne!(keepers[0].1, keepers[1].1);
    assert_eq!(alone, [(Keeping::Keeper, &hosts[0])]);
}
