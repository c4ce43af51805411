//! Rendezvous hashing: every router ranks all endpoints for a level alike, without talking, and an endpoint that comes
//! or goes moves only its own share of the levels.

use super::{EndpointKey, Reason};

/// An endpoint with what is expected of its cache.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Offer {
    /// Its place among the candidates.
    pub index: usize,
    /// Blocks expected in its cache.
    pub cached: f64,
    /// Why it is offered.
    pub reason: Reason,
}

impl Offer {
    /// An offer of `cached` blocks at the candidate `index`.
    pub fn new(index: usize, cached: f64, reason: Reason) -> Self {
        Self { index, cached, reason }
    }
}

/// Score of `endpoint` for a level; the highest is the level's first choice.
pub fn score(level: u64, endpoint: EndpointKey) -> u64 {
    let mut mixed = level ^ endpoint.0.rotate_left(32);
    mixed = (mixed ^ (mixed >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 32)
}
