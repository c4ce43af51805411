//! The router's end of it all.

use crate::delta::News;
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

/// How long a silent peer stays in the status.
const SEEN_FOR: Duration = Duration::from_secs(600);

/// What all tasks share.
pub(crate) struct Inner {
    pub(crate) own: Member,
    pub(crate) events: Sender<Event>,
    pub(crate) traffic: Arc<Traffic>,
    state: ArcSwap<PublishedState>,
    seen: Mutex<BTreeMap<VmId, (RecentPeer, Instant)>>,
}

/// A peer as it was last heard, for the fleet's status.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RecentPeer {
    /// Who.
    pub member: Member,
    /// The revision that it had in force.
    pub revision: Option<Revision>,
    /// Time since then.
    pub age: Duration,
}

impl Inner {
    pub(crate) fn published(&self) -> Arc<PublishedState> {
        self.state.load_full()
    }

    pub(crate) async fn send(&self, event: Event) -> Result<(), PeerError> {
        self.events.send(event).await.map_err(|_| PeerError::Stopped)
    }

    fn note(&self, from: &Member, revision: Option<Revision>) {
        let peer = RecentPeer {
            member: from.clone(),
            revision,
            age: Duration::ZERO,
        };
        let mut seen = self.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.retain(|_, (_, at)| at.elapsed() < SEEN_FOR);
        seen.insert(from.id.clone(), (peer, Instant::now()));
    }

    /// Tells the control thread what a heartbeat says.
    pub(crate) async fn tell(&self, from: &Member, news: News) -> Result<(), PeerError> {
        let summary = news.summary;
        self.note(from, summary.config.map(|(revision, _)| revision));
        let heard = Event::Heartbeat {
            from: from.clone(),
            leaving: summary.leaving,
            routers: summary.routers,
        };
        self.send(heard).await?;
        let own = self
            .published()
            .config
            .as_ref()
            .map(|config| (config.revision, config.digest));
        if let Some((revision, digest)) = summary.config
            && own != Some((revision, digest))
            && own.is_none_or(|(kept, _)| kept <= revision)
        {
            self.send(Event::Offer {
                from: from.clone(),
                revision,
                digest,
            })
            .await?;
        }
        if !news.reports.is_empty() {
            self.send(Event::Loads {
                from: from.id.clone(),
                reports: news.reports,
            })
            .await?;
        }
        if !news.gone.is_empty() {
            self.send(Event::Unwatched {
                from: from.id.clone(),
                endpoints: news.gone,
            })
            .await?;
        }
        Ok(())
    }
}

/// Connections to peers and answers to them.
pub struct Peers {
    inner: Arc<Inner>,
    links: BTreeMap<VmId, Kept>,
    accept: Option<JoinHandle<()>>,
}

struct Kept {
    link: Link,
    urgent: Sender<()>,
    task: JoinHandle<()>,
}

impl Peers {
    /// A router that is about to listen. Events go to `events`, whose reader must not fall behind for long: peers'
    /// heartbeats wait for it.
    pub fn new(own: Member, events: Sender<Event>) -> Self {
        let inner = Inner {
            own,
            events,
            traffic: Arc::default(),
            state: ArcSwap::default(),
            seen: Mutex::default(),
        };
        Self {
            inner: Arc::new(inner),
            links: BTreeMap::new(),
            accept: None,
        }
    }

    /// Answers peers that connect to `listener`.
    pub fn listen(&mut self, listener: TcpListener) {
        self.accept = Some(async_std::task::spawn(server::accept(listener, self.inner.clone())));
    }

    /// Replaces what peers are told, from the next heartbeat on.
    pub fn publish(&self, state: PublishedState) {
        self.inner.state.store(Arc::new(state));
    }

    /// Like [`publish`](Self::publish), and tells peers at once: for a new revision, a leaving endpoint or one in a
    /// new life, and a router that is going.
    pub fn publish_now(&self, state: PublishedState) {
        self.publish(state);
        for kept in self.links.values() {
            // One message is enough to wake a link, however many are due.
            let _ = kept.urgent.try_send(());
        }
    }

    /// Keeps exactly these links.
    pub fn set_links(&mut self, links: &[Link]) {
        let gone: Vec<VmId> = self
            .links
            .iter()
            .filter(|(_, kept)| !links.contains(&kept.link))
            .map(|(id, _)| id.clone())
            .collect();
        for id in gone {
            if let Some(kept) = self.links.remove(&id) {
                end(kept.task);
            }
        }
        for link in links {
            if !self.links.contains_key(&link.member.id) {
                self.links.insert(link.member.id.clone(), self.keep(link));
            }
        }
    }

    fn keep(&self, link: &Link) -> Kept {
        let (urgent, woken) = async_channel::bounded(1);
        let task = async_std::task::spawn(link::keep(link.clone(), self.inner.clone(), woken));
        Kept {
            link: link.clone(),
            urgent,
            task,
        }
    }

    /// A fetcher of peers' configurations, for tasks of their own.
    pub fn fetcher(&self) -> Fetcher {
        Fetcher {
            traffic: self.inner.traffic.clone(),
        }
    }

    /// Peers that were heard within the last ten minutes.
    pub fn recent_peers(&self) -> Vec<RecentPeer> {
        let seen = self.inner.seen.lock().unwrap_or_else(PoisonError::into_inner);
        seen.values()
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

    /// Ends all links and takes no further connection.
    pub fn stop(&mut self) {
        self.set_links(&[]);
        if let Some(task) = self.accept.take() {
            end(task);
        }
    }
}

fn end(task: JoinHandle<()>) {
    async_std::task::spawn(task.cancel());
}

/// Reads what a peer is asked for only now and then.
#[derive(Debug, Clone)]
pub struct Fetcher {
    traffic: Arc<Traffic>,
}

impl Fetcher {
    /// How crowded each endpoint has been, in thousandths, by its key in hashes.
    ///
    /// # Errors
    /// The peer can't be reached.
    pub async fn pressures(&self, peer: &Member) -> Result<Vec<(u64, u32)>, PeerError> {
        let client = socket::connect(peer.address, &self.traffic).await?;
        Ok(client.pressures(link::deadline()).await?)
    }

    /// The text of the peer's head, if it has one.
    ///
    /// # Errors
    /// The peer can't be reached.
    pub async fn head(&self, peer: &Member) -> Result<Option<String>, PeerError> {
        let client = socket::connect(peer.address, &self.traffic).await?;
        Ok(client.head(link::deadline()).await?)
    }

    /// The text of a section, if the peer still has it in force; check it against the digest.
    ///
    /// # Errors
    /// The peer can't be reached.
    pub async fn section(&self, peer: &Member, digest: Digest) -> Result<Option<String>, PeerError> {
        let client = socket::connect(peer.address, &self.traffic).await?;
        Ok(client.section(link::deadline(), digest).await?)
    }
}
