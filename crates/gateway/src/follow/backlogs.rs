//! What requests wait for at endpoints, told between routers as it changes.

use super::Members;
use crate::shared::Shared;
use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use async_std::task;
use dispatch::fleet::{Backlog, RateUpdate};
use peers::{BacklogTold, Leader, PeerError, RateTold};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time in which changes are gathered.
const GATHER: Duration = Duration::from_millis(10);
/// Time after which a backlog that has not changed is told again.
const REPEAT: Duration = Duration::from_millis(500);
/// Time between two looks at who the other routers are.
const LOOK: Duration = Duration::from_secs(1);
/// Longest wait for a connection or an answer.
const CALL: Duration = Duration::from_millis(300);
/// Pause after a failed call.
const AGAIN: Duration = Duration::from_millis(500);
/// Most routers that are told.
const MOST_TOLD: usize = 32;

/// Tells the other routers until the process ends.
pub async fn tell_backlogs(shared: Arc<Shared>) {
    let mut told: HashMap<SocketAddr, Sender<BacklogTold>> = HashMap::new();
    let mut looked = None;
    let mut idle = true;
    loop {
        let changed = timeout(REPEAT, shared.waits.1.recv()).await;
        if changed.is_ok() {
            task::sleep(GATHER).await;
        }
        let now = shared.clock.now();
        if looked.is_none_or(|at| now.saturating_sub(at) >= LOOK) {
            looked = Some(now);
            find(&shared, &mut told);
        }
        let backlog = shared.fleet().own_backlog(now);
        let rates = shared.fleet().recent_rates(now);
        let nothing = backlog.tokens.is_empty() && rates.is_empty();
        if nothing && idle {
            continue;
        }
        idle = nothing;
        let rate = |news: &RateUpdate| RateTold(news.endpoint, news.rate, age(news.reported_at, now));
        let rates: Vec<RateTold> = rates.iter().map(rate).collect();
        let router = shared.settings.load().vm.clone();
        for sender in told.values() {
            let news = BacklogTold {
                router: router.clone(),
                backlogs: backlog.tokens.clone(),
                reads: backlog.lane_tokens.clone(),
                rates: rates.clone(),
            };
            // Only the newest word counts; a receiver that is gone is replaced with the next look.
            let _ = sender.force_send(news);
        }
    }
}

fn find(shared: &Shared, told: &mut HashMap<SocketAddr, Sender<BacklogTold>>) {
    let own = shared.settings.load().vm.clone();
    let others = Members::read(shared).others(&own, MOST_TOLD);
    told.retain(|address, sender| others.contains(address) && !sender.is_closed());
    for address in others {
        told.entry(address).or_insert_with(|| {
            let (sender, receiver) = async_channel::bounded(1);
            task::spawn(tell(address, receiver));
            sender
        });
    }
}

/// Tells one router whatever comes.
async fn tell(address: SocketAddr, news: Receiver<BacklogTold>) {
    let mut kept = None;
    while let Ok(told) = news.recv().await {
        match tell_once(kept.take(), address, told).await {
            Ok(leader) => kept = Some(leader),
            Err(err) => {
                log::debug!(router:% = address, why:% = err; "backlog: a router is not told");
                task::sleep(AGAIN).await;
            }
        }
    }
}

async fn tell_once(kept: Option<Leader>, address: SocketAddr, told: BacklogTold) -> Result<Leader, PeerError> {
    let leader = match kept {
        Some(leader) => leader,
        None => Leader::connect(address, CALL).await?,
    };
    leader.backlog(told, CALL).await?;
    Ok(leader)
}

/// Takes in what another router told.
pub fn hear(shared: &Shared, told: &BacklogTold) {
    let now = shared.clock.now();
    let backlog = Backlog {
        tokens: told.backlogs.clone(),
        lane_tokens: told.reads.clone(),
    };
    // Taken for as old as it can be: news that comes back must not count as newer than what it repeats.
    let rate = |RateTold(endpoint, rate, age): &RateTold| RateUpdate {
        endpoint: *endpoint,
        rate: *rate,
        reported_at: now.saturating_sub(Duration::from_millis(*age) + CALL),
    };
    let rates: Vec<RateUpdate> = told.rates.iter().map(rate).collect();
    let mut fleet = shared.fleet();
    fleet.update_backlog(&told.router, &backlog, now);
    if fleet.merge_rates(&rates, now) {
        let rated = fleet.rate_limited_count();
        drop(fleet);
        shared.metrics.rated.set(rated as i64);
        log::info!(router = told.router.as_str(), rated = rated; "endpoint: another router was told a rate");
        shared.waits_changed();
    }
}

fn age(told: Duration, now: Duration) -> u64 {
    now.saturating_sub(told).as_millis() as u64
}
