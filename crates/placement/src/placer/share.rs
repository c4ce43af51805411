//! Shares of recent requests, by level.
//!
//! Load pattern: a few levels get more requests than one endpoint can serve, and which ones changes without notice. If
//! each level were bound to one endpoint, that endpoint's queue would grow while others idle. The platform's balancer
//! distributes requests evenly over the routers, so a router's own counts show how many endpoints a level needs. The
//! counts decay, so that a level shrinks back when its load drops.

use crate::Level;
use crate::identity_hasher::BuildIdentityHasher;
use std::collections::HashMap;
use std::time::Duration;

#[derive(Debug, Clone, Copy, Default)]
struct DecayingCount {
    weight: f64,
    updated_at: Duration,
}

impl DecayingCount {
    fn decayed(self, now: Duration, decay_time: Duration) -> f64 {
        self.weight * (-now.saturating_sub(self.updated_at).as_secs_f64() / decay_time.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Duration, decay_time: Duration) {
        self.weight = self.decayed(now, decay_time) + 1.0;
        self.updated_at = now;
    }
}

/// Exponentially decaying request counts by level.
#[derive(Debug, Clone)]
pub struct LevelShares {
    counts: HashMap<u64, DecayingCount, BuildIdentityHasher>,
    total: DecayingCount,
    decay_time: Duration,
    capacity: usize,
}

/// Counts below this are dropped when space is needed.
const MIN_COUNT: f64 = 0.05;
/// Weight of the prior share of zero, in requests. A router's counts outweigh it after this many requests.
const PRIOR_REQUESTS: f64 = 5.0;

impl LevelShares {
    /// Creates empty counts. A count decays to 37% within `decay_time`. At most `capacity` levels are counted.
    pub fn new(decay_time: Duration, capacity: usize) -> Self {
        Self {
            counts: HashMap::default(),
            total: DecayingCount::default(),
            decay_time,
            capacity,
        }
    }

    /// Counts a request with these levels.
    pub fn count(&mut self, levels: &[Level], now: Duration) {
        self.total.add(now, self.decay_time);
        for level in levels {
            if self.counts.len() >= self.capacity && !self.counts.contains_key(&level.hash) {
                self.evict(now);
            }
            self.counts.entry(level.hash).or_default().add(now, self.decay_time);
        }
    }

    /// Share of recent requests with `level`, 0 to 1.
    pub fn share(&self, level: u64, now: Duration) -> f64 {
        let Some(own) = self.counts.get(&level) else { return 0.0 };
        own.decayed(now, self.decay_time) / (self.total.decayed(now, self.decay_time) + PRIOR_REQUESTS)
    }

    fn evict(&mut self, now: Duration) {
        let decay_time = self.decay_time;
        self.counts
            .retain(|_, count| count.decayed(now, decay_time) >= MIN_COUNT);
        if self.counts.len() >= self.capacity {
            self.counts.clear();
        }
    }
}
