//! Routers on loopback: hearing, fetching, restarts and strangers.

use async_channel::Receiver;
use async_std::net::TcpListener;
use async_std::{future::timeout, task};
use control::membership::{Link, Member};
use ids::{Digest, DomainId, Revision, VmId};
use peers::{Event, OfferedConfig, PeerError, Peers, PublishedState};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

/// Far longer than anything here takes; only a broken mechanism meets it.
const PATIENCE: Duration = Duration::from_secs(20);

struct Router {
    peers: Peers,
    member: Member,
    events: Receiver<Event>,
}

async fn router(name: &str, address: Option<SocketAddr>) -> Router {
    let anywhere = SocketAddr::from(([127, 0, 0, 1], 0));
    let listener = TcpListener::bind(address.unwrap_or(anywhere)).await.unwrap();
    let member = Member {
        id: VmId::from(name),
        address: listener.local_addr().unwrap(),
        domain: DomainId::from("lahore"),
    };
    let (sender, events) = async_channel::bounded(1000);
    let mut peers = Peers::new(member.clone(), sender);
    peers.listen(listener);
    Router { peers, member, events }
}

fn link(to: &Router, periodic: bool) -> Link {
    Link {
        member: to.member.clone(),
        cross_domain: false,
        periodic,
    }
}

fn state(revision: u64) -> PublishedState {
    let text = format!("section of {revision}");
    let sections = BTreeMap::from([(Digest::of(text.as_bytes()), text)]);
    let head = format!("head {revision}");
    let digest = Digest::of(head.as_bytes());
    let config = OfferedConfig {
        revision: Revision(revision),
        digest,
        head,
        sections,
    };
    PublishedState {
        routers: 2,
        config: Some(Arc::new(config)),
        ..PublishedState::default()
    }
}

async fn wait_for(router: &Router, wanted: impl Fn(&Event) -> bool) -> Event {
    let find = async {
        loop {
            let event = router.events.recv().await.unwrap();
            if wanted(&event) {
                return event;
            }
        }
    };
    timeout(PATIENCE, find).await.expect("the event never came")
}

fn offers(wanted: u64) -> impl Fn(&Event) -> bool {
    move |event| matches!(event, Event::Offer { revision, .. } if revision.0 == wanted)
}

/// A router is cut from the platform, and its peer is not. It hears of the new revision and reads it from the peer.
#[async_std::test]
async fn a_revision_comes_from_a_peer() {
    let (mut a, b) = (router("a", None).await, router("b", None).await);
    a.peers.publish(state(1));
    b.peers.publish(state(1));
    a.peers.set_links(&[link(&b, true)]);
    wait_for(&a, |event| matches!(event, Event::Heartbeat { .. })).await;
    b.peers.publish(state(2));
    let Event::Offer { from, digest, .. } = wait_for(&a, offers(2)).await else {
        unreachable!()
    };
    let fetcher = a.peers.fetcher();
    let head = fetcher.head(&from).await.unwrap().unwrap();
    assert_eq!(Digest::of(head.as_bytes()), digest);
    let wanted = Digest::of(b"section of 2");
    assert_eq!(
        fetcher.section(&from, wanted).await.unwrap().as_deref(),
        Some("section of 2")
    );
    assert_eq!(fetcher.section(&from, Digest::of(b"other")).await.unwrap(), None);
}

/// A new revision doesn't wait for the next heartbeat, nor for a link that has none.
#[async_std::test]
async fn urgent_news_goes_out_on_a_quiet_link() {
    let (mut a, b) = (router("a", None).await, router("b", None).await);
    a.peers.set_links(&[link(&b, false)]);
    wait_for(&b, |event| matches!(event, Event::Heartbeat { .. })).await;
    a.peers.publish_now(state(5));
    wait_for(&b, offers(5)).await;
    let seen = b.peers.recent_peers();
    let known: Vec<_> = seen.iter().map(|peer| (&peer.member, peer.revision)).collect();
    assert_eq!(known, [(&a.member, Some(Revision(5)))], "for the status");
}

/// A peer restarts at the same address. It must be found again, and told everything from the beginning.
#[async_std::test]
async fn a_restarted_peer_is_found_again() {
    let (mut a, mut b) = (router("a", None).await, router("b", None).await);
    a.peers.publish(state(3));
    a.peers.set_links(&[link(&b, true)]);
    wait_for(&b, offers(3)).await;
    b.peers.stop();
    let address = b.member.address;
    drop(b);
    // The old connection is still served; the new router listens at the same address once that is free.
    let begin = async {
        loop {
            if TcpListener::bind(address).await.is_ok() {
                return router("b", Some(address)).await;
            }
            task::sleep(Duration::from_millis(50)).await;
        }
    };
    let b = timeout(PATIENCE, begin).await.expect("the address became free");
    wait_for(&b, offers(3)).await;
}

/// An address was given to another VM. Whoever answers there now must not be taken for the old router.
#[async_std::test]
async fn a_stranger_at_a_peers_address_is_not_heard() {
    let (mut a, b) = (router("a", None).await, router("b", None).await);
    let mut wrong = link(&b, true);
    wrong.member.id = VmId::from("c");
    a.peers.set_links(&[wrong]);
    let event = wait_for(&a, |_| true).await;
    assert_eq!(event, Event::LinkFailed(VmId::from("c")));
}

/// A peer accepts connections and never answers.
#[async_std::test]
async fn a_hanging_peer_is_given_up() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut a = router("a", None).await;
    let mut silent = a.member.clone();
    (silent.id, silent.address) = (VmId::from("b"), listener.local_addr().unwrap());
    let fetched = timeout(PATIENCE, a.peers.fetcher().head(&silent))
        .await
        .expect("the call ends");
    assert!(matches!(fetched, Err(PeerError::Call(_))), "{fetched:?}");
    a.peers.set_links(&[Link {
        member: silent,
        cross_domain: false,
        periodic: true,
    }]);
    let event = wait_for(&a, |_| true).await;
    assert_eq!(event, Event::LinkFailed(VmId::from("b")));
}
