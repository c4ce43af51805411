//! Index of the endpoints that hold a block, learnt from this router's own placements and the replies to them.
//!
//! An entry is bound to one incarnation of an endpoint. An engine that crashed restarts with an empty cache, and an
//! entry that outlived the crash would send requests there. Memory is bounded by two generations: when the current one
//! is full or old it becomes the previous one, and entries not used since are dropped.

use crate::EndpointKey;
use crate::identity_hasher::BuildIdentityHasher;
use ids::Incarnation;
use std::collections::HashMap;
use std::time::Duration;

/// Endpoints stored per block. A prefix that needs more endpoints than this is found by its ranks.
pub const MAX_HOLDERS: usize = 4;

/// Invalidated endpoints after which the index is cleared, to bound memory.
const MAX_INVALIDATIONS: usize = 4096;

/// An endpoint that is expected to hold a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// Incarnation of the endpoint that computed the block.
    pub incarnation: Incarnation,
    /// Time of the last reply that showed the block there.
    pub seen: Duration,
}

/// A holder, and the epoch of the index when it was recorded.
#[derive(Debug, Clone, Copy)]
struct Entry {
    holder: Holder,
    epoch: u64,
}

type Holders = [Option<Entry>; MAX_HOLDERS];
type Generation = HashMap<u64, Holders, BuildIdentityHasher>;

/// Bounded index from blocks to endpoints.
#[derive(Debug, Clone)]
pub struct PrefixIndex {
    current: Generation,
    previous: Generation,
    generation_capacity: usize,
    max_age: Duration,
    rotated_at: Duration,
    epoch: u64,
    invalidations: HashMap<EndpointKey, u64, BuildIdentityHasher>,
}

impl PrefixIndex {
    /// Creates an empty index of at most `capacity` blocks. A block is dropped at the latest after twice `max_age`
    /// without use.
    pub fn new(capacity: usize, max_age: Duration) -> Self {
        let generation_capacity = (capacity / 2).max(1);
        let (current, previous) = (Generation::default(), Generation::default());
        Self {
            current,
            previous,
            generation_capacity,
            max_age,
            rotated_at: Duration::ZERO,
            epoch: 0,
            invalidations: HashMap::default(),
        }
    }

    /// Number of blocks in the index.
    pub fn len(&self) -> usize {
        self.current.len() + self.previous.len()
    }

    /// Whether the index is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Endpoints that are expected to hold `block`.
    pub fn holders(&self, block: u64) -> impl Iterator<Item = &Holder> {
        let found = self.current.get(&block).or_else(|| self.previous.get(&block));
        let is_valid = |entry: &&Entry| {
            self.invalidations
                .get(&entry.holder.endpoint)
                .is_none_or(|epoch| entry.epoch >= *epoch)
        };
        found
            .into_iter()
            .flatten()
            .flatten()
            .filter(is_valid)
            .map(|entry| &entry.holder)
    }

    /// Records that `holder` holds `blocks`. If a block has too many holders, the least recently seen one is replaced.
    pub fn insert(&mut self, blocks: &[u64], holder: Holder) {
        for block in blocks {
            self.rotate(holder.seen);
            let carried = self.previous.remove(block);
            let holders = self
                .current
                .entry(*block)
                .or_insert_with(|| carried.unwrap_or_default());
            insert_holder(
                holders,
                Entry {
                    holder,
                    epoch: self.epoch,
                },
            );
        }
    }

    /// Invalidates all entries of `endpoint` in constant time. The entries are skipped until they are replaced or age
    /// out.
    pub fn invalidate(&mut self, endpoint: EndpointKey) {
        if self.invalidations.len() >= MAX_INVALIDATIONS {
            self.current.clear();
            self.previous.clear();
            self.invalidations.clear();
        }
        self.epoch += 1;
        self.invalidations.insert(endpoint, self.epoch);
    }

    fn rotate(&mut self, now: Duration) {
        let full = self.current.len() >= self.generation_capacity;
        let aged = now.saturating_sub(self.rotated_at) >= self.max_age;
        if !full && !aged {
            return;
        }
        std::mem::swap(&mut self.current, &mut self.previous);
        self.current.clear();
        self.rotated_at = now;
    }
}

fn insert_holder(holders: &mut Holders, entry: Entry) {
    let endpoint = entry.holder.endpoint;
    let same = holders
        .iter()
        .position(|slot| slot.is_some_and(|existing| existing.holder.endpoint == endpoint));
    let seen = |at: &usize| holders[*at].map(|existing| existing.holder.seen);
    let at = same.or_else(|| (0..MAX_HOLDERS).min_by_key(seen)).unwrap_or(0);
    holders[at] = Some(entry);
}
