//! A place in the queue, and the slot it becomes.

use super::state::{State, Wish};
use super::{Flight, Pool, lock};
use admission::{
    Attempt, Failure, HedgeDecision, Outcome, Refusal, RetryDecision, Ticket, Tokens, decide_hedge, decide_retry,
};
use std::sync::Arc;
use std::time::Duration;

/// What a waiter is told.
#[derive(Debug)]
pub enum Turn {
    /// It holds a slot now.
    Start(Permit),
    /// It is refused and has not run.
    Refused(Refusal),
}

/// A place in the queue; leaves it when dropped before its turn.
#[derive(Debug)]
pub struct Waiting {
    pool: Arc<Pool>,
    ticket: Option<Ticket>,
}

impl Waiting {
    pub(super) fn new(pool: Arc<Pool>, ticket: Ticket) -> Self {
        Self {
            pool,
            ticket: Some(ticket),
        }
    }

    /// The pool has answered: the ticket belongs to the permit now, or has ended.
    pub(super) fn spoken(&mut self) {
        self.ticket = None;
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        let Some(ticket) = self.ticket else { return };
        self.pool.change(|state| {
            // If the turn is already on its way, the dropped receiver makes the pool drop the permit instead.
            if state.waiters.remove(&ticket).is_some() {
                state.admission.cancel(ticket);
            }
        });
    }
}

/// A slot of the pool; free again when dropped.
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

    /// Chooses an endpoint, none if no endpoint can take the request.
    pub fn place(&self, wish: &Wish<'_>) -> Option<Flight> {
        let now = self.pool.clock.now();
        self.pool.change(|state| state.place(&self.pool, wish, now))
    }

    /// Decides whether a failed attempt is tried elsewhere.
    pub fn retry(&self, count: u32, repeatable: bool, deadline: Duration, failure: Failure) -> RetryDecision {
        let now = self.pool.clock.now();
        let mut state = lock(&self.pool.state);
        let attempt = attempt(&state, count, repeatable, deadline);
        decide_retry(&attempt, failure, &mut state.budget, now)
    }

    /// Expected time to first token of a request with this many uncached prompt tokens.
    pub fn expected_first_token(&self, uncached: u64) -> Duration {
        let state = lock(&self.pool.state);
        let seconds = state.admission.service_model().first_token(uncached);
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Decides whether an attempt that has waited for `slow` gets a second one beside it.
    pub fn hedge(&self, count: u32, deadline: Duration, slow: Duration) -> HedgeDecision {
        let now = self.pool.clock.now();
        let mut state = lock(&self.pool.state);
        let attempt = attempt(&state, count, true, deadline);
        decide_hedge(&attempt, slow, slow, &mut state.budget, now)
    }

    /// The whole answer was given; the slot is free.
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
            debug_assert!(finished.is_ok(), "a permit's ticket runs until it is finished");
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
