//! Client connections, kept per address.
//!
//! The pool tells whether any byte of a failed request can have left, which
//! decides between `not_run` and `unknown`. A connection goes back to the
//! pool only after its answer was read to the end; an answer that is dropped
//! early closes its connection, which cancels the work behind it.

use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, HeaderMap};
use hyper::{Request, Response};
use socket2::{SockRef, TcpKeepalive};

/// Longest time to connect.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections kept per address.
const MAX_IDLE_PER_ADDR: usize = 1024;
/// Idle time after which a connection is not used again, unless its server
/// names another; servers commonly close after five seconds or more.
const DEFAULT_IDLE: Duration = Duration::from_secs(4);
/// Time by which a connection is given up before its server would close it;
/// covers the way there and whole seconds in the server's statement.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Silence after which the kernel probes a connection, and time between two
/// probes; a peer without power shows after a few seconds.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);
/// Unanswered probes after which a connection is broken.
const PROBE_COUNT: u32 = 3;

/// Body of a request to an upstream or the platform.
pub type RequestBody = Full<Bytes>;

/// Why a request has no answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SendError {
    /// No byte has left.
    NotSent,
    /// Bytes may have left.
    Sent,
}

/// Connection that waits for its next request.
#[derive(Debug)]
struct Idle {
    sender: SendRequest<RequestBody>,
    usable_until: Instant,
}

/// Connections to all addresses.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<Idle>>>>,
}

impl Pool {
    /// Sends a request and waits for the head of its answer.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<RequestBody>,
    ) -> Result<Response<PooledBody>, SendError> {
        self.send_if(addr, request, || true).await
    }

    /// Sends a request unless it is no longer to go there once a connection
    /// stands, which can take a while.
    pub async fn send_if(
        &self,
        addr: SocketAddr,
        mut request: Request<RequestBody>,
        is_still_wanted: impl Fn() -> bool,
    ) -> Result<Response<PooledBody>, SendError> {
        loop {
            let (mut sender, is_reused) = match self.checkout(addr).await {
                Some(sender) => (sender, true),
                None => (connect(addr).await.ok_or(SendError::NotSent)?, false),
            };
            if !is_still_wanted() {
                return Err(SendError::NotSent);
            }
            match sender.try_send_request(request).await {
                Ok(response) => return Ok(self.attach(addr, sender, response)),
                Err(mut failed) => match failed.take_message() {
                    Some(message) if is_reused => request = message,
                    Some(_) => return Err(SendError::NotSent),
                    None => return Err(SendError::Sent),
                },
            }
        }
    }

    async fn checkout(&self, addr: SocketAddr) -> Option<SendRequest<RequestBody>> {
        loop {
            let idle = self.idle.borrow_mut().get_mut(&addr)?.pop()?;
            let mut sender = idle.sender;
            let is_usable = Instant::now() < idle.usable_until && !sender.is_closed();
            if is_usable && sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
    }

    /// Drops idle connections that are not usable any more.
    pub fn sweep(&self) {
        let now = Instant::now();
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|i| now < i.usable_until && !i.sender.is_closed());
            !idle.is_empty()
        });
    }

    /// Drops all idle connections to an address.
    pub fn forget(&self, addr: SocketAddr) {
        self.idle.borrow_mut().remove(&addr);
    }

    fn attach(
        &self,
        addr: SocketAddr,
        sender: SendRequest<RequestBody>,
        response: Response<Incoming>,
    ) -> Response<PooledBody> {
        let idle = idle_time(response.headers());
        response.map(|body| {
            let mut pooled = PooledBody {
                body,
                addr,
                sender: Some(sender),
                idle,
                pool: self.clone(),
            };
            if pooled.body.is_end_stream() {
                pooled.give_back();
            }
            pooled
        })
    }

    fn put(&self, addr: SocketAddr, sender: SendRequest<RequestBody>, idle: Duration) {
        let mut idle_connections = self.idle.borrow_mut();
        let connections = idle_connections.entry(addr).or_default();
        if connections.len() < MAX_IDLE_PER_ADDR {
            connections.push(Idle {
                sender,
                usable_until: Instant::now() + idle,
            });
        }
    }
}

/// Time for which a connection may be idle after an answer.
fn idle_time(headers: &HeaderMap) -> Duration {
    let is_closing = headers
        .get(CONNECTION)
        .is_some_and(|v| v.as_bytes().eq_ignore_ascii_case(b"close"));
    if is_closing {
        return Duration::ZERO;
    }
    let stated = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let timeout_s = stated.and_then(|text| {
        let mut parameters = text.split(',').map(str::trim);
        parameters.find_map(|p| p.strip_prefix("timeout=")?.parse().ok())
    });
    timeout_s.map_or(DEFAULT_IDLE, |s| {
        Duration::from_secs(s).saturating_sub(IDLE_MARGIN)
    })
}

/// Connects; `None` if nobody answers in time.
pub async fn connect_tcp(addr: SocketAddr) -> Option<TcpStream> {
    let connecting = compio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
    let stream = connecting.await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
    let socket = SockRef::from(&stream);
    let probes = TcpKeepalive::new()
        .with_time(PROBE_INTERVAL)
        .with_interval(PROBE_INTERVAL)
        .with_retries(PROBE_COUNT);
    socket.set_tcp_keepalive(&probes).ok()?;
    let unacknowledged = PROBE_INTERVAL * PROBE_COUNT;
    socket.set_tcp_user_timeout(Some(unacknowledged)).ok()?;
    Some(stream)
}

async fn connect(addr: SocketAddr) -> Option<SendRequest<RequestBody>> {
    let io = HyperStream::new_plain(connect_tcp(addr).await?);
    let (sender, connection) = http1::handshake(io).await.ok()?;
    compio::runtime::spawn(async move {
        // The sender learns of a failed connection by its own error.
        let _ = connection.await;
    })
    .detach();
    Some(sender)
}

/// Body of an answer that gives its connection back at its end.
#[derive(Debug)]
pub struct PooledBody {
    body: Incoming,
    addr: SocketAddr,
    sender: Option<SendRequest<RequestBody>>,
    idle: Duration,
    pool: Pool,
}

impl PooledBody {
    fn give_back(&mut self) {
        if let Some(sender) = self.sender.take() {
            self.pool.put(self.addr, sender, self.idle);
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
            self.give_back();
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
