//! Queues of requests that wait for a place at a brittle endpoint.

use event_listener::{Event, EventListener};
use ids::ServiceId;
use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

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
pub(crate) struct Ticket {
    queue: Arc<PlaceQueue>,
    /// Requests that were waiting before this one.
    pub(crate) ahead: u32,
}

impl PlaceQueues {
    /// Wakes the request that has waited longest for a place at this service.
    pub(crate) fn place_freed(&self, service: &ServiceId) {
        if let Some(queue) = self.lock().get(service) {
            queue.freed.notify(1);
        }
    }

    /// Number of requests that wait for a place at this service.
    pub(crate) fn waiting(&self, service: &ServiceId) -> u32 {
        let queues = self.lock();
        queues
            .get(service)
            .map_or(0, |queue| queue.waiting.load(Ordering::SeqCst))
    }

    /// Adds a request to the queue of a service.
    pub(crate) fn join(&self, service: &ServiceId) -> Ticket {
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
    pub(crate) fn turn(&self) -> EventListener {
        self.queue.freed.listen()
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        self.queue.waiting.fetch_sub(1, Ordering::SeqCst);
    }
}
