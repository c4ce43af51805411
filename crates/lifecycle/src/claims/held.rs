//! The last look before the send of a claimed call.

use super::record::Record;
use ids::Version;
use std::time::Duration;

/// Whether a claimed call may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MaySend {
    /// Send it now.
    Now,
    /// Never send it: the holder was paused for too long, or has sent before. Settle it instead.
    Never,
}

/// A claim that was won.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldClaim {
    pub(super) record: Record,
    pub(super) version: Version,
    pub(super) until: Duration,
    pub(super) used: bool,
}

impl HeldClaim {
    /// Asked once, right before the first byte leaves. A router that was stopped between winning its claim and
    /// the send wakes up without noticing; only the clock tells.
    pub fn may_send(&mut self, now: Duration) -> MaySend {
        if self.used || now > self.until {
            return MaySend::Never;
        }
        self.used = true;
        MaySend::Now
    }

    /// Takes back the permission after the endpoint's own word that it has not acted on this send.
    pub fn endpoint_refused(&mut self) {
        self.used = false;
    }

    /// Whether a send was allowed; only a claim without one may be released.
    pub fn used(&self) -> bool {
        self.used
    }
}
