//! Calls to endpoints and prefix cache stores that the router makes for itself.

use async_std::future::timeout;
use http::raw::{Call, CallResponse, ExchangeError, HeadError, Headers, Source, connect};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest response to such a call, bytes.
const MAX_RESPONSE_BYTES: u64 = 4 << 20;

/// A reused connection for repeatable calls to one address, one call at a time. Opening a connection costs the endpoint
/// time.
#[derive(Debug)]
pub struct CallConnection {
    address: SocketAddr,
    idle: Option<Source>,
}

impl CallConnection {
    /// Creates a client of this address. The connection is opened by the first call.
    pub fn new(address: SocketAddr) -> Self {
        Self { address, idle: None }
    }

    /// Makes a call. If the peer has closed the idle connection, the call is repeated over a new one.
    ///
    /// # Errors
    /// No complete response arrived in time.
    pub async fn call(
        &mut self,
        call: &Call,
        headers: &Headers,
        limit: Duration,
    ) -> Result<(u16, Vec<u8>), ExchangeError> {
        let idle = self.idle.take();
        let address = self.address;
        let exchange = async {
            if let Some(source) = idle {
                match send(source, address, call, headers).await {
                    Err(err) if err.is_closed() => {}
                    response => return response,
                }
            }
            send(connect(address, limit).await?, address, call, headers).await
        };
        let called = with_timeout(limit, exchange).await?;
        self.idle = called.reusable;
        Ok((called.status, called.body))
    }
}

/// Makes one call over a new connection.
///
/// # Errors
/// No complete response arrived in time.
pub async fn call_once(
    address: SocketAddr,
    call: &Call,
    headers: &Headers,
    limit: Duration,
) -> Result<(u16, Vec<u8>), ExchangeError> {
    let exchange = async { call_over(connect(address, limit).await?, address, call, headers, limit).await };
    with_timeout(limit, exchange).await
}

/// Makes one call over a new connection that is already open.
///
/// # Errors
/// No complete response arrived in time.
pub async fn call_over(
    source: Source,
    address: SocketAddr,
    call: &Call,
    headers: &Headers,
    limit: Duration,
) -> Result<(u16, Vec<u8>), ExchangeError> {
    let mut headers = headers.clone();
    headers.push("Connection", "close");
    let called = with_timeout(limit, send(source, address, call, &headers)).await?;
    Ok((called.status, called.body))
}

/// Sends a call. If the call is cancelled, here or because the caller drops this future, the connection is reset.
/// Otherwise the kernel would retransmit the call until the peer acknowledges it. A delayed order could then arrive
/// after its load list is out of date and after orders of another lease holder.
async fn send(
    source: Source,
    address: SocketAddr,
    call: &Call,
    headers: &Headers,
) -> Result<CallResponse, ExchangeError> {
    let conn = source.conn().clone();
    conn.reset_on_drop(true);
    let called = call.send(source, address, headers, MAX_RESPONSE_BYTES).await?;
    // The peer has received the whole call. A reset could now abort its own use of the connection.
    conn.reset_on_drop(false);
    Ok(called)
}

async fn with_timeout<T>(
    limit: Duration,
    exchange: impl Future<Output = Result<T, ExchangeError>>,
) -> Result<T, ExchangeError> {
    let truncated = Err(ExchangeError::Head(HeadError::Truncated));
    timeout(limit, exchange).await.unwrap_or(truncated)
}
