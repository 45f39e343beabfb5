//! Questions that tasks of this host have sent to other hosts, and their answers.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::time::Duration;

use tokio::sync::oneshot;

/// Open questions of one kind, by ticket.
#[derive(Debug)]
pub struct Questions<T> {
    open: RefCell<HashMap<u64, oneshot::Sender<T>>>,
    last_ticket: Cell<u64>,
}

impl<T> Default for Questions<T> {
    fn default() -> Self {
        Self {
            open: RefCell::default(),
            last_ticket: Cell::new(0),
        }
    }
}

/// Forgets a question when the task that asked ends, also early.
struct OpenQuestion<'a, T> {
    questions: &'a Questions<T>,
    ticket: u64,
}

impl<T> Drop for OpenQuestion<'_, T> {
    fn drop(&mut self) {
        self.questions.open.borrow_mut().remove(&self.ticket);
    }
}

impl<T> Questions<T> {
    /// Number that no other question has.
    pub fn reserve(&self) -> u64 {
        let ticket = self.last_ticket.get() + 1;
        self.last_ticket.set(ticket);
        ticket
    }

    /// Sends a question, by a function of its ticket, and waits for the answer; `None` if
    /// there is none in time.
    pub async fn ask(&self, timeout: Duration, send: impl FnOnce(u64)) -> Option<T> {
        let (sender, answer) = oneshot::channel();
        let ticket = self.reserve();
        self.open.borrow_mut().insert(ticket, sender);
        let _open = OpenQuestion {
            questions: self,
            ticket,
        };
        send(ticket);
        compio::time::timeout(timeout, answer).await.ok()?.ok()
    }

    /// Passes an answer to the task that asked; false if none waits for it.
    pub fn answer(&self, ticket: u64, answer: T) -> bool {
        let sender = self.open.borrow_mut().remove(&ticket);
        sender.is_some_and(|sender| sender.send(answer).is_ok())
    }
}
