//! Decisions of a pool on its jobs, and the outcomes of jobs.

use crate::{Ticket, Tokens};
use derive_more::Display;
use quick_error::quick_error;
use std::time::Duration;

/// Decision on an offered job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// Run the job now. It holds a slot until it is finished or cancelled.
    Start(Ticket),
    /// The job is queued. A later [`Next`] carries its ticket.
    Wait(Ticket),
    /// The job is not queued and has not run.
    Refuse(Refusal),
}

/// Next action for the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Run this queued job now. It holds a slot until it is finished or cancelled.
    Start(Ticket),
    /// Refuse this queued job now. It has not run.
    Expired(Ticket, Refusal),
    /// Nothing to do until a slot is freed or the next check is due.
    Wait,
}

/// A refusal of a job that has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Reason of the refusal.
    pub reason: Reason,
    /// Delay after which the same job is expected to be admitted. `None` if a retry does not help.
    pub retry_after: Option<Duration>,
}

/// Why a job is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Reason {
    /// The expected wait exceeds the pool's maximum wait, or the queue is full.
    #[display("overloaded")]
    Overloaded,
    /// With the expected wait the job would end after its deadline.
    #[display("deadline out of reach")]
    DeadlineUnreachable,
    /// The deadline is shorter than the job's own service time, even in an idle pool.
    #[display("deadline too short")]
    DeadlineShort,
    /// The pool has no slots.
    #[display("no capacity")]
    NoCapacity,
}

/// How a started job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The endpoint answered completely.
    Served {
        /// From the job's start to the first byte of its answer.
        first_token: Duration,
        /// Tokens counted by the endpoint.
        tokens: Tokens,
    },
    /// The endpoint failed or refused the request.
    Failed,
}

/// State of a job when it was cancelled.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancelled {
    /// It was waiting and has been removed from the queue.
    Queued,
    /// It was running, and its slot has been freed.
    Running,
    /// It had already ended.
    Ended,
}

quick_error! {
    /// The ticket does not name a running job: the job is still queued or has ended.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum UnknownTicket {
        /// The ticket that is not running.
        NotRunning(ticket: Ticket) {
            display("ticket {ticket} does not name a running job")
        }
    }
}
