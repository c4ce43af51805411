//! A response whose body is either complete or an error.

use crate::client::Client;
use crate::conn::Conn;
use crate::sse::EventStream;
use crate::timeout::timeout;
use async_std::io::ReadExt;
use http_types::{Response, StatusCode, headers};
use quick_error::quick_error;
use std::net::SocketAddr;
use std::time::Duration;

quick_error! {
    /// Why a body is rejected.
    #[derive(Debug)]
    pub enum BodyError {
        /// It ended early or the connection failed.
        Io(err: std::io::Error) {
            from()
            display("the body ended early: {err}")
        }
        /// Its length differs from the declared one; async-h1 reports such a body as complete.
        LengthMismatch(declared: u64, read: u64) {
            display("{declared} bytes declared, {read} read")
        }
        /// The head declares neither a length nor chunks, so truncation could not be detected.
        Unframed {
            display("the response declares neither length nor chunks")
        }
        /// It did not arrive in time.
        Timeout {
            display("the body did not arrive in time")
        }
        /// It is longer than the caller allows.
        TooLarge(limit: u64) {
            display("the body is longer than {limit} bytes")
        }
    }
}

/// A response's head, and its body, which is not read yet.
#[derive(Debug)]
pub struct Reply {
    response: Response,
    conn: Conn,
    peer: SocketAddr,
    client: Client,
}

impl Reply {
    pub(crate) fn new(response: Response, conn: Conn, peer: SocketAddr, client: Client) -> Self {
        Self {
            response,
            conn,
            peer,
            client,
        }
    }

    /// The status.
    pub fn status(&self) -> StatusCode {
        self.response.status()
    }

    /// A header's value, the last one if the header is repeated.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.response.header(name).map(|values| values.last().as_str())
    }

    /// Closes the connection, so that the peer stops sending.
    pub fn close(&self) {
        self.conn.close();
    }

    /// Reads the body of at most `limit` bytes within this time and returns the connection to the pool.
    ///
    /// # Errors
    /// The body is incomplete or too long, or did not arrive in time.
    pub async fn read_body(mut self, limit: u64, within: Duration) -> Result<Vec<u8>, BodyError> {
        let declared = self.declared()?;
        let mut body = Vec::new();
        let mut source = self.response.take_body().take(limit + 1);
        timeout(within, source.read_to_end(&mut body))
            .await
            .map_err(|_| BodyError::Timeout)??;
        let read = body.len() as u64;
        if read > limit {
            self.conn.close();
            return Err(BodyError::TooLarge(limit));
        }
        if let Some(declared) = declared
            && declared != read
        {
            return Err(BodyError::LengthMismatch(declared, read));
        }
        self.recycle();
        Ok(body)
    }

    /// Reads the body as server-sent events.
    pub fn into_events(mut self) -> Result<EventStream, BodyError> {
        self.declared()?;
        let body = self.response.take_body();
        Ok(EventStream::new(body, self.conn))
    }

    /// The declared length; `None` for a chunked body, whose framing reveals truncation.
    fn declared(&self) -> Result<Option<u64>, BodyError> {
        if let Some(length) = self.header(headers::CONTENT_LENGTH.as_str()) {
            return length.parse().map(Some).map_err(|_| BodyError::Unframed);
        }
        let chunked = self.header(headers::TRANSFER_ENCODING.as_str()) == Some("chunked");
        if chunked {
            return Ok(None);
        }
        if self.response.status() == StatusCode::NoContent {
            return Ok(Some(0));
        }
        Err(BodyError::Unframed)
    }

    fn recycle(self) {
        let close = self
            .header(headers::CONNECTION.as_str())
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if !close {
            self.client.release(self.peer, self.conn);
        }
    }
}
