//! Micro-kernel: services on one loop, found by name.
//!
//! The kernel knows nothing of what services do. Each is registered under
//! its name, finds the others by name and type while the process starts, and
//! runs until its cancellation token fires. Look-ups happen at start only;
//! the request path uses the typed handles they return.

use std::any::Any;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::fmt;
use std::rc::Rc;

use compio::runtime::JoinHandle;
use tokio_util::sync::CancellationToken;

/// Part of the process with a name and a task of its own.
pub trait Service: 'static {
    /// Name under which others find it.
    const NAME: &'static str;

    /// Runs until cancelled.
    fn run(self: Rc<Self>, cancel: CancellationToken) -> impl Future<Output = ()>;
}

/// No service of that name and type.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct NotRegistered(&'static str);

impl fmt::Display for NotRegistered {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "service {:?} is not registered", self.0)
    }
}

impl std::error::Error for NotRegistered {}

/// Registry and tasks of one process.
#[derive(Debug, Default)]
pub struct Kernel {
    services: RefCell<BTreeMap<&'static str, Rc<dyn Any>>>,
    tasks: RefCell<Vec<JoinHandle<()>>>,
    cancel: CancellationToken,
}

impl Kernel {
    /// Registers a service under its name.
    pub fn register<S: Service>(&self, service: S) -> Rc<S> {
        let service = Rc::new(service);
        let any: Rc<dyn Any> = Rc::clone(&service) as Rc<dyn Any>;
        self.services.borrow_mut().insert(S::NAME, any);
        service
    }

    /// Finds a registered service.
    pub fn find<S: Service>(&self) -> Result<Rc<S>, NotRegistered> {
        let found = self.services.borrow().get(S::NAME).cloned();
        let found = found.ok_or(NotRegistered(S::NAME))?;
        found.downcast().map_err(|_| NotRegistered(S::NAME))
    }

    /// Starts the task of a registered service.
    pub fn start<S: Service>(&self) -> Result<(), NotRegistered> {
        let service = self.find::<S>()?;
        let cancel = self.cancel.child_token();
        let task = compio::runtime::spawn(service.run(cancel));
        self.tasks.borrow_mut().push(task);
        Ok(())
    }

    /// Cancels all services and waits for them.
    pub async fn stop(&self) {
        self.cancel.cancel();
        let tasks = std::mem::take(&mut *self.tasks.borrow_mut());
        for task in tasks {
            // A task that panicked has already logged its reason.
            let _ = task.await;
        }
    }
}
