//! Admission to one pool.
//!
//! Load pattern: for seconds or hours the offered load exceeds what the pool can serve in time. Without admission
//! control every job waits, most end after their deadline, and the slots are spent on answers that nobody waits for any
//! more. Goodput falls towards zero while the pool is busy. The symptom is that all jobs are served and few in time.
//!
//! A job is admitted only if its expected wait and its own service time fit before its deadline. The wait follows from
//! the slot time queued ahead of it under fair sharing and from the number of slots, so that the queue limit follows
//! the load. If conditions get worse, jobs that can no longer end in time are refused at the next check, not at their
//! deadline.

mod counts;
mod feasibility;
mod running;
mod transitions;

pub use counts::Counts;

use crate::output_model::OutputModel;
use crate::queue::{Key, LaneIndex, Queue, QueuedJob, Slots};
use crate::reserve::{Length, Reserve};
use crate::{Cancelled, Job, Next, Offer, Outcome, Refusal, ServiceModel, Settings, Ticket, UnknownTicket};
use running::Running;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// If the slots fall below this fraction of their previous number, the queue is checked at once. Adaptive limits
/// fluctuate by less.
const RECHECK_RATIO: (u32, u32) = (9, 10);

#[derive(Debug, Clone, Copy)]
struct QueuePosition {
    lane: LaneIndex,
    key: Key,
    length: Length,
}

/// Decides which jobs of one pool start, wait or are refused. A pool is one model's engines or one service's runners.
#[derive(Debug)]
pub struct Admission {
    settings: Settings,
    capacity: u32,
    empty_since: Duration,
    model: ServiceModel,
    outputs: OutputModel,
    reserve: Reserve,
    queue: Queue,
    counts: Counts,
    last_ticket: u64,
    positions: HashMap<Ticket, QueuePosition>,
    running: Running,
    expired: VecDeque<(Ticket, Refusal)>,
    check_at: Duration,
}

impl Admission {
    /// Creates the admission of a pool without capacity; see [`Admission::set_capacity`].
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            capacity: 0,
            empty_since: Duration::ZERO,
            model: ServiceModel::default(),
            outputs: OutputModel::default(),
            reserve: Reserve::default(),
            queue: Queue::new(settings.mechanisms),
            counts: Counts::default(),
            last_ticket: 0,
            positions: HashMap::new(),
            running: Running::default(),
            expired: VecDeque::new(),
            check_at: Duration::ZERO,
        }
    }

    /// Sets how many jobs may run at once, the sum of the endpoints' limits. Call [`Admission::next`] afterwards.
    pub fn set_capacity(&mut self, slots: u32, now: Duration) {
        if slots == 0 && self.capacity > 0 {
            self.empty_since = now;
        }
        if slots * RECHECK_RATIO.1 < self.capacity * RECHECK_RATIO.0 {
            self.check_at = now;
        }
        self.capacity = slots;
    }

    /// Offers a job. After `Wait`, [`Admission::next`] returns its ticket exactly once, unless the job is cancelled
    /// before.
    pub fn offer(&mut self, job: &Job, now: Duration) -> Offer {
        self.counts.offered += 1;
        let lane = self.queue.lane(&job.workspace, job.weight);
        let seconds = self.expected_seconds(lane, job.tokens);
        let cost = (seconds * 1e6) as u64 + 1;
        let queued = QueuedJob {
            cost,
            allowed: job.tokens.output,
            rank: job.priority.0,
            length: self.reserve.classify(seconds, now),
            latest_start: job
                .deadline
                .map(|deadline| self.latest_start(lane, job.tokens, deadline, now)),
        };
        self.last_ticket += 1;
        let ticket = Ticket(self.last_ticket);
        let key = Key {
            effective_arrival: self.queue.effective_arrival(queued.rank, queued.cost, now),
            ticket,
        };
        let offer = self.admit(lane, key, queued, now);
        self.check_counts();
        offer
    }

    /// Returns the next action. Call it until it returns `Wait`, whenever capacity grows, a job ends or is cancelled,
    /// and at the time of [`Admission::next_check`].
    pub fn next(&mut self, now: Duration) -> Next {
        if !self.positions.is_empty() && now >= self.check_at {
            self.check_waiting(now);
        }
        let next = self.take_next(now);
        self.check_counts();
        next
    }

    /// When [`Admission::next`] is due even if no job ends. `None` while the queue is empty.
    pub fn next_check(&self) -> Option<Duration> {
        if self.positions.is_empty() {
            None
        } else {
            Some(self.check_at)
        }
    }

    /// Ends a started job and frees its slot.
    ///
    /// # Errors
    ///
    /// If the ticket names no running job. Nothing is changed then.
    pub fn finish(&mut self, ticket: Ticket, outcome: Outcome, now: Duration) -> Result<(), UnknownTicket> {
        let Some(job) = self.end_running(ticket) else {
            return Err(UnknownTicket::NotRunning(ticket));
        };
        self.counts.finished += 1;
        if let Outcome::Served { first_token, tokens } = outcome {
            let true_cost = self.model.seconds(tokens) * 1e6;
            self.queue.charge(job.lane, true_cost - job.cost as f64);
            self.model
                .observe(tokens, first_token, now.saturating_sub(job.started_at));
            self.outputs.observe(job.lane, job.allowed, tokens.output);
        }
        self.check_counts();
        Ok(())
    }

    /// Ends a queued or running job whose client disconnected. The slot of a running job is freed.
    pub fn cancel(&mut self, ticket: Ticket) -> Cancelled {
        let cancelled = self.remove(ticket);
        if cancelled != Cancelled::Ended {
            self.counts.cancelled += 1;
        }
        self.check_counts();
        cancelled
    }

    /// Numbers of jobs by state.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Free slots.
    pub fn free(&self) -> u32 {
        self.capacity.saturating_sub(self.counts.running as u32)
    }

    /// Slot times learnt from the jobs that ended.
    pub fn service_model(&self) -> &ServiceModel {
        &self.model
    }

    fn slots(&self, now: Duration) -> Slots {
        let long = if self.settings.mechanisms.reserve {
            self.reserve.long_slots(self.capacity, now)
        } else {
            self.capacity
        };
        Slots {
            all: self.capacity,
            long,
            long_allowed: self.running.long() < long,
        }
    }

    fn check_counts(&self) {
        self.counts
            .check(self.positions.len() + self.expired.len(), self.running.len());
    }
}
