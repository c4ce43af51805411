//! How many requests are refused at once while first events are late.
//!
//! Load pattern: engines crash or load weights while callers go on asking, and the pool has a little less than it needs. Queues
//! inside the engines grow to a second and stay there: every answer is late, callers leave after two seconds, and what was
//! read of their prompts is lost, so that the queues outlast their cause by tens of seconds. Refusing the few that are too
//! many at once, with a time to come back, keeps the others in time.
//!
//! A router judges by the first events of its own requests, of which it sees a fair sample. Each kind of request is judged by its
//! own objective, since engines admit the more urgent first.

use crate::fade;
use std::time::Duration;

/// Time in which an observation loses half of its weight, seconds: a router of the larger sites sees some five first events in it.
const HALF: f64 = 1.5;
/// Observations that are assumed besides those seen, and their ratio to the objective, as on a quiet day.
const ASSUMED: f64 = 5.0;
const USUAL: f64 = 0.5;
/// Bounds of a single observation's ratio.
const SHORTEST: f64 = 0.1;
const LONGEST: f64 = 10.0;
/// Typical ratio from which on some are refused: every second first event is late. From 0.75 on it gained no more in time, and where
/// late answers are worth half it cost callers more answers than it brought in time.
const FIRST: f64 = 1.0;
/// How much more makes all of them refused that may be.
const RANGE: f64 = 1.0;
/// Share that is refused at most: the others show when the queues are short again.
const MOST: f64 = 0.5;

/// Lateness of the first events of one kind of request, seen lately.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pressure {
    /// Sum of the logarithms of ratios, so that one very late event doesn't count as ten.
    sum: f64,
    weight: f64,
    at: Duration,
}

impl Pressure {
    /// A first event came this long after the request was sent, or has not come by then.
    pub fn record(&mut self, waited: Duration, objective: Duration, now: Duration) {
        let fade = self.fade(now);
        let ratio = waited.as_secs_f64() / objective.as_secs_f64().max(f64::MIN_POSITIVE);
        self.sum = self.sum * fade + ratio.clamp(SHORTEST, LONGEST).ln();
        self.weight = self.weight * fade + 1.0;
        self.at = now;
    }

    /// Whether a request is refused at once; `draw` is uniform over all numbers.
    pub fn should_shed(&self, draw: u64, now: Duration) -> bool {
        let share = ((self.typical(now) - FIRST) / RANGE).clamp(0.0, MOST);
        (draw as f64 / u64::MAX as f64) < share
    }

    /// Typical ratio of first events to the objective.
    fn typical(&self, now: Duration) -> f64 {
        let fade = self.fade(now);
        let sum = self.sum * fade + USUAL.ln() * ASSUMED;
        (sum / (self.weight * fade + ASSUMED)).exp()
    }

    fn fade(&self, now: Duration) -> f64 {
        fade::left(now.saturating_sub(self.at), HALF)
    }
}
