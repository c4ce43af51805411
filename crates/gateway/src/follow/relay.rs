//! What this router knows of the store, for the routers that follow it.

use super::{CURRENT, backlogs, documents, loads, names, uptime};
use crate::shared::Shared;
use async_std::future::timeout;
use dispatch::prefixes::{PartKey, PrefixEvent, PrefixEvents};
use futures::FutureExt;
use futures::channel::oneshot;
use peers::{Answer, Follow, Followed, PACKED_FROM, PeerError, PrefixFollow, PrefixPage, RelayItem, pack, unpack};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use store::items::{Change, Item, ItemLog, Position};

/// Longest time that an answer waits, whatever the follower says.
const MOST_WAIT: Duration = Duration::from_secs(2);
/// Events of each store of cached prefixes that are kept for followers: several seconds of a grown site.
const PREFIX_EVENTS: usize = 8_000;

/// The items, and followers that wait for the next change.
#[derive(Default)]
pub struct Known {
    /// The items.
    pub log: ItemLog,
    waiting: Vec<oneshot::Sender<()>>,
    /// Packed values of large items, each with its item's revision.
    packed: BTreeMap<String, (u64, String)>,
    prefixes: BTreeMap<SocketAddr, PrefixEvents>,
}

/// Shared by the control thread, which writes, and by followers' calls.
#[derive(Default)]
pub struct Relay(Mutex<Known>);

impl Relay {
    /// What is known.
    pub fn lock(&self) -> MutexGuard<'_, Known> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Everything as of a position.
    pub fn replace(&self, items: &[Item], position: Position) {
        let mut known = self.lock();
        known.log.replace(items, position);
        // In another era a revision stands for another value.
        known.packed.clear();
        known.wake();
    }

    /// Changes up to a position. `confirm` notes how fresh that is: in one step with the changes, or a follower could be told
    /// the new freshness with the old items, and take a key or weights for good that were replaced during an outage.
    pub fn apply(&self, changes: &[Change], position: Position, confirm: impl FnOnce()) {
        let mut known = self.lock();
        known.log.apply(changes, position);
        known.drop_packed();
        confirm();
        known.wake();
    }

    /// Stores of cached prefixes that the document names; what is known of others goes.
    pub fn keep_prefixes(&self, stores: &[SocketAddr]) {
        self.lock().prefixes.retain(|store, _| stores.contains(store));
    }

    /// Events of a store of cached prefixes, as they were read.
    pub fn prefixes(&self, store: SocketAddr, page: &PrefixEvents) {
        let mut known = self.lock();
        let kept = known.prefixes.entry(store).or_default();
        if kept.incarnation != page.incarnation {
            *kept = PrefixEvents::default();
        }
        kept.incarnation = page.incarnation;
        kept.next = page.next;
        kept.events.extend(page.events.iter().cloned());
        let old = kept.events.len().saturating_sub(PREFIX_EVENTS);
        kept.events.drain(..old);
    }
}

impl Known {
    /// The item's value packed, which is done once for all followers; none if it is small or can't be packed.
    fn packed(&mut self, item: &Item) -> Option<String> {
        if item.value.len() < PACKED_FROM {
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
                log::warn!(key = item.key.as_str(), why:% = err; "a value is told as it is");
                None
            }
        }
    }

    /// Forgets packed values of keys that have gone.
    fn drop_packed(&mut self) {
        let log = &self.log;
        self.packed.retain(|key, _| log.under(key).any(|item| item.key == *key));
    }

    fn wake(&mut self) {
        for follower in self.waiting.drain(..) {
            // One that no longer waits asks again.
            let _ = follower.send(());
        }
    }

    fn prefixes_since(&self, follow: &PrefixFollow) -> Option<PrefixPage> {
        let kept = self.prefixes.get(&follow.store)?;
        let first = kept.events.first().map_or(kept.next, |event| event.number);
        let gap = follow.life != kept.incarnation || follow.next < first;
        let newer = kept.events.iter().filter(|event| gap || event.number >= follow.next);
        // What became of a part last is what counts.
        let states: BTreeMap<PartKey, bool> = newer.map(|event| (event.part, event.held)).collect();
        let parts = |wanted: bool| {
            let parts = states.iter().filter(move |(_, held)| **held == wanted);
            parts.map(|(part, _)| *part).collect()
        };
        Some(PrefixPage {
            store: follow.store,
            life: kept.incarnation,
            next: kept.next,
            held: parts(true),
            gone: parts(false),
        })
    }
}

/// Answers followers from what this router knows.
pub fn answer(shared: &Arc<Shared>) -> Answer {
    let (items, prefixes) = (shared.clone(), shared.clone());
    let (fleet, known, store) = (shared.clone(), shared.clone(), shared.clone());
    let (waits, site) = (shared.clone(), shared.clone());
    Answer {
        follow: Arc::new(move |follow| follow_items(items.clone(), follow).boxed()),
        prefixes: Arc::new(move |follow| {
            let now = prefixes.clock.now();
            // What a silent store told last says nothing of now: engines would wait for it in vain.
            let alive = |follow: &&PrefixFollow| prefixes.prefixes().is_available(follow.store, now);
            let asked: Vec<&PrefixFollow> = follow.iter().filter(alive).collect();
            let known = prefixes.relay.lock();
            let pages = asked
                .into_iter()
                .filter_map(|follow| known.prefixes_since(follow))
                .collect();
            futures::future::ready(pages).boxed()
        }),
        loads: Arc::new(move |question| futures::future::ready(loads::answer(&fleet, &question)).boxed()),
        backlog: Arc::new(move |told| {
            backlogs::hear(&waits, &told);
            futures::future::ready(()).boxed()
        }),
        names: Arc::new(move |()| futures::future::ready(names::answer(&known)).boxed()),
        uptime: Arc::new(move |()| futures::future::ready(uptime::answer(&store)).boxed()),
        document: Arc::new(move |()| futures::future::ready(documents::answer(&site)).boxed()),
    }
}

async fn follow_items(shared: Arc<Shared>, follow: Follow) -> Followed {
    let asked = shared.clock.now();
    // A follower leaves a router that has lost the store. Were it told later than that, it would learn of a change that much later.
    let current = CURRENT.saturating_sub(shared.uptime().age(asked).unwrap_or(CURRENT));
    let wait = Duration::from_millis(follow.wait_ms).min(MOST_WAIT).min(current);
    let (after, news) = {
        let mut known = shared.relay.lock();
        let after = after(&follow, known.log.position());
        let news = if known.log.has_news(after) {
            None
        } else {
            let (sender, receiver) = oneshot::channel();
            known.waiting.push(sender);
            Some(receiver)
        };
        (after, news)
    };
    if let Some(news) = news {
        // Without news the answer still tells how fresh all is.
        let _ = timeout(wait, news).await;
    }
    let waited = shared.clock.now().saturating_sub(asked);
    let mut known = shared.relay.lock();
    let since = known.log.since(after);
    let age = shared.freshness().age(shared.clock.now());
    let answers = uptime::answer(&shared);
    let mut removed = since.removed;
    let mut items = Vec::with_capacity(since.items.len());
    for item in since.items {
        let packed = follow.unpacks.then(|| known.packed(&item)).flatten();
        // A value that is no text names nothing that a router could use; left out, the one before it would stay in force.
        match relayed(item, packed) {
            Ok(item) => items.push(item),
            Err(key) => removed.push(key),
        }
    }
    drop(known);
    Followed {
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

/// What a follower knows. One that knows no eras is taken to be in this router's.
fn after(follow: &Follow, own: Option<Position>) -> Option<Position> {
    let own = own.map(|position| position.era);
    follow.after.map(|revision| Position {
        era: follow.era.or(own).unwrap_or_default(),
        revision,
    })
}

/// An item for a follower, or its key if its value is no text.
fn relayed(item: Item, packed: Option<String>) -> Result<RelayItem, String> {
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

/// An item as a follower gets it.
///
/// # Errors
/// Its packed value can't be read.
pub fn item(relayed: RelayItem) -> Result<Item, PeerError> {
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

/// A page as a follower gets it, as events that came right before its end.
pub fn events(page: &PrefixPage) -> PrefixEvents {
    let number = page.next.saturating_sub(1);
    let event = |held: bool| {
        move |part: &PartKey| PrefixEvent {
            number,
            held,
            part: *part,
        }
    };
    let gone = page.gone.iter().map(event(false));
    PrefixEvents {
        incarnation: page.life,
        next: page.next,
        gap: false,
        events: gone.chain(page.held.iter().map(event(true))).collect(),
    }
}
