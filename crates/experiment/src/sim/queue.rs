//! The queue in front of placement at one router.

use crate::policy::QueueKind;
use crate::workload::Request;
use admission::{Admission, Job, Next, Offer, Outcome, Ticket, Tokens};
use ids::{Priority, WorkspaceId};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// The priority of every request.
const PRIORITY: Priority = Priority(4);

/// The decision on an arriving request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OfferOutcome {
    /// Place it now.
    Start,
    /// Queue it.
    Wait,
    /// Refuse it.
    Refuse,
}

/// The decision on a queued request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Dequeued {
    /// Place it now.
    Start(usize),
    /// Refuse it now.
    Refuse(usize),
}

/// The queue before placement.
pub enum RequestQueue {
    /// A FIFO queue and its maximum length.
    Fifo(VecDeque<usize>, usize),
    /// The admission crate.
    Admission(Box<AdmissionQueue>),
}

/// Admission, with the requests of its tickets.
pub struct AdmissionQueue {
    admission: Admission,
    requests: HashMap<Ticket, usize>,
    running: HashMap<usize, (Ticket, Duration)>,
}

impl RequestQueue {
    /// Creates an empty queue; `queue` is the maximum length of a FIFO queue.
    pub fn new(kind: QueueKind, queue: usize) -> Self {
        if kind == QueueKind::Fifo {
            return Self::Fifo(VecDeque::new(), queue);
        }
        let admission = Admission::new(admission::Settings::default());
        Self::Admission(Box::new(AdmissionQueue {
            admission,
            requests: HashMap::new(),
            running: HashMap::new(),
        }))
    }

    /// Offers a request. `room` says whether an engine has room; `uncached` is the number of prompt tokens to compute.
    pub fn offer(&mut self, request: usize, call: &Request, room: bool, uncached: u64, now: Duration) -> OfferOutcome {
        match self {
            Self::Fifo(queue, _) if room && queue.is_empty() => OfferOutcome::Start,
            Self::Fifo(queue, max) if queue.len() < *max => {
                queue.push_back(request);
                OfferOutcome::Wait
            }
            Self::Fifo(..) => OfferOutcome::Refuse,
            Self::Admission(pool) => pool.offer(request, call, uncached, now),
        }
    }

    /// Removes the next request that can be started or refused.
    pub fn next(&mut self, room: bool, now: Duration) -> Option<Dequeued> {
        match self {
            Self::Fifo(queue, _) if room => queue.pop_front().map(Dequeued::Start),
            Self::Fifo(..) => None,
            Self::Admission(pool) => pool.next(now),
        }
    }

    /// Sets the number of requests that may run concurrently.
    pub fn set_capacity(&mut self, slots: u32, now: Duration) {
        if let Self::Admission(pool) = self {
            pool.admission.set_capacity(slots, now);
        }
    }

    /// When [`RequestQueue::next`] has to be called next.
    pub fn next_check(&self) -> Option<Duration> {
        match self {
            Self::Fifo(..) => None,
            Self::Admission(pool) => pool.admission.next_check(),
        }
    }

    /// Ends a request; `served` is `None` if its engine failed.
    pub fn finish(&mut self, request: usize, served: Option<(Duration, Tokens)>, now: Duration) {
        let Self::Admission(pool) = self else { return };
        let Some((ticket, started)) = pool.running.remove(&request) else {
            return;
        };
        let outcome = served.map_or(Outcome::Failed, |(first, tokens)| Outcome::Served {
            first_token: first.saturating_sub(started),
            tokens,
        });
        pool.admission.finish(ticket, outcome, now).expect("the ticket runs");
    }
}

impl AdmissionQueue {
    fn offer(&mut self, request: usize, call: &Request, uncached: u64, now: Duration) -> OfferOutcome {
        let job = Job {
            workspace: WorkspaceId::from(format!("workspace-{}", call.workspace)),
            weight: 1,
            priority: PRIORITY,
            tokens: Tokens {
                uncached,
                output: u64::from(call.output),
            },
            deadline: Some(call.sent + call.timeout),
        };
        match self.admission.offer(&job, now) {
            Offer::Start(ticket) => {
                self.running.insert(request, (ticket, now));
                OfferOutcome::Start
            }
            Offer::Wait(ticket) => {
                self.requests.insert(ticket, request);
                OfferOutcome::Wait
            }
            Offer::Refuse(_) => OfferOutcome::Refuse,
        }
    }

    fn next(&mut self, now: Duration) -> Option<Dequeued> {
        match self.admission.next(now) {
            Next::Start(ticket) => {
                let request = self.requests.remove(&ticket).expect("each ticket has a request");
                self.running.insert(request, (ticket, now));
                Some(Dequeued::Start(request))
            }
            Next::Expired(ticket, _) => {
                let request = self.requests.remove(&ticket).expect("each ticket has a request");
                Some(Dequeued::Refuse(request))
            }
            Next::Wait => None,
        }
    }
}
