//! Settings of a placer.

use super::share::LevelShares;
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
    pub(super) ranks: usize,
    pub(super) trust: f64,
    pub(super) fill: f64,
    pub(super) fade: Duration,
    pub(super) prior: f64,
    pub(super) prior_weight: f64,
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
            ranks: 2,
            trust: 0.7,
            fill: 0.6,
            fade: Duration::from_secs(20),
            prior: 0.2,
            prior_weight: 5.0,
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

    /// How many ranks of a level are offered, at most as many as a ranking holds.
    pub fn ranks(mut self, count: usize) -> Self {
        self.ranks = count;
        self
    }

    /// Share of the blocks learnt of an endpoint that is no home which counts.
    pub fn trust(mut self, trust: f64) -> Self {
        self.trust = trust;
        self
    }

    /// Share of one endpoint's fair load that one home of a level takes before the level gets another.
    pub fn fill(mut self, fill: f64) -> Self {
        self.fill = fill;
        self
    }

    /// Time in which counts of requests fade to 37%.
    pub fn fade(mut self, fade: Duration) -> Self {
        self.fade = fade;
        self
    }

    /// Share of the next outer level's requests that a level is believed to have before requests were counted.
    pub fn prior(mut self, prior: f64) -> Self {
        self.prior = prior;
        self
    }

    /// How many counted requests the prior weighs as much as.
    pub fn prior_weight(mut self, prior_weight: f64) -> Self {
        self.prior_weight = prior_weight;
        self
    }

    /// The placer, empty.
    pub fn build(self) -> Placer {
        let index = LearntIndex::new(self.capacity, self.keep);
        let shares = LevelShares::new(self.fade, self.capacity);
        Placer {
            settings: self,
            index,
            shares,
            set: Vec::new(),
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
