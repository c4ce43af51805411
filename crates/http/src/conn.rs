//! A TCP connection that counts what left it and can be watched for its peer's going.

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
    reads_shut: AtomicBool,
}

impl Conn {
    /// Wraps `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            shared: Arc::default(),
        }
    }

    /// Bytes handed to the socket so far.
    pub fn written(&self) -> u64 {
        self.shared.written.load(Ordering::Relaxed)
    }

    /// Bytes taken from the socket so far.
    pub fn received(&self) -> u64 {
        self.shared.read.load(Ordering::Relaxed)
    }

    /// Makes every further read fail.
    ///
    /// async-h1 drains the rest of a body after the answer. A caller that never stops sending would keep the
    /// connection's task busy for ever; after a body was refused as too large nothing more is read.
    pub fn disable_reads(&self) {
        self.shared.reads_shut.store(true, Ordering::Relaxed);
    }

    /// Closes both directions.
    pub fn close(&self) {
        // The peer may have closed first; there is nothing left to do then.
        let _ = self.stream.shutdown(Shutdown::Both);
    }

    /// Whether the connection is reset when its last clone is dropped, in place of an ordinary end.
    ///
    /// After an ordinary end the kernel goes on sending what the peer has not acknowledged, so that a request may still arrive
    /// long after its sender gave it up. After a reset nothing more of it is sent.
    pub fn reset_on_drop(&self, reset: bool) {
        // Fails only if the connection has failed already, which sends nothing more either.
        let _ = SockRef::from(&self.stream).set_linger(reset.then_some(Duration::ZERO));
    }

    /// Resolves once there is anything to read: bytes, the end of the connection or an error.
    pub async fn readable(&self) {
        let mut byte = [0];
        // An error is the end of the connection too, which its next use shows.
        let _ = self.stream.peek(&mut byte).await;
    }

    /// Closes the writing side; the peer sees the end after all that was written.
    pub fn shutdown_write(&self) {
        // The peer may have closed first; there is nothing left to do then.
        let _ = self.stream.shutdown(Shutdown::Write);
    }

    /// Resolves once the peer has closed the connection.
    ///
    /// async-h1 notices that a caller has gone only at its next write, so a stream that is silent while an
    /// engine prefills would keep that engine busy for nobody. Call this only after the request's body was read
    /// whole. Never resolves if the peer sends more bytes first: then it is still there.
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
        if self.shared.reads_shut.load(Ordering::Relaxed) {
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
