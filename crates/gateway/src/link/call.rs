//! Calls of the router's own to endpoints.

use async_std::future::timeout;
use http::raw::{Call, ExchangeError, HeadError, Headers, connect};
use std::net::SocketAddr;
use std::time::Duration;

/// Longest answer to such a call, bytes.
const ANSWER_BYTES: u64 = 4 << 20;

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
    let asked = async {
        let source = connect(to, within).await?;
        let called = call.send(source, to, &headers, ANSWER_BYTES).await?;
        Ok((called.status, called.body))
    };
    timeout(within, asked)
        .await
        .unwrap_or(Err(ExchangeError::Head(HeadError::Cut)))
}
