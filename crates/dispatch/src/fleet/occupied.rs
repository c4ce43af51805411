//! Filters brittle endpoints by the free places of this router.

use super::endpoint_state::EndpointState;
use super::places::Allowance;
use super::{Fleet, PickContext, Prompt, ShortKey};
use std::time::Duration;

/// What the endpoints of a brittle service show together.
struct ServiceView {
    /// When one of them last stated that it is brittle.
    stated_at: Duration,
    /// Largest share of its slots that one of them had in use.
    proven: f64,
    /// Share of its slots that a typical one has room for, if most have rejected requests.
    typical: Option<f64>,
    /// Whether none of this router's requests is in flight there.
    is_idle: bool,
}

impl Fleet {
    /// Drops brittle endpoints at which this router has no free place, even if none are left. Returns whether any is.
    pub(super) fn drop_occupied(
        &self,
        eligible: &mut Vec<&EndpointState>,
        context: &PickContext<'_>,
        now: Duration,
    ) -> bool {
        let service = context.service;
        let view = self.service_view(context, now);
        let tokens = unshared_tokens(context.prompt);
        let mut single = Vec::new();
        eligible.retain(|state| {
            let key = ShortKey::from(state.key);
            if !self.brittle.is_brittle(key, view.stated_at) {
                return true;
            }
            if state.is_paused(now) {
                return false;
            }
            let needed = self.places.needed(service, state.entry.slots, tokens);
            let room = state.room(view.proven, view.typical, now);
            match self.places.allowance(service, key, room, now) {
                Allowance::Unlimited => true,
                Allowance::Places(places) => {
                    // A request that needs more places than this router has must fit somewhere.
                    let held = state.held_places(now);
                    held + needed <= places || (held == 0 && places > 0)
                }
                Allowance::Single => {
                    single.push(key);
                    view.is_idle
                }
            }
        });
        if let Some(chosen) = self.places.choose_single(service, &single) {
            // Such routers together would overrun an endpoint that looks idle to all of them.
            eligible.retain(|state| ShortKey::from(state.key) == chosen);
        }
        !eligible.is_empty()
    }

    fn service_view(&self, context: &PickContext<'_>, now: Duration) -> ServiceView {
        let service = context.service;
        let states: Vec<&EndpointState> = self
            .endpoints
            .values()
            .filter(|state| state.entry.service == *service)
            .collect();
        let stated_at = states
            .iter()
            .filter_map(|state| self.brittle.brittle_since(ShortKey::from(state.key)));
        let departed_at = self.brittle.departed_at(service, now);
        let reported = states.iter().filter_map(|state| state.proven_share());
        let mut limits: Vec<f64> = states.iter().filter_map(|state| state.limited_share(now)).collect();
        limits.sort_by(f64::total_cmp);
        let median = limits.get(limits.len() / 2).copied();
        ServiceView {
            stated_at: stated_at.chain(departed_at).max().unwrap_or_default(),
            proven: self.places.proven_share(service, reported),
            typical: median.filter(|_| 2 * limits.len() > states.len()),
            is_idle: states.iter().all(|state| state.held_places(now) == 0),
        }
    }
}

/// Prompt and output tokens of a request that it doesn't share with other requests.
pub(super) fn unshared_tokens(prompt: Option<&Prompt>) -> u64 {
    prompt.map_or(0, |prompt| {
        let shared: u64 = prompt.shared().iter().map(|part| part.tokens).sum();
        (prompt.tokens + prompt.max_output).saturating_sub(shared)
    })
}
