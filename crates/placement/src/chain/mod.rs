//! Chained hashes of a prompt's blocks.
//!
//! The first hash is seeded by workspace, model and weights. Without the seed an entry of another workspace or of older
//! weights could match, and a request would be placed for a cache that it must not use.

use ids::{Digest, ModelId, WeightsVersion, WorkspaceId};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Level ends in blocks for callers that specify none. Prompts that share a prefix share the levels inside it. A level
/// that only one prompt has does no harm: it only selects among the homes of the enclosing level.
const DEFAULT_LEVELS: [usize; 4] = [1, 4, 16, 64];

/// Scope of a cache entry.
#[derive(Debug, Clone, Copy)]
pub struct Scope<'a> {
    /// Workspace of the entries.
    pub workspace: &'a WorkspaceId,
    /// Model that computed them.
    pub model: &'a ModelId,
    /// Weights it computed them with.
    pub weights: &'a WeightsVersion,
}

impl Scope<'_> {
    /// Seed of the scope's chains. Each part is hashed with its length, so that no two scopes give the same text.
    pub fn seed(&self) -> u64 {
        let parts = [self.workspace.as_str(), self.model.as_str(), self.weights.as_str()];
        let mut text = Vec::with_capacity(parts.iter().map(|part| part.len() + size_of::<u64>()).sum());
        for part in parts {
            text.extend_from_slice(&(part.len() as u64).to_le_bytes());
            text.extend_from_slice(part.as_bytes());
        }
        Digest::of(&text).prefix()
    }
}

/// Hashes of a prompt's whole blocks and of its nested levels.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefixChain {
    blocks: Vec<u64>,
    levels: Vec<Level>,
    seed: u64,
}

/// A nested prefix level, shared by several prompts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Level {
    /// Hash of the level's last whole block, which identifies the prefix up to it.
    pub hash: u64,
    /// Number of whole blocks up to the level's end.
    pub blocks: usize,
}

impl PrefixChain {
    /// Hashes `prompt` in one pass. `ends` are the ends of the levels in bytes, ascending. An end beyond the prompt is
    /// cut to it, and a level without a whole block of its own is omitted. Without `ends` the default levels apply. A
    /// last, partial block is never cached and has no hash. Allocates once for the scope's text, once for the blocks
    /// and once for the levels.
    ///
    /// # Panics
    ///
    /// If `block_bytes` is 0.
    pub fn new(scope: Scope<'_>, prompt: &[u8], block_bytes: usize, ends: &[usize]) -> Self {
        Self::from_seed(scope.seed(), prompt, block_bytes, ends)
    }

    /// Like [`PrefixChain::new`], for callers that store the scope's seed.
    pub fn from_seed(seed: u64, prompt: &[u8], block_bytes: usize, ends: &[usize]) -> Self {
        assert!(block_bytes > 0, "block_bytes must be at least 1");
        let mut blocks = Vec::with_capacity(prompt.len() / block_bytes);
        let mut last = seed;
        for block in prompt.chunks_exact(block_bytes) {
            last = xxh3_64_with_seed(block, last);
            blocks.push(last);
        }
        let levels = Vec::with_capacity(ends.len().max(DEFAULT_LEVELS.len()));
        let mut chain = Self { blocks, levels, seed };
        for end in ends {
            chain.push_level(end / block_bytes);
        }
        if ends.is_empty() {
            DEFAULT_LEVELS.iter().for_each(|end| chain.push_level(*end));
        }
        chain
    }

    /// Creates a chain from existing hashes, for experiments. `levels` are ends in blocks.
    pub fn from_hashes(seed: u64, blocks: Vec<u64>, levels: &[usize]) -> Self {
        let mut chain = Self {
            blocks,
            levels: Vec::with_capacity(levels.len()),
            seed,
        };
        for end in levels {
            chain.push_level(*end);
        }
        chain
    }

    fn push_level(&mut self, end: usize) {
        let end = end.min(self.blocks.len());
        let start = self.levels.last().map_or(0, |level| level.blocks);
        if end <= start {
            return;
        }
        self.levels.push(Level {
            hash: self.blocks[end - 1],
            blocks: end,
        });
    }

    /// Hashes of the whole blocks in order. Each identifies the prefix up to its end.
    pub fn blocks(&self) -> &[u64] {
        &self.blocks
    }

    /// The nested levels, outermost first.
    pub fn levels(&self) -> &[Level] {
        &self.levels
    }

    /// Seed of the scope, the hash of the empty prefix.
    pub fn seed(&self) -> u64 {
        self.seed
    }
}
