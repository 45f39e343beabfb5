//! Times at which one process is known to have run at an address.
//!
//! A connection belongs to one process, from its opening until the latest response on it.
//! One process at a time accepts connections at an address, so that connections with a
//! moment in common belong to the same process.
//!
//! Load pattern: streams begin on connections that were opened long before, or on new ones
//! beside others that are still in use, such as after a response that closes its connection.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// Time for which the process of an address that responds to nothing is remembered.
const MEMORY: Duration = Duration::from_secs(10);

/// Times between which a process has certainly run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Span {
    from: Instant,
    until: Instant,
}

impl Span {
    fn overlaps(&self, other: &Self) -> bool {
        self.from <= other.until && other.from <= self.until
    }

    fn union(&self, other: &Self) -> Self {
        Self {
            from: self.from.min(other.from),
            until: self.until.max(other.until),
        }
    }
}

/// Latest process known at each address.
#[derive(Clone, Debug, Default)]
pub struct ProcessSpans {
    latest: HashMap<SocketAddr, Span>,
}

impl ProcessSpans {
    /// Records that the process of a connection has run from one time to another; returns
    /// the earliest time at which it is known to have run.
    pub fn record(&mut self, addr: SocketAddr, from: Instant, until: Instant) -> Instant {
        let seen = Span { from, until };
        let latest = self.latest.entry(addr).or_insert(seen);
        if latest.overlaps(&seen) {
            *latest = latest.union(&seen);
            return latest.from;
        }
        if latest.until < seen.until {
            *latest = seen;
        }
        from
    }

    /// Forgets the addresses that have not responded for some time.
    pub fn forget_silent(&mut self, now: Instant) {
        self.latest.retain(|_, span| now < span.until + MEMORY);
    }
}
