//! Load reports of endpoints, told between the routers of a domain by way of the one that is followed.
//!
//! Endpoints tell their load on answers. In a large fleet each router gets an answer of a given endpoint once in ten seconds,
//! which says nothing of now; a domain's routers together get one or two a second.

use crate::shared::Shared;
use dispatch::fleet::{LoadReport, LoadUpdate};
use peers::{Leader, LoadExchange, LoadTold, PeerError};
use std::time::Duration;

/// Longest wait for an answer.
const CALL: Duration = Duration::from_millis(600);

/// Exchanges reports with the router that is followed; `last` is when that was done before.
pub async fn exchange(shared: &Shared, leader: &Leader, last: Duration) -> Result<(), PeerError> {
    let now = shared.clock.now();
    let own = shared.fleet().loads_since(last, true);
    let question = LoadExchange {
        last_ms: now.saturating_sub(last).as_millis() as u64,
        own: own.iter().map(|news| told(news, now)).collect(),
    };
    let answer = leader.loads(question, CALL).await?;
    hear(shared, &answer);
    Ok(())
}

/// Takes in a follower's reports and tells what others told.
pub fn answer(shared: &Shared, question: &LoadExchange) -> Vec<LoadTold> {
    let now = shared.clock.now();
    let since = now.saturating_sub(Duration::from_millis(question.last_ms));
    let news = shared.fleet().loads_since(since, false);
    hear(shared, &question.own);
    news.iter().map(|news| told(news, now)).collect()
}

fn hear(shared: &Shared, told: &[LoadTold]) {
    let now = shared.clock.now();
    let news = |LoadTold(endpoint, running, waiting, age): &LoadTold| LoadUpdate {
        endpoint: *endpoint,
        report: LoadReport {
            running: *running,
            waiting: *waiting,
        },
        reported_at: now.saturating_sub(Duration::from_millis(*age)),
    };
    let news: Vec<LoadUpdate> = told.iter().map(news).collect();
    shared.fleet().merge_loads(&news, now);
}

fn told(news: &LoadUpdate, now: Duration) -> LoadTold {
    let age = now.saturating_sub(news.reported_at).as_millis() as u64;
    LoadTold(news.endpoint, news.report.running, news.report.waiting, age)
}
