//! Settings of a placer.

use super::Placer;
use super::homes::{Homes, MAX_RANKS};
use super::offer::Offers;
use super::price::Pricing;
use super::share::LevelShares;
use crate::LearntIndex;
use std::time::Duration;

/// Builds a [`Placer`]. Each mechanism can be switched off, so that its worth can be measured. The defaults are the best
/// of several hundred settings tried by the experiment over both deployments, see `docs/DECISIONS.md`.
#[derive(Debug, Clone)]
pub struct PlacerBuilder {
    pub(super) hashes: bool,
    pub(super) learns: bool,
    pub(super) keep: Duration,
    pub(super) ranks: usize,
    pub(super) spread: f64,
    pub(super) belief: f64,
    pub(super) price: Pricing,
    capacity: usize,
    fade: Duration,
}

impl Default for PlacerBuilder {
    fn default() -> Self {
        Self {
            hashes: true,
            learns: true,
            keep: Duration::from_secs(5),
            ranks: 2,
            spread: 0.5,
            belief: 0.5,
            price: Pricing {
                tokens: 1024,
                rate: 20_000.0,
                crossing: Duration::from_millis(3),
                base: 3.0,
                rise: 4.0,
            },
            capacity: 100_000,
            fade: Duration::from_secs(30),
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

    /// How long a learnt block is believed without being seen again. Engines evict within seconds.
    pub fn keep(mut self, time: Duration) -> Self {
        self.keep = time;
        self
    }

    /// Most blocks remembered, and most levels counted.
    pub fn capacity(mut self, blocks: usize) -> Self {
        self.capacity = blocks;
        self
    }

    /// How many ranks after the homes are offered at each level, at most 4.
    pub fn ranks(mut self, count: usize) -> Self {
        self.ranks = count.min(MAX_RANKS);
        self
    }

    /// Least share of all endpoints that the outermost level selects. Fewer would save copies of the outermost layer, but
    /// some endpoints would be selected by many levels and others by none.
    pub fn spread(mut self, share: f64) -> Self {
        self.spread = share;
        self
    }

    /// Share of a very hot level's blocks that are expected at the next rank.
    pub fn belief(mut self, share: f64) -> Self {
        self.belief = share;
        self
    }

    /// Time in which counts of requests fade to 37%.
    pub fn fade(mut self, time: Duration) -> Self {
        self.fade = time;
        self
    }

    /// Tokens of a block.
    pub fn tokens(mut self, tokens: u32) -> Self {
        self.price.tokens = tokens;
        self
    }

    /// Tokens a second that the pool's median endpoint prefills.
    pub fn rate(mut self, rate: f64) -> Self {
        self.price.rate = rate;
        self
    }

    /// What a request pays for an endpoint in another failure domain: there and back.
    pub fn crossing(mut self, time: Duration) -> Self {
        self.price.crossing = time;
        self
    }

    /// Price of a second of recomputing in an idle pool, in seconds of waiting.
    pub fn price_base(mut self, seconds: f64) -> Self {
        self.price.base = seconds;
        self
    }

    /// Rise of that price for each second of the pool's mean wait.
    pub fn price_rise(mut self, rise: f64) -> Self {
        self.price.rise = rise;
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
            homes: Homes::default(),
            offers: Offers::default(),
        }
    }
}
