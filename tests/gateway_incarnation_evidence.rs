//! What names the incarnation that sent a stream, as pure decisions.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use currantcove::core::attestation::Attestations;
use currantcove::core::ids::{ServiceId, SoftwareVersion, UpstreamId};
use currantcove::core::process_span::ProcessSpans;
use currantcove::core::store_era::Era;
use currantcove::core::store_relay::Position;
use currantcove::core::stream_origin::{
    OriginClaim, OriginKnowledge, StreamOrigin, StreamOrigins, stream_key,
};
use currantcove::core::write_times::WriteTimes;

fn addr() -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 80))
}

fn upstream() -> UpstreamId {
    UpstreamId::new("i-1")
}

fn position(revision: u64) -> Position {
    Position {
        era: Era(1),
        revision,
    }
}

fn claim(started_ms: u64, running_since_ms: u64) -> OriginClaim {
    OriginClaim {
        origin: StreamOrigin {
            service: ServiceId::new("bookings"),
            software: SoftwareVersion::new("v1"),
            upstream: upstream(),
            started_ms,
        },
        running_since_ms,
    }
}

#[test]
fn connections_with_a_moment_in_common_belong_to_one_process() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut spans = ProcessSpans::default();

    let first = spans.record(addr(), at(0), at(100));
    let beside_it = spans.record(addr(), at(90), at(200));
    let beside_that = spans.record(addr(), at(150), at(160));
    let later = spans.record(addr(), at(201), at(300));
    let of_before = spans.record(addr(), at(50), at(60));

    assert_eq!((first, beside_it, beside_that), (at(0), at(0), at(0)));
    assert_eq!(later, at(201));
    assert_eq!(of_before, at(50));
}

#[test]
fn older_connection_extends_a_newer_one_once_it_is_seen_later() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut spans = ProcessSpans::default();
    spans.record(addr(), at(0), at(10));

    let alone = spans.record(addr(), at(50), at(50));
    spans.record(addr(), at(0), at(60));
    let beside = spans.record(addr(), at(50), at(50));

    assert_eq!((alone, beside), (at(50), at(0)));
}

#[test]
fn change_was_written_after_each_read_that_has_not_shown_it() {
    let mut times = WriteTimes::default();
    times.record_read(position(10), 1_000);
    times.record_read(position(20), 2_000);
    // A read that was requested earlier and took longer.
    times.record_read(position(15), 1_500);
    // It has shown less than another one that was requested later.
    times.record_read(position(18), 900);

    let bounds = [9, 10, 11, 15, 16, 20, 21].map(|r| times.written_after_ms(Era(1), r));

    assert_eq!(bounds, [0, 0, 1_000, 1_000, 1_500, 1_500, 2_000]);
    assert_eq!(times.written_after_ms(Era(2), 30), 0);
}

#[test]
fn reads_of_an_earlier_era_say_nothing() {
    let mut times = WriteTimes::default();
    times.record_read(position(10), 1_000);

    let restored = Position {
        era: Era(2),
        revision: 5,
    };
    times.record_read(restored, 3_000);

    assert_eq!(times.written_after_ms(Era(2), 8), 3_000);
    assert_eq!(times.written_after_ms(Era(1), 11), 0);
}

#[test]
fn remembered_reads_are_bounded() {
    let mut times = WriteTimes::default();
    for number in 1..1_000 {
        times.record_read(position(number), number * 10);
    }

    assert_eq!(times.written_after_ms(Era(1), 1_000), 9_990);
    assert_eq!(times.written_after_ms(Era(1), 3), 0);
}

#[test]
fn attestations_of_incarnations_are_kept_apart_and_forgotten() {
    let mut attestations = Attestations::default();
    attestations.record(1_000, &upstream(), 7, 900);
    attestations.record(1_100, &upstream(), 8, 1_050);
    attestations.record(1_200, &upstream(), 7, 800);

    let ran = |known: &Attestations, started_ms, time_ms| {
        known.has_run_after(&upstream(), started_ms, time_ms)
    };
    assert!(ran(&attestations, 7, 899) && !ran(&attestations, 7, 900));
    assert!(ran(&attestations, 8, 1_049));
    attestations.forget_old(61_050);
    assert!(!ran(&attestations, 7, 0) && ran(&attestations, 8, 1_049));
    attestations.forget_old(61_100);
    assert!(!ran(&attestations, 8, 0));
}

#[test]
fn claim_is_confirmed_by_the_origin_and_never_replaces_it() {
    let stream = stream_key(b"h.example", None, "r1");
    let mut origins = StreamOrigins::default();

    origins.record_claim(0, stream, claim(1, 100));
    origins.record_claim(1, stream, claim(1, 130));
    let claimed = origins.get(2, stream).clone();
    origins.record(2, stream, claim(1, 0).origin);
    origins.record_claim(3, stream, claim(1, 100));
    let known = origins.get(4, stream).clone();

    assert_eq!(claimed, OriginKnowledge::Claimed(claim(1, 130)));
    assert_eq!(known, OriginKnowledge::Known(claim(1, 0).origin));
}

#[test]
fn claims_of_two_incarnations_and_refuted_ones_are_contradictory() {
    let twice = stream_key(b"h.example", None, "r1");
    let refuted = stream_key(b"h.example", None, "r2");
    let mut origins = StreamOrigins::default();

    origins.record_claim(0, twice, claim(1, 100));
    origins.record_claim(1, twice, claim(2, 100));
    origins.record_claim(0, refuted, claim(1, 100));
    origins.record_refuted(1, refuted);
    origins.record(2, refuted, claim(1, 0).origin);

    assert_eq!(origins.get(3, twice), &OriginKnowledge::Contradictory);
    assert_eq!(origins.get(3, refuted), &OriginKnowledge::Contradictory);
}
