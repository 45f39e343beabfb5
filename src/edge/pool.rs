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
use std::time::Duration;

use bytes::Bytes;
use compio::net::TcpStream;
use cyper_core::HyperStream;
use http_body_util::Full;
use hyper::body::{Body, Frame, Incoming, SizeHint};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, Response};

/// Longest time to connect.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Idle connections kept per address.
const MAX_IDLE_PER_ADDR: usize = 1024;

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

/// Connections to all addresses.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    idle: Rc<RefCell<HashMap<SocketAddr, Vec<SendRequest<RequestBody>>>>>,
}

impl Pool {
    /// Sends a request and waits for the head of its answer.
    pub async fn send(
        &self,
        addr: SocketAddr,
        mut request: Request<RequestBody>,
    ) -> Result<Response<PooledBody>, SendError> {
        loop {
            let (mut sender, is_reused) = match self.checkout(addr).await {
                Some(sender) => (sender, true),
                None => (connect(addr).await.ok_or(SendError::NotSent)?, false),
            };
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
            let mut sender = self.idle.borrow_mut().get_mut(&addr)?.pop()?;
            if !sender.is_closed() && sender.ready().await.is_ok() {
                return Some(sender);
            }
        }
    }

    fn attach(
        &self,
        addr: SocketAddr,
        sender: SendRequest<RequestBody>,
        response: Response<Incoming>,
    ) -> Response<PooledBody> {
        response.map(|body| {
            let mut pooled = PooledBody {
                body,
                addr,
                sender: Some(sender),
                pool: self.clone(),
            };
            if pooled.body.is_end_stream() {
                pooled.give_back();
            }
            pooled
        })
    }

    fn put(&self, addr: SocketAddr, sender: SendRequest<RequestBody>) {
        let mut idle = self.idle.borrow_mut();
        let senders = idle.entry(addr).or_default();
        if senders.len() < MAX_IDLE_PER_ADDR {
            senders.push(sender);
        }
    }
}

/// Connects; `None` if nobody answers in time.
pub async fn connect_tcp(addr: SocketAddr) -> Option<TcpStream> {
    let connecting = compio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(addr));
    let stream = connecting.await.ok()?.ok()?;
    stream.set_nodelay(true).ok()?;
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
    pool: Pool,
}

impl PooledBody {
    fn give_back(&mut self) {
        if let Some(sender) = self.sender.take() {
            self.pool.put(self.addr, sender);
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
