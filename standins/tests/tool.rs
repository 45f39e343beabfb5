//! Usage, exit codes and output of the command-line tool.

mod common;

use std::process::Output;

use common::{RED_MODEL, block_on, ready_deployment, small_shape};
use currantcove_standins::client::Caller;
use currantcove_standins::deployment::Deployment;
use serde_json::Value;

fn run(deployment: &Deployment, args: &[&str]) -> Output {
    deployment.run_tool(args).expect("tool")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

fn json(deployment: &Deployment, args: &[&str]) -> Value {
    let output = run(deployment, args);
    assert!(
        output.status.success(),
        "{}",
        String::from_utf8_lossy(&output.stderr)
    );
    serde_json::from_slice(&output.stdout).expect("JSON")
}

#[test]
fn every_command_prints_its_usage_with_help() {
    block_on(async {
        let mut shape = small_shape();
        shape.host_zones.clear();
        let deployment = Deployment::start(&shape).expect("stand-ins");
        let commands = [
            "bench",
            "check",
            "config",
            "drain",
            "explain",
            "models",
            "status",
            "timeline",
            "upstreams",
        ];

        for command in commands {
            let output = run(&deployment, &[command, "--help"]);

            assert!(output.status.success());
            assert!(
                stdout(&output).contains(&format!("currantcove {command}")),
                "{command}"
            );
        }
    });
}

#[test]
fn invalid_usage_prints_an_error_and_exits_with_2() {
    block_on(async {
        let mut shape = small_shape();
        shape.host_zones.clear();
        let deployment = Deployment::start(&shape).expect("stand-ins");

        for args in [
            &["nonsense"][..],
            &[],
            &["status", "--nonsense"],
            &["drain"],
        ] {
            let output = run(&deployment, args);

            assert_eq!(output.status.code(), Some(2), "{args:?}");
            assert!(!output.stderr.is_empty());
        }
    });
}

#[test]
fn check_reports_all_findings_of_a_file() {
    block_on(async {
        let mut shape = small_shape();
        shape.host_zones.clear();
        let deployment = Deployment::start(&shape).expect("stand-ins");
        let bad = r#"{"fleet": {"store_loads_per_s": 0, "store_slots": 0,
            "adapters_in_flight": 1}, "teams": {"red": {"credentials_sha256": []}}}"#;
        std::fs::write(deployment.dir().join("bad.json"), bad).expect("file");

        let good = run(&deployment, &["check", "config.json"]);
        let bad = run(&deployment, &["check", "bad.json"]);

        assert_eq!(stdout(&good), "config.json: ok\n");
        assert_eq!(bad.status.code(), Some(2));
        let text = String::from_utf8_lossy(&bad.stderr).into_owned();
        for path in [
            "fleet/store_loads_per_s",
            "fleet/store_slots",
            "teams/red/credentials_sha256",
        ] {
            assert!(text.contains(path), "{path} in {text}");
        }
    });
}

#[test]
fn an_unreachable_fleet_exits_with_4() {
    block_on(async {
        let mut shape = small_shape();
        shape.host_zones.clear();
        let deployment = Deployment::start(&shape).expect("stand-ins");
        let unreachable = r#"{"kv_addr": "127.0.0.1:1", "operator_addrs": ["127.0.0.1:1"]}"#;
        std::fs::write(deployment.dir().join("currantcove.json"), unreachable).expect("file");

        for args in [
            &["status"][..],
            &["config", "get"],
            &["timeline"],
            &["models"],
        ] {
            assert_eq!(run(&deployment, args).status.code(), Some(4), "{args:?}");
        }
    });
}

#[test]
fn status_timeline_and_explain_describe_a_request() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        let addr = deployment.caller_addrs()[0];
        let response = Caller::new("red")
            .draft(addr, RED_MODEL, "w", 2)
            .await
            .expect("response");
        let id = response.header("x-request-id").expect("id").to_owned();

        let status = json(&deployment, &["status", "--json"]);
        let models = json(&deployment, &["models", "--json"]);
        let upstreams = json(&deployment, &["upstreams", "--json"]);
        let events = json(&deployment, &["timeline", "--request", &id, "--json"]);
        let page = ["timeline", "--request", &id, "--html", "page.html"];
        assert!(run(&deployment, &page).status.success());
        let page = std::fs::read_to_string(deployment.dir().join("page.html")).expect("page");
        let request_explanation = stdout(&run(&deployment, &["explain", "request", &id]));
        let model_explanation = stdout(&run(&deployment, &["explain", "model", "red/draft-0"]));

        assert_eq!(status.as_array().map(Vec::len), Some(3));
        assert_eq!(models.as_array().map(Vec::len), Some(4));
        assert_eq!(upstreams.as_array().map(Vec::len), Some(5));
        let kinds: Vec<&str> = events
            .as_array()
            .into_iter()
            .flatten()
            .filter_map(|e| e["kind"].as_str())
            .collect();
        assert_eq!(kinds, ["attempt", "ended"]);
        assert!(page.contains(&format!("request={id}")), "{page}");
        assert!(
            request_explanation.contains("chose assistant-"),
            "{request_explanation}"
        );
        assert!(
            request_explanation.contains("answered 200"),
            "{request_explanation}"
        );
        assert!(
            model_explanation.contains("ordered Load of red/draft-0@v1"),
            "{model_explanation}"
        );
    });
}

#[test]
fn get_diff_and_dry_run_do_not_change_the_configuration() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        let before = json(&deployment, &["config", "get", "teams/red"]);
        let path = "teams/red/share_weight";

        let dry_run = run(&deployment, &["config", "set", path, "9", "--dry-run"]);
        let after = json(&deployment, &["config", "get", "teams/red"]);
        let no_difference = run(&deployment, &["config", "diff", "config.json"]);
        let missing = run(&deployment, &["config", "get", "teams/red/models/none"]);

        assert_eq!(stdout(&dry_run), "~ teams/red/share_weight: 1 -> 9\n");
        assert_eq!(before, after);
        assert_eq!(stdout(&no_difference), "");
        assert_eq!(missing.status.code(), Some(1));
    });
}

/// Guards against the history of a team that contains the changes of others whose
/// names start with its name.
#[test]
fn history_of_a_team_leaves_out_teams_whose_names_start_alike() {
    block_on(async {
        let deployment = ready_deployment(&small_shape()).await;
        let file = deployment.dir().join("config.json");
        let text = std::fs::read(&file).expect("configuration");
        let mut config: Value = serde_json::from_slice(&text).expect("JSON");
        let mut team = config["teams"]["red"].clone();
        team["credentials_sha256"] = serde_json::json!(["ab".repeat(32)]);
        config["teams"]["red-2"] = team;
        std::fs::write(&file, config.to_string()).expect("write");
        let applied = run(&deployment, &["config", "apply", "config.json"]);
        assert!(applied.status.success(), "{applied:?}");
        let path = "teams/red/share_weight";
        assert!(
            run(&deployment, &["config", "set", path, "9"])
                .status
                .success()
        );

        let history = json(&deployment, &["config", "history", "teams/red", "--json"]);

        let entries = history.as_array().expect("entries");
        let paths: Vec<&str> = entries.iter().filter_map(|e| e["path"].as_str()).collect();
        assert!(!paths.is_empty());
        assert!(paths.iter().all(|p| *p == "teams/red"), "{paths:?}");
    });
}
