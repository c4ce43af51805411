//! Settings of a placer.

use super::{Candidate, Placer};
use crate::LearntIndex;
use std::time::Duration;

/// Builds a [`Placer`]. Each mechanism can be switched off, so that its worth can be measured.
#[derive(Debug, Clone)]
pub struct PlacerBuilder {
    pub(super) hashes: bool,
    pub(super) learns: bool,
    pub(super) capacity: usize,
    pub(super) keep: Duration,
    pub(super) belief: f64,
    tokens: u32,
    rate: f64,
    crossing: Duration,
    miss_weight: f64,
}

impl Default for PlacerBuilder {
    fn default() -> Self {
        Self {
            hashes: true,
            learns: true,
            capacity: 100_000,
            keep: Duration::from_secs(10),
            belief: 0.5,
            tokens: 1024,
            rate: 20_000.0,
            crossing: Duration::from_millis(3),
            miss_weight: 1.0,
        }
    }
}

impl PlacerBuilder {
    /// Whether levels are ranked by hash.
    pub fn hashes(mut self, on: bool) -> Self {
        self.hashes = on;
        self
    }

    /// Whether own placements and replies are remembered.
    pub fn learns(mut self, on: bool) -> Self {
        self.learns = on;
        self
    }

    /// Most blocks remembered.
    pub fn capacity(mut self, blocks: usize) -> Self {
        self.capacity = blocks;
        self
    }

    /// How long a learnt block is believed without being seen again.
    pub fn keep(mut self, time: Duration) -> Self {
        self.keep = time;
        self
    }

    /// Tokens of a block.
    pub fn tokens(mut self, tokens: u32) -> Self {
        self.tokens = tokens;
        self
    }

    /// Tokens a second that the pool's median endpoint prefills.
    pub fn rate(mut self, rate: f64) -> Self {
        self.rate = rate;
        self
    }

    /// What a request pays for an endpoint in another failure domain: there and back.
    pub fn crossing(mut self, time: Duration) -> Self {
        self.crossing = time;
        self
    }

    /// Weight of recomputing against waiting: recomputing also holds up those who come later.
    pub fn miss_weight(mut self, weight: f64) -> Self {
        self.miss_weight = weight;
        self
    }

    /// Share of a level's blocks expected at each next rank.
    pub fn belief(mut self, share: f64) -> Self {
        self.belief = share;
        self
    }

    /// The placer, empty.
    pub fn build(self) -> Placer {
        let index = LearntIndex::new(self.capacity, self.keep);
        Placer {
            settings: self,
            index,
            options: Vec::new(),
        }
    }

    /// Expected time to first token at `candidate`, in seconds, with recomputation weighted.
    pub(super) fn cost(&self, candidate: &Candidate, blocks: usize, cached: f64) -> f64 {
        let missed = (blocks as f64 - cached).max(0.0) * f64::from(self.tokens);
        let work = candidate.queued as f64 + missed * self.miss_weight;
        let crossing = if candidate.near {
            0.0
        } else {
            self.crossing.as_secs_f64()
        };
        work / (self.rate * candidate.speed.max(f64::MIN_POSITIVE)) + crossing
    }
}
