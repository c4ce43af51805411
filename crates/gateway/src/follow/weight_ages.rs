//! Asks other routers how long ago weights became the target of a model.
//!
//! The store holds the target weights without the time since when they are the target. A router that has just started,
//! or was disconnected, does not know that time. Until it does, it starts no requests on weights that may have been
//! replaced too long ago. Another router that saw the change can tell how long engines with old weights may still be
//! used.

use super::others::{CALL_TIMEOUT, ask_others};
use crate::shared::Shared;
use async_std::task;
use dispatch::fleet::TargetAge;
use ids::ModelId;
use peers::{TargetAgeMessage, Upstream};
use std::sync::Arc;
use std::time::Duration;

/// Interval between checks whether other routers must be asked. Clients are refused in the meantime.
const MIN_INTERVAL: Duration = Duration::from_millis(200);
/// Longest interval while no router knows the age; the interval doubles with each attempt. A rollout takes several
/// seconds, and after all routers have failed none of them knows the age.
const MAX_INTERVAL: Duration = Duration::from_millis(1_600);

/// Asks other routers while an endpoint has weights of unknown age; runs until the process exits.
pub async fn learn_weight_ages(shared: Arc<Shared>) {
    let mut interval = MIN_INTERVAL;
    loop {
        task::sleep(interval).await;
        if shared.fleet().has_uncertain_age(shared.clock.now()) {
            ask(&shared).await;
            interval = (interval * 2).min(MAX_INTERVAL);
        } else {
            interval = MIN_INTERVAL;
        }
    }
}

/// This router's response to another router.
pub fn response(shared: &Shared) -> Vec<TargetAgeMessage> {
    let ages = shared.fleet().target_ages(shared.clock.now());
    let message = |(model, weights, age): (ModelId, u64, TargetAge)| TargetAgeMessage {
        model,
        weights,
        lower_ms: age.lower.as_millis() as u64,
        upper_ms: age.upper.map(|most| most.as_millis() as u64),
    };
    ages.into_iter().map(message).collect()
}

async fn ask(shared: &Shared) {
    let sent = shared.clock.now();
    let request = |other: Upstream| async move {
        apply(shared, &other.target_ages(CALL_TIMEOUT).await?, sent);
        Ok(())
    };
    ask_others(shared, "weights: cannot get their age from a router", request).await;
}

/// Applies a response. The response may be as old as the request, so that time is added to the upper limit.
fn apply(shared: &Shared, ages: &[TargetAgeMessage], sent: Duration) {
    let now = shared.clock.now();
    let transit = now.saturating_sub(sent);
    let mut fleet = shared.fleet();
    for message in ages {
        let age = TargetAge {
            lower: Duration::from_millis(message.lower_ms),
            upper: message.upper_ms.map(|upper| Duration::from_millis(upper) + transit),
        };
        if fleet.merge_target_age(&message.model, message.weights, age, now) {
            log::info!(
                model = message.model.as_str(),
                weights = message.weights,
                least_ms = message.lower_ms,
                most_ms = age.upper.unwrap_or_default().as_millis() as u64;
                "weights: age received from another router"
            );
        }
    }
}
