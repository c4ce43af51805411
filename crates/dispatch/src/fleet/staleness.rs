//! How stale weights are, and until when requests may begin on replaced ones.
//!
//! Load pattern: new weights become the target while engines crash under a burst, so the remaining ones have old
//! weights and queues of one to two seconds. A request sent there just before the limit begins after it, and its
//! answer is worthless to the client.

use super::Fleet;
use super::endpoint_state::EndpointState;
use super::targets::{Staleness, Target};
use ids::ModelId;
use std::time::Duration;

impl Fleet {
    /// Returns how stale the weights of a model are, for logs.
    pub fn staleness(&self, model: &ModelId, weights: u64, now: Duration) -> Staleness {
        let targets = self.targets.get(model);
        targets.map_or(Staleness::Current, |targets| targets.staleness(weights, now))
    }

    /// Whether a request may begin on these weights at time `at`. A newer target of unknown age may have passed the
    /// limit, so it counts as if it had; otherwise routers that had restarted would serve old weights for ever.
    pub fn may_begin(&self, model: &ModelId, weights: Option<u64>, at: Duration) -> bool {
        let expired = |target: &Target| target.may_be_older_than(self.settings.hard_staleness, at);
        let required = self.newest_matching(model, expired);
        required.is_none_or(|required| weights.is_some_and(|weights| weights >= required.weights))
    }

    /// Expected time from sending a request to an endpoint until it begins, if endpoints of speed 1 read `rate` tokens a
    /// second: the time to read the queued prompts, but at least the recent delay of first events. The request's own
    /// prompt is left out, because reading it fits into the margin of the limit.
    pub(super) fn expected_wait(&self, state: &EndpointState, rate: f64, now: Duration) -> Duration {
        let rate = rate * self.speed(state, now);
        let read_time = self.queued_tokens(state, rate, now) as f64 / rate;
        state.recent_delay(now).max(Duration::from_secs_f64(read_time))
    }
}
