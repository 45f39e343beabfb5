//! Typed identifiers.
//!
//! Each identifier wraps a shared string, so that a clone costs one counter.

use std::fmt;
use std::sync::Arc;

use serde::{Deserialize, Serialize};

macro_rules! id_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Clone, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Wraps a name.
            pub fn new(name: &str) -> Self {
                Self(Arc::from(name))
            }

            /// Borrowed text of the name.
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    };
}

id_type!(
    /// Entry host, one process of the system.
    HostId
);
id_type!(
    /// Model engine or plain service.
    UpstreamId
);
id_type!(
    /// Team that calls the system.
    TeamId
);
id_type!(
    /// Availability zone.
    ZoneId
);
id_type!(
    /// Service that upstreams belong to.
    ServiceId
);
id_type!(
    /// Model as engines name it.
    ModelId
);
id_type!(
    /// Adapter of a model, unique within it.
    AdapterId
);
id_type!(
    /// One version of one team's model, written `team/model@version`.
    ArtifactId
);

impl ArtifactId {
    /// Joins the parts of an artifact's name.
    pub fn from_parts(team: &str, model: &str, version: &str) -> Self {
        Self::new(&format!("{team}/{model}@{version}"))
    }

    /// Part before the version, `team/model`.
    pub fn model(&self) -> &str {
        self.as_str().split('@').next().unwrap_or_default()
    }
}

/// True if `name` may stand in a path of the configuration.
pub fn is_valid_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.')
}

/// Longest name in bytes.
pub const MAX_NAME_BYTES: usize = 64;
