//! Cuts off responses of upstreams that do not end.

use std::rc::Rc;
use std::time::Duration;

use super::platform::Platform;
use super::state::Gateway;
use crate::core::ids::UpstreamId;
use crate::edge::body::{self, ReadError};
use crate::edge::pool::PooledBody;

/// Largest body of a refusal, in bytes.
const MAX_REFUSAL_BYTES: usize = 16 * 1024;
/// Timeout of the body of a refusal, which arrives with its head.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

impl<P: Platform> Gateway<P> {
    /// Reads the body of a refusal in the background, so that its connection can be
    /// reused; a body that does not end is a fault of the upstream.
    pub(super) fn finish_refusal(self: &Rc<Self>, upstream: &UpstreamId, body: PooledBody) {
        let gateway = Rc::clone(self);
        let upstream = upstream.clone();
        compio::runtime::spawn(async move {
            let read = body::read(body, MAX_REFUSAL_BYTES, REFUSAL_TIMEOUT).await;
            if matches!(read, Err(ReadError::TooLarge | ReadError::Timeout)) {
                gateway.on_endless_response(&upstream, "refusal");
            }
        })
        .detach();
    }

    /// Counts a response that was cut off, and that is not counted as an attempt, as a
    /// fault of the upstream.
    pub(super) fn on_endless_response(&self, upstream: &UpstreamId, part: &'static str) {
        let now_ms = self.now_ms();
        self.loads.borrow_mut().on_fault(now_ms, upstream);
        self.record_over_limit(upstream, part);
    }

    /// Counts and logs a response that was cut off.
    pub(super) fn record_over_limit(&self, upstream: &UpstreamId, part: &'static str) {
        self.metrics.responses_over_limit.inc();
        tracing::info!(event = "over_limit", upstream = %upstream, part);
    }
}
