//! Expiry of claims: each claim is written under a long platform lease, which is shared by all claims of one hour.
//!
//! Without a lease, claims would accumulate, or each would cost a third write to delete it, or a router with a wrong
//! clock could consider a claim expired and run the call again. With a lease, claims expire by the platform's clock, at
//! the cost of one lease call per router and hour.
//!
//! A key is retained for at least [`KEY_RETENTION`]. A client that uses it again later makes a new call.

use std::time::Duration;

/// Minimum time for which a key is retained.
pub const KEY_RETENTION: Duration = Duration::from_secs(24 * 3600);

/// How long one lease is used for new claims.
pub const LEASE_USE_PERIOD: Duration = Duration::from_secs(3600);

/// Time to live of a claim lease. It exceeds [`KEY_RETENTION`] plus [`LEASE_USE_PERIOD`] by 23 hours, for a router that
/// is paused between choosing the lease and writing under it.
pub const CLAIM_LEASE_TTL: Duration = Duration::from_secs(48 * 3600);

/// What to do before a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LeaseStep {
    /// Write under this lease.
    Use(u64),
    /// Request a new lease of [`CLAIM_LEASE_TTL`] first. Without it, no claim can be written.
    RequestNew,
}

/// The lease under which a router writes its claims. It is never renewed or revoked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClaimLease {
    current: Option<(u64, Duration)>,
}

impl ClaimLease {
    /// What to do before a write.
    pub fn step(&self, now: Duration) -> LeaseStep {
        match self.current {
            Some((id, requested)) if now.saturating_sub(requested) < LEASE_USE_PERIOD => LeaseStep::Use(id),
            _ => LeaseStep::RequestNew,
        }
    }

    /// Records a lease that was requested at `requested` and granted by the platform.
    pub fn granted(&mut self, id: u64, requested: Duration) {
        self.current = Some((id, requested));
    }

    /// Discards the lease after the platform refused a write because it no longer has the lease.
    pub fn invalidate(&mut self) {
        self.current = None;
    }
}
