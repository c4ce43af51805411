//! Homes of a prompt by nested rendezvous hashing.
//!
//! Load pattern: prompts that share nested prefixes, more of them than one cache holds, from many routers that may have
//! started a moment ago. Every router ranks the endpoints for each level by the same hash, so all send a prefix to the
//! same endpoint without talking and without state. Without it each prefix is computed at every endpoint in turn: the
//! experiment's hit rate falls from 0.89 to 0.52.
//!
//! The levels are nested: the outermost one selects a set of endpoints, the next one a part of that set, and so on, so
//! that tasks of one tenant meet where the tenant's layer is. Hashing the innermost level alone spreads the tenants'
//! layers over all endpoints, where they evict each other (hit rate 0.73). A set is as wide as the level's share of the
//! load asks for. Spill goes to the next in rank, which is the same for all routers, so that overflow finds a cache too.

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

/// Rank of `candidate` for a level, the highest first. An endpoint of twice the weight is first for twice as many levels,
/// and when a weight changes only levels of that endpoint move (weighted rendezvous hashing, Schindelhauer and
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

/// Finds homes. Kept between choices for its memory.
#[derive(Debug, Clone, Default)]
pub struct Homes {
    set: Vec<Ranked>,
}

impl Homes {
    /// Offers the homes of `chain`, and at each level the next ones in rank. `share` is the share of all requests that
    /// have a level, by its hash.
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
        let mut outer = 0;
        for (depth, level) in chain.levels().iter().enumerate() {
            let load = share(level.hash) * candidates.len() as f64;
            let floor = if depth == 0 {
                settings.outer_share * candidates.len() as f64
            } else {
                1.0
            };
            let width = load.max(floor).ceil() as usize;
            let spill = self.narrow(level.hash, candidates, width, settings.ranks);
            for next in spill {
                offers.add(candidates, Offer::new(next.index, outer as f64, Reason::Spill));
            }
            let own = (level.blocks - outer) as f64;
            offers.expect_more(own * settings.spill_hit_share * load / (load + HALF_LOAD));
            outer = level.blocks;
        }
        for home in &self.set {
            offers.add(candidates, Offer::new(home.index, outer as f64, Reason::Home));
        }
    }

    /// Keeps the first `width` of the set by the level's ranks; returns the `next` ones after them.
    fn narrow(
        &mut self,
        level: u64,
        candidates: &[Candidate],
        width: usize,
        next: usize,
    ) -> impl Iterator<Item = Ranked> + use<> {
        for ranked in &mut self.set {
            ranked.rank = rank(level, &candidates[ranked.index]);
        }
        let width = width.clamp(1, self.set.len());
        first(&mut self.set, width);
        let rest = &mut self.set[width..];
        let next = next.min(rest.len());
        first(rest, next);
        rest[..next].sort_unstable_by(descending);
        let mut spill = [None; MAX_RANKS];
        for (slot, ranked) in spill.iter_mut().zip(&rest[..next]) {
            *slot = Some(*ranked);
        }
        self.set.truncate(width);
        spill.into_iter().flatten()
    }

    /// Room kept between choices.
    pub fn capacity(&self) -> usize {
        self.set.capacity()
    }
}

fn descending(one: &Ranked, other: &Ranked) -> Ordering {
    other.rank.total_cmp(&one.rank)
}

/// Brings the highest `count` to the front, in any order.
fn first(set: &mut [Ranked], count: usize) {
    if 0 < count && count < set.len() {
        set.select_nth_unstable_by(count - 1, descending);
    }
}

/// Most ranks after the homes that are offered at each level.
pub const MAX_RANKS: usize = 4;
/// A level with this much load, in endpoints' fair loads, is taken as cached at the next rank in half of the cases: routers
/// spill it often enough to keep it there, and a new copy serves many later requests. From the experiment, see
/// `docs/DECISIONS.md`.
const HALF_LOAD: f64 = 0.3;
