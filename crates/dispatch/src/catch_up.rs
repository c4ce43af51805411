//! Whether a watch has delivered all changes of the store.
//!
//! The store may end a response before the last change, so a response with changes does not show that the contents are
//! complete. They are complete as of the time at which a call was sent
//!
//! - that read all items,
//! - that returned no changes, or
//! - in whose response the store named a revision that the watch has reached since.
//!
//! Load pattern: on a busy store, every response may have changes. So after a response with changes the store is asked for
//! its revision, unless it has just shown that the contents are complete.

use std::time::Duration;

/// Age of the last proof from which the store is asked for its revision after a response with changes. What is unknown
/// for longer counts as older: new weights, whose replaced versions are used for a short time only, and keys.
const PROOF_INTERVAL: Duration = Duration::from_millis(250);
/// Age of the last proof from which the changes are read without a pause.
const MAX_PROOF_AGE: Duration = Duration::from_millis(1_500);

/// A revision that the store named.
#[derive(Debug, Clone, Copy)]
struct Named {
    revision: u64,
    sent: Duration,
}

/// Progress of a watch.
#[derive(Debug, Clone, Copy, Default)]
pub struct CatchUp {
    /// Time as of which the contents are known to be complete.
    complete: Option<Duration>,
    /// A revision that the watch has not reached yet.
    named: Option<Named>,
}

impl CatchUp {
    /// The progress after a read of all items that was sent at `sent`.
    pub fn after_read(sent: Duration) -> Self {
        Self {
            complete: Some(sent),
            named: None,
        }
    }

    /// Records a response to a watch that was sent at `sent`. `revision` is what the watch has reached. Returns the time
    /// as of which the contents are complete, if the response shows one.
    pub fn watched(&mut self, sent: Duration, has_changes: bool, revision: u64) -> Option<Duration> {
        if has_changes {
            return self.reached(revision);
        }
        self.named = None;
        self.complete = self.complete.max(Some(sent));
        Some(sent)
    }

    /// Records that the store named its revision in the response to a call sent at `sent`, while the watch had reached
    /// the revision `reached`. Returns the time as of which the contents are complete, if this shows one.
    pub fn revision_named(&mut self, revision: u64, sent: Duration, reached: u64) -> Option<Duration> {
        self.named = Some(Named { revision, sent });
        self.reached(reached)
    }

    /// Whether the store is to be asked for its revision.
    pub fn needs_revision(&self, now: Duration) -> bool {
        self.named.is_none() && self.is_older(PROOF_INTERVAL, now)
    }

    /// Whether the contents have not been known to be complete for a while.
    pub fn is_behind(&self, now: Duration) -> bool {
        self.is_older(MAX_PROOF_AGE, now)
    }

    fn is_older(&self, age: Duration, now: Duration) -> bool {
        self.complete.is_none_or(|complete| now >= complete + age)
    }

    fn reached(&mut self, revision: u64) -> Option<Duration> {
        let named = self.named.take_if(|named| named.revision <= revision)?;
        self.complete = self.complete.max(Some(named.sent));
        Some(named.sent)
    }
}
