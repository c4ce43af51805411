//! One question to some other routers at once.

use super::Members;
use crate::shared::Shared;
use futures::future::join_all;
use peers::{Leader, PeerError};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for a connection, and for an answer, which is there at once.
pub const CALL: Duration = Duration::from_millis(300);
/// Routers that are asked at once. They are drawn anew each time: those of one failure domain may all be cut off, and two thirds may
/// have gone at the same moment. One that knows is enough.
const ASKED: usize = 4;

/// What some other routers answer, each asked over a connection of its own. `unanswered` is the log line for one that does not.
pub async fn ask_others<T, F>(shared: &Shared, unanswered: &str, ask: impl Fn(Leader) -> F) -> Vec<T>
where
    F: Future<Output = Result<T, PeerError>>,
{
    let settings = shared.settings.load_full();
    let others = Members::read(shared).some_others(&settings.vm, ASKED);
    let answers = others.into_iter().map(|address| ask_one(address, unanswered, &ask));
    join_all(answers).await.into_iter().flatten().collect()
}

async fn ask_one<T, F>(address: SocketAddr, unanswered: &str, ask: impl Fn(Leader) -> F) -> Option<T>
where
    F: Future<Output = Result<T, PeerError>>,
{
    let answered = async { ask(Leader::connect(address, CALL).await?).await };
    match answered.await {
        Ok(answer) => Some(answer),
        Err(err) => {
            log::debug!(router:% = address, why:% = err; "{unanswered}");
            None
        }
    }
}
