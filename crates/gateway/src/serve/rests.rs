//! Rests that endpoints ask this router for.

use super::attempts::Attempts;
use dispatch::fleet::{Fleet, PickedEndpoint};
use dispatch::site::EndpointEntry;
use std::time::Duration;

/// Records an answer to the attempt that began then, and the rest that it asks for.
pub(super) fn record(
    fleet: &mut Fleet,
    entry: &EndpointEntry,
    asked: Option<Duration>,
    began: Duration,
    now: Duration,
) {
    if let Some(rest) = fleet.record_rest(entry, asked, began, now) {
        log::info!(
            endpoint = entry.id.as_str(),
            rest_ms = rest.as_millis() as u64,
            resting = fleet.resting_count(now);
            "endpoint: asks for rest"
        );
    }
}

impl Attempts<'_> {
    /// Whether the endpoint that was chosen then has asked for rest since.
    pub(super) fn must_rest(&self, picked: &PickedEndpoint, began: Duration) -> bool {
        let now = self.shared.clock.now();
        !self.shared.fleet().may_send(&picked.endpoint, began, now)
    }
}
