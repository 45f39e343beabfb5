//! Log lines on standard output that never block the loop.
//!
//! Lines go to a bounded buffer. A task writes the buffer out as fast as the
//! reader takes it; lines that do not fit are counted and the count is logged
//! once there is room again.

use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use rustix::fs::OFlags;
use tokio_util::sync::CancellationToken;
use tracing_subscriber::EnvFilter;
use tracing_subscriber::fmt::MakeWriter;

/// Most bytes that wait for the reader.
const BUFFER_BYTES: usize = 256 * 1024;
/// Pause between two writes.
const WRITE_PAUSE: Duration = Duration::from_millis(100);
/// Most bytes of one write.
const CHUNK_BYTES: usize = 32 * 1024;

#[derive(Debug, Default)]
struct Buffer {
    bytes: VecDeque<u8>,
    dropped_lines: u64,
    reported_lines: u64,
}

/// Buffer between the log and its reader.
#[derive(Clone, Debug, Default)]
pub struct LogBuffer(Arc<Mutex<Buffer>>);

impl LogBuffer {
    /// Installs the buffer as the target of all log lines.
    pub fn install(&self) {
        let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("info"));
        let logs = tracing_subscriber::fmt()
            .json()
            .flatten_event(true)
            .with_target(false)
            .with_env_filter(filter);
        logs.with_writer(self.clone()).init();
        self.log_panics();
        if let Err(error) = set_nonblocking() {
            tracing::warn!(event = "logs", %error, "standard output may block");
        }
    }

    /// Logs a panic before the process ends by it.
    fn log_panics(&self) {
        let buffer = self.clone();
        std::panic::set_hook(Box::new(move |panic| {
            let place = panic.location().map(ToString::to_string);
            tracing::error!(event = "panic", place, message = %panic, "a bug ends the process");
            buffer.write_out();
        }));
    }

    /// Lines dropped so far.
    pub fn dropped_lines(&self) -> u64 {
        self.lock().dropped_lines
    }

    /// Writes out what is buffered until cancelled, then what is left.
    pub async fn run(self, cancel: CancellationToken) {
        while !cancel.is_cancelled() {
            self.write_out();
            let pause = compio::time::timeout(WRITE_PAUSE, cancel.cancelled());
            // Both ways to end the pause lead on.
            let _ = pause.await;
        }
        self.write_out();
    }

    /// Writes what the reader takes now.
    pub fn write_out(&self) {
        let mut buffer = self.lock();
        while !buffer.bytes.is_empty() {
            let chunk = {
                let (first, _) = buffer.bytes.as_slices();
                let length = first.len().min(CHUNK_BYTES);
                rustix::io::write(rustix::stdio::stdout(), &first[..length])
            };
            match chunk {
                Ok(0) | Err(_) => return,
                Ok(written) => {
                    buffer.bytes.drain(..written);
                }
            }
        }
        // A burst must not keep its memory.
        buffer.bytes.shrink_to(CHUNK_BYTES);
        let dropped_lines = buffer.dropped_lines;
        let is_new = dropped_lines > buffer.reported_lines;
        buffer.reported_lines = dropped_lines;
        drop(buffer);
        if is_new {
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
        if buffer.bytes.len() + line.len() > BUFFER_BYTES {
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
