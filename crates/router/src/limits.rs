//! Limits of workspaces over all routers: this router grants its share of each.

use crate::caller::Caller;
use crate::caller::{Cause, Refused};
use admission::{LimitDecision, Limits, Share, ShareLimiter};
use clock::Clock;
use ids::WorkspaceId;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The limiters of all workspaces that have limits.
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

/// A request counted under its workspace's limits; the estimate stands until it is settled.
#[derive(Debug)]
pub struct Taken {
    inner: Arc<Mutex<Inner>>,
    workspace: WorkspaceId,
    estimated: u64,
    clock: Clock,
}

impl WorkspaceLimits {
    /// Limits of which this router grants all, until it hears of others.
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

    /// This router's share of each limit has changed.
    pub fn set_share(&self, share: Share, now: Duration) {
        let mut inner = lock(&self.inner);
        inner.share = share;
        for (_, limiter) in inner.limiters.values_mut() {
            limiter.set_share(share, now);
        }
    }

    /// Counts a request of about `tokens`, or refuses it.
    pub fn take(&self, caller: &Caller, tokens: u64, now: Duration) -> Result<Taken, Refused> {
        let taken = Taken {
            inner: self.inner.clone(),
            workspace: caller.workspace.clone(),
            estimated: tokens,
            clock: self.clock,
        };
        let spec = &caller.spec.limits;
        let limits = Limits {
            requests: spec.requests_per_second,
            tokens: spec.tokens_per_second,
        };
        if limits == Limits::default() {
            return Ok(taken);
        }
        let mut inner = lock(&self.inner);
        let share = inner.share;
        let limiter = inner.limiters.entry(caller.workspace.clone());
        let (known, limiter) = limiter.or_insert_with(|| (limits, ShareLimiter::new(limits, share.target, now)));
        if *known != limits {
            *known = limits;
            limiter.set_limits(limits, now);
        }
        match limiter.try_acquire(tokens, now) {
            LimitDecision::Granted => Ok(taken),
            LimitDecision::Denied(after) => {
                let mut refused = Refused::not_run(Cause::Limit);
                refused.retry_after = after;
                Err(refused)
            }
        }
    }
}

impl Taken {
    /// Corrects the estimate by what was counted.
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
