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
use std::time::Duration;

use compio::net::{TcpListener, TcpSocket, TcpStream};
use cyper_core::{CompioTimer, HyperStream};
use futures_util::FutureExt;
use hyper::Request;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use tokio_util::sync::CancellationToken;

use super::body::ServerResponse;

/// Timeout for reading the headers of a request.
pub const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Maximum size of the headers of a request.
pub const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Minimum size of a connection buffer that the HTTP library allows.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
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

    /// Handles one request.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = ServerResponse>;
}

/// Serves until cancelled, and then until the last connection has closed.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    max_connections: usize,
    handler: Rc<H>,
    cancel: CancellationToken,
) {
    let open_connections = Rc::new(Cell::new(0_usize));
    let drained = CancellationToken::new();
    loop {
        let accepted = futures_util::select_biased! {
            () = cancel.cancelled().fuse() => break,
            accepted = listener.accept().fuse() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            compio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if open_connections.get() >= max_connections {
            continue;
        }
        let guard = ConnectionGuard::new(&open_connections, &drained, &cancel);
        let handler = Rc::clone(&handler);
        let cancel = cancel.clone();
        compio::runtime::spawn(async move {
            serve_connection(stream, handler, cancel).await;
            drop(guard);
        })
        .detach();
    }
    drop(listener);
    if open_connections.get() > 0 {
        drained.cancelled().await;
    }
}

async fn serve_connection<H: Handler>(
    stream: TcpStream,
    handler: Rc<H>,
    cancel: CancellationToken,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let limits = handler.limits();
    let service = service_fn(|request| {
        let handler = Rc::clone(&handler);
        async move { Ok::<_, Infallible>(handler.handle(request).await) }
    });
    let connection = http1::Builder::new()
        .timer(CompioTimer)
        .header_read_timeout(limits.header_timeout)
        .max_buf_size(limits.max_header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(HyperStream::new_plain(stream), service)
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

/// Counts an open connection until it is dropped.
struct ConnectionGuard {
    open_connections: Rc<Cell<usize>>,
    drained: CancellationToken,
    cancel: CancellationToken,
}

impl ConnectionGuard {
    fn new(
        open_connections: &Rc<Cell<usize>>,
        drained: &CancellationToken,
        cancel: &CancellationToken,
    ) -> Self {
        open_connections.set(open_connections.get() + 1);
        Self {
            open_connections: Rc::clone(open_connections),
            drained: drained.clone(),
            cancel: cancel.clone(),
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.open_connections.set(self.open_connections.get() - 1);
        if self.open_connections.get() == 0 && self.cancel.is_cancelled() {
            self.drained.cancel();
        }
    }
}
