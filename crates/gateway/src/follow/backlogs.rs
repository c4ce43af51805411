//! Exchanges the backlogs of endpoints between routers when they change.

use super::Members;
use crate::shared::Shared;
use async_channel::{Receiver, Sender};
use async_std::future::timeout;
use async_std::task;
use dispatch::fleet::{Backlog, RateUpdate};
use peers::{BacklogMessage, PeerError, RateMessage, Upstream};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Time in which changes are collected into one message.
const BATCH_DELAY: Duration = Duration::from_millis(10);
/// Interval at which an unchanged backlog is sent again.
const RESEND_INTERVAL: Duration = Duration::from_millis(500);
/// Interval between reads of the list of routers.
const MEMBERS_INTERVAL: Duration = Duration::from_secs(1);
/// Longest wait for a connection or a response.
const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Pause after a failed call.
const RETRY_DELAY: Duration = Duration::from_millis(500);
/// Largest number of routers that receive updates.
const MAX_PEERS: usize = 32;

/// Sends this router's backlog to the other routers until the process exits.
pub async fn publish_backlogs(shared: Arc<Shared>) {
    let mut senders: HashMap<SocketAddr, Sender<BacklogMessage>> = HashMap::new();
    let mut members_read = None;
    let mut idle = true;
    loop {
        let changed = timeout(RESEND_INTERVAL, shared.backlog_signal.1.recv()).await;
        if changed.is_ok() {
            task::sleep(BATCH_DELAY).await;
        }
        let now = shared.clock.now();
        if members_read.is_none_or(|at| now.saturating_sub(at) >= MEMBERS_INTERVAL) {
            members_read = Some(now);
            update_peers(&shared, &mut senders);
        }
        let backlog = shared.fleet().own_backlog(now);
        let rates = shared.fleet().recent_rates(now);
        let is_empty = backlog.tokens.is_empty() && rates.is_empty();
        if is_empty && idle {
            continue;
        }
        idle = is_empty;
        let rate = |rate: &RateUpdate| RateMessage(rate.endpoint, rate.rate, age(rate.reported_at, now));
        let rates: Vec<RateMessage> = rates.iter().map(rate).collect();
        let router = shared.settings.load().vm.clone();
        for sender in senders.values() {
            let update = BacklogMessage {
                router: router.clone(),
                backlogs: backlog.tokens.clone(),
                lane_tokens: backlog.lane_tokens.clone(),
                rates: rates.clone(),
            };
            // Only the newest update matters. A closed channel is replaced the next time that the list of routers is
            // read.
            let _ = sender.force_send(update);
        }
    }
}

fn update_peers(shared: &Shared, senders: &mut HashMap<SocketAddr, Sender<BacklogMessage>>) {
    let own = shared.settings.load().vm.clone();
    let others = Members::read(shared).others(&own, MAX_PEERS);
    senders.retain(|address, sender| others.contains(address) && !sender.is_closed());
    for address in others {
        senders.entry(address).or_insert_with(|| {
            let (sender, receiver) = async_channel::bounded(1);
            task::spawn(send_updates(address, receiver));
            sender
        });
    }
}

/// Sends all updates to one router.
async fn send_updates(address: SocketAddr, updates: Receiver<BacklogMessage>) {
    let mut connected = None;
    while let Ok(update) = updates.recv().await {
        match send_once(connected.take(), address, update).await {
            Ok(peer) => connected = Some(peer),
            Err(err) => {
                log::debug!(router:% = address, why:% = err; "backlog: cannot send to a router");
                task::sleep(RETRY_DELAY).await;
            }
        }
    }
}

async fn send_once(
    connected: Option<Upstream>,
    address: SocketAddr,
    update: BacklogMessage,
) -> Result<Upstream, PeerError> {
    let peer = match connected {
        Some(peer) => peer,
        None => Upstream::connect(address, CALL_TIMEOUT).await?,
    };
    peer.backlog(update, CALL_TIMEOUT).await?;
    Ok(peer)
}

/// Applies an update from another router.
pub fn apply(shared: &Shared, update: &BacklogMessage) {
    let now = shared.clock.now();
    let backlog = Backlog {
        tokens: update.backlogs.clone(),
        lane_tokens: update.lane_tokens.clone(),
    };
    // The report is assumed to be as old as possible. Otherwise a report that returns to its sender would seem newer
    // than the original.
    let rate = |RateMessage(endpoint, rate, age): &RateMessage| RateUpdate {
        endpoint: *endpoint,
        rate: *rate,
        reported_at: now.saturating_sub(Duration::from_millis(*age) + CALL_TIMEOUT),
    };
    let rates: Vec<RateUpdate> = update.rates.iter().map(rate).collect();
    let mut fleet = shared.fleet();
    fleet.update_backlog(&update.router, &backlog, now);
    if fleet.merge_rates(&rates, now) {
        let rated = fleet.rate_limited_count();
        drop(fleet);
        shared.metrics.rated.set(rated as i64);
        log::info!(router = update.router.as_str(), rated = rated; "endpoint: rate limit received from another router");
        shared.backlog_changed();
    }
}

fn age(reported_at: Duration, now: Duration) -> u64 {
    now.saturating_sub(reported_at).as_millis() as u64
}
