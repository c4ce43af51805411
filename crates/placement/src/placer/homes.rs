//! Homes of a prompt, the endpoints where its prefixes are expected to be cached, by nested rendezvous hashing.
//!
//! Load pattern: prompts share nested prefixes, more of them than fit in one cache, and arrive at many routers that may
//! just have started. Every router ranks the endpoints for each level by the same hash, so all routers send a prefix to
//! the same endpoint without communication or state. Otherwise each prefix is computed at every endpoint in turn: in
//! simulations the hit rate falls from 0.89 to 0.52.
//!
//! The levels are nested: the outermost one selects a set of endpoints, the next one a subset of it, and so on, so that
//! tasks of one tenant share the endpoints that cache the tenant's prefix. Hashing the innermost level alone spreads
//! the tenants' prefixes over all endpoints, where they evict each other (hit rate 0.73). The size of a set follows the
//! level's share of the load. Spill goes to the next rank, which is the same at all routers, so that spilled requests
//! find a cached prefix too.

use super::offer::{Offer, Offers};
use super::{Candidate, EndpointKey, PlacerBuilder, Reason};
use crate::PrefixChain;
use std::cmp::Ordering;

/// Hash of `endpoint` for a level.
pub fn score(level: u64, endpoint: EndpointKey) -> u64 {
    let mut mixed = level ^ endpoint.0.rotate_left(32);
    mixed = (mixed ^ (mixed >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ (mixed >> 29)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed ^ (mixed >> 32)
}

/// Rank of `candidate` for a level; the highest is first. An endpoint of twice the weight is first for twice as many
/// levels, and a change of weight moves only levels of that endpoint (weighted rendezvous hashing, Schindelhauer and
/// Schomaker 2005).
fn rank(level: u64, candidate: &Candidate) -> f64 {
    let hash = score(level, candidate.endpoint) >> (u64::BITS - f64::MANTISSA_DIGITS);
    let uniform = (hash as f64 + 0.5) / (1u64 << f64::MANTISSA_DIGITS) as f64;
    candidate.weight / -uniform.ln()
}

#[derive(Debug, Clone, Copy)]
struct Ranked {
    rank: f64,
    index: usize,
}

/// Selects homes. Reused between choices to avoid allocations.
#[derive(Debug, Clone, Default)]
pub struct Homes {
    set: Vec<Ranked>,
}

impl Homes {
    /// Offers the homes of `chain`, and the next ranks at each level. `share` returns the share of all requests that
    /// have a level, by the level's hash.
    pub fn offer(
        &mut self,
        settings: &PlacerBuilder,
        chain: &PrefixChain,
        candidates: &[Candidate],
        share: impl Fn(u64) -> f64,
        offers: &mut Offers,
    ) {
        if chain.levels().is_empty() || candidates.is_empty() {
            return;
        }
        self.set.clear();
        self.set
            .extend((0..candidates.len()).map(|index| Ranked { rank: 0.0, index }));
        let mut outer_blocks = 0;
        for (depth, level) in chain.levels().iter().enumerate() {
            let load = share(level.hash) * candidates.len() as f64;
            let min_width = if depth == 0 {
                settings.outer_share * candidates.len() as f64
            } else {
                1.0
            };
            let width = load.max(min_width).ceil() as usize;
            let spill = self.narrow(level.hash, candidates, width, settings.ranks);
            for next in spill {
                offers.add(candidates, Offer::new(next.index, outer_blocks as f64, Reason::Spill));
            }
            let own = (level.blocks - outer_blocks) as f64;
            offers.add_expected(own * settings.spill_hit_share * load / (load + HALF_LOAD));
            outer_blocks = level.blocks;
        }
        for home in &self.set {
            offers.add(candidates, Offer::new(home.index, outer_blocks as f64, Reason::Home));
        }
    }

    /// Narrows the set to its first `width` endpoints by the level's ranks. Returns the next `spill_count` ones.
    fn narrow(
        &mut self,
        level: u64,
        candidates: &[Candidate],
        width: usize,
        spill_count: usize,
    ) -> impl Iterator<Item = Ranked> + use<> {
        for ranked in &mut self.set {
            ranked.rank = rank(level, &candidates[ranked.index]);
        }
        let width = width.clamp(1, self.set.len());
        select_top(&mut self.set, width);
        let rest = &mut self.set[width..];
        let spill_count = spill_count.min(rest.len());
        select_top(rest, spill_count);
        rest[..spill_count].sort_unstable_by(descending);
        let mut spill = [None; MAX_RANKS];
        for (slot, ranked) in spill.iter_mut().zip(&rest[..spill_count]) {
            *slot = Some(*ranked);
        }
        self.set.truncate(width);
        spill.into_iter().flatten()
    }

    /// Capacity of the reused buffer.
    pub fn capacity(&self) -> usize {
        self.set.capacity()
    }
}

fn descending(a: &Ranked, b: &Ranked) -> Ordering {
    b.rank.total_cmp(&a.rank)
}

/// Moves the `count` highest ranks to the front, in any order.
fn select_top(set: &mut [Ranked], count: usize) {
    if 0 < count && count < set.len() {
        set.select_nth_unstable_by(count - 1, descending);
    }
}

/// Maximum number of ranks after the homes that are offered at each level.
pub const MAX_RANKS: usize = 4;
/// Load of a level, as a multiple of one endpoint's fair share, at which the level is expected to be cached at the next
/// rank in half of the cases. At this load routers spill the level often enough to keep it cached there, and a new copy
/// serves many later requests. See `docs/DECISIONS.md`.
const HALF_LOAD: f64 = 0.3;
