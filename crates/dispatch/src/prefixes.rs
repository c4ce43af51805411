//! What the stores of cached prefixes hold, as far as their events tell, and which one keeps a prefix.
//!
//! Load pattern: engines' memory holds the prefixes of a few seconds; what yields is read again by the next request, at the
//! price of a prompt's whole length. The store holds many times more. It is filled by engines that are told to, so each
//! shared part should be sent there once, and nothing that nobody else will ask for: it drops the least recently used.
//!
//! A site may have several stores. Each prefix has its place in one of them, by the same hash at every router, so that together
//! they hold as much as they have room for; were one used alone, it would drop within seconds what the others have room for.
//!
//! Events come late and with gaps, and latest to routers that hear of them by others. An engine is always told to ask the place
//! of its prefix: a vain question costs it a millisecond, reading 6,000 tokens again 75. Events only say what need not be sent.

use crate::fleet::PromptPart;
use ids::WorkspaceId;
use placement::{EndpointKey, score};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A store that has not answered for this long is left alone: an engine that asks a dead one waits for some hundred
/// milliseconds.
const SILENT: Duration = Duration::from_millis(1_500);
/// Parts that are remembered at most, about 100 bytes each: some ten times what the sites' stores hold.
const MOST_PARTS: usize = 20_000;
/// How long an event is trusted: the one that says that the part has gone may be among those that were lost. Sending it
/// again also shows the store that it is in use.
const TRUSTED: Duration = Duration::from_secs(16);
/// How long a part counts as sent before an event confirms it: the events' lag and the time until a prompt is read.
const UNDER_WAY: Duration = Duration::from_millis(1_500);

/// Stands for a part within a scope, in 32 bits: routers tell each other hundreds of them a second over links of 10 Mbit/s. Two of
/// the sites' 20,000 parts share a key with a chance of one in twenty; one of them is then sent too seldom.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartKey(pub u32);

impl PartKey {
    /// The key of a part that was made under a scope.
    pub fn new(salt: &str, part: u64) -> Self {
        let hash = xxh3_64_with_seed(salt.as_bytes(), part);
        Self((hash >> u32::BITS) as u32)
    }
}

/// One event of a store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefixEvent {
    /// Its number.
    pub number: u64,
    /// Whether the part is held now.
    pub held: bool,
    /// The part, and the scope that it was made under.
    pub part: PartKey,
}

/// A page of events.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PrefixEvents {
    /// The store's life; another one begins empty. 0 if none is known.
    pub life: u64,
    /// Number to ask on from.
    pub next: u64,
    /// Whether events are missing before these.
    pub gap: bool,
    /// In order.
    pub events: Vec<PrefixEvent>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Held {
    /// An engine was told to send it, at this time.
    Sent(Duration),
    /// An event said that it is there, at this time.
    Confirmed(Duration),
}

/// What to tell an engine about the store.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Transfers {
    /// Fetch from there what it lacks.
    pub fetch: Option<SocketAddr>,
    /// Send there what it has read.
    pub save: Option<SocketAddr>,
}

/// Beliefs about all stores of a site.
#[derive(Debug, Clone, Default)]
pub struct PrefixStores(BTreeMap<SocketAddr, PrefixStore>);

impl PrefixStores {
    /// Where the stores are; new ones are believed empty.
    pub fn located(&mut self, addresses: &[SocketAddr]) {
        self.0.retain(|address, _| addresses.contains(address));
        for address in addresses {
            let store = self.0.entry(*address).or_default();
            store.located(Some(*address));
        }
    }

    /// A store answered. One that the document doesn't name any more is not believed.
    pub fn told(&mut self, address: SocketAddr, page: &PrefixEvents, now: Duration) {
        if let Some(store) = self.0.get_mut(&address) {
            store.told(page, now);
        }
    }

    /// Whether a store has answered lately.
    pub fn alive(&self, address: SocketAddr, now: Duration) -> bool {
        self.0.get(&address).is_some_and(|store| store.alive(now))
    }

    /// The stores, each with its life and the number of the first event that is not known.
    pub fn positions(&self) -> impl Iterator<Item = (SocketAddr, u64, u64)> {
        self.0.iter().map(|(address, store)| (*address, store.life, store.next))
    }

    /// What to tell the engine that gets a prompt of these shared parts, made under a scope. Each innermost part has its own place;
    /// but those of an isolated workspace stay with the outermost one, which that workspace's few requests would otherwise make
    /// engines read once for each store.
    pub fn transfers(
        &mut self,
        salt: &str,
        isolated: Option<&WorkspaceId>,
        shared: &[PromptPart],
        own: u64,
        now: Duration,
    ) -> Transfers {
        let [first, ..] = shared else {
            return Transfers::default();
        };
        let innermost = shared.last().unwrap_or(first).id;
        let kept_by = isolated.map_or(innermost, |own| xxh3_64_with_seed(own.as_str().as_bytes(), first.id));
        let alive = self.0.values_mut().filter(|store| store.alive(now));
        let Some(store) = alive.max_by_key(|store| score(kept_by, store.key)) else {
            return Transfers::default();
        };
        store.transfers(salt, shared, own, now)
    }
}

/// Beliefs about one store.
#[derive(Debug, Clone, Default)]
pub struct PrefixStore {
    address: Option<SocketAddr>,
    /// Its address in hashes, kept since every request ranks all stores by it.
    key: EndpointKey,
    life: u64,
    next: u64,
    answered: Option<Duration>,
    parts: HashMap<PartKey, Held>,
}

impl PrefixStore {
    /// Where the store is, if there is one; another one is believed empty.
    pub fn located(&mut self, address: Option<SocketAddr>) {
        if address != self.address {
            let text = address.map(|address| address.to_string()).unwrap_or_default();
            *self = Self {
                address,
                key: EndpointKey(xxh3_64(text.as_bytes())),
                ..Self::default()
            };
        }
    }

    fn alive(&self, now: Duration) -> bool {
        self.answered.is_some_and(|at| now.saturating_sub(at) < SILENT)
    }

    /// The store answered.
    pub fn told(&mut self, page: &PrefixEvents, now: Duration) {
        self.answered = Some(now);
        self.next = page.next;
        if page.life != self.life || self.parts.len() > MOST_PARTS {
            self.parts.clear();
            self.life = page.life;
        }
        for event in &page.events {
            if event.held {
                self.parts.insert(event.part, Held::Confirmed(now));
            } else {
                self.parts.remove(&event.part);
            }
        }
    }

    /// What to tell the engine that gets a prompt of these shared parts.
    pub fn transfers(&mut self, salt: &str, shared: &[PromptPart], own: u64, now: Duration) -> Transfers {
        if !self.alive(now) || shared.is_empty() {
            return Transfers::default();
        }
        let sent = |part: &PartKey| match self.parts.get(part) {
            Some(Held::Confirmed(at)) => now.saturating_sub(*at) < TRUSTED,
            Some(Held::Sent(at)) => now.saturating_sub(*at) < UNDER_WAY,
            None => false,
        };
        let keys = shared.iter().map(|part| (PartKey::new(salt, part.id), part.tokens));
        let missing: Vec<(PartKey, u64)> = keys.filter(|(key, _)| !sent(key)).collect();
        let tokens: u64 = missing.iter().map(|(_, tokens)| tokens).sum();
        let save = tokens > 0 && tokens >= own;
        for (part, _) in missing.into_iter().filter(|_| save) {
            let there = matches!(self.parts.get(&part), Some(Held::Confirmed(_)));
            let held = if there { Held::Confirmed(now) } else { Held::Sent(now) };
            self.parts.insert(part, held);
        }
        Transfers {
            fetch: self.address,
            save: self.address.filter(|_| save),
        }
    }
}
