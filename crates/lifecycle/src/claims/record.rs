//! The entry of one claim in the platform's key-value service.

use derive_more::Display;
use ids::{Digest, IdempotencyKey, Version, WorkspaceId};
use serde::{Deserialize, Serialize};

/// Largest body that is stored, bytes. A value holds at most 1 MB, and a body that is not text grows fourfold in JSON.
pub const MAX_BODY_BYTES: usize = 64 * 1024;

/// A random number that identifies one attempt to acquire a claim.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Nonce(String);

impl From<u128> for Nonce {
    fn from(random: u128) -> Self {
        Self(format!("{random:032x}"))
    }
}

/// A claim as it is stored, in JSON.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Record {
    /// The attempt that holds the claim.
    pub nonce: Nonce,
    /// Digest of the call that the key belongs to.
    pub call: Digest,
    /// Wall clock of the holder when it started to acquire the claim, milliseconds since 1970. Only distinguishes "in
    /// progress" from "unknown", which are both correct. At-most-once execution does not depend on a clock.
    pub at: u64,
    /// State of the call.
    pub state: ClaimState,
}

/// State of a claimed call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// It may be running.
    Claimed,
    /// It ran, with this answer.
    Done(StoredAnswer),
    /// It may have run; this can no longer be determined.
    Unknown,
}

/// An endpoint's complete answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, if the endpoint named one.
    pub content: Option<String>,
    /// The body.
    pub body: Body,
}

/// A stored body.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// UTF-8 text.
    Text(String),
    /// Anything else.
    Bytes(Vec<u8>),
    /// The call ran, but its body of this many bytes was too large to store.
    TooLarge(u64),
}

impl Body {
    /// The stored form of `body`.
    pub fn from_bytes(body: &[u8]) -> Self {
        if body.len() > MAX_BODY_BYTES {
            return Self::TooLarge(body.len() as u64);
        }
        match std::str::from_utf8(body) {
            Ok(text) => Self::Text(text.to_owned()),
            Err(_) => Self::Bytes(body.to_vec()),
        }
    }

    /// The complete body, unless it was too large to store.
    pub fn as_bytes(&self) -> Option<&[u8]> {
        match self {
            Self::Text(text) => Some(text.as_bytes()),
            Self::Bytes(bytes) => Some(bytes),
            Self::TooLarge(_) => None,
        }
    }
}

/// The entry of a claim as read from the platform.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryState<'a> {
    /// Version of the entry, 0 if it never existed.
    pub version: Version,
    /// Its value, or `None` if it does not exist.
    pub value: Option<&'a str>,
}

impl Record {
    /// The record as a stored value.
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).expect("a record has no map and no failing serializer")
    }

    /// The record in a stored value. `None` if it cannot be parsed; then no router may run the call.
    pub fn from_value(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }
}

/// Name of the entry for the claim of `key` in `workspace`. It is a digest, so that a key of one workspace cannot be
/// chosen to collide with a key of another.
pub fn claim_key(workspace: &WorkspaceId, key: &IdempotencyKey) -> String {
    format!(
        "claims/{}",
        call_digest(&[workspace.as_str().as_bytes(), key.as_str().as_bytes()])
    )
}

/// Digest of a call's parts (method, service, path and query, content type, body). Each part is prefixed with its
/// length, so that moving a byte from one part to the next changes the digest.
pub fn call_digest(parts: &[&[u8]]) -> Digest {
    let mut text = Vec::with_capacity(parts.iter().map(|part| part.len() + size_of::<u64>()).sum());
    for part in parts {
        text.extend_from_slice(&(part.len() as u64).to_le_bytes());
        text.extend_from_slice(part);
    }
    Digest::of(&text)
}
