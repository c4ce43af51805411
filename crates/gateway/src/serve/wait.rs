//! Waiting for an endpoint while the client may close its connection.

use super::silent::SilentAttempt;
use async_std::future::timeout;
use futures::future::{Either, pending, select};
use http::Conn;
use std::future::Future;
use std::pin::pin;
use std::time::Duration;

/// How a wait ended.
pub(super) enum WaitOutcome<'a, T> {
    Done(T),
    ClientDisconnected,
    /// A silent endpoint goes on.
    Resumed(Box<SilentAttempt<'a>>),
    TimedOut,
}

/// The wait ended because the weights that the request names became too old to begin with.
#[derive(Debug)]
pub(super) struct WeightsOutdated;

/// Waits until `future` completes, the client closes its connection, or the time is over.
pub(super) async fn wait<'a, T>(conn: &Conn, within: Duration, future: impl Future<Output = T>) -> WaitOutcome<'a, T> {
    let disconnected = pin!(conn.peer_closed());
    let future = pin!(future);
    match timeout(within, select(future, disconnected)).await {
        Ok(Either::Left((done, _))) => WaitOutcome::Done(done),
        Ok(Either::Right(_)) => WaitOutcome::ClientDisconnected,
        Err(_) => WaitOutcome::TimedOut,
    }
}

/// Waits like [`wait`], or until a silent endpoint goes on.
pub(super) async fn wait_or_resume<'a, T>(
    conn: &Conn,
    within: Duration,
    future: impl Future<Output = T>,
    resumed: impl Future<Output = Option<SilentAttempt<'a>>>,
) -> WaitOutcome<'a, T> {
    let resumed = async {
        match resumed.await {
            Some(attempt) => attempt,
            // All have failed, so only the future is left.
            None => pending().await,
        }
    };
    let (future, resumed) = (pin!(future), pin!(resumed));
    match wait(conn, within, select(future, resumed)).await {
        WaitOutcome::Done(Either::Left((done, _))) => WaitOutcome::Done(done),
        WaitOutcome::Done(Either::Right((attempt, _))) => WaitOutcome::Resumed(Box::new(attempt)),
        WaitOutcome::ClientDisconnected => WaitOutcome::ClientDisconnected,
        WaitOutcome::Resumed(attempt) => WaitOutcome::Resumed(attempt),
        WaitOutcome::TimedOut => WaitOutcome::TimedOut,
    }
}
