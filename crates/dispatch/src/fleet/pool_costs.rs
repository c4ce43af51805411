//! Costs of engines that only count in large pools.

use super::endpoint_state::EndpointState;
use super::{Fleet, PickContext};
use std::time::Duration;

/// Duration of a long answer at an engine with all slots in use: 4.3 to 5.4 s were measured with 64 slots.
const ANSWER_SECS: f64 = 5.0;

/// What the costs of a request depend on besides the engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct PoolCosts {
    is_large: bool,
}

impl PoolCosts {
    /// Additional cost of an engine, in seconds.
    pub(super) fn cost(&self, state: &EndpointState, now: Duration) -> f64 {
        if !self.is_large {
            return 0.0;
        }
        slot_wait(state.running(now), f64::from(state.entry.slots))
    }
}

impl Fleet {
    pub(super) fn pool_costs(&self, context: &PickContext<'_>) -> PoolCosts {
        PoolCosts {
            is_large: self.lane_needs(context.service).is_some(),
        }
    }
}

/// Time that a new request waits for a slot, in seconds: running requests end at even intervals.
fn slot_wait(running: f64, slots: f64) -> f64 {
    let ahead = (running + 1.0 - slots).max(0.0);
    ahead * ANSWER_SECS / slots.max(1.0)
}
