//! Rate limits of workspaces. Each router grants its share of each limit.

use crate::client::AuthContext;
use crate::client::{Cause, Refused};
use admission::{LimitDecision, Limits, Share, ShareLimiter};
use clock::Clock;
use ids::WorkspaceId;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The rate limiters of all workspaces that have limits.
#[derive(Debug)]
pub struct WorkspaceLimits {
    inner: Arc<Mutex<Inner>>,
    clock: Clock,
}

#[derive(Debug)]
struct Inner {
    share: Share,
    limiters: HashMap<WorkspaceId, (Limits, ShareLimiter)>,
}

/// A request counted against its workspace's limits with its estimated tokens, until it is settled.
#[derive(Debug)]
pub struct LimitReservation {
    inner: Arc<Mutex<Inner>>,
    workspace: WorkspaceId,
    estimated: u64,
    clock: Clock,
}

impl WorkspaceLimits {
    /// Creates limits with a share of 1: this router grants all until it learns of other routers.
    pub fn new(clock: Clock) -> Self {
        let inner = Inner {
            share: Share { target: 1.0, even: 1.0 },
            limiters: HashMap::new(),
        };
        Self {
            inner: Arc::new(Mutex::new(inner)),
            clock,
        }
    }

    /// Sets this router's share of each limit.
    pub fn set_share(&self, share: Share, now: Duration) {
        let mut inner = lock(&self.inner);
        inner.share = share;
        for (_, limiter) in inner.limiters.values_mut() {
            limiter.set_share(share, now);
        }
    }

    /// Counts a request with an estimate of `tokens`, or refuses it.
    pub fn try_acquire(&self, auth: &AuthContext, tokens: u64, now: Duration) -> Result<LimitReservation, Refused> {
        let reservation = LimitReservation {
            inner: self.inner.clone(),
            workspace: auth.workspace.clone(),
            estimated: tokens,
            clock: self.clock,
        };
        let spec = &auth.spec.limits;
        let limits = Limits {
            requests: spec.requests_per_second,
            tokens: spec.tokens_per_second,
        };
        if limits == Limits::default() {
            return Ok(reservation);
        }
        let mut inner = lock(&self.inner);
        let share = inner.share;
        let limiter = inner.limiters.entry(auth.workspace.clone());
        let (known, limiter) = limiter.or_insert_with(|| (limits, ShareLimiter::new(limits, share.target, now)));
        if *known != limits {
            *known = limits;
            limiter.set_limits(limits, now);
        }
        match limiter.try_acquire(tokens, now) {
            LimitDecision::Granted => Ok(reservation),
            LimitDecision::Denied(delay) => {
                let mut refused = Refused::not_run(Cause::Limit);
                refused.retry_after = delay;
                Err(refused)
            }
        }
    }
}

impl LimitReservation {
    /// Replaces the estimate by the actual number of tokens.
    pub fn settle(self, counted: u64) {
        let now = self.clock.now();
        let mut inner = lock(&self.inner);
        if let Some((_, limiter)) = inner.limiters.get_mut(&self.workspace) {
            limiter.settle(self.estimated, counted, now);
        }
    }
}

fn lock(mutex: &Mutex<Inner>) -> MutexGuard<'_, Inner> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
