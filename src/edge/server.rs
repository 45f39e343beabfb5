//! HTTP/1 server on a single-threaded event loop.
//!
//! The server limits the number of connections, and the size and the read time of
//! request headers. On shutdown it completes the requests in progress and accepts
//! no new ones.

use std::cell::Cell;
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use compio::net::{TcpListener, TcpSocket, TcpStream};
use cyper_core::CompioTimer;
use futures_util::FutureExt;
use hyper::Request;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue, UPGRADE};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use super::body::{self, MAX_DISCARDED_BYTES, ServerResponse};
use super::resources::{Hold, NoRoom};
use super::wire::{WireMeter, WireStream};

/// Timeout for reading the headers of a request.
pub const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of the headers of a request.
pub const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Minimum size of a connection buffer that the HTTP library allows.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Largest number of bytes before the head of the first request, or after a body.
pub(super) const LEADING_BYTES: usize = 64 * 1024;
/// Connections beyond the limit whose first requests are refused; others are closed.
const MAX_REFUSED_CONNECTIONS: usize = 64;
/// Timeout for reading the headers of a request that is refused.
const REFUSAL_HEADER_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(20);

/// Length of the accept queue. With the usual 128, the kernel drops the rest of a
/// burst of connections, and clients retry a second later.
const LISTEN_BACKLOG: i32 = 4096;

/// Listens on an address.
pub async fn listen(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4().await?,
        SocketAddr::V6(_) => TcpSocket::new_v6().await?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(addr).await?;
    socket.listen(LISTEN_BACKLOG).await
}

/// Limits of one connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// Maximum time from the end of the previous request until the head of the
    /// next request is read.
    pub header_timeout: Duration,
    /// Maximum size of the head of a request.
    pub max_header_bytes: usize,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            header_timeout: HEADER_TIMEOUT,
            max_header_bytes: MAX_HEADER_BYTES,
        }
    }
}

/// Request handler of a server.
pub trait Handler: 'static {
    /// Limits of a new connection.
    fn limits(&self) -> ConnectionLimits {
        ConnectionLimits::default()
    }

    /// Takes what a new connection needs, if that is limited.
    fn hold_connection(&self) -> Result<Option<Hold>, NoRoom> {
        Ok(None)
    }

    /// Handles one request.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = ServerResponse>;

    /// Refuses a request on a connection that there is no room for.
    fn refuse(&self, request: Request<Incoming>) -> ServerResponse {
        body::discard(request.into_body());
        body::text(503, "no room for the connection\n")
    }
}

/// Serves until cancelled, and then until the last connection has closed.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    max_connections: usize,
    handler: Rc<H>,
    cancel: CancellationToken,
) {
    let open_connections = Rc::new(Cell::new(0_usize));
    let refused_connections = Rc::new(Cell::new(0_usize));
    let drained = Rc::new(Notify::new());
    loop {
        let accepted = futures_util::select_biased! {
            () = cancel.cancelled().fuse() => break,
            accepted = listener.accept().fuse() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let has_room = open_connections.get() < max_connections;
        let hold = if has_room {
            handler.hold_connection()
        } else {
            Err(NoRoom)
        };
        if hold.is_err() && refused_connections.get() >= MAX_REFUSED_CONNECTIONS {
            continue;
        }
        let counter = match &hold {
            Ok(_) => &open_connections,
            Err(NoRoom) => &refused_connections,
        };
        let guard = ConnectionGuard::new(counter, &drained);
        let handler = Rc::clone(&handler);
        let cancel = cancel.clone();
        compio::runtime::spawn(async move {
            serve_connection(stream, handler, hold, cancel).await;
            drop(guard);
        })
        .detach();
    }
    drop(listener);
    while open_connections.get() + refused_connections.get() > 0 {
        drained.notified().await;
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: Rc<H>,
    hold: Result<Option<Hold>, NoRoom>,
    cancel: CancellationToken,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut limits = handler.limits();
    let is_refused = hold.is_err();
    if is_refused {
        limits.header_timeout = limits.header_timeout.min(REFUSAL_HEADER_TIMEOUT);
    }
    let meter = Arc::new(WireMeter::default());
    let Ok(io) = WireStream::new(stream, Arc::clone(&meter)) else {
        return;
    };
    meter.allow(limits.max_header_bytes + LEADING_BYTES);
    let service = service_fn(|mut request: Request<Incoming>| {
        if request.headers().contains_key(UPGRADE) {
            meter.allow_any();
        } else {
            meter.allow(MAX_DISCARDED_BYTES);
        }
        request.extensions_mut().insert(Arc::clone(&meter));
        let handler = Rc::clone(&handler);
        // A connection keeps the room of its handler's future between requests.
        Box::pin(async move {
            Ok::<_, Infallible>(if is_refused {
                closing(handler.refuse(request))
            } else {
                handler.handle(request).await
            })
        })
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(io, service)
        .with_upgrades();
    let mut connection = std::pin::pin!(connection);
    futures_util::select_biased! {
        _ = connection.as_mut().fuse() => return,
        () = cancel.cancelled().fuse() => connection.as_mut().graceful_shutdown(),
    }
    // A caller that disconnects ends the connection with an error, and no response
    // can reach it.
    let _ = connection.await;
}

/// Closes the connection after a response.
fn closing(mut response: ServerResponse) -> ServerResponse {
    let value = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, value);
    response
}

/// Counts an open connection until it is dropped.
struct ConnectionGuard {
    open_connections: Rc<Cell<usize>>,
    drained: Rc<Notify>,
}

impl ConnectionGuard {
    fn new(open_connections: &Rc<Cell<usize>>, drained: &Rc<Notify>) -> Self {
        open_connections.set(open_connections.get() + 1);
        Self {
            open_connections: Rc::clone(open_connections),
            drained: Rc::clone(drained),
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open_connections.set(self.open_connections.get() - 1);
        if self.open_connections.get() == 0 {
            self.drained.notify_one();
        }
    }
}
