//! Who the live routers are, by heartbeats inside a failure domain.
//!
//! The platform's list lags: it still names routers that died and doesn't yet name those that just started. It is
//! used to find routers, and heartbeats tell who is live. Across failure domains only counts are passed on, over few
//! links. The number of live routers divides the workspaces' limits: a router that took the others for dead would
//! admit their share as well, all at once.

mod links;
mod roster;

pub use links::{DOMAIN_LINKS, Link};
pub use roster::{DomainCount, Roster};

use derive_more::Display;
use ids::{DomainId, VmId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Time between heartbeats on one link. With 22 routers and 400 endpoints that all change their load, 2 s made the
/// busiest router send and receive 7.2 KB/s (`cargo run -p peers --example traffic`), and 7 KB/s is the bound.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2_250);
/// Silence after which a router counts as dead: three heartbeats and a little.
pub const SILENCE: Duration = Duration::from_millis(7_250);
/// A longer gap between two own events means that this router itself was paused. Its timer ticks every half second.
pub const OWN_PAUSE: Duration = Duration::from_secs(1);
/// A router that is neither listed nor heard for this long is forgotten.
pub const FORGET: Duration = Duration::from_secs(60);

/// A router.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display)]
#[display("{id} at {address}")]
pub struct Member {
    /// Its VM.
    pub id: VmId,
    /// Where peers reach it.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
}

/// One entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// The router.
    pub member: Member,
    /// Whether the platform has told it to go.
    pub leaving: bool,
}

/// What a router hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The platform's list of routers.
    Listed(Vec<Listed>),
    /// A heartbeat or the answer to one.
    Heartbeat {
        /// From whom.
        from: Member,
        /// Whether it is going.
        leaving: bool,
        /// Live routers of its failure domain.
        routers: u32,
    },
    /// What a peer knows, sent when its view differs.
    Roster(Roster),
    /// Time has passed; comes at least every half second.
    Tick,
}

/// Whether the live routers changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// The same as before.
    Nothing,
    /// Shares of limits and watched endpoints are to be computed again.
    Live,
}

#[derive(Debug, Clone)]
struct Peer {
    member: Member,
    heard: Option<Duration>,
    /// Until when it counts as live without having been heard.
    grace: Duration,
    /// When it was last in the list or heard.
    known: Duration,
    leaving: bool,
}

/// The live routers, as one router sees them.
#[derive(Debug, Clone)]
pub struct Membership {
    own: Member,
    peers: BTreeMap<VmId, Peer>,
    counts: BTreeMap<DomainId, Counted>,
    last: Duration,
    live: Vec<VmId>,
}

#[derive(Debug, Clone, Copy)]
struct Counted {
    routers: u32,
    at: Duration,
}

impl Membership {
    /// This router alone.
    pub fn new(own: Member, now: Duration) -> Self {
        let live = vec![own.id.clone()];
        Self {
            own,
            peers: BTreeMap::new(),
            counts: BTreeMap::new(),
            last: now,
            live,
        }
    }

    /// Takes an event.
    pub fn on(&mut self, event: Event, now: Duration) -> Change {
        self.excuse_pause(now);
        match event {
            Event::Listed(list) => self.listed(&list, now),
            Event::Heartbeat { from, leaving, routers } => self.heard(from, leaving, routers, now),
            Event::Roster(roster) => self.learn(&roster, now),
            Event::Tick => {}
        }
        self.forget(now);
        let live = self.compute_live(now);
        if live == self.live {
            return Change::Nothing;
        }
        self.live = live;
        Change::Live
    }

    /// Live routers of the own failure domain, this one among them, sorted.
    pub fn live(&self) -> &[VmId] {
        &self.live
    }

    /// Live routers that take new tasks: watched endpoints move away from a leaving router before it goes.
    pub fn not_leaving(&self) -> Vec<VmId> {
        let stays = |id: &&VmId| self.peers.get(*id).is_none_or(|peer| !peer.leaving);
        self.live.iter().filter(stays).cloned().collect()
    }

    /// Live routers of all failure domains, by which limits are divided. A domain that is out of reach goes on
    /// serving its callers, so that its last count stays.
    pub fn total(&self) -> u32 {
        let others: u32 = self.counts.values().map(|counted| counted.routers).sum();
        others + u32::try_from(self.live.len()).unwrap_or(u32::MAX)
    }

    /// This router.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// A paused router has heard nobody, which says nothing about the others: it must not take them for dead when it
    /// goes on. All times of hearing move by the pause.
    fn excuse_pause(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last);
        self.last = self.last.max(now);
        if gap <= OWN_PAUSE {
            return;
        }
        for peer in self.peers.values_mut() {
            peer.heard = peer.heard.map(|heard| heard + gap);
            peer.grace += gap;
            peer.known += gap;
        }
    }

    /// A router that is listed for the first time counts as live until it had time to be heard. Without this, routers
    /// that start in a herd would each believe to be alone, and each admit the limits of all.
    fn listed(&mut self, list: &[Listed], now: Duration) {
        let mut counts: BTreeMap<DomainId, u32> = BTreeMap::new();
        for listed in list.iter().filter(|listed| listed.member.id != self.own.id) {
            *counts.entry(listed.member.domain.clone()).or_default() += 1;
            let member = &listed.member;
            let peer = self.peers.entry(member.id.clone()).or_insert_with(|| Peer {
                member: member.clone(),
                heard: None,
                grace: now + SILENCE,
                known: now,
                leaving: false,
            });
            if peer.heard.is_none() {
                peer.member = member.clone();
            }
            peer.known = peer.known.max(now);
            peer.leaving |= listed.leaving;
        }
        for (domain, routers) in counts {
            if domain != self.own.domain {
                self.counts.entry(domain).or_insert(Counted {
                    routers,
                    at: Duration::ZERO,
                });
            }
        }
    }

    fn heard(&mut self, from: Member, leaving: bool, routers: u32, now: Duration) {
        if from.id == self.own.id {
            return;
        }
        if from.domain != self.own.domain {
            self.counts.insert(from.domain.clone(), Counted { routers, at: now });
        }
        let peer = Peer {
            member: from.clone(),
            heard: Some(now),
            grace: Duration::ZERO,
            known: now,
            leaving,
        };
        self.peers.insert(from.id, peer);
    }

    fn forget(&mut self, now: Duration) {
        self.peers.retain(|_, peer| now < peer.known + FORGET);
    }

    fn compute_live(&self, now: Duration) -> Vec<VmId> {
        let near = self.peers.values().filter(|peer| peer.member.domain == self.own.domain);
        let live = near.filter(|peer| {
            now < peer
                .grace
                .max(peer.heard.map_or(Duration::ZERO, |heard| heard + SILENCE))
        });
        let mut ids: Vec<VmId> = live.map(|peer| peer.member.id.clone()).collect();
        ids.push(self.own.id.clone());
        ids.sort_unstable();
        ids
    }
}
