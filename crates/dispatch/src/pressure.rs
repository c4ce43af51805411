//! Load shedding: how many requests are refused at once while first events are late.
//!
//! Load pattern: engines crash or load weights while clients keep sending, and the pool has slightly less capacity
//! than it needs. Queues inside the engines grow to a second and stay there. Every answer is late, clients give up
//! after two seconds, and the prompt tokens read for them are wasted, so the queues outlast their cause by tens of
//! seconds. Refusing the few excess requests at once, with a retry-after time, keeps the others in time.
//!
//! A router judges by the first events of its own requests, which are a representative sample. Each kind of request
//! is judged by its own objective, because engines admit more urgent requests first.

use crate::decay;
use std::time::Duration;

/// Half-life of an observation: a router of a larger site sees some five first events in it.
const HALF_LIFE_SECS: f64 = 1.5;
/// Weight of the prior, in observations, and its ratio of delay to objective, typical of normal load.
const PRIOR_WEIGHT: f64 = 5.0;
const PRIOR_RATIO: f64 = 0.5;
/// Bounds of the ratio of a single observation.
const MIN_RATIO: f64 = 0.1;
const MAX_RATIO: f64 = 10.0;
/// Mean ratio above which requests are shed: every second first event is late.
const SHED_RATIO: f64 = 1.0;
/// Excess over [`SHED_RATIO`] at which every request would be shed, were it not for [`MAX_SHED_SHARE`].
const SHED_RATIO_RANGE: f64 = 1.0;
/// Largest share that is shed. The admitted requests show when the queues are short again.
const MAX_SHED_SHARE: f64 = 0.5;

/// Recent delays of first events for one kind of request.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pressure {
    /// Sum of the logarithms of the ratios, so that one very late event doesn't count as ten.
    log_sum: f64,
    weight: f64,
    updated_at: Duration,
}

impl Pressure {
    /// Records that a first event arrived `waited` after its request was sent, or has not arrived within that time.
    pub fn record(&mut self, waited: Duration, objective: Duration, now: Duration) {
        let factor = self.decay(now);
        let ratio = waited.as_secs_f64() / objective.as_secs_f64().max(f64::MIN_POSITIVE);
        self.log_sum = self.log_sum * factor + ratio.clamp(MIN_RATIO, MAX_RATIO).ln();
        self.weight = self.weight * factor + 1.0;
        self.updated_at = now;
    }

    /// Whether to shed a request; `draw` is uniform over all `u64` values.
    pub fn should_shed(&self, draw: u64, now: Duration) -> bool {
        let share = ((self.mean_ratio(now) - SHED_RATIO) / SHED_RATIO_RANGE).clamp(0.0, MAX_SHED_SHARE);
        (draw as f64 / u64::MAX as f64) < share
    }

    /// Geometric mean of the ratios of first-event delay to objective.
    fn mean_ratio(&self, now: Duration) -> f64 {
        let factor = self.decay(now);
        let sum = self.log_sum * factor + PRIOR_RATIO.ln() * PRIOR_WEIGHT;
        (sum / (self.weight * factor + PRIOR_WEIGHT)).exp()
    }

    fn decay(&self, now: Duration) -> f64 {
        decay::remaining(now.saturating_sub(self.updated_at), HALF_LIFE_SECS)
    }
}
