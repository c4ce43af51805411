//! A TCP connection that counts the bytes it transfers and detects that its peer has closed it.

use async_std::io::{Read, Write};
use async_std::net::TcpStream;
use socket2::SockRef;
use std::io;
use std::net::Shutdown;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};
use std::time::Duration;

/// A connection; clones share the socket and the counters.
#[derive(Debug, Clone)]
pub struct Conn {
    stream: TcpStream,
    shared: Arc<Shared>,
}

#[derive(Debug, Default)]
struct Shared {
    written: AtomicU64,
    read: AtomicU64,
    reads_disabled: AtomicBool,
}

impl Conn {
    /// Wraps `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            shared: Arc::default(),
        }
    }

    /// Bytes written to the socket so far.
    pub fn written(&self) -> u64 {
        self.shared.written.load(Ordering::Relaxed)
    }

    /// Bytes read from the socket so far.
    pub fn received(&self) -> u64 {
        self.shared.read.load(Ordering::Relaxed)
    }

    /// Makes every further read fail.
    ///
    /// async-h1 drains the rest of a body after the response. A client that never stops sending would keep the
    /// connection's task busy for ever, so nothing more is read after a body was rejected as too large.
    pub fn disable_reads(&self) {
        self.shared.reads_disabled.store(true, Ordering::Relaxed);
    }

    /// Closes both directions.
    pub fn close(&self) {
        // Fails if the peer has closed first; then nothing is left to do.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Sets whether dropping the last clone resets the connection instead of closing it normally.
    ///
    /// After a normal close the kernel keeps sending data that the peer has not acknowledged, so a request may arrive
    /// long after its sender has cancelled it. After a reset nothing more is sent.
    pub fn reset_on_drop(&self, reset: bool) {
        // Fails only if the connection has already failed, and then nothing more is sent either.
        let _ = SockRef::from(&self.stream).set_linger(reset.then_some(Duration::ZERO));
    }

    /// Resolves once a read would not block: bytes, the end of the connection or an error.
    pub async fn readable(&self) {
        let mut byte = [0];
        // An error also means that the connection is unusable; its next use returns it.
        let _ = self.stream.peek(&mut byte).await;
    }

    /// Closes the writing side; the peer reads the end of the stream after all bytes written.
    pub fn shutdown_write(&self) {
        // Fails if the peer has closed first; then nothing is left to do.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Resolves once the peer has closed the connection.
    ///
    /// async-h1 notices a closed connection only at its next write. While an engine prefills nothing is written, so
    /// the engine would keep working on a request whose client has disconnected. Call this only after the request's
    /// body was read completely. Never resolves if the peer sends more bytes first: then it is still connected.
    pub async fn peer_closed(&self) {
        let mut byte = [0];
        match self.stream.peek(&mut byte).await {
            Ok(0) | Err(_) => {}
            Ok(_) => futures::future::pending().await,
        }
    }
}

impl Read for Conn {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        if self.shared.reads_disabled.load(Ordering::Relaxed) {
            return Poll::Ready(Err(io::ErrorKind::ConnectionAborted.into()));
        }
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(count)) = &polled {
            self.shared.read.fetch_add(*count as u64, Ordering::Relaxed);
        }
        polled
    }
}

impl Write for Conn {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = &polled {
            self.shared.written.fetch_add(*count as u64, Ordering::Relaxed);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
