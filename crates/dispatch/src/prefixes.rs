//! Contents of the prefix stores (shared KV caches) according to their events, and the assignment of prefixes to
//! stores.
//!
//! Load pattern: an engine's memory holds the prefixes of a few seconds. An evicted prefix costs the next request a
//! prefill of the whole prompt. A prefix store holds many times more. It is filled by engines on request of a router,
//! and evicts the least recently used parts. So each shared part should be saved once, and unshared parts never.
//!
//! A deployment may have several stores. Every router assigns a prefix to the same store by hash, so that their
//! capacities add up. If all routers used one store, it would evict within seconds what the others have room for.
//!
//! Events arrive late and with gaps, especially at routers that receive them from peers. An engine is always
//! asked to fetch from the store of its prefix: a miss costs it 1 ms, repeating the prefill of 6,000 tokens 75 ms. The
//! events only decide what need not be saved.

use crate::fleet::PromptPart;
use ids::WorkspaceId;
use placement::{EndpointKey, score};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// A store that hasn't responded for this long is not used, since an engine that asks a failed store waits for some
/// hundred milliseconds.
const STORE_TIMEOUT: Duration = Duration::from_millis(1_500);
/// Maximum number of tracked parts per store, at about 100 bytes each: about ten times the number that the stores hold.
const MAX_PARTS: usize = 20_000;
/// How long a part counts as stored after an event, since the event of its eviction may be lost. Saving it again also
/// marks it as recently used in the store.
const CONFIRMED_TTL: Duration = Duration::from_secs(16);
/// How long a part counts as saved before an event confirms it: the time of the prefill plus the delay of the events.
const REQUESTED_TTL: Duration = Duration::from_millis(1_500);

/// Hash of a part and its cache scope. It has only 32 bits because routers exchange hundreds of keys per second over
/// links of 10 Mbit/s. Among 20,000 parts, two collide with a probability of 1 in 20; one of them is then saved too
/// rarely.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct PartKey(pub u32);

impl PartKey {
    /// The key of a part in a cache scope.
    pub fn new(salt: &str, part: u64) -> Self {
        let hash = xxh3_64_with_seed(salt.as_bytes(), part);
        Self((hash >> u32::BITS) as u32)
    }
}

/// One event of a store.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PrefixEvent {
    /// Sequence number.
    pub number: u64,
    /// Whether the store now holds the part.
    pub held: bool,
    /// Key of the part.
    pub part: PartKey,
}

/// A page of events.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PrefixEvents {
    /// Incarnation of the store; a new one starts empty. 0 if unknown.
    pub incarnation: u64,
    /// Sequence number to continue from.
    pub next: u64,
    /// Whether events before these were lost.
    pub gap: bool,
    /// The events, in order.
    pub events: Vec<PrefixEvent>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PartState {
    /// An engine was asked to save it at this time.
    Requested(Duration),
    /// An event reported it as stored at this time.
    Confirmed(Duration),
}

/// Transfers with a prefix store that an engine is asked to make.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Transfers {
    /// Store to fetch missing prefix parts from.
    pub fetch: Option<SocketAddr>,
    /// Store to save computed prefix parts to.
    pub save: Option<SocketAddr>,
}

/// Estimated contents of all prefix stores.
#[derive(Debug, Clone, Default)]
pub struct PrefixStores(BTreeMap<SocketAddr, PrefixStore>);

impl PrefixStores {
    /// Sets the addresses of the stores. New ones are assumed to be empty.
    pub fn set_addresses(&mut self, addresses: &[SocketAddr]) {
        self.0.retain(|address, _| addresses.contains(address));
        for address in addresses {
            let store = self.0.entry(*address).or_default();
            store.set_address(Some(*address));
        }
    }

    /// Applies a page of events. A store that the configuration no longer contains is ignored.
    pub fn apply(&mut self, address: SocketAddr, page: &PrefixEvents, now: Duration) {
        if let Some(store) = self.0.get_mut(&address) {
            store.apply(page, now);
        }
    }

    /// Whether a store has responded recently.
    pub fn is_available(&self, address: SocketAddr, now: Duration) -> bool {
        self.0.get(&address).is_some_and(|store| store.is_available(now))
    }

    /// The stores, each with its incarnation and the sequence number to continue from.
    pub fn positions(&self) -> impl Iterator<Item = (SocketAddr, u64, u64)> {
        self.0
            .iter()
            .map(|(address, store)| (*address, store.incarnation, store.next))
    }

    /// The transfers of an engine that gets a prompt with these shared parts, in the cache scope `salt`. The store is
    /// chosen by the innermost part. For an isolated workspace it is chosen by workspace and outermost part: otherwise
    /// its few requests would need a prefill of the outermost part for each store.
    pub fn transfers(
        &mut self,
        salt: &str,
        isolated: Option<&WorkspaceId>,
        shared: &[PromptPart],
        own: u64,
        now: Duration,
    ) -> Transfers {
        let address = self.assigned(isolated, shared, now);
        let store = address.and_then(|address| self.0.get_mut(&address));
        store.map_or_else(Transfers::default, |store| store.transfers(salt, shared, own, now))
    }

    /// Whether the store of a prompt with these shared parts may hold them, which shows that an engine has read them in
    /// this cache scope. True if no store is available.
    pub fn may_hold(&self, salt: &str, isolated: Option<&WorkspaceId>, shared: &[PromptPart], now: Duration) -> bool {
        let address = self.assigned(isolated, shared, now);
        let store = address.and_then(|address| self.0.get(&address));
        store.is_none_or(|store| {
            shared
                .iter()
                .all(|part| store.is_saved(PartKey::new(salt, part.id), now))
        })
    }

    /// The available store of a prompt with these shared parts.
    fn assigned(&self, isolated: Option<&WorkspaceId>, shared: &[PromptPart], now: Duration) -> Option<SocketAddr> {
        let (first, innermost) = (shared.first()?, shared.last()?);
        let hash = isolated.map_or(innermost.id, |id| xxh3_64_with_seed(id.as_str().as_bytes(), first.id));
        let available = self.0.iter().filter(|(_, store)| store.is_available(now));
        let best = available.max_by_key(|(_, store)| score(hash, store.key));
        best.map(|(address, _)| *address)
    }
}

/// Estimated contents of one prefix store.
#[derive(Debug, Clone, Default)]
pub struct PrefixStore {
    address: Option<SocketAddr>,
    /// Hash of the address, cached because every request ranks all stores by it.
    key: EndpointKey,
    incarnation: u64,
    next: u64,
    responded: Option<Duration>,
    parts: HashMap<PartKey, PartState>,
}

impl PrefixStore {
    /// Sets the address of the store, if there is one. A new one is assumed to be empty.
    pub fn set_address(&mut self, address: Option<SocketAddr>) {
        if address != self.address {
            let text = address.map(|address| address.to_string()).unwrap_or_default();
            *self = Self {
                address,
                key: EndpointKey(xxh3_64(text.as_bytes())),
                ..Self::default()
            };
        }
    }

    fn is_available(&self, now: Duration) -> bool {
        self.responded.is_some_and(|at| now.saturating_sub(at) < STORE_TIMEOUT)
    }

    /// Applies a page of events.
    pub fn apply(&mut self, page: &PrefixEvents, now: Duration) {
        self.responded = Some(now);
        self.next = page.next;
        if page.incarnation != self.incarnation || self.parts.len() > MAX_PARTS {
            self.parts.clear();
            self.incarnation = page.incarnation;
        }
        for event in &page.events {
            if event.held {
                self.parts.insert(event.part, PartState::Confirmed(now));
            } else {
                self.parts.remove(&event.part);
            }
        }
    }

    /// Whether the store holds a part, or will soon.
    fn is_saved(&self, part: PartKey, now: Duration) -> bool {
        match self.parts.get(&part) {
            Some(PartState::Confirmed(at)) => now.saturating_sub(*at) < CONFIRMED_TTL,
            Some(PartState::Requested(at)) => now.saturating_sub(*at) < REQUESTED_TTL,
            None => false,
        }
    }

    /// The transfers of an engine that gets a prompt with these shared parts and `own` unshared tokens. Shared parts
    /// that the store lacks are saved if together they have at least `own` tokens.
    pub fn transfers(&mut self, salt: &str, shared: &[PromptPart], own: u64, now: Duration) -> Transfers {
        if !self.is_available(now) || shared.is_empty() {
            return Transfers::default();
        }
        let keys = shared.iter().map(|part| (PartKey::new(salt, part.id), part.tokens));
        let missing: Vec<(PartKey, u64)> = keys.filter(|(key, _)| !self.is_saved(*key, now)).collect();
        let tokens: u64 = missing.iter().map(|(_, tokens)| tokens).sum();
        let save = tokens > 0 && tokens >= own;
        for (part, _) in missing.into_iter().filter(|_| save) {
            let confirmed = matches!(self.parts.get(&part), Some(PartState::Confirmed(_)));
            let state = if confirmed {
                PartState::Confirmed(now)
            } else {
                PartState::Requested(now)
            };
            self.parts.insert(part, state);
        }
        Transfers {
            fetch: self.address,
            save: self.address.filter(|_| save),
        }
    }
}
