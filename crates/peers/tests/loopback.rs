//! Routers on loopback: heartbeats, fetches, restarts, wrong peers and hanging peers.

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

/// Time limit of each wait, far longer than any step takes; it ends only a test that fails.
const TIMEOUT: Duration = Duration::from_secs(20);

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

async fn wait_for(router: &Router, matches: impl Fn(&Event) -> bool) -> Event {
    let find = async {
        loop {
            let event = router.events.recv().await.unwrap();
            if matches(&event) {
                return event;
            }
        }
    };
    timeout(TIMEOUT, find).await.expect("no such event arrived")
}

fn offers(expected: u64) -> impl Fn(&Event) -> bool {
    move |event| matches!(event, Event::Offer { revision, .. } if revision.0 == expected)
}

/// A router that cannot reach the platform would keep an old configuration. It learns of the new revision from a peer's
/// heartbeat and fetches it from that peer.
#[async_std::test]
async fn a_new_revision_is_fetched_from_a_peer() {
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
    let digest = Digest::of(b"section of 2");
    assert_eq!(
        fetcher.section(&from, digest).await.unwrap().as_deref(),
        Some("section of 2")
    );
    assert_eq!(fetcher.section(&from, Digest::of(b"other")).await.unwrap(), None);
}

/// A new revision must not wait for a periodic heartbeat, because some links have none.
#[async_std::test]
async fn urgent_changes_are_sent_on_a_link_without_heartbeats() {
    let (mut a, b) = (router("a", None).await, router("b", None).await);
    a.peers.set_links(&[link(&b, false)]);
    wait_for(&b, |event| matches!(event, Event::Heartbeat { .. })).await;
    a.peers.publish_now(state(5));
    wait_for(&b, offers(5)).await;
    let recent = b.peers.recent_peers();
    let revisions: Vec<_> = recent.iter().map(|peer| (&peer.member, peer.revision)).collect();
    assert_eq!(revisions, [(&a.member, Some(Revision(5)))], "shown in the status");
}

/// A peer restarts at the same address and has lost its state. The link must reconnect and send the full state again.
#[async_std::test]
async fn a_restarted_peer_receives_the_full_state() {
    let (mut a, mut b) = (router("a", None).await, router("b", None).await);
    a.peers.publish(state(3));
    a.peers.set_links(&[link(&b, true)]);
    wait_for(&b, offers(3)).await;
    b.peers.stop();
    let address = b.member.address;
    drop(b);
    // The old connection is still open. The new router starts once the address is free.
    let restart = async {
        loop {
            if TcpListener::bind(address).await.is_ok() {
                return router("b", Some(address)).await;
            }
            task::sleep(Duration::from_millis(50)).await;
        }
    };
    let b = timeout(TIMEOUT, restart).await.expect("the address became free");
    wait_for(&b, offers(3)).await;
}

/// The peer's address was reassigned to another VM. The router there must not be mistaken for the peer.
#[async_std::test]
async fn another_router_at_a_peers_address_is_rejected() {
    let (mut a, b) = (router("a", None).await, router("b", None).await);
    let mut wrong = link(&b, true);
    wrong.member.id = VmId::from("c");
    a.peers.set_links(&[wrong]);
    let event = wait_for(&a, |_| true).await;
    assert_eq!(event, Event::LinkFailed(VmId::from("c")));
}

/// A peer accepts connections and never responds. Calls to it and its link must fail, not wait forever.
#[async_std::test]
async fn calls_to_a_hanging_peer_time_out() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let mut a = router("a", None).await;
    let mut hanging = a.member.clone();
    (hanging.id, hanging.address) = (VmId::from("b"), listener.local_addr().unwrap());
    let fetched = timeout(TIMEOUT, a.peers.fetcher().head(&hanging))
        .await
        .expect("the call ends");
    assert!(matches!(fetched, Err(PeerError::Call(_))), "{fetched:?}");
    a.peers.set_links(&[Link {
        member: hanging,
        cross_domain: false,
        periodic: true,
    }]);
    let event = wait_for(&a, |_| true).await;
    assert_eq!(event, Event::LinkFailed(VmId::from("b")));
}
