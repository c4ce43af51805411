//! Admission to one pool.

use crate::{Cancelled, Job, Next, Offer, Outcome, Reason, Refusal, ServiceModel, Settings, Ticket, UnknownTicket};
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

/// Jobs counted by what became of them; offered = refused + waiting + running + ended.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Counts {
    /// Offered so far.
    pub offered: u64,
    /// Refused when they were offered.
    pub refused: u64,
    /// In the queue now.
    pub waiting: u64,
    /// Holding a slot now.
    pub running: u64,
    /// Refused after they had waited.
    pub expired: u64,
    /// Finished after they had started.
    pub finished: u64,
    /// Cancelled while they waited or ran.
    pub cancelled: u64,
}

/// Decides which jobs of one pool start, wait or are refused. A pool is one model's engines or one service's runners.
#[derive(Debug)]
pub struct Admission {
    settings: Settings,
    capacity: u32,
    model: ServiceModel,
    counts: Counts,
    newest: u64,
    queue: VecDeque<(Ticket, Job)>,
    running: BTreeMap<Ticket, (Job, Duration)>,
}

impl Admission {
    /// Admission to a pool without capacity; see [`Admission::set_capacity`].
    pub fn new(settings: Settings) -> Self {
        Self {
            settings,
            capacity: 0,
            model: ServiceModel::default(),
            counts: Counts::default(),
            newest: 0,
            queue: VecDeque::new(),
            running: BTreeMap::new(),
        }
    }

    /// Sets how many jobs may run at once: the sum of the endpoints' limits. Call [`Admission::next`] afterwards.
    pub fn set_capacity(&mut self, slots: u32, now: Duration) {
        let _ = now;
        self.capacity = slots;
    }

    /// Offers a job. After `Wait` its ticket comes out of [`Admission::next`], once, unless it is cancelled before.
    pub fn offer(&mut self, job: Job, now: Duration) -> Offer {
        self.counts.offered += 1;
        if self.capacity == 0 || self.queue.len() >= self.settings.max_queued {
            self.counts.refused += 1;
            return Offer::Refuse(Refusal {
                reason: Reason::NoCapacity,
                retry_after: Some(Duration::from_secs(1)),
            });
        }
        self.newest += 1;
        let ticket = Ticket(self.newest);
        if self.running.len() < self.capacity as usize && self.queue.is_empty() {
            self.running.insert(ticket, (job, now));
            self.counts.running += 1;
            return Offer::Start(ticket);
        }
        self.queue.push_back((ticket, job));
        self.counts.waiting += 1;
        Offer::Wait(ticket)
    }

    /// What to do next: call it until it says `Wait`, whenever capacity grows, a job ends or is cancelled, and at the
    /// time of [`Admission::next_check`].
    pub fn next(&mut self, now: Duration) -> Next {
        if self.running.len() >= self.capacity as usize {
            return Next::Wait;
        }
        let Some((ticket, job)) = self.queue.pop_front() else {
            return Next::Wait;
        };
        self.counts.waiting -= 1;
        self.counts.running += 1;
        self.running.insert(ticket, (job, now));
        Next::Start(ticket)
    }

    /// When [`Admission::next`] wants to be called even if nothing ends; none while nothing waits.
    pub fn next_check(&self) -> Option<Duration> {
        None
    }

    /// Ends a started job and frees its slot.
    ///
    /// # Errors
    ///
    /// The ticket names no running job; nothing is changed then.
    pub fn finish(&mut self, ticket: Ticket, outcome: Outcome, now: Duration) -> Result<(), UnknownTicket> {
        let (_, start) = self.running.remove(&ticket).ok_or(UnknownTicket::NotRunning(ticket))?;
        self.counts.running -= 1;
        self.counts.finished += 1;
        if let Outcome::Served { first_token, tokens } = outcome {
            self.model.observe(tokens, first_token, now.saturating_sub(start));
        }
        Ok(())
    }

    /// Ends a job whose caller went away, queued or running; a running one's slot is free afterwards.
    pub fn cancel(&mut self, ticket: Ticket) -> Cancelled {
        if self.running.remove(&ticket).is_some() {
            self.counts.running -= 1;
            self.counts.cancelled += 1;
            return Cancelled::Running;
        }
        let Some(index) = self.queue.iter().position(|(waiting, _)| *waiting == ticket) else {
            return Cancelled::Ended;
        };
        self.queue.remove(index);
        self.counts.waiting -= 1;
        self.counts.cancelled += 1;
        Cancelled::Queued
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
}
