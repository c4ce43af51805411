//! Client with a pool of idle connections for each address.

use crate::checked::CheckedConn;
use crate::conn::Conn;
use crate::reply::Reply;
use crate::timeout::timeout;
use async_std::net::TcpStream;
use http_types::{Request, Response};
use quick_error::quick_error;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// An idle connection older than this is not reused: the peer is likely to close it soon.
const IDLE_MAX: Duration = Duration::from_secs(15);
/// Most bytes that are read until a response head is complete: a head of 8 KB, which is the longest for async-h1, a few
/// interim ones, and what is read ahead of the body.
const MAX_HEAD_BYTES: u64 = 32 << 10;
/// Idle connections kept for one address.
const IDLE_COUNT: usize = 64;

quick_error! {
    /// Why no response head arrived. The variant tells whether the peer may have acted on the request.
    #[derive(Debug)]
    pub enum SendError {
        /// No byte of the request was sent: the peer has not run it.
        NotSent(err: std::io::Error) {
            display("cannot connect: {err}")
        }
        /// Bytes were sent and no complete and valid response head was received: the outcome is unknown.
        NoAnswer {
            display("no valid response arrived")
        }
        /// The response head is too long: the outcome is unknown.
        TooLong {
            display("the response head is longer than {MAX_HEAD_BYTES} bytes")
        }
        /// The caller of `send_once` cancelled the request after the connection was established; nothing was sent.
        Cancelled {
            display("the request was cancelled before it was sent")
        }
        /// The request timed out; `sent` tells whether any byte had been sent.
        Timeout(sent: bool) {
            display("no response in time")
        }
    }
}

impl SendError {
    /// Whether no byte of the request can have reached the peer.
    pub fn not_sent(&self) -> bool {
        matches!(self, Self::NotSent(_) | Self::Cancelled | Self::Timeout(false))
    }
}

/// A client; clones share the pool.
#[derive(Debug, Clone, Default)]
pub struct Client {
    idle: Arc<Mutex<HashMap<SocketAddr, Vec<Idle>>>>,
}

#[derive(Debug)]
struct Idle {
    conn: Conn,
    since: Instant,
}

impl Client {
    /// Creates a client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request that may be sent twice: if a pooled connection turns out to be closed, the request is sent
    /// again over a new one.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request,
        body: &[u8],
        within: Duration,
    ) -> Result<Reply, SendError> {
        let deadline = Instant::now() + within;
        if let Some(conn) = self.take_idle(to) {
            let result = self
                .exchange(&conn, to, with_body(request.clone(), body), deadline)
                .await;
            match result {
                Err(SendError::NoAnswer) => {}
                other => return other,
            }
        }
        self.send_on_new(to, with_body(request, body), deadline).await
    }

    /// Sends a request once, over a new connection. The peer may close a pooled connection at any time, which would
    /// needlessly leave the outcome unknown. `may_send` is called once the connection is established, right before
    /// the first byte is sent.
    pub async fn send_once(
        &self,
        to: SocketAddr,
        request: Request,
        body: &[u8],
        within: Duration,
        may_send: impl FnOnce() -> bool,
    ) -> Result<Reply, SendError> {
        let deadline = Instant::now() + within;
        let conn = open(to, deadline).await?;
        if !may_send() {
            return Err(SendError::Cancelled);
        }
        self.exchange(&conn, to, with_body(request, body), deadline).await
    }

    async fn send_on_new(&self, to: SocketAddr, request: Request, deadline: Instant) -> Result<Reply, SendError> {
        let conn = open(to, deadline).await?;
        self.exchange(&conn, to, request, deadline).await
    }

    async fn exchange(
        &self,
        conn: &Conn,
        to: SocketAddr,
        request: Request,
        deadline: Instant,
    ) -> Result<Reply, SendError> {
        let written_before = conn.written();
        conn.limit_reads(MAX_HEAD_BYTES);
        // Boxed: the future is large, and moving any future that contains it would copy all of it.
        let checked = CheckedConn::new(conn.clone(), request.method());
        let exchange = Box::pin(async_h1::connect(checked, request));
        let result = timeout(remaining(deadline), exchange).await;
        let sent = conn.written() > written_before;
        let response: Response = match result {
            Ok(Ok(response)) => response,
            Ok(Err(_)) if conn.is_read_limit_reached() => return Err(SendError::TooLong),
            Ok(Err(_)) => return Err(SendError::NoAnswer),
            Err(_) => return Err(SendError::Timeout(sent)),
        };
        conn.unlimit_reads();
        Ok(Reply::new(response, conn.clone(), to, self.clone()))
    }

    fn take_idle(&self, to: SocketAddr) -> Option<Conn> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.get_mut(&to)?;
        while let Some(last) = list.pop() {
            if last.since.elapsed() < IDLE_MAX {
                return Some(last.conn);
            }
        }
        None
    }

    pub(crate) fn release(&self, to: SocketAddr, conn: Conn) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let list = idle.entry(to).or_default();
        if list.len() < IDLE_COUNT {
            list.push(Idle {
                conn,
                since: Instant::now(),
            });
        }
    }
}

async fn open(to: SocketAddr, deadline: Instant) -> Result<Conn, SendError> {
    let connected = timeout(remaining(deadline), TcpStream::connect(to)).await;
    let stream = connected
        .map_err(|_| SendError::Timeout(false))?
        .map_err(SendError::NotSent)?;
    // Disables Nagle's algorithm: a small request must not wait for the response to the previous one.
    let _ = stream.set_nodelay(true);
    Ok(Conn::new(stream))
}

fn with_body(mut request: Request, body: &[u8]) -> Request {
    request.set_body(body);
    request
}

fn remaining(deadline: Instant) -> Duration {
    deadline.saturating_duration_since(Instant::now())
}
