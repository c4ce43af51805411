//! The block cache: least recently used blocks go first. No I/O, no clock.

use ids::Digest;
use std::collections::{BTreeMap, HashMap};
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// Cached blocks by the hash of their chain.
#[derive(Debug)]
pub struct BlockCache {
    capacity: usize,
    blocks: HashMap<u64, Kept>,
    by_use: BTreeMap<u64, u64>,
    newest_use: u64,
}

/// A block was stored or evicted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// Now in the cache.
    Stored(u64),
    /// No longer in the cache.
    Evicted(u64),
}

#[derive(Debug)]
struct Kept {
    scope: String,
    used: u64,
}

/// Hashes of the whole blocks of `prompt`, each covering all before it; `seed` is scope, model and weights.
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

/// A hash as it is written in messages.
pub fn hash_text(hash: u64) -> String {
    format!("{hash:016x}")
}

/// Reads a hash from a message.
pub fn read_hash(text: &str) -> Option<u64> {
    u64::from_str_radix(text, 16).ok()
}

impl BlockCache {
    /// An empty cache for `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            blocks: HashMap::new(),
            by_use: BTreeMap::new(),
            newest_use: 0,
        }
    }

    /// Blocks in it.
    pub fn len(&self) -> usize {
        self.blocks.len()
    }

    /// Whether it holds nothing.
    pub fn is_empty(&self) -> bool {
        self.blocks.is_empty()
    }

    /// Blocks that fit.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Whether it holds this block for this scope.
    pub fn contains(&self, scope: &str, hash: u64) -> bool {
        self.blocks.get(&hash).is_some_and(|kept| kept.scope == scope)
    }

    /// How many of `hashes` are cached from the first on without a gap.
    pub fn matched(&self, scope: &str, hashes: &[u64]) -> usize {
        hashes.iter().take_while(|hash| self.contains(scope, **hash)).count()
    }

    /// Stores or uses all of `hashes`; what had to change comes back.
    pub fn store(&mut self, scope: &str, hashes: &[u64]) -> Vec<Change> {
        let mut changes = Vec::new();
        // From the end, so that a chain's start is newer than its tail and is evicted after it.
        for hash in hashes.iter().take(self.capacity).rev() {
            self.newest_use += 1;
            let kept = Kept {
                scope: scope.to_owned(),
                used: self.newest_use,
            };
            match self.blocks.insert(*hash, kept) {
                Some(old) => drop(self.by_use.remove(&old.used)),
                None => changes.push(Change::Stored(*hash)),
            }
            self.by_use.insert(self.newest_use, *hash);
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

    /// Drops everything.
    pub fn clear(&mut self) -> Vec<Change> {
        self.blocks.clear();
        std::mem::take(&mut self.by_use)
            .into_values()
            .map(Change::Evicted)
            .collect()
    }
}
