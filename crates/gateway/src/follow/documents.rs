//! Which document other routers have in force.
//!
//! A store that came back from a copy shows an older document until the operator has written the newest one again. A router that knew
//! that one is not misled. One that has just started, or was cut off, would take the older one for the newest, and serve keys that were
//! taken away; others can tell it better.

use super::Members;
use crate::shared::Shared;
use futures::future::join_all;
use ids::Revision;
use peers::{Leader, PeerError};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest wait for a connection, and for an answer, which is there at once.
const CALL: Duration = Duration::from_millis(300);
/// Routers that are asked at once.
const ASKED: usize = 4;

/// What this router tells another.
pub fn answer(shared: &Shared) -> Option<Revision> {
    shared.site.load().as_ref().map(|site| site.revision())
}

/// The newest document that some other routers have in force; none if nobody answers.
pub async fn newest(shared: &Shared) -> Option<Revision> {
    let settings = shared.settings.load_full();
    let others = Members::read(shared).some_others(&settings.vm, ASKED);
    let told = join_all(others.into_iter().map(ask_one)).await;
    told.into_iter().flatten().max()
}

async fn ask_one(address: SocketAddr) -> Option<Revision> {
    match document(address).await {
        Ok(told) => told,
        Err(err) => {
            // Others are asked as well.
            log::debug!(router:% = address, why:% = err; "configuration: a router does not tell which one it has");
            None
        }
    }
}

async fn document(address: SocketAddr) -> Result<Option<Revision>, PeerError> {
    let other = Leader::connect(address, CALL).await?;
    other.document(CALL).await
}
