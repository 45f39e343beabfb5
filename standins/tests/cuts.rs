//! Availability zones cut off from each other and from the platform.

mod common;

use common::{PATIENCE, RED_MODEL, block_on, eventually, seen, settled, small};
use currantcove::core::ids::{TeamId, ZoneId};
use currantcove::core::outcome::{Outcome, Reason};
use currantcove_standins::client::{Caller, is_complete_draft};
use currantcove_standins::control::ControlRequest;
use currantcove_standins::deployment::Deployment;

/// Cuts zone `a` off from everything else, or heals it.
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

/// Team and name of a model that is ready in zone `a`.
async fn model_in_a(deployment: &Deployment) -> (String, String) {
    let seen = seen(deployment).await;
    let in_a = seen
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
fn a_zone_that_is_cut_off_serves_what_it_holds_and_claims_nothing() {
    block_on(async {
        let deployment = settled(&small()).await;
        let addrs = deployment.caller_addrs();
        let red = Caller::new("red");
        let (team, model) = model_in_a(&deployment).await;

        set_cut(&deployment, true).await;
        let inside = Caller::new(&team)
            .draft(addrs[0], &model, "inside", 3)
            .await
            .expect("answer");
        let outside = red
            .draft(addrs[1], RED_MODEL, "outside", 3)
            .await
            .expect("answer");
        let booking = red
            .book(addrs[0], "court", Some("k"))
            .await
            .expect("answer");
        set_cut(&deployment, false).await;

        assert!(is_complete_draft(&inside, "inside", 3), "{inside:?}");
        assert!(is_complete_draft(&outside, "outside", 3), "{outside:?}");
        let refusal = booking.refusal().expect("refusal");
        assert_eq!(refusal.reason, Reason::PlatformUnavailable);
        assert_eq!(refusal.outcome, Outcome::NotRun);
        let is_booked = eventually(|| async {
            let heard = red
                .book(addrs[0], "court", Some("k"))
                .await
                .expect("answer");
            heard.status == 200
        })
        .await;
        assert!(is_booked);
        assert_eq!(seen(&deployment).await.violations(), 0);
    });
}

#[test]
fn a_change_made_during_a_cut_reaches_the_zone_once_it_heals() {
    block_on(async {
        let deployment = settled(&small()).await;
        let red = TeamId::new("red");
        let before = deployment.status(0).await.expect("status").revisions[&red];
        set_cut(&deployment, true).await;

        let args = ["config", "set", "teams/red/share_weight", "7"];
        assert!(deployment.run_tool(&args).expect("tool").status.success());
        let reaches_others = eventually(|| async {
            deployment.status(1).await.expect("status").revisions[&red] > before
        })
        .await;
        let in_the_cut = deployment.status(0).await.expect("status").revisions[&red];
        set_cut(&deployment, false).await;

        assert!(reaches_others);
        assert_eq!(in_the_cut, before);
        assert!(
            deployment
                .wait_for_hosts(PATIENCE, |s| s.revisions[&red] > before)
                .await
        );
    });
}

#[test]
fn a_cut_while_models_are_loaded_overcommits_nothing() {
    block_on(async {
        let deployment = settled(&small()).await;
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

        assert!(deployment.wait_for_models(7, PATIENCE).await);
        let seen = seen(&deployment).await;
        assert_eq!((seen.violations(), seen.store_over_budget), (0, 0));
    });
}
