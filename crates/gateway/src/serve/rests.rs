//! Rests that endpoints ask this router for.

use crate::dialect::ResponseInfo;
use dispatch::fleet::Fleet;
use dispatch::site::EndpointEntry;
use http::raw::ResponseHead;
use std::time::Duration;

/// The rest that a response asks for.
pub(super) fn asked(status: u16, info: &ResponseInfo) -> Option<Duration> {
    info.retry_after.filter(|_| status == 503)
}

/// The rest that a response asks for if its head is complete in these first bytes of it, as that of a refusal usually is.
pub(crate) fn asked_in(bytes: &[u8], parse: fn(&ResponseHead) -> ResponseInfo) -> Option<Duration> {
    let (head, _) = ResponseHead::parse(bytes).ok()??;
    asked(head.status, &parse(&head))
}

/// Records an answer to the attempt that began then, and the rest that it asks for.
pub(crate) fn record(
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
