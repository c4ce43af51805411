//! Costs of engines that only count in large pools.

use super::endpoint_state::EndpointState;
use super::{Fleet, PickContext, Prompt};
use ids::{ModelId, ServiceId};
use std::time::Duration;

/// Duration of a long answer at an engine with all slots in use: 4.3 to 5.4 s were measured with 64 slots.
const ANSWER_SECS: f64 = 5.0;
/// Age of a target from which decode-heavy prompts prefer engines that have it. An answer on replaced weights loses a
/// fifth of its value from 1.5 s on, and some time passes until its first event.
const PREFER_NEWEST_AFTER: Duration = Duration::from_secs(1);
/// Cost of replaced weights for decode-heavy prompts, in seconds: more than that of leaving the lane.
const REPLACED_SECS: f64 = 0.25;
/// Relative share of prefix homes that engines with replaced weights get meanwhile. Not zero, because the few engines
/// with the newest weights would be the only homes.
const REPLACED_WEIGHT: f64 = 0.1;
/// Share of an engine's slots that may be in use for it to count as having free slots. Reports of its load are some
/// hundred milliseconds old.
const MAX_USED_SHARE: f64 = 0.75;

/// Factor on the cost of leaving the lane for prompts that are less urgent than the answers in the other lane. They then
/// wait in their lane for up to 0.57 s, which their longer objectives leave room for.
const LESS_URGENT_FACTOR: f64 = 3.0;

/// What the costs of a request depend on besides the engine.
#[derive(Debug, Clone, Copy)]
pub(super) struct PoolCosts {
    is_large: bool,
    /// Newest weights, if the prompt prefers engines that have them.
    preferred: Option<u64>,
    /// Whether the prompt is less urgent than the answers of the decode lane.
    is_less_urgent: bool,
}

impl PoolCosts {
    /// Additional cost of an engine, in seconds.
    pub(super) fn cost(&self, state: &EndpointState, weights: u64, now: Duration) -> f64 {
        if !self.is_large {
            return 0.0;
        }
        let (running, slots) = (state.occupied(now), f64::from(state.entry.slots));
        // An engine with the preferred weights but without free slots is no better than the others.
        let is_other = self
            .preferred
            .is_some_and(|newest| weights < newest || running >= slots * MAX_USED_SHARE);
        slot_wait(running, slots) + if is_other { REPLACED_SECS } else { 0.0 }
    }

    /// Factor on the cost of endpoints outside the prompt's lane.
    pub(super) fn off_lane_factor(&self) -> f64 {
        if self.is_less_urgent { LESS_URGENT_FACTOR } else { 1.0 }
    }

    /// Factor on the share of prefix homes of an engine with these weights.
    pub(super) fn home_share(&self, weights: u64) -> f64 {
        let is_replaced = self.preferred.is_some_and(|newest| weights < newest);
        if is_replaced { REPLACED_WEIGHT } else { 1.0 }
    }
}

impl Fleet {
    pub(super) fn pool_costs(&self, context: &PickContext<'_>, prompt: &Prompt, now: Duration) -> PoolCosts {
        let is_large = self.lane_needs(context.service).is_some();
        let lanes = self.lane_loads.get(context.service);
        let answers = lanes.and_then(|lanes| lanes.most_urgent_answer(now));
        PoolCosts {
            is_large,
            is_less_urgent: is_large && !prompt.is_decode_heavy() && answers.is_some_and(|rank| context.rank > rank),
            preferred: self.preferred_weights(context, prompt, now),
        }
    }

    /// Newest weights of the engines of a large pool, if the engines differ in weights and a prompt prefers those that have
    /// the newest.
    fn preferred_weights(&self, context: &PickContext<'_>, prompt: &Prompt, now: Duration) -> Option<u64> {
        self.lane_needs(context.service)?;
        let target = self.newest_matching(&prompt.model, |_| true)?;
        if !prompt.is_decode_heavy() || target.age(now).lower < PREFER_NEWEST_AFTER {
            return None;
        }
        let newest = self.newest_served(context.service, &prompt.model, now)?;
        let is_replaced = |state: &EndpointState| state.weights(&prompt.model).is_some_and(|weights| weights < newest);
        self.available(context.service, now).any(is_replaced).then_some(newest)
    }

    /// Newest weights that available engines of a service have.
    pub(super) fn newest_served(&self, service: &ServiceId, model: &ModelId, now: Duration) -> Option<u64> {
        let states = self.available(service, now);
        states.filter_map(|state| state.weights(model)).max()
    }
}

/// Time that a new request waits for a slot, in seconds: running requests end at even intervals.
fn slot_wait(running: f64, slots: f64) -> f64 {
    let ahead = (running + 1.0 - slots).max(0.0);
    ahead * ANSWER_SECS / slots.max(1.0)
}
