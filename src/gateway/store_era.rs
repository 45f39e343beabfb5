//! Era of the store as seen by one host, with a notification of a new one.

use std::cell::Cell;

use tokio::sync::Notify;

use crate::core::store_era::{Era, EraChange, EraTracker};

/// Latest era in the responses of the store.
#[derive(Debug, Default)]
pub struct EraSignal {
    tracker: Cell<EraTracker>,
    advanced: Notify,
}

impl EraSignal {
    /// Latest era.
    pub fn current(&self) -> Era {
        self.tracker.get().current()
    }

    /// Records the era of a response; false if the response is of an earlier era
    /// and must be ignored.
    pub fn accept(&self, era: Era) -> bool {
        let mut tracker = self.tracker.get();
        let change = tracker.observe(era);
        self.tracker.set(tracker);
        match change {
            EraChange::Current => true,
            EraChange::Advanced { from } => {
                tracing::warn!(
                    event = "store",
                    what = "restored",
                    era = era.0,
                    from = from.0
                );
                self.advanced.notify_waiters();
                true
            }
            EraChange::Outdated => {
                tracing::warn!(event = "store", what = "outdated_response", era = era.0);
                false
            }
        }
    }

    /// Waits until the era is another than `era`.
    pub async fn until_after(&self, era: Era) {
        loop {
            let advanced = self.advanced.notified();
            if self.current() != era {
                return;
            }
            advanced.await;
        }
    }
}
