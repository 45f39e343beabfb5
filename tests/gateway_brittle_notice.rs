//! Statements of upstreams that they are brittle.

use currantcove::core::brittle_notice::{
    BrittleChange, BrittleStatement, BrittleUpstreams, Incarnation, StatedBrittleness,
};
use currantcove::core::ids::{ServiceId, UpstreamId};

const BRITTLE: StatedBrittleness = StatedBrittleness::MaxRejections(5);
const SOUND: StatedBrittleness = StatedBrittleness::Sound;
/// Time after which the statement of an upstream that is gone no longer holds.
const LONG_GONE_MS: u64 = 70_000;

struct Fixture {
    service: ServiceId,
    known: BrittleUpstreams,
}

impl Fixture {
    fn new() -> Self {
        Self {
            service: ServiceId::new("s1"),
            known: BrittleUpstreams::default(),
        }
    }

    fn respond(
        &mut self,
        now_ms: u64,
        id: &str,
        sent_ms: u64,
        stated: StatedBrittleness,
    ) -> Option<BrittleChange> {
        let upstream = UpstreamId::new(id);
        let incarnation = Incarnation {
            upstream: &upstream,
            service: &self.service,
            started_ms: 1,
        };
        self.known.on_response(now_ms, incarnation, sent_ms, stated)
    }

    fn get(&self, id: &str, started_ms: u64) -> Option<u32> {
        let upstream = UpstreamId::new(id);
        self.known.get(Incarnation {
            upstream: &upstream,
            service: &self.service,
            started_ms,
        })
    }

    fn statement(&self, id: &str, age_ms: u64) -> BrittleStatement {
        BrittleStatement {
            upstream: UpstreamId::new(id),
            service: self.service.clone(),
            started_ms: 1,
            max_rejections: 5,
            age_ms,
            stated_for_ms: age_ms,
        }
    }
}

#[test]
fn upstream_is_brittle_once_it_states_it() {
    let mut fixture = Fixture::new();

    let change = fixture.respond(100, "u1", 90, BRITTLE);

    assert_eq!(change, Some(BrittleChange::Brittle(5)));
    assert_eq!(fixture.get("u1", 1), Some(5));
}

#[test]
fn upstreams_of_the_same_service_and_later_incarnations_count_as_brittle() {
    let mut fixture = Fixture::new();
    fixture.respond(100, "u1", 90, BRITTLE);

    assert_eq!(fixture.get("u2", 1), Some(5));
    assert_eq!(fixture.get("u1", 2), Some(5));
}

#[test]
fn response_to_an_earlier_request_does_not_end_the_statement() {
    let mut fixture = Fixture::new();
    fixture.respond(100, "u1", 90, BRITTLE);

    let change = fixture.respond(110, "u1", 95, SOUND);

    assert_eq!(change, None);
    assert_eq!(fixture.get("u1", 1), Some(5));
}

#[test]
fn response_to_a_later_request_ends_the_statement() {
    let mut fixture = Fixture::new();
    fixture.respond(100, "u1", 90, BRITTLE);

    let change = fixture.respond(210, "u1", 200, SOUND);

    assert_eq!(change, Some(BrittleChange::Sound));
    assert!(fixture.known.is_empty());
}

#[test]
fn one_upstream_that_ends_its_statement_does_not_end_that_of_another() {
    let mut fixture = Fixture::new();
    fixture.respond(100, "u1", 90, BRITTLE);
    fixture.respond(100, "u2", 90, BRITTLE);

    fixture.respond(210, "u1", 200, SOUND);

    assert_eq!(fixture.get("u1", 1), None);
    assert_eq!(fixture.get("u2", 1), Some(5));
}

#[test]
fn statement_without_meaning_changes_nothing() {
    let mut fixture = Fixture::new();
    fixture.respond(100, "u1", 90, BRITTLE);

    let change = fixture.respond(210, "u1", 200, StatedBrittleness::Invalid);

    assert_eq!(change, None);
    assert_eq!(fixture.get("u1", 1), Some(5));
}

#[test]
fn older_statement_of_another_host_does_not_undo_its_end() {
    let mut fixture = Fixture::new();
    fixture.respond(100, "u1", 90, BRITTLE);
    fixture.respond(100, "u2", 90, BRITTLE);
    fixture.respond(210, "u1", 200, SOUND);
    let older = fixture.statement("u1", 50);
    let newer = fixture.statement("u1", 5);

    assert_eq!(fixture.known.learn(220, &older), None);
    assert_eq!(fixture.get("u1", 1), None);
    assert_eq!(
        fixture.known.learn(220, &newer),
        Some(BrittleChange::Brittle(5))
    );
}

#[test]
fn service_remains_brittle_for_a_while_after_its_only_upstream_is_gone() {
    let mut fixture = Fixture::new();
    fixture.respond(100, "u1", 90, BRITTLE);

    fixture.known.on_removed(200, &UpstreamId::new("u1"));

    assert_eq!(fixture.get("u2", 1), Some(5));
    fixture
        .known
        .on_removed(LONG_GONE_MS, &UpstreamId::new("u1"));
    assert_eq!(fixture.get("u2", 1), None);
}

#[test]
fn requests_need_no_place_right_after_the_first_statement_of_the_service() {
    let mut fixture = Fixture::new();
    fixture.respond(10_000, "u1", 9_990, BRITTLE);

    assert!(fixture.known.is_preparing(10_500, &fixture.service));
    assert!(!fixture.known.is_preparing(11_500, &fixture.service));
}

/// Guards against a host that starts in the middle and takes its own first response for
/// the first statement.
#[test]
fn host_that_learns_of_an_earlier_statement_is_not_preparing() {
    let mut fixture = Fixture::new();
    fixture.respond(10_000, "u1", 9_990, BRITTLE);
    let repeated = BrittleStatement {
        stated_for_ms: 4_000,
        ..fixture.statement("u1", 200)
    };

    fixture.known.learn(10_100, &repeated);

    assert!(!fixture.known.is_preparing(10_100, &fixture.service));
}
