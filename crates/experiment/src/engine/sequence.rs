//! A request inside an engine.

use crate::deployment::BLOCK_TOKENS;
use placement::PrefixChain;
use std::rc::Rc;

/// A request inside an engine.
#[derive(Debug, Clone)]
pub struct Sequence {
    /// Number of the request.
    pub request: usize,
    /// The prompt's blocks.
    pub chain: Rc<PrefixChain>,
    /// Prompt tokens after the last whole block.
    pub tail: u32,
    /// Tokens to generate in all.
    pub output: u32,
    /// Tokens still to be generated.
    pub left: u32,
    /// Blocks found in the cache.
    pub cached: usize,
    pub(super) done: usize,
    pub(super) prefilled: bool,
}

impl Sequence {
    /// A request on its way.
    pub fn new(request: usize, chain: Rc<PrefixChain>, tail: u32, output: u32) -> Self {
        Self {
            request,
            chain,
            tail,
            output,
            left: output,
            cached: 0,
            done: 0,
            prefilled: false,
        }
    }
}

/// Leading blocks that two chains have in common.
pub(super) fn shared(one: &PrefixChain, other: &PrefixChain) -> usize {
    one.blocks()
        .iter()
        .zip(other.blocks())
        .take_while(|(left, right)| left == right)
        .count()
}

/// Prompt tokens that `sequence` prefills in one step.
pub(super) fn chunk(sequence: &Sequence) -> u32 {
    if sequence.done < sequence.chain.blocks().len() {
        BLOCK_TOKENS
    } else {
        sequence.tail
    }
}
