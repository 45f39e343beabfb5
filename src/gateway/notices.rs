//! Applies the notices that upstreams attach to their responses, and tells other
//! hosts which upstreams are leaving.

use super::peer_messages::PeerMessage;
use super::platform::Platform;
use super::state::Gateway;
use crate::core::ids::UpstreamId;
use crate::core::upstream_notice::{Closure, StatedRate, UpstreamNotice};
use crate::core::upstream_rate::RateChange;

impl<P: Platform> Gateway<P> {
    /// Applies the notice in a response of an upstream's incarnation to what was sent
    /// at `sent_ms`.
    pub fn apply_notice(&self, upstream: &UpstreamId, sent_ms: u64, notice: UpstreamNotice) {
        self.apply_rate(upstream, sent_ms, notice.rate);
        self.apply_brittleness(upstream, sent_ms, notice.brittleness);
        if notice.is_leaving {
            let registry = self.registry.borrow();
            let started_ms = registry.get(upstream.as_str()).map(|e| e.started_ms);
            drop(registry);
            if let Some(started_ms) = started_ms
                && self.mark_leaving(upstream, started_ms, "response")
            {
                self.publish_leaving(upstream, started_ms);
            }
        }
        if notice.closed_for == Closure::Invalid {
            tracing::warn!(
                event = "upstream",
                upstream = %upstream,
                "cannot read for how long the upstream wants no requests"
            );
        }
        let now_ms = self.now_ms();
        let reopens_ms = notice
            .closed_for
            .reopens_ms(now_ms, &mut self.rng.borrow_mut());
        if let Some(reopens_ms) = reopens_ms {
            let closed_for_ms = reopens_ms - now_ms;
            tracing::info!(event = "upstream", upstream = %upstream, change = "closed", closed_for_ms);
            self.metrics.upstream_closures.inc();
            self.loads.borrow_mut().close(upstream, reopens_ms);
        }
    }

    /// Applies the rate that an upstream states in a response, or its absence.
    fn apply_rate(&self, upstream: &UpstreamId, sent_ms: u64, stated: StatedRate) {
        let is_known = !self.known_rates.borrow().is_empty();
        if stated == StatedRate::Unknown || (stated == StatedRate::Unlimited && !is_known) {
            return;
        }
        if stated == StatedRate::Invalid {
            tracing::warn!(
                event = "upstream",
                upstream = %upstream,
                "cannot read how many requests a second the upstream takes"
            );
        }
        let started_ms = {
            let registry = self.registry.borrow();
            registry.get(upstream.as_str()).map(|e| e.started_ms)
        };
        let Some(started_ms) = started_ms else {
            return;
        };
        let now_ms = self.now_ms();
        let change = {
            let mut known = self.known_rates.borrow_mut();
            known.on_response(now_ms, upstream, started_ms, sent_ms, stated)
        };
        let Some(change) = change else {
            return;
        };
        self.on_rate_change(upstream, change, "response");
        if let RateChange::Stated(per_mille_s) = change {
            self.publish_rate(upstream, started_ms, per_mille_s);
        }
    }

    /// Tells the other hosts how many requests a second an upstream takes.
    pub fn publish_rate(&self, upstream: &UpstreamId, started_ms: u64, per_mille_s: u32) {
        self.publish(&PeerMessage::Limited {
            upstream: upstream.clone(),
            started_ms,
            per_mille_s,
        });
    }

    /// Logs a change of the rate that an upstream states.
    pub fn on_rate_change(&self, upstream: &UpstreamId, change: RateChange, source: &'static str) {
        let is_limited = change != RateChange::Lifted;
        let mut loads = self.loads.borrow_mut();
        loads.set_limited(upstream, is_limited);
        drop(loads);
        match change {
            // An upstream may state another rate in each response.
            RateChange::Changed(_) => {}
            RateChange::Stated(per_mille_s) => {
                let per_s = f64::from(per_mille_s) / 1000.0;
                tracing::info!(event = "upstream", upstream = %upstream, change = "limited", per_s, source);
            }
            RateChange::Lifted => {
                tracing::info!(event = "upstream", upstream = %upstream, change = "unlimited", source);
            }
        }
        let limited = self.known_rates.borrow().len();
        self.metrics
            .upstreams_limited
            .set(limited.cast_signed() as i64);
    }

    /// Takes an upstream out of service that is about to stop; false if that was
    /// known or another incarnation is listed.
    pub fn mark_leaving(
        &self,
        upstream: &UpstreamId,
        started_ms: u64,
        source: &'static str,
    ) -> bool {
        let now_ms = self.now_ms();
        let change = {
            let mut registry = self.registry.borrow_mut();
            registry.mark_leaving(upstream, started_ms, now_ms)
        };
        let Some(change) = change else {
            return false;
        };
        tracing::info!(event = "upstream", upstream = %upstream, change = "leaving", source);
        self.metrics.upstreams_leaving.inc();
        self.on_registry_change(&change, 0);
        if let Some(entry) = self.registry.borrow().get(upstream.as_str()) {
            self.pool.close_idle(entry.addr);
        }
        // Requests that wait for this upstream go elsewhere.
        self.admission_queue.borrow().wake();
        true
    }

    /// Tells the other hosts that an upstream is leaving.
    pub fn publish_leaving(&self, upstream: &UpstreamId, started_ms: u64) {
        self.publish(&PeerMessage::Leaving {
            upstream: upstream.clone(),
            started_ms,
        });
    }

    /// Applies what another host has learned of an upstream. In a large fleet the acting
    /// host passes it on.
    pub fn apply_relayed_notice(&self, message: &PeerMessage) {
        let is_news = match message {
            PeerMessage::Leaving {
                upstream,
                started_ms,
            } => self.mark_leaving(upstream, *started_ms, "peer"),
            PeerMessage::Limited {
                upstream,
                started_ms,
                per_mille_s,
            } => self.learn_rate(upstream, *started_ms, *per_mille_s),
            _ => false,
        };
        if is_news && self.is_large_fleet() && self.is_acting_host() {
            self.publish(message);
        }
    }

    /// Sends a message to all other hosts. In a large fleet the acting host passes it
    /// on.
    pub(super) fn publish(&self, message: &PeerMessage) {
        let addrs = if !self.is_large_fleet() || self.is_acting_host() {
            self.other_hosts(|_| true)
        } else {
            let acting = self.acting_host.borrow();
            acting.iter().map(|a| a.addr).collect()
        };
        self.send_peers(addrs, message);
    }

    /// True while an upstream wants no requests from this host.
    pub fn is_closed(&self, upstream: &UpstreamId) -> bool {
        let now_ms = self.now_ms();
        let loads = self.loads.borrow();
        loads
            .get(upstream.as_str())
            .is_some_and(|l| l.closed_for_ms(now_ms) > 0)
    }
}
