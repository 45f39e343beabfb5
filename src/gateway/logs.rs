//! Log output that never blocks the event loop on standard output.
//!
//! Lines go to a bounded buffer, which a task writes out as fast as the reader
//! accepts data. Lines that do not fit are dropped and counted, and the count is
//! logged once the buffer has been written out.

use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rustix::fs::OFlags;
use tokio_util::sync::CancellationToken;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Largest number of buffered bytes.
const MAX_BUFFER_BYTES: usize = 256 * 1024;
/// Time between two writes.
const WRITE_INTERVAL: Duration = Duration::from_millis(100);
/// Largest write, and the capacity that an empty buffer keeps, in bytes.
const MAX_WRITE_BYTES: usize = 32 * 1024;

#[derive(Debug, Default)]
struct Buffer {
    bytes: VecDeque<u8>,
    dropped_lines: u64,
    reported_dropped_lines: u64,
}

/// Bounded buffer between the log and standard output.
#[derive(Clone, Debug, Default)]
pub struct LogBuffer(Arc<Mutex<Buffer>>);

impl LogBuffer {
    /// Installs the buffer as the destination of all log lines.
    pub fn install(&self) {
        let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
        let subscriber = tracing_subscriber::fmt()
            .json()
            .flatten_event(true)
            .with_target(false)
            .with_env_filter(filter);
        subscriber.with_writer(self.clone()).init();
        self.log_panics();
        if let Err(error) = set_nonblocking() {
            tracing::warn!(event = "logs", %error, "cannot set standard output to non-blocking mode; log writes may block");
        }
    }

    /// Installs a hook that logs a panic before the process ends.
    fn log_panics(&self) {
        let buffer = self.clone();
        std::panic::set_hook(Box::new(move |panic| {
            let location = panic.location().map(ToString::to_string);
            tracing::error!(event = "panic", place = location, message = %panic, "the process ends because of a panic");
            buffer.write_out();
        }));
    }

    /// Number of lines dropped since the start of the process.
    pub fn dropped_lines(&self) -> u64 {
        self.lock().dropped_lines
    }

    /// Writes the buffer out at intervals until cancelled, and once more after that.
    pub async fn run(self, cancel: CancellationToken) {
        while !cancel.is_cancelled() {
            self.write_out();
            let wait = compio::time::timeout(WRITE_INTERVAL, cancel.cancelled());
            // The loop condition distinguishes a timeout from a cancellation.
            let _ = wait.await;
        }
        self.write_out();
    }

    /// Writes as much of the buffer as the reader accepts without blocking.
    pub fn write_out(&self) {
        let mut buffer = self.lock();
        while !buffer.bytes.is_empty() {
            let written = {
                let (head, _) = buffer.bytes.as_slices();
                let length = head.len().min(MAX_WRITE_BYTES);
                rustix::io::write(rustix::stdio::stdout(), &head[..length])
            };
            match written {
                Ok(0) | Err(_) => return,
                Ok(count) => {
                    buffer.bytes.drain(..count);
                }
            }
        }
        // Releases the memory that a burst of lines has allocated.
        buffer.bytes.shrink_to(MAX_WRITE_BYTES);
        let dropped_lines = buffer.dropped_lines;
        let has_new_drops = dropped_lines > buffer.reported_dropped_lines;
        buffer.reported_dropped_lines = dropped_lines;
        drop(buffer);
        if has_new_drops {
            tracing::warn!(event = "logs", dropped_lines, "log lines were dropped");
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Buffer> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn set_nonblocking() -> io::Result<()> {
    let stdout = rustix::stdio::stdout();
    let flags = rustix::fs::fcntl_getfl(stdout)?;
    rustix::fs::fcntl_setfl(stdout, flags | OFlags::NONBLOCK)?;
    Ok(())
}

impl io::Write for LogBuffer {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let mut buffer = self.lock();
        if buffer.bytes.len() + line.len() > MAX_BUFFER_BYTES {
            buffer.dropped_lines += 1;
        } else {
            buffer.bytes.extend(line);
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

impl<'a> MakeWriter<'a> for LogBuffer {
    type Writer = Self;

    fn make_writer(&'a self) -> Self {
        self.clone()
    }
}
