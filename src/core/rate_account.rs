//! Accounts of the requests that upstreams in need take from all hosts together.
//!
//! Load pattern: a few hosts or hundreds send requests to an upstream that takes one or
//! two a second. Equal shares would leave most of its rate unused, or let every host
//! send one request at once.
//!
//! One host of the fleet keeps the account of an upstream and permits each request right
//! before it is sent. If it does not answer, another host stands in with half the rate,
//! so that both together exceed the stated rate by a half at most. A new account starts
//! empty, since its predecessor may just have permitted requests.

use std::collections::HashMap;

use serde::{Deserialize, Serialize};

use super::ids::{HostId, UpstreamId};
use super::rendezvous;

/// Requests that may be permitted at once after a pause.
const CAPACITY: f64 = 2.0;
/// Requests a second that show whether an upstream still states that it takes none.
const MIN_PER_S: f64 = 0.2;
/// Longest time after which a host asks again, in milliseconds; the upstream may restart
/// or need no limit any more.
const MAX_RETRY_MS: u64 = 2_000;

/// Part of a host in keeping an account.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub enum Keeping {
    /// Permits the stated rate.
    #[serde(rename = "k")]
    Keeper,
    /// Permits half the rate to hosts that the keeper does not answer.
    #[serde(rename = "s")]
    StandIn,
}

/// Purpose of a request to an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum Purpose {
    /// Request of a caller.
    #[serde(rename = "r")]
    Caller,
    /// Order or report, which takes only what callers leave.
    #[serde(rename = "o")]
    Control,
}

/// Rate of an upstream's incarnation as known to the host that asks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AccountRate {
    /// Start of the incarnation.
    pub started_ms: u64,
    /// Thousandths of a request per second.
    pub per_mille_s: u32,
    /// Time at which the upstream last stated it.
    pub stated_ms: u64,
}

/// Answer to a host that asks.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Permit {
    /// The request may be sent now.
    Granted,
    /// It may not; the host may ask again after a time.
    Denied {
        /// Time in milliseconds.
        retry_in_ms: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Account {
    rate: AccountRate,
    /// Requests that may be permitted.
    balance: f64,
    refilled_ms: u64,
}

impl Account {
    fn refill(&mut self, now_ms: u64, keeping: Keeping) {
        let elapsed_s = now_ms.saturating_sub(self.refilled_ms) as f64 / 1_000.0;
        let gained = elapsed_s * permitted_per_s(self.rate, keeping);
        self.refilled_ms = now_ms;
        self.balance = (self.balance + gained).min(CAPACITY);
    }
}

/// Requests a second that an account permits.
fn permitted_per_s(rate: AccountRate, keeping: Keeping) -> f64 {
    let stated_per_s = f64::from(rate.per_mille_s) / 1_000.0;
    let per_s = stated_per_s.max(MIN_PER_S);
    match keeping {
        Keeping::Keeper => per_s,
        Keeping::StandIn => per_s / 2.0,
    }
}

/// Accounts that one host keeps.
#[derive(Clone, Debug, Default)]
pub struct RateAccounts {
    accounts: HashMap<(UpstreamId, Keeping), Account>,
}

impl RateAccounts {
    /// Permits a request to an upstream if its rate allows it.
    pub fn try_take(
        &mut self,
        now_ms: u64,
        upstream: &UpstreamId,
        rate: AccountRate,
        keeping: Keeping,
        purpose: Purpose,
    ) -> Permit {
        let key = (upstream.clone(), keeping);
        let account = self.accounts.entry(key).or_insert(Account {
            rate,
            balance: 0.0,
            refilled_ms: now_ms,
        });
        account.refill(now_ms, keeping);
        if rate.started_ms > account.rate.started_ms {
            account.balance = 0.0;
        }
        let known = (account.rate.started_ms, account.rate.stated_ms);
        if (rate.started_ms, rate.stated_ms) > known {
            account.rate = rate;
        }
        let needed = match purpose {
            Purpose::Caller => 1.0,
            Purpose::Control => CAPACITY,
        };
        if account.balance >= needed {
            account.balance -= 1.0;
            return Permit::Granted;
        }
        let missing = needed - account.balance;
        let retry_in_ms = missing * 1_000.0 / permitted_per_s(account.rate, keeping);
        Permit::Denied {
            retry_in_ms: (retry_in_ms.ceil() as u64).clamp(1, MAX_RETRY_MS),
        }
    }

    /// Drops the accounts of an upstream that is gone.
    pub fn remove(&mut self, upstream: &UpstreamId) {
        self.accounts.retain(|(id, _), _| id != upstream);
    }
}

/// Hosts that keep the account of an upstream and stand in for its keeper; all hosts
/// with the same list agree.
pub fn keepers_of<'a>(
    upstream: &UpstreamId,
    hosts: impl Iterator<Item = &'a HostId>,
) -> Vec<(Keeping, &'a HostId)> {
    let hosts: Vec<&HostId> = hosts.collect();
    let keeper = rendezvous::pick(upstream.as_str(), hosts.iter().copied());
    let others = hosts.iter().copied().filter(|h| Some(*h) != keeper);
    let stand_in = rendezvous::pick(upstream.as_str(), others);
    let keeper = keeper.map(|h| (Keeping::Keeper, h));
    let stand_in = stand_in.map(|h| (Keeping::StandIn, h));
    keeper.into_iter().chain(stand_in).collect()
}
