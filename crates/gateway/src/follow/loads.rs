//! Exchange of endpoint load reports within a failure domain, through the router that the others follow.
//!
//! Endpoints report their load in responses. In a large fleet, each router receives a response from a given endpoint
//! only once in ten seconds, which is too old to be useful. All routers of a domain together receive one or two a
//! second.

use crate::shared::Shared;
use dispatch::fleet::{LoadReport, LoadUpdate, ShortKey, WorkTime};
use peers::{LoadExchange, LoadMessage, PeerError, Upstream, age_ms, time_of};
use std::collections::HashMap;
use std::time::Duration;

/// Longest wait for a response.
const CALL_TIMEOUT: Duration = Duration::from_millis(600);

/// Exchanges reports with the followed router. `last` is the time of the previous exchange.
pub async fn exchange(shared: &Shared, upstream: &Upstream, last: Duration) -> Result<(), PeerError> {
    let now = shared.clock.now();
    let own = shared.fleet().loads_since(last, true);
    let request = LoadExchange {
        last_ms: age_ms(last, now),
        own: own.iter().map(|load| load_message(load, false, now)).collect(),
        work_times: Some(own.iter().filter_map(work_time).collect()),
    };
    let response = upstream.loads(request, CALL_TIMEOUT).await?;
    apply(shared, &response, &[]);
    Ok(())
}

/// Applies a follower's reports and returns the reports of others.
pub fn handle(shared: &Shared, request: &LoadExchange) -> Vec<LoadMessage> {
    let now = shared.clock.now();
    let since = time_of(request.last_ms, now);
    let reports = shared.fleet().loads_since(since, false);
    let work_times = request.work_times.as_deref();
    apply(shared, &request.own, work_times.unwrap_or_default());
    let message = |load: &LoadUpdate| load_message(load, work_times.is_some(), now);
    reports.iter().map(message).collect()
}

fn apply(shared: &Shared, loads: &[LoadMessage], work_times: &[(ShortKey, u64)]) {
    let now = shared.clock.now();
    let work_times: HashMap<ShortKey, u64> = work_times.iter().copied().collect();
    let report = |LoadMessage(endpoint, running, waiting, age, percent): &LoadMessage| {
        let percent = percent.or_else(|| work_times.get(endpoint).copied());
        LoadUpdate {
            endpoint: *endpoint,
            report: LoadReport {
                work_time: percent.and_then(WorkTime::from_percent),
                ..LoadReport::new(*running, *waiting)
            },
            reported_at: time_of(*age, now),
        }
    };
    let reports: Vec<LoadUpdate> = loads.iter().map(report).collect();
    shared.fleet().merge_loads(&reports, now);
}

fn work_time(load: &LoadUpdate) -> Option<(ShortKey, u64)> {
    Some((load.endpoint, load.report.work_time?.percent()))
}

fn load_message(load: &LoadUpdate, with_work_time: bool, now: Duration) -> LoadMessage {
    let age = age_ms(load.reported_at, now);
    let work_time = load.report.work_time.filter(|_| with_work_time);
    let LoadReport { running, waiting, .. } = load.report;
    LoadMessage(load.endpoint, running, waiting, age, work_time.map(WorkTime::percent))
}
