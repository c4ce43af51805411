//! Queues of patient requests that wait for an engine with a short queue.

use dispatch::overload::{Entry, WaitQueue};
use ids::ServiceId;
use prometheus::IntGauge;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The requests that wait, by service.
#[derive(Debug)]
pub struct PatientQueues {
    queues: Mutex<HashMap<ServiceId, WaitQueue>>,
    waiting: IntGauge,
}

/// A waiting request. It leaves the queue when dropped.
#[derive(Debug)]
pub(crate) struct PatientTicket {
    queues: Arc<PatientQueues>,
    service: ServiceId,
    number: u64,
}

impl PatientQueues {
    /// Empty queues that keep the number of waiting requests in `waiting`.
    pub fn new(waiting: IntGauge) -> Self {
        Self {
            queues: Mutex::default(),
            waiting,
        }
    }

    /// Number of requests that wait for a service.
    pub(crate) fn waiting(&self, service: &ServiceId) -> usize {
        self.lock().get(service).map_or(0, WaitQueue::len)
    }

    /// Adds a request to the queue of a service. Returns none if the queue is full.
    pub(crate) fn join(self: &Arc<Self>, service: &ServiceId, entry: Entry) -> Option<PatientTicket> {
        let number = self.lock().entry(service.clone()).or_default().join(entry)?;
        self.waiting.inc();
        Some(PatientTicket {
            queues: self.clone(),
            service: service.clone(),
            number,
        })
    }

    fn lock(&self) -> MutexGuard<'_, HashMap<ServiceId, WaitQueue>> {
        self.queues.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl PatientTicket {
    /// Number of waiting requests that go first.
    pub(crate) fn ahead(&self) -> usize {
        let queues = self.queues.lock();
        queues.get(&self.service).map_or(0, |queue| queue.ahead(self.number))
    }
}

impl Drop for PatientTicket {
    fn drop(&mut self) {
        let mut queues = self.queues.lock();
        if let Some(queue) = queues.get_mut(&self.service) {
            queue.leave(self.number);
            if queue.is_empty() {
                queues.remove(&self.service);
            }
        }
        self.queues.waiting.dec();
    }
}
