//! Since when weights are named, asked of other routers.
//!
//! The store tells which weights were named, not when, and a router that has just started, or was cut off, has not seen it. Until it
//! knows, it lets nobody begin on weights that may have been replaced too long ago; a neighbour that heard the naming can
//! tell it how long engines with old weights may still serve.

use super::others::{CALL, ask_others};
use crate::shared::Shared;
use async_std::task;
use dispatch::fleet::TargetAge;
use ids::ModelId;
use peers::{Leader, NameTold};
use std::sync::Arc;
use std::time::Duration;

/// Pause between two looks whether an answer is needed: callers are refused meanwhile.
const LOOK: Duration = Duration::from_millis(200);
/// Longest pause while nobody knows, doubled with each question: a rollout takes several seconds, and after the loss of all routers
/// there is nobody to tell.
const LOOK_MOST: Duration = Duration::from_millis(1_600);

/// Asks other routers while an endpoint has weights of which this one doesn't know how long they may serve; until the process ends.
pub async fn learn_names(shared: Arc<Shared>) {
    let mut pause = LOOK;
    loop {
        task::sleep(pause).await;
        if shared.fleet().has_uncertain_age(shared.clock.now()) {
            ask(&shared).await;
            pause = (pause * 2).min(LOOK_MOST);
        } else {
            pause = LOOK;
        }
    }
}

/// What this router tells another.
pub fn answer(shared: &Shared) -> Vec<NameTold> {
    let ages = shared.fleet().target_ages(shared.clock.now());
    let told = |(model, weights, age): (ModelId, u64, TargetAge)| NameTold {
        model,
        weights,
        least_ms: age.lower.as_millis() as u64,
        most_ms: age.upper.map(|most| most.as_millis() as u64),
    };
    ages.into_iter().map(told).collect()
}

async fn ask(shared: &Shared) {
    let sent = shared.clock.now();
    let question = |other: Leader| async move {
        hear(shared, &other.names(CALL).await?, sent);
        Ok(())
    };
    ask_others(shared, "weights: a router does not tell their age", question).await;
}

/// An answer may have been under way since the question left.
fn hear(shared: &Shared, told: &[NameTold], sent: Duration) {
    let now = shared.clock.now();
    let under_way = now.saturating_sub(sent);
    let mut fleet = shared.fleet();
    for name in told {
        let age = TargetAge {
            lower: Duration::from_millis(name.least_ms),
            upper: name.most_ms.map(|most| Duration::from_millis(most) + under_way),
        };
        if fleet.merge_target_age(&name.model, name.weights, age, now) {
            log::info!(
                model = name.model.as_str(),
                weights = name.weights,
                least_ms = name.least_ms,
                most_ms = age.upper.unwrap_or_default().as_millis() as u64;
                "weights: another router told how long ago they were named"
            );
        }
    }
}
