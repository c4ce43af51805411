//! Chooses the initial configuration of a starting router.
//!
//! A router keeps no state across a restart, so the first configuration it receives may be older than the one it used
//! before. Starting with that one would appear to revert an accepted change. It therefore asks the platform, which has
//! the newest revision. If the platform does not answer, it asks all peers and uses the newest revision they have.

use ids::{Digest, Revision, VmId};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long to wait for peers once the platform is considered unreachable. Peers answer in milliseconds; a peer that is
/// itself starting has no configuration to offer.
pub const PEER_TIMEOUT: Duration = Duration::from_secs(1);
/// How long to wait for the platform before it is considered unreachable.
pub const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);

/// Input of [`Startup`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The platform returned its head.
    Platform(Offer),
    /// The platform answered that it has no configuration.
    PlatformEmpty,
    /// The platform did not answer.
    PlatformFailed,
    /// A peer answered. Without an offer, the peer has no configuration.
    Peer(VmId, Option<Offer>),
    /// The peer did not answer.
    PeerFailed(VmId),
    /// Time has passed.
    Tick,
}

/// A configuration revision that can be fetched, and the digest of its head.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Offer {
    /// The revision.
    pub revision: Revision,
    /// The head's digest.
    pub digest: Digest,
}

/// Why a router can't serve yet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, derive_more::Display)]
pub enum NotReady {
    /// Some answers are still outstanding.
    #[display("waiting for the platform or a peer")]
    Waiting,
    /// Neither the platform nor any peer is reachable.
    #[display("neither the platform nor a peer can be reached")]
    NoneReachable,
    /// Some peers answered, but none has a configuration.
    #[display("the platform can't be reached and no peer has a configuration")]
    NoPeerReady,
    /// The platform has no configuration yet.
    #[display("the platform holds no configuration")]
    Empty,
}

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// Fetch this revision from its source and start serving.
    With(Offer),
    /// Not ready, for this reason. Keep asking.
    NotReady(NotReady),
}

/// Chooses the initial configuration.
#[derive(Debug, Clone)]
pub struct Startup {
    started: Duration,
    platform: Option<Platform>,
    platform_failed: Option<Duration>,
    peers: BTreeMap<VmId, PeerAnswer>,
}

#[derive(Debug, Clone, Copy)]
enum Platform {
    Offered(Offer),
    Empty,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerAnswer {
    Pending,
    Failed,
    Empty,
    Offered(Offer),
}

impl Startup {
    /// A router that starts at `now`, with the peers from its settings or from an earlier list.
    pub fn new(peers: &[VmId], now: Duration) -> Self {
        let peers = peers.iter().map(|peer| (peer.clone(), PeerAnswer::Pending)).collect();
        Self {
            started: now,
            platform: None,
            platform_failed: None,
            peers,
        }
    }

    /// Handles an event and returns what to do.
    pub fn on(&mut self, event: Event, now: Duration) -> Start {
        match event {
            Event::Platform(offer) => self.platform = Some(Platform::Offered(offer)),
            Event::PlatformEmpty => self.platform = Some(Platform::Empty),
            Event::PlatformFailed => self.platform_failed = self.platform_failed.or(Some(now)),
            Event::Peer(peer, offer) => {
                let answer = offer.map_or(PeerAnswer::Empty, PeerAnswer::Offered);
                self.peers.insert(peer, answer);
            }
            Event::PeerFailed(peer) => {
                self.peers.insert(peer, PeerAnswer::Failed);
            }
            Event::Tick => {}
        }
        self.decide(now)
    }

    fn decide(&mut self, now: Duration) -> Start {
        match self.platform {
            Some(Platform::Offered(offer)) => return Start::With(self.newest().filter(newer(offer)).unwrap_or(offer)),
            Some(Platform::Empty) => return Start::NotReady(NotReady::Empty),
            None => {}
        }
        if now >= self.started + PLATFORM_TIMEOUT {
            self.platform_failed = self.platform_failed.or(Some(now));
        }
        let Some(failed) = self.platform_failed else {
            return Start::NotReady(NotReady::Waiting);
        };
        let pending = self.peers.values().any(|answer| *answer == PeerAnswer::Pending);
        if pending && now < failed + PEER_TIMEOUT {
            return Start::NotReady(NotReady::Waiting);
        }
        if let Some(offer) = self.newest() {
            return Start::With(offer);
        }
        let reached = self.peers.values().any(|answer| *answer == PeerAnswer::Empty);
        Start::NotReady(if reached {
            NotReady::NoPeerReady
        } else {
            NotReady::NoneReachable
        })
    }

    fn newest(&self) -> Option<Offer> {
        let offers = self.peers.values().filter_map(|answer| match answer {
            PeerAnswer::Offered(offer) => Some(*offer),
            _ => None,
        });
        offers.max_by_key(|offer| offer.revision)
    }
}

/// A peer may have received a newer revision just after the platform sent its answer.
fn newer(than: Offer) -> impl Fn(&Offer) -> bool {
    move |offer| offer.revision > than.revision
}
