//! Brittle endpoints: what they state, and the places that this router has there.

use super::brittle::{BrittleUpdate, Merged, Rejection};
use super::endpoint_state::EndpointState;
use super::places::{Allowance, PlacedEndpoint};
use super::{Fleet, PickContext, PickedEndpoint, ShortKey};
use ids::{EndpointId, ServiceId};
use std::collections::HashMap;
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
    /// Frees the place of a request that was chosen an endpoint at `began`. Unless it was `answered`, it may still run there.
    pub fn release_place(&mut self, picked: &PickedEndpoint, began: Duration, answered: bool, now: Duration) {
        if !picked.holds_place {
            return;
        }
        let entry = &picked.endpoint;
        if answered {
            self.places.record_hold(&entry.service, now.saturating_sub(began));
        }
        if let Some(state) = self.endpoint_mut(&entry.id, entry.incarnation) {
            state.release_place(answered, now);
        }
    }

    /// Returns the mean time between two requests that this router may send to a service with brittle endpoints.
    pub fn place_turn(&self, service: &ServiceId) -> Duration {
        self.places.turn(service)
    }

    /// Divides the places of the services of which an endpoint states that it is brittle.
    pub(super) fn divide_places(&mut self, now: Duration) {
        let mut services: HashMap<&ServiceId, Vec<PlacedEndpoint<'_>>> = HashMap::new();
        let states = || self.endpoints.values().filter(|state| !state.entry.draining);
        let states_brittle = |state: &&EndpointState| self.brittle.brittle_since(ShortKey::from(state.key)).is_some();
        for state in states().filter(states_brittle) {
            services.entry(&state.entry.service).or_default();
        }
        let mut expiry = None;
        for (service, until) in self.brittle.departed(now) {
            let departed_at = self.brittle.departed_at(service, now).unwrap_or_default();
            let mut of_service = states().filter(|state| state.entry.service == *service);
            if !of_service.any(|state| self.brittle.contradicts(ShortKey::from(state.key), departed_at)) {
                services.entry(service).or_default();
                expiry = expiry.min(Some(until)).or(Some(until));
            }
        }
        for state in states() {
            if let Some(endpoints) = services.get_mut(&state.entry.service) {
                endpoints.push(PlacedEndpoint {
                    id: &state.entry.id,
                    key: ShortKey::from(state.key),
                    slots: state.entry.slots,
                    proven: state.proven_share(),
                });
            }
        }
        self.places.divide(&services, expiry, now);
    }

    /// Records whether an endpoint's answer states that it is brittle: the rejections per second that it tolerates from
    /// all routers together, or none. Returns whether that changed.
    pub fn record_tolerance(&mut self, id: &EndpointId, tolerance: Option<u32>, now: Duration) -> bool {
        let Some(state) = self.endpoints.get(id) else {
            return false;
        };
        let update = BrittleUpdate {
            endpoint: ShortKey::from(state.key),
            tolerance,
            reported_at: now,
        };
        self.merge_tolerances(&[update])
    }

    /// Merges statements that peers received from endpoints. Returns whether any tolerance changed.
    pub fn merge_tolerances(&mut self, updates: &[BrittleUpdate]) -> bool {
        let mut changed = false;
        for update in updates {
            let merged = self.brittle.merge(*update);
            changed |= merged == Merged::Changed;
            if merged != Merged::Unchanged {
                self.places.invalidate();
            }
        }
        changed
    }

    /// Merges rejections by brittle endpoints that peers learnt of.
    pub fn merge_rejections(&mut self, rejections: &[Rejection]) {
        for rejection in rejections {
            if self.brittle.merge_rejection(*rejection) {
                let mut states = self.endpoints.values_mut();
                if let Some(state) = states.find(|state| ShortKey::from(state.key) == rejection.endpoint) {
                    state.record_full(rejection.running, rejection.rejected_at);
                }
            }
        }
    }

    /// Returns the recent rejections by brittle endpoints, for peers.
    pub fn recent_rejections(&self, now: Duration) -> Vec<Rejection> {
        self.brittle.recent_rejections(now)
    }

    /// Returns the recent statements on brittleness, for peers.
    pub fn recent_tolerances(&self, now: Duration) -> Vec<BrittleUpdate> {
        self.brittle.recent(now)
    }

    /// Returns the number of brittle endpoints.
    pub fn brittle_count(&self) -> usize {
        self.brittle.count()
    }

    /// Records that an endpoint rejected a request. One that loads weights does so whatever its room.
    pub(super) fn record_rejection(&mut self, id: &EndpointId, now: Duration) {
        let Some(state) = self.endpoints.get_mut(id) else {
            return;
        };
        if !self.places.is_divided(&state.entry.service) || self.loading.contains(id) {
            return;
        }
        let rejection = Rejection {
            endpoint: ShortKey::from(state.key),
            running: state.running(now).round() as u32,
            rejected_at: now,
        };
        state.pause(now);
        self.places.record_rejection(&state.entry.service);
        self.merge_rejections(&[rejection]);
    }

    /// Drops brittle endpoints at which this router has no free place, even if none are left. Returns whether any is.
    pub(super) fn drop_occupied(
        &self,
        eligible: &mut Vec<&EndpointState>,
        context: &PickContext<'_>,
        now: Duration,
    ) -> bool {
        let service = context.service;
        let view = self.service_view(context, now);
        let mut single = Vec::new();
        eligible.retain(|state| {
            let key = ShortKey::from(state.key);
            if !self.brittle.is_brittle(key, view.stated_at) {
                return true;
            }
            if state.is_paused(now) {
                return false;
            }
            let room = state.room(view.proven, view.typical, now);
            match self.places.allowance(service, key, room, now) {
                Allowance::Unlimited => true,
                Allowance::Places(places) => state.held_places(now) < places,
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
