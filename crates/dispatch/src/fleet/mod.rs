//! Endpoint selection: decides which endpoint a request goes to.
//!
//! Load pattern: many routers, each of which sees only a small part of the traffic. The endpoints differ in speed;
//! they fail, fill up and change their weights. Each router combines the load that endpoints report on their answers,
//! its own requests in flight and the outcomes of its own attempts. Endpoints for a prompt prefix are found by
//! hashing, so routers agree without communicating.

mod backlogs;
mod brittle;
mod candidates;
mod endpoint_state;
mod engines;
mod first_list;
mod lane_size;
pub(crate) mod lanes;
mod leaving;
mod loads;
mod occupied;
mod overload;
mod places;
mod plain;
mod pool_costs;
mod rate_limits;
mod read_rate;
mod rests;
mod speeds;
mod staleness;
mod targets;
mod versions;
mod work_time;

pub use backlogs::{Backlog, BacklogSource};
pub use brittle::{BrittleUpdate, Rejection};
pub use endpoint_state::{LoadReport, LoadUpdate, Outcome, ShortKey};
pub use engines::{Prompt, PromptPart};
pub use lane_size::LaneStatus;
pub use lanes::LaneTokens;
pub use rate_limits::RateUpdate;
pub use speeds::{ShareChange, SpeedKey, SpeedSum, Work, WorkKind};
pub use targets::{Staleness, TargetAge};
pub use versions::SoftwareRule;
pub use work_time::WorkTime;

use crate::retries::{RetryLimits, RetryMeter};
use crate::site::EndpointEntry;
use backlogs::PeerBacklogs;
use brittle::Statements;
use candidates::Candidates;
use control::health::{self, EndpointHealth};
use endpoint_state::EndpointState;
use ids::{EndpointId, Incarnation, ModelId, ServiceId, SoftwareVersion, VmId};
use lanes::LaneLoad;
use overload::Overloads;
use placement::Placer;
use places::Places;
use rate_limits::RateLimits;
use read_rate::ReadRate;
use speeds::Speeds;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;
use targets::Targets;
use versions::DepartedVersion;

/// Settings of endpoint selection.
#[derive(Debug, Clone)]
pub struct FleetSettings {
    /// This router's failure domain.
    pub domain: ids::DomainId,
    /// Budget of attempts beyond the first.
    pub retries: RetryLimits,
    /// Staleness at which the cost of old weights reaches its full value. Counted from the time when newer weights became
    /// the target.
    pub soft_staleness: Duration,
    /// Staleness from which no request may begin: its answer would be worthless to the client.
    pub hard_staleness: Duration,
}

/// Properties of a request that the choice of its endpoint depends on.
#[derive(Debug, Clone, Copy)]
pub struct PickContext<'a> {
    /// Service that the request belongs to.
    pub service: &'a ServiceId,
    /// Endpoints already tried for this request.
    pub avoid: &'a [EndpointId],
    /// The prompt, if the request is for a model.
    pub prompt: Option<&'a Prompt>,
    /// Hash of the scope of its cached prefixes, from [`crate::scope::Isolation::hash`].
    pub scope: u64,
    /// Time after which the first event of the answer is late.
    pub objective: Option<Duration>,
    /// Longest pause between two events of a stream with which its answer is in time.
    pub pause: Option<Duration>,
    /// Weights of [`Fleet::new_weights`] with which no engine is known to have read the shared parts of the prompt.
    pub unread: &'a [u64],
    /// Priority; 0 is the highest.
    pub rank: u8,
    /// Maximum number of endpoints that the request may be sent to.
    pub attempts: u32,
    /// Which versions of the software the endpoint may have.
    pub software: SoftwareRule<'a>,
}

/// Result of a choice.
#[derive(Debug, Clone, PartialEq)]
pub enum Choice {
    /// The request goes to this endpoint.
    Endpoint(PickedEndpoint),
    /// All endpoints that could serve the request are full.
    Full,
    /// All endpoints that could serve the request rest or are at their rate limit; the client should retry after this time.
    RateLimited(Duration),
    /// All places of this router at brittle endpoints are in use. One becomes free about every so long.
    Occupied(Duration),
    /// No endpoint that could serve the request is in service.
    Unavailable,
}

/// A chosen endpoint.
#[derive(Debug, Clone, PartialEq)]
pub struct PickedEndpoint {
    /// Configuration entry of the endpoint.
    pub endpoint: Arc<EndpointEntry>,
    /// Version of the weights that the endpoint is assumed to serve the request's model with.
    pub weights: Option<u64>,
    /// Prompt tokens that the endpoint is expected to read.
    pub prefill: u64,
    /// The same if the caches held the prefixes in use.
    pub warm_prefill: u64,
    /// Prompt tokens that it is expected to read before those.
    pub queued: u64,
    /// Whether the request is for a decode-heavy prompt.
    pub long_answer: bool,
    /// Reason for the choice, for logs.
    pub reason: &'static str,
    /// Whether the request holds a place of a brittle endpoint until [`Fleet::release_place`].
    pub holds_place: bool,
}

/// One router's view of all endpoints.
pub struct Fleet {
    settings: FleetSettings,
    endpoints: BTreeMap<EndpointId, EndpointState>,
    health: EndpointHealth,
    placers: HashMap<ServiceId, Placer>,
    retry_meters: HashMap<ServiceId, RetryMeter>,
    loading: BTreeSet<EndpointId>,
    upcoming: BTreeSet<EndpointId>,
    targets: HashMap<ModelId, Targets>,
    overloads: Overloads,
    peer_backlogs: PeerBacklogs,
    lane_loads: HashMap<ServiceId, LaneLoad>,
    rate_limits: RateLimits,
    brittle: Statements,
    places: Places,
    departed_versions: Vec<DepartedVersion>,
    active_versions: HashMap<ServiceId, BTreeSet<SoftwareVersion>>,
    read_rates: HashMap<ServiceId, ReadRate>,
    speeds: Speeds,
}

impl Fleet {
    /// Creates a fleet without endpoints.
    pub fn new(settings: FleetSettings) -> Self {
        Self {
            settings,
            endpoints: BTreeMap::new(),
            health: EndpointHealth::default(),
            placers: HashMap::new(),
            retry_meters: HashMap::new(),
            loading: BTreeSet::new(),
            upcoming: BTreeSet::new(),
            targets: HashMap::new(),
            overloads: Overloads::default(),
            peer_backlogs: PeerBacklogs::default(),
            lane_loads: HashMap::new(),
            rate_limits: RateLimits::default(),
            brittle: Statements::default(),
            places: Places::default(),
            departed_versions: Vec::new(),
            active_versions: HashMap::new(),
            read_rates: HashMap::new(),
            speeds: Speeds::default(),
        }
    }

    /// Replaces the settings, except for the number of routers that share the retry budget.
    pub fn reload(&mut self, settings: FleetSettings) {
        let routers = self.settings.retries.routers;
        self.settings = settings;
        self.settings.retries.routers = routers;
    }

    /// Adds an endpoint or updates its entry. A new incarnation starts without recorded state.
    pub fn upsert_endpoint(&mut self, entry: &Arc<EndpointEntry>, now: Duration) {
        let state = self.endpoints.get_mut(&entry.id);
        match state {
            Some(state) if state.entry.incarnation == entry.incarnation => state.update(entry.clone(), now),
            _ => {
                let state = EndpointState::new(entry.clone(), now);
                self.rate_limits.clear(ShortKey::from(state.key), now);
                self.brittle.clear(&entry.service, ShortKey::from(state.key), now);
                if let Some(before) = self.endpoints.insert(entry.id.clone(), state) {
                    self.version_departed(&before, now);
                }
            }
        }
        self.configure(now);
    }

    /// Removes an endpoint.
    pub fn remove_endpoint(&mut self, id: &EndpointId, now: Duration) {
        if let Some(state) = self.endpoints.remove(id) {
            self.version_departed(&state, now);
            self.rate_limits.clear(ShortKey::from(state.key), now);
            self.brittle.clear(&state.entry.service, ShortKey::from(state.key), now);
        }
        self.configure(now);
    }

    /// Sets the target weights of a model and how long ago they became the target.
    pub fn set_target(&mut self, model: &ModelId, weights: u64, age: TargetAge, now: Duration) {
        self.targets.entry(model.clone()).or_default().add(weights, age, now);
    }

    /// Merges a target age received from a peer. Returns whether an uncertain age became certain. Ignores
    /// weights newer than those the store gave this router.
    pub fn merge_target_age(&mut self, model: &ModelId, weights: u64, age: TargetAge, now: Duration) -> bool {
        let targets = self.targets.get_mut(model);
        targets.is_some_and(|targets| targets.merge_age(weights, age, now))
    }

    /// Returns the age of each known target, by model and weights.
    pub fn target_ages(&self, now: Duration) -> Vec<(ModelId, u64, TargetAge)> {
        let ages = self.targets.iter().flat_map(|(model, targets)| {
            let ages = targets
                .all()
                .iter()
                .map(move |target| (target.weights, target.age(now)));
            ages.map(|(weights, age)| (model.clone(), weights, age))
        });
        ages.collect()
    }

    /// Returns whether an endpoint serves old weights whose staleness a peer may know much more exactly.
    pub fn has_uncertain_age(&self, now: Duration) -> bool {
        let bound = self.settings.hard_staleness;
        self.targets.iter().any(|(model, targets)| {
            let mut served = self.endpoints.values().filter_map(|state| state.weights(model));
            served.any(|weights| targets.has_uncertain_newer(weights, bound, now))
        })
    }

    /// Returns the target weights of each model.
    pub fn targets(&self) -> impl Iterator<Item = (&ModelId, u64)> {
        self.targets
            .iter()
            .filter_map(|(model, targets)| Some((model, targets.newest()?.weights)))
    }

    /// Sets the endpoints that load weights now or are about to, which get no requests, and those that load next,
    /// which get no decode-heavy requests.
    pub fn set_loading(&mut self, loading: BTreeSet<EndpointId>, upcoming: BTreeSet<EndpointId>) {
        self.loading = loading;
        self.upcoming = upcoming;
    }

    /// Records the weights that an endpoint serves a model with, as named in an answer or by the lease holder.
    pub fn record_weights(&mut self, id: &EndpointId, model: &ModelId, weights: u64, now: Duration) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.raise_weights(model, weights, now);
        }
    }

    /// Corrects the assumed weights after an endpoint refused a request because it serves other weights. Assumes the
    /// target if that is newer than the weights assumed so far, otherwise the weights of the endpoint's entry. If
    /// that is wrong too, the endpoint refuses the next request and the assumption is corrected again.
    pub fn correct_weights(&mut self, id: &EndpointId, model: &ModelId) {
        let newest = self.targets.get(model).and_then(Targets::newest);
        let newest = newest.map(|target| target.weights);
        if let Some(state) = self.endpoints.get_mut(id) {
            state.correct_weights(model, newest);
        }
    }

    /// Returns the weights that an endpoint is assumed to serve a model with.
    pub fn weights(&self, id: &EndpointId, model: &ModelId) -> Option<u64> {
        self.endpoints.get(id)?.weights(model)
    }

    /// Returns the weights of a model at endpoints of a service that started or loaded a short time ago. Only there may
    /// prefixes in use be missing from the cache.
    pub fn new_weights(&self, service: &ServiceId, model: &ModelId, now: Duration) -> BTreeSet<u64> {
        let states = self.endpoints.values().filter(|state| state.entry.service == *service);
        let states = states.filter(|state| state.is_new(now));
        states.filter_map(|state| state.weights(model)).collect()
    }

    /// Sets the number of routers that share the retry budget; 0 if unknown.
    pub fn set_router_count(&mut self, count: u32) {
        self.settings.retries.routers = count;
    }

    /// Sets the routers that share the rate limits of endpoints; `own` is this router.
    pub fn set_routers(&mut self, own: &VmId, routers: &[VmId]) {
        self.rate_limits.set_routers(own, routers);
        self.places.set_routers(own, routers);
    }

    /// Sets until when the other routers know this one.
    pub fn set_registered_until(&mut self, until: Duration) {
        self.places.set_registered_until(until);
    }

    /// Returns the endpoints that are due for a health probe.
    pub fn due_probes(&mut self, now: Duration) -> Vec<Arc<EndpointEntry>> {
        let due = self.health.due_probes(now);
        due.iter()
            .filter_map(|id| self.endpoints.get(id).map(|state| state.entry.clone()))
            .collect()
    }

    /// Chooses an endpoint; `draw` is uniform over all `u64` values.
    pub fn choose(&mut self, context: &PickContext<'_>, draw: u64, now: Duration) -> Choice {
        self.peer_backlogs.refresh_sums(now);
        self.refresh_speeds(now);
        if self.places.is_outdated(now) {
            self.divide_places(now);
        }
        let mut choice = self.choose_any(context, draw, now);
        if let Choice::Endpoint(picked) = &mut choice {
            self.record_choice(picked, context, now);
        }
        choice
    }

    fn choose_any(&mut self, context: &PickContext<'_>, draw: u64, now: Duration) -> Choice {
        if context.prompt.is_none() {
            return self.choose_from(context, now, |eligible| self.choose_plain(&eligible, draw, now));
        }
        self.update_lane_needs(context.service, now);
        // The placer is removed for the call because the choice borrows `self`.
        let mut placer = self.take_placer(context.service);
        let choice = self.choose_from(context, now, |eligible| {
            self.choose_engine(&mut placer, context, eligible, draw, now)
        });
        self.placers.insert(context.service.clone(), placer);
        if let Choice::Endpoint(picked) = &choice {
            let lanes = self.lane_loads.entry(context.service.clone()).or_default();
            lanes.record(context, picked, now);
        }
        choice
    }

    fn choose_from<'a>(
        &'a self,
        context: &PickContext<'_>,
        now: Duration,
        choose: impl FnOnce(Vec<&'a EndpointState>) -> Choice,
    ) -> Choice {
        match self.candidates(context, now) {
            Candidates::Available(eligible) => choose(eligible),
            Candidates::Full => Choice::Full,
            Candidates::RateLimited(after) => Choice::RateLimited(after),
            Candidates::Occupied(turn) => Choice::Occupied(turn),
            Candidates::Unavailable => Choice::Unavailable,
        }
    }

    /// Records that a request was sent to an endpoint, which has `prefill` prompt tokens of it to read.
    pub fn request_started(&mut self, id: &EndpointId, incarnation: Incarnation, prefill: u64, now: Duration) {
        if let Some(state) = self.endpoint_mut(id, incarnation) {
            state.request_started(prefill, now);
        }
    }

    /// Records that the endpoint has read the prompt of the request sent at `began`, or will never read it.
    pub fn prefill_finished(&mut self, id: &EndpointId, incarnation: Incarnation, began: Duration) {
        if let Some(state) = self.endpoint_mut(id, incarnation) {
            state.prefill_finished(began);
        }
    }

    /// Records that a request has ended at an endpoint.
    pub fn request_finished(&mut self, id: &EndpointId, incarnation: Incarnation) {
        if let Some(state) = self.endpoint_mut(id, incarnation) {
            state.request_finished();
        }
    }

    /// Returns the entry of an endpoint in service.
    pub fn endpoint(&self, id: &EndpointId) -> Option<Arc<EndpointEntry>> {
        self.endpoints.get(id).map(|state| state.entry.clone())
    }

    /// Returns the number of endpoints to which this router's last connection failed.
    pub fn unreachable_count(&self) -> usize {
        self.health.unreachable().count()
    }

    /// Records the rate limit in an endpoint's answer: requests per second that it accepts from all routers together,
    /// or none. Returns whether the limit changed.
    pub fn record_rate(&mut self, id: &EndpointId, rate: Option<f64>, now: Duration) -> bool {
        let Some(state) = self.endpoints.get(id) else {
            return false;
        };
        let update = RateUpdate {
            endpoint: ShortKey::from(state.key),
            rate,
            reported_at: now,
        };
        self.rate_limits.merge(update, now)
    }

    /// Merges rate limits that peers received from endpoints. Returns whether any limit changed.
    pub fn merge_rates(&mut self, updates: &[RateUpdate], now: Duration) -> bool {
        let mut changed = false;
        for update in updates {
            changed |= self.rate_limits.merge(*update, now);
        }
        changed
    }

    /// Returns the recently reported rate limits, for peers.
    pub fn recent_rates(&self, now: Duration) -> Vec<RateUpdate> {
        self.rate_limits.recent(now)
    }

    /// Returns the number of endpoints with a rate limit.
    pub fn rate_limited_count(&self) -> usize {
        self.rate_limits.count()
    }

    /// Records the outcome of an attempt.
    pub fn record_outcome(&mut self, id: &EndpointId, outcome: Outcome, now: Duration) {
        if let Some(state) = self.endpoints.get_mut(id) {
            state.record_outcome(outcome, now);
        }
        if outcome == Outcome::Declined {
            self.record_rejection(id, now);
        }
        let event = health_event(id, outcome);
        self.health.on(event, now);
    }

    /// Records the outcome of a probe. It shows only whether the endpoint is reachable, so failure share and latency
    /// stay unchanged.
    pub fn record_probe(&mut self, id: &EndpointId, outcome: Outcome, now: Duration) {
        let event = health_event(id, outcome);
        self.health.on(event, now);
    }

    /// Records a request's first attempt at a service.
    pub fn record_first_attempt(&mut self, service: &ServiceId, now: Duration) {
        let window = self.settings.retries.window;
        self.retry_meters
            .entry(service.clone())
            .or_default()
            .record_request(window, now);
    }

    /// Returns whether the retry budget of a service allows one more attempt, and counts the attempt if so.
    pub fn try_retry(&mut self, service: &ServiceId, now: Duration) -> bool {
        let limits = self.settings.retries;
        self.retry_meters
            .entry(service.clone())
            .or_default()
            .try_retry(&limits, now)
    }

    fn endpoint_mut(&mut self, id: &EndpointId, incarnation: Incarnation) -> Option<&mut EndpointState> {
        let state = self.endpoints.get_mut(id)?;
        (state.entry.incarnation == incarnation).then_some(state)
    }

    fn configure(&mut self, now: Duration) {
        self.places.invalidate();
        let ids = self.endpoints.keys().cloned().collect();
        self.health.on(health::Event::Configured(ids), now);
    }
}

/// Translates an outcome to an event of the health tracker.
fn health_event(id: &EndpointId, outcome: Outcome) -> health::Event {
    let endpoint = id.clone();
    match outcome {
        Outcome::Answered(_) | Outcome::Failed | Outcome::Declined => health::Event::Replied {
            endpoint,
            incarnation: None,
        },
        Outcome::Broken | Outcome::ConnectFailed => health::Event::Failed {
            endpoint,
            failure: health::Failure::Connection,
        },
        Outcome::Timeout => health::Event::Failed {
            endpoint,
            failure: health::Failure::Timeout,
        },
    }
}
