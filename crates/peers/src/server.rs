//! Answers peers.

use crate::delta::{Extent, Received, Sent};
use crate::handle::Inner;
use crate::service::Router;
use crate::{Beat, socket};
use async_std::net::{TcpListener, TcpStream};
use control::membership::{Member, Roster};
use futures::StreamExt;
use futures::lock::Mutex;
use ids::Digest;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio_serde::formats::Json;

/// Most connections from peers: two from each of 22 routers, and room for strangers that go away by themselves.
const MAX_CONNECTIONS: usize = 256;
/// A connection without a call for this long is ended.
const IDLE: Duration = Duration::from_secs(600);
/// Pause after a failed accept, which mostly means that file descriptors have run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts until the router stops.
pub(crate) async fn accept(listener: TcpListener, inner: Arc<Inner>) {
    let open = Arc::new(AtomicUsize::new(0));
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            async_std::task::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        if open.load(Ordering::Relaxed) >= MAX_CONNECTIONS {
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (inner, open) = (inner.clone(), open.clone());
        async_std::task::spawn(async move {
            serve(stream, inner).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

/// Answers one call after the other, so that a peer can't have more than one worked on.
async fn serve(stream: TcpStream, inner: Arc<Inner>) {
    let transport = tarpc::serde_transport::new(socket::framed(stream, &inner.traffic), Json::default());
    let answers = Answers {
        inner,
        connection: Arc::default(),
    };
    let mut calls = Box::pin(BaseChannel::with_defaults(transport).execute(answers.serve()));
    while let Ok(Some(call)) = async_std::future::timeout(IDLE, calls.next()).await {
        call.await;
    }
}

/// What is known on one connection.
#[derive(Debug, Default)]
struct Connection {
    from: Option<Member>,
    sent: Sent,
    received: Received,
}

#[derive(Clone)]
struct Answers {
    inner: Arc<Inner>,
    connection: Arc<Mutex<Connection>>,
}

impl Router for Answers {
    async fn hello(self, _: Context, from: Member) -> Member {
        self.connection.lock().await.from = Some(from);
        self.inner.own.clone()
    }

    async fn beat(self, _: Context, beat: Beat) -> Option<Beat> {
        let mut connection = self.connection.lock().await;
        let from = connection.from.clone()?;
        let news = connection.received.take(beat).ok()?;
        self.inner.tell(&from, news).await.ok()?;
        // What is urgent for the caller has its own way; an answer carries what a heartbeat would.
        Some(connection.sent.beat(&self.inner.published(), Extent::Whole))
    }

    async fn roster(self, _: Context, roster: Roster) -> Roster {
        // A router that is stopping has nobody to tell.
        let _ = self.inner.events.send(crate::Event::Roster(roster)).await;
        self.inner.published().roster.clone()
    }

    async fn pressures(self, _: Context) -> Vec<(u64, u32)> {
        self.inner.published().pressures.clone()
    }

    async fn head(self, _: Context) -> Option<String> {
        Some(self.inner.published().config.as_ref()?.head.clone())
    }

    async fn section(self, _: Context, digest: Digest) -> Option<String> {
        self.inner.published().config.as_ref()?.sections.get(&digest).cloned()
    }
}
