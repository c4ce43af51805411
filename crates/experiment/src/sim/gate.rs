//! What stands before placement at one router.

use crate::policy::Front;
use crate::workload::Request;
use admission::{Admission, Job, Next, Offer, Outcome, Ticket, Tokens};
use ids::{Priority, WorkspaceId};
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Urgency of every request.
const PRIORITY: Priority = Priority(4);

/// Answer to a request that arrives.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Entry {
    /// Place it now.
    Start,
    /// It waits.
    Wait,
    /// It is refused.
    Refuse,
}

/// What became of a request that waited.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Turn {
    /// Place it now.
    Start(usize),
    /// Refuse it now.
    Refuse(usize),
}

/// The queue before placement.
pub enum Gate {
    /// First in, first out, with the most that may wait.
    Fifo(VecDeque<usize>, usize),
    /// The admission crate.
    Admission(Box<Pool>),
}

/// Admission with the requests behind its tickets.
pub struct Pool {
    admission: Admission,
    requests: HashMap<Ticket, usize>,
    running: HashMap<usize, (Ticket, Duration)>,
}

impl Gate {
    /// An empty gate; `queue` bounds a first-in-first-out queue.
    pub fn new(front: Front, queue: usize) -> Self {
        if front == Front::Fifo {
            return Self::Fifo(VecDeque::new(), queue);
        }
        let admission = Admission::new(admission::Settings::default());
        Self::Admission(Box::new(Pool {
            admission,
            requests: HashMap::new(),
            running: HashMap::new(),
        }))
    }

    /// A request arrives; `room` says whether an engine has room, `uncached` how many prompt tokens it will compute.
    pub fn offer(&mut self, request: usize, call: &Request, room: bool, uncached: u64, now: Duration) -> Entry {
        match self {
            Self::Fifo(queue, _) if room && queue.is_empty() => Entry::Start,
            Self::Fifo(queue, most) if queue.len() < *most => {
                queue.push_back(request);
                Entry::Wait
            }
            Self::Fifo(..) => Entry::Refuse,
            Self::Admission(pool) => pool.offer(request, call, uncached, now),
        }
    }

    /// The next request that need not wait any longer.
    pub fn next(&mut self, room: bool, now: Duration) -> Option<Turn> {
        match self {
            Self::Fifo(queue, _) if room => queue.pop_front().map(Turn::Start),
            Self::Fifo(..) => None,
            Self::Admission(pool) => pool.next(now),
        }
    }

    /// Requests that may run at once.
    pub fn set_capacity(&mut self, slots: u32, now: Duration) {
        if let Self::Admission(pool) = self {
            pool.admission.set_capacity(slots, now);
        }
    }

    /// When [`Gate::next`] wants to be called.
    pub fn next_check(&self) -> Option<Duration> {
        match self {
            Self::Fifo(..) => None,
            Self::Admission(pool) => pool.admission.next_check(),
        }
    }

    /// A request ended with these counts; none if its engine failed.
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

impl Pool {
    fn offer(&mut self, request: usize, call: &Request, uncached: u64, now: Duration) -> Entry {
        let job = Job {
            workspace: WorkspaceId::from(format!("workspace-{}", call.workspace)),
            weight: 1,
            priority: PRIORITY,
            tokens: Tokens {
                uncached,
                output: u64::from(call.output),
            },
            deadline: Some(call.sent + call.patience),
        };
        match self.admission.offer(&job, now) {
            Offer::Start(ticket) => {
                self.running.insert(request, (ticket, now));
                Entry::Start
            }
            Offer::Wait(ticket) => {
                self.requests.insert(ticket, request);
                Entry::Wait
            }
            Offer::Refuse(_) => Entry::Refuse,
        }
    }

    fn next(&mut self, now: Duration) -> Option<Turn> {
        match self.admission.next(now) {
            Next::Start(ticket) => {
                let request = self.requests.remove(&ticket).expect("each ticket has a request");
                self.running.insert(request, (ticket, now));
                Some(Turn::Start(request))
            }
            Next::Expired(ticket, _) => {
                let request = self.requests.remove(&ticket).expect("each ticket has a request");
                Some(Turn::Refuse(request))
            }
            Next::Wait => None,
        }
    }
}
