//! Requests as a pool sees them.

use derive_more::Display;
use ids::{Priority, WorkspaceId};
use std::time::Duration;

/// Tokens of one request: estimated or allowed when it is offered, counted when it ends. Both are zero for plain
/// services.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Tokens {
    /// Prompt tokens that are not cached.
    pub uncached: u64,
    /// Output tokens. For an offered request, the maximum that the client allows; the share that answers use is learnt.
    pub output: u64,
}

/// A request for one slot of the pool.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Job {
    /// Workspace of the client.
    pub workspace: WorkspaceId,
    /// The workspace's weight in fair sharing, 1 to 1000.
    pub weight: u32,
    /// Urgency, 0 to 9, 0 the most urgent.
    pub priority: Priority,
    /// Tokens, from which the slot time is estimated.
    pub tokens: Tokens,
    /// When the client stops waiting for the complete answer, on the clock of `now`.
    pub deadline: Option<Duration>,
}

/// Identifies one admitted job. Never reused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
pub struct Ticket(pub(crate) u64);
