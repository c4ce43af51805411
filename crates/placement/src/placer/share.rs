//! Shares of recent requests by level.
//!
//! Load pattern: a few levels get more requests than one endpoint can serve, and which ones changes without warning.
//! Were each level bound to one endpoint, that endpoint's queue would grow while others idle. A router sees a fair sample
//! of all requests, since the platform's balancer spreads them, so its own counts tell how many endpoints a level needs;
//! the counts fade, so that a level that cools down shrinks back.

use crate::Level;
use crate::uniform::Uniform;
use std::collections::HashMap;
use std::time::Duration;

#[derive(Debug, Clone, Copy, Default)]
struct Count {
    weight: f64,
    at: Duration,
}

impl Count {
    fn faded(self, now: Duration, fade: Duration) -> f64 {
        self.weight * (-now.saturating_sub(self.at).as_secs_f64() / fade.as_secs_f64()).exp()
    }

    fn add(&mut self, now: Duration, fade: Duration) {
        self.weight = self.faded(now, fade) + 1.0;
        self.at = now;
    }
}

/// Fading counts of requests for each level.
#[derive(Debug, Clone)]
pub struct LevelShares {
    counts: HashMap<u64, Count, Uniform>,
    total: Count,
    fade: Duration,
    capacity: usize,
}

/// A count that has faded below this is dropped when room is needed.
const NEGLIGIBLE: f64 = 0.05;
/// Requests that a router must have counted before its counts outweigh what is assumed of a level it hardly knows,
/// namely a share of nothing.
const ASSUMED: f64 = 5.0;

impl LevelShares {
    /// No counts yet; a count falls to 37% within `fade`. At most `capacity` levels are counted.
    pub fn new(fade: Duration, capacity: usize) -> Self {
        Self {
            counts: HashMap::default(),
            total: Count::default(),
            fade,
            capacity,
        }
    }

    /// Counts a request with these levels.
    pub fn count(&mut self, levels: &[Level], now: Duration) {
        self.total.add(now, self.fade);
        for level in levels {
            if self.counts.len() >= self.capacity && !self.counts.contains_key(&level.hash) {
                self.make_room(now);
            }
            self.counts.entry(level.hash).or_default().add(now, self.fade);
        }
    }

    /// Share of recent requests that had `level`, 0 to 1.
    pub fn share(&self, level: u64, now: Duration) -> f64 {
        let Some(own) = self.counts.get(&level) else { return 0.0 };
        own.faded(now, self.fade) / (self.total.faded(now, self.fade) + ASSUMED)
    }

    fn make_room(&mut self, now: Duration) {
        let fade = self.fade;
        self.counts.retain(|_, count| count.faded(now, fade) >= NEGLIGIBLE);
        if self.counts.len() >= self.capacity {
            self.counts.clear();
        }
    }
}
