//! Tracks live routers through heartbeats within a failure domain.
//!
//! The platform's list lags: it still contains routers that died, and not yet those that just started. It serves for
//! discovery only; heartbeats determine which routers are live. Failure domains exchange only router counts, over a
//! few links. Workspace limits are divided by the number of live routers: a router that wrongly considered the others
//! dead would also admit their share.

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

/// Time between heartbeats on one link. With 22 routers and 400 endpoints with changing load, an interval of 2 s makes
/// the busiest router send and receive 7.2 KB/s (`cargo run -p peers --example traffic`); the limit is 7 KB/s.
pub const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(2_250);
/// Time without a heartbeat after which a router counts as dead: slightly more than three intervals.
pub const HEARTBEAT_TIMEOUT: Duration = Duration::from_millis(7_250);
/// A longer gap between two events means that this router itself was paused. Its timer ticks every half second.
pub const PAUSE_THRESHOLD: Duration = Duration::from_secs(1);
/// A router that was neither listed nor sent a heartbeat for this long is removed.
pub const MEMBER_EXPIRY: Duration = Duration::from_secs(60);

/// A router.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Display)]
#[display("{id} at {address}")]
pub struct Member {
    /// Its VM.
    pub id: VmId,
    /// Its address for peers.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: DomainId,
}

/// One entry of the platform's list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Listed {
    /// The router.
    pub member: Member,
    /// Whether the platform is shutting it down.
    pub leaving: bool,
}

/// Input of [`Membership`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The platform's list of routers.
    Listed(Vec<Listed>),
    /// A heartbeat or the answer to one.
    Heartbeat {
        /// The sender.
        from: Member,
        /// Whether the sender is shutting down.
        leaving: bool,
        /// Number of live routers in the sender's failure domain.
        routers: u32,
    },
    /// A peer's view, sent if it differs from this router's.
    Roster(Roster),
    /// Time has passed. Occurs at least every half second.
    Tick,
}

/// Whether the set of live routers changed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Change {
    /// No change.
    Nothing,
    /// The live routers changed: recompute the shares of limits and the watched endpoints.
    Live,
}

#[derive(Debug, Clone)]
struct Peer {
    member: Member,
    last_heartbeat: Option<Duration>,
    /// Until when it counts as live without a heartbeat.
    grace_until: Duration,
    /// When it was last listed or sent a heartbeat.
    last_known: Duration,
    leaving: bool,
}

/// The live routers, from the point of view of one router.
#[derive(Debug, Clone)]
pub struct Membership {
    own: Member,
    peers: BTreeMap<VmId, Peer>,
    counts: BTreeMap<DomainId, RouterCount>,
    last_event: Duration,
    live: Vec<VmId>,
}

#[derive(Debug, Clone, Copy)]
struct RouterCount {
    routers: u32,
    at: Duration,
}

impl Membership {
    /// Only this router.
    pub fn new(own: Member, now: Duration) -> Self {
        let live = vec![own.id.clone()];
        Self {
            own,
            peers: BTreeMap::new(),
            counts: BTreeMap::new(),
            last_event: now,
            live,
        }
    }

    /// Handles an event.
    pub fn on(&mut self, event: Event, now: Duration) -> Change {
        self.compensate_pause(now);
        match event {
            Event::Listed(list) => self.apply_list(&list, now),
            Event::Heartbeat { from, leaving, routers } => self.apply_heartbeat(from, leaving, routers, now),
            Event::Roster(roster) => self.merge_roster(&roster, now),
            Event::Tick => {}
        }
        self.remove_expired(now);
        let live = self.compute_live(now);
        if live == self.live {
            return Change::Nothing;
        }
        self.live = live;
        Change::Live
    }

    /// Live routers of the own failure domain, including this one, sorted.
    pub fn live(&self) -> &[VmId] {
        &self.live
    }

    /// Live routers that are not leaving. Only these are assigned endpoints to watch, so that a leaving router hands
    /// over its endpoints before it stops.
    pub fn not_leaving(&self) -> Vec<VmId> {
        let is_staying = |id: &&VmId| self.peers.get(*id).is_none_or(|peer| !peer.leaving);
        self.live.iter().filter(is_staying).cloned().collect()
    }

    /// Number of live routers in all failure domains, by which limits are divided. An unreachable domain still serves
    /// its clients, so its last known count is kept.
    pub fn total(&self) -> u32 {
        let others: u32 = self.counts.values().map(|count| count.routers).sum();
        others + u32::try_from(self.live.len()).unwrap_or(u32::MAX)
    }

    /// This router.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// A router that was paused received no heartbeats, which proves nothing about its peers: it must not consider them
    /// dead when it resumes. Shifts all timestamps by the length of the pause.
    fn compensate_pause(&mut self, now: Duration) {
        let gap = now.saturating_sub(self.last_event);
        self.last_event = self.last_event.max(now);
        if gap <= PAUSE_THRESHOLD {
            return;
        }
        for peer in self.peers.values_mut() {
            peer.last_heartbeat = peer.last_heartbeat.map(|at| at + gap);
            peer.grace_until += gap;
            peer.last_known += gap;
        }
    }

    /// A router that is listed for the first time counts as live until its first heartbeat is due. Otherwise routers
    /// that start at the same time would each assume to be alone, and each would admit the full limits.
    fn apply_list(&mut self, list: &[Listed], now: Duration) {
        let mut counts: BTreeMap<DomainId, u32> = BTreeMap::new();
        for listed in list.iter().filter(|listed| listed.member.id != self.own.id) {
            *counts.entry(listed.member.domain.clone()).or_default() += 1;
            let member = &listed.member;
            let peer = self.peers.entry(member.id.clone()).or_insert_with(|| Peer {
                member: member.clone(),
                last_heartbeat: None,
                grace_until: now + HEARTBEAT_TIMEOUT,
                last_known: now,
                leaving: false,
            });
            if peer.last_heartbeat.is_none() {
                peer.member = member.clone();
            }
            peer.last_known = peer.last_known.max(now);
            peer.leaving |= listed.leaving;
        }
        for (domain, routers) in counts {
            if domain != self.own.domain {
                self.counts.entry(domain).or_insert(RouterCount {
                    routers,
                    at: Duration::ZERO,
                });
            }
        }
    }

    fn apply_heartbeat(&mut self, from: Member, leaving: bool, routers: u32, now: Duration) {
        if from.id == self.own.id {
            return;
        }
        if from.domain != self.own.domain {
            self.counts
                .insert(from.domain.clone(), RouterCount { routers, at: now });
        }
        let peer = Peer {
            member: from.clone(),
            last_heartbeat: Some(now),
            grace_until: Duration::ZERO,
            last_known: now,
            leaving,
        };
        self.peers.insert(from.id, peer);
    }

    fn remove_expired(&mut self, now: Duration) {
        self.peers.retain(|_, peer| now < peer.last_known + MEMBER_EXPIRY);
    }

    fn compute_live(&self, now: Duration) -> Vec<VmId> {
        let same_domain = self.peers.values().filter(|peer| peer.member.domain == self.own.domain);
        let live = same_domain.filter(|peer| {
            now < peer
                .grace_until
                .max(peer.last_heartbeat.map_or(Duration::ZERO, |at| at + HEARTBEAT_TIMEOUT))
        });
        let mut ids: Vec<VmId> = live.map(|peer| peer.member.id.clone()).collect();
        ids.push(self.own.id.clone());
        ids.sort_unstable();
        ids
    }
}
