//! What the pool answers, and how jobs end.

use crate::{Ticket, Tokens};
use derive_more::Display;
use quick_error::quick_error;
use std::time::Duration;

/// Answer to an offered job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Offer {
    /// Run it now; it holds a slot until it is finished or cancelled.
    Start(Ticket),
    /// It is queued; [`Next`] names its ticket later.
    Wait(Ticket),
    /// It is not queued and has not run.
    Refuse(Refusal),
}

/// What to do when a slot may have become free.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Run this queued job now; it holds a slot until it is finished or cancelled.
    Start(Ticket),
    /// Answer this queued job with the refusal now; it has not run.
    Expired(Ticket, Refusal),
    /// Nothing to do until a slot becomes free or the time of the next check.
    Wait,
}

/// A refusal of a job that has not run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Why.
    pub reason: Reason,
    /// When the same job is expected to be admitted; absent if coming back does not help.
    pub retry_after: Option<Duration>,
}

/// Why a job is refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display)]
pub enum Reason {
    /// The expected wait is longer than the pool lets anyone wait, or the queue is full.
    #[display("overloaded")]
    Overloaded,
    /// The expected wait reaches past the job's deadline.
    #[display("deadline out of reach")]
    DeadlineUnreachable,
    /// The deadline is shorter than the job itself takes, even in an idle pool.
    #[display("deadline too short")]
    DeadlineShort,
    /// The pool has no slots.
    #[display("no capacity")]
    NoCapacity,
}

/// How a started job ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer was given.
    Served {
        /// From the job's start to the first byte of its answer.
        first_token: Duration,
        /// Tokens as counted.
        tokens: Tokens,
    },
    /// The endpoint failed or refused.
    Failed,
}

/// What a cancelled ticket was.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cancelled {
    /// It waited, and has left the queue.
    Queued,
    /// It ran, and its slot is free.
    Running,
    /// It had ended already.
    Ended,
}

quick_error! {
    /// The ticket does not name a running job: it still waits or has ended.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum UnknownTicket {
        /// The ticket that is not running.
        NotRunning(ticket: Ticket) {
            display("ticket {ticket} does not name a running job")
        }
    }
}
