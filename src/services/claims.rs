//! Claims on idempotency keys, stored in the platform's key-value service.
//!
//! `core::claim::resolve_claim` decides about a key that is already claimed.
//! This service writes the claims, and repeats in the background the writes
//! that an outage interrupted.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::fmt::Write as _;
use std::rc::Rc;
use std::time::Duration;

use sha2::{Digest, Sha256};
use tokio_util::sync::CancellationToken;

use super::host::Host;
use crate::core::claim::{CLAIM_TTL_S, Claim, ClaimResolution, RecordedResponse, resolve_claim};
use crate::core::ids::TeamId;
use crate::core::outcome::{Reason, Refusal};
use crate::edge::kv::{Cas, CasOutcome, KvError, KvStore};
use crate::kernel::Service;

/// Prefix of the keys of all claims.
pub const CLAIMS_PREFIX: &str = "/currantcove/claims/";
/// Time after which a caller may retry while the platform cannot record a key,
/// in milliseconds.
const PLATFORM_RETRY_AFTER_MS: u64 = 1_000;
/// Time for which new claims share one lease, in milliseconds.
const LEASE_REUSE_MS: u64 = 60 * 60 * 1000;
/// Time between two rounds of pending writes.
const FLUSH_INTERVAL: Duration = Duration::from_millis(500);
/// Limit of pending writes. Beyond it the oldest are dropped, and the outcome
/// of their claims stays unknown.
const MAX_PENDING_WRITES: usize = 16_384;
/// Rounds without finding a claim's key after which its write counts as lost.
const MAX_FLUSH_ROUNDS: u32 = 240;

/// Claim of this host.
#[derive(Clone, Debug)]
pub struct HeldClaim {
    key: String,
    revision: u64,
    lease: i64,
    claim: Claim,
}

/// Result of an attempt to claim a key.
#[derive(Debug)]
pub enum ClaimOutcome {
    /// This host may send the request once.
    Held(HeldClaim),
    /// The request already has a recorded response.
    Replay(RecordedResponse),
    /// The request is refused.
    Refuse(Refusal),
}

#[derive(Clone, Debug)]
enum PendingAction {
    /// Store the response.
    Record,
    /// Delete the claim; no byte of the request was sent.
    Withdraw,
}

#[derive(Clone, Debug)]
struct PendingWrite {
    held: HeldClaim,
    action: PendingAction,
    missing_rounds: u32,
}

/// Service that writes claims and completes pending writes.
#[derive(Debug)]
pub struct ClaimService {
    host: Rc<Host>,
    lease: Cell<Option<(i64, u64)>>,
    pending_writes: RefCell<VecDeque<PendingWrite>>,
}

/// SHA-256 of the method, path and body, equal for repeats of a request.
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(method);
    hasher.update([0]);
    hasher.update(path);
    hasher.update([0]);
    hasher.update(body);
    hasher.finalize().into()
}

fn claim_key(team: &TeamId, idempotency_key: &[u8]) -> String {
    let mut key = format!("{CLAIMS_PREFIX}{team}/");
    for byte in Sha256::digest(idempotency_key) {
        // Writing to a string cannot fail.
        let _ = write!(key, "{byte:02x}");
    }
    key
}

fn platform_unavailable() -> Refusal {
    Refusal::not_run(
        Reason::PlatformUnavailable,
        "the idempotency key cannot be recorded now",
    )
    .retry_after_ms(PLATFORM_RETRY_AFTER_MS)
}

impl ClaimService {
    /// Creates the service on the shared state.
    pub fn new(host: Rc<Host>) -> Self {
        Self {
            host,
            lease: Cell::new(None),
            pending_writes: RefCell::default(),
        }
    }

    /// Claims an idempotency key for one request.
    pub async fn claim(
        &self,
        team: &TeamId,
        idempotency_key: &[u8],
        fingerprint_sha256: [u8; 32],
    ) -> ClaimOutcome {
        let Ok(lease) = self.current_lease().await else {
            return ClaimOutcome::Refuse(platform_unavailable());
        };
        let claim = Claim {
            nonce: self.host.rng.borrow_mut().next_u64(),
            host: self.host.settings.host.clone(),
            fingerprint_sha256,
            recorded: None,
        };
        let held = HeldClaim {
            key: claim_key(team, idempotency_key),
            revision: 0,
            lease,
            claim,
        };
        match self.write(&held).await {
            Ok(CasOutcome::Written(revision)) => ClaimOutcome::Held(HeldClaim { revision, ..held }),
            Ok(CasOutcome::Conflict(Some(kv))) => {
                resolve_conflict(held, &kv.value, kv.mod_revision)
            }
            Ok(CasOutcome::Conflict(None)) | Err(KvError::NotSent | KvError::Refused) => {
                ClaimOutcome::Refuse(platform_unavailable())
            }
            Err(KvError::Unknown) => self.resolve_unknown_write(held).await,
        }
    }

    /// Queues the response of a claimed request for recording.
    pub fn record(&self, mut held: HeldClaim, response: RecordedResponse) {
        held.claim.recorded = Some(response);
        self.enqueue(held, PendingAction::Record);
    }

    /// Queues the deletion of a claim whose request was not sent.
    pub fn withdraw(&self, held: HeldClaim) {
        self.enqueue(held, PendingAction::Withdraw);
    }

    /// Number of pending writes.
    pub fn pending_write_count(&self) -> usize {
        self.pending_writes.borrow().len()
    }

    async fn current_lease(&self) -> Result<i64, KvError> {
        let now_ms = self.host.clock.now_ms();
        if let Some((lease, expires_ms)) = self.lease.get()
            && now_ms < expires_ms
        {
            return Ok(lease);
        }
        let lease = self
            .host
            .kv
            .grant(CLAIM_TTL_S + LEASE_REUSE_MS / 1000)
            .await?;
        self.lease.set(Some((lease, now_ms + LEASE_REUSE_MS)));
        Ok(lease)
    }

    async fn write(&self, held: &HeldClaim) -> Result<CasOutcome, KvError> {
        let value = serde_json::to_vec(&held.claim).map_err(|_| KvError::NotSent)?;
        let cas = Cas {
            key: held.key.clone(),
            expected_revision: held.revision,
            value: Some(value),
            lease: held.lease,
        };
        self.host.kv.cas(cas).await
    }

    /// Reads the key of a claim whose write may or may not have taken effect.
    async fn resolve_unknown_write(&self, held: HeldClaim) -> ClaimOutcome {
        match self.host.kv.get(&held.key).await {
            Ok(Some(kv)) => resolve_conflict(held, &kv.value, kv.mod_revision),
            // The write may still take effect. The withdrawal keeps the claim
            // from blocking the key.
            Ok(None) | Err(_) => {
                self.withdraw(held);
                ClaimOutcome::Refuse(platform_unavailable())
            }
        }
    }

    fn enqueue(&self, held: HeldClaim, action: PendingAction) {
        let mut pending_writes = self.pending_writes.borrow_mut();
        if pending_writes.len() == MAX_PENDING_WRITES {
            pending_writes.pop_front();
        }
        pending_writes.push_back(PendingWrite {
            held,
            action,
            missing_rounds: 0,
        });
    }

    async fn flush_pending(&self) {
        let batch = std::mem::take(&mut *self.pending_writes.borrow_mut());
        let mut is_reachable = true;
        for mut pending in batch {
            if is_reachable {
                match self.apply_pending(&pending).await {
                    Ok(true) => continue,
                    Ok(false) => pending.missing_rounds += 1,
                    Err(_) => is_reachable = false,
                }
            }
            if pending.missing_rounds < MAX_FLUSH_ROUNDS {
                self.pending_writes.borrow_mut().push_back(pending);
            }
        }
    }

    /// Applies a pending write; returns true once it needs no further round.
    async fn apply_pending(&self, pending: &PendingWrite) -> Result<bool, KvError> {
        let held = &pending.held;
        let value = match pending.action {
            PendingAction::Record => serde_json::to_vec(&held.claim).ok(),
            PendingAction::Withdraw => None,
        };
        let mut expected_revision = held.revision;
        if expected_revision == 0 {
            let Some(kv) = self.host.kv.get(&held.key).await? else {
                return Ok(false);
            };
            if !is_same_claim(held, &kv.value) {
                return Ok(true);
            }
            expected_revision = kv.mod_revision;
        }
        let key = held.key.clone();
        // A conflict means that the value is no longer this attempt's claim,
        // or that the write took effect in an earlier round.
        self.host
            .kv
            .cas(Cas {
                key,
                expected_revision,
                value,
                lease: held.lease,
            })
            .await?;
        Ok(true)
    }
}

fn is_same_claim(held: &HeldClaim, stored: &[u8]) -> bool {
    serde_json::from_slice::<Claim>(stored)
        .is_ok_and(|c| c.nonce == held.claim.nonce && c.host == held.claim.host)
}

fn resolve_conflict(held: HeldClaim, stored: &[u8], revision: u64) -> ClaimOutcome {
    let Ok(stored) = serde_json::from_slice::<Claim>(stored) else {
        return ClaimOutcome::Refuse(platform_unavailable());
    };
    match resolve_claim(&stored, &held.claim) {
        ClaimResolution::Own => ClaimOutcome::Held(HeldClaim { revision, ..held }),
        ClaimResolution::Replay(response) => ClaimOutcome::Replay(response.clone()),
        ClaimResolution::Reject(refusal) => ClaimOutcome::Refuse(refusal),
    }
}

impl Service for ClaimService {
    const NAME: &'static str = "claims";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        let flush_loop = async {
            loop {
                self.flush_pending().await;
                let has_more = self.pending_write_count() > 0 && self.host.is_platform_up.get();
                let interval = if has_more {
                    FLUSH_INTERVAL / 10
                } else {
                    FLUSH_INTERVAL
                };
                compio::time::sleep(interval).await;
            }
        };
        let _ = cancel.run_until_cancelled(flush_loop).await;
        // A last round records the responses that callers already have.
        self.flush_pending().await;
    }
}
