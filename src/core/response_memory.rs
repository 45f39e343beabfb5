//! Memory for responses that are read completely before they are forwarded.
//!
//! Fault: many upstreams at once send bodies that do not end. Each may be as large as
//! the largest response, and all together would exceed the memory of the host. Every
//! response may hold a small part of its own, so that usual ones are always read; what
//! exceeds it comes from a budget that all share.

/// Part of a response that does not count against the budget, in bytes.
pub const UNCOUNTED_BYTES: usize = 64 * 1024;

/// Budget of all responses that are being read.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResponseMemory {
    budget_bytes: usize,
    used_bytes: usize,
}

impl ResponseMemory {
    /// Unused budget.
    pub fn new(budget_bytes: usize) -> Self {
        Self {
            budget_bytes,
            used_bytes: 0,
        }
    }

    /// Lets a response that holds some bytes hold more; false if there is no memory for
    /// them.
    pub fn grow(&mut self, held_bytes: usize, more_bytes: usize) -> bool {
        let charge = counted_bytes(held_bytes + more_bytes) - counted_bytes(held_bytes);
        if self.used_bytes + charge > self.budget_bytes {
            return false;
        }
        self.used_bytes += charge;
        true
    }

    /// Releases what a response held.
    pub fn release(&mut self, held_bytes: usize) {
        self.used_bytes -= counted_bytes(held_bytes);
    }
}

fn counted_bytes(held_bytes: usize) -> usize {
    held_bytes.saturating_sub(UNCOUNTED_BYTES)
}
