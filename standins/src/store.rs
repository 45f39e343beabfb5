//! Stand-in for the weight store: it slows down above its slots, and counts
//! what goes over its budget.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::time::Duration;

use currantcove::services::clock::Clock;

use super::plan::StorePlan;

/// The store.
#[derive(Debug)]
pub struct Store {
    plan: StorePlan,
    clock: Clock,
    loads: Cell<u32>,
    adapters: Cell<u32>,
    starts_ms: RefCell<VecDeque<u64>>,
    over_budget: Cell<u64>,
}

impl Store {
    /// Idle store.
    pub fn new(plan: StorePlan) -> Self {
        Self {
            plan,
            clock: Clock::default(),
            loads: Cell::new(0),
            adapters: Cell::new(0),
            starts_ms: RefCell::default(),
            over_budget: Cell::new(0),
        }
    }

    /// Loads that began while all slots were in use or the rate was spent.
    pub fn over_budget(&self) -> u64 {
        self.over_budget.get()
    }

    /// Reads the weights of a model.
    pub async fn load(&self) {
        self.loads.set(self.loads.get() + 1);
        self.count_start();
        let factor = self.loads.get().div_ceil(self.plan.slots.max(1));
        compio::time::sleep(Duration::from_millis(self.plan.load_ms) * factor).await;
        self.loads.set(self.loads.get() - 1);
    }

    /// Reads an adapter.
    pub async fn load_adapter(&self) {
        self.adapters.set(self.adapters.get() + 1);
        let factor = self
            .adapters
            .get()
            .div_ceil(self.plan.adapters_in_flight.max(1));
        compio::time::sleep(Duration::from_millis(self.plan.adapter_ms) * factor).await;
        self.adapters.set(self.adapters.get() - 1);
    }

    /// The rate is counted over the time in which the slots may start once.
    fn count_start(&self) {
        let now_ms = self.clock.now_ms();
        let window_ms = 1000 * u64::from(self.plan.slots) / u64::from(self.plan.loads_per_s.max(1));
        let mut starts_ms = self.starts_ms.borrow_mut();
        starts_ms.push_back(now_ms);
        while starts_ms.front().is_some_and(|&t| t + window_ms <= now_ms) {
            starts_ms.pop_front();
        }
        let slots = self.plan.slots as usize;
        if self.loads.get() as usize > slots || starts_ms.len() > slots {
            self.over_budget.set(self.over_budget.get() + 1);
        }
    }
}
