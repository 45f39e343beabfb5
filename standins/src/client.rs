//! One caller, for tests that look at single answers.

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

use super::shapes::token;

const MAX_ANSWER_BYTES: usize = 8 * 1024 * 1024;
/// Bound of every wait for an answer.
pub const PATIENCE: Duration = Duration::from_secs(30);

/// Caller of one team.
#[derive(Clone, Debug)]
pub struct Caller {
    team: String,
    pool: Pool,
}

/// Answer read to its end.
#[derive(Clone, Debug)]
pub struct Heard {
    /// HTTP status.
    pub status: u16,
    /// Headers.
    pub headers: HeaderMap,
    /// Body, as far as it came.
    pub body: String,
    /// True if the body came to its proper end.
    pub is_whole: bool,
}

impl Heard {
    /// Outcome from the header.
    pub fn outcome(&self) -> Option<Outcome> {
        let text = self.headers.get(OUTCOME_HEADER)?.to_str().ok()?;
        serde_json::from_value(json!(text)).ok()
    }

    /// Error body.
    pub fn refusal(&self) -> Option<Refusal> {
        #[derive(Deserialize)]
        struct ErrorBody {
            error: Refusal,
        }
        serde_json::from_str::<ErrorBody>(&self.body)
            .ok()
            .map(|b| b.error)
    }

    /// Text of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }
}

impl Caller {
    /// Caller of a team of a shape.
    pub fn new(team: &str) -> Self {
        Self {
            team: team.to_owned(),
            pool: Pool::default(),
        }
    }

    /// Begins a request with the team's credential.
    pub fn post(&self, path: &str) -> hyper::http::request::Builder {
        Request::post(path).header(AUTHORIZATION, format!("Bearer {}", token(&self.team)))
    }

    /// Sends a request and returns the head of the answer.
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
        let sending = self.pool.send(addr, request);
        compio::time::timeout(PATIENCE, sending)
            .await
            .unwrap_or(Err(SendError::MaybeSent))
    }

    /// Sends a request and reads the answer; `None` if there is no head.
    pub async fn hear(
        &self,
        addr: SocketAddr,
        builder: hyper::http::request::Builder,
        bytes: impl Into<Bytes>,
    ) -> Option<Heard> {
        let response = self.send(addr, builder, bytes).await.ok()?;
        Some(read(response).await)
    }

    /// Asks for a streamed draft.
    pub async fn draft(
        &self,
        addr: SocketAddr,
        model: &str,
        word: &str,
        tokens: u64,
    ) -> Option<Heard> {
        let body = draft_body(model, word, tokens, true);
        self.hear(addr, self.post("/v1/chat/completions"), body)
            .await
    }

    /// Books under an idempotency key.
    pub async fn book(&self, addr: SocketAddr, name: &str, key: Option<&str>) -> Option<Heard> {
        let mut builder = self.post("/services/bookings/book");
        if let Some(key) = key {
            builder = builder.header("idempotency-key", key);
        }
        self.hear(addr, builder, json!({ "name": name }).to_string())
            .await
    }
}

/// Body of a draft.
pub fn draft_body(model: &str, word: &str, tokens: u64, is_streamed: bool) -> String {
    let messages = [json!({ "role": "user", "content": format!("{word} please") })];
    json!({ "model": model, "stream": is_streamed, "max_tokens": tokens, "messages": messages })
        .to_string()
}

/// Text that a whole stream carries for a word.
pub fn is_whole_draft(heard: &Heard, word: &str, tokens: u64) -> bool {
    let mut rest = heard.body.as_str();
    for i in 0..tokens {
        let token = format!("\"{word}.{i} \"");
        let Some(at) = rest.find(&token) else {
            return false;
        };
        rest = &rest[at + token.len()..];
    }
    heard.is_whole && rest.ends_with("data: [DONE]\n\n")
}

/// Reads an answer as far as it comes.
pub async fn read(response: Response<PooledBody>) -> Heard {
    let (head, mut incoming) = response.into_parts();
    let mut bytes = Vec::new();
    let is_whole = loop {
        match compio::time::timeout(PATIENCE, incoming.frame()).await {
            Ok(None) => break true,
            Ok(Some(Ok(frame))) => {
                if let Ok(data) = frame.into_data() {
                    bytes.extend_from_slice(&data);
                }
            }
            Ok(Some(Err(_))) | Err(_) => break false,
        }
        if bytes.len() > MAX_ANSWER_BYTES {
            break false;
        }
    };
    let body = String::from_utf8_lossy(&bytes).into_owned();
    Heard {
        status: head.status.as_u16(),
        headers: head.headers,
        body,
        is_whole,
    }
}

/// Reads an answer whole, within the patience of a caller.
pub async fn read_whole(response: Response<PooledBody>) -> Result<Bytes, ReadError> {
    body::read(response.into_body(), MAX_ANSWER_BYTES, PATIENCE).await
}
