//! Orders to model engines.

use std::fmt;

use super::ids::{AdapterId, ModelId};

/// Order to a model engine.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Order {
    /// Load a model.
    LoadModel(ModelId),
    /// Unload a model with its adapters and cache.
    UnloadModel(ModelId),
    /// Load an adapter of a loaded model.
    LoadAdapter(ModelId, AdapterId),
    /// Unload an adapter.
    UnloadAdapter(ModelId, AdapterId),
}

impl fmt::Display for Order {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::LoadModel(model) => write!(f, "load {model}"),
            Self::UnloadModel(model) => write!(f, "unload {model}"),
            Self::LoadAdapter(model, adapter) => write!(f, "load {model}/{adapter}"),
            Self::UnloadAdapter(model, adapter) => write!(f, "unload {model}/{adapter}"),
        }
    }
}
