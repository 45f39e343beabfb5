//! Fixtures of the tests that start a deployment of real processes.
#![allow(dead_code)]

use std::future::Future;
use std::time::{Duration, Instant};

use currantcove_standins::control::StandInStats;
use currantcove_standins::deployment::Deployment;
use currantcove_standins::shapes::{self, Shape};

/// Timeout of every wait for a condition that must become true.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Runs a test on a new runtime.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new()
        .expect("runtime")
        .block_on(future)
}

/// Shape of a small deployment with loads that take 1/20 of their usual time.
pub fn small_shape() -> Shape {
    shapes::build_shape(&shapes::SMALL, 20)
}

/// Starts a deployment and waits until every model has a ready copy.
pub async fn ready_deployment(shape: &Shape) -> Deployment {
    let deployment = Deployment::start_all(shape)
        .await
        .expect("deployment starts");
    let models = shape.models().len();
    assert!(
        deployment.wait_for_models(models, WAIT_TIMEOUT).await,
        "models become ready"
    );
    deployment
}

/// Starts a deployment and waits until two copies of every model are ready.
pub async fn replicated_deployment(shape: &Shape) -> Deployment {
    let deployment = ready_deployment(shape).await;
    let copies = 2 * shape.models().len();
    let is_replicated = deployment
        .wait_for_hosts(WAIT_TIMEOUT, |s| {
            s.upstreams
                .iter()
                .map(|u| u.seen.ready.len())
                .sum::<usize>()
                >= copies
        })
        .await;
    assert!(is_replicated, "two copies of each model become ready");
    deployment
}

/// Fetches the counters and the ready models of the stand-ins.
pub async fn fetch_stats(deployment: &Deployment) -> StandInStats {
    deployment
        .control
        .fetch_stats()
        .await
        .expect("stand-ins respond")
}

/// Polls a condition; false if it does not hold within [`WAIT_TIMEOUT`].
pub async fn wait_until<F: Future<Output = bool>>(mut condition: impl FnMut() -> F) -> bool {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while Instant::now() < deadline {
        if condition().await {
            return true;
        }
        compio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}

/// Model of team `red` in the small deployment.
pub const RED_MODEL: &str = "draft-0";
/// Model of team `blue` in the small deployment.
pub const BLUE_MODEL: &str = "draft-1";
