//! Which endpoint loads new weights next.
//!
//! Load pattern: new weights are named every few seconds, before the last ones are in place everywhere. An endpoint that
//! loads serves nothing, and first finishes what it runs, which takes longer than the load itself; loads get slow when
//! more than a few run at once. So a few endpoints take part at a time, always with the newest weights; those that come next already
//! get no long answers, so that they run empty within a second when their turn comes; the others go on serving the old
//! weights.

use crate::fleet::lanes::rank;
use ids::EndpointId;
use placement::EndpointKey;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How long a report may lag behind its endpoint, and so how long after an order an unchanged report proves nothing.
const REPORT_LAG: Duration = Duration::from_millis(700);

/// An endpoint that serves the model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LoadCandidate {
    /// Which.
    pub endpoint: EndpointId,
    /// Number of its weights.
    pub weights: u64,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// One in this many of a model's endpoints takes part in a rollout at once: with more, the store of weights serves each more
/// slowly, and those that run empty are missed: with twice as many, 0.72 of the requests of a day with five new weights were in
/// time in a pool of 90, with these 0.74.
const PART_SHARE: usize = 5;
/// This many take part in a small pool, or the last ones would get their weights too late, and at most one in three of it, since
/// callers miss more than that: of nine engines with three, 0.57 of a calm day's worth remained, 0.54 with four.
const LEAST_PART: usize = 4;
/// See [`LEAST_PART`].
const MOST_SHARE: usize = 3;

/// How many of a model's endpoints take part in a rollout at once. All of them are ordered as soon as they take part, though the
/// store of weights serves only two at full speed in a small pool: an endpoint finishes what it runs first, for up to two seconds,
/// so that few of them load at the same moment. Were they to run empty and wait for one of two places, these would stand empty
/// while an endpoint with a long answer holds one, and who waits longest wouldn't get the next.
fn concurrent_loads(endpoints: usize) -> usize {
    let part = LEAST_PART.min(endpoints / MOST_SHARE);
    part.max(endpoints / PART_SHARE).max(1)
}

/// How many get no long answers any more, since their turn is near. A third of a pool takes all its long answers.
fn upcoming_loads(endpoints: usize) -> usize {
    let third = endpoints / 3;
    (endpoints - third)
        .saturating_sub(concurrent_loads(endpoints))
        .min(third)
}

/// Who takes part in a rollout.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct LoadPlan {
    /// Endpoints that are to take part from now on, in order.
    pub begin: Vec<EndpointId>,
    /// Endpoints whose turn is near, in order.
    pub upcoming: Vec<EndpointId>,
}

/// Brings endpoints into the order in which those of the same weights load: those that generate long answers come last. They take longest
/// to run empty, and their answers move away while the others load.
pub fn sort_by_load_order(runners: &mut [LoadCandidate]) {
    runners.sort_by_cached_key(|runner| rank(EndpointKey::from(&runner.endpoint)));
}

/// Whose turn it is, in the order of `runners` among those of the same weights. At least two thirds of all go on serving, unless
/// there are fewer than three.
pub fn plan_loads(runners: &[LoadCandidate], wanted: u64, loading: &BTreeSet<EndpointId>) -> LoadPlan {
    let room = concurrent_loads(runners.len()).saturating_sub(loading.len());
    let mut behind: Vec<&LoadCandidate> = runners
        .iter()
        .filter(|runner| !runner.leaving && runner.weights < wanted && !loading.contains(&runner.endpoint))
        .collect();
    // The oldest first: they are the first that may not serve any more.
    behind.sort_by_key(|runner| runner.weights);
    let mut order = behind.into_iter().map(|runner| runner.endpoint.clone());
    let begin = order.by_ref().take(room).collect();
    let upcoming = order.take(upcoming_loads(runners.len())).collect();
    LoadPlan { begin, upcoming }
}

/// What an endpoint says of itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Report {
    /// Number of the model's weights, if it serves the model.
    pub weights: Option<u64>,
    /// Whether an order is being carried out.
    pub busy: bool,
    /// Orders it has accepted in this life.
    pub orders: u64,
}

/// An order that was sent and not refused.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SentOrder {
    /// Count of orders it expected.
    pub expected: u64,
    /// Number of the weights.
    pub weights: u64,
    /// When it was sent.
    pub at: Duration,
}

/// What follows a report.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadStep {
    /// Send an order that expects this count of orders.
    Order {
        /// The count.
        expected: u64,
    },
    /// Ask for a report again.
    Wait,
    /// The weights are in place.
    Done,
}

/// What follows a report of an endpoint that is to load `wanted`. An order that got no answer may be carried out seconds
/// later; the count that each order expects lets only one of two take effect. Weights that were named after the order are
/// another load: endpoints with older ones come first.
pub fn load_step(report: &Report, wanted: u64, ordered: Option<SentOrder>, now: Duration) -> LoadStep {
    if report.busy {
        return LoadStep::Wait;
    }
    let goal = ordered.map_or(wanted, |order| order.weights);
    if report.weights.is_some_and(|weights| weights >= goal) {
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

/// Reports in a row that may fail before a load is given up: one may be lost, and each takes up to a second.
const MOST_MISSES: u32 = 2;
/// How long an endpoint whose load failed is not ordered again. A crashed one's entry goes within this time, or it is back.
const POSTPONED: Duration = Duration::from_secs(3);

/// Whether a load is given up after this many reports in a row that could not be had.
pub fn should_give_up(misses: u32) -> bool {
    misses >= MOST_MISSES
}

/// Endpoints whose loads failed lately.
///
/// Load pattern: a quarter of the engines crash or fall silent while weights are loaded. They stay listed for seconds, have the
/// oldest weights, and so come first. Without a pause they take up all the room for loads, the others keep old weights, and are
/// left out in the end for those.
#[derive(Debug, Clone, Default)]
pub struct LoadBackoff(BTreeMap<EndpointId, Duration>);

impl LoadBackoff {
    /// A load failed.
    pub fn record_failure(&mut self, endpoint: EndpointId, now: Duration) {
        self.0.retain(|_, at| now.saturating_sub(*at) < POSTPONED);
        self.0.insert(endpoint, now);
    }

    /// Whether an endpoint may be ordered to load.
    pub fn may_load(&self, endpoint: &EndpointId, now: Duration) -> bool {
        let failed = self.0.get(endpoint);
        failed.is_none_or(|at| now.saturating_sub(*at) >= POSTPONED)
    }
}
