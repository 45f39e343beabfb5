//! Memory and descriptors of a host for what grows with its callers: connections, requests in
//! progress, streams and the bytes of bodies.
//!
//! Load pattern: the callers of lost hosts turn to the remaining ones, upload large bodies at
//! the same time, or meet upstreams whose responses do not end. A process that exceeds its
//! memory is killed, and all its requests are lost with it. Everything is charged here before
//! it is taken, and what has no room is refused.
//!
//! New work has to leave room to complete the work in progress, and no purpose can take the
//! room of all others.

/// What is taken.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub enum Purpose {
    /// Connection of a caller or of another host.
    Connection,
    /// Connection to an upstream or another host that is kept for later requests.
    IdleConnection,
    /// Request in progress, with its connection to an upstream.
    Request,
    /// Body of a request.
    Body,
    /// Response that is being read, or events that wait for a slow caller.
    Response,
}

/// Ceilings of a purpose, in percent of a budget.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Ceilings {
    /// Part that all purposes together may have taken for this one to take more.
    total_percent: usize,
    /// Part that this purpose may take.
    own_percent: usize,
}

impl Purpose {
    /// All purposes.
    pub const ALL: [Self; 5] = [
        Self::Connection,
        Self::IdleConnection,
        Self::Request,
        Self::Body,
        Self::Response,
    ];

    /// Name in metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Connection => "connection",
            Self::IdleConnection => "idle_connection",
            Self::Request => "request",
            Self::Body => "body",
            Self::Response => "response",
        }
    }

    /// Descriptors that one hold takes.
    fn descriptors(self) -> usize {
        match self {
            Self::Connection | Self::IdleConnection | Self::Request => 1,
            Self::Body | Self::Response => 0,
        }
    }

    fn ceilings(self) -> Ceilings {
        let (total_percent, own_percent) = match self {
            Self::IdleConnection => (70, 25),
            Self::Body => (85, 45),
            Self::Connection => (90, 60),
            Self::Request => (90, 90),
            Self::Response => (100, 25),
        };
        Ceilings {
            total_percent,
            own_percent,
        }
    }
}

/// One budget and what is taken of it for each purpose.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
struct Budget {
    size: usize,
    used: [usize; Purpose::ALL.len()],
}

impl Budget {
    fn new(size: usize) -> Self {
        Self {
            size,
            used: [0; Purpose::ALL.len()],
        }
    }

    fn used(&self) -> usize {
        self.used.iter().sum()
    }

    fn has_room(&self, purpose: Purpose, amount: usize) -> bool {
        let Ceilings {
            total_percent,
            own_percent,
        } = purpose.ceilings();
        let part = |percent: usize| self.size / 100 * percent;
        self.used() + amount <= part(total_percent)
            && self.used[purpose as usize] + amount <= part(own_percent)
    }
}

/// Divisor of the memory of a process that gives the part that is not in the budget: its
/// program, its state and the gaps between allocations.
const RESERVED_DIVISOR: usize = 5;
/// Smallest part of the memory that is not in the budget, in bytes.
const RESERVED_BYTES: usize = 20 * 1024 * 1024;
/// Descriptors for files, listeners and the connections of control.
const RESERVED_DESCRIPTORS: usize = 350;

/// Account of one host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ResourceAccount {
    memory: Budget,
    descriptors: Budget,
}

impl ResourceAccount {
    /// Account of a process with an amount of memory and a number of descriptors.
    pub fn of_process(memory_bytes: usize, descriptors: usize) -> Self {
        let reserved_bytes = (memory_bytes / RESERVED_DIVISOR).max(RESERVED_BYTES);
        Self {
            memory: Budget::new(memory_bytes.saturating_sub(reserved_bytes)),
            descriptors: Budget::new(descriptors.saturating_sub(RESERVED_DESCRIPTORS)),
        }
    }

    /// Begins a hold without memory; false if there is no descriptor for it.
    pub fn try_begin(&mut self, purpose: Purpose) -> bool {
        let descriptors = purpose.descriptors();
        let has_room = descriptors == 0 || self.descriptors.has_room(purpose, descriptors);
        if has_room {
            self.descriptors.used[purpose as usize] += descriptors;
        }
        has_room
    }

    /// Takes memory for a hold; false if there is no room for it.
    pub fn try_grow(&mut self, purpose: Purpose, bytes: usize) -> bool {
        let has_room = bytes == 0 || self.memory.has_room(purpose, bytes);
        if has_room {
            self.memory.used[purpose as usize] += bytes;
        }
        has_room
    }

    /// Gives memory of a hold back.
    pub fn shrink(&mut self, purpose: Purpose, bytes: usize) {
        self.memory.used[purpose as usize] -= bytes;
    }

    /// Ends a hold that has given its memory back.
    pub fn end(&mut self, purpose: Purpose) {
        self.descriptors.used[purpose as usize] -= purpose.descriptors();
    }

    /// Memory that is taken for a purpose, in bytes.
    pub fn memory_bytes(&self, purpose: Purpose) -> usize {
        self.memory.used[purpose as usize]
    }

    /// Memory that is taken, in bytes.
    pub fn total_memory_bytes(&self) -> usize {
        self.memory.used()
    }

    /// Memory that can be taken, in bytes.
    pub fn memory_budget_bytes(&self) -> usize {
        self.memory.size
    }
}
