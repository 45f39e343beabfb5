//! Shares what hosts learn of the speeds of upstreams (`core::speed`): samples travel with
//! the loads of hosts, and the acting host states the speeds with the sums of all loads.
//! Hosts of an older release ignore both fields. Used only with the setting
//! `learned_speed`.

use std::collections::BTreeSet;

use super::platform::Platform;
use super::state::Gateway;
use crate::core::ids::{ServiceId, UpstreamId};
use crate::core::speed::{PaceKind, PaceSum, SpeedTable};

impl<P: Platform> Gateway<P> {
    /// Samples of this host since the last call.
    pub(super) fn take_paces(&self) -> Vec<(UpstreamId, PaceKind, PaceSum)> {
        let mut loads = self.loads.borrow_mut();
        loads
            .speeds_mut()
            .map_or_else(Vec::new, SpeedTable::take_unreported)
    }

    /// Takes over the samples of another host.
    pub(super) fn apply_paces(&self, paces: &[(UpstreamId, PaceKind, PaceSum)]) {
        let now_ms = self.now_ms();
        let registry = self.registry.borrow();
        if let Some(speeds) = self.loads.borrow_mut().speeds_mut() {
            for (upstream, kind, sum) in paces {
                if registry.get(upstream.as_str()).is_some() {
                    speeds.record_reported(now_ms, upstream, *kind, *sum);
                }
            }
        }
    }

    /// Takes over the speeds that the acting host states, in thousandths.
    pub(super) fn apply_speeds(&self, stated: &[(UpstreamId, u32)]) {
        let now_ms = self.now_ms();
        let registry = self.registry.borrow();
        if let Some(speeds) = self.loads.borrow_mut().speeds_mut() {
            for (upstream, per_mille) in stated {
                if registry.get(upstream.as_str()).is_some() {
                    speeds.set_stated(now_ms, upstream, f64::from(*per_mille) / 1_000.0);
                }
            }
        }
    }

    /// Speeds of all upstreams, in thousandths of the usual one of their services.
    pub(super) fn known_speeds(&self) -> Vec<(UpstreamId, u32)> {
        let (now_ms, loads) = (self.now_ms(), self.loads.borrow());
        let Some(table) = loads.speeds() else {
            return Vec::new();
        };
        let registry = self.registry.borrow();
        let services: BTreeSet<&ServiceId> = registry.entries().map(|e| &e.service).collect();
        let mut known = Vec::new();
        for service in services {
            let upstreams = registry.of_service(service).map(|e| &e.id);
            let speeds = table.of_service(now_ms, upstreams);
            let per_mille = |factor: f64| (factor * 1_000.0).round() as u32;
            known.extend(
                speeds
                    .all()
                    .map(|(id, s)| (id.clone(), per_mille(s.factor))),
            );
        }
        known
    }
}
