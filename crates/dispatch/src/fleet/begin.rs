//! Until when requests may begin on weights that have been replaced.
//!
//! Load pattern: new weights are named while engines crash under a burst, so that those left have old weights and queues of one to
//! two seconds. A request that is sent there just before the bound begins after it, and its answer is worth nothing to the caller.

use super::Fleet;
use super::engines::PREFILL_RATE;
use super::known::Known;
use super::names::Named;
use ids::ModelId;
use std::time::Duration;

impl Fleet {
    /// Whether a request may begin on these weights at the given time. Newer weights of which this router can't tell when they were
    /// named may be past the bound: routers that had restarted served on older ones for ever.
    pub fn may_begin(&self, model: &ModelId, weights: Option<u64>, at: Duration) -> bool {
        let over = |named: &Named| named.maybe_for_longer(self.settings.hard_staleness, at);
        let least = self.newest_that(model, over);
        least.is_none_or(|least| weights.is_some_and(|weights| weights >= least.weights))
    }

    /// How long a request that is sent there now must be expected to wait before it begins: as long as what waits there takes to be read,
    /// and no less than first events came late lately. The prompt itself is left out: it is read within the time that the bound
    /// leaves for that.
    pub(super) fn wait(&self, known: &Known, now: Duration) -> Duration {
        let reading = self.queued(known, now) as f64 / PREFILL_RATE;
        known.late(now).max(Duration::from_secs_f64(reading))
    }
}
