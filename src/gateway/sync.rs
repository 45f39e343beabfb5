//! Mirrors the platform's store: configuration, upstreams and hosts.
//!
//! A single watch over all keys costs one call per batch of changes. After an
//! error or a compaction, and when the store was restored from an older copy, all
//! keys are read again. Revisions are never compared across a restore.
//!
//! In a large fleet most hosts follow instead (`core::store_relay`): they receive
//! the changes from the watching hosts of their zone and read the store only if
//! they miss something.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use futures_util::FutureExt;
use tokio_util::sync::CancellationToken;

use super::platform::{FleetStore, Platform, WatchResponse};
use super::state::Gateway;
use super::store_facts::RevisedFact;
use crate::core::store_era::Era;
use crate::core::store_relay::{Position, RelayTimes};
use crate::edge::kv::KvError;
use crate::kernel::Service;

/// Time between two checks of a follower whether it must read the store.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(50);

/// Service that mirrors the store.
#[derive(Debug)]
pub struct StoreSync<P: Platform> {
    gateway: Rc<Gateway<P>>,
    /// Era of the last complete listing.
    era: Cell<Option<Era>>,
}

/// Why a follower stops to follow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum FollowEnd {
    /// It misses something since its position.
    Poll,
    /// It needs a complete listing.
    List,
}

impl<P: Platform> StoreSync<P> {
    /// Creates the service on the shared state.
    pub fn new(gateway: Rc<Gateway<P>>) -> Self {
        Self {
            gateway,
            era: Cell::new(None),
        }
    }

    /// Reads all keys, then applies changes until all keys must be read again.
    async fn mirror(&self) -> Result<(), KvError> {
        self.list().await?;
        let mut was_follower = false;
        loop {
            if self.gateway.is_store_watcher() {
                if was_follower {
                    // Followers do not know everything that a watching host needs.
                    return Ok(());
                }
            } else {
                was_follower = true;
                if self.follow().await == FollowEnd::List {
                    return Ok(());
                }
            }
            if !self.poll().await? {
                return Ok(());
            }
        }
    }

    async fn list(&self) -> Result<(), KvError> {
        let gateway = &self.gateway;
        let store = gateway.platform.store();
        let requested_ms = gateway.now_ms();
        let snapshot = store.list(P::WATCH_PREFIX).await?;
        gateway.on_store_response();
        // Before the first listing there are no entries that could have lapsed.
        if gateway.record_store_state(true, "read") && gateway.is_synced.get() {
            gateway.on_store_returned();
        }
        let era = store.era();
        if self.era.replace(Some(era)).is_some_and(|last| last != era) {
            gateway.on_store_restored();
        }
        gateway.apply_snapshot(&snapshot.kvs, era, gateway.lapse_until_ms());
        let position = Position {
            era,
            revision: snapshot.revision,
        };
        gateway.confirm_position(position, Some(requested_ms));
        Ok(())
    }

    /// Applies what watching hosts pass on until this host must read the store.
    async fn follow(&self) -> FollowEnd {
        let gateway = &self.gateway;
        let store = gateway.platform.store();
        loop {
            let position = gateway.position.get();
            if store.era() != position.era || gateway.is_store_watcher() {
                return FollowEnd::List;
            }
            let follower = gateway.follower.get();
            if follower.must_read(gateway.now_ms(), gateway.relay_times().max_silence) {
                return FollowEnd::Poll;
            }
            compio::time::sleep(FOLLOW_INTERVAL).await;
        }
    }

    /// Waits for changes and applies them; false if all keys must be read again.
    async fn poll(&self) -> Result<bool, KvError> {
        let gateway = &self.gateway;
        let store = gateway.platform.store();
        let position = gateway.position.get();
        let Position { era, revision } = position;
        let times = gateway.relay_times();
        let is_relaying = gateway.is_large_fleet();
        let (wait, pause) = if is_relaying {
            (times.watch_wait, times.batch_pause)
        } else {
            let bounds = gateway.settings().silence_bounds();
            (bounds.watch_wait(), bounds.batch_pause())
        };
        let requested_ms = gateway.now_ms();
        let response = futures_util::select_biased! {
            () = store.until_era_after(era).fuse() => return Ok(false),
            response = store.poll_changes(P::WATCH_PREFIX, revision, wait).fuse() => response?,
        };
        if store.era() != era {
            return Ok(false);
        }
        gateway.on_store_response();
        let WatchResponse::Changes {
            changes,
            revision: confirmed,
        } = response
        else {
            tracing::info!(event = "store", what = "history_lost", after = revision);
            return Ok(false);
        };
        let facts: Vec<RevisedFact> = changes
            .into_iter()
            .filter_map(|change| gateway.decode_change(change))
            .collect();
        let until = Position {
            era,
            revision: confirmed.max(revision),
        };
        if is_relaying && gateway.is_store_watcher() {
            gateway.relay_changes(position, until, requested_ms, &facts);
        }
        let is_idle = facts.is_empty();
        for fact in facts {
            gateway.apply_fact(fact, era, None);
        }
        gateway.confirm_position(until, Some(requested_ms));
        gateway.admission_queue.borrow().wake();
        if !is_idle {
            compio::time::sleep(pause).await;
        }
        Ok(true)
    }
}

impl<P: Platform> Gateway<P> {
    /// Time limits of relaying.
    pub fn relay_times(&self) -> RelayTimes {
        RelayTimes::within(self.settings().change_bound())
    }
}

impl<P: Platform> Service for StoreSync<P> {
    const NAME: &'static str = "gateway-sync";

    async fn run(self: Rc<Self>, cancel: CancellationToken) {
        let mut pause = Duration::ZERO;
        loop {
            let started_ms = self.gateway.now_ms();
            let result = futures_util::select_biased! {
                () = cancel.cancelled().fuse() => return,
                result = self.mirror().fuse() => result,
            };
            let bounds = self.gateway.settings().silence_bounds();
            let min_pause = bounds.min_retry_delay();
            pause = match result {
                Ok(()) => min_pause,
                Err(error) => {
                    let was_up = self.gateway.is_store_up.get();
                    self.gateway.on_store_unreached(started_ms);
                    self.gateway.record_store_state(false, error.as_str());
                    if was_up {
                        min_pause
                    } else {
                        (pause * 2).min(bounds.max_retry_delay())
                    }
                }
            };
            // Jitter spreads the retries of hosts that lost the store at the
            // same time.
            let max_jitter_ms = min_pause.as_millis() as usize;
            let jitter_ms = self.gateway.rng.borrow_mut().below(max_jitter_ms.max(1)) as u64;
            compio::time::sleep(pause + Duration::from_millis(jitter_ms)).await;
        }
    }
}
