//! Relays store contents and other state from routers that watch the store to their followers.
//!
//! With hundreds of routers that each watch the store, every change would cost hundreds of responses, and every store
//! call is billed. So only a few routers of each failure domain watch the store. The others follow one of them, their
//! upstream, in the same way: they send the store revision that they have and wait for later changes.

mod messages;

pub use messages::*;

use crate::link::deadline_in;
use crate::service::PeerError;
use crate::socket::{self, Traffic};
use async_std::net::{TcpListener, TcpStream};
use futures::StreamExt;
use futures::future::BoxFuture;
use http::{OpenConnection, progress_timeout};
use ids::Revision;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio_serde::formats::Json;

/// Maximum number of followers of one router: twice the routers of a failure domain.
const MAX_FOLLOWERS: usize = 256;
/// A connection without a call for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Maximum time for the rest of a response after its first byte.
const MAX_RESPONSE_TIME: Duration = Duration::from_secs(10);
/// First byte of a tunnel request, `CONNECT`. Messages begin with their length, which is far shorter.
const TUNNEL_FIRST_BYTE: u8 = b'C';
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

// The macro generates items that cannot have doc comments.
#[allow(missing_docs)]
mod calls {
    use super::{
        EndMessage, EndsMessage, Follow, FollowResponse, LoadExchange, LoadMessage, OriginMessage, OriginQuery,
        OriginResponse, PartsMessage, PrefixPage, PrefixQuery, ReportMessage, Revision, SubtotalMessage,
        TargetAgeMessage, TotalsMessage, UptimeMessage,
    };

    /// Calls that a router serves to its followers.
    #[tarpc::service]
    pub trait Relay {
        /// The changes after a revision.
        async fn follow(follow: Follow) -> FollowResponse;
        /// Events of prefix cache stores, for each store from an event number on.
        async fn prefixes(follow: Vec<PrefixQuery>) -> Vec<PrefixPage>;
        /// Exchanges load reports of endpoints.
        async fn loads(exchange: LoadExchange) -> Vec<LoadMessage>;
        /// Receives a follower's report; none if this router collects no reports.
        async fn report(report: ReportMessage) -> Option<TotalsMessage>;
        /// Receives the subtotal of another router that has followers.
        async fn subtotal(subtotal: SubtotalMessage);
        /// Receives ends of endpoints under requests; returns all that are known under the same requests.
        async fn ends(message: EndsMessage) -> Vec<EndMessage>;
        /// Receives ends under parts of prompts and decisions on these; returns the parts that the router holds.
        async fn parts(message: PartsMessage) -> PartsMessage;
        /// Receives origins of streams.
        async fn origins(messages: Vec<OriginMessage>);
        /// What the router knows of a stream's origin.
        async fn origin(query: OriginQuery) -> OriginResponse;
        /// Ages of recently set target weights.
        async fn names() -> Vec<TargetAgeMessage>;
        /// Period in which the store has responded to the router.
        async fn uptime() -> Option<UptimeMessage>;
        /// Revision of the router's active document.
        async fn document() -> Option<Revision>;
    }
}

use calls::{Relay, RelayClient};

/// Handles one kind of call.
type Handler<Q, R> = Arc<dyn Fn(Q) -> BoxFuture<'static, R> + Send + Sync>;

/// Handlers for the calls of followers.
#[derive(Clone)]
pub struct RelayHandlers {
    /// The changes after a revision.
    pub follow: Handler<Follow, FollowResponse>,
    /// Events of prefix cache stores, for each store from an event number on.
    pub prefixes: Handler<Vec<PrefixQuery>, Vec<PrefixPage>>,
    /// Exchanges load reports of endpoints.
    pub loads: Handler<LoadExchange, Vec<LoadMessage>>,
    /// Receives a follower's report; none if this router collects no reports.
    pub report: Handler<ReportMessage, Option<TotalsMessage>>,
    /// Receives the subtotal of another router that has followers.
    pub subtotal: Handler<SubtotalMessage, ()>,
    /// Receives ends of endpoints under requests; returns all that are known under the same requests.
    pub ends: Handler<EndsMessage, Vec<EndMessage>>,
    /// Receives ends under parts of prompts and decisions on these; returns the parts that the router holds.
    pub parts: Handler<PartsMessage, PartsMessage>,
    /// Receives origins of streams.
    pub origins: Handler<Vec<OriginMessage>, ()>,
    /// What the router knows of a stream's origin.
    pub origin: Handler<OriginQuery, OriginResponse>,
    /// Ages of recently set target weights.
    pub target_ages: Handler<(), Vec<TargetAgeMessage>>,
    /// Period in which the store has responded to the router.
    pub uptime: Handler<(), Option<UptimeMessage>>,
    /// Revision of the router's active document.
    pub document: Handler<(), Option<Revision>>,
    /// Serves a connection that requests a tunnel instead of making calls.
    pub tunnel: Handler<TcpStream, ()>,
}

#[derive(Clone)]
struct Server(RelayHandlers);

impl Relay for Server {
    async fn follow(self, _: Context, follow: Follow) -> FollowResponse {
        (self.0.follow)(follow).await
    }

    async fn prefixes(self, _: Context, follow: Vec<PrefixQuery>) -> Vec<PrefixPage> {
        (self.0.prefixes)(follow).await
    }

    async fn loads(self, _: Context, exchange: LoadExchange) -> Vec<LoadMessage> {
        (self.0.loads)(exchange).await
    }

    async fn report(self, _: Context, report: ReportMessage) -> Option<TotalsMessage> {
        (self.0.report)(report).await
    }

    async fn subtotal(self, _: Context, subtotal: SubtotalMessage) {
        (self.0.subtotal)(subtotal).await;
    }

    async fn ends(self, _: Context, message: EndsMessage) -> Vec<EndMessage> {
        (self.0.ends)(message).await
    }

    async fn parts(self, _: Context, message: PartsMessage) -> PartsMessage {
        (self.0.parts)(message).await
    }

    async fn origins(self, _: Context, messages: Vec<OriginMessage>) {
        (self.0.origins)(messages).await;
    }

    async fn origin(self, _: Context, query: OriginQuery) -> OriginResponse {
        (self.0.origin)(query).await
    }

    async fn names(self, _: Context) -> Vec<TargetAgeMessage> {
        (self.0.target_ages)(()).await
    }

    async fn uptime(self, _: Context) -> Option<UptimeMessage> {
        (self.0.uptime)(()).await
    }

    async fn document(self, _: Context) -> Option<Revision> {
        (self.0.document)(()).await
    }
}

/// Serves followers until the process ends.
pub async fn serve_followers(listener: TcpListener, handlers: RelayHandlers) {
    let open = Arc::new(AtomicUsize::new(0));
    let traffic = Arc::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("accepting a follower connection failed: {err}");
                async_std::task::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.load(Ordering::Relaxed) >= MAX_FOLLOWERS {
            continue;
        }
        let slot = OpenConnection::new(&open);
        let (traffic, handlers) = (Arc::clone(&traffic), handlers.clone());
        async_std::task::spawn(async move {
            match first_byte(&stream).await {
                None => {}
                Some(TUNNEL_FIRST_BYTE) => {
                    drop(slot);
                    (handlers.tunnel)(stream).await;
                }
                Some(_) => serve(stream, &traffic, handlers).await,
            }
        });
    }
}

/// Waits for the first byte of a connection and leaves it unread; none if the connection ends before it.
async fn first_byte(stream: &TcpStream) -> Option<u8> {
    let mut byte = [0];
    match async_std::future::timeout(IDLE_TIMEOUT, stream.peek(&mut byte)).await {
        Ok(Ok(1)) => Some(byte[0]),
        _ => None,
    }
}

async fn serve(stream: TcpStream, traffic: &Arc<Traffic>, handlers: RelayHandlers) {
    let transport = tarpc::serde_transport::new(socket::framed(stream, traffic), Json::default());
    let mut calls = Box::pin(BaseChannel::with_defaults(transport).execute(Server(handlers).serve()));
    while let Ok(Some(call)) = async_std::future::timeout(IDLE_TIMEOUT, calls.next()).await {
        call.await;
    }
}

/// A connection to the router that this one follows.
pub struct Upstream {
    client: RelayClient,
    traffic: Arc<Traffic>,
}

impl Upstream {
    /// Connects to a router.
    ///
    /// # Errors
    /// The connection failed or took too long.
    pub async fn connect(address: SocketAddr, within: Duration) -> Result<Self, PeerError> {
        let stream = async_std::future::timeout(within, TcpStream::connect(address)).await??;
        let traffic = Arc::default();
        let transport = tarpc::serde_transport::new(socket::framed(stream, &traffic), Json::default());
        let created = RelayClient::new(tarpc::client::Config::default(), transport);
        async_std::task::spawn(async move {
            // Pending calls report a connection error.
            let _ = created.dispatch.await;
        });
        let client = created.client;
        Ok(Self { client, traffic })
    }

    /// Bytes received so far.
    fn received(&self) -> u64 {
        self.traffic.received.load(Ordering::Relaxed)
    }

    /// The changes after a revision.
    ///
    /// # Errors
    /// The call failed, or no response started to arrive within the requested wait plus `grace`.
    pub async fn follow(&self, follow: Follow, grace: Duration) -> Result<FollowResponse, PeerError> {
        let within = Duration::from_millis(follow.wait_ms) + grace;
        self.response(within, self.client.follow(call_context(within), follow))
            .await
    }

    /// Events of prefix cache stores, for each store from an event number on. Stores of which the upstream has no
    /// current data are left out.
    ///
    /// # Errors
    /// The call failed, or no response started to arrive in time.
    pub async fn prefixes(&self, follow: Vec<PrefixQuery>, within: Duration) -> Result<Vec<PrefixPage>, PeerError> {
        self.response(within, self.client.prefixes(call_context(within), follow))
            .await
    }

    /// Exchanges load reports of endpoints.
    ///
    /// # Errors
    /// The call failed, or no response started to arrive in time.
    pub async fn loads(&self, exchange: LoadExchange, within: Duration) -> Result<Vec<LoadMessage>, PeerError> {
        self.response(within, self.client.loads(call_context(within), exchange))
            .await
    }

    /// Reports to the followed router. Returns none if it collects no reports.
    ///
    /// # Errors
    /// The call failed, or no response started to arrive in time.
    pub async fn report(&self, report: ReportMessage, within: Duration) -> Result<Option<TotalsMessage>, PeerError> {
        self.response(within, self.client.report(call_context(within), report))
            .await
    }

    /// Sends the subtotal of this router and its followers.
    ///
    /// # Errors
    /// The call failed, or no response started to arrive in time.
    pub async fn subtotal(&self, subtotal: SubtotalMessage, within: Duration) -> Result<(), PeerError> {
        self.response(within, self.client.subtotal(call_context(within), subtotal))
            .await
    }

    /// Reports ends of endpoints under requests. Returns all that the router knows under the same requests.
    ///
    /// # Errors
    /// The call failed, or no response started to arrive in time.
    pub async fn ends(&self, message: EndsMessage, within: Duration) -> Result<Vec<EndMessage>, PeerError> {
        self.response(within, self.client.ends(call_context(within), message))
            .await
    }

    /// Reports ends under parts of prompts, or tells decisions on these. Returns the parts that the router holds.
    ///
    /// # Errors
    /// The call failed, or no response started to arrive in time.
    pub async fn parts(&self, message: PartsMessage, within: Duration) -> Result<PartsMessage, PeerError> {
        self.response(within, self.client.parts(call_context(within), message))
            .await
    }

    /// Sends origins of streams.
    ///
    /// # Errors
    /// The call failed, or no response started to arrive in time.
    pub async fn origins(&self, messages: Vec<OriginMessage>, within: Duration) -> Result<(), PeerError> {
        self.response(within, self.client.origins(call_context(within), messages))
            .await
    }

    /// Asks where a stream began.
    ///
    /// # Errors
    /// The call failed, or no response started to arrive in time.
    pub async fn origin(&self, query: OriginQuery, within: Duration) -> Result<OriginResponse, PeerError> {
        self.response(within, self.client.origin(call_context(within), query))
            .await
    }

    /// Ages of recently set target weights.
    ///
    /// # Errors
    /// The call failed, or no response started to arrive in time.
    pub async fn target_ages(&self, within: Duration) -> Result<Vec<TargetAgeMessage>, PeerError> {
        self.response(within, self.client.names(call_context(within))).await
    }

    /// Period in which the store has responded to the router; absent if it never did.
    ///
    /// # Errors
    /// The call failed, or no response started to arrive in time.
    pub async fn uptime(&self, within: Duration) -> Result<Option<UptimeMessage>, PeerError> {
        self.response(within, self.client.uptime(call_context(within))).await
    }

    /// Revision of the router's active document; absent if it has none.
    ///
    /// # Errors
    /// The call failed, or no response started to arrive in time.
    pub async fn document(&self, within: Duration) -> Result<Option<Revision>, PeerError> {
        self.response(within, self.client.document(call_context(within))).await
    }

    /// Waits for a response that starts to arrive within a time and does not stall afterwards.
    async fn response<T>(
        &self,
        within: Duration,
        call: impl Future<Output = Result<T, RpcError>>,
    ) -> Result<T, PeerError> {
        let before = self.received();
        let outcome = progress_timeout(within, || self.received(), call).await;
        Ok(outcome.map_err(|_| PeerError::ResponseTimeout(self.received() - before))??)
    }
}

/// Context with the deadline until which the peer may handle a call and its response may arrive.
fn call_context(within: Duration) -> Context {
    deadline_in(within + MAX_RESPONSE_TIME)
}
