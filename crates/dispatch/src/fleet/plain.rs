//! Selection among endpoints of plain services, which have few slots each and many routers in front.
//!
//! Load pattern: endpoints of unequal speed with a handful of slots. The cost of an endpoint is its expected response
//! time: its mean latency, extended by the running and waiting requests per slot. If the endpoints say how long work
//! takes at the moment, the latency is that of the median endpoint divided by the endpoint's speed, and the cheaper of
//! two endpoints drawn at random is chosen: with the cheapest of all, every router would send its next requests to the
//! one that looks fastest.

use super::endpoint_state::EndpointState;
use super::{Choice, Fleet, PickedEndpoint};
use std::time::Duration;

/// Assumed latency before the first answer.
const INITIAL_LATENCY_SECS: f64 = 0.05;
/// Cost of an attempt that is certain to fail: about one more attempt and the wait before it.
const FAILURE_COST_SECS: f64 = 0.5;
/// Cost of an endpoint in another failure domain: the round trip between domains of one region.
const CROSS_DOMAIN_SECS: f64 = 0.003;
/// Endpoints whose costs differ by less are chosen at random, so that routers with the same reports don't all choose
/// the same one.
const TIE_SECS: f64 = 0.002;

impl Fleet {
    pub(super) fn choose_plain(&self, eligible: &[&EndpointState], draw: u64, now: Duration) -> Choice {
        if eligible.len() > 1 && self.compares_speeds(&eligible[0].entry.service) {
            return picked(self.cheaper_of_two(eligible, draw, now));
        }
        let costs: Vec<f64> = eligible.iter().map(|state| self.plain_cost(state, now)).collect();
        let lowest = costs.iter().copied().fold(f64::INFINITY, f64::min);
        let tied: Vec<&EndpointState> = eligible
            .iter()
            .zip(&costs)
            .filter(|(_, cost)| **cost <= lowest + TIE_SECS)
            .map(|(state, _)| *state)
            .collect();
        let index = usize::try_from(draw % tied.len().max(1) as u64).unwrap_or_default();
        let Some(state) = tied.get(index) else {
            return Choice::Unavailable;
        };
        picked(state)
    }

    /// The cheaper of two different endpoints drawn at random, of at least two.
    fn cheaper_of_two<'a>(&self, eligible: &[&'a EndpointState], draw: u64, now: Duration) -> &'a EndpointState {
        let mut latencies: Vec<f64> = eligible.iter().filter_map(|state| state.latency()).collect();
        latencies.sort_by(f64::total_cmp);
        let typical = latencies.get(latencies.len() / 2).copied();
        let typical = typical.unwrap_or(INITIAL_LATENCY_SECS);
        let cost = |state: &EndpointState| self.cost(state, typical / self.speed(state, now), now);
        let count = eligible.len() as u64;
        let first = (draw & u64::from(u32::MAX)) % count;
        let second = (first + 1 + (draw >> u32::BITS) % (count - 1)) % count;
        let (first, second) = (eligible[first as usize], eligible[second as usize]);
        if cost(second) + TIE_SECS < cost(first) {
            second
        } else {
            first
        }
    }

    fn plain_cost(&self, state: &EndpointState, now: Duration) -> f64 {
        self.cost(state, state.latency().unwrap_or(INITIAL_LATENCY_SECS), now)
    }

    /// Cost of an endpoint that takes `latency` seconds for a request while it is idle.
    fn cost(&self, state: &EndpointState, latency: f64, now: Duration) -> f64 {
        let slots = f64::from(state.entry.slots.max(1));
        let cross_domain = if state.entry.domain == self.settings.domain {
            0.0
        } else {
            CROSS_DOMAIN_SECS
        };
        latency * (1.0 + state.running(now) / slots) + state.failure_share(now) * FAILURE_COST_SECS + cross_domain
    }
}

fn picked(state: &EndpointState) -> Choice {
    Choice::Endpoint(PickedEndpoint {
        endpoint: state.entry.clone(),
        weights: None,
        prefill: 0,
        warm_prefill: 0,
        queued: 0,
        long_answer: false,
        reason: "soonest",
        holds_place: false,
    })
}
