//! Admission to one pool.
//!
//! Load pattern: for seconds or hours more is asked than the pool can serve in time.
//! Without it every job waits, most end after their deadline, and the slots are spent on answers nobody waits for any
//! more: goodput falls towards zero while the pool is busy. One notices that all are served and few in time.
//!
//! A job is admitted only if its expected wait and its own time fit before its deadline. The wait comes from the slot
//! time queued ahead of it under fair sharing and from the slots, so that the queue's bound follows the load. If that
//! changes for the worse, jobs that have become hopeless are refused at the next check, not when their time is up.

mod counts;
mod judge;
mod moves;
mod running;

pub use counts::Counts;

use crate::output_model::OutputModel;
use crate::queue::{Key, LaneIndex, Queue, Queued, Slots};
use crate::reserve::{Length, Reserve};
use crate::{Cancelled, Job, Next, Offer, Outcome, Refusal, ServiceModel, Settings, Ticket, UnknownTicket};
use running::Running;
use std::collections::{HashMap, VecDeque};
use std::time::Duration;

/// Below this fraction of its former slots a pool's queue is checked at once; adaptive limits move by less all the time.
const SHRUNK: (u32, u32) = (9, 10);

#[derive(Debug, Clone, Copy)]
struct Place {
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
    newest: u64,
    places: HashMap<Ticket, Place>,
    running: Running,
    expired: VecDeque<(Ticket, Refusal)>,
    check_at: Duration,
}

impl Admission {
    /// Admission to a pool without capacity; see [`Admission::set_capacity`].
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
            newest: 0,
            places: HashMap::new(),
            running: Running::default(),
            expired: VecDeque::new(),
            check_at: Duration::ZERO,
        }
    }

    /// Sets how many jobs may run at once: the sum of the endpoints' limits. Call [`Admission::next`] afterwards.
    pub fn set_capacity(&mut self, slots: u32, now: Duration) {
        if slots == 0 && self.capacity > 0 {
            self.empty_since = now;
        }
        if slots * SHRUNK.1 < self.capacity * SHRUNK.0 {
            self.check_at = now;
        }
        self.capacity = slots;
    }

    /// Offers a job. After `Wait` its ticket comes out of [`Admission::next`], once, unless it is cancelled before.
    pub fn offer(&mut self, job: &Job, now: Duration) -> Offer {
        self.counts.offered += 1;
        let lane = self.queue.lane(&job.workspace, job.weight);
        let seconds = self.expected_seconds(lane, job.tokens);
        let cost = (seconds * 1e6) as u64 + 1;
        let queued = Queued {
            cost,
            allowed: job.tokens.output,
            rank: job.priority.0,
            length: self.reserve.observe(seconds, now),
            latest: job
                .deadline
                .map(|deadline| self.latest_start(lane, job.tokens, deadline, now)),
        };
        self.newest += 1;
        let ticket = Ticket(self.newest);
        let key = Key {
            due: self.queue.due(queued.rank, queued.cost, now),
            ticket,
        };
        let offer = self.place(lane, key, queued, now);
        self.check_counts();
        offer
    }

    /// What to do next: call it until it says `Wait`, whenever capacity grows, a job ends or is cancelled, and at the
    /// time of [`Admission::next_check`].
    pub fn next(&mut self, now: Duration) -> Next {
        if !self.places.is_empty() && now >= self.check_at {
            self.check_waiting(now);
        }
        let next = self.take_next(now);
        self.check_counts();
        next
    }

    /// When [`Admission::next`] wants to be called even if nothing ends; none while nothing waits.
    pub fn next_check(&self) -> Option<Duration> {
        if self.places.is_empty() {
            None
        } else {
            Some(self.check_at)
        }
    }

    /// Ends a started job and frees its slot.
    ///
    /// # Errors
    ///
    /// The ticket names no running job; nothing is changed then.
    pub fn finish(&mut self, ticket: Ticket, outcome: Outcome, now: Duration) -> Result<(), UnknownTicket> {
        let Some(job) = self.end_running(ticket) else {
            return Err(UnknownTicket::NotRunning(ticket));
        };
        self.counts.finished += 1;
        if let Outcome::Served { first_token, tokens } = outcome {
            let true_cost = self.model.seconds(tokens) * 1e6;
            self.queue.charge(job.lane, true_cost - job.cost as f64);
            self.model.observe(tokens, first_token, now.saturating_sub(job.at));
            self.outputs.observe(job.lane, job.allowed, tokens.output);
        }
        self.check_counts();
        Ok(())
    }

    /// Ends a job whose caller went away, queued or running; a running one's slot is free afterwards.
    pub fn cancel(&mut self, ticket: Ticket) -> Cancelled {
        let cancelled = self.remove(ticket);
        if cancelled != Cancelled::Ended {
            self.counts.cancelled += 1;
        }
        self.check_counts();
        cancelled
    }

    /// Jobs counted by what became of them.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Slots that are free.
    pub fn free(&self) -> u32 {
        self.capacity.saturating_sub(self.counts.running as u32)
    }

    /// How long jobs hold their slots, as learnt from those that ended.
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
            .check(self.places.len() + self.expired.len(), self.running.len());
    }
}
