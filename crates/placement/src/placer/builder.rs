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
    pub(super) hashing: bool,
    pub(super) learning: bool,
    pub(super) entry_ttl: Duration,
    pub(super) ranks: usize,
    pub(super) outer_share: f64,
    pub(super) spill_hit_share: f64,
    pub(super) price: Pricing,
    capacity: usize,
    decay_time: Duration,
}

impl Default for PlacerBuilder {
    fn default() -> Self {
        Self {
            hashing: true,
            learning: true,
            entry_ttl: Duration::from_secs(5),
            ranks: 1,
            outer_share: 0.5,
            spill_hit_share: 0.95,
            price: Pricing {
                block_tokens: 1024,
                prefill_rate: 20_000.0,
                domain_rtt: Duration::from_millis(3),
                base: 3.0,
                rise: 4.0,
            },
            capacity: 100_000,
            decay_time: Duration::from_secs(30),
        }
    }
}

impl PlacerBuilder {
    /// Whether levels are ranked by hash.
    pub fn hashing(mut self, on: bool) -> Self {
        self.hashing = on;
        self
    }

    /// Whether own placements and replies are remembered.
    pub fn learning(mut self, on: bool) -> Self {
        self.learning = on;
        self
    }

    /// How long a learnt block is believed without being seen again. Engines evict within seconds.
    pub fn entry_ttl(mut self, time: Duration) -> Self {
        self.entry_ttl = time;
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
    pub fn outer_share(mut self, share: f64) -> Self {
        self.outer_share = share;
        self
    }

    /// Share of a very hot level's blocks that count as cached at the next rank.
    pub fn spill_hit_share(mut self, share: f64) -> Self {
        self.spill_hit_share = share;
        self
    }

    /// Time in which counts of requests fade to 37%.
    pub fn decay_time(mut self, time: Duration) -> Self {
        self.decay_time = time;
        self
    }

    /// Tokens of a block.
    pub fn block_tokens(mut self, tokens: u32) -> Self {
        self.price.block_tokens = tokens;
        self
    }

    /// Tokens a second that the pool's median endpoint prefills.
    pub fn prefill_rate(mut self, rate: f64) -> Self {
        self.price.prefill_rate = rate;
        self
    }

    /// What a request pays for an endpoint in another failure domain: there and back.
    pub fn domain_rtt(mut self, time: Duration) -> Self {
        self.price.domain_rtt = time;
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
        let index = LearntIndex::new(self.capacity, self.entry_ttl);
        let shares = LevelShares::new(self.decay_time, self.capacity);
        Placer {
            settings: self,
            index,
            shares,
            homes: Homes::default(),
            offers: Offers::default(),
        }
    }
}
