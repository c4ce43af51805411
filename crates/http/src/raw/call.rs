//! Whole calls of the router's own: a small request and the whole answer.

use super::{ExchangeError, HeadError, Headers, Source, exchange};
use std::net::SocketAddr;

/// A call as it goes out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// JSON body, empty for none.
    pub body: Vec<u8>,
}

/// The whole answer to a call.
#[derive(Debug)]
pub struct CallResponse {
    /// Status.
    pub status: u16,
    /// Header lines.
    pub headers: Headers,
    /// Body.
    pub body: Vec<u8>,
    /// The connection, if it may carry another call.
    pub reusable: Option<Source>,
}

impl Call {
    /// The request to `host`, with these header lines beside those that a call needs.
    fn bytes(&self, host: SocketAddr, headers: &Headers) -> Vec<u8> {
        let mut bytes = format!("{} {} HTTP/1.1\r\nHost: {host}\r\n", self.method, self.target).into_bytes();
        headers.write(&mut bytes);
        if !self.body.is_empty() {
            let lines = format!(
                "Content-Type: application/json\r\nContent-Length: {}\r\n",
                self.body.len()
            );
            bytes.extend_from_slice(lines.as_bytes());
        } else if self.method != "GET" {
            bytes.extend_from_slice(b"Content-Length: 0\r\n");
        }
        bytes.extend_from_slice(b"\r\n");
        bytes.extend_from_slice(&self.body);
        bytes
    }

    /// Sends the call to `host` and reads the whole answer of at most `limit` bytes.
    ///
    /// # Errors
    /// No whole answer came; the call may have been acted on.
    pub async fn send(
        &self,
        mut source: Source,
        host: SocketAddr,
        headers: &Headers,
        limit: u64,
    ) -> Result<CallResponse, ExchangeError> {
        let bytes = self.bytes(host, headers);
        let mut answer = exchange(&mut source, &bytes, self.method, |_| true).await?;
        let body = answer.body.read_to_end(&mut source, limit).await;
        let body = body.map_err(|_| HeadError::Truncated)?;
        let keeps = answer.reusable && answer.head.keeps_alive();
        Ok(CallResponse {
            status: answer.head.status,
            headers: answer.head.headers,
            body,
            reusable: keeps.then_some(source),
        })
    }
}
