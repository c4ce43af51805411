//! Which configuration a starting router begins with.
//!
//! A router keeps nothing over a restart, so that the first answer it gets may be older than what it had in force.
//! If it began with that, an accepted change would seem to revert. It therefore asks the platform, which has the
//! newest. Only where that gives no answer it asks all peers, and begins with the newest that they have.

use ids::{Digest, Revision, VmId};
use std::collections::BTreeMap;
use std::time::Duration;

/// How long peers are waited for once the platform is known to be out of reach. Peers answer in milliseconds; a
/// router that is still starting itself has nothing to say.
pub const PEER_WAIT: Duration = Duration::from_secs(1);
/// How long the platform is waited for before it is taken to be out of reach.
pub const PLATFORM_WAIT: Duration = Duration::from_secs(2);

/// What a starting router hears.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Event {
    /// The platform's head.
    Platform(Offer),
    /// The platform answered that there is no document.
    PlatformEmpty,
    /// The platform did not answer.
    PlatformFailed,
    /// A peer answered; without an offer it has no document itself.
    Peer(VmId, Option<Offer>),
    /// The peer did not answer.
    PeerFailed(VmId),
    /// Time has passed.
    Tick,
}

/// A revision and the digest of its head.
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
    /// Answers are still awaited.
    #[display("waiting for the platform or a peer")]
    Waiting,
    /// Neither the platform nor any peer can be reached.
    #[display("neither the platform nor a peer can be reached")]
    NobodyReached,
    /// Peers were reached, and none has a document.
    #[display("the platform can't be reached and no peer has a configuration")]
    NoPeerReady,
    /// The platform holds no document yet.
    #[display("the platform holds no configuration")]
    Empty,
}

/// What to do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Start {
    /// Fetch this revision from where it was offered, and serve.
    With(Offer),
    /// Not ready, for this reason; go on asking.
    NotReady(NotReady),
}

/// Chooses what to begin with.
#[derive(Debug, Clone)]
pub struct Startup {
    began: Duration,
    platform: Option<Platform>,
    failed: Option<Duration>,
    peers: BTreeMap<VmId, PeerAnswer>,
}

#[derive(Debug, Clone, Copy)]
enum Platform {
    Offered(Offer),
    Empty,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum PeerAnswer {
    Awaited,
    Failed,
    Nothing,
    Offered(Offer),
}

impl Startup {
    /// A router that starts at `now` and knows these peers from its settings or an earlier list.
    pub fn new(peers: &[VmId], now: Duration) -> Self {
        let peers = peers.iter().map(|peer| (peer.clone(), PeerAnswer::Awaited)).collect();
        Self {
            began: now,
            platform: None,
            failed: None,
            peers,
        }
    }

    /// Takes an event.
    pub fn on(&mut self, event: Event, now: Duration) -> Start {
        match event {
            Event::Platform(offer) => self.platform = Some(Platform::Offered(offer)),
            Event::PlatformEmpty => self.platform = Some(Platform::Empty),
            Event::PlatformFailed => self.failed = self.failed.or(Some(now)),
            Event::Peer(peer, offer) => {
                let answer = offer.map_or(PeerAnswer::Nothing, PeerAnswer::Offered);
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
        if now >= self.began + PLATFORM_WAIT {
            self.failed = self.failed.or(Some(now));
        }
        let Some(failed) = self.failed else {
            return Start::NotReady(NotReady::Waiting);
        };
        let awaited = self.peers.values().any(|answer| *answer == PeerAnswer::Awaited);
        if awaited && now < failed + PEER_WAIT {
            return Start::NotReady(NotReady::Waiting);
        }
        if let Some(offer) = self.newest() {
            return Start::With(offer);
        }
        let reached = self.peers.values().any(|answer| *answer == PeerAnswer::Nothing);
        Start::NotReady(if reached {
            NotReady::NoPeerReady
        } else {
            NotReady::NobodyReached
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

/// A peer may have heard of a revision just after the platform's answer was sent.
fn newer(than: Offer) -> impl Fn(&Offer) -> bool {
    move |offer| offer.revision > than.revision
}
