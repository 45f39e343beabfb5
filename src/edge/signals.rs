//! Signals that the process receives.
//!
//! Fault: a signal arrives while the process handles the one before. A listener of the
//! runtime ends with its signal, and without another one the signal's default action is in
//! force again, which ends the process.
//!
//! Each signal therefore has two listeners, which are replaced one after the other, so that
//! one of them is registered at any time.

use std::future::poll_fn;
use std::io;
use std::task::{Context, Poll};

use futures_util::FutureExt;
use futures_util::future::LocalBoxFuture;

type Listener = LocalBoxFuture<'static, io::Result<()>>;

/// Registers a listener for a signal; true if the signal has arrived meanwhile.
fn register(number: i32) -> io::Result<(Listener, bool)> {
    let mut has_arrived = false;
    loop {
        let mut listener = compio::signal::unix::signal(number).boxed_local();
        // The first poll installs the handler.
        match (&mut listener).now_or_never() {
            Some(Err(error)) => return Err(error),
            Some(Ok(())) => has_arrived = true,
            None => return Ok((listener, has_arrived)),
        }
    }
}

/// Listeners for one signal.
struct Signal {
    number: i32,
    listener: Listener,
    /// Is registered while the other one is replaced.
    reserve: Listener,
    has_arrived: bool,
}

impl Signal {
    fn listen(number: i32) -> io::Result<Self> {
        let (listener, has_arrived) = register(number)?;
        Ok(Self {
            number,
            listener,
            reserve: register(number)?.0,
            has_arrived,
        })
    }

    fn poll(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.listener.poll_unpin(cx).is_ready() {
            self.listener = register(self.number)?.0;
            self.has_arrived = true;
        }
        if self.reserve.poll_unpin(cx).is_ready() {
            let (reserve, has_arrived) = register(self.number)?;
            self.reserve = reserve;
            self.has_arrived |= has_arrived;
        }
        if std::mem::take(&mut self.has_arrived) {
            return Poll::Ready(Ok(()));
        }
        Poll::Pending
    }
}

/// Signals that are listened for until this is dropped.
pub struct Signals(Vec<Signal>);

impl Signals {
    /// Listens for signals from now on.
    pub fn listen(numbers: &[i32]) -> io::Result<Self> {
        let signals = numbers.iter().map(|&number| Signal::listen(number));
        Ok(Self(signals.collect::<io::Result<_>>()?))
    }

    /// Waits for the next signal since the last call; several may count as one.
    pub async fn next(&mut self) -> io::Result<()> {
        poll_fn(|cx| {
            let mut polled = self.0.iter_mut().map(|signal| signal.poll(cx));
            polled.find(Poll::is_ready).unwrap_or(Poll::Pending)
        })
        .await
    }
}
