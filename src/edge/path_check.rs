//! Carries out `core::path_watch` for a request that waits for its response.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use super::pool::{Pool, PortState, probe};
use crate::core::path_watch::{PathStep, PathWatch};

/// Completes once a request that was sent on a kept connection must be reset.
pub async fn until_held_up(pool: &Pool, addr: SocketAddr, may_arrive: impl Fn() -> bool) {
    let sent = Instant::now();
    let elapsed_ms = || sent.elapsed().as_millis() as u64;
    let mut watch = PathWatch::default();
    loop {
        match watch.next_step(elapsed_ms(), !may_arrive()) {
            PathStep::Wait(ms) => compio::time::sleep(Duration::from_millis(ms)).await,
            PathStep::Check if pool.has_heard_from(addr, sent) => watch.on_answer(elapsed_ms()),
            PathStep::Check if probe(addr).await == PortState::Silent => {
                watch.on_silence(elapsed_ms());
            }
            PathStep::Check => {
                pool.record_heard(addr);
                watch.on_answer(elapsed_ms());
            }
            PathStep::Reset => return,
            PathStep::Delivered => std::future::pending().await,
        }
    }
}
