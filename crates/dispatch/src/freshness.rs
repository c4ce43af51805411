//! Whether the configuration in hand may still be relied on to say whose key is good.
//!
//! What goes wrong without it: a router that is cut off from the store goes on serving a key that was taken away
//! minutes ago. The store is linearizable, so whatever it answers holds everything that was acknowledged before the
//! call was *sent*; that moment, on a clock that goes on while the VM is suspended, is how fresh the configuration is.

use std::time::Duration;

/// How fresh the configuration is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    confirmed: Option<Duration>,
}

impl Freshness {
    /// A call that left at `sent` brought everything that was acknowledged before. An answer that comes after a later
    /// one changes nothing.
    pub fn confirm(&mut self, sent: Duration) {
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Whether everything that was acknowledged more than `bound` ago is known.
    pub fn is_fresh(&self, bound: Duration, now: Duration) -> bool {
        self.confirmed
            .is_some_and(|confirmed| now.saturating_sub(confirmed) < bound)
    }

    /// Age of the newest confirmation.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.saturating_sub(confirmed))
    }
}
