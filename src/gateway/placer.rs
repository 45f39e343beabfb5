//! Lets waiting requests leave as soon as there is room.

use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use tokio_util::sync::CancellationToken;

use super::platform::Platform;
use super::state::Gateway;
use crate::kernel::Service;

/// Longest pause between two passes while requests wait.
const MAX_PASS_PAUSE: Duration = Duration::from_millis(200);

/// Service that lets waiting requests leave.
#[derive(Debug)]
pub struct Placer<P: Platform> {
    gateway: Rc<Gateway<P>>,
}

impl<P: Platform> Placer<P> {
    /// Service over the shared state.
    pub fn new(gateway: Rc<Gateway<P>>) -> Self {
        Self { gateway }
    }

    fn pause(&self) -> Duration {
        let now_ms = self.gateway.now_ms();
        let next_ms = self.gateway.places.borrow().next_give_up_ms();
        let until_ms = next_ms.map_or(u64::MAX, |at| at.saturating_sub(now_ms).max(1));
        MAX_PASS_PAUSE.min(Duration::from_millis(until_ms))
    }
}

impl<P: Platform> Service for Placer<P> {
    const NAME: &'static str = "gateway-placer";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        let wake = self.gateway.places.borrow().woken();
        loop {
            let is_idle = self.gateway.places.borrow().waiting() == 0;
            if is_idle {
                futures_util::select_biased! {
                    () = cancel.cancelled().fuse() => return,
                    () = wake.notified().fuse() => {}
                }
            } else {
                let timeout = compio::time::timeout(self.pause(), wake.notified());
                futures_util::select_biased! {
                    () = cancel.cancelled().fuse() => return,
                    _ = timeout.fuse() => {}
                }
            }
            self.gateway.pass();
        }
    }
}
