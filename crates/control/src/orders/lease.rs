//! A lease as its holder may rely on it.

use super::{LEASE_MARGIN, RENEW_AFTER, RETRY_AFTER};
use ids::Fence;
use std::time::Duration;

/// A lease, counted on the own monotonic clock from when it was asked for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// The lease's id, which is the fence.
    pub id: Fence,
    end: Duration,
    renew: Duration,
}

impl Lease {
    /// A lease that was asked for at `requested`.
    pub fn new(id: Fence, ttl: Duration, requested: Duration) -> Self {
        Self {
            id,
            end: requested + ttl,
            renew: requested + RENEW_AFTER,
        }
    }

    /// Renewed by a call that left at `requested`. An answer that comes after a later one doesn't shorten it.
    pub fn renewed(&mut self, ttl: Duration, requested: Duration) {
        self.end = self.end.max(requested + ttl);
        self.renew = self.renew.max(requested + RENEW_AFTER);
    }

    /// Whether orders may be given under it.
    pub fn lasts(&self, now: Duration) -> bool {
        now + LEASE_MARGIN < self.end
    }

    /// Whether it is over.
    pub fn over(&self, now: Duration) -> bool {
        now >= self.end
    }

    /// Its id if it is to be renewed now; not given again before the call had time to be answered.
    pub fn due(&mut self, now: Duration) -> Option<Fence> {
        if now < self.renew {
            return None;
        }
        self.renew = now + RETRY_AFTER;
        Some(self.id)
    }
}
