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
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::task::{Context, Poll, ready};
use std::time::{Duration, Instant};

use bytes::Bytes;
use compio::net::TcpStream;
use futures_util::FutureExt;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::header::{CONNECTION, HeaderMap};
use hyper::{Request, Response};
use socket2::{SockRef, TcpKeepalive};

use super::connection::Connection;
pub use super::connection::RequestTag;
use super::path_check::until_held_up;
use super::resources::{Hold, NoRoom, Resources};
use crate::core::execution::NotRunEvidence;
use crate::core::process_span::ProcessSpans;
use crate::core::resource_account::Purpose;
use crate::core::stated;

/// Timeout of a connection attempt.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(300);
/// Maximum number of idle connections per address.
const MAX_IDLE_PER_ADDR: usize = 1024;
/// Memory of an idle connection.
const IDLE_CONNECTION_BYTES: usize = 20 * 1024;
/// Idle time after which a connection is not reused, unless the server's
/// `Keep-Alive` header states a timeout; servers commonly close idle connections
/// after five seconds or more.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(4);
/// Longest idle time after which a connection is reused.
const MAX_IDLE_TIMEOUT: Duration = Duration::from_mins(10);
/// Margin subtracted from the server's idle timeout, so that the client closes
/// first; covers the network latency and the whole-second resolution of the
/// `Keep-Alive` header.
const IDLE_MARGIN: Duration = Duration::from_millis(700);
/// Idle time before the first TCP keepalive probe, and interval between probes; a
/// peer that lost power is detected after a few seconds.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Largest number of probes that the kernel takes.
const MAX_KEEPALIVE_PROBES: u128 = 127;
/// Time for which it is remembered that an address has sent something; longer than a
/// request whose path is watched waits.
const HEARD_MEMORY: Duration = Duration::from_secs(10);
/// Time after which the kernel closes a connection whose peer acknowledges nothing.
pub const USER_TIMEOUT: Duration = Duration::from_secs(3);

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
    /// The request may have been sent; its path did not answer, and its connection was
    /// reset.
    HeldUp,
}

impl SendError {
    /// Evidence that the request has not run, if no byte of it was sent.
    pub fn not_run_evidence(self) -> Option<NotRunEvidence> {
        match self {
            Self::NotConnected => Some(NotRunEvidence::not_connected()),
            Self::NotSent => Some(NotRunEvidence::nothing_sent()),
            Self::MaybeSent | Self::HeldUp => None,
        }
    }
}

/// Connection without a request in progress.
#[derive(Debug)]
struct IdleConnection {
    connection: Connection,
    usable_until: Instant,
    _hold: Option<Hold>,
}

/// Connection pool; clones share their connections.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>>,
    connections: Rc<Cell<u64>>,
    /// Account of the idle connections, if they are many.
    resources: Option<Resources>,
    /// Time at which an address last sent something.
    heard: Rc<RefCell<HashMap<SocketAddr, Instant>>>,
    processes: Rc<RefCell<ProcessSpans>>,
}

/// What a response shows of the process that sent it.
#[derive(Clone, Copy, Debug)]
pub struct ProcessTrace {
    addr: SocketAddr,
    /// Opening of the connection.
    opened: Instant,
    /// Time from which the request was sent.
    sent: Instant,
}

impl Pool {
    /// Pool whose idle connections are charged to an account, and closed if it has no room.
    pub fn charged_to(resources: Resources) -> Self {
        Self {
            resources: Some(resources),
            ..Self::default()
        }
    }

    /// Sends a request and waits for the head of the response.
    pub async fn send(
        &self,
        addr: SocketAddr,
        request: Request<RequestBody>,
    ) -> Result<Response<PooledBody>, SendError> {
        self.exchange(addr, request, None, || true, None::<fn() -> bool>)
            .await
    }

    /// Sends a request if `is_still_allowed` holds after the connection is
    /// established, which can take up to [`CONNECT_TIMEOUT`].
    pub async fn send_if(
        &self,
        addr: SocketAddr,
        request: Request<RequestBody>,
        is_still_allowed: impl Fn() -> bool,
    ) -> Result<Response<PooledBody>, SendError> {
        self.exchange(addr, request, None, is_still_allowed, None::<fn() -> bool>)
            .await
    }

    /// Sends a request like [`Self::send_if`], and resets its connection if it is held up
    /// on its way: after a time, or at once if it must no longer arrive.
    ///
    /// It is not sent on a connection on which a request with the same tag was refused.
    pub async fn send_watched(
        &self,
        addr: SocketAddr,
        request: Request<RequestBody>,
        tag: RequestTag,
        is_still_allowed: impl Fn() -> bool,
        may_arrive: impl Fn() -> bool,
    ) -> Result<Response<PooledBody>, SendError> {
        self.exchange(addr, request, Some(tag), is_still_allowed, Some(may_arrive))
            .await
    }

    async fn exchange(
        &self,
        addr: SocketAddr,
        mut request: Request<RequestBody>,
        tag: Option<RequestTag>,
        is_still_allowed: impl Fn() -> bool,
        may_arrive: Option<impl Fn() -> bool>,
    ) -> Result<Response<PooledBody>, SendError> {
        loop {
            let (mut connection, is_reused) = match self.checkout(addr, tag).await {
                Some(connection) => (connection, true),
                None => (self.connect(addr).await?, false),
            };
            if !is_still_allowed() {
                return Err(SendError::NotSent);
            }
            let held_up = async {
                match &may_arrive {
                    Some(may_arrive) if is_reused => until_held_up(self, addr, may_arrive).await,
                    _ => std::future::pending().await,
                }
            };
            let mut held_up = pin!(held_up.fuse());
            connection.expect_head();
            let trace = ProcessTrace {
                addr,
                opened: connection.opened,
                sent: Instant::now(),
            };
            let sent = futures_util::select_biased! {
                sent = connection.sender.try_send_request(request).fuse() => sent,
                () = held_up => return Err(SendError::HeldUp),
            };
            connection.expect_body_part();
            match sent {
                Ok(response) => {
                    if response.body().size_hint().exact().is_none() {
                        connection.expect_response_body();
                    }
                    return Ok(self.wrap_response(trace, connection, response));
                }
                Err(mut error) => match error.take_message() {
                    Some(message) if is_reused => request = message,
                    Some(_) => return Err(SendError::NotSent),
                    None => return Err(SendError::MaybeSent),
                },
            }
        }
    }

    async fn connect(&self, addr: SocketAddr) -> Result<Connection, SendError> {
        let opened = Connection::open(addr).await;
        let connection = opened.ok_or(SendError::NotConnected)?;
        self.connections.set(self.connections.get() + 1);
        Ok(connection)
    }

    /// Number of connections established so far.
    pub fn connection_count(&self) -> u64 {
        self.connections.get()
    }

    async fn checkout(&self, addr: SocketAddr, tag: Option<RequestTag>) -> Option<Connection> {
        let may_carry = |idle: &IdleConnection| tag.is_none_or(|t| !idle.connection.has_refused(t));
        loop {
            let idle = {
                let mut idle_connections = self.idle.borrow_mut();
                let connections = idle_connections.get_mut(&addr)?;
                let latest = connections.iter().rposition(may_carry)?;
                connections.remove(latest)
            };
            let mut connection = idle.connection;
            let is_usable = Instant::now() < idle.usable_until && !connection.sender.is_closed();
            if is_usable && connection.sender.ready().await.is_ok() {
                return Some(connection);
            }
        }
    }

    /// Records that an address has sent something.
    pub fn record_heard(&self, addr: SocketAddr) {
        self.heard.borrow_mut().insert(addr, Instant::now());
    }

    /// True if an address has sent something since a time.
    pub fn has_heard_from(&self, addr: SocketAddr, since: Instant) -> bool {
        let heard = self.heard.borrow();
        heard.get(&addr).is_some_and(|at| *at > since)
    }

    /// Time since which the process that sent a response is known to run, where the
    /// response is to the request that was sent.
    pub fn running_since(&self, trace: &ProcessTrace) -> Instant {
        let mut processes = self.processes.borrow_mut();
        processes.record(trace.addr, trace.opened, trace.sent)
    }

    /// Closes the idle connections that have expired.
    pub fn close_expired(&self) {
        let now = Instant::now();
        self.processes.borrow_mut().forget_silent(now);
        self.idle.borrow_mut().retain(|_, idle| {
            idle.retain(|i| now < i.usable_until && !i.connection.sender.is_closed());
            !idle.is_empty()
        });
        let mut heard = self.heard.borrow_mut();
        heard.retain(|_, at| now < *at + HEARD_MEMORY);
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
        trace: ProcessTrace,
        connection: Connection,
        response: Response<Incoming>,
    ) -> Response<PooledBody> {
        self.record_heard(trace.addr);
        let idle_timeout = idle_timeout(response.headers());
        response.map(|body| PooledBody {
            body,
            trace,
            head_bytes: connection.meter.received_bytes(),
            connection: Some(connection),
            idle_timeout,
            pool: self.clone(),
        })
    }

    fn check_in(&self, addr: SocketAddr, connection: Connection, idle_timeout: Duration) {
        if idle_timeout.is_zero() {
            return;
        }
        let hold = match &self.resources {
            Some(resources) => match resources.hold(Purpose::IdleConnection, IDLE_CONNECTION_BYTES)
            {
                Ok(hold) => Some(hold),
                Err(NoRoom) => return,
            },
            None => None,
        };
        let mut idle_connections = self.idle.borrow_mut();
        let connections = idle_connections.entry(addr).or_default();
        if connections.len() < MAX_IDLE_PER_ADDR {
            connection.allow_idle(idle_timeout);
            connections.push(IdleConnection {
                connection,
                usable_until: Instant::now() + idle_timeout,
                _hold: hold,
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
        let stated = stated::seconds(s).saturating_sub(IDLE_MARGIN);
        stated.min(MAX_IDLE_TIMEOUT)
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
    set_timeouts(&socket, USER_TIMEOUT).ok()?;
    Some(stream)
}

/// Lets the kernel end a connection whose peer acknowledges nothing for a time.
pub fn set_timeouts(socket: &SockRef<'_>, user_timeout: Duration) -> io::Result<()> {
    let probes = user_timeout
        .as_millis()
        .div_ceil(KEEPALIVE_INTERVAL.as_millis())
        .min(MAX_KEEPALIVE_PROBES);
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_INTERVAL)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(probes as u32);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(user_timeout))
}

/// Response body that returns its connection to the pool at its end; an empty one when it
/// is dropped.
#[derive(Debug)]
pub struct PooledBody {
    body: Incoming,
    trace: ProcessTrace,
    connection: Option<Connection>,
    /// Bytes that the connection had received when the head was complete.
    head_bytes: u64,
    idle_timeout: Duration,
    pool: Pool,
}

impl PooledBody {
    /// Closes the connection, as its responses belong to other requests.
    pub fn close(mut self) {
        self.connection = None;
    }

    /// What the response shows of the process that sent it.
    pub fn trace(&self) -> ProcessTrace {
        self.trace
    }

    /// Bytes received since the head of the response, including those that frame the body.
    pub fn received_bytes(&self) -> u64 {
        let connection = self.connection.as_ref();
        connection.map_or(0, |c| c.meter.received_bytes() - self.head_bytes)
    }

    /// Records that the response refuses the request with a tag.
    pub fn record_refusal(&self, tag: RequestTag) {
        if let Some(connection) = &self.connection {
            connection.record_refusal(tag);
        }
    }

    /// Closes the connection after the response, whose status may belong to another
    /// request than the next one.
    pub fn close_at_end(&mut self) {
        self.idle_timeout = Duration::ZERO;
    }

    fn release(&mut self) {
        if let Some(connection) = self.connection.take() {
            self.pool
                .check_in(self.trace.addr, connection, self.idle_timeout);
        }
    }
}

impl Drop for PooledBody {
    fn drop(&mut self) {
        if self.body.is_end_stream() {
            self.release();
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
            self.connection = None;
        } else {
            self.pool.record_heard(self.trace.addr);
            if let Some(connection) = &self.connection {
                connection.expect_body_part();
            }
        }
        if !is_failed && (frame.is_none() || self.body.is_end_stream()) {
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
