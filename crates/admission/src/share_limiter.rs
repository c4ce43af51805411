//! Limits of a workspace over all routers, without a coordinator.
//!
//! Load pattern: a workspace whose callers send more than the operators allow it, through any of the routers.
//! Without it each router would grant the whole limit, and the workspace would get as many times its limit as there are
//! routers. One notices that a workspace's counted rate over all routers exceeds its limit.
//!
//! Each router grants its share of the limit. Shares follow where the workspace's requests arrive: [`EVEN_PART`] is split
//! evenly, the rest by the demand that the routers tell each other. What the sum over all routers may reach:
//!
//! | case | sum of shares | for how long |
//! | --- | --- | --- |
//! | all routers see each other | 1 | |
//! | demand moves, or a router joins | below 3 | one exchange of demand: a share at most doubles, or rises to the even one |
//! | a minority is cut off | 1 plus the minority's shares | until it is seen again; the minority keeps its last shares |
//! | no side has a majority | 1 | each side keeps its last shares |
//!
//! On top comes one burst a router: [`BURST`] of its rate, and never less than one request.

use crate::Bucket;
use std::time::Duration;

/// Part of a limit that is split evenly, so that a router where a workspace has not been seen grants its first requests
/// at once; the rest follows demand. At a tenth, callers who all use one of 14 routers get 0.91 of their limit there.
const EVEN_PART: f64 = 0.1;
/// A share grows at most by this factor, or to the even share, from one exchange of demand to the next. When many routers
/// get busy together none has heard of the others yet: without this each would take nearly the whole limit.
const MAX_GROWTH: f64 = 2.0;
/// A router that is missing keeps its part for this long: restarts take seconds and should not move limits.
const MISSING: Duration = Duration::from_secs(30);
/// How much unused rate may be saved up.
const BURST: Duration = Duration::from_secs(1);

/// This router's part of a workspace's limit.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Share {
    /// Part by demand, 0 to 1.
    pub target: f64,
    /// Part if the limit were split evenly, 0 to 1.
    pub even: f64,
}

/// Which routers count, as one router sees them.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareView {
    counted: u32,
    seen: u32,
    missing_since: Option<Duration>,
}

impl ShareView {
    /// Before any peer has been heard: `expected` routers, such as the platform lists or as are configured.
    pub fn new(expected: u32) -> Self {
        let expected = expected.max(1);
        Self {
            counted: expected,
            seen: expected,
            missing_since: None,
        }
    }

    /// Takes in how many routers are live, this one among them, and how many the platform lists if it can be asked.
    ///
    /// More routers count at once. Fewer count only once they have been missing for [`MISSING`], and only if the rest
    /// are a majority or the platform's list agrees: otherwise it may be this router that is cut off.
    pub fn observe(&mut self, live: u32, listed: Option<u32>, now: Duration) {
        let live = live.max(1);
        self.seen = live;
        if live >= self.counted {
            self.counted = live;
            self.missing_since = None;
            return;
        }
        let since = *self.missing_since.get_or_insert(now);
        let gone = live * 2 > self.counted || listed.is_some_and(|listed| listed <= live);
        if gone && now.saturating_sub(since) >= MISSING {
            self.counted = live;
            self.missing_since = None;
        }
    }

    /// This router's wanted share of a workspace's limit, from the demand that arrives here and at all routers.
    /// None while routers are missing: the last share stays.
    pub fn share(&self, own: f64, total: f64) -> Option<Share> {
        if self.missing_since.is_some() || self.seen < self.counted {
            return None;
        }
        let even = self.even_share();
        if total <= 0.0 {
            return Some(Share { target: even, even });
        }
        let target = EVEN_PART * even + (1.0 - EVEN_PART) * (own / total).clamp(0.0, 1.0);
        Some(Share { target, even })
    }

    /// The share to begin with.
    pub fn even_share(&self) -> f64 {
        1.0 / f64::from(self.counted)
    }
}

/// Limits of a workspace over all routers together; absent means unlimited.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Limits {
    /// Requests a second.
    pub requests: Option<u32>,
    /// Tokens a second, uncached prompt tokens and output together.
    pub tokens: Option<u32>,
}

/// Answer to a request under a workspace's limits.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LimitDecision {
    /// Within the limits, and counted.
    Granted,
    /// Not now, and not counted; when to come back, absent if the limit is zero.
    Denied(Option<Duration>),
}

/// This router's part of one workspace's limits.
#[derive(Debug, Clone, PartialEq)]
pub struct ShareLimiter {
    limits: Limits,
    share: f64,
    requests: Option<Bucket>,
    tokens: Option<Bucket>,
}

impl ShareLimiter {
    /// Limiter that grants `share` of the limits.
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

    /// The operators changed the limits.
    pub fn set_limits(&mut self, limits: Limits, now: Duration) {
        self.limits = limits;
        set_bucket(&mut self.requests, limits.requests, self.share, 1.0, now);
        set_bucket(&mut self.tokens, limits.tokens, self.share, 0.0, now);
    }

    /// Takes over the wanted share, called once for each exchange of demand.
    pub fn set_share(&mut self, share: Share, now: Duration) {
        self.share = share.target.min((self.share * MAX_GROWTH).max(share.even));
        self.set_limits(self.limits, now);
    }

    /// The share that is granted.
    pub fn share(&self) -> f64 {
        self.share
    }

    /// Asks for one request of about `tokens`; the count is corrected by [`ShareLimiter::settle`].
    pub fn try_acquire(&mut self, tokens: u64, now: Duration) -> LimitDecision {
        let requests = self
            .requests
            .as_mut()
            .map_or(Some(Duration::ZERO), |bucket| bucket.wait(1.0, now));
        let backlog = self
            .tokens
            .as_mut()
            .map_or(Some(Duration::ZERO), |bucket| bucket.wait(1.0, now));
        let (Some(requests), Some(backlog)) = (requests, backlog) else {
            return LimitDecision::Denied(None);
        };
        let wait = requests.max(backlog);
        if !wait.is_zero() {
            return LimitDecision::Denied(Some(wait));
        }
        charge(&mut self.requests, 1.0, now);
        charge(&mut self.tokens, tokens as f64, now);
        LimitDecision::Granted
    }

    /// Corrects a granted request's tokens once they have been counted; zero if it has not run.
    pub fn settle(&mut self, estimated: u64, counted: u64, now: Duration) {
        charge(&mut self.tokens, counted as f64 - estimated as f64, now);
    }
}

fn charge(bucket: &mut Option<Bucket>, cost: f64, now: Duration) {
    if let Some(bucket) = bucket {
        bucket.charge(cost, now);
    }
}

fn set_bucket(bucket: &mut Option<Bucket>, limit: Option<u32>, share: f64, least: f64, now: Duration) {
    let Some(limit) = limit else {
        *bucket = None;
        return;
    };
    let rate = f64::from(limit) * share;
    let capacity = (rate * BURST.as_secs_f64()).max(least);
    match bucket {
        Some(bucket) => bucket.set_rate(rate, capacity, now),
        None => *bucket = Some(Bucket::new(rate, capacity, now)),
    }
}
