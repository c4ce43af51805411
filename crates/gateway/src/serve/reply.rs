//! Writes responses to clients.

use async_std::future::timeout;
use async_std::io::WriteExt;
use dispatch::attempt::Refusal;
use http::Conn;
use http::StatusCode;
use http::raw::Headers;
use std::time::Duration;

/// Longest time for writing a refusal. It waits only for a client that hasn't read earlier responses on its connection.
const REFUSAL_TIMEOUT: Duration = Duration::from_secs(5);

/// Writes a refusal of this router, without its body in response to a HEAD request. Returns false if the client closed the
/// connection or doesn't read.
pub async fn refusal(conn: &Conn, refusal: &Refusal, has_body: bool, close: bool) -> bool {
    let code = refusal.cause.name();
    let body = format!("{{\"error\":{{\"code\":\"{code}\"}}}}");
    let mut headers = Headers::default();
    headers.push("Content-Type", "application/json");
    if let Some(after) = refusal.retry_after {
        headers.push("Retry-After", format!("{:.3}", after.as_secs_f64()));
    }
    let mut bytes = response_head(refusal.status, &headers, Some(body.len() as u64), close);
    if has_body {
        bytes.extend_from_slice(body.as_bytes());
    }
    let written = async { conn.clone().write_all(&bytes).await.is_ok() };
    timeout(REFUSAL_TIMEOUT, written).await.unwrap_or(false)
}

/// The head of a response that states this length, if any, including the empty line.
pub fn response_head(status: u16, headers: &Headers, length: Option<u64>, close: bool) -> Vec<u8> {
    let mut bytes = head(status, headers, close);
    if let Some(length) = length {
        bytes.extend_from_slice(format!("Content-Length: {length}\r\n").as_bytes());
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// The head of a streamed response, including the empty line. HTTP/1.0 has no chunked encoding, so there the end of the
/// connection ends the response.
pub fn stream_head(status: u16, headers: &Headers, close: bool, chunked: bool) -> Vec<u8> {
    let mut bytes = head(status, headers, close || !chunked);
    if chunked {
        bytes.extend_from_slice(b"Transfer-Encoding: chunked\r\n");
    }
    bytes.extend_from_slice(b"\r\n");
    bytes
}

/// Appends a part of a stream.
pub fn push_chunk(out: &mut Vec<u8>, part: &[u8], chunked: bool) {
    if part.is_empty() {
        return;
    }
    if !chunked {
        out.extend_from_slice(part);
        return;
    }
    out.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
    out.extend_from_slice(part);
    out.extend_from_slice(b"\r\n");
}

/// Appends the end of a stream.
pub fn push_end(out: &mut Vec<u8>, chunked: bool) {
    if chunked {
        out.extend_from_slice(b"0\r\n\r\n");
    }
}

fn head(status: u16, headers: &Headers, close: bool) -> Vec<u8> {
    let reason = match StatusCode::try_from(status) {
        // The library calls it "Modified".
        Ok(StatusCode::NotModified) => "Not Modified",
        Ok(status) => status.canonical_reason(),
        Err(_) => "Unknown",
    };
    let mut bytes = format!("HTTP/1.1 {status} {reason}\r\n").into_bytes();
    headers.write(&mut bytes);
    if close {
        bytes.extend_from_slice(b"Connection: close\r\n");
    }
    bytes
}
