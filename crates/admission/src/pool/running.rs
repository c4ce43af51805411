//! Jobs that hold a slot.

use crate::Ticket;
use crate::queue::LaneIndex;
use crate::reserve::Length;
use std::collections::HashMap;
use std::time::Duration;

/// A job that holds a slot.
#[derive(Debug, Clone, Copy)]
pub(super) struct RunningJob {
    /// Lane of its workspace.
    pub lane: LaneIndex,
    /// Expected slot time, microseconds.
    pub cost: u64,
    /// Short or long.
    pub length: Length,
    /// Maximum output that the client allows, tokens.
    pub allowed: u64,
    /// Time of its start.
    pub started_at: Duration,
}

/// Jobs that hold a slot.
#[derive(Debug, Default)]
pub(super) struct Running {
    jobs: HashMap<Ticket, RunningJob>,
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

    /// Mean expected slot time of the running jobs, microseconds; 0 without any.
    pub fn mean_cost(&self) -> f64 {
        self.work as f64 / self.jobs.len().max(1) as f64
    }

    /// Adds a job that takes a slot.
    pub fn start(&mut self, ticket: Ticket, job: RunningJob) {
        self.work += job.cost;
        self.long += u32::from(job.length == Length::Long);
        let old = self.jobs.insert(ticket, job);
        assert!(old.is_none(), "ticket {ticket} started twice");
    }

    /// Removes a job and frees its slot.
    pub fn end(&mut self, ticket: Ticket) -> Option<RunningJob> {
        let job = self.jobs.remove(&ticket)?;
        self.work -= job.cost;
        self.long -= u32::from(job.length == Length::Long);
        Some(job)
    }
}
