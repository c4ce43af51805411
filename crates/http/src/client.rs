//! Client with a pool of idle connections for each address.

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

/// An idle connection older than this is not used again: the peer is likely to close it soon.
const IDLE_MAX: Duration = Duration::from_secs(15);
/// Idle connections kept for one address.
const IDLE_COUNT: usize = 64;

quick_error! {
    /// Why no answer's head came. Whether the peer may have acted on the request follows from the kind.
    #[derive(Debug)]
    pub enum SendError {
        /// No byte of the request left this process: the peer has not run it.
        NotSent(err: std::io::Error) {
            display("cannot connect: {err}")
        }
        /// Bytes left, and no whole head of an answer came back: the outcome is unknown.
        NoAnswer {
            display("the connection closed before an answer")
        }
        /// The caller of `send_once` no longer wanted it once the connection stood; nothing was sent.
        Cancelled {
            display("the request was withheld")
        }
        /// The time was over; `sent` tells whether bytes had left by then.
        Timeout(sent: bool) {
            display("no answer in time")
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
    /// A client without connections.
    pub fn new() -> Self {
        Self::default()
    }

    /// Sends a request that may be sent twice: if a pooled connection turns out to be closed, it goes out again
    /// over a fresh one.
    pub async fn send(
        &self,
        to: SocketAddr,
        request: Request,
        body: &[u8],
        within: Duration,
    ) -> Result<Reply, SendError> {
        let until = Instant::now() + within;
        if let Some(conn) = self.take_idle(to) {
            let first = self.exchange(&conn, to, with_body(request.clone(), body), until).await;
            match first {
                Err(SendError::NoAnswer) => {}
                other => return other,
            }
        }
        self.send_fresh(to, with_body(request, body), until).await
    }

    /// Sends a request once, over a connection of its own. A pooled connection may have been closed by the peer
    /// at any time, which would leave the outcome unknown for no good reason. `may_send` is asked once the
    /// connection stands, right before the first byte leaves.
    pub async fn send_once(
        &self,
        to: SocketAddr,
        request: Request,
        body: &[u8],
        within: Duration,
        may_send: impl FnOnce() -> bool,
    ) -> Result<Reply, SendError> {
        let until = Instant::now() + within;
        let conn = open(to, until).await?;
        if !may_send() {
            return Err(SendError::Cancelled);
        }
        self.exchange(&conn, to, with_body(request, body), until).await
    }

    async fn send_fresh(&self, to: SocketAddr, request: Request, until: Instant) -> Result<Reply, SendError> {
        let conn = open(to, until).await?;
        self.exchange(&conn, to, request, until).await
    }

    async fn exchange(
        &self,
        conn: &Conn,
        to: SocketAddr,
        request: Request,
        until: Instant,
    ) -> Result<Reply, SendError> {
        let before = conn.written();
        // Boxed: the future is large, and each future around it would be moved with all of it inside.
        let exchange = Box::pin(async_h1::connect(conn.clone(), request));
        let answered = timeout(left(until), exchange).await;
        let sent = conn.written() > before;
        let response: Response = match answered {
            Ok(Ok(response)) => response,
            Ok(Err(_)) => return Err(SendError::NoAnswer),
            Err(_) => return Err(SendError::Timeout(sent)),
        };
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

    pub(crate) fn give_back(&self, to: SocketAddr, conn: Conn) {
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

async fn open(to: SocketAddr, until: Instant) -> Result<Conn, SendError> {
    let connected = timeout(left(until), TcpStream::connect(to)).await;
    let stream = connected
        .map_err(|_| SendError::Timeout(false))?
        .map_err(SendError::NotSent)?;
    // A small request must not wait for the answer to the one before it.
    let _ = stream.set_nodelay(true);
    Ok(Conn::new(stream))
}

fn with_body(mut request: Request, body: &[u8]) -> Request {
    request.set_body(body);
    request
}

fn left(until: Instant) -> Duration {
    until.saturating_duration_since(Instant::now())
}
