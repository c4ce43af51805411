//! The choice of an endpoint for one request.
//!
//! Every endpoint worth a look becomes an offer: the prompt's homes by hash, the next ones in rank, endpoints that are
//! known to hold a part of it, and two drawn at random. The offer with the least cost is taken: its expected wait plus
//! the price of the blocks that it would have to compute.

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
use crate::{Holder, LearntIndex, PrefixChain};
use ids::Incarnation;
use std::time::Duration;

/// Chooses endpoints for one pool, and remembers what it learnt.
#[derive(Debug, Clone)]
pub struct Placer {
    settings: PlacerBuilder,
    index: LearntIndex,
    shares: LevelShares,
    homes: Homes,
    offers: Offers,
}

impl Placer {
    /// A builder with the defaults that the experiment arrived at.
    pub fn builder() -> PlacerBuilder {
        PlacerBuilder::default()
    }

    /// Chooses one of `candidates`, which are sorted by endpoint without doubles. `draw` is a uniform random number.
    /// Changes nothing that later choices depend on, so a choice may be tried and dropped.
    ///
    /// # Panics
    ///
    /// If the candidates are not sorted.
    pub fn choose(&mut self, chain: &PrefixChain, candidates: &[Candidate], now: Duration, draw: u64) -> Choice {
        let ascending = |pair: &[Candidate]| pair[0].endpoint < pair[1].endpoint;
        assert!(
            candidates.windows(2).all(ascending),
            "candidates are sorted by endpoint, without doubles"
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
        self.offers.add_drawn(candidates, draw);
        if self.offers.all().is_empty() {
            self.offers.add_open(candidates);
        }
        self.cheapest(chain, candidates)
    }

    /// A reply showed that `endpoint` now holds all of `chain`; `cached` blocks were there before.
    ///
    /// # Panics
    ///
    /// If more blocks were cached than the chain has.
    pub fn learn(
        &mut self,
        endpoint: EndpointKey,
        incarnation: Incarnation,
        chain: &PrefixChain,
        cached: usize,
        now: Duration,
    ) {
        assert!(cached <= chain.blocks().len(), "no more is cached than the prompt has");
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

    /// Forgets all about an endpoint that left or crashed.
    pub fn forget(&mut self, endpoint: EndpointKey) {
        self.index.doubt(endpoint);
    }

    /// The endpoint's cache events have a gap: what is believed of it may be gone, so nothing is believed.
    pub fn mark_uncertain(&mut self, endpoint: EndpointKey) {
        self.index.doubt(endpoint);
    }

    /// What was learnt.
    pub fn index(&self) -> &LearntIndex {
        &self.index
    }

    /// Room in the buffers kept between choices. A choice allocates nothing else, so a choice that leaves this as it was
    /// has not allocated.
    pub fn scratch_capacity(&self) -> usize {
        self.homes.capacity() + self.offers.capacity()
    }

    /// Offers the endpoints that are known to hold a part of the prompt, each with the longest part.
    fn offer_learnt(&mut self, chain: &PrefixChain, candidates: &[Candidate], now: Duration) {
        let first = self.offers.all().len();
        for (at, block) in chain.blocks().iter().enumerate().rev() {
            for holder in self.index.holders(*block) {
                let mut offered = self.offers.all()[first..].iter();
                let known = offered.any(|offer| candidates[offer.index].endpoint == holder.endpoint);
                if known || now.saturating_sub(holder.seen) > self.settings.entry_ttl {
                    continue;
                }
                let Ok(index) = candidates.binary_search_by_key(&holder.endpoint, |known| known.endpoint) else {
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
        let price = self.settings.price.of(candidates);
        let blocks = chain.blocks().len() as f64;
        let cost = |offer: &Offer| price.cost(&candidates[offer.index], blocks - offer.cached);
        let best = self
            .offers
            .all()
            .iter()
            .min_by(|one, other| cost(one).total_cmp(&cost(other)));
        let Some(best) = best else { return Choice::Full };
        assert!(candidates[best.index].has_room(), "a limit is never passed");
        Choice::At(Pick {
            index: best.index,
            cached: best.cached as usize,
            reason: best.reason,
        })
    }
}
