//! Policies that choose an engine, all over the same candidates.

mod settings;

pub use settings::{Front, Settings};

use crate::deployment::{BLOCK_TOKENS, PREFILL_RATE};
use crate::engine::Engine;
use placement::{Candidate, Choice, Pick, PrefixChain, Reason};

/// Which policy a run uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Policy {
    /// One engine after the other.
    RoundRobin,
    /// The least loaded of all engines by the router's load view.
    LeastLoaded,
    /// The first rank of the innermost level.
    HashOnly,
    /// The placer without hashing.
    LearntOnly,
    /// The placer.
    Ours,
    /// Knows every cache and queue at once.
    Oracle,
}

impl Policy {
    /// All policies, in the table's order.
    pub const ALL: [Self; 6] = [
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::HashOnly,
        Self::LearntOnly,
        Self::Ours,
        Self::Oracle,
    ];

    /// Name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::LeastLoaded => "least loaded",
            Self::HashOnly => "hash only",
            Self::LearntOnly => "learnt only",
            Self::Ours => "ours",
            Self::Oracle => "oracle",
        }
    }
}

/// Takes the engines in turn.
pub fn round_robin(candidates: &[Candidate], turn: &mut usize) -> Choice {
    for _ in 0..candidates.len() {
        *turn = (*turn + 1) % candidates.len();
        if candidates[*turn].has_room() {
            return at(*turn, 0);
        }
    }
    Choice::Full
}

/// Takes the engine with the least work queued, the first in a draw among equals.
pub fn least_loaded(candidates: &[Candidate], draw: u64) -> Choice {
    let open = (0..candidates.len()).filter(|index| candidates[*index].has_room());
    let first = draw as usize % candidates.len().max(1);
    let load = |index: &usize| {
        let candidate = &candidates[*index];
        (
            candidate.queued,
            candidate.in_flight,
            (index + candidates.len() - first) % candidates.len(),
        )
    };
    open.min_by_key(load).map_or(Choice::Full, |index| at(index, 0))
}

/// Takes the endpoint that the innermost level's hash ranks first among those with room.
pub fn hash_only(candidates: &[Candidate], chain: &PrefixChain) -> Choice {
    let level = chain.levels().last().map_or(chain.seed(), |level| level.hash);
    let open = (0..candidates.len()).filter(|index| candidates[*index].has_room());
    let best = open.max_by_key(|index| placement::score(level, candidates[*index].endpoint));
    best.map_or(Choice::Full, |index| {
        at(index, chain.levels().last().map_or(0, |level| level.blocks))
    })
}

/// Knows every cache and queue: the least expected time to first token, recomputation weighted.
pub fn oracle(candidates: &[Candidate], engines: &[&Engine], chain: &PrefixChain, miss_weight: f64) -> Choice {
    let cost = |index: &usize| {
        let engine = engines[*index];
        let missed = (chain.blocks().len() - engine.will_hold(chain)) as f64 * f64::from(BLOCK_TOKENS);
        let wait = (engine.prefill_coming() as f64 + missed * miss_weight) / PREFILL_RATE * engine.slowness;
        wait + if candidates[*index].same_domain { 0.0 } else { 0.003 }
    };
    let open = (0..candidates.len()).filter(|index| candidates[*index].has_room());
    let best = open.min_by(|a, b| cost(a).total_cmp(&cost(b)));
    best.map_or(Choice::Full, |index| at(index, engines[index].will_hold(chain)))
}

fn at(index: usize, cached: usize) -> Choice {
    Choice::At(Pick {
        index,
        cached,
        reason: Reason::Drawn,
    })
}
