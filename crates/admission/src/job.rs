//! What a caller asks of a pool.

use derive_more::Display;
use ids::{Priority, WorkspaceId};
use std::time::Duration;

/// Tokens of one request: as estimated or allowed when it is offered, as counted when it ends. Both zero for plain services.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tokens {
    /// Prompt tokens that are not found in a cache.
    pub uncached: u64,
    /// Tokens generated; of a request that is offered, what the caller allows. What is used of that is learnt.
    pub output: u64,
}

/// One request that wants a slot of the pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Who asks.
    pub workspace: WorkspaceId,
    /// The workspace's weight in fair sharing, 1 to 1000.
    pub weight: u32,
    /// Urgency, 0 to 9, 0 the most urgent.
    pub priority: Priority,
    /// Tokens; they say how long the job will hold its slot.
    pub tokens: Tokens,
    /// When the caller stops waiting for the whole answer, on the clock of `now`.
    pub deadline: Option<Duration>,
}

/// Names one admitted job until its end; never used twice.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct Ticket(pub(crate) u64);
