//! Typed identifiers.
//!
//! Each identifier wraps an `Arc<str>`, so that a clone only increments a
//! reference count.

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
            /// Identifier with this name.
            pub fn new(name: &str) -> Self {
                Self(Arc::from(name))
            }

            /// Name as a string slice.
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
    /// Entry host: one process of the gateway.
    HostId
);
id_type!(
    /// Upstream: a model engine or a plain service.
    UpstreamId
);
id_type!(
    /// Organisation whose callers share the deployment with those of others.
    OrganisationId
);
id_type!(
    /// Version of an upstream's software, without an order.
    SoftwareVersion
);
id_type!(
    /// Team that sends requests.
    TeamId
);
id_type!(
    /// Availability zone.
    ZoneId
);
id_type!(
    /// Service to which upstreams belong.
    ServiceId
);
id_type!(
    /// Model, by the name that engines use.
    ModelId
);
id_type!(
    /// Adapter, unique within its model.
    AdapterId
);
id_type!(
    /// One version of one team's model, written `team/model@version`.
    ArtifactId
);

impl ArtifactId {
    /// Identifier of a version of a team's model.
    pub fn from_parts(team: &str, model: &str, version: &str) -> Self {
        Self::new(&format!("{team}/{model}@{version}"))
    }

    /// Part before the version, `team/model`.
    pub fn model(&self) -> &str {
        self.as_str().split('@').next().unwrap_or_default()
    }
}

/// True if `name` is valid as part of a configuration path.
pub fn is_valid_name(name: &str) -> bool {
    !name.is_empty()
        && name.len() <= MAX_NAME_BYTES
        && name
            .bytes()
            .all(|b| b.is_ascii_lowercase() || b.is_ascii_digit() || b == b'-' || b == b'.')
}

/// Maximum length of a name in bytes.
pub const MAX_NAME_BYTES: usize = 64;
