//! The final check before a claimed call is sent.

use super::record::Record;
use ids::Version;
use std::time::Duration;

/// Whether a claimed call may be sent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum MaySend {
    /// Send it now.
    Now,
    /// Never send it: the router was paused for too long or has already sent it. Settle the claim instead.
    Never,
}

/// A claim held by this router.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HeldClaim {
    pub(super) record: Record,
    pub(super) version: Version,
    pub(super) send_deadline: Duration,
    pub(super) send_permitted: bool,
}

impl HeldClaim {
    /// Whether the call may be sent. Must be called once, right before the first byte. A router that was paused between
    /// acquiring the claim and sending can detect the pause only by the clock.
    pub fn may_send(&mut self, now: Duration) -> MaySend {
        if self.send_permitted || now > self.send_deadline {
            return MaySend::Never;
        }
        self.send_permitted = true;
        MaySend::Now
    }

    /// Records that the endpoint stated that it has not acted on this send, so that the call may be sent again.
    pub fn endpoint_refused(&mut self) {
        self.send_permitted = false;
    }

    /// Whether a send was permitted. Only a claim without a permitted send may be released.
    pub fn send_permitted(&self) -> bool {
        self.send_permitted
    }
}
