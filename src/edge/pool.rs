//! Pool of HTTP client connections per address.
//!
//! The error of a failed request states whether any byte of it may have been sent,
//! which decides between the outcomes `not_run` and `unknown`. A connection returns
//! to the pool only after its response was read to the end. Dropping a response
//! early closes its connection, which cancels the request at the server.

use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::io::util::Splittable;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, HeaderMap};
use hyper::{Request, Response};
use socket2::{SockRef, TcpKeepalive};

use super::head_limit::{HeadLimit, HeadLimitedReader};

/// Timeout of a connection attempt.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDR: usize = 1024;
/// Idle time after which a connection is not reused, unless the server's
/// `Keep-Alive` header states a timeout; servers commonly close idle connections
/// after five seconds or more.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Margin subtracted from the server's idle timeout, so that the client closes
/// first; covers the network latency and the whole-second resolution of the
/// `Keep-Alive` header.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle time before the first TCP keepalive probe, and interval between probes; a
/// peer that lost power is detected after a few seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Unacknowledged keepalive probes after which the kernel closes a connection.
const KEEPALIVE_PROBES: u32 = 3;

/// Maximum size of a response head, and of the read buffer of a connection.
const MAX_HEAD_BYTES: usize = 64 * 1024;

/// Body of a request to an upstream or the platform.
pub type RequestBody = Full<Bytes>;

/// Error of a request without a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendError {
    /// No connection was established.
    NotConnected,
    /// No byte of the request was sent.
    NotSent,
    /// Part or all of the request may have been sent.
    MaybeSent,
}

/// Sending side of a connection.
#[derive(Debug)]
struct ConnectionSender {
    requests: SendRequest<RequestBody>,
    head_limit: Rc<HeadLimit>,
}

/// Connection without a request in progress.
#[derive(Debug)]
struct IdleConnection {
    sender: ConnectionSender,
    usable_until: Instant,
}

/// Connection pool; clones share their connections.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    connections: Rc<Cell<u64>>,
}

impl Pool {
    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<RequestBody>,
    ) -> Result<Response<PooledBody>, SendError> {
        self.send_if(addr, request, || true).await
    }

    /// Sends a request if `is_still_allowed` holds after the connection is
    /// established, which can take up to [`CONNECT_TIMEOUT`].
    pub async fn send_if(
        &self,
        addr: SocketAddr,
        mut request: Request<RequestBody>,
        is_still_allowed: impl Fn() -> bool,
    ) -> Result<Response<PooledBody>, SendError> {
        loop {
            let (mut sender, is_reused) = match self.checkout(addr).await {
                Some(sender) => (sender, true),
                None => (self.connect(addr).await?, false),
            };
            if !is_still_allowed() {
                return Err(SendError::NotSent);
            }
            sender.head_limit.start();
            let sent = sender.requests.try_send_request(request).await;
            sender.head_limit.stop();
            match sent {
                Ok(response) => return Ok(self.wrap_response(addr, sender, response)),
                Err(mut error) => match error.take_message() {
                    Some(message) if is_reused => request = message,
                    Some(_) => return Err(SendError::NotSent),
                    None => return Err(SendError::MaybeSent),
                },
            }
        }
    }

    async fn connect(&self, addr: SocketAddr) -> Result<ConnectionSender, SendError> {
        let sender = connect(addr).await.ok_or(SendError::NotConnected)?;
        self.connections.set(self.connections.get() + 1);
        Ok(sender)
    }

    /// Number of connections established so far.
    pub fn connection_count(&self) -> u64 {
        self.connections.get()
    }

    async fn checkout(&self, addr: SocketAddr) -> Option<ConnectionSender> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(&addr)?.pop()?;
            let mut sender = idle.sender;
            let is_usable = Instant::now() < idle.usable_until && !sender.requests.is_closed();
            if is_usable && sender.requests.ready().await.is_ok() {
                return Some(sender);
            }
        }
    }

    /// Closes the idle connections that have expired.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|i| now < i.usable_until && !i.sender.requests.is_closed());
            !idle.is_empty()
        });
    }

    /// Closes all idle connections to an address.
    pub fn close_idle(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    /// Closes all idle connections.
    pub fn close_all_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    fn wrap_response(
        &self,
        addr: SocketAddr,
        sender: ConnectionSender,
        response: Response<Incoming>,
    ) -> Response<PooledBody> {
        let idle_timeout = idle_timeout(response.headers());
        response.map(|body| {
            let mut pooled = PooledBody {
                body,
                addr,
                sender: Some(sender),
                idle_timeout,
                pool: self.clone(),
            };
            if pooled.body.is_end_stream() {
                pooled.release();
            }
            pooled
        })
    }

    fn check_in(&self, addr: SocketAddr, sender: ConnectionSender, idle_timeout: Duration) {
        let mut idle_connections = self.idle.borrow_mut();
        let connections = idle_connections.entry(addr).or_default();
        if connections.len() < MAX_IDLE_PER_ADDR {
            connections.push(IdleConnection {
                sender,
                usable_until: Instant::now() + idle_timeout,
            });
        }
    }
}

/// Time for which a connection may be idle after a response.
fn idle_timeout(headers: &HeaderMap) -> Duration {
    let is_closing = headers
        .get(CONNECTION)
        .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    if is_closing {
        return Duration::ZERO;
    }
    let keep_alive = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let timeout_s = keep_alive.and_then(|text| {
        let mut parameters = text.split(',').map(str::trim);
        parameters.find_map(|p| p.strip_prefix("timeout=")?.parse().ok())
    });
    timeout_s.map_or(DEFAULT_IDLE_TIMEOUT, |s| {
        Duration::from_secs(s).saturating_sub(IDLE_MARGIN)
    })
}

/// Whether a process accepts connections at an address.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PortState {
    /// A connection was established.
    Accepts,
    /// The machine refuses connections: no process listens there.
    Refuses,
    /// There was no answer.
    Silent,
}

/// Opens a connection to learn whether a process accepts it, and closes it.
pub async fn probe(addr: SocketAddr) -> PortState {
    match compio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr)).await {
        Ok(Ok(_)) => PortState::Accepts,
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => PortState::Refuses,
        Ok(Err(_)) | Err(_) => PortState::Silent,
    }
}

/// Opens a TCP connection with keepalive probes; `None` after an error or the
/// timeout.
pub async fn connect_tcp(addr: SocketAddr) -> Option<TcpStream> {
    let connecting = compio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
    let stream = connecting.await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let socket = SockRef::from(&stream);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive).ok()?;
    let user_timeout = KEEPALIVE_INTERVAL * KEEPALIVE_PROBES;
    socket.set_tcp_user_timeout(Some(user_timeout)).ok()?;
    Some(stream)
}

async fn connect(addr: SocketAddr) -> Option<ConnectionSender> {
    let stream = connect_tcp(addr).await?;
    // A close resets the connection, so that bytes of a request that was given up in a
    // partition do not arrive when it heals.
    SockRef::from(&stream)
        .set_linger(Some(Duration::ZERO))
        .ok()?;
    let head_limit = Rc::new(HeadLimit::new(MAX_HEAD_BYTES));
    let (reader, writer) = stream.split();
    let reader = HeadLimitedReader::new(reader, Rc::clone(&head_limit));
    let io = HyperStream::new_plain((reader, writer));
    let handshake = http1::Builder::new()
        .max_buf_size(MAX_HEAD_BYTES)
        .handshake(io);
    let (requests, connection) = handshake.await.ok()?;
    compio::runtime::spawn(async move {
        // `SendRequest` returns its own error when the connection fails.
        let _ = connection.await;
    })
    .detach();
    Some(ConnectionSender {
        requests,
        head_limit,
    })
}

/// Response body that returns its connection to the pool at its end.
#[derive(Debug)]
pub struct PooledBody {
    body: Incoming,
    addr: SocketAddr,
    sender: Option<ConnectionSender>,
    idle_timeout: Duration,
    pool: Pool,
}

impl PooledBody {
    fn release(&mut self) {
        if let Some(sender) = self.sender.take() {
            self.pool.check_in(self.addr, sender, self.idle_timeout);
        }
    }
}

impl Body for PooledBody {
    type Data = Bytes;
    type Error = hyper::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, hyper::Error>>> {
        let frame = ready!(Pin::new(&mut self.body).poll_frame(cx));
        let is_failed = matches!(frame, Some(Err(_)));
        if is_failed {
            self.sender = None;
        } else if frame.is_none() || self.body.is_end_stream() {
            self.release();
        }
        Poll::Ready(frame)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
