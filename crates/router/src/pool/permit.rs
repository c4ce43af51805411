//! Places in a pool's queue, and the slots granted to them.

use super::state::{PickContext, State};
use super::{EndpointAttempt, Pool, lock};
use admission::{
    Attempt, Failure, HedgeDecision, Outcome, Refusal, RetryDecision, Ticket, Tokens, decide_hedge, decide_retry,
};
use std::sync::Arc;
use std::time::Duration;

/// Outcome of waiting in the queue.
#[derive(Debug)]
pub enum QueueOutcome {
    /// A slot was granted.
    Start(Permit),
    /// The job is refused and has not run.
    Refused(Refusal),
}

/// A place in the queue; removed when dropped before an outcome is received.
#[derive(Debug)]
pub struct QueuePlace {
    pool: Arc<Pool>,
    ticket: Option<Ticket>,
}

impl QueuePlace {
    pub(super) fn new(pool: Arc<Pool>, ticket: Ticket) -> Self {
        Self {
            pool,
            ticket: Some(ticket),
        }
    }

    /// Keeps the drop from cancelling the ticket: the outcome was received, so the ticket belongs to the permit or
    /// has ended.
    pub(super) fn disarm(&mut self) {
        self.ticket = None;
    }
}

impl Drop for QueuePlace {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        self.pool.change(|state| {
            // If the outcome has been sent already, the dropped receiver drops the permit instead.
            if state.waiters.remove(&ticket).is_some() {
                state.admission.cancel(ticket);
            }
        });
    }
}

/// A slot of the pool; released when dropped.
#[derive(Debug)]
pub struct Permit {
    pool: Arc<Pool>,
    ticket: Option<Ticket>,
}

impl Permit {
    pub(super) fn new(pool: Arc<Pool>, ticket: Ticket) -> Self {
        Self {
            pool,
            ticket: Some(ticket),
        }
    }

    /// Chooses an endpoint; `None` if none is available.
    pub fn place(&self, context: &PickContext<'_>) -> Option<EndpointAttempt> {
        let now = self.pool.clock.now();
        self.pool.change(|state| state.place(&self.pool, context, now))
    }

    /// Decides whether a failed attempt is retried.
    pub fn retry(&self, count: u32, repeatable: bool, deadline: Duration, failure: Failure) -> RetryDecision {
        let now = self.pool.clock.now();
        let mut state = lock(&self.pool.state);
        let attempt = attempt(&state, count, repeatable, deadline);
        decide_retry(&attempt, failure, &mut state.budget, now)
    }

    /// Expected time to first token of a request with `uncached` prompt tokens.
    pub fn expected_first_token(&self, uncached: u64) -> Duration {
        let state = lock(&self.pool.state);
        let seconds = state.admission.service_model().first_token(uncached);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Decides whether an attempt that has waited for `delay` gets a hedge.
    pub fn hedge(&self, count: u32, deadline: Duration, delay: Duration) -> HedgeDecision {
        let now = self.pool.clock.now();
        let mut state = lock(&self.pool.state);
        let attempt = attempt(&state, count, true, deadline);
        decide_hedge(&attempt, delay, delay, &mut state.budget, now)
    }

    /// Records a complete response and releases the slot.
    pub fn served(mut self, first_token: Duration, tokens: Tokens) {
        self.finish(Outcome::Served { first_token, tokens });
    }

    fn finish(&mut self, outcome: Outcome) {
        let Some(ticket) = self.ticket.take() else { return };
        let now = self.pool.clock.now();
        self.pool.change(|state| {
            if matches!(outcome, Outcome::Served { .. }) {
                state.budget.success();
            }
            let finished = state.admission.finish(ticket, outcome, now);
            debug_assert!(finished.is_ok(), "a permit's ticket is running until it is finished");
        });
    }
}

fn attempt(state: &State, count: u32, repeatable: bool, deadline: Duration) -> Attempt {
    let status = state.status();
    let free = f64::from(state.admission.free()) / f64::from(status.capacity.max(1));
    Attempt {
        count,
        repeatable,
        streamed: false,
        deadline: Some(deadline),
        expected: Duration::ZERO,
        free,
        queued: status.waiting > 0,
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.finish(Outcome::Failed);
    }
}
