//! Which endpoint loads new weights next.
//!
//! Load pattern: new weights are named every few seconds, before the last ones are in place everywhere. An endpoint that
//! loads serves nothing, and first finishes what it runs, which takes longer than the load itself; loads get slow when
//! more than a few run at once. So a few endpoints load at a time, always the newest weights, while the next ones
//! already get no new requests and run empty; the others go on serving the old weights until their turn.

use ids::EndpointId;
use std::collections::BTreeSet;
use std::time::Duration;

/// How long a report may lag behind its endpoint, and so how long after an order an unchanged report proves nothing.
const REPORT_LAG: Duration = Duration::from_millis(700);

/// An endpoint that serves the model.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Runner {
    /// Which.
    pub endpoint: EndpointId,
    /// Number of its weights.
    pub weights: u64,
    /// Whether it takes no new work.
    pub leaving: bool,
}

/// One in this many of a model's endpoints loads at once: with more, the store of weights serves each more slowly.
const LOADING_SHARE: usize = 5;
/// Loads that run at once at least.
const LEAST_LOADS: usize = 2;

/// How many of a model's endpoints may load at once.
pub fn most_loads(endpoints: usize) -> usize {
    (endpoints / LOADING_SHARE).max(LEAST_LOADS)
}

/// Endpoints that are to take part from now on, in order. Twice as many take part as load, so that one has always run empty
/// when a load ends; at least half of all go on serving.
pub fn next_loads(runners: &[Runner], wanted: u64, loading: &BTreeSet<EndpointId>) -> Vec<EndpointId> {
    let taking_part = most_loads(runners.len()) * 2;
    let most = taking_part.min(runners.len() / 2).max(1);
    let room = most.saturating_sub(loading.len());
    let mut behind: Vec<&Runner> = runners
        .iter()
        .filter(|runner| !runner.leaving && runner.weights < wanted && !loading.contains(&runner.endpoint))
        .collect();
    // The oldest first: they are the first that may not serve any more.
    behind.sort_by(|one, other| (one.weights, &one.endpoint).cmp(&(other.weights, &other.endpoint)));
    behind
        .into_iter()
        .take(room)
        .map(|runner| runner.endpoint.clone())
        .collect()
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
pub struct Ordered {
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
    /// Send an order that expects this count of orders, if there is room for one more load.
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
pub fn load_step(report: &Report, wanted: u64, ordered: Option<Ordered>, now: Duration) -> LoadStep {
    if report.busy {
        return LoadStep::Wait;
    }
    let goal = ordered.map_or(wanted, |order| order.weights);
    if report.weights.is_some_and(|weights| weights >= goal) {
        return LoadStep::Done;
    }
    let recent = |order: Ordered| now.saturating_sub(order.at) < REPORT_LAG;
    if ordered.is_some_and(recent) {
        return LoadStep::Wait;
    }
    LoadStep::Order {
        expected: report.orders,
    }
}
