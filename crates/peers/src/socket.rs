//! Framed TCP connections with traffic counters, for clients and servers.

use crate::service::{PeerError, RouterClient};
use async_std::net::TcpStream;
use futures::{AsyncRead, AsyncWrite};
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};
use tarpc::client;
use tokio_serde::formats::Json;
use tokio_util::codec::Framed;
use tokio_util::codec::length_delimited::LengthDelimitedCodec;
use tokio_util::compat::{Compat, FuturesAsyncReadCompatExt};

/// Maximum message length, bytes. A section has at most 1 MB, and JSON escaping doubles its quotes. Without a limit one
/// peer could make a router allocate any amount of memory.
pub const MAX_FRAME: usize = 4 << 20;

/// Bytes sent and received.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) sent: AtomicU64,
    pub(crate) received: AtomicU64,
}

/// A TCP stream that counts its bytes.
pub(crate) struct CountedStream {
    stream: TcpStream,
    traffic: Arc<Traffic>,
}

pub(crate) type FramedSocket = Framed<Compat<CountedStream>, LengthDelimitedCodec>;

pub(crate) fn framed(stream: TcpStream, traffic: &Arc<Traffic>) -> FramedSocket {
    // Heartbeats are single small writes. Nagle's algorithm would only delay them.
    let _ = stream.set_nodelay(true);
    let stream = CountedStream {
        stream,
        traffic: traffic.clone(),
    };
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_framed(stream.compat())
}

/// Connects to a peer. The connection closes when the client is dropped.
pub(crate) async fn connect(address: SocketAddr, traffic: &Arc<Traffic>) -> Result<RouterClient, PeerError> {
    let stream = async_std::future::timeout(crate::CALL_TIMEOUT, TcpStream::connect(address)).await??;
    let transport = tarpc::serde_transport::new(framed(stream, traffic), Json::default());
    let created = RouterClient::new(client::Config::default(), transport);
    async_std::task::spawn(async move {
        // Pending calls report a connection error.
        let _ = created.dispatch.await;
    });
    Ok(created.client)
}

impl AsyncRead for CountedStream {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(count)) = &read {
            self.traffic.received.fetch_add(*count as u64, Ordering::Relaxed);
        }
        read
    }
}

impl AsyncWrite for CountedStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let Poll::Ready(Ok(count)) = &written {
            self.traffic.sent.fetch_add(*count as u64, Ordering::Relaxed);
        }
        written
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
