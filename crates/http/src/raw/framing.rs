//! Where a body ends.
//!
//! Two parties that disagree on where a body ends take a part of it for another request. So anything ambiguous is an
//! error: a length beside chunks, two lengths, a length that is not a plain number, a coding other than chunks.

use super::{Headers, RequestHead, ResponseHead};
use quick_error::quick_error;

quick_error! {
    /// Why it cannot be told where a body ends.
    #[derive(Debug, Clone, Copy, PartialEq, Eq)]
    pub enum FramingError {
        /// Several lengths, or one that is not a plain number.
        Length {
            display("the content length is not one plain number")
        }
        /// A length and chunks.
        Both {
            display("a content length stands beside a transfer coding")
        }
        /// A transfer coding other than chunks.
        Coding {
            display("the transfer coding is not supported")
        }
    }
}

/// How a body is framed.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Framing {
    /// This many bytes.
    Length(u64),
    /// Chunks.
    Chunked,
    /// It ends with the connection; only answers may.
    UntilClose,
}

/// Framing of a request's body.
///
/// # Errors
/// It is ambiguous; the request must be refused and its connection closed.
pub fn request_framing(head: &RequestHead) -> Result<Framing, FramingError> {
    Ok(declared(&head.headers)?.unwrap_or(Framing::Length(0)))
}

/// Framing of the answer's body to a request of this method.
///
/// # Errors
/// It is ambiguous; the answer must not be passed on.
pub fn response_framing(head: &ResponseHead, method: &str) -> Result<Framing, FramingError> {
    let bodiless = method.eq_ignore_ascii_case("HEAD") || matches!(head.status, 100..=199 | 204 | 304);
    if bodiless {
        return Ok(Framing::Length(0));
    }
    Ok(declared(&head.headers)?.unwrap_or(Framing::UntilClose))
}

fn declared(headers: &Headers) -> Result<Option<Framing>, FramingError> {
    let length = length(headers)?;
    let mut codings = headers.all("transfer-encoding");
    let Some(coding) = codings.next() else {
        return Ok(length.map(Framing::Length));
    };
    if length.is_some() {
        return Err(FramingError::Both);
    }
    if codings.next().is_some() || !coding.eq_ignore_ascii_case(b"chunked") {
        return Err(FramingError::Coding);
    }
    Ok(Some(Framing::Chunked))
}

fn length(headers: &Headers) -> Result<Option<u64>, FramingError> {
    let mut lines = headers.all("content-length");
    let Some(first) = lines.next() else {
        return Ok(None);
    };
    if lines.next().is_some() || first.is_empty() || !first.iter().all(u8::is_ascii_digit) {
        return Err(FramingError::Length);
    }
    let text = std::str::from_utf8(first).map_err(|_| FramingError::Length)?;
    text.parse().map(Some).map_err(|_| FramingError::Length)
}
