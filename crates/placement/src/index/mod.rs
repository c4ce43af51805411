//! Which endpoints hold which blocks, as learnt from this router's own placements and replies.
//!
//! An entry is bound to one incarnation of an endpoint: an engine that crashed comes back empty, and an entry that
//! outlived the crash would send requests to a cache that is gone. Memory is bounded by two generations: when the young
//! one is full or old, it becomes the old one and what nobody used since goes.

use crate::EndpointKey;
use ids::Incarnation;
use std::collections::HashMap;
use std::hash::{BuildHasherDefault, Hasher};
use std::time::Duration;

/// Endpoints remembered for one block. A prefix that is hotter than this many endpoints can serve is found by its ranks.
pub const HOLDERS: usize = 4;

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

/// The hashes are uniform already; hashing them again would only cost time.
#[derive(Debug, Clone, Copy, Default)]
struct Identity(u64);

impl Hasher for Identity {
    fn finish(&self) -> u64 {
        self.0
    }

    fn write(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.0 = self.0.rotate_left(8) ^ u64::from(*byte);
        }
    }

    fn write_u64(&mut self, hash: u64) {
        self.0 = hash;
    }
}

type Holders = [Option<Holder>; HOLDERS];
type Generation = HashMap<u64, Holders, BuildHasherDefault<Identity>>;

/// The learnt index.
#[derive(Debug, Clone)]
pub struct LearntIndex {
    young: Generation,
    old: Generation,
    half: usize,
    keep: Duration,
    turned: Duration,
}

impl LearntIndex {
    /// An empty index of at most `capacity` blocks, each forgotten at the latest after twice `keep` without use.
    pub fn new(capacity: usize, keep: Duration) -> Self {
        let half = (capacity / 2).max(1);
        Self {
            young: Generation::default(),
            old: Generation::default(),
            half,
            keep,
            turned: Duration::ZERO,
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
        found.into_iter().flatten().flatten()
    }

    /// Remembers that `holder` holds `blocks`. The stalest of too many holders is replaced.
    pub fn insert(&mut self, blocks: &[u64], holder: Holder) {
        for block in blocks {
            self.turn(holder.seen);
            let carried = self.old.remove(block);
            let holders = self.young.entry(*block).or_insert_with(|| carried.unwrap_or_default());
            put(holders, holder);
        }
    }

    /// Forgets all about `endpoint`.
    pub fn forget(&mut self, endpoint: EndpointKey) {
        for generation in [&mut self.young, &mut self.old] {
            generation.retain(|_, holders| {
                drop_holder(holders, endpoint);
                holders.iter().any(Option::is_some)
            });
        }
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

fn drop_holder(holders: &mut Holders, endpoint: EndpointKey) {
    for slot in holders {
        if slot.is_some_and(|holder| holder.endpoint == endpoint) {
            *slot = None;
        }
    }
}

fn put(holders: &mut Holders, holder: Holder) {
    let same = holders
        .iter()
        .position(|slot| slot.is_some_and(|known| known.endpoint == holder.endpoint));
    let stalest = || {
        let seen = |slot: &Option<Holder>| slot.map(|known| known.seen);
        (0..HOLDERS).min_by_key(|at| seen(&holders[*at])).unwrap_or(0)
    };
    let at = same.unwrap_or_else(stalest);
    holders[at] = Some(holder);
}
