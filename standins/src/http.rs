//! Small helpers for HTTP servers and clients of the stand-ins.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use currantcove::edge::body::{self, ServerResponse, Truncated};
use currantcove::edge::pool::{Pool, PooledBody};
use http_body_util::{Channel, Either, Full};
use hyper::body::Incoming;
use hyper::header::HOST;
use hyper::{Request, Response};
use serde::Serialize;
use serde::de::DeserializeOwned;

const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
const BODY_TIMEOUT: Duration = Duration::from_secs(10);

/// Reads and parses a JSON body.
pub async fn read_json<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, ServerResponse> {
    let bytes = body::read(request.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT)
        .await
        .map_err(|_| body::text(400, "body cannot be read\n"))?;
    serde_json::from_slice(&bytes).map_err(|e| body::text(400, format!("{e}\n")))
}

/// Answer that breaks off after its head.
pub fn broken_off() -> ServerResponse {
    let (sender, channel) = Channel::new(1);
    sender.abort(Truncated);
    Response::new(Either::Right(channel.into()))
}

/// Sends a request with a JSON body and parses the answer.
pub async fn call_json<Q: Serialize, A: DeserializeOwned>(
    pool: &Pool,
    addr: SocketAddr,
    method: &str,
    path: &str,
    question: &Q,
) -> Option<A> {
    let json = serde_json::to_vec(question).ok()?;
    let response = call(pool, addr, method, path, Bytes::from(json)).await?;
    let bytes = body::read(response.into_body(), MAX_BODY_BYTES, BODY_TIMEOUT)
        .await
        .ok()?;
    serde_json::from_slice(&bytes).ok()
}

/// Sends a request and returns the head of the answer.
pub async fn call(
    pool: &Pool,
    addr: SocketAddr,
    method: &str,
    path: &str,
    bytes: Bytes,
) -> Option<Response<PooledBody>> {
    let request = Request::builder()
        .method(method)
        .uri(path)
        .header(HOST, addr.to_string());
    let request = request.body(Full::new(bytes)).ok()?;
    pool.send(addr, request).await.ok()
}
