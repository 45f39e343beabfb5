//! Plays the scenarios: in virtual time, and a few on real processes.

use std::path::Path;

use currantcove_standins::scenario::run_script;
use currantcove_standins::scenario_real::ProcessBackend;
use currantcove_standins::scenario_virtual::VirtualBackend;

fn script(name: &str) -> String {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../scenarios");
    std::fs::read_to_string(dir.join(name)).expect("scenario")
}

#[test]
fn loss_of_an_upstream_in_virtual_time() {
    let played = run_script(
        &script("loss-of-an-upstream.rhai"),
        VirtualBackend::default(),
    );

    assert_eq!(played, Ok(()));
}

#[test]
fn platform_outage_in_virtual_time() {
    let played = run_script(&script("platform-outage.rhai"), VirtualBackend::default());

    assert_eq!(played, Ok(()));
}

#[test]
fn evening_peak_in_virtual_time() {
    let played = run_script(&script("evening-peak.rhai"), VirtualBackend::default());

    assert_eq!(played, Ok(()));
}

#[test]
fn loss_of_an_upstream_with_processes() {
    let played = run_script(
        &script("loss-of-an-upstream.rhai"),
        ProcessBackend::new().expect("runtime"),
    );

    assert_eq!(played, Ok(()));
}

#[test]
fn platform_outage_with_processes() {
    let played = run_script(
        &script("platform-outage.rhai"),
        ProcessBackend::new().expect("runtime"),
    );

    assert_eq!(played, Ok(()));
}

#[test]
fn hosts_fail_with_processes() {
    let played = run_script(
        &script("hosts-fail.rhai"),
        ProcessBackend::new().expect("runtime"),
    );

    assert_eq!(played, Ok(()));
}

#[test]
fn a_failed_expectation_names_what_was_found() {
    let script = "bring_up(\"small\"); expect(\"offered\", \">=\", 1);";

    let played = run_script(script, VirtualBackend::default());

    let text = played.expect_err("failure");
    assert!(text.contains("offered is 0, expected >= 1"), "{text}");
}
