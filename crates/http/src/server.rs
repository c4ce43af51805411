//! Server with limits, a count of requests in flight, and graceful shutdown.

use crate::conn::Conn;
use async_h1::server::{ConnectionStatus, Server};
use async_std::io::ReadExt;
use async_std::net::{TcpListener, TcpStream};
use async_std::task;
use futures::future::{Either, select};
use http_types::{Body, Request, Response, headers};
use quick_error::quick_error;
use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::time::Duration;

/// Pause after a failed accept: without it, a process that has run out of file descriptors would spin.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Poll interval for the end of a graceful shutdown.
const DRAIN_POLL: Duration = Duration::from_millis(5);

/// Most bytes that are read until a request head is complete: a head of 8 KB, which is the longest for async-h1, and what is
/// read ahead of the body.
const MAX_HEAD_BYTES: u64 = 32 << 10;
/// Most bytes of an oversized body that are read before the connection is closed.
const DISCARD_BYTES: u64 = 16 << 20;

/// Limits of a server.
#[derive(Debug, Clone, Copy)]
pub struct Limits {
    /// Connections open at once; further ones are closed without a response.
    pub connections: usize,
    /// A connection without a complete head for this long is closed, at the latest after twice this time.
    pub head: Duration,
    /// A connection that has served a request is closed after this time without a byte of the next one.
    pub idle: Duration,
}

/// The state of one server; clones share it.
#[derive(Debug, Clone, Default)]
pub struct ServerState {
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    connections: AtomicUsize,
    in_flight: AtomicUsize,
    draining: AtomicBool,
}

impl ServerState {
    /// Requests in flight.
    pub fn in_flight(&self) -> usize {
        self.shared.in_flight.load(Ordering::SeqCst)
    }

    /// Open connections.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::SeqCst)
    }

    /// Stops accepting connections; each open one closes after its current response.
    pub fn drain(&self) {
        self.shared.draining.store(true, Ordering::SeqCst);
    }

    /// Whether `drain` was called.
    pub fn draining(&self) -> bool {
        self.shared.draining.load(Ordering::SeqCst)
    }

    /// Resolves once no request is in flight.
    pub async fn idle(&self) {
        while self.in_flight() > 0 {
            task::sleep(DRAIN_POLL).await;
        }
    }
}

/// Increments a counter until it is dropped.
struct CountGuard<'a>(&'a AtomicUsize);

impl<'a> CountGuard<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::SeqCst);
        Self(count)
    }
}

impl Drop for CountGuard<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Serves requests on `listener` until `serving` drains. A request counts as in flight until the last byte of
/// its response is written.
pub async fn serve<F, Fut>(listener: TcpListener, limits: Limits, serving: ServerState, answer: F)
where
    F: Fn(Request, Conn) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    while !serving.draining() {
        let accept = listener.accept();
        let poll = task::sleep(DRAIN_POLL * 10);
        futures::pin_mut!(accept, poll);
        let stream = match select(accept, poll).await {
            Either::Left((Ok((stream, _)), _)) => stream,
            Either::Left((Err(_), _)) => {
                task::sleep(ACCEPT_PAUSE).await;
                continue;
            }
            Either::Right(_) => continue,
        };
        if serving.connections() >= limits.connections {
            continue;
        }
        let serving = serving.clone();
        let answer = answer.clone();
        task::spawn(async move { connection(stream, limits, &serving, answer).await });
    }
}

async fn connection<F, Fut>(stream: TcpStream, limits: Limits, serving: &ServerState, answer: F)
where
    F: Fn(Request, Conn) -> Fut + Clone + Send + Sync + 'static,
    Fut: Future<Output = Response> + Send + 'static,
{
    let _open = CountGuard::new(&serving.shared.connections);
    // Disables Nagle's algorithm: an event must not wait until the client has acknowledged the previous one.
    let _ = stream.set_nodelay(true);
    let conn = Conn::new(stream);
    let busy = RequestTracker {
        serving,
        conn: conn.clone(),
        flag: AtomicBool::new(false),
        begun: AtomicU64::new(0),
        received: AtomicU64::new(0),
    };
    let mut server = Server::new(conn.clone(), |request| {
        busy.begin();
        conn.unlimit_reads();
        // Boxed: the future is large, and moving the connection's futures that contain it would copy all of it.
        let answering = Box::pin(answer(request, conn.clone()));
        async {
            let mut response = answering.await;
            if serving.draining() {
                response.insert_header(headers::CONNECTION, "close");
            }
            Ok(response)
        }
    });
    let requests = async {
        loop {
            conn.limit_reads(MAX_HEAD_BYTES);
            let status = server.accept_one().await;
            busy.end();
            let Ok(ConnectionStatus::KeepAlive) = status else {
                return;
            };
            if serving.draining() {
                return;
            }
        }
    };
    let idle = busy.idle(limits);
    futures::pin_mut!(requests, idle);
    select(requests, idle).await;
}

/// Counts a connection's request as in flight from its head to the last byte of its response, even if the
/// connection's task ends early.
struct RequestTracker<'a> {
    serving: &'a ServerState,
    conn: Conn,
    flag: AtomicBool,
    begun: AtomicU64,
    /// Bytes received when the last request ended.
    received: AtomicU64,
}

impl RequestTracker<'_> {
    /// Resolves once the connection must be closed because it is idle.
    ///
    /// A client that sends its head byte by byte, or none at all, could hold a connection indefinitely; async-h1's own
    /// limit is a fixed minute. A connection that has served a request and has received nothing of the next one is kept
    /// much longer: otherwise its client might send a request just as it closes, and could not tell whether it ran.
    async fn idle(&self, limits: Limits) {
        let mut last = self.begun.load(Ordering::SeqCst);
        let mut idle_time = Duration::ZERO;
        loop {
            task::sleep(limits.head).await;
            let begun = self.begun.load(Ordering::SeqCst);
            if begun != last || self.flag.load(Ordering::SeqCst) {
                last = begun;
                idle_time = Duration::ZERO;
                continue;
            }
            idle_time += limits.head;
            let reused_idle = begun > 0 && self.conn.received() == self.received.load(Ordering::SeqCst);
            if !reused_idle || idle_time >= limits.idle {
                return;
            }
        }
    }

    fn begin(&self) {
        self.begun.fetch_add(1, Ordering::SeqCst);
        self.flag.store(true, Ordering::SeqCst);
        self.serving.shared.in_flight.fetch_add(1, Ordering::SeqCst);
    }

    fn end(&self) {
        self.received.store(self.conn.received(), Ordering::SeqCst);
        if self.flag.swap(false, Ordering::SeqCst) {
            self.serving.shared.in_flight.fetch_sub(1, Ordering::SeqCst);
        }
    }
}

impl Drop for RequestTracker<'_> {
    fn drop(&mut self) {
        self.end();
    }
}

quick_error! {
    /// A request's body is longer than allowed, or it cannot be read.
    #[derive(Debug)]
    pub enum ReadError {
        /// Longer than the limit, bytes.
        TooLarge(limit: u64) {
            display("the body is longer than {limit} bytes")
        }
        /// The connection failed within the body.
        Io(err: std::io::Error) {
            from()
            display("the body ended early: {err}")
        }
        /// Fewer bytes arrived than the head declared.
        Short {
            display("the body is shorter than declared")
        }
    }
}

/// Reads a request's complete body of at most `limit` bytes.
pub async fn read_body(request: &mut Request, conn: &Conn, limit: u64) -> Result<Vec<u8>, ReadError> {
    let declared = request.len().map(|length| length as u64);
    let mut source = request.take_body();
    if declared.is_some_and(|length| length > limit) {
        return Err(reject(&mut source, conn, limit).await);
    }
    let mut body = Vec::with_capacity(declared.unwrap_or(0) as usize);
    (&mut source).take(limit + 1).read_to_end(&mut body).await?;
    let read = body.len() as u64;
    if read > limit {
        return Err(reject(&mut source, conn, limit).await);
    }
    if declared.is_some_and(|length| length != read) {
        return Err(ReadError::Short);
    }
    Ok(body)
}

/// Reads and discards part of a body that is too large.
///
/// Closing a connection with unread bytes resets it, and the reset can overtake the error response: the client would
/// see a failed connection instead of the reason. The part is bounded, so no client can keep a task busy for ever.
async fn reject(source: &mut Body, conn: &Conn, limit: u64) -> ReadError {
    // If the client disconnects meanwhile, the error response has no recipient.
    let _ = async_std::io::copy(&mut source.take(DISCARD_BYTES), &mut async_std::io::sink()).await;
    conn.disable_reads();
    ReadError::TooLarge(limit)
}
