//! Runs the scenario scripts in virtual time, and some of them with real processes.

use std::path::Path;

use currantcove_standins::scenario::run_script;
use currantcove_standins::scenario_real::ProcessBackend;
use currantcove_standins::scenario_virtual::VirtualBackend;

fn read_script(name: &str) -> String {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../scenarios");
    std::fs::read_to_string(dir.join(name)).expect("scenario")
}

#[test]
fn loss_of_an_upstream_in_virtual_time() {
    let result = run_script(
        &read_script("loss-of-an-upstream.rhai"),
        VirtualBackend::default(),
    );

    assert_eq!(result, Ok(()));
}

#[test]
fn platform_outage_in_virtual_time() {
    let result = run_script(
        &read_script("platform-outage.rhai"),
        VirtualBackend::default(),
    );

    assert_eq!(result, Ok(()));
}

#[test]
fn evening_peak_in_virtual_time() {
    let result = run_script(&read_script("evening-peak.rhai"), VirtualBackend::default());

    assert_eq!(result, Ok(()));
}

#[test]
fn loss_of_an_upstream_with_processes() {
    let result = run_script(
        &read_script("loss-of-an-upstream.rhai"),
        ProcessBackend::new().expect("runtime"),
    );

    assert_eq!(result, Ok(()));
}

#[test]
fn platform_outage_with_processes() {
    let result = run_script(
        &read_script("platform-outage.rhai"),
        ProcessBackend::new().expect("runtime"),
    );

    assert_eq!(result, Ok(()));
}

#[test]
fn hosts_fail_with_processes() {
    let result = run_script(
        &read_script("hosts-fail.rhai"),
        ProcessBackend::new().expect("runtime"),
    );

    assert_eq!(result, Ok(()));
}

#[test]
fn a_failed_expectation_reports_the_actual_value() {
    let script = "bring_up(\"small\"); expect(\"offered\", \">=\", 1);";

    let result = run_script(script, VirtualBackend::default());

    let text = result.expect_err("failure");
    assert!(text.contains("offered is 0, expected >= 1"), "{text}");
}
