//! At-most-once execution of bookings when responses, claims, the key-value service
//! or hosts fail. A booking that is reported as `not_run` must not have run.

mod common;

use common::{block_on, fetch_stats, ready_deployment, small_shape, wait_until};
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
fn a_retry_through_another_host_gets_the_recorded_response() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        let addrs = deployment.caller_addrs();
        let red = Caller::new("red");
        let first = red
            .book(addrs[0], "court-1", Some("k1"))
            .await
            .expect("response");

        let is_replayed = wait_until(|| async {
            let retry = red
                .book(addrs[1], "court-1", Some("k1"))
                .await
                .expect("response");
            retry.status == 200 && retry.body == first.body
        })
        .await;

        assert_eq!(first.status, 200);
        assert!(is_replayed);
        assert_eq!(fetch_stats(&deployment).await.doubled_bookings, 0);
    });
}

#[test]
fn an_idempotency_key_is_bound_to_one_body_and_scoped_to_one_team() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        let addr = deployment.caller_addrs()[0];
        let (red, blue) = (Caller::new("red"), Caller::new("blue"));
        red.book(addr, "court-1", Some("k1"))
            .await
            .expect("response");

        let other_body = red
            .book(addr, "court-2", Some("k1"))
            .await
            .expect("response");
        let other_team = blue
            .book(addr, "court-3", Some("k1"))
            .await
            .expect("response");

        let refusal = other_body.refusal().expect("refusal");
        assert_eq!(refusal.reason, Reason::IdempotencyKeyReused);
        assert_eq!(other_team.status, 200);
    });
}

#[test]
fn a_booking_with_a_lost_response_is_unknown_and_never_runs_again() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
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
            .expect("response");
        let unkeyed = red.book(addrs[0], "court-2", None).await.expect("response");
        set_service_faults(&deployment, ServiceFaults::default()).await;
        let retry = red
            .book(addrs[1], "court-1", Some("k1"))
            .await
            .expect("response");

        assert_eq!(first.outcome(), Some(Outcome::Unknown));
        assert_eq!(unkeyed.outcome(), Some(Outcome::Unknown));
        assert_eq!(retry.outcome(), Some(Outcome::Unknown));
        let stats = fetch_stats(&deployment).await;
        assert_eq!((stats.bookings, stats.doubled_bookings), (2, 0));
    });
}

#[test]
fn a_claim_is_read_back_after_its_response_is_lost() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        let addr = deployment.caller_addrs()[0];
        let red = Caller::new("red");
        red.book(addr, "warm", Some("k0")).await.expect("response");
        set_kv_faults(
            &deployment,
            KvFaults {
                loses_answers: true,
                ..Default::default()
            },
        )
        .await;

        let response = red
            .book(addr, "court-1", Some("k1"))
            .await
            .expect("response");

        assert_eq!(response.status, 200, "{response:?}");
        let stats = fetch_stats(&deployment).await;
        assert_eq!((stats.bookings, stats.doubled_bookings), (2, 0));
    });
}

#[test]
fn a_kv_outage_refuses_only_bookings_with_an_idempotency_key() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
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

        let keyed = red
            .book(addr, "court-1", Some("k1"))
            .await
            .expect("response");
        let unkeyed = red.book(addr, "court-2", None).await.expect("response");
        let runs_in_outage = fetch_stats(&deployment).await.bookings;
        set_kv_faults(&deployment, KvFaults::default()).await;
        let is_booked_later = wait_until(|| async {
            let response = red
                .book(addr, "court-1", Some("k1"))
                .await
                .expect("response");
            response.status == 200
        })
        .await;

        let refusal = keyed.refusal().expect("refusal");
        assert_eq!(refusal.reason, Reason::PlatformUnavailable);
        assert_eq!(refusal.outcome, Outcome::NotRun);
        assert!(refusal.retry_after_ms.is_some());
        assert_eq!(unkeyed.status, 200);
        assert_eq!(runs_in_outage, 1, "only the booking without a key has run");
        assert!(is_booked_later, "the refused booking runs after the outage");
        assert_eq!(fetch_stats(&deployment).await.doubled_bookings, 0);
    });
}

#[test]
fn a_booking_is_unknown_when_its_host_is_killed_after_the_claim() {
    block_on(async {
        let mut deployment = ready_deployment(&small_shape()).await;
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
        let is_in_flight = wait_until(|| async {
            let status = deployment.status(0).await.expect("status");
            status.upstreams.iter().any(|u| u.load_permille > 0)
        })
        .await;
        assert!(is_in_flight, "the booking is in flight");

        deployment.hosts[0].process.kill();
        let first = booking.await.expect("task");
        let retry = red
            .book(addrs[1], "court-1", Some("k1"))
            .await
            .expect("response");
        compio::time::sleep(std::time::Duration::from_secs(2)).await;
        let later = red
            .book(addrs[2], "court-1", Some("k1"))
            .await
            .expect("response");

        assert!(first.is_none(), "the host was killed");
        assert_eq!(retry.outcome(), Some(Outcome::Unknown));
        assert_eq!(later.outcome(), Some(Outcome::Unknown));
        assert_eq!(fetch_stats(&deployment).await.doubled_bookings, 0);
    });
}
