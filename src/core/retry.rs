//! Retry budgets.
//!
//! Load pattern: when an upstream fails, retries add to the load. They are
//! limited by a token bucket: each first attempt adds a fraction of a retry,
//! and each retry removes a whole one, so that retries stay a small share of
//! the traffic. Once a byte may have been sent, only idempotent requests are
//! retried.

/// Share of first attempts that may be retried, in per mille.
pub const RETRY_SHARE_PERMILLE: u32 = 100;
/// Capacity of the bucket, in retries.
pub const MAX_AVAILABLE_RETRIES: u32 = 10;
/// Cost of one retry, in the unit of the bucket.
const RETRY_COST_PERMILLE: u32 = 1000;

/// Token bucket of one team or service, in thousandths of a retry.
#[derive(Clone, Debug)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
pub struct RetryBudget {
    available_permille: u32,
    refill_permille: u32,
    capacity_permille: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(
            RETRY_SHARE_PERMILLE,
            MAX_AVAILABLE_RETRIES * RETRY_COST_PERMILLE,
        )
    }
}

impl RetryBudget {
    /// Full bucket with the given refill per first attempt and the given
    /// capacity, both in thousandths of a retry.
    pub fn new(share_permille: u32, max_permille: u32) -> Self {
        Self {
            available_permille: max_permille,
            refill_permille: share_permille,
            capacity_permille: max_permille,
        }
    }

    /// Changes the capacity, in thousandths of a retry; tokens beyond it are
    /// discarded.
    pub fn set_capacity(&mut self, max_permille: u32) {
        self.capacity_permille = max_permille;
        self.available_permille = self.available_permille.min(max_permille);
    }

    /// Number of retries available.
    pub fn available_retries(&self) -> u32 {
        self.available_permille / RETRY_COST_PERMILLE
    }

    /// Adds the refill of a first attempt.
    pub fn on_first_attempt(&mut self) {
        let refilled_permille = self.available_permille + self.refill_permille;
        self.available_permille = refilled_permille.min(self.capacity_permille);
    }

    /// Removes the cost of one retry; false if the budget is exhausted.
    pub fn try_retry(&mut self) -> bool {
        let Some(remaining_permille) = self.available_permille.checked_sub(RETRY_COST_PERMILLE)
        else {
            return false;
        };
        self.available_permille = remaining_permille;
        true
    }
}

/// Progress of a failed attempt.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum AttemptProgress {
    /// No byte can have reached the upstream.
    NotSent,
    /// Bytes may have reached the upstream; none were returned to the caller.
    Sent,
    /// Part of the response has been returned to the caller.
    Responding,
}

/// True if another attempt is allowed after `progress`.
pub fn is_retry_allowed(progress: AttemptProgress, is_idempotent: bool, can_resume: bool) -> bool {
    match progress {
        AttemptProgress::NotSent => true,
        AttemptProgress::Sent => is_idempotent,
        AttemptProgress::Responding => is_idempotent && can_resume,
    }
}
