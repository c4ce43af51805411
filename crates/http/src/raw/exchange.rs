//! One request and its answer on a connection.

use super::{BodyReader, FramingError, HeadError, ResponseHead, Source, response_framing};
use crate::Conn;
use async_std::future::timeout;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use futures::future::{Either, select};
use quick_error::quick_error;
use socket2::SockRef;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

/// Longest head of an answer, bytes.
const HEAD_BYTES: usize = 32 * 1024;
/// Longest body of an answer that belongs to another request and is skipped, bytes.
const SKIPPED_BYTES: u64 = 1 << 20;
/// Bytes that were sent and not acknowledged for this long show that the peer is silent or cut off. Well above a few
/// retransmissions between domains a millisecond apart, below every limit that a caller would notice.
const UNACKNOWLEDGED: Duration = Duration::from_secs(2);

quick_error! {
    /// Why no answer's head came.
    #[derive(Debug)]
    pub enum ExchangeError {
        /// No connection in time; nothing was sent.
        NotSent {
            display("cannot connect")
        }
        /// The connection ended or failed, or what came is no answer; the request may have been acted on.
        Head(err: HeadError) {
            from()
            display("{err}")
        }
        /// It cannot be told where the answer ends.
        Framing(err: FramingError) {
            from()
            display("{err}")
        }
    }
}

impl ExchangeError {
    /// Whether the peer closed without a byte of an answer.
    pub fn is_closed(&self) -> bool {
        matches!(self, Self::Head(HeadError::Closed | HeadError::Io(_)))
    }
}

/// An answer of which the head has arrived.
#[derive(Debug)]
pub struct Response {
    /// The head.
    pub head: ResponseHead,
    /// The body, still on the connection.
    pub body: BodyReader,
    /// Whether the connection may be used again once the body was read whole: the request had left whole before the
    /// answer began, and no other answer came first.
    pub reusable: bool,
}

/// Connects. A peer that falls silent later is noticed by what it doesn't acknowledge.
///
/// # Errors
/// No connection within the time.
pub async fn connect(to: SocketAddr, within: Duration) -> Result<Source, ExchangeError> {
    let connected = timeout(within, TcpStream::connect(to)).await;
    let Ok(Ok(stream)) = connected else {
        return Err(ExchangeError::NotSent);
    };
    set_socket_options(&stream);
    Ok(Source::new(Conn::new(stream)))
}

/// Sets what a connection needs to notice a silent peer; without these options it only notices later, by its time limits.
pub fn set_socket_options(stream: &TcpStream) {
    let _ = stream.set_nodelay(true);
    let _ = SockRef::from(stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED));
}

/// Sends a whole request and reads the head of the answer that `ours` accepts; answers of other requests are skipped.
/// The answer may begin before the request has left: then the rest is not sent, and the connection is not reusable.
///
/// # Errors
/// No such head came.
pub async fn exchange(
    source: &mut Source,
    request: &[u8],
    method: &str,
    ours: impl Fn(&ResponseHead) -> bool,
) -> Result<Response, ExchangeError> {
    let mut writer = source.conn().clone();
    let mut reusable = source.buffered().is_empty();
    let mut sent = false;
    let head = {
        let write = pin!(writer.write_all(request));
        let read = pin!(source.response_head(HEAD_BYTES));
        match select(read, write).await {
            Either::Left((head, _)) => head,
            Either::Right((written, read)) => {
                sent = written.is_ok();
                // A peer that refuses early may have answered before it closed.
                read.await
            }
        }
    };
    reusable &= sent;
    let mut head = head?;
    loop {
        let interim = matches!(head.status, 100..=199);
        if !interim && ours(&head) {
            let body = BodyReader::new(response_framing(&head, method)?);
            return Ok(Response { head, body, reusable });
        }
        if !interim {
            reusable = false;
            let mut skipped = BodyReader::new(response_framing(&head, method)?);
            let whole = skipped.read_to_end(source, SKIPPED_BYTES).await;
            whole.map_err(|_| HeadError::Truncated)?;
        }
        head = source.response_head(HEAD_BYTES).await?;
    }
}
