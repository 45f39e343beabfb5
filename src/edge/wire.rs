//! TCP connection as the HTTP library reads and writes it.
//!
//! Bytes are read when the socket has some, straight into the library's buffer, so that a
//! connection holds no buffers of its own. A peer that sends without a pause gets a limited
//! number of bytes in each turn of the event loop; then other connections and the timers have
//! theirs. All bytes count against the meter's limit, also those that frame a body: the HTTP
//! library skips some of them without a limit for as long as there are bytes to read.

use std::io::{self, IoSlice, Read, Write};
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll, ready};

use compio::net::TcpStream;
use compio::runtime::fd::PollFd;
use hyper::rt::ReadBufCursor;
use send_wrapper::SendWrapper;
use socket2::Socket;

/// Largest number of bytes of one read.
const READ_BYTES: usize = 16 * 1024;
/// Bytes and reads of one connection in one turn of the event loop.
const TURN_BYTES: usize = 64 * 1024;
const TURN_READS: u32 = 16;

/// Counts the bytes that a connection receives, and limits them.
#[derive(Debug)]
pub struct WireMeter {
    received_bytes: AtomicU64,
    limit_bytes: AtomicU64,
}

impl Default for WireMeter {
    fn default() -> Self {
        Self {
            received_bytes: AtomicU64::new(0),
            limit_bytes: AtomicU64::new(u64::MAX),
        }
    }
}

impl WireMeter {
    /// Bytes received since the start of the connection.
    pub fn received_bytes(&self) -> u64 {
        self.received_bytes.load(Ordering::Relaxed)
    }

    /// Lets the connection receive a number of bytes from now on. It fails when it reads
    /// more.
    pub fn allow(&self, more_bytes: usize) {
        let limit_bytes = self.received_bytes().saturating_add(more_bytes as u64);
        self.limit_bytes.store(limit_bytes, Ordering::Relaxed);
    }

    /// Removes the limit.
    pub fn allow_any(&self) {
        self.limit_bytes.store(u64::MAX, Ordering::Relaxed);
    }

    fn is_spent(&self) -> bool {
        self.received_bytes() >= self.limit_bytes.load(Ordering::Relaxed)
    }

    fn record(&self, bytes: usize) {
        self.received_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// What a connection may still read before others have their turn.
#[derive(Clone, Copy, Debug)]
struct Turn {
    bytes_left: usize,
    reads_left: u32,
}

impl Turn {
    const FULL: Self = Self {
        bytes_left: TURN_BYTES,
        reads_left: TURN_READS,
    };

    fn is_over(self) -> bool {
        self.bytes_left == 0 || self.reads_left == 0
    }

    fn record(&mut self, bytes: usize) {
        self.bytes_left = self.bytes_left.saturating_sub(bytes);
        self.reads_left = self.reads_left.saturating_sub(1);
    }
}

/// Connection for the HTTP library.
#[derive(Debug)]
pub struct WireStream {
    // The HTTP library requires connections that may be upgraded to be `Send`.
    socket: SendWrapper<PollFd<Socket>>,
    meter: Arc<WireMeter>,
    turn: Turn,
}

impl WireStream {
    /// Wraps a connection whose received bytes are counted by a meter.
    pub fn new(stream: TcpStream, meter: Arc<WireMeter>) -> io::Result<Self> {
        Ok(Self {
            socket: SendWrapper::new(stream.into_poll_fd()?),
            meter,
            turn: Turn::FULL,
        })
    }

    fn poll_write_with(
        &self,
        cx: &mut Context<'_>,
        write: impl Fn(&mut &Socket) -> io::Result<usize>,
    ) -> Poll<io::Result<usize>> {
        loop {
            let mut socket: &Socket = &self.socket;
            match write(&mut socket) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    ready!(self.socket.poll_write_ready(cx))?;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                written => return Poll::Ready(written),
            }
        }
    }
}

impl hyper::rt::Read for WireStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        if self.meter.is_spent() {
            return Poll::Ready(Err(io::ErrorKind::FileTooLarge.into()));
        }
        if self.turn.is_over() {
            self.turn = Turn::FULL;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let mut bytes = [0; READ_BYTES];
        let bytes = &mut bytes[..buf.remaining().min(READ_BYTES)];
        loop {
            let mut socket: &Socket = &self.socket;
            match socket.read(bytes) {
                Ok(count) => {
                    buf.put_slice(&bytes[..count]);
                    self.meter.record(count);
                    self.turn.record(count);
                    return Poll::Ready(Ok(()));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.turn = Turn::FULL;
                    ready!(self.socket.poll_read_ready(cx))?;
                }
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }
}

impl hyper::rt::Write for WireStream {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |socket| socket.write(buf))
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.poll_write_with(cx, |socket| socket.write_vectored(bufs))
    }

    fn is_write_vectored(&self) -> bool {
        true
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.socket.shutdown(Shutdown::Write))
    }
}
