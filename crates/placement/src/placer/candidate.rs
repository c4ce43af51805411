//! Input and outcome of a choice.

use derive_more::{Display, From, Into};
use ids::{EndpointId, Incarnation};
use xxhash_rust::xxh3::xxh3_64;

/// Identifies an endpoint in hashes; the same at every router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, From, Into)]
pub struct EndpointKey(pub u64);

impl From<&EndpointId> for EndpointKey {
    fn from(id: &EndpointId) -> Self {
        Self(xxh3_64(id.as_str().as_bytes()))
    }
}

/// An endpoint that may be chosen. The caller excludes endpoints that are leaving, dead or serving other weights.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Its current incarnation.
    pub incarnation: Incarnation,
    /// Whether it is in this router's failure domain.
    pub same_domain: bool,
    /// Requests in flight from this router.
    pub in_flight: u32,
    /// Maximum number of requests in flight from this router.
    pub limit: u32,
    /// Prompt tokens queued ahead of a new request; see [`crate::Estimate`].
    pub queued: u64,
    /// Speed relative to the pool's median; see [`crate::Estimate`].
    pub speed: f64,
    /// Relative share of homes, 1.0 the mean; see [`crate::Estimate`].
    pub weight: f64,
    /// Whether its cache holds no block of the prompt, although it may be a home.
    pub cold: bool,
    /// Tokens, queued or missing in the cache, with which the answer would come late; infinite without an objective.
    pub late_tokens: f64,
    /// Additional cost of the endpoint, in seconds.
    pub penalty: f64,
}

impl Candidate {
    /// Whether the limit allows one more request.
    pub fn has_room(&self) -> bool {
        self.in_flight < self.limit
    }
}

/// Why an endpoint was chosen.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
#[display(rename_all = "snake_case")]
pub enum Reason {
    /// A home of the prompt by hash.
    Home,
    /// The next in rank by hash, because the homes are too busy.
    Spill,
    /// A reply showed the prefix in its cache.
    Learnt,
    /// Drawn at random, because no cache hit would save enough.
    Drawn,
}

/// A chosen endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pick {
    /// Its index in the candidates.
    pub index: usize,
    /// Blocks of the prompt expected in its cache, unless it is cold.
    pub cached: usize,
    /// Whether its cache holds none of them.
    pub cold: bool,
    /// Reason of the choice.
    pub reason: Reason,
}

/// The outcome of a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Place the request at this endpoint.
    At(Pick),
    /// No candidate has room.
    Full,
}
