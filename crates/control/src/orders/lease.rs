//! A lease and its validity as measured by its holder.

use super::{LEASE_MARGIN, RENEW_AFTER, RETRY_DELAY};
use ids::Fence;
use std::time::Duration;

/// A lease. Its time is measured on this router's monotonic clock, from the time of the request.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Lease {
    /// The lease id, which is also the fencing token.
    pub id: Fence,
    expires_at: Duration,
    renew_at: Duration,
}

impl Lease {
    /// A lease that was requested at `requested`.
    pub fn new(id: Fence, ttl: Duration, requested: Duration) -> Self {
        Self {
            id,
            expires_at: requested + ttl,
            renew_at: requested + RENEW_AFTER,
        }
    }

    /// Extends the lease after a renewal that was requested at `requested`. An answer that arrives out of order does
    /// not shorten it.
    pub fn extend(&mut self, ttl: Duration, requested: Duration) {
        self.expires_at = self.expires_at.max(requested + ttl);
        self.renew_at = self.renew_at.max(requested + RENEW_AFTER);
    }

    /// Whether orders may be sent under it.
    pub fn permits_orders(&self, now: Duration) -> bool {
        now + LEASE_MARGIN < self.expires_at
    }

    /// Whether it has expired.
    pub fn is_expired(&self, now: Duration) -> bool {
        now >= self.expires_at
    }

    /// Its id if it must be renewed now. Not returned again until [`RETRY_DELAY`] later, so that the call can be
    /// answered.
    pub fn due_renewal(&mut self, now: Duration) -> Option<Fence> {
        if now < self.renew_at {
            return None;
        }
        self.renew_at = now + RETRY_DELAY;
        Some(self.id)
    }
}
