//! Serves calls from peers.

use crate::delta::{DeltaDecoder, DeltaEncoder, Extent};
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

/// Maximum number of incoming connections: two from each of 22 routers, plus unrelated clients, whose idle connections
/// are closed.
const MAX_CONNECTIONS: usize = 256;
/// A connection without a call for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(600);
/// Pause after a failed accept. The usual cause is a lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Accepts connections until the task is cancelled.
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

/// Serves one call at a time, so that a peer has at most one call in progress.
async fn serve(stream: TcpStream, inner: Arc<Inner>) {
    let transport = tarpc::serde_transport::new(socket::framed(stream, &inner.traffic), Json::default());
    let server = Server {
        inner,
        connection: Arc::default(),
    };
    let mut calls = Box::pin(BaseChannel::with_defaults(transport).execute(server.serve()));
    while let Ok(Some(call)) = async_std::future::timeout(IDLE_TIMEOUT, calls.next()).await {
        call.await;
    }
}

/// State of one connection.
#[derive(Debug, Default)]
struct Connection {
    peer: Option<Member>,
    encoder: DeltaEncoder,
    decoder: DeltaDecoder,
}

#[derive(Clone)]
struct Server {
    inner: Arc<Inner>,
    connection: Arc<Mutex<Connection>>,
}

impl Router for Server {
    async fn hello(self, _: Context, from: Member) -> Member {
        self.connection.lock().await.peer = Some(from);
        self.inner.own.clone()
    }

    async fn beat(self, _: Context, beat: Beat) -> Option<Beat> {
        let mut connection = self.connection.lock().await;
        let from = connection.peer.clone()?;
        let update = connection.decoder.decode(beat).ok()?;
        self.inner.send_update(&from, update).await.ok()?;
        // A response carries all changes, as a periodic heartbeat does. Urgent ones go out on this router's own link.
        Some(connection.encoder.encode(&self.inner.published(), Extent::Full))
    }

    async fn roster(self, _: Context, roster: Roster) -> Roster {
        // The channel is closed while this router stops.
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
