//! Which endpoints load new weights next.
//!
//! Load pattern: a model gets new target weights every few seconds, before the previous ones are loaded everywhere. An
//! endpoint that loads serves nothing. It first finishes its running requests, which takes longer than the load itself.
//! Loads get slow when more than a few run at once. So only a few endpoints load at a time, always the newest weights.
//! The next ones get no long generations any more, so that they drain within a second when they are ordered to load.
//! The others continue to serve the old weights.

use crate::fleet::lanes::rank;
use ids::EndpointId;
use placement::EndpointKey;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Maximum age of a report. For this long after an order an unchanged report doesn't show that the order was ignored.
const REPORT_LAG: Duration = Duration::from_millis(700);

/// An endpoint that serves the model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadCandidate {
    /// ID of the endpoint.
    pub endpoint: EndpointId,
    /// Version of its weights.
    pub weights: u64,
    /// Whether it is draining.
    pub draining: bool,
}

/// One in this many endpoints of a model loads at a time. With more, the weight store serves each more slowly, and the
/// draining endpoints are missing from the pool.
const LOADING_DIVISOR: usize = 5;
/// Number of endpoints that load at a time in a small pool. With fewer, the last ones would get their weights too late.
const MIN_LOADING: usize = 4;
/// At most one in this many endpoints loads at a time, since clients notice the loss of more.
const MAX_LOADING_DIVISOR: usize = 3;

/// How many endpoints of a model may be ordered to load at a time. The weight store of a small pool serves only two of
/// them at full speed, but few actually load at the same moment: each first finishes its running requests, for up to
/// two seconds. Limiting the actual loads to two instead would leave drained endpoints idle while one with a long
/// generation occupies a slot, and slots wouldn't be granted in the order of waiting.
fn concurrent_loads(endpoints: usize) -> usize {
    let minimum = MIN_LOADING.min(endpoints / MAX_LOADING_DIVISOR);
    minimum.max(endpoints / LOADING_DIVISOR).max(1)
}

/// How many of the next endpoints get no long generations any more. A third of the pool always accepts long
/// generations.
fn upcoming_loads(endpoints: usize) -> usize {
    let third = endpoints / 3;
    (endpoints - third)
        .saturating_sub(concurrent_loads(endpoints))
        .min(third)
}

/// The endpoints of the current rollout step.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadPlan {
    /// Endpoints to order now, in this order.
    pub begin: Vec<EndpointId>,
    /// Endpoints to order next, in this order.
    pub upcoming: Vec<EndpointId>,
}

/// Sorts endpoints by the order in which those with the same weights load. Endpoints with long generations come last:
/// they take longest to drain, and those generations are placed on other endpoints while the rest load.
pub fn sort_by_load_order(candidates: &mut [LoadCandidate]) {
    candidates.sort_by_cached_key(|candidate| rank(EndpointKey::from(&candidate.endpoint)));
}

/// Selects the endpoints to load now and next; those with the same weights keep the order of `candidates`. At least two
/// thirds of all endpoints continue to serve, unless there are fewer than three.
pub fn plan_loads(candidates: &[LoadCandidate], target: u64, loading: &BTreeSet<EndpointId>) -> LoadPlan {
    let free = concurrent_loads(candidates.len()).saturating_sub(loading.len());
    let mut outdated: Vec<&LoadCandidate> = candidates
        .iter()
        .filter(|candidate| !candidate.draining && candidate.weights < target && !loading.contains(&candidate.endpoint))
        .collect();
    // The oldest weights first, since they are the first to exceed the age limit.
    outdated.sort_by_key(|candidate| candidate.weights);
    let mut order = outdated.into_iter().map(|candidate| candidate.endpoint.clone());
    let begin = order.by_ref().take(free).collect();
    let upcoming = order.take(upcoming_loads(candidates.len())).collect();
    LoadPlan { begin, upcoming }
}

/// An endpoint's report of its state.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Version of the model's weights, if the endpoint serves the model.
    pub weights: Option<u64>,
    /// Whether the endpoint is executing an order.
    pub busy: bool,
    /// Number of orders accepted in this incarnation.
    pub orders: u64,
}

/// An order that was sent and not rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentOrder {
    /// Number of accepted orders that the order expected the endpoint to report.
    pub expected: u64,
    /// Version of the weights.
    pub weights: u64,
    /// When it was sent.
    pub at: Duration,
}

/// Next step after a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadStep {
    /// Send an order.
    Order {
        /// Number of accepted orders that the order expects the endpoint to have.
        expected: u64,
    },
    /// Request another report.
    Wait,
    /// The weights are loaded.
    Done,
}

/// Decides the next step after a report of an endpoint that is to load `target`. An order without a response may take
/// effect seconds later. Each order names the expected number of accepted orders, so that only one of two can take
/// effect. A target that was set after the order is left to another load, since endpoints with older weights
/// come first.
pub fn load_step(report: &Report, target: u64, ordered: Option<SentOrder>, now: Duration) -> LoadStep {
    if report.busy {
        return LoadStep::Wait;
    }
    let required = ordered.map_or(target, |order| order.weights);
    if report.weights.is_some_and(|weights| weights >= required) {
        return LoadStep::Done;
    }
    let recent = |order: SentOrder| now.saturating_sub(order.at) < REPORT_LAG;
    if ordered.is_some_and(recent) {
        return LoadStep::Wait;
    }
    LoadStep::Order {
        expected: report.orders,
    }
}

/// Consecutive missing reports after which a load is abandoned. One may be lost, and each takes up to a second.
const MAX_MISSED_REPORTS: u32 = 2;
/// How long an endpoint whose load failed is not ordered again. Within this time a crashed endpoint restarts or its
/// entry expires.
const LOAD_BACKOFF: Duration = Duration::from_secs(3);

/// Whether to abandon a load after this many consecutive missing reports.
pub fn should_give_up(misses: u32) -> bool {
    misses >= MAX_MISSED_REPORTS
}

/// Endpoints whose loads failed recently, which are not ordered for a while.
///
/// Load pattern: a quarter of the engines crash or stop responding during a rollout. They stay listed for seconds and
/// have the oldest weights, so they come first. Without a backoff they would occupy all load slots, and the healthy
/// endpoints would keep old weights until those exceed the age limit.
#[derive(Debug, Clone, Default)]
pub struct LoadBackoff(BTreeMap<EndpointId, Duration>);

impl LoadBackoff {
    /// Records a failed load.
    pub fn record_failure(&mut self, endpoint: EndpointId, now: Duration) {
        self.0.retain(|_, at| now.saturating_sub(*at) < LOAD_BACKOFF);
        self.0.insert(endpoint, now);
    }

    /// Whether an endpoint may be ordered to load.
    pub fn may_load(&self, endpoint: &EndpointId, now: Duration) -> bool {
        let failed = self.0.get(endpoint);
        failed.is_none_or(|at| now.saturating_sub(*at) >= LOAD_BACKOFF)
    }
}
