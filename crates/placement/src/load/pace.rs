//! Slow endpoints.
//!
//! Load pattern: an endpoint becomes several times slower, by a neighbour or a throttled card, and goes on answering. It
//! looks idle, since it takes little, so it would get the same work as the others until its queue shows. It is noticed
//! from the time between the tokens of its answers, against the pool's median, given less, and probed back.

use std::time::Duration;

/// Weight of the newest answer.
const WEIGHT: f64 = 0.2;
/// A pace of up to this many times the median is ordinary: an endpoint that also prefills generates up to three times as
/// slowly as an idle one.
const ORDINARY: f64 = 3.0;
/// Without answers for this long an endpoint counts as ordinary again, gets work, and so shows whether it recovered.
const TRUST: Duration = Duration::from_secs(10);
/// Least speed believed: below, an endpoint would get nothing at all.
const LEAST: f64 = 0.05;
/// Answers with fewer tokens say little.
const FEWEST: u64 = 8;

/// Seconds for each generated token; none for an answer too short to tell.
pub fn of_answer(time: Duration, generated: u64) -> Option<f64> {
    (generated >= FEWEST).then(|| time.as_secs_f64() / (generated - 1) as f64)
}

/// Median of `paces`.
pub fn median(paces: impl Iterator<Item = f64>) -> Option<f64> {
    let mut sorted: Vec<f64> = paces.collect();
    sorted.sort_by(f64::total_cmp);
    sorted.get(sorted.len() / 2).copied()
}

/// Smoothed pace of one endpoint.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    value: Option<f64>,
    seen: Duration,
}

impl Pace {
    /// Seconds for each generated token.
    pub fn value(&self) -> Option<f64> {
        self.value
    }

    /// Takes in the pace of one answer.
    pub fn take_in(&mut self, pace: f64, now: Duration) {
        let known = self.value.unwrap_or(pace);
        self.value = Some(known + WEIGHT * (pace - known));
        self.seen = now;
    }

    /// Speed relative to the pool's `median` pace.
    pub fn speed(&self, median: Option<f64>, now: Duration) -> f64 {
        let (Some(pace), Some(median)) = (self.value, median) else {
            return 1.0;
        };
        let ordinary = pace <= median * ORDINARY;
        if ordinary || now.saturating_sub(self.seen) > TRUST {
            return 1.0;
        }
        (median / pace).max(LEAST)
    }
}
