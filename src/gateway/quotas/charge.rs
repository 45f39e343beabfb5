//! Credit that one request has taken.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use tokio::sync::Notify;

use crate::core::ids::{HostId, OrganisationId};

/// Refusal of a request by its organisation's quota.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct QuotaRefusal {
    /// Time after which the caller is likely to be served, in milliseconds.
    pub retry_after_ms: u64,
    /// `over_quota`, or `quota_unknown` if no keeper has answered.
    pub reason: &'static str,
}

impl QuotaRefusal {
    /// HTTP status of the response.
    pub fn status(&self) -> u16 {
        match self.reason {
            "over_quota" => 429,
            _ => 503,
        }
    }
}

/// Credit to be given back.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct UnusedCredit {
    /// Organisation.
    pub organisation: OrganisationId,
    /// Keeper that has granted it.
    pub keeper: HostId,
    /// Mark of the grant.
    pub mark: u64,
    /// Units.
    pub amount: u64,
    /// True if it was granted ahead and not spent.
    pub is_ahead: bool,
}

/// Credit that is to be given back, until it is sent.
#[derive(Debug, Default)]
pub struct Refunds {
    unused: RefCell<Vec<UnusedCredit>>,
    /// Wakes the service that sends messages.
    pub wake: Notify,
}

impl Refunds {
    /// Adds credit.
    pub fn push(&self, unused: UnusedCredit) {
        self.unused.borrow_mut().push(unused);
        self.wake.notify_one();
    }

    /// Removes all credit.
    pub fn take(&self) -> Vec<UnusedCredit> {
        self.unused.take()
    }
}

/// Credit of a request; given back when dropped, unless the request was sent.
#[derive(Debug)]
pub struct QuotaCharge {
    refunds: Rc<Refunds>,
    credit: RefCell<Option<UnusedCredit>>,
    is_sent: Cell<bool>,
}

impl QuotaCharge {
    pub(super) fn new(refunds: &Rc<Refunds>, credit: UnusedCredit) -> Self {
        Self {
            refunds: Rc::clone(refunds),
            credit: RefCell::new(Some(credit)),
            is_sent: Cell::new(false),
        }
    }

    /// Records whether an upstream may run the request.
    pub fn set_sent(&self, is_sent: bool) {
        self.is_sent.set(is_sent);
    }

    /// Spends the credit: the request was sent.
    pub fn keep(self) {
        self.is_sent.set(true);
    }
}

impl Drop for QuotaCharge {
    fn drop(&mut self) {
        if !self.is_sent.get()
            && let Some(credit) = self.credit.take()
        {
            self.refunds.push(credit);
        }
    }
}
