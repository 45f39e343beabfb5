//! Micro-kernel: a registry of named services that run on one event loop.
//!
//! The kernel does not depend on what a service does. Each service is
//! registered under its name, finds the others by name and type while the
//! process starts, and runs until its cancellation token is cancelled. Look-ups
//! happen at start only; the request path uses the typed handles they return.

use std::any::Any;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

use compio::runtime::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Named component with a task of its own.
pub trait Service: 'static {
    /// Name in the registry.
    const NAME: &'static str;

    /// Runs until cancelled.
    fn run(self: Rc<Self>, cancel: CancellationToken) -> impl Future<Output = ()>;
}

/// No service is registered under that name and type.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NotRegistered(&'static str);

impl fmt::Display for NotRegistered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "service {:?} is not registered", self.0)
    }
}

impl std::error::Error for NotRegistered {}

/// Registry of the services of a process, and their tasks.
#[derive(Debug, Default)]
pub struct Kernel {
    services: RefCell<BTreeMap<&'static str, Rc<dyn Any>>>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
    cancel: CancellationToken,
}

impl Kernel {
    /// Registers a service under its name; replaces an earlier one.
    pub fn register<S: Service>(&self, service: S) -> Rc<S> {
        let service = Rc::new(service);
        let any: Rc<dyn Any> = Rc::clone(&service) as Rc<dyn Any>;
        self.services.borrow_mut().insert(S::NAME, any);
        service
    }

    /// Returns a registered service.
    pub fn find<S: Service>(&self) -> Result<Rc<S>, NotRegistered> {
        let found = self.services.borrow().get(S::NAME).cloned();
        let found = found.ok_or(NotRegistered(S::NAME))?;
        found.downcast().map_err(|_| NotRegistered(S::NAME))
    }

    /// Spawns the task of a registered service.
    pub fn start<S: Service>(&self) -> Result<(), NotRegistered> {
        let service = self.find::<S>()?;
        let cancel = self.cancel.child_token();
        let task = compio::runtime::spawn(service.run(cancel));
        self.tasks.borrow_mut().push(task);
        Ok(())
    }

    /// Cancels all tasks and waits for their end.
    pub async fn stop(&self) {
        self.cancel.cancel();
        let tasks = std::mem::take(&mut *self.tasks.borrow_mut());
        for task in tasks {
            // The panic of a task was logged when it occurred.
            let _ = task.await;
        }
    }
}
