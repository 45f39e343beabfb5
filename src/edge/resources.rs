//! Holds on the resource account of the host, released when they are dropped.

use std::cell::{Cell, RefCell};
use std::rc::Rc;

use crate::core::resource_account::{Purpose, ResourceAccount};

/// Resource account that the parts of a host share.
#[derive(Clone, Debug)]
pub struct Resources(Rc<State>);

#[derive(Debug)]
struct State {
    account: RefCell<ResourceAccount>,
    refusals: Cell<u64>,
}

/// There is no room for what is to be taken.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NoRoom;

impl Resources {
    /// Shares an account.
    pub fn new(account: ResourceAccount) -> Self {
        Self(Rc::new(State {
            account: RefCell::new(account),
            refusals: Cell::new(0),
        }))
    }

    /// Takes memory for a purpose.
    pub fn hold(&self, purpose: Purpose, memory_bytes: usize) -> Result<Hold, NoRoom> {
        if !self.0.account.borrow_mut().try_begin(purpose) {
            return Err(self.refuse());
        }
        let mut hold = self.empty_hold(purpose);
        hold.has_begun = true;
        hold.grow_to(memory_bytes)?;
        Ok(hold)
    }

    /// Hold that takes no descriptor, and no memory yet.
    pub fn empty_hold(&self, purpose: Purpose) -> Hold {
        Hold {
            resources: self.clone(),
            purpose,
            has_begun: false,
            memory_bytes: 0,
        }
    }

    /// State of the account.
    pub fn account(&self) -> ResourceAccount {
        *self.0.account.borrow()
    }

    /// Number of times that there was no room.
    pub fn refusals(&self) -> u64 {
        self.0.refusals.get()
    }

    fn refuse(&self) -> NoRoom {
        self.0.refusals.set(self.0.refusals.get() + 1);
        NoRoom
    }
}

/// What is taken until this is dropped.
#[derive(Debug)]
pub struct Hold {
    resources: Resources,
    purpose: Purpose,
    /// True if it takes the descriptors of its purpose.
    has_begun: bool,
    memory_bytes: usize,
}

impl Hold {
    /// Takes memory until it has this much.
    pub fn grow_to(&mut self, memory_bytes: usize) -> Result<(), NoRoom> {
        let more_bytes = memory_bytes.saturating_sub(self.memory_bytes);
        let mut account = self.resources.0.account.borrow_mut();
        if !account.try_grow(self.purpose, more_bytes) {
            drop(account);
            return Err(self.resources.refuse());
        }
        self.memory_bytes += more_bytes;
        Ok(())
    }

    /// Gives all but this much memory back.
    pub fn shrink_to(&mut self, memory_bytes: usize) {
        let released_bytes = self.memory_bytes.saturating_sub(memory_bytes);
        let mut account = self.resources.0.account.borrow_mut();
        account.shrink(self.purpose, released_bytes);
        self.memory_bytes -= released_bytes;
    }

    /// Memory that is taken.
    pub fn memory_bytes(&self) -> usize {
        self.memory_bytes
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.shrink_to(0);
        if self.has_begun {
            self.resources.0.account.borrow_mut().end(self.purpose);
        }
    }
}
