//! Which endpoints hold which blocks, as learnt from this router's own placements and replies.
//!
//! An entry is bound to one incarnation of an endpoint: an engine that crashed comes back empty, and an entry that
//! outlived the crash would send requests to a cache that is gone. Memory is bounded by two generations: when the young
//! one is full or old, it becomes the old one and what nobody used since goes.

use crate::EndpointKey;
use crate::uniform::Uniform;
use ids::Incarnation;
use std::collections::HashMap;
use std::time::Duration;

/// Endpoints remembered for one block. A prefix that is hotter than this many endpoints can serve is found by its ranks.
pub const HOLDERS: usize = 4;

/// Endpoints doubted before the index starts anew, a bound on memory.
const DOUBTS: usize = 4096;

/// An endpoint believed to hold a block.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Holder {
    /// The endpoint.
    pub endpoint: EndpointKey,
    /// The life of the endpoint that computed the block.
    pub incarnation: Incarnation,
    /// When a reply last showed that the block was there.
    pub seen: Duration,
}

/// A holder, and the index's counter when it was learnt.
#[derive(Debug, Clone, Copy)]
struct Entry {
    holder: Holder,
    learnt: u64,
}

type Holders = [Option<Entry>; HOLDERS];
type Generation = HashMap<u64, Holders, Uniform>;

/// The learnt index.
#[derive(Debug, Clone)]
pub struct LearntIndex {
    young: Generation,
    old: Generation,
    half: usize,
    keep: Duration,
    turned: Duration,
    counter: u64,
    doubts: HashMap<EndpointKey, u64, Uniform>,
}

impl LearntIndex {
    /// An empty index of at most `capacity` blocks, each forgotten at the latest after twice `keep` without use.
    pub fn new(capacity: usize, keep: Duration) -> Self {
        let half = (capacity / 2).max(1);
        let (young, old) = (Generation::default(), Generation::default());
        Self {
            young,
            old,
            half,
            keep,
            turned: Duration::ZERO,
            counter: 0,
            doubts: HashMap::default(),
        }
    }

    /// Blocks remembered.
    pub fn len(&self) -> usize {
        self.young.len() + self.old.len()
    }

    /// Whether nothing is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Endpoints believed to hold `block`.
    pub fn holders(&self, block: u64) -> impl Iterator<Item = &Holder> {
        let found = self.young.get(&block).or_else(|| self.old.get(&block));
        let believed = |entry: &&Entry| {
            self.doubts
                .get(&entry.holder.endpoint)
                .is_none_or(|doubt| entry.learnt >= *doubt)
        };
        found
            .into_iter()
            .flatten()
            .flatten()
            .filter(believed)
            .map(|entry| &entry.holder)
    }

    /// Remembers that `holder` holds `blocks`. The stalest of too many holders is replaced.
    pub fn insert(&mut self, blocks: &[u64], holder: Holder) {
        for block in blocks {
            self.turn(holder.seen);
            let carried = self.old.remove(block);
            let holders = self.young.entry(*block).or_insert_with(|| carried.unwrap_or_default());
            put(
                holders,
                Entry {
                    holder,
                    learnt: self.counter,
                },
            );
        }
    }

    /// Believes nothing learnt of `endpoint` so far, in constant time: entries stay until they are replaced or age out.
    pub fn doubt(&mut self, endpoint: EndpointKey) {
        if self.doubts.len() >= DOUBTS {
            self.young.clear();
            self.old.clear();
            self.doubts.clear();
        }
        self.counter += 1;
        self.doubts.insert(endpoint, self.counter);
    }

    fn turn(&mut self, now: Duration) {
        let full = self.young.len() >= self.half;
        let aged = now.saturating_sub(self.turned) >= self.keep;
        if !full && !aged {
            return;
        }
        std::mem::swap(&mut self.young, &mut self.old);
        self.young.clear();
        self.turned = now;
    }
}

fn put(holders: &mut Holders, entry: Entry) {
    let endpoint = entry.holder.endpoint;
    let same = holders
        .iter()
        .position(|slot| slot.is_some_and(|known| known.holder.endpoint == endpoint));
    let seen = |at: &usize| holders[*at].map(|known| known.holder.seen);
    let at = same.or_else(|| (0..HOLDERS).min_by_key(seen)).unwrap_or(0);
    holders[at] = Some(entry);
}
