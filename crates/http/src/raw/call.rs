//! The router's own calls: a small request and its complete response.

use super::{ExchangeError, Headers, Source, exchange};
use std::net::SocketAddr;

/// An outgoing call.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Call {
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub target: String,
    /// JSON body, empty for none.
    pub body: Vec<u8>,
}

/// The complete response to a call.
#[derive(Debug)]
pub struct CallResponse {
    /// Status.
    pub status: u16,
    /// Header lines.
    pub headers: Headers,
    /// Body.
    pub body: Vec<u8>,
    /// The connection, if it can be reused for another call.
    pub reusable: Option<Source>,
}

impl Call {
    /// The request to `host`, with these header lines in addition to the required ones.
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

    /// Sends the call to `host` and reads the complete response with a body of at most `limit` bytes.
    ///
    /// # Errors
    /// No complete response arrived; the peer may have acted on the call.
    pub async fn send(
        &self,
        mut source: Source,
        host: SocketAddr,
        headers: &Headers,
        limit: u64,
    ) -> Result<CallResponse, ExchangeError> {
        let bytes = self.bytes(host, headers);
        let mut response = exchange(&mut source, &bytes, self.method, |_| true).await?;
        let body = response.body.read_to_end(&mut source, limit).await?;
        let reusable = response.reusable && response.head.keeps_alive();
        Ok(CallResponse {
            status: response.head.status,
            headers: response.head.headers,
            body,
            reusable: reusable.then_some(source),
        })
    }
}
