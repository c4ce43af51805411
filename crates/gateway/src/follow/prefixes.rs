//! Follows the events of the stores of cached prefixes: directly where this router watches the site's store, by another
//! router otherwise, since a store of prefixes answers few at a time.

use super::{Members, loads, relay};
use crate::link::Line;
use crate::shared::Shared;
use async_std::task;
use dispatch::prefixes::PrefixEvents;
use ids::VmId;
use peers::{Leader, PeerError, PrefixFollow, PrefixPage};
use std::collections::HashSet;
use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Least time between two questions: what a store tells is late by some hundred milliseconds anyway.
const PACE: Duration = Duration::from_millis(600);
/// Time between two questions to another router: what it tells of endpoints' loads is worth little after a second.
const FOLLOW_PACE: Duration = Duration::from_millis(400);
/// Least time while a page brings many events: a store keeps only the newest, several hundred of them.
const BUSY_PACE: Duration = Duration::from_millis(150);
/// Events of a page from which on a store counts as busy.
const MANY: usize = 150;
/// How long a store may wait for the first event; shorter waits cost as much as a probe.
const WAIT: Duration = Duration::from_millis(400);
/// How much longer its answer may take.
const GRACE: Duration = Duration::from_millis(400);
/// Longest wait for another router's answer. The first one may hold some thousand parts.
const FOLLOW: Duration = Duration::from_millis(1_000);

/// Stores that are being watched. Each has a task of its own, so that a silent one does not hold up the others' events.
#[derive(Clone, Default)]
struct Watches(Arc<Mutex<HashSet<SocketAddr>>>);

impl Watches {
    fn lock(&self) -> MutexGuard<'_, HashSet<SocketAddr>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection to the router that is followed.
struct Kept {
    vm: VmId,
    leader: Leader,
    /// When it was asked last.
    last: Duration,
}

/// Follows the stores until the process ends.
pub async fn follow_prefixes(shared: Arc<Shared>) {
    let watches = Watches::default();
    let mut leader = None;
    loop {
        let pace = if leader.is_some() { FOLLOW_PACE } else { PACE };
        task::sleep(pace).await;
        let stores = shared.site.load().as_ref().map(|site| site.prefix_stores());
        let stores = stores.unwrap_or_default();
        shared.prefixes().located(&stores);
        shared.relay.keep_prefixes(&stores);
        if !shared.watches.load(Ordering::SeqCst) {
            follow_leader(&shared, &mut leader).await;
            continue;
        }
        for store in stores {
            if watches.lock().insert(store) {
                task::spawn(watch(shared.clone(), watches.clone(), store));
            }
        }
    }
}

fn positions(shared: &Shared) -> Vec<PrefixFollow> {
    let prefixes = shared.prefixes();
    let follow = |(store, life, next)| PrefixFollow { store, life, next };
    prefixes.positions().map(follow).collect()
}

/// Asks one store again and again, while this router is to watch and the document names the store.
async fn watch(shared: Arc<Shared>, watches: Watches, store: SocketAddr) {
    let mut failing = false;
    let mut line = Line::new(store);
    while shared.watches.load(Ordering::SeqCst) {
        let position = positions(&shared).into_iter().find(|follow| follow.store == store);
        let Some(position) = position else { break };
        let mut pace = PACE;
        match ask_store(&shared, &mut line, &position).await {
            Ok(Some(page)) => {
                failing = false;
                pace = if page.events.len() >= MANY { BUSY_PACE } else { PACE };
                shared.relay.prefixes(store, &page);
                shared.prefixes().told(store, &page, shared.clock.now());
            }
            Ok(None) => {}
            Err(why) => {
                if !failing {
                    log::warn!(store:% = store, why = why.as_str(); "prefix store: lost");
                }
                failing = true;
            }
        }
        task::sleep(pace).await;
    }
    watches.lock().remove(&store);
}

/// A page of a store's; none if it answers too many at once.
async fn ask_store(shared: &Shared, line: &mut Line, position: &PrefixFollow) -> Result<Option<PrefixEvents>, String> {
    let (call, headers) = (shared.dialect.events_call)(position.next, WAIT);
    match line.ask(&call, &headers, WAIT + GRACE).await {
        Ok((200, body)) => {
            let told = (shared.dialect.parse_events)(&body).map_err(|err| err.to_string())?;
            Ok(Some(told))
        }
        Ok((429, _)) => Ok(None),
        Ok((status, _)) => Err(format!("status {status}")),
        Err(err) => Err(err.to_string()),
    }
}

/// Asks a router that watches; the connection that answered is kept.
async fn follow_leader(shared: &Shared, kept: &mut Option<Kept>) {
    let settings = shared.settings.load_full();
    let leaders = Members::read(shared).leaders(&settings.vm, &settings.domain);
    for (vm, address) in leaders {
        let known = kept.take().filter(|known| known.vm == vm);
        let last = known.as_ref().map(|known| known.last).unwrap_or_default();
        match ask_leader(shared, known.map(|known| known.leader), address, last).await {
            Ok((leader, pages, asked)) => {
                *kept = Some(Kept {
                    vm,
                    leader,
                    last: asked,
                });
                let now = shared.clock.now();
                for page in pages {
                    let told = relay::events(&page);
                    shared.relay.prefixes(page.store, &told);
                    shared.prefixes().told(page.store, &told, now);
                }
                return;
            }
            Err(err) => log::debug!(router = vm.as_str(), why:% = err; "prefix store: a router does not answer"),
        }
    }
}

async fn ask_leader(
    shared: &Shared,
    known: Option<Leader>,
    address: SocketAddr,
    last: Duration,
) -> Result<(Leader, Vec<PrefixPage>, Duration), PeerError> {
    let leader = match known {
        Some(leader) => leader,
        None => Leader::connect(address, FOLLOW).await?,
    };
    let asked = shared.clock.now();
    loads::exchange(shared, &leader, last).await?;
    let follow = positions(shared);
    let pages = if follow.is_empty() {
        Vec::new()
    } else {
        leader.prefixes(follow, FOLLOW).await?
    };
    Ok((leader, pages, asked))
}
