//! A TCP connection that counts the bytes it transfers and detects that its peer has closed it or vanished.

use crate::tcp_info::TcpInfo;
use crate::unreachable;
use async_std::io::{Read, Write};
use async_std::net::TcpStream;
use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use std::os::fd::{AsFd, BorrowedFd};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

/// A connection; clones share the socket and the counters.
#[derive(Debug, Clone)]
pub struct Conn(Arc<Socket>);

/// The socket and the counters of a connection.
#[derive(Debug)]
pub(crate) struct Socket {
    stream: TcpStream,
    written: AtomicU64,
    /// Bytes written that the peer is known to have acknowledged.
    acknowledged: AtomicU64,
    read: AtomicU64,
    /// Number of bytes read after which the connection seems to end.
    read_limit: AtomicU64,
    reads_disabled: AtomicBool,
    is_unreachable: AtomicBool,
    /// Whether a read, a peek or a write has failed.
    has_failed: AtomicBool,
}

impl Socket {
    pub(crate) fn written(&self) -> u64 {
        self.written.load(Ordering::Relaxed)
    }

    /// Whether the peer is known to have acknowledged all bytes written.
    pub(crate) fn is_acknowledged(&self) -> bool {
        self.acknowledged.load(Ordering::Relaxed) == self.written()
    }

    /// Records that the peer has acknowledged this many bytes.
    pub(crate) fn set_acknowledged(&self, bytes: u64) {
        self.acknowledged.store(bytes, Ordering::Relaxed);
    }

    /// Records a failure. The kernel reports the reset of a connection once, to whichever call comes first; later reads
    /// return the end of the stream.
    fn record_failure<T>(&self, result: &io::Result<T>) {
        if result.is_err() {
            self.has_failed.store(true, Ordering::SeqCst);
        }
    }

    /// Why the end of the stream isn't one that the peer has sent, if it isn't.
    fn broken_end(&self) -> Option<io::ErrorKind> {
        if self.is_unreachable.load(Ordering::SeqCst) {
            return Some(io::ErrorKind::TimedOut);
        }
        self.has_failed
            .load(Ordering::SeqCst)
            .then_some(io::ErrorKind::ConnectionReset)
    }

    /// Ends the connection because its peer is unreachable. Reads then fail, because an end of the stream could be
    /// taken for the end of a response, and the kernel discards what was not sent.
    pub(crate) fn abort(&self) {
        self.is_unreachable.store(true, Ordering::SeqCst);
        self.set_linger(Some(Duration::ZERO));
        self.close();
    }

    fn close(&self) {
        // Fails if the peer has closed first; then nothing is left to do.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    fn set_linger(&self, time: Option<Duration>) {
        // Fails only if the connection has already failed, and then nothing more is sent either.
        let _ = SockRef::from(&self.stream).set_linger(time);
    }
}

impl AsFd for Socket {
    fn as_fd(&self) -> BorrowedFd<'_> {
        self.stream.as_fd()
    }
}

impl Conn {
    /// Wraps `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self(Arc::new(Socket {
            stream,
            written: AtomicU64::new(0),
            acknowledged: AtomicU64::new(0),
            read: AtomicU64::new(0),
            read_limit: AtomicU64::new(u64::MAX),
            reads_disabled: AtomicBool::new(false),
            is_unreachable: AtomicBool::new(false),
            has_failed: AtomicBool::new(false),
        }))
    }

    /// Wraps `stream`, disables Nagle's algorithm, and ends the connection if its peer becomes unreachable, which leaves
    /// written bytes unacknowledged. A peer that only reads slowly is not unreachable.
    pub fn watched(stream: TcpStream) -> Self {
        // Without the option small writes are delayed, but arrive.
        let _ = stream.set_nodelay(true);
        let conn = Self::new(stream);
        unreachable::watch(&conn.0);
        conn
    }

    /// Bytes written to the socket so far.
    pub fn written(&self) -> u64 {
        self.0.written()
    }

    /// Bytes read from the socket so far.
    pub fn received(&self) -> u64 {
        self.0.read.load(Ordering::Relaxed)
    }

    /// Lets the connection seem to end once this many further bytes were read.
    ///
    /// async-h1 and async-sse keep a line until it is complete, so a peer that sends none would fill the memory. A debug build
    /// of async-sse panics if a read fails within a line.
    pub(crate) fn limit_reads(&self, bytes: u64) {
        self.0.read_limit.store(self.received() + bytes, Ordering::Relaxed);
    }

    /// Ends the limit of [`Self::limit_reads`].
    pub(crate) fn unlimit_reads(&self) {
        self.0.read_limit.store(u64::MAX, Ordering::Relaxed);
    }

    /// Whether the limit of [`Self::limit_reads`] is used up.
    pub(crate) fn is_read_limit_reached(&self) -> bool {
        self.received() >= self.0.read_limit.load(Ordering::Relaxed)
    }

    /// Makes every further read fail.
    ///
    /// async-h1 drains the rest of a body after the response. A client that never stops sending would keep the
    /// connection's task busy for ever, so nothing more is read after a body was rejected as too large.
    pub fn disable_reads(&self) {
        self.0.reads_disabled.store(true, Ordering::Relaxed);
    }

    /// Closes both directions.
    pub fn close(&self) {
        self.0.close();
    }

    /// Sets whether dropping the last clone resets the connection instead of closing it normally.
    ///
    /// After a normal close the kernel keeps sending data that the peer has not acknowledged, so a request may arrive
    /// long after its sender has cancelled it. After a reset nothing more is sent.
    pub fn reset_on_drop(&self, reset: bool) {
        self.0.set_linger(reset.then_some(Duration::ZERO));
    }

    /// Whether the peer has received everything that was written, which is asked once the stream has ended. Otherwise the end
    /// may not be that of a message: a peer that closes without having read a request may have given up its response, too.
    pub fn is_delivered(&self) -> bool {
        // Without an answer of the kernel, only the end itself is known.
        TcpInfo::read(&*self.0).map_or(true, |info| info.is_acknowledged() && !info.is_reset())
    }

    /// Resolves once a read would not block: bytes, the end of the connection or an error.
    pub async fn readable(&self) {
        let mut byte = [0];
        // An error also means that the connection is unusable; its next use fails.
        self.0.record_failure(&self.0.stream.peek(&mut byte).await);
    }

    /// Closes the writing side; the peer reads the end of the stream after all bytes written.
    pub fn shutdown_write(&self) {
        // Fails if the peer has closed first; then nothing is left to do.
        let _ = self.0.stream.shutdown(Shutdown::Write);
    }

    /// Resolves once the peer has closed the connection.
    ///
    /// async-h1 notices a closed connection only at its next write. While an engine prefills nothing is written, so
    /// the engine would keep working on a request whose client has disconnected. Call this only after the request's
    /// body was read completely. Never resolves if the peer sends more bytes first: then it is still connected.
    pub async fn peer_closed(&self) {
        let mut byte = [0];
        let peeked = self.0.stream.peek(&mut byte).await;
        self.0.record_failure(&peeked);
        match peeked {
            Ok(0) | Err(_) => {}
            Ok(_) => futures::future::pending().await,
        }
    }
}

impl Read for Conn {
    fn poll_read(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let socket = &*self.0;
        if socket.reads_disabled.load(Ordering::Relaxed) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        if self.is_read_limit_reached() {
            return Poll::Ready(Ok(0));
        }
        let polled = Pin::new(&mut &socket.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(0)) = &polled
            && let Some(kind) = socket.broken_end()
        {
            return Poll::Ready(Err(kind.into()));
        }
        if let Poll::Ready(result) = &polled {
            socket.record_failure(result);
            let count = result.as_ref().copied().unwrap_or_default();
            socket.read.fetch_add(count as u64, Ordering::Relaxed);
        }
        polled
    }
}

impl Write for Conn {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut &self.0.stream).poll_write(cx, buf);
        if let Poll::Ready(result) = &polled {
            self.0.record_failure(result);
            let count = result.as_ref().copied().unwrap_or_default();
            self.0.written.fetch_add(count as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.0.stream).poll_flush(cx)
    }

    fn poll_close(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut &self.0.stream).poll_close(cx)
    }
}
