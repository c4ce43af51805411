//! Choice of an endpoint for one request.
//!
//! The following endpoints are considered: the prompt's homes by hash, the next ones in rank, endpoints that are known
//! to hold a part of the prompt, and two drawn at random. The one with the lowest cost is chosen: its expected wait
//! plus the price of the blocks that it would have to compute.

mod builder;
mod candidate;
mod homes;
mod offer;
mod price;
mod share;

pub use builder::PlacerBuilder;
pub use candidate::{Candidate, Choice, EndpointKey, Pick, Reason};
pub use homes::score;

use self::homes::Homes;
use self::offer::{Offer, Offers};
use self::share::LevelShares;
use crate::{Holder, PrefixChain, PrefixIndex};
use ids::Incarnation;
use std::time::Duration;

/// Share of the cache hits expected at a home that are credited to it while its cache is cold: later requests will find
/// the prefix there.
const COLD_HOME_SHARE: f64 = 0.3;

/// Chooses endpoints for one pool, and maintains the index of cached blocks.
#[derive(Debug, Clone)]
pub struct Placer {
    settings: PlacerBuilder,
    index: PrefixIndex,
    shares: LevelShares,
    homes: Homes,
    offers: Offers,
}

impl Placer {
    /// Returns a builder with the defaults.
    pub fn builder() -> PlacerBuilder {
        PlacerBuilder::default()
    }

    /// Chooses one of `candidates`, which are sorted by endpoint without duplicates. `draw` is a uniform random number.
    /// Does not affect later choices, so a choice may be discarded.
    ///
    /// # Panics
    ///
    /// If the candidates are not sorted.
    pub fn choose(&mut self, chain: &PrefixChain, candidates: &[Candidate], now: Duration, draw: u64) -> Choice {
        let ascending = |pair: &[Candidate]| pair[0].endpoint < pair[1].endpoint;
        assert!(
            candidates.windows(2).all(ascending),
            "candidates must be sorted by endpoint, without duplicates"
        );
        self.offers.clear();
        if self.settings.hashing {
            let shares = |level| self.shares.share(level, now);
            self.homes
                .offer(&self.settings, chain, candidates, shares, &mut self.offers);
        }
        if self.settings.learning {
            self.offer_learnt(chain, candidates, now);
        }
        self.offers.add_random(candidates, draw);
        if self.offers.all().is_empty() {
            self.offers.add_all(candidates);
        }
        self.cheapest(chain, candidates)
    }

    /// Records a reply that shows that `endpoint` now holds all of `chain`, `cached` blocks of which were cached
    /// before.
    ///
    /// # Panics
    ///
    /// If `cached` exceeds the blocks of the chain.
    pub fn learn(
        &mut self,
        endpoint: EndpointKey,
        incarnation: Incarnation,
        chain: &PrefixChain,
        cached: usize,
        now: Duration,
    ) {
        assert!(cached <= chain.blocks().len(), "more blocks cached than the prompt has");
        self.shares.count(chain.levels(), now);
        if self.settings.learning {
            self.index.insert(
                chain.blocks(),
                Holder {
                    endpoint,
                    incarnation,
                    seen: now,
                },
            );
        }
    }

    /// Sets the prefill rate of the pool's median endpoint, in tokens per second.
    pub fn set_prefill_rate(&mut self, rate: f64) {
        self.settings.price.prefill_rate = rate;
    }

    /// Invalidates all entries of an endpoint that left or crashed.
    pub fn forget(&mut self, endpoint: EndpointKey) {
        self.index.invalidate(endpoint);
    }

    /// Invalidates all entries of an endpoint whose cache events have a gap: evictions may have been missed.
    pub fn mark_uncertain(&mut self, endpoint: EndpointKey) {
        self.index.invalidate(endpoint);
    }

    /// Index of cached blocks.
    pub fn index(&self) -> &PrefixIndex {
        &self.index
    }

    /// Capacity of the buffers that are reused between choices. A choice allocates nothing else, so a choice that
    /// leaves this unchanged has not allocated.
    pub fn scratch_capacity(&self) -> usize {
        self.homes.capacity() + self.offers.capacity()
    }

    /// Offers the endpoints that are known to hold a part of the prompt, each with its longest part.
    fn offer_learnt(&mut self, chain: &PrefixChain, candidates: &[Candidate], now: Duration) {
        let first = self.offers.all().len();
        for (at, block) in chain.blocks().iter().enumerate().rev() {
            for holder in self.index.holders(*block) {
                let mut offered = self.offers.all()[first..].iter();
                let exists = offered.any(|offer| candidates[offer.index].endpoint == holder.endpoint);
                if exists || now.saturating_sub(holder.seen) > self.settings.entry_ttl {
                    continue;
                }
                let Ok(index) = candidates.binary_search_by_key(&holder.endpoint, |candidate| candidate.endpoint)
                else {
                    continue;
                };
                if candidates[index].incarnation != holder.incarnation {
                    continue;
                }
                self.offers
                    .add(candidates, Offer::new(index, (at + 1) as f64, Reason::Learnt));
            }
        }
    }

    fn cheapest(&self, chain: &PrefixChain, candidates: &[Candidate]) -> Choice {
        let price = self.settings.price.for_candidates(candidates);
        let blocks = chain.blocks().len() as f64;
        let is_cold = |offer: &Offer| candidates[offer.index].cold && offer.reason != Reason::Learnt;
        let cost = |offer: &Offer| {
            let share = if is_cold(offer) { COLD_HOME_SHARE } else { 1.0 };
            price.cost(&candidates[offer.index], blocks - offer.cached * share)
        };
        let best = self.offers.all().iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
        let Some(best) = best else { return Choice::Full };
        assert!(candidates[best.index].has_room(), "the chosen endpoint is at its limit");
        Choice::At(Pick {
            index: best.index,
            cached: best.cached as usize,
            cold: is_cold(best),
            reason: best.reason,
        })
    }
}
