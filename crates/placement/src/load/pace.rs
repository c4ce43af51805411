//! Detection of slow endpoints.
//!
//! Load pattern: an endpoint becomes several times slower, because of co-located load or a throttled accelerator, and
//! keeps answering. It appears idle, since it completes little, and would get the same work as the others until its
//! queue grows. It is detected from the time between the tokens of its answers, relative to the pool's median. It then
//! gets less work, and is probed until it has recovered.

use std::time::Duration;

/// Weight of a new sample.
const EWMA_WEIGHT: f64 = 0.2;
/// A pace above this multiple of the median is slow. An endpoint that also prefills normally generates up to three
/// times as slowly as an idle one.
const SLOW_RATIO: f64 = 3.0;
/// Time in which the estimated speed doubles without answers, so that the endpoint gets some work again and shows
/// whether it has recovered. If the estimate returned to normal at once, the probe would be a full endpoint's share of
/// the requests.
const DOUBLING_TIME: Duration = Duration::from_secs(5);
/// Minimum estimated speed. With a lower one the endpoint would get no work.
const MIN_SPEED: f64 = 0.05;
/// Minimum number of tokens in a sample.
const MIN_TOKENS: u64 = 8;

/// Seconds per generated token between two points of time and token count; `None` if there are too few tokens.
pub fn measure(earlier: (Duration, u64), later: (Duration, u64)) -> Option<f64> {
    let generated = later.1.saturating_sub(earlier.1);
    (generated >= MIN_TOKENS).then(|| later.0.saturating_sub(earlier.0).as_secs_f64() / generated as f64)
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
    /// Seconds per generated token.
    pub fn value(&self) -> Option<f64> {
        self.value
    }

    /// Records a sample.
    pub fn record(&mut self, pace: f64, now: Duration) {
        let previous = self.value.unwrap_or(pace);
        self.value = Some(previous + EWMA_WEIGHT * (pace - previous));
        self.seen = now;
    }

    /// Speed relative to the pool's `median` pace.
    pub fn speed(&self, median: Option<f64>, now: Duration) -> f64 {
        let (Some(pace), Some(median)) = (self.value, median) else {
            return 1.0;
        };
        if pace <= median * SLOW_RATIO {
            return 1.0;
        }
        let doublings = now.saturating_sub(self.seen).as_secs_f64() / DOUBLING_TIME.as_secs_f64();
        ((median / pace).max(MIN_SPEED) * doublings.exp2()).min(1.0)
    }
}
