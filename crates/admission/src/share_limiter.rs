//! Distributed rate limits of a workspace over all routers, without a coordinator.
//!
//! Load pattern: the clients of a workspace send more than its limit through several routers. If each router granted
//! the whole limit, the workspace would get its limit as many times as there are routers. The symptom is a counted rate
//! over all routers above the limit.
//!
//! Each router grants a share of the limit. Shares follow where the requests of the workspace arrive: [`EVEN_FRACTION`]
//! is split evenly, the rest by the demand that the routers report to each other. Bounds of the sum over all routers:
//!
//! | case | sum of shares | duration |
//! | --- | --- | --- |
//! | all routers reach each other | 1 | |
//! | demand moves, or a router joins | below 3 | one exchange of demand: a share at most doubles, or rises to the even one |
//! | a minority is partitioned | 1 plus the minority's shares | until it is reachable again; the minority keeps its last shares |
//! | no side has a majority | 1 | each side keeps its last shares |
//!
//! In addition each router allows one burst: [`BURST_TIME`] times its rate, and at least one request.

use crate::TokenBucket;
use std::time::Duration;

/// Fraction of a limit that is split evenly, so that a router grants the first requests of a workspace it has not
/// served before. The rest follows demand. At a tenth, clients that all use one of 14 routers get 0.91 of their limit
/// there.
const EVEN_FRACTION: f64 = 0.1;
/// Maximum growth factor of a share from one exchange of demand to the next. A share below the even one may rise to it
/// at once. When many routers become busy together, none has received the demand of the others yet. Without this bound
/// each would take nearly the whole limit.
const MAX_GROWTH: f64 = 2.0;
/// How long a missing router keeps its share: restarts take seconds and should not move limits.
const MISSING_GRACE: Duration = Duration::from_secs(30);
/// Maximum burst, as the time in which the rate refills it.
const BURST_TIME: Duration = Duration::from_secs(1);

/// This router's share of a workspace's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Share by demand, 0 to 1.
    pub target: f64,
    /// Share of an even split, 0 to 1.
    pub even: f64,
}

/// Number of routers that share the limits, from one router's view.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareView {
    router_count: u32,
    live_count: u32,
    missing_since: Option<Duration>,
}

impl ShareView {
    /// Creates the view before any peer is known. `expected` is the number of routers that the platform lists or that
    /// are configured.
    pub fn new(expected: u32) -> Self {
        let expected = expected.max(1);
        Self {
            router_count: expected,
            live_count: expected,
            missing_since: None,
        }
    }

    /// Records the number of live routers including this one, and the number that the platform lists if it is
    /// reachable.
    ///
    /// More routers count at once. Fewer routers count only after they have been missing for [`MISSING_GRACE`], and
    /// only if the live ones are a majority or the platform's list confirms them. Otherwise this router may be the one
    /// that is partitioned.
    pub fn observe(&mut self, live: u32, listed: Option<u32>, now: Duration) {
        let live = live.max(1);
        self.live_count = live;
        if live >= self.router_count {
            self.router_count = live;
            self.missing_since = None;
            return;
        }
        let since = *self.missing_since.get_or_insert(now);
        let confirmed = live * 2 > self.router_count || listed.is_some_and(|listed| listed <= live);
        if confirmed && now.saturating_sub(since) >= MISSING_GRACE {
            self.router_count = live;
            self.missing_since = None;
        }
    }

    /// Target share of a workspace's limit for this router, from the demand at this router and at all routers. `None`
    /// while routers are missing: the last share stays in force.
    pub fn share(&self, own: f64, total: f64) -> Option<Share> {
        if self.missing_since.is_some() || self.live_count < self.router_count {
            return None;
        }
        let even = self.even_share();
        if total <= 0.0 {
            return Some(Share { target: even, even });
        }
        let target = EVEN_FRACTION * even + (1.0 - EVEN_FRACTION) * (own / total).clamp(0.0, 1.0);
        Some(Share { target, even })
    }

    /// Initial share.
    pub fn even_share(&self) -> f64 {
        1.0 / f64::from(self.router_count)
    }
}

/// Limits of a workspace over all routers together. `None` means unlimited.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Limits {
    /// Requests per second.
    pub requests: Option<u32>,
    /// Tokens per second, uncached prompt tokens and output together.
    pub tokens: Option<u32>,
}

/// Decision on a request under a workspace's limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitDecision {
    /// Within the limits, and charged.
    Granted,
    /// Above the limits, and not charged. Holds the delay until a retry may succeed, `None` if the limit is zero.
    Denied(Option<Duration>),
}

/// This router's share of one workspace's limits.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareLimiter {
    limits: Limits,
    share: f64,
    requests: Option<TokenBucket>,
    tokens: Option<TokenBucket>,
}

impl ShareLimiter {
    /// Creates a limiter that grants `share` of the limits.
    pub fn new(limits: Limits, share: f64, now: Duration) -> Self {
        let mut limiter = Self {
            limits,
            share,
            requests: None,
            tokens: None,
        };
        limiter.set_limits(limits, now);
        limiter
    }

    /// Changes the limits.
    pub fn set_limits(&mut self, limits: Limits, now: Duration) {
        self.limits = limits;
        update_bucket(&mut self.requests, limits.requests, self.share, 1.0, now);
        update_bucket(&mut self.tokens, limits.tokens, self.share, 0.0, now);
    }

    /// Moves to the target share. Called once per exchange of demand.
    pub fn set_share(&mut self, share: Share, now: Duration) {
        self.share = share.target.min((self.share * MAX_GROWTH).max(share.even));
        self.set_limits(self.limits, now);
    }

    /// The granted share.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Requests admission of one request of about `tokens`. [`ShareLimiter::settle`] corrects the count.
    pub fn try_acquire(&mut self, tokens: u64, now: Duration) -> LimitDecision {
        let request_wait = self
            .requests
            .as_mut()
            .map_or(Some(Duration::ZERO), |bucket| bucket.wait(1.0, now));
        let token_wait = self
            .tokens
            .as_mut()
            .map_or(Some(Duration::ZERO), |bucket| bucket.wait(1.0, now));
        let (Some(request_wait), Some(token_wait)) = (request_wait, token_wait) else {
            return LimitDecision::Denied(None);
        };
        let wait = request_wait.max(token_wait);
        if !wait.is_zero() {
            return LimitDecision::Denied(Some(wait));
        }
        charge(&mut self.requests, 1.0, now);
        charge(&mut self.tokens, tokens as f64, now);
        LimitDecision::Granted
    }

    /// Corrects the tokens of a granted request once they have been counted; `counted` is zero if it has not run.
    pub fn settle(&mut self, estimated: u64, counted: u64, now: Duration) {
        charge(&mut self.tokens, counted as f64 - estimated as f64, now);
    }
}

fn charge(bucket: &mut Option<TokenBucket>, cost: f64, now: Duration) {
    if let Some(bucket) = bucket {
        bucket.charge(cost, now);
    }
}

fn update_bucket(bucket: &mut Option<TokenBucket>, limit: Option<u32>, share: f64, min_capacity: f64, now: Duration) {
    let Some(limit) = limit else {
        *bucket = None;
        return;
    };
    let rate = f64::from(limit) * share;
    let capacity = (rate * BURST_TIME.as_secs_f64()).max(min_capacity);
    match bucket {
        Some(bucket) => bucket.set_rate(rate, capacity, now),
        None => *bucket = Some(TokenBucket::new(rate, capacity, now)),
    }
}
