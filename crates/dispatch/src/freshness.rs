//! Whether the configuration is recent enough to check API keys against.
//!
//! Without this check a router that is disconnected from the store would still accept a key that was revoked minutes
//! ago. The store is linearizable, so what it says about its contents includes every write that was acknowledged before
//! the call was *sent*. Once all of that has been read ([`crate::catch_up`]), the send time, on a clock that advances
//! while the VM is suspended, is the time up to which the configuration is current.

use std::time::Duration;

/// Time up to which the configuration is known to be current.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Freshness {
    confirmed: Option<Duration>,
    /// The store's era in which it was confirmed.
    era: u64,
}

/// Evidence that the known configuration is current.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Confirmation {
    /// All was read that the store contained when a call was sent at this time.
    Store(Duration),
    /// Another router had this confirmed at this time, in the era of the data that it sent.
    Router(Duration),
}

impl Confirmation {
    /// Time up to which the configuration is current.
    pub fn at(self) -> Duration {
        match self {
            Self::Store(at) | Self::Router(at) => at,
        }
    }
}

impl Freshness {
    /// Records that every write was read that was acknowledged before `sent`, when a call was sent. An older call whose
    /// response arrives late changes nothing.
    pub fn confirm(&mut self, sent: Duration, era: u64) {
        self.confirmed = self.confirmed.max(Some(sent));
        self.era = self.era.max(era);
    }

    /// Whether the configuration contains every write that was acknowledged more than `bound` ago.
    pub fn is_fresh(&self, bound: Duration, now: Duration) -> bool {
        self.confirmed
            .is_some_and(|confirmed| now.saturating_sub(confirmed) < bound)
    }

    /// Time since the newest confirmation, if it was made in this era. A confirmation of an earlier era says nothing
    /// about the contents of a store that was restored since.
    pub fn age_in(&self, era: u64, now: Duration) -> Option<Duration> {
        self.age(now).filter(|_| self.era == era)
    }

    /// Time since the newest confirmation.
    pub fn age(&self, now: Duration) -> Option<Duration> {
        self.confirmed.map(|confirmed| now.saturating_sub(confirmed))
    }
}
