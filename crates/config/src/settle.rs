//! Determines the result of a change whose response was lost.
//!
//! A writer that gets no response does not know whether its compare-and-swap took effect. Assuming that it did not
//! applies the change twice; assuming that it did loses it. The audit log in force contains each accepted change.

use crate::{AuditLog, ChangeId, Head};
use ids::Revision;

/// The result of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settled {
    /// It was accepted as this revision.
    Accepted(Revision),
    /// It was not accepted and cannot be any more, since the head that it expected was replaced: plan it again.
    Lost,
    /// It has not been accepted yet, and the write may still be in transit: send the same compare-and-swap again.
    NotYet,
    /// The log no longer covers the time of the change: a person must check.
    Unknown,
}

/// Determines the result of `change`, planned on revision `base`, from the head and log that were read after the response
/// was lost.
pub fn settle(change: &ChangeId, base: Revision, head: &Head, log: &AuditLog) -> Settled {
    if let Some(record) = log.find(change) {
        return Settled::Accepted(record.revision);
    }
    if head.revision <= base {
        return Settled::NotYet;
    }
    if log.checkpoint.revision > base {
        Settled::Unknown
    } else {
        Settled::Lost
    }
}
