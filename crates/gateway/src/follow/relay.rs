//! This router's copy of the store's contents, for the routers that follow it.

use super::{MAX_STORE_AGE, documents, loads, uptime, weight_ages};
use crate::news;
use crate::origins;
use crate::quarantine;
use crate::shared::Shared;
use crate::tunnel;
use async_std::future::timeout;
use dispatch::prefixes::{PartKey, PrefixEvent, PrefixEvents};
use futures::FutureExt;
use futures::channel::oneshot;
use peers::{
    Follow, FollowResponse, PACK_MIN_BYTES, PeerError, PrefixPage, PrefixQuery, RelayHandlers, RelayItem, pack, unpack,
};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use store::items::{Change, Item, ItemLog, Position};

/// Longest time that a follower's request waits, even if it asks for more.
const MAX_WAIT: Duration = Duration::from_secs(2);
/// Events kept for followers per prefix cache store. This covers several seconds at a large site.
const MAX_PREFIX_EVENTS: usize = 8_000;

/// The copy, and the followers that wait for the next change.
#[derive(Default)]
pub struct RelayState {
    /// The items and their changes.
    pub log: ItemLog,
    waiting: Vec<oneshot::Sender<()>>,
    /// Compressed values of large items, with the revision of the item.
    packed: BTreeMap<String, (u64, String)>,
    prefixes: BTreeMap<SocketAddr, PrefixEvents>,
}

/// The copy, shared by the control thread, which writes it, and by followers' calls.
#[derive(Default)]
pub struct Relay(Mutex<RelayState>);

impl Relay {
    /// Locks the copy.
    pub fn lock(&self) -> MutexGuard<'_, RelayState> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Position in the store's history that the copy is complete up to; none before the first read.
    pub fn position(&self) -> Option<Position> {
        self.lock().log.position()
    }

    /// Replaces all items with those at a position.
    pub fn replace(&self, items: &[Item], position: Position) {
        let mut state = self.lock();
        state.log.replace(items, position);
        // In another era, the same revision denotes another value.
        state.packed.clear();
        state.wake_followers();
    }

    /// Applies changes up to a position. `confirm` records the new freshness under the same lock. Otherwise a follower
    /// could receive the new freshness with the old items, and permanently use a key or weights that were replaced
    /// during an outage.
    pub fn apply(&self, changes: &[Change], position: Position, confirm: impl FnOnce()) {
        let mut state = self.lock();
        state.log.apply(changes, position);
        state.drop_packed();
        confirm();
        state.wake_followers();
    }

    /// Keeps only the prefix cache stores that the document lists.
    pub fn keep_prefixes(&self, stores: &[SocketAddr]) {
        self.lock().prefixes.retain(|store, _| stores.contains(store));
    }

    /// Appends the events that were read from a prefix cache store.
    pub fn prefixes(&self, store: SocketAddr, page: &PrefixEvents) {
        let mut state = self.lock();
        let kept = state.prefixes.entry(store).or_default();
        if kept.incarnation != page.incarnation {
            *kept = PrefixEvents::default();
        }
        kept.incarnation = page.incarnation;
        kept.next = page.next;
        kept.events.extend(page.events.iter().cloned());
        let old = kept.events.len().saturating_sub(MAX_PREFIX_EVENTS);
        kept.events.drain(..old);
    }
}

impl RelayState {
    /// The compressed value of an item, computed once for all followers; none if the value is small or compressing it
    /// fails.
    fn packed(&mut self, item: &Item) -> Option<String> {
        if item.value.len() < PACK_MIN_BYTES {
            return None;
        }
        if let Some((revision, packed)) = self.packed.get(&item.key)
            && *revision == item.revision
        {
            return Some(packed.clone());
        }
        match pack(&item.value) {
            Ok(packed) => {
                let kept = (item.revision, packed.clone());
                self.packed.insert(item.key.clone(), kept);
                Some(packed)
            }
            Err(err) => {
                log::warn!(key = item.key.as_str(), why:% = err; "cannot compress a value, sending it uncompressed");
                None
            }
        }
    }

    /// Removes compressed values of items that no longer exist.
    fn drop_packed(&mut self) {
        let log = &self.log;
        self.packed
            .retain(|key, _| log.with_prefix(key).any(|item| item.key == *key));
    }

    fn wake_followers(&mut self) {
        for follower in self.waiting.drain(..) {
            // A follower that stopped waiting asks again.
            let _ = follower.send(());
        }
    }

    fn prefixes_since(&self, follow: &PrefixQuery) -> Option<PrefixPage> {
        let kept = self.prefixes.get(&follow.store)?;
        let first = kept.events.first().map_or(kept.next, |event| event.number);
        let gap = follow.incarnation != kept.incarnation || follow.next < first;
        let newer = kept.events.iter().filter(|event| gap || event.number >= follow.next);
        // Only the last event of each part matters.
        let states: BTreeMap<PartKey, bool> = newer.map(|event| (event.part, event.held)).collect();
        let parts = |is_held: bool| {
            let parts = states.iter().filter(move |(_, held)| **held == is_held);
            parts.map(|(part, _)| *part).collect()
        };
        Some(PrefixPage {
            store: follow.store,
            incarnation: kept.incarnation,
            next: kept.next,
            held: parts(true),
            gone: parts(false),
        })
    }
}

/// Handlers for followers' calls.
pub fn handlers(shared: &Arc<Shared>) -> RelayHandlers {
    let (items, prefixes) = (shared.clone(), shared.clone());
    let (fleet, ages, store) = (shared.clone(), shared.clone(), shared.clone());
    let (report, subtotal, site) = (shared.clone(), shared.clone(), shared.clone());
    let (paths, ends, holds) = (shared.clone(), shared.clone(), shared.clone());
    let (told, asked) = (shared.clone(), shared.clone());
    RelayHandlers {
        follow: Arc::new(move |follow| follow_items(items.clone(), follow).boxed()),
        prefixes: Arc::new(move |follow| {
            let now = prefixes.clock.now();
            // The last events of an unresponsive store are out of date. Engines would wait for its parts in vain.
            let alive = |follow: &&PrefixQuery| prefixes.prefixes().is_available(follow.store, now);
            let asked: Vec<&PrefixQuery> = follow.iter().filter(alive).collect();
            let state = prefixes.relay.lock();
            let pages = asked
                .into_iter()
                .filter_map(|follow| state.prefixes_since(follow))
                .collect();
            futures::future::ready(pages).boxed()
        }),
        loads: Arc::new(move |request| futures::future::ready(loads::handle(&fleet, &request)).boxed()),
        report: Arc::new(move |message| futures::future::ready(news::handle_report(&report, message)).boxed()),
        subtotal: Arc::new(move |message| {
            news::handle_subtotal(&subtotal, message);
            futures::future::ready(()).boxed()
        }),
        ends: Arc::new(move |message| {
            let shared = ends.clone();
            async move { quarantine::handle(&shared, message).await }.boxed()
        }),
        parts: Arc::new(move |message| {
            let held = holds.part_holds.handle(&message, holds.clock.now());
            futures::future::ready(held).boxed()
        }),
        origins: Arc::new(move |messages| {
            origins::handle(&told, messages);
            futures::future::ready(()).boxed()
        }),
        origin: Arc::new(move |query| futures::future::ready(origins::respond(&asked, &query)).boxed()),
        target_ages: Arc::new(move |()| futures::future::ready(weight_ages::response(&ages)).boxed()),
        uptime: Arc::new(move |()| futures::future::ready(uptime::response(&store)).boxed()),
        document: Arc::new(move |()| futures::future::ready(documents::response(&site)).boxed()),
        tunnel: Arc::new(move |stream| tunnel::serve(paths.clone(), stream).boxed()),
    }
}

async fn follow_items(shared: Arc<Shared>, follow: Follow) -> FollowResponse {
    let asked = shared.clock.now();
    // A follower abandons a router whose data is too old, so the response is sent before that. A later response would
    // delay the next change by as much.
    let limit = MAX_STORE_AGE.saturating_sub(shared.uptime().age(asked).unwrap_or(MAX_STORE_AGE));
    let wait = Duration::from_millis(follow.wait_ms).min(MAX_WAIT).min(limit);
    let (after, changed) = {
        let mut state = shared.relay.lock();
        let after = after(&follow, state.log.position());
        let changed = if state.log.has_changes(after) {
            None
        } else {
            let (sender, receiver) = oneshot::channel();
            state.waiting.push(sender);
            Some(receiver)
        };
        (after, changed)
    };
    if let Some(changed) = changed {
        // Without changes, the response still confirms that the contents are current.
        let _ = timeout(wait, changed).await;
    }
    let waited = shared.clock.now().saturating_sub(asked);
    let mut state = shared.relay.lock();
    let since = state.log.since(after);
    let era = since.position.map_or(0, |position| position.era);
    let age = shared.freshness().age_in(era, shared.clock.now());
    let answers = uptime::response(&shared);
    let mut removed = since.removed;
    let mut items = Vec::with_capacity(since.items.len());
    for item in since.items {
        let packed = follow.unpacks.then(|| state.packed(&item)).flatten();
        // A value that is not UTF-8 cannot name anything that a router uses. If it were left out, followers would keep
        // the previous value.
        match to_relay_item(item, packed) {
            Ok(item) => items.push(item),
            Err(key) => removed.push(key),
        }
    }
    drop(state);
    FollowResponse {
        revision: since.position.map(|position| position.revision),
        era: since.position.map(|position| position.era),
        whole: since.whole,
        items,
        removed,
        age_ms: age.map(|age| age.as_millis() as u64),
        answers,
        waited_ms: waited.as_millis() as u64,
    }
}

/// The position of a follower. A follower that sends no era is assumed to be in this router's era.
fn after(follow: &Follow, own: Option<Position>) -> Option<Position> {
    let own = own.map(|position| position.era);
    follow.after.map(|revision| Position {
        era: follow.era.or(own).unwrap_or_default(),
        revision,
    })
}

/// Converts an item for a follower. Returns its key if the value is not UTF-8.
fn to_relay_item(item: Item, packed: Option<String>) -> Result<RelayItem, String> {
    let is_packed = packed.is_some();
    let value = match packed {
        Some(packed) => packed,
        None => String::from_utf8(item.value).map_err(|_| item.key.clone())?,
    };
    Ok(RelayItem {
        key: item.key,
        value,
        packed: is_packed,
        revision: item.revision,
        created: item.created,
        lease: item.lease,
    })
}

/// Converts an item that a follower received.
///
/// # Errors
/// The compressed value cannot be decompressed.
pub fn from_relay_item(relayed: RelayItem) -> Result<Item, PeerError> {
    let value = if relayed.packed {
        unpack(&relayed.value)?
    } else {
        relayed.value.into_bytes()
    };
    Ok(Item {
        key: relayed.key,
        value,
        revision: relayed.revision,
        created: relayed.created,
        lease: relayed.lease,
    })
}

/// Converts a page that a follower received into events that occurred just before the end of the page.
pub fn page_events(page: &PrefixPage) -> PrefixEvents {
    let number = page.next.saturating_sub(1);
    let event = |held: bool| {
        move |part: &PartKey| PrefixEvent {
            number,
            held,
            part: *part,
        }
    };
    let removed = page.gone.iter().map(event(false));
    PrefixEvents {
        incarnation: page.incarnation,
        next: page.next,
        gap: false,
        events: removed.chain(page.held.iter().map(event(true))).collect(),
    }
}
