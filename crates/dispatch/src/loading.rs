//! Loading of new weights by one endpoint: when it is polled, ordered to load, ordered again, and given up.

use crate::rollout::{LoadStep, Report, SentOrder, load_step, should_give_up};
use std::time::Duration;

/// Pause between two polls of an endpoint.
const POLL_INTERVAL: Duration = Duration::from_millis(80);
/// Pause after an accepted order: no load in production is faster.
const MIN_LOAD_TIME: Duration = Duration::from_millis(600);
/// Timeout of an order. A healthy endpoint answers within a few ms, or 200 ms more if a packet is lost.
pub const ORDER_TIMEOUT: Duration = Duration::from_millis(300);

/// Orders in a row that are repeated without a pause. With half of them unanswered, seven in eight endpoints have
/// answered after these retries.
const IMMEDIATE_RETRIES: u32 = 2;
/// Longest pause before another order: about the time of a load, which may keep the endpoint busy.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_200);

/// Pause after this many unanswered orders in a row. Without it an endpoint that reports but never answers an order
/// would be ordered three times a second for as long as a load may take. Each order rewrites the load list, which all
/// routers read.
fn retry_pause(timeouts: u32) -> Duration {
    let Some(doublings) = timeouts.checked_sub(IMMEDIATE_RETRIES + 1) else {
        return Duration::ZERO;
    };
    (ORDER_TIMEOUT * 2_u32.saturating_pow(doublings)).min(MAX_RETRY_PAUSE)
}

/// The next step of a load.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Request a report after this pause.
    Poll(Duration),
    /// Order the target weights, once the load list is current.
    Order {
        /// Number of previous orders that the endpoint must have counted.
        expected: u64,
    },
    /// These weights are loaded.
    Done(u64),
    /// The load has failed.
    Stop,
}

/// Outcome of an order.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum OrderOutcome {
    /// The endpoint carries it out, or already has what it asks for.
    Accepted,
    /// No answer arrived. The endpoint may have accepted the order, or may carry it out seconds later.
    Unanswered,
    /// Another order is in progress or came first, or the order was not sent.
    Conflict,
    /// The endpoint refuses the order permanently.
    Rejected,
}

/// State of one endpoint's load.
#[derive(Debug, Clone, Copy, Default)]
pub struct Loading {
    /// The order that the endpoint is assumed to carry out.
    ordered: Option<SentOrder>,
    /// The first unanswered order since the last answer.
    unanswered: Option<SentOrder>,
    /// Unanswered orders in a row.
    timeouts: u32,
    missing_reports: u32,
}

impl Loading {
    /// Handles a report, or `None` if it could not be fetched.
    pub fn on_report(&mut self, report: Option<Report>, target: u64, now: Duration) -> Next {
        let Some(report) = report else {
            self.missing_reports += 1;
            return if should_give_up(self.missing_reports) {
                Next::Stop
            } else {
                Next::Poll(POLL_INTERVAL)
            };
        };
        self.missing_reports = 0;
        match load_step(&report, target, self.ordered, now) {
            LoadStep::Done => report.weights.map_or(Next::Stop, Next::Done),
            LoadStep::Wait => Next::Poll(POLL_INTERVAL),
            LoadStep::Order { expected } => Next::Order { expected },
        }
    }

    /// Handles a failure to write the load list, because of which no order was sent.
    pub fn on_list_failure(&self) -> Next {
        Next::Poll(POLL_INTERVAL)
    }

    /// Handles the outcome of an order that was sent at `sent.at`.
    ///
    /// Load pattern: half of the orders get no answer and are carried out seconds later, while every endpoint still
    /// has to load. Such an order is repeated at once. Both expect the same count, so only one of the two takes
    /// effect, and no load capacity stays unused for seconds.
    pub fn on_outcome(&mut self, sent: SentOrder, outcome: OrderOutcome) -> Next {
        match outcome {
            OrderOutcome::Rejected => Next::Stop,
            OrderOutcome::Accepted => {
                self.ordered = Some(sent);
                self.unanswered = None;
                self.timeouts = 0;
                Next::Poll(MIN_LOAD_TIME + POLL_INTERVAL)
            }
            OrderOutcome::Unanswered => {
                self.unanswered = self.unanswered.or(Some(sent));
                self.timeouts += 1;
                Next::Poll(retry_pause(self.timeouts))
            }
            // The first order was accepted although its answer was lost. Only reports from now on reflect it.
            OrderOutcome::Conflict => {
                self.ordered = self.unanswered.take().map(|first| SentOrder { at: sent.at, ..first });
                Next::Poll(MIN_LOAD_TIME + POLL_INTERVAL)
            }
        }
    }
}
