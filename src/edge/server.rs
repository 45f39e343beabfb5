//! HTTP/1 server on one loop.
//!
//! Connections are bounded in number, headers in size and time. A stop lets
//! requests in progress run to their end and takes no new ones.

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

use super::body::Answer;

/// Longest time for the headers of a request.
pub const HEADER_TIMEOUT: Duration = Duration::from_secs(5);
/// Largest header block in bytes.
pub const MAX_HEADER_BYTES: usize = 16 * 1024;
/// Smallest buffer of a connection that the HTTP library allows, in bytes.
const MIN_BUFFER_BYTES: usize = 8 * 1024;
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);

/// Connections that may wait to be accepted; a burst beyond the usual 128 is
/// dropped by the kernel and comes back a second later.
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

/// Bounds of one connection.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct ConnectionLimits {
    /// Longest time until the head of a request is read, from the end of the
    /// request before.
    pub header_timeout: Duration,
    /// Largest head of a request in bytes.
    pub header_bytes: usize,
}

impl Default for ConnectionLimits {
    fn default() -> Self {
        Self {
            header_timeout: HEADER_TIMEOUT,
            header_bytes: MAX_HEADER_BYTES,
        }
    }
}

/// Answers requests.
pub trait Handler: 'static {
    /// Bounds of a connection that begins now.
    fn limits(&self) -> ConnectionLimits {
        ConnectionLimits::default()
    }

    /// Answers one request.
    fn handle(&self, request: Request<Incoming>) -> impl Future<Output = Answer>;
}

/// Serves until cancelled, then until the last connection has ended.
pub async fn serve<H: Handler>(
    listener: TcpListener,
    max_connections: usize,
    handler: Rc<H>,
    cancel: CancellationToken,
) {
    let open = Rc::new(Cell::new(0_usize));
    let drained = CancellationToken::new();
    loop {
        let accepted = futures_util::select_biased! {
            () = cancel.cancelled().fuse() => break,
            accepted = listener.accept().fuse() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            compio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.get() >= max_connections {
            continue;
        }
        let guard = OpenGuard::new(&open, &drained, &cancel);
        let handler = Rc::clone(&handler);
        let cancel = cancel.clone();
        compio::runtime::spawn(async move {
            serve_connection(stream, handler, cancel).await;
            drop(guard);
        })
        .detach();
    }
    drop(listener);
    if open.get() > 0 {
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
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(HyperStream::new_plain(stream), service)
        .with_upgrades();
    let mut connection = std::pin::pin!(connection);
    futures_util::select_biased! {
        _ = connection.as_mut().fuse() => return,
        () = cancel.cancelled().fuse() => connection.as_mut().graceful_shutdown(),
    }
    // A caller that went away ends the connection with an error; there is
    // nobody left to tell.
    let _ = connection.await;
}

/// Counts an open connection for as long as it lives.
struct OpenGuard {
    open: Rc<Cell<usize>>,
    drained: CancellationToken,
    cancel: CancellationToken,
}

impl OpenGuard {
    fn new(
        open: &Rc<Cell<usize>>,
        drained: &CancellationToken,
        cancel: &CancellationToken,
    ) -> Self {
        open.set(open.get() + 1);
        Self {
            open: Rc::clone(open),
            drained: drained.clone(),
            cancel: cancel.clone(),
        }
    }
}

impl Drop for OpenGuard {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
        if self.open.get() == 0 && self.cancel.is_cancelled() {
            self.drained.cancel();
        }
    }
}
