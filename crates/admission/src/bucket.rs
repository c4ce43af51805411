//! A token bucket that may go into debt.
//!
//! One request may cost more than the bucket holds (a router's share of a small limit is less than one long prompt).
//! A bucket that demands the whole cost beforehand would then refuse such a request for ever; this one grants while it is
//! above zero, takes the whole cost and pays the debt off before it grants again, so that the rate holds over time.

use std::time::Duration;

/// A token bucket that may go into debt.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    rate: f64,
    capacity: f64,
    level: f64,
    filled: Duration,
}

impl Bucket {
    /// Full bucket that refills by `rate` a second up to `capacity`.
    pub fn new(rate: f64, capacity: f64, now: Duration) -> Self {
        Self {
            rate,
            capacity,
            level: capacity,
            filled: now,
        }
    }

    /// Changes rate and capacity; what has been saved beyond the new capacity is lost, a debt remains.
    pub fn set_rate(&mut self, rate: f64, capacity: f64, now: Duration) {
        self.fill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Time until `needed` could be taken; zero if it can be now. None if the rate is zero.
    pub fn wait(&mut self, needed: f64, now: Duration) -> Option<Duration> {
        self.fill(now);
        let missing = needed.min(self.capacity) - self.level;
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        if self.rate <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64(missing / self.rate).ok()
    }

    /// Takes `cost`, into debt if need be; a negative cost gives back.
    pub fn charge(&mut self, cost: f64, now: Duration) {
        self.fill(now);
        self.level = (self.level - cost).min(self.capacity);
    }

    /// What can be taken without debt.
    pub fn level(&mut self, now: Duration) -> f64 {
        self.fill(now);
        self.level
    }

    fn fill(&mut self, now: Duration) {
        let Some(passed) = now.checked_sub(self.filled) else {
            return;
        };
        self.filled = now;
        self.level = (self.level + passed.as_secs_f64() * self.rate).min(self.capacity);
    }
}
