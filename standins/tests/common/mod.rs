//! Fixtures of the process tests.
#![allow(dead_code)]

use std::future::Future;
use std::time::{Duration, Instant};

use currantcove_standins::control::StandInStats;
use currantcove_standins::deployment::Deployment;
use currantcove_standins::shapes::{self, Shape};

/// Bound of waits for a state that must come.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Runs a test on a runtime of its own.
pub fn block_on<T>(future: impl Future<Output = T>) -> T {
    compio::runtime::Runtime::new()
        .expect("runtime")
        .block_on(future)
}

/// Small deployment, not started.
pub fn small() -> Shape {
    shapes::build_shape(&shapes::SMALL, 20)
}

/// Started deployment with every model ready.
pub async fn ready(shape: &Shape) -> Deployment {
    let deployment = Deployment::start_all(shape)
        .await
        .expect("deployment starts");
    let models = shape.models().len();
    assert!(
        deployment.wait_for_models(models, PATIENCE).await,
        "models become ready"
    );
    deployment
}

/// Started deployment in which every model has its two copies.
pub async fn settled(shape: &Shape) -> Deployment {
    let deployment = ready(shape).await;
    let copies = 2 * shape.models().len();
    let has_all = deployment
        .wait_for_hosts(PATIENCE, |s| {
            s.upstreams
                .iter()
                .map(|u| u.seen.ready.len())
                .sum::<usize>()
                >= copies
        })
        .await;
    assert!(has_all, "two copies of each model become ready");
    deployment
}

/// What the stand-ins have seen.
pub async fn seen(deployment: &Deployment) -> StandInStats {
    deployment
        .control
        .fetch_stats()
        .await
        .expect("stand-ins answer")
}

/// Waits until a condition holds; false if it does not within the patience.
pub async fn eventually<F: Future<Output = bool>>(mut condition: impl FnMut() -> F) -> bool {
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until {
        if condition().await {
            return true;
        }
        compio::time::sleep(Duration::from_millis(50)).await;
    }
    false
}

/// Model of team `red` that is ready.
pub const RED_MODEL: &str = "draft-0";
/// Model of team `blue` that is ready.
pub const BLUE_MODEL: &str = "draft-1";
