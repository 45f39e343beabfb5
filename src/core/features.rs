//! Mechanisms that hosts understand beyond those of all releases.
//!
//! During an upgrade hosts of two releases serve together. A host states its features in
//! its entry of the host list, and a message that belongs to a feature is sent only to
//! hosts that state it. Names that a host does not know are ignored.

use serde::{Deserialize, Serialize};

/// Mechanism that a host of an older release may lack.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Feature {
    /// Takes over the organisation of a request that another host sends.
    Organisations,
    /// Delegates its shares of quotas, and keeps accounts of them.
    Quotas,
    /// Keeps and uses accounts of places at ordinary upstreams.
    SharedPlaces,
    /// Understands origins of streams that are not certain.
    OriginClaims,
}

impl Feature {
    /// All features of this release.
    pub const ALL: [Self; 4] = [
        Self::Organisations,
        Self::Quotas,
        Self::SharedPlaces,
        Self::OriginClaims,
    ];

    /// Name in entries of hosts.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Organisations => "organisations",
            Self::Quotas => "quotas",
            Self::SharedPlaces => "shared_places",
            Self::OriginClaims => "origin_claims",
        }
    }
}

/// Features that a host states.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Features(Vec<String>);

impl Features {
    /// Features of this release.
    pub fn own() -> Self {
        Self(Feature::ALL.map(|f| f.as_str().to_owned()).to_vec())
    }

    /// True if a feature is stated.
    pub fn has(&self, feature: Feature) -> bool {
        self.0.iter().any(|name| name == feature.as_str())
    }
}
