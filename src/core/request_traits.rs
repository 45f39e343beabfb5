//! What requests have in common, by which those that crash upstreams are recognised.
//!
//! Load pattern: callers send any number of distinct requests, so that only fingerprints
//! of fixed size are kept and compared.

use std::fmt;

use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// Largest number of prompt parts of one request that are compared.
const MAX_PARTS: usize = 8;

/// Depth of the whole request, which is more specific than any part of its prompt.
pub const WHOLE_REQUEST: usize = usize::MAX;

/// Hash for which callers cannot find a second input.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Fingerprint(u64);

impl Fingerprint {
    /// Fingerprint of fields; the order and the limits of the fields matter.
    pub fn of(fields: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for field in fields {
            hash.update((field.len() as u64).to_be_bytes());
            hash.update(field);
        }
        let digest = hash.finalize();
        let head = digest.iter().take(size_of::<u64>());
        Self(head.fold(0, |number, byte| (number << 8) | u64::from(*byte)))
    }
}

impl fmt::Display for Fingerprint {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// What requests that crash upstreams may have in common.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
pub enum Suspect {
    /// Part of the prompt.
    #[serde(rename = "p")]
    Part(Fingerprint),
    /// The request as a whole.
    #[serde(rename = "w")]
    Whole(Fingerprint),
}

impl fmt::Display for Suspect {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Part(part) => write!(f, "part:{part}"),
            Self::Whole(whole) => write!(f, "request:{whole}"),
        }
    }
}

/// What the caller sends, apart from headers that differ with each attempt.
#[derive(Clone, Copy, Debug)]
pub struct RequestContent<'a> {
    /// Method.
    pub method: &'a str,
    /// Path and query.
    pub target: &'a str,
    /// Body.
    pub body: &'a [u8],
}

/// Fingerprints of one request.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct RequestTraits {
    /// Caller.
    #[serde(rename = "c")]
    pub caller: Fingerprint,
    /// The request as a whole: repeated by the same caller, it is the same.
    #[serde(rename = "w")]
    pub whole: Fingerprint,
    /// Parts of its prompt that other requests may share, first part first.
    #[serde(rename = "p")]
    pub parts: Vec<Fingerprint>,
}

impl RequestTraits {
    /// Traits of a caller's request. The last part of its prompt is its own.
    pub fn new(caller: &[u8], content: RequestContent<'_>, prompt_parts: &[String]) -> Self {
        let shared = prompt_parts.split_last().map_or(&[][..], |(_, rest)| rest);
        let fingerprint = |part: &String| Fingerprint::of(&[b"part", part.as_bytes()]);
        let RequestContent {
            method,
            target,
            body,
        } = content;
        Self {
            caller: Fingerprint::of(&[b"caller", caller]),
            whole: Fingerprint::of(&[b"whole", caller, method.as_bytes(), target.as_bytes(), body]),
            parts: shared.iter().take(MAX_PARTS).map(fingerprint).collect(),
        }
    }

    /// What it may have in common with others, each with its depth: the place of a part
    /// in the prompt, and more for the whole request.
    pub fn suspects(&self) -> impl Iterator<Item = (Suspect, usize)> {
        let parts = self.parts.iter().enumerate();
        let parts = parts.map(|(index, part)| (Suspect::Part(*part), index));
        parts.chain(std::iter::once((Suspect::Whole(self.whole), WHOLE_REQUEST)))
    }

    /// True if a suspect is among its traits.
    pub fn has(&self, suspect: Suspect) -> bool {
        self.suspects().any(|(own, _)| own == suspect)
    }
}
