//! Streamed responses when engines truncate or freeze, and when callers disconnect.
//! Tokens of different requests are never mixed.

mod common;

use common::{
    RED_MODEL, block_on, fetch_stats, ready_deployment, replicated_deployment, small_shape,
    wait_until,
};
use currantcove::core::ids::UpstreamId;
use currantcove_standins::client::{Caller, draft_body, is_complete_draft, read_response};
use currantcove_standins::control::ControlRequest;
use currantcove_standins::deployment::Deployment;
use currantcove_standins::engine::EngineFaults;
use http_body_util::BodyExt;

async fn set_engine_faults(deployment: &Deployment, faults: EngineFaults) {
    for i in 0..3 {
        let id = UpstreamId::new(&format!("assistant-{i}"));
        assert!(
            deployment
                .control
                .apply(&ControlRequest::Engine(id, faults))
                .await
        );
    }
}

#[test]
fn a_truncated_stream_is_resumed_after_its_last_token() {
    block_on(async {
        let deployment = replicated_deployment(&small_shape()).await;
        let addr = deployment.caller_addrs()[0];
        let red = Caller::new("red");
        let faults = EngineFaults {
            breaks_after_tokens: 4,
            ..Default::default()
        };
        set_engine_faults(&deployment, faults).await;

        let response = red
            .draft(addr, RED_MODEL, "word", 7)
            .await
            .expect("response");

        assert!(is_complete_draft(&response, "word", 7), "{response:?}");
        let requests: u64 = fetch_stats(&deployment)
            .await
            .engines
            .values()
            .map(|e| e.requests)
            .sum();
        assert_eq!(requests, 2);
    });
}

#[test]
fn a_stream_that_cannot_be_resumed_ends_with_an_error_event() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        let addr = deployment.caller_addrs()[0];
        let red = Caller::new("red");
        let faults = EngineFaults {
            breaks_after_tokens: 2,
            ..Default::default()
        };
        set_engine_faults(&deployment, faults).await;

        let response = red
            .draft(addr, RED_MODEL, "word", 20)
            .await
            .expect("response");

        assert!(!response.is_complete);
        assert!(response.body.contains("event: error"), "{response:?}");
        assert!(!response.body.contains("[DONE]"));
    });
}

#[test]
fn streams_of_a_frozen_engine_are_resumed_elsewhere() {
    block_on(async {
        let deployment = replicated_deployment(&small_shape()).await;
        let addr = deployment.caller_addrs()[0];
        let red = Caller::new("red");
        let body = draft_body(RED_MODEL, "word", 60, true);
        let mut response = red
            .send(addr, red.post("/v1/chat/completions"), body)
            .await
            .expect("response");
        let first = response
            .body_mut()
            .frame()
            .await
            .expect("frame")
            .expect("first token");
        let before = fetch_stats(&deployment).await;
        let serving = before
            .engines
            .iter()
            .find(|(_, e)| e.requests > 0)
            .expect("serving")
            .0;
        let frozen = EngineFaults {
            is_frozen: true,
            ..Default::default()
        };
        deployment
            .control
            .apply(&ControlRequest::Engine(serving.clone(), frozen))
            .await;

        let mut response = read_response(response).await;

        let first = first.into_data().expect("data");
        response
            .body
            .insert_str(0, &String::from_utf8_lossy(&first));
        assert!(is_complete_draft(&response, "word", 60), "{response:?}");
    });
}

#[test]
fn a_disconnected_caller_cancels_its_request_at_the_engine() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        let addr = deployment.caller_addrs()[0];
        let red = Caller::new("red");
        let body = draft_body(RED_MODEL, "word", 100_000, true);
        let mut response = red
            .send(addr, red.post("/v1/chat/completions"), body)
            .await
            .expect("response");
        response
            .body_mut()
            .frame()
            .await
            .expect("frame")
            .expect("first token");

        drop(response);

        let is_cancelled = wait_until(|| async {
            fetch_stats(&deployment)
                .await
                .engines
                .values()
                .map(|e| e.cancelled)
                .sum::<u64>()
                == 1
        })
        .await;
        assert!(is_cancelled);
    });
}
