//! The reading side of a connection, with what was read and not used yet.

use super::{HeadError, RequestHead, ResponseHead};
use crate::Conn;
use async_std::io::ReadExt;
use std::io;

/// Bytes asked of the socket at once: a typical request with a body of a few KB arrives in one read.
const READ_BYTES: usize = 16 * 1024;

/// Reads from a connection; what follows a message in the same segment stays for the next one.
#[derive(Debug)]
pub struct Source {
    conn: Conn,
    buffer: Vec<u8>,
    used: usize,
}

impl Source {
    /// Reads from `conn`.
    pub fn new(conn: Conn) -> Self {
        Self {
            conn,
            buffer: Vec::new(),
            used: 0,
        }
    }

    /// The connection.
    pub fn conn(&self) -> &Conn {
        &self.conn
    }

    /// Bytes that were read and not used.
    pub fn buffered(&self) -> &[u8] {
        &self.buffer[self.used..]
    }

    /// Marks bytes as used.
    pub(super) fn consume(&mut self, count: usize) {
        self.used += count;
        if self.used == self.buffer.len() {
            self.buffer.clear();
            self.used = 0;
        }
    }

    /// Reads more; 0 at the end of the connection.
    ///
    /// # Errors
    /// The connection failed.
    pub async fn fill(&mut self) -> io::Result<usize> {
        if self.used > 0 {
            self.buffer.drain(..self.used);
            self.used = 0;
        }
        let length = self.buffer.len();
        self.buffer.resize(length + READ_BYTES, 0);
        let read = self.conn.read(&mut self.buffer[length..]).await;
        self.buffer
            .truncate(length + read.as_ref().copied().unwrap_or_default());
        read
    }

    /// Drops what was read and not used.
    pub fn discard(&mut self) {
        self.buffer.clear();
        self.used = 0;
    }

    /// Gives the buffer's memory back between two messages.
    pub fn shrink(&mut self) {
        if self.buffered().is_empty() {
            self.buffer = Vec::new();
            self.used = 0;
        }
    }

    /// The next request's head.
    ///
    /// # Errors
    /// No whole head of at most `limit` bytes came.
    pub async fn request_head(&mut self, limit: usize) -> Result<RequestHead, HeadError> {
        self.head(limit, RequestHead::parse).await
    }

    /// The next answer's head.
    ///
    /// # Errors
    /// No whole head of at most `limit` bytes came.
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
            let begun = !self.buffered().is_empty();
            if self.fill().await? == 0 {
                return Err(if begun { HeadError::Truncated } else { HeadError::Closed });
            }
        }
    }
}
