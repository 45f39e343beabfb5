//! Claims on idempotency keys, kept in the platform's service.
//!
//! The decision about a key found claimed is `core::claim::on_found`; this
//! service makes the writes and finishes in the background what an outage
//! interrupted.

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

/// Prefix of all claims.
pub const CLAIMS_PREFIX: &str = "/currantcove/claims/";
/// When to come back if the platform cannot record a key, in milliseconds.
const PLATFORM_RETRY_MS: u64 = 1_000;
/// Time for which one lease is used for new claims.
const LEASE_USE_MS: u64 = 60 * 60 * 1000;
/// Pause between rounds of unfinished writes.
const FINISH_PAUSE: Duration = Duration::from_millis(500);
/// Unfinished writes kept; the oldest are dropped, which leaves claims whose
/// outcome stays unknown.
const MAX_UNFINISHED: usize = 16_384;
/// Rounds after which a write that cannot be found is taken for lost.
const MAX_FINISH_ROUNDS: u32 = 240;

/// Claim that stands in this host's name.
#[derive(Clone, Debug)]
pub struct Held {
    key: String,
    revision: u64,
    lease: i64,
    claim: Claim,
}

/// Result of claiming a key.
#[derive(Debug)]
pub enum Claimed {
    /// This host may send the request once.
    Held(Held),
    /// The request was answered before.
    Replay(RecordedResponse),
    /// The request is refused.
    Refuse(Refusal),
}

#[derive(Clone, Debug)]
enum Finish {
    /// Store the answer.
    Record,
    /// Delete the claim; no byte has left.
    Withdraw,
}

#[derive(Clone, Debug)]
struct Unfinished {
    held: Held,
    finish: Finish,
    rounds: u32,
}

/// Service that makes and finishes claims.
#[derive(Debug)]
pub struct ClaimService {
    host: Rc<Host>,
    lease: Cell<Option<(i64, u64)>>,
    unfinished: RefCell<VecDeque<Unfinished>>,
}

/// SHA-256 of what makes two requests the same.
pub fn fingerprint(method: &str, path: &str, body: &[u8]) -> [u8; 32] {
    let mut hasher = Sha256::new();
    hasher.update(method);
    hasher.update([0]);
    hasher.update(path);
    hasher.update([0]);
    hasher.update(body);
    hasher.finalize().into()
}

fn storage_key(team: &TeamId, idempotency_key: &[u8]) -> String {
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
    .retry_after_ms(PLATFORM_RETRY_MS)
}

impl ClaimService {
    /// Service over the shared state.
    pub fn new(host: Rc<Host>) -> Self {
        Self {
            host,
            lease: Cell::new(None),
            unfinished: RefCell::default(),
        }
    }

    /// Claims a key for one request.
    pub async fn claim(
        &self,
        team: &TeamId,
        idempotency_key: &[u8],
        fingerprint_sha256: [u8; 32],
    ) -> Claimed {
        let Ok(lease) = self.current_lease().await else {
            return Claimed::Refuse(platform_unavailable());
        };
        let claim = Claim {
            nonce: self.host.rng.borrow_mut().next_u64(),
            host: self.host.settings.host.clone(),
            fingerprint_sha256,
            recorded: None,
        };
        let held = Held {
            key: storage_key(team, idempotency_key),
            revision: 0,
            lease,
            claim,
        };
        match self.write(&held).await {
            Ok(CasOutcome::Written(revision)) => Claimed::Held(Held { revision, ..held }),
            Ok(CasOutcome::Conflict(Some(kv))) => decide(held, &kv.value, kv.mod_revision),
            Ok(CasOutcome::Conflict(None)) | Err(KvError::NotSent | KvError::Refused) => {
                Claimed::Refuse(platform_unavailable())
            }
            Err(KvError::Unknown) => self.read_back(held).await,
        }
    }

    /// Records the answer of a claimed request.
    pub fn record(&self, mut held: Held, answer: RecordedResponse) {
        held.claim.recorded = Some(answer);
        self.push(held, Finish::Record);
    }

    /// Gives a claim back whose request has not been sent.
    pub fn withdraw(&self, held: Held) {
        self.push(held, Finish::Withdraw);
    }

    /// Writes not finished yet.
    pub fn unfinished(&self) -> usize {
        self.unfinished.borrow().len()
    }

    async fn current_lease(&self) -> Result<i64, KvError> {
        let now_ms = self.host.clock.now_ms();
        if let Some((lease, until_ms)) = self.lease.get()
            && now_ms < until_ms
        {
            return Ok(lease);
        }
        let lease = self
            .host
            .kv
            .grant(CLAIM_TTL_S + LEASE_USE_MS / 1000)
            .await?;
        self.lease.set(Some((lease, now_ms + LEASE_USE_MS)));
        Ok(lease)
    }

    async fn write(&self, held: &Held) -> Result<CasOutcome, KvError> {
        let value = serde_json::to_vec(&held.claim).map_err(|_| KvError::NotSent)?;
        let cas = Cas {
            key: held.key.clone(),
            expected_revision: held.revision,
            value: Some(value),
            lease: held.lease,
        };
        self.host.kv.cas(cas).await
    }

    /// Finds out what became of a write whose answer was lost.
    async fn read_back(&self, held: Held) -> Claimed {
        match self.host.kv.get(&held.key).await {
            Ok(Some(kv)) => decide(held, &kv.value, kv.mod_revision),
            // The write may still take effect; it must not block the key.
            Ok(None) | Err(_) => {
                self.withdraw(held);
                Claimed::Refuse(platform_unavailable())
            }
        }
    }

    fn push(&self, held: Held, finish: Finish) {
        let mut unfinished = self.unfinished.borrow_mut();
        if unfinished.len() == MAX_UNFINISHED {
            unfinished.pop_front();
        }
        unfinished.push_back(Unfinished {
            held,
            finish,
            rounds: 0,
        });
    }

    async fn finish_all(&self) {
        let round = std::mem::take(&mut *self.unfinished.borrow_mut());
        let mut is_up = true;
        for mut item in round {
            if is_up {
                match self.finish(&item).await {
                    Ok(true) => continue,
                    Ok(false) => item.rounds += 1,
                    Err(_) => is_up = false,
                }
            }
            if item.rounds < MAX_FINISH_ROUNDS {
                self.unfinished.borrow_mut().push_back(item);
            }
        }
    }

    /// True once nothing is left to do for the item.
    async fn finish(&self, item: &Unfinished) -> Result<bool, KvError> {
        let held = &item.held;
        let value = match item.finish {
            Finish::Record => serde_json::to_vec(&held.claim).ok(),
            Finish::Withdraw => None,
        };
        let mut expected_revision = held.revision;
        if expected_revision == 0 {
            let Some(kv) = self.host.kv.get(&held.key).await? else {
                return Ok(false);
            };
            if !is_own(held, &kv.value) {
                return Ok(true);
            }
            expected_revision = kv.mod_revision;
        }
        let key = held.key.clone();
        // A conflict means that the value is no longer this attempt's claim,
        // or that an earlier try took effect.
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

fn is_own(held: &Held, found: &[u8]) -> bool {
    serde_json::from_slice::<Claim>(found)
        .is_ok_and(|c| c.nonce == held.claim.nonce && c.host == held.claim.host)
}

fn decide(held: Held, found: &[u8], revision: u64) -> Claimed {
    let Ok(found) = serde_json::from_slice::<Claim>(found) else {
        return Claimed::Refuse(platform_unavailable());
    };
    match resolve_claim(&found, &held.claim) {
        ClaimResolution::Own => Claimed::Held(Held { revision, ..held }),
        ClaimResolution::Replay(answer) => Claimed::Replay(answer.clone()),
        ClaimResolution::Reject(refusal) => Claimed::Refuse(refusal),
    }
}

impl Service for ClaimService {
    const NAME: &'static str = "claims";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        let finish = async {
            loop {
                self.finish_all().await;
                let has_more = self.unfinished() > 0 && self.host.is_platform_up.get();
                let pause = if has_more {
                    FINISH_PAUSE / 10
                } else {
                    FINISH_PAUSE
                };
                compio::time::sleep(pause).await;
            }
        };
        let _ = cancel.run_until_cancelled(finish).await;
        // One last round, so that answers given to callers are kept.
        self.finish_all().await;
    }
}
