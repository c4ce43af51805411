//! Whether a failed or slow attempt is tried at another endpoint.
//!
//! Load pattern: an endpoint crashes, leaves, hangs or is full while the others have room, or all of them are full.
//! Without a budget every failure becomes several requests just when capacity is missing, and the retries of an overload
//! keep it going after its cause has passed; one notices more attempts than requests while few are answered.
//! Without the rules on what may run twice a fan command is doubled.

use std::time::Duration;

/// Retries and hedges together may be this share of the successful requests. A tenth makes an overload at most a tenth
/// worse and is enough for one crashed endpoint of the smallest pool's 3 only for a moment, until it gets no more work.
const BUDGET_SHARE: f64 = 0.1;
/// Budget at the start and the most that is saved up: the requests that one crashed endpoint loses at once.
const BUDGET_START: f64 = 10.0;
const BUDGET_MAX: f64 = 32.0;
/// Attempts of one request, the first among them. Three failures in a row are the pool's, not an endpoint's.
const MAX_ATTEMPTS: u32 = 3;
/// First pause before an attempt that might meet the same trouble, doubled with each; an attempt elsewhere after a failure
/// of the endpoint itself does not pause.
const PAUSE: Duration = Duration::from_millis(20);
/// A hedge needs this share of the pool's slots to be free: it must never take a slot that a waiting job could use.
const HEDGE_FREE: f64 = 0.2;

/// Share of traffic that may be spent on retries and hedges.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBudget(f64);

impl Default for RetryBudget {
    fn default() -> Self {
        Self(BUDGET_START)
    }
}

impl RetryBudget {
    /// A request was served.
    pub fn success(&mut self) {
        self.0 = (self.0 + BUDGET_SHARE).min(BUDGET_MAX);
    }

    /// Retries that may be made now.
    pub fn left(&self) -> u32 {
        self.0 as u32
    }

    fn spend(&mut self) -> bool {
        if self.0 < 1.0 {
            return false;
        }
        self.0 -= 1.0;
        true
    }
}

/// What is known of a request whose attempt failed or is slow.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Attempt {
    /// Attempts so far, 1 after the first.
    pub count: u32,
    /// Whether the call may run twice: it is idempotent, or the service runs its key at most once.
    pub repeatable: bool,
    /// Whether the caller has been given part of the answer that another attempt cannot go on from.
    pub streamed: bool,
    /// When the caller stops waiting, on the clock of `now`.
    pub deadline: Option<Duration>,
    /// How long a new attempt is expected to take.
    pub expected: Duration,
    /// Share of the pool's slots that are free, 0 to 1.
    pub free: f64,
    /// Whether jobs wait for a slot of the pool.
    pub queued: bool,
}

/// How an attempt failed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Failure {
    /// It was never sent: no connection.
    NotSent,
    /// The endpoint says that it has not run: it leaves, or serves other weights.
    Declined,
    /// The endpoint says that it has not run because it is full.
    Full,
    /// Sent, and broken or cut before the answer was whole: it may have run.
    Unknown,
    /// Sent, and no answer in time: it may run still.
    Timeout,
}

/// Whether a failed attempt is tried elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryDecision {
    /// Try another endpoint after this pause.
    Retry(Duration),
    /// Answer the caller with the failure.
    GiveUp(NoRetry),
}

/// Why an attempt is not tried elsewhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum NoRetry {
    /// The call may have run and must not run twice.
    NotRepeatable,
    /// The caller already has part of an answer that cannot be continued.
    Streamed,
    /// It has been tried often enough.
    Attempts,
    /// Another attempt would end after the deadline.
    Deadline,
    /// The pool is full: another attempt would displace a job that has not had its first.
    Overload,
    /// The budget is spent.
    Budget,
}

/// Whether a slow attempt gets a second one beside it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum HedgeDecision {
    /// Start a second attempt now; the first answer counts, the other attempt is cancelled.
    Hedge,
    /// Ask again after this time.
    Wait(Duration),
    /// Never for this request.
    No(NoRetry),
}

/// Decides on a failed attempt, and takes from the budget if it is to be retried.
pub fn decide_retry(attempt: &Attempt, failure: Failure, budget: &mut RetryBudget, now: Duration) -> RetryDecision {
    if let Some(reason) = forbids(attempt, failure) {
        return RetryDecision::GiveUp(reason);
    }
    let pause = pause(attempt.count, failure);
    if late(attempt, now + pause) {
        return RetryDecision::GiveUp(NoRetry::Deadline);
    }
    if overloaded(attempt, failure) {
        return RetryDecision::GiveUp(NoRetry::Overload);
    }
    // A connection refused or an order to go elsewhere cost the pool nothing, and come in numbers when a release rolls.
    let free = matches!(failure, Failure::NotSent | Failure::Declined);
    if !free && !budget.spend() {
        return RetryDecision::GiveUp(NoRetry::Budget);
    }
    RetryDecision::Retry(pause)
}

/// Decides on an attempt that has given no token for `waited`, where `slow` is the time to first token that about one
/// attempt in twenty exceeds.
pub fn decide_hedge(
    attempt: &Attempt,
    waited: Duration,
    slow: Duration,
    budget: &mut RetryBudget,
    now: Duration,
) -> HedgeDecision {
    if let Some(reason) = forbids(attempt, Failure::Timeout) {
        return HedgeDecision::No(reason);
    }
    if waited < slow {
        return HedgeDecision::Wait(slow - waited);
    }
    if late(attempt, now) {
        return HedgeDecision::No(NoRetry::Deadline);
    }
    if attempt.queued || attempt.free < HEDGE_FREE {
        return HedgeDecision::No(NoRetry::Overload);
    }
    if !budget.spend() {
        return HedgeDecision::No(NoRetry::Budget);
    }
    HedgeDecision::Hedge
}

fn forbids(attempt: &Attempt, failure: Failure) -> Option<NoRetry> {
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

/// A broken or hanging endpoint leaves the work to the others, which need room for it; a full one shows that there may
/// be none.
fn overloaded(attempt: &Attempt, failure: Failure) -> bool {
    match failure {
        Failure::NotSent | Failure::Declined => false,
        Failure::Unknown | Failure::Timeout | Failure::Full => attempt.free <= 0.0,
    }
}

fn pause(count: u32, failure: Failure) -> Duration {
    match failure {
        Failure::Full => PAUSE * 2_u32.saturating_pow(count.saturating_sub(1)),
        Failure::NotSent | Failure::Declined | Failure::Unknown | Failure::Timeout => Duration::ZERO,
    }
}

fn late(attempt: &Attempt, start: Duration) -> bool {
    attempt
        .deadline
        .is_some_and(|deadline| start + attempt.expected > deadline)
}
