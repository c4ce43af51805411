//! Endpoints that state on their answers that they leave.

use crate::control::event::{Event, LeavingSource};
use crate::dialect::ResponseInfo;
use async_channel::Sender;
use async_std::task;
use dispatch::fleet::Fleet;
use dispatch::leaving::LeavingEndpoint;
use dispatch::site::EndpointEntry;

/// The endpoint that leaves according to an answer to a request for `addressed`. Another endpoint may use that address by
/// now; it counts in the incarnation that is in service.
pub fn stated(info: &ResponseInfo, addressed: &EndpointEntry, fleet: &Fleet) -> Option<LeavingEndpoint> {
    if !info.leaving {
        return None;
    }
    let id = info.endpoint.as_ref().unwrap_or(&addressed.id);
    let incarnation = if *id == addressed.id {
        addressed.incarnation
    } else {
        fleet.endpoint(id)?.incarnation
    };
    Some(LeavingEndpoint {
        id: id.clone(),
        incarnation,
    })
}

/// Keeps requests from an endpoint that has stated that it leaves, at once, and tells the control thread.
pub fn learn(fleet: &mut Fleet, events: &Sender<Event>, endpoint: LeavingEndpoint, source: LeavingSource) {
    if !fleet.mark_leaving(&endpoint) {
        return;
    }
    let events = events.clone();
    task::spawn(async move {
        // The control thread runs until the process exits, so the queue is not closed before.
        let _ = events.send(Event::Leaving { endpoint, source }).await;
    });
}
