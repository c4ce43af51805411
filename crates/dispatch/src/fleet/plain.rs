//! Plain services: few slots for each endpoint, and many routers.
//!
//! Load pattern: endpoints of unequal speed with a handful of slots. What counts is when an endpoint would answer: its
//! usual time, longer by what runs and waits there for each slot.

use super::known::Known;
use super::{Choice, Fleet, PickedEndpoint};
use std::time::Duration;

/// Time until an answer that is assumed before the first one came, seconds.
const FIRST_LATENCY: f64 = 0.05;
/// What a sure failure would cost a caller, seconds: about one more attempt and the wait before it.
const FAILURE_COST: f64 = 0.5;
/// What an endpoint in another failure domain costs, seconds: there and back between domains of one region.
const CROSSING: f64 = 0.003;
/// Differences below this are left to chance, seconds, so that routers with the same reports don't all choose alike.
const TIE: f64 = 0.002;

impl Fleet {
    pub(super) fn choose_plain(&self, open: &[&Known], draw: u64, now: Duration) -> Choice {
        let costs: Vec<f64> = open.iter().map(|known| self.plain_cost(known, now)).collect();
        let least = costs.iter().copied().fold(f64::INFINITY, f64::min);
        let near: Vec<&Known> = open
            .iter()
            .zip(&costs)
            .filter(|(_, cost)| **cost <= least + TIE)
            .map(|(known, _)| *known)
            .collect();
        let index = usize::try_from(draw % near.len().max(1) as u64).unwrap_or_default();
        let Some(known) = near.get(index) else {
            return Choice::Unavailable;
        };
        Choice::Endpoint(PickedEndpoint {
            endpoint: known.entry.clone(),
            weights: None,
            prefill: 0,
            reason: "soonest",
        })
    }

    fn plain_cost(&self, known: &Known, now: Duration) -> f64 {
        let latency = known.latency().unwrap_or(FIRST_LATENCY);
        let slots = f64::from(known.entry.slots.max(1));
        let crossing = if known.entry.domain == self.settings.domain {
            0.0
        } else {
            CROSSING
        };
        latency * (1.0 + known.running(now) / slots) + known.trouble(now) * FAILURE_COST + crossing
    }
}
