//! Planned stops and killed, frozen and replaced hosts.

mod common;

use common::{PATIENCE, RED_MODEL, block_on, eventually, ready, seen, settled, small};
use currantcove::core::outcome::Reason;
use currantcove_standins::client::{Caller, draft_body, is_complete_draft, read_response};
use currantcove_standins::control::ControlRequest;
use http_body_util::BodyExt;

#[test]
fn a_planned_stop_cuts_no_request_off() {
    block_on(async {
        let mut deployment = ready(&small()).await;
        let addr = deployment.caller_addrs()[0];
        let red = Caller::new("red");
        let body = draft_body(RED_MODEL, "word", 80, true);
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

        deployment.hosts[0].process.signal("TERM").expect("signal");
        let mut heard = read_response(response).await;

        let first = first.into_data().expect("data");
        heard.body.insert_str(0, &String::from_utf8_lossy(&first));
        assert!(is_complete_draft(&heard, "word", 80), "{heard:?}");
        assert_eq!(deployment.hosts[0].process.wait(PATIENCE), Some(0));
    });
}

#[test]
fn a_draining_host_refuses_at_once_and_says_when_to_come_back() {
    block_on(async {
        let deployment = ready(&small()).await;
        let addr = deployment.caller_addrs()[0];
        let red = Caller::new("red");
        let hold = draft_body(RED_MODEL, "hold", 80, true);
        let held = red
            .send(addr, red.post("/v1/chat/completions"), hold)
            .await
            .expect("answer");
        // A second connection, opened before the host stops to listen.
        let open = red.draft(addr, RED_MODEL, "open", 1).await.expect("answer");
        assert!(open.is_complete);

        let output = deployment
            .run_tool(&["drain", deployment.hosts[0].id.as_str()])
            .expect("tool");
        let heard = red.draft(addr, RED_MODEL, "late", 1).await;

        assert!(output.status.success());
        // The idle connection may be closed first; then nothing was sent.
        if let Some(heard) = heard {
            let refusal = heard.refusal().expect("refusal");
            assert_eq!(refusal.reason, Reason::Draining);
            assert!(refusal.retry_after_ms.is_some());
        }
        assert!(read_response(held).await.is_complete);
    });
}

#[test]
fn duties_of_a_killed_host_move_and_memory_is_never_overcommitted() {
    block_on(async {
        let mut deployment = ready(&small()).await;
        let red = Caller::new("red");

        deployment.hosts[0].process.kill();

        let engine = "assistant-0";
        let moved = eventually(|| async {
            let status = deployment.status(1).await.expect("status");
            let upstream = status.upstreams.iter().find(|u| u.id.as_str() == engine);
            let acting = upstream.and_then(|u| u.acting_host.clone());
            acting.is_some_and(|h| h != deployment.hosts[0].id)
        })
        .await;
        assert!(moved);
        let addr = deployment.caller_addrs()[1];
        let heard = red.draft(addr, RED_MODEL, "word", 3).await.expect("answer");
        assert!(is_complete_draft(&heard, "word", 3));
        assert_eq!(seen(&deployment).await.violations(), 0);
    });
}

#[test]
fn hosts_replaced_one_after_another_lose_no_model() {
    block_on(async {
        let shape = small();
        let mut deployment = settled(&shape).await;
        let moves = seen(&deployment).await.moves();
        let red = Caller::new("red");

        for (i, zone) in shape.host_zones.iter().enumerate() {
            deployment
                .add_host(&format!("new-{i}"), zone)
                .await
                .expect("host starts");
            assert!(deployment.wait_for_models(4, PATIENCE).await);
            let mut old = deployment.hosts.remove(0);
            old.process.signal("TERM").expect("signal");
            assert_eq!(old.process.wait(PATIENCE), Some(0));
            let addr = deployment.caller_addrs()[0];
            let heard = red.draft(addr, RED_MODEL, "word", 3).await.expect("answer");
            assert!(
                is_complete_draft(&heard, "word", 3),
                "after host {i}: {heard:?}"
            );
        }

        let seen = seen(&deployment).await;
        assert_eq!(
            (seen.violations(), seen.moves()),
            (0, moves),
            "no model moves"
        );
    });
}

#[test]
fn a_frozen_acting_host_that_wakes_up_does_no_harm() {
    block_on(async {
        let deployment = ready(&small()).await;
        deployment.hosts[0].process.signal("STOP").expect("signal");
        let id = currantcove::core::ids::UpstreamId::new("assistant-0");
        let frozen_host = deployment.hosts[0].id.clone();
        let taken = eventually(|| async {
            let status = deployment.status(1).await.expect("status");
            !status.hosts_up.contains(&frozen_host)
        })
        .await;
        assert!(taken);
        deployment
            .control
            .apply(&ControlRequest::RestartEngine(id.clone()))
            .await;
        let reloaded = eventually(|| async {
            seen(&deployment)
                .await
                .ready
                .get(&id)
                .is_some_and(|r| !r.is_empty())
        })
        .await;

        deployment.hosts[0].process.signal("CONT").expect("signal");

        assert!(reloaded, "another host loads the engine again");
        assert!(deployment.wait_for_models(4, PATIENCE).await);
        assert_eq!(seen(&deployment).await.violations(), 0);
    });
}
