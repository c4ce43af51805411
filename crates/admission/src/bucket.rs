//! Token bucket whose level may become negative.
//!
//! One request may cost more than the bucket's capacity: a router's share of a small limit is less than one long
//! prompt. A bucket that requires the whole cost up front would never grant such a request. This one grants while its
//! level is above zero, subtracts the whole cost and refills from the negative level before it grants again. The rate
//! therefore holds over time.

use std::time::Duration;

/// Token bucket whose level may become negative.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct TokenBucket {
    rate: f64,
    capacity: f64,
    level: f64,
    refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a full bucket that refills by `rate` a second up to `capacity`.
    pub fn new(rate: f64, capacity: f64, now: Duration) -> Self {
        Self {
            rate,
            capacity,
            level: capacity,
            refilled_at: now,
        }
    }

    /// Changes rate and capacity. A level above the new capacity is cut to it; a negative level remains.
    pub fn set_rate(&mut self, rate: f64, capacity: f64, now: Duration) {
        self.refill(now);
        self.rate = rate;
        self.capacity = capacity;
        self.level = self.level.min(capacity);
    }

    /// Time until `needed` is available, zero if it is now. `None` if the rate is zero.
    pub fn wait(&mut self, needed: f64, now: Duration) -> Option<Duration> {
        self.refill(now);
        let missing = needed.min(self.capacity) - self.level;
        if missing <= 0.0 {
            return Some(Duration::ZERO);
        }
        if self.rate <= 0.0 {
            return None;
        }
        Duration::try_from_secs_f64(missing / self.rate).ok()
    }

    /// Subtracts `cost`, below zero if necessary. A negative cost is a refund.
    pub fn charge(&mut self, cost: f64, now: Duration) {
        self.refill(now);
        self.level = (self.level - cost).min(self.capacity);
    }

    /// Current level, negative while the bucket is in debt.
    pub fn level(&mut self, now: Duration) -> f64 {
        self.refill(now);
        self.level
    }

    fn refill(&mut self, now: Duration) {
        let Some(elapsed) = now.checked_sub(self.refilled_at) else {
            return;
        };
        self.refilled_at = now;
        self.level = (self.level + elapsed.as_secs_f64() * self.rate).min(self.capacity);
    }
}
