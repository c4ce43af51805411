//! Requests that wait until this router has a free place at a brittle endpoint.

use super::attempt_loop::Next;
use super::attempts::{Attempts, Chosen};
use super::wait::WaitOutcome;
use crate::place_queues::Ticket;
use dispatch::attempt::{self, Cause, PlaceWait};
use dispatch::fleet::PickedEndpoint;
use std::sync::Arc;
use std::time::Duration;

impl<'a> Attempts<'a> {
    /// Chooses an endpoint. While all places of this router at brittle endpoints are in use, the request waits for one,
    /// unless its turn would come too late.
    pub(super) async fn choose_or_wait(&mut self) -> Result<(Arc<PickedEndpoint>, Duration), Next<'a>> {
        let service = self.request.service;
        let queues = &self.shared.place_queues;
        let mut waits: Option<(Ticket, Duration)> = None;
        loop {
            // Requests that came earlier go first.
            let turn = if waits.is_none() && queues.waiting(service) > 0 {
                Some(self.shared.fleet().place_turn(service))
            } else {
                None
            };
            if self.is_too_late() {
                return Err(Next::GiveUp(Cause::Stopping));
            }
            let turn = match turn.map_or_else(|| self.choose(), |turn| Ok(Chosen::Occupied(turn))) {
                Ok(Chosen::Endpoint(picked, began)) => return Ok((picked, began)),
                Ok(Chosen::Occupied(turn)) => turn,
                Err(cause) => return Err(Next::GiveUp(cause)),
            };
            let now = self.shared.clock.now();
            if waits.is_none() {
                let ticket = queues.join(service);
                match attempt::place_wait(turn, ticket.ahead, self.remaining()) {
                    PlaceWait::Wait(longest) => waits = Some((ticket, now + longest)),
                    PlaceWait::Refuse(after) => return Err(Next::GiveUp(Cause::NoPlace(after))),
                }
            }
            let Some((ticket, until)) = &waits else { continue };
            let left = until.saturating_sub(now);
            if left.is_zero() {
                return Err(Next::GiveUp(Cause::NoPlace(turn)));
            }
            let pause = left.min(attempt::PLACE_CHECK_INTERVAL);
            match self.wait(pause, ticket.turn()).await {
                WaitOutcome::Done(()) | WaitOutcome::TimedOut => {}
                WaitOutcome::ClientDisconnected => return Err(Next::End(self.client_disconnected())),
                WaitOutcome::Resumed(attempt) => return Err(Next::Resume(attempt)),
            }
        }
    }
}
