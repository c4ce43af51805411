//! What the store of cached prefixes holds, as far as its events tell.
//!
//! Load pattern: engines' memory holds the prefixes of a few seconds; what yields is read again by the next request, at the
//! price of a prompt's whole length. The store holds many times more. It is filled by engines that are told to, so each
//! shared part should be sent there once, and nothing that nobody else will ask for: it drops the least recently used.
//!
//! Events come late and with gaps. A part that is wrongly believed to be there costs an engine a vain question of a millisecond;
//! one that is wrongly believed missing is sent once more.

use crate::fleet::Part;
use serde::{Deserialize, Serialize};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

/// A store that has not answered for this long is left alone: an engine that asks a dead one waits for some hundred
/// milliseconds.
const SILENT: Duration = Duration::from_millis(1_500);
/// Parts that are remembered at most, about 100 bytes each: some ten times what the sites' stores hold.
const MOST_PARTS: usize = 20_000;
/// How long an event is trusted: the one that says that the part has gone may be among those that were lost. Sending it
/// again also shows the store that it is in use.
const TRUSTED: Duration = Duration::from_secs(8);
/// How long a part counts as sent before an event confirms it: the events' lag and the time until a prompt is read.
const UNDER_WAY: Duration = Duration::from_millis(1_500);

/// One event of the store.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixEvent {
    /// Its number.
    pub number: u64,
    /// Whether the part is held now.
    pub held: bool,
    /// Scope that it was made under.
    pub salt: String,
    /// The part.
    pub part: u64,
}

/// A page of events.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
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

/// Beliefs about the store.
#[derive(Debug, Clone, Default)]
pub struct PrefixStore {
    address: Option<SocketAddr>,
    life: u64,
    answered: Option<Duration>,
    parts: HashMap<String, HashMap<u64, Held>>,
}

impl PrefixStore {
    /// Where the store is, if there is one; another one is believed empty.
    pub fn located(&mut self, address: Option<SocketAddr>) {
        if address != self.address {
            *self = Self {
                address,
                ..Self::default()
            };
        }
    }

    /// Where the store is.
    pub fn address(&self) -> Option<SocketAddr> {
        self.address
    }

    /// The store answered.
    pub fn told(&mut self, page: &PrefixEvents, now: Duration) {
        self.answered = Some(now);
        let count: usize = self.parts.values().map(HashMap::len).sum();
        if page.life != self.life || count > MOST_PARTS {
            self.parts.clear();
            self.life = page.life;
        }
        for event in &page.events {
            let scope = self.parts.entry(event.salt.clone()).or_default();
            if event.held {
                scope.insert(event.part, Held::Confirmed(now));
            } else {
                scope.remove(&event.part);
            }
        }
        self.parts.retain(|_, scope| !scope.is_empty());
    }

    /// What to tell the engine that gets a prompt of these shared parts.
    pub fn transfers(&mut self, salt: &str, shared: &[Part], now: Duration) -> Transfers {
        let alive = self.answered.is_some_and(|at| now.saturating_sub(at) < SILENT);
        if !alive || shared.is_empty() {
            return Transfers::default();
        }
        let scope = self.parts.entry(salt.to_owned()).or_default();
        let trusted = |at: &Duration| now.saturating_sub(*at) < TRUSTED;
        let holds = |part: &Part| matches!(scope.get(&part.id), Some(Held::Confirmed(_)));
        let fetch = shared.iter().any(holds);
        let sent = |part: &Part| match scope.get(&part.id) {
            Some(Held::Confirmed(at)) => trusted(at),
            Some(Held::Sent(at)) => now.saturating_sub(*at) < UNDER_WAY,
            None => false,
        };
        let missing: Vec<u64> = shared.iter().filter(|part| !sent(part)).map(|part| part.id).collect();
        let save = !missing.is_empty();
        for part in missing {
            let there = matches!(scope.get(&part), Some(Held::Confirmed(_)));
            scope.insert(part, if there { Held::Confirmed(now) } else { Held::Sent(now) });
        }
        Transfers {
            fetch: self.address.filter(|_| fetch),
            save: self.address.filter(|_| save),
        }
    }
}
