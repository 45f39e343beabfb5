//! Plays the scenarios: in virtual time, and a few on real processes.

use std::path::Path;

use currantcove_standins::scenario::play;
use currantcove_standins::scenario_real::RealStage;
use currantcove_standins::scenario_virtual::VirtualStage;

fn script(name: &str) -> String {
    let dir = Path::new(env!("CARGO_MANIFEST_DIR")).join("../scenarios");
    std::fs::read_to_string(dir.join(name)).expect("scenario")
}

#[test]
fn loss_of_an_upstream_in_virtual_time() {
    let played = play(&script("loss-of-an-upstream.rhai"), VirtualStage::default());

    assert_eq!(played, Ok(()));
}

#[test]
fn platform_outage_in_virtual_time() {
    let played = play(&script("platform-outage.rhai"), VirtualStage::default());

    assert_eq!(played, Ok(()));
}

#[test]
fn evening_peak_in_virtual_time() {
    let played = play(&script("evening-peak.rhai"), VirtualStage::default());

    assert_eq!(played, Ok(()));
}

#[test]
fn loss_of_an_upstream_with_processes() {
    let played = play(
        &script("loss-of-an-upstream.rhai"),
        RealStage::new().expect("runtime"),
    );

    assert_eq!(played, Ok(()));
}

#[test]
fn platform_outage_with_processes() {
    let played = play(
        &script("platform-outage.rhai"),
        RealStage::new().expect("runtime"),
    );

    assert_eq!(played, Ok(()));
}

#[test]
fn hosts_fail_with_processes() {
    let played = play(
        &script("hosts-fail.rhai"),
        RealStage::new().expect("runtime"),
    );

    assert_eq!(played, Ok(()));
}

#[test]
fn a_failed_expectation_names_what_was_found() {
    let script = "bring_up(\"small\"); expect(\"offered\", \">=\", 1);";

    let played = play(script, VirtualStage::default());

    let text = played.expect_err("failure");
    assert!(text.contains("offered is 0, expected >= 1"), "{text}");
}
