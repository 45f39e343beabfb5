//! Configuration: valid or not at all, in force everywhere, never reverting.

mod common;

use common::{PATIENCE, RED_MODEL, block_on, ready, small};
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
fn a_change_comes_into_force_everywhere() {
    block_on(async {
        let deployment = ready(&small()).await;
        let before = revision(&deployment, 0).await;

        assert!(set_weight(&deployment, 3).status.success());

        let red = TeamId::new("red");
        assert!(
            deployment
                .wait_for_hosts(PATIENCE, |s| s.revisions[&red] > before)
                .await
        );
    });
}

#[test]
fn an_invalid_change_is_refused_with_all_findings_and_changes_nothing() {
    block_on(async {
        let deployment = ready(&small()).await;
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
fn a_bad_subtree_written_past_the_tool_leaves_the_last_good_one() {
    use currantcove::edge::kv::{Cas, EtcdClient, KvStore};
    block_on(async {
        let deployment = ready(&small()).await;
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
                .wait_for_hosts(PATIENCE, |s| s.refused.contains_key(&red))
                .await
        );
        assert_eq!(revision(&deployment, 0).await, found.mod_revision);
        let addr = deployment.caller_addrs()[0];
        let heard = Caller::new("red")
            .draft(addr, RED_MODEL, "w", 2)
            .await
            .expect("answer");
        assert!(is_complete_draft(&heard, "w", 2));
    });
}

#[test]
fn operators_who_race_are_told_and_no_change_is_lost() {
    block_on(async {
        let deployment = ready(&small()).await;
        let slow = KvFaults {
            slow_ms: 150,
            ..Default::default()
        };
        set_kv_faults(&deployment, slow).await;

        let codes: Vec<Option<i32>> = std::thread::scope(|scope| {
            let racing = [2, 3, 4].map(|weight| {
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
            racing
                .into_iter()
                .map(|t| t.join().expect("thread"))
                .collect()
        });

        let won = codes.iter().filter(|c| **c == Some(0)).count();
        let told = codes.iter().filter(|c| **c == Some(3)).count();
        assert!(won >= 1);
        assert_eq!(won + told, 3, "{codes:?}");
        set_kv_faults(&deployment, KvFaults::default()).await;
        let output = deployment
            .run_tool(&["config", "history", "teams/red", "--json"])
            .expect("tool");
        let history: Vec<serde_json::Value> =
            serde_json::from_slice(&output.stdout).expect("history");
        assert_eq!(history.len(), 1 + won);
    });
}

#[test]
fn a_stuck_watch_is_repaired_by_peers() {
    block_on(async {
        let mut deployment = ready(&small()).await;
        let stuck = KvFaults {
            watch_is_stuck: true,
            ..Default::default()
        };
        set_kv_faults(&deployment, stuck).await;
        let before = revision(&deployment, 0).await;
        assert!(set_weight(&deployment, 5).status.success());

        // A host that starts now reads the new revision, and tells the others.
        deployment.add_host("late", "a").await.expect("host starts");

        let red = TeamId::new("red");
        let is_repaired = deployment
            .wait_for_hosts(PATIENCE, |s| {
                s.revisions.get(&red).is_some_and(|r| *r > before)
            })
            .await;
        assert!(is_repaired);
    });
}

#[test]
fn a_host_that_starts_in_an_outage_is_configured_by_its_peers_and_serves() {
    block_on(async {
        let mut deployment = ready(&small()).await;
        let down = KvFaults {
            is_down: true,
            ..Default::default()
        };
        set_kv_faults(&deployment, down).await;

        deployment.add_host("late", "a").await.expect("host starts");

        let is_ready = deployment
            .wait_for_hosts(PATIENCE, |s| s.is_ready && s.revisions.len() == 2)
            .await;
        assert!(is_ready);
        assert!(
            deployment.wait_for_models(4, PATIENCE).await,
            "it learns where models are"
        );
        let addr = *deployment.caller_addrs().last().expect("host");
        let heard = Caller::new("red")
            .draft(addr, RED_MODEL, "w", 3)
            .await
            .expect("answer");
        assert!(is_complete_draft(&heard, "w", 3), "{heard:?}");
    });
}
