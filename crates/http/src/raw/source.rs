//! The reading side of a connection, with a buffer of unconsumed bytes.

use super::{HeadError, RequestHead, ResponseHead};
use crate::Conn;
use async_std::io::Read;
use std::cell::RefCell;
use std::future::poll_fn;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Size of one read from the socket: a typical request with a body of a few KB arrives in one read.
const READ_BYTES: usize = 16 * 1024;

thread_local! {
    /// Takes the bytes of one read, so that a connection that waits for bytes needs no room for them.
    static READ_BUFFER: RefCell<Vec<u8>> = RefCell::new(vec![0; READ_BYTES]);
}

/// Reads from a connection; bytes after a message stay buffered for the next one.
#[derive(Debug)]
pub struct Source {
    conn: Conn,
    buffer: Vec<u8>,
    consumed: usize,
}

impl Source {
    /// Creates a source that reads from `conn`.
    pub fn new(conn: Conn) -> Self {
        Self {
            conn,
            buffer: Vec::new(),
            consumed: 0,
        }
    }

    /// The connection.
    pub fn conn(&self) -> &Conn {
        &self.conn
    }

    /// Bytes that were read and not consumed.
    pub fn buffered(&self) -> &[u8] {
        &self.buffer[self.consumed..]
    }

    /// Marks bytes as consumed.
    pub(super) fn consume(&mut self, count: usize) {
        self.consumed += count;
        if self.consumed == self.buffer.len() {
            self.buffer.clear();
            self.consumed = 0;
        }
    }

    /// Reads more bytes into the buffer; returns 0 at the end of the connection. The buffer stays as it is if the future is
    /// dropped before it completes.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.consumed > 0 {
            self.buffer.drain(..self.consumed);
            self.consumed = 0;
        }
        poll_fn(|context| self.poll_fill(context)).await
    }

    fn poll_fill(&mut self, context: &mut Context<'_>) -> Poll<io::Result<usize>> {
        READ_BUFFER.with_borrow_mut(|read| {
            let polled = Pin::new(&mut self.conn).poll_read(context, read);
            if let Poll::Ready(Ok(count)) = &polled {
                self.buffer.extend_from_slice(&read[..*count]);
            }
            polled
        })
    }

    /// Drops the unconsumed bytes.
    pub fn discard(&mut self) {
        self.buffer.clear();
        self.consumed = 0;
    }

    /// Frees the buffer's memory if it holds no unconsumed bytes.
    pub fn shrink(&mut self) {
        if self.buffered().is_empty() {
            self.buffer = Vec::new();
            self.consumed = 0;
        }
    }

    /// Reads the next request head.
    ///
    /// # Errors
    /// No complete head of at most `limit` bytes arrived.
    pub async fn request_head(&mut self, limit: usize) -> Result<RequestHead, HeadError> {
        self.head(limit, RequestHead::parse).await
    }

    /// Reads the next response head.
    ///
    /// # Errors
    /// No complete head of at most `limit` bytes arrived.
    pub async fn response_head(&mut self, limit: usize) -> Result<ResponseHead, HeadError> {
        self.head(limit, ResponseHead::parse).await
    }

    async fn head<H>(
        &mut self,
        limit: usize,
        parse: impl Fn(&[u8]) -> Result<Option<(H, usize)>, httparse::Error>,
    ) -> Result<H, HeadError> {
        loop {
            if let Some((head, length)) = parse(self.buffered())? {
                if length > limit {
                    return Err(HeadError::TooLarge);
                }
                self.consume(length);
                return Ok(head);
            }
            if self.buffered().len() > limit {
                return Err(HeadError::TooLarge);
            }
            let partial = !self.buffered().is_empty();
            if self.fill().await? == 0 {
                return Err(if partial {
                    HeadError::Truncated
                } else {
                    HeadError::Closed
                });
            }
        }
    }
}
