//! Stand-in for the weight store. Loads slow down when more run at once than the
//! store has slots, and loads beyond its budget are counted.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::Duration;

use currantcove::services::clock::Clock;

use super::plan::StorePlan;

/// Weight store with limited bandwidth.
#[derive(Debug)]
pub struct WeightStore {
    plan: StorePlan,
    clock: Clock,
    active_loads: Cell<u32>,
    active_adapter_loads: Cell<u32>,
    recent_starts_ms: RefCell<VecDeque<u64>>,
    over_budget_loads: Cell<u64>,
}

impl WeightStore {
    /// Store without active reads.
    pub fn new(plan: StorePlan) -> Self {
        Self {
            plan,
            clock: Clock::default(),
            active_loads: Cell::new(0),
            active_adapter_loads: Cell::new(0),
            recent_starts_ms: RefCell::default(),
            over_budget_loads: Cell::new(0),
        }
    }

    /// Number of loads that started while all slots were in use or the rate limit was
    /// exhausted.
    pub fn over_budget_loads(&self) -> u64 {
        self.over_budget_loads.get()
    }

    /// Simulates the read of a model's weights.
    pub async fn load(&self) {
        self.active_loads.set(self.active_loads.get() + 1);
        self.record_start();
        let slowdown = self.active_loads.get().div_ceil(self.plan.slots.max(1));
        compio::time::sleep(Duration::from_millis(self.plan.load_ms) * slowdown).await;
        self.active_loads.set(self.active_loads.get() - 1);
    }

    /// Simulates the read of an adapter.
    pub async fn load_adapter(&self) {
        self.active_adapter_loads
            .set(self.active_adapter_loads.get() + 1);
        let slowdown = self
            .active_adapter_loads
            .get()
            .div_ceil(self.plan.adapters_in_flight.max(1));
        compio::time::sleep(Duration::from_millis(self.plan.adapter_ms) * slowdown).await;
        self.active_adapter_loads
            .set(self.active_adapter_loads.get() - 1);
    }

    /// Counts a load that starts above the slots or the rate limit. The rate window is the
    /// time in which the rate limit allows as many starts as there are slots.
    fn record_start(&self) {
        let now_ms = self.clock.now_ms();
        let window_ms = 1000 * u64::from(self.plan.slots) / u64::from(self.plan.loads_per_s.max(1));
        let mut recent_starts_ms = self.recent_starts_ms.borrow_mut();
        recent_starts_ms.push_back(now_ms);
        while recent_starts_ms
            .front()
            .is_some_and(|&t| t + window_ms <= now_ms)
        {
            recent_starts_ms.pop_front();
        }
        let slots = self.plan.slots as usize;
        if self.active_loads.get() as usize > slots || recent_starts_ms.len() > slots {
            self.over_budget_loads.set(self.over_budget_loads.get() + 1);
        }
    }
}
