//! The end of claims: each is written under a long lease of the platform, which all claims of an hour share.
//!
//! What goes wrong without it: claims pile up for ever, or each costs a third write to delete it, or a router
//! with a wrong clock takes a claim for ended and runs the call again. With a lease the platform's own clock ends
//! claims, at the price of one lease call per router and hour.
//!
//! What a caller must know: a key is remembered for at least [`REMEMBERED`]. Used again later, it is a new call.

use std::time::Duration;

/// How long a key is remembered at least.
pub const REMEMBERED: Duration = Duration::from_secs(24 * 3600);

/// How long one lease is used for new claims.
pub const USED_FOR: Duration = Duration::from_secs(3600);

/// Time to live of a lease. Its excess over [`REMEMBERED`] and [`USED_FOR`] covers a router that is stopped
/// between taking the lease and writing with it: 23 hours.
pub const CLAIM_LEASE_TTL: Duration = Duration::from_secs(48 * 3600);

/// What to do before a write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum LeaseStep {
    /// Write under this lease.
    Use(u64),
    /// Ask for a new lease of [`CLAIM_LEASE_TTL`] first; without it no claim can be made.
    RequestNew,
}

/// The lease under which a router writes its claims; never renewed, never revoked.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ClaimLease {
    current: Option<(u64, Duration)>,
}

impl ClaimLease {
    /// What to do before a write.
    pub fn step(&self, now: Duration) -> LeaseStep {
        match self.current {
            Some((id, asked)) if now.saturating_sub(asked) < USED_FOR => LeaseStep::Use(id),
            _ => LeaseStep::RequestNew,
        }
    }

    /// The platform granted this lease to a call that was begun at `asked`.
    pub fn granted(&mut self, id: u64, asked: Duration) {
        self.current = Some((id, asked));
    }

    /// The platform no longer knows the lease, as it said when refusing a write.
    pub fn invalidate(&mut self) {
        self.current = None;
    }
}
