//! Checks the head of a response before async-h1 reads it.
//!
//! async-h1 takes the last of several lengths, a length with a sign, and interim responses for the response itself, and
//! panics if a value is not ASCII.

use crate::conn::Conn;
use crate::raw::{ResponseHead, response_framing};
use async_std::io::{Read, Write};
use http_types::Method;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

/// A connection on which the next message is the response to a request.
#[derive(Debug)]
pub(crate) struct CheckedConn {
    conn: Conn,
    method: Method,
    /// Bytes that were read and not passed on.
    buffer: Vec<u8>,
    is_checked: bool,
}

impl CheckedConn {
    /// Checks the response to a request with this method.
    pub(crate) fn new(conn: Conn, method: Method) -> Self {
        Self {
            conn,
            method,
            buffer: Vec::new(),
            is_checked: false,
        }
    }

    /// Checks the head, if it is complete.
    fn check(&mut self) -> io::Result<()> {
        let parsed = ResponseHead::parse(&self.buffer).map_err(invalid)?;
        let Some((head, _)) = parsed else {
            return Ok(());
        };
        response_framing(&head, self.method.as_ref()).map_err(invalid)?;
        if head.is_interim() {
            return Err(invalid("the response is an interim one"));
        }
        if !head.headers.iter().all(|(_, value)| value.is_ascii()) {
            return Err(invalid("a value is not ASCII"));
        }
        self.is_checked = true;
        Ok(())
    }

    fn pass_on(&mut self, buf: &mut [u8]) -> usize {
        let count = self.buffer.len().min(buf.len());
        buf[..count].copy_from_slice(&self.buffer[..count]);
        self.buffer.drain(..count);
        count
    }
}

fn invalid(err: impl Into<Box<dyn std::error::Error + Send + Sync>>) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, err)
}

impl Read for CheckedConn {
    fn poll_read(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &mut [u8]) -> Poll<io::Result<usize>> {
        while !self.is_checked {
            let count = ready!(Pin::new(&mut self.conn).poll_read(cx, buf))?;
            if count == 0 {
                // An incomplete head is for async-h1 to reject.
                self.is_checked = true;
                break;
            }
            self.buffer.extend_from_slice(&buf[..count]);
            self.check()?;
        }
        if !self.buffer.is_empty() {
            return Poll::Ready(Ok(self.pass_on(buf)));
        }
        Pin::new(&mut self.conn).poll_read(cx, buf)
    }
}

impl Write for CheckedConn {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.conn).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.conn).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.conn).poll_close(cx)
    }
}
