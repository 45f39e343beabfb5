//! Placement when orders are lost or late, versions change and upstreams fail:
//! engine memory is never overcommitted, and every model stays reachable.

mod common;

use std::collections::BTreeSet;

use common::{
    RED_MODEL, WAIT_TIMEOUT, block_on, fetch_stats, ready_deployment, small_shape, wait_until,
};
use currantcove::core::fleet::ListedState;
use currantcove::core::ids::{ArtifactId, UpstreamId};
use currantcove::core::slots::{Slot, SlotUse};
use currantcove::edge::kv::{Cas, CasOutcome, EtcdClient, KvStore};
use currantcove::edge::pool::Pool;
use currantcove::services::store_slots::SLOTS_PREFIX;
use currantcove_standins::client::{Caller, is_complete_draft};
use currantcove_standins::control::ControlRequest;
use currantcove_standins::deployment::Deployment;
use currantcove_standins::engine::EngineFaults;
use currantcove_standins::kv::KvFaults;

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

fn set_config(deployment: &Deployment, path: &str, json: &str) {
    let output = deployment
        .run_tool(&["config", "set", path, json])
        .expect("tool");
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
}

fn new_model(weights_mib: u64) -> String {
    format!(r#"{{"version":"v1","weights_mib":{weights_mib},"kv_cache_mib":1024}}"#)
}

/// Marks all store slots as used by a load at `assistant-0`.
async fn occupy_slots(deployment: &Deployment, artifact: &str, started_ms: u64) {
    let kv = EtcdClient::new(deployment.addrs.kv, Pool::default());
    for i in 0..4 {
        let key = format!("{SLOTS_PREFIX}{i}");
        let used_by = SlotUse {
            upstream: UpstreamId::new("assistant-0"),
            artifact: ArtifactId::new(artifact),
        };
        let slot = Slot {
            started_ms,
            used_by: Some(used_by),
        };
        let value = serde_json::to_vec(&slot).ok();
        // Hosts write the slots concurrently, so a failed compare-and-swap is retried.
        let is_written = wait_until(|| async {
            let found = kv.get(&key).await.expect("read");
            let cas = Cas {
                key: key.clone(),
                expected_revision: found.map_or(0, |f| f.mod_revision),
                value: value.clone(),
                lease: 0,
            };
            matches!(kv.cas(cas).await, Ok(CasOutcome::Written(_)))
        })
        .await;
        assert!(is_written, "slot {i} cannot be written");
    }
}

#[test]
fn store_slots_of_a_finished_load_are_released() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        occupy_slots(&deployment, "red/draft-0@v1", 1).await;

        let leaving = UpstreamId::new("assistant-0");
        let state = Some(ListedState::Leaving);
        deployment
            .control
            .apply(&ControlRequest::ListUpstream(leaving.clone(), state))
            .await;

        assert!(wait_until(|| is_ready_elsewhere(&deployment, &leaving)).await);
    });
}

#[test]
fn store_slots_of_a_load_at_a_lost_upstream_are_released() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        let lost_upstream = UpstreamId::new("assistant-0");
        deployment
            .control
            .apply(&ControlRequest::ListUpstream(lost_upstream.clone(), None))
            .await;
        let is_unlisted = deployment
            .wait_for_hosts(WAIT_TIMEOUT, |s| {
                s.upstreams
                    .iter()
                    .any(|u| u.id == lost_upstream && !u.is_listed)
            })
            .await;
        assert!(is_unlisted);
        let now_ms = currantcove::services::clock::Clock::default().now_ms();
        occupy_slots(&deployment, "red/draft-0@v1", now_ms).await;

        set_config(&deployment, "teams/red/models/new", &new_model(1024));

        assert!(deployment.wait_for_models(5, WAIT_TIMEOUT).await);
    });
}

/// True if all 4 models are ready at other upstreams than `excluded`.
async fn is_ready_elsewhere(deployment: &Deployment, excluded: &UpstreamId) -> bool {
    let stats = fetch_stats(deployment).await;
    let elsewhere = stats.ready.iter().filter(|(id, _)| *id != excluded);
    let ready: BTreeSet<&ArtifactId> = elsewhere.flat_map(|(_, ready)| ready).collect();
    ready.len() == 4
}

#[test]
fn a_new_version_is_ready_before_the_old_one_is_unloaded() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        let red = Caller::new("red");
        let addr = deployment.caller_addrs()[0];

        set_config(&deployment, "teams/red/models/draft-0/version", "\"v2\"");
        let mut is_rolled_out = false;
        for i in 0..400 {
            let word = format!("w{i}");
            let response = red
                .draft(addr, RED_MODEL, &word, 2)
                .await
                .expect("response");
            assert!(
                is_complete_draft(&response, &word, 2),
                "response {i}: {response:?}"
            );
            let status = deployment.status(0).await.expect("status");
            let mut ready = status.upstreams.iter().flat_map(|u| &u.seen.ready);
            is_rolled_out = ready.any(|a| a.as_str() == "red/draft-0@v2");
            let mut ready = status.upstreams.iter().flat_map(|u| &u.seen.ready);
            if is_rolled_out && !ready.any(|a| a.as_str() == "red/draft-0@v1") {
                break;
            }
        }

        assert!(is_rolled_out);
        assert_eq!(fetch_stats(&deployment).await.violations(), 0);
    });
}

#[test]
fn lost_and_late_orders_never_overcommit_memory() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        let late = EngineFaults {
            late_order_ms: 2_500,
            ..Default::default()
        };
        set_engine_faults(&deployment, late).await;
        for i in 0..6 {
            set_config(
                &deployment,
                &format!("teams/red/models/late-{i}"),
                &new_model(16 * 1024),
            );
        }
        compio::time::sleep(std::time::Duration::from_secs(1)).await;
        let lost = EngineFaults {
            loses_orders: true,
            ..Default::default()
        };
        set_engine_faults(&deployment, lost).await;
        compio::time::sleep(std::time::Duration::from_secs(1)).await;

        set_engine_faults(&deployment, EngineFaults::default()).await;

        assert!(
            deployment.wait_for_models(10, WAIT_TIMEOUT).await,
            "models become ready once orders arrive"
        );
        assert_eq!(fetch_stats(&deployment).await.violations(), 0);
    });
}

#[test]
fn lost_responses_to_ledger_writes_never_overcommit_memory() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        let faults = KvFaults {
            loses_answers: true,
            ..Default::default()
        };
        for i in 0..4 {
            set_config(
                &deployment,
                &format!("teams/red/models/new-{i}"),
                &new_model(16 * 1024),
            );
        }
        deployment.control.apply(&ControlRequest::Kv(faults)).await;
        compio::time::sleep(std::time::Duration::from_secs(2)).await;

        deployment
            .control
            .apply(&ControlRequest::Kv(KvFaults::default()))
            .await;

        assert!(deployment.wait_for_models(8, WAIT_TIMEOUT).await);
        assert_eq!(fetch_stats(&deployment).await.violations(), 0);
    });
}

#[test]
fn models_of_a_lost_upstream_are_loaded_elsewhere() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        let lost_upstream = UpstreamId::new("assistant-0");
        let frozen = EngineFaults {
            is_frozen: true,
            ..Default::default()
        };
        deployment
            .control
            .apply(&ControlRequest::Engine(lost_upstream.clone(), frozen))
            .await;

        deployment
            .control
            .apply(&ControlRequest::ListUpstream(lost_upstream.clone(), None))
            .await;

        assert!(wait_until(|| is_ready_elsewhere(&deployment, &lost_upstream)).await);
    });
}

#[test]
fn a_leaving_upstream_receives_no_new_requests() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        let red = Caller::new("red");
        let addr = deployment.caller_addrs()[0];
        let leaving = UpstreamId::new("assistant-0");
        let state = Some(ListedState::Leaving);
        deployment
            .control
            .apply(&ControlRequest::ListUpstream(leaving.clone(), state))
            .await;
        let is_observed = deployment
            .wait_for_hosts(WAIT_TIMEOUT, |s| {
                let upstream = s.upstreams.iter().find(|u| u.id == leaving);
                upstream.is_some_and(|u| u.state == ListedState::Leaving)
            })
            .await;
        assert!(is_observed);
        let before = fetch_stats(&deployment).await.engines[&leaving].requests;

        for model in ["draft-0", "draft-2"] {
            for i in 0..10 {
                red.draft(addr, model, &format!("w{i}"), 1)
                    .await
                    .expect("response");
            }
        }

        assert_eq!(
            fetch_stats(&deployment).await.engines[&leaving].requests,
            before
        );
    });
}

#[test]
fn an_upstream_that_reports_leaving_receives_no_new_requests() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        let red = Caller::new("red");
        let addr = deployment.caller_addrs()[0];
        let id = UpstreamId::new("assistant-0");
        let leaving = EngineFaults {
            is_leaving: true,
            ..Default::default()
        };
        deployment
            .control
            .apply(&ControlRequest::Engine(id.clone(), leaving))
            .await;
        let is_observed = deployment
            .wait_for_hosts(WAIT_TIMEOUT, |s| {
                let upstream = s.upstreams.iter().find(|u| u.id == id);
                upstream.is_some_and(|u| !u.seen.accepts_work)
            })
            .await;
        assert!(is_observed);

        for i in 0..10 {
            red.draft(addr, RED_MODEL, &format!("w{i}"), 1)
                .await
                .expect("response");
        }

        assert_eq!(fetch_stats(&deployment).await.engines[&id].late_requests, 0);
    });
}

#[test]
fn models_of_a_removed_team_are_unloaded() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;

        let output = deployment
            .run_tool(&["config", "remove", "teams/blue"])
            .expect("tool");

        assert!(output.status.success());
        let is_unloaded = wait_until(|| async {
            let stats = fetch_stats(&deployment).await;
            stats
                .ready
                .values()
                .flatten()
                .all(|a| !a.as_str().starts_with("blue/"))
        })
        .await;
        assert!(is_unloaded);
    });
}
