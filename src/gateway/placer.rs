//! Dispatches queued requests as soon as upstreams have capacity.

use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use tokio_util::sync::CancellationToken;

use super::platform::Platform;
use super::state::Gateway;
use crate::kernel::Service;

/// Longest time between two dispatch rounds while requests are queued.
const MAX_DISPATCH_INTERVAL: Duration = Duration::from_millis(200);

/// Service that dispatches queued requests.
#[derive(Debug)]
pub struct QueueDispatcher<P: Platform> {
    gateway: Rc<Gateway<P>>,
}

impl<P: Platform> QueueDispatcher<P> {
    /// Service over the shared state.
    pub fn new(gateway: Rc<Gateway<P>>) -> Self {
        Self { gateway }
    }

    fn next_dispatch_delay(&self) -> Duration {
        let now_ms = self.gateway.now_ms();
        let expiry_ms = self.gateway.admission_queue.borrow().next_expiry_ms();
        let until_expiry_ms = expiry_ms.map_or(u64::MAX, |at| at.saturating_sub(now_ms).max(1));
        MAX_DISPATCH_INTERVAL.min(Duration::from_millis(until_expiry_ms))
    }
}

impl<P: Platform> Service for QueueDispatcher<P> {
    const NAME: &'static str = "gateway-placer";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        let wake_signal = self.gateway.admission_queue.borrow().wake_signal();
        loop {
            let is_idle = self.gateway.admission_queue.borrow().queued_count() == 0;
            if is_idle {
                futures_util::select_biased! {
                    () = cancel.cancelled().fuse() => return,
                    () = wake_signal.notified().fuse() => {}
                }
            } else {
                let timeout =
                    compio::time::timeout(self.next_dispatch_delay(), wake_signal.notified());
                futures_util::select_biased! {
                    () = cancel.cancelled().fuse() => return,
                    _ = timeout.fuse() => {}
                }
            }
            self.gateway.dispatch_queued();
        }
    }
}
