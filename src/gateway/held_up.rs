//! Requests that are given up because the path to their upstream does not answer.

use super::call::RoutedRequest;
use super::platform::Platform;
use super::state::Gateway;
use crate::core::ids::UpstreamId;

impl<P: Platform> Gateway<P> {
    /// Logs and counts a request whose connection was reset on its way.
    pub(super) fn record_held_up(
        &self,
        request: &RoutedRequest,
        upstream: &UpstreamId,
        sent_ms: u64,
    ) {
        self.metrics.requests_held_up.inc();
        tracing::info!(
            event = "held_up",
            request = request.request_id,
            upstream = %upstream,
            after_ms = self.now_ms().saturating_sub(sent_ms),
        );
    }
}
