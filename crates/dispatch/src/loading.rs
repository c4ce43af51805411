//! The way of one endpoint to new weights: when it is looked at, ordered, and given up.

use crate::rollout::{LoadStep, Ordered, Report, gives_up, load_step};
use std::time::Duration;

/// Pause between two looks at an endpoint.
const LOOK: Duration = Duration::from_millis(80);
/// Pause after an order: no load at the sites is faster.
const FASTEST_LOAD: Duration = Duration::from_millis(600);
/// Longest wait for the answer to an order.
pub const ANSWER: Duration = Duration::from_millis(800);

/// What is to be done.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Next {
    /// Ask for a report after a pause.
    Look(Duration),
    /// Order these weights now, if there is room for one more load; otherwise look again after [`Loading::no_room`].
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
    Taken,
    /// No answer came: it may have been taken, or may be carried out seconds later.
    Unanswered,
    /// Another order is in progress or came first, or the order never left.
    Conflict,
    /// Refused for good.
    Refused,
}

/// One endpoint that is to load.
#[derive(Debug, Clone, Copy, Default)]
pub struct Loading {
    ordered: Option<Ordered>,
    misses: u32,
}

impl Loading {
    /// A report has come, or could not be had.
    pub fn looked(&mut self, report: Option<Report>, wanted: u64, now: Duration) -> Next {
        let Some(report) = report else {
            self.misses += 1;
            return if gives_up(self.misses) {
                Next::Stop
            } else {
                Next::Look(LOOK)
            };
        };
        self.misses = 0;
        match load_step(&report, wanted, self.ordered, now) {
            LoadStep::Done => report.weights.map_or(Next::Stop, Next::Done),
            LoadStep::Wait => Next::Look(LOOK),
            LoadStep::Order { expected } => Next::Order { expected },
        }
    }

    /// An order could not be given, since enough others load.
    pub fn no_room(&self) -> Next {
        Next::Look(LOOK)
    }

    /// What came of an order that was sent at `sent.at`.
    pub fn answered(&mut self, sent: Ordered, outcome: OrderOutcome) -> Next {
        match outcome {
            OrderOutcome::Refused => return Next::Stop,
            // It may be carried out later; the count it expects keeps it from undoing a newer one.
            OrderOutcome::Taken | OrderOutcome::Unanswered => self.ordered = Some(sent),
            OrderOutcome::Conflict => self.ordered = None,
        }
        Next::Look(FASTEST_LOAD + LOOK)
    }
}
