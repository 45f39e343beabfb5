//! Planned stops of entry hosts, and hosts that are killed, frozen or replaced.

mod common;

use common::{
    RED_MODEL, WAIT_TIMEOUT, block_on, fetch_stats, ready_deployment, replicated_deployment,
    small_shape, wait_until,
};
use currantcove::core::outcome::Reason;
use currantcove_standins::client::{Caller, draft_body, is_complete_draft, read_response};
use currantcove_standins::control::ControlRequest;
use http_body_util::BodyExt;

#[test]
fn a_planned_stop_completes_running_requests() {
    block_on(async {
        let mut deployment = ready_deployment(&small_shape()).await;
        let addr = deployment.caller_addrs()[0];
        let red = Caller::new("red");
        let body = draft_body(RED_MODEL, "word", 80, true);
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

        deployment.hosts[0].process.signal("TERM").expect("signal");
        let mut response = read_response(response).await;

        let first = first.into_data().expect("data");
        response
            .body
            .insert_str(0, &String::from_utf8_lossy(&first));
        assert!(is_complete_draft(&response, "word", 80), "{response:?}");
        assert_eq!(deployment.hosts[0].process.wait(WAIT_TIMEOUT), Some(0));
    });
}

#[test]
fn a_draining_host_refuses_new_requests_with_a_retry_delay() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        let addr = deployment.caller_addrs()[0];
        let red = Caller::new("red");
        let stream_body = draft_body(RED_MODEL, "hold", 80, true);
        let open_stream = red
            .send(addr, red.post("/v1/chat/completions"), stream_body)
            .await
            .expect("response");
        // Opens another connection before the host closes its listener.
        let second = red
            .draft(addr, RED_MODEL, "open", 1)
            .await
            .expect("response");
        assert!(second.is_complete);

        let output = deployment
            .run_tool(&["drain", deployment.hosts[0].id.as_str()])
            .expect("tool");
        let response = red.draft(addr, RED_MODEL, "late", 1).await;

        assert!(output.status.success());
        // The host may close the idle connection first; then the request is not sent.
        if let Some(response) = response {
            let refusal = response.refusal().expect("refusal");
            assert_eq!(refusal.reason, Reason::Draining);
            assert!(refusal.retry_after_ms.is_some());
        }
        assert!(read_response(open_stream).await.is_complete);
    });
}

#[test]
fn another_host_takes_over_from_a_killed_one_without_overcommitting_memory() {
    block_on(async {
        let mut deployment = ready_deployment(&small_shape()).await;
        let red = Caller::new("red");

        deployment.hosts[0].process.kill();

        let engine = "assistant-0";
        let has_new_acting_host = wait_until(|| async {
            let status = deployment.status(1).await.expect("status");
            let upstream = status.upstreams.iter().find(|u| u.id.as_str() == engine);
            let acting = upstream.and_then(|u| u.acting_host.clone());
            acting.is_some_and(|h| h != deployment.hosts[0].id)
        })
        .await;
        assert!(has_new_acting_host);
        let addr = deployment.caller_addrs()[1];
        let response = red
            .draft(addr, RED_MODEL, "word", 3)
            .await
            .expect("response");
        assert!(is_complete_draft(&response, "word", 3));
        assert_eq!(fetch_stats(&deployment).await.violations(), 0);
    });
}

#[test]
fn a_rolling_replacement_of_hosts_moves_no_model() {
    block_on(async {
        let shape = small_shape();
        let mut deployment = replicated_deployment(&shape).await;
        let moves = fetch_stats(&deployment).await.moves();
        let red = Caller::new("red");

        for (i, zone) in shape.host_zones.iter().enumerate() {
            deployment
                .add_host(&format!("new-{i}"), zone)
                .await
                .expect("host starts");
            assert!(deployment.wait_for_models(4, WAIT_TIMEOUT).await);
            let mut old = deployment.hosts.remove(0);
            old.process.signal("TERM").expect("signal");
            assert_eq!(old.process.wait(WAIT_TIMEOUT), Some(0));
            let addr = deployment.caller_addrs()[0];
            let response = red
                .draft(addr, RED_MODEL, "word", 3)
                .await
                .expect("response");
            assert!(
                is_complete_draft(&response, "word", 3),
                "after host {i}: {response:?}"
            );
        }

        let stats = fetch_stats(&deployment).await;
        assert_eq!(
            (stats.violations(), stats.moves()),
            (0, moves),
            "no model moves"
        );
    });
}

#[test]
fn a_resumed_acting_host_does_not_overcommit_memory() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        deployment.hosts[0].process.signal("STOP").expect("signal");
        let id = currantcove::core::ids::UpstreamId::new("assistant-0");
        let frozen_host = deployment.hosts[0].id.clone();
        let is_marked_down = wait_until(|| async {
            let status = deployment.status(1).await.expect("status");
            !status.hosts_up.contains(&frozen_host)
        })
        .await;
        assert!(is_marked_down);
        deployment
            .control
            .apply(&ControlRequest::RestartEngine(id.clone()))
            .await;
        let is_reloaded = wait_until(|| async {
            fetch_stats(&deployment)
                .await
                .ready
                .get(&id)
                .is_some_and(|r| !r.is_empty())
        })
        .await;

        deployment.hosts[0].process.signal("CONT").expect("signal");

        assert!(
            is_reloaded,
            "another host loads the models of the engine again"
        );
        assert!(deployment.wait_for_models(4, WAIT_TIMEOUT).await);
        assert_eq!(fetch_stats(&deployment).await.violations(), 0);
    });
}
