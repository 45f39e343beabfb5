//! Service that keeps the delegation of this host's share in force.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use tokio_util::sync::CancellationToken;

use super::charge::{QuotaCharge, QuotaRefusal};
use super::desk::QuotaFleet;
use super::messages::{QuotaMessage, QuotaReply};
use crate::core::features::Feature;
use crate::core::ids::{HostId, OrganisationId, ZoneId};
use crate::core::organisations::Organisations;
use crate::core::quota_share::Candidate;
use crate::gateway::call::RoutedRequest;
use crate::gateway::peer_messages::PeerMessage;
use crate::gateway::platform::Platform;
use crate::gateway::state::Gateway;
use crate::kernel::Service;

/// Time between two checks for delegations that are due.
const TICK: Duration = Duration::from_millis(50);
/// Time between two such checks while the configuration has no quotas.
const IDLE_TICK: Duration = Duration::from_millis(200);
/// Time between two looks at the list of hosts, in milliseconds.
const FLEET_INTERVAL_MS: u64 = 300;

impl<P: Platform> QuotaFleet for Gateway<P> {
    fn now_ms(&self) -> u64 {
        Gateway::now_ms(self)
    }

    fn config_version(&self) -> u64 {
        self.catalog().map_or(0, |c| c.version)
    }

    fn send_message(&self, keeper: &HostId, message: QuotaMessage) {
        self.send_quota(keeper, &PeerMessage::Quota(message));
    }

    fn send_reply(&self, host: &HostId, reply: QuotaReply) {
        self.send_quota(host, &PeerMessage::QuotaReply(reply));
    }

    fn on_refund(&self, organisation: &OrganisationId) {
        self.metrics.quotas.record(organisation, "refunded");
    }

    fn for_each_host(&self, mut visit: impl FnMut(Candidate, bool)) {
        let peers = self.peers.borrow();
        for (host, peer) in peers.listed() {
            let candidate = Candidate {
                host: host.clone(),
                zone: peer.zone().map(ZoneId::new),
                cpu_milli: peer.cpu_milli,
            };
            visit(candidate, peer.has(Feature::Quotas));
        }
    }
}

impl<P: Platform> Gateway<P> {
    fn send_quota(&self, host: &HostId, message: &PeerMessage) {
        let addr = {
            let peers = self.peers.borrow();
            let peer = peers.get_recipient(Gateway::now_ms(self), host);
            peer.filter(|p| p.has(Feature::Quotas)).map(|p| p.addr)
        };
        if let Some(addr) = addr {
            self.send_peer(addr, message);
        }
    }

    /// Charges a request to its organisation's quota. A request that another host has
    /// received was charged there.
    pub(crate) async fn charge_quota(
        &self,
        request: &RoutedRequest,
    ) -> Result<Option<QuotaCharge>, QuotaRefusal> {
        let Some(organisation) = &request.organisation else {
            return Ok(None);
        };
        if organisation.quota.is_none() || request.received.is_some() {
            return Ok(None);
        }
        let charging = self.quotas.charge(self, organisation, request.quota_cost);
        let charge = charging.await;
        let result = charge
            .as_ref()
            .map_or_else(|refusal| refusal.reason, |_| "granted");
        self.metrics.quotas.record(&organisation.id, result);
        if let Err(refusal) = &charge {
            tracing::info!(
                event = "quota",
                request = request.request_id,
                organisation = %organisation.id,
                cost = request.quota_cost,
                reason = refusal.reason,
                retry_after_ms = refusal.retry_after_ms,
            );
        }
        charge
    }
}

/// Service that renews the delegation of this host's share.
#[derive(Debug)]
pub struct QuotaService<P: Platform> {
    gateway: Rc<Gateway<P>>,
    fleet_ms: Cell<u64>,
    /// Version of the configuration that was last looked at, and whether it has quotas.
    checked: Cell<Option<(u64, bool)>>,
}

impl<P: Platform> QuotaService<P> {
    /// Service over the shared state.
    pub fn new(gateway: Rc<Gateway<P>>) -> Self {
        Self {
            gateway,
            fleet_ms: Cell::new(0),
            checked: Cell::new(None),
        }
    }

    /// True if the configuration has organisations with quotas.
    fn has_quotas(&self) -> bool {
        let Some(catalog) = self.gateway.catalog() else {
            return false;
        };
        if let Some((version, has_quotas)) = self.checked.get()
            && version == catalog.version
        {
            return has_quotas;
        }
        let has_quota = |o: &Organisations| o.iter().any(|o| o.quota.is_some());
        let has_quotas = catalog.organisations.as_ref().is_some_and(has_quota);
        self.checked.set(Some((catalog.version, has_quotas)));
        // A new version takes effect at the next look at the fleet.
        self.fleet_ms.set(0);
        has_quotas
    }

    fn take_round(&self, has_quotas: bool) {
        let gateway = &*self.gateway;
        let now_ms = Gateway::now_ms(gateway);
        if now_ms >= self.fleet_ms.get() + FLEET_INTERVAL_MS {
            self.fleet_ms.set(now_ms);
            let catalog = gateway.catalog().filter(|_| has_quotas);
            let organisations = catalog.as_ref().and_then(|c| c.organisations.as_ref());
            let settings = gateway.settings();
            let overage = settings.quota_bounds();
            gateway.quotas.update_fleet(gateway, overage, organisations);
        }
        if has_quotas {
            gateway.quotas.renew(gateway);
        }
    }
}

impl<P: Platform> Service for QuotaService<P> {
    const NAME: &'static str = "gateway-quotas";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        let mut next_ms = 0_u64;
        loop {
            let gateway = &*self.gateway;
            let pause = next_ms.saturating_sub(Gateway::now_ms(gateway));
            futures_util::select_biased! {
                () = cancel.cancelled().fuse() => return,
                () = gateway.quotas.refunds.wake.notified().fuse() => {}
                () = compio::time::sleep(Duration::from_millis(pause)).fuse() => {}
            }
            gateway.quotas.flush(gateway);
            let now_ms = Gateway::now_ms(gateway);
            if now_ms >= next_ms {
                let has_quotas = self.has_quotas();
                let tick = if has_quotas { TICK } else { IDLE_TICK };
                next_ms = now_ms + tick.as_millis() as u64;
                self.take_round(has_quotas);
            }
        }
    }
}
