//! What a choice is made from, and its outcome.

use derive_more::{Display, From, Into};
use ids::{EndpointId, Incarnation};
use xxhash_rust::xxh3::xxh3_64;

/// Stands for an endpoint in hashes, the same at every router.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, From, Into)]
pub struct EndpointKey(pub u64);

impl From<&EndpointId> for EndpointKey {
    fn from(id: &EndpointId) -> Self {
        Self(xxh3_64(id.as_str().as_bytes()))
    }
}

/// An endpoint that may be chosen. The caller leaves out those that are leaving, dead or serve other weights.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Its life now.
    pub incarnation: Incarnation,
    /// Whether it is in this router's failure domain.
    pub same_domain: bool,
    /// Requests in flight from this router.
    pub in_flight: u32,
    /// Most requests this router may have in flight there.
    pub limit: u32,
    /// Prompt tokens that a new request would wait for; see [`crate::Estimate`].
    pub queued: u64,
    /// Relative to the pool's median, 1.0 as fast; see [`crate::Estimate`].
    pub speed: f64,
    /// Relative share of homes, 1.0 the mean; see [`crate::Estimate`].
    pub weight: f64,
}

impl Candidate {
    /// Whether the limit leaves room for one more.
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
    /// The next in rank by hash, since the homes are too busy.
    Spill,
    /// A reply showed that the prefix was there.
    Learnt,
    /// Drawn at random: no cache would help enough.
    Drawn,
}

/// A chosen endpoint.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Pick {
    /// Its place among the candidates.
    pub index: usize,
    /// Blocks of the prompt expected in its cache.
    pub cached: usize,
    /// Why.
    pub reason: Reason,
}

/// The outcome of a choice.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Choice {
    /// Send it there.
    At(Pick),
    /// No candidate has room.
    Full,
}
