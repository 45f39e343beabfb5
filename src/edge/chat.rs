//! Requests of the OpenAI-compatible chat protocol, as far as they are read.
//!
//! Only the model and the stream flag are interpreted; everything else is
//! passed on as it came.

use std::collections::BTreeMap;
use std::fmt;

use bytes::Bytes;
use serde_json::value::RawValue;

use crate::core::ids::ArtifactId;
use crate::core::rendezvous::hash;

/// Bytes of the messages that stand for a prompt's prefix.
const PREFIX_BYTES: usize = 256;

/// Why a chat request is refused.
#[derive(Debug)]
pub enum BadChat {
    /// Not a JSON object.
    NotAnObject(serde_json::Error),
    /// No model, or not a string.
    NoModel,
    /// The stream flag is not a boolean.
    BadStreamFlag,
}

impl fmt::Display for BadChat {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::NotAnObject(e) => write!(f, "the body is not a JSON object: {e}"),
            Self::NoModel => f.write_str("model must be a string"),
            Self::BadStreamFlag => f.write_str("stream must be true or false"),
        }
    }
}

impl std::error::Error for BadChat {}

/// Chat request over the caller's bytes.
#[derive(Debug)]
pub struct ChatRequest<'a> {
    fields: BTreeMap<String, &'a RawValue>,
    /// Model, with an adapter after a colon.
    pub model: String,
    /// True if the answer is to be an event stream.
    pub is_streamed: bool,
}

impl<'a> ChatRequest<'a> {
    /// Parses a body.
    pub fn parse(body: &'a [u8]) -> Result<Self, BadChat> {
        let fields: BTreeMap<String, &'a RawValue> =
            serde_json::from_slice(body).map_err(BadChat::NotAnObject)?;
        let model = fields
            .get("model")
            .and_then(|v| serde_json::from_str(v.get()).ok());
        let model = model.ok_or(BadChat::NoModel)?;
        let is_streamed = match fields.get("stream") {
            None => false,
            Some(v) => serde_json::from_str(v.get()).map_err(|_| BadChat::BadStreamFlag)?,
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

    /// Adapter, if one is named.
    pub fn adapter(&self) -> Option<&str> {
        self.model.split_once(':').map(|(_, adapter)| adapter)
    }

    /// Hash of model and prompt prefix; differs between teams.
    pub fn prefix_hash(&self, artifact: &ArtifactId) -> u64 {
        let messages = self.fields.get("messages").map_or("", |v| v.get());
        let end = messages.floor_char_boundary(PREFIX_BYTES);
        hash(artifact.as_str()) ^ hash(&messages[..end])
    }

    /// Body for the engine, which knows the model by its artifact.
    pub fn rewrite(&self, artifact: &ArtifactId) -> Bytes {
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
