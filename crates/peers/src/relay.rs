//! What routers that follow the store tell those that don't.
//!
//! Load pattern: hundreds of routers, each of which would keep a watch on the store. Every change would cost as many
//! answers, and every call is priced. So few routers of each failure domain watch, and the others follow one of them
//! in the same way: they name the store's revision that they have and wait for what comes after it.

use crate::link::deadline_in;
use crate::service::PeerError;
use crate::socket::{self, Traffic};
use async_std::net::{TcpListener, TcpStream};
use dispatch::fleet::{LaneTokens, ShortKey};
use dispatch::prefixes::PartKey;
use futures::StreamExt;
use futures::future::BoxFuture;
use http::progress_timeout;
use ids::{ModelId, Revision, ServiceId, VmId};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;
use tarpc::client::RpcError;
use tarpc::context::Context;
use tarpc::server::{BaseChannel, Channel};
use tokio_serde::formats::Json;

/// Most followers of one router: a domain's routers, twice over.
const MAX_FOLLOWERS: usize = 256;
/// A connection without a call for this long is ended.
const IDLE: Duration = Duration::from_secs(30);
/// Longest time in which an answer arrives once it has begun to.
const LONGEST_ANSWER: Duration = Duration::from_secs(10);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

/// Asks for what comes after a revision.
#[derive(Debug, Clone, Serialize, Deserialize)]
pub struct Follow {
    /// Store revision up to which all is known; absent if nothing is.
    pub after: Option<u64>,
    /// The store's era of that revision; absent from routers that know no eras.
    #[serde(default)]
    pub era: Option<u64>,
    /// How long the answer may wait for the first change.
    pub wait_ms: u64,
    /// Whether packed values are understood.
    #[serde(default)]
    pub unpacks: bool,
}

/// A key's item.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayItem {
    /// The key.
    pub key: String,
    /// Its value; in text, since all values that routers read are.
    pub value: String,
    /// Whether the text is the value [packed](crate::pack).
    #[serde(default)]
    pub packed: bool,
    /// Store revision of its last change.
    pub revision: u64,
    /// Store revision of its creation.
    pub created: u64,
    /// The lease it goes with.
    pub lease: u64,
}

/// A time in which the store answered a router without a break, in ages when it is told.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpanTold {
    /// Age of the first answer, milliseconds.
    pub from_ms: u64,
    /// Age of the last answer, milliseconds.
    pub until_ms: u64,
}

/// What came after the revision.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Followed {
    /// Store revision up to which this is complete; absent if the router knows nothing yet.
    pub revision: Option<u64>,
    /// The store's era of that revision; absent from routers that know no eras.
    #[serde(default)]
    pub era: Option<u64>,
    /// Whether `items` is all there is; otherwise it is what has changed.
    pub whole: bool,
    /// Items.
    pub items: Vec<RelayItem>,
    /// Keys that have gone.
    pub removed: Vec<String>,
    /// How long before this answer the store was known to hold nothing newer, milliseconds.
    pub age_ms: Option<u64>,
    /// Since when the store answers the router; absent if it never did.
    pub answers: Option<SpanTold>,
    /// How long the answer waited for a change, milliseconds. The ages count from its end.
    pub waited_ms: u64,
}

/// Asks for events of a store of cached prefixes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixFollow {
    /// Where the store is.
    pub store: SocketAddr,
    /// The store's life that the number belongs to.
    pub life: u64,
    /// Number of the first event that is not known.
    pub next: u64,
}

/// What has changed in one store of cached prefixes. Keys only: as whole events, with scopes and identifiers in text, they
/// filled a link of 10 Mbit/s, and followers heard nothing in time.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PrefixPage {
    /// Where the store is.
    pub store: SocketAddr,
    /// The store's life.
    pub life: u64,
    /// Number to ask on from.
    pub next: u64,
    /// Parts that it holds by now.
    pub held: Vec<PartKey>,
    /// Parts that it has dropped.
    pub gone: Vec<PartKey>,
}

/// An endpoint's load report on its way between routers: key, requests that run, requests that wait, age in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadTold(pub ShortKey, pub u32, pub u32, pub u64);

/// A router's load reports for the one it follows, which answers with those of others.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadExchange {
    /// How long ago the last exchange was; what was heard since is told.
    pub last_ms: u64,
    /// Reports of answers that the router got itself.
    pub own: Vec<LoadTold>,
}

/// Prompt tokens that a router's requests wait to have read: all that there are at the time, by endpoint.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct BacklogTold {
    /// Whose requests.
    pub router: VmId,
    /// Endpoints with a backlog, and its prompt tokens.
    pub backlogs: Vec<(ShortKey, u64)>,
    /// What the router's requests have had read lately, of each service.
    pub reads: Vec<(ServiceId, LaneTokens)>,
    /// Rates that endpoints named lately.
    #[serde(default)]
    pub rates: Vec<RateTold>,
}

/// What an endpoint said of the requests a second that it takes, on its way between routers: key, rate or none any more, age in milliseconds.
#[derive(Debug, Clone, Copy, PartialEq, Serialize, Deserialize)]
pub struct RateTold(pub ShortKey, pub Option<f64>, pub u64);

/// How long ago weights were named, as far as a router can tell.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct NameTold {
    /// The model.
    pub model: ModelId,
    /// Number of the weights.
    pub weights: u64,
    /// At least so long before this answer, milliseconds.
    pub least_ms: u64,
    /// At most so long, milliseconds; absent if the router can't tell.
    pub most_ms: Option<u64>,
}

// The macro writes items that can't carry comments.
#[allow(missing_docs)]
mod calls {
    use super::{
        BacklogTold, Follow, Followed, LoadExchange, LoadTold, NameTold, PrefixFollow, PrefixPage, Revision, SpanTold,
    };

    /// What a router answers to its followers.
    #[tarpc::service]
    pub trait Relay {
        /// What comes after a revision.
        async fn follow(follow: Follow) -> Followed;
        /// Events of stores of cached prefixes, of each after a number.
        async fn prefixes(follow: Vec<PrefixFollow>) -> Vec<PrefixPage>;
        /// Load reports of endpoints, both ways.
        async fn loads(exchange: LoadExchange) -> Vec<LoadTold>;
        /// What another router's requests wait for.
        async fn backlog(told: BacklogTold);
        /// How long ago weights were named lately.
        async fn names() -> Vec<NameTold>;
        /// Since when the store answers the router.
        async fn uptime() -> Option<SpanTold>;
        /// The document that the router has in force.
        async fn document() -> Option<Revision>;
    }
}

use calls::{Relay, RelayClient};

/// One kind of answer.
type Answers<Q, A> = Arc<dyn Fn(Q) -> BoxFuture<'static, A> + Send + Sync>;

/// Answers a follower.
#[derive(Clone)]
pub struct Answer {
    /// What comes after a revision.
    pub follow: Answers<Follow, Followed>,
    /// Events of stores of cached prefixes, of each after a number.
    pub prefixes: Answers<Vec<PrefixFollow>, Vec<PrefixPage>>,
    /// Load reports of endpoints, both ways.
    pub loads: Answers<LoadExchange, Vec<LoadTold>>,
    /// What another router's requests wait for.
    pub backlog: Answers<BacklogTold, ()>,
    /// How long ago weights were named lately.
    pub names: Answers<(), Vec<NameTold>>,
    /// Since when the store answers the router.
    pub uptime: Answers<(), Option<SpanTold>>,
    /// The document that the router has in force.
    pub document: Answers<(), Option<Revision>>,
}

#[derive(Clone)]
struct Server(Answer);

impl Relay for Server {
    async fn follow(self, _: Context, follow: Follow) -> Followed {
        (self.0.follow)(follow).await
    }

    async fn prefixes(self, _: Context, follow: Vec<PrefixFollow>) -> Vec<PrefixPage> {
        (self.0.prefixes)(follow).await
    }

    async fn loads(self, _: Context, exchange: LoadExchange) -> Vec<LoadTold> {
        (self.0.loads)(exchange).await
    }

    async fn backlog(self, _: Context, told: BacklogTold) {
        (self.0.backlog)(told).await;
    }

    async fn names(self, _: Context) -> Vec<NameTold> {
        (self.0.names)(()).await
    }

    async fn uptime(self, _: Context) -> Option<SpanTold> {
        (self.0.uptime)(()).await
    }

    async fn document(self, _: Context) -> Option<Revision> {
        (self.0.document)(()).await
    }
}

/// Answers followers until the process ends.
pub async fn serve_followers(listener: TcpListener, answer: Answer) {
    let open = Arc::new(AtomicUsize::new(0));
    let traffic = Arc::default();
    loop {
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(err) => {
                log::warn!("a follower could not be accepted: {err}");
                async_std::task::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        if open.load(Ordering::Relaxed) >= MAX_FOLLOWERS {
            continue;
        }
        open.fetch_add(1, Ordering::Relaxed);
        let (open, traffic, answer) = (open.clone(), Arc::clone(&traffic), answer.clone());
        async_std::task::spawn(async move {
            serve(stream, &traffic, answer).await;
            open.fetch_sub(1, Ordering::Relaxed);
        });
    }
}

async fn serve(stream: TcpStream, traffic: &Arc<Traffic>, answer: Answer) {
    let transport = tarpc::serde_transport::new(socket::framed(stream, traffic), Json::default());
    let mut calls = Box::pin(BaseChannel::with_defaults(transport).execute(Server(answer).serve()));
    while let Ok(Some(call)) = async_std::future::timeout(IDLE, calls.next()).await {
        call.await;
    }
}

/// A connection to a router that is followed.
pub struct Leader {
    client: RelayClient,
    traffic: Arc<Traffic>,
}

impl Leader {
    /// Connects.
    ///
    /// # Errors
    /// No connection in time.
    pub async fn connect(address: SocketAddr, within: Duration) -> Result<Self, PeerError> {
        let stream = async_std::future::timeout(within, TcpStream::connect(address)).await??;
        let traffic = Arc::default();
        let transport = tarpc::serde_transport::new(socket::framed(stream, &traffic), Json::default());
        let new = RelayClient::new(tarpc::client::Config::default(), transport);
        async_std::task::spawn(async move {
            // How a connection ends is seen by its calls.
            let _ = new.dispatch.await;
        });
        let client = new.client;
        Ok(Self { client, traffic })
    }

    /// Bytes that have arrived.
    fn received(&self) -> u64 {
        self.traffic.received.load(Ordering::Relaxed)
    }

    /// What comes after a revision.
    ///
    /// # Errors
    /// The call failed, or no answer began to arrive within its wait and `grace`.
    pub async fn follow(&self, follow: Follow, grace: Duration) -> Result<Followed, PeerError> {
        let within = Duration::from_millis(follow.wait_ms) + grace;
        self.answer(within, self.client.follow(latest(within), follow)).await
    }

    /// Events of stores of cached prefixes, of each after a number. A store that the other router has no word of is left out.
    ///
    /// # Errors
    /// The call failed, or no answer began to arrive in time.
    pub async fn prefixes(&self, follow: Vec<PrefixFollow>, within: Duration) -> Result<Vec<PrefixPage>, PeerError> {
        self.answer(within, self.client.prefixes(latest(within), follow)).await
    }

    /// Exchanges load reports of endpoints.
    ///
    /// # Errors
    /// The call failed, or no answer began to arrive in time.
    pub async fn loads(&self, exchange: LoadExchange, within: Duration) -> Result<Vec<LoadTold>, PeerError> {
        self.answer(within, self.client.loads(latest(within), exchange)).await
    }

    /// Tells what this router's requests wait for.
    ///
    /// # Errors
    /// The call failed, or no answer began to arrive in time.
    pub async fn backlog(&self, told: BacklogTold, within: Duration) -> Result<(), PeerError> {
        self.answer(within, self.client.backlog(latest(within), told)).await
    }

    /// How long ago weights were named lately.
    ///
    /// # Errors
    /// The call failed, or no answer began to arrive in time.
    pub async fn names(&self, within: Duration) -> Result<Vec<NameTold>, PeerError> {
        self.answer(within, self.client.names(latest(within))).await
    }

    /// Since when the store answers the router; absent if it never did.
    ///
    /// # Errors
    /// The call failed, or no answer began to arrive in time.
    pub async fn uptime(&self, within: Duration) -> Result<Option<SpanTold>, PeerError> {
        self.answer(within, self.client.uptime(latest(within))).await
    }

    /// The document that the router has in force; absent if it has none.
    ///
    /// # Errors
    /// The call failed, or no answer began to arrive in time.
    pub async fn document(&self, within: Duration) -> Result<Option<Revision>, PeerError> {
        self.answer(within, self.client.document(latest(within))).await
    }

    /// Waits for an answer that begins to arrive within a time and does not stall after that.
    async fn answer<T>(
        &self,
        within: Duration,
        call: impl Future<Output = Result<T, RpcError>>,
    ) -> Result<T, PeerError> {
        let before = self.received();
        let answered = progress_timeout(within, || self.received(), call).await;
        Ok(answered.map_err(|_| PeerError::Late(self.received() - before))??)
    }
}

/// Until when the other router may work on a call, and its answer may arrive.
fn latest(within: Duration) -> Context {
    deadline_in(within + LONGEST_ANSWER)
}
