//! What stands in the platform's key-value service for one claim.

use derive_more::Display;
use ids::{Digest, IdempotencyKey, Version, WorkspaceId};
use serde::{Deserialize, Serialize};

/// Largest body that is kept, bytes. A value holds at most 1 MB, and a body that is not text grows fourfold.
pub const KEPT_BYTES: usize = 64 * 1024;

/// A random number that tells one attempt to claim from all others.
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
    /// Whose it is.
    pub nonce: Nonce,
    /// Which call the key stands for.
    pub call: Digest,
    /// Wall clock of the holder when it began to claim, milliseconds since 1970. Only tells "in progress" from
    /// "unknown", both of which are true; at most once never hangs on a clock.
    pub at: u64,
    /// How far it has come.
    pub state: ClaimState,
}

/// How far a claimed call has come.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClaimState {
    /// It may be running.
    Claimed,
    /// It ran, and this was the endpoint's answer.
    Done(StoredAnswer),
    /// It may have run, and nobody will know.
    Unknown,
}

/// An endpoint's whole answer.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct StoredAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type, if the endpoint named one.
    pub content: Option<String>,
    /// The body.
    pub body: Body,
}

/// A kept body.
#[derive(Debug, Clone, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Body {
    /// Text, as most are.
    Text(String),
    /// Anything else.
    Bytes(Vec<u8>),
    /// The call ran; its body of this many bytes was too large to keep.
    TooLarge(u64),
}

impl Body {
    /// What is kept of `body`.
    pub fn from_bytes(body: &[u8]) -> Self {
        if body.len() > KEPT_BYTES {
            return Self::TooLarge(body.len() as u64);
        }
        match std::str::from_utf8(body) {
            Ok(text) => Self::Text(text.to_owned()),
            Err(_) => Self::Bytes(body.to_vec()),
        }
    }

    /// The whole body, unless it was too large to keep.
    pub fn as_bytes(&self) -> Option<&[u8]> {
        match self {
            Self::Text(text) => Some(text.as_bytes()),
            Self::Bytes(bytes) => Some(bytes),
            Self::TooLarge(_) => None,
        }
    }
}

/// What the platform showed of a claim's entry.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EntryState<'a> {
    /// Version of the entry, 0 if it never existed.
    pub version: Version,
    /// Its value, absent if it does not exist.
    pub value: Option<&'a str>,
}

impl Record {
    /// The record as stored.
    pub fn to_value(&self) -> String {
        serde_json::to_string(self).expect("a record has no map and no failing serializer")
    }

    /// The record of a stored value; none if it cannot be read, and then nobody may run the call.
    pub fn from_value(value: &str) -> Option<Self> {
        serde_json::from_str(value).ok()
    }
}

/// Name of the entry that holds the claim of `key` in `workspace`. A digest, so that no key of one workspace can
/// be written so as to meet another's.
pub fn claim_key(workspace: &WorkspaceId, key: &IdempotencyKey) -> String {
    format!(
        "claims/{}",
        call_digest(&[workspace.as_str().as_bytes(), key.as_str().as_bytes()])
    )
}

/// Digest of a call's parts (method, service, path and query, content type, body), each with its length, so that
/// moving a byte from one part to the next gives another digest.
pub fn call_digest(parts: &[&[u8]]) -> Digest {
    let mut text = Vec::with_capacity(parts.iter().map(|part| part.len() + size_of::<u64>()).sum());
    for part in parts {
        text.extend_from_slice(&(part.len() as u64).to_le_bytes());
        text.extend_from_slice(part);
    }
    Digest::of(&text)
}
