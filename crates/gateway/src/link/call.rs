//! Calls of the router's own to endpoints.

use async_std::future::timeout;
use http::raw::{ExchangeError, HeadError, Headers, connect, exchange};
use std::net::SocketAddr;
use std::time::Duration;
use store::items::Call;

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
    let asked = async {
        let mut source = connect(to, within).await?;
        let mut bytes = format!("{} {} HTTP/1.1\r\nHost: {}\r\n", call.method, call.target, to).into_bytes();
        headers.write(&mut bytes);
        if !call.body.is_empty() {
            let lines = format!(
                "Content-Type: application/json\r\nContent-Length: {}\r\n",
                call.body.len()
            );
            bytes.extend_from_slice(lines.as_bytes());
        }
        bytes.extend_from_slice(b"Connection: close\r\n\r\n");
        bytes.extend_from_slice(&call.body);
        let mut answer = exchange(&mut source, &bytes, call.method, |_| true).await?;
        let body = answer.body.whole(&mut source, ANSWER_BYTES).await;
        let body = body.map_err(|_| ExchangeError::Head(HeadError::Cut))?;
        Ok((answer.head.status, body))
    };
    timeout(within, asked)
        .await
        .unwrap_or(Err(ExchangeError::Head(HeadError::Cut)))
}
