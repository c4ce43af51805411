//! Reads the events of the prefix cache stores. A router that watches the site's store reads them directly. Other
//! routers read them from the router that they follow, because a prefix cache store serves few readers at once.

use super::{Members, loads, relay};
use crate::connections::CallConnection;
use crate::shared::Shared;
use async_std::task;
use dispatch::prefixes::PrefixEvents;
use ids::VmId;
use peers::{PeerError, PrefixPage, PrefixQuery, Upstream};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Shortest interval between reads. The events are some hundred milliseconds late in any case.
const POLL_INTERVAL: Duration = Duration::from_millis(600);
/// Interval between calls to the followed router. The load reports that it returns are of little use after a second.
const FOLLOW_INTERVAL: Duration = Duration::from_millis(400);
/// Shortest interval while a page contains many events. A store keeps only the newest events, several hundred of them.
const BUSY_INTERVAL: Duration = Duration::from_millis(150);
/// Number of events in a page from which a store counts as busy.
const BUSY_EVENTS: usize = 150;
/// How long a store may wait for the first event. Shorter waits cost as much as a probe.
const EVENT_WAIT: Duration = Duration::from_millis(400);
/// How much longer the response may take.
const RESPONSE_GRACE: Duration = Duration::from_millis(400);
/// Longest wait for the followed router's response. The first one may contain some thousand parts.
const FOLLOW_TIMEOUT: Duration = Duration::from_millis(1_000);

/// The stores that are watched. Each has its own task, so that an unresponsive store does not delay the events of
/// others.
#[derive(Clone, Default)]
struct WatchedStores(Arc<Mutex<HashSet<SocketAddr>>>);

impl WatchedStores {
    fn lock(&self) -> MutexGuard<'_, HashSet<SocketAddr>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection to the followed router.
struct UpstreamConnection {
    vm: VmId,
    upstream: Upstream,
    /// When the last call was made.
    last: Duration,
}

/// Follows the prefix cache stores until the process exits.
pub async fn follow_prefixes(shared: Arc<Shared>) {
    let watched = WatchedStores::default();
    let mut upstream = None;
    loop {
        let interval = if upstream.is_some() {
            FOLLOW_INTERVAL
        } else {
            POLL_INTERVAL
        };
        task::sleep(interval).await;
        let stores = shared.site.load().as_ref().map(|site| site.prefix_stores());
        let stores = stores.unwrap_or_default();
        shared.prefixes().set_addresses(&stores);
        shared.relay.keep_prefixes(&stores);
        if !shared.watches_store.load(Ordering::SeqCst) {
            follow_upstream(&shared, &mut upstream).await;
            continue;
        }
        for store in stores {
            if watched.lock().insert(store) {
                task::spawn(watch(shared.clone(), watched.clone(), store));
            }
        }
    }
}

fn positions(shared: &Shared) -> Vec<PrefixQuery> {
    let prefixes = shared.prefixes();
    let follow = |(store, incarnation, next)| PrefixQuery {
        store,
        incarnation,
        next,
    };
    prefixes.positions().map(follow).collect()
}

/// Reads the events of one store while this router watches the site's store and the document lists the prefix cache
/// store.
async fn watch(shared: Arc<Shared>, watched: WatchedStores, store: SocketAddr) {
    let mut failing = false;
    let mut connection = CallConnection::to_prefix_store(store);
    while shared.watches_store.load(Ordering::SeqCst) {
        let position = positions(&shared).into_iter().find(|follow| follow.store == store);
        let Some(position) = position else { break };
        let mut interval = POLL_INTERVAL;
        match ask_store(&shared, &mut connection, &position).await {
            Ok(Some(page)) => {
                failing = false;
                interval = if page.events.len() >= BUSY_EVENTS {
                    BUSY_INTERVAL
                } else {
                    POLL_INTERVAL
                };
                shared.relay.prefixes(store, &page);
                shared.prefixes().apply(store, &page, shared.clock.now());
            }
            Ok(None) => {}
            Err(why) => {
                if !failing {
                    log::warn!(store:% = store, why = why.as_str(); "prefix store: unreachable");
                }
                failing = true;
            }
        }
        task::sleep(interval).await;
    }
    watched.lock().remove(&store);
}

/// Reads a page of a store's events; none if the store has too many readers.
async fn ask_store(
    shared: &Shared,
    connection: &mut CallConnection,
    position: &PrefixQuery,
) -> Result<Option<PrefixEvents>, String> {
    let (call, headers) = (shared.dialect.events_call)(position.next, EVENT_WAIT);
    match connection.call(&call, &headers, EVENT_WAIT + RESPONSE_GRACE).await {
        Ok((200, body)) => {
            let events = (shared.dialect.parse_events)(&body).map_err(|err| err.to_string())?;
            Ok(Some(events))
        }
        Ok((429, _)) => Ok(None),
        Ok((status, _)) => Err(format!("status {status}")),
        Err(err) => Err(err.to_string()),
    }
}

/// Reads events from the first router that responds, and keeps that connection.
async fn follow_upstream(shared: &Shared, upstream_connection: &mut Option<UpstreamConnection>) {
    let settings = shared.settings.load_full();
    let upstreams = Members::read(shared).upstreams(&settings.vm, &settings.domain);
    for (vm, address) in upstreams {
        let connection = upstream_connection.take().filter(|connection| connection.vm == vm);
        let last = connection
            .as_ref()
            .map(|connection| connection.last)
            .unwrap_or_default();
        match call_upstream(shared, connection.map(|connection| connection.upstream), address, last).await {
            Ok((upstream, pages, requested_at)) => {
                *upstream_connection = Some(UpstreamConnection {
                    vm,
                    upstream,
                    last: requested_at,
                });
                let now = shared.clock.now();
                for page in pages {
                    let events = relay::page_events(&page);
                    shared.relay.prefixes(page.store, &events);
                    shared.prefixes().apply(page.store, &events, now);
                }
                return;
            }
            Err(err) => log::debug!(router = vm.as_str(), why:% = err; "prefix store: no response from a router"),
        }
    }
}

async fn call_upstream(
    shared: &Shared,
    connected: Option<Upstream>,
    address: SocketAddr,
    last: Duration,
) -> Result<(Upstream, Vec<PrefixPage>, Duration), PeerError> {
    let upstream = match connected {
        Some(upstream) => upstream,
        None => Upstream::connect(address, FOLLOW_TIMEOUT).await?,
    };
    let requested_at = shared.clock.now();
    loads::exchange(shared, &upstream, last).await?;
    let follow = positions(shared);
    let pages = if follow.is_empty() {
        Vec::new()
    } else {
        upstream.prefixes(follow, FOLLOW_TIMEOUT).await?
    };
    Ok((upstream, pages, requested_at))
}
