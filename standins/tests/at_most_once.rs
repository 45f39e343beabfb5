//! Bookings run at most once, and `not_run` is the truth.

mod common;

use common::{block_on, eventually, ready, seen, small};
use currantcove::core::ids::UpstreamId;
use currantcove::core::outcome::{Outcome, Reason};
use currantcove_standins::client::Caller;
use currantcove_standins::control::ControlRequest;
use currantcove_standins::deployment::Deployment;
use currantcove_standins::kv::KvFaults;
use currantcove_standins::service::ServiceFaults;

async fn set_service_faults(deployment: &Deployment, faults: ServiceFaults) {
    for id in ["booking-0", "booking-1"] {
        let control = ControlRequest::Service(UpstreamId::new(id), faults);
        assert!(deployment.control.apply(&control).await);
    }
}

async fn set_kv_faults(deployment: &Deployment, faults: KvFaults) {
    assert!(deployment.control.apply(&ControlRequest::Kv(faults)).await);
}

#[test]
fn a_repeat_through_another_host_gets_the_recorded_answer() {
    block_on(async {
        let deployment = ready(&small()).await;
        let addrs = deployment.caller_addrs();
        let red = Caller::new("red");
        let first = red
            .book(addrs[0], "court-1", Some("k1"))
            .await
            .expect("answer");

        let replayed = eventually(|| async {
            let again = red
                .book(addrs[1], "court-1", Some("k1"))
                .await
                .expect("answer");
            again.status == 200 && again.body == first.body
        })
        .await;

        assert_eq!(first.status, 200);
        assert!(replayed);
        assert_eq!(seen(&deployment).await.doubled_bookings, 0);
    });
}

#[test]
fn a_key_belongs_to_one_body_and_one_team() {
    block_on(async {
        let deployment = ready(&small()).await;
        let addr = deployment.caller_addrs()[0];
        let (red, blue) = (Caller::new("red"), Caller::new("blue"));
        red.book(addr, "court-1", Some("k1")).await.expect("answer");

        let other_body = red.book(addr, "court-2", Some("k1")).await.expect("answer");
        let other_team = blue
            .book(addr, "court-3", Some("k1"))
            .await
            .expect("answer");

        let refusal = other_body.refusal().expect("refusal");
        assert_eq!(refusal.reason, Reason::IdempotencyKeyReused);
        assert_eq!(other_team.status, 200);
    });
}

#[test]
fn a_booking_without_answer_is_unknown_and_never_runs_again() {
    block_on(async {
        let deployment = ready(&small()).await;
        let addrs = deployment.caller_addrs();
        let red = Caller::new("red");
        set_service_faults(
            &deployment,
            ServiceFaults {
                breaks_off: true,
                ..Default::default()
            },
        )
        .await;

        let first = red
            .book(addrs[0], "court-1", Some("k1"))
            .await
            .expect("answer");
        let bare = red.book(addrs[0], "court-2", None).await.expect("answer");
        set_service_faults(&deployment, ServiceFaults::default()).await;
        let again = red
            .book(addrs[1], "court-1", Some("k1"))
            .await
            .expect("answer");

        assert_eq!(first.outcome(), Some(Outcome::Unknown));
        assert_eq!(bare.outcome(), Some(Outcome::Unknown));
        assert_eq!(again.outcome(), Some(Outcome::Unknown));
        let seen = seen(&deployment).await;
        assert_eq!((seen.bookings, seen.doubled_bookings), (2, 0));
    });
}

#[test]
fn a_lost_answer_to_the_claim_is_read_back() {
    block_on(async {
        let deployment = ready(&small()).await;
        let addr = deployment.caller_addrs()[0];
        let red = Caller::new("red");
        red.book(addr, "warm", Some("k0")).await.expect("answer");
        set_kv_faults(
            &deployment,
            KvFaults {
                loses_answers: true,
                ..Default::default()
            },
        )
        .await;

        let heard = red.book(addr, "court-1", Some("k1")).await.expect("answer");

        assert_eq!(heard.status, 200, "{heard:?}");
        let seen = seen(&deployment).await;
        assert_eq!((seen.bookings, seen.doubled_bookings), (2, 0));
    });
}

#[test]
fn in_an_outage_keyed_bookings_are_refused_and_others_run() {
    block_on(async {
        let deployment = ready(&small()).await;
        let addr = deployment.caller_addrs()[0];
        let red = Caller::new("red");
        set_kv_faults(
            &deployment,
            KvFaults {
                is_down: true,
                ..Default::default()
            },
        )
        .await;

        let keyed = red.book(addr, "court-1", Some("k1")).await.expect("answer");
        let bare = red.book(addr, "court-2", None).await.expect("answer");
        let refused_runs = seen(&deployment).await.bookings;
        set_kv_faults(&deployment, KvFaults::default()).await;
        let later = eventually(|| async {
            let heard = red.book(addr, "court-1", Some("k1")).await.expect("answer");
            heard.status == 200
        })
        .await;

        let refusal = keyed.refusal().expect("refusal");
        assert_eq!(refusal.reason, Reason::PlatformUnavailable);
        assert_eq!(refusal.outcome, Outcome::NotRun);
        assert!(refusal.retry_after_ms.is_some());
        assert_eq!(bare.status, 200);
        assert_eq!(refused_runs, 1, "only the booking without a key has run");
        assert!(later, "the refused booking runs after the outage");
        assert_eq!(seen(&deployment).await.doubled_bookings, 0);
    });
}

#[test]
fn a_host_killed_between_claim_and_answer_leaves_the_booking_unknown() {
    block_on(async {
        let mut deployment = ready(&small()).await;
        let addrs = deployment.caller_addrs();
        let red = Caller::new("red");
        let slow = ServiceFaults {
            slow_ms: 1_500,
            ..Default::default()
        };
        set_service_faults(&deployment, slow).await;
        let first = red.clone();
        let first_addr = addrs[0];
        let booking =
            compio::runtime::spawn(
                async move { first.book(first_addr, "court-1", Some("k1")).await },
            );
        let is_claimed = eventually(|| async {
            let status = deployment.status(0).await.expect("status");
            status.upstreams.iter().any(|u| u.load_permille > 0)
        })
        .await;
        assert!(is_claimed, "the booking is under way");

        deployment.hosts[0].process.kill();
        let first = booking.await.expect("task");
        let again = red
            .book(addrs[1], "court-1", Some("k1"))
            .await
            .expect("answer");
        compio::time::sleep(std::time::Duration::from_secs(2)).await;
        let later = red
            .book(addrs[2], "court-1", Some("k1"))
            .await
            .expect("answer");

        assert!(first.is_none(), "the host died");
        assert_eq!(again.outcome(), Some(Outcome::Unknown));
        assert_eq!(later.outcome(), Some(Outcome::Unknown));
        assert_eq!(seen(&deployment).await.doubled_bookings, 0);
    });
}
