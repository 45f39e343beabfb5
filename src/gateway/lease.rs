//! Lease of the store that this host keeps alive.

use std::cell::Cell;
use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

use super::platform::{FleetStore, LeaseState};
use crate::core::store_era::Era;
use crate::edge::kv::KvError;

/// Milliseconds since boot, including the time in which the machine was
/// suspended.
pub fn boottime_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    now.tv_sec.unsigned_abs() * 1000 + now.tv_nsec.unsigned_abs() / 1_000_000
}

/// Lease as of its last renewal.
#[derive(Clone, Copy, Debug)]
pub struct HeldLease {
    /// ID of the lease.
    pub id: u64,
    /// Era of the store that granted it; it means nothing in a later one.
    pub era: Era,
    ttl_ms: u64,
    /// Expiry by `boottime_ms`, counted from before the last renewal was sent.
    pub expires_ms: u64,
    renewed_ms: u64,
}

/// Result of keeping a lease alive.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Renewal {
    /// The lease is held.
    Held,
    /// The lease has ended, or none was held.
    Ended,
    /// The store was restored since the lease was granted. The lease is neither
    /// renewed nor ended, as its ID may have been granted to another host.
    Superseded,
}

/// Keeps one lease alive.
#[derive(Debug)]
pub struct LeaseKeeper {
    ttl: Duration,
    renew_interval_ms: u64,
    held: Cell<Option<HeldLease>>,
}

impl LeaseKeeper {
    /// Keeper of leases with a time to live.
    pub fn new(ttl: Duration, renew_interval: Duration) -> Self {
        Self {
            ttl,
            renew_interval_ms: renew_interval.as_millis() as u64,
            held: Cell::new(None),
        }
    }

    /// Lease that is held, which may have expired.
    pub fn held(&self) -> Option<HeldLease> {
        self.held.get()
    }

    /// Requests a new lease; it is held once [`Self::hold`] is called.
    pub async fn grant(
        &self,
        store: &impl FleetStore,
        min_ttl: Duration,
    ) -> Result<HeldLease, KvError> {
        let sent_ms = boottime_ms();
        let lease = store.grant_lease(self.ttl.max(min_ttl)).await?;
        let ttl_ms = lease.ttl.as_millis() as u64;
        Ok(HeldLease {
            id: lease.id,
            era: store.era(),
            ttl_ms,
            expires_ms: sent_ms + ttl_ms,
            renewed_ms: sent_ms,
        })
    }

    /// Holds a granted lease.
    pub fn hold(&self, lease: HeldLease) {
        self.held.set(Some(lease));
    }

    /// Renews the lease if that is due.
    pub async fn keep(&self, store: &impl FleetStore) -> Result<Renewal, KvError> {
        let Some(held) = self.held.get() else {
            return Ok(Renewal::Ended);
        };
        if held.era != store.era() {
            self.held.set(None);
            return Ok(Renewal::Superseded);
        }
        let sent_ms = boottime_ms();
        if sent_ms < held.renewed_ms + self.renew_interval_ms {
            return Ok(Renewal::Held);
        }
        let state = store.renew_lease(held.id).await?;
        if held.era != store.era() {
            self.held.set(None);
            return Ok(Renewal::Superseded);
        }
        if state == LeaseState::Ended {
            self.held.set(None);
            return Ok(Renewal::Ended);
        }
        self.held.set(Some(HeldLease {
            expires_ms: sent_ms + held.ttl_ms,
            renewed_ms: sent_ms,
            ..held
        }));
        Ok(Renewal::Held)
    }

    /// Ends the lease, which deletes the keys attached to it. A lease of an earlier
    /// era is only forgotten.
    pub async fn end(&self, store: &impl FleetStore) {
        let Some(held) = self.held.take().filter(|h| h.era == store.era()) else {
            return;
        };
        let ended = store.end_lease(held.id).await;
        tracing::info!(
            event = "membership",
            lease = held.id,
            ended = ended.is_ok(),
            "lease ended"
        );
    }
}
