//! Waiting for an endpoint while the client may close its connection.

use async_std::future::timeout;
use futures::future::{Either, select};
use http::Conn;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

/// How a wait ended.
pub(super) enum WaitOutcome<T> {
    Done(T),
    ClientDisconnected,
    TimedOut,
}

/// The wait ended because the weights that the request names became too old to begin with.
#[derive(Debug)]
pub(super) struct WeightsOutdated;

/// Waits until `future` completes, the client closes its connection, or the time is over.
pub(super) async fn wait<T>(conn: &Conn, within: Duration, future: impl Future<Output = T>) -> WaitOutcome<T> {
    let disconnected = pin!(conn.peer_closed());
    let future = pin!(future);
    match timeout(within, select(future, disconnected)).await {
        Ok(Either::Left((done, _))) => WaitOutcome::Done(done),
        Ok(Either::Right(_)) => WaitOutcome::ClientDisconnected,
        Err(_) => WaitOutcome::TimedOut,
    }
}
