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
/// Without answers the believed speed doubles in this time, so that the endpoint gets some work again and shows whether it
/// has recovered. Were it believed ordinary at once, a share of a whole endpoint would be the probe.
const RECOVERY: Duration = Duration::from_secs(5);
/// Least speed believed: below, an endpoint would get nothing at all.
const LEAST: f64 = 0.05;
/// Fewer tokens say little.
const FEWEST: u64 = 8;

/// Seconds for each token generated between two moments with their counts of tokens; none if they are too few to tell.
pub fn between(earlier: (Duration, u64), later: (Duration, u64)) -> Option<f64> {
    let generated = later.1.saturating_sub(earlier.1);
    (generated >= FEWEST).then(|| later.0.saturating_sub(earlier.0).as_secs_f64() / generated as f64)
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
        if pace <= median * ORDINARY {
            return 1.0;
        }
        let silent = now.saturating_sub(self.seen).as_secs_f64() / RECOVERY.as_secs_f64();
        ((median / pace).max(LEAST) * silent.exp2()).min(1.0)
    }
}
