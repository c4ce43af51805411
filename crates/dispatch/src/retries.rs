//! The retry budget that all routers share.
//!
//! Load pattern: endpoints crash, refuse or return errors while clients keep sending. Without a budget each failure
//! becomes several requests just when capacity is short. The budget covers all routers together. Each router limits
//! itself to a ratio of its own requests plus its share of the fixed allowance, so that no coordination is needed.

use std::collections::VecDeque;
use std::time::Duration;

/// Width of a bucket of counts: a twentieth of the default window of ten seconds.
const BUCKET_WIDTH: Duration = Duration::from_millis(500);
/// Share of the permitted ratio that is used. Requests that never arrived are not counted here, and the windows of
/// whatever measures the ratio are not aligned with this router's.
const RATIO_MARGIN: f64 = 0.8;
/// Number of routers that share the fixed allowance while the real number isn't known. A router learns it within two
/// seconds of its start. The value exceeds the size of the largest deployment.
const DEFAULT_ROUTERS: u32 = 200;
/// Factor on the known number of routers, since others may have just started.
const ROUTER_HEADROOM: f64 = 1.25;

/// Limits of the retry budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Retries as a share of requests.
    pub ratio: f64,
    /// Fixed allowance of retries on top of the ratio, for all routers together, per window.
    pub extra: u32,
    /// Length of the window.
    pub window: Duration,
    /// Number of routers of the deployment; 0 while it isn't known.
    pub routers: u32,
}

impl RetryLimits {
    /// This router's share of the fixed allowance.
    fn own_extra(&self) -> f64 {
        let routers = if self.routers == 0 {
            f64::from(DEFAULT_ROUTERS)
        } else {
            f64::from(self.routers) * ROUTER_HEADROOM
        };
        f64::from(self.extra) / routers
    }
}

/// Requests and retries that one router has sent to one service within the window.
#[derive(Debug, Clone, Default)]
pub struct RetryMeter {
    buckets: VecDeque<Bucket>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    start: Duration,
    requests: u32,
    retries: u32,
}

impl RetryMeter {
    /// Records the first attempt of a request.
    pub fn record_request(&mut self, window: Duration, now: Duration) {
        self.bucket(window, now).requests += 1;
    }

    /// Records a retry if the budget allows it.
    pub fn try_retry(&mut self, limits: &RetryLimits, now: Duration) -> bool {
        self.bucket(limits.window, now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let retries: u32 = self.buckets.iter().map(|bucket| bucket.retries).sum();
        let own = limits.own_extra();
        let allowed = limits.ratio * RATIO_MARGIN * f64::from(requests) + own;
        if f64::from(retries + 1) > allowed {
            return false;
        }
        self.bucket(limits.window, now).retries += 1;
        true
    }

    /// Drops the buckets outside the window and returns the bucket of `now`.
    fn bucket(&mut self, window: Duration, now: Duration) -> &mut Bucket {
        let is_expired = |bucket: &Bucket| now.saturating_sub(bucket.start) > window;
        while self.buckets.front().is_some_and(is_expired) {
            self.buckets.pop_front();
        }
        let is_current = |bucket: &Bucket| now.saturating_sub(bucket.start) < BUCKET_WIDTH;
        if !self.buckets.back().is_some_and(is_current) {
            self.buckets.push_back(Bucket {
                start: now,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
