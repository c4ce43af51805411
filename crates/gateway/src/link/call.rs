//! Calls of the router's own to endpoints.

use async_std::future::timeout;
use http::raw::{Call, ExchangeError, HeadError, Headers, connect};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest answer to such a call, bytes.
const ANSWER_BYTES: u64 = 4 << 20;

/// One call over a connection of its own.
///
/// A call that is given up, here or by a caller that drops this future, is reset. Its bytes would otherwise be sent again until the peer
/// acknowledges them: an order that is lost on its way would arrive when the list that allows it is out of date, and another
/// holder's orders may have come in between.
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
    let asked = async {
        let source = connect(to, within).await?;
        let conn = source.conn().clone();
        conn.reset_at_end(true);
        let called = call.send(source, to, &headers, ANSWER_BYTES).await?;
        // The peer has the whole call; a reset could take the end of its own work on the connection from it.
        conn.reset_at_end(false);
        Ok((called.status, called.body))
    };
    timeout(within, asked)
        .await
        .unwrap_or(Err(ExchangeError::Head(HeadError::Cut)))
}
