//! Calls to endpoints and prefix cache stores that the router makes for itself.

use async_std::future::timeout;
use http::raw::{Call, CallResponse, ExchangeError, HeadError, Headers, Source, connect};
use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

/// Longest page of events of a prefix cache store, bytes.
const MAX_EVENTS_BYTES: u64 = 4 << 20;
/// Longest response of an endpoint to such a call, bytes. A report has some ten bytes for each model, and all failed
/// endpoints of a site may be probed at once.
const MAX_REPORT_BYTES: u64 = 64 << 10;

/// A reused connection for repeatable calls to one address, one call at a time. Opening a connection costs the endpoint
/// time.
#[derive(Debug)]
pub struct CallConnection {
    address: SocketAddr,
    idle: Option<Source>,
    /// Longest body of a response, bytes.
    max_body: u64,
}

impl CallConnection {
    /// Creates a client of the endpoint at this address. The connection is opened by the first call.
    pub fn to_endpoint(address: SocketAddr) -> Self {
        Self {
            address,
            idle: None,
            max_body: MAX_REPORT_BYTES,
        }
    }

    /// Creates a client of the prefix cache store at this address, like [`Self::to_endpoint`].
    pub fn to_prefix_store(address: SocketAddr) -> Self {
        Self {
            max_body: MAX_EVENTS_BYTES,
            ..Self::to_endpoint(address)
        }
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
        let (address, max_body) = (self.address, self.max_body);
        let exchange = async {
            if let Some(source) = idle {
                match send(source, address, call, headers, max_body).await {
                    Err(err) if err.is_closed() => {}
                    response => return response,
                }
            }
            send(connect(address, limit).await?, address, call, headers, max_body).await
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
    let called = with_timeout(limit, send(source, address, call, &headers, MAX_REPORT_BYTES)).await?;
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
    max_body: u64,
) -> Result<CallResponse, ExchangeError> {
    let conn = source.conn().clone();
    conn.reset_on_drop(true);
    let called = call.send(source, address, headers, max_body).await?;
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
