//! Sends a request to several other routers at once.

use super::Members;
use crate::shared::Shared;
use futures::future::join_all;
use peers::{PeerError, Upstream};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for a connection, and for a response, which needs no waiting at the other router.
pub const CALL_TIMEOUT: Duration = Duration::from_millis(300);
/// Number of routers that are asked at once. They are drawn again for each request: all routers of one failure domain
/// may be disconnected, and two thirds of all routers may have failed at the same time. One useful response is enough.
const PEERS_ASKED: usize = 4;

/// Responses of some other routers, each asked over a new connection. `unanswered` is logged for a router that does not
/// respond.
pub async fn ask_others<T, F>(shared: &Shared, unanswered: &str, ask: impl Fn(Upstream) -> F) -> Vec<T>
where
    F: Future<Output = Result<T, PeerError>>,
{
    let settings = shared.settings.load_full();
    let others = Members::read(shared).some_others(&settings.vm, PEERS_ASKED);
    let answers = others.into_iter().map(|address| ask_one(address, unanswered, &ask));
    join_all(answers).await.into_iter().flatten().collect()
}

async fn ask_one<T, F>(address: SocketAddr, unanswered: &str, ask: impl Fn(Upstream) -> F) -> Option<T>
where
    F: Future<Output = Result<T, PeerError>>,
{
    let answered = async { ask(Upstream::connect(address, CALL_TIMEOUT).await?).await };
    match answered.await {
        Ok(answer) => Some(answer),
        Err(err) => {
            log::debug!(router:% = address, why:% = err; "{unanswered}");
            None
        }
    }
}
