//! Responses that exceed a bound: recorded, and their attempts ended.

use super::attempts::{AttemptResult, Attempts};
use super::in_flight::InFlightAttempt;
use super::outbox::Outbox;
use super::response::ReadError;
use crate::shared::Shared;
use dispatch::attempt::{Cause, Failure};
use http::raw::Bound;
use ids::EndpointId;
use lifecycle::request::RequestEvent;

/// Records that a response exceeds a bound, if it does.
pub(super) fn record(shared: &Shared, endpoint: &EndpointId, bound: Option<Bound>) {
    let Some(bound) = bound else { return };
    shared.metrics.overlong.with_label_values(&[bound.name()]).inc();
    log::warn!(endpoint = endpoint.as_str(), bound = bound.name(); "endpoint: response exceeds a bound");
}

impl<'a> Attempts<'a> {
    /// Ends an attempt whose response could not be read.
    pub(super) fn read_failed(&mut self, in_flight: &InFlightAttempt<'_>, err: &ReadError) -> AttemptResult<'a> {
        record(self.shared, &in_flight.picked.endpoint.id, err.bound());
        match err {
            ReadError::Body(_) | ReadError::Unconfirmed => self.response_broken(in_flight),
            ReadError::NoRoom(_) => self.closed_for_room(),
        }
    }

    /// Ends an attempt whose bytes are needed for others. The endpoint may be sound, so its health does not change. Without
    /// the events that the client has not taken, no other endpoint can go on, so the request ends with them.
    pub(super) fn closed_for_room(&mut self) -> AttemptResult<'a> {
        self.events.discard_partial();
        self.lifecycle.on(RequestEvent::AnswerFailed);
        let unused = Outbox::new(&self.request.incoming.conn, &self.shared.held);
        let closed = std::mem::replace(&mut self.outbox, unused);
        if !closed.is_empty() {
            return AttemptResult::Ended(self.give_up(Cause::EndpointFailed));
        }
        AttemptResult::Failed(Failure::Broken)
    }
}
