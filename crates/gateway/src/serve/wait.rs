//! Waiting for an endpoint while the caller may go away.

use async_std::future::timeout;
use futures::future::{Either, select};
use http::Conn;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

/// How a wait ended.
pub(super) enum Waited<T> {
    Done(T),
    CallerGone,
    TimeOver,
}

/// The wait was ended since the weights that the request names became too old to begin on.
#[derive(Debug)]
pub(super) struct Outdated;

/// Waits for `future`, for the caller to go, or for the time to be over.
pub(super) async fn wait<T>(conn: &Conn, within: Duration, future: impl Future<Output = T>) -> Waited<T> {
    let gone = pin!(conn.peer_gone());
    let future = pin!(future);
    match timeout(within, select(future, gone)).await {
        Ok(Either::Left((done, _))) => Waited::Done(done),
        Ok(Either::Right(_)) => Waited::CallerGone,
        Err(_) => Waited::TimeOver,
    }
}
