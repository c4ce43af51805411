//! Decides whether a failed or slow attempt is tried at another endpoint.
//!
//! Load pattern: an endpoint crashes, leaves, hangs or is full while the others have room, or all of them are full.
//! Without a budget every failure becomes several requests just when capacity is missing, and the retries of an
//! overload sustain it after its cause has passed. The symptom is more attempts than requests while few are answered.
//! Without the rules on repeatable calls a fan command could be executed twice.

use std::time::Duration;

/// Maximum share of retries and hedges in the successful requests. A tenth makes an overload at most a tenth worse. For
/// one crashed endpoint of the smallest pool's 3 it is enough only for the moment until that endpoint gets no more
/// work.
const BUDGET_SHARE: f64 = 0.1;
/// Initial and maximum budget: the requests that one crashed endpoint loses at once.
const INITIAL_BUDGET: f64 = 10.0;
const MAX_BUDGET: f64 = 32.0;
/// Maximum attempts of one request, including the first. Three failures in a row indicate a problem of the pool, not of
/// an endpoint.
const MAX_ATTEMPTS: u32 = 3;
/// First backoff before a retry that might fail for the same reason, doubled with each attempt. A retry at another
/// endpoint after a failure of the endpoint itself has no backoff.
const BASE_BACKOFF: Duration = Duration::from_millis(20);
/// Minimum share of free slots for a hedge: a hedge must not take a slot that a waiting job could use.
const HEDGE_FREE_SHARE: f64 = 0.2;

/// Budget of retries and hedges, a share of the traffic.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget(f64);

impl Default for RetryBudget {
    fn default() -> Self {
        Self(INITIAL_BUDGET)
    }
}

impl RetryBudget {
    /// Records a served request.
    pub fn success(&mut self) {
        self.0 = (self.0 + BUDGET_SHARE).min(MAX_BUDGET);
    }

    /// Retries that are currently allowed.
    pub fn remaining(&self) -> u32 {
        self.0 as u32
    }

    fn try_spend(&mut self) -> bool {
        if self.0 < 1.0 {
            return false;
        }
        self.0 -= 1.0;
        true
    }
}

/// State of a request whose attempt failed or is slow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Attempt {
    /// Attempts made so far, 1 after the first.
    pub count: u32,
    /// Whether the call may run twice: it is idempotent, or the service executes its idempotency key at most once.
    pub repeatable: bool,
    /// Whether the client has received a part of the answer that another attempt cannot continue.
    pub streamed: bool,
    /// When the client stops waiting, on the clock of `now`.
    pub deadline: Option<Duration>,
    /// Expected duration of a new attempt.
    pub expected: Duration,
    /// Free share of the pool's slots, 0 to 1.
    pub free: f64,
    /// Whether jobs are queued in the pool.
    pub queued: bool,
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// It was not sent: no connection.
    NotSent,
    /// The endpoint did not run it because it is leaving or serves other weights.
    Declined,
    /// The endpoint did not run it because it is full.
    Full,
    /// The connection broke before the answer was complete: it may have run.
    Unknown,
    /// No answer in time: it may still be running.
    Timeout,
}

/// Decision on a failed attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another endpoint after this backoff.
    Retry(Duration),
    /// Return the failure to the client.
    GiveUp(NoRetry),
}

/// Reason not to retry or hedge an attempt.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NoRetry {
    /// The call may have run and must not run twice.
    NotRepeatable,
    /// The client has received a part of an answer that cannot be continued.
    Streamed,
    /// The maximum number of attempts is reached.
    Attempts,
    /// Another attempt would end after the deadline.
    Deadline,
    /// The pool is full: another attempt would displace a job that has not had its first attempt.
    Overload,
    /// The retry budget is spent.
    Budget,
}

/// Decision on a second, concurrent attempt for a slow one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeDecision {
    /// Start a second attempt now. The first answer is used, the other attempt is cancelled.
    Hedge,
    /// Decide again after this time.
    Wait(Duration),
    /// Do not hedge this request.
    No(NoRetry),
}

/// Decides on a failed attempt and charges the budget if it is retried.
pub fn decide_retry(attempt: &Attempt, failure: Failure, budget: &mut RetryBudget, now: Duration) -> RetryDecision {
    if let Some(reason) = forbidden(attempt, failure) {
        return RetryDecision::GiveUp(reason);
    }
    let backoff = backoff(attempt.count, failure);
    if misses_deadline(attempt, now + backoff) {
        return RetryDecision::GiveUp(NoRetry::Deadline);
    }
    if overloaded(attempt, failure) {
        return RetryDecision::GiveUp(NoRetry::Overload);
    }
    // Refused connections and declined requests cost the pool nothing, and are frequent during a rolling release.
    let free = matches!(failure, Failure::NotSent | Failure::Declined);
    if !free && !budget.try_spend() {
        return RetryDecision::GiveUp(NoRetry::Budget);
    }
    RetryDecision::Retry(backoff)
}

/// Decides on an attempt that has returned no token for `waited`, where `slow` is the time to first token that about
/// one attempt in twenty exceeds.
pub fn decide_hedge(
    attempt: &Attempt,
    waited: Duration,
    slow: Duration,
    budget: &mut RetryBudget,
    now: Duration,
) -> HedgeDecision {
    if let Some(reason) = forbidden(attempt, Failure::Timeout) {
        return HedgeDecision::No(reason);
    }
    if waited < slow {
        return HedgeDecision::Wait(slow - waited);
    }
    if misses_deadline(attempt, now) {
        return HedgeDecision::No(NoRetry::Deadline);
    }
    if attempt.queued || attempt.free < HEDGE_FREE_SHARE {
        return HedgeDecision::No(NoRetry::Overload);
    }
    if !budget.try_spend() {
        return HedgeDecision::No(NoRetry::Budget);
    }
    HedgeDecision::Hedge
}

fn forbidden(attempt: &Attempt, failure: Failure) -> Option<NoRetry> {
    let ran = matches!(failure, Failure::Unknown | Failure::Timeout);
    if ran && !attempt.repeatable {
        return Some(NoRetry::NotRepeatable);
    }
    if attempt.streamed {
        return Some(NoRetry::Streamed);
    }
    if attempt.count >= MAX_ATTEMPTS {
        return Some(NoRetry::Attempts);
    }
    None
}

/// Whether a retry would add to an overload. The work of a broken or hanging endpoint needs room at the others, and a
/// full endpoint indicates that there may be none.
fn overloaded(attempt: &Attempt, failure: Failure) -> bool {
    match failure {
        Failure::NotSent | Failure::Declined => false,
        Failure::Unknown | Failure::Timeout | Failure::Full => attempt.free <= 0.0,
    }
}

fn backoff(count: u32, failure: Failure) -> Duration {
    match failure {
        Failure::Full => BASE_BACKOFF * 2_u32.saturating_pow(count.saturating_sub(1)),
        Failure::NotSent | Failure::Declined | Failure::Unknown | Failure::Timeout => Duration::ZERO,
    }
}

fn misses_deadline(attempt: &Attempt, start: Duration) -> bool {
    attempt
        .deadline
        .is_some_and(|deadline| start + attempt.expected > deadline)
}
