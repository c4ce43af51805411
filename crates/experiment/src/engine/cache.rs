//! Block cache with LRU eviction.

use std::cmp::Reverse;
use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

#[derive(Debug, Clone, Copy)]
struct Entry {
    depth: usize,
    pins: u32,
    used: Duration,
}

/// Cached blocks of one engine. Blocks in use are pinned. Of the others, the least recently used block is evicted
/// first. Ties evict the deepest block first, so that a block is never cached without its predecessors.
#[derive(Debug, Clone)]
pub struct Cache {
    capacity: usize,
    entries: HashMap<u64, Entry>,
    unused: BTreeSet<(Duration, Reverse<usize>, u64)>,
    evicted: u64,
    idle: f64,
}

impl Cache {
    /// Creates an empty cache of `capacity` blocks.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            entries: HashMap::new(),
            unused: BTreeSet::new(),
            evicted: 0,
            idle: 0.0,
        }
    }

    /// The maximum number of cached blocks.
    pub fn capacity(&self) -> usize {
        self.capacity
    }

    /// Whether `block` is cached.
    pub fn holds(&self, block: u64) -> bool {
        self.entries.contains_key(&block)
    }

    /// The number of leading blocks that are cached.
    pub fn matched(&self, blocks: &[u64]) -> usize {
        blocks.iter().take_while(|block| self.holds(**block)).count()
    }

    /// Pins cached blocks.
    pub fn pin(&mut self, blocks: &[u64]) {
        for block in blocks {
            let Some(entry) = self.entries.get_mut(block) else {
                continue;
            };
            if entry.pins == 0 {
                self.unused.remove(&(entry.used, Reverse(entry.depth), *block));
            }
            entry.pins += 1;
        }
    }

    /// Removes one pin from each block.
    pub fn unpin(&mut self, blocks: &[u64], now: Duration) {
        for block in blocks {
            let Some(entry) = self.entries.get_mut(block) else {
                continue;
            };
            entry.pins -= 1;
            entry.used = now;
            if entry.pins == 0 {
                self.unused.insert((now, Reverse(entry.depth), *block));
            }
        }
        self.evict(now);
    }

    /// Stores a computed block and pins it once.
    pub fn insert(&mut self, block: u64, depth: usize, now: Duration) {
        if self.holds(block) {
            self.pin(&[block]);
            return;
        }
        self.entries.insert(
            block,
            Entry {
                depth,
                pins: 1,
                used: now,
            },
        );
        self.evict(now);
    }

    /// The number of evicted blocks, and the total seconds from last use to eviction.
    pub fn evictions(&self) -> (u64, f64) {
        (self.evicted, self.idle)
    }

    fn evict(&mut self, now: Duration) {
        while self.entries.len() > self.capacity {
            let Some((used, _, block)) = self.unused.pop_first() else {
                return;
            };
            self.entries.remove(&block);
            self.evicted += 1;
            self.idle += now.saturating_sub(used).as_secs_f64();
        }
    }
}
