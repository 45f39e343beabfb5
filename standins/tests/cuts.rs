//! Network partitions between availability zones, and between a zone and the platform.

mod common;

use common::{
    RED_MODEL, WAIT_TIMEOUT, block_on, fetch_stats, replicated_deployment, small_shape, wait_until,
};
use currantcove::core::ids::{TeamId, ZoneId};
use currantcove::core::outcome::{Outcome, Reason};
use currantcove_standins::client::{Caller, is_complete_draft};
use currantcove_standins::control::ControlRequest;
use currantcove_standins::deployment::Deployment;

/// Cuts zone `a` off from the other zones and the platform, or heals the cut.
async fn set_cut(deployment: &Deployment, is_cut: bool) {
    let a = ZoneId::new("a");
    for zone in ["b", "c"] {
        let control = ControlRequest::CutZones(a.clone(), ZoneId::new(zone), is_cut);
        assert!(deployment.control.apply(&control).await);
    }
    assert!(
        deployment
            .control
            .apply(&ControlRequest::CutPlatform(a, is_cut))
            .await
    );
}

/// Team and name of a model that is ready at `assistant-0`, which is in zone `a`.
async fn model_in_a(deployment: &Deployment) -> (String, String) {
    let stats = fetch_stats(deployment).await;
    let in_a = stats
        .ready
        .iter()
        .find(|(id, _)| id.as_str() == "assistant-0");
    let artifact = in_a
        .and_then(|(_, ready)| ready.first())
        .expect("a model in zone a");
    let (team, model) = artifact.model().split_once('/').expect("team/model");
    (team.to_owned(), model.to_owned())
}

#[test]
fn a_partitioned_zone_serves_resident_models_and_refuses_keyed_bookings() {
    block_on(async {
        let deployment = replicated_deployment(&small_shape()).await;
        let addrs = deployment.caller_addrs();
        let red = Caller::new("red");
        let (team, model) = model_in_a(&deployment).await;

        set_cut(&deployment, true).await;
        let inside = Caller::new(&team)
            .draft(addrs[0], &model, "inside", 3)
            .await
            .expect("response");
        let outside = red
            .draft(addrs[1], RED_MODEL, "outside", 3)
            .await
            .expect("response");
        let booking = red
            .book(addrs[0], "court", Some("k"))
            .await
            .expect("response");
        set_cut(&deployment, false).await;

        assert!(is_complete_draft(&inside, "inside", 3), "{inside:?}");
        assert!(is_complete_draft(&outside, "outside", 3), "{outside:?}");
        let refusal = booking.refusal().expect("refusal");
        assert_eq!(refusal.reason, Reason::PlatformUnavailable);
        assert_eq!(refusal.outcome, Outcome::NotRun);
        let is_booked = wait_until(|| async {
            let response = red
                .book(addrs[0], "court", Some("k"))
                .await
                .expect("response");
            response.status == 200
        })
        .await;
        assert!(is_booked);
        assert_eq!(fetch_stats(&deployment).await.violations(), 0);
    });
}

#[test]
fn a_change_during_a_partition_reaches_the_zone_after_it_heals() {
    block_on(async {
        let deployment = replicated_deployment(&small_shape()).await;
        let red = TeamId::new("red");
        let before = deployment.status(0).await.expect("status").revisions[&red];
        set_cut(&deployment, true).await;

        let args = ["config", "set", "teams/red/share_weight", "7"];
        assert!(deployment.run_tool(&args).expect("tool").status.success());
        let has_reached_others = wait_until(|| async {
            deployment.status(1).await.expect("status").revisions[&red] > before
        })
        .await;
        let during_cut = deployment.status(0).await.expect("status").revisions[&red];
        set_cut(&deployment, false).await;

        assert!(has_reached_others);
        assert_eq!(during_cut, before);
        assert!(
            deployment
                .wait_for_hosts(WAIT_TIMEOUT, |s| s.revisions[&red] > before)
                .await
        );
    });
}

#[test]
fn partitions_during_loads_never_overcommit_memory() {
    block_on(async {
        let deployment = replicated_deployment(&small_shape()).await;
        let model = r#"{"version":"v1","weights_mib":12288,"kv_cache_mib":1024}"#;
        for i in 0..3 {
            let path = format!("teams/red/models/new-{i}");
            assert!(
                deployment
                    .run_tool(&["config", "set", &path, model])
                    .expect("tool")
                    .status
                    .success()
            );
            set_cut(&deployment, i % 2 == 0).await;
        }

        set_cut(&deployment, false).await;

        assert!(deployment.wait_for_models(7, WAIT_TIMEOUT).await);
        let stats = fetch_stats(&deployment).await;
        assert_eq!((stats.violations(), stats.store_over_budget), (0, 0));
    });
}
