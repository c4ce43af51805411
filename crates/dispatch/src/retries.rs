//! The budget of attempts beyond the first, which all routers share.
//!
//! Load pattern: endpoints crash, refuse or answer with errors while callers go on asking. Without a budget each failure
//! becomes several requests just when capacity is missing. The budget is one for all routers; each keeps to the share
//! of its own requests, and to a small part of the fixed rest, so that nothing has to be agreed on.

use std::collections::VecDeque;
use std::time::Duration;

/// Width of a bucket of counts: a twentieth of the usual window of ten seconds.
const BUCKET: Duration = Duration::from_millis(500);
/// Part of the permitted ratio that is used: requests that callers sent and that never arrived don't count here, and
/// routers count in other windows than whoever checks.
const CAUTION: f64 = 0.8;
/// Routers that the fixed rest is split for while their number isn't known, which a router learns within two seconds of its
/// start: more than the larger fleet has.
const UNKNOWN: u32 = 200;
/// The rest is split for this many times the known routers: others may have just started.
const HEADROOM: f64 = 1.25;

/// Limits of the budget.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryLimits {
    /// Attempts beyond the first, as a share of requests.
    pub ratio: f64,
    /// Attempts beyond that, for all routers together, in one window.
    pub extra: u32,
    /// The window.
    pub window: Duration,
    /// Routers of the deployment; 0 while their number isn't known.
    pub routers: u32,
}

impl RetryLimits {
    /// This router's part of the fixed rest.
    fn own_extra(&self) -> f64 {
        let routers = if self.routers == 0 {
            f64::from(UNKNOWN)
        } else {
            f64::from(self.routers) * HEADROOM
        };
        f64::from(self.extra) / routers
    }
}

/// What one router has sent to one service lately.
#[derive(Debug, Clone, Default)]
pub struct RetryMeter {
    buckets: VecDeque<Bucket>,
}

#[derive(Debug, Clone, Copy, Default)]
struct Bucket {
    start: Duration,
    requests: u32,
    again: u32,
}

impl RetryMeter {
    /// A request's first attempt.
    pub fn record_request(&mut self, window: Duration, now: Duration) {
        self.bucket(window, now).requests += 1;
    }

    /// Counts one more attempt if the budget allows it.
    pub fn try_retry(&mut self, limits: &RetryLimits, now: Duration) -> bool {
        self.bucket(limits.window, now);
        let requests: u32 = self.buckets.iter().map(|bucket| bucket.requests).sum();
        let again: u32 = self.buckets.iter().map(|bucket| bucket.again).sum();
        let own = limits.own_extra();
        let allowed = limits.ratio * CAUTION * f64::from(requests) + own;
        if f64::from(again + 1) > allowed {
            return false;
        }
        self.bucket(limits.window, now).again += 1;
        true
    }

    /// The bucket of `now`, after those that have left the window were dropped.
    fn bucket(&mut self, window: Duration, now: Duration) -> &mut Bucket {
        let old = |bucket: &Bucket| now.saturating_sub(bucket.start) > window;
        while self.buckets.front().is_some_and(old) {
            self.buckets.pop_front();
        }
        let fits = |bucket: &Bucket| now.saturating_sub(bucket.start) < BUCKET;
        if !self.buckets.back().is_some_and(fits) {
            self.buckets.push_back(Bucket {
                start: now,
                ..Bucket::default()
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
