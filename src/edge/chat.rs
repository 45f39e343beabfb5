//! Parses and rewrites requests of the OpenAI-compatible chat protocol.
//!
//! Only the model and the stream flag are interpreted; all other fields are
//! forwarded unchanged.

use std::collections::BTreeMap;
use std::fmt;

use bytes::Bytes;
use serde_json::value::RawValue;

use crate::core::ids::ArtifactId;
use crate::core::rendezvous::hash;

/// Number of leading bytes of `messages` that identify a prompt's prefix.
const PREFIX_BYTES: usize = 256;

/// Error in the body of a chat request.
#[derive(Debug)]
pub enum ChatError {
    /// The body is not a JSON object.
    NotAnObject(serde_json::Error),
    /// The model is missing or not a string.
    InvalidModel,
    /// The stream flag is not a boolean.
    InvalidStreamFlag,
}

impl fmt::Display for ChatError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotAnObject(e) => write!(f, "the body is not a JSON object: {e}"),
            Self::InvalidModel => f.write_str("model must be a string"),
            Self::InvalidStreamFlag => f.write_str("stream must be true or false"),
        }
    }
}

impl std::error::Error for ChatError {}

/// Chat request whose fields borrow from the caller's body.
#[derive(Debug)]
pub struct ChatRequest<'a> {
    fields: BTreeMap<String, &'a RawValue>,
    /// Model, optionally followed by a colon and an adapter.
    pub model: String,
    /// True if the caller requests an event stream.
    pub is_streamed: bool,
}

impl<'a> ChatRequest<'a> {
    /// Parses the body of a request.
    pub fn parse(body: &'a [u8]) -> Result<Self, ChatError> {
        let fields: BTreeMap<String, &'a RawValue> =
            serde_json::from_slice(body).map_err(ChatError::NotAnObject)?;
        let model = fields
            .get("model")
            .and_then(|v| serde_json::from_str(v.get()).ok());
        let model = model.ok_or(ChatError::InvalidModel)?;
        let is_streamed = match fields.get("stream") {
            None => false,
            Some(v) => serde_json::from_str(v.get()).map_err(|_| ChatError::InvalidStreamFlag)?,
        };
        Ok(Self {
            fields,
            model,
            is_streamed,
        })
    }

    /// Model without its adapter.
    pub fn base_model(&self) -> &str {
        self.model.split(':').next().unwrap_or_default()
    }

    /// Adapter, if the request names one.
    pub fn adapter(&self) -> Option<&str> {
        self.model.split_once(':').map(|(_, adapter)| adapter)
    }

    /// Hash of the artifact and the prompt prefix; the artifact makes it differ
    /// between teams.
    pub fn prefix_hash(&self, artifact: &ArtifactId) -> u64 {
        let messages = self.fields.get("messages").map_or("", |v| v.get());
        let end = messages.floor_char_boundary(PREFIX_BYTES);
        hash(artifact.as_str()) ^ hash(&messages[..end])
    }

    /// Body for the engine, with the artifact in place of the model name.
    pub fn rewrite_model(&self, artifact: &ArtifactId) -> Bytes {
        let name = match self.adapter() {
            Some(adapter) => format!("{artifact}:{adapter}"),
            None => artifact.to_string(),
        };
        let name = serde_json::value::to_raw_value(&name).ok();
        let mut fields: BTreeMap<&str, &RawValue> =
            self.fields.iter().map(|(k, v)| (k.as_str(), *v)).collect();
        if let Some(name) = &name {
            fields.insert("model", name);
        }
        Bytes::from(serde_json::to_vec(&fields).unwrap_or_default())
    }
}
