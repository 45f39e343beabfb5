//! The command-line tool, as an operator who has only its help uses it.

mod common;

use std::process::Output;

use common::{RED_MODEL, block_on, ready, small};
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
fn every_command_has_a_help_with_its_usage() {
    block_on(async {
        let mut shape = small();
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
fn wrong_usage_says_what_to_do_and_exits_with_2() {
    block_on(async {
        let mut shape = small();
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
fn check_reports_all_findings_of_a_file_together() {
    block_on(async {
        let mut shape = small();
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
        let mut shape = small();
        shape.host_zones.clear();
        let deployment = Deployment::start(&shape).expect("stand-ins");
        let nowhere = r#"{"kv_addr": "127.0.0.1:1", "operator_addrs": ["127.0.0.1:1"]}"#;
        std::fs::write(deployment.dir().join("currantcove.json"), nowhere).expect("file");

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
fn what_runs_can_be_seen_and_explained() {
    block_on(async {
        let deployment = ready(&small()).await;
        let addr = deployment.caller_addrs()[0];
        let heard = Caller::new("red")
            .draft(addr, RED_MODEL, "w", 2)
            .await
            .expect("answer");
        let id = heard.header("x-request-id").expect("id").to_owned();

        let status = json(&deployment, &["status", "--json"]);
        let models = json(&deployment, &["models", "--json"]);
        let upstreams = json(&deployment, &["upstreams", "--json"]);
        let events = json(&deployment, &["timeline", "--request", &id, "--json"]);
        let page = ["timeline", "--request", &id, "--html", "page.html"];
        assert!(run(&deployment, &page).status.success());
        let page = std::fs::read_to_string(deployment.dir().join("page.html")).expect("page");
        let explained = stdout(&run(&deployment, &["explain", "request", &id]));
        let of_model = stdout(&run(&deployment, &["explain", "model", "red/draft-0"]));

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
        assert!(explained.contains("chose assistant-"), "{explained}");
        assert!(explained.contains("answered 200"), "{explained}");
        assert!(
            of_model.contains("ordered Load of red/draft-0@v1"),
            "{of_model}"
        );
    });
}

#[test]
fn configuration_is_read_compared_and_tried_without_writing() {
    block_on(async {
        let deployment = ready(&small()).await;
        let before = json(&deployment, &["config", "get", "teams/red"]);
        let path = "teams/red/share_weight";

        let tried = run(&deployment, &["config", "set", path, "9", "--dry-run"]);
        let after = json(&deployment, &["config", "get", "teams/red"]);
        let same = run(&deployment, &["config", "diff", "config.json"]);
        let missing = run(&deployment, &["config", "get", "teams/red/models/none"]);

        assert_eq!(stdout(&tried), "~ teams/red/share_weight: 1 -> 9\n");
        assert_eq!(before, after);
        assert_eq!(stdout(&same), "");
        assert_eq!(missing.status.code(), Some(1));
    });
}
