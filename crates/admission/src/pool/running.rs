//! Jobs that hold a slot.

use crate::Ticket;
use crate::queue::LaneIndex;
use crate::reserve::Length;
use std::collections::HashMap;
use std::time::Duration;

/// A job that holds a slot.
#[derive(Debug, Clone, Copy)]
pub(super) struct Started {
    /// Its workspace's lane.
    pub lane: LaneIndex,
    /// Expected slot time, microseconds.
    pub cost: u64,
    /// Whether it is long among its like.
    pub length: Length,
    /// When it started.
    pub at: Duration,
}

/// Jobs that hold a slot.
#[derive(Debug, Default)]
pub(super) struct Running {
    jobs: HashMap<Ticket, Started>,
    work: u64,
    long: u32,
}

impl Running {
    /// Number of jobs.
    pub fn len(&self) -> usize {
        self.jobs.len()
    }

    /// Number of long jobs.
    pub fn long(&self) -> u32 {
        self.long
    }

    /// Mean expected slot time of the jobs, microseconds; 0 without any.
    pub fn mean_cost(&self) -> f64 {
        self.work as f64 / self.jobs.len().max(1) as f64
    }

    /// A job takes a slot.
    pub fn start(&mut self, ticket: Ticket, job: Started) {
        self.work += job.cost;
        self.long += u32::from(job.length == Length::Long);
        let old = self.jobs.insert(ticket, job);
        assert!(old.is_none(), "{ticket} started twice");
    }

    /// A job gives its slot back.
    pub fn end(&mut self, ticket: Ticket) -> Option<Started> {
        let job = self.jobs.remove(&ticket)?;
        self.work -= job.cost;
        self.long -= u32::from(job.length == Length::Long);
        Some(job)
    }
}
