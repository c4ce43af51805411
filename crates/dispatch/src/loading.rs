//! The way of one endpoint to new weights: when it is looked at, ordered, and given up.

use crate::rollout::{LoadStep, Report, SentOrder, load_step, should_give_up};
use std::time::Duration;

/// Pause between two looks at an endpoint.
const LOOK: Duration = Duration::from_millis(80);
/// Pause after an order: no load at the sites is faster.
const FASTEST_LOAD: Duration = Duration::from_millis(600);
/// Longest wait for the answer to an order. A sound endpoint answers within a few ms, or 200 ms more if a packet is lost.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(300);

/// Orders in a row that are repeated at once: with half of them unanswered, seven in eight endpoints have answered by then.
const AT_ONCE: u32 = 2;
/// Longest pause before another order: about the time of a load, which the endpoint may be busy with.
const REPEAT_MOST: Duration = Duration::from_millis(1_200);

/// Pause after this many orders in a row without an answer. An endpoint that reports and never answers an order would be ordered
/// three times a second for as long as a load may take, and each order has the list written anew, which all routers read.
fn repeat_pause(silent: u32) -> Duration {
    let Some(more) = silent.checked_sub(AT_ONCE + 1) else {
        return Duration::ZERO;
    };
    (ORDER_TIMEOUT * 2_u32.saturating_pow(more)).min(REPEAT_MOST)
}

/// What is to be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Ask for a report after a pause.
    Poll(Duration),
    /// Order the newest weights, once the list of those that load is young; see [`crate::holder::list_is_current`].
    Order {
        /// Count of orders that the order expects.
        expected: u64,
    },
    /// These weights are in place.
    Done(u64),
    /// The load has failed.
    Stop,
}

/// What came of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// It is being carried out, or what it asks for holds.
    Accepted,
    /// No answer came: it may have been taken, or may be carried out seconds later.
    Unanswered,
    /// Another order is in progress or came first, or the order never left.
    Conflict,
    /// Refused for good.
    Rejected,
}

/// One endpoint that is to load.
#[derive(Debug, Clone, Copy, Default)]
pub struct Loading {
    /// The order that it is believed to carry out.
    ordered: Option<SentOrder>,
    /// The first order without an answer since.
    unanswered: Option<SentOrder>,
    /// Orders without an answer in a row.
    silent: u32,
    misses: u32,
}

impl Loading {
    /// A report has come, or could not be had.
    pub fn on_report(&mut self, report: Option<Report>, wanted: u64, now: Duration) -> Next {
        let Some(report) = report else {
            self.misses += 1;
            return if should_give_up(self.misses) {
                Next::Stop
            } else {
                Next::Poll(LOOK)
            };
        };
        self.misses = 0;
        match load_step(&report, wanted, self.ordered, now) {
            LoadStep::Done => report.weights.map_or(Next::Stop, Next::Done),
            LoadStep::Wait => Next::Poll(LOOK),
            LoadStep::Order { expected } => Next::Order { expected },
        }
    }

    /// An order could not be given, since the list could not be written.
    pub fn on_list_failure(&self) -> Next {
        Next::Poll(LOOK)
    }

    /// What came of an order that was sent at `sent.at`.
    ///
    /// Load pattern: half of the orders get no answer and are carried out seconds later, while every endpoint still has to load.
    /// Such an order is repeated at once: both expect the same count, so only one of the two takes effect, and the place of a load
    /// doesn't stay unused for seconds.
    pub fn on_outcome(&mut self, sent: SentOrder, outcome: OrderOutcome) -> Next {
        match outcome {
            OrderOutcome::Rejected => Next::Stop,
            OrderOutcome::Accepted => {
                self.ordered = Some(sent);
                self.unanswered = None;
                self.silent = 0;
                Next::Poll(FASTEST_LOAD + LOOK)
            }
            OrderOutcome::Unanswered => {
                self.unanswered = self.unanswered.or(Some(sent));
                self.silent += 1;
                Next::Poll(repeat_pause(self.silent))
            }
            // The first one was taken, though its answer was lost: only what is reported from now on tells of it.
            OrderOutcome::Conflict => {
                self.ordered = self.unanswered.take().map(|first| SentOrder { at: sent.at, ..first });
                Next::Poll(FASTEST_LOAD + LOOK)
            }
        }
    }
}
