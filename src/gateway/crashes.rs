//! Recognises that an upstream has ended under the requests that it was running.
//!
//! A response that breaks off has many causes. The upstream counts as ended only if its
//! port refuses connections right afterwards, although the store lists it and it has not
//! stated that it leaves.

use std::cell::RefCell;
use std::collections::{BTreeMap, HashMap};
use std::rc::Rc;
use std::time::Duration;

use super::call::RoutedRequest;
use super::platform::Platform;
use super::state::Gateway;
use crate::core::ids::UpstreamId;
use crate::core::request_traits::{Fingerprint, RequestTraits};
use crate::edge::pool::{self, PortState};

/// Time over which the requests that break off at one upstream are collected.
const COLLECT_TIME: Duration = Duration::from_millis(50);
/// Age of a response at which its request did not crash the upstream.
pub const SOUND_AFTER_MS: u64 = 1_500;
/// Prompt parts named in one log line.
const MAX_LOGGED_PARTS: usize = 8;

/// Requests that broke off, by upstream.
#[derive(Debug, Default)]
pub struct CrashDesk {
    broken_off: RefCell<HashMap<UpstreamId, Vec<RequestTraits>>>,
}

impl<P: Platform> Gateway<P> {
    /// Records that the response to a request broke off; `responding_since_ms` is the time
    /// of its first event.
    pub fn on_broken_off(
        self: &Rc<Self>,
        upstream: &UpstreamId,
        request: &RoutedRequest,
        responding_since_ms: Option<u64>,
    ) {
        let now_ms = self.now_ms();
        let is_suspect = responding_since_ms.is_none_or(|at| now_ms < at + SOUND_AFTER_MS);
        let mut broken_off = self.crashes.broken_off.borrow_mut();
        let is_first = !broken_off.contains_key(upstream);
        let suspects = broken_off.entry(upstream.clone()).or_default();
        if is_suspect {
            suspects.push(request.traits.clone());
        }
        drop(broken_off);
        if is_first {
            let gateway = Rc::clone(self);
            let upstream = upstream.clone();
            compio::runtime::spawn(async move { gateway.check_ended(&upstream).await }).detach();
        }
    }

    async fn check_ended(&self, upstream: &UpstreamId) {
        compio::time::sleep(COLLECT_TIME).await;
        let suspects = self.crashes.broken_off.borrow_mut().remove(upstream);
        let suspects = suspects.unwrap_or_default();
        let addr = {
            let registry = self.registry.borrow();
            let entry = registry.get(upstream.as_str());
            entry.filter(|e| !e.is_draining).map(|e| e.addr)
        };
        let Some(addr) = addr else {
            return;
        };
        if pool::probe(addr).await != PortState::Refuses {
            return;
        }
        self.metrics.upstreams_ended.inc();
        tracing::info!(
            event = "upstream",
            upstream = %upstream,
            change = "ended",
            suspects = suspects.len(),
            parts = part_counts(&suspects),
        );
    }
}

/// Most frequent prompt parts of requests with their counts.
fn part_counts(requests: &[RequestTraits]) -> String {
    let mut counts: BTreeMap<Fingerprint, usize> = BTreeMap::new();
    for part in requests.iter().flat_map(|r| &r.parts) {
        *counts.entry(*part).or_default() += 1;
    }
    let mut counts: Vec<_> = counts.into_iter().collect();
    counts.sort_by_key(|(_, count)| std::cmp::Reverse(*count));
    let texts = counts.iter().take(MAX_LOGGED_PARTS);
    let texts: Vec<String> = texts.map(|(part, n)| format!("{part}:{n}")).collect();
    texts.join(",")
}
