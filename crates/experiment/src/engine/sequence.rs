//! A request in an engine.

use crate::deployment::BLOCK_TOKENS;
use placement::PrefixChain;
use std::rc::Rc;

/// A request in an engine.
#[derive(Debug, Clone)]
pub struct Sequence {
    /// Number of the request.
    pub request: usize,
    /// The prompt's blocks.
    pub chain: Rc<PrefixChain>,
    /// Prompt tokens after the last full block.
    pub tail: u32,
    /// Total tokens to generate.
    pub output: u32,
    /// Tokens still to be generated.
    pub remaining: u32,
    /// Blocks found in the cache.
    pub cached: usize,
    pub(super) done: usize,
    pub(super) prefilled: bool,
}

impl Sequence {
    /// Creates a sequence that has not started.
    pub fn new(request: usize, chain: Rc<PrefixChain>, tail: u32, output: u32) -> Self {
        Self {
            request,
            chain,
            tail,
            output,
            remaining: output,
            cached: 0,
            done: 0,
            prefilled: false,
        }
    }
}

/// The number of leading blocks that two chains share.
pub(super) fn shared(one: &PrefixChain, other: &PrefixChain) -> usize {
    one.blocks()
        .iter()
        .zip(other.blocks())
        .take_while(|(left, right)| left == right)
        .count()
}

/// The prompt tokens that `sequence` prefills in one step.
pub(super) fn chunk(sequence: &Sequence) -> u32 {
    if sequence.done < sequence.chain.blocks().len() {
        BLOCK_TOKENS
    } else {
        sequence.tail
    }
}
