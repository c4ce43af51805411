//! The choice of an endpoint for one request.

mod builder;
mod rank;
mod share;

pub use builder::PlacerBuilder;
pub use rank::score;

use self::rank::Offer;
use self::share::LevelShares;
use crate::{Holder, LearntIndex, PrefixChain};
use derive_more::{Display, From, Into};
use ids::{EndpointId, Incarnation};
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Stands for an endpoint in hashes, the same at every router.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, From, Into)]
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
    pub near: bool,
    /// Requests in flight from this router.
    pub in_flight: u32,
    /// Most requests this router may have in flight there.
    pub limit: u32,
    /// Prompt tokens that a new request would wait for.
    pub queued: u64,
    /// Relative to the pool's median: 1.0 as fast.
    pub speed: f64,
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
    /// The first choice by the hash of a level.
    Home,
    /// A later choice by the hash of a level, since the first is too busy.
    Spill,
    /// A reply showed that the prefix was there.
    Learnt,
    /// The least loaded of those drawn: no cache would help enough.
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

/// Chooses endpoints for one pool, and remembers what it learnt.
#[derive(Debug, Clone)]
pub struct Placer {
    settings: PlacerBuilder,
    index: LearntIndex,
    shares: LevelShares,
    set: Vec<(u64, usize)>,
    options: Vec<Offer>,
}

impl Placer {
    /// A builder with the defaults that the experiment arrived at.
    pub fn builder() -> PlacerBuilder {
        PlacerBuilder::default()
    }

    /// Chooses one of `candidates`, which are sorted by endpoint without doubles. `draw` is a uniform random number.
    ///
    /// # Panics
    ///
    /// If the candidates are not sorted.
    pub fn choose(&mut self, chain: &PrefixChain, candidates: &[Candidate], now: Duration, draw: u64) -> Choice {
        assert!(
            candidates.is_sorted_by_key(|candidate| candidate.endpoint),
            "candidates are sorted by endpoint"
        );
        self.options.clear();
        self.count(chain, now);
        self.offer_ranked(chain, candidates, now);
        self.offer_learnt(chain, candidates, now);
        self.offer_drawn(candidates, draw);
        if self.options.is_empty() {
            self.offer_all(candidates);
        }
        let cost = |offer: &Offer| {
            self.settings
                .cost(&candidates[offer.index], chain.blocks().len(), offer.cached)
        };
        let best = self.options.iter().min_by(|a, b| cost(a).total_cmp(&cost(b)));
        let Some(best) = best else { return Choice::Full };
        let pick = Pick {
            index: best.index,
            cached: best.cached as usize,
            reason: best.reason,
        };
        assert!(candidates[pick.index].has_room(), "a limit is never passed");
        Choice::At(pick)
    }

    /// A reply showed that `endpoint` has computed or found all of `chain`, `cached` blocks of it in its cache.
    pub fn learn(
        &mut self,
        endpoint: EndpointKey,
        incarnation: Incarnation,
        chain: &PrefixChain,
        cached: usize,
        now: Duration,
    ) {
        if !self.settings.learns || cached > chain.blocks().len() {
            return;
        }
        self.index.insert(
            chain.blocks(),
            Holder {
                endpoint,
                incarnation,
                seen: now,
            },
        );
    }

    /// Forgets all about an endpoint that left or crashed.
    pub fn forget(&mut self, endpoint: EndpointKey) {
        self.index.forget(endpoint);
    }

    /// The endpoint's cache events have a gap: what is believed of it may be gone, so nothing is believed.
    pub fn mark_uncertain(&mut self, endpoint: EndpointKey) {
        self.index.forget(endpoint);
    }

    /// What was learnt.
    pub fn index(&self) -> &LearntIndex {
        &self.index
    }

    fn count(&mut self, chain: &PrefixChain, now: Duration) {
        self.shares.count_request(now);
        for level in chain.levels() {
            self.shares.count_level(level.hash, now);
        }
    }

    /// Narrows all endpoints level by level to the few that the innermost level calls home, and offers those and, at
    /// each level, the next ones in rank.
    fn offer_ranked(&mut self, chain: &PrefixChain, candidates: &[Candidate], now: Duration) {
        if !self.settings.hashes {
            return;
        }
        self.set.clear();
        self.set.extend((0..candidates.len()).map(|index| (0, index)));
        let mut outer = 0;
        for (depth, level) in chain.levels().iter().enumerate() {
            for (rank, index) in &mut self.set {
                *rank = score(level.hash, candidates[*index].endpoint);
            }
            self.set.sort_unstable_by(|a, b| b.cmp(a));
            let prior = self.settings.prior.powi(depth as i32 + 1);
            let share = self.shares.share(level.hash, now, prior, self.settings.prior_weight);
            let width = (share * candidates.len() as f64 / self.settings.fill).ceil() as usize;
            let width = width.clamp(1, self.set.len());
            for (_, index) in self.set[width..].iter().take(self.settings.ranks) {
                let cached = outer as f64 + self.settings.belief * (level.blocks - outer) as f64;
                push_open(&mut self.options, candidates, Offer::new(*index, cached, Reason::Spill));
            }
            self.set.truncate(width);
            outer = level.blocks;
        }
        for (_, index) in &self.set {
            let offer = Offer::new(*index, outer as f64, Reason::Home);
            push_open(&mut self.options, candidates, offer);
        }
    }

    fn offer_learnt(&mut self, chain: &PrefixChain, candidates: &[Candidate], now: Duration) {
        if !self.settings.learns {
            return;
        }
        for (at, block) in chain.blocks().iter().enumerate().rev() {
            for holder in self.index.holders(*block) {
                if now.saturating_sub(holder.seen) > self.settings.keep {
                    continue;
                }
                let Ok(index) = candidates.binary_search_by_key(&holder.endpoint, |known| known.endpoint) else {
                    continue;
                };
                if candidates[index].incarnation != holder.incarnation {
                    continue;
                }
                let cached = (at + 1) as f64 * self.settings.trust;
                if self
                    .options
                    .iter()
                    .any(|offer| offer.index == index && offer.cached >= cached)
                {
                    continue;
                }
                push_open(&mut self.options, candidates, Offer::new(index, cached, Reason::Learnt));
            }
        }
    }

    fn offer_drawn(&mut self, candidates: &[Candidate], draw: u64) {
        if candidates.is_empty() {
            return;
        }
        for half in [draw & 0xffff_ffff, draw >> 32] {
            let index = ((half * candidates.len() as u64) >> 32) as usize;
            push_open(&mut self.options, candidates, Offer::new(index, 0.0, Reason::Drawn));
        }
    }

    fn offer_all(&mut self, candidates: &[Candidate]) {
        for index in 0..candidates.len() {
            push_open(&mut self.options, candidates, Offer::new(index, 0.0, Reason::Drawn));
        }
    }
}

fn push_open(offers: &mut Vec<Offer>, candidates: &[Candidate], offer: Offer) {
    if candidates[offer.index].has_room() {
        offers.push(offer);
    }
}
