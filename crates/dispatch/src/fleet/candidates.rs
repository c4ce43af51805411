//! Filters the endpoints that may serve a request.

use super::endpoint_state::EndpointState;
use super::lanes::decode_lane;
use super::rate_limits::RateLimits;
use super::targets::Target;
use super::{Fleet, PickContext, PickedEndpoint, Prompt, ShortKey, SoftwareRule, Staleness};
use control::health::HealthState;
use ids::{ModelId, ServiceId};
use std::time::Duration;

/// An endpoint that fails a larger share of its attempts gets requests only if there is no healthy one. Healthy
/// endpoints in production answer up to a seventh of some requests with an error.
const MAX_FAILURE_SHARE: f64 = 0.35;

/// Estimated waiting requests that count as a queue: one that was reported within the last second.
const MIN_WAITING: f64 = 0.5;

/// Cost of weights that are nearly too old, in seconds: more than that of a late answer.
const STALE_COST: f64 = 2.0;
/// When this cost begins for the first prompts, and how much later it does for the last ones; shares of the soft limit on
/// staleness, at which it reaches its full value for all.
const STALE_BEGIN: f64 = 0.5;
const STALE_SPREAD: f64 = 0.4;

/// Endpoints left after filtering. They are borrowed, because a large pool has hundreds of endpoints and copying
/// their names several times took most of the time of a choice.
pub(super) enum Candidates<'a> {
    Available(Vec<&'a EndpointState>),
    Full,
    /// All rest or are at their rate limit; a retry may succeed after this time.
    RateLimited(Duration),
    /// All places of this router are in use; one becomes free about every so long.
    Occupied(Duration),
    Unavailable,
}

impl Fleet {
    pub(super) fn candidates(&self, context: &PickContext<'_>, now: Duration) -> Candidates<'_> {
        let mut eligible: Vec<&EndpointState> = self.serving(context).collect();
        if eligible.is_empty() {
            return Candidates::Unavailable;
        }
        eligible.retain(|state| !self.loading.contains(&state.entry.id));
        if let Some(after) = self.drop_held_back(&mut eligible, now) {
            return Candidates::RateLimited(after);
        }
        if let Some(prompt) = context.prompt {
            self.drop_expired_weights(&mut eligible, context, prompt, now);
            self.avoid_upcoming_loads(&mut eligible, prompt);
            self.avoid_upcoming_queues(&mut eligible, context, now);
        }
        if eligible.is_empty() {
            // Endpoints that load weights are available again within a second or two.
            return Candidates::Full;
        }
        let health = |state: &EndpointState| self.health.state(&state.entry.id);
        let reachable = |state: &EndpointState| matches!(health(state), HealthState::Live | HealthState::Suspected);
        if !prefer(&mut eligible, |state| self.is_healthy(state, now)) {
            prefer(&mut eligible, reachable);
        }
        if self.places.is_divided(context.service) && !self.drop_occupied(&mut eligible, context, now) {
            return Candidates::Occupied(self.places.turn(context.service));
        }
        Candidates::Available(eligible)
    }

    /// Returns a predicate for endpoints outside the lane of a prompt: the decode lane for prefill-heavy prompts, the
    /// prefill lane for decode-heavy ones.
    pub(super) fn off_lane(
        &self,
        context: &PickContext<'_>,
        prompt: &Prompt,
        now: Duration,
    ) -> impl Fn(&EndpointState) -> bool {
        let all: Vec<&EndpointState> = self.available(context.service, now).collect();
        let needs = self.lane_needs(context.service);
        let count = match needs {
            Some(needs) => needs.decode_lane_size(all.len()),
            None => {
                let own = self.lane_loads.get(context.service);
                let mut tokens = own.map(|own| own.current(now)).unwrap_or_default();
                tokens.add(&self.peer_backlogs.lane_tokens(context.service));
                tokens.decode_lane_size(all.len())
            }
        };
        let newest = needs.and_then(|_| all.iter().filter_map(|state| state.weights(&prompt.model)).max());
        let is_last = |state: &EndpointState| {
            let is_upcoming = self.upcoming.contains(&state.entry.id);
            let is_replaced = newest.is_some_and(|newest| state.weights(&prompt.model) < Some(newest));
            (is_upcoming, is_replaced)
        };
        let lane = decode_lane(all, count, is_last);
        let decode_heavy = prompt.is_decode_heavy();
        move |state| !lane.is_empty() && lane.contains(&state.key) != decode_heavy
    }

    /// Endpoints of a service that are healthy and don't load.
    pub(super) fn available(&self, service: &ServiceId, now: Duration) -> impl Iterator<Item = &EndpointState> {
        self.endpoints.values().filter(move |state| {
            state.entry.service == *service
                && !state.entry.draining
                && !self.loading.contains(&state.entry.id)
                && self.is_healthy(state, now)
        })
    }

    fn serving(&self, context: &PickContext<'_>) -> impl Iterator<Item = &EndpointState> {
        let only_active = self.requires_active(context.service, context.software);
        self.serving_all(context.service)
            .filter(|state| !context.avoid.contains(&state.entry.id))
            .filter(move |state| match context.software {
                SoftwareRule::Only(software) => state.entry.software == *software,
                _ => !only_active || self.is_active(state),
            })
    }

    /// Records a choice for all that limits the requests to an endpoint.
    pub(super) fn record_choice(&mut self, picked: &mut PickedEndpoint, context: &PickContext<'_>, now: Duration) {
        let Some(state) = self.endpoints.get_mut(&picked.endpoint.id) else {
            return;
        };
        self.rate_limits.record_request(ShortKey::from(state.key), now);
        state.rest.chosen(now);
        if self.places.is_divided(context.service) {
            picked.holds_place = true;
            state.hold_place();
            self.places.record_request(context.service, now);
        }
    }

    /// Drops endpoints that this router may not use now. If none would be left, keeps all and returns the time until a
    /// retry may succeed.
    fn drop_held_back(&self, eligible: &mut Vec<&EndpointState>, now: Duration) -> Option<Duration> {
        let limits = (self.rate_limits.count() > 0).then_some(&self.rate_limits);
        let held_back_for = |state: &EndpointState| limited_for(limits, state, now).max(state.rest.pause(now));
        if prefer(eligible, |state| held_back_for(state).is_none()) {
            return None;
        }
        eligible.iter().filter_map(|state| held_back_for(state)).min()
    }

    /// Whether an endpoint is reachable, also for peers, and fails few of its attempts.
    fn is_healthy(&self, state: &EndpointState, now: Duration) -> bool {
        self.health.state(&state.entry.id) == HealthState::Live
            && !self.peer_backlogs.is_unreachable(ShortKey::from(state.key))
            && state.failure_share(now) < MAX_FAILURE_SHARE
    }

    /// Drops endpoints that load soon for decode-heavy prompts, unless there are no others. An endpoint finishes its
    /// running requests before it loads, and serves no new ones for some seconds while its last long answers are
    /// generated.
    fn avoid_upcoming_loads(&self, eligible: &mut Vec<&EndpointState>, prompt: &Prompt) {
        if prompt.is_decode_heavy() {
            prefer(eligible, |state| !self.upcoming.contains(&state.entry.id));
        }
    }

    /// Drops endpoints that load soon and have a queue for requests with a single attempt in large pools, unless there are
    /// no others. An endpoint that is ordered to load rejects what it has not begun, and the request would have no
    /// further attempt.
    fn avoid_upcoming_queues(&self, eligible: &mut Vec<&EndpointState>, context: &PickContext<'_>, now: Duration) {
        if context.attempts == 1 && self.lane_needs(context.service).is_some() {
            let has_queue = |state: &EndpointState| self.has_queue(state, now);
            prefer(eligible, |state| {
                !self.upcoming.contains(&state.entry.id) || !has_queue(state)
            });
        }
    }

    /// Whether requests wait at an endpoint, as far as this router and its peers know.
    fn has_queue(&self, state: &EndpointState, now: Duration) -> bool {
        let announced = self.peer_backlogs.tokens(ShortKey::from(state.key));
        state.waiting(now) >= MIN_WAITING || state.pending_tokens() + announced > 0
    }

    /// Additional cost of an endpoint with stale weights, in seconds. It begins at a time that depends on the prompt's
    /// prefix, in the second half of the allowed time. If all prompts left the endpoints with old weights at once, the
    /// others would have queues of seconds, and the last requests would begin on weights that are too old. As a cost it
    /// leaves prompts there while the few endpoints with new weights are full.
    pub(super) fn stale_cost(&self, state: &EndpointState, prompt: &Prompt, now: Duration) -> f64 {
        let Some(weights) = state.weights(&prompt.model) else {
            return 0.0;
        };
        let age = match self.staleness(&prompt.model, weights, now) {
            Staleness::Current => return 0.0,
            Staleness::Unknown => return STALE_COST,
            Staleness::Stale(age) => age,
        };
        let share = age.as_secs_f64() / self.settings.soft_staleness.as_secs_f64();
        let begin = STALE_BEGIN + STALE_SPREAD * prompt.prefix_draw();
        STALE_COST * ((share - begin) / (1.0 - begin)).clamp(0.0, 1.0)
    }

    /// Drops endpoints on which the request would begin after the hard limit on staleness, even if none are left.
    /// Clients retry once endpoints have newer weights.
    fn drop_expired_weights(
        &self,
        eligible: &mut Vec<&EndpointState>,
        context: &PickContext<'_>,
        prompt: &Prompt,
        now: Duration,
    ) {
        let model = &prompt.model;
        let rate = self.read_rate(context.service);
        let begin = |state: &EndpointState| now + self.expected_wait(state, rate, now);
        eligible.retain(|state| self.may_begin(model, state.weights(model), begin(state)));
    }

    /// Newest target of a model that satisfies `test`.
    pub(super) fn newest_matching(&self, model: &ModelId, test: impl Fn(&Target) -> bool) -> Option<&Target> {
        self.targets.get(model)?.newest_matching(test)
    }
}

/// Time until an endpoint's rate limit allows a request, unless it does now.
fn limited_for(limits: Option<&RateLimits>, state: &EndpointState, now: Duration) -> Option<Duration> {
    let (limits, key) = (limits?, ShortKey::from(state.key));
    (!limits.allow(key, now)).then(|| limits.retry_after(key, now))
}

/// Keeps only the endpoints that pass `test`, if any does. Returns whether one did.
fn prefer(eligible: &mut Vec<&EndpointState>, test: impl Fn(&EndpointState) -> bool) -> bool {
    let any = eligible.iter().any(|state| test(state));
    if any {
        eligible.retain(|state| test(state));
    }
    any
}
