//! What is known of whether a request has run, and the promise that it has not.
//!
//! Load pattern: under faults and overload, many requests are refused within seconds, and
//! callers repeat at once what was refused with a promise. A single wrong promise makes a
//! request run twice that may run once.
//!
//! An attempt counts as having run the request from its beginning, until evidence shows the
//! contrary. Only [`NotRunEvidence`] settles an attempt, and only a request of which every
//! attempt is settled yields a [`NotRunPromise`], without which no response bears a status
//! that promises.

use std::cell::Cell;

/// True if a response with a status promises that the request has not run and never will.
pub fn is_promise(status: u16) -> bool {
    matches!(status, 408 | 421 | 429 | 503)
}

/// Shows that an attempt did not run the request and never will.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NotRunEvidence(Basis);

/// What the evidence consists in.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Basis {
    NotConnected,
    NothingSent,
    Stated,
    NotAccepted,
}

impl NotRunEvidence {
    /// There was no connection. For the code that opens connections only.
    pub(crate) fn not_connected() -> Self {
        Self(Basis::NotConnected)
    }

    /// No byte was sent. For the code that writes to connections only.
    pub(crate) fn nothing_sent() -> Self {
        Self(Basis::NothingSent)
    }

    /// The receiver states it of the request with the ID `stated`; `None` unless that is
    /// this request, as an extra response may stand where the next one is expected.
    pub fn stated(stated: Option<&str>, request_id: &str) -> Option<Self> {
        (stated == Some(request_id)).then_some(Self(Basis::Stated))
    }

    /// Another host of this system states that it has not accepted the request; hosts send
    /// no extra responses. For the code that sends requests to other hosts only.
    pub(crate) fn not_accepted() -> Self {
        Self(Basis::NotAccepted)
    }
}

/// A request has not run and never will; obtained from [`Execution::promise`] only.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NotRunPromise(());

/// Attempts of one request that may have run it.
#[derive(Debug, Default)]
pub struct Execution {
    unsettled: Cell<u32>,
}

impl Execution {
    /// Begins an attempt, which counts as having run the request unless it is settled.
    pub fn begin_attempt(&self) -> Attempt<'_> {
        self.unsettled.set(self.unsettled.get() + 1);
        Attempt(self)
    }

    /// True if an attempt may have run the request.
    pub fn may_have_run(&self) -> bool {
        self.unsettled.get() > 0
    }

    /// The promise that the request has not run, if all attempts are settled.
    pub fn promise(&self) -> Option<NotRunPromise> {
        (!self.may_have_run()).then_some(NotRunPromise(()))
    }
}

/// Attempt that counts as having run its request, also after it is dropped.
#[derive(Debug)]
#[must_use]
pub struct Attempt<'a>(&'a Execution);

impl Attempt<'_> {
    /// Records evidence that the attempt did not run the request.
    pub fn settle(self, _evidence: NotRunEvidence) {
        self.0.unsettled.set(self.0.unsettled.get() - 1);
    }
}

/// Status of a response that a host gives itself.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LocalStatus {
    code: u16,
    promise: Option<NotRunPromise>,
}

impl LocalStatus {
    /// Status that promises that the request has not run.
    pub fn refused(status: u16, promise: NotRunPromise) -> Self {
        Self {
            code: status,
            promise: Some(promise),
        }
    }

    /// Status that promises nothing; 502 in place of one that does.
    pub fn other(status: u16) -> Self {
        Self {
            code: if is_promise(status) { 502 } else { status },
            promise: None,
        }
    }

    /// Number.
    pub fn code(self) -> u16 {
        self.code
    }

    /// The promise that it gives.
    pub fn promise(self) -> Option<NotRunPromise> {
        self.promise
    }
}
