//! One HTTP client connection, and the kernel's timeout for bytes that its peer does not
//! acknowledge.
//!
//! The kernel counts the timeout also while the connection is idle, and ends the connection
//! without a reset. A connection that is kept idle has a longer timeout, so that the host
//! can reset a request that is sent at the end of that time before the kernel gives up.

use std::cell::{Cell, RefCell};
use std::collections::VecDeque;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};

use compio::net::TcpStream;
use hyper::client::conn::http1::{self, SendRequest};
use socket2::SockRef;

use super::pool::{RequestBody, USER_TIMEOUT, connect_tcp, set_timeouts};
use super::wire::{WireMeter, WireStream};
use crate::core::rendezvous::hash;

/// Maximum size of a response head, and of the read buffer of a connection.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Largest number of bytes between two parts of a body that only frame it.
const MAX_FRAMING_BYTES: usize = 32 * 1024;

/// Refused requests that a connection remembers; an extra refusal is of a recent one.
const MAX_REFUSED: usize = 32;

/// Identifies the requests with the same ID.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct RequestTag(u64);

impl RequestTag {
    /// Tag of the requests with an ID.
    pub fn of(request_id: &str) -> Self {
        Self(hash(request_id))
    }
}

/// HTTP connection to an upstream or the platform.
#[derive(Debug)]
pub struct Connection {
    /// Sends requests.
    pub sender: SendRequest<RequestBody>,
    /// Counts and limits the bytes of the response that is expected.
    pub meter: Arc<WireMeter>,
    /// Empty once the connection has ended.
    socket: Rc<RefCell<Option<TcpStream>>>,
    user_timeout: Cell<Duration>,
    /// Requests that were refused on this connection, the latest last.
    refused: RefCell<VecDeque<RequestTag>>,
    /// Time at which it was open; the process at its other end runs since then or longer.
    pub opened: Instant,
}

impl Connection {
    /// Opens a connection that is reset when it is closed.
    pub async fn open(addr: SocketAddr) -> Option<Self> {
        let stream = connect_tcp(addr).await?;
        let opened = Instant::now();
        // Bytes of a request that was given up in a partition do not arrive when it heals.
        SockRef::from(&stream)
            .set_linger(Some(Duration::ZERO))
            .ok()?;
        let socket = Rc::new(RefCell::new(Some(stream.clone())));
        let meter = Arc::new(WireMeter::default());
        let io = WireStream::new(stream, Arc::clone(&meter)).ok()?;
        let handshake = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(io);
        let (sender, connection) = handshake.await.ok()?;
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
            meter,
            socket,
            user_timeout: Cell::new(USER_TIMEOUT),
            refused: RefCell::default(),
            opened,
        })
    }

    /// Limits the bytes up to the end of the next response head, interim responses included.
    pub fn expect_head(&self) {
        self.meter.allow(MAX_HEAD_BYTES);
    }

    /// Limits the bytes up to the next part of the response body; the library may have read
    /// ahead.
    pub fn expect_body_part(&self) {
        self.meter.allow(MAX_HEAD_BYTES + MAX_FRAMING_BYTES);
    }

    /// Records that a request was refused on this connection.
    pub fn record_refusal(&self, tag: RequestTag) {
        let mut refused = self.refused.borrow_mut();
        if refused.len() == MAX_REFUSED {
            refused.pop_front();
        }
        refused.push_back(tag);
    }

    /// True if a request with the same ID was refused on this connection: an extra copy
    /// of that refusal would be taken for the response to the next one.
    pub fn has_refused(&self, tag: RequestTag) -> bool {
        self.refused.borrow().contains(&tag)
    }

    /// Lets the kernel end the connection only after a time without a request and the
    /// whole timeout for the next one.
    pub fn allow_idle(&self, idle_timeout: Duration) {
        self.set_user_timeout(idle_timeout + USER_TIMEOUT);
    }

    /// Lets the kernel end the connection within the timeout, since its peer has the
    /// request and sends its response.
    pub fn expect_response_body(&self) {
        self.set_user_timeout(USER_TIMEOUT);
    }

    fn set_user_timeout(&self, timeout: Duration) {
        if self.user_timeout.replace(timeout) == timeout {
            return;
        }
        if let Some(socket) = self.socket.borrow().as_ref() {
            // Fails only once the connection has ended.
            let _ = set_timeouts(&SockRef::from(socket), timeout);
        }
    }
}
