//! Streams: resumed, visibly broken, cancelled, never mixed up.

mod common;

use common::{RED_MODEL, block_on, eventually, ready, seen, settled, small};
use currantcove::core::ids::UpstreamId;
use currantcove_standins::client::{Caller, draft_body, is_complete_draft, read_response};
use currantcove_standins::control::ControlRequest;
use currantcove_standins::deployment::Deployment;
use currantcove_standins::engine::EngineFaults;
use http_body_util::BodyExt;

async fn set_all_engines(deployment: &Deployment, faults: EngineFaults) {
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
fn a_stream_that_breaks_is_resumed_after_the_last_token() {
    block_on(async {
        let deployment = settled(&small()).await;
        let addr = deployment.caller_addrs()[0];
        let red = Caller::new("red");
        let faults = EngineFaults {
            breaks_after_tokens: 4,
            ..Default::default()
        };
        set_all_engines(&deployment, faults).await;

        let heard = red.draft(addr, RED_MODEL, "word", 7).await.expect("answer");

        assert!(is_complete_draft(&heard, "word", 7), "{heard:?}");
        let requests: u64 = seen(&deployment)
            .await
            .engines
            .values()
            .map(|e| e.requests)
            .sum();
        assert_eq!(requests, 2);
    });
}

#[test]
fn a_stream_that_cannot_be_resumed_is_visibly_broken() {
    block_on(async {
        let deployment = ready(&small()).await;
        let addr = deployment.caller_addrs()[0];
        let red = Caller::new("red");
        let faults = EngineFaults {
            breaks_after_tokens: 2,
            ..Default::default()
        };
        set_all_engines(&deployment, faults).await;

        let heard = red
            .draft(addr, RED_MODEL, "word", 20)
            .await
            .expect("answer");

        assert!(!heard.is_complete);
        assert!(heard.body.contains("event: error"), "{heard:?}");
        assert!(!heard.body.contains("[DONE]"));
    });
}

#[test]
fn a_frozen_engine_does_not_hold_its_streams() {
    block_on(async {
        let deployment = settled(&small()).await;
        let addr = deployment.caller_addrs()[0];
        let red = Caller::new("red");
        let body = draft_body(RED_MODEL, "word", 60, true);
        let mut response = red
            .send(addr, red.post("/v1/chat/completions"), body)
            .await
            .expect("answer");
        let first = response
            .body_mut()
            .frame()
            .await
            .expect("frame")
            .expect("first token");
        let before = seen(&deployment).await;
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

        let mut heard = read_response(response).await;

        let first = first.into_data().expect("data");
        heard.body.insert_str(0, &String::from_utf8_lossy(&first));
        assert!(is_complete_draft(&heard, "word", 60), "{heard:?}");
    });
}

#[test]
fn a_caller_that_goes_away_ends_the_work_at_the_engine() {
    block_on(async {
        let deployment = ready(&small()).await;
        let addr = deployment.caller_addrs()[0];
        let red = Caller::new("red");
        let body = draft_body(RED_MODEL, "word", 100_000, true);
        let mut response = red
            .send(addr, red.post("/v1/chat/completions"), body)
            .await
            .expect("answer");
        response
            .body_mut()
            .frame()
            .await
            .expect("frame")
            .expect("first token");

        drop(response);

        let cancelled = eventually(|| async {
            seen(&deployment)
                .await
                .engines
                .values()
                .map(|e| e.cancelled)
                .sum::<u64>()
                == 1
        })
        .await;
        assert!(cancelled);
    });
}
