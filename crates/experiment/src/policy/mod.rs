//! Policies that choose an engine among the same candidates.

mod settings;

pub use settings::{QueueKind, Settings};

use crate::deployment::{BLOCK_TOKENS, PREFILL_RATE};
use crate::engine::Engine;
use placement::{Candidate, Choice, Pick, PrefixChain, Reason};

/// Which policy a run uses.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Policy {
    /// Round robin over all engines.
    RoundRobin,
    /// The least loaded engine in the router's load view.
    LeastLoaded,
    /// The first rank of the innermost prefix level.
    HashOnly,
    /// The placer without hashing.
    LearnedOnly,
    /// The placer of the `placement` crate.
    Placer,
    /// An oracle with the current state of every cache and queue.
    Oracle,
}

impl Policy {
    /// All policies in table order.
    pub const ALL: [Self; 6] = [
        Self::RoundRobin,
        Self::LeastLoaded,
        Self::HashOnly,
        Self::LearnedOnly,
        Self::Placer,
        Self::Oracle,
    ];

    /// The name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::RoundRobin => "round robin",
            Self::LeastLoaded => "least loaded",
            Self::HashOnly => "hash only",
            Self::LearnedOnly => "learnt only",
            Self::Placer => "ours",
            Self::Oracle => "oracle",
        }
    }
}

/// Chooses the next engine with room after `last_index`.
pub fn round_robin(candidates: &[Candidate], last_index: &mut usize) -> Choice {
    for _ in 0..candidates.len() {
        *last_index = (*last_index + 1) % candidates.len();
        if candidates[*last_index].has_room() {
            return pick_at(*last_index, 0);
        }
    }
    Choice::Full
}

/// Chooses the engine with the least queued work. `draw` breaks ties.
pub fn least_loaded(candidates: &[Candidate], draw: u64) -> Choice {
    let available = (0..candidates.len()).filter(|index| candidates[*index].has_room());
    let first = draw as usize % candidates.len().max(1);
    let load = |index: &usize| {
        let candidate = &candidates[*index];
        (
            candidate.queued,
            candidate.in_flight,
            (index + candidates.len() - first) % candidates.len(),
        )
    };
    available
        .min_by_key(load)
        .map_or(Choice::Full, |index| pick_at(index, 0))
}

/// Chooses the endpoint with room that the hash of the innermost level ranks first.
pub fn hash_only(candidates: &[Candidate], chain: &PrefixChain) -> Choice {
    let level = chain.levels().last().map_or(chain.seed(), |level| level.hash);
    let available = (0..candidates.len()).filter(|index| candidates[*index].has_room());
    let best = available.max_by_key(|index| placement::score(level, candidates[*index].endpoint));
    best.map_or(Choice::Full, |index| {
        pick_at(index, chain.levels().last().map_or(0, |level| level.blocks))
    })
}

/// Chooses the engine with the least expected time to first token, given every cache and queue. `miss_weight` weights
/// the recomputed tokens.
pub fn oracle(candidates: &[Candidate], engines: &[&Engine], chain: &PrefixChain, miss_weight: f64) -> Choice {
    let cost = |index: &usize| {
        let engine = engines[*index];
        let missed = (chain.blocks().len() - engine.expected_cached(chain)) as f64 * f64::from(BLOCK_TOKENS);
        let wait = (engine.expected_prefill() as f64 + missed * miss_weight) / PREFILL_RATE * engine.slowdown;
        wait + if candidates[*index].same_domain { 0.0 } else { 0.003 }
    };
    let available = (0..candidates.len()).filter(|index| candidates[*index].has_room());
    let best = available.min_by(|a, b| cost(a).total_cmp(&cost(b)));
    best.map_or(Choice::Full, |index| {
        pick_at(index, engines[index].expected_cached(chain))
    })
}

fn pick_at(index: usize, cached: usize) -> Choice {
    Choice::At(Pick {
        index,
        cached,
        cold: false,
        reason: Reason::Drawn,
    })
}
