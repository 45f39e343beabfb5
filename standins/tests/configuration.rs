//! Configuration changes: only valid ones are adopted, every host adopts them, and
//! no update is lost or reverted.

mod common;

use common::{RED_MODEL, WAIT_TIMEOUT, block_on, ready_deployment, small_shape};
use currantcove::core::ids::TeamId;
use currantcove_standins::client::{Caller, is_complete_draft};
use currantcove_standins::control::ControlRequest;
use currantcove_standins::deployment::Deployment;
use currantcove_standins::kv::KvFaults;

async fn set_kv_faults(deployment: &Deployment, faults: KvFaults) {
    assert!(deployment.control.apply(&ControlRequest::Kv(faults)).await);
}

async fn revision(deployment: &Deployment, host: usize) -> u64 {
    let status = deployment.status(host).await.expect("status");
    status
        .revisions
        .get(&TeamId::new("red"))
        .copied()
        .unwrap_or(0)
}

fn set_weight(deployment: &Deployment, weight: u32) -> std::process::Output {
    let weight = weight.to_string();
    deployment
        .run_tool(&["config", "set", "teams/red/share_weight", &weight])
        .expect("tool")
}

#[test]
fn a_change_takes_effect_on_every_host() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        let before = revision(&deployment, 0).await;

        assert!(set_weight(&deployment, 3).status.success());

        let red = TeamId::new("red");
        assert!(
            deployment
                .wait_for_hosts(WAIT_TIMEOUT, |s| s.revisions[&red] > before)
                .await
        );
    });
}

#[test]
fn an_invalid_change_is_refused_with_all_findings_and_has_no_effect() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        let before = revision(&deployment, 0).await;
        let bad = r#"{"version":"","weights_mib":0,"kv_cache_mib":1}"#;

        let output = deployment
            .run_tool(&["config", "set", "teams/red/models/draft-0", bad])
            .expect("tool");

        assert_eq!(output.status.code(), Some(2));
        let text = String::from_utf8_lossy(&output.stderr);
        assert!(text.contains("teams/red/models/draft-0/version"), "{text}");
        assert!(
            text.contains("teams/red/models/draft-0/weights_mib"),
            "{text}"
        );
        assert_eq!(revision(&deployment, 0).await, before);
    });
}

#[test]
fn an_invalid_subtree_written_without_validation_is_not_adopted() {
    use currantcove::edge::kv::{Cas, EtcdClient, KvStore};
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        let kv = EtcdClient::new(
            deployment.addrs.kv,
            currantcove::edge::pool::Pool::default(),
        );
        let key = "/currantcove/config/teams/red".to_owned();
        let found = kv.get(&key).await.expect("read").expect("value");
        let value = Some(b"{\"credentials_sha256\": []}".to_vec());
        let cas = Cas {
            key,
            expected_revision: found.mod_revision,
            value,
            lease: 0,
        };

        kv.cas(cas).await.expect("write");

        let red = TeamId::new("red");
        assert!(
            deployment
                .wait_for_hosts(WAIT_TIMEOUT, |s| s.refused.contains_key(&red))
                .await
        );
        assert_eq!(revision(&deployment, 0).await, found.mod_revision);
        let addr = deployment.caller_addrs()[0];
        let response = Caller::new("red")
            .draft(addr, RED_MODEL, "w", 2)
            .await
            .expect("response");
        assert!(is_complete_draft(&response, "w", 2));
    });
}

#[test]
fn concurrent_changes_report_conflicts_and_lose_no_update() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        let slow = KvFaults {
            slow_ms: 150,
            ..Default::default()
        };
        set_kv_faults(&deployment, slow).await;

        let codes: Vec<Option<i32>> = std::thread::scope(|scope| {
            let writers = [2, 3, 4].map(|weight| {
                let deployment = deployment.dir().to_owned();
                let tool = std::env::current_exe().expect("exe");
                let tool = tool
                    .parent()
                    .and_then(|d| d.parent())
                    .expect("dir")
                    .join("currantcove");
                scope.spawn(move || {
                    let weight = weight.to_string();
                    let args = ["config", "set", "teams/red/share_weight", &weight];
                    let mut command = std::process::Command::new(tool);
                    let output = command.args(args).current_dir(deployment).output();
                    output.expect("tool").status.code()
                })
            });
            writers
                .into_iter()
                .map(|t| t.join().expect("thread"))
                .collect()
        });

        let written = codes.iter().filter(|c| **c == Some(0)).count();
        let conflicts = codes.iter().filter(|c| **c == Some(3)).count();
        assert!(written >= 1);
        assert_eq!(written + conflicts, 3, "{codes:?}");
        set_kv_faults(&deployment, KvFaults::default()).await;
        let output = deployment
            .run_tool(&["config", "history", "teams/red", "--json"])
            .expect("tool");
        let history: Vec<serde_json::Value> =
            serde_json::from_slice(&output.stdout).expect("history");
        assert_eq!(history.len(), 1 + written);
    });
}

#[test]
fn peers_propagate_a_revision_that_a_stuck_watch_misses() {
    block_on(async {
        let mut deployment = ready_deployment(&small_shape()).await;
        let stuck = KvFaults {
            watch_is_stuck: true,
            ..Default::default()
        };
        set_kv_faults(&deployment, stuck).await;
        let before = revision(&deployment, 0).await;
        assert!(set_weight(&deployment, 5).status.success());

        // The new host reads the current revision and sends it to its peers.
        deployment.add_host("late", "a").await.expect("host starts");

        let red = TeamId::new("red");
        let is_propagated = deployment
            .wait_for_hosts(WAIT_TIMEOUT, |s| {
                s.revisions.get(&red).is_some_and(|r| *r > before)
            })
            .await;
        assert!(is_propagated);
    });
}

#[test]
fn a_host_started_in_a_kv_outage_is_configured_by_peers_and_serves() {
    block_on(async {
        let mut deployment = ready_deployment(&small_shape()).await;
        let down = KvFaults {
            is_down: true,
            ..Default::default()
        };
        set_kv_faults(&deployment, down).await;

        deployment.add_host("late", "a").await.expect("host starts");

        let is_ready = deployment
            .wait_for_hosts(WAIT_TIMEOUT, |s| s.is_ready && s.revisions.len() == 2)
            .await;
        assert!(is_ready);
        assert!(
            deployment.wait_for_models(4, WAIT_TIMEOUT).await,
            "the new host receives the ready models"
        );
        let addr = *deployment.caller_addrs().last().expect("host");
        let response = Caller::new("red")
            .draft(addr, RED_MODEL, "w", 3)
            .await
            .expect("response");
        assert!(is_complete_draft(&response, "w", 3), "{response:?}");
    });
}
