//! HTTP client of one team, for tests that check individual responses.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use currantcove::core::outcome::{OUTCOME_HEADER, Outcome, Refusal};
use currantcove::edge::body::{self, ReadError};
use currantcove::edge::pool::{Pool, PooledBody, SendError};
use http_body_util::{BodyExt, Full};
use hyper::header::{AUTHORIZATION, HOST, HeaderMap};
use hyper::{Request, Response};
use serde::Deserialize;
use serde_json::json;

use super::shapes::bearer_token;

const MAX_RESPONSE_BYTES: usize = 8 * 1024 * 1024;
/// Timeout for the response head and for each frame of the body.
pub const RESPONSE_TIMEOUT: Duration = Duration::from_secs(30);

/// Client with the credential of one team.
#[derive(Clone, Debug)]
pub struct Caller {
    team: String,
    pool: Pool,
}

/// Response with as much of its body as arrived.
#[derive(Clone, Debug)]
pub struct ReceivedResponse {
    /// HTTP status.
    pub status: u16,
    /// Response headers.
    pub headers: HeaderMap,
    /// Body, truncated where reading failed.
    pub body: String,
    /// True if the body ended without an error.
    pub is_complete: bool,
}

impl ReceivedResponse {
    /// Outcome from the response header.
    pub fn outcome(&self) -> Option<Outcome> {
        let text = self.headers.get(OUTCOME_HEADER)?.to_str().ok()?;
        serde_json::from_value(json!(text)).ok()
    }

    /// Refusal from the JSON body; `None` if the body has none.
    pub fn refusal(&self) -> Option<Refusal> {
        #[derive(Deserialize)]
        struct ErrorBody {
            error: Refusal,
        }
        serde_json::from_str::<ErrorBody>(&self.body)
            .ok()
            .map(|b| b.error)
    }

    /// Header value; `None` if it is absent or not visible ASCII.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

impl Caller {
    /// Client of a team of a shape.
    pub fn new(team: &str) -> Self {
        Self {
            team: team.to_owned(),
            pool: Pool::default(),
        }
    }

    /// Builds a POST request with the team's credential.
    pub fn post(&self, path: &str) -> hyper::http::request::Builder {
        Request::post(path).header(
            AUTHORIZATION,
            format!("Bearer {}", bearer_token(&self.team)),
        )
    }

    /// Sends a request and returns the response head with the unread body.
    pub async fn send(
        &self,
        addr: SocketAddr,
        builder: hyper::http::request::Builder,
        bytes: impl Into<Bytes>,
    ) -> Result<Response<PooledBody>, SendError> {
        let request = builder
            .header(HOST, addr.to_string())
            .body(Full::new(bytes.into()));
        let request = request.map_err(|_| SendError::NotSent)?;
        let response = self.pool.send(addr, request);
        compio::time::timeout(RESPONSE_TIMEOUT, response)
            .await
            .unwrap_or(Err(SendError::MaybeSent))
    }

    /// Sends a request and reads the response; `None` if no head arrives.
    pub async fn send_and_read(
        &self,
        addr: SocketAddr,
        builder: hyper::http::request::Builder,
        bytes: impl Into<Bytes>,
    ) -> Option<ReceivedResponse> {
        let response = self.send(addr, builder, bytes).await.ok()?;
        Some(read_response(response).await)
    }

    /// Requests a streamed draft.
    pub async fn draft(
        &self,
        addr: SocketAddr,
        model: &str,
        word: &str,
        tokens: u64,
    ) -> Option<ReceivedResponse> {
        let body = draft_body(model, word, tokens, true);
        self.send_and_read(addr, self.post("/v1/chat/completions"), body)
            .await
    }

    /// Sends a booking, with an idempotency key if there is one.
    pub async fn book(
        &self,
        addr: SocketAddr,
        name: &str,
        key: Option<&str>,
    ) -> Option<ReceivedResponse> {
        let mut builder = self.post("/services/bookings/book");
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
        self.send_and_read(addr, builder, json!({ "name": name }).to_string())
            .await
    }
}

/// Request body of a draft.
pub fn draft_body(model: &str, word: &str, tokens: u64, is_streamed: bool) -> String {
    let messages = [json!({ "role": "user", "content": format!("{word} please") })];
    json!({ "model": model, "stream": is_streamed, "max_tokens": tokens, "messages": messages })
        .to_string()
}

/// Returns true if a stream has all tokens of the word in order, and the end
/// marker.
pub fn is_complete_draft(received: &ReceivedResponse, word: &str, tokens: u64) -> bool {
    let mut rest = received.body.as_str();
    for i in 0..tokens {
        let token = format!("\"{word}.{i} \"");
        let Some(position) = rest.find(&token) else {
            return false;
        };
        rest = &rest[position + token.len()..];
    }
    received.is_complete && rest.ends_with("data: [DONE]\n\n")
}

/// Reads a response until its end, an error, the timeout or the size limit.
pub async fn read_response(response: Response<PooledBody>) -> ReceivedResponse {
    let (head, mut incoming) = response.into_parts();
    let mut bytes = Vec::new();
    let is_complete = loop {
        match compio::time::timeout(RESPONSE_TIMEOUT, incoming.frame()).await {
            Ok(None) => break true,
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    bytes.extend_from_slice(&data);
                }
            }
            Ok(Some(Err(_))) | Err(_) => break false,
        }
        if bytes.len() > MAX_RESPONSE_BYTES {
            break false;
        }
    };
    let body = String::from_utf8_lossy(&bytes).into_owned();
    ReceivedResponse {
        status: head.status.as_u16(),
        headers: head.headers,
        body,
        is_complete,
    }
}

/// Reads a response body to its end within `RESPONSE_TIMEOUT`.
pub async fn read_body(response: Response<PooledBody>) -> Result<Bytes, ReadError> {
    body::read(response.into_body(), MAX_RESPONSE_BYTES, RESPONSE_TIMEOUT).await
}
