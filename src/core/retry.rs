//! Retry budgets.
//!
//! First attempts fill a bucket slowly and retries empty it, so that retries
//! stay a small share of the traffic when an upstream fails. Only idempotent
//! requests are retried after a byte may have left.

/// Share of first attempts that may be retried, per mille.
pub const RETRY_SHARE_PERMILLE: u32 = 100;
/// Most retries that can be saved up.
pub const MAX_SAVED_RETRIES: u32 = 10;
/// Cost of one retry in the unit of the bucket.
const RETRY_COST_PERMILLE: u32 = 1000;

/// Token bucket of one team or service; all in thousandths of a retry.
#[derive(Clone, Debug)]
#[expect(clippy::struct_field_names, reason = "fields carry their unit")]
pub struct RetryBudget {
    saved_permille: u32,
    fill_permille: u32,
    limit_permille: u32,
}

impl Default for RetryBudget {
    fn default() -> Self {
        Self::new(
            RETRY_SHARE_PERMILLE,
            MAX_SAVED_RETRIES * RETRY_COST_PERMILLE,
        )
    }
}

impl RetryBudget {
    /// Full bucket that first attempts fill by a share each, up to a maximum;
    /// both in thousandths of a retry.
    pub fn new(share_permille: u32, max_permille: u32) -> Self {
        Self {
            saved_permille: max_permille,
            fill_permille: share_permille,
            limit_permille: max_permille,
        }
    }

    /// Changes the maximum; what is saved beyond it is lost.
    pub fn set_max(&mut self, max_permille: u32) {
        self.limit_permille = max_permille;
        self.saved_permille = self.saved_permille.min(max_permille);
    }

    /// Retries that are left.
    pub fn left(&self) -> u32 {
        self.saved_permille / RETRY_COST_PERMILLE
    }

    /// Counts a first attempt.
    pub fn on_first_attempt(&mut self) {
        let filled = self.saved_permille + self.fill_permille;
        self.saved_permille = filled.min(self.limit_permille);
    }

    /// Takes the cost of one retry; false if the budget is spent.
    pub fn try_retry(&mut self) -> bool {
        let Some(rest) = self.saved_permille.checked_sub(RETRY_COST_PERMILLE) else {
            return false;
        };
        self.saved_permille = rest;
        true
    }
}

/// How far an attempt got.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Progress {
    /// No byte can have reached the upstream.
    NotSent,
    /// Bytes may have reached the upstream; nothing was given to the caller.
    Sent,
    /// The caller has part of the answer.
    Answering,
}

/// True if another attempt is allowed after `progress`.
pub fn may_retry(progress: Progress, is_idempotent: bool, can_resume: bool) -> bool {
    match progress {
        Progress::NotSent => true,
        Progress::Sent => is_idempotent,
        Progress::Answering => is_idempotent && can_resume,
    }
}
