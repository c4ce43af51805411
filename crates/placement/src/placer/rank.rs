//! Rendezvous hashing: every router ranks all endpoints for a level alike, without talking, and an endpoint that comes
//! or goes moves only its own share of the levels.

use super::{EndpointKey, Reason};

/// Ranks considered for one level.
pub const RANKS: usize = 4;

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

/// Score of `endpoint` for a level; the highest is the level's first choice.
pub fn score(level: u64, endpoint: EndpointKey) -> u64 {
    let mut mixed = level ^ endpoint.0.rotate_left(32);
    mixed = (mixed ^ (mixed >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 32)
}

/// The highest scores, best first.
#[derive(Debug, Clone, Copy, Default)]
pub struct Ranking {
    best: [(u64, usize); RANKS],
    len: usize,
}

impl Ranking {
    /// Takes in one endpoint.
    pub fn push(&mut self, score: u64, index: usize) {
        if self.len == RANKS && score <= self.best[RANKS - 1].0 {
            return;
        }
        let at = self.best[..self.len].partition_point(|known| known.0 >= score);
        self.len = (self.len + 1).min(RANKS);
        self.best[at..self.len].rotate_right(1);
        self.best[at] = (score, index);
    }

    /// Places among the candidates, best first.
    pub fn iter(&self) -> impl Iterator<Item = usize> {
        self.best[..self.len].iter().map(|known| known.1)
    }
}
