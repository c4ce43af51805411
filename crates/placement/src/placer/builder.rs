//! Settings of a placer.

use super::Placer;
use super::homes::{Homes, MAX_RANKS};
use super::offer::Offers;
use super::price::Pricing;
use super::share::LevelShares;
use crate::PrefixIndex;
use std::time::Duration;

/// Builds a [`Placer`]. Each mechanism can be switched off to measure its effect. `docs/DECISIONS.md` explains the
/// defaults.
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
    /// Whether endpoints are ranked by hash for each level.
    pub fn hashing(mut self, on: bool) -> Self {
        self.hashing = on;
        self
    }

    /// Whether replies to own placements are recorded in the index.
    pub fn learning(mut self, on: bool) -> Self {
        self.learning = on;
        self
    }

    /// How long an index entry is valid without being confirmed. Engines evict within seconds.
    pub fn entry_ttl(mut self, time: Duration) -> Self {
        self.entry_ttl = time;
        self
    }

    /// Maximum number of blocks in the index and of counted levels.
    pub fn capacity(mut self, blocks: usize) -> Self {
        self.capacity = blocks;
        self
    }

    /// Number of ranks after the homes that are offered at each level, at most 4.
    pub fn ranks(mut self, count: usize) -> Self {
        self.ranks = count.min(MAX_RANKS);
        self
    }

    /// Minimum share of all endpoints that the outermost level selects. A smaller share would save copies of the
    /// outermost prefix, but some endpoints would be selected by many levels and others by none.
    pub fn outer_share(mut self, share: f64) -> Self {
        self.outer_share = share;
        self
    }

    /// Share of a very hot level's blocks that is expected to be cached at the next rank.
    pub fn spill_hit_share(mut self, share: f64) -> Self {
        self.spill_hit_share = share;
        self
    }

    /// Time constant in which request counts decay to 37%.
    pub fn decay_time(mut self, time: Duration) -> Self {
        self.decay_time = time;
        self
    }

    /// Tokens per block.
    pub fn block_tokens(mut self, tokens: u32) -> Self {
        self.price.block_tokens = tokens;
        self
    }

    /// Prefill rate of the pool's median endpoint, in tokens per second.
    pub fn prefill_rate(mut self, rate: f64) -> Self {
        self.price.prefill_rate = rate;
        self
    }

    /// Round-trip time to an endpoint in another failure domain.
    pub fn domain_rtt(mut self, time: Duration) -> Self {
        self.price.domain_rtt = time;
        self
    }

    /// Price of a second of recomputation in an idle pool, in seconds of waiting.
    pub fn price_base(mut self, seconds: f64) -> Self {
        self.price.base = seconds;
        self
    }

    /// Increase of that price per second of the pool's mean wait.
    pub fn price_rise(mut self, rise: f64) -> Self {
        self.price.rise = rise;
        self
    }

    /// Builds a placer with an empty index.
    pub fn build(self) -> Placer {
        let index = PrefixIndex::new(self.capacity, self.entry_ttl);
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
