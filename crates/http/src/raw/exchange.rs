//! One request and its response on a connection.

use super::{
    BodyReader, Bound, Framing, FramingError, HeadError, RawBodyError, ResponseHead, Source, response_framing,
};
use crate::Conn;
use async_std::future::timeout;
use async_std::io::WriteExt;
use async_std::net::TcpStream;
use futures::future::{Either, select};
use quick_error::quick_error;
use std::net::SocketAddr;
use std::pin::pin;
use std::time::Duration;

/// Longest response head, bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;
/// Most bytes that are read of responses to other requests, which are skipped. Such a response is one of an earlier
/// request that was given up.
const MAX_SKIPPED_BYTES: u64 = 1 << 20;
/// Most interim responses to one request. A server sends one or two, such as 100 and 103.
const MAX_INTERIM: u32 = 16;
/// The connection goes on in another protocol.
const SWITCHING: u16 = 101;

quick_error! {
    /// Why no response head arrived.
    #[derive(Debug)]
    pub enum ExchangeError {
        /// No connection was established in time; nothing was sent.
        NotSent {
            display("cannot connect")
        }
        /// The connection ended or failed, or the response is malformed; the peer may have acted on the request.
        Head(err: HeadError) {
            from()
            display("{err}")
        }
        /// The body of the response to a call is incomplete or too long.
        Body(err: RawBodyError) {
            from()
            display("{err}")
        }
        /// There are too many interim responses.
        Interim {
            display("too many interim responses")
        }
        /// Responses to other requests are too long.
        Skipped {
            display("responses to other requests are too long")
        }
        /// The framing of the response is ambiguous.
        Framing(err: FramingError) {
            from()
            display("{err}")
        }
    }
}

impl ExchangeError {
    /// Whether the connection closed before the response began, or failed before its head was complete.
    pub fn is_closed(&self) -> bool {
        matches!(self, Self::Head(HeadError::Closed | HeadError::Io(_)))
    }

    /// The bound that the response exceeds, if it does.
    pub fn bound(&self) -> Option<Bound> {
        match self {
            Self::Head(HeadError::TooLarge) => Some(Bound::Head),
            Self::Interim => Some(Bound::Interim),
            Self::Skipped => Some(Bound::Skipped),
            Self::Body(err) => err.bound(),
            Self::NotSent | Self::Head(_) | Self::Framing(_) => None,
        }
    }
}

/// A response whose head has arrived.
#[derive(Debug)]
pub struct Response {
    /// The head.
    pub head: ResponseHead,
    /// Reader of the body, which is still on the connection.
    pub body: BodyReader,
    /// Whether the connection can be reused once the body was read completely: the request was fully sent before the
    /// response began, and no other response arrived first.
    pub reusable: bool,
}

impl Response {
    /// Whether it has a body, which may be empty.
    pub fn has_body(&self) -> bool {
        self.body.framing() != Framing::NoBody
    }
}

/// Connects. If the peer becomes unreachable later, the connection ends ([`Conn::watched`]).
///
/// # Errors
/// No connection was established within the timeout.
pub async fn connect(to: SocketAddr, within: Duration) -> Result<Source, ExchangeError> {
    let connected = timeout(within, TcpStream::connect(to)).await;
    let Ok(Ok(stream)) = connected else {
        return Err(ExchangeError::NotSent);
    };
    Ok(Source::new(Conn::watched(stream)))
}

/// Sends a complete request and reads the first response head that `is_ours` accepts; responses to other requests are
/// skipped. If the response begins before the request is fully sent, the rest is not sent, the connection cannot be
/// reused, and the response must tell its length.
///
/// # Errors
/// No such head arrived.
pub async fn exchange(
    source: &mut Source,
    request: &[u8],
    method: &str,
    is_ours: impl Fn(&ResponseHead) -> bool,
) -> Result<Response, ExchangeError> {
    exchange_parts(source, [request, &[]], method, is_ours).await
}

/// Like [`exchange`], for a request in two parts, such as a head and a body that is held elsewhere.
///
/// # Errors
/// No such head arrived.
pub async fn exchange_parts(
    source: &mut Source,
    request: [&[u8]; 2],
    method: &str,
    is_ours: impl Fn(&ResponseHead) -> bool,
) -> Result<Response, ExchangeError> {
    let mut writer = source.conn().clone();
    let begin = writer.received();
    let mut interims = 0;
    let mut reusable = source.buffered().is_empty();
    let mut sent = false;
    let head = {
        let write = pin!(async {
            writer.write_all(request[0]).await?;
            writer.write_all(request[1]).await
        });
        let read = pin!(source.response_head(MAX_HEAD_BYTES));
        match select(read, write).await {
            Either::Left((head, _)) => head,
            Either::Right((written, read)) => {
                sent = written.is_ok();
                // A peer that rejects a request early may have responded before it closed the connection.
                read.await
            }
        }
    };
    reusable &= sent;
    let mut head = head?;
    loop {
        if head.status == SWITCHING {
            // No request asks for another protocol, so nothing that follows can be read.
            return Err(HeadError::Malformed(httparse::Error::Status).into());
        }
        let interim = head.is_interim();
        if !interim && is_ours(&head) {
            let framing = response_framing(&head, method)?;
            if framing == Framing::UntilClose && !sent {
                // The end of the connection can't show that the response is whole (`Conn::is_delivered`).
                return Err(FramingError::Early.into());
            }
            let body = BodyReader::new(framing);
            return Ok(Response { head, body, reusable });
        }
        if interim {
            interims += 1;
            if interims > MAX_INTERIM {
                return Err(ExchangeError::Interim);
            }
        } else {
            reusable = false;
            let mut skipped = BodyReader::new(response_framing(&head, method)?);
            while skipped.next_part(source).await?.is_some() {
                check_skipped(source, begin)?;
            }
            check_skipped(source, begin)?;
        }
        head = source.response_head(MAX_HEAD_BYTES).await?;
    }
}

/// Checks how much was read since the exchange began, when the connection had received `begin` bytes.
fn check_skipped(source: &Source, begin: u64) -> Result<(), ExchangeError> {
    if source.conn().received() - begin > MAX_SKIPPED_BYTES {
        return Err(ExchangeError::Skipped);
    }
    Ok(())
}
