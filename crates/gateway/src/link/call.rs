//! Calls of the router's own to endpoints.

use async_std::future::timeout;
use http::raw::{Call, Called, ExchangeError, HeadError, Headers, Source, connect};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest answer to such a call, bytes.
const ANSWER_BYTES: u64 = 4 << 20;

/// Calls to one endpoint that may be repeated, one after the other over one connection: opening one costs the endpoint time.
#[derive(Debug)]
pub struct Line {
    to: SocketAddr,
    kept: Option<Source>,
}

impl Line {
    /// To an address; nothing is opened yet.
    pub fn new(to: SocketAddr) -> Self {
        Self { to, kept: None }
    }

    /// Makes a call. If the peer has closed the kept connection, it is made on a new one.
    ///
    /// # Errors
    /// No whole answer came within the time.
    pub async fn ask(
        &mut self,
        call: &Call,
        headers: &Headers,
        within: Duration,
    ) -> Result<(u16, Vec<u8>), ExchangeError> {
        let kept = self.kept.take();
        let to = self.to;
        let asked = async {
            if let Some(source) = kept {
                match send(source, to, call, headers).await {
                    Err(err) if err.closed() => {}
                    answered => return answered,
                }
            }
            send(connect(to, within).await?, to, call, headers).await
        };
        let called = in_time(within, asked).await?;
        self.kept = called.kept;
        Ok((called.status, called.body))
    }
}

/// One call over a connection of its own.
///
/// # Errors
/// No whole answer came within the time.
pub async fn ask(
    to: SocketAddr,
    call: &Call,
    headers: &Headers,
    within: Duration,
) -> Result<(u16, Vec<u8>), ExchangeError> {
    let mut headers = headers.clone();
    headers.push("Connection", "close");
    let asked = async { send(connect(to, within).await?, to, call, &headers).await };
    let called = in_time(within, asked).await?;
    Ok((called.status, called.body))
}

/// A call that is given up, here or by a caller that drops this future, is reset. Its bytes would otherwise be sent again until the peer
/// acknowledges them: an order that is lost on its way would arrive when the list that allows it is out of date, and another
/// holder's orders may have come in between.
async fn send(source: Source, to: SocketAddr, call: &Call, headers: &Headers) -> Result<Called, ExchangeError> {
    let conn = source.conn().clone();
    conn.reset_at_end(true);
    let called = call.send(source, to, headers, ANSWER_BYTES).await?;
    // The peer has the whole call; a reset could take the end of its own work on the connection from it.
    conn.reset_at_end(false);
    Ok(called)
}

async fn in_time<T>(
    within: Duration,
    asked: impl Future<Output = Result<T, ExchangeError>>,
) -> Result<T, ExchangeError> {
    let cut = Err(ExchangeError::Head(HeadError::Cut));
    timeout(within, asked).await.unwrap_or(cut)
}
