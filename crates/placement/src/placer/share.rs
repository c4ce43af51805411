//! Shares of recent requests by level.
//!
//! Load pattern: a few levels get more requests than one endpoint can serve, and which ones changes without warning.
//! Were each level bound to one endpoint, that endpoint's queue would grow while others idle. A router sees a fair sample
//! of all requests, since the platform's balancer spreads them, so its own counts tell how many endpoints a level needs;
//! the counts fade, so that a level that cools down shrinks back.

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
    counts: HashMap<u64, Count>,
    total: Count,
    fade: Duration,
    capacity: usize,
}

/// A count that has faded below this is dropped when room is needed.
const NEGLIGIBLE: f64 = 0.05;

impl LevelShares {
    /// No counts yet; a count falls to 37% within `fade`. At most `capacity` levels are counted.
    pub fn new(fade: Duration, capacity: usize) -> Self {
        Self {
            counts: HashMap::new(),
            total: Count::default(),
            fade,
            capacity,
        }
    }

    /// Counts a request that is about to be counted level by level.
    pub fn count_request(&mut self, now: Duration) {
        self.total.add(now, self.fade);
    }

    /// Counts one level of a request.
    pub fn count_level(&mut self, level: u64, now: Duration) {
        if self.counts.len() >= self.capacity && !self.counts.contains_key(&level) {
            self.make_room(now);
        }
        self.counts.entry(level).or_default().add(now, self.fade);
    }

    /// Share of recent requests that had `level`. Until there were enough, `prior` counts as much as `weight` requests.
    pub fn share(&self, level: u64, now: Duration, prior: f64, weight: f64) -> f64 {
        let own = self.counts.get(&level).map_or(0.0, |count| count.faded(now, self.fade));
        (own + prior * weight) / (self.total.faded(now, self.fade) + weight)
    }

    fn make_room(&mut self, now: Duration) {
        let fade = self.fade;
        self.counts.retain(|_, count| count.faded(now, fade) >= NEGLIGIBLE);
        if self.counts.len() >= self.capacity {
            self.counts.clear();
        }
    }
}
