//! Requests that wait until this router has a free place at a brittle endpoint.

use super::attempt_loop::Next;
use super::attempts::{Attempts, Chosen};
use super::wait::WaitOutcome;
use dispatch::attempt::{self, Cause, PlaceWait};
use dispatch::fleet::PickedEndpoint;
use event_listener::{Event, EventListener};
use ids::ServiceId;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// The requests that wait, by service.
#[derive(Debug, Default)]
pub struct PlaceQueues {
    queues: Mutex<HashMap<ServiceId, Arc<PlaceQueue>>>,
}

#[derive(Debug, Default)]
struct PlaceQueue {
    freed: Event,
    waiting: AtomicU32,
}

/// A waiting request. It leaves the queue when dropped.
#[derive(Debug)]
pub(super) struct Ticket {
    queue: Arc<PlaceQueue>,
    /// Requests that were waiting before this one.
    pub(super) ahead: u32,
}

impl PlaceQueues {
    /// Wakes the request that has waited longest for a place at this service.
    pub(super) fn place_freed(&self, service: &ServiceId) {
        if let Some(queue) = self.lock().get(service) {
            queue.freed.notify(1);
        }
    }

    /// Number of requests that wait for a place at this service.
    pub(super) fn waiting(&self, service: &ServiceId) -> u32 {
        let queues = self.lock();
        queues
            .get(service)
            .map_or(0, |queue| queue.waiting.load(Ordering::SeqCst))
    }

    /// Adds a request to the queue of a service.
    pub(super) fn join(&self, service: &ServiceId) -> Ticket {
        let queue = self.lock().entry(service.clone()).or_default().clone();
        let ahead = queue.waiting.fetch_add(1, Ordering::SeqCst);
        Ticket { queue, ahead }
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceId, Arc<PlaceQueue>>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Ticket {
    /// Resolves when a place has become free and it is this request's turn.
    pub(super) fn turn(&self) -> EventListener {
        self.queue.freed.listen()
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.queue.waiting.fetch_sub(1, Ordering::SeqCst);
    }
}

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
