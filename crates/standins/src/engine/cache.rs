//! The block cache with LRU eviction. Does no I/O and reads no clock.

use ids::Digest;
use std::collections::{BTreeMap, HashMap};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Cached blocks, keyed by their chained hash.
#[derive(Debug)]
pub struct BlockCache {
    capacity: usize,
    blocks: HashMap<u64, CachedBlock>,
    by_use: BTreeMap<u64, u64>,
    last_use: u64,
}

/// A change of the cache's contents.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// A block was added.
    Stored(u64),
    /// A block was evicted.
    Evicted(u64),
}

#[derive(Debug)]
struct CachedBlock {
    scope: String,
    used: u64,
}

/// Hashes the full blocks of `prompt`. Each hash also covers all earlier blocks; `seed` is scope, model and weights.
pub fn chain(seed: [&str; 3], prompt: &[u8], block_bytes: usize) -> Vec<u64> {
    let mut text = Vec::new();
    for part in seed {
        text.extend_from_slice(&(part.len() as u64).to_le_bytes());
        text.extend_from_slice(part.as_bytes());
    }
    let mut hashes = Vec::with_capacity(prompt.len() / block_bytes);
    let mut previous = Digest::of(&text).prefix();
    for block in prompt.chunks_exact(block_bytes) {
        previous = xxh3_64_with_seed(block, previous);
        hashes.push(previous);
    }
    hashes
}

/// Formats a hash for messages.
pub fn format_hash(hash: u64) -> String {
    format!("{hash:016x}")
}

/// Parses a hash from a message.
pub fn parse_hash(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}

impl BlockCache {
    /// Creates an empty cache for `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: HashMap::new(),
            by_use: BTreeMap::new(),
            last_use: 0,
        }
    }

    /// The number of cached blocks.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// The maximum number of cached blocks.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Whether the block is cached for this scope.
    pub fn contains(&self, scope: &str, hash: u64) -> bool {
        self.blocks.get(&hash).is_some_and(|block| block.scope == scope)
    }

    /// The length of the longest prefix of `hashes` that is cached for this scope.
    pub fn matched(&self, scope: &str, hashes: &[u64]) -> usize {
        hashes.iter().take_while(|hash| self.contains(scope, **hash)).count()
    }

    /// Stores `hashes`, or marks those already cached as used. Returns the changes.
    pub fn store(&mut self, scope: &str, hashes: &[u64]) -> Vec<Change> {
        let mut changes = Vec::new();
        // In reverse order, so that the start of a chain is more recent than its tail and is evicted later.
        for hash in hashes.iter().take(self.capacity).rev() {
            self.last_use += 1;
            let block = CachedBlock {
                scope: scope.to_owned(),
                used: self.last_use,
            };
            match self.blocks.insert(*hash, block) {
                Some(old) => drop(self.by_use.remove(&old.used)),
                None => changes.push(Change::Stored(*hash)),
            }
            self.by_use.insert(self.last_use, *hash);
        }
        while self.blocks.len() > self.capacity {
            let Some((_, hash)) = self.by_use.pop_first() else {
                break;
            };
            self.blocks.remove(&hash);
            changes.push(Change::Evicted(hash));
        }
        changes
    }

    /// Removes all blocks. Returns the evictions.
    pub fn clear(&mut self) -> Vec<Change> {
        self.blocks.clear();
        std::mem::take(&mut self.by_use)
            .into_values()
            .map(Change::Evicted)
            .collect()
    }
}
