//! Whether the configuration is recent enough to check API keys against.
//!
//! Without this check a router that is disconnected from the store would still accept a key that was revoked minutes
//! ago. The store is linearizable, so a response contains every write that was acknowledged before the call was *sent*.
//! The send time, on a clock that advances while the VM is suspended, is therefore the time up to which the
//! configuration is current.

use std::time::Duration;

/// Time up to which the configuration is known to be current.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    confirmed: Option<Duration>,
}

impl Freshness {
    /// Records that a call sent at `sent` returned every write acknowledged before then. An older call whose response
    /// arrives late changes nothing.
    pub fn confirm(&mut self, sent: Duration) {
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Whether the configuration contains every write that was acknowledged more than `bound` ago.
    pub fn is_fresh(&self, bound: Duration, now: Duration) -> bool {
        self.confirmed
            .is_some_and(|confirmed| now.saturating_sub(confirmed) < bound)
    }

    /// Time since the newest confirmation.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.saturating_sub(confirmed))
    }
}
