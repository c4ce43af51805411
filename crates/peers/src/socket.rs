//! Connections with framing, for both ends.

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

/// Longest message. A section takes at most 1 MB and its quotes double inside JSON; without a bound one peer could
/// make a router take any amount of memory.
pub const MAX_FRAME: usize = 4 << 20;

/// Bytes sent and received.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    pub(crate) sent: AtomicU64,
    pub(crate) received: AtomicU64,
}

/// A connection that counts.
pub(crate) struct Counted {
    stream: TcpStream,
    traffic: Arc<Traffic>,
}

pub(crate) type FramedSocket = Framed<Compat<Counted>, LengthDelimitedCodec>;

pub(crate) fn framed(stream: TcpStream, traffic: &Arc<Traffic>) -> FramedSocket {
    // Heartbeats are single small writes; waiting to join them only delays the answer.
    let _ = stream.set_nodelay(true);
    let counted = Counted {
        stream,
        traffic: traffic.clone(),
    };
    LengthDelimitedCodec::builder()
        .max_frame_length(MAX_FRAME)
        .new_framed(counted.compat())
}

/// Connects; the client lives until it is dropped or the connection breaks.
pub(crate) async fn connect(address: SocketAddr, traffic: &Arc<Traffic>) -> Result<RouterClient, PeerError> {
    let stream = async_std::future::timeout(crate::CALL_TIMEOUT, TcpStream::connect(address)).await??;
    let transport = tarpc::serde_transport::new(framed(stream, traffic), Json::default());
    let new = RouterClient::new(client::Config::default(), transport);
    async_std::task::spawn(async move {
        // How a connection ends is seen by its calls.
        let _ = new.dispatch.await;
    });
    Ok(new.client)
}

impl AsyncRead for Counted {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        if let Poll::Ready(Ok(count)) = &read {
            self.traffic.received.fetch_add(*count as u64, Ordering::Relaxed);
        }
        read
    }
}

impl AsyncWrite for Counted {
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
