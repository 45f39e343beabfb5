//! Memory and descriptors of many connections, requests and bodies at the same time.

use currantcove::core::resource_account::{Purpose, ResourceAccount};
use currantcove::edge::resources::{NoRoom, Resources};

const MEMORY_BYTES: usize = 120 * 1024 * 1024;
const REQUEST_BYTES: usize = 56 * 1024;

fn account() -> ResourceAccount {
    ResourceAccount::of_process(MEMORY_BYTES, 3_000)
}

/// Takes as much as there is room for, in parts; returns how much.
fn fill(account: &mut ResourceAccount, purpose: Purpose, part_bytes: usize) -> usize {
    let mut taken_bytes = 0;
    while account.try_grow(purpose, part_bytes) {
        taken_bytes += part_bytes;
    }
    taken_bytes
}

/// Guards against a process that is killed for what it needs beside its callers' work.
#[test]
fn part_of_the_memory_is_not_in_the_budget() {
    let mut account = account();

    for purpose in Purpose::ALL {
        fill(&mut account, purpose, 1_000);
    }

    assert!(account.total_memory_bytes() <= account.memory_budget_bytes());
    assert!(account.memory_budget_bytes() <= MEMORY_BYTES * 5 / 6);
}

/// Guards against requests that were accepted and cannot be completed.
#[test]
fn responses_are_read_while_there_is_no_room_for_new_work() {
    let mut account = account();
    for purpose in [Purpose::Body, Purpose::Connection, Purpose::Request] {
        fill(&mut account, purpose, 1_000);
    }

    let is_read = account.try_grow(Purpose::Response, 1024 * 1024);

    assert!(is_read);
}

/// Guards against responses without an end that take the room of all requests.
#[test]
fn requests_begin_while_the_room_for_one_purpose_is_exhausted() {
    for purpose in [Purpose::Response, Purpose::Body, Purpose::Connection] {
        let mut account = account();
        fill(&mut account, purpose, 1_000);

        let taken_bytes = fill(&mut account, Purpose::Request, REQUEST_BYTES);

        assert!(taken_bytes > MEMORY_BYTES / 10, "{purpose:?}");
    }
}

/// Guards against connections that are kept idle where requests need the room.
#[test]
fn idle_connections_leave_room_for_requests() {
    let mut account = account();
    fill(&mut account, Purpose::Request, REQUEST_BYTES);

    let is_kept = account.try_grow(Purpose::IdleConnection, 1_000);

    assert!(!is_kept);
}

#[test]
fn connections_leave_descriptors_for_requests() {
    let mut account = account();
    while account.try_begin(Purpose::Connection) {}

    let is_begun = account.try_begin(Purpose::Request);

    assert!(is_begun);
}

#[test]
fn dropped_holds_leave_an_unused_account() {
    let resources = Resources::new(account());
    let mut body = resources.empty_hold(Purpose::Body);
    let request = resources.hold(Purpose::Request, REQUEST_BYTES);
    assert_eq!(body.grow_to(1_000_000), Ok(()));
    body.shrink_to(10);
    assert!(request.is_ok());

    drop((body, request));

    assert_eq!(resources.account(), account());
}

#[test]
fn hold_without_room_takes_nothing() {
    let resources = Resources::new(account());

    let too_much = resources.hold(Purpose::Body, MEMORY_BYTES);

    assert_eq!(too_much.err(), Some(NoRoom));
    assert_eq!(resources.account(), account());
    assert_eq!(resources.refusals(), 1);
}
