//! The router's interface to its peers: links, incoming connections and fetches.

use crate::delta::Update;
use crate::service::PeerError;
use crate::socket::Traffic;
use crate::{Event, PublishedState, link, server, socket};
use arc_swap::ArcSwap;
use async_channel::Sender;
use async_std::net::TcpListener;
use async_std::task::JoinHandle;
use control::membership::{Link, Member};
use ids::{Digest, Revision, VmId};
use std::collections::BTreeMap;
use std::sync::atomic::Ordering;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// How long a peer that sends nothing stays in the status.
const PEER_RETENTION: Duration = Duration::from_secs(600);

/// State shared by all tasks.
pub(crate) struct Inner {
    pub(crate) own: Member,
    pub(crate) events: Sender<Event>,
    pub(crate) traffic: Arc<Traffic>,
    state: ArcSwap<PublishedState>,
    recent: Mutex<BTreeMap<VmId, (RecentPeer, Instant)>>,
}

/// A peer as of its last heartbeat, for the fleet status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecentPeer {
    /// The peer.
    pub member: Member,
    /// Revision of its active configuration.
    pub revision: Option<Revision>,
    /// Time since the heartbeat.
    pub age: Duration,
}

impl Inner {
    pub(crate) fn published(&self) -> Arc<PublishedState> {
        self.state.load_full()
    }

    pub(crate) async fn send(&self, event: Event) -> Result<(), PeerError> {
        self.events.send(event).await.map_err(|_| PeerError::Stopped)
    }

    fn record_peer(&self, from: &Member, revision: Option<Revision>) {
        let peer = RecentPeer {
            member: from.clone(),
            revision,
            age: Duration::ZERO,
        };
        let mut recent = self.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent.retain(|_, (_, at)| at.elapsed() < PEER_RETENTION);
        recent.insert(from.id.clone(), (peer, Instant::now()));
    }

    /// Sends the content of a heartbeat to the control thread as events.
    pub(crate) async fn send_update(&self, from: &Member, update: Update) -> Result<(), PeerError> {
        let summary = update.summary;
        self.record_peer(from, summary.config.map(|(revision, _)| revision));
        let heartbeat = Event::Heartbeat {
            from: from.clone(),
            leaving: summary.leaving,
            routers: summary.routers,
        };
        self.send(heartbeat).await?;
        let own = self
            .published()
            .config
            .as_ref()
            .map(|config| (config.revision, config.digest));
        if let Some((revision, digest)) = summary.config
            && own != Some((revision, digest))
            && own.is_none_or(|(active, _)| active <= revision)
        {
            self.send(Event::Offer {
                from: from.clone(),
                revision,
                digest,
            })
            .await?;
        }
        if !update.reports.is_empty() {
            self.send(Event::Loads {
                from: from.id.clone(),
                reports: update.reports,
            })
            .await?;
        }
        if !update.removed.is_empty() {
            self.send(Event::Unwatched {
                from: from.id.clone(),
                endpoints: update.removed,
            })
            .await?;
        }
        Ok(())
    }
}

/// Links to peers and the server for their calls.
pub struct Peers {
    inner: Arc<Inner>,
    links: BTreeMap<VmId, LinkTask>,
    accept: Option<JoinHandle<()>>,
}

struct LinkTask {
    link: Link,
    urgent: Sender<()>,
    task: JoinHandle<()>,
}

impl Peers {
    /// Creates a router without links that does not listen yet. Events go to `events`. Its reader must not fall behind
    /// for long, because heartbeats wait while the channel is full.
    pub fn new(own: Member, events: Sender<Event>) -> Self {
        let inner = Inner {
            own,
            events,
            traffic: Arc::default(),
            state: ArcSwap::default(),
            recent: Mutex::default(),
        };
        Self {
            inner: Arc::new(inner),
            links: BTreeMap::new(),
            accept: None,
        }
    }

    /// Serves peers that connect to `listener`.
    pub fn listen(&mut self, listener: TcpListener) {
        self.accept = Some(async_std::task::spawn(server::accept(listener, self.inner.clone())));
    }

    /// Replaces the state that peers receive, from the next heartbeat on.
    pub fn publish(&self, state: PublishedState) {
        self.inner.state.store(Arc::new(state));
    }

    /// Like [`publish`](Self::publish), but sends urgent changes to peers at once: a new revision, a draining endpoint,
    /// a new incarnation of an endpoint, or the shutdown of this router.
    pub fn publish_now(&self, state: PublishedState) {
        self.publish(state);
        for entry in self.links.values() {
            // One queued message wakes the link, so a full channel is no error.
            let _ = entry.urgent.try_send(());
        }
    }

    /// Closes all other links and opens the missing ones.
    pub fn set_links(&mut self, links: &[Link]) {
        let stale: Vec<VmId> = self
            .links
            .iter()
            .filter(|(_, entry)| !links.contains(&entry.link))
            .map(|(id, _)| id.clone())
            .collect();
        for id in stale {
            if let Some(entry) = self.links.remove(&id) {
                cancel(entry.task);
            }
        }
        for link in links {
            if !self.links.contains_key(&link.member.id) {
                self.links.insert(link.member.id.clone(), self.open_link(link));
            }
        }
    }

    fn open_link(&self, link: &Link) -> LinkTask {
        let (urgent, wakeups) = async_channel::bounded(1);
        let task = async_std::task::spawn(link::maintain(link.clone(), self.inner.clone(), wakeups));
        LinkTask {
            link: link.clone(),
            urgent,
            task,
        }
    }

    /// Returns a fetcher of peers' configurations, for use in separate tasks.
    pub fn fetcher(&self) -> Fetcher {
        Fetcher {
            traffic: self.inner.traffic.clone(),
        }
    }

    /// Peers that sent a heartbeat within the last ten minutes.
    pub fn recent_peers(&self) -> Vec<RecentPeer> {
        let recent = self.inner.recent.lock().unwrap_or_else(PoisonError::into_inner);
        recent
            .values()
            .map(|(peer, at)| RecentPeer {
                age: at.elapsed(),
                ..peer.clone()
            })
            .collect()
    }

    /// Bytes sent and received so far.
    pub fn traffic(&self) -> (u64, u64) {
        let traffic = &self.inner.traffic;
        (
            traffic.sent.load(Ordering::Relaxed),
            traffic.received.load(Ordering::Relaxed),
        )
    }

    /// Closes all links and accepts no further connections.
    pub fn stop(&mut self) {
        self.set_links(&[]);
        if let Some(task) = self.accept.take() {
            cancel(task);
        }
    }
}

fn cancel(task: JoinHandle<()>) {
    async_std::task::spawn(task.cancel());
}

/// Fetches data from peers that heartbeats do not carry.
#[derive(Debug, Clone)]
pub struct Fetcher {
    traffic: Arc<Traffic>,
}

impl Fetcher {
    /// Recent pressure on each endpoint, in thousandths, by the endpoint's hash key.
    ///
    /// # Errors
    /// The call failed.
    pub async fn pressures(&self, peer: &Member) -> Result<Vec<(u64, u32)>, PeerError> {
        let client = socket::connect(peer.address, &self.traffic).await?;
        Ok(client.pressures(link::deadline()).await?)
    }

    /// The text of the peer's configuration head, if it has one.
    ///
    /// # Errors
    /// The call failed.
    pub async fn head(&self, peer: &Member) -> Result<Option<String>, PeerError> {
        let client = socket::connect(peer.address, &self.traffic).await?;
        Ok(client.head(link::deadline()).await?)
    }

    /// The text of a section, if it is still part of the peer's active configuration. The caller checks it against the
    /// digest.
    ///
    /// # Errors
    /// The call failed.
    pub async fn section(&self, peer: &Member, digest: Digest) -> Result<Option<String>, PeerError> {
        let client = socket::connect(peer.address, &self.traffic).await?;
        Ok(client.section(link::deadline(), digest).await?)
    }
}
