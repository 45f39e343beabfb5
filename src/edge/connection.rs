//! One HTTP client connection, and the kernel's timeout for bytes that its peer does not
//! acknowledge.
//!
//! The kernel counts the timeout from the last byte received, also while the connection
//! is idle, and ends the connection without a reset. A request on a connection that was
//! idle gets the whole timeout, so that the host can reset it first.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::TcpStream;
use cyper_core::HyperStream;
use hyper::client::conn::http1::{self, SendRequest};
use socket2::SockRef;

use super::pool::{RequestBody, USER_TIMEOUT, connect_tcp};

/// Granularity of timeouts; spares most requests a system call.
const TIMEOUT_STEP: Duration = Duration::from_millis(500);

/// HTTP connection to an upstream or the platform.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests.
    pub sender: SendRequest<RequestBody>,
    /// Empty once the connection has ended.
    socket: Rc<RefCell<Option<TcpStream>>>,
    user_timeout: Cell<Duration>,
}

impl Connection {
    /// Opens a connection that is reset when it is closed.
    pub async fn open(addr: SocketAddr) -> Option<Self> {
        let stream = connect_tcp(addr).await?;
        // Bytes of a request that was given up in a partition do not arrive when it heals.
        SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .ok()?;
        let socket = Rc::new(RefCell::new(Some(stream.clone())));
        let io = HyperStream::new_plain(stream);
        let (sender, connection) = http1::handshake(io).await.ok()?;
        let ended = Rc::clone(&socket);
        compio::runtime::spawn(async move {
            // `SendRequest` returns its own error when the connection fails. A shutdown
            // would send what is still unsent before the reset.
            let _ = connection.without_shutdown().await;
            ended.take();
        })
        .detach();
        Some(Self {
            sender,
            socket,
            user_timeout: Cell::new(USER_TIMEOUT),
        })
    }

    /// Gives the next request the whole of the kernel's timeout, after the connection was
    /// idle since a time.
    pub fn prepare(&self, idle_since: Instant) {
        let idle = idle_since.elapsed().as_millis() as u64;
        let steps = idle.div_ceil(TIMEOUT_STEP.as_millis() as u64);
        self.set_user_timeout(USER_TIMEOUT + TIMEOUT_STEP * steps as u32);
    }

    /// Counts the kernel's timeout from now on, as something was received.
    pub fn on_received(&self) {
        self.set_user_timeout(USER_TIMEOUT);
    }

    fn set_user_timeout(&self, timeout: Duration) {
        if self.user_timeout.replace(timeout) == timeout {
            return;
        }
        if let Some(socket) = self.socket.borrow().as_ref() {
            // Fails only once the connection has ended.
            let _ = SockRef::from(socket).set_tcp_user_timeout(Some(timeout));
        }
    }
}
