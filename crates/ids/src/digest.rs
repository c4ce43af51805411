//! BLAKE3 digests, formatted as 64 lower-case hexadecimal digits.

use derive_more::Display;
use serde::{Deserialize, Deserializer, Serialize, Serializer, de};
use std::str::FromStr;

const BYTES: usize = 32;

/// A BLAKE3 digest of some content.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{}", blake3::Hash::from_bytes(*_0).to_hex())]
pub struct Digest([u8; BYTES]);

/// The text is not 64 hexadecimal digits.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[display("a digest is written as 64 hexadecimal digits")]
pub struct ParseDigestError;

impl std::error::Error for ParseDigestError {}

impl Digest {
    /// Digest of `content`.
    pub fn of(content: &[u8]) -> Self {
        Self(*blake3::hash(content).as_bytes())
    }

    /// The first eight bytes as a number, for maps and rendezvous hashing.
    pub fn prefix(&self) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.0[..8]);
        u64::from_le_bytes(first)
    }
}

impl FromStr for Digest {
    type Err = ParseDigestError;

    fn from_str(text: &str) -> Result<Self, ParseDigestError> {
        let hash = blake3::Hash::from_hex(text).map_err(|_| ParseDigestError)?;
        Ok(Self(*hash.as_bytes()))
    }
}

impl Serialize for Digest {
    fn serialize<S: Serializer>(&self, to: S) -> Result<S::Ok, S::Error> {
        to.collect_str(self)
    }
}

impl<'de> Deserialize<'de> for Digest {
    fn deserialize<D: Deserializer<'de>>(from: D) -> Result<Self, D::Error> {
        let text = String::deserialize(from)?;
        text.parse().map_err(de::Error::custom)
    }
}
