//! Settles a change whose answer was lost.
//!
//! A writer that gets no answer doesn't know whether its compare-and-swap took effect. Guessing "no" doubles the
//! change, guessing "yes" loses it. What is in force tells: each accepted change stands in the audit log.

use crate::{AuditLog, ChangeId, Head};
use ids::Revision;

/// What became of a change.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Settled {
    /// It was accepted as this revision.
    Accepted(Revision),
    /// It was not accepted and never will be, since the head that it expected is gone: plan it again.
    Lost,
    /// It has not been accepted, and the write may still be on its way: send the same compare-and-swap again.
    NotYet,
    /// So many changes came since that the log has dropped the time in question: a person must look.
    Unknown,
}

/// Settles `change`, planned on revision `base`, by the head and log that were read after the answer was lost.
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
