//! Exchange of endpoint load reports within a failure domain, through the router that the others follow.
//!
//! Endpoints report their load in responses. In a large fleet, each router receives a response from a given endpoint
//! only once in ten seconds, which is too old to be useful. All routers of a domain together receive one or two a
//! second.

use crate::shared::Shared;
use dispatch::fleet::{LoadReport, LoadUpdate};
use peers::{LoadExchange, LoadMessage, PeerError, Upstream, age_ms, time_of};
use std::time::Duration;

/// Longest wait for a response.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Exchanges reports with the followed router. `last` is the time of the previous exchange.
pub async fn exchange(shared: &Shared, upstream: &Upstream, last: Duration) -> Result<(), PeerError> {
    let now = shared.clock.now();
    let own = shared.fleet().loads_since(last, true);
    let request = LoadExchange {
        last_ms: age_ms(last, now),
        own: own.iter().map(|report| load_message(report, now)).collect(),
    };
    let response = upstream.loads(request, CALL_TIMEOUT).await?;
    apply(shared, &response);
    Ok(())
}

/// Applies a follower's reports and returns the reports of others.
pub fn handle(shared: &Shared, request: &LoadExchange) -> Vec<LoadMessage> {
    let now = shared.clock.now();
    let since = time_of(request.last_ms, now);
    let reports = shared.fleet().loads_since(since, false);
    apply(shared, &request.own);
    reports.iter().map(|report| load_message(report, now)).collect()
}

fn apply(shared: &Shared, loads: &[LoadMessage]) {
    let now = shared.clock.now();
    let report = |LoadMessage(endpoint, running, waiting, age): &LoadMessage| LoadUpdate {
        endpoint: *endpoint,
        report: LoadReport {
            running: *running,
            waiting: *waiting,
        },
        reported_at: time_of(*age, now),
    };
    let reports: Vec<LoadUpdate> = loads.iter().map(report).collect();
    shared.fleet().merge_loads(&reports, now);
}

fn load_message(load: &LoadUpdate, now: Duration) -> LoadMessage {
    let age = age_ms(load.reported_at, now);
    LoadMessage(load.endpoint, load.report.running, load.report.waiting, age)
}
